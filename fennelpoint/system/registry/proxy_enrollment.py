"""Enrolment of proxies that may hold shares: the allocator of a term adds and removes them by consensus.

The list is part of the replicated state, so that the next allocator knows whose reports to wait for.  A proxy leaves
it in two steps.  First the allocator removes it from its own table, once all its grants have expired; from then on
the proxy gets no grant until an enrolment that was proposed later is agreed.  Then the allocator proposes the
dismissal with its term as fencing token: if another term has begun with the list unchanged, the dismissal has no
effect.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from fennelpoint.system.registry.allocator import Allocator

ENROL_INTERVAL_S = 0.4
DISMISS_INTERVAL_S = 5.0
PROPOSAL_TIMEOUT_S = 4.0    # the store gives up earlier


@dataclass(slots=True)
class Proposal:
    """A change of the list that the store has not answered yet."""

    token: int
    kind: str
    proxies: frozenset[str]
    expires_at: float


@dataclass(slots=True)
class ProxyEnrollment:
    """Changes of the list by one term's allocator: one proposal at a time, so that they are agreed in order."""

    pending: set[str] = field(default_factory=set)      # proxies that sent a request and are not enrolled
    removed: set[str] = field(default_factory=set)      # removed from the allocator's table, not enrolled again since
    proposal: Proposal | None = None
    next_enrol_at: float = -1e9
    next_dismiss_at: float = -1e9

    def admits(self, ip: str, enrolled: Collection[str]) -> bool:
        """Return whether a proxy may get grants; if not, mark it to be enrolled."""
        if ip in enrolled and ip not in self.removed:
            self.pending.discard(ip)
            return True
        self.pending.add(ip)
        return False

    def next_change(
        self, allocator: Allocator, enrolled: Collection[str], token: int, now: float,
    ) -> tuple[str, list] | None:
        """Return the kind and the arguments of the change to propose now under `token`, or None."""
        if self.proposal is not None and now < self.proposal.expires_at:
            return None
        self.proposal = None
        if self.pending and now >= self.next_enrol_at:
            self.next_enrol_at = now + ENROL_INTERVAL_S
            return self._propose("enrol", self.pending, [], token, now)
        if now >= self.next_dismiss_at:
            self.next_dismiss_at = now + DISMISS_INTERVAL_S
            # Some enrolled proxies may never have sent a request to this allocator.
            allocator.enrol([ip for ip in enrolled if ip not in self.removed], now)
            self.removed = (self.removed & set(enrolled)) | allocator.remove_silent(now)
            if dismissed := {ip for ip in self.removed if ip in enrolled and ip not in self.pending}:
                return self._propose("dismiss", dismissed, [allocator.term[0]], token, now)
        return None

    def _propose(self, kind: str, proxies: Collection[str], rest: list, token: int, now: float) -> tuple[str, list]:
        self.proposal = Proposal(token, kind, frozenset(proxies), now + PROPOSAL_TIMEOUT_S)
        return kind, [sorted(proxies), *rest]

    def proposal_answered(self, token: int, status: int) -> None:
        """Handle the store's answer to a proposal; without an answer, removed proxies stay barred."""
        if self.proposal is None or token != self.proposal.token:
            return
        answered, self.proposal = self.proposal, None
        if status == 200:
            self.removed -= answered.proxies    # a dismissal by an earlier ballot can't be agreed any more
            self.pending -= answered.proxies if answered.kind == "enrol" else set()

    def store_restarted(self) -> None:
        """Drop the proposal: the store has lost it and will not answer."""
        self.proposal = None
