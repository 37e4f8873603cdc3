"""The rollout of a version, decided from the reports of the ingress processes: when it closes, when it is in force.

The module is pure: events go in with the time (seconds of one monotonic clock), steps come out.  Every keeper runs a
controller, and each step is a compare-and-set on the record, so that it is taken once whichever keeper proposes it,
and no leader is needed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.fleet.state import CLOSING, OFFERED, Fleet, Member, outage_violation

MAX_CLOCK_DRIFT = 0.02      # fraction of a duration by which the rates of two clocks may differ
FORGET_AFTER_S = 60.0       # of silence, for a process whose ingress is not a member
MAX_PROCESSES_PER_INGRESS = 8


@dataclass(slots=True)
class ProcessReport:
    """The latest report of one process of an ingress."""

    name: str
    incarnation: str        # unique to the process
    origin: str             # common to the processes of one ingress; another origin means another ingress
    member: Member
    active_version: int     # -1: none
    prepared_digest: str    # of the content that it could activate at once
    error: str              # why it cannot prepare the coming version
    sent_at: float          # estimated; at the latest the time of receipt
    revision: int = 0   # of the record that it knows, also after a restart
    sibling_count: int = 0  # further live processes of the ingress
    phase: str = ""
    active_since: float = 0.0   # first report of this active version at this keeper


@dataclass(frozen=True, slots=True)
class Step:
    """A step to propose: `close`, `enforce` or `halt` a version, or `level` at a revision of the record."""

    kind: str
    number: int
    reason: str = ""


@dataclass(slots=True)
class RolloutController:
    """The view of one keeper."""

    reports: dict[str, dict[str, ProcessReport]] = field(default_factory=dict)  # by ingress and incarnation
    offered_since: tuple[int, float] = (-1, 0.0)    # version, and when this keeper first saw it offered
    tolerable_since: tuple[int, float] = (-1, 0.0)  # version, and since when those behind may all be out of service
    name_conflicts: dict[str, str] = field(default_factory=dict)    # by name used by two origins: a description

    def reported(self, report: ProcessReport, licence_s: float) -> str:
        """Records a report; returns why the process gets no lease, or an empty string if it may get one."""
        recent = report.sent_at - 2 * licence_s
        processes = self.reports.setdefault(report.name, {})
        for other in processes.values():
            if other.origin != report.origin and other.sent_at > recent:
                text = f"{report.name} is taken: another process at {other.member.address} has that name"
                self.name_conflicts[report.name] = text
                return text
        self.name_conflicts.pop(report.name, None)
        previous = processes.get(report.incarnation)
        if previous is not None and previous.sent_at > report.sent_at:
            return ""       # an outdated report, relayed by another keeper
        report.active_since = (previous.active_since if previous is not None
                               and previous.active_version == report.active_version else report.sent_at)
        if report.sibling_count == 0 and all(other.sent_at <= report.sent_at for other in processes.values()):
            processes.clear()   # the only process of its ingress: earlier ones have ended
        processes[report.incarnation] = report
        if len(processes) > MAX_PROCESSES_PER_INGRESS:
            del processes[min(processes, key=lambda incarnation: processes[incarnation].sent_at)]
        return ""

    def live_processes(self, name: str, now: float, licence_s: float) -> list[ProcessReport]:
        """Returns every process of an ingress that may be alive; none if some are unknown or all are silent.

        A process that is silent for long still counts while another one of its ingress reports that it has siblings.
        """
        processes = list(self.reports.get(name, {}).values())
        latest = max(processes, key=lambda report: report.sent_at, default=None)
        if latest is None or latest.sent_at <= now - 2 * licence_s or len(processes) < 1 + latest.sibling_count:
            return []
        return processes

    def members_behind(self, fleet: Fleet, now: float, version: int) -> set[str]:
        """Returns the members of which some process is not known to act on the version."""
        return self._members_without(fleet, now, lambda report: report.active_version == version)

    def unprepared_members(self, fleet: Fleet, now: float) -> set[str]:
        """Returns the members of which some process could not activate the coming version."""
        digest = fleet.coming.digest
        return self._members_without(fleet, now, lambda report: report.prepared_digest == digest)

    def _members_without(self, fleet: Fleet, now: float, condition: Callable[[ProcessReport], bool]) -> set[str]:
        out = set()
        for name in fleet.members:
            processes = self.live_processes(name, now, fleet.bounds.licence_s)
            if not processes or not all(map(condition, processes)):
                out.add(name)
        return out

    def next_step(self, fleet: Fleet, revision: int, now: float) -> Step | None:
        """Returns the step that is due, given the state as it was read at `now` or later."""
        for name in [n for n in self.reports if n not in fleet.members]:
            if all(report.sent_at < now - FORGET_AFTER_S for report in self.reports[name].values()):
                del self.reports[name]
        coming = fleet.coming
        if coming is None:
            if fleet.least.get("") == len(fleet.members) or self._members_without(
                    fleet, now, lambda report: report.revision >= revision):
                return None
            return Step("level", revision)
        if coming.state == OFFERED:
            if self.offered_since[0] != coming.number:
                self.offered_since = coming.number, now
            return self._step_while_offered(fleet, now)
        if coming.state == CLOSING:
            if outage_violation(fleet, self.members_behind(fleet, now, coming.number)):
                self.tolerable_since = -1, now
            elif self.tolerable_since[0] != coming.number:
                self.tolerable_since = coming.number, now
            elif now - self.tolerable_since[1] > fleet.bounds.licence_s * (1.0 + 2.0 * MAX_CLOCK_DRIFT):
                return Step("enforce", coming.number)
        return None

    def _step_while_offered(self, fleet: Fleet, now: float) -> Step | None:
        number, unprepared = fleet.coming.number, self.unprepared_members(fleet, now)
        waited_s, settle_s = now - self.offered_since[1], fleet.bounds.settle_s
        if not unprepared:
            return Step("close", number)
        if waited_s < settle_s:
            return None
        if not (violation := outage_violation(fleet, unprepared)):
            return Step("close", number)
        if waited_s < 2.0 * settle_s:
            return None
        errors = sorted({r.error for n in unprepared for r in self.reports.get(n, {}).values() if r.error})
        names = ", ".join(sorted(unprepared)[:5]) + (" and others" if len(unprepared) > 5 else "")
        return Step("halt", number, f"{names} cannot prepare it: {violation}" + (f"; {errors[0]}" if errors else ""))

    def blocking_reason(self, fleet: Fleet, now: float) -> str:
        """Returns why a closing version is not in force yet, or an empty string if nothing blocks it."""
        if fleet.coming is None or fleet.coming.state != CLOSING:
            return ""
        behind = self.members_behind(fleet, now, fleet.coming.number)
        if violation := outage_violation(fleet, behind):
            return f"{', '.join(sorted(behind)[:5])} may still act on version {fleet.version.number}: {violation}"
        return ""
