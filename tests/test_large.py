"""Large bodies on sockets: streamed, delayed only by their own client, and recognizable when truncated."""

import asyncio
import hashlib
import time

import pytest

from fennelpoint import body_buffering
from fennelpoint.lifecycle import Event
from fennelpoint.testing import Backend, Fake, ok, read_message, request, run, until, world

MB = 1 << 20
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def random_bytes(size: int) -> bytes:
    return hashlib.shake_128(b"body").digest(size)


BODY = random_bytes(3 * MB)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return lines[0], {n.lower(): v for n, _, v in (line.partition(": ") for line in lines[1:] if line)}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """A body by any framing; raises IncompleteReadError where it ends early."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") != "chunked":
        return await reader.read()
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


class UploadBackend(Fake):
    """A backend that reads bodies of any framing and answers with their length; it can be paused after the head."""

    def __init__(self, answer=lambda body: ok(b"%d" % len(body))) -> None:
        super().__init__(self._handle)
        self.answer, self.seen, self.heads = answer, [], []
        self.may_read = asyncio.Event()
        self.may_read.set()

    async def _handle(self, reader, writer) -> None:
        while True:
            line, fields = await read_head(reader)
            self.heads.append(fields)
            await self.may_read.wait()
            body = await read_body(reader, fields) if "transfer-encoding" in fields or (
                "content-length" in fields) else b""
            self.seen.append(body)
            writer.write(self.answer(body))


def chunked(body: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[i:i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


ANSWERS = {
    "length": STATUS_LINE + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "length and a space": STATUS_LINE + b"Content-Length: %d \t\r\n\r\n" % len(BODY) + BODY,
    "chunks": STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(BODY, 50_001, b";a=b", b"X-T: 1\r\n"),
    "small chunks": STATUS_LINE + b"TRANSFER-ENCODING: Chunked\r\n\r\n" + chunked(BODY, 997),
    "the connection's end": STATUS_LINE + b"Connection: close\r\n\r\n" + BODY,
    "an interim answer first": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + STATUS_LINE
    + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
}


@pytest.mark.parametrize("form", ANSWERS)
def test_responses_of_any_framing_are_forwarded_unchanged_and_the_connection_is_kept(form):
    async def scenario() -> None:
        async def handle(reader, writer) -> None:
            while True:
                await read_message(reader)
                writer.write(ANSWERS[form])
                if "end" in form:
                    return
        async with world(Fake(handle)) as harness:
            reader, writer = await harness.connect()
            for _ in range(2):
                writer.write(request())
                line, fields = await read_head(reader)
                assert line.endswith("200 OK") and "x-t" not in fields and "link" not in fields
                assert await read_body(reader, fields) == BODY
            writer.close()
            await until(lambda: not harness.ingress.host.open_requests)
            assert harness.ingress.budget.used_bytes == harness.ingress.budget.streams == 0

    run(scenario())


def test_http_1_0_client_gets_a_response_of_unknown_length_ended_by_the_close():
    async def scenario() -> None:
        async with world(Backend(lambda *_: ANSWERS["chunks"])) as harness:
            reader, writer = await harness.connect()
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            line, fields = await read_head(reader)
            assert "transfer-encoding" not in fields and fields["connection"] == "close"
            assert await reader.read() == BODY
            writer.close()

    run(scenario())


@pytest.mark.parametrize("ending", ["close", "reset", "garbage"])
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_client_can_detect_a_truncated_response(form, ending):
    async def scenario() -> None:
        async def handle(reader, writer) -> None:
            await read_message(reader)
            seen.append(1)
            writer.write(ANSWERS[form][:MB])
            await writer.drain()
            await asyncio.sleep(0.05)
            if ending == "reset":
                writer.transport.abort()
            elif ending == "garbage" and form == "chunks":
                writer.write(b"\r\nzz\r\n" * 20_000)
                await asyncio.sleep(5)

        seen: list[int] = []
        async with world(Fake(handle), Fake(handle)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(left=20_000))
            line, fields = await read_head(reader)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await asyncio.wait_for(read_body(reader, fields), 3.0)
            assert len(seen) == 1       # a response that has begun is not retried on the other backend
            writer.close()
            await until(lambda: not harness.ingress.host.open_requests and not harness.ingress.server.connections)
            assert harness.ingress.budget.used_bytes == harness.ingress.budget.streams == 0

    run(scenario())


def test_chunked_response_cut_at_any_byte_is_never_forwarded_as_complete():
    """The response is small enough to be buffered: it fails or is retried, and is never forwarded truncated."""
    answer = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b"0123456789", 4, b";x")

    async def scenario() -> None:
        cut = [0]

        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(answer[:cut[0]])
        for cuts in (range(len(answer)), [len(answer)]):
            async with world(Fake(handle), Fake(handle)) as harness:
                for cut[0] in cuts:
                    for backend in harness.ingress.host.controller.fleet.backends.values():
                        backend.fails, backend.rest_until = 0, 0.0      # else it is avoided after some failures
                    reader, writer = await harness.connect()
                    writer.write(request("book", b"x", left=1500))
                    line, _, body = await read_message(reader)
                    assert (line.split()[1] == "200") == (cut[0] == len(answer)), cut
                    assert body == b"0123456789" or cut[0] < len(answer)
                    writer.close()

    run(scenario(), 60.0)


def test_client_that_stops_reading_delays_only_its_own_response_and_uses_little_memory():
    async def scenario() -> None:
        size = 32 * MB
        response = STATUS_LINE + b"Content-Length: %d\r\n\r\n" % size

        async def handle(reader, writer) -> None:
            while True:
                line, fields, _ = await read_message(reader)
                if "/big" not in line:
                    writer.write(ok(b"small"))
                    continue
                writer.write(response)
                for _ in range(size // MB):
                    writer.write(bytes(MB))
                    await writer.drain()
        async with world(Fake(handle)) as harness:
            stalled = [await harness.connect() for _ in range(8)]
            for reader, writer in stalled:
                reader._limit = 1024    # keeps the test's own reader from buffering more
                writer.write(request(path="/big", left=60_000))
            await until(lambda: len(harness.ingress.server.streaming) == 8)
            await until(lambda: all(c.is_write_paused for c in harness.ingress.server.streaming))
            budget = harness.ingress.budget
            assert budget.used_bytes <= 8 * (body_buffering.MAX_HIGH_WATER_BYTES + body_buffering.READ_BYTES + 64)
            reader, writer = await harness.connect()
            started_at = time.monotonic()
            writer.write(request())
            assert (await read_message(reader))[2] == b"small" and time.monotonic() - started_at < 0.5
            line, fields = await read_head(stalled[0][0])
            assert len(await read_body(stalled[0][0], fields)) == size    # resumes when the client reads again
            for _, other in (*stalled, (reader, writer)):
                other.close()
            await until(lambda: not harness.ingress.host.open_requests and not harness.ingress.backends.connect_tasks)
            assert budget.used_bytes == budget.streams == 0

    run(scenario())


def test_client_that_reads_nothing_for_long_is_disconnected(monkeypatch):
    async def scenario() -> None:
        monkeypatch.setattr("fennelpoint.net.client_connection.BODY_STALL_TIMEOUT_S", 0.5)
        response = STATUS_LINE + b"Content-Length: %d\r\n\r\n" % (24 * MB) + bytes(24 * MB)
        async with world(Backend(lambda *_: response)) as harness:
            reader, writer = await harness.connect()
            reader._limit = 1024
            writer.write(request(left=60_000))
            await until(lambda: harness.ingress.server.streaming)
            await until(lambda: not harness.ingress.server.connections, 5.0)
            await until(lambda: not harness.ingress.host.open_requests and not harness.ingress.backends.all)
            writer.close()

    run(scenario())


def test_slow_reader_gets_its_whole_response_during_a_drain():
    async def scenario() -> None:
        async with world(Backend(lambda *_: ANSWERS["length"]), door=True) as harness:
            reader, writer = await harness.connect()
            reader._limit = 64 * 1024
            writer.write(request())
            line, fields = await read_head(reader)
            harness.ingress.life_cycle.handle(Event.DRAIN, time.monotonic())
            harness.ingress.check_shutdown()
            received = b""
            while len(received) < len(BODY):
                received += await reader.readexactly(min(256 * 1024, len(BODY) - len(received)))
                await asyncio.sleep(0.15)
            assert received == BODY and await reader.read() == b""
            writer.close()

    run(scenario())


UPLOADS = {
    "length": lambda body: request("book", body, left=5000),
    "chunks": lambda body: request("book", chunked(body, 30_011, b";q", b"X-Lane: look\r\n"), left=5000,
                                   Transfer_Encoding="chunked"),
    "Chunked": lambda body: request("book", chunked(body, 30_011), left=5000, Transfer_Encoding="Chunked"),
}


@pytest.mark.parametrize("size", [100, 65_537, body_buffering.MAX_UPLOAD_BUFFER_BYTES - 1,
                                  body_buffering.MAX_UPLOAD_BUFFER_BYTES, MB, 3 * MB])
@pytest.mark.parametrize("form", UPLOADS)
def test_bodies_of_any_size_and_framing_reach_the_backend_unchanged(form, size):
    async def scenario() -> None:
        backend = UploadBackend()
        async with world(backend) as harness:
            reader, writer = await harness.connect()
            for _ in range(2):
                writer.write(UPLOADS[form](BODY[:size]))
                line, _, body = await read_message(reader)
                assert line.endswith("200 OK") and body == b"%d" % size
            assert backend.seen == [BODY[:size]] * 2
            assert all("x-lane" in fields and fields["x-lane"] == "book" for fields in backend.heads)
            writer.close()
            await until(lambda: not harness.ingress.host.open_requests)
            assert harness.ingress.budget.used_bytes == harness.ingress.budget.streams == 0

    run(scenario())


def test_body_of_32_mb_uses_little_memory_while_the_backend_reads_nothing():
    async def scenario() -> None:
        backend = UploadBackend()
        backend.may_read.clear()
        async with world(backend) as harness:
            body = random_bytes(32 * MB)
            reader, writer = await harness.connect()
            writer.write(request("book", body, left=60_000))
            await until(lambda: any(c.is_read_paused for c in harness.ingress.server.connections))
            assert harness.ingress.budget.used_bytes <= 2 * body_buffering.MAX_UPLOAD_BUFFER_BYTES
            backend.may_read.set()
            line, _, answer = await read_message(reader)
            assert line.endswith("200 OK") and answer == b"%d" % len(body) and backend.seen == [body]
            writer.close()

    run(scenario())


def test_slow_upload_is_served_and_its_deadline_counts_from_the_last_byte():
    """At 64 kB/s, with a deadline of 2 s and a target latency of 1.5 s: neither deadline nor minimum rate ends it."""
    async def scenario() -> None:
        backend = UploadBackend()
        async with world(backend) as harness:
            data = request("book", BODY[:290_000], left=2000)
            reader, writer = await harness.connect()
            for at in range(0, len(data), 4800):
                writer.write(data[at:at + 4800])
                await asyncio.sleep(0.075)
            line, _, body = await read_message(reader)
            assert line.endswith("200 OK") and body == b"290000"
            writer.close()

    run(scenario())


def test_request_head_that_takes_two_seconds_is_served():
    async def scenario() -> None:
        async with world(UploadBackend()) as harness:
            data = b"\r\n\r\n" + request("book", b"abc", left=5000)
            reader, writer = await harness.connect()
            for at in range(0, len(data), 20):
                writer.write(data[at:at + 20])
                await asyncio.sleep(2.0 * 20 / len(data))
            assert (await read_message(reader))[2] == b"3"
            writer.close()

    run(scenario())


def test_stalled_upload_gets_408_and_never_completes_at_the_backend(monkeypatch):
    async def scenario() -> None:
        monkeypatch.setattr(body_buffering, "PACE_GRACE_S", 0.3)
        monkeypatch.setattr(body_buffering, "MIN_BYTES_PER_S", 4e6)
        backend = UploadBackend()
        async with world(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", BODY, left=60_000)[:MB])
            assert (await asyncio.wait_for(reader.read(), 5.0)).startswith(b"HTTP/1.1 408")
            writer.close()
            await until(lambda: backend.heads and not harness.ingress.host.open_requests)
            await until(lambda: not harness.ingress.server.connections and not harness.ingress.backends.all)
            assert not backend.seen and harness.ingress.budget.used_bytes == harness.ingress.budget.streams == 0
            assert harness.ingress.host.controller.fleet.in_flight == 0

    run(scenario())


def test_disconnect_during_an_upload_frees_the_backend():
    async def scenario() -> None:
        backend = UploadBackend()
        async with world(backend) as harness:
            _, writer = await harness.connect()
            writer.write(request("book", BODY, left=60_000)[:MB])
            await until(lambda: backend.heads)
            writer.transport.abort()
            await until(lambda: not harness.ingress.host.open_requests and not harness.ingress.backends.all)
            assert not backend.seen and harness.ingress.host.controller.fleet.in_flight == 0

    run(scenario())


def test_attempt_whose_body_is_no_longer_buffered_is_not_retried():
    """The backend rejected it unprocessed, so a retry would be safe; but its first bytes are no longer buffered."""
    async def scenario() -> None:
        seen = []

        async def handle(reader, writer) -> None:
            seen.append(await read_head(reader))
            await reader.readexactly(500_000)
            writer.write(ok(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n"))
            await reader.read()
        async with world(Fake(handle), Fake(handle)) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", BODY, left=5000))
            line, _, _ = await read_message(reader)
            assert line.split()[1] == "503" and len(seen) == 1
            writer.close()

    run(scenario())


def test_fully_buffered_body_is_retried_on_another_backend():
    async def scenario() -> None:
        async def handle(reader, writer) -> None:
            while True:
                bodies_seen.append((await read_message(reader))[2])
                writer.write(ok(b"yes") if len(bodies_seen) > 1 else ok(
                    b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n"))
        bodies_seen: list[bytes] = []
        async with world(Fake(handle), Fake(handle)) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", BODY[:200_000], left=5000))
            assert (await read_message(reader))[2] == b"yes" and bodies_seen == [BODY[:200_000]] * 2
            writer.close()

    run(scenario())


def test_refusal_is_sent_before_the_body_is_complete_and_the_connection_is_kept():
    async def scenario() -> None:
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 0.01, "store_size": 1.0, "overrun_cost": 1.0}
        async with world(UploadBackend(), contracts=[plan], extra={"has_counter": False, "units_top": 1}) as harness:
            reader, writer = await harness.connect()
            writer.write(request())
            await read_message(reader)
            data = request("book", BODY, left=5000)
            writer.write(data[:MB])
            line, fields, _ = await asyncio.wait_for(read_message(reader), 1.5)
            assert line.split()[1] == "503" and "connection" not in fields
            writer.write(data[MB:])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            assert (await read_message(reader))[2] == b"ready\n"
            assert harness.ingress.budget.used_bytes == 0
            writer.close()

    run(scenario())


@pytest.mark.parametrize("size", [10, 500_000])
def test_expect_100_continue_is_answered_in_order(size):
    async def scenario() -> None:
        backend = UploadBackend()
        async with world(backend) as harness:
            reader, writer = await harness.connect()
            data = request("book", BODY[:size], left=5000, Expect="100-Continue")
            end = data.index(b"\r\n\r\n") + 4
            writer.write(request() + data[:end])
            assert (await read_message(reader))[0].endswith("200 OK")     # the request before it comes first
            assert (await read_head(reader))[0].split()[1] == "100"
            writer.write(data[end:])
            assert (await read_message(reader))[2] == b"%d" % size
            assert "expect" not in backend.heads[-1]
            writer.close()

    run(scenario())


def test_endless_body_gets_413(monkeypatch):
    async def scenario() -> None:
        monkeypatch.setattr("fennelpoint.net.client_connection.MAX_BODY_BYTES", 2 * MB)
        backend = UploadBackend()
        async with world(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", chunked(BODY, 9999), left=5000, Transfer_Encoding="chunked"))
            assert (await read_message(reader))[0].split()[1] == "413"
            writer.close()
            await until(lambda: not harness.ingress.host.open_requests)
            assert not backend.seen and harness.ingress.budget.used_bytes == 0

    run(scenario())


def test_whitespace_after_a_field_value_is_ignored():
    """In production, 599 valid requests in one minute were answered 400 because of trailing whitespace."""
    async def scenario() -> None:
        async with world(UploadBackend()) as harness:
            reader, writer = await harness.connect()
            data = request("book", b"abc", left=5000)
            head, body = data.split(b"\r\n\r\n")
            writer.write(head.replace(b"\r\n", b" \t\r\n", 20).replace(b"HTTP/1.1 \t", b"HTTP/1.1")
                         + b"  \r\n\r\n" + body)
            line, _, answer = await read_message(reader)
            assert line.endswith("200 OK") and answer == b"3"
            writer.close()

    run(scenario())


def test_pipelined_body_waits_for_the_open_request_and_is_served():
    async def scenario() -> None:
        first = Backend(lambda line, fields, body: None if "/one" in line else ok(b"%d" % len(body)))
        async with world(first) as harness:
            reader, writer = await harness.connect()
            writer.write(request(path="/one", left=9000))
            await until(lambda: first.seen)
            writer.write(request("book", BODY, left=5000))
            await until(lambda: any(c.is_read_paused for c in harness.ingress.server.connections))
            assert len(first.seen) == 1
            await asyncio.sleep(0.1)
            first.writers[0].write(ok(b"at last"))
            assert (await read_message(reader))[2] == b"at last"
            assert (await read_message(reader))[2] == b"%d" % len(BODY)
            writer.close()

    run(scenario())


def test_error_response_to_a_large_invalid_request_arrives():
    """Reading stayed paused after the error, so the close reset the connection and the 4xx response was lost."""
    async def scenario() -> None:
        async with world(UploadBackend()) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", BODY, left=5000, Api_Plan="gold")[:MB])
            await until(lambda: any(c.ignores_input for c in harness.ingress.server.connections))
            assert not any(c.is_read_paused for c in harness.ingress.server.connections)
            writer.write(BODY[:200_000])
            assert (await read_message(reader))[0].split()[1] == "400" and await reader.read() == b""
            writer.close()

    run(scenario())


def test_truncated_response_of_known_length_ends_with_an_orderly_close():
    """A reset would make the client lose the part that arrived (the client had sent Connection: close)."""
    async def scenario() -> None:
        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(ANSWERS["length"][:100_000])
            await writer.drain()
            await asyncio.sleep(0.05)
        async with world(Fake(handle)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(left=20_000, Connection="close"))
            line, fields = await read_head(reader)
            received = await reader.read()       # raises ConnectionResetError at a reset
            assert 0 < len(received) < int(fields["content-length"]) and BODY.startswith(received)
            writer.close()

    run(scenario())


def test_truncated_response_delimited_by_the_close_ends_with_a_reset():
    """An orderly close would look like the regular end of the body."""
    async def scenario() -> None:
        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(ANSWERS["chunks"][:100_000])
            await writer.drain()
            await asyncio.sleep(0.05)
        async with world(Fake(handle)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(left=20_000).replace(b"HTTP/1.1", b"HTTP/1.0"))
            await read_head(reader)
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    run(scenario())


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 204 No Content\r\n\r\n", b"HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n",
    b"HTTP/1.1 304 Not Modified\r\nContent-Length: 500000\r\n\r\n",
    b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"])
def test_unexpected_response_status_fails_a_booking_and_keeps_the_connection_usable(answer):
    async def scenario() -> None:
        async def handle(reader, writer) -> None:
            while True:
                line, _, _ = await read_message(reader)
                writer.write(answer if "/odd" in line else ok(b"yes"))
        fake = Fake(handle)
        async with world(fake) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", left=1500, path="/odd"))
            assert (await asyncio.wait_for(read_message(reader), 1.0))[0].split()[1] == "502"
            for backend in harness.ingress.host.controller.fleet.backends.values():
                backend.fails, backend.rest_until = 0, 0.0
            writer.write(request())
            assert (await read_message(reader))[2] == b"yes" and fake.opened == 1
            writer.close()

    run(scenario())


def test_client_reading_64_kb_a_second_is_not_disconnected_and_the_backend_waits():
    async def scenario() -> None:
        sent_megabytes = [0]

        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(STATUS_LINE + b"Content-Length: %d\r\n\r\n" % (32 * MB))
            for _ in range(32):
                writer.write(bytes(MB))
                await writer.drain()
                sent_megabytes[0] += 1
        async with world(Fake(handle)) as harness:
            reader, writer = await harness.connect()
            reader._limit = 4096
            writer.write(request(left=60_000))
            await read_head(reader)
            for _ in range(16):
                assert await reader.readexactly(16 * 1024) == bytes(16 * 1024)
                await asyncio.sleep(0.25)
            assert sent_megabytes[0] < 32 and (
                harness.ingress.budget.used_bytes <= body_buffering.MAX_HIGH_WATER_BYTES + 256 * 1024)
            writer.close()

    run(scenario(), 30.0)
