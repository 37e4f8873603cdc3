"""A duty that one core machine does: held by a lease that a majority granted, and left before it ends.

Each registry grants to one at a time, in memory.  One that has just started does not know what it granted before, so
it grants nothing until that must have ended.  The holder counts its lease from the sending of its claim.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SPAN, MARGIN = 1.2, 0.15    # s of a grant; s before its end that the holder stops
RENEW = 0.3                 # s between claims of the holder
TURN = 0.12                 # s that each further one in line waits before it claims, too

Term = tuple[int, str]


@dataclass(slots=True)
class Duty:
    """One machine's part in it; `claim` is what to send to all when due."""

    me: str
    grants_from: float      # nothing is granted before
    granted: str = ""       # to whom, and until when
    until: float = -1e9
    highest: int = 0        # of the terms that were heard of
    term: Term | None = None    # ours, while we hold or claim it
    held_until: float = -1e9
    again: float = -1e9     # we claim no sooner, after a claim that came to nothing
    claimed_at: float = -1e9
    claims: int = 0         # so many were sent: a grant counts for the claim that it answers
    votes: set[str] = field(default_factory=set)
    holder: Term | None = None  # who holds it, as far as is known here
    holder_at: float = -1e9

    def holds(self, now: float) -> bool:
        return self.term is not None and now < self.held_until

    def due(self, now: float, rank: int, whole: bool) -> Term | None:
        """The claim to send now, if one is due; `rank` is our place in the line, `whole` that we hear a majority."""
        if self.holds(now):
            if now - self.claimed_at < RENEW:
                return None
        else:
            if self.term is not None:
                if now - self.claimed_at < SPAN / 2:
                    return None     # it is under way
                self.term = None    # it was not to be: what others granted us meanwhile has to end first
                self.again = now + SPAN + TURN * rank
            if not whole or now < max(self.again, self.grants_from + TURN * rank):
                return None
            if now < max(self.holder_at + SPAN, self.until if self.granted != self.me else now) + TURN * rank:
                return None     # another one holds it, or may
            self.term = (self.highest + 1, self.me)
        self.claimed_at, self.votes, self.claims = now, set(), self.claims + 1
        self.highest = max(self.highest, self.term[0])
        return self.term

    def claimed(self, term: Term, held: bool, now: float) -> bool:
        """Whether a claim is granted; `held`: its sender holds the duty already."""
        self.highest = max(self.highest, term[0])
        if held and (self.holder is None or term >= self.holder):
            self.holder, self.holder_at = term, now
        if now < self.grants_from or now < self.until and self.granted != term[1]:
            return False
        self.granted, self.until = term[1], now + SPAN
        return True

    def voted(self, term: Term, claim: int, by: str, quorum, now: float) -> bool:
        """A grant came; whether we hold the duty by it and did not before.  `quorum` judges the voters."""
        if term != self.term or claim != self.claims:
            return False
        self.votes.add(by)
        if not quorum(self.votes):
            return False
        before, self.holder, self.holder_at = self.holds(now), term, now
        self.held_until = max(self.held_until, self.claimed_at + SPAN - MARGIN)
        return not before and self.holds(now)

    def leave(self) -> None:
        self.term, self.held_until = None, -1e9
