"""Bookkeeping without decisions: timers, request table, backends of the roster, token buckets."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Backend, ConcurrencyLimiter, Customer, PendingRequest

ROUNDING_UNITS = 1e-9  # smaller amounts are rounding errors
PERIOD_S, CHECK_S = 0.5, 0.02    # of regulation, short against bursts of seconds; between queue checks
PERIOD_TOKEN, CHECK_TOKEN = 1, 2
EWMA, FORGET_AFTER_S = 0.2, 15.0   # weight of a new value in an average; idle customers are evicted then
MIN_NOISE, FEW_INGRESSES = 0.2, 4.0   # least random part of a cost; with so few, own load tells most


class Timers:
    """One timer for each token, the earliest requested; timers that it replaced are stale."""

    def __init__(self, tick: float) -> None:
        self.tick = tick
        self.due_at: dict[int, float] = {}

    def schedule(self, token: int, at: float, now: float) -> list[api.Action]:
        """Return the timer to set so that the token is due by then; none if it is due sooner anyway."""
        if at >= self.due_at.get(token, inf):
            return []
        self.due_at[token] = at
        return [api.SetTimer(max(at - now, self.tick), token)]

    def expire(self, token: int, now: float) -> bool:
        """Clear the token's timer; returns False for a stale timer."""
        if now < self.due_at.get(token, inf) - self.tick:
            return False
        del self.due_at[token]
        return True


class RequestTable:
    """The open requests, those of them that wait, and the waiting units of each customer."""

    def __init__(self) -> None:
        self.open: dict[int, PendingRequest] = {}
        self.waiting: dict[int, PendingRequest] = {}

    def enqueue(self, req: PendingRequest) -> None:
        if req.request.request not in self.waiting:
            self.waiting[req.request.request] = req
            req.customer.queued[req.worth] = req.customer.queued.get(req.worth, 0.0) + req.request.units

    def dequeue(self, req: PendingRequest) -> bool:
        """Take the request out of the queue; returns whether it was waiting."""
        if self.waiting.pop(req.request.request, None) is None:
            return False
        # A rounding remainder must not count as waiting: its customer would never be evicted.
        if (left := req.customer.queued.pop(req.worth, 0.0) - req.request.units) > ROUNDING_UNITS:
            req.customer.queued[req.worth] = left
        return True

    def close(self, request: int) -> None:
        if (req := self.open.pop(request, None)) is not None:
            self.dequeue(req)

    def by_worth(self) -> list[PendingRequest]:
        return sorted(self.waiting.values(), key=lambda req: (-req.worth, req.request.request))


@dataclass(slots=True)
class Context:
    """State that all parts of one controller share."""

    settings: api.Settings
    random: Random
    started_at: float
    timers: Timers
    requests: RequestTable = field(default_factory=RequestTable)
    actions: list[api.Action] = field(default_factory=list)     # of the current event
    processes: int = 1          # processes that share this ingress

    @property
    def peer_uncertainty(self) -> float:
        return MIN_NOISE + (1.0 - MIN_NOISE) * max(0.0, 1.0 - FEW_INGRESSES / self.settings.ingresses)


class Policy:
    """Base of the parts of a controller: access to the context that they share."""

    def __init__(self, context: Context) -> None:
        self.context, self.random, self.requests = context, context.random, context.requests
        self.timers, self.actions = context.timers, context.actions

    @property
    def settings(self) -> api.Settings:
        return self.context.settings


class Fleet:
    """The backends of the roster, with their attempts in flight."""

    def __init__(self) -> None:
        self.backends: dict[object, Backend] = {}
        self.ready: list[Backend] = []          # those that accept requests, in the order of this ingress
        self.busy: dict[object, Backend] = {}   # those with attempts in flight
        self.in_flight = 0                      # attempts in flight at all of them
        self.probing: dict[object, list[PendingRequest]] = {}  # requests that wait for a probe, by backend

    def apply_roster(self, roster: api.Roster, random: Random, now: float) -> None:
        """Apply a full list or changes; a backend with a new start time counts as a new one."""
        if roster.kind is not api.RosterKind.CHANGES:
            named = {e.backend for e in roster.entries}
            for key, b in self.backends.items():
                b.entry.state = b.entry.state if key in named else api.BackendState.GONE
        for e in roster.entries:
            old = self.backends.get(e.backend)
            if old is None or (e.state is api.BackendState.READY and e.started_at != old.entry.started_at):
                b = self.backends[e.backend] = Backend(e, random.random(), now)
                if old is not None:  # attempts from before its restart may still end
                    b.rank, b.in_flight, b.load, b.streams = old.rank, old.in_flight, old.load, old.streams
                    self.busy.update({e.backend: b} if b.in_flight else {})
            else:
                old.entry = e
        for b in [b for b in self.backends.values() if b.entry.state is api.BackendState.GONE
                  and not b.in_flight and not b.streams]:
            del self.backends[b.entry.backend]
        self.ready = sorted((b for b in self.backends.values() if b.is_usable), key=lambda b: b.rank)

    def start_attempt(self, b: Backend, req: PendingRequest, work: float, aim: float, now: float) -> None:
        b.in_flight[req.request.request] = (work, max(now, req.arrived_at), aim, req)
        b.load, self.busy[b.entry.backend] = b.load + work, b
        req.customer.open += 1
        req.limiter.in_flight += 1
        req.limiter.spilled_in += req.is_spilling
        self.in_flight += 1

    def end_attempt(self, b: Backend, request: int) -> None:
        """Remove an attempt that ended, also if its client has left meanwhile."""
        req = self._free(b, request) if request in b.in_flight else b.streams.pop(request)
        req.customer.open -= 1

    def start_response(self, b: Backend, request: int) -> None:
        """The response is streaming: the backend's work is done; the attempt counts only for its customer."""
        b.streams[request] = self._free(b, request)

    def _free(self, b: Backend, request: int) -> PendingRequest:
        work, _, _, req = b.in_flight.pop(request)
        req.limiter.in_flight -= 1
        req.limiter.spilled_in -= req.is_spilling
        self.in_flight -= 1
        b.load = max(0.0, b.load - work) if b.in_flight else 0.0
        if not b.in_flight:
            self.busy.pop(b.entry.backend, None)
        return req

    def finish_probe(self, backend: object) -> list[PendingRequest]:
        """Return the requests for which this was the last outstanding probe."""
        waiting = self.probing.pop(backend, ())
        return [r for r in waiting if r.probed and all(b.entry.backend not in self.probing for b in r.probed)]

    def attempt_ages(self, now: float) -> dict[ConcurrencyLimiter, list[float]]:
        """Age of each attempt in flight over its class's aim, by limiter."""
        ages: dict[ConcurrencyLimiter, list[float]] = {}
        for b in self.busy.values():
            for _, sent, aim, req in b.in_flight.values():
                ages.setdefault(req.limiter, []).append((now - sent) / aim)
        return ages


def ceiling_part(c: Customer, plan: api.Plan) -> tuple[float, float]:
    """This ingress's part of the ceiling (burst, rate), without what counter replies cover."""
    rest, rate = plan.ceiling_burst - plan.burst * c.held, plan.ceiling_rate - plan.rate * c.held
    return max(0.0, rest) / c.width, max(0.0, rate) / c.width


def refill(c: Customer, plan: api.Plan, depth: float, cap_depth: float, now: float) -> None:
    """Refill a customer's buckets up to now: local quota, local ceiling, rate cap."""
    span, c.filled_at = now - c.filled_at, now
    c.level = min(max(depth, c.level), c.level + plan.rate * c.share * span)
    if plan.ceiling_rate:
        depth, rate = ceiling_part(c, plan)
        c.ceiling = min(depth, c.ceiling + rate * span)
    if c.cap is not None:
        c.cap_level = min(cap_depth, c.cap_level + c.cap * span)


def same_group(backends: list[Backend], entry: api.BackendEntry | None, name: str) -> list[Backend]:
    """The backends of the same zone or cell; none if the entry is unknown."""
    return [b for b in backends if entry is not None and getattr(b.entry, name) == getattr(entry, name)]


def used_since(c: Customer, total: float, added: float, now: float) -> tuple[float, float | None, float]:
    """Units taken here and at all ingresses (None: first total or lost count) since the last; seconds."""
    span, before = now - c.total_at, c.total
    own, c.taken, c.total, c.total_at = c.taken - c.fresh, c.fresh, total, now
    compares = span > 0.0 and before is not None and total - before >= added - 0.01
    return own, max(total - before, own) if compares else None, span


def settle(store: float, plan: api.Plan, used: float, span: float, silent: bool) -> float:
    """The store of all ingresses after `used` units in the `span` seconds since the previous total.

    Fills first, then subtracts the use, weighted by the cost of units over quota: a full store must not save
    up idle time.  After a counter silence the refill covers use first, as a full store never regains it."""
    filled = store + plan.rate * span
    used_first, dear = min(plan.burst, filled - used), 0.0 if silent else min(1.0, plan.over_cost)
    return used_first + dear * (min(plan.burst, filled) - used - used_first)


def evict_idle(customers: dict[int, Customer], most: int, before: float) -> None:
    """Evict customers not seen since `before`, checking only the `most` least recently seen."""
    for c in list(islice(customers.values(), most)):
        if c.seen_at >= before:
            return
        del customers[c.key]
        if c.open or c.queued or c.cap is not None:
            customers[c.key] = c    # moves it to the end, else it would keep those behind it in memory


def may_send(req: PendingRequest, settings: api.Settings, now: float) -> bool:
    """Whether the request's effect allows an attempt now; for keyed ones this ends with their window."""
    cls = settings.classes[req.request.cls]
    keyed = cls.effect is api.Effect.KEYED and req.ran_at is not None and now < req.ran_at + cls.window
    return req.ran_at is None or cls.effect is api.Effect.SAFE or keyed
