"""Choice of a backend, the concurrency limit, and what responses and load reports say about the backends."""

from __future__ import annotations

from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import CHECK_S, EWMA, PERIOD_S, Context, Fleet, Policy, may_send, same_group
from fennelpoint.slow_start import capacity_share, cold_pick_probability
from fennelpoint.state import Backend, ConcurrencyLimiter, PendingRequest

AIM_MARGIN = 3.0   # usual latencies that must be left before the aim when a request is sent
INITIAL_LATENCY_AIMS, FASTER_WEIGHT, SLOWER_WEIGHT = 0.12, 0.1, 0.03    # weights: faster, slower response
FAILURE_FACTOR, MAX_SLOWNESS, SLOWNESS_HALF_LIFE_S = 4.0, 6.0, 1.0  # a failure multiplies slowness
MAX_REST_S, MAX_PRESSURE = 3.0, 0.25  # longest rest after failures; part of the aim lost to queueing
MIN_EVIDENCE, STUCK_AIMS = 8, 1.0    # responses between two window cuts; aims after which an attempt is stuck
INIT_SIZE, WINDOW_CUT, MIN_WINDOW = 12.0, 0.85, 0.1  # attempts: first, per backend; least, in all
OTHER_ZONE_FACTOR, SUBSET_SIZE = 1.15, 16  # cost of leaving the zone; backends used of a large fleet
PROBES_PER_REQUEST, PROBE_WAIT_S = 2, 0.05  # only where own load says little about backends
MAX_PROBE_PRICE = 0.02  # most that one probe per request gains, of the result; dearer ones are not sent
REPORT_HALF_LIFE_S = 1.0
FULL_PAUSE_S = 0.03   # rest of a backend that was full


class Selection(Policy):
    """Chooses among the backends of one ingress and limits the attempts in flight."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        settings = context.settings
        self.peer_uncertainty = context.peer_uncertainty   # load by others is unseen
        self.fleet, self.health = Fleet(), {}   # handed-over health of backends not listed yet
        self.typical = [INITIAL_LATENCY_AIMS * c.aim for c in settings.classes]  # latencies without queueing
        self.usual = list(self.typical)  # recent latencies
        self.limiter = ConcurrencyLimiter(context.started_at, context.started_at)    # of all backends
        self.cells: dict[str, ConcurrencyLimiter] = {}   # by name; empty without cells
        self.usual_held = 0.0   # requests that a backend usually reports
        self.probes = (settings.may_probe and settings.report_via != "none" and self.peer_uncertainty > 0.5
                       and settings.probe_price <= MAX_PROBE_PRICE)

    def update_roster(self, roster: api.Roster, now: float) -> None:
        if roster.kind is api.RosterKind.FAILED:
            return self.actions.append(api.Subscribe())
        self.fleet.apply_roster(roster, self.random, now)
        self.init_windows()
        for b in self.fleet.backends.values() if self.health else ():
            b.restore_health(self.health.pop(b.entry.backend, None), now)

    def init_windows(self) -> None:
        for limiter in (self.limiter, *self.cells.values()):
            limiter.ready = None
            if not limiter.window and (size := len(self.ready(limiter))):
                limiter.window = max(1.0, INIT_SIZE * size / self.settings.ingresses / self.context.processes)

    def ready(self, limiter: ConcurrencyLimiter) -> list[Backend]:
        """The ready backends of a cell, in the order of this ingress."""
        if limiter.ready is None:
            every, members = self.fleet.ready, limiter.members
            limiter.ready = every if members is None else [b for b in every if b.entry.backend in members]
        return limiter.ready

    def route(self, req: PendingRequest, now: float) -> bool:
        return True     # a subclass with cells checks that the request's cell can serve it

    def choose(self, req: PendingRequest, now: float) -> Backend | None:
        """Return the eligible backend with the least expected wait; or None, perhaps after probing some."""
        cls, able = self.settings.classes[req.request.cls], []
        ready = self.ready(req.limiter) if may_send(req, self.settings, now) else []
        if req.ran_at is not None and cls.effect is api.Effect.KEYED and cls.group is not api.Group.ALL:
            ready = same_group(ready, req.ran_on, "zone" if cls.group is api.Group.ZONE else "cell")
        for pool in (req.probed or (), ready[:SUBSET_SIZE], ready):  # a subset first: few connections
            able = able or [b for b in pool if b.is_usable and now >= b.rest_until]
        draws = sorted((self.random.expovariate(max(b.entry.weight, 1e-3)), i) for i, b in enumerate(able))
        # Keeps all ingresses together from overloading cold backends: one gets a request only if a weighted
        # draw picks it, with a probability that grows as it warms up; one draw per half aim and request.
        first = able[draws[0][1]].entry if draws and now >= req.cold_draw_at else None
        if first is not None and (share := capacity_share(first, self.settings, now)) < 1.0:
            req.cold_draw_at = now + cls.aim / 2
            if self.random.random() < cold_pick_probability(share):
                return able[draws[0][1]]
        costs = sorted((self.cost(able[i], draw, req, now), i) for draw, i in draws
                       if capacity_share(able[i].entry, self.settings, now) >= 1.0)
        if not self.probes or req.probed is not None or not costs:
            return able[costs[0][1]] if costs else None
        req.probed, req.not_before = [able[i] for _, i in costs[:PROBES_PER_REQUEST]], now + PROBE_WAIT_S
        for b in req.probed:
            self.fleet.probing.setdefault(b.entry.backend, []).append(req)
            self.actions.append(api.Probe(b.entry.backend))
        return None

    def cost(self, b: Backend, draw: float, req: PendingRequest, now: float) -> float:
        """Expected wait at this backend: known load times slowness over weight, with noise and zone cost."""
        weight, work, held = max(b.entry.weight, 1e-3), self.typical[req.request.cls], self.usual_held
        held += (b.reported - held) * 0.5 ** ((now - b.reported_at) / REPORT_HALF_LIFE_S)
        noise = 1.0 if req.probed else 1.0 + self.peer_uncertainty * (draw * weight - 1.0)
        noise *= OTHER_ZONE_FACTOR if b.entry.zone != self.settings.zone else 1.0
        return noise * self.slowness(b, now) * (b.load + work * (1.0 + held)) / weight

    def slowness(self, b: Backend, now: float) -> float:
        return 1.0 + (b.slow - 1.0) * 0.5 ** ((now - b.slow_at) / SLOWNESS_HALF_LIFE_S)

    def penalize(self, b: Backend, now: float) -> None:
        b.slow, b.slow_at = min(MAX_SLOWNESS, max(1.0, self.slowness(b, now)) * FAILURE_FACTOR), now

    def finish_probe(self, probe: api.ProbeResult, now: float) -> list[PendingRequest]:
        """Record a probe's result; returns the requests that waited for it."""
        if (b := self.fleet.backends.get(probe.backend)) is not None:
            self.add_report(b, probe.report, now) if probe.status is api.Status.OK else self.penalize(b, now)
        return self.fleet.finish_probe(probe.backend)

    def add_report(self, b: Backend, values: list[float], now: float) -> None:
        """Record a backend's load report: the requests that it holds."""
        fields = {k: v for k, v in zip(self.settings.report_fields, values, strict=False) if 0.0 <= v < inf}
        # util is capped at 1: it tells how busy the cores are, not how many requests wait (avoids herding).
        held = max(fields.get("inflight", 0.0), fields.get("queue", 0.0), min(1.0, fields.get("util", 0.0)))
        self.usual_held += EWMA / 4 * (held - self.usual_held) if fields else 0.0
        # An empty report counts as high load: busy backends are the first to stop reporting.
        b.reported, b.reported_at = held if fields else max(b.reported, 2.0 * self.usual_held), now

    def record_outcome(self, b: Backend, outcome: api.Outcome, req: PendingRequest | None,
                       attempt_of: PendingRequest, now: float) -> None:
        self.add_report(b, outcome.report, now) if outcome.report else None
        if outcome.status is api.Status.FULL:
            b.rest_until = now + 2 * FULL_PAUSE_S
            # Weighted so that only rejections by most backends cut the window, not those by a few.
            self.adjust_window(attempt_of.limiter, 2.0 * MAX_PRESSURE, max(self.usual), now)
        elif outcome.status is api.Status.OK and req is not None and 0.0 <= outcome.latency < inf:
            cls, slow, b.fails = req.request.cls, self.slowness(b, now), 0
            aim = self.settings.classes[cls].aim
            gap = outcome.latency - self.typical[cls]
            if capacity_share(b.entry, self.settings, now) >= 1.0:
                self.typical[cls] += gap * (SLOWER_WEIGHT if gap > 0 else FASTER_WEIGHT)
            self.usual[cls] += EWMA * (min(outcome.latency, aim / 2 / AIM_MARGIN) - self.usual[cls])
            b.slow, b.slow_at = slow + EWMA * (outcome.latency / self.typical[cls] - slow), now
            self.adjust_window(attempt_of.limiter, outcome.latency / aim
                               - min(MAX_PRESSURE, self.typical[cls] / aim), outcome.latency, now)
        elif outcome.status is api.Status.CANCELLED:
            # A slow backend must not look idle because clients leave before it responds.
            least, slow = outcome.latency / self.typical[attempt_of.request.cls], self.slowness(b, now)
            b.slow, b.slow_at = max(slow, slow + EWMA * (least - slow)), now
        elif outcome.status not in (api.Status.OK, api.Status.MOOT):
            # One event that ends many attempts, as a loss of all connections, counts as one failure.
            if now - outcome.latency >= b.failed_at:
                self.penalize(b, now)
                b.fails, b.rest_until = b.fails + 1, now + min(MAX_REST_S, 2 * CHECK_S * 2.0 ** b.fails)
                b.failed_at = now

    def adjust_window(self, limiter: ConcurrencyLimiter, ratio: float, latency: float, now: float) -> None:
        """Grow the window while little of the aim is lost to queueing, else cut it; under 1, pause."""
        # A few stalled backends must not stop the ingress (ratio capped), nor chance in few responses cut it.
        limiter.pressure += EWMA * (min(1.0, ratio) - limiter.pressure)
        limiter.evidence += 1
        if limiter.pressure <= MAX_PRESSURE and limiter.in_flight + 1 >= limiter.window:
            limiter.window += min(limiter.window, 1.0 / limiter.window)
        elif (limiter.pressure > MAX_PRESSURE and now - limiter.cut_at > latency
              and limiter.evidence >= MIN_EVIDENCE):
            limiter.window, limiter.cut_at, limiter.evidence = (
                max(MIN_WINDOW, limiter.window * WINDOW_CUT), now, 0)
        limiter.rest_until = now + min(MAX_REST_S, latency * max(0.0, 1.0 / limiter.window - 1.0))

    def check_attempt_ages(self, now: float) -> None:
        """Adjust the windows by the age of attempts in flight, as stalled backends send no responses."""
        by_limiter = self.fleet.attempt_ages(now)
        for limiter in (self.limiter, *self.cells.values()):
            ages = sorted(by_limiter.get(limiter, ()))
            limiter.stuck = sum(age > STUCK_AIMS for age in ages)
            if ages and (age := ages[len(ages) // 2]) > max(MAX_PRESSURE, limiter.pressure):
                limiter.evidence += len(ages)
                self.adjust_window(limiter, age, PERIOD_S, now)
