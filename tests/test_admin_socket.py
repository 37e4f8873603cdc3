"""The operators' door: ready, drain and resume, and what else comes there; drains at every phase."""

import asyncio
import time

import pytest

from fennelpoint.file_descriptors import MAX_ADMIN_CALLERS
from fennelpoint.lifecycle import Phase
from fennelpoint.net.admin_socket import MOST_LINE
from fennelpoint.testing import Backend, ask, ok, read_message, request, run, until, world

READY = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


async def call(made, line: bytes, end: bytes = b"\n") -> str:
    reader, writer = await asyncio.open_connection(*made.door)
    writer.write(line + end)
    answer = await asyncio.wait_for(reader.read(), 1.0)
    writer.close()
    assert answer.count(b"\n") == 1 and answer.endswith(b"\n")
    return answer.decode()


async def status(made) -> int:
    return int((await ask(made, READY))[0].split()[1])


def test_calls_are_answered_and_may_be_said_twice():
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            assert (await call(made, b"ready")).startswith("ACK serving")
            for _ in range(2):
                assert (await call(made, b"drain")).startswith("ACK draining")
                assert (await call(made, b"ready")).startswith("NAK draining") and await status(made) == 503
            await until(lambda: made.ingress.life_cycle.phase is Phase.DRAINED)
            assert (await call(made, b"ready")).startswith("NAK drained") and await status(made) == 503
            for _ in range(2):
                assert (await call(made, b"resume\r")).startswith("ACK serving")
                assert (await call(made, b"ready")).startswith("ACK") and await status(made) == 200

    run(play())


def test_the_announcer_beside_it_hears_the_same_of_every_phase():
    """What the ingress tells it goes by the one life-cycle, too."""
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            told = [made.ingress.heartbeat_state()[0]]
            for line in (b"drain", b"resume", b"drain"):
                await call(made, line)
                told.append(made.ingress.heartbeat_state()[0])
            await until(lambda: made.ingress.life_cycle.phase is Phase.DRAINED)
            assert told == ["up", "draining", "up", "draining"] and made.ingress.heartbeat_state()[0] == "draining"

    run(play())


def test_ready_is_no_before_there_is_a_list():
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            made.ingress.life_cycle.phase = Phase.STARTING
            assert (await call(made, b"ready")).startswith("NAK starting")

    run(play())


def test_a_process_that_ends_can_be_drained_and_not_resumed():
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend, door=True) as made:
            _, writer = await made.connect()
            writer.write(request(left=2000))
            await until(lambda: backend.seen)
            made.ingress.stop()
            assert (await call(made, b"drain")).startswith("ACK stopping")
            assert (await call(made, b"resume")) == "NAK resume while stopping\n"
            writer.close()

    run(play())


@pytest.mark.parametrize("line", [
    b"", b"reboot", b"READY now", b"drain ready", b"\xc3\xa4", b"GET /ready HTTP/1.1", b"x" * (MOST_LINE + 1),
    b"\x00" * 40, b"\xff\xfe" + "drain".encode("utf-16-le")])
def test_anything_else_gets_one_no_and_changes_nothing(line):
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            assert (await call(made, line)).startswith("NAK ")
            assert made.ingress.life_cycle.phase is Phase.SERVING

    run(play())


def test_callers_that_say_nothing_cost_no_later_one_its_answer_and_no_descriptor():
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            silent = [await asyncio.open_connection(*made.door) for _ in range(3 * MAX_ADMIN_CALLERS)]
            for _, writer in silent[::2]:
                writer.write(b"dra")
            await until(lambda: len(made.ingress.components["door"].callers) <= MAX_ADMIN_CALLERS)
            began = time.monotonic()
            assert (await call(made, b"ready")).startswith("ACK")
            assert time.monotonic() - began < 0.5
            assert len(made.ingress.components["door"].callers) <= MAX_ADMIN_CALLERS
            assert made.ingress.life_cycle.phase is Phase.SERVING
            for _, writer in silent:
                writer.close()
            await until(lambda: not made.ingress.components["door"].callers)

    run(play())


def test_a_drain_answers_what_is_open_or_behind_it_and_closes_what_is_idle_within_a_second():
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend, door=True) as made:
            idle, held, behind = [await made.connect() for _ in range(3)]
            idle[1].write(READY)
            await read_message(idle[0])
            held[1].write(request("book", b"x", left=7000))
            behind[1].write(request(left=7000) + request(left=7000))
            await until(lambda: len(backend.seen) == 2)
            began = time.monotonic()
            await call(made, b"drain")
            assert await idle[0].read() == b"" and time.monotonic() - began < 1.0
            assert made.ingress.life_cycle.phase is Phase.DRAINING     # requests are open
            backend.answer = lambda *_: ok(b"second")
            for writer in backend.writers:
                writer.write(ok(b"first"))
            line, fields, body = await read_message(held[0])
            assert (body, fields["connection"]) == (b"first", "close") and await held[0].read() == b""
            line, fields, body = await read_message(behind[0])
            assert body == b"first" and "connection" not in fields      # another was taken with it
            line, fields, body = await read_message(behind[0])
            assert (body, fields["connection"]) == (b"second", "close") and await behind[0].read() == b""
            for _, writer in (idle, held, behind):
                writer.close()
            await until(lambda: made.ingress.life_cycle.phase is Phase.DRAINED)

    run(play())


def test_requests_on_new_and_on_kept_connections_are_served_during_a_drain():
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            kept = await made.connect()
            kept[1].write(request())
            await read_message(kept[0])
            await call(made, b"drain")
            kept[1].write(request())
            line, fields, _ = await read_message(kept[0])
            assert line.endswith("200 OK") and fields["connection"] == "close"
            line, fields, _ = await ask(made, request())
            assert line.endswith("200 OK") and fields["connection"] == "close"
            await until(lambda: made.ingress.life_cycle.phase is Phase.DRAINED)
            line, fields, _ = await ask(made, request())    # the front forgot: still one answer
            assert line.endswith("200 OK") and fields["connection"] == "close"
            kept[1].close()

    run(play())


@pytest.mark.parametrize("after", [0.0, 0.3, 0.7])
def test_resume_in_any_phase_of_a_drain_serves_again_at_once(after):
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend, door=True) as made:
            reader, writer = await made.connect()
            writer.write(request("book", b"x", left=7000))
            await until(lambda: backend.seen)
            await call(made, b"drain")
            await asyncio.sleep(after)
            await call(made, b"resume")
            assert await status(made) == 200
            backend.writers[0].write(ok(b"yes"))
            _, fields, body = await read_message(reader)
            assert body == b"yes" and "connection" not in fields
            await asyncio.sleep(0.7)    # nothing of the drain goes on
            backend.answer = lambda *_: ok(b"yes")
            writer.write(request())
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(play())


def test_a_request_that_crosses_the_close_of_its_idle_connection_is_read_and_answered():
    """The kernel holds it unread when the connection would be closed."""
    async def play() -> None:
        async with world(Backend(), door=True) as made:
            reader, writer = await made.connect()
            writer.write(request())
            await read_message(reader)
            writer.write(request())
            writer.transport.get_extra_info("socket")   # written to the kernel, and the loop has not turned
            made.ingress.server.close_idle()
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(play())


def test_without_the_setting_there_is_no_door():
    async def play() -> None:
        async with world(Backend()) as made:
            assert "door" not in made.ingress.components

    run(play())


BOOKING = request("book", b"0123456789", left=5000)
HEAD_END = BOOKING.index(b"\r\n\r\n") + 4


@pytest.mark.parametrize("sent", [1, 30, HEAD_END - 1, HEAD_END, HEAD_END + 5, len(BOOKING) - 1])
def test_a_request_that_is_half_written_at_the_drain_is_answered_and_its_connection_left(sent):
    async def play() -> None:
        backend = Backend()
        async with world(backend, door=True) as made:
            kept = await made.connect()
            if sent % 2:    # on a connection that was idle, or on a new one
                kept[1].write(request())
                await read_message(kept[0])
            data = BOOKING.replace(b"X-Txn: ", b"X-Txn: %d-" % sent)
            cut = len(data) - len(BOOKING) + sent
            kept[1].write(data[:cut])
            connection = next(iter(made.ingress.server.connections))
            await until(lambda: connection.in_head or connection.in_body)
            await call(made, b"drain")
            await asyncio.sleep(0.8)    # idle ones are closed by now
            kept[1].write(data[cut:])
            line, fields, body = await read_message(kept[0])
            assert line.endswith("200 OK") and body == b"yes" and fields["connection"] == "close"
            assert await kept[0].read() == b"" and backend.seen[-1][2] == b"0123456789"
            kept[1].close()
            await until(lambda: made.ingress.life_cycle.phase is Phase.DRAINED)

    run(play())
