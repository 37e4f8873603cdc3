"""The decision module on a proxy of the distributed system: admission by what the registry leases to it.

It replaces three concerns of the module: quotas by leased shares (`LeasedQuotas`), a choice of backend by distance,
slots and leased rates of backends in cold start (`NearestBackend`), and a queue that times requests out while their
clients can still try another proxy (`TimeoutQueue`).  `ProxyController` adds classes and plans that change with the
configuration, and a retry budget for each service.
"""

from __future__ import annotations

from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import may_send
from fennelpoint.cells.cell_controller import CellController
from fennelpoint.state import PendingRequest
from fennelpoint.system.proxy.events import (
    BackendPlacement,
    Catalogue,
    LeasedShares,
    RetryRule,
    SharesExtended,
    UnitsGranted,
)
from fennelpoint.system.proxy.leased_quotas import LeasedQuotas
from fennelpoint.system.proxy.placement import NearestBackend
from fennelpoint.system.proxy.queue_timeout import MAX_RETRY_AFTER_S, TimeoutQueue
from fennelpoint.system.proxy.retry_budget import RetryBudget


class ProxyController(CellController):
    """The decisions of one proxy."""

    QUOTAS, SELECTION, WAIT_QUEUE = LeasedQuotas, NearestBackend, TimeoutQueue
    RETRY_BUDGET = RetryBudget  # class of each service's budget

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.retry_rule = RetryRule(0.0, 10.0)
        self.budgets: dict[str, RetryBudget] = {}  # by service
        self.slack_share = 0.0  # this proxy's share of the retry rule's slack
        self.shares_expire_at = inf
        self.handlers |= {
            Catalogue: self._update_catalogue,
            LeasedShares: self._set_shares,
            SharesExtended: self._extend_shares,
            BackendPlacement: self._update_placement,
            UnitsGranted: self._add_units,
            RetryRule: self._set_retry_rule,
        }

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Guards shares that others may hold by now: after a pause a process may read events before timers run."""
        if now >= self.shares_expire_at:
            self._expire_shares(now)
        return super().handle(event, now)

    # Events from the core

    def _update_catalogue(self, event: Catalogue, now: float) -> None:
        self.quotas.update_plans(event.classes, event.plans, now)
        self.selection.add_classes(event.classes)
        self.wait_queue.dispatch(now)

    def _set_shares(self, event: LeasedShares, now: float) -> None:
        self.shares_expire_at = event.expires_at
        self.quotas.set_shares(event.shares, event.has_pools, now)
        self._set_slack_share(event.slack, now)
        self.wait_queue.repeat_unit_requests(now)

    def _extend_shares(self, event: SharesExtended, now: float) -> None:
        if self.shares_expire_at < inf:  # else nothing is leased
            self.shares_expire_at = max(self.shares_expire_at, event.expires_at)

    def _expire_shares(self, now: float) -> None:
        self.shares_expire_at = inf
        self.quotas.set_shares({}, False, now)
        self.selection.expire_rates()
        self._set_slack_share(0.0, now)

    def _set_slack_share(self, share: float, now: float) -> None:
        self.slack_share = share
        for budget in self.budgets.values():
            budget.set_share(share, now)

    def _set_retry_rule(self, event: RetryRule, now: float) -> None:
        self.retry_rule = event

    def _add_units(self, event: UnitsGranted, now: float) -> None:
        for pending in self.quotas.add_units(event, now):
            self.wait_queue.refuse(pending, now, 0.0)
        self.wait_queue.dispatch(now)

    def _update_placement(self, event: BackendPlacement, now: float) -> None:
        self.selection.update_placement(event)

    def _admit(self, ask: api.Request, now: float) -> None:
        if self.barred:
            return self.actions.append(api.Refuse(ask.request, MAX_RETRY_AFTER_S))
        super()._admit(ask, now)

    # Retries

    def _outcome(self, outcome: api.Outcome, now: float) -> None:
        if outcome.wrote and (pending := self.requests.open.get(outcome.request)) is not None:
            pending.reached = True  # a backend may have counted the head of a request that was cut off half way
        super()._outcome(outcome, now)

    def _try_send(self, pending: PendingRequest, now: float) -> bool:
        if pending.attempts and not self._may_retry(pending, now):
            return False
        is_placed = super()._try_send(pending, now)
        if is_placed:
            budget = self._budget_of(pending, now)
            if pending.attempts == 1:
                budget.earn(pending.arrived_at, now)
                self.wait_queue.fair_order.record(self.wait_queue.level_of(pending), True, now)
            elif pending.reached:
                budget.spend(now)
        return is_placed

    def _budget_of(self, pending: PendingRequest, now: float) -> RetryBudget:
        service = pending.request.cell.partition("|")[0]
        if (budget := self.budgets.get(service)) is None:
            rule = self.retry_rule
            budget = self.budgets[service] = self.RETRY_BUDGET(rule.ratio, rule.window_s, self.slack_share, now)
        return budget

    def _may_retry(self, pending: PendingRequest, now: float) -> bool:
        """Whether it may go to another backend: by the budget, if a backend may have received it before."""
        return not pending.reached or self._budget_of(pending, now).allows(now)

    def _retry(self, pending: PendingRequest, outcome: api.Outcome, now: float) -> bool:
        pending.previous_backend = outcome.backend
        if pending.attempts >= (pending.request.attempts or self.settings.max_attempts) or not self._may_retry(
            pending, now
        ):
            return False
        return pending.ran_at is None or may_send(pending, self.settings, now)
