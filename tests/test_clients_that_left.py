"""Work for a client that has left ends, where ending it harms nobody (incident GONE)."""

import asyncio
import socket

import pytest

from fennelpoint.body_buffering import MOST
from fennelpoint.net.backends import UpstreamConnection
from fennelpoint.net.controller_host import LEFT_AT_WORK
from fennelpoint.net.server import RESET
from fennelpoint.testing import Backend, Fake, ask, read_message, request, run, until, world

MB = 1 << 20


class Working(Fake):
    """A backend that works on each request until its connection closes; it knows which it gave up."""

    def __init__(self) -> None:
        super().__init__(self._work)
        self.began: list[str] = []
        self.ended: list[str] = []

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _, _ = await read_message(reader)
        self.began.append(line)
        await reader.read()
        self.ended.append(line)


def test_an_attempt_of_a_repeatable_request_ends_soon_after_its_client_left():
    async def play() -> None:
        backend = Working()
        async with world(backend) as made:
            _, writer = await made.connect()
            writer.write(request(left=60_000))
            await until(lambda: backend.began)
            writer.transport.abort()
            await until(lambda: not made.ingress.server.connections)
            await until(lambda: backend.ended and not made.ingress.host.tickets, LEFT_AT_WORK)
            assert made.ingress.host.controller.fleet.in_flight == 0

    run(play())


@pytest.mark.parametrize("lane", ["look", "book"])
def test_a_request_whose_client_has_left_before_it_is_read_reaches_no_backend(lane):
    async def play() -> None:
        backend = Backend()
        async with world(backend) as made:
            await ask(made, request(path="/before"))  # there is a connection to the backend
            before = made.ingress.host.last_id
            with socket.create_connection(made.address) as client:  # all before the ingress has a turn
                client.sendall(request(lane, left=60_000))
            await until(lambda: made.ingress.host.last_id > before)
            await until(lambda: not made.ingress.server.connections and not made.ingress.host.tickets)
            await ask(made, request(path="/next"))
            assert [line.split()[1] for line, _, _ in backend.seen] == ["/before", "/next"]

    run(play())


def test_an_attempt_that_may_run_once_only_runs_on_after_its_client_left():
    async def play() -> None:
        backend = Backend(delay=LEFT_AT_WORK)
        async with world(backend) as made:
            _, writer = await made.connect()
            writer.write(request("book", left=60_000))
            await until(lambda: backend.seen)
            writer.transport.abort()
            await until(lambda: not made.ingress.server.connections)
            assert made.ingress.host.tickets
            await until(lambda: not made.ingress.host.tickets)
            assert backend.opened == 1 and made.ingress.host.controller.fleet.backends["s-0"].fails == 0

    run(play())


def test_a_client_that_leaves_while_its_body_has_nowhere_to_go_is_noticed():
    """Reading is paused for it, so that the end of its connection is not read."""

    async def play() -> None:
        async def take_nothing(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await until(lambda: writer.is_closing())

        async with world(Fake(take_nothing)) as made:
            _, writer = await made.connect()
            writer.write(request("book", bytes(min(MOST, 32 * MB)), left=60_000))
            await until(lambda: any(c.halted for c in made.ingress.server.connections))
            # A close alone would wait behind the rest of the body, which nobody reads.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            await until(lambda: not made.ingress.host.tickets, 2 * LEFT_AT_WORK)

    run(play())


def test_a_client_that_leaves_while_its_attempt_connects_is_no_fault_of_the_backend(monkeypatch):
    async def play() -> None:
        backend = Backend()
        async with world(backend) as made:
            connecting, go_on = asyncio.Event(), asyncio.Event()
            connect = made.ingress.backends.loop.create_connection

            async def slow_connect(*arguments, **options):
                connecting.set()
                await go_on.wait()
                return await connect(*arguments, **options)

            monkeypatch.setattr(made.ingress.backends, "loop", Loop(made.ingress.backends.loop, slow_connect))
            _, writer = await made.connect()
            writer.write(request(left=60_000))
            await connecting.wait()
            writer.transport.abort()
            await until(lambda: not made.ingress.server.connections)
            await until(lambda: not made.ingress.host.tickets, LEFT_AT_WORK)
            go_on.set()
            assert made.ingress.host.controller.fleet.backends["s-0"].fails == 0
            monkeypatch.undo()
            line, _, _ = await ask(made, request())
            assert line.split()[1] == "200" and len(backend.seen) == 1

    run(play())


def test_a_connect_that_is_given_up_just_as_it_comes_up_holds_nobody_and_no_place(monkeypatch):
    """Its time may be up in the very turn in which it is made; uvloop then tells nobody of the connection's end."""

    async def play() -> None:
        backend = Working()
        async with world(backend) as made:
            pool, made_before = made.ingress.backends, UpstreamConnection.connection_made

            def give_up(connection, transport) -> None:
                made_before(connection, transport)
                for task in pool.connecting:
                    task.cancel()

            monkeypatch.setattr(UpstreamConnection, "connection_made", give_up)
            line, _, _ = await asyncio.wait_for(ask(made, request("book", left=60_000)), 5.0)
            assert line.split()[1] == "502"  # it may have run
            assert not pool.all and not pool.connecting and not made.ingress.host.tickets

    run(play())


class Loop:
    """A loop whose connections come up when a test says so."""

    def __init__(self, loop: asyncio.AbstractEventLoop, create_connection) -> None:
        self.loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str):
        return getattr(self.loop, name)
