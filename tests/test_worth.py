"""A customer that asks for more than it has: its dear tries go before its cheap ones."""

from conftest import HARD, KEYED, SAFE, SOFT, World, kinds, make_settings
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint import interface as api

DEAR = KEYED    # worth 2 in these settings; a read is worth 1


def wide(**changes) -> World:
    world = World(make_settings(**changes))
    world.backends(*(f"s{i:02}" for i in range(40)))
    return world


def sent(actions: list) -> int:
    return kinds(actions).count(api.Send)


def answered(world: World, actions: list) -> list[int]:
    """The requests sent, each answered at once, and those that this let go."""
    done = []
    while sends := [a for a in actions if isinstance(a, api.Send)]:
        done += [a.request for a in sends]
        actions = [b for a in sends for b in world.answer(a.request, a.backend, latency=0.02)]
    return done


def level(world: World) -> float:
    """Units in the bucket by now."""
    world.control._fill(world.control.customers[1], world.now)
    return world.control.customers[1].level


def short_of_units(world: World, **ask) -> None:
    """Spend the even share of the burst, four units."""
    for _ in range(4):
        assert sent(world.ask(**ask)) == 1


def test_dear_try_does_not_wait_behind_cheap_ones():
    """Told to wait behind all that waited, a dear try that is wanted soon was refused."""
    world = wide()
    short_of_units(world)
    world.ask()                 # waits for its unit
    assert world.ask() == [] or world.control.customers[1].held >= 1.0
    waiting = world.control.customers[1].held
    world.wait(0.45)            # nearly a unit has come in, and two cheap tries may wait for it
    assert world.ask(DEAR) == []    # not refused
    assert world.control.customers[1].held == waiting + 1.0
    world.wait(0.3)
    held = {t.ask.cls for t in world.control.line.held.values()}
    assert DEAR not in held


def test_cheap_try_still_waits_behind_dear_ones():
    world = wide()
    short_of_units(world)
    assert world.ask(DEAR) == []
    world.wait(0.3)
    world.ask(SAFE)
    out = world.wait(0.25)      # one unit is there: the dear one's
    assert [a.request for a in out if isinstance(a, api.Send)] == [5]


def test_short_customer_keeps_units_for_the_dear_tries_it_asks_for():
    world = wide()
    short_of_units(world)
    world.ask(DEAR)             # asks for dear ones, too
    world.wait(1.5)             # short, and some units came in
    assert level(world) >= 1.0
    assert sent(world.ask(SAFE)) == 0
    assert sent(world.ask(DEAR)) == 1


def test_cheap_tries_are_not_starved_by_what_is_kept():
    """What is kept is part of the bucket: with time alone it holds enough for any try."""
    world, cheap = wide(most_units=4.0), 0      # the whole bucket could be kept
    for _ in range(40):         # 2 units a second come in, 2.1 are asked for each half second
        answered(world, world.ask(DEAR, units=0.1))
        last = world.ids
        cheap += sum(request > last - 1 for request in answered(world, world.ask(SAFE, units=2.0)))
        cheap += len(answered(world, world.wait(0.5)))
    assert 15 <= cheap <= 20


def test_customer_that_asks_for_one_class_only_keeps_nothing():
    world = wide()
    short_of_units(world)
    world.ask()
    world.wait(1.2)
    assert level(world) >= 1.0
    assert sent(world.ask()) == 1


def test_customer_that_is_not_short_keeps_nothing():
    world = wide()
    assert sent(world.ask(DEAR)) == 1
    assert [sent(world.ask(SAFE)) for _ in range(3)] == [1, 1, 1]


@given(st.lists(st.tuples(st.sampled_from([SAFE, DEAR]), st.sampled_from([HARD, SOFT]), st.integers(1, 2),
                          st.floats(0.0, 0.6)), max_size=40))
def test_units_waiting_by_worth_are_those_of_the_line(steps):
    world = wide()
    for cls, plan, units, pause in steps:
        world.ask(cls, plan=plan, customer=plan, units=float(units))
        world.wait(pause)
        for customer in world.control.customers.values():
            held = [t for t in world.control.line.held.values() if t.customer is customer]
            for worth in {t.worth for t in held} | set(customer.waits):
                units_held = sum(t.ask.units for t in held if t.worth >= worth)
                assert abs(customer.ahead(worth) - units_held) < 1e-6


def test_cheap_try_is_looked_at_when_its_bucket_holds_what_is_kept_too():
    world = wide()
    short_of_units(world)
    world.ask(DEAR, units=0.1)
    world.wait(0.9)             # its unit is there, those kept are not
    assert level(world) >= 1.0
    assert world.ask(SAFE) == []
    looks, handle = [], world.control.handle
    world.control.handle = lambda event, now: looks.append(event) or handle(event, now)
    world.wait(0.4)
    assert len(looks) <= 6      # looking every 20 ms would be 20
