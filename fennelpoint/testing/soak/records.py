"""Observations of a soak test's clients, backends and probes, and the checks on them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

CANCEL_TIMEOUT_S = 0.5  # within which the execution of an idempotent request ends after its client disconnects
DIRECTORY_DELAY_S = 3.5  # that a proxy has to be ready before the directory must name it
LAG_TOLERANCE_S = 0.15  # delays of this process up to this do not invalidate its observations
FAULT_MARGIN_S = 1.0  # around faults of a proxy, or of the core machine that replied: observations are not judged
ENOUGH_PROXIES = 2  # in a region: with so many, clients are not sent to other regions
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # guarantee that the request did not run and never will


@dataclass(slots=True)
class Interval:
    """A period; unbounded if `ends_at` is infinite."""

    starts_at: float
    ends_at: float = float("inf")

    def overlaps(self, starts_at: float, ends_at: float) -> bool:
        return self.starts_at < ends_at and starts_at < self.ends_at


@dataclass(slots=True)
class Execution:
    """Execution of one request at a backend."""

    attempt: str
    started_at: float
    ended_at: float = float("inf")


@dataclass(slots=True)
class Cancellation:
    """A client that disconnected before the reply."""

    attempt: str
    proxy: str
    is_idempotent: bool
    occurred_at: float


@dataclass(slots=True)
class Lookup:
    """A reply of the directory: by which core machine, for which host and region, and the proxies it names."""

    occurred_at: float
    core: str
    host: str
    region: str
    proxies: list[str]


@dataclass
class Records:
    """All observations; `violations` judges them at the end."""

    cores: tuple[str, ...]
    regions: dict[str, str]  # by proxy
    home_regions: dict[str, frozenset[str]]  # by host
    executions: dict[str, list[Execution]] = field(default_factory=dict)  # by attempt
    write_counts: Counter = field(default_factory=Counter)  # executions by id of the write
    confirmed_writes: set[str] = field(default_factory=set)  # ids of writes answered with success
    refused_writes: dict[str, str] = field(default_factory=dict)  # proxy that replied "not executed", by id
    changed_bodies: list[str] = field(default_factory=list)  # attempts that ran with a body that was not sent
    uploads: int = 0  # long writes that clients sent
    status_counts: Counter = field(default_factory=Counter)  # by status; 0: no reply
    cancellations: list[Cancellation] = field(default_factory=list)
    lookups: list[Lookup] = field(default_factory=list)
    ready_intervals: dict[str, list[Interval]] = field(default_factory=dict)  # by proxy, from probes
    soak_started_at: float = 0.0  # violations are reported relative to this time
    reported_ready: dict[str, bool] = field(default_factory=dict)  # result of the last probe, by proxy
    fault_intervals: dict[str, list[Interval]] = field(default_factory=dict)  # by machine
    planned_restarts: dict[str, list[Interval]] = field(default_factory=dict)  # graceful restarts, by proxy
    lag_intervals: list[Interval] = field(default_factory=list)  # when this process itself was delayed
    log_errors: list[str] = field(default_factory=list)  # lines that no process may log, and similar findings

    def begin_fault(self, machine: str, starts_at: float) -> Interval:
        """Record that a fault of a machine begins; the caller sets the end of the interval."""
        interval = Interval(starts_at)
        self.fault_intervals.setdefault(machine, []).append(interval)
        return interval

    def record_probe(self, proxy: str, is_ready: bool, sent_at: float) -> None:
        """Record a readiness probe; a proxy counts as ready between successive positive probes."""
        intervals, was_ready = self.ready_intervals.setdefault(proxy, []), self.reported_ready.get(proxy, False)
        self.reported_ready[proxy] = is_ready
        if is_ready and was_ready:
            intervals[-1].ends_at = sent_at
        elif is_ready:
            intervals.append(Interval(sent_at, sent_at))

    def violations(self) -> list[str]:
        """One sentence for each violated rule; empty if there is none."""
        return [
            *(f"write {mark} ran {count} times" for mark, count in self.write_counts.items() if count > 1),
            *(
                f"write {mark} was confirmed and never ran"
                for mark in sorted(self.confirmed_writes - self.write_counts.keys())
            ),
            *(
                f"write {mark} was refused, and ran"
                for mark in sorted(self.refused_writes.keys() & self.write_counts.keys())
            ),
            *(f"attempt {attempt} ran with a changed body" for attempt in self.changed_bodies),
            *(
                self._describe_late_execution(cancellation)
                for cancellation in self.judged_cancellations()
                if self._ran_too_long(cancellation)
            ),
            *(self._describe_lookup(lookup) for lookup in self.lookups if self._is_misdirected(lookup)),
            *self.log_errors,
        ]

    def judged_cancellations(self) -> list[Cancellation]:
        """Cancellations of idempotent requests at proxies without faults, while this process was not delayed."""
        return [
            c
            for c in self.cancellations
            if c.is_idempotent and self._is_undisturbed(c.proxy, c.occurred_at, c.occurred_at + CANCEL_TIMEOUT_S)
        ]

    def judged_lookups(self) -> list[Lookup]:
        """Lookups at core machines without faults, while a proxy of the region had been ready for some time."""
        return [lookup for lookup in self.lookups if self._has_local_proxy(lookup)]

    def _is_undisturbed(self, machine: str, starts_at: float, ends_at: float) -> bool:
        intervals = [*self.fault_intervals.get(machine, ()), *self.lag_intervals]
        return not any(
            interval.overlaps(starts_at - FAULT_MARGIN_S, ends_at + FAULT_MARGIN_S) for interval in intervals
        )

    def _ran_too_long(self, cancellation: Cancellation) -> bool:
        latest_end = cancellation.occurred_at + CANCEL_TIMEOUT_S + LAG_TOLERANCE_S
        return any(
            execution.ended_at > latest_end or execution.started_at > latest_end
            for execution in self.executions.get(cancellation.attempt, ())
        )

    def _describe_late_execution(self, cancellation: Cancellation) -> str:
        late_s = (
            max(execution.ended_at for execution in self.executions[cancellation.attempt]) - cancellation.occurred_at
        )
        return (
            f"{cancellation.occurred_at - self.soak_started_at:.2f} s: attempt {cancellation.attempt} "
            f"by {cancellation.proxy} ran for {late_s:.2f} s after its client disconnected"
        )

    def _describe_lookup(self, lookup: Lookup) -> str:
        return (
            f"{lookup.occurred_at - self.soak_started_at:.2f} s: {lookup.core} directs a client of {lookup.region}, "
            f"for {lookup.host}, to {', '.join(lookup.proxies)}"
        )

    def _is_misdirected(self, lookup: Lookup) -> bool:
        """Whether a client is sent outside its region and the host's home regions without need.

        A host with home regions: though a proxy inside them is available. A host without: though its region has
        enough proxies. During a fault of a core machine, the others may briefly take the proxies connected to it for
        silent; clients may then be sent outside the region for a host without home regions, but not for one with.
        """
        home_regions = self.home_regions.get(lookup.host, frozenset())
        leaves_region = any(self.regions[proxy] not in home_regions | {lookup.region} for proxy in lookup.proxies)
        if home_regions:
            return leaves_region and (
                self._count_local_proxies(lookup) > 0 or self._is_restarting(home_regions | {lookup.region}, lookup)
            )
        is_undisturbed = all(
            self._is_undisturbed(core, lookup.occurred_at - DIRECTORY_DELAY_S, lookup.occurred_at)
            for core in self.cores
        )
        return leaves_region and is_undisturbed and self._count_local_proxies(lookup) >= ENOUGH_PROXIES

    def _is_restarting(self, regions: frozenset[str], lookup: Lookup) -> bool:
        """Whether a proxy of these regions is being restarted gracefully, while no core machine has a fault."""
        return any(
            interval.starts_at + LAG_TOLERANCE_S < lookup.occurred_at < interval.ends_at - LAG_TOLERANCE_S
            and all(
                self._is_undisturbed(machine, interval.starts_at, lookup.occurred_at)
                for machine in (proxy, *self.cores)
            )
            for proxy, intervals in self.planned_restarts.items()
            if self.regions[proxy] in regions
            for interval in intervals
        )

    def _has_local_proxy(self, lookup: Lookup) -> bool:
        return self._count_local_proxies(lookup) > 0

    def _count_local_proxies(self, lookup: Lookup) -> int:
        """Number of proxies in the client's region that the core machine must know; 0 if it had a fault."""
        starts_at = lookup.occurred_at - DIRECTORY_DELAY_S
        if not self._is_undisturbed(lookup.core, starts_at, lookup.occurred_at):
            return 0
        return sum(
            any(
                interval.starts_at <= starts_at and interval.ends_at >= lookup.occurred_at + LAG_TOLERANCE_S
                for interval in intervals
            )
            for proxy, intervals in self.ready_intervals.items()
            if self.regions[proxy] == lookup.region and self._is_undisturbed(proxy, starts_at, lookup.occurred_at)
        )
