"""What ties the module's four concerns together; its types, events and actions stand in `interface.py`.

A request is placed (`_admit`) by its customer's `quotas`, held while it is short of something (`waiting`),
sent (`selection`), ended (`_outcome`); each period cuts or gives (`regulation`)."""

from __future__ import annotations

from random import Random

from fennelpoint import interface as api
from fennelpoint.bookkeeping import PERIOD_TOKEN, PUMP, Ground, Timers, allowed
from fennelpoint.queueing import Waiting
from fennelpoint.quotas import SHORT_FOR, Quotas
from fennelpoint.regulation import Regulation
from fennelpoint.selection import LATE_MARGIN, PAUSE_FULL, REST_MOST, Selection
from fennelpoint.state import Try

RETRY_SHARE, RETRY_BURST = 0.1, 10.0    # further attempts a first one, saved up


class Controller:
    """The decisions of one ingress: give it events, carry out the actions it returns."""

    QUOTAS, SELECTION, WAITING = Quotas, Selection, Waiting     # what another host has in their places

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.ground = ground = Ground(settings, Random(seed), now, Timers(settings.tick))
        self.random, self.line, self.timers, self.out = ground.random, ground.line, ground.timers, ground.out
        self.quotas, self.selection = self.QUOTAS(ground), self.SELECTION(ground)
        self.customers, self.regulation = self.quotas.customers, Regulation(ground, self.quotas.own_rate)
        self.fleet, self.crowd = self.selection.fleet, self.selection.crowd
        self.waiting = self.WAITING(ground, self.quotas, self.selection, self.regulation, self._place)
        self.barred, self.retries = False, RETRY_BURST  # nothing may go out; further attempts saved up
        self.on = {api.Request: self._admit, api.Outcome: self._outcome, api.Roster: self.selection.roster,
                   api.ProbeResult: self._probed, api.TimerDue: self._timer, api.CounterReply: self._counted,
                   api.ClientGone: self._gone, api.StreamStarted: self._began, api.Arrived: self._arrived,
                   api.Spent: self._spent, api.Barred: self._barred}   # optional parts attach their own

    def start(self, now: float) -> list[api.Action]:
        return [api.Subscribe()] if self.settings.discovery == "ask" else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.out.clear()
        self.on.get(type(event), lambda event, now: None)(event, now)
        return self.out[:]

    @property
    def settings(self) -> api.Settings:
        return self.ground.settings

    def _timer(self, due: api.TimerDue, now: float) -> None:
        if not self.timers.due(due.token, now):
            return
        if due.token == PERIOD_TOKEN:
            self.selection.age(now)
            self.regulation.period(now, bool(self.fleet.busy))
        else:
            self.waiting.pump(now)

    def _probed(self, probe: api.ProbeResult, now: float) -> None:
        for t in self.selection.probed(probe, now):
            t.not_before = now
            if t.ask.request in self.line.held and not self._place(t, now):
                self.waiting.hold(t, now)

    def _counted(self, reply: api.CounterReply, now: float) -> None:
        if (t := self.quotas.counted(reply, now)) is not None:
            self._enter(t, now)

    def _gone(self, event: api.ClientGone, now: float) -> None:
        if (t := self.line.open.get(event.request)) is not None:
            self.quotas.give_back(t, now)
            self.line.end(event.request)

    def _barred(self, event: api.Barred, now: float) -> None:
        """What waits is ended at once; what is out may still be answered."""
        self.barred = event.barred
        for t in list(self.line.held.values()) if self.barred else ():
            self.waiting.refuse(t, now, REST_MOST)

    def _admit(self, ask: api.Request, now: float) -> None:
        if self.barred:
            advice = min(self.settings.max_advice, REST_MOST) if self.settings.may_advise else 0.0
            return self.out.append(api.Refuse(ask.request, advice))
        c, settings = self.quotas.customer(ask, now), self.settings
        cls, plan = settings.classes[ask.cls], settings.plans[ask.plan]
        came = now + ask.coming
        ends = came + ask.time_left - 2 * PUMP - self.settings.tick  # the last answer that is surely in time
        half = came + ask.time_left / 2 - 2 * PUMP - self.settings.tick
        t = Try(ask, c, came + min(cls.aim, ask.time_left), ends, cls.worth * plan.price,
                self.selection.cells.get(ask.cell, self.crowd), half, came_at=came)
        self.line.open[ask.request], c.worth = t, max(c.worth, t.worth)
        if t.worth >= c.top or now - c.top_at > SHORT_FOR:
            c.top, c.top_at = t.worth, now
        self.quotas.fill(c, now)
        if c.asks and self.quotas.ask(t, now, self.regulation.pressed):
            return self.waiting.hold(t, now)
        self._enter(t, now)
        if not c.asks:
            self.quotas.count(c, now)

    def _enter(self, t: Try, now: float) -> None:
        """Send a new try, hold it while its aim can be met, or refuse it at once."""
        c, ask, plan = t.customer, t.ask, self.settings.plans[t.customer.plan]
        if not self.selection.route(t, now):
            return self.waiting.refuse(t, now, REST_MOST)
        # Guards dear tries that are wanted soon: the line is kept by worth, and cheap ones come after.
        ahead = c.ahead(t.worth)
        queued = t.inside is None and ahead > 0.0 and c.level < ahead + ask.units
        if not queued and (self._place(t, now) or ask.request in self.line.held):
            return
        wait = self.quotas.wait(t, ahead, now)
        margin = LATE_MARGIN * self.selection.usual[ask.cls]
        late = t.inside is False or now + max(0.0, wait) + margin > t.aim_at
        if t.inside is False and plan.rate:
            wait = max(wait, (ask.units - min(c.left, ask.units / 2)) / plan.rate)
        self.waiting.refuse(t, now, wait) if late else self.waiting.hold(t, now)

    def _place(self, t: Try, now: float) -> bool:
        """Send the try now if its quota, its cut and a backend allow it."""
        c, units, plan, inside = t.customer, t.ask.units, self.settings.plans[t.customer.plan], True
        draws = plan.ceiling_rate > 0.0 and not t.reached and not self.quotas.stands(t, now)
        if draws or not t.charged:
            self.quotas.fill(c, now)
        if draws and c.ceiling < units:
            return False
        if not t.charged:
            if c.cap is not None and c.cap_level < min(units, max(c.cap, self.settings.most_units)):
                return False
            inside = self.quotas.room(t, now)
            if not inside and (plan.over_worth <= 0.0 or self.regulation.pressed):
                c.short_at = now
                return False
        crowd, most = t.crowd, t.crowd.window if inside else t.crowd.window / 2
        if now < crowd.rest_until or crowd.quiet() >= max(1.0, most):
            return False
        before = t.picked
        if (b := self.selection.choose(t, now)) is None:
            if t.picked is not before:
                self.waiting.hold(t, now)   # for the answers of those that were picked
            return False
        t.drawn = units * draws
        c.ceiling -= t.drawn
        if not t.charged:
            self.quotas.take(t, inside, now)
            self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.line.release(t)
        first, work = not t.charged, self.selection.typical[t.ask.cls]
        t.charged, t.picked, t.attempts = True, None, t.attempts + 1
        self.fleet.send(b, t, work, self.settings.classes[t.ask.cls].aim, now)
        self.regulation.sent(c, units * first, work, now)
        self.out.append(api.Send(t.ask.request, b.entry.backend))
        return True

    def _spent(self, event: api.Spent, now: float) -> None:
        if (t := self.line.open.get(event.request)) is not None:
            t.spent = True

    def _arrived(self, event: api.Arrived, now: float) -> None:
        """A request that came slowly: its times count from its last byte, and a backend begins it there."""
        if (t := self.line.open.get(event.request)) is None:
            return
        later, t.came_at = now - t.came_at, now
        t.aim_at, t.ends, t.half, t.last = t.aim_at + later, t.ends + later, t.half + later, t.last + later
        for b in self.fleet.busy.values():
            if t.ask.request in b.out:
                work, _, aim, _ = b.out[t.ask.request]
                b.out[t.ask.request] = (work, now, aim, t)
        if t.ask.request in self.line.held:
            self.waiting.hold(t, now)

    def _began(self, event: api.StreamStarted, now: float) -> None:
        """An answer has begun to go out: the try is the client's from here, and is never sent again."""
        b, t = self.fleet.known.get(event.backend), self.line.open.get(event.request)
        if b is not None and event.request in b.out:
            o = api.Outcome(event.request, event.attempt, event.backend, api.Status.OK, event.latency, False)
            sent = b.out[event.request][3]
            self.fleet.begin(b, event.request)
            self.selection.learn(b, o, t, sent, now)
        if t is not None:
            self.regulation.answered(t, now)
            self.line.end(event.request)
        self.waiting.pump(now)

    def _outcome(self, o: api.Outcome, now: float) -> None:
        backend, t = self.fleet.known.get(o.backend), self.line.open.get(o.request)
        if backend is not None and o.request in backend.out:
            sent = backend.out[o.request][3]
            self.fleet.answer(backend, o.request)
            self.selection.learn(backend, o, t, sent, now)
        elif backend is not None and o.request in backend.begun:
            self.fleet.answer(backend, o.request)
            if o.status in (api.Status.RESET, api.Status.ERROR):    # its answer broke
                self.selection.fail(backend, now)
        if t is not None and (o.status is api.Status.OK or o.ended):
            self.regulation.answered(t, now)
            t.customer.level -= o.true_units - t.ask.units if o.true_units else 0.0  # where units are settled
            self.line.end(o.request)
        elif t is not None:
            if not o.status.never_ran and t.ran_at is None:
                t.ran_at, t.ran_on = now - o.latency, backend.entry if backend else None
            t.reached = t.reached or o.status not in (api.Status.CONNECT_FAILED, api.Status.MOOT)
            if not t.reached:   # what never came took nothing: it draws again when it is sent again
                t.customer.ceiling, t.drawn = t.customer.ceiling + t.drawn, 0.0
            t.not_before = now + PAUSE_FULL * t.attempts * (o.status in (api.Status.FULL, api.Status.MOOT))
            if self.barred or t.spent or now >= t.ends or not self._again(t, o, now):
                self.waiting.refuse(t, now, 0.0)
            elif now < t.not_before or not self._place(t, now):
                self.waiting.hold(t, now)
        self.waiting.pump(now)

    def _again(self, t: Try, o: api.Outcome, now: float) -> bool:
        """Whether it may be sent once more, by effect and a budget against retry storms; takes of that."""
        again = t.ran_at is not None
        barred = o.status is api.Status.TIMEOUT or self.retries < 1.0 or not allowed(t, self.settings, now)
        if t.attempts >= (t.ask.attempts or self.settings.max_attempts) or again and barred:
            return False
        self.retries -= again
        return True
