"""Quotas as leases: what each proxy may let through by itself, for how long, and what is still out.

Pure: reports, verdicts and the time in, assignments out.  A lease is a token bucket with a life: `tokens` at
once and `rate` a second.  All that it can let through is taken from the desk before it is handed out, so a
proxy that is cut off, comes back or lies can use nothing that is not paid for.  What may still be used of
leases is `out`: it is freed by time alone, never by a report, and is held under `kept` for each customer.
The desk's burst is smaller by `kept`, so that a lease that is used late makes no more of a burst than the
plan has (docs/design/xds.md, "Bound of the leases").
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import ceil, inf

from fennelpoint import interface as api
from fennelpoint.xds.quota_checker import Act, Desk, Verdict
from fennelpoint.xds.streams import Misuse

KEPT = 0.75             # of burst and ceiling burst: what leases may hold
COVER = 2.0             # report intervals that a lease lives
SPARE, AT_ONCE = 1.1, 0.5   # of what is asked for, to lease, and one request more; its part to use at once
LAST = 1.5              # report intervals before its end: an unused lease is renewed
EASE = 0.85             # a demand's weight a report while it falls; it rises at once
PIECES = 4              # asks that what the desk holds is asked for in: part of a lease may be granted
DECIDE = 0.2            # s that an ask may wait: too short to wait for units, enough for a counter's answer
IDLE_REPORTS = 4        # empty reports after which a bucket is given up
MOST_BUCKETS = 10_000   # of one stream
MOST_REQUESTS = 1_000_000   # of one lease

Bucket = tuple[tuple[str, str], ...]    # BucketId: its keys and values in order


@dataclass(frozen=True, slots=True)
class Assign:
    """QuotaAssignmentAction: a token bucket of `tokens` requests, full at first.

    It fills by `rate` requests a second and lasts `life` seconds.  No tokens: all may pass.
    """

    stream: int
    bucket: Bucket
    tokens: int | None
    rate: float
    life: float


@dataclass(frozen=True, slots=True)
class Abandon:
    """AbandonAction: the proxy forgets the bucket and reports it no more."""

    stream: int
    bucket: Bucket


@dataclass(frozen=True, slots=True)
class Spec:
    """What a bucket or descriptor says: whose quota, and how much of it a request takes."""

    customer: int
    plan: int
    cls: int
    units: float


class Promise:
    """What a proxy can still let through by all leases that it may go by, of which it goes by one at a time.

    `steps` are rates, each until a time; later ones are lower.  `depths` are what is in the buckets: one that
    a newer lease takes the place of is gone soon, unless the proxy was cut off and never got the newer one.
    """

    __slots__ = ("steps", "depths")

    def __init__(self) -> None:
        self.steps: list[tuple[float, float]] = []      # until, units a second
        self.depths: list[tuple[float, float, float]] = []  # until; gone by, if replaced; units

    def out(self, now: float) -> float:
        """Units that may be used from now on."""
        self.steps = [s for s in self.steps if s[0] > now]
        self.depths = [d for d in self.depths if d[0] > now]
        total, begun = max(sum(units for _, gone, units in self.depths if gone > now),
                           max((units for _, _, units in self.depths), default=0.0)), now
        for until, rate in self.steps:
            total, begun = total + rate * (until - begun), until
        return total

    def price(self, rate: float, until: float, now: float) -> float:
        """Units that a rate until then adds to what may be used."""
        total, begun = 0.0, now
        for end, own in [*self.steps, (until, 0.0)]:
            if end > begun:
                total, begun = total + max(0.0, rate - own) * (min(end, until) - begun), min(end, until)
        return total

    def rate_for(self, units: float, until: float, now: float) -> float:
        """The rate until then that so many units pay for: the price, the other way round."""
        rate, span, last = 0.0, 0.0, until
        for end, own in reversed([(now, inf), *self.steps]):    # from the far end, where least is paid for
            span += max(0.0, last - max(end, now))
            last = min(last, end)
            if span > 0.0:
                most = own - rate
                if units <= most * span:
                    return rate + units / span
                units -= most * span
            rate = max(rate, own)
        return rate

    def add(self, depth: float, rate: float, until: float, replaced_by: float) -> None:
        """One more lease, which takes the place of those before by `replaced_by` if it comes at all."""
        self.depths = [(end, min(gone, replaced_by), units) for end, gone, units in self.depths]
        self.depths.append((until, inf, depth))
        self.steps = [(end, own) for end, own in self.steps if own > rate]
        self.steps.append((until, rate))


@dataclass(slots=True, eq=False)
class Held:
    """One bucket of one stream."""

    stream: int
    bucket: Bucket
    spec: Spec
    reported_at: float
    demand: float = 0.0     # requests a second, by its reports
    asked: int = 0          # requests since the newest lease, by its reports
    ends: float = 0.0       # of that lease, at the proxy
    asking: dict[int, float] = field(default_factory=dict)  # asks that are out, and their units
    credit: float = 0.0     # units paid for and not handed out yet
    need: float = 0.0       # units that it would have beyond that
    idle: int = 0
    promise: Promise = field(default_factory=Promise)


class Customer:
    """All leases of one customer, also those of streams that are gone."""

    def __init__(self) -> None:
        self.held: dict[tuple[int, Bucket], Held] = {}
        self.orphans: list[Promise] = []
        self.asked = 0.0    # units of asks that are out, and of credits

    def out(self, now: float) -> float:
        """Units that proxies may still use or are about to be handed."""
        self.orphans = [promise for promise in self.orphans if promise.out(now) > 0.0]
        return (self.asked + sum(promise.out(now) for promise in self.orphans)
                + sum(held.promise.out(now) for held in self.held.values()))

    def credit(self, units: float, asker: Held, since: float) -> None:
        """Share out what was granted among the buckets that were reported since then and need some.

        Guards against one proxy that asks for all, or says so: whoever asked, all get as much as they need,
        or an even part of what the others leave.
        """
        short = [h for h in self.held.values() if h.need > 0.0 and (h is asker or h.reported_at >= since)]
        level = water_level([h.need for h in short], units)
        for held in short:
            part = min(held.need, level)
            held.need, held.credit, units = held.need - part, held.credit + part, units - part
        asker.credit += units


def water_level(demands: Iterable[float], rate: float) -> float:
    """The most that each may have so that all get as much as they ask for, or an even part of what is left.

    Infinite where there is enough for all (max-min fairness: Bertsekas and Gallager, Data Networks, 6.5.2).
    """
    left, rest = rate, sorted(demands)
    for i, demand in enumerate(rest):
        if demand * (len(rest) - i) > left:
            return left / (len(rest) - i)
        left -= demand
    return inf


def kept(plan: api.Plan, width: int) -> float:
    """Units that leases of one customer may hold together; infinite without a quota or ceiling."""
    return KEPT * min(plan.burst if plan.rate else inf,
                      plan.ceiling_burst / width if plan.ceiling_rate else inf)


def desk_settings(settings: api.Settings) -> api.Settings:
    """The settings that the desk goes by: each plan's bursts without what is kept for leases."""
    width, plans = settings.ingresses, []
    for plan in settings.plans:
        if (part := kept(plan, width)) < inf:
            plan = replace(plan, burst=max(0.0, plan.burst - part) if plan.rate else plan.burst,
                           ceiling_burst=plan.ceiling_burst - part * width if plan.ceiling_rate else 0.0)
        plans.append(plan)
    return replace(settings, plans=plans)


class Reader:
    """Reads the keys of a bucket or descriptor: customer, plan, and perhaps class and units."""

    def __init__(self, settings: api.Settings) -> None:
        self.plans = {p.name: i for i, p in enumerate(settings.plans)}
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.most = settings.most_units or inf

    def read(self, entries: Mapping[str, str]) -> Spec:
        """Raises Misuse, with one line that names the key and the reason."""
        if strange := entries.keys() - {"customer", "plan", "class", "units"}:
            raise Misuse(f"{min(strange)[:100]!r} is not known here: keys are customer, plan, class, units")
        try:
            customer = int(text, 16) if len(text := entries.get("customer", "")) == 16 else -1
        except ValueError:
            customer = -1
        if not 0 <= customer < 1 << 33:
            raise Misuse(f"customer: {text[:100]!r} is not 16 hexadecimal digits of a customer's number")
        if (plan := self.plans.get(entries.get("plan", ""))) is None:
            raise Misuse(f"plan: {entries.get('plan', '')[:100]!r} is no plan of the settings")
        name = entries.get("class")
        if (cls := self.classes.get(name) if name is not None else 0) is None:
            raise Misuse(f"class: {name[:100]!r} is no class of the settings")
        return Spec(customer, plan, cls, self.units(entries.get("units", "1")))

    def units(self, text: str) -> float:
        try:
            units = float(text) if len(text) < 20 else inf
        except ValueError:
            units = 0.0
        if not 0.0 < units <= self.most or units == inf:
            raise Misuse(f"units: {text[:100]!r} is not a figure over 0 and up to {self.most:g}")
        return units


class Bank:
    """All leases.  Every method returns what is to be done, in order; times are s of one clock."""

    def __init__(self, settings: api.Settings, seed: int, now: float, report_every: float,
                 delivery: float, leases: bool = True) -> None:
        """`report_every`: s between two reports; `delivery`: s until an assignment is with its proxy.

        Without `leases` nothing is kept back for them: there are single decisions only.
        """
        self.settings, self.reader = settings, Reader(settings)
        self.desk = Desk(desk_settings(settings) if leases else settings, seed, now)
        self.report_every, self.delivery, self.life = report_every, delivery, COVER * report_every
        # Guards the bound at a restart: what the service before this one handed out is not known.
        self.open_at = now + self.life + delivery
        self.customers: dict[int, Customer] = {}
        self.streams: dict[int, dict[Bucket, Held]] = {}
        self.asks: dict[int, Held] = {}     # by ask

    # Events

    def report(self, stream: int, bucket: Bucket, allowed: int, denied: int, elapsed: float,
               now: float) -> list[Act | Assign | Abandon]:
        """One BucketQuotaUsage; raises Misuse.  Its figures steer how much is asked for, and nothing else."""
        held = self._held(stream, bucket, now)
        span = min(max(elapsed, self.report_every / 4), 60.0)
        asked = min(allowed + denied, MOST_REQUESTS)
        held.reported_at, held.asked = now, held.asked + asked
        held.demand = max(asked / span, EASE * held.demand)
        held.idle = 0 if asked else held.idle + 1
        if held.idle >= IDLE_REPORTS and not held.asking:
            self._drop(held, now)
            return [Abandon(stream, bucket)]
        return self._renew(held, now)

    def gone(self, stream: int, now: float) -> None:
        """A stream has ended: what its proxy holds counts on until its time is up."""
        for held in list(self.streams.get(stream, {}).values()):
            self._drop(held, now)
        self.streams.pop(stream, None)

    def ask(self, spec: Spec, time_left: float, now: float) -> tuple[int, list[Act | Assign | Abandon]]:
        """One decision for one request, nothing leased; its number, by which the verdict is known."""
        number, acts = self.desk.ask(spec.customer, spec.plan, spec.cls, spec.units, time_left, now)
        return number, self._settle(acts, now)

    def handle(self, event: api.Event, now: float) -> list[Act | Assign | Abandon]:
        """A counter's reply or a timer."""
        return self._settle(self.desk.handle(event, now), now)

    def sweep(self, now: float) -> None:
        """Forget customers of whom nothing is out or held."""
        for key in [k for k, c in self.customers.items() if not c.held and c.out(now) <= 0.0]:
            del self.customers[key]

    def out(self, customer: int, now: float) -> float:
        """Units that proxies may still use of the leases of a customer."""
        return c.out(now) if (c := self.customers.get(customer)) is not None else 0.0

    # Leases

    def _held(self, stream: int, bucket: Bucket, now: float) -> Held:
        buckets = self.streams.setdefault(stream, {})
        if (held := buckets.get(bucket)) is None:
            spec = self.reader.read(dict(bucket))
            if len(buckets) >= MOST_BUCKETS:
                raise Misuse(f"more than {MOST_BUCKETS} buckets")
            held = buckets[bucket] = Held(stream, bucket, spec, now)
            self.customers.setdefault(spec.customer, Customer()).held[stream, bucket] = held
        return held

    def _drop(self, held: Held, now: float) -> None:
        customer = self.customers[held.spec.customer]
        del customer.held[held.stream, held.bucket]
        del self.streams[held.stream][held.bucket]
        customer.orphans.append(held.promise)
        customer.asked -= sum(held.asking.values()) + held.credit
        for ask in held.asking:     # nobody is there to use it any more
            del self.asks[ask]
            self.desk.handle(api.ClientGone(ask), now)

    def _renew(self, held: Held, now: float) -> list[Act | Assign | Abandon]:
        """Ask for a new lease: at each report while it is used, else when it comes to its end."""
        most = kept(self.settings.plans[held.spec.plan], self.settings.ingresses)
        if most == inf:
            return [Assign(held.stream, held.bucket, None, 0.0, self.life)]
        due = held.asked or now + LAST * self.report_every >= held.ends
        if held.asking or now < self.open_at or not due:
            return []
        tokens, rate = self._want(held)
        price = held.spec.units * tokens + held.promise.price(
            held.spec.units * rate, now + self.life + self.delivery, now)
        held.need = max(0.0, min(price - held.credit, self._room(held, most, now)))
        # What is no whole piece is left for the next report.
        spec, todo = held.spec, []
        step = max(spec.units, min(held.need, self.desk.depth(spec.customer, spec.plan)) / PIECES)
        for _ in range(int(held.need / step + 1e-9)):
            self.customers[spec.customer].asked += step
            number, acts = self.desk.ask(spec.customer, spec.plan, spec.cls, step, DECIDE, now)
            held.asking[number], self.asks[number] = step, held
            todo += acts
        if not held.asking:
            return self._assign(held, now)
        return self._settle(todo, now)

    def _want(self, held: Held) -> tuple[int, float]:
        """Tokens, and the rate in requests a second, that do until the next report and some time more."""
        supply = min(SPARE * held.demand + 1.0 / self.report_every, MOST_REQUESTS / self.life)
        tokens = max(1, ceil(AT_ONCE * supply * self.report_every))
        return tokens, max(0.0, supply - tokens / self.report_every)

    def _room(self, held: Held, most: float, now: float) -> float:
        """Units that this bucket may get more: of what is left, and no more than an even part of all."""
        customer = self.customers[held.spec.customer]
        live = {h.stream for h in customer.held.values() if h.reported_at >= self._since(now)}
        own = sum(h.promise.out(now) + h.credit for h in customer.held.values() if h.stream == held.stream)
        return min(most - customer.out(now), most / len(live) - own)

    def _since(self, now: float) -> float:
        """Proxies that have reported since then count."""
        return now - 3.0 * self.report_every

    def _settle(self, acts: list[Act], now: float) -> list[Act | Assign | Abandon]:
        """Verdicts on leases become assignments; the rest goes on."""
        out: list[Act | Assign | Abandon] = []
        for act in acts:
            held = self.asks.pop(act.ask, None) if isinstance(act, Verdict) else None
            if held is None:
                out.append(act)
                continue
            units = held.asking.pop(act.ask)
            customer = self.customers[held.spec.customer]
            if act.granted:
                customer.credit(units, held, self._since(now))
            else:
                customer.asked -= units
            if not held.asking:
                out += self._assign(held, now)
        return out

    def _assign(self, held: Held, now: float) -> list[Assign]:
        """Hand out what is paid for: tokens first, then as high a rate as the rest pays for."""
        each, until = held.spec.units, now + self.life + self.delivery
        tokens, rate = self._want(held)
        tokens = min(tokens, int(held.credit / each + 1e-9))
        if tokens < 1:
            return []
        rate = min(rate * each, held.promise.rate_for(max(0.0, held.credit - tokens * each), until, now))
        paid = min(held.credit, tokens * each + held.promise.price(rate, until, now))
        held.promise.add(tokens * each, rate, until, now + self.delivery)
        self.customers[held.spec.customer].asked -= paid
        held.credit, held.asked, held.ends = held.credit - paid, 0, now + self.life
        return [Assign(held.stream, held.bucket, tokens, rate / each, self.life)]
