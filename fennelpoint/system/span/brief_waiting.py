"""Requests that no backend was offered are ended early, so that their clients can still go elsewhere in time."""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.state import Try
from fennelpoint.system.span.events import UnitsNeeded
from fennelpoint.upkeep import PUMP_TOKEN
from fennelpoint.waiting import Waiting

HELD_PART = 0.22  # of an aim that a request waits without having been offered to a backend
ADVICE, MOST_ADVICE = 0.15, 0.5  # s after which a refused client is told to come again: least and most
OVER_ADVICE = 3.0  # s, for a quota that is used up


class BriefWaiting(Waiting):
    """Tries that no backend was offered are ended early: their clients may come again elsewhere in time."""

    def hold(self, t: Try, now: float) -> None:
        super().hold(t, now)
        if self.quotas.need(t, now):
            self.out.append(UnitsNeeded(t.customer.key, t.ask.units))
        if not t.reached and t.ask.request in self.line.held:
            t.last = min(t.last, t.came_at + HELD_PART * self.settings.classes[t.ask.cls].aim)
            self.out += self.timers.wake(PUMP_TOKEN, max(now, t.last), now)

    def refuse(self, t: Try, now: float, wait: float) -> None:
        self.quotas.fill(t.customer, now)
        over = self.quotas.over(t)
        long = over and not (self.quotas.thin(t.customer) and t.customer.key in self.quotas.soon)
        # One whose tenant asks for more than its quota has no room for as long as that lasts; for want of a lease, a
        # part or a backend a client does well to come again soon.
        super().refuse(t, now, max(wait, OVER_ADVICE) if long else min(MOST_ADVICE, max(wait, ADVICE)))
        if isinstance(last := self.out[-1], api.Refuse):
            last.over = over
