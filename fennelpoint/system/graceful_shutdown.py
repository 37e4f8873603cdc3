"""Graceful shutdown of a core process: no new work, and an exit in bounded time once the rest is done."""

from __future__ import annotations

from dataclasses import dataclass

LINGER_S = 0.25     # without work, before the exit: the last messages reach their peers meanwhile
MAX_SHUTDOWN_S = 2.5    # after which the process exits even with work in progress
MAX_GRACE_FRACTION = 0.4    # of `grace_period_s`: a lower limit than MAX_SHUTDOWN_S where that period is short


def shutdown_timeout(grace_period_s: float) -> float:
    """Returns how long (s) the shutdown may take, given the time between SIGTERM and SIGKILL."""
    return min(MAX_SHUTDOWN_S, MAX_GRACE_FRACTION * grace_period_s)


@dataclass(slots=True)
class GracefulShutdown:
    """The progress of a shutdown; true once it has begun, with SIGTERM."""

    timeout_s: float = MAX_SHUTDOWN_S
    started_at: float | None = None
    busy_until: float = -1e9

    def __bool__(self) -> bool:
        return self.started_at is not None

    def begin(self, now: float) -> None:
        self.started_at = now
        self.mark_busy(now)

    def mark_busy(self, until: float) -> None:
        """Notes that there is work in progress until this time at least."""
        self.busy_until = max(self.busy_until, until)

    def is_complete(self, now: float) -> bool:
        """Whether the process may exit now."""
        return self.started_at is not None and (
            now - self.busy_until >= LINGER_S or now - self.started_at >= self.timeout_s)
