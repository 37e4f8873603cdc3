"""Backends that say nothing: their machine has no power, their queue of connections is full, or they stand still."""

import asyncio
import json
import socket
import time
import zlib

import pytest
from test_proxy_process import CONFIGURATION, CORE, Booking, post, settings_of

from fennelpoint.system.proxy.program import Program
from fennelpoint.testing.process import free_port

TIMEOUT = 1.0  # s, the route's, for one try at all its backends
STANDS_STILL = 0.3  # s before a process ends; the share of the slack has saved a retry by then
SOON = 0.6  # s in which a connection that does not come up is given up, and another backend has answered


def version(kind: str) -> bytes:
    value = json.loads(json.dumps(CONFIGURATION))
    rule = value["listener_table"][0]["rule_set"][0]
    rule["kind"] = kind
    rule["target_latency_s"] = 0.4
    rule["route_action"]["request_timeout_s"] = TIMEOUT
    return zlib.compress(json.dumps(value).encode())


async def front(kind: str, *addresses: tuple[str, int]) -> tuple[Program, int]:
    """A front that serves by these backends, the first of them in its own zone; and its port."""
    public = free_port()
    bounds = "rule_bounds.budget_slack=100\nrule_bounds.retry_budget_ratio=0.2\nrule_bounds.budget_window_s=10"
    program = Program(asyncio.get_running_loop(), settings_of(public, free_port(), bounds=bounds))
    await program.start()
    backends = [
        [f"i-{n}", f"{host}:{port}", "svc", "za" if n == 0 else "zb", 2, "v1", "ready", 1, 0.0, 0.0, False]
        for n, (host, port) in enumerate(addresses)
    ]
    program.handle_message(CORE, ["list", 1, 1, backends, True])
    program.handle_message(CORE, ["lease", program.session._next_request_number(time.monotonic()), 1, 3, "d", [], 1])
    program.handle_message(CORE, ["content", "d", version(kind)])
    return program, public


class Answering(Booking):
    """A backend that answers at once, one request after the other on each connection."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await super().serve(reader, writer)
        except asyncio.IncompleteReadError:
            writer.close()


async def answering() -> tuple[Booking, tuple[str, int]]:
    booking = Answering()
    booking.may_answer.set()
    server = await asyncio.start_server(booking.serve, "127.0.0.1", 0)
    return booking, server.sockets[0].getsockname()[:2]


class FullQueue:
    """An address at which the opening of a connection is dropped: the queue of those not accepted yet is full."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.at = self.listener.getsockname()[:2]
        self.waiting = [self._connect() for _ in range(3)]

    def _connect(self) -> socket.socket:
        one = socket.socket()
        one.setblocking(False)
        one.connect_ex(self.at)
        return one

    def close(self) -> None:
        for one in (self.listener, *self.waiting):
            one.close()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_a_connection_that_does_not_come_up_costs_a_moment_and_the_request_goes_elsewhere(kind: str) -> None:
    """Nothing was sent to the first one, so that it does no harm to a request that may run once only."""

    async def play() -> None:
        silent = FullQueue()
        booking, at = await answering()
        program, public = await front(kind, silent.at, at)
        for number in range(6):
            began = time.monotonic()
            answer = await post(public, f"b{number}")
            assert answer.startswith(b"HTTP/1.1 200") and time.monotonic() - began < SOON
        assert booking.attempt_ids == [f"b{number}" for number in range(6)]
        program.close()
        silent.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


class Ending(Booking):
    """A backend that stands still with what it has read, and whose process ends then."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.ensure_future(super().serve(reader, writer))
        await asyncio.sleep(STANDS_STILL)
        serving.cancel()
        writer.transport.abort()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_what_a_backend_read_before_it_ended_is_sent_to_another_only_where_that_does_no_harm(kind: str) -> None:
    async def play() -> None:
        ending = Ending()
        server = await asyncio.start_server(ending.serve, "127.0.0.1", 0)
        booking, at = await answering()
        program, public = await front(kind, server.sockets[0].getsockname()[:2], at)
        retries = [{}, {}, 1000]  # no quotas, no cold backends, all of the slack
        program.handle_message(
            CORE, ["lend", program.session._next_request_number(time.monotonic()), [1, "a"], 1, retries]
        )
        answer = await post(public, "b0")
        assert ending.attempt_ids == ["b0"]
        if kind == "idempotent":
            assert booking.attempt_ids == ["b0"] and answer.startswith(b"HTTP/1.1 200")
        else:
            assert booking.attempt_ids == [] and answer.startswith(b"HTTP/1.1 502")
        program.close()

    asyncio.run(asyncio.wait_for(play(), 20.0))


def test_a_backend_that_stands_still_is_left_alone() -> None:
    async def play() -> None:
        still = Booking()
        server = await asyncio.start_server(still.serve, "127.0.0.1", 0)
        booking, at = await answering()
        program, public = await front("idempotent", server.sockets[0].getsockname()[:2], at)
        await asyncio.gather(*(post(public, f"b{number}") for number in range(4)))
        held = len(still.attempt_ids)
        for number in range(4, 12):
            answer = await post(public, f"b{number}")
            assert answer.startswith(b"HTTP/1.1 200") == (f"b{number}" in booking.attempt_ids)
        assert len(still.attempt_ids) - held <= 1  # one may try whether it is back
        program.close()

    asyncio.run(asyncio.wait_for(play(), 20.0))
