"""What a keeper decides by what the ingresses say: who is behind, when a version closes, when it is in force.

Pure: events with the time in (seconds of one monotonic clock), steps out.  Every keeper runs one, and each step
is a compare-and-set on the record, so that it is taken once whoever proposes it, and nobody has to lead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.fleet.state import CLOSING, OFFERED, Fleet, Member, overreach

DRIFT = 0.02        # of a span: how far two clocks' rates may differ
FORGET = 60.0       # s after which one that is no member is forgotten
MOST_LIVES = 8      # processes of one ingress


@dataclass(slots=True)
class Word:
    """What one process last said."""

    name: str
    life: str           # of the process
    origin: str         # common to the processes of one ingress; another one is another ingress
    member: Member
    acting: int         # the version it acts on; -1: none
    prepared: str       # the digest that it could go over to at once
    fault: str          # why it can't
    at: float           # when it was sent, at the latest when it was heard
    revision: int = 0   # of the record, as it knows it, also after a restart
    others: int = 0     # further processes of that ingress that live
    phase: str = ""
    since: float = 0.0  # when it first acted on that version, as far as is known here


@dataclass(frozen=True, slots=True)
class Step:
    """A step to propose: `close`, `enforce`, `halt` or `level`, of a version."""

    what: str
    number: int
    why: str = ""


@dataclass(slots=True)
class Conductor:
    """One keeper's view."""

    words: dict[str, dict[str, Word]] = field(default_factory=dict)     # by name and life
    offered: tuple[int, float] = (-1, 0.0)      # the version, and when it was first seen offered here
    enough: tuple[int, float] = (-1, 0.0)       # the version, and since when few enough are not on it
    taken: dict[str, str] = field(default_factory=dict)     # names with two origins, and how they are told apart

    def heard(self, word: Word, licence_s: float) -> str:
        """Take in what a process says; why it gets no licence, empty where it may get one."""
        lately = word.at - 2 * licence_s
        mine = self.words.setdefault(word.name, {})
        for other in mine.values():
            if other.origin != word.origin and other.at > lately:
                text = f"{word.name} is taken: another process at {other.member.address} has that name"
                self.taken[word.name] = text
                return text
        self.taken.pop(word.name, None)
        old = mine.get(word.life)
        if old is not None and old.at > word.at:
            return ""       # told late, by another keeper
        word.since = old.since if old is not None and old.acting == word.acting else word.at
        if word.others == 0 and all(other.at <= word.at for other in mine.values()):
            mine.clear()    # an ingress of one process: those before it have ended
        mine[word.life] = word
        if len(mine) > MOST_LIVES:
            del mine[min(mine, key=lambda life: mine[life].at)]
        return ""

    def lives(self, name: str, now: float, licence_s: float) -> list[Word]:
        """Each process of an ingress that may live; none where one of them is not known, or all are silent.

        One that said nothing for long counts as long as another of its ingress says that it is not alone.
        """
        mine = list(self.words.get(name, {}).values())
        last = max(mine, key=lambda w: w.at, default=None)
        if last is None or last.at <= now - 2 * licence_s or len(mine) < 1 + last.others:
            return []
        return mine

    def behind(self, fleet: Fleet, now: float, version: int) -> set[str]:
        """Members of which not every process is known to act on it."""
        return self._not(fleet, now, lambda word: word.acting == version)

    def unprepared(self, fleet: Fleet, now: float) -> set[str]:
        """Members that could not go over to the version that is coming."""
        digest = fleet.coming.digest
        return self._not(fleet, now, lambda word: word.prepared == digest)

    def _not(self, fleet: Fleet, now: float, holds: Callable[[Word], bool]) -> set[str]:
        out = set()
        for name in fleet.members:
            lives = self.lives(name, now, fleet.bounds.licence_s)
            if not lives or not all(map(holds, lives)):
                out.add(name)
        return out

    def look(self, fleet: Fleet, revision: int, now: float) -> Step | None:
        """What is due, by the state as it was read at `now` or later."""
        for name in [n for n in self.words if n not in fleet.members]:
            if all(word.at < now - FORGET for word in self.words[name].values()):
                del self.words[name]
        coming = fleet.coming
        if coming is None:
            if fleet.least.get("") == len(fleet.members) or self._not(
                    fleet, now, lambda word: word.revision >= revision):
                return None
            return Step("level", revision)
        if coming.state == OFFERED:
            if self.offered[0] != coming.number:
                self.offered = coming.number, now
            return self._offered(fleet, now)
        if coming.state == CLOSING:
            if overreach(fleet, self.behind(fleet, now, coming.number)):
                self.enough = -1, now
            elif self.enough[0] != coming.number:
                self.enough = coming.number, now
            elif now - self.enough[1] > fleet.bounds.licence_s * (1.0 + 2.0 * DRIFT):
                return Step("enforce", coming.number)
        return None

    def _offered(self, fleet: Fleet, now: float) -> Step | None:
        number, late = fleet.coming.number, self.unprepared(fleet, now)
        waited, settle_s = now - self.offered[1], fleet.bounds.settle_s
        if not late:
            return Step("close", number)
        if waited < settle_s:
            return None
        if not (why := overreach(fleet, late)):
            return Step("close", number)
        if waited < 2.0 * settle_s:
            return None
        faults = sorted({w.fault for n in late for w in self.words.get(n, {}).values() if w.fault})
        names = ", ".join(sorted(late)[:5]) + (" and others" if len(late) > 5 else "")
        return Step("halt", number, f"{names} can't go over to it: {why}" + (f"; {faults[0]}" if faults else ""))

    def held(self, fleet: Fleet, now: float) -> str:
        """Why a version that closes is not in force yet; empty where nothing holds it."""
        if fleet.coming is None or fleet.coming.state != CLOSING:
            return ""
        behind = self.behind(fleet, now, fleet.coming.number)
        if why := overreach(fleet, behind):
            return f"{', '.join(sorted(behind)[:5])} may still act on version {fleet.version.number}: {why}"
        return ""
