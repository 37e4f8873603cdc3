"""Bookkeeping that decides nothing: timers, the waiting line, the fleet as the roster tells it."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Backend, Crowd, Customer, Try

LEAST_UNITS = 1e-9  # less is what rounding leaves
PERIOD, PUMP = 0.5, 0.02    # s; short against bursts of seconds; s between looks at what waits
PERIOD_TOKEN, PUMP_TOKEN = 1, 2
LEARN, FORGET = 0.2, 15.0   # weight of a new figure; s after which an idle customer is forgotten
HERD, SEES = 0.2, 4.0   # least random part of a wait; ingresses up to which own work out tells most of it


class Timers:
    """One timer for each token: the soonest that was asked for; those that it replaced are stale."""

    def __init__(self, tick: float) -> None:
        self.tick = tick
        self.at: dict[int, float] = {}

    def wake(self, token: int, at: float, now: float) -> list[api.Action]:
        """The timer to set so that the token is due by then; none if one is due sooner."""
        if at >= self.at.get(token, inf):
            return []
        self.at[token] = at
        return [api.SetTimer(max(at - now, self.tick), token)]

    def due(self, token: int, now: float) -> bool:
        """Whether a timer that rings is not a stale one."""
        if now < self.at.get(token, inf) - self.tick:
            return False
        del self.at[token]
        return True


class Line:
    """The open tries, those among them that wait, and the units that each customer has waiting."""

    def __init__(self) -> None:
        self.open: dict[int, Try] = {}
        self.held: dict[int, Try] = {}

    def hold(self, t: Try) -> None:
        if t.ask.request not in self.held:
            self.held[t.ask.request] = t
            t.customer.waits[t.worth] = t.customer.waits.get(t.worth, 0.0) + t.ask.units

    def release(self, t: Try) -> bool:
        """Whether it was waiting."""
        if self.held.pop(t.ask.request, None) is None:
            return False
        # Guards the memory: what rounding leaves over would count as waiting, and keep its customer for good.
        if (left := t.customer.waits.pop(t.worth, 0.0) - t.ask.units) > LEAST_UNITS:
            t.customer.waits[t.worth] = left
        return True

    def end(self, request: int) -> None:
        if (t := self.open.pop(request, None)) is not None:
            self.release(t)

    def by_worth(self) -> list[Try]:
        return sorted(self.held.values(), key=lambda t: (-t.worth, t.ask.request))


@dataclass(slots=True)
class Ground:
    """What all concerns of one module stand on."""

    settings: api.Settings
    random: Random
    born: float
    timers: Timers
    line: Line = field(default_factory=Line)
    out: list[api.Action] = field(default_factory=list)     # of the event that is being handled
    parts: int = 1          # processes that are this ingress

    @property
    def blind(self) -> float:
        return HERD + (1.0 - HERD) * max(0.0, 1.0 - SEES / self.settings.ingresses)


class Concern:
    """One concern of the module: its own records, on the ground that all share."""

    def __init__(self, ground: Ground) -> None:
        self.ground, self.random, self.line = ground, ground.random, ground.line
        self.timers, self.out = ground.timers, ground.out

    @property
    def settings(self) -> api.Settings:
        return self.ground.settings


class Fleet:
    """The backends that the roster names, with what is out at them."""

    def __init__(self) -> None:
        self.known: dict[object, Backend] = {}
        self.ready: list[Backend] = []          # those that something may be sent to, in an order of our own
        self.busy: dict[object, Backend] = {}   # those with attempts out
        self.out = 0                            # attempts out at all of them
        self.probing: dict[object, list[Try]] = {}  # tries that wait for a backend's own word

    def follow(self, roster: api.Roster, random: Random, now: float) -> None:
        """Take in a list or its changes; a start that was not known is a new backend."""
        if roster.kind is not api.RosterKind.CHANGES:
            named = {e.backend for e in roster.entries}
            for key, b in self.known.items():
                b.entry.state = b.entry.state if key in named else api.BackendState.GONE
        for e in roster.entries:
            old = self.known.get(e.backend)
            if old is None or (e.state is api.BackendState.READY and e.started_at != old.entry.started_at):
                new = self.known[e.backend] = Backend(e, random.random(), now)
                if old is not None:  # what was out there before its restart may still be answered
                    new.rank, new.out, new.load, new.begun = old.rank, old.out, old.load, old.begun
                    self.busy.update({e.backend: new} if new.out else {})
            else:
                old.entry = e
        for b in [b for b in self.known.values() if b.entry.state is api.BackendState.GONE
                  and not b.out and not b.begun]:
            del self.known[b.entry.backend]
        self.ready = sorted((b for b in self.known.values() if b.usable), key=lambda b: b.rank)

    def send(self, b: Backend, t: Try, work: float, aim: float, now: float) -> None:
        b.out[t.ask.request] = (work, max(now, t.came_at), aim, t)
        b.load, self.busy[b.entry.backend] = b.load + work, b
        t.customer.open += 1
        t.crowd.out += 1
        t.crowd.spilt += t.spills
        self.out += 1

    def answer(self, b: Backend, request: int) -> None:
        """An attempt is not out any more, also where the client has left meanwhile."""
        t = self._free(b, request) if request in b.out else b.begun.pop(request)
        t.customer.open -= 1

    def begin(self, b: Backend, request: int) -> None:
        """Its answer is under way: the backend's work is done, and only its customer counts it as out."""
        b.begun[request] = self._free(b, request)

    def _free(self, b: Backend, request: int) -> Try:
        work, _, _, t = b.out.pop(request)
        t.crowd.out -= 1
        t.crowd.spilt -= t.spills
        self.out -= 1
        b.load = max(0.0, b.load - work) if b.out else 0.0
        if not b.out:
            self.busy.pop(b.entry.backend, None)
        return t

    def probed(self, backend: object) -> list[Try]:
        """The tries for which this was the last probe to be answered."""
        tries = self.probing.pop(backend, ())
        return [t for t in tries if t.picked and all(b.entry.backend not in self.probing for b in t.picked)]

    def ages(self, now: float) -> dict[Crowd, list[float]]:
        """How long each attempt is out, over its class's aim, by crowd."""
        ages: dict[Crowd, list[float]] = {}
        for b in self.busy.values():
            for _, sent, aim, t in b.out.values():
                ages.setdefault(t.crowd, []).append((now - sent) / aim)
        return ages


def part(c: Customer, plan: api.Plan) -> tuple[float, float]:
    """An ingress's own part of a ceiling, burst and rate: of what the counter's word does not stand for."""
    rest, rate = plan.ceiling_burst - plan.burst * c.held, plan.ceiling_rate - plan.rate * c.held
    return max(0.0, rest) / c.width, max(0.0, rate) / c.width


def fill(c: Customer, plan: api.Plan, depth: float, cap_depth: float, now: float) -> None:
    """Bring a customer's buckets up to now: its slice, its part of the ceiling, its cut."""
    span, c.filled = now - c.filled, now
    c.level = min(max(depth, c.level), c.level + plan.rate * c.share * span)
    if plan.ceiling_rate:
        depth, rate = part(c, plan)
        c.ceiling = min(depth, c.ceiling + rate * span)
    if c.cap is not None:
        c.cap_level = min(cap_depth, c.cap_level + c.cap * span)


def same_group(backends: list[Backend], entry: api.BackendEntry | None, part: str) -> list[Backend]:
    """Those of the same zone or cell; none where that is not known."""
    return [b for b in backends if entry is not None and getattr(b.entry, part) == getattr(entry, part)]


def new_total(c: Customer, total: float, added: float, now: float) -> tuple[float, float | None, float]:
    """What was taken here and everywhere since the last total, and how long ago that was.

    Everywhere it is not known at the first total, or when the counter has lost its count."""
    span, before = now - c.total_at, c.total
    own, c.own, c.total, c.total_at = c.own - c.fresh, c.fresh, total, now
    compares = span > 0.0 and before is not None and total - before >= added - 0.01
    return own, max(total - before, own) if compares else None, span


def settled(store: float, plan: api.Plan, used: float, span: float, silent: bool) -> float:
    """The store of all ingresses at a total: `used` units in the `span` s since the one before.

    Usually filled first, then used, as far as a unit beyond the quota costs as much as one that is served
    earns: guards against counting what a full store let run over while it was idle.  After a silence of the
    counter use takes from what came in meanwhile: all of it off a store that was full would not come back."""
    filled = store + plan.rate * span
    used_first, dear = min(plan.burst, filled - used), 0.0 if silent else min(1.0, plan.over_cost)
    return used_first + dear * (min(plan.burst, filled) - used - used_first)


def forget(customers: dict[int, Customer], most: int, before: float) -> None:
    """Drop customers that nothing was heard of since then, looking at the longest unseen ones only."""
    for c in list(islice(customers.values(), most)):
        if c.seen >= before:
            return
        del customers[c.key]
        if c.open or c.waits or c.cap is not None:
            customers[c.key] = c    # to the end: guards the memory, as it would hide all those behind it


def allowed(t: Try, settings: api.Settings, now: float) -> bool:
    """Whether the effect lets this try be sent now; time undoes that while a keyed one waits."""
    cls = settings.classes[t.ask.cls]
    keyed = cls.effect is api.Effect.KEYED and t.ran_at is not None and now < t.ran_at + cls.window
    return t.ran_at is None or cls.effect is api.Effect.SAFE or keyed
