"""Invalid input on the ports of the programs: it ends the caller's connection, never the process or its memory."""

import asyncio
import json

from hypothesis import example, given
from hypothesis import strategies as st

from fennelpoint.system.calls import CALLS, find_call
from fennelpoint.system.frames import MAX_MESSAGE_BYTES, BadFrame, Unpacker, pack
from fennelpoint.system.http_server import ApiRequest, HttpConnection, HttpServer, Reply
from fennelpoint.testing.core_simulation import CoreSimulation

TEXTS = st.text(max_size=8)
JSON_VALUES = st.recursive(st.none() | st.booleans() | st.integers(-2 ** 40, 2 ** 40) | st.floats() | TEXTS,
                           lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
                           max_leaves=8)


class Transport:
    """A transport that records what is written and whether it is closed."""

    def __init__(self) -> None:
        self.written, self.closed = b"", False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True


HTTP_FRAGMENTS = st.sampled_from([
    b"GET ", b"PUT ", b"/api/status", b"/api/instances/i-1", b" HTTP/1.1\r\n", b"Host: h\r\n",
    b"Content-Length: 5\r\n", b"Content-Length: 99999999999\r\n", b"\r\n", b"hello",
    b"\x00\xff", b"Transfer-Encoding: chunked\r\n",
    b"ffffffff\r\n", b"5\r\nhello\r\n0\r\n\r\n", b"?a=%zz"])


@given(st.lists(HTTP_FRAGMENTS | st.binary(max_size=20), max_size=14))
def test_any_bytes_on_an_http_port_get_a_response_or_none_and_raise_nothing(fragments) -> None:
    loop = asyncio.new_event_loop()
    server = HttpServer(loop, lambda request: request.answer(Reply(200, {})), max_body_bytes=1000)
    connection, transport = HttpConnection(server, "control_plane"), Transport()
    connection.connection_made(transport)
    for fragment in fragments:
        connection.data_received(fragment)
    assert sum(map(len, connection.body)) <= 1000
    assert transport.written == b"" or transport.written.startswith(b"HTTP/1.1 ")
    connection.connection_lost(None)
    loop.close()


VALID_CONFIGURATION = {"version": 1, "listener_table": [], "clusters": []}
FRAMES = st.binary(max_size=30) | JSON_VALUES.map(lambda value: pack([value])) | st.just(pack(["x", 1]))


@given(st.lists(FRAMES, max_size=6))
def test_any_bytes_between_processes_decode_to_messages_or_raise_bad_frame(fragments) -> None:
    unpacker = Unpacker()
    try:
        for fragment in fragments:
            for message in unpacker.feed(fragment):
                assert isinstance(message[0], str)
            assert len(unpacker.buffer) <= 4 + MAX_MESSAGE_BYTES
    except BadFrame:
        pass


@given(st.sampled_from([c for c in CALLS if c.method in ("PUT", "PATCH")]), JSON_VALUES)
@example(find_call("control_plane", "PUT", "/api/configuration")[0], {**VALID_CONFIGURATION, "version": 1 << 70})
@example(find_call("control_plane", "PUT", "/api/configuration")[0], {**VALID_CONFIGURATION, "note": "\ud800"})
def test_any_json_in_an_api_call_is_refused_with_a_4xx(call, value) -> None:
    world = CoreSimulation()
    for ip in ("a1", "b1", "c1"):
        world.execute(["core", ip, f"z{ip}", f"r{ip}"])
    world.start()
    world.run(0.2)
    request = ApiRequest(call, "i-1", {}, json.dumps(value).encode(), None)
    world._run_registry_actions(world.cores["a1"], world.cores["a1"].registry.on_call(request, world.now))
    world.run(0.6)
    assert 400 <= world.replies[id(request)].status < 500
