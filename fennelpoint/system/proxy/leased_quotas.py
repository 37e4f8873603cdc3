"""Admission by quota shares that the registry leases, and by units of pools where shares would be too small."""

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

STARTUP_CREDIT_S = 1.0  # of a share's rate, in the bucket when a process gets its first shares
ALLOCATOR_SILENT_AFTER_S, TAKEOVER_S = 0.2, 1.9     # without an answer; until another machine allocates
DENIAL_MEMORY_S, REQUEST_MEMORY_S = 2.0, 5.0    # how long a denial, and a request for units, is remembered


class LeasedQuotas(Quotas):
    """Token buckets filled by the shares that the core leases; a customer without a share has none."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.shares: dict[int, float] = {}
        self.had_shares = self.has_pools = False
        self.has_lease = False
        self.no_lease_since = context.started_at
        self.pool_units: dict[int, deque] = {}  # (expiry, units) of pooled quotas, by customer
        self.requested_at: dict[int, float] = {}    # when units were requested, by request
        self.unanswered_since = inf     # when units were first requested since the last answer
        self.denied_at: dict[int, float] = {}   # when the pool last had no units left, by customer
        self.briefly_short: Set[int] = frozenset()  # customers in the last denial whose pool refills within moments
        self.share_raised_at: dict[int, float] = {}     # by customer; used where it has sent no request yet

    def is_pooled(self, customer: Customer) -> bool:
        """Whether a customer has no share here, as its quota is too small: each request draws on its pool."""
        return self.has_pools and customer.share == 0.0 and self.settings.plans[customer.plan].rate > 0.0

    def depth(self, customer: Customer) -> float:
        """Bucket depth in units: at least one unit for a share; without a share what was saved is lost."""
        return super().depth(customer) if customer.share > 0.0 else 0.0

    def available_units(self, key: int, now: float) -> float:
        """Units of the pool that this proxy holds for a customer."""
        batches = self.pool_units.get(key)
        while batches and batches[0][0] < now:
            batches.popleft()
        return sum(units for _, units in batches) if batches else 0.0

    def has_room(self, pending: PendingRequest, now: float) -> bool:
        if not self.is_pooled(pending.customer):
            return super().has_room(pending, now)
        return (
            pending.within_quota is None and self.available_units(pending.customer.key, now) >= pending.request.units
        )

    def charge(self, pending: PendingRequest, inside: bool, now: float) -> None:
        super().charge(pending, inside, now)
        self.requested_at.pop(pending.request.request, None)
        left = pending.request.units if inside and self.is_pooled(pending.customer) else 0.0
        batches = self.pool_units.get(pending.customer.key)
        while left > 0.0 and batches:
            expires_at, units = batches.popleft()
            if units > left:
                batches.appendleft((expires_at, units - left))
            left -= units

    def wait_s(self, pending: PendingRequest, ahead: float, now: float) -> float:
        return 0.0 if self.is_pooled(pending.customer) else super().wait_s(pending, ahead, now)

    def local_rate(self, customer: Customer, now: float) -> float:
        """Units per second; of a pooled quota no proxy knows its share, so a recent denial counts as over quota."""
        if not self.is_pooled(customer):
            return super().local_rate(customer, now)
        return (0.0 if now - self.denied_at.get(customer.key, -inf) < DENIAL_MEMORY_S
                else self.settings.plans[customer.plan].rate)

    def is_over_quota(self, pending: PendingRequest) -> bool:
        """Whether a request was refused because its tenant exceeds its quota, as far as this proxy can tell."""
        if not self.has_lease:
            return False
        if self.is_pooled(pending.customer):
            return pending.within_quota is False
        return (not pending.charged and self.settings.plans[pending.customer.plan].rate > 0.0
                and pending.customer.level < pending.request.units)

    def should_request_units(self, pending: PendingRequest, now: float) -> bool:
        """Whether to request units of the pool for a request; true at most once, as the request is recorded."""
        if pending.charged or pending.request.request in self.requested_at or not self.is_pooled(pending.customer):
            return False
        self.requested_at[pending.request.request] = now
        is_lost = now - self.unanswered_since > REQUEST_MEMORY_S
        self.unanswered_since = now if is_lost else min(self.unanswered_since, now)
        while self.requested_at and now - next(iter(self.requested_at.values())) > REQUEST_MEMORY_S:
            del self.requested_at[next(iter(self.requested_at))]    # bounds the memory: the client has gone
        return True

    def seconds_until_takeover(self, customer: Customer, now: float) -> float:
        """Seconds until another allocator may serve a customer; 0 if an allocator answers, or the time is unknown."""
        if self.settings.plans[customer.plan].rate <= 0.0 or self.has_lease and not self.is_pooled(customer):
            return 0.0
        silence = now - (self.unanswered_since if self.has_lease else self.no_lease_since)
        return max(0.0, TAKEOVER_S - silence) if silence > ALLOCATOR_SILENT_AFTER_S or not self.has_lease else 0.0

    def pop_unanswered(self, now: float) -> list[PendingRequest]:
        """Held requests whose request for units has no answer; it may be repeated, as a new allocator lacks it."""
        waiting = [pending for pending in self.requests.waiting.values()
                   if now - self.requested_at.get(pending.request.request, now) > ALLOCATOR_SILENT_AFTER_S]
        for pending in waiting:
            del self.requested_at[pending.request.request]
        return waiting

    def add_units(self, event: UnitsGranted, now: float) -> list[PendingRequest]:
        """Add units of the pool; returns the requests that were denied units, the cheapest and latest first."""
        self.unanswered_since = inf
        for key, units in event.units.items():
            self.pool_units.setdefault(key, deque()).append((event.expires_at, units))
        out, self.briefly_short = [], event.briefly_short
        for key, units in event.denied.items():
            if key not in event.briefly_short:
                self.denied_at[key] = now
            waiting = [pending for pending in self.requests.waiting.values()
                       if pending.customer.key == key and pending.request.request in self.requested_at]
            for pending in sorted(waiting, key=lambda pending: (pending.worth, -pending.request.request)):
                if units <= 0.0:
                    break
                units, pending.within_quota = units - pending.request.units, False
                out.append(pending)
        return out

    def set_shares(self, shares: dict[int, float], has_pools: bool, now: float) -> None:
        """Replace the shares, by customer: a smaller share takes effect at once, a larger one fills with time."""
        if self.has_lease and not shares and not has_pools:
            self.no_lease_since = now
        self.has_lease = bool(shares) or has_pools
        is_first = bool(shares) and not self.had_shares
        raised = {key for key, share in shares.items() if share > self.shares.get(key, 0.0)}
        since = max(self.context.started_at, now - STARTUP_CREDIT_S) if is_first else now
        self.share_raised_at = {key: since if key in raised else self.share_raised_at[key] for key in shares}
        self.had_shares, self.shares, self.has_pools = self.had_shares or is_first, shares, has_pools
        for customer in self.customers.values():
            if is_first:    # no other proxy held this share while the process started; credit for 1 s at most
                customer.filled_at = since
            else:
                self.fill(customer, now)
            customer.share = shares.get(customer.key, 0.0)
            customer.level = min(customer.level, self.depth(customer))

    def update_plans(self, classes: list[api.RequestClass], plans: list[api.Plan], now: float) -> None:
        """Replace classes and plans: buckets fill by the old rates until now, and are capped at the new depth."""
        for customer in self.customers.values():
            self.fill(customer, now)
        self.context.settings = replace(self.settings, classes=classes, plans=plans)
        self.odds = [[EVEN_ODDS] * len(classes) for _ in plans]
        for customer in self.customers.values():
            customer.level = min(customer.level, self.depth(customer))

    def customer(self, ask: api.Request, now: float) -> Customer:
        if (customer := self.customers.pop(ask.customer, None)) is None:
            plan, share = self.settings.plans[ask.plan], self.shares.get(ask.customer, 0.0)
            # Guards the total over restarts and over shares that move: what other proxies took by this share before
            # is unknown, so the bucket starts with what has flowed in since the share came to this proxy.
            since = self.share_raised_at.get(ask.customer, now)
            customer = Customer(ask.customer, ask.plan, 1.0, share, 0.0, store=plan.burst, filled_at=since,
                                total_at=now, count_at=inf)
        self.customers[ask.customer], customer.seen_at, customer.plan = customer, now, ask.plan
        return customer
