"""Leader election by lease: a majority of voters grants it to one core machine, which stops before it expires.

Each registry grants its vote to one machine at a time, in memory.  A registry that has just started does not know
what it granted before: its grant is not firm until that must have expired.  A majority of firm grants gives the
lease, and so do the grants of all voters, firm or not: a holder grants its vote to no other machine.  The holder
counts the lease from the sending of its claim.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf

from fennelpoint.system.incarnation import same_incarnation

LEASE_S, SAFETY_MARGIN_S = 1.2, 0.15    # lifetime of a grant; time before its end at which the holder stops
RENEW_INTERVAL_S = 0.3                  # between claims of the holder
CLAIM_RETRY_S, CLAIM_TIMEOUT_S = 0.12, 0.5  # between claims that have not won yet; until these are given up
RANK_DELAY_S = 0.12                     # for which each further machine in rank order waits longer before it claims

Term = tuple[int, str]


@dataclass(slots=True)
class LeaderLease:
    """One machine's state as a voter and as a candidate or holder.

    A term is a number and the IP address of its candidate.  All times are in s on this machine's steady clock.
    """

    me: str
    firm_from: float        # grants are firm from this time on
    last_claim: int = 0     # number of the newest claim sent: a grant counts for the claim that it answers
    granted_to: str = ""    # whom this machine's vote was granted to, for which claim, and until when
    granted_claim: int = 0
    granted_until: float = -1e9
    highest_term: int = 0   # known here
    term: Term | None = None    # of this machine, while it holds or claims the lease
    held_until: float = -1e9
    able_to_claim_at: float = inf   # since when this machine hears a majority
    next_campaign_at: float = -1e9  # earliest time to claim again after a failed campaign
    campaign_started_at: float = -1e9
    majority_at: float = -1e9   # when a majority last granted a claim of this machine, firmly or not
    released_term: Term | None = None   # given up or failed, to be announced to all
    claimed_at: float = -1e9
    claims_sent_at: dict[int, float] = field(default_factory=dict)  # claims of this machine's term that may still win
    votes: dict[int, dict[str, bool]] = field(default_factory=dict)     # whether each voter's grant is firm, by claim
    holder: Term | None = None  # as far as this machine knows
    holder_seen_at: float = -1e9

    def holds(self, now: float) -> bool:
        """Return whether this machine holds the lease."""
        return self.term is not None and now < self.held_until

    def next_claim(self, now: float, rank: int, hears_majority: bool) -> Term | None:
        """Return the term of the claim to send to all voters now, or None; `rank` is this machine's rank."""
        if self.holds(now):
            if now - self.claimed_at < RENEW_INTERVAL_S:
                return None
        else:
            if self.term is not None and now < max(self.campaign_started_at, self.majority_at) + CLAIM_TIMEOUT_S:
                if now - self.claimed_at < CLAIM_RETRY_S:
                    return None     # a claim is under way
                return self._start_claim(now)   # some voters may not have received the last one
            if self.term is not None:
                self.released_term, self.term = self.term, None     # the campaign failed: frees the votes for others
                self.next_campaign_at = now + RANK_DELAY_S * (rank + 1)
            if not hears_majority:
                self.able_to_claim_at = inf
                return None
            self.able_to_claim_at = min(self.able_to_claim_at, now)
            vote_free_at = self.granted_until if self.granted_to != self.me else -inf
            # No other machine holds the lease then, or may hold it.
            lease_free_at = max(self.able_to_claim_at, self.holder_seen_at + LEASE_S, vote_free_at)
            if now < max(self.next_campaign_at, lease_free_at + RANK_DELAY_S * rank):
                return None
            self.term, self.campaign_started_at = (self.highest_term + 1, self.me), now
            self.claims_sent_at.clear()
            self.votes.clear()
        self.highest_term = max(self.highest_term, self.term[0])
        return self._start_claim(now)

    def _start_claim(self, now: float) -> Term:
        """Start one more claim of this machine's term; each of them may win.

        Otherwise a holder whose grants take longer than its renewal interval would lose the lease.
        """
        self.claimed_at, self.last_claim = now, self.last_claim + 1
        self.claims_sent_at[self.last_claim], self.votes[self.last_claim] = now, {}
        for old in [n for n, sent_at in self.claims_sent_at.items() if now - sent_at > LEASE_S]:
            del self.claims_sent_at[old], self.votes[old]
        return self.term

    def handle_claim(self, term: Term, is_holder: bool, claim: int, now: float) -> bool | None:
        """Return whether the grant is firm, or None if the claim is not granted.

        `is_holder`: its sender holds the lease already.
        """
        self.highest_term = max(self.highest_term, term[0])
        # A holder that no longer renews is replaced: terms of different candidates have no order in time.
        if is_holder and (
                self.holder is None or term >= self.holder or now - self.holder_seen_at > 2.0 * RENEW_INTERVAL_S):
            self.holder, self.holder_seen_at = term, now
        if self._yields_to(term, now):
            self.released_term, self.term = self.term, None
            self.granted_until = now    # this machine's vote was for itself
        if now < self.granted_until and self.granted_to != term[1]:
            return None
        self.granted_to, self.granted_claim, self.granted_until = term[1], claim, now + LEASE_S
        return now >= self.firm_from

    def _yields_to(self, rival: Term, now: float) -> bool:
        """Return whether to give up a claim that can't win soon for that of a machine with a lower rank number.

        While links come up, the two may not have heard each other.  Each would otherwise keep its vote for itself.
        """
        if self.term is None or self.holds(now) or self.granted_to != self.me:
            return False
        return rival[1] < self.me

    def handle_grant(
            self, term: Term, claim: int, voter: str, is_firm: bool, voters: Collection[str], now: float) -> bool:
        """Count a voter's grant; return whether this machine now holds the lease and did not before."""
        if term != self.term or claim not in self.claims_sent_at:
            return False
        votes = self.votes[claim]
        votes[voter] = is_firm
        if 2 * sum(ip in votes for ip in voters) > len(voters):
            self.majority_at = now  # no other machine can win before this one
        firm_count = sum(votes.get(ip, False) for ip in voters)
        if 2 * firm_count <= len(voters) and not all(ip in votes for ip in voters):
            return False
        held_before, self.holder, self.holder_seen_at = self.holds(now), term, now
        self.held_until = max(self.held_until, self.claims_sent_at[claim] + LEASE_S - SAFETY_MARGIN_S)
        return not held_before and self.holds(now)

    def handle_release(self, term: Term, claim: int, now: float) -> None:
        """Free the vote after claims up to `claim` failed, or after the holder released the lease.

        Later claims, and those of another incarnation, stay granted.
        """
        if self.granted_to == term[1] and same_incarnation(claim, self.granted_claim) and claim >= self.granted_claim:
            self.granted_until = min(self.granted_until, now)   # the next machine's rank delay runs from now
        if self.holder == term:
            self.holder_seen_at = now - LEASE_S     # its lease has ended: the next machine's rank delay runs from now

    def handle_refused_connection(self, ip: str, dialled_at: float, now: float) -> None:
        """Free the vote after a machine refused a connection dialled at `dialled_at`: its process has ended.

        A grant later than the dialling may be to the process's next incarnation, and stays.
        """
        if self.granted_to == ip and self.granted_until - LEASE_S < dialled_at:
            self.granted_until = min(self.granted_until, now)
        if self.holder is not None and self.holder[1] == ip and self.holder_seen_at < dialled_at:
            self.holder_seen_at = min(self.holder_seen_at, now - LEASE_S)

    def resign(self) -> None:
        """Give the lease up before it expires; the caller announces `released_term`, so that others may claim it."""
        self.released_term = self.term or self.released_term
        self.drop()

    def drop(self) -> None:
        """Stop holding or claiming the lease, without an announcement."""
        self.term, self.held_until = None, -1e9
