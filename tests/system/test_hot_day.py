"""One tenant at eight times its usual through all fronts at once, from clients to backends, without the bench.

Real deciders on the fronts and a real reckoner, in simulated time; quotas as parts that fronts hold, and as pools."""

from random import Random

import pytest

from fennelpoint import interface as api
from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.events import BackendPlacement, Catalogue, LeasedShares, UnitsGranted, UnitsNeeded
from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.system.registry.grants import DRAW_LIFE, GRANT_LIFE

TENANTS, WINDOW, SLACK, OVER = ("hot", "a", "b"), 5.0, 20.0, 0.1
WAY, ANSWER = 0.02, 0.1     # s from a front to the reckoner; of a backend


class Site:
    """Some fronts with clients of three tenants; each backend answers after the same time."""

    def __init__(self, fronts: int, rate: float, usual: float) -> None:
        self.random, self.now, self.rate, self.usual = Random(5), 10.0, rate, usual
        names = [f"f{i}" for i in range(fronts)]
        self.allocator = Allocator([1, "c"], names, self.now)
        self.queue: list[tuple[float, int, object]] = []
        self.count, self.ran, self.asked = 0, {t: [] for t in TENANTS}, {t: 0 for t in TENANTS}
        self.refused: dict[str, list[tuple[float, bool]]] = {t: [] for t in TENANTS}
        self.whose: dict[int, tuple[int, float]] = {}
        classes = [api.RequestClass("read", 0.8, 3.0, 1.0, api.Effect.SAFE)]
        plans = [api.Plan("public", 1.0), *(api.Plan(t, 1.0, rate, rate) for t in TENANTS)]
        self.fronts, self.since = {}, {name: dict.fromkeys(TENANTS, 0) for name in names}
        self.seen = dict.fromkeys(names, [self.allocator.term, 0])     # each was told of the term
        for name in names:
            settings = api.Settings(0, 1, 0, classes, plans, 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                                    may_advise=True, max_advice=3.0)
            self.fronts[name] = ProxyController(settings, 1, self.now)
            backends = [f"s{i}" for i in range(8)]
            for event in (Catalogue(classes, plans), api.Cells({"svc": api.Cell(frozenset(backends))}),
                          api.Roster(api.RosterKind.FULL, 0, [api.BackendEntry(b, api.BackendState.READY)
                                                              for b in backends]),
                          BackendPlacement({}, dict.fromkeys(backends, 1000), {})):
                self.give(name, event)
            self.later(self.random.random() * 0.5, self.renew, name)

    def later(self, after: float, do, *what) -> None:
        self.count += 1
        self.queue.append((self.now + after, self.count, (do, what)))

    def renew(self, name: str) -> None:
        """Its ask for parts, and the answer a way there and back later."""
        asked, self.since[name] = self.since[name], dict.fromkeys(TENANTS, 0)
        sent = self.now
        rates = dict.fromkeys(TENANTS, self.rate)
        grant = self.allocator.want(name, 1, "r", self.seen[name], asked, None, rates, {}, self.now)
        self.later(0.5, self.renew, name)
        if grant is not None:
            self.later(2 * WAY, self.lend, name, [self.allocator.term, grant.number], grant.quotas, sent + GRANT_LIFE)

    def lend(self, name: str, seen: list, quotas: dict, until: float) -> None:
        self.seen[name] = seen
        if self.now < until:
            self.give(name, LeasedShares({TENANTS.index(t): part / 1000 for t, part in quotas.items()}, 10.0, True))

    def draw(self, name: str, customer: int, units: float, stamp: float) -> None:
        rates = dict.fromkeys(TENANTS, self.rate)
        drawn = self.allocator.draw(name, {TENANTS[customer]: units}, rates, rates, SLACK, self.now)
        if drawn is not None:
            given, denied = ({TENANTS.index(t): n for t, n in part.items()} for part in drawn[:2])
            soon = {TENANTS.index(t) for t in drawn[2]}
            self.later(WAY, self.give, name, UnitsGranted(given, denied, stamp + DRAW_LIFE, soon))

    def give(self, name: str, event) -> None:
        for action in self.fronts[name].handle(event, self.now):
            match action:
                case api.SetTimer(delay, token):
                    self.later(delay, self.give, name, api.TimerDue(token))
                case api.Send(request, backend):
                    tenant, _ = self.whose[request]
                    self.ran[tenant].append(self.now)
                    self.later(ANSWER, self.give, name, api.Outcome(request, 0, backend, api.Status.OK, ANSWER, True))
                case api.Refuse(request):
                    tenant, came = self.whose[request]
                    self.refused[tenant].append((self.now - came, action.over))
                case UnitsNeeded(customer, units):
                    self.later(WAY, self.draw, name, customer, units, self.now)

    def ask(self, name: str, tenant: str) -> None:
        self.count += 1
        self.whose[self.count] = tenant, self.now
        self.asked[tenant] += 1
        self.since[name][tenant] += 1
        number = TENANTS.index(tenant)
        self.give(name, api.Request(self.count, 0, 1 + number, number, 3.0, 1.0, 1.0, 0.0, cell="svc"))

    def play(self, seconds: float, hot: float = 1.0) -> None:
        end, due = self.now + seconds, dict.fromkeys(TENANTS, self.now)
        while self.now < end:
            self.now += 0.01
            while ready := sorted(item for item in self.queue if item[0] <= self.now):
                self.queue = [item for item in self.queue if item[0] > self.now]
                for _, _, (do, what) in ready:
                    do(*what)
            for tenant in TENANTS:
                while due[tenant] <= self.now:
                    rate = self.usual * (hot if tenant == "hot" else 1.0)
                    due[tenant] += self.random.expovariate(rate)
                    self.ask(self.random.choice(list(self.fronts)), tenant)


@pytest.mark.parametrize("fronts, rate, pooled", [(6, 40.0, False), (24, 24.0, True)])
def test_a_hot_tenant_is_held_to_its_quota_everywhere_and_the_others_do_not_notice(fronts, rate, pooled) -> None:
    site = Site(fronts, rate, rate / 1.6)
    site.play(6.0)
    assert bool(site.allocator.pools) is pooled
    before, quiet = {t: len(site.ran[t]) for t in TENANTS}, dict(site.asked)
    site.play(12.0, hot=8.0)
    most = (rate * WINDOW + rate) * (1.0 + OVER) + SLACK
    for tenant, times in site.ran.items():
        assert all(sum(at <= t < at + WINDOW for t in times) <= most for at in times[::7]), tenant
    # The hot one gets what it is owed, too: its rate, whichever fronts its clients come through.
    assert len(site.ran["hot"]) - before["hot"] > 0.85 * rate * 12.0
    for tenant in ("a", "b"):
        assert len(site.ran[tenant]) - before[tenant] > 0.96 * (site.asked[tenant] - quiet[tenant])
    late = sorted(span for span, over in site.refused["hot"])
    assert late[len(late) * 98 // 100] < 0.25 * 0.8     # refusals are told at once
    assert sum(over for _, over in site.refused["hot"]) > 0.8 * len(late)
