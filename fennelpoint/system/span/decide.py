"""The decision module on a front of the whole system: its admission as it is, with what the core lends.

In the places of the module's concerns: quotas by shares that are lent (`Lent`), a choice of backend by distance,
slots and own parts of what cold ones bear (`Near`), a line that ends tries while a client can go elsewhere (`Brief`).
`Decider` adds classes and plans that change with the configuration and a budget of further tries for each service.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Set
from dataclasses import dataclass, field, replace
from math import inf

from fennelpoint import interface as api
from fennelpoint.cells.confined import CelledController, Confined
from fennelpoint.quotas import EVEN, Quotas
from fennelpoint.selection import FIRST_GUESS
from fennelpoint.state import Backend, Crowd, Customer, Try
from fennelpoint.upkeep import PUMP_TOKEN, Ground, allowed
from fennelpoint.waiting import Waiting

HELD_PART = 0.22    # of an aim that a try waits without having been offered to a backend
QUEUE = 1.0         # of a backend's slots, own tries out beyond them
SECOND = 1.02       # s in which a cold backend's part is counted, with what timers and clocks are off
WINDOW_LEAST = 2.0  # tries out that a service's window always allows
NOISE = 0.15        # of a usual latency, that a choice varies by chance: fronts don't see each other's tries
FRESH = 1.0         # s of an own part that a process has saved up when it begins
ADVICE, MOST_ADVICE = 0.15, 0.5     # s after which a refused client is told to come again: least and most
OVER_ADVICE = 3.0   # s, for a quota that is used up
DENIED, FORGET_NEED = 2.0, 5.0  # s that one counts as over its quota after a denial; that an ask is remembered


@dataclass(slots=True)
class Catalogue:
    """Classes and plans from now on; what was there keeps its number."""

    classes: list[api.RequestClass]
    plans: list[api.Plan]


@dataclass(slots=True)
class Shares:
    """This front's part of each tenant's quota, by number; one that is not told is none."""

    shares: dict[int, float]
    slack: float            # further tries that this front may send in a budget's window, beside those by its ratio
    pooled: bool = False    # one that is not told draws from its pool


@dataclass(slots=True)
class Need:
    """An action: a try of a customer without a part of its own waits for units of the pool."""

    customer: int
    units: float


@dataclass(slots=True)
class Given:
    """Units of the pool by customer, to be used until then, and those that were asked for and are not there."""

    units: dict[int, float]
    denied: dict[int, float]
    until: float
    soon: Set[int] = frozenset()    # customers of these that are short for a moment only


@dataclass(slots=True)
class Places:
    """Of each backend: how far it is, in s and in parts of a usual latency; how many it works on at once; until when
    it is cold, and how many tries a second are ours then.  And how many fronts are likely to send to it, too."""

    far: dict[object, tuple[float, float]]
    slots: dict[object, int]
    cold: dict[object, tuple[float, int]]
    sharers: float = 1.0


@dataclass(slots=True)
class Budget:
    """Further tries of one service: a part of its first ones, and of the slack that all fronts share."""

    tokens: float = 0.0
    filled: float = 0.0
    first: deque = field(default_factory=deque)

    def fill(self, slack: float, window: float, now: float) -> None:
        if self.filled:
            self.tokens = min(max(slack, self.tokens), self.tokens + slack / window * (now - self.filled))
        self.filled = now


class Lent(Quotas):
    """Quotas by the parts that the core lends: one that is not told is none."""

    def __init__(self, ground: Ground) -> None:
        super().__init__(ground)
        self.shares: dict[int, float] = {}
        self.lent = self.pools = False
        self.given: dict[int, deque] = {}       # units of the pool, by customer: until when, and how many
        self.needed: dict[int, float] = {}      # tries that units were asked for, and when
        self.denied_at: dict[int, float] = {}   # when the pool last had none, by customer
        self.soon: Set[int] = frozenset()       # who was denied for a moment only

    def thin(self, c: Customer) -> bool:
        """Whether it has no part of its own here: too many fronts share too little, and each try asks the pool."""
        return self.pools and c.share == 0.0 and self.settings.plans[c.plan].rate > 0.0

    def pooled(self, key: int, now: float) -> float:
        """Units of the pool that are here."""
        held = self.given.get(key)
        while held and held[0][0] < now:
            held.popleft()
        return sum(units for _, units in held) if held else 0.0

    def room(self, t: Try, now: float) -> bool:
        if not self.thin(t.customer):
            return super().room(t, now)
        return t.inside is None and self.pooled(t.customer.key, now) >= t.ask.units

    def take(self, t: Try, inside: bool, now: float) -> None:
        super().take(t, inside, now)
        self.needed.pop(t.ask.request, None)
        left = t.ask.units if inside and self.thin(t.customer) else 0.0
        held = self.given.get(t.customer.key)
        while left > 0.0 and held:
            until, units = held.popleft()
            if units > left:
                held.appendleft((until, units - left))
            left -= units

    def wait(self, t: Try, ahead: float, now: float) -> float:
        return 0.0 if self.thin(t.customer) else super().wait(t, ahead, now)

    def own_rate(self, c: Customer, now: float) -> float:
        """Of one in the pool no front knows its part: it is over its quota where the pool has denied it lately."""
        if not self.thin(c):
            return super().own_rate(c, now)
        return 0.0 if now - self.denied_at.get(c.key, -inf) < DENIED else self.settings.plans[c.plan].rate

    def over(self, t: Try) -> bool:
        """Whether it was refused because its tenant asks for more than its quota."""
        if self.thin(t.customer):
            return t.inside is False
        return not t.charged and self.settings.plans[t.customer.plan].rate > 0.0 and t.customer.level < t.ask.units

    def need(self, t: Try, now: float) -> bool:
        """Whether units are to be asked for it: once."""
        if t.charged or t.ask.request in self.needed or not self.thin(t.customer):
            return False
        self.needed[t.ask.request] = now
        while self.needed and now - next(iter(self.needed.values())) > FORGET_NEED:
            del self.needed[next(iter(self.needed))]    # guards the memory: its client has gone
        return True

    def give(self, event: Given, now: float) -> list[Try]:
        """Units have come; the tries for which there are none, the cheapest and latest ones."""
        for key, units in event.units.items():
            self.given.setdefault(key, deque()).append((event.until, units))
        out, self.soon = [], event.soon
        for key, units in event.denied.items():
            if key not in event.soon:
                self.denied_at[key] = now
            waiting = [t for t in self.line.held.values() if t.customer.key == key and t.ask.request in self.needed]
            for t in sorted(waiting, key=lambda t: (t.worth, -t.ask.request)):
                if units <= 0.0:
                    break
                units, t.inside = units - t.ask.units, False
                out.append(t)
        return out

    def lend(self, shares: dict[int, float], pools: bool, now: float) -> None:
        """What is taken back is gone at once; what is given fills with time."""
        fresh = bool(shares) and not self.lent
        self.lent, self.shares, self.pools = self.lent or fresh, shares, pools
        for c in self.customers.values():
            if fresh:   # nobody else was lent our part while we started; a second of it at most
                c.filled = max(self.ground.born, now - FRESH)
            else:
                self.fill(c, now)
            c.share = shares.get(c.key, 0.0)
            c.level = min(c.level, self.depth(c))

    def change(self, classes: list[api.RequestClass], plans: list[api.Plan], now: float) -> None:
        """Other figures: what came in by now came by those before, and no store holds more than they allow."""
        for c in self.customers.values():
            self.fill(c, now)
        self.ground.settings = replace(self.settings, classes=classes, plans=plans)
        self.odds = [[EVEN] * len(classes) for _ in plans]
        for c in self.customers.values():
            c.level = min(c.level, self.depth(c))

    def customer(self, ask: api.Request, now: float) -> Customer:
        if (c := self.customers.pop(ask.customer, None)) is None:
            plan, share = self.settings.plans[ask.plan], self.shares.get(ask.customer, 0.0)
            # Guards the sum over a restart: what the process before took is not known, so it starts with what
            # came in since.
            c = Customer(ask.customer, ask.plan, 1.0, share, 0.0, store=plan.burst, filled=self.ground.born,
                         total_at=now, count_at=inf)
        self.customers[ask.customer], c.seen, c.plan = c, now, ask.plan
        return c


class Near(Confined):
    """The least expected time till the answer, distance included, among backends with a slot."""

    def __init__(self, ground: Ground) -> None:
        super().__init__(ground)
        self.places = Places({}, {}, {})
        self.sent_cold: dict[object, deque] = {}    # when tries were sent to a cold backend

    def take(self, event: Places) -> None:
        self.places = event
        self.sent_cold = {key: sent for key, sent in self.sent_cold.items() if key in event.slots}

    def learn_of(self, classes: list[api.RequestClass]) -> None:
        """Classes from now on; one that is new starts as all do."""
        for cls in classes[len(self.typical):]:
            self.typical.append(FIRST_GUESS * cls.aim)
            self.usual.append(FIRST_GUESS * cls.aim)

    def choose(self, t: Try, now: float) -> Backend | None:
        if not allowed(t, self.settings, now):
            return None
        best, least = None, inf
        typical = self.typical[t.ask.cls]
        for b in self.ready(t.crowd):
            key = b.entry.backend
            if now < b.rest_until or t.avoid == key:
                continue
            slots, out = self.places.slots.get(key, 1), len(b.out)
            if out >= slots * (1.0 + QUEUE):
                continue
            until, most = self.places.cold.get(key, (0.0, 0))
            slow = self.slowness(b, now)
            if now < until:
                if self._sent_lately(key, now) >= most:
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

    def press(self, crowd: Crowd, ratio: float, latency: float, now: float) -> None:
        super().press(crowd, ratio, latency, now)
        crowd.window = max(WINDOW_LEAST, crowd.window)
        crowd.rest_until = min(crowd.rest_until, now)


class Brief(Waiting):
    """Tries that no backend was offered are ended early: their clients may come again elsewhere in time."""

    def hold(self, t: Try, now: float) -> None:
        super().hold(t, now)
        if self.quotas.need(t, now):
            self.out.append(Need(t.customer.key, t.ask.units))
        if not t.reached and t.ask.request in self.line.held:
            t.last = min(t.last, t.came_at + HELD_PART * self.settings.classes[t.ask.cls].aim)
            self.out += self.timers.wake(PUMP_TOKEN, max(now, t.last), now)

    def refuse(self, t: Try, now: float, wait: float) -> None:
        self.quotas.fill(t.customer, now)
        over = self.quotas.over(t)
        long = over and not (self.quotas.thin(t.customer) and t.customer.key in self.quotas.soon)
        # One whose tenant asks for more than its quota has no room for as long as that lasts; for want of a lease, a
        # part or a backend a client does well to come again soon.
        super().refuse(t, now, max(wait, OVER_ADVICE) if long else min(MOST_ADVICE, max(wait, ADVICE)))
        if isinstance(last := self.out[-1], api.Refuse):
            last.over = over


class Decider(CelledController):
    """The decisions of one front."""

    QUOTAS, SELECTION, WAITING = Lent, Near, Brief

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.budgets: dict[str, Budget] = {}
        self.ratio, self.slack, self.span = 0.2, 0.0, 10.0  # of the budget, the last two of this front's part
        self.on |= {Catalogue: self._catalogue, Shares: self._lent, Places: self._placed, Given: self._given}

    # What the core tells

    def _catalogue(self, event: Catalogue, now: float) -> None:
        self.quotas.change(event.classes, event.plans, now)
        self.selection.learn_of(event.classes)
        self.waiting.pump(now)

    def _lent(self, event: Shares, now: float) -> None:
        self.slack = event.slack
        self.quotas.lend(event.shares, event.pooled, now)

    def _given(self, event: Given, now: float) -> None:
        for t in self.quotas.give(event, now):
            self.waiting.refuse(t, now, 0.0)
        self.waiting.pump(now)

    def _placed(self, event: Places, now: float) -> None:
        self.selection.take(event)

    def _admit(self, ask: api.Request, now: float) -> None:
        if self.barred:
            return self.out.append(api.Refuse(ask.request, MOST_ADVICE))
        super()._admit(ask, now)

    # Further tries

    def _place(self, t: Try, now: float) -> bool:
        first = not t.attempts
        if not first and not self._further(t, now):
            return False
        placed = super()._place(t, now)
        if placed:
            budget = self._budget(t, now)
            if first:
                budget.tokens = min(self.slack + 40.0, budget.tokens + 0.8 * self.ratio)
            elif t.reached:
                budget.tokens -= 1.0
        return placed

    def _budget(self, t: Try, now: float) -> Budget:
        service = t.ask.cell.partition("|")[0]
        budget = self.budgets.setdefault(service, Budget())
        budget.fill(self.slack, self.span, now)
        return budget

    def _further(self, t: Try, now: float) -> bool:
        """Whether one that a backend has had may be sent to another, by the budget that all share."""
        return not t.reached or self._budget(t, now).tokens >= 1.0

    def _again(self, t: Try, o: api.Outcome, now: float) -> bool:
        t.avoid = o.backend
        if t.attempts >= (t.ask.attempts or self.settings.max_attempts) or not self._further(t, now):
            return False
        return t.ran_at is None or allowed(t, self.settings, now)
