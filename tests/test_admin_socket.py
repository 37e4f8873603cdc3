"""The admin socket: ready, drain and resume, invalid commands; drains with connections in every state."""

import asyncio
import time

import pytest

from fennelpoint.file_descriptors import MAX_ADMIN_CALLERS
from fennelpoint.lifecycle import Phase
from fennelpoint.net.admin_socket import MAX_LINE_BYTES
from fennelpoint.testing import Backend, ask, ok, read_message, request, run, until, world

READY = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


async def send_command(harness, line: bytes, end: bytes = b"\n") -> str:
    reader, writer = await asyncio.open_connection(*harness.door)
    writer.write(line + end)
    answer = await asyncio.wait_for(reader.read(), 1.0)
    writer.close()
    assert answer.count(b"\n") == 1 and answer.endswith(b"\n")
    return answer.decode()


async def status(harness) -> int:
    return int((await ask(harness, READY))[0].split()[1])


def test_commands_are_answered_and_are_idempotent():
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            assert (await send_command(harness, b"ready")).startswith("ACK serving")
            for _ in range(2):
                assert (await send_command(harness, b"drain")).startswith("ACK draining")
                assert (await send_command(harness, b"ready")).startswith("NAK draining") and (
                    await status(harness) == 503)
            await until(lambda: harness.ingress.life_cycle.phase is Phase.DRAINED)
            assert (await send_command(harness, b"ready")).startswith("NAK drained") and await status(harness) == 503
            for _ in range(2):
                assert (await send_command(harness, b"resume\r")).startswith("ACK serving")
                assert (await send_command(harness, b"ready")).startswith("ACK") and await status(harness) == 200

    run(scenario())


def test_heartbeat_state_follows_the_lifecycle_phase():
    """The heartbeat reports the state of the same lifecycle as the admin socket."""
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            states = [harness.ingress.heartbeat_state()[0]]
            for line in (b"drain", b"resume", b"drain"):
                await send_command(harness, line)
                states.append(harness.ingress.heartbeat_state()[0])
            await until(lambda: harness.ingress.life_cycle.phase is Phase.DRAINED)
            assert states == ["up", "draining", "up", "draining"] and (
                harness.ingress.heartbeat_state()[0] == "draining")

    run(scenario())


def test_ready_is_nak_before_the_first_backend_list():
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            harness.ingress.life_cycle.phase = Phase.STARTING
            assert (await send_command(harness, b"ready")).startswith("NAK starting")

    run(scenario())


def test_stopping_process_accepts_drain_and_rejects_resume():
    async def scenario() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend, door=True) as harness:
            _, writer = await harness.connect()
            writer.write(request(left=2000))
            await until(lambda: backend.seen)
            harness.ingress.stop()
            assert (await send_command(harness, b"drain")).startswith("ACK stopping")
            assert (await send_command(harness, b"resume")) == "NAK resume while stopping\n"
            writer.close()

    run(scenario())


@pytest.mark.parametrize("line", [
    b"", b"reboot", b"READY now", b"drain ready", b"\xc3\xa4", b"GET /ready HTTP/1.1", b"x" * (MAX_LINE_BYTES + 1),
    b"\x00" * 40, b"\xff\xfe" + "drain".encode("utf-16-le")])
def test_unknown_command_gets_nak_and_changes_nothing(line):
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            assert (await send_command(harness, line)).startswith("NAK ")
            assert harness.ingress.life_cycle.phase is Phase.SERVING

    run(scenario())


def test_silent_admin_connections_neither_block_later_ones_nor_use_up_descriptors():
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            silent = [await asyncio.open_connection(*harness.door) for _ in range(3 * MAX_ADMIN_CALLERS)]
            for _, writer in silent[::2]:
                writer.write(b"dra")
            await until(lambda: len(harness.ingress.components["door"].connections) <= MAX_ADMIN_CALLERS)
            started_at = time.monotonic()
            assert (await send_command(harness, b"ready")).startswith("ACK")
            assert time.monotonic() - started_at < 0.5
            assert len(harness.ingress.components["door"].connections) <= MAX_ADMIN_CALLERS
            assert harness.ingress.life_cycle.phase is Phase.SERVING
            for _, writer in silent:
                writer.close()
            await until(lambda: not harness.ingress.components["door"].connections)

    run(scenario())


def test_drain_answers_open_and_pipelined_requests_and_closes_idle_connections_within_a_second():
    async def scenario() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend, door=True) as harness:
            idle, waiting, pipelining = [await harness.connect() for _ in range(3)]
            idle[1].write(READY)
            await read_message(idle[0])
            waiting[1].write(request("book", b"x", left=7000))
            pipelining[1].write(request(left=7000) + request(left=7000))
            await until(lambda: len(backend.seen) == 2)
            started_at = time.monotonic()
            await send_command(harness, b"drain")
            assert await idle[0].read() == b"" and time.monotonic() - started_at < 1.0
            assert harness.ingress.life_cycle.phase is Phase.DRAINING     # requests are open
            backend.answer = lambda *_: ok(b"second")
            for writer in backend.writers:
                writer.write(ok(b"first"))
            line, fields, body = await read_message(waiting[0])
            assert (body, fields["connection"]) == (b"first", "close") and await waiting[0].read() == b""
            line, fields, body = await read_message(pipelining[0])
            assert body == b"first" and "connection" not in fields      # a pipelined request follows
            line, fields, body = await read_message(pipelining[0])
            assert (body, fields["connection"]) == (b"second", "close") and await pipelining[0].read() == b""
            for _, writer in (idle, waiting, pipelining):
                writer.close()
            await until(lambda: harness.ingress.life_cycle.phase is Phase.DRAINED)

    run(scenario())


def test_requests_on_new_and_reused_connections_are_served_during_a_drain():
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            reused = await harness.connect()
            reused[1].write(request())
            await read_message(reused[0])
            await send_command(harness, b"drain")
            reused[1].write(request())
            line, fields, _ = await read_message(reused[0])
            assert line.endswith("200 OK") and fields["connection"] == "close"
            line, fields, _ = await ask(harness, request())
            assert line.endswith("200 OK") and fields["connection"] == "close"
            await until(lambda: harness.ingress.life_cycle.phase is Phase.DRAINED)
            line, fields, _ = await ask(harness, request())    # a proxy that missed the drain still gets an answer
            assert line.endswith("200 OK") and fields["connection"] == "close"
            reused[1].close()

    run(scenario())


@pytest.mark.parametrize("delay", [0.0, 0.3, 0.7])
def test_resume_at_any_time_of_a_drain_serves_again_at_once(delay):
    async def scenario() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend, door=True) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", left=7000))
            await until(lambda: backend.seen)
            await send_command(harness, b"drain")
            await asyncio.sleep(delay)
            await send_command(harness, b"resume")
            assert await status(harness) == 200
            backend.writers[0].write(ok(b"yes"))
            _, fields, body = await read_message(reader)
            assert body == b"yes" and "connection" not in fields
            await asyncio.sleep(0.7)    # no step of the drain may follow
            backend.answer = lambda *_: ok(b"yes")
            writer.write(request())
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_request_that_arrives_while_its_idle_connection_is_closed_is_answered():
    """The request is unread in the kernel at the moment of the close."""
    async def scenario() -> None:
        async with world(Backend(), door=True) as harness:
            reader, writer = await harness.connect()
            writer.write(request())
            await read_message(reader)
            writer.write(request())
            writer.transport.get_extra_info("socket")   # written to the kernel, and the loop has not turned
            harness.ingress.server.close_idle()
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_without_the_setting_there_is_no_admin_socket():
    async def scenario() -> None:
        async with world(Backend()) as harness:
            assert "door" not in harness.ingress.components

    run(scenario())


BOOKING = request("book", b"0123456789", left=5000)
HEAD_END = BOOKING.index(b"\r\n\r\n") + 4


@pytest.mark.parametrize("sent_bytes", [1, 30, HEAD_END - 1, HEAD_END, HEAD_END + 5, len(BOOKING) - 1])
def test_request_incomplete_at_the_drain_is_answered_and_its_connection_closed(sent_bytes):
    async def scenario() -> None:
        backend = Backend()
        async with world(backend, door=True) as harness:
            reused = await harness.connect()
            if sent_bytes % 2:    # on a reused connection, or on a new one
                reused[1].write(request())
                await read_message(reused[0])
            data = BOOKING.replace(b"X-Txn: ", b"X-Txn: %d-" % sent_bytes)
            cut = len(data) - len(BOOKING) + sent_bytes
            reused[1].write(data[:cut])
            connection = next(iter(harness.ingress.server.connections))
            await until(lambda: connection.in_head or connection.in_body)
            await send_command(harness, b"drain")
            await asyncio.sleep(0.8)    # idle connections are closed by now
            reused[1].write(data[cut:])
            line, fields, body = await read_message(reused[0])
            assert line.endswith("200 OK") and body == b"yes" and fields["connection"] == "close"
            assert await reused[0].read() == b"" and backend.seen[-1][2] == b"0123456789"
            reused[1].close()
            await until(lambda: harness.ingress.life_cycle.phase is Phase.DRAINED)

    run(scenario())
