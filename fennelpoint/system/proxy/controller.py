"""The decision module on a proxy of the whole system: admission by what the registry leases to it.

In the places of the module's concerns: quotas by leased shares (`LeasedQuotas`), a choice of backend by distance,
slots and leased rates of cold ones (`NearestBackend`), a line that ends requests while a client can go elsewhere
(`BriefWaiting`).  `Decider` adds classes and plans that change with the configuration, and a budget of retries for
each service.
"""

from __future__ import annotations

from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import may_send
from fennelpoint.cells.cell_controller import CelledController
from fennelpoint.state import PendingRequest
from fennelpoint.system.proxy.events import (
    BackendPlaces,
    Catalogue,
    LeasedShares,
    LeaseExtended,
    RetryRule,
    UnitsGranted,
)
from fennelpoint.system.proxy.leased_quotas import LeasedQuotas
from fennelpoint.system.proxy.placement import NearestBackend
from fennelpoint.system.proxy.queue_timeout import MOST_ADVICE, BriefWaiting
from fennelpoint.system.proxy.retry_budget import RetryBudget


class Decider(CelledController):
    """The decisions of one front."""

    QUOTAS, SELECTION, WAIT_QUEUE = LeasedQuotas, NearestBackend, BriefWaiting
    BUDGET = RetryBudget  # of each service

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.retry_rule = RetryRule(0.0, 10.0)
        self.budgets: dict[str, RetryBudget] = {}  # of retries, by service
        self.slack = 0.0  # this proxy's share of the retry rule's slack
        self.leased_until = inf  # when the shares end
        self.handlers |= {
            Catalogue: self._catalogue,
            LeasedShares: self._leased,
            LeaseExtended: self._extended,
            BackendPlaces: self._placed,
            UnitsGranted: self._granted,
            RetryRule: self._bound_retries,
        }

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Guards what others hold by now: a process that stood still may hear of anything before its own timers."""
        if now >= self.leased_until:
            self._end_lease(now)
        return super().handle(event, now)

    # What the core tells

    def _catalogue(self, event: Catalogue, now: float) -> None:
        self.quotas.change(event.classes, event.plans, now)
        self.selection.learn_of(event.classes)
        self.wait_queue.dispatch(now)

    def _leased(self, event: LeasedShares, now: float) -> None:
        self.leased_until = event.until
        self.quotas.lease(event.shares, event.pooled, now)
        self._share_slack(event.slack, now)
        self.wait_queue.ask_again(now)

    def _extended(self, event: LeaseExtended, now: float) -> None:
        if self.leased_until < inf:  # else nothing is leased
            self.leased_until = max(self.leased_until, event.until)

    def _end_lease(self, now: float) -> None:
        self.leased_until = inf
        self.quotas.lease({}, False, now)
        self.selection.end_lease()
        self._share_slack(0.0, now)

    def _share_slack(self, share: float, now: float) -> None:
        self.slack = share
        for budget in self.budgets.values():
            budget.lease(share, now)

    def _bound_retries(self, event: RetryRule, now: float) -> None:
        self.retry_rule = event

    def _granted(self, event: UnitsGranted, now: float) -> None:
        for t in self.quotas.grant(event, now):
            self.wait_queue.refuse(t, now, 0.0)
        self.wait_queue.dispatch(now)

    def _placed(self, event: BackendPlaces, now: float) -> None:
        self.selection.take(event)

    def _admit(self, ask: api.Request, now: float) -> None:
        if self.barred:
            return self.actions.append(api.Refuse(ask.request, MOST_ADVICE))
        super()._admit(ask, now)

    # Retries

    def _outcome(self, o: api.Outcome, now: float) -> None:
        if o.wrote and (t := self.requests.open.get(o.request)) is not None:
            t.reached = True  # of a request cut off half way the backend may have counted the head
        super()._outcome(o, now)

    def _try_send(self, t: PendingRequest, now: float) -> bool:
        if t.attempts and not self._may_retry(t, now):
            return False
        placed = super()._try_send(t, now)
        if placed:
            budget = self._budget(t, now)
            if t.attempts == 1:
                budget.earn(t.arrived_at, now)
                self.wait_queue.order.add(self.wait_queue.level(t), True, now)
            elif t.reached:
                budget.spend(now)
        return placed

    def _budget(self, t: PendingRequest, now: float) -> RetryBudget:
        service = t.request.cell.partition("|")[0]
        if (budget := self.budgets.get(service)) is None:
            rule = self.retry_rule
            budget = self.budgets[service] = self.BUDGET(rule.ratio, rule.window, self.slack, now)
        return budget

    def _may_retry(self, t: PendingRequest, now: float) -> bool:
        """Whether it may be sent to another backend: by the budget, if one may have received it."""
        return not t.reached or self._budget(t, now).allows(now)

    def _retry(self, t: PendingRequest, o: api.Outcome, now: float) -> bool:
        t.previous_backend = o.backend
        if t.attempts >= (t.request.attempts or self.settings.max_attempts) or not self._may_retry(t, now):
            return False
        return t.ran_at is None or may_send(t, self.settings, now)
