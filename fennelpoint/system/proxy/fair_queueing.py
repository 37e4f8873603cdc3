"""A floor for those who wait behind others: levels of worth that were long served far less often than all.

Tries wait by their worth, which is their tenant's rank and their class's worth together.  That order is right for a
moment; while an overload lasts it leaves the lowest levels nothing.  A level that was served less than `FLOOR` times
as often as all goes first until it is not any more.  What happened counts half after `HALF` s, so that an overload
of some seconds leaves the order as it is.
"""

from __future__ import annotations

from dataclasses import dataclass, field

FLOOR = 0.35  # of the share of all that is served; operators ask for a quarter over a day
HALF = 10.0  # s in which what happened counts half
LEAST_COUNT = 6.0  # tries of a level, fading, below which its share says little
MOST_LEVELS = 64  # kept; a configuration has ranks times classes of them


@dataclass(slots=True)
class Served:
    """How many tries came to an end in the line, fading: offered to a backend, or refused for want of one."""

    at: float
    tries: float = 0.0
    offered: float = 0.0

    def fade(self, now: float) -> None:
        keep = 0.5 ** ((now - self.at) / HALF)
        self.at, self.tries, self.offered = now, self.tries * keep, self.offered * keep

    def add(self, offered: bool, now: float) -> None:
        self.fade(now)
        self.tries += 1.0
        self.offered += offered

    @property
    def share(self) -> float:
        """Of its tries that were offered to a backend; 1 where there are none."""
        return self.offered / self.tries if self.tries else 1.0


@dataclass(eq=False, slots=True)
class FairOrder:
    """Which levels of worth were served too seldom to wait behind the others."""

    born: float
    levels: dict[float, Served] = field(default_factory=dict)
    all: Served = field(init=False)

    def __post_init__(self) -> None:
        self.all = Served(self.born)

    def add(self, level: float, offered: bool, now: float) -> None:
        """A try of that level was offered to a backend for the first time, or refused for want of one."""
        if level not in self.levels:
            self._make_room(now)
            self.levels[level] = Served(now)
        self.levels[level].add(offered, now)
        self.all.add(offered, now)

    def starved(self, level: float, now: float) -> bool:
        """Whether tries of that level go first for now."""
        if (served := self.levels.get(level)) is None:
            return False
        served.fade(now)
        return served.tries >= LEAST_COUNT and served.share < FLOOR * self.all.share

    def _make_room(self, now: float) -> None:
        """Forget the level that was least asked for, where there are too many."""
        if len(self.levels) < MOST_LEVELS:
            return
        for served in self.levels.values():
            served.fade(now)
        del self.levels[min(self.levels, key=lambda level: self.levels[level].tries)]
