"""How long a try is held, when it is looked at again, and how one ends that has nothing out."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import PUMP, PUMP_TOKEN, Concern, Ground, allowed
from fennelpoint.quotas import Quotas
from fennelpoint.regulation import Regulation
from fennelpoint.selection import LATE_MARGIN, REST_MOST, Selection
from fennelpoint.state import Try


class Waiting(Concern):
    """The waiting line; the records of it are `Line`'s."""

    def __init__(self, ground: Ground, quotas: Quotas, selection: Selection, regulation: Regulation,
                 place: Callable[[Try, float], bool]) -> None:
        super().__init__(ground)
        self.quotas, self.selection, self.regulation, self.place = quotas, selection, regulation, place

    def hold(self, t: Try, now: float) -> None:
        """Keep it until it may be sent, or its aim is out of reach; half of its time if no backend had it."""
        margin = LATE_MARGIN * self.selection.usual[t.ask.cls]
        t.last = min(t.aim_at - margin, t.ends, inf if t.reached else t.half)
        self.line.hold(t)
        self.out += self.timers.wake(PUMP_TOKEN, min(self.due(t, now), t.last), now)

    def due(self, t: Try, now: float) -> float:
        """When to look at a held try again; guards the CPU: not before its bucket can hold its units."""
        c, plan, soon = t.customer, self.settings.plans[t.customer.plan], max(now + PUMP, t.not_before)
        if t.charged or t.inside is not None or not plan.rate or plan.over_worth > 0.0:
            return soon
        return max(soon, c.filled + self.quotas.wait(t, 0.0, now))

    def pump(self, now: float) -> None:
        """Release held tries, the highest worth first; end those that can't make it any more."""
        soonest = inf
        for t in self.line.by_worth():
            if not self.selection.route(t, now):
                self.refuse(t, now, REST_MOST)
                continue
            # Once as much is out as may be, the rest needn't ask: guards the CPU with a long line.
            if now >= t.not_before and t.crowd.quiet() < max(1.0, t.crowd.window) and self.place(t, now):
                continue
            if now >= t.last:
                t.customer.ratios.append(1.0)
                self.regulation.activate(t.customer, now)
                self.refuse(t, now, 0.0)
            else:
                soonest = min(soonest, max(now + PUMP, min(self.due(t, now), t.last)))
        self.out += self.timers.wake(PUMP_TOKEN, soonest, now)

    def refuse(self, t: Try, now: float, wait: float) -> None:
        """End a try that has nothing out: refused where that promise is true, else failed."""
        cls = self.settings.classes[t.ask.cls]
        harmless = allowed(t, self.settings, now) and (
            t.ran_at is None or cls.effect is api.Effect.SAFE or cls.group is api.Group.ALL)
        t.customer.spared += t.ask.units * (not t.charged)
        self.quotas.give_back(t, now)
        advice = min(self.settings.max_advice, wait) if self.settings.may_advise else 0.0
        self.out.append(api.Refuse(t.ask.request, advice) if harmless else api.Fail(t.ask.request))
        self.line.end(t.ask.request)
