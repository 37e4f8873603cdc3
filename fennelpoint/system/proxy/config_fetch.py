"""Whom a front asks for the newest configuration while that has not come."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

AGAIN = 0.45  # s after which a content is asked for anew
AT_A_TIME = 2  # core machines that are asked then: contents are the longest of all that is sent


@dataclass(slots=True)
class ContentRequests:
    """The requests of one front; peers are the names of core machines."""

    named_by: set[str] = field(default_factory=set)  # who named the newest revision
    digest: str = ""  # of the content that was asked for last
    asked_at: float = -inf
    repeats: int = 0  # of the requests for it

    def named(self, peer: str, first: bool) -> None:
        """It named the newest revision that is known; `first`: no other one has."""
        if first:
            self.named_by.clear()
        self.named_by.add(peer)

    def due(self, now: float) -> bool:
        """Whether it is time to ask again."""
        return now - self.asked_at > AGAIN

    def whom(self, digest: str, reached: Sequence[str], now: float) -> list[str]:
        """Those to ask for a content now, of these that are connected, the best first.

        The best one is asked first; after that those that named the revision, in turn: one that is cut off from the
        others has not got the content, and can't fetch it.
        """
        self.repeats = self.repeats + 1 if self.digest == digest else 0
        self.digest, self.asked_at = digest, now
        if not self.repeats:
            return list(reached[:1])
        candidates = [peer for peer in reached if peer in self.named_by] or list(reached)
        first = self.repeats - 1
        return [candidates[(first + place) % len(candidates)] for place in range(min(AT_A_TIME, len(candidates)))]
