"""Work for a client that has left ends, where ending it harms nobody (incident GONE)."""

import asyncio
import socket

from fennelpoint.bodies import MOST
from fennelpoint.net.host import LEFT_AT_WORK
from fennelpoint.net.server import RESET
from fennelpoint.standins import Fake, read_message, request, run, until, world

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
            assert made.ingress.host.controller.fleet.out == 0

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
