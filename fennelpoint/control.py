"""Controller of one ingress: routes events (see `interface.py`) through admission by `quotas`, waiting in
`wait_queue`, the choice of a backend by `selection`, outcome or retry, and rate caps by `regulation`."""

from __future__ import annotations

from random import Random

from fennelpoint import interface as api
from fennelpoint.bookkeeping import CHECK_S, PERIOD_TOKEN, Context, Timers, may_send
from fennelpoint.queueing import WaitQueue
from fennelpoint.quotas import SHORT_FOR_S, Quotas
from fennelpoint.regulation import Regulation
from fennelpoint.selection import AIM_MARGIN, FULL_PAUSE_S, MAX_REST_S, Selection
from fennelpoint.state import PendingRequest

RETRY_SHARE, RETRY_BURST = 0.1, 10.0    # retry budget: retries earned by a first attempt; most saved up


class Controller:
    """Makes the decisions of one ingress: takes events and returns the actions to carry out, in order."""

    QUOTAS, SELECTION, WAIT_QUEUE = Quotas, Selection, WaitQueue     # subclasses replace these

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.context = c = Context(settings, Random(seed), now, Timers(settings.tick))
        self.random, self.requests, self.timers, self.actions = c.random, c.requests, c.timers, c.actions
        self.quotas, self.selection = self.QUOTAS(c), self.SELECTION(c)
        self.customers, self.regulation = self.quotas.customers, Regulation(c, self.quotas.local_rate)
        self.fleet, self.limiter = self.selection.fleet, self.selection.limiter
        self.wait_queue = self.WAIT_QUEUE(c, self.quotas, self.selection, self.regulation, self._try_send)
        self.barred, self.retries = False, RETRY_BURST  # sending is barred; retries left in the budget
        self.handlers = {
            api.Request: self._admit, api.Outcome: self._outcome, api.Roster: self.selection.update_roster,
            api.ProbeResult: self._probe_result, api.TimerDue: self._timer, api.CounterReply: self._counted,
            api.ClientGone: self._client_gone, api.StreamStarted: self._stream_started,
            api.BodyReceived: self._arrived, api.BodyReleased: self._body_released, api.Barred: self._bar}

    def start(self, now: float) -> list[api.Action]:
        return [api.Subscribe()] if self.settings.discovery == "ask" else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions.clear()
        self.handlers.get(type(event), lambda event, now: None)(event, now)
        return self.actions[:]

    @property
    def settings(self) -> api.Settings:
        return self.context.settings

    def _timer(self, due: api.TimerDue, now: float) -> None:
        if not self.timers.expire(due.token, now):
            return
        if due.token == PERIOD_TOKEN:
            self.selection.check_attempt_ages(now)
            self.regulation.run_period(now, bool(self.fleet.busy))
        else:
            self.wait_queue.dispatch(now)

    def _probe_result(self, probe: api.ProbeResult, now: float) -> None:
        for req in self.selection.finish_probe(probe, now):
            req.not_before = now
            if req.request.request in self.requests.waiting and not self._try_send(req, now):
                self.wait_queue.enqueue(req, now)

    def _counted(self, reply: api.CounterReply, now: float) -> None:
        if (req := self.quotas.counter_replied(reply, now)) is not None:
            self._send_or_queue(req, now)

    def _client_gone(self, event: api.ClientGone, now: float) -> None:
        if (req := self.requests.open.get(event.request)) is not None:
            self.quotas.refund(req, now)
            self.requests.close(event.request)

    def _bar(self, event: api.Barred, now: float) -> None:
        """Refuse all waiting requests at once; attempts in flight may still be answered."""
        self.barred = event.barred
        for req in list(self.requests.waiting.values()) if self.barred else ():
            self.wait_queue.refuse(req, now, MAX_REST_S)

    def _admit(self, request: api.Request, now: float) -> None:
        if self.barred:
            advice = min(self.settings.max_advice, MAX_REST_S) if self.settings.may_advise else 0.0
            return self.actions.append(api.Refuse(request.request, advice))
        c, settings = self.quotas.customer(request, now), self.settings
        cls, plan = settings.classes[request.cls], settings.plans[request.plan]
        start = now + request.coming
        end = start + request.time_left - 2 * CHECK_S - self.settings.tick  # an answer by then is in time
        half = start + request.time_left / 2 - 2 * CHECK_S - self.settings.tick
        req = PendingRequest(request, c, start + min(cls.aim, request.time_left), end, cls.worth * plan.price,
                             self.selection.cells.get(request.cell, self.limiter), half, arrived_at=start)
        self.requests.open[request.request], c.worth = req, max(c.worth, req.worth)
        if req.worth >= c.top or now - c.top_at > SHORT_FOR_S:
            c.top, c.top_at = req.worth, now
        self.quotas.fill(c, now)
        if c.asks and self.quotas.consult_counter(req, now, self.regulation.is_overloaded):
            return self.wait_queue.enqueue(req, now)
        self._send_or_queue(req, now)
        if not c.asks:
            self.quotas.count(c, now)

    def _send_or_queue(self, req: PendingRequest, now: float) -> None:
        """Send a new request, queue it if it can still meet its latency aim, or refuse it at once."""
        c, request, plan = req.customer, req.request, self.settings.plans[req.customer.plan]
        if not self.selection.route(req, now):
            return self.wait_queue.refuse(req, now, MAX_REST_S)
        # Counts requests of the same worth or more: cheaper ones must not delay an urgent, valuable one.
        ahead = c.ahead(req.worth)
        queued = req.within_quota is None and ahead > 0.0 and c.level < ahead + request.units
        if not queued and (self._try_send(req, now) or request.request in self.requests.waiting):
            return
        wait = self.quotas.wait_s(req, ahead, now)
        margin = AIM_MARGIN * self.selection.usual[request.cls]
        late = req.within_quota is False or now + max(0.0, wait) + margin > req.aim_at
        if req.within_quota is False and plan.rate:
            wait = max(wait, (request.units - min(c.left, request.units / 2)) / plan.rate)
        self.wait_queue.refuse(req, now, wait) if late else self.wait_queue.enqueue(req, now)

    def _try_send(self, req: PendingRequest, now: float) -> bool:
        """Send the request now if its quota, its ceiling, its rate cap and a backend allow it."""
        c, units, plan, within = req.customer, req.request.units, self.settings.plans[req.customer.plan], True
        capped = plan.ceiling_rate > 0.0 and not req.reached and not self.quotas.counter_covers(req, now)
        if capped or not req.charged:
            self.quotas.fill(c, now)
        if capped and c.ceiling < units:
            return False
        if not req.charged:
            if c.cap is not None and c.cap_level < min(units, max(c.cap, self.settings.most_units)):
                return False
            within = self.quotas.has_room(req, now)
            if not within and (plan.over_worth <= 0.0 or self.regulation.is_overloaded):
                c.short_at = now
                return False
        limiter, limit = req.limiter, req.limiter.window if within else req.limiter.window / 2
        if now < limiter.rest_until or limiter.live_in_flight() >= max(1.0, limit):
            return False
        before = req.probed
        if (b := self.selection.choose(req, now)) is None:
            if req.probed is not before:
                self.wait_queue.enqueue(req, now)   # until the probed backends answer
            return False
        req.ceiling_units = units * capped
        c.ceiling -= req.ceiling_units
        if not req.charged:
            self.quotas.charge(req, within, now)
            self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.requests.dequeue(req)
        first, work = not req.charged, self.selection.typical[req.request.cls]
        req.charged, req.probed, req.attempts = True, None, req.attempts + 1
        self.fleet.start_attempt(b, req, work, self.settings.classes[req.request.cls].aim, now)
        self.regulation.record_sent(c, units * first, work, now)
        self.actions.append(api.Send(req.request.request, b.entry.backend))
        return True

    def _body_released(self, event: api.BodyReleased, now: float) -> None:
        if (req := self.requests.open.get(event.request)) is not None:
            req.body_released = True

    def _arrived(self, event: api.BodyReceived, now: float) -> None:
        """Shift all times of a slow upload to its last byte: the backend starts to process it only then."""
        if (req := self.requests.open.get(event.request)) is None:
            return
        later, req.arrived_at = now - req.arrived_at, now
        req.aim_at, req.ends_at, req.half_time_at, req.wait_until = (
            req.aim_at + later, req.ends_at + later, req.half_time_at + later, req.wait_until + later)
        for b in self.fleet.busy.values():
            if req.request.request in b.in_flight:
                work, _, aim, _ = b.in_flight[req.request.request]
                b.in_flight[req.request.request] = (work, now, aim, req)
        if req.request.request in self.requests.waiting:
            self.wait_queue.enqueue(req, now)

    def _stream_started(self, event: api.StreamStarted, now: float) -> None:
        """The response has begun to reach the client: the request is closed here and is never retried."""
        b, req = self.fleet.backends.get(event.backend), self.requests.open.get(event.request)
        if b is not None and event.request in b.in_flight:
            ok = api.Outcome(event.request, event.attempt, event.backend, api.Status.OK, event.latency, False)
            attempt_of = b.in_flight[event.request][3]
            self.fleet.start_response(b, event.request)
            self.selection.record_outcome(b, ok, req, attempt_of, now)
        if req is not None:
            self.regulation.record_latency(req, now)
            self.requests.close(event.request)
        self.wait_queue.dispatch(now)

    def _outcome(self, outcome: api.Outcome, now: float) -> None:
        backend, req = self.fleet.backends.get(outcome.backend), self.requests.open.get(outcome.request)
        if backend is not None and outcome.request in backend.in_flight:
            attempt_of = backend.in_flight[outcome.request][3]
            self.fleet.end_attempt(backend, outcome.request)
            self.selection.record_outcome(backend, outcome, req, attempt_of, now)
        elif backend is not None and outcome.request in backend.streams:
            self.fleet.end_attempt(backend, outcome.request)
            if outcome.status in (api.Status.RESET, api.Status.ERROR):    # the response was cut off
                self.selection.penalize(backend, now)
        if req is not None and (outcome.status is api.Status.OK or outcome.ended):  # settles the true cost
            self.regulation.record_latency(req, now)
            req.customer.level -= outcome.true_units - req.request.units if outcome.true_units else 0.0
            self.requests.close(outcome.request)
        elif req is not None:
            if not outcome.status.never_ran and req.ran_at is None:
                req.ran_at, req.ran_on = now - outcome.latency, backend.entry if backend else None
            req.reached = req.reached or outcome.status not in (api.Status.CONNECT_FAILED, api.Status.MOOT)
            if not req.reached:   # no backend got it: a retry takes its ceiling units anew
                req.customer.ceiling, req.ceiling_units = req.customer.ceiling + req.ceiling_units, 0.0
            req.not_before = now + FULL_PAUSE_S * req.attempts * (
                outcome.status in (api.Status.FULL, api.Status.MOOT))
            if self.barred or req.body_released or now >= req.ends_at or not self._retry(req, outcome, now):
                self.wait_queue.refuse(req, now, 0.0)
            elif now < req.not_before or not self._try_send(req, now):
                self.wait_queue.enqueue(req, now)
        self.wait_queue.dispatch(now)

    def _retry(self, req: PendingRequest, o: api.Outcome, now: float) -> bool:
        """Whether a retry is allowed by the request's effect and by the retry budget, which it then uses."""
        may_have_run = req.ran_at is not None
        denied = o.status is api.Status.TIMEOUT or self.retries < 1.0 or not may_send(req, self.settings, now)
        if req.attempts >= (req.request.attempts or self.settings.max_attempts) or may_have_run and denied:
            return False
        self.retries -= may_have_run
        return True
