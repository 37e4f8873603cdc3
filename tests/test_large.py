"""Large bodies on sockets: passed on as they come, held up by their own client alone, ended visibly."""

import asyncio
import hashlib
import time

import pytest

from fennelpoint import body_buffering
from fennelpoint.lifecycle import Event
from fennelpoint.testing import Backend, Fake, ok, read_message, request, run, until, world

MB = 1 << 20
LINES = b"HTTP/1.1 200 OK\r\n"


def pattern(size: int) -> bytes:
    return hashlib.shake_128(b"body").digest(size)


BODY = pattern(3 * MB)


async def head_of(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return lines[0], {n.lower(): v for n, _, v in (line.partition(": ") for line in lines[1:] if line)}


async def body_of(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
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


class Taker(Fake):
    """A backend that takes bodies by any framing and says how long they were; it can stop half-way."""

    def __init__(self, answer=lambda body: ok(b"%d" % len(body))) -> None:
        super().__init__(self._handle)
        self.answer, self.seen, self.heads = answer, [], []
        self.go = asyncio.Event()
        self.go.set()

    async def _handle(self, reader, writer) -> None:
        while True:
            line, fields = await head_of(reader)
            self.heads.append(fields)
            await self.go.wait()
            body = await body_of(reader, fields) if "transfer-encoding" in fields or (
                "content-length" in fields) else b""
            self.seen.append(body)
            writer.write(self.answer(body))


def chunked(body: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[i:i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


ANSWERS = {
    "length": LINES + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "length and a space": LINES + b"Content-Length: %d \t\r\n\r\n" % len(BODY) + BODY,
    "chunks": LINES + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(BODY, 50_001, b";a=b", b"X-T: 1\r\n"),
    "small chunks": LINES + b"TRANSFER-ENCODING: Chunked\r\n\r\n" + chunked(BODY, 997),
    "the connection's end": LINES + b"Connection: close\r\n\r\n" + BODY,
    "an interim answer first": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + LINES
    + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
}


@pytest.mark.parametrize("form", ANSWERS)
def test_answers_of_any_framing_come_out_unchanged_and_the_connection_goes_on(form):
    async def play() -> None:
        async def handle(reader, writer) -> None:
            while True:
                await read_message(reader)
                writer.write(ANSWERS[form])
                if "end" in form:
                    return
        async with world(Fake(handle)) as made:
            reader, writer = await made.connect()
            for _ in range(2):
                writer.write(request())
                line, fields = await head_of(reader)
                assert line.endswith("200 OK") and "x-t" not in fields and "link" not in fields
                assert await body_of(reader, fields) == BODY
            writer.close()
            await until(lambda: not made.ingress.host.tickets)
            assert made.ingress.budget.used == made.ingress.budget.flows == 0

    run(play())


def test_a_client_of_http_1_0_gets_an_answer_of_no_told_length_until_the_close():
    async def play() -> None:
        async with world(Backend(lambda *_: ANSWERS["chunks"])) as made:
            reader, writer = await made.connect()
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            line, fields = await head_of(reader)
            assert "transfer-encoding" not in fields and fields["connection"] == "close"
            assert await reader.read() == BODY
            writer.close()

    run(play())


@pytest.mark.parametrize("ending", ["close", "reset", "garbage"])
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_an_answer_that_breaks_in_the_middle_ends_so_that_the_client_can_tell(form, ending):
    async def play() -> None:
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
        async with world(Fake(handle), Fake(handle)) as made:
            reader, writer = await made.connect()
            writer.write(request(left=20_000))
            line, fields = await head_of(reader)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await asyncio.wait_for(body_of(reader, fields), 3.0)
            assert len(seen) == 1       # an answer that has begun is no other backend's any more
            writer.close()
            await until(lambda: not made.ingress.host.tickets and not made.ingress.server.connections)
            assert made.ingress.budget.used == made.ingress.budget.flows == 0

    run(play())


def test_a_chunked_answer_cut_at_any_byte_is_whole_or_shows_that_it_is_not():
    """Small enough to be held: it fails, or is had from the other backend, and is never passed on torn."""
    answer = LINES + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b"0123456789", 4, b";x")

    async def play() -> None:
        cut = [0]

        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(answer[:cut[0]])
        for cuts in (range(len(answer)), [len(answer)]):
            async with world(Fake(handle), Fake(handle)) as made:
                for cut[0] in cuts:
                    for backend in made.ingress.host.controller.fleet.backends.values():
                        backend.fails, backend.rest_until = 0, 0.0      # else it is left alone after a few
                    reader, writer = await made.connect()
                    writer.write(request("book", b"x", left=1500))
                    line, _, body = await read_message(reader)
                    assert (line.split()[1] == "200") == (cut[0] == len(answer)), cut
                    assert body == b"0123456789" or cut[0] < len(answer)
                    writer.close()

    run(play(), 60.0)


def test_a_reader_that_stops_holds_up_its_own_answer_alone_and_little_memory():
    async def play() -> None:
        size = 32 * MB
        whole = LINES + b"Content-Length: %d\r\n\r\n" % size

        async def handle(reader, writer) -> None:
            while True:
                line, fields, _ = await read_message(reader)
                if "/big" not in line:
                    writer.write(ok(b"small"))
                    continue
                writer.write(whole)
                for _ in range(size // MB):
                    writer.write(bytes(MB))
                    await writer.drain()
        async with world(Fake(handle)) as made:
            stopped = [await made.connect() for _ in range(8)]
            for reader, writer in stopped:
                reader._limit = 1024    # the test's own reader takes no more than it is asked for
                writer.write(request(path="/big", left=60_000))
            await until(lambda: len(made.ingress.server.flowing) == 8)
            await until(lambda: all(c.choked for c in made.ingress.server.flowing))
            budget = made.ingress.budget
            assert budget.used <= 8 * (body_buffering.MOST_MARK + body_buffering.READ + 64)
            reader, writer = await made.connect()
            began = time.monotonic()
            writer.write(request())
            assert (await read_message(reader))[2] == b"small" and time.monotonic() - began < 0.5
            line, fields = await head_of(stopped[0][0])
            assert len(await body_of(stopped[0][0], fields)) == size    # and goes on as it reads again
            for _, other in (*stopped, (reader, writer)):
                other.close()
            await until(lambda: not made.ingress.host.tickets and not made.ingress.backends.connecting)
            assert budget.used == budget.flows == 0

    run(play())


def test_a_reader_that_takes_nothing_for_long_is_given_up(monkeypatch):
    async def play() -> None:
        monkeypatch.setattr("fennelpoint.net.server.STOPPED", 0.5)
        whole = LINES + b"Content-Length: %d\r\n\r\n" % (24 * MB) + bytes(24 * MB)
        async with world(Backend(lambda *_: whole)) as made:
            reader, writer = await made.connect()
            reader._limit = 1024
            writer.write(request(left=60_000))
            await until(lambda: made.ingress.server.flowing)
            await until(lambda: not made.ingress.server.connections, 5.0)
            await until(lambda: not made.ingress.host.tickets and not made.ingress.backends.all)
            writer.close()

    run(play())


def test_a_slow_reader_gets_its_whole_answer_though_the_ingress_drains():
    async def play() -> None:
        async with world(Backend(lambda *_: ANSWERS["length"]), door=True) as made:
            reader, writer = await made.connect()
            reader._limit = 64 * 1024
            writer.write(request())
            line, fields = await head_of(reader)
            made.ingress.life.handle(Event.DRAIN, time.monotonic())
            made.ingress.look()
            got = b""
            while len(got) < len(BODY):
                got += await reader.readexactly(min(256 * 1024, len(BODY) - len(got)))
                await asyncio.sleep(0.15)
            assert got == BODY and await reader.read() == b""
            writer.close()

    run(play())


UPLOADS = {
    "length": lambda body: request("book", body, left=5000),
    "chunks": lambda body: request("book", chunked(body, 30_011, b";q", b"X-Lane: look\r\n"), left=5000,
                                   Transfer_Encoding="chunked"),
    "Chunked": lambda body: request("book", chunked(body, 30_011), left=5000, Transfer_Encoding="Chunked"),
}


@pytest.mark.parametrize("size", [100, 65_537, body_buffering.MOST_HELD - 1, body_buffering.MOST_HELD, MB, 3 * MB])
@pytest.mark.parametrize("form", UPLOADS)
def test_bodies_of_any_size_and_framing_reach_the_backend_unchanged(form, size):
    async def play() -> None:
        backend = Taker()
        async with world(backend) as made:
            reader, writer = await made.connect()
            for _ in range(2):
                writer.write(UPLOADS[form](BODY[:size]))
                line, _, body = await read_message(reader)
                assert line.endswith("200 OK") and body == b"%d" % size
            assert backend.seen == [BODY[:size]] * 2
            assert all("x-lane" in fields and fields["x-lane"] == "book" for fields in backend.heads)
            writer.close()
            await until(lambda: not made.ingress.host.tickets)
            assert made.ingress.budget.used == made.ingress.budget.flows == 0

    run(play())


def test_a_body_of_32_mb_passes_with_little_held_while_the_backend_takes_nothing():
    async def play() -> None:
        backend = Taker()
        backend.go.clear()
        async with world(backend) as made:
            body = pattern(32 * MB)
            reader, writer = await made.connect()
            writer.write(request("book", body, left=60_000))
            await until(lambda: any(c.halted for c in made.ingress.server.connections))
            assert made.ingress.budget.used <= 2 * body_buffering.MOST_HELD
            backend.go.set()
            line, _, answer = await read_message(reader)
            assert line.endswith("200 OK") and answer == b"%d" % len(body) and backend.seen == [body]
            writer.close()

    run(play())


def test_a_slow_sender_is_served_and_its_time_counts_from_its_last_byte():
    """At 64 kB a second, with 2 s to live and an aim of 1.5 s: neither deadline nor pace cuts it off."""
    async def play() -> None:
        backend = Taker()
        async with world(backend) as made:
            data = request("book", BODY[:290_000], left=2000)
            reader, writer = await made.connect()
            for at in range(0, len(data), 4800):
                writer.write(data[at:at + 4800])
                await asyncio.sleep(0.075)
            line, _, body = await read_message(reader)
            assert line.endswith("200 OK") and body == b"290000"
            writer.close()

    run(play())


def test_a_head_that_takes_two_seconds_is_served():
    async def play() -> None:
        async with world(Taker()) as made:
            data = b"\r\n\r\n" + request("book", b"abc", left=5000)
            reader, writer = await made.connect()
            for at in range(0, len(data), 20):
                writer.write(data[at:at + 20])
                await asyncio.sleep(2.0 * 20 / len(data))
            assert (await read_message(reader))[2] == b"3"
            writer.close()

    run(play())


def test_a_large_body_that_stops_coming_is_told_so_and_the_backend_never_has_it_whole(monkeypatch):
    async def play() -> None:
        monkeypatch.setattr(body_buffering, "GRACE", 0.3)
        monkeypatch.setattr(body_buffering, "RATE", 4e6)
        backend = Taker()
        async with world(backend) as made:
            reader, writer = await made.connect()
            writer.write(request("book", BODY, left=60_000)[:MB])
            assert (await asyncio.wait_for(reader.read(), 5.0)).startswith(b"HTTP/1.1 408")
            writer.close()
            await until(lambda: backend.heads and not made.ingress.host.tickets)
            await until(lambda: not made.ingress.server.connections and not made.ingress.backends.all)
            assert not backend.seen and made.ingress.budget.used == made.ingress.budget.flows == 0
            assert made.ingress.host.controller.fleet.in_flight == 0

    run(play())


def test_a_client_that_leaves_in_the_middle_of_its_body_frees_the_backend():
    async def play() -> None:
        backend = Taker()
        async with world(backend) as made:
            _, writer = await made.connect()
            writer.write(request("book", BODY, left=60_000)[:MB])
            await until(lambda: backend.heads)
            writer.transport.abort()
            await until(lambda: not made.ingress.host.tickets and not made.ingress.backends.all)
            assert not backend.seen and made.ingress.host.controller.fleet.in_flight == 0

    run(play())


def test_a_try_whose_body_was_given_up_is_not_sent_again():
    """Turned away unheard, so harmless to repeat; but its first bytes are held no more."""
    async def play() -> None:
        seen = []

        async def handle(reader, writer) -> None:
            seen.append(await head_of(reader))
            await reader.readexactly(500_000)
            writer.write(ok(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n"))
            await reader.read()
        async with world(Fake(handle), Fake(handle)) as made:
            reader, writer = await made.connect()
            writer.write(request("book", BODY, left=5000))
            line, _, _ = await read_message(reader)
            assert line.split()[1] == "503" and len(seen) == 1
            writer.close()

    run(play())


def test_a_large_body_that_is_held_whole_may_go_to_another_backend():
    async def play() -> None:
        async def handle(reader, writer) -> None:
            while True:
                bodies_seen.append((await read_message(reader))[2])
                writer.write(ok(b"yes") if len(bodies_seen) > 1 else ok(
                    b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n"))
        bodies_seen: list[bytes] = []
        async with world(Fake(handle), Fake(handle)) as made:
            reader, writer = await made.connect()
            writer.write(request("book", BODY[:200_000], left=5000))
            assert (await read_message(reader))[2] == b"yes" and bodies_seen == [BODY[:200_000]] * 2
            writer.close()

    run(play())


def test_a_refusal_goes_out_before_the_body_has_come_and_the_connection_goes_on():
    async def play() -> None:
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 0.01, "store_size": 1.0, "overrun_cost": 1.0}
        async with world(Taker(), contracts=[plan], extra={"has_counter": False, "units_top": 1}) as made:
            reader, writer = await made.connect()
            writer.write(request())
            await read_message(reader)
            data = request("book", BODY, left=5000)
            writer.write(data[:MB])
            line, fields, _ = await asyncio.wait_for(read_message(reader), 1.5)
            assert line.split()[1] == "503" and "connection" not in fields
            writer.write(data[MB:])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            assert (await read_message(reader))[2] == b"ready\n"
            assert made.ingress.budget.used == 0
            writer.close()

    run(play())


@pytest.mark.parametrize("size", [10, 500_000])
def test_a_client_that_waits_for_a_word_before_its_body_gets_it_in_its_turn(size):
    async def play() -> None:
        backend = Taker()
        async with world(backend) as made:
            reader, writer = await made.connect()
            data = request("book", BODY[:size], left=5000, Expect="100-Continue")
            end = data.index(b"\r\n\r\n") + 4
            writer.write(request() + data[:end])
            assert (await read_message(reader))[0].endswith("200 OK")     # the one before it, first
            assert (await head_of(reader))[0].split()[1] == "100"
            writer.write(data[end:])
            assert (await read_message(reader))[2] == b"%d" % size
            assert "expect" not in backend.heads[-1]
            writer.close()

    run(play())


def test_a_body_without_end_is_too_large(monkeypatch):
    async def play() -> None:
        monkeypatch.setattr("fennelpoint.net.server.MOST", 2 * MB)
        backend = Taker()
        async with world(backend) as made:
            reader, writer = await made.connect()
            writer.write(request("book", chunked(BODY, 9999), left=5000, Transfer_Encoding="chunked"))
            assert (await read_message(reader))[0].split()[1] == "413"
            writer.close()
            await until(lambda: not made.ingress.host.tickets)
            assert not backend.seen and made.ingress.budget.used == 0

    run(play())


def test_spaces_behind_a_fields_value_are_not_part_of_it():
    """Seen in service: 599 sound requests of a minute were answered 400 for them."""
    async def play() -> None:
        async with world(Taker()) as made:
            reader, writer = await made.connect()
            data = request("book", b"abc", left=5000)
            head, body = data.split(b"\r\n\r\n")
            writer.write(head.replace(b"\r\n", b" \t\r\n", 20).replace(b"HTTP/1.1 \t", b"HTTP/1.1")
                         + b"  \r\n\r\n" + body)
            line, _, answer = await read_message(reader)
            assert line.endswith("200 OK") and answer == b"3"
            writer.close()

    run(play())


def test_a_body_behind_an_open_request_waits_and_is_served():
    async def play() -> None:
        first = Backend(lambda line, fields, body: None if "/one" in line else ok(b"%d" % len(body)))
        async with world(first) as made:
            reader, writer = await made.connect()
            writer.write(request(path="/one", left=9000))
            await until(lambda: first.seen)
            writer.write(request("book", BODY, left=5000))
            await until(lambda: any(c.halted for c in made.ingress.server.connections))
            assert len(first.seen) == 1
            await asyncio.sleep(0.1)
            first.writers[0].write(ok(b"at last"))
            assert (await read_message(reader))[2] == b"at last"
            assert (await read_message(reader))[2] == b"%d" % len(BODY)
            writer.close()

    run(play())


def test_a_bad_request_with_a_large_body_reads_on_so_that_its_answer_arrives():
    """Reading was paused with the fault, so the close reset the connection, and the 4xx was gone."""
    async def play() -> None:
        async with world(Taker()) as made:
            reader, writer = await made.connect()
            writer.write(request("book", BODY, left=5000, Api_Plan="gold")[:MB])
            await until(lambda: any(c.deaf for c in made.ingress.server.connections))
            assert not any(c.halted for c in made.ingress.server.connections)
            writer.write(BODY[:200_000])
            assert (await read_message(reader))[0].split()[1] == "400" and await reader.read() == b""
            writer.close()

    run(play())


def test_a_broken_answer_of_told_length_ends_by_a_close_though_the_client_wanted_no_other():
    """What came of it is the client's; a reset would take that along."""
    async def play() -> None:
        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(ANSWERS["length"][:100_000])
            await writer.drain()
            await asyncio.sleep(0.05)
        async with world(Fake(handle)) as made:
            reader, writer = await made.connect()
            writer.write(request(left=20_000, Connection="close"))
            line, fields = await head_of(reader)
            got = await reader.read()       # raises ConnectionResetError at a reset
            assert 0 < len(got) < int(fields["content-length"]) and BODY.startswith(got)
            writer.close()

    run(play())


def test_an_answer_that_ends_with_the_connection_is_reset_where_it_breaks():
    """An orderly close would pass for its end."""
    async def play() -> None:
        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(ANSWERS["chunks"][:100_000])
            await writer.drain()
            await asyncio.sleep(0.05)
        async with world(Fake(handle)) as made:
            reader, writer = await made.connect()
            writer.write(request(left=20_000).replace(b"HTTP/1.1", b"HTTP/1.0"))
            await head_of(reader)
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    run(play())


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 204 No Content\r\n\r\n", b"HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n",
    b"HTTP/1.1 304 Not Modified\r\nContent-Length: 500000\r\n\r\n",
    b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"])
def test_answers_that_are_none_of_a_bookings_end_it_as_failed_and_leave_the_connection_usable(answer):
    async def play() -> None:
        async def handle(reader, writer) -> None:
            while True:
                line, _, _ = await read_message(reader)
                writer.write(answer if "/odd" in line else ok(b"yes"))
        fake = Fake(handle)
        async with world(fake) as made:
            reader, writer = await made.connect()
            writer.write(request("book", b"x", left=1500, path="/odd"))
            assert (await asyncio.wait_for(read_message(reader), 1.0))[0].split()[1] == "502"
            for backend in made.ingress.host.controller.fleet.backends.values():
                backend.fails, backend.rest_until = 0, 0.0
            writer.write(request())
            assert (await read_message(reader))[2] == b"yes" and fake.opened == 1
            writer.close()

    run(play())


def test_a_reader_at_64_kb_a_second_is_not_cut_off_and_the_backend_waits():
    async def play() -> None:
        given = [0]

        async def handle(reader, writer) -> None:
            await read_message(reader)
            writer.write(LINES + b"Content-Length: %d\r\n\r\n" % (32 * MB))
            for _ in range(32):
                writer.write(bytes(MB))
                await writer.drain()
                given[0] += 1
        async with world(Fake(handle)) as made:
            reader, writer = await made.connect()
            reader._limit = 4096
            writer.write(request(left=60_000))
            await head_of(reader)
            for _ in range(16):
                assert await reader.readexactly(16 * 1024) == bytes(16 * 1024)
                await asyncio.sleep(0.25)
            assert given[0] < 32 and made.ingress.budget.used <= body_buffering.MOST_MARK + 256 * 1024
            writer.close()

    run(play(), 30.0)
