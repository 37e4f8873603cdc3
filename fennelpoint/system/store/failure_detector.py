"""When a member of the core counts as gone for good, by what a majority of the voters sees.

A voter looks to which members its store has no connection, and since when; the first voter in line asks the others.
One of whom a majority has been without a connection for long enough makes room: a voter for a machine that stands
by with the newest content, a machine that stands by for nobody.  A machine that came to stand by since is taken for
its successor, and waits less.  To replace one that is only cut off is harmless: it learns so, and stands by.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from fennelpoint.system.store.replicated_state import Change, forget, take_place

GONE = 8.0          # s without a connection after which a voter is replaced: twice `catch_up_s`
SUCCEEDED = 2.0     # s of the same where a successor came since: with that it is ready within `catch_up_s`
FORGOTTEN = 30.0    # s after which one that stands by is taken out: longer than cuts that end
ANSWER = 1.2        # s that another voter's word counts


@dataclass(slots=True)
class Said:
    """What another member told last: the digest of the content that it holds, and whom it misses, for how long."""

    at: float
    digest: str | None
    missed: dict[str, float]


@dataclass(slots=True)
class Watch:
    """One store's view of who is there."""

    me: str
    silent: dict[str, float] = field(default_factory=dict)      # members without a connection, and since when
    came: dict[str, float] = field(default_factory=dict)        # those that stand by, and when we learnt of it
    said: dict[str, Said] = field(default_factory=dict)
    begun: bool = False

    def look(self, world: dict, up: set[str], now: float) -> None:
        """Note who is connected."""
        # Those that stood by before we knew anything succeed nobody.
        new, self.begun = now if self.begun else -1e9, True
        self.came = {ip: self.came.get(ip, new) for ip in world["ready"]}
        absent = ({*world["voters"], *world["ready"]} - up) - {self.me}
        self.silent = {ip: self.silent.get(ip, now) for ip in absent}

    def missed(self, now: float) -> dict[str, float]:
        """Who has been silent for so many seconds."""
        return {ip: now - since for ip, since in self.silent.items()}

    def first(self, world: dict) -> bool:
        """Whether we are the first in line of the voters that we hear."""
        return self.me == min(world["voters"].keys() - self.silent.keys(), default=None)

    def _places(self, world: dict, able: frozenset[str], regions: dict[str, str], now: float
                ) -> Iterator[tuple[str, float, Change]]:
        """Who is due to make room by our own view, the span that a majority is to miss it for, and the change."""
        for ip, span in sorted(self.missed(now).items()):
            if ip not in world["voters"]:
                if span >= FORGOTTEN:
                    yield ip, FORGOTTEN, forget([ip])
                continue
            since = frozenset(one for one in able if self.came.get(one, -1e9) >= self.silent[ip])
            for least, those in ((SUCCEEDED, since), (GONE, able)):
                change = take_place(ip, those, regions, world["digest"])
                # Whoever stands by may fit no place: a round that changes nothing would be in others' way.
                if span >= least and change(world) is not world:
                    yield ip, least, change

    def asks(self, world: dict, regions: dict[str, str], now: float) -> bool:
        """Whether the others are to be asked: somebody has been silent for long, and it would change something."""
        able = frozenset(world["ready"].keys() - self.silent.keys())
        return any(True for _ in self._places(world, able, regions, now))

    def due(self, world: dict, regions: dict[str, str], now: float) -> Change | None:
        """The change of members that the voters' words allow, one at a time; none while another is under way."""
        if world["before"]:
            return None
        here = {ip: s for ip, s in self.said.items() if now - s.at < ANSWER and ip not in self.silent}
        able = frozenset(ip for ip, s in here.items() if ip in world["ready"] and s.digest == world["digest"])
        for ip, least, change in self._places(world, able, regions, now):
            without = 1 + sum(s.missed.get(ip, 0.0) >= least for v, s in here.items() if v in world["voters"])
            if 2 * without > len(world["voters"]):  # a majority of the voters, we among them
                return change
        return None
