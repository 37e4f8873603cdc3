"""Upstream connections: pools, attempts, probes, and what each outcome of an exchange proves.

An exchange is one request on one connection and its whole response.  It ends exactly once, with one of the outcomes
(`interface.Status`) of the protocol, and this module never retries it.
"""

from __future__ import annotations

import asyncio
import errno
import json
import select
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

import httptools

from fennelpoint.body_buffering import (
    BODY_STALL_TIMEOUT_S,
    COMMIT_BYTES,
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    Budget,
    Upload,
)
from fennelpoint.connecting import connect
from fennelpoint.interface import BackendState, Roster, RosterKind, Status
from fennelpoint.net.flow_control import BoundedReadProtocol
from fennelpoint.rate_limited_log import warn_limited

MAX_RECEIVED_BYTES = 2 * MAX_BUFFERED_BYTES     # of a buffered response with its head and framing
NO_RECEIVER = "has no receiver any more"
LOCAL_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
DEFAULT_CONNECT_TIMEOUT_S = 0.25    # if the settings have none
# Idle connections are closed after this fraction of the backend's idle timeout, well before the backend closes them.
IDLE_TIMEOUT_FRACTION, MAX_IDLE_S = 0.5, 30.0
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
                        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"content-length"))


@dataclass(slots=True)
class Response:
    """A backend's response: whole, or the head of one whose body is streamed."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    content_length: int | None = None   # of a streamed body, if the backend declares it


class BodyReceiver(Protocol):
    """Receives the body of a streamed response as it arrives."""

    def write_body(self, data: bytes) -> None: ...


class Exchange:
    """One request to one backend, from the decision to send it until its outcome."""

    __slots__ = ("render", "on_end", "on_stream_start", "upload", "on_body_written", "may_send", "connection",
                 "connect_task", "ended", "request_id", "at_most_once", "has_written")

    def __init__(self, render: Callable[[], bytes], on_end: Callable[[Status, Response | None], None],
                 on_stream_start: Callable[[Response, UpstreamConnection], BodyReceiver | None]
                 = lambda response, source: None,
                 upload: Upload | None = None, on_body_written: Callable[[], None] = lambda: None) -> None:
        self.render = render    # returns the bytes to send, called at the moment when they can be written
        self.on_end = on_end    # called once, with the outcome
        self.on_stream_start = on_stream_start  # called with a streamed response; returns its receiver, if any
        self.upload = upload    # the request body, if it is streamed
        self.on_body_written = on_body_written  # called when a piece of the upload has been written
        self.may_send: Callable[[], bool] | None = None     # whether it may still be sent; None: always
        self.request_id = b""   # for a pool that checks which request a response belongs to
        self.at_most_once = False   # the request must not run twice
        self.has_written = False    # some of the request has been written to the backend
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task | None = None
        self.ended = False

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have begun to work on the request, by what has been written until now."""
        return self.connection is not None and self.connection.may_have_run

    def end(self, status: Status, response: Response | None = None) -> None:
        """Report the outcome, unless the exchange has ended already."""
        if not self.ended:
            self.ended = True
            self.connection = self.connect_task = None
            self.on_end(status, response)

    def write_body(self) -> None:
        """Write what has been added to the upload, if there is a connection yet."""
        if self.connection is not None:
            self.connection.write_body()

    def give_up(self, status: Status) -> None:
        """Stop waiting: close the connection, so that the backend notices and no late response is read.

        A request that cannot have run ends so, whatever the reason for stopping; and if it is cancelled, that is no
        failure of the backend.
        """
        connection, connect_task = self.connection, self.connect_task
        if connect_task is not None:
            connect_task.cancel()
        if not self.may_have_run:
            status = Status.MOOT if status is Status.CANCELLED else Status.CONNECT_FAILED
        if connection is not None:
            connection.exchange = None
            connection.close()
        self.end(status)


@dataclass(slots=True, eq=False)
class Upstream:
    """One start of one backend at one address, as discovery announced it, with its own connections."""

    host: str
    port: int
    started_at: float
    state: BackendState
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last
    retired: bool = False   # replaced by a newer start or address: its connections are not reused

    @property
    def is_usable(self) -> bool:
        return self.state is BackendState.READY and not self.retired


class UpstreamConnection(BoundedReadProtocol):
    """A persistent connection that carries one exchange at a time."""

    __slots__ = ("pool", "upstream", "transport", "exchange", "first_exchange", "parser", "is_flushed", "idle_since",
                 "poller", "status", "headers", "body", "received_bytes", "is_complete", "has_excess", "keep_alive",
                 "closed", "last_received_at", "rejection", "receiver", "content_length", "is_streamed",
                 "ends_at_close", "body_bytes", "in_body", "is_paused", "body_written_at", "reusable_until",
                 "last_request_id", "last_lacked_id",
                 "__weakref__")

    def __init__(self, pool: Backends, upstream: Upstream, first_exchange: Exchange) -> None:
        super().__init__(pool.budget)
        self.pool, self.upstream, self.first_exchange = pool, upstream, first_exchange
        self.last_received_at, self.rejection = 0.0, ""     # rejection: why the response cannot be used
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.is_flushed, self.closed, self.idle_since = True, False, 0.0
        self.reusable_until = inf   # when the backend announced that it closes the idle connection, less a margin
        self.receiver: BodyReceiver | None = None   # of a streamed response
        self.is_paused = False      # the receiver takes no more at present
        self.body_written_at = 0.0  # when a piece of an upload was last written
        self.last_request_id = b""  # of the request that the last response answered
        self.last_lacked_id = False     # that response had no id, so a copy of it would pass for one to any request

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        # With a high-water mark of 0, pause_writing and resume_writing tell whether everything is written.
        transport.set_write_buffer_limits(high=0)
        self.poller = select.poll()
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pool.all.add(self)
        # Guards the rule on drains: the backend may have begun to drain while the connection was established.
        first_exchange, self.first_exchange = self.first_exchange, None
        if first_exchange.ended or not self.upstream.is_usable:
            self.close()
            first_exchange.end(Status.CONNECT_FAILED)
        else:
            self.start(first_exchange)

    def start(self, exchange: Exchange) -> None:
        """Send the exchange's request, unless it may not be sent any more."""
        # Checked right before the write: the process may have been stopped while the connection was established.
        if exchange.may_send is not None and not exchange.may_send():
            self.close()
            return exchange.end(Status.MOOT)
        self.exchange, exchange.connection, exchange.connect_task = exchange, self, None
        self._reset()
        self.is_flushed = True      # unless pause_writing reports that some is left
        exchange.has_written = True
        self.transport.write(exchange.render())
        if exchange.upload is not None:
            self.write_body()

    @property
    def is_request_written(self) -> bool:
        """Whether the whole request has been written, so that the connection can carry another one."""
        exchange = self.exchange
        return self.is_flushed and (exchange is None or exchange.upload is None or exchange.upload.is_sent)

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have begun to work on the request, by what has been written."""
        if self.pool.STARTS_AT_LAST_BYTE:
            return self.is_request_written
        return self.exchange is not None and self.exchange.has_written

    def write_body(self) -> None:
        """Write the pending bytes of the upload, if the backend takes them."""
        upload = self.exchange.upload
        if self.is_flushed and upload.has_pending:
            if self.exchange.may_send is not None and not self.exchange.may_send():
                return self.exchange.give_up(Status.CANCELLED)
            self.body_written_at = time.monotonic()
            self.transport.write(upload.take_pending())
            self.exchange.on_body_written()

    def _reset(self) -> None:
        self.status, self.headers, self.body, self.received_bytes = 0, [], [], 0
        self.is_complete = self.has_excess = self.keep_alive = False
        self.last_received_at, self.rejection = 0.0, ""
        # `receiver`, `content_length` and `body_bytes` are valid only with these.
        self.is_streamed = self.ends_at_close = self.in_body = False

    def stale(self) -> bool:
        """Whether the backend has closed its side, or sent anything unrequested, since the last response."""
        return self.closed or self.transport.is_closing() or bool(self.poller.poll(0))

    def pause_writing(self) -> None:
        self.is_flushed = False

    def resume_writing(self) -> None:
        self.is_flushed = True
        if self.exchange is not None and self.exchange.upload is not None:
            self.write_body()

    def pause(self) -> None:
        """Stop reading: the receiver's buffer is full."""
        if not self.is_paused and not self.closed:
            self.is_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.is_paused and not self.closed:
            self.is_paused, self.last_received_at = False, time.monotonic()
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            return self.close()     # unrequested: there is no request that it could answer
        if self.receiver is None:
            self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                return self._fail(f"cannot be parsed ({error})")
            self.has_excess = True
        if self.is_complete and not self.rejection:
            self._finish()
        elif self.rejection == NO_RECEIVER:
            self.exchange.give_up(Status.CANCELLED)
        elif self.rejection:
            self._fail(self.rejection)
        elif self.receiver is None and self.received_bytes > MAX_RECEIVED_BYTES:
            self._fail("is too large")
        else:
            self.last_received_at = time.monotonic()

    # Parser callbacks

    def on_message_begin(self) -> None:
        self.has_excess = self.has_excess or self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if not (self.is_complete or self.in_body):  # else a trailer, or part of an unrequested response
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        if self.status == 200:
            content_length = next((value for name, value in self.headers if name == b"content-length"), None)
            self.content_length = None if content_length is None else int(content_length)
            if content_length is not None:
                # Rejected now, as gigabytes take too long to arrive.
                if self.content_length > self.pool.max_body_bytes:
                    self.rejection = "is too large"
            else:
                self.ends_at_close = not any(name == b"transfer-encoding" for name, _ in self.headers)
            self.is_streamed, self.body_bytes = (
                content_length is None or self.content_length > MAX_BUFFERED_BYTES), 0
        self.in_body = self.status >= 200

    def on_body(self, body: bytes) -> None:
        if self.is_complete or self.rejection:
            return
        if self.receiver is None:
            self.body.append(body)
        if self.is_streamed:
            self._stream(body)

    def _stream(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > self.pool.max_body_bytes:
            self.rejection = "exceeds the maximum body size"
        elif self.receiver is not None:
            self.receiver.write_body(body)
        elif self.body_bytes >= COMMIT_BYTES and self.content_length != self.body_bytes:
            self._start_streaming()

    def _start_streaming(self) -> None:
        """Begin to forward a large response; from here on the request cannot be retried at another backend."""
        if self.pool.judge(self.exchange, self.status, self.headers) is not Status.OK:
            self.rejection = "does not belong to this request"
            return
        buffered, self.body = b"".join(self.body), []
        self.receiver = self.exchange.on_stream_start(Response(self.status, self.headers, b"", self.content_length),
                                                      self)
        if self.receiver is None:
            self.rejection = NO_RECEIVER
        else:
            self.bound_reads(True)
            self.receiver.write_body(buffered)

    def on_message_complete(self) -> None:
        if self.is_complete:
            return
        if 100 <= self.status < 200:
            self.headers.clear()    # an interim response; the final one follows
            self.in_body = False
        else:
            # Read here, as the parser forgets it when this returns: otherwise no connection would be reused.
            self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _finish(self) -> None:
        """End the exchange with its complete response; keep the connection if it can be reused."""
        exchange, body, is_request_written = self.exchange, b"".join(self.body), self.is_request_written
        status = self.pool.judge(exchange, self.status, self.headers)
        if status is None:
            return self._fail("does not belong to this request")
        response = Response(self.status, self.headers, body)
        self.last_request_id, self.last_lacked_id = exchange.request_id, not self.pool.has_id(exchange, self.headers)
        self.exchange = self.receiver = None
        if self.is_paused:
            self.resume()
        if self.reads_bounded:
            self.bound_reads(False)
        if self.has_excess or not is_request_written or not self.keep_alive or not self.upstream.is_usable:
            self.close()
        else:
            self.idle_since = time.monotonic()
            self.reusable_until = self.idle_since + self.pool.keep_alive_s(self.headers)
            self.upstream.idle.append(self)
        exchange.end(status, response)

    def _fail(self, reason: str) -> None:
        """End the exchange without a usable response: the request may have run, and the connection is closed."""
        warn_limited("upstream", "a response from %s:%d %s", self.upstream.host, self.upstream.port, reason)
        exchange, self.exchange, self.receiver = self.exchange, None, None
        self.close()
        exchange.end(Status.ERROR)

    def check_stall(self, now: float) -> None:
        """End an exchange that makes no progress.

        Otherwise a Content-Length above what is sent would hold the request, and a slot of the pool, until its
        deadline; where the protocol allows a backend to pause, that is all that ends it.
        """
        timeout_s = self.pool.RESPONSE_STALL_TIMEOUT_S if self.receiver is None else BODY_STALL_TIMEOUT_S
        if self.exchange is not None and 0.0 < self.last_received_at < now - timeout_s and not self.is_paused:
            self._fail("is incomplete")
        elif not (self.is_flushed or self.exchange is None or self.exchange.upload is None) and (
                self.body_written_at < now - BODY_STALL_TIMEOUT_S):
            self.exchange.give_up(Status.TIMEOUT)   # the backend does not read the request body

    def eof_received(self) -> None:
        """End a response that has no other end; as this returns nothing, the loop closes our side, too.

        A half-closed connection carries no further requests.
        """
        if self.exchange is not None and self.ends_at_close and not self.rejection:
            self.is_complete = True
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        may_have_run, exchange, self.exchange, self.receiver = self.may_have_run, self.exchange, None, None
        self.close()
        self.pool.all.discard(self)
        self.parser = self.poller = None  # parser and protocol refer to each other, and collections are rare
        if exchange is not None:
            exchange.end(Status.RESET if may_have_run else Status.CONNECT_FAILED)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self in self.upstream.idle:
                self.upstream.idle.remove(self)
            self.transport.abort()


class Backends:
    """The connection pools of all backends that discovery has named, with a common limit on connections."""

    # Whether the backends' protocol says that a request cannot run before its last byte has come; else a backend may
    # work on it as soon as it has the head.
    STARTS_AT_LAST_BYTE = True
    # Without a byte within a response that is buffered, after which the rest is not expected any more (s).
    RESPONSE_STALL_TIMEOUT_S = 0.5

    def __init__(self, loop: asyncio.AbstractEventLoop, max_connections: int, connect_timeout_s: float,
                 idle_timeout_s: float, budget: Budget) -> None:
        """`idle_timeout_s` is the backends' own; 0 if unknown.  A `connect_timeout_s` of 0 means the default."""
        self.loop, self.max_connections, self.budget = loop, max_connections, budget
        self.connect_timeout_s = connect_timeout_s or DEFAULT_CONNECT_TIMEOUT_S
        self.max_idle_s = min(MAX_IDLE_S, idle_timeout_s * IDLE_TIMEOUT_FRACTION) if idle_timeout_s else MAX_IDLE_S
        self.max_body_bytes = MAX_BODY_BYTES    # of a response
        self.upstreams: dict[str, Upstream] = {}
        self.all: set[UpstreamConnection] = set()
        self.connect_tasks: dict[asyncio.Task, Exchange] = {}

    def judge(self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]]) -> Status | None:
        """Return the outcome that a whole response proves; None if it is no response to this request."""
        turned_away = status in (503, 504) and (b"x-turned-away", b"1") in headers
        return Status.OK if status == 200 else Status.FULL if turned_away else Status.ERROR

    def has_id(self, exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether a response carries the id of its request."""
        return True

    def can_match(self, exchange: Exchange, connection: UpstreamConnection) -> bool:
        """Whether a response on this connection could be attributed to this request for certain."""
        return True

    def keep_alive_s(self, headers: list[tuple[bytes, bytes]]) -> float:
        """Return the seconds for which the connection may stay idle, according to the response."""
        return inf

    def follow(self, roster: Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Apply a list from discovery: a new start or address of a backend gets connections of its own."""
        if roster.kind is not RosterKind.CHANGES:
            named = {e.backend for e in roster.entries}
            for key in [k for k in self.upstreams if k not in named]:
                self._retire(self.upstreams.pop(key))
        for entry in roster.entries:
            old = self.upstreams.get(entry.backend)
            if entry.state is BackendState.GONE:
                if old is not None:
                    self._retire(self.upstreams.pop(entry.backend))
                continue
            host, port = addresses[entry.backend]
            if old is not None and (old.host, old.port, old.started_at) == (host, port, entry.started_at):
                old.state = entry.state
                if entry.state is not BackendState.READY:
                    self.close_idle(entry.backend)
                continue
            if old is not None:
                self._retire(old)
            self.upstreams[entry.backend] = Upstream(host, port, entry.started_at, entry.state)

    def _retire(self, upstream: Upstream) -> None:
        upstream.retired = True
        for connection in list(upstream.idle):
            connection.close()

    def begin(self, exchange: Exchange, backend: str) -> None:
        """Send an exchange on the most recently used idle connection, or on a new one."""
        upstream = self.upstreams.get(backend)
        if upstream is None or not upstream.is_usable:
            return exchange.end(Status.CONNECT_FAILED)
        idle_cutoff = time.monotonic() - self.max_idle_s
        unsuitable: UpstreamConnection | None = None
        for connection in upstream.idle[::-1]:
            if connection.idle_since < idle_cutoff or time.monotonic() >= connection.reusable_until or (
                    connection.stale()):
                connection.close()
            elif self.can_match(exchange, connection):
                upstream.idle.remove(connection)
                return connection.start(exchange)
            else:
                unsuitable = connection
        if unsuitable is not None:
            unsuitable.close()      # a new one replaces it, as the backend limits its number of connections
        if self.open_count >= self.max_connections and not self._evict():
            # The shortage is on this side, so it must not count as a failure of the backend.
            warn_limited("upstream", "all %d connections are in use", self.max_connections)
            return exchange.end(Status.MOOT)
        self._connect(upstream, exchange)

    def _connect(self, upstream: Upstream, exchange: Exchange) -> None:
        task = self.loop.create_task(connect(
            self.loop, lambda: UpstreamConnection(self, upstream, exchange), upstream.host, upstream.port))
        exchange.connect_task, self.connect_tasks[task] = task, exchange

        def expire() -> None:
            # A connection that has come up carries the request already, even if the task has not run since.
            if exchange.connection is None:
                task.cancel()

        timer = self.loop.call_later(self.connect_timeout_s, expire)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            self.connect_tasks.pop(task, None)
            if task.cancelled() or (error := task.exception()) is not None:
                # Running out of descriptors is an OSError like a refusal, but no failure of the backend.
                is_local = not task.cancelled() and getattr(error, "errno", None) in LOCAL_SHORTAGE_ERRNOS
                if not task.cancelled() and not isinstance(error, OSError):
                    warn_limited("upstream", "connecting failed: %r", error)
                if exchange.connection is None:
                    exchange.end(Status.MOOT if is_local else Status.CONNECT_FAILED)

        task.add_done_callback(connected)

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being established."""
        return len(self.all) + len(self.connect_tasks)

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, in favour of one to another backend."""
        idle = [u.idle[0] for u in self.upstreams.values() if u.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        if (upstream := self.upstreams.get(backend)) is not None:
            for connection in list(upstream.idle):
                connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for long, before the backend does so under a request in transit.

        Also ends exchanges that have stalled.
        """
        now = time.monotonic()
        idle_cutoff = now - self.max_idle_s
        for upstream in self.upstreams.values():
            while upstream.idle and (
                    upstream.idle[0].idle_since < idle_cutoff or upstream.idle[0].reusable_until < now):
                upstream.idle[0].close()
        for connection in list(self.all):
            connection.check_stall(now)

    def close(self) -> None:
        for task in list(self.connect_tasks):
            task.cancel()
        for connection in list(self.all):
            connection.close()


def load_report(data: bytes, fields: list[str]) -> list[float]:
    """Return the values of a load report in the order of the settings' fields; empty if any is unusable."""
    try:
        report = json.loads(data)
        values = [float(report[name]) for name in fields]
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        warn_limited("report", "a load report cannot be parsed")
        return []
    return values if all(0.0 <= v < 1e9 for v in values) else []
