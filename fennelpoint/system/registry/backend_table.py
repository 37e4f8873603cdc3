"""The table of backends, merged from their reports in whatever order these arrive.

Times are seconds on this machine's steady clock.  Reports to other machines carry ages and remaining times, never
points in time, since clocks of different machines can't be compared.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

READY, DRAINING, GONE = "ready", "draining", "gone"
STATE_PRECEDENCE = {READY: 0, DRAINING: 1, GONE: 2}
TOMBSTONE_S = 60.0              # a backend that has left is forgotten after this: its id is never used again
LOST_AFTER_HEARTBEATS = 3.4     # missed heartbeat intervals after which a backend counts as lost
REVIVAL_MAX_AGE_S = 3.0         # a report by a heartbeat older than this does not revive a lost backend
UNKNOWN_AGE_S = 3000.0          # reported for a backend without a known heartbeat: it may have died long ago


@dataclass(slots=True)
class BackendReport:
    """The state of one incarnation of a backend, as machines report it to each other.

    `cold_s` is the rest of its slow start; `age_s` is the time since its last heartbeat.
    """

    id: str
    address: str
    service: str
    zone: str
    free_slots: int
    version: str
    state: str
    sequence: int
    cold_s: float
    age_s: float = 0.0

    def pack(self) -> list:
        """All fields in their order, for messages and for the disk."""
        return [self.id, self.address, self.service, self.zone, self.free_slots, self.version, self.state,
                self.sequence, round(self.cold_s, 2), round(self.age_s, 2)]


@dataclass(slots=True)
class Backend:
    """One incarnation of a backend, as it is known here."""

    report: BackendReport
    heard_at: float
    cold_until: float
    gone_at: float = 0.0
    is_lost: bool = False
    # The last heartbeat that is known of.  A backend restored from disk has none, but counts as heard when restored.
    confirmed_at: float = 0.0

    def __post_init__(self) -> None:
        self.confirmed_at = self.heard_at

    def record_heard(self, heard_at: float) -> None:
        """Some machine received a heartbeat at that time."""
        self.heard_at, self.confirmed_at = max(self.heard_at, heard_at), max(self.confirmed_at, heard_at)

    def current_report(self, now: float) -> BackendReport:
        """The newest report, with the ages as of now."""
        report = self.report
        return BackendReport(
            report.id, report.address, report.service, report.zone, report.free_slots, report.version, report.state,
            report.sequence, max(0.0, self.cold_until - now), min(UNKNOWN_AGE_S, max(0.0, now - self.confirmed_at)))


@dataclass(slots=True)
class BackendTable:
    """All known backends by id, with a bounded history of the reports that were merged."""

    by_id: dict[str, Backend] = field(default_factory=dict)
    reports: deque = field(default_factory=lambda: deque(maxlen=2000))

    def merge(self, report: BackendReport, now: float) -> bool:
        """Merge a report by its id; return whether anything changed that other machines act on.

        The state with the higher precedence wins (gone, draining, ready), then the higher sequence number: a delayed
        report never brings back a backend that is draining or gone.
        """
        self.reports.append((now, report))
        heard_at, cold_until = now - report.age_s, now + report.cold_s if report.cold_s > 0.0 else 0.0
        old = self.by_id.get(report.id)
        if old is None:
            self.by_id[report.id] = Backend(report, heard_at, cold_until, now if report.state == GONE else 0.0)
            return True
        is_stronger = STATE_PRECEDENCE[report.state] > STATE_PRECEDENCE[old.report.state]
        is_later = report.sequence > old.report.sequence
        if STATE_PRECEDENCE[report.state] < STATE_PRECEDENCE[old.report.state]:
            old.record_heard(heard_at)
            return False
        if not is_later and not is_stronger:
            old.record_heard(heard_at)
            return False
        recovered = old.is_lost and report.age_s < REVIVAL_MAX_AGE_S
        cold_changed = abs(max(cold_until, now) - max(old.cold_until, now)) > 0.7
        changed = is_stronger or cold_changed or recovered or (
            report.address, report.service, report.zone, report.free_slots) != (
            old.report.address, old.report.service, old.report.zone, old.report.free_slots)
        old.report = report if is_later else BackendReport(
            *[*old.report.pack()[:6], report.state, old.report.sequence, report.cold_s, 0.0])
        old.record_heard(heard_at)
        old.is_lost = old.is_lost and not recovered
        if cold_changed or report.cold_s <= 0.0:
            old.cold_until = cold_until
        if report.state == GONE and not old.gone_at:
            old.gone_at = now
        return changed

    def refresh(self, id: str, age_s: float, now: float) -> bool:
        """Record a heartbeat that another machine received; return whether the backend counted as lost before."""
        if (b := self.by_id.get(id)) is None:
            return False
        b.record_heard(now - age_s)
        revived, b.is_lost = b.is_lost, False
        return revived

    def restore(self, rows: list[list], cold_s: float, now: float) -> None:
        """Load rows from disk.

        Whether these backends are still alive is unknown, and so is whether they are cold: they count as cold.  One
        that has left stays so for as long as a late heartbeat could bring it back.
        """
        for row in rows:
            report = BackendReport(*row)
            report.cold_s, report.age_s = 0.0 if report.state == GONE else cold_s, 0.0
            self.merge(report, now)
            self.by_id[report.id].confirmed_at = now - UNKNOWN_AGE_S

    def sweep(self, now: float, heartbeat_s: float) -> tuple[list[Backend], list[str]]:
        """Mark silent backends as lost, and forget expired tombstones.

        Returns the backends that have just become lost, and the ids of those that are forgotten.
        """
        lost, forgotten = [], []
        for id, b in list(self.by_id.items()):
            if b.report.state == GONE:
                if now - b.gone_at > TOMBSTONE_S:
                    del self.by_id[id]
                    forgotten.append(id)
            elif not b.is_lost and now - b.heard_at > LOST_AFTER_HEARTBEATS * heartbeat_s:
                b.is_lost = True
                lost.append(b)
        return lost, forgotten
