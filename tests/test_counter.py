"""The counter's answers belong to its calls by their order alone."""

import asyncio

import pytest

from fennelpoint.interface import Status
from fennelpoint.net.counter import Counter, amount_text
from fennelpoint.testing import Fake, run, until


class Play:
    """A counter client against a scripted service; `replies` gathers what the callers are told."""

    def __init__(self, handle) -> None:
        self.fake, self.replies = Fake(handle), []

    async def __aenter__(self):
        host, port = (await self.fake.start()).split(":")
        self.counter = Counter(asyncio.get_running_loop(), host, int(port), 0.05)
        return self

    async def __aexit__(self, *_):
        self.counter.close()
        self.fake.stop()

    def call(self, name: int, amount: float = 1.0) -> None:
        self.counter.call(name, amount, 4.0, self.replies.append)

    async def told(self, count: int) -> list[tuple[int, Status, float]]:
        await until(lambda: len(self.replies) >= count)
        return [(r.name, r.status, r.total) for r in self.replies]


def test_calls_are_pipelined_and_plain():
    async def play() -> None:
        lines = []

        async def handle(reader, writer):
            for _ in range(3):      # nothing is answered before all have come
                lines.append(await reader.readline())
            writer.write(b"ok 2.5\r\nbusy\r\nok -1e-3\r\n")
            await reader.read()

        async with Play(handle) as p:
            p.call(7, 2.5)
            p.call(8, 1e-5)
            p.call(9, -3)
            assert await p.told(3) == [(7, Status.OK, 2.5), (8, Status.FULL, 0.0), (9, Status.OK, -0.001)]
            assert lines == [b"tally 7 2.5 4000\r\n", b"tally 8 0.00001 4000\r\n", b"tally 9 -3 4000\r\n"]

    run(play())


def test_answer_past_the_time_out_is_not_taken_for_the_next_call():
    async def play() -> None:
        go = asyncio.Event()

        async def handle(reader, writer):
            await reader.readline()
            await go.wait()
            await reader.readline()
            writer.write(b"ok 11\r\nok 22\r\n")
            await reader.read()

        async with Play(handle) as p:
            p.call(1)
            assert await p.told(1) == [(1, Status.TIMEOUT, 0.0)]
            p.call(2)
            go.set()
            assert (await p.told(2))[1] == (2, Status.OK, 22.0)

    run(play())


@pytest.mark.parametrize("answer", [b"ok\r\n", b"ok nan\r\n", b"what?\r\n", b"x" * 300, b""])
def test_nonsense_or_a_break_ends_the_calls_and_the_next_has_a_new_connection(answer):
    async def play() -> None:
        async def handle(reader, writer):
            await reader.readline()
            if p.fake.opened > 1:
                writer.write(b"ok 5\r\n")
                return await reader.read()
            writer.write(answer)

        async with Play(handle) as p:
            p.call(1)
            assert await p.told(1) == [(1, Status.TIMEOUT, 0.0)]
            await until(lambda: p.counter.line is None)
            p.call(2)
            assert (await p.told(2))[1] == (2, Status.OK, 5.0) and p.fake.opened == 2

    run(play())


def test_refused_connection_adds_nothing():
    async def play() -> None:
        async def handle(reader, writer):
            await reader.read()

        async with Play(handle) as p:
            p.fake.server.close()
            await p.fake.server.wait_closed()
            p.call(1)
            p.call(2)
            assert await p.told(2) == [(1, Status.CONNECT_FAILED, 0.0), (2, Status.CONNECT_FAILED, 0.0)]

    run(play())


@pytest.mark.parametrize("amount, text", [(1.0, b"1"), (0.0, b"0"), (100.0, b"100"), (-2.5, b"-2.5"),
                                          (1 / 3, b"0.333333")])
def test_amounts_are_plain_decimals(amount, text):
    assert amount_text(amount) == text


def test_silent_connection_is_left_after_a_few_time_outs(monkeypatch):
    """It was waited for a second and more: all that was used meanwhile was told to nobody."""
    monkeypatch.setattr("fennelpoint.net.counter.SILENT", 60.0)

    async def play() -> None:
        opened = []

        async def handle(reader, writer):
            opened.append(writer)
            while line := await reader.readline():
                if len(opened) != 1 or b" 1 " in line:
                    writer.write(b"ok 1\r\n")

        async with Play(handle) as p:
            p.call(1)
            await p.told(1)
            p.call(2, 2.0)      # never answered, and nothing ends
            while len(opened) < 2:
                await asyncio.sleep(0.02)
                p.call(3, 2.0)
            await until(lambda: any(r.name == 3 and r.status is Status.OK for r in p.replies))
            assert p.replies[1].status is Status.TIMEOUT
            assert p.counter.unheard == 0

    run(play())


def test_patience_doubles_while_no_connection_says_anything():
    async def play() -> None:
        opened = []

        async def handle(reader, writer):
            opened.append(writer)
            await reader.read()

        async with Play(handle) as p:
            seen = {p.counter.patience}
            while len(opened) < 4:
                p.call(1)
                await asyncio.sleep(0.02)
                seen.add(p.counter.patience)
            assert sorted(seen)[:3] == pytest.approx([0.15, 0.3, 0.6])
            assert max(seen) <= 1.0

    run(play())


def test_slow_answers_keep_their_connection():
    """Each comes after its time-out, and one after another: the counter is slow, the connection lives."""
    async def play() -> None:
        opened = []

        async def handle(reader, writer):
            opened.append(writer)
            while await reader.readline():
                await asyncio.sleep(0.06)
                writer.write(b"ok 1\r\n")

        async with Play(handle) as p:
            for _ in range(10):
                p.call(1)
                await asyncio.sleep(0.06)
            await p.told(10)
            assert len(opened) == 1

    run(play())
