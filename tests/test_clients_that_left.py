"""Work for a disconnected client ends where ending it is safe (incident GONE)."""

import asyncio
import socket
import time

import pytest

from fennelpoint.body_buffering import MAX_BODY_BYTES
from fennelpoint.net.client_connection import RESET_ON_CLOSE
from fennelpoint.net.controller_host import ABANDONED_WORK_TIMEOUT_S
from fennelpoint.net.upstream_connection import UpstreamConnection
from fennelpoint.testing import Backend, Fake, ask, read_message, request, run, until, world

MB = 1 << 20


class BusyBackend(Fake):
    """A backend that works on each request until its connection closes; records started and ended requests."""

    def __init__(self) -> None:
        super().__init__(self._work)
        self.started: list[str] = []
        self.ended: list[str] = []

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _, _ = await read_message(reader)
        self.started.append(line)
        await reader.read()
        self.ended.append(line)


def test_attempt_of_a_repeatable_request_ends_soon_after_its_client_disconnects():
    async def scenario() -> None:
        backend = BusyBackend()
        async with world(backend) as harness:
            _, writer = await harness.connect()
            writer.write(request(left=60_000))
            await until(lambda: backend.started)
            writer.transport.abort()
            await until(lambda: not harness.ingress.server.connections)
            await until(lambda: backend.ended and not harness.ingress.host.open_requests, ABANDONED_WORK_TIMEOUT_S)
            assert harness.ingress.host.controller.fleet.in_flight == 0

    run(scenario())


@pytest.mark.parametrize("lane", ["look", "book"])
def test_request_whose_client_disconnects_before_it_is_read_reaches_no_backend(lane):
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            await ask(harness, request(path="/before"))  # opens a connection to the backend
            before = harness.ingress.host.last_id
            with socket.create_connection(harness.address) as client:  # sends and closes before the ingress runs
                client.sendall(request(lane, left=60_000))
            await until(lambda: harness.ingress.host.last_id > before)
            await until(lambda: not harness.ingress.server.connections and not harness.ingress.host.open_requests)
            await ask(harness, request(path="/next"))
            assert [line.split()[1] for line, _, _ in backend.seen] == ["/before", "/next"]

    run(scenario())


def test_non_repeatable_attempt_continues_after_its_client_disconnects():
    async def scenario() -> None:
        backend = Backend(delay=ABANDONED_WORK_TIMEOUT_S)
        async with world(backend) as harness:
            _, writer = await harness.connect()
            writer.write(request("book", left=60_000))
            await until(lambda: backend.seen)
            writer.transport.abort()
            await until(lambda: not harness.ingress.server.connections)
            assert harness.ingress.host.open_requests
            await until(lambda: not harness.ingress.host.open_requests)
            assert backend.opened == 1 and harness.ingress.host.controller.fleet.backends["s-0"].fails == 0

    run(scenario())


def test_disconnect_is_noticed_while_reading_is_paused_by_back_pressure():
    """Reading is paused, so the end of the stream stays unread in the kernel."""

    async def scenario() -> None:
        async def take_nothing(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await until(lambda: writer.is_closing())

        async with world(Fake(take_nothing)) as harness:
            _, writer = await harness.connect()
            writer.write(request("book", bytes(min(MAX_BODY_BYTES, 32 * MB)), left=60_000))
            await until(lambda: any(c.is_read_paused for c in harness.ingress.server.connections))
            # An orderly close would wait behind the rest of the body, which is never read.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            await until(lambda: not harness.ingress.host.open_requests, 2 * ABANDONED_WORK_TIMEOUT_S)

    run(scenario())


def test_disconnect_during_the_upstream_connect_is_not_counted_as_a_backend_failure(monkeypatch):
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            connecting, go_on = asyncio.Event(), asyncio.Event()
            connect = harness.ingress.backends.loop.create_connection

            async def slow_connect(*arguments, **options):
                connecting.set()
                await go_on.wait()
                return await connect(*arguments, **options)

            monkeypatch.setattr(
                harness.ingress.backends, "loop", DelayedLoop(harness.ingress.backends.loop, slow_connect)
            )
            _, writer = await harness.connect()
            writer.write(request(left=60_000))
            await connecting.wait()
            writer.transport.abort()
            await until(lambda: not harness.ingress.server.connections)
            await until(lambda: not harness.ingress.host.open_requests, ABANDONED_WORK_TIMEOUT_S)
            go_on.set()
            assert harness.ingress.host.controller.fleet.backends["s-0"].fails == 0
            monkeypatch.undo()
            line, _, _ = await ask(harness, request())
            assert line.split()[1] == "200" and len(backend.seen) == 1

    run(scenario())


def test_connect_cancelled_just_as_it_succeeds_leaks_no_request_and_no_pool_slot(monkeypatch):
    """The time-out may fire in the loop turn of the connect; uvloop then reports no loss of that connection."""

    async def scenario() -> None:
        backend = BusyBackend()
        async with world(backend) as harness:
            pool, original_connection_made = harness.ingress.backends, UpstreamConnection.connection_made

            def give_up(connection, transport) -> None:
                original_connection_made(connection, transport)
                for task in pool.connect_tasks:
                    task.cancel()

            monkeypatch.setattr(UpstreamConnection, "connection_made", give_up)
            line, _, _ = await asyncio.wait_for(ask(harness, request("book", left=60_000)), 5.0)
            assert line.split()[1] == "502"  # it may have run
            assert not pool.all and not pool.connect_tasks and not harness.ingress.host.open_requests

    run(scenario())


# Guards against 502 for a write because the process stood still while a connection to its backend came up.
def test_request_is_served_on_a_connection_that_comes_up_while_the_process_stands_still(monkeypatch):
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            original_connection_made = UpstreamConnection.connection_made

            def stand_still(connection, transport) -> None:
                original_connection_made(connection, transport)
                time.sleep(1.2 * harness.ingress.backends.connect_timeout_s)

            monkeypatch.setattr(UpstreamConnection, "connection_made", stand_still)
            line, _, _ = await asyncio.wait_for(ask(harness, request("book", left=60_000)), 5.0)
            assert line.split()[1] == "200" and len(backend.seen) == 1

    run(scenario())


class DelayedLoop:
    """An event loop whose connects complete when the test allows it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, create_connection) -> None:
        self.loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str):
        return getattr(self.loop, name)
