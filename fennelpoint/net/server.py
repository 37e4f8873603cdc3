"""Client connections: reads requests, refuses what can't be trusted, writes each request's one answer.

Requests of one connection are served in turn.  Nothing that is malformed reaches a backend: the parser
is strict, and what the routing goes by is checked here before the host hears of a request.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from collections import deque
from collections.abc import Iterable
from itertools import islice, takewhile

import httptools

from fennelpoint.body_buffering import BODY_STALL_TIMEOUT_S, MAX_BODY_BYTES, Account, Pace, Upload
from fennelpoint.file_descriptors import MIN_SILENT_S, Evictable, Plan, choose_eviction
from fennelpoint.lifecycle import LifeCycle
from fennelpoint.net.backends import HOP_BY_HOP, Response
from fennelpoint.net.controller_host import ControllerHost, ParsedRequest, Source
from fennelpoint.net.flow_control import Paced
from fennelpoint.net.request_parser import BadRequest, Reader, Reply

MOST_HEAD = 16 * 1024   # bytes of request line and fields together
MOST_TAKEN = 512 * 1024 # bytes of framing and trailers of one request, beside eight for each of its body
MOST_WAITING = 16       # requests written behind one another on one connection
MOST_BEHIND = 256 * 1024  # bytes of their bodies
MOST_UNREAD = 128 * 1024  # bytes of answers that a client leaves unread before it is served no more
HEAD_TIMEOUT = 2.5      # s for a request to come whole, from the connect or from its first byte
IDLE_TIMEOUT = 5.0      # s that a connection may stand with nothing open
RESET = struct.pack("ii", 1, 0)    # to close without a linger: by a reset
ELSEWHERE_ADVICE = 0.02 # s, of a process that ends: another may serve it at once
LINGER = 0.5            # s to read on after an error, so that its answer is not lost with a reset
MOST_DRAINED = 1024 * 1024  # bytes read and dropped meanwhile
BACKLOG = 1024          # connections that wait to be accepted
OWS = b" \t"              # may stand round a field's value (RFC 9110, section 5.5)

REASONS = {200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found",
           405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict",
           413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
           503: b"Service Unavailable"}


class ClientConnection(Paced):
    """One connection of a client or front."""

    __slots__ = ("server", "transport", "parser", "waiting", "open", "deaf", "keep", "since", "head_size",
                 "taken", "fresh", "method_url", "headers", "body", "body_size", "in_head", "in_body", "lost",
                 "choked", "place", "bare", "length", "pace", "upload", "account", "source", "chunks",
                 "framed", "expects", "halted", "again", "passed", "drained", "drained_at", "mark",
                 "__weakref__")

    def __init__(self, server: Server) -> None:
        super().__init__(server.host.budget)
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[tuple[ParsedRequest | BadRequest | Reply | bytes, bool]] = deque()
        self.open: int | None = None    # the id of the request that is being served
        self.deaf = False               # nothing more is read: an error was found, or the end announced
        self.keep = True                # the request at hand lets the connection stay
        self.lost = self.bare = False   # bare: the request at hand is a HEAD
        self.choked = False             # the client does not read what it was sent
        self.place: dict[ClientConnection, None] | None = None  # the server's line that it stands in
        self.since = time.monotonic()   # when it fell idle, or the request at hand began
        self.in_head = self.in_body = False
        self.upload: Upload | None = None   # the open request's body, while it is passed on as it comes
        self.source: Source | None = None   # of the answer that is passed on as it comes
        self.chunks = False             # that is framed in chunks
        self.framed = True              # it tells its end, in chunks or by its length
        self.passed = self.drained = 0  # bytes of such answers, written and taken by the client
        self.drained_at = 0.0           # when the latter last grew
        self.mark = MOST_UNREAD
        self.account = Account(self.budget)
        self.again = False              # it was idle before, and asked again
        self.halted = False             # reading is paused: the body has nowhere to go
        self._begin()

    def _begin(self) -> None:
        self.head_size = self.body_size = self.taken = 0
        self.method_url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.length: int | None = None
        self.pace: Pace | None = None   # of a body that didn't come with its head
        self.expects = False            # the client waits for a word before it sends its body

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=MOST_UNREAD)
        self.server.connections.add(self)
        self._stand(self.server.coming)
        self.server.make_room()

    def _stand(self, place: dict[ClientConnection, None] | None, since: float | None = None) -> None:
        """Move to the end of the line for those in the same state, as of now or of an earlier time."""
        if self.place is not None:
            self.place.pop(self, None)
        self.place = place
        if place is not None:
            self.since = time.monotonic() if since is None else since
            place[self] = None

    def pause_writing(self) -> None:
        self.choked = True
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        self.choked = False
        if self.source is not None:
            self.account.set_used(self.transport.get_write_buffer_size())
            self.source.resume()
        self._next()

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            self.taken += len(data)
            if self.taken > MOST_DRAINED and self.place is self.server.leaving:
                self.transport.abort()      # the answer is written; the rest is not worth the reading
            return
        self.fresh = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fault(BadRequest("no other protocol is spoken here"))
        except httptools.HttpParserError as error:
            self._fault(BadRequest(f"it can't be read: {error}"))
        if (self.in_head or self.in_body) and not self.fresh:   # a fresh one began within these bytes
            # Guards the memory: a field or trailer without an end is gathered by the parser, unseen here.
            self.taken += len(data)
            if self.in_head and self.taken > MOST_HEAD:
                self._fault(BadRequest("the head is too long", 431))
            elif self.taken > MOST_TAKEN + 8 * self.body_size:
                self._fault(BadRequest("it has no end", 413))
        if self.in_head:
            if self.place is self.server.idle or self.place is self.server.once:
                self._stand(self.server.begun)      # its time to come whole runs from now
            elif self.place is self.server.coming:
                self._stand(self.server.begun, self.since)  # from the connect
        elif self.in_body and not self.deaf:
            self._comes()
        self._next()

    def _comes(self) -> None:
        """A body that did not come with its head: it has to keep a pace, and is passed on once large."""
        now = time.monotonic()
        if self.pace is None:
            self.pace = Pace(now)
            self.bound_reads(True)
        if self.expects and self.open is None and not self.waiting:
            self.expects, self.pace = False, Pace(now)
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.pace.received_bytes = self.body_size
        if self.upload is None and self.place is not self.server.bodies and self.open is None:
            self._stand(self.server.bodies)
        if self.upload is not None:
            if self.open is not None:
                self.server.host.body_arrived(self.open)
        else:
            self.account.set_used(self.body_size)
            if self.body_size >= self.budget.upload_buffer_bytes and self.open is None and not self.waiting:
                self._pass_on(now)
        if not self.deaf:   # else the rest is read and dropped, so that the answer isn't lost with a reset
            self._throttle(now)

    def _pass_on(self, now: float) -> None:
        """Ask for the request before it has come whole, and pass the rest of it on as it comes."""
        upload = Upload(self.length)
        try:
            asked = self._read(b"", upload)
        except BadRequest as fault:
            return self._fault(fault)
        upload.add(b"".join(self.body))
        self.body, self.upload = [], upload
        if isinstance(asked, Reply):    # the rest of its body is read and dropped
            upload.discard()
            self.account.close()
        else:
            asked.upload_expected_s = self.pace.expected_s(now, upload.missing_bytes)
            self.account.start_stream()
        self.waiting.append((asked, self.parser.should_keep_alive()))

    def _throttle(self, now: float) -> None:
        """Read on only while there is room for what comes."""
        if self.upload is not None:
            self.account.set_used(self.upload.pending_bytes)
            full = self.upload.pending_bytes >= self.budget.upload_buffer_bytes
        else:   # it waits for the requests before it
            full = self.in_body and self.body_size >= self.budget.upload_buffer_bytes
        if full and not self.halted and not self.lost:
            self.halted = True
            self.transport.pause_reading()
            self.pace.pause(now)
        elif not full and self.halted:
            self._read_on(now)

    def _read_on(self, now: float) -> None:
        if self.halted and not self.lost:
            self.halted = False
            self.transport.resume_reading()
            if self.pace is not None:
                self.pace.resume(now)

    def has_disconnected(self) -> bool:
        """Whether the client has closed its side, also where that has not been read yet."""
        return self.lost or bool(hung_up([self]))

    def upload_written(self) -> None:
        """Some of the body that is passed on has left us."""
        if self.upload is not None or self.halted:
            self._throttle(time.monotonic())

    # What the parser reads.  A fault found here ends the reading, but not before earlier requests' turn.

    def on_message_begin(self) -> None:
        self._begin()
        self.in_head = self.fresh = True

    def on_url(self, url: bytes) -> None:
        self.method_url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            return      # a trailer: too late to count
        self.head_size += len(name) + len(value)
        self.headers.append((name.lower(), value.rstrip(OWS)))   # the parser leaves what follows the value

    def on_headers_complete(self) -> None:
        self.in_head, self.in_body = False, True
        if self.deaf:
            return
        if self.head_size + len(self.method_url) > MOST_HEAD:
            return self._fault(BadRequest("the head is too long", 431))
        length = coding = None
        for name, value in self.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding":
                coding = value
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects = True
        if coding is not None and (length is not None or coding.lower() != b"chunked"
                                   or self.parser.get_http_version() != "1.1"):
            # Guards against a second request hidden in a body whose end others see elsewhere.
            return self._fault(BadRequest("its framing is ambiguous"))
        if length is not None and (not length.isdigit() or len(length) > 18):
            return self._fault(BadRequest("its length is none"))
        self.length = None if length is None else int(length)
        if self.length is not None and self.length > MAX_BODY_BYTES:
            self._fault(BadRequest("its body is too large", 413))

    def on_body(self, body: bytes) -> None:
        if self.deaf:
            return
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            return self._fault(BadRequest("its body is too large", 413))
        if self.upload is not None:
            self.upload.add(body)
        else:
            self.body.append(body)

    def on_message_complete(self) -> None:
        self.in_body = False
        if self.deaf:
            return
        if self.upload is not None:
            self.upload.is_complete = True
            if self.open is not None:
                self.server.host.body_arrived(self.open)
            return self._uploaded()
        keep = self.parser.should_keep_alive()
        if self.method_url == b"/ready" and self.parser.get_method() == b"GET":
            self.waiting.append((b"/ready", keep))
        else:
            try:
                self.waiting.append((self._read(b"".join(self.body)), keep))
            except BadRequest as fault:
                return self._fault(fault)
        if self.pace is not None:
            self._read_on(time.monotonic())
            self.bound_reads(False)
            self.pace = None
        if self.open is None and len(self.waiting) <= 1:
            return      # the usual client: one at a time
        # Not the one whose turn it is: a large body that came whole is no reason to refuse what follows it.
        rest = islice(self.waiting, self.open is None, None)
        behind = sum(len(asked.body) for asked, _ in rest if isinstance(asked, ParsedRequest))
        if len(self.waiting) > MOST_WAITING or behind > MOST_BEHIND:
            self.waiting.pop()
            self._fault(BadRequest("too many requests at once"))

    def _read(self, body: bytes, upload: Upload | None = None) -> ParsedRequest | Reply:
        try:
            return self.server.reader.read(self.parser.get_method(), self.method_url, self.headers, body,
                                           upload)
        except Reply as reply:
            return reply

    def _uploaded(self) -> None:
        """The body that is passed on has come whole."""
        self._read_on(time.monotonic())
        self.bound_reads(False)
        self.pace = self.upload = None
        if self.open is not None or self.waiting:
            if self.place is self.server.bodies:
                self._stand(None)
        elif self.keep and self.server.life.keeps_connections:      # it was answered before it had come
            self._rest()
        else:
            self._end()

    def _fault(self, fault: BadRequest) -> None:
        if not self.deaf:
            self.deaf = True
            if self.upload is not None and self.open is not None:
                # Half a request: it never came whole, so it is owed no more than this word.
                self.upload = None
                self.server.host.client_left(self.open)
                self.open = None
                if self.source is not None:
                    return self.abort_response()
                self.account.close()
            self.waiting.append((fault, False))

    # Answers

    def _next(self) -> None:
        """Serve the next request, once the one before has its answer."""
        while self.waiting and self.open is None and not (self.lost or self.choked):
            what, self.keep = self.waiting.popleft()
            if isinstance(what, BadRequest):
                self._write(what.status, (), f"{what}\n".encode(), keep=False)
            elif isinstance(what, Reply):
                self.bare = what.bare
                self._write(what.status, what.headers, what.body, self.keep)
                self.bare = False
            elif isinstance(what, bytes):
                ready = self.server.life.is_ready
                self._write(200 if ready else 503, (), b"ready\n" if ready else b"not ready\n", self.keep)
            elif self.server.host.is_open(what.request_id):
                # Guards against a second copy in another's name: an id is new with every request.
                self._write(409, (), b"this id is open\n", keep=False)
            elif self.server.life.may_outlast_process(what.upload_expected_s + what.time_left, time.monotonic()):
                self.send_refusal(ELSEWHERE_ADVICE)
            else:
                self._stand(None)
                self.bare = what.is_head
                self.open = -1      # in case the answer comes before the id is known
                request = self.server.host.admit(self, what)
                self.open = request if self.open == -1 else self.open
                if self.upload is not None and self.open is not None:
                    self._stand(self.server.bodies)     # it has to keep its pace

    def send_response(self, answer: Response) -> None:
        self._answer(answer.status, [f for f in answer.headers if f[0] not in HOP_BY_HOP], answer.body)

    def send_refusal(self, retry_after: float, status: int = 503) -> None:
        advice = [(b"retry-after", b"%.3f" % retry_after)] if retry_after > 0.0 else []
        self._answer(status, advice, b"refused: trying again is harmless\n")

    def send_failure(self) -> None:
        self._answer(502, [], b"failed\n")

    def start_response(self, answer: Response, source: Source) -> None:
        """The head of an answer that is passed on as it comes, from this source."""
        keep, headers = self._stays(self.keep), [f for f in answer.headers if f[0] not in HOP_BY_HOP]
        self.chunks = answer.content_length is None and self.parser.get_http_version() != "1.0"
        if answer.content_length is not None:
            headers.append((b"content-length", b"%d" % answer.content_length))
        elif self.chunks:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            keep = False    # its end is the connection's
        self.keep, self.source, self.framed = keep, source, answer.content_length is not None or self.chunks
        self.account.start_stream()
        self.passed = self.drained = 0
        self.drained_at = time.monotonic()
        self.server.flowing[self] = None
        self.transport.write(self._head(answer.status, headers, keep))

    def write_body(self, data: bytes) -> None:
        if self.lost or self.bare or not data:
            return
        if (mark := self.budget.high_water_bytes) != self.mark:
            self.mark = mark
            self.transport.set_write_buffer_limits(high=mark)
        self.passed += len(data)
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunks else data)
        self.account.set_used(self.transport.get_write_buffer_size())

    def end_response(self) -> None:
        """The answer that was passed on has come whole."""
        self._flown()
        if self.lost:
            return
        if self.chunks and not self.bare:
            self.transport.write(b"0\r\n\r\n")
        self._after(self.keep)

    def abort_response(self) -> None:
        """The answer that is passed on will not come whole: it ends so that the client can tell."""
        self._flown()
        if self.lost:
            return
        if self.framed:
            return self._end()
        # Its end is the connection's: an orderly close would pass for it, so only a reset tells.
        held = self.transport.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    def _flown(self) -> None:
        self.open, self.source = None, None
        self.server.flowing.pop(self, None)
        self.account.close()
        if self.mark != MOST_UNREAD and not self.lost:
            self.mark = MOST_UNREAD
            self.transport.set_write_buffer_limits(high=MOST_UNREAD)

    def takes(self, now: float) -> bool:
        """Whether the client has taken anything of what it was sent lately; true where nothing is left."""
        left = self.transport.get_write_buffer_size()
        if not left or self.passed - left > self.drained:
            self.drained, self.drained_at = self.passed - left, now
        return now - self.drained_at < BODY_STALL_TIMEOUT_S

    def _answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.open = None
        if self.upload is not None:
            self.upload.discard()
            self._throttle(time.monotonic())
        if self.account.used_bytes or self.account.is_streaming:
            self.account.close()
        if not self.lost:
            self._write(status, headers, body, self.keep)
            if self.waiting:
                # Not at once: a line of requests that are refused in turn would nest ever deeper.
                self.server.loop.call_soon(self._next)

    def _write(self, status: int, headers, body: bytes, keep: bool) -> None:
        keep = self._stays(keep)
        head = self._head(status, (*headers, (b"content-length", b"%d" % len(body))), keep)
        self.transport.write(head if self.bare else head + body)
        self._after(keep)

    def _stays(self, keep: bool) -> bool:
        """What was taken with a request, or has begun to come, is answered before the connection is left."""
        return keep and (self.server.life.keeps_connections or bool(self.waiting) or self.in_head or self.in_body)

    def _head(self, status: int, headers: Iterable[tuple[bytes, bytes]], keep: bool) -> bytes:
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))]
        lines += [name + b": " + value for name, value in headers]
        if not keep:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _after(self, keep: bool) -> None:
        """An answer is written: wait for what comes next, or leave."""
        if self.in_body and not self.deaf and (keep or self.upload is not None):
            self._stand(self.server.bodies)
            self.keep = keep
            self.server.loop.call_soon(self._go_on_reading)
        elif keep:
            self._stand(self.server.begun) if self.in_head else self._rest()
        else:
            self._end()

    def _rest(self) -> None:
        """Idle, and kept: in the line for those who asked once, or for the others."""
        self._stand(self.server.idle if self.again else self.server.once)
        self.again = True

    def _go_on_reading(self) -> None:
        """A body that had to wait for the answer before it, or whose request has its answer already."""
        if self.in_body and not self.deaf and self.open is None:
            self._comes()
            self._next()

    def _end(self) -> None:
        """Close after what is written; what still comes in is read and dropped for a while.

        Guards the answer: closing with unread bytes would reset the connection and take it along.
        """
        self.deaf, self.taken = True, 0
        self.waiting.clear()
        self.headers, self.body, self.upload = [], [], None
        self.account.close()
        self._stand(self.server.leaving)
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def eof_received(self) -> bool:
        """The client has closed its side: gone, and owed nothing more."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = self.deaf = True
        self.server.connections.discard(self)
        self._stand(None)
        if self.open is not None and self.open > 0:
            self.server.host.client_left(self.open)
        self.open = self.source = self.upload = None
        self.account.close()
        self.server.flowing.pop(self, None)
        self.waiting.clear()
        # Guards the memory: parser and protocol hold each other, and collections are rare.
        self.parser = None

    # Upkeep

    def overdue(self) -> None:
        """A request that doesn't come whole is told off; nobody waits for one that never began."""
        if self.transport.get_write_buffer_size() and self.takes(time.monotonic()):
            self._stand(self.place)     # it still reads what it was sent
        elif self.choked or self.deaf:
            self.transport.abort()      # it does not read, so there is no telling it
        elif not (self.in_head or self.in_body):
            self.transport.close()
        else:
            self._fault(BadRequest("it has not come whole in time", 408))
            self._next()


def unread(connections: Iterable[ClientConnection]) -> set[ClientConnection]:
    """Those for which the kernel holds something that was not read yet."""
    numbers, poll = {c.transport.get_extra_info("socket").fileno(): c for c in connections}, select.poll()
    for number in numbers:
        poll.register(number, select.POLLIN)
    return {numbers[number] for number, _ in poll.poll(0)}


def hung_up(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Those whose client has closed its side, also where that is not read as reading is paused."""
    numbers, poll = {c.transport.get_extra_info("socket").fileno(): c for c in connections}, select.poll()
    for number in numbers:
        poll.register(number, select.POLLRDHUP)
    return [numbers[number] for number, _ in poll.poll(0)]


class Server:
    """The listening socket and its connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: ControllerHost, room: Plan, life: LifeCycle,
                 reader: Reader | None = None) -> None:
        self.loop, self.host, self.room, self.life = loop, host, room, life
        self.reader = reader or Reader(host.settings)
        self.connections: set[ClientConnection] = set()
        # Those without a request that is open, in lines, the oldest first; the others stand in none.
        self.coming: dict[ClientConnection, None] = {}   # new, and nothing of a request has come
        self.begun: dict[ClientConnection, None] = {}    # a request's head has begun to come
        self.once: dict[ClientConnection, None] = {}     # answered one time, and kept
        self.idle: dict[ClientConnection, None] = {}     # answered again and again, and kept
        self.leaving: dict[ClientConnection, None] = {}  # told that they are closed
        self.bodies: dict[ClientConnection, None] = {}   # with a body that comes, its request open or not
        self.flowing: dict[ClientConnection, None] = {}  # of any of these, with an answer that is passed on
        self.listener: asyncio.Server | None = None
        self.head_timeout, self.idle_timeout = HEAD_TIMEOUT, IDLE_TIMEOUT

    async def listen(self, at: tuple[str, int] | socket.socket) -> None:
        """At an address of our own, or on a socket that listens already."""
        where = {"sock": at} if isinstance(at, socket.socket) else {
            "host": at[0], "port": at[1], "reuse_address": True}
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), backlog=BACKLOG, **where)

    def make_room(self) -> None:
        """Close connections while there are too many: such as are owed nothing, the oldest of their kind."""
        over = len(self.connections) - self.room.clients
        lines = {Evictable.CLOSING: self.leaving, Evictable.SILENT: self.coming, Evictable.USED_ONCE: self.once,
                 Evictable.REUSED: self.idle, Evictable.PARTIAL_HEAD: self.begun}
        for _ in range(over):
            oldest = {kind: next(iter(line)).since for kind, line in lines.items() if line}
            if (kind := choose_eviction(oldest, time.monotonic())) is None:
                return
            connection = next(iter(lines[kind]))
            if kind in (Evictable.USED_ONCE, Evictable.REUSED) and unread([connection]):
                connection._stand(lines[kind])  # a request has come: read in this turn of the loop
                continue
            # As good as gone: counted once, though the loop tells of the end only later.
            connection._stand(None)
            self.connections.discard(connection)
            if kind in (Evictable.USED_ONCE, Evictable.REUSED):
                connection.transport.close()
            else:
                connection.transport.abort()

    def sweep(self) -> None:
        now = time.monotonic()
        for line, most in ((self.coming, self.head_timeout), (self.idle, self.idle_timeout),
                           (self.once, self.idle_timeout), (self.leaving, LINGER)):
            for connection in list(takewhile(lambda c: c.since < now - most, line)):  # noqa: B023
                connection.overdue()
        for connection in [c for c in self.begun if c.since < now - self.head_timeout]:
            connection.overdue()
        for connection in [c for c in self.bodies if c.pace is not None and c.pace.is_too_slow(now)]:
            connection.overdue()
        for connection in [c for c in self.flowing if not c.takes(now)]:
            connection.transport.abort()
        for connection in hung_up([c for c in self.bodies if c.halted]):
            connection.transport.abort()    # gone, as `eof_received` has it

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.abort()

    def close_idle(self) -> None:
        """Close the connections that are owed nothing, but none that has something to be read.

        Guards requests that cross the close: what the kernel holds unread is read in this turn of the loop.
        One just opened has a moment to send its request.
        """
        young = time.monotonic() - MIN_SILENT_S
        connections = [*self.once, *self.idle, *(c for c in self.coming if c.since < young)]
        waited_for = unread(connections)
        for connection in connections:
            if connection not in waited_for:
                connection.transport.close()
