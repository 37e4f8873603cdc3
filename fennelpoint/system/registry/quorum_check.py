"""The decider of contact: whether what this core machine acknowledges can reach a majority.

Each word of gossip bears the moment of its sending on the sender's own steady clock, and the newest such moment that
was heard from whom it goes to: an echo.  An echo proves both ways at once, as of the sending of the word that it
answers.  The state of a connection proves neither: it stays up for a while after a cut, and a frozen machine sees no
time go by.
"""

from __future__ import annotations

from collections.abc import Callable

FRESH = 1.8     # s from the sending of a word in which its echo counts: three words of gossip
LAG = 1.0       # s between two events of a process after which it has stood still: callers have gone on by then
DRAIN = 0.5     # s after that in which what is read may have waited all the while


class Contact:
    """What one core machine knows of who hears it.  Times are seconds on its steady clock, stamps milliseconds."""

    def __init__(self, me: str, now: float) -> None:
        self.me = me
        self.since = now        # words that were sent before count no more: this process began, or stood still
        self.seen = now         # its newest event
        self.lag, self.drained = 0.0, now
        self.words: dict[str, int] = {}         # the newest stamp of each other one
        self.echoed: dict[str, float] = {}      # when we sent the newest word that each one has echoed
        self.sure: dict[str, float] = {}        # until when each one counts as in touch, by its own word

    def woke(self, now: float) -> bool:
        """Whether this process stood still until now; to be asked at each event, before it."""
        gap, self.seen = now - self.seen, now
        if gap <= LAG:
            return False
        self.since, self.lag, self.drained = now, gap, now + DRAIN
        return True

    def late(self, now: float) -> float:
        """Seconds that a message which is read now may have waited here."""
        return self.lag if now < self.drained else 0.0

    def word(self, peer: str, sure: bool, now: float) -> list:
        """What the next word to a core machine bears: stamp, echo, and whether we are in touch."""
        return [int(now * 1000), self.words.get(peer, 0), sure]

    def heard(self, peer: str, stamp: int, echo: int, sure: bool, now: float) -> None:
        self.words[peer] = stamp
        self.echo(peer, echo, now)
        if sure and not self.late(now):
            self.sure[peer] = now + FRESH
        else:
            self.sure.pop(peer, None)

    def echo(self, peer: str, stamp: int, now: float) -> None:
        """One has heard the word that we sent at `stamp`.  Guards against words of a life before, or of no life."""
        at = stamp / 1000
        if self.since - 0.001 <= at <= now:
            self.echoed[peer] = max(at, self.echoed.get(peer, at))

    def in_touch(self, quorum: Callable[[set[str]], bool], now: float) -> bool:
        """Whether a majority has heard a word of ours that is no older than `FRESH`, and we it."""
        return now >= self.drained and quorum(
            {self.me, *(ip for ip, at in self.echoed.items() if at >= self.since - 0.001 and now - at <= FRESH)})

    def believed(self, peer: str, now: float) -> bool:
        """Whether another one counts as in touch."""
        return now <= self.sure.get(peer, -1e9)
