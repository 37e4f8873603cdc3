"""SIGHUP: another discovery and another counter, with nothing lost on the way."""

import asyncio
import json

from fennelpoint.testing import (
    SETTINGS,
    Backend,
    Count,
    Fake,
    List,
    ask,
    member,
    ok,
    read_message,
    request,
    run,
    until,
    world,
)


def write(made, path, **changes) -> None:
    value = {"name": "n0", "listen": "127.0.0.1:1", "discovery": made.list.address,
             "counter": made.count.address, "seed": "7", "limits": {"sockets": 1024}, "settings": SETTINGS}
    path.write_text(json.dumps({**value, **changes}))
    made.ingress.path = str(path)


def test_new_discovery_is_asked_for_its_whole_list_and_the_old_one_followed_until_it_tells(tmp_path):
    async def play() -> None:
        old, new, silent = Backend(), Backend(), Fake(lambda reader, writer: reader.read())
        async with world(old) as made:
            upstreams = made.ingress.backends.upstreams
            write(made, tmp_path / "config", discovery=await silent.start())
            made.ingress.reload()
            await until(lambda: silent.opened)
            made.list.tell(member("s-9", await new.start()))    # the old one's word still counts
            await until(lambda: "s-9" in upstreams)
            # Revision 1 again, which the old one's watch would take for no news.
            second = List([member("s-9", new.address)])
            write(made, tmp_path / "config", discovery=await second.start())
            made.ingress.reload()
            await until(lambda: "s-0" not in upstreams)
            assert second.asked[0] == "GET /v1/endpoints HTTP/1.1"
            assert (await ask(made, request()))[0].endswith("200 OK") and new.seen and not old.seen
            await until(lambda: len(second.asked) > 1)
            asked = len(made.list.asked)
            second.tell(member("s-0", old.address))
            await until(lambda: "s-0" in upstreams)
            assert len(made.list.asked) == asked and made.ingress.next_discovery is None
            for fake in (new, silent, second):
                fake.stop()

    run(play())


def test_file_that_cannot_be_used_changes_nothing(tmp_path, caplog):
    async def play() -> None:
        async with world(Backend()) as made:
            discovery, line = made.ingress.discovery, made.ingress.counter.connection
            for changes in ({"counter": "nowhere"}, {"settings": {}}, {"discovery": None}):
                write(made, tmp_path / "config", **changes)
                made.ingress.reload()
            (tmp_path / "config").write_text('{"name": "n0", "disc')
            made.ingress.reload()
            assert made.ingress.discovery is discovery and made.ingress.next_discovery is None
            assert made.ingress.counter.connection is line and caplog.text.count("keeps its configuration") == 4
            assert (await ask(made, request()))[0].endswith("200 OK")

    run(play())


def test_calls_in_flight_are_answered_by_the_old_counter_and_new_ones_go_to_the_new(tmp_path):
    async def play() -> None:
        go, replies = asyncio.Event(), []

        async def handle(reader, writer):
            await reader.readline()
            await go.wait()
            writer.write(b"ok 5\r\n")
            await reader.read()

        slow, count = Fake(handle), Count()
        async with world(Backend()) as made:
            counter = made.ingress.counter
            counter.timeout_s = 20.0
            counter.move(*_address(await slow.start()))
            counter.call(1, 1.0, 4.0, replies.append)
            await until(lambda: slow.opened and counter.connection and counter.connection.calls)
            write(made, tmp_path / "config", counter=await count.start())
            made.ingress.reload()
            made.ingress.reload()   # it may come again
            await until(lambda: count.opened)
            counter.call(2, 1.0, 4.0, replies.append)
            await until(lambda: replies)
            assert (replies[0].name, replies[0].total) == (2, 1.0) and count.opened == 1
            go.set()
            await until(lambda: len(replies) == 2)
            assert (replies[1].name, replies[1].total) == (1, 5.0)
            await until(lambda: not counter.draining)
            slow.stop()
            count.stop()

    run(play())


def test_old_counter_serves_until_the_new_one_is_reached(tmp_path):
    async def play() -> None:
        async with world(Backend()) as made:
            counter, replies = made.ingress.counter, []
            counter.call(1, 1.0, 4.0, replies.append)
            await until(lambda: replies)
            write(made, tmp_path / "config", counter="127.0.0.1:1")     # nobody listens there
            made.ingress.reload()
            counter.call(1, 1.0, 4.0, replies.append)
            await until(lambda: len(replies) == 2)
            assert [r.total for r in replies] == [1.0, 2.0]

    run(play())


def test_requests_under_way_are_answered_over_a_reload(tmp_path):
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as made:
            second = List([member("s-0", backend.address)])
            reader, writer = await made.connect()
            writer.write(request("book", b"x", left=20_000))
            await until(lambda: backend.seen)
            write(made, tmp_path / "config", discovery=await second.start())
            made.ingress.reload()
            await until(lambda: len(second.asked) > 1)
            made.list.stop()
            backend.writers[0].write(ok(b"yes"))
            assert (await read_message(reader))[2] == b"yes"
            writer.close()
            second.stop()

    run(play())


def _address(text: str) -> tuple[str, int]:
    host, port = text.split(":")
    return host, int(port)
