"""Framing fed in any pieces gives the same result: clients' requests, backends' answers, without sockets."""

from functools import partial
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_body_buffering import unchunk

from fennelpoint.body_buffering import MAX_BUFFERED_BYTES, MAX_UPLOAD_BUFFER_BYTES, READ_BYTES, Budget
from fennelpoint.interface import BackendState, Status
from fennelpoint.lifecycle import Event, LifeCycle
from fennelpoint.net.backends import Backends, Exchange, Upstream, UpstreamConnection
from fennelpoint.net.request_parser import Reader
from fennelpoint.net.server import ClientConnection
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS, request

BIG = bytes(range(256)) * ((MAX_UPLOAD_BUFFER_BYTES + 40_000) // 256)


class Transport:
    """Takes what is written, and never has it left."""

    def __init__(self) -> None:
        self.written, self.closed, self.protocol, self.reading = b"", False, None, True

    def write(self, data: bytes) -> None:
        self.written += data

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def set_protocol(self, protocol) -> None:
        self.protocol = protocol

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None: ...

    def can_write_eof(self) -> bool:
        return False

    def get_extra_info(self, name: str):
        return SimpleNamespace(fileno=lambda: 0)


class Host:
    """Takes requests as they are asked for, with bodies that are passed on, and answers each at its end."""

    def __init__(self) -> None:
        self.budget, self.settings, self.got, self.open = Budget(1 << 26), from_json(SETTINGS), [], None

    def is_open(self, request_id: bytes) -> bool:
        return False

    def admit(self, client, asked) -> int:
        if asked.upload is None:
            self.got.append((asked.head, asked.body))
            client.send_refusal(0.0)
            return 1
        self.open = [client, asked, b""]
        self.body_arrived(1)
        return 1

    def body_arrived(self, request: int) -> None:
        client, asked, _ = self.open
        while asked.upload.has_pending:
            self.open[2] += asked.upload.take_pending()
            client.upload_written()
        if asked.upload.is_sent:
            body = self.open[2] if asked.upload.content_length is not None else unchunk(self.open[2])[0]
            self.got.append((asked.head, body))
            self.open = None
            client.send_refusal(0.0)

    def client_left(self, request: int) -> None:
        self.open = None


def taken(pieces: list[bytes]) -> tuple[list[tuple[str, bytes]], bytes, bool]:
    """What a connection makes of its bytes: requests, what it says, whether it is done with."""
    life, host, later = LifeCycle(0.0), Host(), []
    life.handle(Event.LISTED, 0.0)
    server = SimpleNamespace(host=host, reader=Reader(host.settings), life=life, connections=set(), coming={},
                             begun={}, once={}, idle={}, leaving={}, bodies={}, flowing={},
                             make_room=lambda: None, loop=SimpleNamespace(call_soon=later.append))
    connection = ClientConnection(server)
    connection.connection_made(transport := Transport())
    for piece in pieces:
        connection.data_received(piece)
        while later:
            later.pop(0)()
    assert transport.reading or connection.deaf
    # Where it ends is told to the backend by length or in chunks, as it came: both are the same request.
    same = [(head.lower().replace(b"transfer-encoding: chunked", b"content-length: %d" % len(body)), body)
            for head, body in host.got]
    return same, transport.written, connection.deaf


def cut(data: bytes, at: list[int]) -> list[bytes]:
    """In pieces as drawn, and no larger than one read."""
    ends = sorted({min(len(data), a) for a in at} | {*range(READ_BYTES, len(data), READ_BYTES), len(data)})
    return [data[a:b] for a, b in zip([0, *ends], ends, strict=False) if a < b]


def chunks(body: bytes, size: int) -> bytes:
    parts = [body[i:i + size] for i in range(0, len(body), size)]
    return b"".join(b"%X;x=y\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Lane: look\r\n\r\n"


REQUESTS = {
    "look-ups": request(X_Txn="a") + b"\r\n" + request(X_Txn="b"),
    "lengths": request("book", b"abc", X_Txn="a") + request("book", b"", X_Txn="b") + request(X_Txn="c"),
    "chunks": request("book", chunks(b"0123456789" * 9, 7), X_Txn="a", Transfer_Encoding="Chunked"),
    "a large length": request("book", BIG, X_Txn="a") + request(X_Txn="b"),
    "large chunks": request("book", chunks(BIG, 9973), X_Txn="a",
                            Transfer_Encoding="chunked") + request(X_Txn="b"),
    "a bad one behind a good one": request(X_Txn="a") + b"nonsense \r\n\r\n",
    "both framings": request("book", b"0\r\n\r\n", X_Txn="a", Content_Length="5",
                             more="Transfer-Encoding: chunked\r\n"),
    "a bad chunk": request("book", b"5\r\nabcde\r\nzz\r\n", X_Txn="a", Transfer_Encoding="chunked"),
}


@pytest.mark.parametrize("form", REQUESTS)
@given(at=st.lists(st.integers(0, 400_000) | st.integers(0, 600), max_size=24))
def test_requests_in_any_pieces_are_the_same_requests(form, at):
    assert taken(cut(REQUESTS[form], at)) == taken(cut(REQUESTS[form], []))


@pytest.mark.parametrize("form", [f for f in REQUESTS if len(REQUESTS[f]) < 2000])
def test_requests_a_byte_at_a_time_are_the_same_requests(form):
    data = REQUESTS[form]
    assert taken([data[i:i + 1] for i in range(len(data))]) == taken([data])


def test_what_is_taken_is_what_was_sent():
    (head, body), (other, none) = taken(cut(REQUESTS["large chunks"], []))[0]
    assert body == BIG and b"x-txn: a" in head and b"x-lane: book" in head
    assert b"x-txn: b" in other and none == b""


class Sink:
    def __init__(self) -> None:
        self.got = b""

    def write_body(self, data: bytes) -> None:
        self.got += data


def answered(pieces: list[bytes], end: bool) -> tuple[Status | None, int, bytes]:
    """What a backend's bytes come to: outcome, status, body; whether or not it was passed on as it came."""
    pool = SimpleNamespace(all=set(), budget=Budget(1 << 26), judge=partial(Backends.judge, None),
                           keep_alive_s=partial(Backends.keep_alive_s, None), has_id=partial(Backends.has_id, None))
    upstream = Upstream("127.0.0.1", 1, 0.0, BackendState.READY)
    sink, out = Sink(), []

    def begun(answer, source):
        out.append(answer.status)
        return sink

    def done(status, answer):
        out.extend([status, answer])

    exchange = Exchange(lambda: b"", done, begun)
    connection = UpstreamConnection(pool, upstream, exchange)
    connection.connection_made(Transport())
    for piece in pieces:
        if connection.exchange is None:
            break
        connection.data_received(piece)
    if end and connection.exchange is not None:
        connection.eof_received()
        if connection.exchange is not None:
            connection.connection_lost(None)
    if not out or out[-1] is None and len(out) < 2:
        return None, 0, b""
    status, answer = out[-2], out[-1]
    return status, answer.status if answer else 0, sink.got + (answer.body if answer else b"")


OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "a length": (OK + b"content-LENGTH:  5 \r\n\r\nhello", b"hello", Status.OK),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(b"0123456789" * 9, 7),
               b"0123456789" * 9, Status.OK),
    "a large length": (OK + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG, BIG, Status.OK),
    "large chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(BIG, 7919), BIG, Status.OK),
    "interim ones first": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK
                           + b"Content-Length: 5\r\n\r\nhello", b"hello", Status.OK),
    "none": (b"HTTP/1.1 204 No Content\r\n\r\n", b"", Status.ERROR),
    "turned away": (b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1 \r\nContent-Length: 0\r\n\r\n", b"", Status.FULL),
    "the connection's end": (OK + b"\r\n" + BIG[:MAX_BUFFERED_BYTES + 99], BIG[:MAX_BUFFERED_BYTES + 99], Status.OK),
    "too little": (OK + b"Content-Length: 50\r\n\r\nhello", b"", Status.RESET),
    "a bad chunk": (OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n", b"", Status.ERROR),
}


@pytest.mark.parametrize("form", ANSWERS)
@given(at=st.lists(st.integers(0, 400_000) | st.integers(0, 200), max_size=24))
def test_answers_in_any_pieces_come_to_the_same(form, at):
    data, body, status = ANSWERS[form]
    told = answered(cut(data, at), True)
    assert told[0] is status and told[2] == body


@pytest.mark.parametrize("form", [f for f in ANSWERS if len(ANSWERS[f][0]) < 2000])
def test_answers_a_byte_at_a_time_come_to_the_same(form):
    data, body, status = ANSWERS[form]
    told = answered([data[i:i + 1] for i in range(len(data))], True)
    assert told[0] is status and told[2] == body
