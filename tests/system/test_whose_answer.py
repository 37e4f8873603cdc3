"""Connections to backends, on loopback: whose an answer is, and what may be sent again or not at all."""

import asyncio
from collections.abc import Callable

import pytest

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget
from fennelpoint.net.backends import Answer, Exchange
from fennelpoint.net.controller_host import Asked, Ticket
from fennelpoint.system.calls import find
from fennelpoint.system.http_server import Asking, Reply, Visit, Web
from fennelpoint.system.proxy.controller_host import ProxyBackends, ProxyHost

S = api.Status
SHED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def good(id: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\n%b" % (id, id)


def play(do: Callable) -> None:
    """`do(pool, reads)`: a pool with one backend, which writes what `reads` says to each request that it reads."""
    async def run() -> None:
        loop, writers = asyncio.get_running_loop(), []
        says: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while not reader.at_eof():
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                writer.write(says.pop(0))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ProxyBackends(loop, 10, 0.5, 0.0, Budget(1 << 20))
        pool.follow(api.Roster(api.RosterKind.FULL, 0, [api.BackendEntry("b", api.BackendState.READY)]),
                    {"b": server.sockets[0].getsockname()[:2]})
        async with asyncio.timeout(5.0):
            await do(pool, says, writers)
        pool.close()
        server.close()
        await asyncio.sleep(0)

    asyncio.run(run())


async def send(pool: ProxyBackends, id: bytes, once: bool = True, may: Callable[[], bool] | None = None) -> S:
    ended = asyncio.get_running_loop().create_future()
    exchange = Exchange(lambda: b"POST /x HTTP/1.1\r\nX-Attempt-Id: %b\r\n\r\n" % id,
                        lambda status, answer: ended.set_result(status))
    exchange.txn, exchange.once, exchange.may = id, once, may
    pool.begin(exchange, "b")
    return await ended


@pytest.mark.parametrize("once", [True, False])
def test_a_refusal_that_comes_twice_does_not_say_of_the_next_request_that_it_never_ran(once: bool) -> None:
    """Its second copy comes in the place of the next answer, and bears no id: who may run once goes elsewhere."""
    async def do(pool, says: list, writers: list) -> None:
        says += [SHED, SHED + good(b"i2")]      # the copy, written as the next request is read
        assert await send(pool, b"i1", once) is S.FULL
        if not once:
            assert await send(pool, b"i2", once) is S.FULL      # sent again elsewhere, which does no harm
            return
        says[:] = [good(b"i2"), good(b"i3")]
        assert await send(pool, b"i2") is S.OK and len(writers) == 2 and len(pool.upstreams["b"].idle) == 1
        assert await send(pool, b"i3") is S.OK and len(writers) == 2    # that connection is beyond doubt
    play(do)


def test_a_second_attempt_of_one_request_does_not_read_the_first_ones_answer_again() -> None:
    named = SHED.replace(b"X-Not", b"X-Attempt-Id: i1\r\nX-Not")

    async def do(pool, says: list, writers: list) -> None:
        says += [named, good(b"i1")]
        assert await send(pool, b"i1") is S.FULL
        assert await send(pool, b"i1") is S.OK and len(writers) == 2
        says += [good(b"i3")]
        assert await send(pool, b"i3") is S.OK and len(writers) == 2
    play(do)


def test_what_its_client_gave_up_while_the_connection_came_up_is_not_sent() -> None:
    async def do(pool, says: list, writers: list) -> None:
        assert await send(pool, b"i1", may=lambda: False) is S.MOOT
        assert not says and not pool.all - {c for c in pool.all if c.closed}
    play(do)


@pytest.mark.parametrize("status, write, gets", [(503, True, "failed"), (429, True, "failed"), (421, True, "failed"),
                                                 (500, True, 500), (504, True, 504), (503, False, 503)])
def test_a_backends_status_that_promises_what_it_has_not_said_is_not_passed_on(status, write, gets) -> None:
    """503 without the field that proves it: the request may have run, and to a client it says that it never will."""
    class Client:
        got = None

        def served(self, answer: Answer) -> None:
            self.got = answer.status

        def failed(self) -> None:
            self.got = "failed"

    async def run() -> None:
        loop = asyncio.get_running_loop()
        classes = [api.RequestClass("none", 1.0, 1.0, 1.0, api.Effect.UNSAFE)]
        given = api.Settings(0, 1, 0, classes, [api.Plan("public", 1.0)], 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001,
                             most_units=1.0)
        pool = ProxyBackends(loop, 10, 0.5, 0.0, Budget(1 << 20))
        host = ProxyHost(loop, given, 1, pool, None, Budget(1 << 20))
        client = Client()
        asked = Asked(b"i1", 0, 0, 0, 1.0, 1.0, 1.0, 0.0, False, write, b"", b"")
        host.tickets[1] = Ticket(1, asked, client, 1.0, last=Answer(status, [], b""))
        host._fail(api.Fail(1))
        assert client.got == gets
    asyncio.run(run())


class Wire:
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        self.written, self.closed = b"", False

    def write(self, data: bytes) -> None:
        self.written += b"" if self.closed else data

    def close(self) -> None:
        self.closed = True


def test_calls_of_one_connection_get_their_answers_in_turn_and_none_of_another() -> None:
    async def run() -> None:
        begun: list[Asking] = []
        visit, wire = Visit(Web(asyncio.get_running_loop(), begun.append), "control_plane"), Wire()
        visit.connection_made(wire)
        path = b"/api/evacuation/za HTTP/1.1\r\n"
        visit.data_received(b"POST " + path + b"\r\nDELETE " + path + b"Expect: 100-continue\r\n\r\n")
        assert [a.call for a in begun] == [find("control_plane", "POST", "/api/evacuation/za")[0]]
        assert not wire.written     # a word to go on would pass for the first one's
        begun[0].answer(Reply(200, {"first": 1}))
        begun[0].answer(Reply(503))     # once only
        assert len(begun) == 2 and wire.written.count(b"HTTP/1.1") == 1
        visit.data_received(b"GET /api/status HTTP/1.1\r\n\r\n")
        visit.connection_lost(None)
        begun[1].answer(Reply(200, {"second": 2}))
        assert begun[1].gone and len(begun) == 2 and b"second" not in wire.written
    asyncio.run(run())
