"""Choice of backend: expected latency, stalls, fast errors, unresponsive backends, full queues, windows."""

import pytest
from conftest import READY, SAFE, UNSAFE, Harness, kinds, make_settings

from fennelpoint import interface as api
from fennelpoint import selection, state


def drive(harness: Harness, seconds: float, per_second: int, reply) -> dict[str, int]:
    """Run open-loop traffic; `reply(backend)` returns status and latency, or None for no answer at all.

    Returns the number of attempts by backend.
    """
    sent: dict[str, int] = {}
    due: list[tuple[float, int, str, float, api.Status, int]] = []
    attempts: dict[int, int] = {}

    def record_sends(actions: list) -> None:
        for a in actions:
            if isinstance(a, api.Send):
                sent[a.backend] = sent.get(a.backend, 0) + 1
                attempts[a.request] = attempts.get(a.request, -1) + 1
                if (answer := reply(a.backend)) is not None:
                    status, latency = answer
                    due.append((harness.now + latency, a.request, a.backend, latency, status, attempts[a.request]))

    for step in range(int(seconds * per_second) + per_second):
        if step < seconds * per_second:
            record_sends(harness.request(customer=1000 + step))
        record_sends(harness.advance(1.0 / per_second))
        for item in sorted(d for d in due if d[0] <= harness.now):
            due.remove(item)
            _, request, backend, latency, status, attempt = item
            record_sends(harness.answer(request, backend, status, latency, attempt))
    return sent


def three_backends() -> Harness:
    harness = Harness(make_settings())
    harness.backends("a", "b", "c")
    return harness


def test_equal_backends_share_the_load():
    sent = drive(three_backends(), 4.0, 20, lambda b: (api.Status.OK, 0.1))
    assert min(sent.values()) > 15


def test_a_slow_backend_gets_less_load():
    sent = drive(three_backends(), 6.0, 20, lambda b: (api.Status.OK, 0.4 if b == "a" else 0.1))
    assert sent["a"] < 0.6 * sent["b"]


def test_fast_errors_do_not_count_as_low_latency():
    sent = drive(three_backends(), 6.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"]


def test_an_unresponsive_backend_gets_few_attempts():
    sent = drive(three_backends(), 6.0, 20, lambda b: None if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] <= 6


def test_a_backend_that_refuses_connects_gets_fewer_attempts():
    sent = drive(three_backends(), 6.0, 20,
                 lambda b: (api.Status.CONNECT_FAILED, 0.25) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.25 * sent["b"]


def test_a_backend_gets_load_again_after_it_recovers():
    harness = three_backends()
    drive(harness, 4.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    harness.advance(4 * selection.SLOWNESS_HALF_LIFE_S)
    sent = drive(harness, 5.0, 20, lambda b: (api.Status.OK, 0.1))
    assert sent["a"] > 0.5 * sent["b"]


def test_if_all_backends_are_penalized_all_are_used():
    harness = three_backends()
    for b in harness.control.fleet.ready:
        harness.control.selection.penalize(b, harness.now)
    pool = {a.backend for i in range(12) for a in harness.request(customer=i) if isinstance(a, api.Send)}
    assert pool == {"a", "b", "c"}


def test_the_window_of_a_backend_that_stalls_shrinks_before_it_answers():
    """Attempts in flight count as pressure, as the answers of a stalled backend come too late."""
    harness = Harness(make_settings())
    harness.backends("a")
    drive(harness, 2.0, 10, lambda b: (api.Status.OK, 0.1))
    before = harness.control.limiter.window
    drive(harness, 3.0, 10, lambda b: None)
    assert harness.control.limiter.window < 0.7 * before


def test_the_window_grows_while_answers_are_fast_and_shrinks_while_they_are_slow():
    harness = Harness(make_settings())
    harness.backends("a")
    harness.control.limiter.window = 4.0
    drive(harness, 4.0, 60, lambda b: (api.Status.OK, 0.1))
    grown = harness.control.limiter.window
    assert grown > 5.0
    drive(harness, 6.0, 60, lambda b: (api.Status.OK, 0.6))
    assert harness.control.limiter.window < 0.7 * grown


def test_an_ingress_pauses_while_its_window_is_below_one_attempt():
    """Guards against overload by one attempt from each of many ingresses (incident ia57e96)."""
    harness = Harness(make_settings())
    harness.backends("a", "b")
    harness.control.limiter.window, harness.control.limiter.pressure = 0.5, 1.0
    (send,) = harness.request()
    harness.now += 1.0
    harness.answer(send.request, send.backend, latency=1.0)
    assert harness.request(customer=2) == []
    assert harness.now < harness.control.limiter.rest_until <= harness.now + selection.MAX_REST_S


def test_a_few_stalled_backends_do_not_close_the_window():
    """An attempt that ends at its deadline counts as one target latency, not as the many that it took (ifac48f)."""
    harness = Harness(make_settings())
    harness.backends("a")
    for latency in (40.0, 0.1, 0.1, 0.1, 0.1, 0.1):
        harness.control.selection.adjust_window(harness.control.limiter, latency, latency, harness.now)
    assert harness.control.limiter.pressure <= selection.MAX_PRESSURE


def test_a_subset_of_a_large_fleet_is_used_unless_it_is_unavailable():
    """Guards backends against connections from each of hundreds of ingresses (incident icf8f53)."""
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


def test_the_same_zone_is_preferred_at_similar_cost():
    harness = Harness(make_settings())
    harness.roster(api.BackendEntry("far", READY, zone=1), api.BackendEntry("near", READY, zone=0))
    near, far = (harness.control.fleet.backends[name] for name in ("near", "far"))
    pending = state.PendingRequest(api.Request(1, SAFE, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0,
                    harness.control.limiter)
    cost = [harness.control.selection.cost(b, 1.0, pending, harness.now) for b in (near, far)]
    assert cost[1] == pytest.approx(selection.OTHER_ZONE_FACTOR * cost[0])
    near.load += 1.0
    assert harness.control.selection.cost(near, 1.0, pending, harness.now) > cost[1]  # not similar any more


@pytest.mark.parametrize("via", ["none", "answers", "probe"])
def test_requests_are_sent_with_and_without_load_reports(via):
    harness = Harness(make_settings(report_via=via, report_fields=["queue", "util"]))
    harness.backends("a")
    (send,) = harness.request(cls=SAFE)
    harness.deliver(api.Outcome(send.request, 0, "a", api.Status.OK, 0.1, True, report=[1.0, 0.5]))
    assert kinds(harness.request(customer=2)) == [api.Send]


def test_choices_differ_between_ingresses_with_the_same_view():
    """Guards against all ingresses sending to the first name (incident ibf6ee8)."""
    chosen = set()
    for seed in range(12):
        harness = Harness(make_settings())
        harness.control.random.seed(seed)
        harness.backends("a", "b", "c")
        chosen.add(harness.request()[0].backend)
    assert len(chosen) > 1


def test_the_initial_window_is_divided_by_the_number_of_ingresses():
    for ingresses in (2, 12):
        harness = Harness(make_settings(ingresses=ingresses))
        harness.backends("a")
        sent = sum(api.Send in kinds(harness.request(customer=i)) for i in range(30))
        assert sent == max(1, int(selection.INIT_SIZE / ingresses))


def test_a_backend_pauses_after_failures_in_a_row_even_if_most_backends_fail():
    """Guards against retries at full rate to a dead zone, which refuses connects within ms (incident i738455)."""
    sent = drive(three_backends(), 4.0, 20, lambda b: (api.Status.CONNECT_FAILED, 0.005) if b != "a" else None)
    assert sent["b"] + sent["c"] < 40


def test_a_full_backend_gets_no_attempts_for_a_moment():
    harness = Harness(make_settings())
    harness.backends("a")
    (send,) = harness.request()
    assert api.Send not in kinds(harness.answer(send.request, "a", api.Status.FULL, 0.001))
    assert api.Send in kinds(harness.advance(0.2))


def test_one_backend_slows_by_half_while_another_starts_cold():
    """The warm backend gets most of the load, the cold one its share, and every request is answered."""
    harness = three_backends()
    drive(harness, 4.0, 20, lambda b: (api.Status.OK, 0.1))
    harness.roster(api.BackendEntry("c", READY, started_at=harness.now), kind=api.RosterKind.CHANGES)
    sent = drive(harness, 3.0, 20, lambda b: (api.Status.OK, 0.2 if b == "a" else 0.1))
    assert sent["b"] > sent["a"] > 0 and sent["c"] < 0.5 * sent["b"]
    harness.advance(5.0)
    assert not harness.control.requests.open


def test_a_cached_list_may_name_a_dead_backend():
    """After refused connects, the requests go to the other backends."""
    harness = Harness(make_settings())
    harness.roster(*(api.BackendEntry(n, READY) for n in "abc"), kind=api.RosterKind.CACHED)
    sent = drive(harness, 5.0, 20,
                 lambda b: (api.Status.CONNECT_FAILED, 0.002) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"] and not harness.control.requests.open


def test_connections_that_are_reset_together_count_as_one_failure():
    harness = Harness(make_settings())
    harness.backends("a")
    sends = [harness.request(cls=UNSAFE)[0] for _ in range(3)]
    harness.now += 0.1
    for send in sends:
        harness.answer(send.request, send.backend, api.Status.RESET, latency=0.1)
    backend = harness.control.fleet.backends["a"]
    assert backend.fails == 1 and backend.slow <= selection.FAILURE_FACTOR


def test_an_old_report_of_busy_cores_does_not_divert_all_load_from_an_idle_backend():
    """A util of 1 means busy cores, not a queue.

    Guards against counting it as nine requests: three ingresses then sent everything to the backend with the lowest
    last report, however many attempts were in flight there.
    """
    harness = Harness(make_settings(ingresses=3, report_via="answers", report_fields=["latency_ms", "util"]))
    harness.backends("a", "b")
    for backend, util in (("a", 1.0), ("b", 0.2)) * 20:
        harness.control.selection.add_report(harness.control.fleet.backends[backend], [100.0, util], harness.now)
    chosen = [action.backend for customer in range(8) for action in harness.request(customer=customer)
              if isinstance(action, api.Send)]
    assert len(chosen) == 8 and chosen.count("a") >= 3


def test_rare_answers_do_not_cut_the_window_by_chance():
    """Guards an ingress with rare answers: latencies near the target cut its window to one attempt."""
    harness = Harness(make_settings())
    harness.backends("a")
    harness.control.limiter.window, harness.control.limiter.pressure = 8.0, 0.3
    for _ in range(3 * selection.MIN_EVIDENCE):   # far apart: each after more than an answer's latency
        harness.now += 2.0
        harness.control.selection.adjust_window(harness.control.limiter, 0.3, 0.3, harness.now)
    assert 8.0 * selection.WINDOW_CUT ** 3 <= harness.control.limiter.window < 8.0


def test_attempts_at_an_unresponsive_backend_do_not_fill_a_small_window():
    harness = Harness(make_settings())
    harness.backends("a", "b")
    harness.control.limiter.window = 2.0
    sent = kinds(harness.request(customer=1, cls=UNSAFE) + harness.request(customer=2, cls=UNSAFE))
    assert sent == [api.Send, api.Send] and harness.request(customer=3) == []
    harness.advance(3.0)     # past their target latency, before their deadline
    harness.control.limiter.window = 2.0
    assert kinds(harness.request(customer=4)) == [api.Send]
    assert harness.request(customer=5) == []      # half of the attempts in flight count in any case
