"""What a client may be promised about a write that a backend got in part: backends may run it before its last byte.

Guards the rule REFUSED: 408, 421, 429 and 503 promise that the request has not run and never will.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest

from fennelpoint import body_buffering
from fennelpoint.net import client_connection, upstream_connection
from fennelpoint.testing.proxy_program import RunningProxy, start_proxy

LARGE_BODY, SENT_FIRST = bytes(400_000), 300_000  # a body that is streamed, and the part that arrives at first
BUFFERED_BODY = bytes(250_000)  # sent to a backend once it is whole
SMALL_SOCKET_BUFFER_BYTES = 4096


class EarlyBackend:
    """Works on a request once it has its head; `after_start` says what becomes of the connection then."""

    def __init__(self, after_start: Callable[[asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.after_start, self.runs, self.has_started = after_start, [], asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.runs.append(head.lower().split(b"x-attempt-id: ")[1].split(b"\r\n")[0])
        self.has_started.set()
        await self.after_start(writer)


async def reset(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def work_on(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60.0)


class Upload:
    """A client's write whose body arrives in two parts."""

    def __init__(self, port: int, body: bytes = LARGE_BODY, chunked: bool = False, left_ms: int = 4000) -> None:
        self.port, self.body, self.chunked, self.left_ms = port, body, chunked, left_ms

    async def begin(self, size: int = SENT_FIRST) -> None:
        """Send the head and the first `size` bytes of the body."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        framing = "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {len(self.body)}"
        deadline = f"X-Deadline-Remaining: {self.left_ms}"
        head = f"POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b1\r\n{deadline}\r\n{framing}\r\n\r\n"
        part = self.body[:size]
        self.writer.write(head.encode() + (b"%x\r\n%b\r\n" % (size, part) if self.chunked else part))
        await self.writer.drain()

    async def status(self) -> bytes:
        """The status of the only answer; the connection ends after it or can be used on."""
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5.0)
        return line.split()[1]

    def close(self) -> None:
        self.writer.close()


def play(scenario: Callable[..., Awaitable[None]], *after_start: Callable) -> None:
    """Run `scenario(proxy, *early_backends)`."""

    async def run() -> None:
        early = [EarlyBackend(behaviour) for behaviour in after_start]
        proxy = await start_proxy(*(backend.serve for backend in early))
        try:
            await asyncio.wait_for(scenario(proxy, *early), 10.0)
        finally:
            proxy.program.close()

    asyncio.run(run())


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("loss", [reset, close])
def test_write_whose_answer_is_lost_while_its_body_arrives_is_not_promised_to_be_unexecuted(loss, chunked) -> None:
    async def scenario(proxy: RunningProxy, *early: EarlyBackend) -> None:
        upload = Upload(proxy.public, chunked=chunked)
        await upload.begin()
        assert await upload.status() == b"502"
        assert [backend.runs for backend in early] in ([[b"b1"], []], [[], [b"b1"]])
        upload.close()

    play(scenario, loss, loss)


def test_client_that_stalls_during_an_upload_gets_no_408_once_a_backend_has_its_head(monkeypatch) -> None:
    monkeypatch.setattr(body_buffering, "PACE_GRACE_S", 0.1)
    monkeypatch.setattr(body_buffering, "MIN_BYTES_PER_S", 1e6)

    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        upload = Upload(proxy.public)
        await upload.begin()
        await early.has_started.wait()
        assert await upload.status() == b"502"
        upload.close()

    play(scenario, work_on)


def test_client_that_stalls_before_its_request_is_sent_on_gets_408(monkeypatch) -> None:
    monkeypatch.setattr(body_buffering, "PACE_GRACE_S", 0.1)
    monkeypatch.setattr(body_buffering, "MIN_BYTES_PER_S", 1e6)

    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        upload = Upload(proxy.public)
        await upload.begin(100_000)
        assert await upload.status() == b"408"
        assert not early.runs
        upload.close()

    play(scenario, work_on)


def test_write_whose_upload_is_cut_off_by_the_end_of_the_lease_gets_no_promise() -> None:
    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        upload = Upload(proxy.public)
        await upload.begin()
        await early.has_started.wait()
        proxy.expire_lease()
        upload.writer.write(LARGE_BODY[SENT_FIRST:-1])
        assert await upload.status() == b"502" and early.runs == [b"b1"]
        upload.close()

    play(scenario, work_on)


def test_write_to_a_backend_that_stops_reading_its_body_gets_no_promise(monkeypatch) -> None:
    monkeypatch.setattr(upstream_connection, "BODY_STALL_TIMEOUT_S", 0.2)

    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        upload = Upload(proxy.public, bytes(30_000_000))
        sending = asyncio.ensure_future(upload.begin(29_000_000))
        await early.has_started.wait()
        assert await upload.status() == b"502" and early.runs == [b"b1"]
        upload.close()
        sending.cancel()

    play(scenario, work_on)


def test_buffered_write_that_is_sent_in_part_is_not_sent_to_a_second_backend(monkeypatch) -> None:
    """A link that is slower than the proxy: the socket takes only a part of the body before the answer is lost."""
    connection_made = upstream_connection.UpstreamConnection.connection_made

    def limit_socket(self, transport: asyncio.Transport) -> None:
        limited = transport.get_extra_info("socket")
        limited.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_SOCKET_BUFFER_BYTES)
        connection_made(self, transport)

    monkeypatch.setattr(upstream_connection.UpstreamConnection, "connection_made", limit_socket)

    async def scenario(proxy: RunningProxy, *early: EarlyBackend) -> None:
        upload = Upload(proxy.public, BUFFERED_BODY)
        await upload.begin(len(BUFFERED_BODY))
        assert await upload.status() == b"502"
        await asyncio.sleep(0.1)
        assert sorted(backend.runs for backend in early) == [[], [b"b1"]]
        upload.close()

    play(scenario, reset, reset)


# Guards the client's view of the connection: a second answer would pass for one to its next request.
def test_client_that_stalls_after_its_upload_was_answered_gets_no_second_answer(monkeypatch) -> None:
    monkeypatch.setattr(body_buffering, "PACE_GRACE_S", 0.1)
    monkeypatch.setattr(body_buffering, "MIN_BYTES_PER_S", 1e6)

    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        proxy.expire_lease()
        upload = Upload(proxy.public)
        await upload.begin()
        assert await upload.status() == b"503" and not early.runs
        rest = await asyncio.wait_for(upload.reader.read(), 5.0)
        assert b"HTTP/1.1" not in rest
        upload.close()

    play(scenario, work_on)


# Guards the deadline of a client: a request is answered when its client stops waiting, whatever it waits for.
@pytest.mark.parametrize("sent_first, status", [(SENT_FIRST, b"502"), (100_000, b"408")])
def test_client_that_stalls_in_its_upload_is_answered_at_its_deadline(monkeypatch, sent_first, status) -> None:
    # The answer leaves so long before the deadline that a slow machine makes no difference to it.
    monkeypatch.setattr(client_connection, "ANSWER_MARGIN_S", 0.9)

    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        upload = Upload(proxy.public, left_ms=1600)
        began = time.monotonic()
        await upload.begin(sent_first)
        assert await upload.status() == status
        assert 0.6 < time.monotonic() - began < 1.6
        upload.close()

    play(scenario, work_on)


@pytest.mark.parametrize("size", [100_000, len(LARGE_BODY)])
def test_deadline_counts_from_the_head_of_a_request_with_a_slow_body(size: int) -> None:
    async def scenario(proxy: RunningProxy, early: EarlyBackend) -> None:
        upload = Upload(proxy.public, LARGE_BODY[:size], left_ms=2000)
        began = time.monotonic()
        await upload.begin(size - 1000)
        await asyncio.sleep(1.2)
        upload.writer.write(LARGE_BODY[:1000])
        last_byte_at = time.monotonic()
        assert await upload.status() == b"502" and early.runs == [b"b1"]
        # Counted from the last byte, it would come 2 s after that.
        assert began + 1.9 < time.monotonic() < last_byte_at + 1.8
        upload.close()

    play(scenario, work_on)
