"""Shared test helpers: settings, and a harness that drives one controller on a simulated clock."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import pytest
from hypothesis import settings as hypothesis_profile

from fennelpoint import handover
from fennelpoint import interface as api
from fennelpoint.cells.cell_controller import CellController
from fennelpoint.fleet import plan_parameters
from fennelpoint.invariants import violations

# Deterministic: examples derive from the test's source, and none are stored.
hypothesis_profile.register_profile("same", derandomize=True, deadline=None, database=None)
hypothesis_profile.load_profile("same")

# On one disk, dozens of processes would wait for each other's fsync.
if os.access(memory := "/dev/shm", os.W_OK):
    os.environ.setdefault("LARCHWING_RIG_FOLDER", memory)

@pytest.fixture(autouse=True)
def no_invariant_is_violated():
    """Fail a test during which an invariant violation was counted."""
    violations.counts.clear()
    yield
    assert violations.counts == {}


READY, DRAINING, GONE = api.BackendState.READY, api.BackendState.DRAINING, api.BackendState.GONE
SAFE, UNSAFE, KEYED = 0, 1, 2
HARD, SOFT, CAPPED, SLOTS = 0, 1, 2, 3


def make_settings(**changes) -> api.Settings:
    values = dict(
        me=0, ingresses=2, zone=0, max_attempts=4, drain_grace=1.0, cold_share=0.2, ramp_time=10.0,
        tip_multiple=2.0, fall_span=2.0, answer_slack=0.016, tick=0.004, most_units=2.0, has_counter=True,
        counter_timeout=0.05, may_advise=True, max_advice=0.5,
        classes=[
            api.RequestClass("read", aim=1.0, deadline=4.0, worth=1.0, effect=api.Effect.SAFE),
            api.RequestClass("book", aim=2.0, deadline=6.0, worth=3.0, effect=api.Effect.UNSAFE),
            api.RequestClass("open", aim=2.0, deadline=6.0, worth=2.0, effect=api.Effect.KEYED,
                             group=api.Group.CELL, window=3.0)],
        plans=[
            api.Plan("hard", price=1.0, rate=4.0, burst=8.0, over_cost=1.0),
            api.Plan("soft", price=2.0, rate=4.0, burst=8.0, over_worth=0.2),
            api.Plan("capped", price=3.0, rate=10.0, burst=20.0, over_worth=0.3, ceiling_rate=10.0,
                     ceiling_burst=20.0, ceiling_slack=2.0),
            api.Plan("slots", price=1.5, open_limit=2, over_cost=1.0)])
    values.update(changes)
    return api.Settings(**values)


@dataclass
class Harness:
    """One controller and its simulated clock; `actions` holds its actions for the latest event."""

    settings: api.Settings
    now: float = 100.0
    actions: list = field(default_factory=list)
    timers: list = field(default_factory=list)
    counts: list = field(default_factory=list)
    ids: int = 0

    def __post_init__(self) -> None:
        self.control = CellController(self.settings, seed=7, now=self.now)
        handover.attach(self.control)
        plan_parameters.register_handler(self.control)
        self._collect(self.control.start(self.now))

    def _collect(self, actions: list) -> list:
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, api.SetTimer)]
        self.counts += [a for a in actions if isinstance(a, api.Count)]
        self.actions = [a for a in actions if not isinstance(a, api.SetTimer | api.Count)]
        return self.actions

    def deliver(self, event: api.Event) -> list:
        return self._collect(self.control.handle(event, self.now))

    def roster(self, *entries: api.BackendEntry, kind: api.RosterKind = api.RosterKind.FULL) -> list:
        return self.deliver(api.Roster(kind, 1, list(entries)))

    def backends(self, *names: str, **values) -> list:
        return self.roster(*(api.BackendEntry(name, READY, **values) for name in names))

    def request(self, cls: int = SAFE, plan: int = HARD, customer: int = 1, units: float = 1.0, left: float = 4.0,
            width: float = 2.0) -> list:
        self.ids += 1
        return self.deliver(api.Request(self.ids, cls, plan, customer, left, units, width, 0.0))

    def answer(self, request: int, backend: str, status: api.Status = api.Status.OK, latency: float = 0.1,
               attempt: int = 0) -> list:
        ended = status is api.Status.OK
        return self.deliver(api.Outcome(request, attempt, backend, status, latency, ended))

    def advance(self, seconds: float) -> list:
        """Advance the clock and fire the timers that are due; returns the actions."""
        end, out = self.now + seconds, []
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            out += self.deliver(api.TimerDue(due[0][1]))
        self.now = end
        return out

    def count_replies(self, status: api.Status = api.Status.OK, others: float = 0.0,
                      totals: dict | None = None) -> None:
        """Reply to the counter calls in flight; `others` is what other ingresses add to every name."""
        calls, self.counts = self.counts, []
        for call in calls:
            if totals is not None and status is api.Status.OK:
                totals[call.name] = totals.get(call.name, 0.0) + call.amount + others
            self.deliver(api.CounterReply(call.name, status, (totals or {}).get(call.name, 0.0), 0.001))


def many_backends(**changes) -> Harness:
    """A controller with so many backends that only the quota limits it."""
    harness = Harness(make_settings(**changes))
    harness.backends(*(f"s{i:02}" for i in range(40)))
    return harness


@pytest.fixture
def harness() -> Harness:
    harness = Harness(make_settings())
    harness.backends("a", "b")
    return harness


def kinds(actions: list) -> list[type]:
    return [type(a) for a in actions]
