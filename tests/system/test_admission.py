"""Admission on a front of the system, in quiet and in trouble: regions, order and steps of cuts, what comes back."""

import pytest

from fennelpoint import interface as api
from fennelpoint.regulation import FULL_STEP, PERIOD_S, STEP
from fennelpoint.system.proxy.controller import Decider
from fennelpoint.system.proxy.events import BackendPlaces, Catalogue, LeasedShares
from fennelpoint.system.registry.allocator import Allocator

S = api.Status


class Day:
    """One front with 3 tenants of 10 a second each, and a backend whose answers take as long as the test says."""

    def __init__(self) -> None:
        classes = [api.RequestClass("read", 0.4, 2.0, 1.0, api.Effect.SAFE)]
        tenants = [api.Plan(f"t{i}", 8.0 ** -i, 10.0, 20.0) for i in range(3)]
        plans = [api.Plan("public", 1.0), *tenants]
        settings = api.Settings(0, 1, 0, classes, plans, 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                                may_advise=True, max_advice=3.0)
        self.now, self.number, self.timers, self.refused, self.answers = 100.0, 0, [], {}, []
        self.one = Decider(settings, 1, self.now)
        self.give(Catalogue(classes, plans))
        self.give(api.Cells({"svc": api.Cell(frozenset(("b1",)))}))
        self.give(api.Roster(api.RosterKind.FULL, 0, [api.BackendEntry("b1", api.BackendState.READY)]))
        self.give(BackendPlaces({}, {"b1": 1000}, {}))
        self.give(LeasedShares({0: 1.0, 1: 1.0, 2: 1.0}, 10.0))

    def give(self, event) -> list:
        actions = self.one.handle(event, self.now)
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def play(self, seconds: float, rates: dict[int, float], latency: dict[int, float]) -> None:
        """Each tenant asks at its rate; its answers take its latency."""
        end, due = self.now + seconds, dict.fromkeys(rates, self.now)
        while self.now < end:
            self.now += 0.01
            for timer in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(timer)
                self.give(api.TimerDue(timer[1]))
            for answer in [a for a in self.answers if a[0] <= self.now]:
                self.answers.remove(answer)
                self.give(api.Outcome(answer[1], 0, "b1", S.OK, answer[2], True))
            for tenant, rate in rates.items():
                while due[tenant] <= self.now:
                    due[tenant] += 1.0 / rate
                    self.number += 1
                    ask = api.Request(self.number, 0, 1 + tenant, tenant, 2.0, 1.0, 1.0, 0.0, cell="svc")
                    for action in self.give(ask):
                        if isinstance(action, api.Send):
                            self.answers.append((self.now + latency[tenant], action.request, latency[tenant]))
                        elif isinstance(action, api.Refuse):
                            self.refused[tenant] = self.refused.get(tenant, 0) + 1

    @property
    def regulation(self):
        return self.one.regulation


class Overload(Day):
    """One front whose backend works on so many requests at once; further ones wait there."""

    def __init__(self, slots: int, work: float) -> None:
        super().__init__()
        self.work, self.free = work, [self.now] * slots     # when each of its slots is free
        self.give(BackendPlaces({}, {"b1": slots}, {}))
        self.whose: dict[int, int] = {}
        self.asked, self.served = dict.fromkeys(range(3), 0), dict.fromkeys(range(3), 0)

    def play_at(self, rate: float, seconds: float) -> None:
        """Each tenant asks at that rate."""
        ends, due = self.now + seconds, dict.fromkeys(self.asked, self.now)
        while self.now < ends:
            self.now += 0.01
            for timer in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(timer)
                self._send(api.TimerDue(timer[1]))
            for answer in [a for a in self.answers if a[0] <= self.now]:
                self.answers.remove(answer)
                self.served[self.whose[answer[1]]] += 1
                self._send(api.Outcome(answer[1], 0, "b1", S.OK, answer[2], True))
            for tenant in [t for t in due if due[t] <= self.now]:
                due[tenant] += 1.0 / rate
                self.number += 1
                self.whose[self.number] = tenant
                self.asked[tenant] += 1
                self._send(api.Request(self.number, 0, 1 + tenant, tenant, 2.0, 1.0, 1.0, 0.0, cell="svc"))

    def _send(self, event) -> None:
        for sent in (a for a in self.give(event) if isinstance(a, api.Send)):
            slot = min(range(len(self.free)), key=self.free.__getitem__)
            self.free[slot] = max(self.now, self.free[slot]) + self.work
            self.answers.append((self.free[slot], sent.request, self.free[slot] - self.now))


@pytest.mark.parametrize("slots, work", [(1, 0.1), (2, 0.13), (2, 0.1)], ids=["10-of-27", "15-of-27", "20-of-27"])
def test_no_tenant_is_served_under_a_quarter_as_often_as_all_however_long_an_overload_lasts(
        slots: int, work: float) -> None:
    """All keep to their quotas and ask 27 times a second; the backend answers 10, 15 or 20 of these in time."""
    day = Overload(slots, work)
    day.play_at(9.0, 60.0)
    whole = sum(day.served.values()) / sum(day.asked.values())
    for tenant, asked in day.asked.items():
        assert day.served[tenant] / asked >= 0.25 * whole, (day.served, day.asked)


def test_in_quiet_all_are_in_the_region_meet_and_nothing_is_cut() -> None:
    day = Day()
    day.play(4.0, {0: 5.0, 1: 5.0, 2: 5.0}, {0: 0.1, 1: 0.1, 2: 0.1})
    assert day.regulation.cut is None and not day.refused
    assert all(c.ratio < 1.0 and c.rate <= 10.0 for c in day.regulation.active.values())


def test_when_one_fails_the_lucky_one_is_cut_and_gets_its_room_back_when_none_fails() -> None:
    day = Day()
    day.one.quotas.local_rate = lambda c, now: 3.0 if c.key == 2 else 10.0   # t2 is over its quota
    day.one.regulation.local_rate = day.one.quotas.local_rate
    day.play(3.0, {0: 5.0, 2: 8.0}, {0: 0.9, 2: 0.05})
    cut = day.regulation.cut
    assert day.regulation.is_overloaded and [c.key for c, _ in cut.takes] == [2]
    assert day.one.customers[2].cap < 8.0 and day.one.customers[0].cap is None
    day.play(8.0, {0: 5.0, 2: 8.0}, {0: 0.05, 2: 0.05})
    assert day.regulation.cut is None and day.one.customers[2].cap is None


@pytest.mark.parametrize("sharp", [False, True])
def test_steps_are_constant_without_a_confident_fit_and_longer_with_one(sharp: bool) -> None:
    day = Day()
    day.one.regulation.local_rate = lambda c, now: 3.0 if c.key == 2 else 10.0
    for i in range(30 if sharp else 0):
        day.regulation.fit.add(1.0 + i % 5, 0.2 + 0.02 * (i % 5), 0.98)
    day.play(3.1, {0: 5.0, 2: 8.0}, {0: 0.9, 2: 0.05})
    ((_, amount),) = day.regulation.cut.takes
    total = sum(day.regulation.cut.rates.values())
    assert amount == pytest.approx(STEP * (FULL_STEP if sharp else 1.0) * total, rel=0.35)


def test_a_share_is_the_larger_of_the_even_one_and_what_was_asked_refused_tries_included() -> None:
    allocator, now, fronts = Allocator([1, "a"], ["f1", "f2", "f3"], 0.0), 0.0, ("f1", "f2", "f3")
    asked = {"f1": 12, "f2": 2, "f3": 0}      # f1 asks for 24 a second of a quota of 20: most are refused there
    parts, newest = {}, [allocator.term, 10 ** 9]     # each grant has come
    for turn in range(60):
        now = 0.5 * turn
        for front in fronts:
            grant = allocator.want(front, 1, "ra", newest, {"t": asked[front]}, None, {"t": 20.0}, {}, now)
            parts[front] = grant.quotas.get("t", 0)
    assert parts["f1"] > 700 > 300 > parts["f2"] > 50 and sum(parts.values()) <= 1000
    for turn in range(60, 300):
        now = 0.5 * turn
        for front in fronts:    # silent: even shares again
            grant = allocator.want(front, 1, "ra", newest, {}, None, {"t": 20.0}, {}, now)
            parts[front] = grant.quotas.get("t", 0)
    assert all(280 < part < 380 for part in parts.values()) and PERIOD_S == 0.5
