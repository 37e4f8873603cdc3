"""A customer that asks for more than it has: its dear tries go before its cheap ones."""

from conftest import HARD, KEYED, SAFE, SOFT, World, kinds, make_settings, wide
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint import interface as api

DEAR = KEYED    # worth 2 in these settings; a read is worth 1


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
    world.control.quotas.fill(world.control.customers[1], world.now)
    return world.control.customers[1].level


def short_of_units(world: World, **ask) -> None:
    """Spend the even share of the burst, four units."""
    for _ in range(4):
        assert sent(world.ask(**ask)) == 1


def test_dear_try_does_not_wait_behind_cheap_ones():
    """Told to wait behind all that waited, a dear try that is wanted sooner than they are was refused."""
    cheap, dear = make_settings().classes[SAFE], make_settings().classes[DEAR]
    cheap.aim, dear.aim = 4.0, 1.2
    world = wide(classes=[cheap, make_settings().classes[1], dear])
    short_of_units(world, left=8.0)
    for _ in range(3):          # 2 units a second come in: 1.5 s of waiting
        assert world.ask(left=8.0) == []
    assert world.ask(DEAR) == []        # half a second, were it alone
    first = [a.request for a in world.wait(0.6) if isinstance(a, api.Send)]
    assert first == [world.ids]


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
    world, cheap, done = wide(most_units=4.0), set(), []    # the whole bucket could be kept
    for _ in range(40):         # 2 units a second come in, 2.1 are asked for each half second
        done += answered(world, world.ask(DEAR, units=0.1))
        done += answered(world, world.ask(SAFE, units=2.0))
        cheap.add(world.ids)
        done += answered(world, world.wait(0.5))
    assert 15 <= len(cheap & set(done)) <= 20   # 44 units, of which 4 are for the dear ones


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


def test_nothing_counts_as_waiting_once_all_is_released():
    """What rounding left over kept a customer from being forgotten, for good."""
    world = wide()
    short_of_units(world)
    for units in (0.1, 0.2, 0.3):
        assert world.ask(units=units) == []
    world.wait(5.0)
    assert not world.control.requests.waiting and not world.control.customers[1].queued


@given(st.lists(st.tuples(st.sampled_from([SAFE, DEAR]), st.sampled_from([HARD, SOFT]), st.integers(1, 2),
                          st.floats(0.0, 0.6)), max_size=40))
def test_units_waiting_by_worth_are_those_of_the_line(steps):
    world = wide()
    for cls, plan, units, pause in steps:
        world.ask(cls, plan=plan, customer=plan, units=float(units))
        world.wait(pause)
        for customer in world.control.customers.values():
            held = [t for t in world.control.requests.waiting.values() if t.customer is customer]
            for worth in {t.worth for t in held} | set(customer.queued):
                units_held = sum(t.request.units for t in held if t.worth >= worth)
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
