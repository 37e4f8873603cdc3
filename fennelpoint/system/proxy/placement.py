"""The choice of a backend: the least expected time to the answer, network distance included."""

from __future__ import annotations

from collections import deque
from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import Context, may_send
from fennelpoint.cells.cell_controller import CellSelection
from fennelpoint.selection import INITIAL_LATENCY_AIMS
from fennelpoint.state import Backend, ConcurrencyLimiter, PendingRequest
from fennelpoint.system.proxy.events import BackendPlacement

QUEUED_PER_SLOT = 1.0  # own attempts in flight beyond a backend's slots
RATE_WINDOW_S = 1.02  # in which requests to a backend in cold start count: 1 s plus the error of timers and clocks
MIN_WINDOW = 2.0  # attempts in flight that a service's window always allows
LATENCY_JITTER = 0.15  # of a usual latency, random in each choice: proxies do not see each other's requests


class NearestBackend(CellSelection):
    """Chooses the backend with the least expected time to the answer among those with a free slot."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.placement = BackendPlacement({}, {}, {})
        self.cold_sent_at: dict[object, deque] = {}  # times of the attempts sent, by backend in cold start

    def update_placement(self, event: BackendPlacement) -> None:
        self.placement = event
        self.cold_sent_at = {key: times for key, times in self.cold_sent_at.items() if key in event.slots}

    def expire_rates(self) -> None:
        """Send nothing to backends in cold start until rates are leased anew."""
        self.placement.cold_limits = {
            backend: (until, 0) for backend, (until, _) in self.placement.cold_limits.items()
        }

    def add_classes(self, classes: list[api.RequestClass]) -> None:
        """Add the classes that are new, with the first latency estimate that every class starts with."""
        for cls in classes[len(self.typical) :]:
            self.typical.append(INITIAL_LATENCY_AIMS * cls.aim)
            self.usual.append(INITIAL_LATENCY_AIMS * cls.aim)

    def choose(self, pending: PendingRequest, now: float) -> Backend | None:
        if not may_send(pending, self.settings, now):
            return None
        best, least = None, inf
        typical = self.typical[pending.request.cls]
        for backend in self.ready(pending.limiter):
            key = backend.entry.backend
            if now < backend.rest_until or pending.previous_backend == key:
                continue
            slots, in_flight = self.placement.slots.get(key, 1), len(backend.in_flight)
            if in_flight >= slots * (1.0 + QUEUED_PER_SLOT):
                continue
            cold_until, cold_limit = self.placement.cold_limits.get(key, (0.0, 0))
            slowness = self.slowness(backend, now)
            if now < cold_until:
                # The previous process at this address may have used up this proxy's rate in the current second.
                if now < self.context.started_at + RATE_WINDOW_S or self._sent_in_window(key, now) >= cold_limit:
                    continue
                slowness *= 1.5
            load = in_flight * max(1.0, 0.5 * self.placement.sharing_proxies) / slots
            delay_s, fraction = self.placement.distances.get(key, (0.0, 0.0))
            cost = delay_s + typical * (
                fraction + slowness * (1.0 + load * load + LATENCY_JITTER * self.random.random())
            )
            if cost < least:
                best, least = backend, cost
        if best is not None and now < self.placement.cold_limits.get(best.entry.backend, (0.0, 0))[0]:
            self.cold_sent_at.setdefault(best.entry.backend, deque()).append(now)
        return best

    def _sent_in_window(self, key: object, now: float) -> int:
        times = self.cold_sent_at.get(key, ())
        while times and times[0] < now - RATE_WINDOW_S:
            times.popleft()
        return len(times)

    def adjust_window(self, crowd: ConcurrencyLimiter, ratio: float, latency: float, now: float) -> None:
        super().adjust_window(crowd, ratio, latency, now)
        crowd.window = max(MIN_WINDOW, crowd.window)
        crowd.rest_until = min(crowd.rest_until, now)
