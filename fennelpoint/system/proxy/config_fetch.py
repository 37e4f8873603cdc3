"""Which core machines a proxy requests the newest configuration's content from, until it has arrived."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

RETRY_INTERVAL_S = 0.45
PARALLEL_RETRIES = 2  # core machines asked by each retry: contents are the longest of all messages


@dataclass(slots=True)
class ContentRequests:
    """The content requests of one proxy; peers are the names of core machines."""

    announced_by: set[str] = field(default_factory=set)  # peers that announced the newest revision
    digest: str = ""  # of the content that was requested last
    sent_at: float = -inf
    retries: int = 0  # of the request for `digest`

    def note_announcement(self, peer: str, is_first: bool) -> None:
        """The peer announced the newest known revision; `is_first` if no other peer has done so."""
        if is_first:
            self.announced_by.clear()
        self.announced_by.add(peer)

    def is_due(self, now: float) -> bool:
        """Whether it is time for a retry."""
        return now - self.sent_at > RETRY_INTERVAL_S

    def peers_to_ask(self, digest: str, connected: Sequence[str], now: float) -> list[str]:
        """Record a request that is sent now and return its recipients among the connected peers, the best first.

        The first request goes to the best peer, retries go round those that announced the revision: a peer that is
        cut off from the others does not have the content and cannot fetch it.
        """
        self.retries = self.retries + 1 if self.digest == digest else 0
        self.digest, self.sent_at = digest, now
        if not self.retries:
            return list(connected[:1])
        candidates = [peer for peer in connected if peer in self.announced_by] or list(connected)
        first = self.retries - 1
        return [candidates[(first + i) % len(candidates)] for i in range(min(PARALLEL_RETRIES, len(candidates)))]
