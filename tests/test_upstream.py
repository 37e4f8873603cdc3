"""Connections to backends: which are reused, and what each outcome of an exchange proves."""

import asyncio

import pytest

from fennelpoint.interface import BackendState, Probe, Status
from fennelpoint.net.backends import load_report
from fennelpoint.net.exchange import Exchange
from fennelpoint.testing import Backend, ask, member, ok, request, run, until, world

# The statuses that tell what a client received: a backend's response, a refusal, a failure.
SERVED, REFUSED, FAILED = "200", "503", "502"
ACCOUNT = b"%d" % 0xb4d65521    # the usual customer's name at the counter


def status(answer: tuple) -> str:
    return answer[0].split()[1]


def test_a_connection_is_reused():
    """Guards against reading keep-alive after the parser has forgotten it: each attempt opened a new connection."""
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            for _ in range(5):
                line, _, body = await ask(harness, request())
                assert line == "HTTP/1.1 200 OK" and body == b"yes"
            assert len(backend.seen) == 5 and backend.opened == 1
            await until(lambda: len(harness.list.asked) > 4)
            assert harness.list.opened == 1

    run(scenario())


def test_a_request_is_forwarded_with_its_method_path_body_and_id():
    async def scenario() -> None:
        backend = Backend(lambda line, fields, body: ok(body[::-1]))
        async with world(backend) as harness:
            answer = await ask(harness, request("book", b"0123", left=5000, path="/api/x?y=1", X_Txn="abc"))
            assert answer[2] == b"3210"
            line, fields, body = backend.seen[0]
            assert (line, body, fields["x-txn"]) == ("POST /api/x?y=1 HTTP/1.1", b"0123", "abc")
            assert 0 < int(fields["x-remaining-ms"]) <= 5000

    run(scenario())


@pytest.mark.parametrize("answer, expected", [
    (ok(b"no", "500 Internal Server Error"), FAILED),
    (ok(b"no", "503 Service Unavailable"), FAILED),     # without the header that proves it never ran
    (b"", FAILED),                                      # closed after it received the whole request
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes", None),  # truncated, then nothing until the deadline
    (b"noise without sense\r\n\r\n", FAILED),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nyes", FAILED),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(90000), FAILED),
    (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000, FAILED),
], ids=lambda value: value if isinstance(value, str) else "answer")
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_retried(answer, expected):
    async def scenario() -> None:
        backends = [Backend(lambda *_: answer), Backend(lambda *_: answer)]
        async with world(*backends) as harness:
            got = await ask(harness, request("book", b"x", left=600))
            assert status(got) == (expected or FAILED)
            assert sum(len(b.seen) for b in backends) == 1

    run(scenario())


def test_an_unsafe_request_that_a_backend_rejected_unexecuted_is_retried():
    async def scenario() -> None:
        answers = iter([ok(b"", "503 Busy", "X-Turned-Away: 1\r\n"), ok(b"yes")])
        backend = Backend(lambda *_: next(answers))
        async with world(backend) as harness:
            assert status(await ask(harness, request("book", b"x", left=5000))) == SERVED
            assert len(backend.seen) == 2 and backend.opened == 1

    run(scenario())


def test_after_a_refused_connect_the_request_goes_to_another_backend():
    async def scenario() -> None:
        down, up = Backend(), Backend()
        async with world(down, up) as harness:
            down.stop()
            for _ in range(4):
                assert status(await ask(harness, request("book", b"x", left=5000))) == SERVED
            assert len(up.seen) == 4

    run(scenario())


def test_a_late_response_is_dropped_with_its_connection():
    """If the connection were reused, the next request would get the previous one's response."""
    async def scenario() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as harness:
            assert status(await ask(harness, request("book", b"1", left=200))) == FAILED
            backend.writers[0].write(ok(b"late"))
            backend.answer = lambda *_: ok(b"its own")
            assert (await ask(harness, request("book", b"2", left=5000)))[2] == b"its own"
            assert backend.opened == 2

    run(scenario())


@pytest.mark.parametrize("excess", [ok(b"another"), b"noise"])
def test_a_response_with_excess_bytes_is_used_and_its_connection_closed(excess):
    async def scenario() -> None:
        backend = Backend(lambda *_: ok(b"yes") + excess)
        async with world(backend) as harness:
            for _ in range(2):
                assert (await ask(harness, request()))[2] == b"yes"
            assert backend.opened == 2

    run(scenario())


def test_an_interim_response_is_skipped():
    async def scenario() -> None:
        backend = Backend(lambda *_: b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + ok(b"yes"))
        async with world(backend) as harness:
            assert (await ask(harness, request()))[2] == b"yes"

    run(scenario())


def test_an_idle_connection_that_the_backend_closed_is_not_reused():
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            await ask(harness, request())
            backend.writers[0].close()
            assert status(await ask(harness, request("book", b"x", left=5000))) == SERVED
            assert backend.opened == 2

    run(scenario())


def test_a_draining_backend_gets_no_requests_and_a_restarted_one_new_connections():
    async def scenario() -> None:
        one, two = Backend(), Backend()
        async with world(one, two) as harness:
            upstreams = harness.ingress.backends.upstreams
            harness.list.tell(member("s-0", one.address, "draining"))
            await until(lambda: not upstreams["s-0"].is_usable)
            for _ in range(6):
                await ask(harness, request())
            assert len(one.seen) == 0 and len(two.seen) == 6
            before = two.opened
            harness.list.tell(member("s-0", one.address, "removed"),
                           member("s-1", two.address, up_since_ms=1000))
            await until(lambda: upstreams["s-1"].started_at == 1.0)
            await ask(harness, request())
            assert two.opened == before + 1 and "s-0" not in upstreams

    run(scenario())


def test_a_backend_that_begins_to_drain_during_the_connect_gets_no_bytes():
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            pool, ended = harness.ingress.backends, []
            pool.begin(Exchange(lambda: b"GET / HTTP/1.1\r\n\r\n", lambda *end: ended.append(end)), "s-0")
            pool.upstreams["s-0"].state = BackendState.DRAINING     # as discovery would during the connect
            await until(lambda: ended)
            assert ended == [(Status.CONNECT_FAILED, None)]
            await until(lambda: backend.opened)
            assert not backend.seen and not pool.all

    run(scenario())


def test_a_request_to_a_silent_backend_fails_at_its_deadline():
    async def scenario() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as harness:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status(await ask(harness, request("book", b"x", left=300))) == FAILED
            assert loop.time() - began >= 0.29
            assert not harness.ingress.host.open_requests

    run(scenario())


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyes",
    b"HTTP/1.1 200 OK\r\n\r\nyes",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes",
    b"HTTP/1.1 200 OK\r\nX: ",
], ids=["gigabytes", "no declared end", "length above what is sent", "incomplete head"])
def test_a_response_that_stays_incomplete_does_not_hold_its_request(answer):
    async def scenario() -> None:
        backend = Backend(lambda *_: answer)
        async with world(backend) as harness:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status(await ask(harness, request("book", b"x", left=20_000))) == FAILED
            assert loop.time() - began < 10.0
            await until(lambda: not harness.ingress.backends.all)

    run(scenario())


def test_a_local_shortage_of_connections_is_no_failure_of_the_backend():
    async def scenario() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as harness:
            pool, ended = harness.ingress.backends, []
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", left=20_000))
            await until(lambda: backend.seen)
            pool.max_connections = 1
            pool.begin(Exchange(lambda: b"", lambda *end: ended.append(end)), "s-0")
            assert ended == [(Status.MOOT, None)]
            assert status(await ask(harness, request(left=2000))) == REFUSED
            known = harness.ingress.host.controller.fleet.backends["s-0"]
            assert known.fails == 0 and known.slow == 1.0
            writer.close()

    run(scenario())


@pytest.mark.parametrize("data", [b"[" * 60_000, b'{"util": NaN}', b'{"util": 1e999}', b"\xff", b"", b"3"])
def test_a_malformed_load_report_is_empty(data):
    assert load_report(data, ["util"]) == []


def test_a_probe_whose_report_is_nested_too_deep_succeeds_without_a_report():
    async def scenario() -> None:
        backend = Backend(lambda line, *_: ok(b"[" * 60_000))
        async with world(backend, report={"via": "probe", "fields": "util"}) as harness:
            host, events = harness.ingress.host, []
            host.controller.handle = lambda event, now: events.append(event) or []
            host._probe(Probe("s-0"))
            await until(lambda: events)
            assert events[0].report == [] and events[0].status is Status.OK

    run(scenario())


def test_the_counter_gets_the_units_that_were_spent_and_not_those_refused():
    """Counting refused requests as spent would use up a customer's quota at all its ingresses."""
    async def scenario() -> None:
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 10.0, "store_size": 20.0}
        async with world(Backend(), contracts=[plan]) as harness:
            statuses: list[str] = []

            async def send_requests() -> None:
                while harness.count.calls.count(ACCOUNT) < 5 or statuses.count(REFUSED) < 50:
                    answer = await ask(harness, request(Api_Terms="units=1,spread=1,first=0"))
                    statuses.append(status(answer))

            await asyncio.gather(*(send_requests() for _ in range(30)))
            served, total = statuses.count(SERVED), harness.count.totals[ACCOUNT]
            assert 0 < total <= served
            assert sum(harness.count.totals.values()) > served     # refused units are counted under another name

    run(scenario())


def test_a_few_rejected_attempts_do_not_stop_the_others():
    """Guards against cutting the concurrency window for each rejection: thirty in a row brought it below one."""
    async def scenario() -> None:
        turned_away = iter(range(30))

        def answer(line, fields, body) -> bytes:
            if next(turned_away, None) is not None:
                return ok(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n")
            return ok(b"yes")

        async with world(*(Backend(answer, 0.02) for _ in range(8))) as harness:
            control = harness.ingress.host.controller
            before = control.limiter.window
            statuses = [status(a) for a in await asyncio.gather(*(ask(harness, request()) for _ in range(24)))]
            assert next(turned_away, None) is None
            assert statuses.count(SERVED) > 12 and control.limiter.window > before / 4

    run(scenario())
