"""The choice of a backend: the least expected time till the answer, distance included, among those with a slot."""

from __future__ import annotations

from collections import deque
from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import Context, may_send
from fennelpoint.cells.cell_controller import Confined
from fennelpoint.selection import INITIAL_LATENCY_AIMS
from fennelpoint.state import Backend, ConcurrencyLimiter, PendingRequest
from fennelpoint.system.proxy.events import BackendPlaces

QUEUE = 1.0  # of a backend's slots, own attempts out beyond them
SECOND = 1.02  # s in which a cold backend's requests are counted, with what timers and clocks are off
WINDOW_LEAST = 2.0  # attempts out that a service's window always allows
NOISE = 0.15  # of a usual latency, that a choice varies by chance: proxies don't see each other's requests


class NearestBackend(Confined):
    """The least expected time till the answer, distance included, among backends with a slot."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.places = BackendPlaces({}, {}, {})
        self.sent_cold: dict[object, deque] = {}  # when tries were sent to a cold backend

    def take(self, event: BackendPlaces) -> None:
        self.places = event
        self.sent_cold = {key: sent for key, sent in self.sent_cold.items() if key in event.slots}

    def end_lease(self) -> None:
        """Nothing may be sent to cold backends until rates are leased anew."""
        self.places.cold = {backend: (until, 0) for backend, (until, _) in self.places.cold.items()}

    def learn_of(self, classes: list[api.RequestClass]) -> None:
        """Classes from now on; one that is new starts as all do."""
        for cls in classes[len(self.typical) :]:
            self.typical.append(INITIAL_LATENCY_AIMS * cls.aim)
            self.usual.append(INITIAL_LATENCY_AIMS * cls.aim)

    def choose(self, t: PendingRequest, now: float) -> Backend | None:
        if not may_send(t, self.settings, now):
            return None
        best, least = None, inf
        typical = self.typical[t.request.cls]
        for b in self.ready(t.limiter):
            key = b.entry.backend
            if now < b.rest_until or t.previous_backend == key:
                continue
            slots, out = self.places.slots.get(key, 1), len(b.in_flight)
            if out >= slots * (1.0 + QUEUE):
                continue
            until, most = self.places.cold.get(key, (0.0, 0))
            slow = self.slowness(b, now)
            if now < until:
                # The process before may have sent all that is ours of this second.
                if now < self.context.started_at + SECOND or self._sent_lately(key, now) >= most:
                    continue
                slow *= 1.5
            crowd = out * max(1.0, 0.5 * self.places.sharers) / slots
            span, part = self.places.far.get(key, (0.0, 0.0))
            cost = span + typical * (part + slow * (1.0 + crowd * crowd + NOISE * self.random.random()))
            if cost < least:
                best, least = b, cost
        if best is not None and now < self.places.cold.get(best.entry.backend, (0.0, 0))[0]:
            self.sent_cold.setdefault(best.entry.backend, deque()).append(now)
        return best

    def _sent_lately(self, key: object, now: float) -> int:
        sent = self.sent_cold.get(key, ())
        while sent and sent[0] < now - SECOND:
            sent.popleft()
        return len(sent)

    def adjust_window(self, crowd: ConcurrencyLimiter, ratio: float, latency: float, now: float) -> None:
        super().adjust_window(crowd, ratio, latency, now)
        crowd.window = max(WINDOW_LEAST, crowd.window)
        crowd.rest_until = min(crowd.rest_until, now)
