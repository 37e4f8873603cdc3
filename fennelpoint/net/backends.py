"""Upstream connections: pools, attempts, probes, and what each exchange's end proves.

An exchange is one request on one connection and its whole answer.  It ends exactly once, in one of the
outcomes of the protocol's table, and is never sent again from here.
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

from fennelpoint.body_buffering import COMMIT, MOST, STOPPED, WHOLE, Budget, Upload
from fennelpoint.connecting import connect
from fennelpoint.interface import BackendState, Roster, RosterKind, Status
from fennelpoint.net.flow_control import BoundedReadProtocol
from fennelpoint.rate_limited_log import complain

MOST_RECEIVED = 2 * WHOLE   # bytes of a whole answer with its head and framing
NOBODYS = "is nobody's any more"
STALLED = 0.5               # s without a byte in the middle of an answer: the rest won't come
OWN_SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
CONNECT_TIMEOUT = 0.25      # s, where the settings tell none
IDLE_SHARE, IDLE_MOST = 0.5, 30.0  # of the settings' idle time: well before the backend closes; s at most
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
                        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"content-length"))


@dataclass(slots=True)
class Answer:
    """A backend's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    length: int | None = None   # of one that is passed on as it comes, where it is told


class Sink(Protocol):
    """Who takes the bytes of an answer as they come."""

    def more(self, data: bytes) -> None: ...


class Exchange:
    """One request to one backend, from the wish to send it until its outcome."""

    __slots__ = ("render", "done", "begun", "upload", "taken", "may", "connection", "connecting", "ended", "txn",
                 "once", "wrote")

    def __init__(self, render: Callable[[], bytes], done: Callable[[Status, Answer | None], None],
                 begun: Callable[[Answer, UpstreamConnection], Sink | None] = lambda answer, source: None,
                 upload: Upload | None = None, taken: Callable[[], None] = lambda: None) -> None:
        self.render = render    # the bytes to send, made when they can be written
        self.done = done        # told the outcome, once
        self.begun = begun      # told when a large answer begins to come; who takes it, or nobody
        self.upload = upload    # the request's body, where that is passed on as it comes
        self.taken = taken      # told when some of that has been written
        self.may: Callable[[], bool] | None = None  # whether it may still be sent; none: always
        self.txn = b""          # its id, for a pool that checks whose an answer is
        self.once = False       # it may run at most once
        self.wrote = False      # some of it has been written to the backend
        self.connection: UpstreamConnection | None = None
        self.connecting: asyncio.Task | None = None
        self.ended = False

    def end(self, status: Status, answer: Answer | None = None) -> None:
        if not self.ended:
            self.ended = True
            self.connection = self.connecting = None
            self.done(status, answer)

    def push(self) -> None:
        """There is more of the request's body."""
        if self.connection is not None:
            self.connection.push()

    def give_up(self, status: Status) -> None:
        """Stop waiting: the connection is closed, so that the backend sees it and no late answer is read.

        What was not written whole can't have run, whatever made us stop; that is no fault of the backend's where
        the wish to send it has ended.
        """
        connection, connecting = self.connection, self.connecting
        if connecting is not None:
            connecting.cancel()
        if connection is None or not connection.written:
            status = Status.MOOT if status is Status.CANCELLED else Status.CONNECT_FAILED
        if connection is not None:
            connection.exchange = None
            connection.close()
        self.end(status)


@dataclass(slots=True, eq=False)
class Upstream:
    """One start of one backend at one address, as discovery told it; its connections belong to it."""

    host: str
    port: int
    started: float
    state: BackendState
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last
    retired: bool = False   # replaced by a newer start or address: nothing is to be reused

    @property
    def open(self) -> bool:
        return self.state is BackendState.READY and not self.retired


class UpstreamConnection(BoundedReadProtocol):
    """A kept-alive connection that carries one exchange at a time."""

    __slots__ = ("pool", "upstream", "transport", "exchange", "first", "parser", "flushed", "idle_since",
                 "poll", "status", "headers", "body", "size", "complete", "excess", "keep", "closed", "heard",
                 "doubt", "sink", "length", "flows", "open_end", "got", "in_body", "paused", "pushed_at", "until",
                 "last_txn", "nameless",
                 "__weakref__")

    def __init__(self, pool: Backends, upstream: Upstream, first: Exchange) -> None:
        super().__init__(pool.budget)
        self.pool, self.upstream, self.first = pool, upstream, first
        self.heard, self.doubt = 0.0, ""
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.flushed, self.closed, self.idle_since = True, False, 0.0
        self.until = inf        # when the backend said that it closes an idle connection, less a margin
        self.sink: Sink | None = None   # who takes an answer that is passed on as it comes
        self.paused = False     # it takes no more just now
        self.pushed_at = 0.0    # when the last of a body was written that is passed on as it comes
        self.last_txn = b""     # whose answer came last
        self.nameless = False   # that bore no id, so that a copy of it would pass for another's

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        # With no room in the buffer, pause_writing and resume_writing tell whether all is written.
        transport.set_write_buffer_limits(high=0)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pool.all.add(self)
        # Guards the rule on drains: the backend may have begun to drain while the connection came up.
        first, self.first = self.first, None
        if first.ended or not self.upstream.open:
            self.close()
            first.end(Status.CONNECT_FAILED)
        else:
            self.start(first)

    def start(self, exchange: Exchange) -> None:
        # Right before the write: what waited for this connection may have waited while the process was stopped.
        if exchange.may is not None and not exchange.may():
            self.close()
            return exchange.end(Status.MOOT)
        self.exchange, exchange.connection, exchange.connecting = exchange, self, None
        self._reset()
        self.flushed = True     # unless pause_writing says that some is left
        exchange.wrote = True
        self.transport.write(exchange.render())
        if exchange.upload is not None:
            self.push()

    @property
    def written(self) -> bool:
        """Whether the request has left us whole; one that hasn't can't have run."""
        exchange = self.exchange
        return self.flushed and (exchange is None or exchange.upload is None or exchange.upload.ended)

    def push(self) -> None:
        """Write what there is of a body that is passed on as it comes, if the backend takes it."""
        upload = self.exchange.upload
        if self.flushed and upload.waits:
            if self.exchange.may is not None and not self.exchange.may():
                return self.exchange.give_up(Status.CANCELLED)
            self.pushed_at = time.monotonic()
            self.transport.write(upload.take())
            self.exchange.taken()

    def _reset(self) -> None:
        self.status, self.headers, self.body, self.size = 0, [], [], 0
        self.complete = self.excess = self.keep = False
        self.heard, self.doubt = 0.0, ""
        self.flows = self.open_end = self.in_body = False   # sink, length and got go with these

    def stale(self) -> bool:
        """Whether the peer has closed its side, or said something unasked, since the last answer."""
        return self.closed or self.transport.is_closing() or bool(self.poll.poll(0))

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True
        if self.exchange is not None and self.exchange.upload is not None:
            self.push()

    def pause(self) -> None:
        """Who takes the answer has enough for now."""
        if not self.paused and not self.closed:
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and not self.closed:
            self.paused, self.heard = False, time.monotonic()
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            return self.close()     # unasked: an answer to nothing
        if self.sink is None:
            self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                return self._spoilt(f"can't be read ({error})")
            self.excess = True
        if self.complete and not self.doubt:
            self._answered()
        elif self.doubt == NOBODYS:
            self.exchange.give_up(Status.CANCELLED)
        elif self.doubt:
            self._spoilt(self.doubt)
        elif self.sink is None and self.size > MOST_RECEIVED:
            self._spoilt("is too large")
        else:
            self.heard = time.monotonic()

    # What the parser reads.

    def on_message_begin(self) -> None:
        self.excess = self.excess or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if not (self.complete or self.in_body):     # else of a trailer, or of what is not asked for
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.status == 200:
            length = next((value for name, value in self.headers if name == b"content-length"), None)
            self.length = None if length is None else int(length)
            if length is not None:
                if self.length > MOST:  # guards the wait: an answer of gigabytes is not waited for
                    self.doubt = "is too large"
            else:
                self.open_end = not any(name == b"transfer-encoding" for name, _ in self.headers)
            self.flows, self.got = length is None or self.length > WHOLE, 0
        self.in_body = self.status >= 200

    def on_body(self, body: bytes) -> None:
        if self.complete or self.doubt:
            return
        if self.sink is None:
            self.body.append(body)
        if self.flows:
            self._flow(body)

    def _flow(self, body: bytes) -> None:
        self.got += len(body)
        if self.got > MOST:
            self.doubt = "has no end"
        elif self.sink is not None:
            self.sink.more(body)
        elif self.got >= COMMIT and self.length != self.got:
            self._begin()

    def _begin(self) -> None:
        """A large answer: from here on it goes out as it comes, and can't be had from another any more."""
        if self.pool.judge(self.exchange, self.status, self.headers) is not Status.OK:
            self.doubt = "is not of this request"
            return
        first, self.body = b"".join(self.body), []
        self.sink = self.exchange.begun(Answer(self.status, self.headers, b"", self.length), self)
        if self.sink is None:
            self.doubt = NOBODYS
        else:
            self.bound_reads(True)
            self.sink.more(first)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if 100 <= self.status < 200:
            self.headers.clear()    # an interim answer; the one that counts follows
            self.in_body = False
        else:
            # Asked here, as the parser has forgotten it once it returns: guards the reuse of connections.
            self.complete, self.keep = True, self.parser.should_keep_alive()

    def _answered(self) -> None:
        exchange, body, written = self.exchange, b"".join(self.body), self.written
        status = self.pool.judge(exchange, self.status, self.headers)
        if status is None:
            return self._spoilt("is not of this request")
        answer = Answer(self.status, self.headers, body)
        self.last_txn, self.nameless = exchange.txn, not self.pool.names(exchange, self.headers)
        self.exchange = self.sink = None
        if self.paused:
            self.resume()
        if self.reads_bounded:
            self.bound_reads(False)
        if self.excess or not written or not self.keep or not self.upstream.open:
            self.close()
        else:
            self.idle_since = time.monotonic()
            self.until = self.idle_since + self.pool.keeps_for(self.headers)
            self.upstream.idle.append(self)
        exchange.end(status, answer)

    def _spoilt(self, what: str) -> None:
        """An answer that is none: the request may have run, and the connection is of no further use."""
        complain("upstream", "an answer of %s:%d %s", self.upstream.host, self.upstream.port, what)
        exchange, self.exchange, self.sink = self.exchange, None, None
        self.close()
        exchange.end(Status.ERROR)

    def stalled(self, now: float) -> None:
        """Guards the request's time: a length over what was sent would hold it until its deadline."""
        most = STALLED if self.sink is None else STOPPED
        if self.exchange is not None and 0.0 < self.heard < now - most and not self.paused:
            self._spoilt("does not come whole")
        elif not (self.flushed or self.exchange is None or self.exchange.upload is None) and (
                self.pushed_at < now - STOPPED):
            self.exchange.give_up(Status.TIMEOUT)   # it takes no more of a body

    def eof_received(self) -> None:
        """A half-closed connection takes no more requests; returning nothing closes our side too.

        It is the end of an answer that tells no other.
        """
        if self.exchange is not None and self.open_end and not self.doubt:
            self.complete = True
            self._answered()

    def connection_lost(self, error: Exception | None) -> None:
        written, exchange, self.exchange, self.sink = self.written, self.exchange, None, None
        self.close()
        self.pool.all.discard(self)
        self.parser = self.poll = None  # parser and protocol hold each other, and collections are rare
        if exchange is not None:
            exchange.end(Status.RESET if written else Status.CONNECT_FAILED)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self in self.upstream.idle:
                self.upstream.idle.remove(self)
            self.transport.abort()


class Backends:
    """The connections to every backend that discovery has named, within one bound."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, connect_timeout: float,
                 idle_close: float, budget: Budget) -> None:
        self.loop, self.most, self.budget = loop, most, budget
        self.connect_timeout = connect_timeout or CONNECT_TIMEOUT
        self.idle_most = min(IDLE_MOST, idle_close * IDLE_SHARE) if idle_close else IDLE_MOST
        self.upstreams: dict[str, Upstream] = {}
        self.all: set[UpstreamConnection] = set()
        self.connecting: dict[asyncio.Task, Exchange] = {}

    def judge(self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]]) -> Status | None:
        """What a whole answer proves; none where it is no answer to this request."""
        turned_away = status in (503, 504) and (b"x-turned-away", b"1") in headers
        return Status.OK if status == 200 else Status.FULL if turned_away else Status.ERROR

    def names(self, exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether an answer bears its request's id."""
        return True

    def tells(self, exchange: Exchange, connection: UpstreamConnection) -> bool:
        """Whether an answer on this connection would be known as that request's."""
        return True

    def keeps_for(self, headers: list[tuple[bytes, bytes]]) -> float:
        """Seconds that the connection may stand idle, by the answer."""
        return inf

    def follow(self, roster: Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Take in what discovery told: a new start or address gets connections of its own."""
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
            if old is not None and (old.host, old.port, old.started) == (host, port, entry.started_at):
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
        """Send an exchange on the connection used last, or on a new one."""
        upstream = self.upstreams.get(backend)
        if upstream is None or not upstream.open:
            return exchange.end(Status.CONNECT_FAILED)
        oldest = time.monotonic() - self.idle_most
        passed_over: UpstreamConnection | None = None
        for connection in upstream.idle[::-1]:
            if connection.idle_since < oldest or time.monotonic() >= connection.until or connection.stale():
                connection.close()
            elif self.tells(exchange, connection):
                upstream.idle.remove(connection)
                return connection.start(exchange)
            else:
                passed_over = connection
        if passed_over is not None:
            passed_over.close()     # a new one takes its place: the backend counts connections
        if self.open >= self.most and not self._evict():
            # Guards the backend's name: the shortage is our own, so this must not look like its fault.
            complain("upstream", "all %d connections are in use", self.most)
            return exchange.end(Status.MOOT)
        self._connect(upstream, exchange)

    def _connect(self, upstream: Upstream, exchange: Exchange) -> None:
        task = self.loop.create_task(connect(
            self.loop, lambda: UpstreamConnection(self, upstream, exchange), upstream.host, upstream.port))
        exchange.connecting, self.connecting[task] = task, exchange
        timer = self.loop.call_later(self.connect_timeout, task.cancel)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            self.connecting.pop(task, None)
            if task.cancelled() or (error := task.exception()) is not None:
                # Running out of descriptors is an OSError like a refusal, but no fault of the backend.
                short = not task.cancelled() and getattr(error, "errno", None) in OWN_SHORTAGE
                if not task.cancelled() and not isinstance(error, OSError):
                    complain("upstream", "connecting failed: %r", error)
                if exchange.connection is None:
                    exchange.end(Status.MOOT if short else Status.CONNECT_FAILED)

        task.add_done_callback(connected)

    @property
    def open(self) -> int:
        """Connections that are open or come up."""
        return len(self.all) + len(self.connecting)

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest, to make room for another backend's."""
        idle = [u.idle[0] for u in self.upstreams.values() if u.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        if (upstream := self.upstreams.get(backend)) is not None:
            for connection in list(upstream.idle):
                connection.close()

    def sweep(self) -> None:
        """Drop what has been idle for long, before the backend does while a request is on its way."""
        now = time.monotonic()
        oldest = now - self.idle_most
        for upstream in self.upstreams.values():
            while upstream.idle and (upstream.idle[0].idle_since < oldest or upstream.idle[0].until < now):
                upstream.idle[0].close()
        for connection in list(self.all):
            connection.stalled(now)

    def close(self) -> None:
        for task in list(self.connecting):
            task.cancel()
        for connection in list(self.all):
            connection.close()


def load_report(data: bytes, fields: list[str]) -> list[float]:
    """The values of a load report in the order of the settings; nothing where it can't be read whole."""
    try:
        told = json.loads(data)
        values = [float(told[name]) for name in fields]
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        complain("report", "a load report can't be read")
        return []
    return values if all(0.0 <= v < 1e9 for v in values) else []
