"""Which fronts may hold parts: the reckoner of one term enrols and dismisses them by agreement.

The list is a part of the agreed value, so that the reckoner after this one knows whom to wait for.  A front leaves it
in two steps.  First the reckoner takes it out of its own table, once all that it was lent has ended; from then on
nothing is lent to it until an enrolment that was proposed later is agreed.  Then the reckoner proposes the dismissal
with its term as fencing token: where another term has begun, with the list as it was, it changes nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from fennelpoint.system.registry.allocator import Allocator

PACE = 0.4          # s between enrolments
BATCH = 5.0         # s between dismissals
ANSWER = 4.0        # s for the store to answer: it gives up before


@dataclass(slots=True)
class Proposal:
    """A change of the list under way at the store."""

    token: int
    kind: str
    fronts: frozenset[str]
    until: float


@dataclass(slots=True)
class Roster:
    """The list's changes by the reckoner of one term: one proposal at a time, so that they are agreed in order."""

    waiting: set[str] = field(default_factory=set)      # fronts that asked and are not enrolled
    barred: set[str] = field(default_factory=set)       # taken out here, and not enrolled anew since
    proposal: Proposal | None = None
    enrol_at: float = -1e9      # no sooner
    dismiss_at: float = -1e9

    def admits(self, ip: str, enrolled: Collection[str]) -> bool:
        """Whether this front may be lent anything; where not, it waits to be enrolled."""
        if ip in enrolled and ip not in self.barred:
            self.waiting.discard(ip)
            return True
        self.waiting.add(ip)
        return False

    def due(self, allocator: Allocator, enrolled: Collection[str], token: int, now: float) -> tuple[str, list] | None:
        """The change to propose now by this token, if there is one: its kind, and what it is made of."""
        if self.proposal is not None and now < self.proposal.until:
            return None
        self.proposal = None
        if self.waiting and now >= self.enrol_at:
            self.enrol_at = now + PACE
            return self._propose("enrol", self.waiting, [], token, now)
        if now >= self.dismiss_at:
            self.dismiss_at = now + BATCH
            allocator.enrol([ip for ip in enrolled if ip not in self.barred], now)    # some may never have asked
            self.barred = (self.barred & set(enrolled)) | allocator.dismiss(now)
            if gone := {ip for ip in self.barred if ip in enrolled and ip not in self.waiting}:
                return self._propose("dismiss", gone, [allocator.term[0]], token, now)
        return None

    def _propose(self, kind: str, fronts: Collection[str], rest: list, token: int, now: float) -> tuple[str, list]:
        self.proposal = Proposal(token, kind, frozenset(fronts), now + ANSWER)
        return kind, [sorted(fronts), *rest]

    def changed(self, token: int, status: int) -> None:
        """The store's answer to a proposal; one that never comes leaves the bar where it is."""
        if self.proposal is None or token != self.proposal.token:
            return
        done, self.proposal = self.proposal, None
        if status == 200:
            self.barred -= done.fronts      # a dismissal by an earlier ballot can't be agreed any more
            self.waiting -= done.fronts if done.kind == "enrol" else set()

    def forgotten(self) -> None:
        """The store has begun anew: no answer comes."""
        self.proposal = None
