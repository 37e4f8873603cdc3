"""Many ingresses: sparse customers decided by their own call, sums over ingresses, backends' own word."""

import pytest
from conftest import CAPPED, READY, SOFT, Harness, kinds, make_settings

from fennelpoint import interface as api
from fennelpoint import quotas, selection, state
from fennelpoint.settings import from_json
from fennelpoint.shared_counter import COUNT_LIFETIME_S, base_of, name_of
from fennelpoint.testing import SETTINGS

INGRESSES = 200
FAST, SLOW = 0.002, 0.045  # s for an answer of a counter whose time-out is 0.05 s


def sparse(**changes) -> Harness:
    """One of many ingresses, before enough backends that only the quota decides."""
    harness = Harness(make_settings(ingresses=INGRESSES, **changes))
    harness.backends(*(f"s{i:02}" for i in range(40)))
    return harness


class Counter:
    """A counter that all ingresses share; a name is forgotten when its time is up."""

    def __init__(self) -> None:
        self.names: dict[int, tuple[float, float]] = {}

    def add(self, call: api.Count, now: float) -> float:
        total, ends = self.names.get(call.name, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + call.forget_after
        self.names[call.name] = (total + call.amount, ends)
        return total + call.amount


def reply(harness: Harness, status: api.Status = api.Status.OK, total: float = 1.0,
          latency: float = FAST) -> list:
    """Answer the call that is out, after those that only told."""
    (*tells, call), harness.counts = harness.counts, []
    for tell in tells:
        harness.deliver(api.CounterReply(tell.name, api.Status.OK, 0.0, FAST))
    return harness.deliver(api.CounterReply(call.name, status, total, latency))


def ask(harness: Harness, **values) -> list:
    return harness.request(width=float(INGRESSES), **values)


def test_sparse_try_waits_for_its_own_total():
    harness = sparse()
    assert ask(harness) == []
    assert [(c.amount, c.forget_after) for c in harness.counts] == [(1.0, COUNT_LIFETIME_S)]
    assert kinds(reply(harness, total=used(harness, 7.0) + 1.0)) == [api.Send]


def test_sparse_try_is_refused_once_the_store_is_empty_and_its_units_are_given_back():
    harness = sparse()
    ask(harness)
    (refusal,) = reply(harness, total=used(harness, 7.5) + 1.0)
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0
    assert [c.amount for c in harness.counts] == [-1.0]
    harness.counts.clear()    # it takes time to fill, whatever the others do: that needs no call
    assert kinds(ask(harness)) == [api.Refuse] and not harness.counts


def test_try_that_took_its_units_and_finds_no_backend_gives_them_back():
    harness = Harness(make_settings(ingresses=INGRESSES))
    harness.backends()
    ask(harness)
    assert reply(harness, total=used(harness, 0.0) + 1.0) == []
    harness.counts.clear()
    assert kinds(harness.advance(3.0)) == [api.Refuse]
    assert [c.amount for c in harness.counts] == [-1.0]


def used(harness: Harness, units: float, customer: int = 1) -> float:
    """The total of a store that was full when its epoch began and from which so many units are missing."""
    base = base_of(harness.settings.plans[0], 0.0)
    return base + units + 4.0 * (harness.now - name_of(customer, harness.now)[1])


def test_soft_sparse_plan_runs_lucky():
    harness = sparse()
    assert kinds(ask(harness, plan=SOFT)) == [api.Send] and not harness.counts  # whatever the answer
    harness.control.regulation.is_overloaded = True
    assert ask(harness, plan=SOFT) == [] and len(harness.counts) == 1


@pytest.mark.parametrize("asked_x", [0.5, 5.0])
def test_quota_holds_as_a_sum_over_many_ingresses(asked_x):
    """Each ingress has a try once in minutes: a bucket of one request each would let nearly all through."""
    counter, harnesses, sent, asked, now = Counter(), [sparse(me=i) for i in range(INGRESSES)], 0, 0, 100.0
    for step in range(int(20.0 * 4.0 * asked_x)):
        harness, now = harnesses[step * 7 % INGRESSES], 100.0 + step / (4.0 * asked_x)
        harness.now = now
        actions, asked = ask(harness), asked + 1
        while harness.counts:     # what is put right goes on the counter too
            call = harness.counts.pop(0)
            actions += harness.deliver(api.CounterReply(call.name, api.Status.OK, counter.add(call, now), FAST))
        sent += kinds(actions).count(api.Send)
    quota = 8.0 + 4.0 * 20.0
    assert sent <= 1.05 * quota
    assert sent >= 0.9 * min(asked, 4.0 * 20.0)


def test_counter_that_never_answers_lets_a_try_go_on_by_its_bucket():
    harness = sparse()
    ask(harness)
    assert kinds(harness.advance(0.2)) == [api.Send]


@pytest.mark.parametrize("status", [api.Status.TIMEOUT, api.Status.FULL, api.Status.CONNECT_FAILED])
def test_counter_in_trouble_is_asked_less_and_every_try_is_answered(status):
    harness, calls = sparse(), 0
    for customer in range(200):
        actions = ask(harness, customer=customer)
        calls += len(harness.counts)
        if harness.counts:
            actions = reply(harness, status)
        assert kinds(actions) == [api.Send]
        harness.answer(actions[0].request, actions[0].backend)
    assert calls <= 60 and harness.control.quotas.asking == quotas.MIN_ASKING


def test_slow_counter_is_asked_less_and_a_quick_one_more():
    harness = sparse()
    for latency, compare in ((SLOW, float.__lt__), (FAST, float.__gt__)):
        before = harness.control.quotas.asking
        for customer in range(40):
            ask(harness, customer=customer)
            if harness.counts:
                reply(harness, latency=latency)
        assert compare(harness.control.quotas.asking, before)


def test_total_that_is_no_number_counts_as_no_answer():
    harness = sparse()
    ask(harness)
    assert kinds(reply(harness, total=float("nan"))) == [api.Send]
    assert harness.control.quotas.asking < 1.0


def test_customer_seen_over_its_quota_stays_out_while_the_counter_is_silent():
    harness = sparse()
    ask(harness)
    reply(harness, total=used(harness, 9.0) + 1.0)
    harness.now += 0.6    # units may have come in
    ask(harness)
    assert kinds(reply(harness, api.Status.TIMEOUT)) == [api.Refuse]


def test_ceiling_holds_as_a_sum_over_the_ingresses_of_a_customer():
    """All of its ingresses busy at once, the counter silent, one restarted half way."""
    harnesses, sent = [Harness(make_settings(ingresses=INGRESSES, me=i)) for i in range(5)], 0
    for harness in harnesses:
        harness.backends(*(f"s{i:02}" for i in range(40)))
    for step in range(100):
        if step == 50:
            harnesses[2] = Harness(make_settings(ingresses=INGRESSES, me=2), now=harnesses[0].now)
            harnesses[2].backends(*(f"s{i:02}" for i in range(40)))
        for harness in harnesses:
            actions = harness.request(plan=CAPPED, width=5.0) + harness.advance(0.1)
            sent += kinds(actions).count(api.Send)
            for a in actions:
                if isinstance(a, api.Send):
                    harness.answer(a.request, a.backend)
    assert 60 <= sent <= 20.0 + 10.0 * 10.0


def test_work_of_a_choice_does_not_grow_with_the_fleet():
    harness, looked = Harness(make_settings(ingresses=INGRESSES)), 0
    harness.backends(*(f"s{i:03}" for i in range(500)))
    cost = harness.control.selection.cost

    def counted(*args) -> float:
        nonlocal looked
        looked += 1
        return cost(*args)

    harness.control.selection.cost = counted
    harness.request()
    assert 0 < looked <= selection.SUBSET_SIZE


def test_many_ingresses_spread_over_alike_backends():
    """Own work out says nothing there: each draws for itself, in proportion to what a backend can do."""
    sent: dict[str, int] = {}
    for seed in range(600):
        harness = Harness(make_settings(ingresses=600, has_counter=False))
        harness.control.random.seed(seed)
        harness.roster(*(api.BackendEntry(f"b{i}", READY, weight=2.0 if i == 0 else 1.0) for i in range(5)))
        (send,) = harness.request()
        sent[send.backend] = sent.get(send.backend, 0) + 1
    assert 160 <= sent.pop("b0") <= 240 and all(70 <= n <= 130 for n in sent.values())


# Backends' own word


def probing(**changes) -> Harness:
    harness = Harness(make_settings(ingresses=INGRESSES, has_counter=False, may_probe=True, report_via="probe",
                                report_fields=["queue", "inflight"], **changes))
    harness.backends("a", "b")
    return harness


def test_two_backends_are_probed_and_the_less_loaded_gets_the_try():
    for loaded, idle in (("a", "b"), ("b", "a")):
        harness = probing()
        assert kinds(harness.request()) == [api.Probe, api.Probe]
        assert harness.deliver(api.ProbeResult(loaded, api.Status.OK, 0.002, [5.0, 9.0])) == []
        (send,) = harness.deliver(api.ProbeResult(idle, api.Status.OK, 0.002, [0.0, 1.0]))
        assert send.backend == idle


def test_probe_without_an_answer_does_not_hold_a_try_back():
    harness = probing()
    harness.request()
    harness.deliver(api.ProbeResult("a", api.Status.OK, 0.002, [0.0, 1.0]))
    assert kinds(harness.advance(2 * selection.PROBE_WAIT_S)) == [api.Send]


def test_report_that_stays_out_looks_busy():
    """Reports that stop just from busy backends: no word must not look like an idle one."""
    harness = probing()
    harness.control.selection.usual_held = 1.5
    harness.request()
    harness.deliver(api.ProbeResult("a", api.Status.OK, 0.002, [0.0, 2.0]))
    (send,) = harness.deliver(api.ProbeResult("b", api.Status.OK, 0.002, []))
    assert send.backend == "a"


def test_old_idle_report_is_not_trusted():
    harness = probing()
    backend, other = (harness.control.fleet.backends[name] for name in "ab")
    harness.control.selection.usual_held = 4.0
    harness.control.selection.add_report(backend, [0.0, 0.0], harness.now)
    t = state.PendingRequest(api.Request(1, 0, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0,
                             harness.control.limiter,
                             probed=[backend])
    cost, late = harness.control.selection.cost, harness.now + 8 * selection.REPORT_HALF_LIFE_S
    assert cost(backend, 1.0, t, harness.now) < 0.5 * cost(other, 1.0, t, harness.now)
    assert cost(backend, 1.0, t, late) > 0.9 * cost(other, 1.0, t, late)


@pytest.mark.parametrize("values", [[float("nan"), 1.0], [-5.0], [float("inf"), float("inf")]])
def test_report_that_is_no_number_never_reaches_a_decision(values):
    harness = probing()
    harness.control.selection.add_report(harness.control.fleet.backends["a"], values, harness.now)
    assert 0.0 <= harness.control.fleet.backends["a"].reported < 100.0


def test_few_ingresses_do_not_probe():
    harness = Harness(make_settings(ingresses=3, may_probe=True, report_via="probe", report_fields=["util"]))
    harness.backends("a", "b")
    assert kinds(harness.request()) == [api.Send]


def test_probes_are_left_where_the_site_prices_them_over_what_they_bring():
    """Two of them a try, by each of 40 ingresses, cost 0.09 of a result that they bettered by 0.02."""
    settings = from_json(SETTINGS | {"deductions": {"probe": 0.08}})
    assert settings.probe_price == 0.08
    harness = probing(probe_price=settings.probe_price)
    assert kinds(harness.request()) == [api.Send]
    assert kinds(probing(probe_price=0.01).request()) == [api.Probe, api.Probe]


def test_unasked_tries_go_by_what_others_of_their_plan_were_told():
    """Most answers said that the window was used up: what is not asked about costs more than it earns."""
    harness = sparse()
    for customer in range(60):
        ask(harness, customer=customer)
        if harness.counts:
            reply(harness, total=used(harness, 9.0, customer) + 1.0)
    harness.control.quotas.asking = 0.0
    assert kinds(ask(harness, customer=1000)) == [api.Refuse]
    assert kinds(ask(harness, customer=1001, plan=SOFT)) == [api.Send]  # its excess costs nothing
