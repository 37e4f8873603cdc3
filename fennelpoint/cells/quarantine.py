"""Detects agencies whose requests seem to kill nodes, and quarantines them for a limited time.

Has no side effects.  A node counts as dead if an attempt there broke off and soon afterwards a connection to it
failed or the roster dropped it.  Agencies with an attempt in flight there are suspects.  How much a death weighs
depends on how often an agency is at a node anyway: a large agency is at most nodes, so its presence is weak
evidence; absence at a death counts in an agency's favour.  A quarantine expires by itself, so a wrong accusation
costs the agency a smaller cell for a while and affects no other agency.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import exp, log

# A death shows within DEATH_DETECTION_S after the last break.  Agencies whose attempts broke off within
# RECENT_BREAK_S before the last break count as present.
DEATH_DETECTION_S, RECENT_BREAK_S = 2.0, 0.5
CULPRIT_PRESENCE = 0.9      # probability that the agency that causes a death is at the node; the rest is chance
ACCUSATION_EVIDENCE, MIN_DEATHS = log(1000.0), 3    # log likelihood ratio, and deaths with the agency present
EVIDENCE_HALF_LIFE_S = 60.0
PRESENCE_SMOOTHING = 0.1    # weight of a new sample in the moving average of an agency's presence
MIN_PRESENCE = 0.02     # assumed of every agency, as the samples never show all of its presence
FIRST_QUARANTINE_S, MAX_QUARANTINE_S = 30.0, 600.0      # doubled with each accusation
MAX_RECORDS = 4096      # agencies; the least recently active are evicted, unless quarantined


@dataclass(slots=True)
class AgencyRecord:
    """The evidence for or against an agency."""

    presence: float = 0.0   # fraction of the nodes with its attempts in flight, as a moving average
    evidence: float = 0.0   # log of how much likelier the deaths are if the agency causes them
    deaths: int = 0         # with the agency present
    updated_at: float = 0.0
    accusations: int = 0
    quarantined_until: float = 0.0

    def decay(self, now: float) -> None:
        remaining = 0.5 ** ((now - self.updated_at) / EVIDENCE_HALF_LIFE_S)
        self.evidence, self.updated_at = self.evidence * remaining, now
        if abs(self.evidence) < 0.1:
            self.deaths = 0


@dataclass(slots=True)
class NodeActivity:
    """The attempts in flight at a node, and those that recently broke off."""

    in_flight: dict[int, int] = field(default_factory=dict)     # attempts by agency
    recent_breaks: deque[tuple[float, int]] = field(default_factory=deque)      # time and agency
    last_break_at: float = -1e9
    is_dead: bool = False


class PoisonDetector:
    """Learns from the attempts sent and their outcomes; `is_quarantined` gives its verdict on an agency."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeActivity] = {}
        self.records: dict[int, AgencyRecord] = {}      # the least recently active first

    def _record(self, agency: int, now: float) -> AgencyRecord:
        record = self.records.pop(agency, None) or AgencyRecord(updated_at=now)
        self.records[agency] = record
        if len(self.records) > MAX_RECORDS:
            idle = next((a for a, r in self.records.items() if r.quarantined_until <= now), None)
            if idle is not None:
                del self.records[idle]
        return record

    def attempt_sent(self, agency: int, node: str, now: float) -> None:
        activity = self.nodes.setdefault(node, NodeActivity())
        activity.in_flight[agency] = activity.in_flight.get(agency, 0) + 1
        activity.is_dead = False
        record = self._record(agency, now)
        presence = sum(agency in other.in_flight for other in self.nodes.values()) / max(1, len(self.nodes))
        record.presence += PRESENCE_SMOOTHING * (presence - record.presence)

    def attempt_ended(self, agency: int, node: str, broke_off: bool, is_unreachable: bool, now: float) -> list[int]:
        """Record the end of an attempt, and return the agencies accused because of it.

        `broke_off` says that its connection broke, `is_unreachable` that no connection to the node could be opened.
        """
        if (activity := self.nodes.get(node)) is None:
            return []
        if (remaining := activity.in_flight.get(agency, 0) - 1) > 0:
            activity.in_flight[agency] = remaining
        else:
            activity.in_flight.pop(agency, None)
        if broke_off:
            activity.last_break_at = now
            activity.recent_breaks.append((now, agency))
        while activity.recent_breaks and activity.recent_breaks[0][0] < now - DEATH_DETECTION_S - RECENT_BREAK_S:
            activity.recent_breaks.popleft()
        return (self.node_died(node, now)
                if is_unreachable and now - activity.last_break_at <= DEATH_DETECTION_S else [])

    def node_died(self, node: str, now: float) -> list[int]:
        """Record the death of a node, and return the agencies accused because of it.

        A death counts once, until the next attempt is sent to the node.
        """
        activity = self.nodes.get(node)
        if activity is None or activity.is_dead:
            return []
        activity.is_dead = True
        present = set(activity.in_flight) | {agency for broke_at, agency in activity.recent_breaks
                                             if activity.last_break_at - RECENT_BREAK_S <= broke_at}
        accused = []
        for agency, record in self.records.items():
            record.decay(now)
            chance = min(CULPRIT_PRESENCE, max(MIN_PRESENCE, record.presence))
            if agency in present:
                record.evidence += log(CULPRIT_PRESENCE / chance)
                record.deaths += 1
            else:
                record.evidence = max(0.0, record.evidence + log((1.0 - CULPRIT_PRESENCE) / (1.0 - chance)))
            if (record.evidence >= ACCUSATION_EVIDENCE and record.deaths >= MIN_DEATHS
                    and record.quarantined_until <= now):
                record.quarantined_until = now + min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0 ** record.accusations)
                record.accusations += 1
                record.evidence, record.deaths = 0.0, 0
                accused.append(agency)
        return accused

    def node_removed(self, node: str, now: float) -> list[int]:
        """Handle a node that left the roster; it counts as dead if an attempt broke off there just before.

        Returns the agencies accused because of it.
        """
        activity = self.nodes.get(node)
        accused = (self.node_died(node, now)
                   if activity is not None and now - activity.last_break_at <= DEATH_DETECTION_S else [])
        self.nodes.pop(node, None)
        return accused

    def is_quarantined(self, agency: int, now: float) -> bool:
        record = self.records.get(agency)
        return record is not None and now < record.quarantined_until

    def explain(self, agency: int, now: float) -> str:
        """Describe the evidence against an agency."""
        if (record := self.records.get(agency)) is None:
            return "nothing is held against it"
        if now < record.quarantined_until:
            return f"kept apart for {record.quarantined_until - now:.0f} s more, the {record.accusations}. time"
        odds = exp(min(20.0, record.evidence * 0.5 ** ((now - record.updated_at) / EVIDENCE_HALF_LIFE_S)))
        return f"{record.deaths} deaths with it there, {odds:.0f} times likelier if it causes them"
