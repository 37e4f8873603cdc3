"""The retry budget of one service on one proxy, which keeps the sum over all proxies within the operators' rule.

The rule: in any window, the retries that the backends of a service receive are at most `ratio` times its requests in
that window or in the one before, whichever has more, plus a fixed slack.  Two sources pay for a retry:

* Each first attempt earns half of the ratio, once, valid for `CREDIT_WINDOWS` of a window from the arrival of its
  request.  Retries of a window are then paid by different requests of that window and of the one before: half of
  their sum is at most the larger one, however requests move between proxies, and whatever each proxy did before.
* This proxy's leased share of the slack fills a token bucket.  The saved tokens and those that flow in during a
  window are together at most the share, and a share that is taken back takes its saved tokens along: moving shares
  adds nothing.

docs/design/retry-budget.md has the proof, with delays, clocks and rounding.  Times are seconds on the controller's
clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

CREDIT_FRACTION = 0.5  # of the ratio, earned by each first attempt: the requests of two windows may pay for one
CREDIT_WINDOWS = 0.7  # of the rule's window, the lifetime of credit: with network delays less than a window
CREDIT_SLOT_S = 0.25  # requests of one slot share their credit and its expiry
BURST_FRACTION = 0.4  # of the slack's share, saved at most; the rest flows in during one window
ROUNDING = 1e-9


@dataclass(slots=True)
class Credit:
    """Credit that the requests of one time slot have earned and not spent."""

    slot: int
    amount: float


@dataclass(slots=True)
class RetryBudget:
    """`ratio` and `window_s` are the rule's; `share` is the slack that this proxy may use in one window."""

    ratio: float
    window_s: float
    share: float
    filled_at: float
    saved_slack: float = 0.0
    credits: deque[Credit] = field(default_factory=deque)  # the oldest first

    @property
    def credit_lifetime_s(self) -> float:
        """Seconds for which the credit of a request is valid."""
        return CREDIT_WINDOWS * self.window_s

    def earn(self, came_at: float, now: float) -> None:
        """Add the credit of a request that arrived at `came_at` and is sent for the first time now."""
        slot = int(min(came_at, now) // CREDIT_SLOT_S)
        index = len(self.credits)
        while index and self.credits[index - 1].slot > slot:  # it was queued, so its credit expires sooner
            index -= 1
        if not index or self.credits[index - 1].slot < slot:
            self.credits.insert(index, Credit(slot, 0.0))
            index += 1
        self.credits[index - 1].amount += CREDIT_FRACTION * self.ratio

    def allows(self, now: float) -> bool:
        """Whether one retry may be sent."""
        self._update(now)
        return self.saved_slack + sum(credit.amount for credit in self.credits) >= 1.0 - ROUNDING

    def spend(self, now: float) -> None:
        """Pay for one retry: by credit before slack, the oldest first."""
        self._update(now)
        left = 1.0
        while left > 0.0 and self.credits:
            credit = self.credits[0]
            used = min(left, credit.amount)
            credit.amount -= used
            left -= used
            if credit.amount <= ROUNDING:
                self.credits.popleft()
        self.saved_slack -= left

    def set_share(self, share: float, now: float) -> None:
        """Replace the share of the slack; savings beyond what a smaller share may hold are lost."""
        self._update(now)
        self.share = share
        self.saved_slack = min(self.saved_slack, BURST_FRACTION * share)

    def _update(self, now: float) -> None:
        oldest = (now - self.credit_lifetime_s) // CREDIT_SLOT_S
        while self.credits and self.credits[0].slot <= oldest:
            self.credits.popleft()
        rate = (1.0 - BURST_FRACTION) * self.share / self.window_s
        self.saved_slack = min(BURST_FRACTION * self.share, self.saved_slack + rate * (now - self.filled_at))
        self.filled_at = now
