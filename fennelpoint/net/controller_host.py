"""The one owner of the decision module, its clock, timers and request ids.

Everything that happens on the sockets comes here, becomes an `interface` event, and each action that
the module answers with is carried out, in order.  The host keeps what is needed to give every request
exactly one answer; whom to send it to, and whether, is the module's alone.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget, Upload
from fennelpoint.control import Controller
from fennelpoint.invariants import Invariant, violations
from fennelpoint.net.backends import Answer, Backends, Exchange, load_report
from fennelpoint.net.controller_runtime import Clock, Driver
from fennelpoint.net.counter import Counter
from fennelpoint.rate_limited_log import complain, log

LEFT_AT_WORK = 0.5  # s after its client left, within which the work for a repeatable request has to end


@dataclass(slots=True)
class Departures:
    """Clients that left with attempts out, and what became of these."""

    clients: int = 0
    ended: int = 0      # attempts that were given up with the client
    running: int = 0    # attempts that were left to run


class Confining(Protocol):
    """What confines customers to cells, where the operator file names a plan."""

    def cell_of(self, customer: int) -> str: ...
    def sent(self, customer: int, node: str) -> None: ...
    def ended(self, customer: int, node: str, status: api.Status) -> None: ...


class Source(Protocol):
    """Where an answer that is passed on as it comes is read from."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Client(Protocol):
    """Where a request's answer goes: at once by `served`, or from `begin` to `done` or `broken`."""

    def served(self, answer: Answer) -> None: ...
    def begin(self, answer: Answer, source: Source) -> None: ...
    def more(self, data: bytes) -> None: ...
    def done(self) -> None: ...
    def broken(self) -> None: ...
    def taken_on(self) -> None: ...
    def hung_up(self) -> bool: ...
    def refused(self, retry_after: float) -> None: ...
    def failed(self) -> None: ...


@dataclass(slots=True)
class Asked:
    """A client's request as the server read it: what the module is told of it, and what goes on."""

    txn: bytes
    cls: int
    plan: int
    customer: int
    time_left: float
    units: float
    width: float
    first: float
    is_repeat: bool
    is_write: bool
    head: bytes     # request line and end-to-end fields, without the time left
    body: bytes
    bare: bool = False  # a HEAD: the client wants no body
    upload: Upload | None = None    # its body, where that is passed on as it comes
    coming: float = 0.0     # s in which the rest of that should come
    cell: str = ""          # the backends that may serve it, where the reader knows
    attempts: int = 0       # most backends that it may be sent to; 0: by the settings

    def render(self, left: float, backend: object = None) -> bytes:
        """The bytes for a backend that is waited for this many seconds."""
        return b"%bX-Remaining-Ms: %d\r\n\r\n%b" % (self.head, max(1, int(left * 1000)), self.body)


@dataclass(slots=True, eq=False)
class Ticket:
    """An open request; it lives until its answer is given and nothing of it is out any more."""

    id: int
    asked: Asked
    client: Client | None   # none once it is answered or gone
    deadline: float
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    begun: bool = False     # its answer has begun to go out: there is no deadline any more
    last: Answer | None = None  # a backend's whole answer that was no success
    out: dict[int, Exchange] = field(default_factory=dict)

    def taken(self) -> None:
        """Some of its body, that is passed on as it comes, has been written."""
        if self.client is not None:
            self.client.taken_on()


class Host:
    """Drives the module from socket events and its actions back to the sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: api.Settings, seed: int,
                 backends: Backends, counter: Counter | None, budget: Budget,
                 decider: type[Controller] | None = None) -> None:
        self.loop, self.settings, self.backends, self.budget = loop, settings, backends, budget
        self.clock = Clock()
        self.cells: Confining | None = None  # where the operator file names a plan
        self.gate: Callable[[], bool] | None = None     # whether anything may be sent; asked before each send
        self.watchers: list[Callable[[api.Roster], None]] = []  # hear of a list before the module does
        driver = Driver(loop, self.clock, counter, self.post)
        self.tickets: dict[int, Ticket] = {}
        self.open_ids: set[bytes] = set()   # of the tickets, as the clients named them
        self.waiting = 0        # requests without an answer yet
        self.departures = Departures()      # since they were last taken
        self.last_id = 0
        self._events: deque[api.Event] = deque()
        self._delivering = False
        self._do: dict[type, Callable] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail,
            api.CancelAttempt: self._cancel, api.SetTimer: driver.set_timer, api.Probe: self._probe,
            api.Count: driver.count, api.CloseIdle: lambda a: self.backends.close_idle(a.backend),
            api.Log: lambda a: log.info("%s", a.text),
            # The watch on discovery never ends and asks for the whole list after a gap by itself.
            api.Subscribe: lambda a: None, api.FetchRoster: lambda a: None}
        self.controller = (decider or Controller)(settings, seed, self.clock())
        self._carry_out(self.controller.start(self.clock()))

    # Events

    def post(self, event: api.Event) -> None:
        """Give the module an event, after those that came before; actions may cause further ones."""
        self._events.append(event)
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._events:
                self._deliver(self._events.popleft())
        finally:
            self._delivering = False

    def _deliver(self, event: api.Event) -> None:
        try:
            actions = self.controller.handle(event, self.clock())
        except Exception:
            # Guards the rule on lost requests: a defect costs the request at hand, not the process.
            log.exception("the decision module failed on %r", event)
            ticket = self.tickets.get(getattr(event, "request", -1))
            if ticket is not None and not ticket.out:
                self._finish(ticket, lambda client: client.failed())
            return
        self._carry_out(actions)

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if (do := self._do.get(type(action))) is not None:
                do(action)
            else:
                complain("host", "the module asked for %s, which is not served here", type(action).__name__)

    def follow(self, roster: api.Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """What discovery told: the sockets keep to it from now on, then the module hears of it."""
        self.backends.follow(roster, addresses)
        for watch in self.watchers:
            watch(roster)
        self.post(roster)

    def admit(self, client: Client, asked: Asked) -> int:
        """Take a request whose last byte has come; its id, for `gone`."""
        self.last_id += 1
        ticket = Ticket(self.last_id, asked, client, self.clock() + asked.time_left)
        if asked.upload is not None:    # counted from its last byte; the server ends one that never comes
            ticket.deadline = inf
        self.tickets[ticket.id] = ticket
        self.open_ids.add(asked.txn)
        self.waiting += 1
        if asked.upload is None:
            ticket.timer = self.loop.call_later(asked.time_left, self._expire, ticket)
        self.post(api.Request(ticket.id, asked.cls, asked.plan, asked.customer, asked.time_left, asked.units,
                              asked.width, asked.first, asked.is_repeat, asked.is_write, asked.coming,
                              self.cells.cell_of(asked.customer) if self.cells is not None else asked.cell,
                              asked.attempts))
        return ticket.id

    def came(self, request: int) -> None:
        """More of the body of a request that is passed on as it comes, or its last byte."""
        if (ticket := self.tickets.get(request)) is None:
            return
        if ticket.asked.upload.whole and ticket.timer is None and not ticket.begun:
            ticket.deadline = self.clock() + ticket.asked.time_left
            ticket.timer = self.loop.call_later(ticket.asked.time_left, self._expire, ticket)
            self.post(api.BodyReceived(request))
        for exchange in list(ticket.out.values()):
            exchange.push()

    def is_open(self, txn: bytes) -> bool:
        """Whether a request of this id has no answer yet, or may still be with a backend."""
        return txn in self.open_ids

    def gone(self, request: int) -> None:
        """The client has closed its connection: nobody is owed an answer, and its work ends where it may."""
        ticket = self.tickets.get(request)
        if ticket is not None and ticket.client is not None:
            out = len(ticket.out)
            self._finish(ticket, lambda client: None)
            self.post(api.ClientGone(request))
            self._drop_useless(ticket)
            self._departed(ticket, out)

    def _departed(self, ticket: Ticket, out: int) -> None:
        """Count a client that left with so many attempts out, and look later at what must have ended by then."""
        if not out:
            return
        running = len(ticket.out)
        self.departures.clients += 1
        self.departures.ended += out - running
        self.departures.running += running
        if running and not ticket.asked.is_write:
            self.loop.call_later(LEFT_AT_WORK, self._check_ended, ticket)

    @staticmethod
    def _check_ended(ticket: Ticket) -> None:
        if ticket.out:
            detail = f"request {ticket.id} has {len(ticket.out)} attempts out"
            violations.record(Invariant.CLIENT_LEFT_ENDS_WORK, detail)

    def take_departures(self) -> Departures:
        """The departures since this was last called."""
        taken, self.departures = self.departures, Departures()
        return taken

    def _drop_useless(self, ticket: Ticket) -> None:
        """End the attempts that are of no use to anybody once the client has left.

        The rest of an answer that has begun, half a request, and the run of a request that may be repeated.  One that
        may run once only runs on: broken off, it may have run in part, and whoever asked could not tell.
        """
        upload = ticket.asked.upload
        if ticket.begun or not ticket.asked.is_write or (upload is not None and not upload.whole):
            for exchange in list(ticket.out.values()):
                exchange.give_up(api.Status.CANCELLED)

    def _finish(self, ticket: Ticket, answer: Callable[[Client], None]) -> None:
        """The one answer of a request; whatever else is said of it later is moot."""
        client, ticket.client = ticket.client, None
        if client is not None:
            self.waiting -= 1
            self._forget(ticket)
            answer(client)

    def _forget(self, ticket: Ticket) -> None:
        if ticket.client is None and not ticket.out and self.tickets.pop(ticket.id, None) is not None:
            if ticket.timer is not None:
                ticket.timer.cancel()
            self.open_ids.discard(ticket.asked.txn)

    def _expire(self, ticket: Ticket) -> None:
        """The client's time is up: what is out is given up, and the module has the last word at once."""
        if ticket.begun:
            return
        for exchange in list(ticket.out.values()):
            exchange.give_up(api.Status.TIMEOUT)
        if ticket.client is not None:
            # Guards against a module that has lost a request: the answer must not wait for it.
            complain("host", "request %d was still unanswered when its time was up", ticket.id)
            self._finish(ticket, lambda client: client.failed())

    def fail_all(self) -> None:
        """The process ends: what is open gets its answer now, while there is someone to give it."""
        for ticket in list(self.tickets.values()):
            if ticket.begun:
                self._finish(ticket, lambda client: client.broken())
            else:
                self._finish(ticket, lambda client: client.failed())
            self._drop_useless(ticket)

    # Actions

    def _send(self, send: api.Send) -> None:
        ticket, now = self.tickets.get(send.request), self.clock()
        # Guards a backend's time: the end of a client that is in a hurry may still wait to be read.
        if ticket is not None and ticket.client is not None and ticket.client.hung_up():
            self.gone(ticket.id)
        number = ticket.attempts if ticket is not None else 0
        if (ticket is None or ticket.client is None or ticket.begun or now >= ticket.deadline
                or send.timeout < 0.0 or number >= self.settings.max_attempts
                or (self.gate is not None and not self.gate())):
            return self.post(api.Outcome(send.request, number, send.backend, api.Status.MOOT, 0.0,
                                         ticket is None or ticket.client is None))
        ticket.attempts += 1
        if self.cells is not None:
            self.cells.sent(ticket.asked.customer, send.backend)
        until = min(ticket.deadline, now + send.timeout) if send.timeout else ticket.deadline
        timer: asyncio.TimerHandle | None = None

        def done(status: api.Status, answer: Answer | None) -> None:
            if timer is not None:
                timer.cancel()
            ticket.out.pop(number, None)
            if self.cells is not None:
                self.cells.ended(ticket.asked.customer, send.backend, status)
            if ticket.begun:
                good = status is api.Status.OK
                self._finish(ticket, lambda client: client.done() if good else client.broken())
            elif status is api.Status.OK and ticket.client is not None:
                self._finish(ticket, lambda client: client.served(answer))
            elif answer is not None and not status.never_ran:
                ticket.last = answer
            self._forget(ticket)
            self.post(api.Outcome(send.request, number, send.backend, status,
                                  self.clock() - self._sent(ticket, now),
                                  ticket.client is None, report=self._report(answer), wrote=exchange.wrote))

        def begun(answer: Answer, source: Source) -> Client | None:
            if (client := ticket.client) is None:
                return None
            ticket.begun = True
            if timer is not None:
                timer.cancel()
            client.begin(answer, source)
            latency = self.clock() - self._sent(ticket, now)
            self.post(api.StreamStarted(send.request, number, send.backend, latency))
            return client

        def may() -> bool:
            # What its client has given up while the connection came up is not sent on any more.
            return ticket.client is not None and (self.gate is None or self.gate())

        def render() -> bytes:
            if ticket.client is None:
                violations.record(Invariant.CLIENT_LEFT_NOTHING_SENT, f"request {ticket.id}")
            if ticket.asked.upload is None:
                return ticket.asked.render(until - self.clock(), send.backend)
            self.post(api.BodyReleased(send.request))  # what is written is held no more
            return ticket.asked.render(ticket.asked.time_left, send.backend)

        exchange = Exchange(render, done, begun, ticket.asked.upload, ticket.taken)
        exchange.may, exchange.txn = may, ticket.asked.txn
        exchange.once = ticket.asked.is_write
        ticket.out[number] = exchange
        if until < ticket.deadline and ticket.asked.upload is None:     # else the request's own timer ends it
            timer = self.loop.call_later(until - now, exchange.give_up, api.Status.TIMEOUT)
        self.backends.begin(exchange, send.backend)

    @staticmethod
    def _sent(ticket: Ticket, began: float) -> float:
        """When an attempt's time began: with the request's last byte, where that came later than the send."""
        if ticket.asked.upload is None or ticket.deadline == inf:
            return began
        return max(began, ticket.deadline - ticket.asked.time_left)

    def _report(self, answer: Answer | None) -> list[float]:
        if answer is None or self.settings.report_via != "answers":
            return []
        told = next((value for name, value in answer.headers if name == b"x-pressure"), None)
        return load_report(told, self.settings.report_fields) if told is not None else []

    def _refuse(self, refuse: api.Refuse) -> None:
        if (ticket := self.tickets.get(refuse.request)) is not None:
            self._finish(ticket, lambda client: client.refused(refuse.retry_after))

    def _fail(self, fail: api.Fail) -> None:
        if (ticket := self.tickets.get(fail.request)) is not None:
            self._finish(ticket, lambda client: client.failed())

    def _cancel(self, cancel: api.CancelAttempt) -> None:
        ticket = self.tickets.get(cancel.request)
        if ticket is not None and (exchange := ticket.out.get(cancel.attempt)) is not None:
            exchange.give_up(api.Status.CANCELLED)

    def _probe(self, probe: api.Probe) -> None:
        sent = self.clock()

        def done(status: api.Status, answer: Answer | None) -> None:
            timer.cancel()
            report = load_report(answer.body, self.settings.report_fields) if (
                status is api.Status.OK and self.settings.report_via != "none") else []
            self.post(api.ProbeResult(probe.backend, status, self.clock() - sent, report))

        exchange = Exchange(lambda: b"GET /status/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", done)
        timer = self.loop.call_later(self.backends.connect_timeout, exchange.give_up, api.Status.TIMEOUT)
        self.backends.begin(exchange, probe.backend)
