"""Requests that no backend was offered are ended early, so that their clients can still go elsewhere in time."""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.bookkeeping import CHECK_TOKEN, Context
from fennelpoint.queueing import WaitQueue
from fennelpoint.state import PendingRequest
from fennelpoint.system.proxy.events import UnitsNeeded
from fennelpoint.system.proxy.fair_queueing import FairOrder

HELD_PART = 0.22  # of an aim that a request waits without having been offered to a backend
ADVICE, MOST_ADVICE = 0.15, 0.5  # s after which a refused client is told to come again: least and most
OVER_ADVICE = 3.0  # s, for a quota that is used up
FIRST = 1e9  # times its worth, of a try that goes before all others


class BriefWaiting(WaitQueue):
    """Tries that no backend was offered are ended early: their clients may come again elsewhere in time."""

    def __init__(self, context: Context, *concerns: object) -> None:
        super().__init__(context, *concerns)
        self.order = FairOrder(context.started_at)

    def level(self, t: PendingRequest) -> float:
        """The worth that it waits by among the others, unless it goes first."""
        return self.settings.classes[t.request.cls].worth * self.settings.plans[t.customer.plan].price

    def enqueue(self, t: PendingRequest, now: float) -> None:
        # Guards the lowest ranks: they would never be next while an overload lasts.
        if t.request.request not in self.requests.waiting and self.order.starved(level := self.level(t), now):
            t.worth = FIRST * level
        super().enqueue(t, now)
        self._need(t, now)
        if not t.reached and t.request.request in self.requests.waiting:
            t.wait_until = min(t.wait_until, t.arrived_at + HELD_PART * self.settings.classes[t.request.cls].aim)
            self.actions += self.timers.schedule(CHECK_TOKEN, max(now, t.wait_until), now)

    def ask_again(self, now: float) -> None:
        """Another one allocates by now: units for what still waits."""
        for t in self.quotas.unanswered(now):
            self._need(t, now)

    def _need(self, t: PendingRequest, now: float) -> None:
        if self.quotas.need(t, now):
            self.actions.append(UnitsNeeded(t.customer.key, t.request.units))

    def refuse(self, t: PendingRequest, now: float, wait: float) -> None:
        self.quotas.fill(t.customer, now)
        over = self.quotas.over(t)
        if not (over or t.charged):
            self.order.add(self.level(t), False, now)
        long = over and not (self.quotas.thin(t.customer) and t.customer.key in self.quotas.soon)
        # One whose tenant asks for more than its quota has no room for as long as that lasts; for want of a lease, a
        # part or a backend a client does well to come again soon; while nobody allocates, once somebody does.
        advice = max(wait, OVER_ADVICE) if long else min(MOST_ADVICE, max(wait, ADVICE))
        super().refuse(t, now, max(advice, self.quotas.until_takeover(t.customer, now)))
        if isinstance(last := self.actions[-1], api.Refuse):
            last.over = over
