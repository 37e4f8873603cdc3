"""The retry budget of one service on one proxy, so that the sum over all proxies keeps to the rule of the operators.

The rule: in any window, the retries that backends of a service receive are at most `ratio` times its requests in that
window or in the one before, whichever holds more, and a fixed slack.  Two sources pay for a retry:

* Each first attempt earns half of the ratio, once, for `CREDIT_WINDOWS` of a window from when its request came.
  Retries of a window are then paid by different requests of that window and of the one before: half of their sum is
  at most the larger one, however requests move between proxies, and whatever each proxy did before.
* This proxy's leased share of the slack fills a bucket.  What is saved and what comes in during a window is together
  the share at most, and what is saved goes with the share: moving shares add nothing.

docs/design/retry-budget.md has the proof, with delays, clocks and rounding.  Times are seconds on the module's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

CREDIT_PART = 0.5  # of the ratio, earned by each first attempt: a window may be paid by the requests of two
CREDIT_WINDOWS = 0.7  # of the rule's window, that credit is good: with delays on the way less than a window
CREDIT_SLOT = 0.25  # s of requests whose credit is kept, and expires, together
BURST_PART = 0.4  # of the slack's share, saved at most; the rest comes in during one window
ROUNDING = 1e-9


@dataclass(slots=True)
class Credit:
    """What the requests of one slot of time have earned and not spent."""

    slot: int
    amount: float


@dataclass(slots=True)
class RetryBudget:
    """`ratio` and `window` (s) are the rule's; `share` is what this proxy may send of the slack in one window."""

    ratio: float
    window: float
    share: float
    filled_at: float
    saved: float = 0.0  # of the slack
    credits: deque[Credit] = field(default_factory=deque)  # the oldest first

    @property
    def credit_life(self) -> float:
        """Seconds that what a request has earned is good."""
        return CREDIT_WINDOWS * self.window

    def earn(self, came_at: float, now: float) -> None:
        """A request that came then is sent for the first time."""
        slot = int(min(came_at, now) // CREDIT_SLOT)
        place = len(self.credits)
        while place and self.credits[place - 1].slot > slot:  # it has waited: its credit ends the sooner
            place -= 1
        if not place or self.credits[place - 1].slot < slot:
            self.credits.insert(place, Credit(slot, 0.0))
            place += 1
        self.credits[place - 1].amount += CREDIT_PART * self.ratio

    def allows(self, now: float) -> bool:
        """Whether one retry may be sent."""
        self._update(now)
        return self.saved + sum(credit.amount for credit in self.credits) >= 1.0 - ROUNDING

    def spend(self, now: float) -> None:
        """One retry is sent; credit is spent before slack, the oldest first."""
        self._update(now)
        left = 1.0
        while left > 0.0 and self.credits:
            credit = self.credits[0]
            used = min(left, credit.amount)
            credit.amount -= used
            left -= used
            if credit.amount <= ROUNDING:
                self.credits.popleft()
        self.saved -= left

    def lease(self, share: float, now: float) -> None:
        """Another share of the slack from now on; what was saved by a larger one is gone with it."""
        self._update(now)
        self.share = share
        self.saved = min(self.saved, BURST_PART * share)

    def _update(self, now: float) -> None:
        oldest = (now - self.credit_life) // CREDIT_SLOT
        while self.credits and self.credits[0].slot <= oldest:
            self.credits.popleft()
        rate = (1.0 - BURST_PART) * self.share / self.window
        self.saved = min(BURST_PART * self.share, self.saved + rate * (now - self.filled_at))
        self.filled_at = now
