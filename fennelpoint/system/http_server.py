"""A small HTTP/1.1 server for the calls of `calls.py`: readiness, directory, backends, operators."""

from __future__ import annotations

import asyncio
import json
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import httptools

from fennelpoint.system.calls import Call, find

IDLE = 12.0     # s that a connection may stand
REASONS = {200: "OK", 307: "Temporary Redirect", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           409: "Conflict", 412: "Precondition Failed", 413: "Content Too Large", 422: "Unprocessable Content",
           429: "Too Many Requests", 503: "Service Unavailable"}


@dataclass(slots=True)
class Reply:
    """`value` goes out as JSON; `raw` is JSON already."""

    status: int
    value: object = None
    raw: bytes | None = None
    headers: list[tuple[str, str]] = field(default_factory=list)

    def render(self, close: bool) -> bytes:
        body = self.raw if self.raw is not None else b"" if self.value is None else json.dumps(
            self.value, separators=(",", ":")).encode()
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}", f"Content-Length: {len(body)}"]
        if body:
            lines.append("Content-Type: application/json")
        lines += [f"{name}: {value}" for name, value in self.headers]
        if close:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Asking:
    """One call that waits for its reply; `answer` may be given once, at any time."""

    __slots__ = ("call", "segment", "query", "body", "_visit", "answered")

    def __init__(self, call: Call, segment: str, query: dict[str, str], body: bytes, visit: Visit | None) -> None:
        self.call, self.segment, self.query, self.body, self._visit = call, segment, query, body, visit
        self.answered = False

    def answer(self, reply: Reply) -> None:
        if not self.answered:
            self.answered = True
            if self._visit is not None:
                self._visit.say(reply)

    @property
    def gone(self) -> bool:
        """Whether nobody waits any more, also where that has not been read yet."""
        return self._visit is not None and (self._visit.lost or self._visit.hung_up)


class Visit(asyncio.Protocol):
    """One caller's connection; its calls are answered in turn."""

    def __init__(self, web: Web, door: str) -> None:
        self.web, self.door, self.lost = web, door, False
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiting: list[tuple[Asking | Reply, bool]] = []
        self.open: Asking | None = None
        self.keep, self.url, self.body, self.size, self.deaf = True, b"", [], 0, False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._rest()

    def _rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.web.loop.call_later(IDLE, self._idle)

    def _idle(self) -> None:
        if self.open is None and not self.waiting:
            self.transport.close()
        else:
            self._rest()

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault(Reply(400, {"error_message": "it can't be read"}))
        self._next()

    def _fault(self, reply: Reply) -> None:
        if not self.deaf:
            self.deaf = True
            self.waiting.append((reply, False))

    def on_message_begin(self) -> None:
        self.url, self.body, self.size = b"", [], 0

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and self.open is None and not self.waiting:    # else it would be another's
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size <= self.web.most:
            self.body.append(body)

    def on_message_complete(self) -> None:
        if self.deaf:
            return
        keep, method = self.parser.should_keep_alive(), self.parser.get_method().decode()
        try:
            parts = httptools.parse_url(self.url)
            path, query = (parts.path or b"/").decode(), (parts.query or b"").decode()
        except (httptools.HttpParserError, UnicodeDecodeError):
            return self._fault(Reply(400, {"error_message": "the target can't be read"}))
        call, segment, known = find(self.door, method, path)
        if call is None:
            self.waiting.append((Reply(405 if known else 404, {"error_message": "there is no such call"}), keep))
        elif self.size > call.most:
            self.waiting.append((Reply(413, {"error_message": "the body is too large"}), keep))
        else:
            asking = Asking(call, segment, dict(parse_qsl(query)), b"".join(self.body), self)
            self.waiting.append((asking, keep))

    def _next(self) -> None:
        while self.waiting and self.open is None and not self.lost:
            what, self.keep = self.waiting.pop(0)
            if isinstance(what, Reply):
                self._write(what)
            else:
                self.open = what
                self.web.take(what)

    def say(self, reply: Reply) -> None:
        self.open = None
        if not self.lost:
            self._write(reply)
            self._next()

    def _write(self, reply: Reply) -> None:
        self.transport.write(reply.render(not self.keep))
        if not self.keep:
            self.transport.close()
        self._rest()

    @property
    def hung_up(self) -> bool:
        """Whether the caller has closed: a process that was frozen reads what was asked before that."""
        if self.transport is None or (place := self.transport.get_extra_info("socket")) is None:
            return False
        poll = select.poll()
        poll.register(place.fileno(), select.POLLRDHUP)     # a reset is told unasked
        return bool(poll.poll(0))

    def connection_lost(self, error: Exception | None) -> None:
        self.lost, self.parser = True, None
        if self.timer is not None:
            self.timer.cancel()


class Web:
    """Listens at some doors; `take` gets each call and answers it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, take: Callable[[Asking], None], most: int = 1 << 24) -> None:
        self.loop, self.take, self.most = loop, take, most
        self.listeners: list[asyncio.Server] = []

    async def listen(self, door: str, at: tuple[str, int]) -> None:
        self.listeners.append(await self.loop.create_server(
            lambda: Visit(self, door), *at, backlog=256, reuse_address=True))

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()
