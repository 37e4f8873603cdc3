"""A duty that one core machine does: held by a lease that a majority granted, and left before it ends.

Each registry grants to one at a time, in memory.  One that has just started does not know what it granted before: its
grant is not firm until that must have ended.  A majority of firm grants gives the duty, or the grants of all that
vote, firm or not: whoever holds it grants it to nobody else.  The holder counts from the sending of its claim.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf

from fennelpoint.system.incarnation import same_life

SPAN, MARGIN = 1.2, 0.15    # s of a grant; s before its end that the holder stops
RENEW = 0.3                 # s between claims of the holder
REPEAT, TRY = 0.12, 0.5     # s between claims that have not won yet, and until these are given up
TURN = 0.12                 # s that each further one in line waits before it claims, too

Term = tuple[int, str]


@dataclass(slots=True)
class Duty:
    """One machine's part in it; `claim` is what to send to all when due."""

    me: str
    grants_from: float      # nothing is granted before
    claims: int = 0         # the number of the newest that was sent: a grant counts for the claim that it answers
    granted: str = ""       # to whom, for which claim of its, and until when
    granted_for: int = 0
    until: float = -1e9
    highest: int = 0        # of the terms that were heard of
    term: Term | None = None    # ours, while we hold or claim it
    held_until: float = -1e9
    able_at: float = inf    # since when we hear a majority and may claim
    again: float = -1e9     # we claim no sooner, after a claim that came to nothing
    tried_at: float = -1e9  # when we began to claim
    backed_at: float = -1e9     # when a majority had granted a claim of ours last, firmly or not
    left: Term | None = None    # a claim that came to nothing, to be told to all
    claimed_at: float = -1e9
    sent: dict[int, float] = field(default_factory=dict)    # those of our term that may still win, and when
    votes: dict[int, dict[str, bool]] = field(default_factory=dict)     # by claim, by whom, and whether firm
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
            if self.term is not None and now < max(self.tried_at, self.backed_at) + TRY:
                if now - self.claimed_at < REPEAT:
                    return None     # it is under way
                return self._claim(now)     # some may not have been there to hear it
            if self.term is not None:
                self.left, self.term = self.term, None  # it was not to be: another may be granted it
                self.again = now + TURN * (rank + 1)
            if not whole:
                self.able_at = inf
                return None
            self.able_at = min(self.able_at, now)
            others = self.until if self.granted != self.me else -inf
            free_at = max(self.able_at, self.holder_at + SPAN, others)  # no other one holds it, or may
            if now < max(self.again, free_at + TURN * rank):
                return None
            self.term, self.tried_at = (self.highest + 1, self.me), now
            self.sent.clear()
            self.votes.clear()
        self.highest = max(self.highest, self.term[0])
        return self._claim(now)

    def _claim(self, now: float) -> Term:
        """One more claim of our term; each may win.  Guards a holder whose grants take longer than it renews."""
        self.claimed_at, self.claims = now, self.claims + 1
        self.sent[self.claims], self.votes[self.claims] = now, {}
        for old in [n for n, at in self.sent.items() if now - at > SPAN]:
            del self.sent[old], self.votes[old]
        return self.term

    def claimed(self, term: Term, held: bool, claim: int, now: float) -> bool | None:
        """Whether a claim is granted, and firmly; none: it is not.  `held`: its sender holds the duty already."""
        self.highest = max(self.highest, term[0])
        # One that is not renewed any more makes room: terms of different claimants tell no order in time.
        if held and (self.holder is None or term >= self.holder or now - self.holder_at > 2.0 * RENEW):
            self.holder, self.holder_at = term, now
        if self._stands_back(term, now):
            self.left, self.term = self.term, None
            self.until = now    # our vote was ours
        if now < self.until and self.granted != term[1]:
            return None
        self.granted, self.granted_for, self.until = term[1], claim, now + SPAN
        return now >= self.grants_from

    def _stands_back(self, rival: Term, now: float) -> bool:
        """Whether we give up a claim that can't win soon for one of a machine before us in the line.

        It may not have heard us, nor we it, when links came up.  Each would keep its vote for itself.
        """
        if self.term is None or self.holds(now) or self.granted != self.me:
            return False
        return rival[1] < self.me

    def voted(self, term: Term, claim: int, by: str, firm: bool, voters: Collection[str], now: float) -> bool:
        """A grant came; whether we hold the duty by it and did not before."""
        if term != self.term or claim not in self.sent:
            return False
        votes = self.votes[claim]
        votes[by] = firm
        if 2 * sum(ip in votes for ip in voters) > len(voters):
            self.backed_at = now    # nobody else can win before us
        firmly = sum(votes.get(ip, False) for ip in voters)
        if 2 * firmly <= len(voters) and not all(ip in votes for ip in voters):
            return False
        before, self.holder, self.holder_at = self.holds(now), term, now
        self.held_until = max(self.held_until, self.sent[claim] + SPAN - MARGIN)
        return not before and self.holds(now)

    def released(self, term: Term, claim: int, now: float) -> None:
        """Claims up to this one, which we may have granted, came to nothing, or who held the duty has left it;
        later ones, or another life's, stand."""
        if self.granted == term[1] and same_life(claim, self.granted_for) and claim >= self.granted_for:
            self.until = min(self.until, now)   # the next in line takes its turn from now
        if self.holder == term:
            self.holder_at = now - SPAN     # its lease has ended: so does the next in line after it

    def ended(self, ip: str, dialled_at: float, now: float) -> None:
        """The machine refused a connection that was dialled then: a process that held the duty before has ended.

        Guards a grant to its next life: that is later than the dialling.
        """
        if self.granted == ip and self.until - SPAN < dialled_at:
            self.until = min(self.until, now)
        if self.holder is not None and self.holder[1] == ip and self.holder_at < dialled_at:
            self.holder_at = min(self.holder_at, now - SPAN)

    def resign(self) -> None:
        """Leave it before its lease ends; `left` is to be told to all, so that another may be granted it."""
        self.left = self.term or self.left
        self.leave()

    def leave(self) -> None:
        self.term, self.held_until = None, -1e9
