"""How a process of the core leaves: it takes nothing more on, ends what is under way, and goes within a bound."""

from __future__ import annotations

from dataclasses import dataclass

LINGER = 0.25   # s with nothing under way, in which the last words get to others
MOST = 2.5      # s after which it goes all the same
OF_GRACE = 0.4  # of `grace_period_s`, after which it does in any case


def within(grace: float) -> float:
    """How long leaving may take, in s, by the time between SIGTERM and SIGKILL."""
    return min(MOST, OF_GRACE * grace)


@dataclass(slots=True)
class Leaving:
    """Begins with SIGTERM; it is true from then on."""

    most: float = MOST
    since: float | None = None
    busy_until: float = -1e9

    def __bool__(self) -> bool:
        return self.since is not None

    def begin(self, now: float) -> None:
        self.since = now
        self.busy(now)

    def busy(self, until: float) -> None:
        """Something is under way, until then at least."""
        self.busy_until = max(self.busy_until, until)

    def over(self, now: float) -> bool:
        """Whether to go now."""
        return self.since is not None and (now - self.busy_until >= LINGER or now - self.since >= self.most)
