"""Customers in four regions, cuts while one fails, and room given back (the paper's section 4)."""

from __future__ import annotations

from collections.abc import Callable

from fennelpoint.bookkeeping import FORGET, PERIOD, PERIOD_TOKEN, Concern, Ground
from fennelpoint.state import Customer, Cut, Try

STEPS, STEP = 3, 0.05   # m, and the share of the rate sent that one constant step takes off
MOST_CUT, RETURN = 2.0, 2.0  # most steps taken off one customer at a time; steps given back: no idle room
CONFIDENT, FULL_STEP, CHANGE = 2.0, 3.0, 2.0  # 1 / S_p (1 / aims) trusted; most steps it is worth; the 2x
FIT_MEMORY, FIT_LEAST = 0.98, 2.0  # past's weight a period (about 25 s); points that a line must pass
RATE_MEMORY, IDLE_RATE = 0.7, 0.05  # past's weight in averages, a period; units a second that count as none
REGIONS = (("meet", "failed"), ("lucky", "exceeded"))  # within quota or over it; within aim or over it


class Fit:
    """Running least squares of latency against rate sent, with forgetting."""

    def __init__(self) -> None:
        self.n = self.x = self.y = self.xx = self.xy = self.yy = 0.0

    def add(self, x: float, y: float, memory: float) -> None:
        """One more point; `memory` is the weight of those before."""
        for name, value in (("n", 1.0), ("x", x), ("y", y), ("xx", x * x), ("xy", x * y), ("yy", y * y)):
            setattr(self, name, getattr(self, name) * memory + value)

    def at(self, x: float) -> tuple[float, float]:
        """The latency predicted there and its 1 / S_p (paper 4.4); 0 for too few or equal points."""
        n = max(self.n, 1e-9)
        mean, spread = self.x / n, self.xx - self.x * self.x / n
        slope = (self.xy - self.y * mean) / spread if spread > 1e-9 else 0.0
        residue = max(1e-9, self.yy - self.y * self.y / n - slope * slope * spread)
        if n <= FIT_LEAST or spread <= 1e-9:
            return self.y / n + slope * (x - mean), 0.0
        error = residue / (n - 2.0) * (1.0 + 1.0 / n + (x - mean) ** 2 / spread)
        return self.y / n + slope * (x - mean), error ** -0.5


class Regulation(Concern):
    """Who is cut, by how much, and why; one decision holds for some steps."""

    def __init__(self, ground: Ground, own_rate: Callable[[Customer, float], float]) -> None:
        super().__init__(ground)
        self.own_rate = own_rate    # units a second that are a customer's here
        self.active: dict[int, Customer] = {}  # those that the period looks at
        self.fit, self.work, self.period_at = Fit(), 0.0, ground.born
        self.cut, self.pressed = None, False

    def activate(self, c: Customer, now: float) -> None:
        self.active[c.key] = c
        if PERIOD_TOKEN not in self.timers.at:
            self.period_at = now
            self.out += self.timers.wake(PERIOD_TOKEN, now + PERIOD, now)

    def sent(self, c: Customer, units: float, work: float, now: float) -> None:
        c.cap_level, c.sent, self.work = c.cap_level - units, c.sent + units, self.work + work
        self.activate(c, now)

    def answered(self, t: Try, now: float) -> None:
        aim = self.settings.classes[t.ask.cls].aim
        t.customer.ratios.append((now - (t.aim_at - aim)) / aim)
        self.activate(t.customer, now)

    def period(self, now: float, busy: bool) -> None:
        """The period's look at all that are active; the next one comes while any is, or an attempt is out."""
        span, self.period_at = max(1e-6, now - self.period_at), now
        self.regulate(now, span)
        for c in [c for c in self.active.values() if c.cap is not None and c.seen < now - FORGET]:
            c.cap = None    # guards the memory: one that is cut is not forgotten, and this one is gone
        self.active = {k: c for k, c in self.active.items() if c.cap is not None or c.rate > IDLE_RATE}
        if self.active or busy:
            self.out += self.timers.wake(PERIOD_TOKEN, now + PERIOD, now)

    def regulate(self, now: float, span: float) -> None:
        """Place the customers, take a step of the cut while one fails, else give room back."""
        rate, self.work, ratios = self.work / span, 0.0, []
        regions: dict[str, list[Customer]] = {name: [] for pair in REGIONS for name in pair}
        for c in sorted(self.active.values(), key=lambda c: (c.worth, c.key)):
            if c.ratios:
                c.ratio = RATE_MEMORY * c.ratio + (1 - RATE_MEMORY) * sum(c.ratios) / len(c.ratios)
            c.rate = RATE_MEMORY * c.rate + (1 - RATE_MEMORY) * c.sent / span
            if c.ratios or c.sent:
                over = c.rate > self.own_rate(c, now) + 1e-9
                regions[REGIONS[over][c.ratio > 1.0]].append(c)
            ratios += c.ratios
            c.ratios, c.sent = [], 0.0
        seen = sum(ratios) / len(ratios) if ratios else 0.0
        # Steps scale with the confidence in the fit when it is high enough; else they are constant.
        step = STEP * min(FULL_STEP, max(1.0, self.fit.at(rate)[1] / CONFIDENT))
        worst = max((c.ratio for c in regions["failed"]), default=0.0)
        self.pressed = bool(regions["failed"])
        if not self.pressed:
            self.cut = None
            self._return(step, now)
        elif self.cut is None or (self.cut.steps + 1 >= STEPS and self.afresh(regions, worst, seen)):
            self.cut = self._decide(regions, worst, rate, step)
        else:
            self.cut.steps += 1
        for c, amount in self.cut.takes if self.cut else ():
            c.cap = max(0.0, (c.rate if c.cap is None else min(c.cap, c.rate)) - amount)
        self.fit.add(rate, seen, FIT_MEMORY) if ratios else None

    def afresh(self, regions: dict[str, list[Customer]], worst: float, seen: float) -> bool:
        """The paper's four reasons to leave a decision after m steps."""
        cut, active = self.cut, [c for group in regions.values() for c in group]
        changes = [(c.rate, cut.rates[c.key]) for c in active if c.key in cut.rates] + [(seen, cut.predicted)]
        return (worst > cut.worst or any(c.key not in cut.lucky for c in regions["lucky"])
                or any(not 1 / CHANGE <= (a + 0.01) / (b + 0.01) <= CHANGE for a, b in changes))

    def _decide(self, regions: dict[str, list[Customer]], worst: float, rate: float, step: float) -> Cut:
        """Whom to cut: lucky, then exceeded, then meet while several plans fail; the least worth first."""
        missing, takes = step * sum(c.rate for c in self.active.values()), []
        several = len({c.plan for c in regions["failed"]}) > 1
        for c in regions["lucky"] + regions["exceeded"] + (regions["meet"] if several else []):
            take = min(missing, MOST_CUT * step * c.rate)
            missing -= take
            takes.append((c, take))
            if missing <= 0.0:
                break
        return Cut(takes, worst, {c.key: c.rate for c in self.active.values()},
                   {c.key for c in regions["lucky"]}, self.fit.at(rate * (1.0 - step))[0])

    def _return(self, step: float, now: float) -> None:
        """Give unused room back by worth; no rate falls below its average."""
        cut = [c for c in self.active.values() if c.cap is not None]
        room = RETURN * step * sum(self.own_rate(c, now) for c in cut)
        for c in sorted(cut, key=lambda c: (-c.worth, c.key)):
            rate = self.own_rate(c, now)
            give = min(room, MOST_CUT * RETURN * step * rate)
            c.cap, room = max(c.cap, c.rate) + give, room - give
            c.cap = c.cap if c.cap < rate else None
