"""Failure detector of the core: when a member counts as lost for good, by the reports of a majority of the voters.

Each voter notes which members its replica has no connection to, and since when; the first voter in line asks the
others for their reports.  A member that a majority has been unable to reach for long enough is removed: a voter is
replaced by a standby that holds the newest content, a standby is removed without replacement.  A machine that became
a standby after the connection loss is taken for the successor of the lost voter, which is then replaced sooner.
Replacing a voter that is only partitioned off is harmless: it learns of its removal and becomes a standby.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from fennelpoint.system.store.replicated_state import Change, remove_standbys, replace_voter

VOTER_TIMEOUT_S = 8.0       # without a connection, after which a voter is replaced: twice `catch_up_s`
SUCCESSOR_TIMEOUT_S = 2.0   # the same if a successor came since: with that it is ready within `catch_up_s`
STANDBY_TIMEOUT_S = 30.0    # without a connection, after which a standby is removed: longer than transient partitions
REPORT_TTL_S = 1.2          # for which another member's report is valid


@dataclass(slots=True)
class Report:
    """Another member's latest report: the digest of the content it holds, and how long it has missed each member."""

    received_at: float
    digest: str | None
    unreachable_s: dict[str, float]


@dataclass(slots=True)
class FailureDetector:
    """One replica's view of which members are reachable."""

    me: str
    unreachable_since: dict[str, float] = field(default_factory=dict)   # by member without a connection
    standby_since: dict[str, float] = field(default_factory=dict)       # by standby: when this replica learnt of it
    reports: dict[str, Report] = field(default_factory=dict)
    has_observed: bool = False

    def observe(self, state: dict, connected: set[str], now: float) -> None:
        """Records which members are connected."""
        # Standbys of the first observation may be older than any connection loss: they are no successors.
        new, self.has_observed = now if self.has_observed else -1e9, True
        self.standby_since = {ip: self.standby_since.get(ip, new) for ip in state["ready"]}
        absent = ({*state["voters"], *state["ready"]} - connected) - {self.me}
        self.unreachable_since = {ip: self.unreachable_since.get(ip, now) for ip in absent}

    def unreachable_s(self, now: float) -> dict[str, float]:
        """For how many seconds each unreachable member has been without a connection."""
        return {ip: now - since for ip, since in self.unreachable_since.items()}

    def is_first_voter(self, state: dict) -> bool:
        """Whether this replica is the first in line of the voters that it can reach."""
        return self.me == min(state["voters"].keys() - self.unreachable_since.keys(), default=None)

    def _removals(self, state: dict, eligible: frozenset[str], regions: dict[str, str], now: float
                  ) -> Iterator[tuple[str, float, Change]]:
        """Members due for removal by this view, the seconds a majority must have missed each, and the change."""
        for ip, silence_s in sorted(self.unreachable_s(now).items()):
            if ip not in state["voters"]:
                if silence_s >= STANDBY_TIMEOUT_S:
                    yield ip, STANDBY_TIMEOUT_S, remove_standbys([ip])
                continue
            successors = frozenset(standby for standby in eligible
                                   if self.standby_since.get(standby, -1e9) >= self.unreachable_since[ip])
            for timeout_s, candidates in ((SUCCESSOR_TIMEOUT_S, successors), (VOTER_TIMEOUT_S, eligible)):
                change = replace_voter(ip, candidates, regions, state["digest"])
                # No candidate may be eligible for this place: a round without effect would obstruct others' rounds.
                if silence_s >= timeout_s and change(state) is not state:
                    yield ip, timeout_s, change

    def needs_reports(self, state: dict, regions: dict[str, str], now: float) -> bool:
        """Whether to ask the others for reports: a member timed out here, and its removal would have an effect."""
        eligible = frozenset(state["ready"].keys() - self.unreachable_since.keys())
        return any(True for _ in self._removals(state, eligible, regions, now))

    def next_change(self, state: dict, regions: dict[str, str], now: float) -> Change | None:
        """The change of members that the voters' reports allow, one at a time; None while another is under way."""
        if state["before"]:
            return None
        reports = {ip: r for ip, r in self.reports.items()
                   if now - r.received_at < REPORT_TTL_S and ip not in self.unreachable_since}
        eligible = frozenset(ip for ip, r in reports.items()
                             if ip in state["ready"] and r.digest == state["digest"])
        for ip, timeout_s, change in self._removals(state, eligible, regions, now):
            missed_by = 1 + sum(r.unreachable_s.get(ip, 0.0) >= timeout_s
                                for voter, r in reports.items() if voter in state["voters"])
            if 2 * missed_by > len(state["voters"]):    # a majority of the voters, including this replica
                return change
        return None
