"""Requests and responses parse the same however their bytes are split; runs without sockets."""

from functools import partial
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_body_buffering import unchunk

from fennelpoint.body_buffering import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_UPLOAD_BUFFER_BYTES,
    READ_BYTES,
    Budget,
)
from fennelpoint.interface import BackendState, Status
from fennelpoint.lifecycle import Event, LifeCycle
from fennelpoint.net.backends import Backends
from fennelpoint.net.client_connection import ClientConnection
from fennelpoint.net.exchange import Exchange
from fennelpoint.net.request_parser import RequestReader
from fennelpoint.net.upstream_connection import Upstream, UpstreamConnection
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS, request

LARGE_BODY = bytes(range(256)) * ((MAX_UPLOAD_BUFFER_BYTES + 40_000) // 256)


class Transport:
    """A transport that accepts everything that is written at once."""

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
    """Admits requests, also with streamed bodies, and answers each once it is complete."""

    def __init__(self) -> None:
        self.budget, self.settings, self.received, self.open = Budget(1 << 26), from_json(SETTINGS), [], None

    def is_open(self, request_id: bytes) -> bool:
        return False

    def admit(self, client, admitted) -> int:
        if admitted.upload is None:
            self.received.append((admitted.head, admitted.body))
            client.send_refusal(0.0)
            return 1
        self.open = [client, admitted, b""]
        self.body_arrived(1)
        return 1

    def body_arrived(self, request: int) -> None:
        client, admitted, _ = self.open
        while admitted.upload.has_pending:
            self.open[2] += admitted.upload.take_pending()
            client.upload_written()
        if admitted.upload.is_sent:
            body = self.open[2] if admitted.upload.content_length is not None else unchunk(self.open[2])[0]
            self.received.append((admitted.head, body))
            self.open = None
            client.send_refusal(0.0)

    def client_left(self, request: int) -> None:
        self.open = None


def parse_requests(pieces: list[bytes]) -> tuple[list[tuple[str, bytes]], bytes, bool]:
    """Return the requests that a connection reads, its output, and whether it ignores further input."""
    life, host, later = LifeCycle(0.0), Host(), []
    life.handle(Event.LISTED, 0.0)
    server = SimpleNamespace(host=host, reader=RequestReader(host.settings), lifecycle=life, connections=set(),
                             awaiting_request={}, receiving_head={}, idle_after_one={}, idle={}, closing={},
                             receiving_body={}, streaming={}, evict_excess=lambda: None,
                             loop=SimpleNamespace(call_soon=later.append))
    connection = ClientConnection(server)
    connection.connection_made(transport := Transport())
    for piece in pieces:
        connection.data_received(piece)
        while later:
            later.pop(0)()
    assert transport.reading or connection.ignores_input
    # The head names length or chunked framing, depending on how the body arrived: both are the same request.
    same = [(head.lower().replace(b"transfer-encoding: chunked", b"content-length: %d" % len(body)), body)
            for head, body in host.received]
    return same, transport.written, connection.ignores_input


def split_at(data: bytes, at: list[int]) -> list[bytes]:
    """Split at the drawn positions, in pieces no larger than one read."""
    ends = sorted({min(len(data), a) for a in at} | {*range(READ_BYTES, len(data), READ_BYTES), len(data)})
    return [data[a:b] for a, b in zip([0, *ends], ends, strict=False) if a < b]


def chunk_body(body: bytes, size: int) -> bytes:
    parts = [body[i:i + size] for i in range(0, len(body), size)]
    return b"".join(b"%X;x=y\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Lane: look\r\n\r\n"


REQUESTS = {
    "look-ups": request(X_Txn="a") + b"\r\n" + request(X_Txn="b"),
    "lengths": request("book", b"abc", X_Txn="a") + request("book", b"", X_Txn="b") + request(X_Txn="c"),
    "chunks": request("book", chunk_body(b"0123456789" * 9, 7), X_Txn="a", Transfer_Encoding="Chunked"),
    "a large length": request("book", LARGE_BODY, X_Txn="a") + request(X_Txn="b"),
    "large chunks": request("book", chunk_body(LARGE_BODY, 9973), X_Txn="a",
                            Transfer_Encoding="chunked") + request(X_Txn="b"),
    "a bad one behind a good one": request(X_Txn="a") + b"nonsense \r\n\r\n",
    "both framings": request("book", b"0\r\n\r\n", X_Txn="a", Content_Length="5",
                             more="Transfer-Encoding: chunked\r\n"),
    "a bad chunk": request("book", b"5\r\nabcde\r\nzz\r\n", X_Txn="a", Transfer_Encoding="chunked"),
}


@pytest.mark.parametrize("form", REQUESTS)
@given(at=st.lists(st.integers(0, 400_000) | st.integers(0, 600), max_size=24))
def test_requests_split_at_any_bytes_parse_the_same(form, at):
    assert parse_requests(split_at(REQUESTS[form], at)) == parse_requests(split_at(REQUESTS[form], []))


@pytest.mark.parametrize("form", [f for f in REQUESTS if len(REQUESTS[f]) < 2000])
def test_requests_sent_byte_by_byte_parse_the_same(form):
    data = REQUESTS[form]
    assert parse_requests([data[i:i + 1] for i in range(len(data))]) == parse_requests([data])


def test_parsed_request_equals_the_sent_one():
    (head, body), (other, none) = parse_requests(split_at(REQUESTS["large chunks"], []))[0]
    assert body == LARGE_BODY and b"x-txn: a" in head and b"x-lane: book" in head
    assert b"x-txn: b" in other and none == b""


class ResponseSink:
    def __init__(self) -> None:
        self.received = b""

    def write_body(self, data: bytes) -> None:
        self.received += data


def parse_response(pieces: list[bytes], end: bool) -> tuple[Status | None, int, bytes]:
    """Return outcome, status and body of a backend's response, whether it was streamed or not."""
    pool = SimpleNamespace(all=set(), budget=Budget(1 << 26), judge=partial(Backends.judge, None),
                           STARTS_AT_LAST_BYTE=Backends.STARTS_AT_LAST_BYTE, max_body_bytes=MAX_BODY_BYTES,
                           keep_alive_s=partial(Backends.keep_alive_s, None), has_id=partial(Backends.has_id, None))
    upstream = Upstream("127.0.0.1", 1, 0.0, BackendState.READY)
    sink, out = ResponseSink(), []

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
    return status, answer.status if answer else 0, sink.received + (answer.body if answer else b"")


OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "a length": (OK + b"content-LENGTH:  5 \r\n\r\nhello", b"hello", Status.OK),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunk_body(b"0123456789" * 9, 7),
               b"0123456789" * 9, Status.OK),
    "a large length": (OK + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY, LARGE_BODY, Status.OK),
    "large chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunk_body(LARGE_BODY, 7919),
                     LARGE_BODY, Status.OK),
    "interim ones first": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK
                           + b"Content-Length: 5\r\n\r\nhello", b"hello", Status.OK),
    "none": (b"HTTP/1.1 204 No Content\r\n\r\n", b"", Status.ERROR),
    "turned away": (b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1 \r\nContent-Length: 0\r\n\r\n", b"", Status.FULL),
    "the connection's end": (OK + b"\r\n" + LARGE_BODY[:MAX_BUFFERED_BYTES + 99],
                             LARGE_BODY[:MAX_BUFFERED_BYTES + 99], Status.OK),
    "too little": (OK + b"Content-Length: 50\r\n\r\nhello", b"", Status.RESET),
    "a bad chunk": (OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n", b"", Status.ERROR),
}


@pytest.mark.parametrize("form", ANSWERS)
@given(at=st.lists(st.integers(0, 400_000) | st.integers(0, 200), max_size=24))
def test_responses_split_at_any_bytes_parse_the_same(form, at):
    data, body, status = ANSWERS[form]
    outcome = parse_response(split_at(data, at), True)
    assert outcome[0] is status and outcome[2] == body


@pytest.mark.parametrize("form", [f for f in ANSWERS if len(ANSWERS[f][0]) < 2000])
def test_responses_sent_byte_by_byte_parse_the_same(form):
    data, body, status = ANSWERS[form]
    outcome = parse_response([data[i:i + 1] for i in range(len(data))], True)
    assert outcome[0] is status and outcome[2] == body
