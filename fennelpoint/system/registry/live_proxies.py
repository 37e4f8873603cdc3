"""The fronts that are alive, and what follows from all of them together: even shares, ranks, demand by tenant.

Going through all fronts at each front's ask would cost n² in time.  A census is taken anew after a time that grows
with the number of fronts, so that its cost in a second does not.  What is derived from one that is a little old
decides how parts are shared out and never how much is lent in all: that is bounded by the sums of what is lent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

GOOD_PER_FRONT, GOOD_MOST = 0.0005, 0.1  # s that a census is good, for each front; s at most
LEAST_SUM = 1e-9


class Asker(Protocol):
    """A front and what it was asked for."""

    ip: str
    region: str
    asked: dict[str, float]


@dataclass(frozen=True, slots=True)
class Demand:
    """What all living fronts were asked for of one tenant."""

    asked: float  # a second
    unused: float  # the even share of what nobody asks for
    shares: float  # the sum of all fronts' claims, each the larger of the even share and of its part of the demand


class Census:
    """Taken at one moment."""

    def __init__(self, alive: Iterable[Asker], rates: Mapping[str, float], now: float) -> None:
        self.alive = list(alive)
        self.rates = rates
        self.until = now + min(GOOD_MOST, GOOD_PER_FRONT * len(self.alive))
        self.thick: list[str] | None = None  # tenants whose fronts hold parts, once that is known
        self._members = {front.ip: front.region for front in self.alive}
        self._ranks: dict[str, dict[str, int]] = {}  # by region
        self._empty: set[str] = set()  # regions without living fronts of their own
        self._demands: dict[str, Demand] = {}

    def __len__(self) -> int:
        return len(self.alive)

    def good(self, rates: Mapping[str, float], now: float) -> bool:
        """Whether it may be gone by still."""
        return now < self.until and rates is self.rates

    def join(self, front: Asker) -> None:
        """One that has just asked is alive, too: last in its region's order until the next census."""
        if front.ip in self._members:
            return
        self.alive.append(front)
        self._members[front.ip] = front.region
        self._demands.clear()
        if front.region in self._empty:
            self._empty.discard(front.region)
            del self._ranks[front.region]
        for region, ranks in self._ranks.items():
            if region == front.region or region in self._empty:
                ranks[front.ip] = len(ranks)

    def ranks(self, region: str) -> dict[str, int]:
        """The region's living fronts in order; all living ones, where it has none."""
        if region not in self._ranks:
            near = sorted(ip for ip, its in self._members.items() if its == region)
            if not near:
                self._empty.add(region)
                near = sorted(self._members)
            self._ranks[region] = {ip: rank for rank, ip in enumerate(near)}
        return self._ranks[region]

    def share(self, front: Asker, tenant: str) -> float:
        """The larger of the even share of what is unused, and of its asked over all asked; they add up to one."""
        if tenant not in self._demands:
            self._demands[tenant] = self._demand(tenant)
        demand = self._demands[tenant]
        return min(1.0, self._claim(front, tenant, demand.asked, demand.unused) / max(LEAST_SUM, demand.shares))

    def _demand(self, tenant: str) -> Demand:
        asked = sum(front.asked.get(tenant, 0.0) for front in self.alive)
        rate = self.rates[tenant]
        unused = max(0.0, 1.0 - asked / rate) / len(self) if rate else 1.0 / len(self)
        return Demand(asked, unused, sum(self._claim(front, tenant, asked, unused) for front in self.alive))

    def _claim(self, front: Asker, tenant: str, asked: float, unused: float) -> float:
        part = front.asked.get(tenant, 0.0) / asked if asked > 0.0 else 1.0 / len(self)
        return max(unused, part)
