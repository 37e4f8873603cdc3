"""An ingress that goes by a description: what reaches a backend, in which form, and what never does."""

import sys

import pytest
from describing import GRADES, PLANS, write

from fennelpoint.operator_config import Operator, Routes
from fennelpoint.routes import worker
from fennelpoint.testing import Backend, ask, ok, read_message, request, run, until, world

BODY = """
    servers: [{url: https://x.example/v1}]
    x-larchwing: {class: look, units: 1.5}
    paths:
      /slots: {get: {!ANSWER}}
      "/slots/{id}":
        parameters: [{name: id, in: path, required: true, schema: {}}]
        get: {!ANSWER}
        put:
          x-larchwing: {class: hold, key: {in: header, name: Idempotency-Key}}
          parameters: [{name: Idempotency-Key, in: header, required: true, schema: {}}]
          !ANSWER
      /book:
        post:
          x-larchwing: {class: book, units: {in: query, name: seats, default: 1, minimum: 1, maximum: 3}}
          parameters: [{name: seats, in: query, schema: {}}]
          !ANSWER
      /search: {post: {x-larchwing: {effect: safe}, !ANSWER}}
      /vip: {get: {x-larchwing: {plans: [volume]}, !ANSWER}}
    """
SET = "spread=2,first=0"


def play(tmp_path, coroutine, body=BODY):
    """Run a test with a backend that echoes and an ingress that goes by a description."""
    async def inner() -> None:
        backend = Backend(lambda line, fields, body: ok(line.encode()))
        operator = Operator(routes=Routes(str(write(tmp_path, body)), settle_s=0.05))
        async with world(backend, operator=operator, grades=GRADES, contracts=PLANS) as made:
            await coroutine(made, backend)

    run(inner())


def asked(method: str = "GET", url: str = "/v1/slots", drop: tuple = ("X-Lane", "Content-Length"),
          **fields: str) -> bytes:
    """A request that leaves class and units out, where `fields` don't say them."""
    data = request("book" if method != "GET" else "look", path=url, **{"Api_Terms": SET, **fields})
    if method not in ("GET", "POST"):
        data = data.replace(b"POST ", method.encode() + b" ", 1)
    lines = data.split(b"\r\n")
    gone = tuple(f"{name}:".encode() for name in drop if name.replace("-", "_") not in fields)
    if method in ("POST", "PUT", "PATCH") and "Content_Length" not in fields:
        lines.insert(1, b"Content-Length: 0")
        gone = tuple(g for g in gone if g != b"Content-Length:")
        lines = [line for i, line in enumerate(lines) if i == 1 or not line.startswith(b"Content-Length:")]
    return b"\r\n".join(line for line in lines if not line.startswith(gone or b"\0"))


@pytest.mark.parametrize("data, units, cls, target", [
    (asked(), 1.5, "look", "GET /v1/slots HTTP/1.1"),
    (asked(url="/v1/slots/a%7eb?x=%7e"), 1.5, "look", "GET /v1/slots/a~b?x=%7e HTTP/1.1"),
    (asked(url="http://app.svc/v1/slots"), 1.5, "look", "GET /v1/slots HTTP/1.1"),
    (asked(X_Lane="look", Api_Terms="units=1.5,spread=2,first=0"), 1.5, "look", "GET /v1/slots HTTP/1.1"),
    (asked(drop=("X-Lane", "Content-Length", "Api-Terms")), 1.5, "look", "GET /v1/slots HTTP/1.1"),
    (asked("POST", "/v1/book"), 1.0, "book", "POST /v1/book HTTP/1.1"),
    (asked("POST", "/v1/book?seats=3"), 3.0, "book", "POST /v1/book?seats=3 HTTP/1.1"),
    (asked("POST", "/v1/search"), 1.5, "look", "POST /v1/search HTTP/1.1"),
    (asked("PUT", "/v1/slots/7", Idempotency_Key="k"), 1.5, "hold", "PUT /v1/slots/7 HTTP/1.1"),
    (asked(url="/v1/vip", Api_Plan="volume"), 1.5, "look", "GET /v1/vip HTTP/1.1"),
], ids=lambda v: None if isinstance(v, bytes) else str(v))
def test_class_and_units_come_from_the_route(tmp_path, data, units, cls, target):
    async def test(made, backend) -> None:
        taken = []
        admit = made.ingress.host.admit
        made.ingress.host.admit = lambda client, a: taken.append(a) or admit(client, a)
        line, _, body = await ask(made, data)
        assert line.endswith("200 OK") and body.decode() == target
        assert [(a.units, a.cls) for a in taken] == [(units, [g["name"] for g in GRADES].index(cls))]
        assert taken[0].width == 2.0 and taken[0].is_write == (cls != "look")

    play(tmp_path, test)


@pytest.mark.parametrize("data, status", [
    (asked(X_Lane="book"), 400),
    (asked(Api_Terms="units=1,spread=2,first=0"), 400),
    (asked("POST", "/v1/book?seats=2", Api_Terms="units=1,spread=2,first=0"), 400),
    (asked("POST", "/v1/book?seats=4"), 400),
    (asked("POST", "/v1/book?seats=1&seats=1"), 400),
    (asked("POST", "/v1/book?seats=two"), 400),
    (asked("PUT", "/v1/slots/7"), 400),
    (asked("PUT", "/v1/slots/7", Idempotency_Key=""), 400),
    (asked("PUT", "/v1/slots/7", Idempotency_Key="k" * 300), 400),
    (asked(url="/v1/x/../slots"), 400),
    (asked(url="/v1/%2e%2e/v1/slots"), 400),
    (asked(url="/v1/slots/a%2Fb"), 400),
    (asked(url="/v1/slots/%zz"), 400),
    (asked(url="http://other.svc/v1/slots"), 400),
    (asked(url="/v1/slots", Content_Length="3") + b"abc", 400),
    (asked(drop=("X-Lane", "Content-Length", "X-Txn")), 400),
    (asked(drop=("X-Lane", "Content-Length", "Cookie")), 400),
], ids=lambda v: None if isinstance(v, bytes) else str(v))
def test_contradiction_is_refused_and_reaches_no_backend(tmp_path, data, status):
    async def test(made, backend) -> None:
        line, fields, _ = await ask(made, data)
        assert int(line.split()[1]) == status and fields["connection"] == "close"
        assert not backend.seen and not made.ingress.host.open_requests

    play(tmp_path, test)


@pytest.mark.parametrize("data, status, allow", [
    (asked(url="/slots"), 404, None),
    (asked(url="/v1/slots/"), 404, None),
    (asked(url="/v1/slots/a/b"), 404, None),
    (asked(url="/v1//slots"), 404, None),
    (asked("DELETE", "/v1/slots/7"), 405, "GET, HEAD, OPTIONS, PUT"),
    (asked("POST", "/v1/slots"), 405, "GET, HEAD, OPTIONS"),
    (asked(url="/v1/book"), 405, "OPTIONS, POST"),
    (asked("OPTIONS", "/v1/book"), 200, "OPTIONS, POST"),
    (asked("OPTIONS", "*"), 200, None),
    (asked(url="/v1/vip"), 403, None),
], ids=lambda v: None if isinstance(v, bytes) else str(v))
def test_what_is_no_route_is_answered_here_and_the_connection_stays(tmp_path, data, status, allow):
    async def test(made, backend) -> None:
        reader, writer = await made.connect()
        writer.write(data + asked())
        line, fields, _ = await read_message(reader)
        assert int(line.split()[1]) == status and fields.get("allow") == allow and "connection" not in fields
        assert (await read_message(reader))[0].endswith("200 OK")
        assert [seen[0] for seen in backend.seen] == ["GET /v1/slots HTTP/1.1"]
        writer.close()

    play(tmp_path, test)


def test_head_is_asked_of_the_get_and_answered_without_its_body(tmp_path):
    async def test(made, backend) -> None:
        reader, writer = await made.connect()
        writer.write(asked("HEAD", "/v1/slots") + asked("HEAD", "/v1/none") + asked(url="/v1/slots/5"))
        heads = [(await reader.readuntil(b"\r\n\r\n")).decode() for _ in range(2)]
        assert heads[0].startswith("HTTP/1.1 200") and "content-length: 22" in heads[0]
        assert heads[1].startswith("HTTP/1.1 404")
        assert (await read_message(reader))[2] == b"GET /v1/slots/5 HTTP/1.1"
        assert backend.seen[0][0] == "GET /v1/slots HTTP/1.1"
        writer.close()

    play(tmp_path, test)


def test_key_of_a_keyed_route_cannot_be_taken_out_by_the_connection_field(tmp_path):
    async def test(made, backend) -> None:
        data = asked("PUT", "/v1/slots/7", Idempotency_Key="k", X_Extra="1",
                     Connection="idempotency-key, x-extra")
        assert (await ask(made, data))[0].endswith("200 OK")
        fields = backend.seen[0][1]
        assert fields["idempotency-key"] == "k" and "x-extra" not in fields

    play(tmp_path, test)


def test_description_that_changes_is_followed_and_a_faulty_one_is_not(tmp_path, caplog):
    async def test(made, backend) -> None:
        path = tmp_path / "d.yaml"
        sound = path.read_text()
        reader = made.ingress.server.reader
        path.write_text(sound.replace("/slots:", "/places:"))
        made.ingress.reload()
        await until(lambda: reader.table.find(b"/v1/places"))
        assert (await ask(made, asked()))[0].split()[1] == "404"
        path.write_text(sound.replace("class: book", "class: book, effect: safe"))
        made.ingress.reload()
        await until(lambda: "say effect: unsafe" in caplog.text)
        assert (await ask(made, asked(url="/v1/places")))[0].endswith("200 OK")
        path.write_text(sound)
        made.ingress.reload()
        await until(lambda: reader.table.find(b"/v1/slots"))
        assert (await ask(made, asked()))[0].endswith("200 OK")

    play(tmp_path, test)


def test_watched_file_is_read_anew_by_itself(tmp_path):
    async def test() -> None:
        path = write(tmp_path, BODY)
        routes = Routes(str(path), watch_interval_s=0.02, settle_s=0.05)
        async with world(Backend(), operator=Operator(routes=routes), grades=GRADES, contracts=PLANS) as made:
            reader = made.ingress.server.reader
            path.write_text(path.read_text().replace("/slots:", "/places:"))
            await until(lambda: reader.table.find(b"/v1/places"))

    run(test())


def test_request_that_is_out_ends_under_the_description_that_it_began_under(tmp_path):
    """Its path is a look-up's by now: it is a booking still, and not sent again when it breaks."""
    async def test(made, backend) -> None:
        backend.answer = lambda line, fields, body: None if "book" in line else ok(b"yes")
        path, table = tmp_path / "d.yaml", made.ingress.server.reader
        reader, writer = await made.connect()
        writer.write(asked("POST", "/v1/book?seats=2", X_Remaining_Ms="20000"))
        await until(lambda: backend.seen)
        (ticket,) = made.ingress.host.open_requests.values()
        path.write_text(path.read_text().replace("/book:", "/other:").replace(
            "/search: {post: {x-larchwing: {effect: safe}", "/book: {post: {x-larchwing: {effect: safe}"))
        made.ingress.reload()
        await until(lambda: table.table.find(b"/v1/other"))
        assert table.table.find(b"/v1/book").get(b"POST").cls_name == "look"
        backend.writers[0].transport.abort()
        assert (await read_message(reader))[0].split()[1] == "502"
        assert [line for line, _, _ in backend.seen] == ["POST /v1/book?seats=2 HTTP/1.1"]
        assert (ticket.parsed.cls, ticket.parsed.units) == (1, 2.0)
        writer.close()

    play(tmp_path, test)


def test_load_that_hangs_is_given_up_and_the_ingress_serves_on(tmp_path, caplog, monkeypatch):
    async def test(made, backend) -> None:
        hang = [sys.executable, "-c", "import time; time.sleep(600)"]
        monkeypatch.setattr(worker, "command", lambda *_: hang)
        made.ingress.components["routes"].follower.changes.timeout = 0.2
        made.ingress.reload()
        await until(lambda: "could not be read within" in caplog.text)
        await until(lambda: not made.ingress.components["routes"].follower.running)
        assert (await ask(made, asked()))[0].endswith("200 OK")

    play(tmp_path, test)


def test_reader_process_that_dies_changes_nothing(tmp_path, caplog, monkeypatch):
    async def test(made, backend) -> None:
        monkeypatch.setattr(worker, "command", lambda *_: [
            sys.executable, "-c", "import os, signal; os.kill(os.getpid(), signal.SIGKILL)"])
        made.ingress.reload()
        await until(lambda: "ended with -9" in caplog.text)
        assert (await ask(made, asked()))[0].endswith("200 OK")

    play(tmp_path, test)
