"""Retry budgets side by side, in simulated time: what they let through, and whether they keep to the operators' rule.

Usage:
  retry_budget.py served [--seconds=S]
  retry_budget.py histories COUNT [--first=N] [--jobs=J] [--variant=V]
  retry_budget.py --help

Commands:
  served      Share of requests that are served while a part of the attempts fails, and the worst window, by variant.
  histories   Plays drawn histories (proxies killed, frozen, cut off; terms; routes that move; quiet spells) and
              counts those with a window beyond the rule.

Options:
  --seconds=S  Seconds in which attempts fail [default: 20].
  --first=N    Number of the first history [default: 0].
  --jobs=J     Processes [default: 2].
  --variant=V  none, saved, window or credit [default: credit].

Variants: `none` sends no retries.  `saved` is the budget before the mend: 0.8 of the ratio for each first attempt,
kept without an end, and a bucket of the slack.  `window` counts each proxy's own last window: retries up to the ratio
of its requests, and its share of the slack.  `credit` is the one in service.
"""

from __future__ import annotations

import sys
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from docopt import docopt

from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.retry_budget import RetryBudget
from fennelpoint.testing.retry_histories import run_random_history
from fennelpoint.testing.retry_simulation import RetrySimulation

PART, MOST_SAVED = 0.8, 40.0  # of the ratio; retries beside the slack, as it was
SITES = ((9, 41.0, 58.0), (9, 96.0, 58.0), (77, 47.0, 194.0), (77, 184.0, 194.0), (77, 429.0, 194.0))
FAILING = (0.03, 0.06, 0.12, 0.3, 0.8)
BATCH = 50


@dataclass(slots=True)
class NoRetries(RetryBudget):
    """Sends none."""

    def allows(self, now: float) -> bool:
        return False


@dataclass(slots=True)
class SavedBudget(RetryBudget):
    """As it was before the mend."""

    def earn(self, came_at: float, now: float) -> None:
        self._update(now)
        self.saved_slack = min(self.share + MOST_SAVED, self.saved_slack + PART * self.ratio)

    def allows(self, now: float) -> bool:
        self._update(now)
        return self.saved_slack >= 1.0

    def spend(self, now: float) -> None:
        self._update(now)
        self.saved_slack -= 1.0

    def set_share(self, share: float, now: float) -> None:
        self._update(now)
        self.share = share

    def _update(self, now: float) -> None:
        came = self.share / self.window_s * (now - self.filled_at)
        self.saved_slack = min(max(self.share, self.saved_slack), self.saved_slack + came)
        self.filled_at = now


@dataclass(slots=True)
class WindowBudget(RetryBudget):
    """By what this proxy itself sent in its last window."""

    requests: deque = field(default_factory=deque)
    retries: deque = field(default_factory=deque)

    def earn(self, came_at: float, now: float) -> None:
        self.requests.append(now)

    def allows(self, now: float) -> bool:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
        return len(self.retries) + 1 <= self.ratio * len(self.requests) + self.share

    def spend(self, now: float) -> None:
        self.retries.append(now)

    def set_share(self, share: float, now: float) -> None:
        self.share = share


class Without(ProxyController):
    RETRY_BUDGET = NoRetries


class Saved(ProxyController):
    RETRY_BUDGET = SavedBudget


class Windowed(ProxyController):
    RETRY_BUDGET = WindowBudget


VARIANTS: dict[str, type[ProxyController]] = {
    "none": Without,
    "saved": Saved,
    "window": Windowed,
    "credit": ProxyController,
}


def served(seconds: float) -> None:
    """A table: what is served and the worst window, by deployment, share of attempts that fail, and variant."""
    print("proxies rate/s failing  " + "".join(f"{name:>24}" for name in VARIANTS))
    for proxies, rate, slack in SITES:
        for failing in FAILING:
            row = f"{proxies:7} {rate:6.0f} {failing:7.2f}  "
            for decider in VARIANTS.values():
                world = RetrySimulation(proxies, slack, controller_type=decider)
                world.serve(15.0, rate)
                asked, before = world.request_count, world.served_count
                world.fail("a", failing)
                world.serve(seconds, rate)
                worst = world.counter.worst_window()
                window = f"{worst.retries}/{worst.allowed:.0f}" if worst is not None else "-"
                row += f"{(world.served_count - before) / (world.request_count - asked):>12.3f} {window:>11}"
            print(row, flush=True)


def _batch(first: int, count: int, variant: str) -> tuple[int, int, list[str]]:
    """Histories played, retries received, and the worst window of each that broke the rule."""
    retries, broken = 0, []
    for number in range(first, first + count):
        counter = run_random_history(number, VARIANTS[variant]).counter
        retries += sum(len(times) for times in counter.retries.values())
        worst = counter.worst_window()
        if worst is not None and worst.excess > 0.0:
            broken.append(f"history {number}: {worst}")
    return count, retries, broken


def histories(count: int, first: int, jobs: int, variant: str) -> int:
    """Plays them all; returns how many broke the rule."""
    total, retries, broken = 0, 0, []
    with ProcessPoolExecutor(jobs) as pool:
        starts = range(first, first + count, BATCH)
        batches = [pool.submit(_batch, start, min(BATCH, first + count - start), variant) for start in starts]
        for batch in batches:
            played, sent, found = batch.result()
            total, retries = total + played, retries + sent
            broken += found
    print(*broken[:20], sep="\n")
    print(f"{variant}: {total} histories from {first} on, {retries} retries received, {len(broken)} beyond the rule")
    return len(broken)


def main() -> int:
    given = docopt(__doc__)
    if given["served"]:
        served(float(given["--seconds"]))
        return 0
    return min(1, histories(int(given["COUNT"]), int(given["--first"]), int(given["--jobs"]), given["--variant"]))


if __name__ == "__main__":
    sys.exit(main())
