"""A connection to a backend: what is written to it, how its responses are read, and what their ends prove."""

from __future__ import annotations

import asyncio
import select
import time
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

import httptools

from fennelpoint.body_buffering import BODY_STALL_TIMEOUT_S, COMMIT_BYTES, MAX_BUFFERED_BYTES, Budget
from fennelpoint.interface import BackendState, Status
from fennelpoint.net.exchange import BodyReceiver, Exchange, Response
from fennelpoint.net.flow_control import BoundedReadProtocol
from fennelpoint.rate_limited_log import warn_limited

MAX_RECEIVED_BYTES = 2 * MAX_BUFFERED_BYTES     # of a buffered response with its head and framing
NO_RECEIVER = "has no receiver any more"


class Pool(Protocol):
    """What a connection needs of the pool that it belongs to; `backends.Backends` says what each means."""

    STARTS_AT_LAST_BYTE: bool
    RESPONSE_STALL_TIMEOUT_S: float
    budget: Budget
    max_body_bytes: int
    all: set[UpstreamConnection]

    def judge(self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]]) -> Status | None: ...
    def has_id(self, exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> bool: ...
    def keep_alive_s(self, headers: list[tuple[bytes, bytes]]) -> float: ...


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

    def __init__(self, pool: Pool, upstream: Upstream, first_exchange: Exchange) -> None:
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
