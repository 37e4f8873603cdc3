"""Sums of what fronts may be using, kept so that a look-up costs the same for any number of fronts.

A front uses at most the largest part of a thing among its grants that count still.  Its share in the sums is counted
anew when its grants change, and when one of them ends: a heap tells the front whose grant ends next.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple, Protocol

from fennelpoint.system.registry.grants import COLD_AFTER, Grant


class Thing(NamedTuple):
    """What is lent in parts."""

    kind: str  # "quotas", "cold" or "slack"
    key: str = ""  # the tenant or the cold backend


SLACK_THING = Thing("slack")


class Borrower(Protocol):
    """A front and its grants that may be in use."""

    ip: str
    grants: list[Grant]


def most_in_use(grants: Iterable[Grant], now: float) -> dict[Thing, int]:
    """The largest part of each thing among the grants that count at that time."""
    most: dict[Thing, int] = {}

    def count(thing: Thing, part: int) -> None:
        if part > most.get(thing, 0):
            most[thing] = part

    for grant in grants:
        if now < grant.ends:
            for tenant, part in grant.quotas.items():
                count(Thing("quotas", tenant), part)
            count(SLACK_THING, grant.slack)
        if now < grant.ends + COLD_AFTER:
            for backend, part in grant.cold.items():
                count(Thing("cold", backend), part)
    return most


class Lent:
    """The sums over all fronts.  Times never run backwards."""

    def __init__(self) -> None:
        self._totals: dict[Thing, int] = {}
        self._of: dict[str, dict[Thing, int]] = {}
        self._fronts: dict[str, Borrower] = {}
        self._ends: list[tuple[float, str]] = []  # when a front's share may change by itself, soonest first

    def recount(self, front: Borrower, now: float) -> None:
        """Its grants have changed, or one of them has ended."""
        self._fronts[front.ip] = front
        self._replace(front.ip, most_in_use(front.grants, now))
        moments = (moment for grant in front.grants for moment in (grant.ends, grant.ends + COLD_AFTER))
        if (soonest := min((moment for moment in moments if moment > now), default=None)) is not None:
            heappush(self._ends, (soonest, front.ip))

    def forget(self, ip: str) -> None:
        """The front is taken out of the table."""
        self._replace(ip, {})
        del self._of[ip]
        self._fronts.pop(ip, None)

    def of(self, ip: str, thing: Thing, now: float) -> int:
        """The most of a thing that one front may be using."""
        self._advance(now)
        return self._of.get(ip, {}).get(thing, 0)

    def total(self, thing: Thing, now: float) -> int:
        """The most of a thing that all fronts together may be using."""
        self._advance(now)
        return self._totals.get(thing, 0)

    def _advance(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, ip = heappop(self._ends)
            if (front := self._fronts.get(ip)) is not None:
                self.recount(front, now)

    def _replace(self, ip: str, parts: dict[Thing, int]) -> None:
        before = self._of.get(ip, {})
        self._of[ip] = parts
        for thing in before.keys() | parts.keys():
            total = self._totals.get(thing, 0) + parts.get(thing, 0) - before.get(thing, 0)
            if total:
                self._totals[thing] = total
            else:
                self._totals.pop(thing, None)
