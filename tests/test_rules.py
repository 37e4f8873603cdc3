"""The five rules, each checked on a single ingress."""

import random

import pytest
from conftest import CAPPED, DRAINING, GONE, KEYED, READY, SAFE, UNSAFE, Harness, kinds, make_settings

from fennelpoint import interface as api

NEVER_RAN = [api.Status.FULL, api.Status.CONNECT_FAILED]
MAY_HAVE_RUN = [api.Status.ERROR, api.Status.RESET, api.Status.CANCELLED]
CHANGES = api.RosterKind.CHANGES


def test_queued_request_is_answered_in_time_without_any_backend():
    harness = Harness(make_settings())
    assert harness.request(left=0.5) == []
    assert kinds(harness.advance(0.5)) == [api.Refuse]
    assert not harness.control.requests.open


def test_unsafe_request_fails_when_its_attempt_times_out():
    harness = Harness(make_settings())
    harness.backends("a")
    harness.request(cls=UNSAFE, left=2.0)
    harness.advance(2.0)
    assert kinds(harness.answer(1, "a", api.Status.TIMEOUT, latency=2.0)) == [api.Fail]


@pytest.mark.parametrize("status", NEVER_RAN)
def test_unsafe_request_is_retried_when_it_never_ran(harness, status):
    (send,) = harness.request(cls=UNSAFE, left=6.0)
    actions = harness.answer(send.request, send.backend, status) + harness.advance(0.2)
    assert kinds(actions) == [api.Send] and actions[0].backend != send.backend


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_request_that_may_have_run_fails(harness, status):
    (send,) = harness.request(cls=UNSAFE, left=6.0)
    assert kinds(harness.answer(send.request, send.backend, status)) == [api.Fail]


def test_safe_request_is_retried_on_another_backend_after_an_error(harness):
    (send,) = harness.request(cls=SAFE)
    (again,) = harness.answer(send.request, send.backend, api.Status.ERROR)
    assert isinstance(again, api.Send) and again.backend != send.backend


def test_keyed_request_is_retried_in_its_cell_and_window():
    harness = Harness(make_settings())
    harness.roster(api.BackendEntry("a", READY, cell=1), api.BackendEntry("b", READY, cell=2),
                 api.BackendEntry("c", READY, cell=1))
    cells = {"a": 1, "b": 2, "c": 1}
    (send,) = harness.request(cls=KEYED, left=6.0)
    actions = harness.answer(send.request, send.backend, api.Status.RESET) + harness.advance(0.1)
    assert [cells[a.backend] for a in actions if isinstance(a, api.Send)] == [cells[send.backend]]


def test_keyed_request_past_its_window_fails_and_is_not_refused(harness):
    (send,) = harness.request(cls=KEYED, left=6.0)
    harness.advance(3.5)
    assert kinds(harness.answer(send.request, send.backend, api.Status.RESET, latency=3.5)) == [api.Fail]


def test_keyed_request_queued_past_its_window_is_not_sent():
    harness = Harness(make_settings())
    harness.backends("a", cell=1)
    (send,) = harness.request(cls=KEYED, left=6.0)
    harness.now += 2.9
    harness.control.fleet.backends["a"].entry.state = DRAINING
    harness.control.fleet.ready.clear()
    harness.answer(send.request, "a", api.Status.RESET, latency=2.9)
    harness.now += 0.2
    harness.roster(api.BackendEntry("a", READY, cell=1))
    assert api.Send not in kinds(harness.advance(3.0))
    assert not harness.control.requests.open


def test_retry_budget_stops_a_retry_storm():
    harness = Harness(make_settings())
    harness.backends(*(f"s{i:02}" for i in range(40)))
    further = 0
    for customer in range(100):
        for action in harness.request(cls=SAFE, customer=customer):
            if isinstance(action, api.Send):
                answer = harness.answer(action.request, action.backend, api.Status.ERROR)
                further += kinds(answer).count(api.Send)
        harness.advance(0.02)
    assert 5 <= further <= 25


def test_draining_backend_gets_no_requests_not_even_queued_ones():
    harness = Harness(make_settings())
    harness.backends("a")
    (send,) = harness.request(cls=SAFE)
    harness.roster(api.BackendEntry("a", DRAINING), kind=CHANGES)
    assert harness.answer(send.request, "a", api.Status.ERROR) == []
    assert harness.request(customer=2) == []
    assert api.Send not in kinds(harness.advance(5.0))


def test_backend_missing_from_a_full_list_is_gone(harness):
    harness.backends("b")
    for customer in range(6):
        assert all(a.backend == "b" for a in harness.request(customer=customer) if isinstance(a, api.Send))


def test_empty_roster_queues_then_refuses_and_service_resumes_after(harness):
    harness.roster()
    harness.request()
    assert kinds(harness.advance(4.0)) == [api.Refuse]
    harness.backends("a")
    assert kinds(harness.request()) == [api.Send]


def sends_to_cold(harness: Harness, seconds: float, per_second: int) -> int:
    cold = 0
    for step in range(int(seconds * per_second)):
        for action in harness.request(customer=step % 50) + harness.advance(1 / per_second):
            if isinstance(action, api.Send):
                cold += action.backend == "cold"
                harness.answer(action.request, action.backend)
    return cold


def test_cold_backend_gets_its_part_of_a_warm_ones_load():
    harness = Harness(make_settings())
    harness.backends("w1", "w2", "w3")
    sends_to_cold(harness, 4.0, 30)  # learns the load of a warm backend
    harness.roster(api.BackendEntry("cold", READY, started_at=harness.now), kind=CHANGES)
    # a warm backend gets ten requests per second; the cold one takes 0.2 of that at first, 0.36 after two seconds
    assert sends_to_cold(harness, 2.0, 30) <= 2.0 * 10 * 0.36 + 1


def fleet_of_ingresses(count: int, *entries: api.BackendEntry, **changes) -> list[Harness]:
    harnesses = []
    for me in range(count):
        harness = Harness(make_settings(ingresses=count, me=me, **changes))
        harness.control.random.seed(me)
        harness.roster(*entries)
        harnesses.append(harness)
    return harnesses


@pytest.mark.parametrize("cold", [10, 37, 99])
def test_all_ingresses_together_do_not_overload_cold_backends(cold):
    """The sum over all ingresses, each with one request, when a part or nearly all of the backends start at once."""
    entries = [api.BackendEntry(f"b{i:02}", READY, started_at=100.0 if i < cold else 0.0) for i in range(100)]
    harnesses, sent = fleet_of_ingresses(400, *entries), 0
    for harness in harnesses:
        sent += sum(isinstance(a, api.Send) and int(a.backend[1:]) < cold for a in harness.request())
    # cold backends can take a fifth of their share of the work now; the rest allows for random variation
    fair = len(harnesses) * cold / len(entries)
    assert 0 < sent <= harness.settings.cold_share * fair + 3 * fair ** 0.5


def test_cold_backends_get_about_the_load_that_they_can_take():
    """If a restarted half of the fleet were left nearly idle, its load would overload the warm half."""
    entries = [api.BackendEntry(f"b{i:02}", READY, started_at=100.0 if i < 50 else 0.0) for i in range(100)]
    harnesses = fleet_of_ingresses(800, *entries)
    sent = sum(isinstance(a, api.Send) and int(a.backend[1:]) < 50
               for harness in harnesses for a in harness.request())
    fair = len(harnesses) / 2
    assert 0.75 * harnesses[0].settings.cold_share * fair <= sent <= 1.25 * harnesses[0].settings.cold_share * fair


def test_queued_requests_do_not_repeat_the_draw_for_cold_backends():
    """Without warm backends, queued requests that are checked every 20 ms must not win a draw in the end each."""
    entries = [api.BackendEntry(f"b{i}", READY, started_at=100.0) for i in range(30)]
    harnesses, sent = fleet_of_ingresses(300, *entries), 0
    for harness in harnesses:
        sent += sum(isinstance(a, api.Send) for a in harness.request() + harness.advance(0.45))
    assert 0 < sent <= 0.2 * len(harnesses)


def test_cold_backend_is_warm_after_the_ramp_time(harness):
    harness.roster(api.BackendEntry("a", READY, started_at=harness.now), kind=CHANGES)
    harness.advance(harness.settings.ramp_time)
    actions = [a for customer in range(12) for a in harness.request(customer=customer)]
    assert {a.backend for a in actions if isinstance(a, api.Send)} == {"a", "b"}


def test_queued_request_is_ended_before_its_client_leaves_despite_a_pending_counter_call():
    """With less time left than the counter's time-out, the fall-back timer would fire too late."""
    harness = Harness(make_settings(ingresses=200))
    harness.backends("a")
    assert harness.request(width=200.0, left=0.07) == []
    assert kinds(harness.advance(0.07)) in ([api.Refuse], [api.Send])


def test_restarted_backend_keeps_attempts_in_flight_and_their_answers_count(harness):
    (send,) = harness.request()
    harness.roster(api.BackendEntry(send.backend, READY, started_at=harness.now), kind=CHANGES)
    assert harness.control.fleet.in_flight == 1
    harness.answer(send.request, send.backend)
    assert (harness.control.fleet.in_flight == 0 and not harness.control.fleet.busy
            and not harness.control.requests.open)


def test_answers_of_a_removed_backend_are_processed(harness):
    (send,) = harness.request(cls=UNSAFE)
    harness.roster(api.BackendEntry(send.backend, GONE), kind=CHANGES)
    assert kinds(harness.answer(send.request, send.backend, api.Status.RESET)) == [api.Fail]
    harness.roster(kind=CHANGES)
    assert send.backend not in harness.control.fleet.backends


def test_no_timer_is_set_while_idle(harness):
    (send,) = harness.request()
    harness.answer(send.request, send.backend)
    harness.advance(20.0)
    assert harness.timers == []


@pytest.mark.parametrize("seed", range(8))
def test_invariants_under_random_events(seed):
    """Seeded random traffic and failures: one answer in time; effects, drains and ceilings are respected."""
    rng = random.Random(seed)
    harness = Harness(make_settings())
    names = [f"b{i}" for i in range(5)]
    state, cells = dict.fromkeys(names, READY), {n: i % 2 for i, n in enumerate(names)}
    harness.roster(*(api.BackendEntry(n, READY, cell=cells[n]) for n in names))
    asked, answered, out, ran, ceiling = {}, set(), {}, {}, {}
    attempts, totals, started = {}, {}, harness.now

    def check(actions: list) -> None:
        for a in actions:
            if isinstance(a, api.Send):
                cls, plan, customer, units, _ = asked[a.request]
                assert a.request not in answered and a.request not in out and state[a.backend] is READY
                if a.request in ran:
                    assert cls != UNSAFE
                    if cls == KEYED:
                        since, where = ran[a.request]
                        assert cells[where] == cells[a.backend] and harness.now < since + 3.0
                attempts[a.request] = attempts.get(a.request, -1) + 1
                if attempts[a.request] == 0 and plan == CAPPED:
                    ceiling[customer] = ceiling.get(customer, 0.0) + units
                    assert ceiling[customer] <= 10.0 + 5.0 * (harness.now - started) + 1e-6
                out[a.request] = (a.backend, harness.now)
            elif isinstance(a, api.Refuse | api.Fail):
                cls, *_, ends = asked[a.request]
                assert a.request not in answered and a.request not in out
                assert harness.now <= ends + harness.settings.answer_slack
                if isinstance(a, api.Refuse):
                    assert a.request not in ran or cls == SAFE
                answered.add(a.request)

    for _ in range(1500):
        pick = rng.random()
        if pick < 0.45:
            cls, plan, customer = rng.randrange(3), rng.randrange(4), rng.randrange(12)
            left, units = rng.uniform(0.2, 5.0), float(rng.randint(1, 2))
            asked[harness.ids + 1] = (cls, plan, customer * 4 + plan, units, harness.now + left)
            check(harness.request(cls, plan, customer * 4 + plan, units, left))
        elif pick < 0.85 and (timely := sorted(r for r in out if asked[r][-1] > harness.now)):
            request = rng.choice(timely)
            backend, sent = out.pop(request)
            status = rng.choice([api.Status.OK] * 3 + NEVER_RAN + MAY_HAVE_RUN)
            if status is api.Status.OK:
                answered.add(request)
            elif not status.never_ran:
                ran.setdefault(request, (sent, backend))
            check(harness.answer(request, backend, status, harness.now - sent, attempts[request]))
        elif pick < 0.9:
            name = rng.choice(names)
            state[name] = rng.choice([READY, READY, DRAINING, GONE])
            check(harness.roster(api.BackendEntry(name, state[name], cell=cells[name]), kind=CHANGES))
        elif pick < 0.95:
            harness.count_replies(rng.choice([api.Status.OK, api.Status.TIMEOUT, api.Status.FULL]),
                                others=rng.choice([0.0, 3.0]), totals=totals)
        else:
            late = [r for r, (_, sent) in out.items() if asked[r][-1] <= harness.now]
            for request in sorted(late):
                backend, sent = out.pop(request)
                ran.setdefault(request, (sent, backend))
                asked[request] = (*asked[request][:-1], harness.now)  # the time-out is due at the deadline
                check(harness.answer(request, backend, api.Status.TIMEOUT, harness.now - sent, attempts[request]))
            end = harness.now + rng.uniform(0.0, 0.2)
            while due := sorted(t for t in harness.timers if t[0] <= end):
                harness.timers.remove(due[0])
                harness.now = max(harness.now, due[0][0])
                check(harness.deliver(api.TimerDue(due[0][1])))
            harness.now = end
    for request in sorted(out):
        backend, sent = out.pop(request)
        answered.add(request)
        check(harness.answer(request, backend, api.Status.OK, harness.now - sent, attempts[request]))
    while out or harness.control.requests.waiting:
        due = min(harness.timers)
        harness.timers.remove(due)
        harness.now = max(harness.now, due[0])
        check(harness.deliver(api.TimerDue(due[1])))
        for request in sorted(out):
            backend, sent = out.pop(request)
            answered.add(request)
            check(harness.answer(request, backend, api.Status.OK, harness.now - sent, attempts[request]))
    assert answered == set(asked) and not harness.control.requests.open
