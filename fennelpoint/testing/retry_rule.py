"""The operators' bound of retries, counted from what clients sent and backends received, over every window.

Knows nothing of how proxies keep to it: requests are told when their clients send them, arrivals when a backend
receives them, turned away or not.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain


@dataclass(frozen=True, slots=True)
class Window:
    """One window of a service: where it begins (s), retries received, requests that count, most retries allowed."""

    service: str
    begin: float
    retries: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        return self.retries - self.allowed

    def __str__(self) -> str:
        return (
            f"service {self.service}: {self.retries} arrivals beyond the first of their request from "
            f"{self.begin:.3f} s on, for {self.requests} requests; allowed {self.allowed:.0f}"
        )


@dataclass(slots=True)
class RetryCounter:
    """`ratio`, `slack` and `window` (s) are the rule's."""

    ratio: float
    slack: float
    window: float
    requests: dict[str, list[float]] = field(default_factory=dict)  # when each was sent, by service, in order
    retries: dict[str, list[float]] = field(default_factory=dict)  # when each arrived
    seen: set[object] = field(default_factory=set)  # requests that a backend has received

    def sent(self, service: str, at: float) -> None:
        """A client sent a request on a route to that service."""
        insort(self.requests.setdefault(service, []), at)

    def received(self, service: str, request: object, at: float) -> None:
        """A backend of that service received it."""
        if request in self.seen:
            insort(self.retries.setdefault(service, []), at)
        self.seen.add(request)

    def at(self, service: str, begin: float) -> Window:
        """The window of a service that begins then."""
        retries, requests = self.retries.get(service, []), self.requests.get(service, [])
        half = self.window / 2
        most = max(self._within(requests, start) for start in (begin, begin - half, begin - self.window))
        return Window(service, begin, self._within(retries, begin), most, self.ratio * most + self.slack)

    def worst(self) -> Window | None:
        """The window that lies the furthest beyond the rule, or the nearest to it; none without a retry."""
        windows = (self.at(service, begin) for service in self.retries for begin in self._begins(service))
        return max(windows, key=lambda window: window.excess, default=None)

    def _within(self, times: list[float], begin: float) -> int:
        return bisect_left(times, begin + self.window) - bisect_left(times, begin)

    def _begins(self, service: str) -> Iterator[float]:
        """Where a count changes: at a time itself or just past it, and half a window or a whole one from it."""
        half, past = self.window / 2, 1e-7
        yield from self.retries[service]
        yield from (at - self.window + past for at in self.retries[service])
        first, last = self.retries[service][0] - self.window, self.retries[service][-1]
        for at in self.requests.get(service, []):
            around = (at + half * shift for shift in (-2, -1, 0, 1, 2))
            for begin in chain.from_iterable((moment, moment + past) for moment in around):
                if first <= begin <= last:
                    yield begin
