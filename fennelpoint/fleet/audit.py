"""The audit trail: which ingress acted on which version, from when to when, and why it changed.

No I/O.  An ingress records *spans* in coordinator time, which it estimates from the coordinators' answers; each
time is an interval that is certain to contain the true one.  A span without a recorded end (the process was
killed, or its disk was lost) is known up to its last mark; after that the version is unknown until the next
incarnation of the ingress begins.  The audit never reports unknown times as known.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from math import inf

MAX_CLOCK_DRIFT = 200e-6    # seconds per second by which the clocks of two machines may diverge
MAX_CLOCK_READINGS = 12
NO_VERSION = -1     # acts on no version: shut out, or not admitted yet

TimeInterval = tuple[float, float]      # earliest and latest possible Unix time of an event, in coordinator time


class CoordinatorClock:
    """Estimates coordinator time from the local monotonic clock, as an interval certain to contain it.

    Each answer carries the coordinator's clock at a time between sending the request and receiving the answer.
    The estimate is the intersection of the readings; where the clocks of coordinators contradict each other, it
    widens to cover them all.
    """

    def __init__(self) -> None:
        self.readings: list[tuple[float, float, float]] = []    # local time; smallest and largest possible offset

    def add_reading(self, sent_at: float, coordinator_time: float, received_at: float) -> None:
        """Add one answer; `sent_at` and `received_at` are local times."""
        self.readings = [*self.readings, (received_at, coordinator_time - received_at,
                                          coordinator_time - sent_at)][-MAX_CLOCK_READINGS:]

    def estimate(self, local_time: float) -> TimeInterval:
        """Convert a local time to coordinator time; unbounded until a coordinator has answered."""
        if not self.readings:
            return -inf, inf
        low, high = -inf, inf
        bounds = [(min_offset - MAX_CLOCK_DRIFT * abs(local_time - read_at),
                   max_offset + MAX_CLOCK_DRIFT * abs(local_time - read_at))
                  for read_at, min_offset, max_offset in self.readings]
        for min_offset, max_offset in sorted(bounds, key=lambda bound: bound[1] - bound[0]):
            if max(low, min_offset) <= min(high, max_offset):
                low, high = max(low, min_offset), min(high, max_offset)
            else:   # contradicting clocks: any of them may be right
                low, high = min(low, min_offset), max(high, max_offset)
        return local_time + low, local_time + high


@dataclass(frozen=True, slots=True)
class Span:
    """A period in which one process of an ingress acted on one version; `end` is None until the end is known."""

    ingress: str
    life: str           # incarnation of the process
    seq: int            # within the incarnation, from 1
    version: int        # NO_VERSION: it sent nothing
    why: str
    begin: TimeInterval
    mark: TimeInterval  # the last time at which the process was known to act on the version
    end: TimeInterval | None = None
    number: int = 0     # of the ingress
    zone: str = ""
    alone: bool = False     # no other process of this ingress was running when the span began
    lost: int = 0       # earlier spans of this incarnation that are no longer on record

    def value(self) -> dict:
        return asdict(self)


def parse_span(value: object) -> Span:
    """Read a span from its JSON form; raises ValueError if it is malformed."""
    try:
        times = {name: tuple(value[name]) if value[name] is not None else None for name in ("begin", "mark", "end")}
        span = Span(**{**value, **times})
        intervals = [interval for interval in (span.begin, span.mark, span.end) if interval is not None]
        if type(span.version) is not int or type(span.seq) is not int or not all(
                len(interval) == 2 and interval[0] <= interval[1] for interval in intervals):
            raise ValueError("malformed audit span")
        return span
    except (KeyError, TypeError):
        raise ValueError("malformed audit span") from None


class SpanLog:
    """The spans of one process, kept for delivery to the coordinators: at most `max_spans`, the oldest dropped."""

    def __init__(self, ingress: str, life: str, number: int, zone: str, max_spans: int = 1000) -> None:
        self.open_span: Span | None = None
        self.identity, self.is_alone = (ingress, life, number, zone), False
        self.last_seq, self.max_spans, self.dropped_count = 0, max_spans, 0
        self.spans: dict[int, Span] = {}
        self.delivered: dict[str, dict[int, TimeInterval | None]] = {}  # by coordinator: the end it has per span

    def begin_span(self, version: int, why: str, at: TimeInterval) -> Span:
        """End the open span and begin one for this version."""
        if self.open_span is not None:
            self.spans[self.open_span.seq] = replace(self.open_span, mark=at, end=at)
        self.last_seq += 1
        ingress, life, number, zone = self.identity
        self.open_span = Span(ingress, life, self.last_seq, version, why, at, at, None, number, zone, self.is_alone,
                              self.dropped_count)
        self.spans[self.last_seq] = self.open_span
        if len(self.spans) > self.max_spans:
            del self.spans[min(self.spans)]
            self.dropped_count += 1
        return self.open_span

    def update_mark(self, at: TimeInterval) -> Span | None:
        """Record that the process still acts on the version of the open span."""
        if self.open_span is not None:
            self.open_span = self.spans[self.open_span.seq] = replace(self.open_span, mark=at)
        return self.open_span

    def end_span(self, why: str, at: TimeInterval) -> None:
        """End the open span because the process ends."""
        if self.open_span is not None:
            self.spans[self.open_span.seq] = replace(self.open_span, mark=at, end=at, why=self.open_span.why)
            self.open_span = None

    def undelivered(self, coordinator: str, limit: int = 50) -> list[Span]:
        """The oldest spans this coordinator does not have yet, and always the open span, for its mark."""
        delivered = self.delivered.get(coordinator, {})
        pending = [s for s in self.spans.values() if s.seq not in delivered or delivered[s.seq] != s.end]
        batch = pending[:limit]
        return batch if self.open_span is None or self.open_span in batch else [*batch, self.open_span]

    def mark_delivered(self, coordinator: str, spans: Iterable[Span]) -> None:
        """Record that the coordinator has acknowledged these spans."""
        delivered = self.delivered.setdefault(coordinator, {})
        delivered.update((s.seq, s.end) for s in spans)
        for seq in [s for s in delivered if s not in self.spans]:
            del delivered[seq]
        if len(self.delivered) > 16:
            del self.delivered[next(iter(self.delivered))]


def latest_spans(spans: Iterable[Span]) -> list[Span]:
    """The latest report of each span, ordered by begin time."""
    latest: dict[tuple[str, str, int], Span] = {}
    for span in spans:
        key = span.ingress, span.life, span.seq
        old = latest.get(key)
        if old is None or (span.end is not None, span.mark) > (old.end is not None, old.mark):
            latest[key] = span
    return sorted(latest.values(), key=lambda s: (s.begin, s.ingress, s.life, s.seq))


@dataclass(frozen=True, slots=True)
class SpanSummary:
    """Many old spans of one ingress and version: it acted on the version intermittently in this period."""

    ingress: str
    version: int
    first: TimeInterval
    last: TimeInterval
    spans: int


def summarize_spans(spans: Iterable[Span], summaries: Iterable[SpanSummary] = ()) -> list[SpanSummary]:
    """Merge spans that are about to be discarded into the existing summaries."""
    merged = {(summary.ingress, summary.version): summary for summary in summaries}
    for span in spans:
        end, old = span.end or span.mark, merged.get((span.ingress, span.version))
        old = old or SpanSummary(span.ingress, span.version, span.begin, end, 0)
        merged[span.ingress, span.version] = replace(old, first=min(old.first, span.begin), last=max(old.last, end),
                                                     spans=old.spans + 1)
    return sorted(merged.values(), key=lambda summary: (summary.ingress, summary.version))


def summarized_versions_at(summaries: Iterable[SpanSummary], ingress: str, when: TimeInterval) -> Answer | None:
    """The versions the ingress may have acted on by the summaries, never a certain answer; None if none applies."""
    matching = [s for s in summaries if s.ingress == ingress and s.first[0] <= when[1] and when[0] <= s.last[1]]
    if not matching:
        return None
    count = sum(summary.spans for summary in matching)
    return Answer(ingress, tuple(sorted(summary.version for summary in matching)),
                  f"{count} old spans are summarized")


@dataclass(frozen=True, slots=True)
class Answer:
    """The versions an ingress may have acted on at a time.

    `unknown` says why the list may be incomplete; empty if it is complete.
    """

    ingress: str
    versions: tuple[int, ...]
    unknown: str = ""

    @property
    def is_certain(self) -> bool:
        return len(self.versions) == 1 and not self.unknown


def versions_at(spans: Iterable[Span], ingress: str, when: TimeInterval) -> Answer:
    """Which versions an ingress may have acted on at a time, and whether the list is complete.

    NO_VERSION is left out if there is another version, because the ingress sends nothing while it has none.
    """
    ingress_spans = [s for s in latest_spans(spans) if s.ingress == ingress]
    versions: set[int] = set()
    unknown = ""
    for life in {s.life for s in ingress_spans}:
        ordered = sorted((s for s in ingress_spans if s.life == life), key=lambda s: s.seq)
        for i, span in enumerate(ordered):
            following = ordered[i + 1] if i + 1 < len(ordered) else None
            if span.lost and i == 0 and when[0] < span.begin[1]:
                unknown = f"{span.lost} earlier spans of incarnation {life} are not on record"
            if following is not None and following.seq != span.seq + 1 and not (
                    when[1] < (span.end or span.mark)[0] or when[0] > following.begin[1]):
                unknown = f"spans {span.seq + 1} to {following.seq - 1} of incarnation {life} are not on record"
            known_until = span.end or span.mark
            if when[1] >= span.begin[0] and when[0] <= known_until[1]:
                versions.add(span.version)
            elif span.end is None and when[0] > known_until[1] and not _is_succeeded(ingress_spans, span, when):
                versions.add(span.version)
                unknown = f"nothing is on record of incarnation {life} after {known_until[1]:.3f}"
    if not versions and not unknown:
        unknown = "no process of this ingress is on record at that time"
    return Answer(ingress, tuple(sorted(versions - {NO_VERSION} if versions - {NO_VERSION} else versions)), unknown)


def _is_succeeded(ingress_spans: list[Span], span: Span, when: TimeInterval) -> bool:
    """Whether a later incarnation had begun by then while no other process of the ingress was running."""
    return any(s.seq == 1 and s.alone and s.life != span.life and s.begin[0] >= span.begin[0]
               and s.begin[1] < when[0] for s in ingress_spans)


def set_versions_at(spans: Iterable[Span], first: int, width: int, ring: int, when: TimeInterval) -> list[Answer]:
    """`versions_at` for each ingress an agency's requests may come through: `width` consecutive from `first`."""
    spans = list(spans)
    numbers = {(first + i) % ring for i in range(width)}
    names = sorted({(s.number, s.ingress) for s in spans if s.number in numbers})
    return [versions_at(spans, name, when) for _, name in names]


def spans_of_version(spans: Iterable[Span], version: int) -> list[Span]:
    """The spans in which an ingress acted on this version."""
    return [s for s in latest_spans(spans) if s.version == version]
