"""Requests that offer another protocol beside HTTP/1.1 are read as if they did not (RFC 9110, section 7.8).

Guards the rule UNASKED: such a write ran with an empty body, and its client got the backend's 200.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.system.http_server import ApiRequest, HttpConnection, HttpServer, Reply
from fennelpoint.testing import Backend, ok, read_message, world
from fennelpoint.testing import request as ingress_request
from fennelpoint.testing import run as run_ingress
from fennelpoint.testing.proxy_program import RunningProxy, start_proxy

OFFERS = {
    "h2c": "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABk\r\n",
    "websocket": "Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n",
    "tls": "Upgrade: TLS/1.0\r\nConnection: Upgrade\r\n",
}
SHORT, STREAMED = b"a payment of 185", bytes(range(256)) * 1600
RECEIVED_OK = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"


def post(attempt: str, body: bytes, offer: str, chunked: bool = False, more: str = "") -> bytes:
    """A write with an offer, whole."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = (
        f"POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Remaining: 4000\r\n{offer}{more}"
        f"{framing}\r\n\r\n"
    )
    if not chunked:
        return head.encode() + body
    return head.encode() + (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"


class Payments:
    """A backend that keeps the head fields and the body of each request."""

    def __init__(self) -> None:
        self.received: list[tuple[dict[str, str], bytes]] = []

    @property
    def bodies(self) -> list[bytes]:
        return [body for _, body in self.received]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := (await reader.readuntil(b"\r\n\r\n")).decode().lower():
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            body = b""
            if "transfer-encoding" in fields:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            else:
                body = await reader.readexactly(int(fields.get("content-length", 0)))
            self.received.append((fields, body))
            writer.write(RECEIVED_OK.format(id=fields["x-attempt-id"]).encode())


def play(scenario: Callable[[RunningProxy, Payments], Awaitable[None]]) -> None:
    async def run() -> None:
        payments = Payments()
        proxy = await start_proxy(payments.serve)
        try:
            await asyncio.wait_for(scenario(proxy, payments), 10.0)
        finally:
            proxy.program.close()

    asyncio.run(run())


async def exchange(port: int, data: list[bytes], answers: int) -> list[bytes]:
    """Send these pieces on a connection; returns the status lines of that many answers, and any line after them."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in data:
        writer.write(piece)
        await asyncio.sleep(0)
    lines = []
    for _ in range(answers):
        head = await reader.readuntil(b"\r\n\r\n")
        lines.append(head.split(b"\r\n")[0])
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length or 0))
    try:
        if unasked := await asyncio.wait_for(reader.read(100), 0.1):
            lines.append(unasked)
    except TimeoutError:
        pass
    writer.close()
    return lines


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [SHORT, STREAMED, b""], ids=["short", "streamed", "empty"])
@pytest.mark.parametrize("offer", OFFERS)
def test_write_with_an_offer_reaches_the_backend_with_its_body_and_gets_one_answer(offer, body, chunked) -> None:
    async def scenario(proxy: RunningProxy, payments: Payments) -> None:
        lines = await exchange(proxy.public, [post("b1", body, OFFERS[offer], chunked)], 1)
        assert lines == [b"HTTP/1.1 200 OK"] and payments.bodies == [body]
        fields, _ = payments.received[0]
        assert not {"upgrade", "connection", "http2-settings"} & fields.keys()

    play(scenario)


def test_writes_with_offers_that_follow_each_other_on_a_connection_are_all_read() -> None:
    async def scenario(proxy: RunningProxy, payments: Payments) -> None:
        bodies = [b"first", b"", SHORT, b"4"]
        writes = [post(f"b{i}", body, OFFERS["h2c"] * (i != 1), i == 2) for i, body in enumerate(bodies)]
        lines = await exchange(proxy.public, [b"".join(writes)], len(writes))
        assert lines == [b"HTTP/1.1 200 OK"] * 4 and payments.bodies == bodies

    play(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_offer_whose_bytes_come_one_by_one_is_ignored_all_the_same(chunked) -> None:
    async def scenario(proxy: RunningProxy, payments: Payments) -> None:
        data = post("b1", SHORT, OFFERS["h2c"], chunked) + post("b2", b"x", OFFERS["tls"])
        lines = await exchange(proxy.public, [data[i : i + 1] for i in range(len(data))], 2)
        assert lines == [b"HTTP/1.1 200 OK"] * 2 and payments.bodies == [SHORT, b"x"]

    play(scenario)


def test_offer_of_a_client_that_waits_for_100_continue_is_ignored() -> None:
    async def scenario(proxy: RunningProxy, payments: Payments) -> None:
        data = post("b1", SHORT, OFFERS["h2c"], more="Expect: 100-continue\r\n")
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.public)
        writer.write(data[: -len(SHORT)])
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(SHORT)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200") and payments.bodies == [SHORT]
        writer.close()

    play(scenario)


@pytest.mark.parametrize("method", ["CONNECT", "TRACE"])
def test_method_that_asks_for_something_else_than_an_answer_is_refused_clearly(method: str) -> None:
    async def scenario(proxy: RunningProxy, payments: Payments) -> None:
        target = "h:80" if method == "CONNECT" else "/r/1"
        data = f"{method} {target} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b2\r\n\r\n".encode()
        lines = await exchange(proxy.public, [post("b1", b"x", "") + data + post("b3", b"y", "")], 2)
        assert lines == [b"HTTP/1.1 200 OK", b"HTTP/1.1 405 Method Not Allowed"] and payments.bodies == [b"x"]

    play(scenario)


class RecordingTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        pass


@given(st.lists(st.integers(0, 600), max_size=8), st.sampled_from(sorted(OFFERS)), st.booleans())
def test_order_of_an_operator_with_an_offer_is_read_with_its_body(splits, offer, chunked) -> None:
    async def run() -> None:
        requests: list[ApiRequest] = []
        server = HttpServer(asyncio.get_running_loop(), requests.append)
        connection, transport = HttpConnection(server, "control_plane"), RecordingTransport()
        connection.connection_made(transport)
        order = post("o", b'{"version": 7}', OFFERS[offer], chunked).replace(b"POST /r/1", b"PUT /api/configuration")
        data = order + order.replace(b"PUT", b"PATCH", 1)
        places = [0, *sorted(place for place in splits if place < len(data)), len(data)]
        for start, end in zip(places, places[1:], strict=False):
            connection.data_received(data[start:end])
        for name in ("put", "patch"):
            assert (requests[-1].call.name, requests[-1].body) == (name, b'{"version": 7}')
            requests[-1].answer(Reply(200))
        assert len(requests) == 2 and transport.written.count(b"HTTP/1.1") == 2
        connection.connection_lost(None)

    asyncio.run(run())


@pytest.mark.parametrize("offer", OFFERS)
def test_ingress_that_runs_alone_ignores_offers_too(offer) -> None:
    async def scenario() -> None:
        backend = Backend(lambda line, fields, body: ok(body[::-1]))
        async with world(backend) as harness:
            reader, writer = await harness.connect()
            for body in (b"0123", b""):
                data = ingress_request("book", body, left=5000)
                writer.write(data.replace(b"Host:", OFFERS[offer].encode() + b"Host:", 1))
                line, _, answer = await read_message(reader)
                assert line.endswith("200 OK") and answer == body[::-1]
            assert [body for _, _, body in backend.seen] == [b"0123", b""]
            assert not any("upgrade" in fields for _, fields, _ in backend.seen)
            writer.close()

    run_ingress(scenario())
