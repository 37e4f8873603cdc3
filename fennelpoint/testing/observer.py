"""External observations of a test fleet: requests at the nodes, answers at the clients, and checks of these alone.

The node that receives a request reveals the version the ingress acted on, because the cell plan of each version
sends all agencies to nodes of its own.  Nothing here relies on what a process reports about itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NODE_KINDS = 4      # sets of nodes; successive versions use them in turn


@dataclass(frozen=True, slots=True)
class Arrival:
    """A complete request received by a node."""

    at: float       # s, on the observer's monotonic clock
    ingress: str
    kind: int       # of the node: the version's number modulo NODE_KINDS
    agency: int
    txn: str
    units: float
    unsafe: bool


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request and its outcome."""

    sent_at: float
    ended_at: float
    ingress: str
    txn: str
    status: int     # 0: no complete answer; -1: the request was never accepted


@dataclass(slots=True)
class Observer:
    """The observations of one run."""

    arrivals: list[Arrival] = field(default_factory=list)
    client_requests: list[ClientRequest] = field(default_factory=list)
    published: list[tuple[float, int]] = field(default_factory=list)    # time from which a version could be acted on
    enforced: list[tuple[float, int]] = field(default_factory=list)     # time when the record had it in force
    outages: dict[str, list[tuple[float, float]]] = field(default_factory=dict)     # by ingress: killed or stopped

    def version(self, arrival: Arrival) -> int | None:
        """The newest version with nodes of this kind that could be acted on by then; None if there is none."""
        available = [0, *(number for at, number in self.published if at <= arrival.at)]
        return max((n for n in available if n % NODE_KINDS == arrival.kind), default=None)

    def add_outage(self, ingress: str, begin: float, end: float) -> None:
        """Excuse lost requests of this period, in which the ingress was killed or stopped."""
        self.outages.setdefault(ingress, []).append((begin, end))


def outdated_versions(observer: Observer) -> list[str]:
    """Requests sent under a version that a newer one had already replaced."""
    findings = []
    for arrival in observer.arrivals:
        in_force = max((number for at, number in observer.enforced if at < arrival.at), default=0)
        version = observer.version(arrival)
        if version is None or version < in_force:
            findings.append(f"{arrival.ingress} sent under version {version} at {arrival.at:.3f}, "
                            f"while {in_force} was in force")
    return findings


def three_concurrent_versions(observer: Observer) -> list[str]:
    """Requests sent under a version two or more steps behind one that was already acted on."""
    numbers = sorted({0, *(number for _, number in observer.published)})
    position = {number: i for i, number in enumerate(numbers)}
    findings, newest = [], 0
    for arrival in sorted(observer.arrivals, key=lambda a: a.at):
        current = position.get(observer.version(arrival), -1)
        newest = max(newest, current)
        if current < newest - 1:
            findings.append(f"{arrival.ingress} sent under version {numbers[current]} at {arrival.at:.3f}, after "
                            f"{numbers[newest]} was acted on")
    return findings


def reverted_versions(observer: Observer) -> list[str]:
    """Ingresses that went back to an earlier version."""
    findings, last = [], {}
    for arrival in sorted(observer.arrivals, key=lambda a: a.at):
        version = observer.version(arrival)
        if version is not None and version < last.get(arrival.ingress, -1):
            findings.append(f"{arrival.ingress} went back from {last[arrival.ingress]} to {version}")
        last[arrival.ingress] = max(version or 0, last.get(arrival.ingress, -1))
    return findings


def bucket_excess(observer: Observer, agency: int, burst: float, rate: float, since: float,
                  slack: float) -> list[str]:
    """Whether an agency's units exceeded a token bucket by more than `slack` from a time on, and by how much."""
    level, updated_at, worst = burst, since, 0.0
    for arrival in sorted(observer.arrivals, key=lambda a: a.at):
        if arrival.agency == agency and arrival.at >= since:
            level, updated_at = min(burst, level + rate * (arrival.at - updated_at)), arrival.at
            level -= arrival.units
            worst = max(worst, -level)
    return [f"agency {agency:x}: {worst:.1f} units beyond {burst:g} + {rate:g} per s"] if worst > slack else []


def lost_requests(observer: Observer) -> list[str]:
    """Requests that were accepted without a complete answer, except while their ingress was stopped or killed."""
    findings = []
    for request in observer.client_requests:
        outages = observer.outages.get(request.ingress, ())
        if request.status == 0 and not any(
                begin <= request.ended_at and request.sent_at <= end for begin, end in outages):
            findings.append(f"{request.txn} at {request.ingress}, sent {request.sent_at:.3f}, "
                            f"no answer at {request.ended_at:.3f}")
    return findings


def duplicated_requests(observer: Observer) -> list[str]:
    """Non-idempotent requests that nodes received more than once."""
    counts: dict[str, int] = {}
    for arrival in observer.arrivals:
        if arrival.unsafe:
            counts[arrival.txn] = counts.get(arrival.txn, 0) + 1
    return [f"{txn} ran {count} times" for txn, count in counts.items() if count > 1]


CHECKS = {"older": outdated_versions, "three": three_concurrent_versions, "back": reverted_versions,
          "lost": lost_requests, "twice": duplicated_requests}


def faults(observer: Observer) -> dict[str, list[str]]:
    """The findings of each check that has any."""
    return {name: findings for name, check in CHECKS.items() if (findings := check(observer))}


def served_share(observer: Observer, begin: float, end: float) -> float:
    """The share of the requests sent in a period that succeeded; 0 if there were none."""
    requests = [request for request in observer.client_requests if begin <= request.sent_at < end]
    return sum(request.status == 200 for request in requests) / len(requests) if requests else 0.0

