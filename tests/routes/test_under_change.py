"""A route changes units, class and effect, or is gone, while a booking is held, out, or retried."""

from __future__ import annotations

import pytest
from describing import HEAD, text

from fennelpoint import interface as api
from fennelpoint.operator_config import Operator, Routes
from fennelpoint.quotas import REFUSED_NAMES
from fennelpoint.testing import Backend, ok, read_message, run, until, world

BODY = """
    x-larchwing: {class: look}
    paths:
      /a: {get: {!ANSWER}}
      /book: {post: {x-larchwing: {class: book, units: 1}, !ANSWER}}
    """
CHANGES = {"units": ("units: 1}", "units: 3}"), "class": ("class: book, units: 1", "effect: safe, units: 1"),
           "gone": ("/book:", "/elsewhere:")}
# 1 unit in 2 s after a store of 4: the fifth booking is held about 2 s, far within its aim.
PLAN = {"name": "basic", "pays": 1.0, "quota_rate": 0.5, "store_size": 4.0, "overrun_cost": 1.0}
GRADES = [{"name": "look", "aim_s": 20.0, "give_up_s": 25.0, "worth": 1.0, "repeat": "pure"},
          {"name": "book", "aim_s": 20.0, "give_up_s": 25.0, "worth": 3.0, "repeat": "side_effect"}]


def booking(number: int, resent: int = 0) -> bytes:
    return (f"POST /book HTTP/1.1\r\nHost: a\r\nX-Txn: t{number}\r\nApi-Plan: basic\r\n"
            f"X-Remaining-Ms: 25000\r\nCookie: account={1:016x}\r\nApi-Terms: spread=1,first=0\r\n"
            f"X-Resent: {resent}\r\n"
            "Content-Length: 0\r\n\r\n").encode()


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("state", ["held", "out", "retried"])
def test_booking_is_charged_once_and_never_run_twice(tmp_path, state, change):
    path, breaks, charged = tmp_path / "d.yaml", [], []
    path.write_text(text(BODY, HEAD))
    backend = Backend(lambda line, fields, body: breaks.pop() if breaks else ok(b"yes"))
    extra = {"has_counter": True, "count_wait_s": 5.0, "units_top": 3}

    async def play() -> None:
        operator = Operator(routes=Routes(str(path)))
        async with world(backend, operator=operator, contracts=[PLAN], grades=GRADES, extra=extra) as made:
            host, follower = made.ingress.host, made.ingress.components["routes"].follower
            handle = host.controller.handle

            def handled(event, now):
                actions = handle(event, now)
                sent = [a.request for a in actions if isinstance(a, api.Send)]
                charged.extend(host.open_requests[request].parsed.units for request in sent)
                return actions

            host.controller.handle = handled
            reader, writer = await made.connect()

            async def ask(data: bytes) -> str:
                writer.write(data)
                return (await read_message(reader))[0].split()[1]

            async def reload() -> None:
                path.write_text(text(BODY, HEAD).replace(*CHANGES[change]))
                made.ingress.reload()
                await until(lambda: follower.changes.version == 2)

            if state == "held":
                assert [await ask(booking(i)) for i in range(4)] == ["200"] * 4
            breaks.append(None if state == "out" else b"")   # silent, or the connection breaks
            writer.write(booking(9))
            if state == "held":
                await until(lambda: host.last_id == 5 and len(charged) == 4)
                await reload()
                (ticket,) = host.open_requests.values()
                assert not ticket.exchanges and len(charged) == 4     # held before the change and after it
            elif state == "out":
                await until(lambda: backend.seen)
                await reload()
                backend.writers[0].transport.abort()
            # It may have run, and was read as a booking: failed, whatever its route is by now.
            assert (await read_message(reader))[0].split()[1] == "502"
            if state == "retried":
                await reload()
            seen = [fields["x-txn"] for _, fields, _ in backend.seen]
            assert seen.count("t9") == 1 and charged[-1] == 1.0
            status = await ask(booking(10, resent=1))   # the client's retry is a new try, by the new table
            assert status == ("404" if change == "gone" else "200")
            assert len(charged) == len(backend.seen) == (5 if state == "held" else 1) + (change != "gone")
            assert change == "gone" or charged[-1] == (3.0 if change == "units" else 1.0)
            await until(lambda: not host.open_requests and not any(
                c.on_reply for c in made.ingress.counter.open_calls))
            untold = sum(c.fresh + (c.reporting or 0.0) for c in host.controller.customers.values())
            told = sum(total for name, total in made.count.totals.items() if int(name) < REFUSED_NAMES)
            assert told + untold == pytest.approx(sum(charged))
            writer.close()

    run(play())


def test_with_the_part_off_bytes_are_what_they_were():
    """Literal bytes, as the program before this part passed them on and answered."""
    seen = []

    async def handle(reader, writer) -> None:
        seen.append(await reader.readuntil(b"\r\n\r\n") + await reader.readexactly(3))
        writer.write(b"HTTP/1.1 200 OK\r\nX-Kept: 1\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nhi")

    async def play() -> None:
        backend = Backend()
        backend.handle = handle
        async with world(backend) as made:
            reader, writer = await made.connect()
            writer.write(b"POST /api/../x%2fy?q=1#f HTTP/1.1\r\nHost: app.svc\r\nX-Txn: t1\r\n"
                         b"X-Lane: book\r\nApi-Plan: basic\r\nCookie: account=00000000b4d65521\r\n"
                         b"X-Remaining-Ms: 5000\r\nApi-Terms: units=1,spread=2,first=0\r\nX-Own: 2\r\n"
                         b"Connection: x-own\r\nContent-Length: 3\r\n\r\nabc")
            answer = await reader.readuntil(b"\r\n\r\n") + await reader.readexactly(2)
            assert answer == b"HTTP/1.1 200 OK\r\nx-kept: 1\r\ncontent-length: 2\r\n\r\nhi"
            writer.write(b"OPTIONS /api HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            assert (await reader.read()) == (b"HTTP/1.1 400 Bad Request\r\ncontent-length: 17\r\n"
                                             b"connection: close\r\n\r\nx-txn is missing\n")
            writer.close()
        head, _, rest = seen[0].partition(b"X-Remaining-Ms: ")
        assert head == (b"POST /api/../x%2fy?q=1#f HTTP/1.1\r\nhost: app.svc\r\nx-txn: t1\r\nx-lane: book\r\n"
                        b"api-plan: basic\r\ncookie: account=00000000b4d65521\r\n"
                        b"api-terms: units=1,spread=2,first=0\r\ncontent-length: 3\r\n")
        left, _, body = rest.partition(b"\r\n\r\n")
        assert 0 < int(left) <= 5000 and body == b"abc"

    run(play())
