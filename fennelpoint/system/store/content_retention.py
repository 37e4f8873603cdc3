"""Which contents a core machine's disk must retain; the others are evicted by age, bounded in number and bytes.

An agreed state refers to a content by its digest, or is about to: a proposer distributes the content first, and a
round on another machine may make it the newest before this machine learns of that.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fennelpoint.system.store import idempotency

MAX_CONTENTS_PER_PROPOSER = 4   # a proposer announces what was agreed before it distributes its next content
RECEIVED_RETENTION_S = 30.0     # for which a distributed content may still be made the newest
SUPERSEDED_RETENTION_S = 10.0   # after which no machine asks for the content of the previous state


def retained_digests(states: Iterable[Mapping], under_way: Iterable[str], received: Iterable[tuple[str, float]],
                     superseded: Iterable[tuple[str, float]], now: float) -> set[str]:
    """Digests to retain: those that agreed or possibly agreed states refer to, those of this machine's own changes
    under way, those recently `received` for rounds of other machines, and those of recently superseded states.

    `received` and `superseded` are pairs of a digest and the time of the event."""
    return {*(digest for state in states if state for digest in idempotency.referenced_digests(state)),
            *(digest for digest in under_way if digest),
            *(digest for digest, at in received if now - at < RECEIVED_RETENTION_S),
            *(digest for digest, at in superseded if now - at < SUPERSEDED_RETENTION_S)}


@dataclass(slots=True)
class RecentContents:
    """Contents that proposers recently distributed to this machine, and those of recently superseded states."""

    received: dict[str, deque[tuple[str, float]]] = field(default_factory=dict)     # by proposer
    superseded: deque[tuple[str, float]] = field(default_factory=lambda: deque(maxlen=MAX_CONTENTS_PER_PROPOSER))

    def record_received(self, proposer: str, digest: str, now: float) -> None:
        """Records a content that a proposer sent to be stored here."""
        contents = self.received.setdefault(proposer, deque(maxlen=MAX_CONTENTS_PER_PROPOSER))
        for old in [entry for entry in contents if entry[0] == digest]:
            contents.remove(old)
        contents.append((digest, now))

    def record_superseded(self, state: Mapping, now: float) -> None:
        """Records the content of a state that was the newest until now."""
        self.superseded.append((state["digest"], now))

    def retained_digests(self, states: Iterable[Mapping], under_way: Iterable[str], now: float) -> set[str]:
        """Digests to retain, given the agreed or possibly agreed states and this machine's changes under way."""
        return retained_digests(states, under_way,
                                [entry for contents in self.received.values() for entry in contents],
                                self.superseded, now)
