"""Choice of backend: expected wait, stalls, fast errors, black holes, full queues."""

import pytest
from conftest import READY, SAFE, UNSAFE, Harness, kinds, make_settings

from fennelpoint import interface as api
from fennelpoint import selection, state


def drive(harness: Harness, seconds: float, per_second: int, reply) -> dict[str, int]:
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
                    due.append((harness.now + latency, a.request, a.backend, latency, status, tries[a.request]))

    for step in range(int(seconds * per_second) + per_second):
        if step < seconds * per_second:
            note(harness.request(customer=1000 + step))
        note(harness.advance(1.0 / per_second))
        for item in sorted(d for d in due if d[0] <= harness.now):
            due.remove(item)
            _, request, backend, latency, status, attempt = item
            note(harness.answer(request, backend, status, latency, attempt))
    return sent


def three() -> Harness:
    harness = Harness(make_settings())
    harness.backends("a", "b", "c")
    return harness


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
    harness = three()
    drive(harness, 4.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    harness.advance(4 * selection.SLOWNESS_HALF_LIFE_S)
    sent = drive(harness, 5.0, 20, lambda b: (api.Status.OK, 0.1))
    assert sent["a"] > 0.5 * sent["b"]


def test_if_all_look_bad_all_are_used():
    harness = three()
    for b in harness.control.fleet.ready:
        harness.control.selection.penalize(b, harness.now)
    pool = {a.backend for i in range(12) for a in harness.request(customer=i) if isinstance(a, api.Send)}
    assert pool == {"a", "b", "c"}


def test_back_end_that_slows_is_held_to_fewer_attempts_before_it_answers():
    """Attempts still out count as pressure: answers of a jammed back end come too late to learn from."""
    harness = Harness(make_settings())
    harness.backends("a")
    drive(harness, 2.0, 10, lambda b: (api.Status.OK, 0.1))
    before = harness.control.limiter.window
    drive(harness, 3.0, 10, lambda b: None)
    assert harness.control.limiter.window < 0.7 * before


def test_window_grows_while_answers_are_quick_and_shrinks_while_they_are_late():
    harness = Harness(make_settings())
    harness.backends("a")
    harness.control.limiter.window = 4.0
    drive(harness, 4.0, 60, lambda b: (api.Status.OK, 0.1))
    grown = harness.control.limiter.window
    assert grown > 5.0
    drive(harness, 6.0, 60, lambda b: (api.Status.OK, 0.6))
    assert harness.control.limiter.window < 0.7 * grown


def test_ingress_rests_while_its_window_is_under_one_attempt():
    """One attempt from each of many ingresses can still be too much (incident ia57e96)."""
    harness = Harness(make_settings())
    harness.backends("a", "b")
    harness.control.limiter.window, harness.control.limiter.pressure = 0.5, 1.0
    (send,) = harness.request()
    harness.now += 1.0
    harness.answer(send.request, send.backend, latency=1.0)
    assert harness.request(customer=2) == []
    assert harness.now < harness.control.limiter.rest_until <= harness.now + selection.MAX_REST_S


def test_few_stalled_backends_do_not_close_the_window():
    """An attempt that ends at its deadline counts as one aim, not as the many that it took (ifac48f)."""
    harness = Harness(make_settings())
    harness.backends("a")
    for latency in (40.0, 0.1, 0.1, 0.1, 0.1, 0.1):
        harness.control.selection.adjust_window(harness.control.limiter, latency, latency, harness.now)
    assert harness.control.limiter.pressure <= selection.MAX_PRESSURE


def test_large_fleet_is_used_in_part_and_in_whole_when_that_part_is_away():
    """Hundreds of ingresses with a connection to every backend are more than these accept (icf8f53)."""
    harness = Harness(make_settings())
    names = [f"b{i:03}" for i in range(100)]
    harness.backends(*names)
    used = set()
    for customer in range(200):
        for a in harness.request(customer=customer):
            used.add(a.backend)
            harness.answer(a.request, a.backend)
    assert len(used) == selection.SUBSET_SIZE
    for name in used:
        harness.control.fleet.backends[name].rest_until = harness.now + 9.0
    (send,) = harness.request(customer=999)
    assert send.backend not in used


def test_same_zone_wins_near_ties():
    harness = Harness(make_settings())
    harness.roster(api.BackendEntry("far", READY, zone=1), api.BackendEntry("near", READY, zone=0))
    near, far = (harness.control.fleet.backends[name] for name in ("near", "far"))
    t = state.PendingRequest(api.Request(1, SAFE, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0,
                    harness.control.limiter)
    cost = [harness.control.selection.cost(b, 1.0, t, harness.now) for b in (near, far)]
    assert cost[1] == pytest.approx(selection.OTHER_ZONE_FACTOR * cost[0])
    near.load += 1.0
    assert harness.control.selection.cost(near, 1.0, t, harness.now) > cost[1]  # no tie any more


@pytest.mark.parametrize("via", ["none", "answers", "probe"])
def test_works_with_any_reports_or_none(via):
    harness = Harness(make_settings(report_via=via, report_fields=["queue", "util"]))
    harness.backends("a")
    (send,) = harness.request(cls=SAFE)
    harness.deliver(api.Outcome(send.request, 0, "a", api.Status.OK, 0.1, True, report=[1.0, 0.5]))
    assert kinds(harness.request(customer=2)) == [api.Send]


def test_random_part_keeps_ingresses_from_choosing_alike():
    """Many ingresses with the same view must not all send to the first name (incident ibf6ee8)."""
    first = set()
    for seed in range(12):
        harness = Harness(make_settings())
        harness.control.random.seed(seed)
        harness.backends("a", "b", "c")
        first.add(harness.request()[0].backend)
    assert len(first) > 1


def test_many_ingresses_hold_a_backend_to_a_share_of_one_first_guess():
    for ingresses in (2, 12):
        harness = Harness(make_settings(ingresses=ingresses))
        harness.backends("a")
        sent = sum(api.Send in kinds(harness.request(customer=i)) for i in range(30))
        assert sent == max(1, int(selection.INIT_SIZE / ingresses))


def test_failures_in_a_row_make_a_backend_rest_even_where_most_look_bad():
    """A dead zone refuses connects within milliseconds; it must not be hammered (incident i738455)."""
    sent = drive(three(), 4.0, 20, lambda b: (api.Status.CONNECT_FAILED, 0.005) if b != "a" else None)
    assert sent["b"] + sent["c"] < 40


def test_full_backend_is_left_alone_for_a_moment():
    harness = Harness(make_settings())
    harness.backends("a")
    (send,) = harness.request()
    assert api.Send not in kinds(harness.answer(send.request, "a", api.Status.FULL, 0.001))
    assert api.Send in kinds(harness.advance(0.2))


def test_backend_slowed_by_half_while_another_starts_cold():
    """Overlapping troubles: the warm one carries most, the cold one gets its share, all is answered."""
    harness = three()
    drive(harness, 4.0, 20, lambda b: (api.Status.OK, 0.1))
    harness.roster(api.BackendEntry("c", READY, started_at=harness.now), kind=api.RosterKind.CHANGES)
    sent = drive(harness, 3.0, 20, lambda b: (api.Status.OK, 0.2 if b == "a" else 0.1))
    assert sent["b"] > sent["a"] > 0 and sent["c"] < 0.5 * sent["b"]
    harness.advance(5.0)
    assert not harness.control.requests.open


def test_stale_roster_names_a_dead_backend():
    """The cached list at start may name what is gone: refused connects move the work on."""
    harness = Harness(make_settings())
    harness.roster(*(api.BackendEntry(n, READY) for n in "abc"), kind=api.RosterKind.CACHED)
    sent = drive(harness, 5.0, 20,
                 lambda b: (api.Status.CONNECT_FAILED, 0.002) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"] and not harness.control.requests.open


def test_connections_that_break_together_are_one_failure():
    harness = Harness(make_settings())
    harness.backends("a")
    sends = [harness.request(cls=UNSAFE)[0] for _ in range(3)]
    harness.now += 0.1
    for send in sends:
        harness.answer(send.request, send.backend, api.Status.RESET, latency=0.1)
    backend = harness.control.fleet.backends["a"]
    assert backend.fails == 1 and backend.slow <= selection.FAILURE_FACTOR


def test_one_old_word_of_busy_cores_does_not_keep_all_away_from_an_idle_backend():
    """util 1 says that the cores are busy, not that a line waits: taken for nine requests, it sent three
    ingresses to the backend whose last word was the lowest, however much was out there."""
    harness = Harness(make_settings(ingresses=3, report_via="answers", report_fields=["latency_ms", "util"]))
    harness.backends("a", "b")
    for backend, util in (("a", 1.0), ("b", 0.2)) * 20:
        harness.control.selection.add_report(harness.control.fleet.backends[backend], [100.0, util], harness.now)
    chosen = [action.backend for customer in range(8) for action in harness.request(customer=customer)
              if isinstance(action, api.Send)]
    assert len(chosen) == 8 and chosen.count("a") >= 3


def test_few_answers_do_not_cut_the_window_by_chance():
    """An ingress with one answer in a while: latencies about the target cut it down to one attempt."""
    harness = Harness(make_settings())
    harness.backends("a")
    harness.control.limiter.window, harness.control.limiter.pressure = 8.0, 0.3
    for _ in range(3 * selection.MIN_EVIDENCE):   # far apart: each comes after more than the time of an answer
        harness.now += 2.0
        harness.control.selection.adjust_window(harness.control.limiter, 0.3, 0.3, harness.now)
    assert 8.0 * selection.WINDOW_CUT ** 3 <= harness.control.limiter.window < 8.0


def test_attempts_that_a_silent_backend_holds_do_not_fill_a_small_window():
    harness = Harness(make_settings())
    harness.backends("a", "b")
    harness.control.limiter.window = 2.0
    held = kinds(harness.request(customer=1, cls=UNSAFE) + harness.request(customer=2, cls=UNSAFE))
    assert held == [api.Send, api.Send] and harness.request(customer=3) == []
    harness.advance(3.0)     # over their aim, under their deadline
    harness.control.limiter.window = 2.0
    assert kinds(harness.request(customer=4)) == [api.Send]
    assert harness.request(customer=5) == []      # half of what is out counts in any case
