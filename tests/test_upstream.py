"""Connections to backends: what is reused, what is not, and what each way of ending proves."""

import asyncio

import pytest

from fennelpoint.interface import BackendState, Probe, Status
from fennelpoint.net.backends import Exchange, load_report
from fennelpoint.testing import Backend, ask, member, ok, request, run, until, world

# Each request is asked in turn; what the client gets is told by the status.
SERVED, REFUSED, FAILED = "200", "503", "502"
ACCOUNT = b"%d" % 0xb4d65521    # the usual customer, as the counter is told its name


def status(answer: tuple) -> str:
    return answer[0].split()[1]


def test_a_connection_is_kept_and_used_again():
    """The parser forgets whether to keep a connection once it returns; each attempt opened a new one."""
    async def play() -> None:
        backend = Backend()
        async with world(backend) as made:
            for _ in range(5):
                line, _, body = await ask(made, request())
                assert line == "HTTP/1.1 200 OK" and body == b"yes"
            assert len(backend.seen) == 5 and backend.opened == 1
            await until(lambda: len(made.list.asked) > 4)
            assert made.list.opened == 1

    run(play())


def test_request_goes_on_with_its_method_path_body_and_id():
    async def play() -> None:
        backend = Backend(lambda line, fields, body: ok(body[::-1]))
        async with world(backend) as made:
            answer = await ask(made, request("book", b"0123", left=5000, path="/api/x?y=1", X_Txn="abc"))
            assert answer[2] == b"3210"
            line, fields, body = backend.seen[0]
            assert (line, body, fields["x-txn"]) == ("POST /api/x?y=1 HTTP/1.1", b"0123", "abc")
            assert 0 < int(fields["x-remaining-ms"]) <= 5000

    run(play())


@pytest.mark.parametrize("answer, gets", [
    (ok(b"no", "500 Internal Server Error"), FAILED),
    (ok(b"no", "503 Service Unavailable"), FAILED),     # without the field that proves it never ran
    (b"", FAILED),                                      # closed after the whole request
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes", None),  # cut short, then silence: the deadline
    (b"noise without sense\r\n\r\n", FAILED),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nyes", FAILED),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(90000), FAILED),
    (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000, FAILED),
], ids=lambda value: value if isinstance(value, str) else "answer")
def test_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(answer, gets):
    async def play() -> None:
        backends = [Backend(lambda *_: answer), Backend(lambda *_: answer)]
        async with world(*backends) as made:
            got = await ask(made, request("book", b"x", left=600))
            assert status(got) == (gets or FAILED)
            assert sum(len(b.seen) for b in backends) == 1

    run(play())


def test_unsafe_request_that_was_turned_away_is_sent_again():
    async def play() -> None:
        answers = iter([ok(b"", "503 Busy", "X-Turned-Away: 1\r\n"), ok(b"yes")])
        backend = Backend(lambda *_: next(answers))
        async with world(backend) as made:
            assert status(await ask(made, request("book", b"x", left=5000))) == SERVED
            assert len(backend.seen) == 2 and backend.opened == 1

    run(play())


def test_refused_connect_goes_to_the_other_backend():
    async def play() -> None:
        down, up = Backend(), Backend()
        async with world(down, up) as made:
            down.stop()
            for _ in range(4):
                assert status(await ask(made, request("book", b"x", left=5000))) == SERVED
            assert len(up.seen) == 4

    run(play())


def test_late_answer_is_dropped_with_its_connection():
    """Were the connection kept, the next request would get the answer of the one before."""
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as made:
            assert status(await ask(made, request("book", b"1", left=200))) == FAILED
            backend.writers[0].write(ok(b"late"))
            backend.answer = lambda *_: ok(b"its own")
            assert (await ask(made, request("book", b"2", left=5000)))[2] == b"its own"
            assert backend.opened == 2

    run(play())


@pytest.mark.parametrize("excess", [ok(b"another"), b"noise"])
def test_answer_with_more_behind_it_is_served_and_its_connection_dropped(excess):
    async def play() -> None:
        backend = Backend(lambda *_: ok(b"yes") + excess)
        async with world(backend) as made:
            for _ in range(2):
                assert (await ask(made, request()))[2] == b"yes"
            assert backend.opened == 2

    run(play())


def test_interim_answer_is_passed_over():
    async def play() -> None:
        backend = Backend(lambda *_: b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + ok(b"yes"))
        async with world(backend) as made:
            assert (await ask(made, request()))[2] == b"yes"

    run(play())


def test_idle_connection_that_the_backend_closed_is_not_used():
    async def play() -> None:
        backend = Backend()
        async with world(backend) as made:
            await ask(made, request())
            backend.writers[0].close()
            assert status(await ask(made, request("book", b"x", left=5000))) == SERVED
            assert backend.opened == 2

    run(play())


def test_drained_backend_gets_nothing_more_and_a_restarted_one_new_connections():
    async def play() -> None:
        one, two = Backend(), Backend()
        async with world(one, two) as made:
            upstreams = made.ingress.backends.upstreams
            made.list.tell(member("s-0", one.address, "draining"))
            await until(lambda: not upstreams["s-0"].open)
            for _ in range(6):
                await ask(made, request())
            assert len(one.seen) == 0 and len(two.seen) == 6
            before = two.opened
            made.list.tell(member("s-0", one.address, "removed"),
                           member("s-1", two.address, up_since_ms=1000))
            await until(lambda: upstreams["s-1"].started == 1.0)
            await ask(made, request())
            assert two.opened == before + 1 and "s-0" not in upstreams

    run(play())


def test_backend_that_begins_to_drain_while_its_connection_comes_up_gets_no_byte():
    async def play() -> None:
        backend = Backend()
        async with world(backend) as made:
            pool, ended = made.ingress.backends, []
            pool.begin(Exchange(lambda: b"GET / HTTP/1.1\r\n\r\n", lambda *end: ended.append(end)), "s-0")
            pool.upstreams["s-0"].state = BackendState.DRAINING     # as discovery tells meanwhile
            await until(lambda: ended)
            assert ended == [(Status.CONNECT_FAILED, None)]
            await until(lambda: backend.opened)
            assert not backend.seen and not pool.all

    run(play())


def test_backend_that_says_nothing_ends_at_the_deadline():
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as made:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status(await ask(made, request("book", b"x", left=300))) == FAILED
            assert loop.time() - began >= 0.29
            assert not made.ingress.host.tickets

    run(play())


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyes",
    b"HTTP/1.1 200 OK\r\n\r\nyes",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes",
    b"HTTP/1.1 200 OK\r\nX: ",
], ids=["gigabytes", "no end told", "length over what comes", "half a head"])
def test_answer_that_will_not_come_whole_does_not_hold_its_request(answer):
    async def play() -> None:
        backend = Backend(lambda *_: answer)
        async with world(backend) as made:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status(await ask(made, request("book", b"x", left=20_000))) == FAILED
            assert loop.time() - began < 10.0
            await until(lambda: not made.ingress.backends.all)

    run(play())


def test_our_own_lack_of_connections_is_not_the_backends_fault():
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as made:
            pool, ended = made.ingress.backends, []
            reader, writer = await made.connect()
            writer.write(request("book", b"x", left=20_000))
            await until(lambda: backend.seen)
            pool.most = 1
            pool.begin(Exchange(lambda: b"", lambda *end: ended.append(end)), "s-0")
            assert ended == [(Status.MOOT, None)]
            assert status(await ask(made, request(left=2000))) == REFUSED
            known = made.ingress.host.controller.fleet.backends["s-0"]
            assert known.fails == 0 and known.slow == 1.0
            writer.close()

    run(play())


@pytest.mark.parametrize("data", [b"[" * 60_000, b'{"util": NaN}', b'{"util": 1e999}', b"\xff", b"", b"3"])
def test_load_report_that_cannot_be_read_is_none(data):
    assert load_report(data, ["util"]) == []


def test_probe_whose_report_is_nested_too_deep_is_told_of():
    async def play() -> None:
        backend = Backend(lambda line, *_: ok(b"[" * 60_000))
        async with world(backend, report={"via": "probe", "fields": "util"}) as made:
            host, told = made.ingress.host, []
            host.controller.handle = lambda event, now: told.append(event) or []
            host._probe(Probe("s-0"))
            await until(lambda: told)
            assert told[0].report == [] and told[0].status is Status.OK

    run(play())


def test_counter_is_told_what_was_taken_and_not_what_was_refused():
    """Refused tries that were told as taken emptied the store of a customer at all its ingresses."""
    async def play() -> None:
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 10.0, "store_size": 20.0}
        async with world(Backend(), contracts=[plan]) as made:
            gets: list[str] = []

            async def ask_on() -> None:
                while made.count.calls.count(ACCOUNT) < 5 or gets.count(REFUSED) < 50:
                    answer = await ask(made, request(Api_Terms="units=1,spread=1,first=0"))
                    gets.append(status(answer))

            await asyncio.gather(*(ask_on() for _ in range(30)))
            served, total = gets.count(SERVED), made.count.totals[ACCOUNT]
            assert 0 < total <= served
            assert sum(made.count.totals.values()) > served     # what was refused has a name of its own

    run(play())


def test_few_that_are_turned_away_do_not_stop_the_others():
    """Each cut the window of attempts at once, and for a whole aim: thirty in a row brought it under one."""
    async def play() -> None:
        turned_away = iter(range(30))

        def answer(line, fields, body) -> bytes:
            if next(turned_away, None) is not None:
                return ok(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n")
            return ok(b"yes")

        async with world(*(Backend(answer, 0.02) for _ in range(8))) as made:
            control = made.ingress.host.controller
            before = control.limiter.window
            gets = [status(a) for a in await asyncio.gather(*(ask(made, request()) for _ in range(24)))]
            assert next(turned_away, None) is None
            assert gets.count(SERVED) > 12 and control.limiter.window > before / 4

    run(play())
