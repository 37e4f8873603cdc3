"""The decision module as a counting desk: it is asked whether units may be taken, and never sends a thing.

Pure.  Behind it stands an ordinary `Controller` with one backend that is always up.  An ask is a request to
it; where it would send, the ask is granted and the attempt is over at once, cancelled, which teaches the
module nothing.  So quota, ceiling, demand-following slice, counter and refusals are the ingresses' own.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf

from fennelpoint import interface as api
from fennelpoint.control import Controller

PROXIES = "proxies"     # the one backend's name


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to an ask; `retry_after` in s, 0 where the settings allow no advice."""

    ask: int
    granted: bool
    retry_after: float = 0.0


Act = Verdict | api.Count | api.SetTimer


class Desk:
    """Decides asks; what `ask` and `handle` return is to be carried out, in order."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        # Nothing is probed and discovery is not asked for: there is nothing to be sent to.
        settings = replace(settings, may_probe=False, discovery="push")
        self.settings, self.controller, self.count = settings, Controller(settings, seed, now), 0
        self.controller.start(now)
        only = api.BackendEntry(PROXIES, api.BackendState.READY)
        self.controller.handle(api.Roster(api.RosterKind.FULL, 1, [only]), now)

    def ask(self, customer: int, plan: int, cls: int, units: float, time_left: float,
            now: float) -> tuple[int, list[Act]]:
        """May these units be taken?  The ask's number, and what is to be done.

        The verdict is among it or comes later, within `time_left` seconds.
        """
        self.count += 1
        width = float(self.settings.ingresses)
        event = api.Request(self.count, cls, plan, customer, time_left, units, width, 0.0)
        return self.count, self.handle(event, now)

    def depth(self, customer: int, plan: int) -> float:
        """Units that this desk can have saved up of quota and ceiling; infinite where there is neither."""
        p, width = self.settings.plans[plan], self.settings.ingresses
        c = self.controller.customers.get(customer)
        share = c.share if c is not None else 1.0 / width
        return min(p.burst * share if p.rate else inf, p.ceiling_burst / width if p.ceiling_rate else inf)

    def handle(self, event: api.Event, now: float) -> list[Act]:
        """A counter's reply, a timer that is due, or an asker who has left (`ClientGone`)."""
        return list(self._carry_out(self.controller.handle(event, now), now))

    def _carry_out(self, actions: list[api.Action], now: float) -> Iterable[Act]:
        for action in actions:
            if isinstance(action, api.Send):
                yield Verdict(action.request, True)
                over = api.Outcome(action.request, 0, action.backend, api.Status.CANCELLED, 0.0, True)
                yield from self._carry_out(self.controller.handle(over, now), now)
            elif isinstance(action, api.Refuse):
                yield Verdict(action.request, False, action.retry_after)
            elif isinstance(action, api.Fail):
                yield Verdict(action.request, False)
            elif isinstance(action, api.Count | api.SetTimer):
                yield action
