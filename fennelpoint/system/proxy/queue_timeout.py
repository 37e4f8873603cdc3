"""The queue of a proxy: requests that no backend was offered end early, so that clients can try another proxy."""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.bookkeeping import CHECK_TOKEN, Context
from fennelpoint.queueing import WaitQueue
from fennelpoint.state import PendingRequest
from fennelpoint.system.proxy.events import UnitsNeeded
from fennelpoint.system.proxy.fair_queueing import FairOrder

QUEUE_TIMEOUT_FRACTION = 0.22  # of a target latency that a request waits without having been offered to a backend
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.15, 0.5  # sent to a client that is refused within its quota
OVER_QUOTA_RETRY_AFTER_S = 3.0
STARVED_WORTH_FACTOR = 1e9  # puts a request of a starved level before all others


class TimeoutQueue(WaitQueue):
    """Queue with a short timeout, a starvation guard, and requests for units of pooled quotas."""

    def __init__(self, context: Context, *concerns: object) -> None:
        super().__init__(context, *concerns)
        self.fair_order = FairOrder(context.started_at)

    def level_of(self, pending: PendingRequest) -> float:
        """The worth that orders a request among the others, unless its level is starved."""
        return self.settings.classes[pending.request.cls].worth * self.settings.plans[pending.customer.plan].price

    def enqueue(self, pending: PendingRequest, now: float) -> None:
        # Guards the lowest ranks: they would never be next while an overload lasts.
        if pending.request.request not in self.requests.waiting and self.fair_order.is_starved(
            level := self.level_of(pending), now
        ):
            pending.worth = STARVED_WORTH_FACTOR * level
        super().enqueue(pending, now)
        self._request_units(pending, now)
        if not pending.reached and pending.request.request in self.requests.waiting:
            pending.wait_until = min(
                pending.wait_until,
                pending.arrived_at + QUEUE_TIMEOUT_FRACTION * self.settings.classes[pending.request.cls].aim,
            )
            self.actions += self.timers.schedule(CHECK_TOKEN, max(now, pending.wait_until), now)

    def repeat_unit_requests(self, now: float) -> None:
        """Request units again for requests that still wait: another allocator may be active by now."""
        for pending in self.quotas.pop_unanswered(now):
            self._request_units(pending, now)

    def _request_units(self, pending: PendingRequest, now: float) -> None:
        if self.quotas.should_request_units(pending, now):
            self.actions.append(UnitsNeeded(pending.customer.key, pending.request.units))

    def refuse(self, pending: PendingRequest, now: float, wait: float) -> None:
        self.quotas.fill(pending.customer, now)
        is_over = self.quotas.is_over_quota(pending)
        if not (is_over or pending.charged):
            self.fair_order.record(self.level_of(pending), False, now)
        is_long = is_over and not (
            self.quotas.is_pooled(pending.customer) and pending.customer.key in self.quotas.briefly_short
        )
        # A tenant beyond its quota has no room for as long as that lasts.  For want of a lease, a share or a backend
        # a client should retry soon; while no allocator is active, as soon as one may be.
        retry_after = (
            max(wait, OVER_QUOTA_RETRY_AFTER_S) if is_long else min(MAX_RETRY_AFTER_S, max(wait, MIN_RETRY_AFTER_S))
        )
        super().refuse(pending, now, max(retry_after, self.quotas.seconds_until_takeover(pending.customer, now)))
        if isinstance(last := self.actions[-1], api.Refuse):
            last.over = is_over
