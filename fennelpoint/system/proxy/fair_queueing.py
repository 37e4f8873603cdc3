"""Starvation guard of the queue: a level of worth that is served far less often than all requests goes first.

Queued requests are ordered by worth, the product of their tenant's rank and their class's worth.  That order is right
for a short time, but a lasting overload would starve the lowest levels.  A level that was served less than
`MIN_RELATIVE_SHARE` times as often as all requests goes first until it no longer is.  Counts decay with a half-life
of `HALF_LIFE_S`, so an overload of some seconds leaves the order unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_RELATIVE_SHARE = 0.35  # of the share of all requests that is served; operators ask for a quarter over a day
HALF_LIFE_S = 10.0
MIN_REQUESTS = 6.0  # decayed count of a level below which its share is not significant
MAX_LEVELS = 64  # a configuration has one for each pair of rank and class


@dataclass(slots=True)
class ServiceCount:
    """Decaying count of the requests that left the queue: offered to a backend, or refused for want of one."""

    updated_at: float
    requests: float = 0.0
    offered: float = 0.0

    def decay(self, now: float) -> None:
        """Bring the counts up to date."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.updated_at, self.requests, self.offered = now, self.requests * factor, self.offered * factor

    def record(self, is_offered: bool, now: float) -> None:
        """Count one request."""
        self.decay(now)
        self.requests += 1.0
        self.offered += is_offered

    @property
    def share(self) -> float:
        """Share of the requests that were offered to a backend; 1 without requests."""
        return self.offered / self.requests if self.requests else 1.0


@dataclass(eq=False, slots=True)
class FairOrder:
    """Tells which levels of worth were served too seldom to queue behind the others."""

    started_at: float
    levels: dict[float, ServiceCount] = field(default_factory=dict)
    total: ServiceCount = field(init=False)

    def __post_init__(self) -> None:
        self.total = ServiceCount(self.started_at)

    def record(self, level: float, is_offered: bool, now: float) -> None:
        """A request of that level was offered to a backend for the first time, or refused for want of one."""
        if level not in self.levels:
            self._evict_level(now)
            self.levels[level] = ServiceCount(now)
        self.levels[level].record(is_offered, now)
        self.total.record(is_offered, now)

    def is_starved(self, level: float, now: float) -> bool:
        """Whether requests of that level go first for now."""
        if (count := self.levels.get(level)) is None:
            return False
        count.decay(now)
        return count.requests >= MIN_REQUESTS and count.share < MIN_RELATIVE_SHARE * self.total.share

    def _evict_level(self, now: float) -> None:
        """Drop the level with the fewest requests if there are too many levels."""
        if len(self.levels) < MAX_LEVELS:
            return
        for count in self.levels.values():
            count.decay(now)
        del self.levels[min(self.levels, key=lambda level: self.levels[level].requests)]
