"""The wait queue: how long requests wait, when they are checked again, and how they are refused."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import CHECK_S, CHECK_TOKEN, Context, Policy, may_send
from fennelpoint.quotas import Quotas
from fennelpoint.regulation import Regulation
from fennelpoint.selection import AIM_MARGIN, MAX_REST_S, Selection
from fennelpoint.state import PendingRequest


class WaitQueue(Policy):
    """Queues requests that wait; the records are `RequestTable`'s."""

    def __init__(self, context: Context, quotas: Quotas, selection: Selection, regulation: Regulation,
                 try_send: Callable[[PendingRequest, float], bool]) -> None:
        super().__init__(context)
        self.quotas, self.selection, self.regulation, self.try_send = quotas, selection, regulation, try_send

    def enqueue(self, req: PendingRequest, now: float) -> None:
        """Queue it until it may be sent or can't meet its aim; for half of its time if no backend had it."""
        margin = AIM_MARGIN * self.selection.usual[req.request.cls]
        req.wait_until = min(req.aim_at - margin, req.ends_at, inf if req.reached else req.half_time_at)
        self.requests.enqueue(req)
        self.actions += self.timers.schedule(CHECK_TOKEN, min(self.check_at(req, now), req.wait_until), now)

    def check_at(self, req: PendingRequest, now: float) -> float:
        """When to check a waiting request again: to save CPU, not before its bucket can hold its units."""
        c, plan, at = req.customer, self.settings.plans[req.customer.plan], max(now + CHECK_S, req.not_before)
        if req.charged or req.within_quota is not None or not plan.rate or plan.over_worth > 0.0:
            return at
        return max(at, c.filled_at + self.quotas.wait_s(req, 0.0, now))

    def dispatch(self, now: float) -> None:
        """Send waiting requests, the highest worth first; end those that can't meet their aim any more."""
        soonest = inf
        for req in self.requests.by_worth():
            if not self.selection.route(req, now):
                self.refuse(req, now, MAX_REST_S)
                continue
            # Skips `try_send` while the window is full: saves CPU with a long queue.
            if (now >= req.not_before and req.limiter.live_in_flight() < max(1.0, req.limiter.window)
                    and self.try_send(req, now)):
                continue
            if now >= req.wait_until:
                req.customer.ratios.append(1.0)
                self.regulation.activate(req.customer, now)
                self.refuse(req, now, 0.0)
            else:
                soonest = min(soonest, max(now + CHECK_S, min(self.check_at(req, now), req.wait_until)))
        self.actions += self.timers.schedule(CHECK_TOKEN, soonest, now)

    def refuse(self, req: PendingRequest, now: float, wait: float) -> None:
        """End a request without attempts in flight: refuse it if a retry is harmless, else fail it."""
        cls = self.settings.classes[req.request.cls]
        safe = may_send(req, self.settings, now) and (
            req.ran_at is None or cls.effect is api.Effect.SAFE or cls.group is api.Group.ALL)
        req.customer.refused += req.request.units * (not req.charged)
        self.quotas.refund(req, now)
        after = min(self.settings.max_advice, wait) if self.settings.may_advise else 0.0
        self.actions.append(api.Refuse(req.request.request, after) if safe else api.Fail(req.request.request))
        self.requests.close(req.request.request)
