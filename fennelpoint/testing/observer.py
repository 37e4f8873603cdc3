"""What was seen from outside: every request at a node and every answer at a client, and checks of these alone.

Which version an ingress acted on shows by the node that it sent to: each version's plan of cells sends all
agencies to nodes of its own.  Nothing here goes by what a process says of itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field

KINDS = 4       # sets of nodes, taken by versions in turn


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that came whole to a node."""

    at: float       # s, of the observer's steady clock
    ingress: str
    kind: int       # of the nodes: the version's number, modulo KINDS
    agency: int
    txn: str
    units: float
    unsafe: bool


@dataclass(frozen=True, slots=True)
class Ask:
    """What became of a client's request."""

    sent: float
    ended: float
    ingress: str
    txn: str
    status: int     # 0: no whole answer; -1: it was never taken


@dataclass(slots=True)
class Observer:
    """The records of one run."""

    arrivals: list[Arrival] = field(default_factory=list)
    asks: list[Ask] = field(default_factory=list)
    published: list[tuple[float, int]] = field(default_factory=list)    # when a version could first be acted on
    forced: list[tuple[float, int]] = field(default_factory=list)       # when a read of the record had it in force
    excused: dict[str, list[tuple[float, float]]] = field(default_factory=dict)     # by ingress: killed, stopped

    def version(self, arrival: Arrival) -> int | None:
        """The newest version of its kind that could be acted on by then; none where there is none."""
        could = [0, *(number for at, number in self.published if at <= arrival.at)]
        return max((n for n in could if n % KINDS == arrival.kind), default=None)

    def excuse(self, ingress: str, begin: float, end: float) -> None:
        self.excused.setdefault(ingress, []).append((begin, end))


def older(seen: Observer) -> list[str]:
    """Requests by a version that was out of force."""
    out = []
    for arrival in seen.arrivals:
        force = max((number for at, number in seen.forced if at < arrival.at), default=0)
        version = seen.version(arrival)
        if version is None or version < force:
            out.append(f"{arrival.ingress} sent by version {version} at {arrival.at:.3f}, and {force} was in force")
    return out


def three(seen: Observer) -> list[str]:
    """Requests by a version two steps behind one that was acted on before."""
    numbers = sorted({0, *(number for _, number in seen.published)})
    place = {number: i for i, number in enumerate(numbers)}
    out, most = [], 0
    for arrival in sorted(seen.arrivals, key=lambda a: a.at):
        at = place.get(seen.version(arrival), -1)
        most = max(most, at)
        if at < most - 1:
            out.append(f"{arrival.ingress} sent by version {numbers[at]} at {arrival.at:.3f}, after "
                       f"{numbers[most]} was acted on")
    return out


def back(seen: Observer) -> list[str]:
    """Ingresses that went back a version."""
    out, last = [], {}
    for arrival in sorted(seen.arrivals, key=lambda a: a.at):
        version = seen.version(arrival)
        if version is not None and version < last.get(arrival.ingress, -1):
            out.append(f"{arrival.ingress} went back from {last[arrival.ingress]} to {version}")
        last[arrival.ingress] = max(version or 0, last.get(arrival.ingress, -1))
    return out


def passed(seen: Observer, agency: int, burst: float, rate: float, since: float, slack: float) -> list[str]:
    """Whether an agency's units that came from then on passed a bucket: the worst stretch."""
    level, at, worst = burst, since, 0.0
    for arrival in sorted(seen.arrivals, key=lambda a: a.at):
        if arrival.agency == agency and arrival.at >= since:
            level, at = min(burst, level + rate * (arrival.at - at)), arrival.at
            level -= arrival.units
            worst = max(worst, -level)
    return [f"agency {agency:x}: {worst:.1f} units beyond {burst:g} + {rate:g} a s"] if worst > slack else []


def lost(seen: Observer) -> list[str]:
    """Requests that were taken and have no whole answer, but for those of a process that was stopped or killed."""
    out = []
    for ask in seen.asks:
        spans = seen.excused.get(ask.ingress, ())
        if ask.status == 0 and not any(begin <= ask.ended and ask.sent <= end for begin, end in spans):
            out.append(f"{ask.txn} at {ask.ingress}, sent {ask.sent:.3f}, no answer at {ask.ended:.3f}")
    return out


def twice(seen: Observer) -> list[str]:
    """Unsafe requests that came to nodes more than once."""
    counts: dict[str, int] = {}
    for arrival in seen.arrivals:
        if arrival.unsafe:
            counts[arrival.txn] = counts.get(arrival.txn, 0) + 1
    return [f"{txn} ran {count} times" for txn, count in counts.items() if count > 1]


CHECKS = {"older": older, "three": three, "back": back, "lost": lost, "twice": twice}


def faults(seen: Observer) -> dict[str, list[str]]:
    """What each check finds; nothing where all is well."""
    return {name: found for name, check in CHECKS.items() if (found := check(seen))}


def served(seen: Observer, begin: float, end: float) -> float:
    """Of what was asked in a stretch of time, the share that was served."""
    asks = [ask for ask in seen.asks if begin <= ask.sent < end]
    return sum(ask.status == 200 for ask in asks) / len(asks) if asks else 0.0

