"""Statements that must hold while the system runs: checked where they could break, and counted when they do.

A violation is a defect of this program, never of a peer.  It is counted for the life of the process, logged, and
changes nothing else: service goes on.  Tests fail on any (`tests/conftest.py`), and so does the soak.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from fennelpoint.rate_limited_log import complain


class Invariant(Enum):
    """What must hold; the value says it in one sentence."""

    CLIENT_LEFT_ENDS_WORK = "half a second after a client left, no attempt of its repeatable request is out"
    CLIENT_LEFT_NOTHING_SENT = "nothing of a request is sent to a backend after its client left"
    DIRECTORY_STAYS_HOME = (
        "for a host with homes the directory names a proxy beyond them and the client's region only while "
        "none inside is known to live"
    )
    DECIDED_BY_THE_NEWEST = "a front decides by what was proven to be the newest within the bounds of the settings"
    COLD_RATES_REST = (
        "an allocator that took over raises no cold rate within a second of the last word of a front on what it held"
    )


def _complain(invariant: Invariant, detail: str, count: int) -> None:
    complain("invariant", "%s is violated, %d so far: %s", invariant.name, count, detail)


class Violations:
    """The violations that this process has seen, by invariant; `report` is told of each one."""

    def __init__(self, report: Callable[[Invariant, str, int], None] = _complain) -> None:
        self.counts: Counter[Invariant] = Counter()
        self.report = report

    def record(self, invariant: Invariant, detail: str) -> None:
        """Count one violation and report it, with the count so far."""
        self.counts[invariant] += 1
        self.report(invariant, detail, self.counts[invariant])


violations = Violations()  # of this process
