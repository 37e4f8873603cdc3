"""A small HTTP/1.1 server for the API calls of `calls.py`: readiness, directory, backends, operators."""

from __future__ import annotations

import asyncio
import json
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import httptools

from fennelpoint.net.upgrade_offers import UNSUPPORTED_METHODS, head_without_offer
from fennelpoint.system.calls import Call, find_call

IDLE_TIMEOUT_S = 12.0
REASONS = {200: "OK", 307: "Temporary Redirect", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           409: "Conflict", 412: "Precondition Failed", 413: "Content Too Large", 422: "Unprocessable Content",
           429: "Too Many Requests", 503: "Service Unavailable"}


@dataclass(slots=True)
class Reply:
    """A response; the body is `value` as JSON, or `raw`, which is JSON already."""

    status: int
    value: object = None
    raw: bytes | None = None
    headers: list[tuple[str, str]] = field(default_factory=list)

    def render(self, close: bool) -> bytes:
        """Returns the bytes of the response; `close` announces the end of the connection."""
        body = self.raw if self.raw is not None else b"" if self.value is None else json.dumps(
            self.value, separators=(",", ":")).encode()
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}", f"Content-Length: {len(body)}"]
        if body:
            lines.append("Content-Type: application/json")
        lines += [f"{name}: {value}" for name, value in self.headers]
        if close:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class ApiRequest:
    """One API call that waits for its reply; `answer` takes effect once, at any time."""

    __slots__ = ("call", "segment", "query", "body", "_connection", "is_answered")

    def __init__(self, call: Call, segment: str, query: dict[str, str], body: bytes,
                 connection: HttpConnection | None) -> None:
        self.call, self.segment, self.query, self.body, self._connection = call, segment, query, body, connection
        self.is_answered = False

    def answer(self, reply: Reply) -> None:
        """Sends the reply; any further reply is ignored."""
        if not self.is_answered:
            self.is_answered = True
            if self._connection is not None:
                self._connection.respond(reply)

    @property
    def is_abandoned(self) -> bool:
        """Whether the caller has disconnected, even if this process has not read that yet."""
        return self._connection is not None and (self._connection.is_lost or self._connection.is_closed_by_caller)


class HttpConnection(asyncio.Protocol):
    """One connection of a caller; its requests are answered one after the other, in order."""

    def __init__(self, server: HttpServer, listener: str) -> None:
        self.server, self.listener, self.is_lost = server, listener, False
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.queue: list[tuple[ApiRequest | Reply, bool]] = []  # with whether to keep the connection alive after it
        self.active: ApiRequest | None = None
        self.keep_alive, self.url, self.body, self.body_size, self.ignores_input = True, b"", [], 0, False
        self.headers: list[tuple[bytes, bytes]] = []    # of the request that is parsed; names in lower case
        self.has_offer = False      # its head offers another protocol
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = self.server.loop.call_later(IDLE_TIMEOUT_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.active is None and not self.queue:
            self.transport.close()
        else:
            self._restart_idle_timer()

    def data_received(self, data: bytes) -> None:
        if not self.ignores_input:
            self._parse(data)
            self._start_next()

    def _parse(self, data: bytes) -> None:
        """Feeds input to the parser; a request that offers another protocol is parsed as if it did not."""
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
            except httptools.HttpParserError:
                return self._reject(Reply(400, {"error_message": "malformed HTTP request"}))

    def _reject(self, reply: Reply) -> None:
        """Queues an error reply, and ignores all input after it."""
        if not self.ignores_input:
            self.ignores_input = True
            self.queue.append((reply, False))

    def on_message_begin(self) -> None:
        self.url, self.body, self.body_size = b"", [], 0
        self.headers, self.has_offer = [], False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if (method := self.parser.get_method()) in UNSUPPORTED_METHODS:
            return self._reject(Reply(405, {"error_message": f"{method.decode()} is not supported"}))
        if self.parser.should_upgrade():
            self.has_offer = True   # `_parse` parses it anew without the offer
            return
        # With a request before this one, the caller would take the 100 for the answer to that.
        if self.active is None and not self.queue and any(name == b"expect" for name, _ in self.headers):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size <= self.server.max_body_bytes:
            self.body.append(body)

    def on_message_complete(self) -> None:
        if self.ignores_input or self.has_offer:
            return
        keep_alive, method = self.parser.should_keep_alive(), self.parser.get_method().decode()
        try:
            target = httptools.parse_url(self.url)
            path, query = (target.path or b"/").decode(), (target.query or b"").decode()
        except (httptools.HttpParserError, UnicodeDecodeError):
            return self._reject(Reply(400, {"error_message": "malformed request target"}))
        call, segment, path_exists = find_call(self.listener, method, path)
        if call is None:
            self.queue.append((Reply(405 if path_exists else 404, {"error_message": "no such API call"}), keep_alive))
        elif self.body_size > call.max_body_bytes:
            self.queue.append((Reply(413, {"error_message": "request body is too large"}), keep_alive))
        else:
            request = ApiRequest(call, segment, dict(parse_qsl(query)), b"".join(self.body), self)
            self.queue.append((request, keep_alive))

    def _start_next(self) -> None:
        while self.queue and self.active is None and not self.is_lost:
            request, self.keep_alive = self.queue.pop(0)
            if isinstance(request, Reply):
                self._write(request)
            else:
                self.active = request
                self.server.handler(request)

    def respond(self, reply: Reply) -> None:
        """Sends the reply to the active request and starts the next one."""
        self.active = None
        if not self.is_lost:
            self._write(reply)
            self._start_next()

    def _write(self, reply: Reply) -> None:
        self.transport.write(reply.render(not self.keep_alive))
        if not self.keep_alive:
            self.transport.close()
        self._restart_idle_timer()

    @property
    def is_closed_by_caller(self) -> bool:
        """Whether the caller has closed the connection.

        A process that was paused reads requests that were sent before the caller closed.
        """
        if self.transport is None or (sock := self.transport.get_extra_info("socket")) is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)     # poll reports a reset without a flag for it
        return bool(poll.poll(0))

    def connection_lost(self, error: Exception | None) -> None:
        self.is_lost, self.parser = True, None
        if self.idle_timer is not None:
            self.idle_timer.cancel()


class HttpServer:
    """Serves API calls on one or more listen addresses; `handler` gets each request and answers it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: Callable[[ApiRequest], None],
                 max_body_bytes: int = 1 << 24) -> None:
        self.loop, self.handler, self.max_body_bytes = loop, handler, max_body_bytes
        self.listeners: list[asyncio.Server] = []

    async def listen(self, listener: str, address: tuple[str, int]) -> None:
        """Serves the calls of a listener, as `calls.py` names it, at an address."""
        self.listeners.append(await self.loop.create_server(
            lambda: HttpConnection(self, listener), *address, backlog=256, reuse_address=True))

    def close(self) -> None:
        """Stops listening; open connections stay."""
        for listener in self.listeners:
            listener.close()
