"""Checks the operators' limit on retries over every window, by what clients sent and what backends received.

Independent of how proxies enforce it: requests are recorded when clients send them, arrivals when a backend receives
them, whether it rejects them or not.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain


@dataclass(frozen=True, slots=True)
class Window:
    """One window of a service: its start (s), retries received, requests that count, retries allowed."""

    service: str
    starts_at: float
    retries: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        return self.retries - self.allowed

    def __str__(self) -> str:
        return (
            f"service {self.service}: {self.retries} retries received in the window from "
            f"{self.starts_at:.3f} s on, for {self.requests} requests; allowed {self.allowed:.0f}"
        )


@dataclass(slots=True)
class RetryCounter:
    """Counts requests and retries; `ratio`, `slack` and `window_s` are the parameters of the rule."""

    ratio: float
    slack: float
    window_s: float
    requests: dict[str, list[float]] = field(default_factory=dict)  # sending times by service, sorted
    retries: dict[str, list[float]] = field(default_factory=dict)  # arrival times by service, sorted
    arrived: set[object] = field(default_factory=set)  # requests that a backend has received

    def record_request(self, service: str, time: float) -> None:
        """Record that a client sent a request on a route to that service."""
        insort(self.requests.setdefault(service, []), time)

    def record_arrival(self, service: str, request: object, time: float) -> None:
        """Record that a backend of that service received the request; each time after the first is a retry."""
        if request in self.arrived:
            insort(self.retries.setdefault(service, []), time)
        self.arrived.add(request)

    def window_at(self, service: str, starts_at: float) -> Window:
        """The window of a service that starts then.

        The requests that count are those of the window itself, of the one before, or of the one that starts half a
        window earlier, whichever has most.
        """
        retries, requests = self.retries.get(service, []), self.requests.get(service, [])
        half = self.window_s / 2
        requests_counted = max(
            self._within(requests, start) for start in (starts_at, starts_at - half, starts_at - self.window_s)
        )
        return Window(
            service,
            starts_at,
            self._within(retries, starts_at),
            requests_counted,
            self.ratio * requests_counted + self.slack,
        )

    def worst_window(self) -> Window | None:
        """The window with the largest excess over the rule, which may be negative; None without a retry."""
        windows = (
            self.window_at(service, starts_at)
            for service in self.retries
            for starts_at in self._window_starts(service)
        )
        return max(windows, key=lambda window: window.excess, default=None)

    def _within(self, times: list[float], starts_at: float) -> int:
        return bisect_left(times, starts_at + self.window_s) - bisect_left(times, starts_at)

    def _window_starts(self, service: str) -> Iterator[float]:
        """Starts at which a count changes: at each time or just after it, and half or a whole window away from it."""
        half, past = self.window_s / 2, 1e-7
        yield from self.retries[service]
        yield from (time - self.window_s + past for time in self.retries[service])
        first, last = self.retries[service][0] - self.window_s, self.retries[service][-1]
        for time in self.requests.get(service, []):
            around = (time + half * shift for shift in (-2, -1, 0, 1, 2))
            for starts_at in chain.from_iterable((moment, moment + past) for moment in around):
                if first <= starts_at <= last:
                    yield starts_at
