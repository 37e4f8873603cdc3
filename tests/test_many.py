"""Many ingresses: sparse customers decided by their own call, sums over ingresses, backends' own word."""

import pytest
from conftest import CAPPED, READY, SOFT, World, kinds, make_settings

from fennelpoint import interface as api
from fennelpoint import quotas, selection, state
from fennelpoint.settings import from_json
from fennelpoint.shared_counter import COUNT_LIFETIME_S, base_of, name_of
from fennelpoint.testing import SETTINGS

INGRESSES = 200
FAST, SLOW = 0.002, 0.045  # s for an answer of a counter whose time-out is 0.05 s


def sparse(**changes) -> World:
    """One of many ingresses, before enough backends that only the quota decides."""
    world = World(make_settings(ingresses=INGRESSES, **changes))
    world.backends(*(f"s{i:02}" for i in range(40)))
    return world


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


def reply(world: World, status: api.Status = api.Status.OK, total: float = 1.0,
          latency: float = FAST) -> list:
    """Answer the call that is out, after those that only told."""
    (*tells, call), world.counts = world.counts, []
    for tell in tells:
        world.give(api.CounterReply(tell.name, api.Status.OK, 0.0, FAST))
    return world.give(api.CounterReply(call.name, status, total, latency))


def ask(world: World, **values) -> list:
    return world.ask(width=float(INGRESSES), **values)


def test_sparse_try_waits_for_its_own_total():
    world = sparse()
    assert ask(world) == []
    assert [(c.amount, c.forget_after) for c in world.counts] == [(1.0, COUNT_LIFETIME_S)]
    assert kinds(reply(world, total=used(world, 7.0) + 1.0)) == [api.Send]


def test_sparse_try_is_refused_once_the_store_is_empty_and_its_units_are_given_back():
    world = sparse()
    ask(world)
    (refusal,) = reply(world, total=used(world, 7.5) + 1.0)
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0
    assert [c.amount for c in world.counts] == [-1.0]
    world.counts.clear()    # it takes time to fill, whatever the others do: that needs no call
    assert kinds(ask(world)) == [api.Refuse] and not world.counts


def test_try_that_took_its_units_and_finds_no_backend_gives_them_back():
    world = World(make_settings(ingresses=INGRESSES))
    world.backends()
    ask(world)
    assert reply(world, total=used(world, 0.0) + 1.0) == []
    world.counts.clear()
    assert kinds(world.wait(3.0)) == [api.Refuse]
    assert [c.amount for c in world.counts] == [-1.0]


def used(world: World, units: float, customer: int = 1) -> float:
    """The total of a store that was full when its epoch began and from which so many units are missing."""
    base = base_of(world.settings.plans[0], 0.0)
    return base + units + 4.0 * (world.now - name_of(customer, world.now)[1])


def test_soft_sparse_plan_runs_lucky():
    world = sparse()
    assert kinds(ask(world, plan=SOFT)) == [api.Send] and not world.counts  # whatever the answer
    world.control.regulation.is_overloaded = True
    assert ask(world, plan=SOFT) == [] and len(world.counts) == 1


@pytest.mark.parametrize("asked_x", [0.5, 5.0])
def test_quota_holds_as_a_sum_over_many_ingresses(asked_x):
    """Each ingress has a try once in minutes: a bucket of one request each would let nearly all through."""
    counter, worlds, sent, asked, now = Counter(), [sparse(me=i) for i in range(INGRESSES)], 0, 0, 100.0
    for step in range(int(20.0 * 4.0 * asked_x)):
        world, now = worlds[step * 7 % INGRESSES], 100.0 + step / (4.0 * asked_x)
        world.now = now
        actions, asked = ask(world), asked + 1
        while world.counts:     # what is put right goes on the counter too
            call = world.counts.pop(0)
            actions += world.give(api.CounterReply(call.name, api.Status.OK, counter.add(call, now), FAST))
        sent += kinds(actions).count(api.Send)
    quota = 8.0 + 4.0 * 20.0
    assert sent <= 1.05 * quota
    assert sent >= 0.9 * min(asked, 4.0 * 20.0)


def test_counter_that_never_answers_lets_a_try_go_on_by_its_bucket():
    world = sparse()
    ask(world)
    assert kinds(world.wait(0.2)) == [api.Send]


@pytest.mark.parametrize("status", [api.Status.TIMEOUT, api.Status.FULL, api.Status.CONNECT_FAILED])
def test_counter_in_trouble_is_asked_less_and_every_try_is_answered(status):
    world, calls = sparse(), 0
    for customer in range(200):
        actions = ask(world, customer=customer)
        calls += len(world.counts)
        if world.counts:
            actions = reply(world, status)
        assert kinds(actions) == [api.Send]
        world.answer(actions[0].request, actions[0].backend)
    assert calls <= 60 and world.control.quotas.asking == quotas.MIN_ASKING


def test_slow_counter_is_asked_less_and_a_quick_one_more():
    world = sparse()
    for latency, compare in ((SLOW, float.__lt__), (FAST, float.__gt__)):
        before = world.control.quotas.asking
        for customer in range(40):
            ask(world, customer=customer)
            if world.counts:
                reply(world, latency=latency)
        assert compare(world.control.quotas.asking, before)


def test_total_that_is_no_number_counts_as_no_answer():
    world = sparse()
    ask(world)
    assert kinds(reply(world, total=float("nan"))) == [api.Send]
    assert world.control.quotas.asking < 1.0


def test_customer_seen_over_its_quota_stays_out_while_the_counter_is_silent():
    world = sparse()
    ask(world)
    reply(world, total=used(world, 9.0) + 1.0)
    world.now += 0.6    # units may have come in
    ask(world)
    assert kinds(reply(world, api.Status.TIMEOUT)) == [api.Refuse]


def test_ceiling_holds_as_a_sum_over_the_ingresses_of_a_customer():
    """All of its ingresses busy at once, the counter silent, one restarted half way."""
    worlds, sent = [World(make_settings(ingresses=INGRESSES, me=i)) for i in range(5)], 0
    for world in worlds:
        world.backends(*(f"s{i:02}" for i in range(40)))
    for step in range(100):
        if step == 50:
            worlds[2] = World(make_settings(ingresses=INGRESSES, me=2), now=worlds[0].now)
            worlds[2].backends(*(f"s{i:02}" for i in range(40)))
        for world in worlds:
            actions = world.ask(plan=CAPPED, width=5.0) + world.wait(0.1)
            sent += kinds(actions).count(api.Send)
            for a in actions:
                if isinstance(a, api.Send):
                    world.answer(a.request, a.backend)
    assert 60 <= sent <= 20.0 + 10.0 * 10.0


def test_work_of_a_choice_does_not_grow_with_the_fleet():
    world, looked = World(make_settings(ingresses=INGRESSES)), 0
    world.backends(*(f"s{i:03}" for i in range(500)))
    cost = world.control.selection.cost

    def counted(*args) -> float:
        nonlocal looked
        looked += 1
        return cost(*args)

    world.control.selection.cost = counted
    world.ask()
    assert 0 < looked <= selection.SUBSET_SIZE


def test_many_ingresses_spread_over_alike_backends():
    """Own work out says nothing there: each draws for itself, in proportion to what a backend can do."""
    sent: dict[str, int] = {}
    for seed in range(600):
        world = World(make_settings(ingresses=600, has_counter=False))
        world.control.random.seed(seed)
        world.roster(*(api.BackendEntry(f"b{i}", READY, weight=2.0 if i == 0 else 1.0) for i in range(5)))
        (send,) = world.ask()
        sent[send.backend] = sent.get(send.backend, 0) + 1
    assert 160 <= sent.pop("b0") <= 240 and all(70 <= n <= 130 for n in sent.values())


# Backends' own word


def probing(**changes) -> World:
    world = World(make_settings(ingresses=INGRESSES, has_counter=False, may_probe=True, report_via="probe",
                                report_fields=["queue", "inflight"], **changes))
    world.backends("a", "b")
    return world


def test_two_backends_are_probed_and_the_less_loaded_gets_the_try():
    for loaded, idle in (("a", "b"), ("b", "a")):
        world = probing()
        assert kinds(world.ask()) == [api.Probe, api.Probe]
        assert world.give(api.ProbeResult(loaded, api.Status.OK, 0.002, [5.0, 9.0])) == []
        (send,) = world.give(api.ProbeResult(idle, api.Status.OK, 0.002, [0.0, 1.0]))
        assert send.backend == idle


def test_probe_without_an_answer_does_not_hold_a_try_back():
    world = probing()
    world.ask()
    world.give(api.ProbeResult("a", api.Status.OK, 0.002, [0.0, 1.0]))
    assert kinds(world.wait(2 * selection.PROBE_WAIT_S)) == [api.Send]


def test_report_that_stays_out_looks_busy():
    """Reports that stop just from busy backends: no word must not look like an idle one."""
    world = probing()
    world.control.selection.usual_held = 1.5
    world.ask()
    world.give(api.ProbeResult("a", api.Status.OK, 0.002, [0.0, 2.0]))
    (send,) = world.give(api.ProbeResult("b", api.Status.OK, 0.002, []))
    assert send.backend == "a"


def test_old_idle_report_is_not_trusted():
    world = probing()
    backend, other = (world.control.fleet.backends[name] for name in "ab")
    world.control.selection.usual_held = 4.0
    world.control.selection.add_report(backend, [0.0, 0.0], world.now)
    t = state.PendingRequest(api.Request(1, 0, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0, world.control.limiter,
                    probed=[backend])
    cost, late = world.control.selection.cost, world.now + 8 * selection.REPORT_HALF_LIFE_S
    assert cost(backend, 1.0, t, world.now) < 0.5 * cost(other, 1.0, t, world.now)
    assert cost(backend, 1.0, t, late) > 0.9 * cost(other, 1.0, t, late)


@pytest.mark.parametrize("values", [[float("nan"), 1.0], [-5.0], [float("inf"), float("inf")]])
def test_report_that_is_no_number_never_reaches_a_decision(values):
    world = probing()
    world.control.selection.add_report(world.control.fleet.backends["a"], values, world.now)
    assert 0.0 <= world.control.fleet.backends["a"].reported < 100.0


def test_few_ingresses_do_not_probe():
    world = World(make_settings(ingresses=3, may_probe=True, report_via="probe", report_fields=["util"]))
    world.backends("a", "b")
    assert kinds(world.ask()) == [api.Send]


def test_probes_are_left_where_the_site_prices_them_over_what_they_bring():
    """Two of them a try, by each of 40 ingresses, cost 0.09 of a result that they bettered by 0.02."""
    settings = from_json(SETTINGS | {"deductions": {"probe": 0.08}})
    assert settings.probe_price == 0.08
    world = probing(probe_price=settings.probe_price)
    assert kinds(world.ask()) == [api.Send]
    assert kinds(probing(probe_price=0.01).ask()) == [api.Probe, api.Probe]


def test_unasked_tries_go_by_what_others_of_their_plan_were_told():
    """Most answers said that the window was used up: what is not asked about costs more than it earns."""
    world = sparse()
    for customer in range(60):
        ask(world, customer=customer)
        if world.counts:
            reply(world, total=used(world, 9.0, customer) + 1.0)
    world.control.quotas.asking = 0.0
    assert kinds(ask(world, customer=1000)) == [api.Refuse]
    assert kinds(ask(world, customer=1001, plan=SOFT)) == [api.Send]  # its excess costs nothing
