"""Connections to backends, on loopback: which request an answer belongs to, and what may be retried."""

import asyncio
from collections.abc import Callable

import pytest

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget
from fennelpoint.net.controller_host import OpenRequest, ParsedRequest
from fennelpoint.net.exchange import Exchange, Response
from fennelpoint.system.calls import find_call
from fennelpoint.system.http_server import ApiRequest, HttpConnection, HttpServer, Reply
from fennelpoint.system.proxy.controller_host import ProxyBackends, ProxyHost

S = api.Status
SHED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def ok_response(id: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\n%b" % (id, id)


def play(scenario: Callable) -> None:
    """Run `scenario(pool, responses, writers)` with a pool of one backend.

    The backend takes the first item of `responses` for each request that it reads; `writers` has its connections.
    """
    async def run() -> None:
        loop, writers = asyncio.get_running_loop(), []
        responses: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while not reader.at_eof():
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                writer.write(responses.pop(0))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ProxyBackends(loop, 10, 0.5, 0.0, Budget(1 << 20))
        pool.follow(api.Roster(api.RosterKind.FULL, 0, [api.BackendEntry("b", api.BackendState.READY)]),
                    {"b": server.sockets[0].getsockname()[:2]})
        async with asyncio.timeout(5.0):
            await scenario(pool, responses, writers)
        pool.close()
        server.close()
        await asyncio.sleep(0)

    asyncio.run(run())


async def send(pool: ProxyBackends, id: bytes, once: bool = True, may: Callable[[], bool] | None = None) -> S:
    ended = asyncio.get_running_loop().create_future()
    exchange = Exchange(lambda: b"POST /x HTTP/1.1\r\nX-Attempt-Id: %b\r\n\r\n" % id,
                        lambda status, answer: ended.set_result(status))
    exchange.request_id, exchange.at_most_once, exchange.may_send = id, once, may
    pool.begin(exchange, "b")
    return await ended


@pytest.mark.parametrize("once", [True, False])
def test_a_duplicated_refusal_is_not_taken_for_the_answer_to_the_next_request(once: bool) -> None:
    """The second copy arrives in place of the next answer and carries no id, so it proves nothing about that request.

    A request that must run at most once uses another connection.
    """
    async def scenario(pool, responses: list, writers: list) -> None:
        responses += [SHED, SHED + ok_response(b"i2")]  # the copy, written when the next request is read
        assert await send(pool, b"i1", once) is S.FULL
        if not once:
            assert await send(pool, b"i2", once) is S.FULL      # retried elsewhere, which is safe
            return
        responses[:] = [ok_response(b"i2"), ok_response(b"i3")]
        assert await send(pool, b"i2") is S.OK and len(writers) == 2 and len(pool.upstreams["b"].idle) == 1
        assert await send(pool, b"i3") is S.OK and len(writers) == 2    # the connection is known to be in step
    play(scenario)


def test_a_second_attempt_does_not_take_the_answer_to_the_first_one() -> None:
    shed_with_id = SHED.replace(b"X-Not", b"X-Attempt-Id: i1\r\nX-Not")

    async def scenario(pool, responses: list, writers: list) -> None:
        responses += [shed_with_id, ok_response(b"i1")]
        assert await send(pool, b"i1") is S.FULL
        assert await send(pool, b"i1") is S.OK and len(writers) == 2
        responses += [ok_response(b"i3")]
        assert await send(pool, b"i3") is S.OK and len(writers) == 2
    play(scenario)


def test_a_request_cancelled_by_its_client_during_the_connect_is_not_sent() -> None:
    async def scenario(pool, responses: list, writers: list) -> None:
        assert await send(pool, b"i1", may=lambda: False) is S.MOOT
        assert not responses and not pool.all - {c for c in pool.all if c.closed}
    play(scenario)


@pytest.mark.parametrize("status, write, expected", [
    (503, True, "failed"), (429, True, "failed"), (421, True, "failed"), (500, True, 500), (504, True, 504),
    (503, False, 503)])
def test_a_status_that_falsely_promises_no_execution_is_not_passed_on(status, write, expected) -> None:
    """A 503 without the header that proves it: the request may have run, but a client takes a 503 for "never ran"."""
    class Client:
        got = None

        def send_response(self, answer: Response) -> None:
            self.got = answer.status

        def send_failure(self) -> None:
            self.got = "failed"

    async def run() -> None:
        loop = asyncio.get_running_loop()
        classes = [api.RequestClass("none", 1.0, 1.0, 1.0, api.Effect.UNSAFE)]
        given = api.Settings(0, 1, 0, classes, [api.Plan("public", 1.0)], 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001,
                             most_units=1.0)
        pool = ProxyBackends(loop, 10, 0.5, 0.0, Budget(1 << 20))
        host = ProxyHost(loop, given, 1, pool, None, Budget(1 << 20))
        client = Client()
        asked = ParsedRequest(b"i1", 0, 0, 0, 1.0, 1.0, 1.0, 0.0, False, write, b"", b"")
        host.open_requests[1] = OpenRequest(1, asked, client, 1.0, last_failure=Response(status, [], b""))
        host._fail(api.Fail(1))
        assert client.got == expected
    asyncio.run(run())


class RecordingTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written, self.closed = b"", False

    def write(self, data: bytes) -> None:
        self.written += b"" if self.closed else data

    def close(self) -> None:
        self.closed = True


def test_pipelined_calls_of_one_connection_get_their_answers_in_order() -> None:
    async def run() -> None:
        requests: list[ApiRequest] = []
        connection, transport = (
            HttpConnection(HttpServer(asyncio.get_running_loop(), requests.append), "control_plane"),
            RecordingTransport())
        connection.connection_made(transport)
        path = b"/api/evacuation/za HTTP/1.1\r\n"
        connection.data_received(b"POST " + path + b"\r\nDELETE " + path + b"Expect: 100-continue\r\n\r\n")
        assert [request.call for request in requests] == [find_call("control_plane", "POST", "/api/evacuation/za")[0]]
        assert not transport.written    # a "100 Continue" now would pass for the answer to the first call
        requests[0].answer(Reply(200, {"first": 1}))
        requests[0].answer(Reply(503))  # ignored: a call is answered once
        assert len(requests) == 2 and transport.written.count(b"HTTP/1.1") == 1
        connection.data_received(b"GET /api/status HTTP/1.1\r\n\r\n")
        connection.connection_lost(None)
        requests[1].answer(Reply(200, {"second": 2}))
        assert requests[1].is_abandoned and len(requests) == 2 and b"second" not in transport.written
    asyncio.run(run())
