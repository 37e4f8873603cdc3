"""Owns the decision module with its clock, timers and request ids, and connects it to the sockets.

Socket events become `interface` events, and each action that the module returns is carried out, in order.  The host
keeps what it needs to give each request exactly one response; only the module decides where a request is sent, and
whether.
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
from fennelpoint.net.backends import Backends, load_report
from fennelpoint.net.controller_runtime import Clock, Driver
from fennelpoint.net.counter import Counter
from fennelpoint.net.exchange import Exchange, Response, Source
from fennelpoint.rate_limited_log import log, warn_limited

ABANDONED_WORK_TIMEOUT_S = 0.5  # after its client has left, within which work for a repeatable request must end


@dataclass(slots=True)
class Departures:
    """Counts of clients that left with attempts in progress, and of these attempts."""

    clients: int = 0
    ended: int = 0      # attempts that were cancelled with the client's departure
    running: int = 0    # attempts that continue


class CellConfinement(Protocol):
    """Confines customers to cells, if the operator file names a plan."""

    def cell_of(self, customer: int) -> str: ...
    def attempt_sent(self, customer: int, node: str) -> None: ...
    def attempt_ended(self, customer: int, node: str, status: api.Status) -> None: ...


class Client(Protocol):
    """Receives a request's response: whole, by `send_response`, or streamed.

    A streamed one begins with `start_response` and ends with `end_response` or `abort_response`.
    """

    def send_response(self, response: Response) -> None: ...
    def start_response(self, response: Response, source: Source) -> None: ...
    def write_body(self, data: bytes) -> None: ...
    def end_response(self) -> None: ...
    def abort_response(self) -> None: ...
    def upload_written(self) -> None: ...
    def has_disconnected(self) -> bool: ...
    def send_refusal(self, retry_after: float) -> None: ...
    def send_failure(self) -> None: ...


@dataclass(slots=True)
class ParsedRequest:
    """A client's request as the server parsed it: what the module needs to know, and what is forwarded."""

    request_id: bytes
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
    is_head_request: bool = False   # its response has no body
    upload: Upload | None = None    # its body, if that is streamed
    upload_expected_s: float = 0.0  # seconds in which the rest of the upload should arrive
    client_wait_s: float = inf      # until the client gives up, where that does not count from the last byte
    cell: str = ""          # the backends that may serve it, if the parser knows them
    attempts: int = 0       # maximum number of backends that it may be sent to; 0: as in the settings

    def render(self, left_s: float, backend: object = None) -> bytes:
        """Return the bytes for a backend whose response is awaited for this many seconds."""
        return b"%bX-Remaining-Ms: %d\r\n\r\n%b" % (self.head, max(1, int(left_s * 1000)), self.body)


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a response, or with attempts in progress."""

    id: int
    parsed: ParsedRequest
    client: Client | None   # None once it has its response or has left
    deadline: float
    gives_up_at: float = inf        # when the client stops waiting, also while its body still arrives
    complete_at: float = inf        # when the last byte of its upload arrived
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    is_streaming: bool = False      # its response has begun to go out, so it has no deadline any more
    has_possibly_run: bool = False  # an attempt ended without proof that the request did not run
    last_failure: Response | None = None    # the last whole response that was no success
    exchanges: dict[int, Exchange] = field(default_factory=dict)    # in progress, by number of the attempt

    def upload_written(self) -> None:
        """Let the client read on after a piece of its upload has been written to a backend."""
        if self.client is not None:
            self.client.upload_written()


class ControllerHost:
    """Passes socket events to the module, and its actions to the sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: api.Settings, seed: int,
                 backends: Backends, counter: Counter | None, budget: Budget,
                 controller_class: type[Controller] | None = None) -> None:
        self.loop, self.settings, self.backends, self.budget = loop, settings, backends, budget
        self.clock = Clock()
        self.cells: CellConfinement | None = None   # if the operator file names a plan
        self.may_send: Callable[[], bool] | None = None     # whether anything may be sent; checked before each send
        self.list_observers: list[Callable[[api.Roster], None]] = []    # get each backend list before the module
        driver = Driver(loop, self.clock, counter, self.post)
        self.open_requests: dict[int, OpenRequest] = {}
        self.open_ids: set[bytes] = set()   # of the open requests, as the clients named them
        self.unanswered_count = 0           # requests without a response yet
        self.departures = Departures()      # since the last `take_departures`
        self.last_id = 0
        self._events: deque[api.Event] = deque()
        self._delivering = False
        self._action_handlers: dict[type, Callable] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail,
            api.CancelAttempt: self._cancel, api.SetTimer: driver.set_timer, api.Probe: self._probe,
            api.Count: driver.count, api.CloseIdle: lambda a: self.backends.close_idle(a.backend),
            api.Log: lambda a: log.info("%s", a.text),
            # The watch on discovery never ends and requests the whole list after a gap by itself.
            api.Subscribe: lambda a: None, api.FetchRoster: lambda a: None}
        self.controller = (controller_class or Controller)(settings, seed, self.clock())
        self._carry_out(self.controller.start(self.clock()))

    # Events

    def post(self, event: api.Event) -> None:
        """Deliver an event to the module after those posted before; its actions may post further ones."""
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
            # Guards the rule on lost requests: a defect fails the request concerned, not the process.
            log.exception("the decision module failed on %r", event)
            open_request = self.open_requests.get(getattr(event, "request", -1))
            if open_request is not None and not open_request.exchanges:
                self._finish(open_request, lambda client: client.send_failure())
            return
        self._carry_out(actions)

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if (handler := self._action_handlers.get(type(action))) is not None:
                handler(action)
            else:
                warn_limited("host", "no handler for the module's action %s", type(action).__name__)

    def follow(self, roster: api.Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Apply a backend list from discovery to the connection pools, then post it to the module."""
        self.backends.follow(roster, addresses)
        for observe in self.list_observers:
            observe(roster)
        self.post(roster)

    def admit(self, client: Client, parsed: ParsedRequest) -> int:
        """Post a request to the module; returns its id.

        The request is complete, or it has an upload and `body_arrived` reports the rest.
        """
        self.last_id += 1
        open_request = OpenRequest(self.last_id, parsed, client, self.clock() + parsed.time_left)
        open_request.gives_up_at = self.clock() + parsed.client_wait_s
        if parsed.upload is not None:   # its time runs from its last byte; the server ends one that never comes
            open_request.deadline = inf
        self.open_requests[open_request.id] = open_request
        self.open_ids.add(parsed.request_id)
        self.unanswered_count += 1
        if parsed.upload is None:
            open_request.timer = self.loop.call_later(parsed.time_left, self._expire, open_request)
        self.post(api.Request(open_request.id, parsed.cls, parsed.plan, parsed.customer, parsed.time_left,
                              parsed.units, parsed.width, parsed.first, parsed.is_repeat, parsed.is_write,
                              parsed.upload_expected_s,
                              self.cells.cell_of(parsed.customer) if self.cells is not None else parsed.cell,
                              parsed.attempts))
        return open_request.id

    def body_arrived(self, request: int) -> None:
        """Forward more of a request's upload; after its last byte, its deadline begins to count."""
        if (open_request := self.open_requests.get(request)) is None:
            return
        if open_request.parsed.upload.is_complete and open_request.timer is None and not open_request.is_streaming:
            open_request.complete_at = now = self.clock()
            open_request.deadline = min(now + open_request.parsed.time_left, open_request.gives_up_at)
            left_s = max(0.0, open_request.deadline - now)
            open_request.timer = self.loop.call_later(left_s, self._expire, open_request)
            self.post(api.BodyReceived(request))
        for exchange in list(open_request.exchanges.values()):
            exchange.write_body()

    def is_open(self, request_id: bytes) -> bool:
        """Whether a request of this id has no response yet, or may still be with a backend."""
        return request_id in self.open_ids

    def may_have_run(self, request: int) -> bool:
        """Whether a backend may have begun to work on an open request."""
        if (open_request := self.open_requests.get(request)) is None:
            return False
        in_progress = open_request.exchanges.values()
        return open_request.has_possibly_run or any(exchange.may_have_run for exchange in in_progress)

    def client_left(self, request: int) -> None:
        """Drop a request whose client has closed its connection, and end its attempts where that is harmless."""
        open_request = self.open_requests.get(request)
        if open_request is not None and open_request.client is not None:
            in_progress = len(open_request.exchanges)
            self._finish(open_request, lambda client: None)
            self.post(api.ClientGone(request))
            self._end_useless_attempts(open_request)
            self._count_departure(open_request, in_progress)

    def _count_departure(self, open_request: OpenRequest, in_progress: int) -> None:
        """Count a client that left with so many attempts in progress, and later check those that must have ended."""
        if not in_progress:
            return
        running = len(open_request.exchanges)
        self.departures.clients += 1
        self.departures.ended += in_progress - running
        self.departures.running += running
        if running and not open_request.parsed.is_write:
            self.loop.call_later(ABANDONED_WORK_TIMEOUT_S, self._check_ended, open_request)

    @staticmethod
    def _check_ended(open_request: OpenRequest) -> None:
        if open_request.exchanges:
            detail = f"request {open_request.id} still has {len(open_request.exchanges)} attempts in progress"
            violations.record(Invariant.CLIENT_LEFT_ENDS_WORK, detail)

    def take_departures(self) -> Departures:
        """Return the departures since the last call."""
        taken, self.departures = self.departures, Departures()
        return taken

    def _end_useless_attempts(self, open_request: OpenRequest) -> None:
        """End the attempts that are of no use once the client has left.

        These are streamed responses, incomplete requests and repeatable requests.  A request that must run at most
        once continues: if cancelled, it may have run in part, and its sender could not tell.
        """
        upload = open_request.parsed.upload
        if open_request.is_streaming or not open_request.parsed.is_write or (
                upload is not None and not upload.is_complete):
            for exchange in list(open_request.exchanges.values()):
                exchange.give_up(api.Status.CANCELLED)

    def _finish(self, open_request: OpenRequest, respond: Callable[[Client], None]) -> None:
        """Give a request its only response; any later one is ignored."""
        client, open_request.client = open_request.client, None
        if client is not None:
            self.unanswered_count -= 1
            self._release(open_request)
            respond(client)

    def _release(self, open_request: OpenRequest) -> None:
        """Forget a request that has its response and no attempts in progress."""
        if open_request.client is None and not open_request.exchanges and (
                self.open_requests.pop(open_request.id, None) is not None):
            if open_request.timer is not None:
                open_request.timer.cancel()
            self.open_ids.discard(open_request.parsed.request_id)

    def _expire(self, open_request: OpenRequest) -> None:
        """Give up a request's attempts at its deadline; the module decides at once how it is answered."""
        if open_request.is_streaming:
            return
        for exchange in list(open_request.exchanges.values()):
            exchange.give_up(api.Status.TIMEOUT)
        if open_request.client is not None:
            # Guards against a module that has lost a request: the response must not wait for it.
            warn_limited("host", "request %d had no response at its deadline", open_request.id)
            self._finish(open_request, lambda client: client.send_failure())

    def fail_all(self) -> None:
        """Answer all open requests now, as the process is about to end."""
        for open_request in list(self.open_requests.values()):
            if open_request.is_streaming:
                self._finish(open_request, lambda client: client.abort_response())
            else:
                self._finish(open_request, lambda client: client.send_failure())
            self._end_useless_attempts(open_request)

    # Actions

    def _send(self, send: api.Send) -> None:
        open_request, now = self.open_requests.get(send.request), self.clock()
        # Saves the backend's time: an impatient client's FIN may have arrived and not been read yet.
        if open_request is not None and open_request.client is not None and open_request.client.has_disconnected():
            self.client_left(open_request.id)
        number = open_request.attempts if open_request is not None else 0
        if (open_request is None or open_request.client is None or open_request.is_streaming
                or now >= open_request.deadline
                or send.timeout < 0.0 or number >= self.settings.max_attempts
                or (self.may_send is not None and not self.may_send())):
            return self.post(api.Outcome(send.request, number, send.backend, api.Status.MOOT, 0.0,
                                         open_request is None or open_request.client is None))
        open_request.attempts += 1
        if self.cells is not None:
            self.cells.attempt_sent(open_request.parsed.customer, send.backend)
        until = min(open_request.deadline, now + send.timeout) if send.timeout else open_request.deadline
        timer: asyncio.TimerHandle | None = None

        def on_end(status: api.Status, response: Response | None) -> None:
            if timer is not None:
                timer.cancel()
            open_request.exchanges.pop(number, None)
            open_request.has_possibly_run = open_request.has_possibly_run or not status.never_ran
            if self.cells is not None:
                self.cells.attempt_ended(open_request.parsed.customer, send.backend, status)
            if open_request.is_streaming:
                is_complete = status is api.Status.OK
                self._finish(open_request,
                             lambda client: client.end_response() if is_complete else client.abort_response())
            elif status is api.Status.OK and open_request.client is not None:
                self._finish(open_request, lambda client: client.send_response(response))
            elif response is not None and not status.never_ran:
                open_request.last_failure = response
            self._release(open_request)
            self.post(api.Outcome(send.request, number, send.backend, status,
                                  self._latency(open_request, now, status),
                                  open_request.client is None, report=self._report(response),
                                  wrote=exchange.has_written))

        def on_stream_start(response: Response, source: Source) -> Client | None:
            if (client := open_request.client) is None:
                return None
            open_request.is_streaming = True
            if timer is not None:
                timer.cancel()
            client.start_response(response, source)
            latency = self.clock() - self._started_at(open_request, now)
            self.post(api.StreamStarted(send.request, number, send.backend, latency))
            return client

        def may_send() -> bool:
            # A request that its client gave up while the connection was being established is not sent.
            return open_request.client is not None and (self.may_send is None or self.may_send())

        def render() -> bytes:
            if open_request.client is None:
                violations.record(Invariant.CLIENT_LEFT_NOTHING_SENT, f"request {open_request.id}")
            if open_request.parsed.upload is None:
                return open_request.parsed.render(until - self.clock(), send.backend)
            self.post(api.BodyReleased(send.request))  # what is written is not kept for a retry
            return open_request.parsed.render(open_request.parsed.time_left, send.backend)

        exchange = Exchange(render, on_end, on_stream_start, open_request.parsed.upload, open_request.upload_written)
        exchange.may_send, exchange.request_id = may_send, open_request.parsed.request_id
        exchange.at_most_once = open_request.parsed.is_write
        open_request.exchanges[number] = exchange
        if until < open_request.deadline and open_request.parsed.upload is None:    # else the request's timer ends it
            timer = self.loop.call_later(until - now, exchange.give_up, api.Status.TIMEOUT)
        self.backends.begin(exchange, send.backend)

    def _latency(self, open_request: OpenRequest, sent_at: float, status: api.Status) -> float:
        """Return the seconds that an attempt took the backend; 0 if it was cancelled while it waited for the body."""
        is_uploading = open_request.parsed.upload is not None and open_request.complete_at == inf
        if status is api.Status.CANCELLED and is_uploading:
            return 0.0
        return self.clock() - self._started_at(open_request, sent_at)

    @staticmethod
    def _started_at(open_request: OpenRequest, sent_at: float) -> float:
        """Return when an attempt's latency begins to count: at the send, or at the request's last byte if later."""
        return sent_at if open_request.complete_at == inf else max(sent_at, open_request.complete_at)

    def _report(self, response: Response | None) -> list[float]:
        if response is None or self.settings.report_via != "answers":
            return []
        report = next((value for name, value in response.headers if name == b"x-pressure"), None)
        return load_report(report, self.settings.report_fields) if report is not None else []

    def _refuse(self, refuse: api.Refuse) -> None:
        if (open_request := self.open_requests.get(refuse.request)) is not None:
            self._finish(open_request, lambda client: client.send_refusal(refuse.retry_after))

    def _fail(self, fail: api.Fail) -> None:
        if (open_request := self.open_requests.get(fail.request)) is not None:
            self._finish(open_request, lambda client: client.send_failure())

    def _cancel(self, cancel: api.CancelAttempt) -> None:
        open_request = self.open_requests.get(cancel.request)
        if open_request is not None and (exchange := open_request.exchanges.get(cancel.attempt)) is not None:
            exchange.give_up(api.Status.CANCELLED)

    def _probe(self, probe: api.Probe) -> None:
        sent_at = self.clock()

        def on_end(status: api.Status, response: Response | None) -> None:
            timer.cancel()
            report = load_report(response.body, self.settings.report_fields) if (
                status is api.Status.OK and self.settings.report_via != "none") else []
            self.post(api.ProbeResult(probe.backend, status, self.clock() - sent_at, report))

        exchange = Exchange(lambda: b"GET /status/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", on_end)
        timer = self.loop.call_later(self.backends.connect_timeout_s, exchange.give_up, api.Status.TIMEOUT)
        self.backends.begin(exchange, probe.backend)
