"""Agencies whose requests seem to kill nodes, seen by the pattern of deaths, and how long each is kept apart.

Pure.  A node has died when an attempt there broke off and soon after a connection to it failed, or the list
says that it is gone.  Who had an attempt out there is a suspect.  How telling that is goes by how much of the
time an agency is at a node anyway: a large one is at most of them, so its presence says little; who is absent
at a death is cleared by it.  An accusation ends by itself, so a wrong one costs its agency a smaller cell for
a while and nobody else anything.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import exp, log

BROKEN, LINGERS = 2.0, 0.5      # s from a break to the sign of death; s after its end that an attempt counts
HIT = 0.9           # chance that a poisoner is at a node that dies, of its own doing
ACCUSED, DEATHS = log(1000.0), 3    # evidence, and deaths with it there, that it takes
HALF = 60.0         # s for evidence to fade by half
PRESENCE = 0.1      # weight of a new sample in how much of the time an agency is at a node
LEAST_CHANCE = 0.02     # that it is there anyway: what was seen of it is never all there is
FIRST, LONGEST = 30.0, 600.0    # s apart, doubled each time
MOST = 4096         # agencies remembered; the longest unseen are forgotten


@dataclass(slots=True)
class Record:
    """What is held for or against an agency."""

    presence: float = 0.0   # nodes it is at, of all, as a mean
    evidence: float = 0.0   # log of how much likelier the deaths are if it causes them
    deaths: int = 0         # with it there
    at: float = 0.0         # when this was last brought up to date
    times: int = 0          # accused so far
    until: float = 0.0      # apart until then

    def fade(self, now: float) -> None:
        left = 0.5 ** ((now - self.at) / HALF)
        self.evidence, self.at = self.evidence * left, now
        if abs(self.evidence) < 0.1:
            self.deaths = 0


@dataclass(slots=True)
class Seen:
    """A node: who is there, who was until lately, and when an attempt last broke off."""

    out: dict[int, int] = field(default_factory=dict)   # attempts, by agency
    left: deque[tuple[float, int]] = field(default_factory=deque)
    broke_at: float = -1e9
    dead: bool = False


class Poison:
    """Give it what is sent and how it ends; `apart` tells who is kept apart at a time."""

    def __init__(self) -> None:
        self.nodes: dict[str, Seen] = {}
        self.records: dict[int, Record] = {}    # the longest unseen first

    def _record(self, agency: int, now: float) -> Record:
        record = self.records.pop(agency, None) or Record(at=now)
        self.records[agency] = record
        if len(self.records) > MOST:
            idle = next((a for a, r in self.records.items() if r.until <= now), None)
            if idle is not None:
                del self.records[idle]
        return record

    def sent(self, agency: int, node: str, now: float) -> None:
        seen = self.nodes.setdefault(node, Seen())
        seen.out[agency] = seen.out.get(agency, 0) + 1
        seen.dead = False
        record = self._record(agency, now)
        at = sum(agency in other.out for other in self.nodes.values()) / max(1, len(self.nodes))
        record.presence += PRESENCE * (at - record.presence)

    def ended(self, agency: int, node: str, broke: bool, unreachable: bool, now: float) -> list[int]:
        """An attempt's end: it broke off, or the node could not be reached.  Who is accused by it."""
        if (seen := self.nodes.get(node)) is None:
            return []
        if (left := seen.out.get(agency, 0) - 1) > 0:
            seen.out[agency] = left
        else:
            seen.out.pop(agency, None)
        if broke:
            seen.broke_at = now
            seen.left.append((now, agency))
        while seen.left and seen.left[0][0] < now - BROKEN - LINGERS:
            seen.left.popleft()
        return self.died(node, now) if unreachable and now - seen.broke_at <= BROKEN else []

    def died(self, node: str, now: float) -> list[int]:
        """A node is dead, once for each time it is sent to; who is accused now."""
        seen = self.nodes.get(node)
        if seen is None or seen.dead:
            return []
        seen.dead = True
        there = set(seen.out) | {agency for at, agency in seen.left if seen.broke_at - LINGERS <= at}
        accused = []
        for agency, record in self.records.items():
            record.fade(now)
            chance = min(HIT, max(LEAST_CHANCE, record.presence))
            if agency in there:
                record.evidence += log(HIT / chance)
                record.deaths += 1
            else:
                record.evidence = max(0.0, record.evidence + log((1.0 - HIT) / (1.0 - chance)))
            if record.evidence >= ACCUSED and record.deaths >= DEATHS and record.until <= now:
                record.until = now + min(LONGEST, FIRST * 2.0 ** record.times)
                record.times += 1
                record.evidence, record.deaths = 0.0, 0
                accused.append(agency)
        return accused

    def gone(self, node: str, now: float) -> list[int]:
        """The list names a node no more; it counts as dead if something broke off there just before."""
        seen = self.nodes.get(node)
        accused = self.died(node, now) if seen is not None and now - seen.broke_at <= BROKEN else []
        self.nodes.pop(node, None)
        return accused

    def apart(self, agency: int, now: float) -> bool:
        record = self.records.get(agency)
        return record is not None and now < record.until

    def why(self, agency: int, now: float) -> str:
        """How an agency stands, in words."""
        if (record := self.records.get(agency)) is None:
            return "nothing is held against it"
        if now < record.until:
            return f"kept apart for {record.until - now:.0f} s more, the {record.times}. time"
        odds = exp(min(20.0, record.evidence * 0.5 ** ((now - record.at) / HALF)))
        return f"{record.deaths} deaths with it there, {odds:.0f} times likelier if it causes them"
