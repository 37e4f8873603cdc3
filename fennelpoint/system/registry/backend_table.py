"""Which backends there are, by what they say; mergeable, whatever the order of the news.

Events go into a journal in memory; `Backends` is folded from it.  Times are seconds on this machine's steady clock;
what is told to others carries ages and what is left, never moments.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

READY, DRAINING, GONE = "ready", "draining", "gone"
STRENGTH = {READY: 0, DRAINING: 1, GONE: 2}
FORGET = 60.0       # s after which one that is gone is forgotten: its id never speaks again
LOST_AFTER = 3.4    # beats that are missed before a backend counts as lost
SPOKE = 3.0         # s: a word on one that spoke longer ago does not bring back one that counts as lost
NEVER = 3000.0      # s that are told of one that nobody is known to have heard: it may be dead for long


@dataclass(slots=True)
class Told:
    """What is said of one life of a backend; `cold` is what is left, in s; `age` since it spoke itself."""

    id: str
    address: str
    service: str
    zone: str
    slots: int
    version: str
    state: str
    seq: int
    cold: float
    age: float = 0.0

    def pack(self) -> list:
        return [self.id, self.address, self.service, self.zone, self.slots, self.version, self.state, self.seq,
                round(self.cold, 2), round(self.age, 2)]


@dataclass(slots=True)
class Backend:
    """One life, as it is known here."""

    told: Told
    heard: float
    cold_until: float
    gone_at: float = 0.0
    lost: bool = False
    spoke: float = 0.0      # when it was heard for sure: what comes off a disk was not, and counts as `heard`

    def __post_init__(self) -> None:
        self.spoke = self.heard

    def hear(self, at: float) -> None:
        """Somebody heard it then."""
        self.heard, self.spoke = max(self.heard, at), max(self.spoke, at)

    def now(self, now: float) -> Told:
        t = self.told
        return Told(t.id, t.address, t.service, t.zone, t.slots, t.version, t.state, t.seq,
                    max(0.0, self.cold_until - now), min(NEVER, max(0.0, now - self.spoke)))


@dataclass(slots=True)
class Backends:
    """All lives that are known; `fold` takes news and says whether something changed that others act on."""

    known: dict[str, Backend] = field(default_factory=dict)
    journal: deque = field(default_factory=lambda: deque(maxlen=2000))

    def fold(self, told: Told, now: float) -> bool:
        """Merge by id: the stronger state wins, then the later word; a late word never revives."""
        self.journal.append((now, told))
        heard, cold_until = now - told.age, now + told.cold if told.cold > 0.0 else 0.0
        old = self.known.get(told.id)
        if old is None:
            self.known[told.id] = Backend(told, heard, cold_until, now if told.state == GONE else 0.0)
            return True
        stronger = STRENGTH[told.state] > STRENGTH[old.told.state]
        later = told.seq > old.told.seq
        if STRENGTH[told.state] < STRENGTH[old.told.state]:
            old.hear(heard)
            return False
        if not later and not stronger:
            old.hear(heard)
            return False
        back = old.lost and told.age < SPOKE
        cold_changed = abs(max(cold_until, now) - max(old.cold_until, now)) > 0.7
        changed = stronger or cold_changed or back or (
            told.address, told.service, told.zone, told.slots) != (
            old.told.address, old.told.service, old.told.zone, old.told.slots)
        old.told = told if later else Told(*[*old.told.pack()[:6], told.state, old.told.seq, told.cold, 0.0])
        old.hear(heard)
        old.lost = old.lost and not back
        if cold_changed or told.cold <= 0.0:
            old.cold_until = cold_until
        if told.state == GONE and not old.gone_at:
            old.gone_at = now
        return changed

    def fresh(self, id: str, age: float, now: float) -> bool:
        """Another heard it; whether it was lost before."""
        if (b := self.known.get(id)) is None:
            return False
        b.hear(now - age)
        revived, b.lost = b.lost, False
        return revived

    def restore(self, rows: list[list], cold: float, now: float) -> None:
        """What was on disk: whether they live is not known; nor if they are cold, so they count as that."""
        for row in rows:
            told = Told(*row)
            if told.state != GONE:
                told.cold, told.age = cold, 0.0
                self.fold(told, now)
                self.known[told.id].spoke = now - NEVER

    def sweep(self, now: float, beat: float) -> tuple[list[Backend], list[str]]:
        """Those that are lost from now on, and the ids of those that are forgotten, gone for long."""
        lost, forgotten = [], []
        for id, b in list(self.known.items()):
            if b.told.state == GONE:
                if now - b.gone_at > FORGET:
                    del self.known[id]
                    forgotten.append(id)
            elif not b.lost and now - b.heard > LOST_AFTER * beat:
                b.lost = True
                lost.append(b)
        return lost, forgotten
