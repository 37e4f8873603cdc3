"""Runtime invariants: checked where they could break, and counted when they do.

A violation is a defect of this program, never of a peer.  It is counted for the lifetime of the process and logged,
and has no other effect: the process continues to serve.  Tests (`tests/conftest.py`) and the soak test fail on any.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from fennelpoint.rate_limited_log import warn_limited


class Invariant(Enum):
    """An invariant; the value states it in one sentence."""

    CLIENT_LEFT_ENDS_WORK = "half a second after its client has left, a repeatable request has no attempt in progress"
    CLIENT_LEFT_NOTHING_SENT = "nothing of a request is sent to a backend after its client has left"
    DIRECTORY_STAYS_HOME = (
        "for a host with home regions, the directory names a proxy outside them and the client's region only while "
        "none inside is known to be alive"
    )
    DECIDED_BY_THE_NEWEST = (
        "a proxy decides by a configuration that was confirmed as the newest within the bounds of the settings"
    )
    COLD_RATES_REST = (
        "an allocator that took over raises no cold rate within a second of a proxy's last report of what it holds"
    )


def _log_violation(invariant: Invariant, detail: str, count: int) -> None:
    warn_limited("invariant", "%s is violated, %d so far: %s", invariant.name, count, detail)


class Violations:
    """The violations in this process, by invariant; `report` is called for each one."""

    def __init__(self, report: Callable[[Invariant, str, int], None] = _log_violation) -> None:
        self.counts: Counter[Invariant] = Counter()
        self.report = report

    def record(self, invariant: Invariant, detail: str) -> None:
        """Count one violation and report it, with the count so far."""
        self.counts[invariant] += 1
        self.report(invariant, detail, self.counts[invariant])


violations = Violations()  # of this process
