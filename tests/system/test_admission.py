"""Admission control on a proxy, in normal operation and under overload: regions, order and steps of cuts."""

import pytest

from fennelpoint import interface as api
from fennelpoint.regulation import FULL_STEP, PERIOD_S, STEP
from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.events import BackendPlacement, Catalogue, LeasedShares
from fennelpoint.system.registry.allocator import Allocator

S = api.Status


class SimulatedProxy:
    """One proxy with 3 tenants of 10 requests/s each, and a backend whose latency the test sets by tenant."""

    def __init__(self) -> None:
        classes = [api.RequestClass("read", 0.4, 2.0, 1.0, api.Effect.SAFE)]
        tenants = [api.Plan(f"t{i}", 8.0 ** -i, 10.0, 20.0) for i in range(3)]
        plans = [api.Plan("public", 1.0), *tenants]
        settings = api.Settings(0, 1, 0, classes, plans, 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                                may_advise=True, max_advice=3.0)
        self.now, self.number, self.timers, self.refused, self.answers = 100.0, 0, [], {}, []
        self.controller = ProxyController(settings, 1, self.now)
        self.post(Catalogue(classes, plans))
        self.post(api.Cells({"svc": api.Cell(frozenset(("b1",)))}))
        self.post(api.Roster(api.RosterKind.FULL, 0, [api.BackendEntry("b1", api.BackendState.READY)]))
        self.post(BackendPlacement({}, {"b1": 1000}, {}))
        self.post(LeasedShares({0: 1.0, 1: 1.0, 2: 1.0}, 10.0))

    def post(self, event) -> list:
        actions = self.controller.handle(event, self.now)
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def run(self, seconds: float, rates: dict[int, float], latency: dict[int, float]) -> None:
        """Let time pass while tenants send requests at these rates, with these latencies."""
        end, due = self.now + seconds, dict.fromkeys(rates, self.now)
        while self.now < end:
            self.now += 0.01
            for timer in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(timer)
                self.post(api.TimerDue(timer[1]))
            for answer in [a for a in self.answers if a[0] <= self.now]:
                self.answers.remove(answer)
                self.post(api.Outcome(answer[1], 0, "b1", S.OK, answer[2], True))
            for tenant, rate in rates.items():
                while due[tenant] <= self.now:
                    due[tenant] += 1.0 / rate
                    self.number += 1
                    request = api.Request(self.number, 0, 1 + tenant, tenant, 2.0, 1.0, 1.0, 0.0, cell="svc")
                    for action in self.post(request):
                        if isinstance(action, api.Send):
                            self.answers.append((self.now + latency[tenant], action.request, latency[tenant]))
                        elif isinstance(action, api.Refuse):
                            self.refused[tenant] = self.refused.get(tenant, 0) + 1

    @property
    def regulation(self):
        return self.controller.regulation


class OverloadedProxy(SimulatedProxy):
    """A proxy whose backend runs as many requests at once as it has slots; further ones are queued there."""

    def __init__(self, slots: int, work_s: float) -> None:
        super().__init__()
        self.work_s, self.slot_free_at = work_s, [self.now] * slots
        self.post(BackendPlacement({}, {"b1": slots}, {}))
        self.tenant_of: dict[int, int] = {}
        self.requested, self.served = dict.fromkeys(range(3), 0), dict.fromkeys(range(3), 0)

    def run_at_rate(self, rate: float, seconds: float) -> None:
        """Let time pass while each tenant sends requests at that rate."""
        end, due = self.now + seconds, dict.fromkeys(self.requested, self.now)
        while self.now < end:
            self.now += 0.01
            for timer in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(timer)
                self._send(api.TimerDue(timer[1]))
            for answer in [a for a in self.answers if a[0] <= self.now]:
                self.answers.remove(answer)
                self.served[self.tenant_of[answer[1]]] += 1
                self._send(api.Outcome(answer[1], 0, "b1", S.OK, answer[2], True))
            for tenant in [t for t in due if due[t] <= self.now]:
                due[tenant] += 1.0 / rate
                self.number += 1
                self.tenant_of[self.number] = tenant
                self.requested[tenant] += 1
                self._send(api.Request(self.number, 0, 1 + tenant, tenant, 2.0, 1.0, 1.0, 0.0, cell="svc"))

    def _send(self, event) -> None:
        for sent in (a for a in self.post(event) if isinstance(a, api.Send)):
            slot = min(range(len(self.slot_free_at)), key=self.slot_free_at.__getitem__)
            self.slot_free_at[slot] = max(self.now, self.slot_free_at[slot]) + self.work_s
            self.answers.append((self.slot_free_at[slot], sent.request, self.slot_free_at[slot] - self.now))


@pytest.mark.parametrize("slots, work_s", [(1, 0.1), (2, 0.13), (2, 0.1)], ids=["10-of-27", "15-of-27", "20-of-27"])
def test_no_tenant_is_served_less_than_a_quarter_as_often_as_all_in_a_lasting_overload(
        slots: int, work_s: float) -> None:
    """All tenants keep to their quotas and send 27 requests/s; the backend answers 10, 15 or 20 of these in time."""
    proxy = OverloadedProxy(slots, work_s)
    proxy.run_at_rate(9.0, 60.0)
    total_share = sum(proxy.served.values()) / sum(proxy.requested.values())
    for tenant, requested in proxy.requested.items():
        assert proxy.served[tenant] / requested >= 0.25 * total_share, (proxy.served, proxy.requested)


def test_in_normal_operation_all_tenants_are_in_the_region_meet_and_nothing_is_cut() -> None:
    proxy = SimulatedProxy()
    proxy.run(4.0, {0: 5.0, 1: 5.0, 2: 5.0}, {0: 0.1, 1: 0.1, 2: 0.1})
    assert proxy.regulation.cut is None and not proxy.refused
    assert all(c.ratio < 1.0 and c.rate <= 10.0 for c in proxy.regulation.active.values())


def test_when_a_tenant_fails_the_lucky_one_is_cut_until_none_fails() -> None:
    proxy = SimulatedProxy()
    proxy.controller.quotas.local_rate = lambda c, now: 3.0 if c.key == 2 else 10.0   # t2 is over its quota
    proxy.controller.regulation.local_rate = proxy.controller.quotas.local_rate
    proxy.run(3.0, {0: 5.0, 2: 8.0}, {0: 0.9, 2: 0.05})
    cut = proxy.regulation.cut
    assert proxy.regulation.is_overloaded and [c.key for c, _ in cut.takes] == [2]
    assert proxy.controller.customers[2].cap < 8.0 and proxy.controller.customers[0].cap is None
    proxy.run(8.0, {0: 5.0, 2: 8.0}, {0: 0.05, 2: 0.05})
    assert proxy.regulation.cut is None and proxy.controller.customers[2].cap is None


@pytest.mark.parametrize("is_confident", [False, True])
def test_steps_are_constant_without_a_confident_fit_and_longer_with_one(is_confident: bool) -> None:
    proxy = SimulatedProxy()
    proxy.controller.regulation.local_rate = lambda c, now: 3.0 if c.key == 2 else 10.0
    for i in range(30 if is_confident else 0):
        proxy.regulation.fit.add(1.0 + i % 5, 0.2 + 0.02 * (i % 5), 0.98)
    proxy.run(3.1, {0: 5.0, 2: 8.0}, {0: 0.9, 2: 0.05})
    ((_, amount),) = proxy.regulation.cut.takes
    total = sum(proxy.regulation.cut.rates.values())
    assert amount == pytest.approx(STEP * (FULL_STEP if is_confident else 1.0) * total, rel=0.35)


def test_a_share_is_the_larger_of_the_even_share_and_the_share_of_demand_including_refused_requests() -> None:
    allocator, now, proxies = Allocator([1, "a"], ["f1", "f2", "f3"], 0.0), 0.0, ("f1", "f2", "f3")
    demand = {"f1": 12, "f2": 2, "f3": 0}     # f1 gets 24 requests/s of a quota of 20/s: most are refused there
    shares, newest = {}, [allocator.term, 10 ** 9]     # each grant has arrived
    for turn in range(60):
        now = 0.5 * turn
        for proxy in proxies:
            grant = allocator.request_grant(proxy, 1, "ra", newest, {"t": demand[proxy]}, None, {"t": 20.0}, {}, now)
            shares[proxy] = grant.quotas.get("t", 0)
    assert shares["f1"] > 700 > 300 > shares["f2"] > 50 and sum(shares.values()) <= 1000
    for turn in range(60, 300):
        now = 0.5 * turn
        for proxy in proxies:    # without demand: even shares again
            grant = allocator.request_grant(proxy, 1, "ra", newest, {}, None, {"t": 20.0}, {}, now)
            shares[proxy] = grant.quotas.get("t", 0)
    assert all(280 < share < 380 for share in shares.values()) and PERIOD_S == 0.5
