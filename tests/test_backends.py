"""Choice of backend: expected wait, stalls, fast errors, black holes, full queues."""

import pytest
from conftest import READY, SAFE, UNSAFE, World, kinds, make_settings

from fennelpoint import interface as api
from fennelpoint import selection, state


def drive(world: World, seconds: float, per_second: int, reply) -> dict[str, int]:
    """Open-loop traffic; `reply(backend)` gives status and latency, or None for no answer at all."""
    sent: dict[str, int] = {}
    due: list[tuple[float, int, str, float, api.Status, int]] = []
    tries: dict[int, int] = {}

    def note(actions: list) -> None:
        for a in actions:
            if isinstance(a, api.Send):
                sent[a.backend] = sent.get(a.backend, 0) + 1
                tries[a.request] = tries.get(a.request, -1) + 1
                if (answer := reply(a.backend)) is not None:
                    status, latency = answer
                    due.append((world.now + latency, a.request, a.backend, latency, status, tries[a.request]))

    for step in range(int(seconds * per_second) + per_second):
        if step < seconds * per_second:
            note(world.ask(customer=1000 + step))
        note(world.wait(1.0 / per_second))
        for item in sorted(d for d in due if d[0] <= world.now):
            due.remove(item)
            _, request, backend, latency, status, attempt = item
            note(world.answer(request, backend, status, latency, attempt))
    return sent


def three() -> World:
    world = World(make_settings())
    world.backends("a", "b", "c")
    return world


def test_load_is_spread_over_equals():
    sent = drive(three(), 4.0, 20, lambda b: (api.Status.OK, 0.1))
    assert min(sent.values()) > 15


def test_slow_backend_gets_less():
    sent = drive(three(), 6.0, 20, lambda b: (api.Status.OK, 0.4 if b == "a" else 0.1))
    assert sent["a"] < 0.6 * sent["b"]


def test_fast_errors_do_not_look_fast():
    sent = drive(three(), 6.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"]


def test_black_hole_gets_little():
    sent = drive(three(), 6.0, 20, lambda b: None if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] <= 6


def test_refused_connects_are_passed_over():
    sent = drive(three(), 6.0, 20,
                 lambda b: (api.Status.CONNECT_FAILED, 0.25) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.25 * sent["b"]


def test_trust_returns_when_the_trouble_passes():
    world = three()
    drive(world, 4.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    world.wait(4 * selection.SLOWNESS_HALF_LIFE_S)
    sent = drive(world, 5.0, 20, lambda b: (api.Status.OK, 0.1))
    assert sent["a"] > 0.5 * sent["b"]


def test_if_all_look_bad_all_are_used():
    world = three()
    for b in world.control.fleet.ready:
        world.control.selection.penalize(b, world.now)
    pool = {a.backend for i in range(12) for a in world.ask(customer=i) if isinstance(a, api.Send)}
    assert pool == {"a", "b", "c"}


def test_back_end_that_slows_is_held_to_fewer_attempts_before_it_answers():
    """Attempts still out count as pressure: answers of a jammed back end come too late to learn from."""
    world = World(make_settings())
    world.backends("a")
    drive(world, 2.0, 10, lambda b: (api.Status.OK, 0.1))
    before = world.control.limiter.window
    drive(world, 3.0, 10, lambda b: None)
    assert world.control.limiter.window < 0.7 * before


def test_window_grows_while_answers_are_quick_and_shrinks_while_they_are_late():
    world = World(make_settings())
    world.backends("a")
    world.control.limiter.window = 4.0
    drive(world, 4.0, 60, lambda b: (api.Status.OK, 0.1))
    grown = world.control.limiter.window
    assert grown > 5.0
    drive(world, 6.0, 60, lambda b: (api.Status.OK, 0.6))
    assert world.control.limiter.window < 0.7 * grown


def test_ingress_rests_while_its_window_is_under_one_attempt():
    """One attempt from each of many ingresses can still be too much (incident ia57e96)."""
    world = World(make_settings())
    world.backends("a", "b")
    world.control.limiter.window, world.control.limiter.pressure = 0.5, 1.0
    (send,) = world.ask()
    world.now += 1.0
    world.answer(send.request, send.backend, latency=1.0)
    assert world.ask(customer=2) == []
    assert world.now < world.control.limiter.rest_until <= world.now + selection.MAX_REST_S


def test_few_stalled_backends_do_not_close_the_window():
    """An attempt that ends at its deadline counts as one aim, not as the many that it took (ifac48f)."""
    world = World(make_settings())
    world.backends("a")
    for latency in (40.0, 0.1, 0.1, 0.1, 0.1, 0.1):
        world.control.selection.adjust_window(world.control.limiter, latency, latency, world.now)
    assert world.control.limiter.pressure <= selection.MAX_PRESSURE


def test_large_fleet_is_used_in_part_and_in_whole_when_that_part_is_away():
    """Hundreds of ingresses with a connection to every backend are more than these accept (icf8f53)."""
    world = World(make_settings())
    names = [f"b{i:03}" for i in range(100)]
    world.backends(*names)
    used = set()
    for customer in range(200):
        for a in world.ask(customer=customer):
            used.add(a.backend)
            world.answer(a.request, a.backend)
    assert len(used) == selection.SUBSET_SIZE
    for name in used:
        world.control.fleet.backends[name].rest_until = world.now + 9.0
    (send,) = world.ask(customer=999)
    assert send.backend not in used


def test_same_zone_wins_near_ties():
    world = World(make_settings())
    world.roster(api.BackendEntry("far", READY, zone=1), api.BackendEntry("near", READY, zone=0))
    near, far = (world.control.fleet.backends[name] for name in ("near", "far"))
    t = state.PendingRequest(api.Request(1, SAFE, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0,
                    world.control.limiter)
    cost = [world.control.selection.cost(b, 1.0, t, world.now) for b in (near, far)]
    assert cost[1] == pytest.approx(selection.OTHER_ZONE_FACTOR * cost[0])
    near.load += 1.0
    assert world.control.selection.cost(near, 1.0, t, world.now) > cost[1]  # no tie any more


@pytest.mark.parametrize("via", ["none", "answers", "probe"])
def test_works_with_any_reports_or_none(via):
    world = World(make_settings(report_via=via, report_fields=["queue", "util"]))
    world.backends("a")
    (send,) = world.ask(cls=SAFE)
    world.give(api.Outcome(send.request, 0, "a", api.Status.OK, 0.1, True, report=[1.0, 0.5]))
    assert kinds(world.ask(customer=2)) == [api.Send]


def test_random_part_keeps_ingresses_from_choosing_alike():
    """Many ingresses with the same view must not all send to the first name (incident ibf6ee8)."""
    first = set()
    for seed in range(12):
        world = World(make_settings())
        world.control.random.seed(seed)
        world.backends("a", "b", "c")
        first.add(world.ask()[0].backend)
    assert len(first) > 1


def test_many_ingresses_hold_a_backend_to_a_share_of_one_first_guess():
    for ingresses in (2, 12):
        world = World(make_settings(ingresses=ingresses))
        world.backends("a")
        sent = sum(api.Send in kinds(world.ask(customer=i)) for i in range(30))
        assert sent == max(1, int(selection.FIRST_OUT / ingresses))


def test_failures_in_a_row_make_a_backend_rest_even_where_most_look_bad():
    """A dead zone refuses connects within milliseconds; it must not be hammered (incident i738455)."""
    sent = drive(three(), 4.0, 20, lambda b: (api.Status.CONNECT_FAILED, 0.005) if b != "a" else None)
    assert sent["b"] + sent["c"] < 40


def test_full_backend_is_left_alone_for_a_moment():
    world = World(make_settings())
    world.backends("a")
    (send,) = world.ask()
    assert api.Send not in kinds(world.answer(send.request, "a", api.Status.FULL, 0.001))
    assert api.Send in kinds(world.wait(0.2))


def test_backend_slowed_by_half_while_another_starts_cold():
    """Overlapping troubles: the warm one carries most, the cold one gets its share, all is answered."""
    world = three()
    drive(world, 4.0, 20, lambda b: (api.Status.OK, 0.1))
    world.roster(api.BackendEntry("c", READY, started_at=world.now), kind=api.RosterKind.CHANGES)
    sent = drive(world, 3.0, 20, lambda b: (api.Status.OK, 0.2 if b == "a" else 0.1))
    assert sent["b"] > sent["a"] > 0 and sent["c"] < 0.5 * sent["b"]
    world.wait(5.0)
    assert not world.control.requests.open


def test_stale_roster_names_a_dead_backend():
    """The cached list at start may name what is gone: refused connects move the work on."""
    world = World(make_settings())
    world.roster(*(api.BackendEntry(n, READY) for n in "abc"), kind=api.RosterKind.CACHED)
    sent = drive(world, 5.0, 20,
                 lambda b: (api.Status.CONNECT_FAILED, 0.002) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"] and not world.control.requests.open


def test_connections_that_break_together_are_one_failure():
    world = World(make_settings())
    world.backends("a")
    sends = [world.ask(cls=UNSAFE)[0] for _ in range(3)]
    world.now += 0.1
    for send in sends:
        world.answer(send.request, send.backend, api.Status.RESET, latency=0.1)
    backend = world.control.fleet.backends["a"]
    assert backend.fails == 1 and backend.slow <= selection.FAILURE_FACTOR


def test_one_old_word_of_busy_cores_does_not_keep_all_away_from_an_idle_backend():
    """util 1 says that the cores are busy, not that a line waits: taken for nine requests, it sent three
    ingresses to the backend whose last word was the lowest, however much was out there."""
    world = World(make_settings(ingresses=3, report_via="answers", report_fields=["latency_ms", "util"]))
    world.backends("a", "b")
    for backend, util in (("a", 1.0), ("b", 0.2)) * 20:
        world.control.selection.add_report(world.control.fleet.backends[backend], [100.0, util], world.now)
    chosen = [action.backend for customer in range(8) for action in world.ask(customer=customer)
              if isinstance(action, api.Send)]
    assert len(chosen) == 8 and chosen.count("a") >= 3


def test_few_answers_do_not_cut_the_window_by_chance():
    """An ingress with one answer in a while: latencies about the target cut it down to one attempt."""
    world = World(make_settings())
    world.backends("a")
    world.control.limiter.window, world.control.limiter.pressure = 8.0, 0.3
    for _ in range(3 * selection.MIN_EVIDENCE):   # far apart: each comes after more than the time of an answer
        world.now += 2.0
        world.control.selection.adjust_window(world.control.limiter, 0.3, 0.3, world.now)
    assert 8.0 * selection.WINDOW_CUT ** 3 <= world.control.limiter.window < 8.0


def test_attempts_that_a_silent_backend_holds_do_not_fill_a_small_window():
    world = World(make_settings())
    world.backends("a", "b")
    world.control.limiter.window = 2.0
    held = kinds(world.ask(customer=1, cls=UNSAFE) + world.ask(customer=2, cls=UNSAFE))
    assert held == [api.Send, api.Send] and world.ask(customer=3) == []
    world.wait(3.0)     # over their aim, under their deadline
    world.control.limiter.window = 2.0
    assert kinds(world.ask(customer=4)) == [api.Send]
    assert world.ask(customer=5) == []      # half of what is out counts in any case
