"""Overload regulation by rate caps: cuts while a customer fails, returns after (the paper's section 4)."""

from __future__ import annotations

from collections.abc import Callable

from fennelpoint.bookkeeping import FORGET_AFTER_S, PERIOD_S, PERIOD_TOKEN, Context, Policy
from fennelpoint.state import Customer, Cut, PendingRequest

STEPS, STEP = 3, 0.05   # the paper's m; part of the rate sent that a constant step takes off
MAX_CUT_STEPS, RETURN_STEPS = 2.0, 2.0  # most off one customer at a time; returned: nothing idles
MIN_CONFIDENCE, FULL_STEP, CHANGE_FACTOR = 2.0, 3.0, 2.0  # trusted 1 / S_p (1 / aims); most steps; the 2x
FIT_MEMORY, FIT_MIN_POINTS = 0.98, 2.0  # weight of the past per period (about 25 s); points that a fit needs
RATE_MEMORY, IDLE_RATE = 0.7, 0.05  # weight of the past in averages; units per second that count as idle
REGIONS = (("meet", "failed"), ("lucky", "exceeded"))  # [over quota][over aim]


class LatencyFit:
    """Running least-squares fit of latency against the rate sent, with exponential forgetting."""

    def __init__(self) -> None:
        self.n = self.x = self.y = self.xx = self.xy = self.yy = 0.0

    def add(self, x: float, y: float, memory: float) -> None:
        """Add a point; `memory` is the weight of the earlier ones."""
        for name, value in (("n", 1.0), ("x", x), ("y", y), ("xx", x * x), ("xy", x * y), ("yy", y * y)):
            setattr(self, name, getattr(self, name) * memory + value)

    def predict(self, x: float) -> tuple[float, float]:
        """Predicted latency at rate `x` and its 1 / S_p (paper 4.4), 0 for too few or equal points."""
        n = max(self.n, 1e-9)
        mean, spread = self.x / n, self.xx - self.x * self.x / n
        slope = (self.xy - self.y * mean) / spread if spread > 1e-9 else 0.0
        residual = max(1e-9, self.yy - self.y * self.y / n - slope * slope * spread)
        if n <= FIT_MIN_POINTS or spread <= 1e-9:
            return self.y / n + slope * (x - mean), 0.0
        error = residual / (n - 2.0) * (1.0 + 1.0 / n + (x - mean) ** 2 / spread)
        return self.y / n + slope * (x - mean), error ** -0.5


class Regulation(Policy):
    """Decides whose rate is capped, and by how much; a decision holds for some steps."""

    def __init__(self, context: Context, local_rate: Callable[[Customer, float], float]) -> None:
        super().__init__(context)
        self.local_rate = local_rate    # a customer's quota here, in units per second
        self.active: dict[int, Customer] = {}  # customers that the period considers
        self.fit, self.work, self.period_at = LatencyFit(), 0.0, context.started_at
        self.cut, self.is_overloaded = None, False

    def activate(self, c: Customer, now: float) -> None:
        self.active[c.key] = c
        if PERIOD_TOKEN not in self.timers.due_at:
            self.period_at = now
            self.actions += self.timers.schedule(PERIOD_TOKEN, now + PERIOD_S, now)

    def record_sent(self, c: Customer, units: float, work: float, now: float) -> None:
        c.cap_level, c.sent_units, self.work = c.cap_level - units, c.sent_units + units, self.work + work
        self.activate(c, now)

    def record_latency(self, req: PendingRequest, now: float) -> None:
        aim = self.settings.classes[req.request.cls].aim
        req.customer.ratios.append((now - (req.aim_at - aim)) / aim)
        self.activate(req.customer, now)

    def run_period(self, now: float, busy: bool) -> None:
        """Regulate the active customers; schedules the next period while any is active or attempts run."""
        span, self.period_at = max(1e-6, now - self.period_at), now
        self.regulate(now, span)
        for c in [c for c in self.active.values() if c.cap is not None and c.seen_at < now - FORGET_AFTER_S]:
            c.cap = None    # a capped customer is never evicted, and this one has left
        self.active = {k: c for k, c in self.active.items() if c.cap is not None or c.rate > IDLE_RATE}
        if self.active or busy:
            self.actions += self.timers.schedule(PERIOD_TOKEN, now + PERIOD_S, now)

    def regulate(self, now: float, span: float) -> None:
        """Sort the customers into regions; cut one step while one of them fails, else raise the caps."""
        rate, self.work, ratios = self.work / span, 0.0, []
        regions: dict[str, list[Customer]] = {name: [] for pair in REGIONS for name in pair}
        for c in sorted(self.active.values(), key=lambda c: (c.worth, c.key)):
            if c.ratios:
                c.ratio = RATE_MEMORY * c.ratio + (1 - RATE_MEMORY) * sum(c.ratios) / len(c.ratios)
            c.rate = RATE_MEMORY * c.rate + (1 - RATE_MEMORY) * c.sent_units / span
            if c.ratios or c.sent_units:
                over = c.rate > self.local_rate(c, now) + 1e-9
                regions[REGIONS[over][c.ratio > 1.0]].append(c)
            ratios += c.ratios
            c.ratios, c.sent_units = [], 0.0
        latency = sum(ratios) / len(ratios) if ratios else 0.0
        # Steps scale with the confidence in the fit where that is high enough, else they are constant.
        step = STEP * min(FULL_STEP, max(1.0, self.fit.predict(rate)[1] / MIN_CONFIDENCE))
        worst = max((c.ratio for c in regions["failed"]), default=0.0)
        self.is_overloaded = bool(regions["failed"])
        if not self.is_overloaded:
            self.cut = None
            self._raise_caps(step, now)
        elif self.cut is None or (self.cut.steps + 1 >= STEPS and self.is_outdated(regions, worst, latency)):
            self.cut = self._decide(regions, worst, rate, step)
        else:
            self.cut.steps += 1
        for c, amount in self.cut.takes if self.cut else ():
            c.cap = max(0.0, (c.rate if c.cap is None else min(c.cap, c.rate)) - amount)
        self.fit.add(rate, latency, FIT_MEMORY) if ratios else None

    def is_outdated(self, regions: dict[str, list[Customer]], worst: float, latency: float) -> bool:
        """Whether one of the paper's four reasons to replace a decision after m steps holds."""
        cut, active = self.cut, [c for group in regions.values() for c in group]
        both = [(c.rate, cut.rates[c.key]) for c in active if c.key in cut.rates] + [(latency, cut.predicted)]
        return (worst > cut.worst or any(c.key not in cut.lucky for c in regions["lucky"])
                or any(not 1 / CHANGE_FACTOR <= (a + 0.01) / (b + 0.01) <= CHANGE_FACTOR for a, b in both))

    def _decide(self, regions: dict[str, list[Customer]], worst: float, rate: float, step: float) -> Cut:
        """Cut `lucky`, then `exceeded`, then `meet` if several plans fail; in each the least worth first."""
        to_cut, takes = step * sum(c.rate for c in self.active.values()), []
        many_plans_fail = len({c.plan for c in regions["failed"]}) > 1
        for c in regions["lucky"] + regions["exceeded"] + (regions["meet"] if many_plans_fail else []):
            take = min(to_cut, MAX_CUT_STEPS * step * c.rate)
            to_cut -= take
            takes.append((c, take))
            if to_cut <= 0.0:
                break
        return Cut(takes, worst, {c.key: c.rate for c in self.active.values()},
                   {c.key for c in regions["lucky"]}, self.fit.predict(rate * (1.0 - step))[0])

    def _raise_caps(self, step: float, now: float) -> None:
        """Return unused capacity by worth; no cap falls below the customer's average rate."""
        cut = [c for c in self.active.values() if c.cap is not None]
        capacity = RETURN_STEPS * step * sum(self.local_rate(c, now) for c in cut)
        for c in sorted(cut, key=lambda c: (-c.worth, c.key)):
            rate = self.local_rate(c, now)
            returned = min(capacity, MAX_CUT_STEPS * RETURN_STEPS * step * rate)
            c.cap, capacity = max(c.cap, c.rate) + returned, capacity - returned
            c.cap = c.cap if c.cap < rate else None
