"""The decision module on a proxy of the whole system: admission by what the registry leases to it.

In the places of the module's concerns: quotas by leased shares (`LeasedQuotas`), a choice of backend by distance,
slots and leased rates of cold ones (`NearestBackend`), a line that ends requests while a client can go elsewhere
(`BriefWaiting`).  `Decider` adds classes and plans that change with the configuration, and a budget of retries for
each service.
"""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.cells.confined import CelledController
from fennelpoint.state import Try
from fennelpoint.system.span.brief_waiting import MOST_ADVICE, BriefWaiting
from fennelpoint.system.span.events import BackendPlaces, Catalogue, LeasedShares, UnitsGranted
from fennelpoint.system.span.leased_quotas import LeasedQuotas
from fennelpoint.system.span.placement import NearestBackend
from fennelpoint.system.span.retry_budget import Budget
from fennelpoint.upkeep import allowed


class Decider(CelledController):
    """The decisions of one front."""

    QUOTAS, SELECTION, WAITING = LeasedQuotas, NearestBackend, BriefWaiting

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.budgets: dict[str, Budget] = {}
        self.ratio, self.slack, self.span = 0.2, 0.0, 10.0  # of the budget, the last two of this front's part
        self.on |= {Catalogue: self._catalogue, LeasedShares: self._leased, BackendPlaces: self._placed,
                    UnitsGranted: self._granted}

    # What the core tells

    def _catalogue(self, event: Catalogue, now: float) -> None:
        self.quotas.change(event.classes, event.plans, now)
        self.selection.learn_of(event.classes)
        self.waiting.pump(now)

    def _leased(self, event: LeasedShares, now: float) -> None:
        self.slack = event.slack
        self.quotas.lease(event.shares, event.pooled, now)

    def _granted(self, event: UnitsGranted, now: float) -> None:
        for t in self.quotas.grant(event, now):
            self.waiting.refuse(t, now, 0.0)
        self.waiting.pump(now)

    def _placed(self, event: BackendPlaces, now: float) -> None:
        self.selection.take(event)

    def _admit(self, ask: api.Request, now: float) -> None:
        if self.barred:
            return self.out.append(api.Refuse(ask.request, MOST_ADVICE))
        super()._admit(ask, now)

    # Further tries

    def _place(self, t: Try, now: float) -> bool:
        first = not t.attempts
        if not first and not self._further(t, now):
            return False
        placed = super()._place(t, now)
        if placed:
            budget = self._budget(t, now)
            if first:
                budget.tokens = min(self.slack + 40.0, budget.tokens + 0.8 * self.ratio)
            elif t.reached:
                budget.tokens -= 1.0
        return placed

    def _budget(self, t: Try, now: float) -> Budget:
        service = t.ask.cell.partition("|")[0]
        budget = self.budgets.setdefault(service, Budget())
        budget.fill(self.slack, self.span, now)
        return budget

    def _further(self, t: Try, now: float) -> bool:
        """Whether one that a backend has had may be sent to another, by the budget that all share."""
        return not t.reached or self._budget(t, now).tokens >= 1.0

    def _again(self, t: Try, o: api.Outcome, now: float) -> bool:
        t.avoid = o.backend
        if t.attempts >= (t.ask.attempts or self.settings.max_attempts) or not self._further(t, now):
            return False
        return t.ran_at is None or allowed(t, self.settings, now)
