"""A hot tenant: eight times its usual load through all proxies at once, from clients to backends, in simulated time.

Real controllers on the proxies and a real allocator; quotas as shares that proxies hold, and as pools."""

from random import Random

import pytest

from fennelpoint import interface as api
from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.events import BackendPlacement, Catalogue, LeasedShares, UnitsGranted, UnitsNeeded
from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.system.registry.grants import GRANT_TTL_S, POOL_UNIT_TTL_S

TENANTS, WINDOW_S, SLACK, OVERSHOOT = ("hot", "a", "b"), 5.0, 20.0, 0.1
NETWORK_DELAY_S, LATENCY_S = 0.02, 0.1  # one way between a proxy and the allocator; of a backend


class Site:
    """Some proxies with clients of three tenants; each backend answers after the same time."""

    def __init__(self, proxies: int, rate: float, usual_rate: float) -> None:
        self.random, self.now, self.rate, self.usual_rate = Random(5), 10.0, rate, usual_rate
        names = [f"f{i}" for i in range(proxies)]
        self.allocator = Allocator([1, "c"], names, self.now)
        self.queue: list[tuple[float, int, object]] = []
        self.count, self.ran, self.requested = 0, {t: [] for t in TENANTS}, {t: 0 for t in TENANTS}
        self.refused: dict[str, list[tuple[float, bool]]] = {t: [] for t in TENANTS}
        self.client_of: dict[int, tuple[int, float]] = {}
        classes = [api.RequestClass("read", 0.8, 3.0, 1.0, api.Effect.SAFE)]
        plans = [api.Plan("public", 1.0), *(api.Plan(t, 1.0, rate, rate) for t in TENANTS)]
        self.proxies, self.demand = {}, {name: dict.fromkeys(TENANTS, 0) for name in names}
        self.newest_grant = dict.fromkeys(names, [self.allocator.term, 0])     # each knows the term
        for name in names:
            settings = api.Settings(0, 1, 0, classes, plans, 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                                    may_advise=True, max_advice=3.0)
            self.proxies[name] = ProxyController(settings, 1, self.now)
            backends = [f"s{i}" for i in range(8)]
            for event in (Catalogue(classes, plans), api.Cells({"svc": api.Cell(frozenset(backends))}),
                          api.Roster(api.RosterKind.FULL, 0, [api.BackendEntry(b, api.BackendState.READY)
                                                              for b in backends]),
                          BackendPlacement({}, dict.fromkeys(backends, 1000), {})):
                self.post(name, event)
            self.schedule(self.random.random() * 0.5, self.renew, name)

    def schedule(self, delay_s: float, callback, *arguments) -> None:
        self.count += 1
        self.queue.append((self.now + delay_s, self.count, (callback, arguments)))

    def renew(self, name: str) -> None:
        """Renew the grant of a proxy; the answer arrives a round trip later."""
        demand, self.demand[name] = self.demand[name], dict.fromkeys(TENANTS, 0)
        sent_at = self.now
        rates = dict.fromkeys(TENANTS, self.rate)
        grant = self.allocator.request_grant(name, 1, "r", self.newest_grant[name], demand, None, rates, {}, self.now)
        self.schedule(0.5, self.renew, name)
        if grant is not None:
            self.schedule(2 * NETWORK_DELAY_S, self.apply_grant, name, [self.allocator.term, grant.number],
                          grant.quotas, sent_at + GRANT_TTL_S)

    def apply_grant(self, name: str, newest: list, quotas: dict, expires_at: float) -> None:
        self.newest_grant[name] = newest
        if self.now < expires_at:
            self.post(name, LeasedShares({TENANTS.index(t): share / 1000 for t, share in quotas.items()}, 10.0, True))

    def request_units(self, name: str, customer: int, units: float, sent_at: float) -> None:
        rates = dict.fromkeys(TENANTS, self.rate)
        drawn = self.allocator.take_from_pools(name, {TENANTS[customer]: units}, rates, rates, SLACK, self.now)
        if drawn is not None:
            granted, denied = ({TENANTS.index(t): n for t, n in by_tenant.items()} for by_tenant in drawn[:2])
            briefly_short = {TENANTS.index(t) for t in drawn[2]}
            self.schedule(NETWORK_DELAY_S, self.post, name,
                          UnitsGranted(granted, denied, sent_at + POOL_UNIT_TTL_S, briefly_short))

    def post(self, name: str, event) -> None:
        for action in self.proxies[name].handle(event, self.now):
            match action:
                case api.SetTimer(delay, token):
                    self.schedule(delay, self.post, name, api.TimerDue(token))
                case api.Send(request, backend):
                    tenant, _ = self.client_of[request]
                    self.ran[tenant].append(self.now)
                    self.schedule(LATENCY_S, self.post, name,
                                  api.Outcome(request, 0, backend, api.Status.OK, LATENCY_S, True))
                case api.Refuse(request):
                    tenant, arrived_at = self.client_of[request]
                    self.refused[tenant].append((self.now - arrived_at, action.over))
                case UnitsNeeded(customer, units):
                    self.schedule(NETWORK_DELAY_S, self.request_units, name, customer, units, self.now)

    def send_request(self, name: str, tenant: str) -> None:
        self.count += 1
        self.client_of[self.count] = tenant, self.now
        self.requested[tenant] += 1
        self.demand[name][tenant] += 1
        number = TENANTS.index(tenant)
        self.post(name, api.Request(self.count, 0, 1 + number, number, 3.0, 1.0, 1.0, 0.0, cell="svc"))

    def run(self, seconds: float, hot_factor: float = 1.0) -> None:
        end, due = self.now + seconds, dict.fromkeys(TENANTS, self.now)
        while self.now < end:
            self.now += 0.01
            while ready := sorted(item for item in self.queue if item[0] <= self.now):
                self.queue = [item for item in self.queue if item[0] > self.now]
                for _, _, (callback, arguments) in ready:
                    callback(*arguments)
            for tenant in TENANTS:
                while due[tenant] <= self.now:
                    rate = self.usual_rate * (hot_factor if tenant == "hot" else 1.0)
                    due[tenant] += self.random.expovariate(rate)
                    self.send_request(self.random.choice(list(self.proxies)), tenant)


@pytest.mark.parametrize("proxies, rate, is_pooled", [(6, 40.0, False), (24, 24.0, True)])
def test_a_hot_tenant_is_limited_to_its_quota_and_others_are_unaffected(proxies, rate, is_pooled) -> None:
    site = Site(proxies, rate, rate / 1.6)
    site.run(6.0)
    assert bool(site.allocator.pools) is is_pooled
    ran_before, requested_before = {t: len(site.ran[t]) for t in TENANTS}, dict(site.requested)
    site.run(12.0, hot_factor=8.0)
    limit = (rate * WINDOW_S + rate) * (1.0 + OVERSHOOT) + SLACK
    for tenant, times in site.ran.items():
        assert all(sum(at <= t < at + WINDOW_S for t in times) <= limit for at in times[::7]), tenant
    # The hot tenant still gets its rate, whichever proxies its clients use.
    assert len(site.ran["hot"]) - ran_before["hot"] > 0.85 * rate * 12.0
    for tenant in ("a", "b"):
        assert len(site.ran[tenant]) - ran_before[tenant] > 0.96 * (site.requested[tenant] - requested_before[tenant])
    delays = sorted(delay for delay, over in site.refused["hot"])
    assert delays[len(delays) * 98 // 100] < 0.25 * 0.8     # refusals are immediate
    assert sum(over for _, over in site.refused["hot"]) > 0.8 * len(delays)
