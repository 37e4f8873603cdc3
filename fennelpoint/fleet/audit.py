"""Who acted on which version, from when to when, and why it changed.

Pure.  An ingress notes *spans* in the fleet's time as it reckons that from keepers' answers, as intervals that
surely hold the moment.  A span that nobody ended (a kill, a lost disk) is known until its last mark; after that
it is unknown until the ingress's next life begins.  Nothing that is not known is told as if it were.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from math import inf

RATE = 200e-6       # how far two machines' clocks may drift apart, of the time between
MOST_READINGS = 12
OUT = -1            # acts on nothing: shut out, or not admitted yet

Moment = tuple[float, float]    # Unix time in the fleet's reckoning: surely not before, surely not after


class FleetTime:
    """The keepers' time by our own steady clock, as an interval that surely holds it.

    Each answer of a keeper tells its clock at a moment between our asking and our hearing.  The readings' common
    part counts; keepers whose clocks contradict each other make it wide.
    """

    def __init__(self) -> None:
        self.readings: list[tuple[float, float, float]] = []    # our clock; the least and the most offset

    def read(self, asked: float, told: float, heard: float) -> None:
        """`told` is the keeper's clock, the others are ours."""
        self.readings = [*self.readings, (heard, told - heard, told - asked)][-MOST_READINGS:]

    def at(self, own: float) -> Moment:
        """A moment of our clock in the fleet's time; anything, while no keeper was heard."""
        if not self.readings:
            return -inf, inf
        low, high = -inf, inf
        bounds = [(least - RATE * abs(own - when), most + RATE * abs(own - when))
                  for when, least, most in self.readings]
        for least, most in sorted(bounds, key=lambda b: b[1] - b[0]):
            if max(low, least) <= min(high, most):
                low, high = max(low, least), min(high, most)
            else:   # clocks that contradict: any of them may be right
                low, high = min(low, least), max(high, most)
        return own + low, own + high


@dataclass(frozen=True, slots=True)
class Span:
    """One ingress's process acted on one version; `end` is none while its last mark is all that is known."""

    ingress: str
    life: str
    seq: int            # of its life, from 1
    version: int        # OUT: it sent nothing
    why: str
    begin: Moment
    mark: Moment        # until then at least
    end: Moment | None = None
    number: int = 0     # of the ingress
    zone: str = ""
    alone: bool = False     # no other process of this ingress lived when it began
    lost: int = 0       # spans of this life before this one that are not on record any more

    def value(self) -> dict:
        return asdict(self)


def span_of(value: object) -> Span:
    """Raises ValueError where it is none."""
    try:
        pair = {name: tuple(value[name]) if value[name] is not None else None for name in ("begin", "mark", "end")}
        made = Span(**{**value, **pair})
        moments = [m for m in (made.begin, made.mark, made.end) if m is not None]
        if type(made.version) is not int or type(made.seq) is not int or not all(
                len(m) == 2 and m[0] <= m[1] for m in moments):
            raise ValueError("it is no span")
        return made
    except (KeyError, TypeError):
        raise ValueError("it is no span") from None


class Book:
    """One process's spans: the open one, and those that some keeper has not taken yet.  Bounded."""

    def __init__(self, ingress: str, life: str, number: int, zone: str, most: int = 1000) -> None:
        self.open: Span | None = None
        self.about, self.alone = (ingress, life, number, zone), False
        self.seq, self.most, self.lost = 0, most, 0
        self.spans: dict[int, Span] = {}
        self.taken: dict[str, dict[int, Moment | None]] = {}    # by keeper: the end that it has of each

    def turn(self, version: int, why: str, at: Moment) -> Span:
        """From now on it acts on this version."""
        if self.open is not None:
            self.spans[self.open.seq] = replace(self.open, mark=at, end=at)
        self.seq += 1
        ingress, life, number, zone = self.about
        self.open = Span(ingress, life, self.seq, version, why, at, at, None, number, zone, self.alone, self.lost)
        self.spans[self.seq] = self.open
        if len(self.spans) > self.most:
            del self.spans[min(self.spans)]
            self.lost += 1
        return self.open

    def mark(self, at: Moment) -> Span | None:
        """It still does."""
        if self.open is not None:
            self.open = self.spans[self.open.seq] = replace(self.open, mark=at)
        return self.open

    def end(self, why: str, at: Moment) -> None:
        """The process ends."""
        if self.open is not None:
            self.spans[self.open.seq] = replace(self.open, mark=at, end=at, why=self.open.why)
            self.open = None

    def due(self, keeper: str, most: int = 50) -> list[Span]:
        """What a keeper has not taken yet; the open span each time, for its mark."""
        had = self.taken.get(keeper, {})
        new = [s for s in self.spans.values() if s.seq not in had or had[s.seq] != s.end]
        out = new[:most]
        return out if self.open is None or self.open in out else [*out, self.open]

    def took(self, keeper: str, spans: Iterable[Span]) -> None:
        had = self.taken.setdefault(keeper, {})
        had.update((s.seq, s.end) for s in spans)
        for seq in [s for s in had if s not in self.spans]:
            del had[seq]
        if len(self.taken) > 16:
            del self.taken[next(iter(self.taken))]


def newest(spans: Iterable[Span]) -> list[Span]:
    """One of each, as told last, in the order of their beginnings."""
    best: dict[tuple[str, str, int], Span] = {}
    for span in spans:
        key = span.ingress, span.life, span.seq
        old = best.get(key)
        if old is None or (span.end is not None, span.mark) > (old.end is not None, old.mark):
            best[key] = span
    return sorted(best.values(), key=lambda s: (s.begin, s.ingress, s.life, s.seq))


@dataclass(frozen=True, slots=True)
class Rolled:
    """Many old spans of one ingress by one version: between these moments it acted on it, now and then."""

    ingress: str
    version: int
    first: Moment
    last: Moment
    spans: int


def roll(spans: Iterable[Span], before: Iterable[Rolled] = ()) -> list[Rolled]:
    """Spans that make room, added to what was rolled up before."""
    out = {(r.ingress, r.version): r for r in before}
    for span in spans:
        end, old = span.end or span.mark, out.get((span.ingress, span.version))
        old = old or Rolled(span.ingress, span.version, span.begin, end, 0)
        out[span.ingress, span.version] = replace(old, first=min(old.first, span.begin), last=max(old.last, end),
                                                  spans=old.spans + 1)
    return sorted(out.values(), key=lambda r: (r.ingress, r.version))


def rolled_at(rolled: Iterable[Rolled], ingress: str, when: Moment) -> Answer | None:
    """What a rolled-up time tells: versions that it may have acted on, never more; none where it tells nothing."""
    inside = [r for r in rolled if r.ingress == ingress and r.first[0] <= when[1] and when[0] <= r.last[1]]
    if not inside:
        return None
    count = sum(r.spans for r in inside)
    return Answer(ingress, tuple(sorted(r.version for r in inside)), f"{count} old spans are rolled up")


@dataclass(frozen=True, slots=True)
class Answer:
    """What may have been acted on: `versions` by processes that may have been at it then; `unknown` tells why
    that is not all, or empty."""

    ingress: str
    versions: tuple[int, ...]
    unknown: str = ""

    @property
    def sure(self) -> bool:
        return len(self.versions) == 1 and not self.unknown


def at_time(spans: Iterable[Span], ingress: str, when: Moment) -> Answer:
    """Which version an ingress may have acted on at a moment, and whether that is all.

    OUT is left out where something was acted on as well: nothing is sent then.
    """
    mine = [s for s in newest(spans) if s.ingress == ingress]
    versions: set[int] = set()
    unknown = ""
    for life in {s.life for s in mine}:
        ordered = sorted((s for s in mine if s.life == life), key=lambda s: s.seq)
        for i, span in enumerate(ordered):
            after = ordered[i + 1] if i + 1 < len(ordered) else None
            if span.lost and i == 0 and when[0] < span.begin[1]:
                unknown = f"{span.lost} earlier spans of life {life} are not on record"
            if after is not None and after.seq != span.seq + 1 and not (
                    when[1] < (span.end or span.mark)[0] or when[0] > after.begin[1]):
                unknown = f"spans {span.seq + 1} to {after.seq - 1} of life {life} are not on record"
            until = span.end or span.mark
            if when[1] >= span.begin[0] and when[0] <= until[1]:
                versions.add(span.version)
            elif span.end is None and when[0] > until[1] and not _reborn(mine, span, when):
                versions.add(span.version)
                unknown = f"nothing is on record of life {life} after {until[1]:.3f}"
    if not versions and not unknown:
        unknown = "no process of it is on record then"
    return Answer(ingress, tuple(sorted(versions - {OUT} if versions - {OUT} else versions)), unknown)


def _reborn(mine: list[Span], span: Span, when: Moment) -> bool:
    """Whether a later life had begun by then that found itself alone."""
    return any(s.seq == 1 and s.alone and s.life != span.life and s.begin[0] >= span.begin[0]
               and s.begin[1] < when[0] for s in mine)


def of_set(spans: Iterable[Span], first: int, width: int, ring: int, when: Moment) -> list[Answer]:
    """The same for each ingress that an agency comes through: `width` in a row from `first`."""
    spans = list(spans)
    numbers = {(first + i) % ring for i in range(width)}
    names = sorted({(s.number, s.ingress) for s in spans if s.number in numbers})
    return [at_time(spans, name, when) for _, name in names]


def of_version(spans: Iterable[Span], version: int) -> list[Span]:
    """Who acted on it, and from when to when."""
    return [s for s in newest(spans) if s.version == version]
