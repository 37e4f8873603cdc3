"""What clients, backends and probes of a soak wrote down, and what is wrong with it by these records alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

LEFT_AT_WORK = 0.5  # s after its client left, by which the work for a repeatable request has to end
READY_FOR = 3.5  # s that a front has to be ready before the directory must know of it
LAG = 0.15  # s that this process may be late by, for what it saw to be judged
AROUND = 1.0  # s round a trouble of a front, or of the core machine that answered, in which it is not judged
ENOUGH = 2  # fronts of a region, from which on nobody is led beyond it
PROMISES = frozenset((408, 421, 429, 503))  # statuses that say that a request has not run and never will


@dataclass(slots=True)
class Span:
    """A time in which something held; it may go on."""

    begins: float
    ends: float = float("inf")

    def meets(self, begins: float, ends: float) -> bool:
        return self.begins < ends and begins < self.ends


@dataclass(slots=True)
class Run:
    """One arrival at a backend."""

    attempt: str
    began: float
    ended: float = float("inf")


@dataclass(slots=True)
class Departure:
    """A client that left before its answer."""

    attempt: str
    front: str
    repeatable: bool
    at: float


@dataclass(slots=True)
class Lookup:
    """An answer of the directory: who gave it, for whom, and the machines that it names."""

    at: float
    core: str
    host: str
    region: str
    named: list[str]


@dataclass
class Records:
    """All that was seen; `wrong` judges it at the end."""

    cores: tuple[str, ...]
    regions: dict[str, str]  # of fronts
    homes: dict[str, frozenset[str]]  # by host
    runs: dict[str, list[Run]] = field(default_factory=dict)  # by attempt
    writes: Counter = field(default_factory=Counter)  # runs by the mark of a write
    confirmed: set[str] = field(default_factory=set)  # marks that were answered with success
    promised: dict[str, str] = field(
        default_factory=dict
    )  # marks whose last answer was a promise, and by which front
    answers: Counter = field(default_factory=Counter)  # by status; 0: none
    departures: list[Departure] = field(default_factory=list)
    lookups: list[Lookup] = field(default_factory=list)
    ready: dict[str, list[Span]] = field(default_factory=dict)  # from and until when a front said that it is ready
    begun: float = 0.0  # when the soak began; what is found is told from there
    said_ready: dict[str, bool] = field(default_factory=dict)  # what it said last
    troubled: dict[str, list[Span]] = field(default_factory=dict)  # by machine
    planned: dict[str, list[Span]] = field(default_factory=dict)  # restarts in order, by front
    lags: list[Span] = field(default_factory=list)  # when this process itself was late
    logged: list[str] = field(default_factory=list)  # lines that no process may log

    def trouble(self, machine: str, begins: float) -> Span:
        """A trouble of a machine that begins; the caller sets its end."""
        span = Span(begins)
        self.troubled.setdefault(machine, []).append(span)
        return span

    def probed(self, front: str, ready: bool, asked: float) -> None:
        """A front was asked then whether it is ready; it was for as long as it said so each time."""
        spans, was = self.ready.setdefault(front, []), self.said_ready.get(front, False)
        self.said_ready[front] = ready
        if ready and was:
            spans[-1].ends = asked
        elif ready:
            spans.append(Span(asked, asked))

    def wrong(self) -> list[str]:
        """What broke a rule, a sentence each; nothing where all is well."""
        return [
            *(f"write {mark} ran {count} times" for mark, count in self.writes.items() if count > 1),
            *(f"write {mark} was confirmed and never ran" for mark in sorted(self.confirmed - self.writes.keys())),
            *(f"write {mark} was refused, and ran" for mark in sorted(self.promised.keys() & self.writes.keys())),
            *(self._left_at_work(departure) for departure in self.judged_departures() if self._works_on(departure)),
            *(self._astray(lookup) for lookup in self.lookups if self._leads_astray(lookup)),
            *self.logged,
        ]

    def judged_departures(self) -> list[Departure]:
        """Those of repeatable requests from fronts without trouble, seen by a process that was not late."""
        return [d for d in self.departures if d.repeatable and self._calm(d.front, d.at, d.at + LEFT_AT_WORK)]

    def judged_lookups(self) -> list[Lookup]:
        """Those at core machines without trouble, while a front of the region had been ready for some time."""
        return [lookup for lookup in self.lookups if self._served_inside(lookup)]

    def _calm(self, machine: str, begins: float, ends: float) -> bool:
        spans = [*self.troubled.get(machine, ()), *self.lags]
        return not any(span.meets(begins - AROUND, ends + AROUND) for span in spans)

    def _works_on(self, departure: Departure) -> bool:
        limit = departure.at + LEFT_AT_WORK + LAG
        return any(run.ended > limit or run.began > limit for run in self.runs.get(departure.attempt, ()))

    def _left_at_work(self, departure: Departure) -> str:
        late = max(run.ended for run in self.runs[departure.attempt]) - departure.at
        return (
            f"{departure.at - self.begun:.2f} s: attempt {departure.attempt} by {departure.front} was worked on for "
            f"{late:.2f} s after its client left"
        )

    def _astray(self, lookup: Lookup) -> str:
        return (
            f"{lookup.at - self.begun:.2f} s: {lookup.core} leads a client of {lookup.region}, for {lookup.host}, "
            f"to {', '.join(lookup.named)}"
        )

    def _leads_astray(self, lookup: Lookup) -> bool:
        """Beyond region and homes, though one inside lives; without homes, though there are enough inside.

        Where a core machine is in trouble, fronts that ask there may be taken as silent for a moment by the others.
        A host without homes may then be led beyond the region, one with homes may not.
        """
        homes = self.homes.get(lookup.host, frozenset())
        beyond = any(self.regions[front] not in homes | {lookup.region} for front in lookup.named)
        if homes:
            return beyond and (self._serving_inside(lookup) > 0 or self._restarting(homes | {lookup.region}, lookup))
        calm = all(self._calm(core, lookup.at - READY_FOR, lookup.at) for core in self.cores)
        return beyond and calm and self._serving_inside(lookup) >= ENOUGH

    def _restarting(self, regions: frozenset[str], lookup: Lookup) -> bool:
        """Whether a front of these is restarted in order, in a time in which no core machine had any trouble."""
        return any(
            span.begins + LAG < lookup.at < span.ends - LAG
            and all(self._calm(machine, span.begins, lookup.at) for machine in (front, *self.cores))
            for front, spans in self.planned.items()
            if self.regions[front] in regions
            for span in spans
        )

    def _served_inside(self, lookup: Lookup) -> bool:
        return self._serving_inside(lookup) > 0

    def _serving_inside(self, lookup: Lookup) -> int:
        """Fronts of the client's region that must have been known; none where the core machine was in trouble."""
        begins = lookup.at - READY_FOR
        if not self._calm(lookup.core, begins, lookup.at):
            return 0
        return sum(
            any(span.begins <= begins and span.ends >= lookup.at + LAG for span in spans)
            for front, spans in self.ready.items()
            if self.regions[front] == lookup.region and self._calm(front, begins, lookup.at)
        )
