"""Admission by shares of quotas that the registry leases, and by units of a pool where shares are too thin."""

from __future__ import annotations

from collections import deque
from collections.abc import Set
from dataclasses import replace
from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import Context
from fennelpoint.quotas import EVEN_ODDS, Quotas
from fennelpoint.state import Customer, PendingRequest
from fennelpoint.system.proxy.events import UnitsGranted

FRESH = 1.0         # s of an own share that a process has saved up when it begins
SILENT, TAKEOVER = 0.2, 1.9     # s without an answer after which nobody may allocate; s until another one does so
DENIED, FORGET_NEED = 2.0, 5.0  # s that one counts as over its quota after a denial; that an ask is remembered


class LeasedQuotas(Quotas):
    """Quotas by the parts that the core lends: one that is not told is none."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.shares: dict[int, float] = {}
        self.leased = self.pools = False
        self.lent = False       # something is lent now
        self.unlent_since = context.started_at
        self.granted: dict[int, deque] = {}       # units of the pool, by customer: until when, and how many
        self.needed: dict[int, float] = {}      # tries that units were asked for, and when
        self.unanswered_since = inf     # when units were first asked for since the last answer
        self.denied_at: dict[int, float] = {}   # when the pool last had none, by customer
        self.soon: Set[int] = frozenset()       # who was denied for a moment only
        self.raised_at: dict[int, float] = {}   # when the share of one that has asked for nothing yet last grew

    def thin(self, c: Customer) -> bool:
        """Whether it has no part of its own here: too many fronts share too little, and each try asks the pool."""
        return self.pools and c.share == 0.0 and self.settings.plans[c.plan].rate > 0.0

    def depth(self, c: Customer) -> float:
        """A share saves one unit at least; what was saved by a share that is gone is gone with it."""
        return super().depth(c) if c.share > 0.0 else 0.0

    def pooled(self, key: int, now: float) -> float:
        """Units of the pool that are here."""
        held = self.granted.get(key)
        while held and held[0][0] < now:
            held.popleft()
        return sum(units for _, units in held) if held else 0.0

    def has_room(self, t: PendingRequest, now: float) -> bool:
        if not self.thin(t.customer):
            return super().has_room(t, now)
        return t.within_quota is None and self.pooled(t.customer.key, now) >= t.request.units

    def charge(self, t: PendingRequest, inside: bool, now: float) -> None:
        super().charge(t, inside, now)
        self.needed.pop(t.request.request, None)
        left = t.request.units if inside and self.thin(t.customer) else 0.0
        held = self.granted.get(t.customer.key)
        while left > 0.0 and held:
            until, units = held.popleft()
            if units > left:
                held.appendleft((until, units - left))
            left -= units

    def wait_s(self, t: PendingRequest, ahead: float, now: float) -> float:
        return 0.0 if self.thin(t.customer) else super().wait_s(t, ahead, now)

    def local_rate(self, c: Customer, now: float) -> float:
        """Of one in the pool no front knows its part: it is over its quota where the pool has denied it lately."""
        if not self.thin(c):
            return super().local_rate(c, now)
        return 0.0 if now - self.denied_at.get(c.key, -inf) < DENIED else self.settings.plans[c.plan].rate

    def over(self, t: PendingRequest) -> bool:
        """Whether it was refused because its tenant asks for more than its quota, as far as that is known."""
        if not self.lent:
            return False
        if self.thin(t.customer):
            return t.within_quota is False
        return (not t.charged and self.settings.plans[t.customer.plan].rate > 0.0
                and t.customer.level < t.request.units)

    def need(self, t: PendingRequest, now: float) -> bool:
        """Whether units are to be asked for it: once."""
        if t.charged or t.request.request in self.needed or not self.thin(t.customer):
            return False
        self.needed[t.request.request] = now
        long_ago = now - self.unanswered_since > FORGET_NEED    # a draw that was lost
        self.unanswered_since = now if long_ago else min(self.unanswered_since, now)
        while self.needed and now - next(iter(self.needed.values())) > FORGET_NEED:
            del self.needed[next(iter(self.needed))]    # guards the memory: its client has gone
        return True

    def until_takeover(self, c: Customer, now: float) -> float:
        """Seconds until there may be units for it, where nobody lends or answers for them; 0: that is not known."""
        if self.settings.plans[c.plan].rate <= 0.0 or self.lent and not self.thin(c):
            return 0.0
        silence = now - (self.unanswered_since if self.lent else self.unlent_since)
        return max(0.0, TAKEOVER - silence) if silence > SILENT or not self.lent else 0.0

    def unanswered(self, now: float) -> list[PendingRequest]:
        """Tries that still wait for units which nobody answered for: a new allocator has not heard of them."""
        waiting = [t for t in self.requests.waiting.values()
                   if now - self.needed.get(t.request.request, now) > SILENT]
        for t in waiting:
            del self.needed[t.request.request]
        return waiting

    def grant(self, event: UnitsGranted, now: float) -> list[PendingRequest]:
        """Units have come; the tries for which there are none, the cheapest and latest ones."""
        self.unanswered_since = inf
        for key, units in event.units.items():
            self.granted.setdefault(key, deque()).append((event.until, units))
        out, self.soon = [], event.soon
        for key, units in event.denied.items():
            if key not in event.soon:
                self.denied_at[key] = now
            waiting = [t for t in self.requests.waiting.values()
                       if t.customer.key == key and t.request.request in self.needed]
            for t in sorted(waiting, key=lambda t: (t.worth, -t.request.request)):
                if units <= 0.0:
                    break
                units, t.within_quota = units - t.request.units, False
                out.append(t)
        return out

    def lease(self, shares: dict[int, float], pools: bool, now: float) -> None:
        """What is taken back is gone at once; what is given fills with time."""
        if self.lent and not shares and not pools:
            self.unlent_since = now
        self.lent = bool(shares) or pools
        fresh = bool(shares) and not self.leased
        raised = {key for key, share in shares.items() if share > self.shares.get(key, 0.0)}
        since = max(self.context.started_at, now - FRESH) if fresh else now
        self.raised_at = {key: since if key in raised else self.raised_at[key] for key in shares}
        self.leased, self.shares, self.pools = self.leased or fresh, shares, pools
        for c in self.customers.values():
            if fresh:   # nobody else was lent our part while we started; a second of it at most
                c.filled_at = since
            else:
                self.fill(c, now)
            c.share = shares.get(c.key, 0.0)
            c.level = min(c.level, self.depth(c))

    def change(self, classes: list[api.RequestClass], plans: list[api.Plan], now: float) -> None:
        """Other figures: what came in by now came by those before, and no store holds more than they allow."""
        for c in self.customers.values():
            self.fill(c, now)
        self.context.settings = replace(self.settings, classes=classes, plans=plans)
        self.odds = [[EVEN_ODDS] * len(classes) for _ in plans]
        for c in self.customers.values():
            c.level = min(c.level, self.depth(c))

    def customer(self, ask: api.Request, now: float) -> Customer:
        if (c := self.customers.pop(ask.customer, None)) is None:
            plan, share = self.settings.plans[ask.plan], self.shares.get(ask.customer, 0.0)
            # Guards the sum over a restart, and over shares that move: what others took by this share before is not
            # known, so it starts with what came in since it came here.
            since = self.raised_at.get(ask.customer, now)
            c = Customer(ask.customer, ask.plan, 1.0, share, 0.0, store=plan.burst, filled_at=since,
                         total_at=now, count_at=inf)
        self.customers[ask.customer], c.seen_at, c.plan = c, now, ask.plan
        return c
