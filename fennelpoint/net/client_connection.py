"""A client's HTTP/1.1 connection: reads and validates its requests, and writes one response for each.

Requests of one connection are served in order.  No malformed request reaches a backend: the parser is strict, and
this module checks the framing and the fields that routing relies on before it passes a request to the host.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections import deque
from collections.abc import Iterable
from itertools import islice
from math import inf
from typing import Protocol

import httptools

from fennelpoint.body_buffering import BODY_STALL_TIMEOUT_S, MAX_BODY_BYTES, Account, Pace, Upload
from fennelpoint.lifecycle import LifeCycle
from fennelpoint.net.controller_host import ControllerHost, ParsedRequest
from fennelpoint.net.exchange import HOP_BY_HOP, Response, Source
from fennelpoint.net.flow_control import BoundedReadProtocol
from fennelpoint.net.request_parser import BadRequest, LocalReply, RequestReader
from fennelpoint.net.socket_state import has_closed
from fennelpoint.net.upgrade_offers import UNSUPPORTED_METHODS, head_without_offer

MAX_HEAD_BYTES = 16 * 1024          # request line and header fields together
MAX_FRAMING_BYTES = 512 * 1024      # chunk framing and trailers of one request, beside 8 bytes per body byte
MAX_PENDING_REQUESTS = 16           # pipelined requests of one connection
MAX_PENDING_BODY_BYTES = 256 * 1024     # bodies of pipelined requests
MAX_UNREAD_RESPONSE_BYTES = 128 * 1024  # response bytes left unread before the connection's next request must wait
ANSWER_MARGIN_S = 0.05              # before a client stops waiting, in which an answer still reaches it
MIN_TIME_LEFT_S = 0.001
RESET_ON_CLOSE = struct.pack("ii", 1, 0)    # SO_LINGER on with 0 s: closing sends a reset
RETRY_ELSEWHERE_AFTER_S = 0.02      # Retry-After of a process that stops: another one can serve the retry at once
MAX_DISCARDED_BYTES = 1024 * 1024   # input read and dropped during that time
OWS = b" \t"                        # optional whitespace around a field value (RFC 9110, section 5.5)

REASON_PHRASES = {200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found",
                  405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict",
                  413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
                  503: b"Service Unavailable"}


ConnectionQueue = dict["ClientConnection", None]     # connections in the same state, the oldest first


class ServerContext(Protocol):
    """What a connection needs of its server; `server.Server` says what each queue holds."""

    loop: asyncio.AbstractEventLoop
    host: ControllerHost
    lifecycle: LifeCycle
    reader: RequestReader
    connections: set[ClientConnection]
    awaiting_request: ConnectionQueue
    receiving_head: ConnectionQueue
    idle_after_one: ConnectionQueue
    idle: ConnectionQueue
    closing: ConnectionQueue
    receiving_body: ConnectionQueue
    streaming: ConnectionQueue

    def evict_excess(self) -> None: ...


class ClientConnection(BoundedReadProtocol):
    """One connection of a client, or of a proxy in front of this process."""

    __slots__ = ("server", "transport", "parser", "pending", "open_request", "ignores_input", "keep_alive",
                 "state_entered_at", "head_size", "received_bytes", "message_began", "url", "headers", "body_pieces",
                 "body_size", "in_head", "in_body", "is_disconnected", "is_write_paused", "queue",
                 "is_head_request", "content_length", "pace", "upload", "account", "source", "is_chunked",
                 "is_self_delimited", "expects_continue", "is_read_paused", "is_reused", "streamed_bytes",
                 "flushed_bytes", "flushed_at", "high_water_mark", "has_offer", "gives_up_at",
                 "deadline_timer", "max_body_bytes", "__weakref__")

    def __init__(self, server: ServerContext) -> None:
        super().__init__(server.host.budget)
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        # Parsed requests that wait for the response before them, each with its keep-alive flag.
        self.pending: deque[tuple[ParsedRequest | BadRequest | LocalReply | bytes, bool]] = deque()
        self.open_request: int | None = None    # id of the request that is being served
        self.ignores_input = False              # after an error or the last response: input is discarded
        self.keep_alive = True                  # whether the connection outlives the current request
        self.is_disconnected = self.is_head_request = False
        self.is_write_paused = False            # the client does not read the response
        self.queue: dict[ClientConnection, None] | None = None  # the server's state queue that holds the connection
        self.state_entered_at = time.monotonic()    # when it became idle or the current request began
        self.in_head = self.in_body = False
        self.upload: Upload | None = None       # body of the open request while it is streamed to a backend
        self.source: Source | None = None       # of the response that is streamed
        self.is_chunked = False                 # the streamed response has chunked framing
        self.is_self_delimited = True           # it has chunked framing or a length, so its end is recognizable
        self.streamed_bytes = self.flushed_bytes = 0    # of streamed responses: written, and accepted by the client
        self.flushed_at = 0.0                   # when `flushed_bytes` last grew
        self.high_water_mark = MAX_UNREAD_RESPONSE_BYTES
        self.account = Account(self.budget)
        self.is_reused = False                  # it was idle before, and then sent another request
        self.is_read_paused = False             # back-pressure: the backend does not accept the body
        self.deadline_timer: asyncio.TimerHandle | None = None  # ends a body that is not there in time
        self._reset_message()

    def _reset_message(self) -> None:
        self.head_size = self.body_size = self.received_bytes = 0
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_pieces: list[bytes] = []
        self.content_length: int | None = None
        self.max_body_bytes = 0         # of a message with a body
        self.pace: Pace | None = None   # of a body that did not arrive together with its head
        self.expects_continue = False   # the client waits for "100 Continue" before it sends its body
        self.has_offer = False          # the head offers another protocol
        self.gives_up_at = inf          # when the client stops waiting, of a body that did not arrive with its head

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_RESPONSE_BYTES)
        self.server.connections.add(self)
        self._enter_queue(self.server.awaiting_request)
        self.server.evict_excess()

    def _enter_queue(self, queue: dict[ClientConnection, None] | None, entered_at: float | None = None) -> None:
        """Move to the end of the queue for another state, as of now or of the earlier moment `entered_at`."""
        if self.queue is not None:
            self.queue.pop(self, None)
        self.queue = queue
        if queue is not None:
            self.state_entered_at = time.monotonic() if entered_at is None else entered_at
            queue[self] = None

    def pause_writing(self) -> None:
        self.is_write_paused = True
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        self.is_write_paused = False
        if self.source is not None:
            self.account.set_used(self.transport.get_write_buffer_size())
            self.source.resume()
        self._serve_next()

    def data_received(self, data: bytes) -> None:
        if self.ignores_input:
            self.received_bytes += len(data)
            if self.received_bytes > MAX_DISCARDED_BYTES and self.queue is self.server.closing:
                self.transport.abort()      # the response is written; reading the rest costs more than it is worth
            return
        self.message_began = False
        self._parse(data)
        if (self.in_head or self.in_body) and not self.message_began:   # no message began within these bytes
            # Bounds memory: the parser buffers an endless field or trailer without calling back.
            self.received_bytes += len(data)
            if self.in_head and self.received_bytes > MAX_HEAD_BYTES:
                self._reject(BadRequest("the head is too long", 431))
            elif self.received_bytes > MAX_FRAMING_BYTES + 8 * self.body_size:
                self._reject(BadRequest("it has no end", 413))
        if self.in_head:
            if self.queue is self.server.idle or self.queue is self.server.idle_after_one:
                self._enter_queue(self.server.receiving_head)  # HEAD_TIMEOUT_S runs from now
            elif self.queue is self.server.awaiting_request:
                self._enter_queue(self.server.receiving_head, self.state_entered_at)  # from the connect
        elif self.in_body and not self.ignores_input:
            self._on_body_progress()
        self._serve_next()

    def _parse(self, data: bytes) -> None:
        """Feed input to the parser; a request that offers another protocol is parsed as if it did not."""
        while True:
            try:
                return self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                if self.ignores_input:
                    return
                parsed_bytes, parser = offer.args[0], self.parser
                head = head_without_offer(parser.get_method(), self.url, parser.get_http_version(), self.headers)
                data = head + data[parsed_bytes:]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as error:
                return self._reject(BadRequest(f"it can't be read: {error}"))

    def _on_body_progress(self) -> None:
        """Handle a body that did not arrive with its head: check its rate, and stream it once it is large."""
        now = time.monotonic()
        if self.pace is None:
            self.pace = Pace(now)
            self.bound_reads(True)
            self._await_deadline(now)
        if self.expects_continue and self.open_request is None and not self.pending:
            self.expects_continue, self.pace = False, Pace(now)
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.pace.received_bytes = self.body_size
        if self.upload is None and self.queue is not self.server.receiving_body and self.open_request is None:
            self._enter_queue(self.server.receiving_body)
        if self.upload is not None:
            if self.open_request is not None:
                self.server.host.body_arrived(self.open_request)
        else:
            self.account.set_used(self.body_size)
            if self.body_size >= self.budget.upload_buffer_bytes and self.open_request is None and not self.pending:
                self._start_streaming_upload(now)
        if not self.ignores_input:   # else reads on and discards, as a reset would lose the response
            self._apply_back_pressure(now)

    def _await_deadline(self, now: float) -> None:
        """Answer a client that stops waiting before its body is complete."""
        wait_s = self.server.reader.client_wait_s(self.headers)
        if wait_s < inf:
            self.gives_up_at = now + wait_s
            self.deadline_timer = self.server.loop.call_later(
                max(0.0, wait_s - ANSWER_MARGIN_S), self._handle_deadline)

    def _handle_deadline(self) -> None:
        is_answered = self.upload is not None and self.open_request is None and not self.pending
        if self.in_body and not self.ignores_input and not is_answered:
            self.handle_timeout()

    def _end_deadline(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None

    def _start_streaming_upload(self, now: float) -> None:
        """Admit the request before its body is complete, and stream the rest of the body to the backend."""
        upload = Upload(self.content_length)
        try:
            request = self._read_request(b"", upload)
        except BadRequest as error:
            return self._reject(error)
        upload.add(b"".join(self.body_pieces))
        self.body_pieces, self.upload = [], upload
        if isinstance(request, LocalReply):    # the rest of its body is read and discarded
            upload.discard()
            self.account.close()
        else:
            request.upload_expected_s = self.pace.expected_s(now, upload.missing_bytes)
            self.account.start_stream()
        self.pending.append((request, self.parser.should_keep_alive()))

    def _apply_back_pressure(self, now: float) -> None:
        """Pause reading while the body's buffer is full."""
        if self.upload is not None:
            self.account.set_used(self.upload.pending_bytes)
            is_full = self.upload.pending_bytes >= self.budget.upload_buffer_bytes
        else:   # it waits for the requests before it
            is_full = self.in_body and self.body_size >= self.budget.upload_buffer_bytes
        if is_full and not self.is_read_paused and not self.is_disconnected:
            self.is_read_paused = True
            self.transport.pause_reading()
            self.pace.pause(now)
        elif not is_full and self.is_read_paused:
            self._resume_reading(now)

    def _resume_reading(self, now: float) -> None:
        if self.is_read_paused and not self.is_disconnected:
            self.is_read_paused = False
            self.transport.resume_reading()
            if self.pace is not None:
                self.pace.resume(now)

    def has_disconnected(self) -> bool:
        """Whether the client has closed its side, even if the end of the stream is still unread."""
        return self.is_disconnected or bool(has_closed([self.transport]))

    def upload_written(self) -> None:
        """Resume reading if allowed: part of the streamed body was written to the backend."""
        if self.upload is not None or self.is_read_paused:
            self._apply_back_pressure(time.monotonic())

    # Parser callbacks.  An error found here ends the reading; the requests before it are still served.

    def on_message_begin(self) -> None:
        self._reset_message()
        self.in_head = self.message_began = True

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            return      # a trailer field: ignored
        self.head_size += len(name) + len(value)
        self.headers.append((name.lower(), value.rstrip(OWS)))   # the parser keeps whitespace after the value

    def on_headers_complete(self) -> None:
        self.in_head, self.in_body = False, True
        if self.ignores_input:
            return
        if (method := self.parser.get_method()) in UNSUPPORTED_METHODS:
            return self._reject(BadRequest(f"{method.decode()} is not supported", 405))
        if self.parser.should_upgrade():
            self.has_offer = True   # `_parse` parses it anew without the offer
            return
        if self.head_size + len(self.url) > MAX_HEAD_BYTES:
            return self._reject(BadRequest("the head is too long", 431))
        length = coding = None
        for name, value in self.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding":
                coding = value
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True
        if coding is not None and (length is not None or coding.lower() != b"chunked"
                                   or self.parser.get_http_version() != "1.1"):
            # Prevents request smuggling: other hops could see the end of this body at another byte.
            return self._reject(BadRequest("its framing is ambiguous"))
        if length is not None and (not length.isdigit() or len(length) > 18):
            return self._reject(BadRequest("its length is none"))
        self.content_length = None if length is None else int(length)
        if length is not None or coding is not None:
            self.max_body_bytes = self.server.reader.max_body_bytes() or MAX_BODY_BYTES
        if self.content_length is not None and self.content_length > self.max_body_bytes:
            self._reject(BadRequest("its body is too large", 413))

    def on_body(self, body: bytes) -> None:
        if self.ignores_input:
            return
        self.body_size += len(body)
        if self.body_size > self.max_body_bytes:
            return self._reject(BadRequest("its body is too large", 413))
        if self.upload is not None:
            self.upload.add(body)
        else:
            self.body_pieces.append(body)

    def on_message_complete(self) -> None:
        self.in_body = False
        if self.ignores_input or self.has_offer:
            return
        if self.upload is not None:
            self.upload.is_complete = True
            if self.open_request is not None:
                self.server.host.body_arrived(self.open_request)
            return self._finish_upload()
        keep_alive = self.parser.should_keep_alive()
        if self.url == self.server.reader.READY_PATH and self.parser.get_method() == b"GET":
            self.pending.append((self.url, keep_alive))
        else:
            try:
                self.pending.append((self._read_request(b"".join(self.body_pieces)), keep_alive))
            except BadRequest as error:
                return self._reject(error)
        if self.pace is not None:
            self._resume_reading(time.monotonic())
            self.bound_reads(False)
            self.pace = None
            self._end_deadline()
        if self.open_request is None and len(self.pending) <= 1:
            return      # the usual case: no pipelining
        # Without the request that is served next: its body may be large, and must not get later requests refused.
        later = islice(self.pending, self.open_request is None, None)
        pending_body_bytes = sum(len(request.body) for request, _ in later if isinstance(request, ParsedRequest))
        if len(self.pending) > MAX_PENDING_REQUESTS or pending_body_bytes > MAX_PENDING_BODY_BYTES:
            self.pending.pop()
            self._reject(BadRequest("too many requests at once"))

    def _read_request(self, body: bytes, upload: Upload | None = None) -> ParsedRequest | LocalReply:
        try:
            request = self.server.reader.read(self.parser.get_method(), self.url, self.headers, body, upload)
        except LocalReply as reply:
            return reply
        if self.gives_up_at < inf:
            request.client_wait_s = max(MIN_TIME_LEFT_S, self.gives_up_at - time.monotonic())
            request.time_left = min(request.time_left, request.client_wait_s)
        return request

    def _finish_upload(self) -> None:
        """Return to normal reading: the streamed body is complete."""
        self._resume_reading(time.monotonic())
        self.bound_reads(False)
        self.pace = self.upload = None
        self._end_deadline()
        if self.open_request is not None or self.pending:
            if self.queue is self.server.receiving_body:
                self._enter_queue(None)
        elif self.keep_alive and self.server.lifecycle.keeps_connections:   # answered before the body was complete
            self._enter_idle()
        else:
            self._close_gracefully()

    def _reject(self, error: BadRequest) -> None:
        """Queue an error response, and ignore all input after it."""
        if not self.ignores_input:
            self.ignores_input = True
            self._end_deadline()
            if self.upload is not None and self.open_request is None and not self.pending:
                # It has its response already: a second one would pass for the response to the next request.
                return self._close_gracefully()
            if self.upload is not None and self.open_request is not None:
                # The request stays incomplete: end it at the host, and send only this error.
                self.upload = None
                self.server.host.client_left(self.open_request)
                self.open_request = None
                if self.source is not None:
                    return self.abort_response()
                self.account.close()
            self.pending.append((error, False))

    # Responses

    def _serve_next(self) -> None:
        """Serve the next pending request, if no other is open."""
        while self.pending and self.open_request is None and not (self.is_disconnected or self.is_write_paused):
            item, self.keep_alive = self.pending.popleft()
            if isinstance(item, BadRequest):
                self._write_response(item.status, (), f"{item}\n".encode(), keep_alive=False)
            elif isinstance(item, LocalReply):
                self.is_head_request = item.is_head_request
                self._write_response(item.status, item.headers, item.body, self.keep_alive)
                self.is_head_request = False
            elif isinstance(item, bytes):
                ready = self.server.lifecycle.is_ready
                self._write_response(200 if ready else 503, (), b"ready\n" if ready else b"not ready\n",
                                     self.keep_alive)
            elif self.server.host.is_open(item.request_id):
                # Prevents running a request twice: each request has a new id, so this is a duplicate.
                self._write_response(409, (), b"this id is open\n", keep_alive=False)
            elif self.server.lifecycle.may_outlast_process(item.upload_expected_s + item.time_left, time.monotonic()):
                self.send_refusal(RETRY_ELSEWHERE_AFTER_S)
            else:
                self._enter_queue(None)
                self.is_head_request = item.is_head_request
                self.open_request = -1      # `admit` may answer the request before it returns the id
                request_id = self.server.host.admit(self, item)
                self.open_request = request_id if self.open_request == -1 else self.open_request
                if self.upload is not None and self.open_request is not None:
                    self._enter_queue(self.server.receiving_body)     # the body's rate is checked

    def send_response(self, answer: Response) -> None:
        self._respond(answer.status, [f for f in answer.headers if f[0] not in HOP_BY_HOP], answer.body)

    def send_refusal(self, retry_after: float, status: int = 503) -> None:
        retry_header = [(b"retry-after", b"%.3f" % retry_after)] if retry_after > 0.0 else []
        self._respond(status, retry_header, b"refused: trying again is harmless\n")

    def send_failure(self) -> None:
        self._respond(502, [], b"failed\n")

    def start_response(self, answer: Response, source: Source) -> None:
        """Write the head of a response whose body is streamed from `source`."""
        keep_alive, headers = self._stays_open(self.keep_alive), [f for f in answer.headers if f[0] not in HOP_BY_HOP]
        self.is_chunked = answer.content_length is None and self.parser.get_http_version() != "1.0"
        if answer.content_length is not None:
            headers.append((b"content-length", b"%d" % answer.content_length))
        elif self.is_chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            keep_alive = False    # the close of the connection marks its end
        self.keep_alive, self.source, self.is_self_delimited = (
            keep_alive, source, answer.content_length is not None or self.is_chunked)
        self.account.start_stream()
        self.streamed_bytes = self.flushed_bytes = 0
        self.flushed_at = time.monotonic()
        self.server.streaming[self] = None
        self.transport.write(self._response_head(answer.status, headers, keep_alive))

    def write_body(self, data: bytes) -> None:
        if self.is_disconnected or self.is_head_request or not data:
            return
        if (mark := self.budget.high_water_bytes) != self.high_water_mark:
            self.high_water_mark = mark
            self.transport.set_write_buffer_limits(high=mark)
        self.streamed_bytes += len(data)
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.is_chunked else data)
        self.account.set_used(self.transport.get_write_buffer_size())

    def end_response(self) -> None:
        """Finish a streamed response that is complete."""
        self._end_streaming()
        if self.is_disconnected:
            return
        if self.is_chunked and not self.is_head_request:
            self.transport.write(b"0\r\n\r\n")
        self._after_response(self.keep_alive)

    def abort_response(self) -> None:
        """Abort a streamed response that stays incomplete, so that the client can tell."""
        self._end_streaming()
        if self.is_disconnected:
            return
        if self.is_self_delimited:
            return self._close_gracefully()
        # The close of the connection marks the end of this response, so only a reset shows that it is truncated.
        client_socket = self.transport.get_extra_info("socket")
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _end_streaming(self) -> None:
        self.open_request, self.source = None, None
        self.server.streaming.pop(self, None)
        self.account.close()
        if self.high_water_mark != MAX_UNREAD_RESPONSE_BYTES and not self.is_disconnected:
            self.high_water_mark = MAX_UNREAD_RESPONSE_BYTES
            self.transport.set_write_buffer_limits(high=MAX_UNREAD_RESPONSE_BYTES)

    def is_client_reading(self, now: float) -> bool:
        """Whether the client accepted data within `BODY_STALL_TIMEOUT_S`, or has nothing left to read."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if not unsent_bytes or self.streamed_bytes - unsent_bytes > self.flushed_bytes:
            self.flushed_bytes, self.flushed_at = self.streamed_bytes - unsent_bytes, now
        return now - self.flushed_at < BODY_STALL_TIMEOUT_S

    def _respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.open_request = None
        if self.upload is not None:
            self.upload.discard()
            self._apply_back_pressure(time.monotonic())
        if self.account.used_bytes or self.account.is_streaming:
            self.account.close()
        if not self.is_disconnected:
            self._write_response(status, headers, body, self.keep_alive)
            if self.pending:
                # Deferred: a series of refused pipelined requests would recurse ever deeper.
                self.server.loop.call_soon(self._serve_next)

    def _write_response(self, status: int, headers, body: bytes, keep_alive: bool) -> None:
        keep_alive = self._stays_open(keep_alive)
        head = self._response_head(status, (*headers, (b"content-length", b"%d" % len(body))), keep_alive)
        self.transport.write(head if self.is_head_request else head + body)
        self._after_response(keep_alive)

    def _stays_open(self, keep_alive: bool) -> bool:
        """Whether to keep the connection open: during a drain, only while requests are pending or arriving."""
        return keep_alive and (
            self.server.lifecycle.keeps_connections or bool(self.pending) or self.in_head or self.in_body)

    def _response_head(self, status: int, headers: Iterable[tuple[bytes, bytes]], keep_alive: bool) -> bytes:
        lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Status"))]
        lines += [name + b": " + value for name, value in headers]
        if not keep_alive:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _after_response(self, keep_alive: bool) -> None:
        """After a response is written: wait for the next request, or close."""
        if self.in_body and not self.ignores_input and (keep_alive or self.upload is not None):
            self._enter_queue(self.server.receiving_body)
            self.keep_alive = keep_alive
            self.server.loop.call_soon(self._resume_body)
        elif keep_alive:
            self._enter_queue(self.server.receiving_head) if self.in_head else self._enter_idle()
        else:
            self._close_gracefully()

    def _enter_idle(self) -> None:
        """Enter the idle queue for connections after their first request, or the one for reused connections."""
        self._enter_queue(self.server.idle if self.is_reused else self.server.idle_after_one)
        self.is_reused = True

    def _resume_body(self) -> None:
        """Go on with a body that waited for the response before it, or whose request is already answered."""
        if self.in_body and not self.ignores_input and self.open_request is None:
            self._on_body_progress()
            self._serve_next()

    def _close_gracefully(self) -> None:
        """Close after the pending output; read and discard further input for up to `LINGER_TIMEOUT_S`.

        Closing with unread input would reset the connection, and the client would lose the response.
        """
        self.ignores_input, self.received_bytes = True, 0
        self._end_deadline()
        self.pending.clear()
        self.headers, self.body_pieces, self.upload = [], [], None
        self.account.close()
        self._enter_queue(self.server.closing)
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def eof_received(self) -> bool:
        """Close the connection: a client that closed its side is treated as disconnected."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.is_disconnected = self.ignores_input = True
        self._end_deadline()
        self.server.connections.discard(self)
        self._enter_queue(None)
        if self.open_request is not None and self.open_request > 0:
            self.server.host.client_left(self.open_request)
        self.open_request = self.source = self.upload = None
        self.account.close()
        self.server.streaming.pop(self, None)
        self.pending.clear()
        # Breaks the reference cycle of parser and protocol, as garbage collections are rare.
        self.parser = None

    # Time-outs

    def handle_timeout(self) -> None:
        """End a request that has begun to arrive with an error response; otherwise close the connection.

        408 promises that the request has not run, so it is not sent once a backend may have begun to work on it.
        """
        if self.transport.get_write_buffer_size() and self.is_client_reading(time.monotonic()):
            self._enter_queue(self.queue)     # it still reads the response
        elif self.is_write_paused or self.ignores_input:
            self.transport.abort()      # it does not read, so an error response would not arrive
        elif not (self.in_head or self.in_body):
            self.transport.close()
        else:
            is_uploading = self.upload is not None and self.open_request is not None
            may_have_run = is_uploading and self.server.host.may_have_run(self.open_request)
            self._reject(BadRequest("it has not come whole in time", 502 if may_have_run else 408))
            self._serve_next()
