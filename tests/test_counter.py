"""The counter client: answers are matched to calls by their order alone."""

import asyncio

import pytest

from fennelpoint.interface import Status
from fennelpoint.net.counter import Counter, amount_text
from fennelpoint.testing import Fake, run, until


class CounterRun:
    """A counter client with a scripted service; `replies` collects the outcomes of the calls."""

    def __init__(self, handle) -> None:
        self.service, self.replies = Fake(handle), []

    async def __aenter__(self):
        host, port = (await self.service.start()).split(":")
        self.counter = Counter(asyncio.get_running_loop(), host, int(port), 0.05)
        return self

    async def __aexit__(self, *_):
        self.counter.close()
        self.service.stop()

    def call(self, name: int, amount: float = 1.0) -> None:
        self.counter.call(name, amount, 4.0, self.replies.append)

    async def outcomes(self, count: int) -> list[tuple[int, Status, float]]:
        await until(lambda: len(self.replies) >= count)
        return [(r.name, r.status, r.total) for r in self.replies]


def test_calls_are_pipelined_and_use_plain_decimals():
    async def scenario() -> None:
        lines = []

        async def handle(reader, writer):
            for _ in range(3):      # no answer before all three have arrived
                lines.append(await reader.readline())
            writer.write(b"ok 2.5\r\nbusy\r\nok -1e-3\r\n")
            await reader.read()

        async with CounterRun(handle) as p:
            p.call(7, 2.5)
            p.call(8, 1e-5)
            p.call(9, -3)
            assert await p.outcomes(3) == [(7, Status.OK, 2.5), (8, Status.FULL, 0.0), (9, Status.OK, -0.001)]
            assert lines == [b"tally 7 2.5 4000\r\n", b"tally 8 0.00001 4000\r\n", b"tally 9 -3 4000\r\n"]

    run(scenario())


def test_an_answer_after_the_timeout_is_not_attributed_to_the_next_call():
    async def scenario() -> None:
        may_answer = asyncio.Event()

        async def handle(reader, writer):
            await reader.readline()
            await may_answer.wait()
            await reader.readline()
            writer.write(b"ok 11\r\nok 22\r\n")
            await reader.read()

        async with CounterRun(handle) as p:
            p.call(1)
            assert await p.outcomes(1) == [(1, Status.TIMEOUT, 0.0)]
            p.call(2)
            may_answer.set()
            assert (await p.outcomes(2))[1] == (2, Status.OK, 22.0)

    run(scenario())


@pytest.mark.parametrize("answer", [b"ok\r\n", b"ok nan\r\n", b"what?\r\n", b"x" * 300, b""])
def test_a_malformed_answer_or_a_reset_ends_the_calls_and_the_next_uses_a_new_connection(answer):
    async def scenario() -> None:
        async def handle(reader, writer):
            await reader.readline()
            if p.service.opened > 1:
                writer.write(b"ok 5\r\n")
                return await reader.read()
            writer.write(answer)

        async with CounterRun(handle) as p:
            p.call(1)
            assert await p.outcomes(1) == [(1, Status.TIMEOUT, 0.0)]
            await until(lambda: p.counter.connection is None)
            p.call(2)
            assert (await p.outcomes(2))[1] == (2, Status.OK, 5.0) and p.service.opened == 2

    run(scenario())


def test_refused_connection_adds_nothing():
    async def scenario() -> None:
        async def handle(reader, writer):
            await reader.read()

        async with CounterRun(handle) as p:
            p.service.server.close()
            await p.service.server.wait_closed()
            p.call(1)
            p.call(2)
            assert await p.outcomes(2) == [(1, Status.CONNECT_FAILED, 0.0), (2, Status.CONNECT_FAILED, 0.0)]

    run(scenario())


@pytest.mark.parametrize("amount, text", [(1.0, b"1"), (0.0, b"0"), (100.0, b"100"), (-2.5, b"-2.5"),
                                          (1 / 3, b"0.333333")])
def test_amounts_are_plain_decimals(amount, text):
    assert amount_text(amount) == text


def test_a_silent_connection_is_replaced_after_a_few_call_timeouts(monkeypatch):
    """Guards against waiting a second or more for it: usage in that time is not counted at other ingresses."""
    monkeypatch.setattr("fennelpoint.net.counter.UNANSWERED_TIMEOUT_S", 60.0)

    async def scenario() -> None:
        opened = []

        async def handle(reader, writer):
            opened.append(writer)
            while line := await reader.readline():
                if len(opened) != 1 or b" 1 " in line:
                    writer.write(b"ok 1\r\n")

        async with CounterRun(handle) as p:
            p.call(1)
            await p.outcomes(1)
            p.call(2, 2.0)      # never answered, and the connection stays open
            while len(opened) < 2:
                await asyncio.sleep(0.02)
                p.call(3, 2.0)
            await until(lambda: any(r.name == 3 and r.status is Status.OK for r in p.replies))
            assert p.replies[1].status is Status.TIMEOUT
            assert p.counter.silent_connections == 0

    run(scenario())


def test_the_timeout_of_a_silent_connection_doubles_while_none_receives_anything():
    async def scenario() -> None:
        opened = []

        async def handle(reader, writer):
            opened.append(writer)
            await reader.read()

        async with CounterRun(handle) as p:
            timeouts = {p.counter.dead_connection_timeout_s}
            while len(opened) < 4:
                p.call(1)
                await asyncio.sleep(0.02)
                timeouts.add(p.counter.dead_connection_timeout_s)
            assert sorted(timeouts)[:3] == pytest.approx([0.15, 0.3, 0.6])
            assert max(timeouts) <= 1.0

    run(scenario())


def test_a_connection_with_slow_answers_is_kept():
    """Each answer arrives after its call has timed out, but they do arrive: the connection is not dead."""
    async def scenario() -> None:
        opened = []

        async def handle(reader, writer):
            opened.append(writer)
            while await reader.readline():
                await asyncio.sleep(0.06)
                writer.write(b"ok 1\r\n")

        async with CounterRun(handle) as p:
            for _ in range(10):
                p.call(1)
                await asyncio.sleep(0.06)
            await p.outcomes(10)
            assert len(opened) == 1

    run(scenario())
