"""Bad input to the programs' ports: it costs the caller its connection, never the process or its memory."""

import asyncio
import json

from hypothesis import example, given
from hypothesis import strategies as st

from fennelpoint.system.calls import TABLE, find
from fennelpoint.system.frames import MOST, BadFrame, Unpacker, pack
from fennelpoint.system.http_server import Asking, Reply, Visit, Web
from fennelpoint.testing.core_simulation import CoreSimulation

WORDS = st.text(max_size=8)
VALUES = st.recursive(st.none() | st.booleans() | st.integers(-2 ** 40, 2 ** 40) | st.floats() | WORDS,
                      lambda inner: st.lists(inner, max_size=3) | st.dictionaries(WORDS, inner, max_size=3),
                      max_leaves=8)


class Transport:
    """What was written, and whether it was closed."""

    def __init__(self) -> None:
        self.written, self.closed = b"", False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True


PIECES = st.sampled_from([b"GET ", b"PUT ", b"/api/status", b"/api/instances/i-1", b" HTTP/1.1\r\n", b"Host: h\r\n",
                          b"Content-Length: 5\r\n", b"Content-Length: 99999999999\r\n", b"\r\n", b"hello",
                          b"\x00\xff", b"Transfer-Encoding: chunked\r\n",
                          b"ffffffff\r\n", b"5\r\nhello\r\n0\r\n\r\n", b"?a=%zz"])


@given(st.lists(PIECES | st.binary(max_size=20), max_size=14))
def test_any_bytes_at_a_door_get_an_answer_or_none_and_raise_nothing(pieces) -> None:
    loop = asyncio.new_event_loop()
    web = Web(loop, lambda asking: asking.answer(Reply(200, {})), most=1000)
    visit, transport = Visit(web, "control_plane"), Transport()
    visit.connection_made(transport)
    for piece in pieces:
        visit.data_received(piece)
    assert sum(map(len, visit.body)) <= 1000
    assert transport.written == b"" or transport.written.startswith(b"HTTP/1.1 ")
    visit.connection_lost(None)
    loop.close()


WHOLE = {"version": 1, "listener_table": [], "clusters": []}
FRAMES = st.binary(max_size=30) | VALUES.map(lambda value: pack([value])) | st.just(pack(["x", 1]))


@given(st.lists(FRAMES, max_size=6))
def test_any_bytes_between_processes_are_messages_or_a_bad_frame(pieces) -> None:
    unpacker = Unpacker()
    try:
        for piece in pieces:
            for message in unpacker.feed(piece):
                assert isinstance(message[0], str)
            assert len(unpacker.held) <= 4 + MOST
    except BadFrame:
        pass


@given(st.sampled_from([c for c in TABLE if c.method in ("PUT", "PATCH")]), VALUES)
@example(find("control_plane", "PUT", "/api/configuration")[0], {**WHOLE, "version": 1 << 70})
@example(find("control_plane", "PUT", "/api/configuration")[0], {**WHOLE, "note": "\ud800"})
def test_any_json_in_a_call_is_told_what_is_wrong_with_it(call, value) -> None:
    world = CoreSimulation()
    for ip in ("a1", "b1", "c1"):
        world.execute(["core", ip, f"z{ip}", f"r{ip}"])
    world.start()
    world.run(0.2)
    asking = Asking(call, "i-1", {}, json.dumps(value).encode(), None)
    world._run_registry_actions(world.cores["a1"], world.cores["a1"].registry.on_call(asking, world.now))
    world.run(0.6)
    assert 400 <= world.replies[id(asking)].status < 500
