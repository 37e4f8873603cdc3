"""Backends that do not answer: the machine is off, the listen queue is full, or the process hangs."""

import asyncio
import json
import socket
import time
import zlib

import pytest
from test_proxy_process import CONFIGURATION, CORE, Booking, post, settings_of

from fennelpoint.system.proxy.program import Program
from fennelpoint.testing.process import free_port

REQUEST_TIMEOUT_S = 1.0  # of the route, over all attempts
HANG_S = 0.3  # for which a process hangs before it ends; its share of the retry slack allows a retry by then
FAILOVER_S = 0.6  # in which a connect attempt is given up and another backend has answered


def version(kind: str) -> bytes:
    value = json.loads(json.dumps(CONFIGURATION))
    rule = value["listener_table"][0]["rule_set"][0]
    rule["kind"] = kind
    rule["target_latency_s"] = 0.4
    rule["route_action"]["request_timeout_s"] = REQUEST_TIMEOUT_S
    return zlib.compress(json.dumps(value).encode())


async def start_proxy(kind: str, *addresses: tuple[str, int]) -> tuple[Program, int]:
    """Start a proxy for these backends, the first of them in its own zone; return it and its port."""
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
    """A backend that answers at once, one request after another on each connection."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await super().serve(reader, writer)
        except asyncio.IncompleteReadError:
            writer.close()


async def start_answering_backend() -> tuple[Booking, tuple[str, int]]:
    booking = Answering()
    booking.may_answer.set()
    server = await asyncio.start_server(booking.serve, "127.0.0.1", 0)
    return booking, server.sockets[0].getsockname()[:2]


class FullListenQueue:
    """An address that drops new connections: its queue of connections to accept is full."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = self.listener.getsockname()[:2]
        self.waiting = [self._connect() for _ in range(3)]

    def _connect(self) -> socket.socket:
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(self.address)
        return client

    def close(self) -> None:
        for sock in (self.listener, *self.waiting):
            sock.close()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_a_request_fails_over_quickly_when_a_connection_is_not_established(kind: str) -> None:
    """Nothing was sent to the first backend, so the retry is safe even for requests that must run at most once."""

    async def play() -> None:
        silent = FullListenQueue()
        booking, address = await start_answering_backend()
        program, public = await start_proxy(kind, silent.address, address)
        for number in range(6):
            began = time.monotonic()
            answer = await post(public, f"b{number}")
            assert answer.startswith(b"HTTP/1.1 200") and time.monotonic() - began < FAILOVER_S
        assert booking.attempt_ids == [f"b{number}" for number in range(6)]
        program.close()
        silent.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


class Crashing(Booking):
    """A backend that hangs with the request that it has read, and whose process ends then."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.ensure_future(super().serve(reader, writer))
        await asyncio.sleep(HANG_S)
        serving.cancel()
        writer.transport.abort()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_a_request_that_a_crashed_backend_has_read_is_retried_only_if_it_is_idempotent(kind: str) -> None:
    async def play() -> None:
        crashing = Crashing()
        server = await asyncio.start_server(crashing.serve, "127.0.0.1", 0)
        booking, address = await start_answering_backend()
        program, public = await start_proxy(kind, server.sockets[0].getsockname()[:2], address)
        retries = [{}, {}, 1000]  # no quotas, no cold backends, the whole retry slack
        program.handle_message(
            CORE, ["lend", program.session._next_request_number(time.monotonic()), [1, "a"], 1, retries]
        )
        answer = await post(public, "b0")
        assert crashing.attempt_ids == ["b0"]
        if kind == "idempotent":
            assert booking.attempt_ids == ["b0"] and answer.startswith(b"HTTP/1.1 200")
        else:
            assert booking.attempt_ids == [] and answer.startswith(b"HTTP/1.1 502")
        program.close()

    asyncio.run(asyncio.wait_for(play(), 20.0))


def test_a_hanging_backend_gets_no_further_requests() -> None:
    async def play() -> None:
        hanging = Booking()
        server = await asyncio.start_server(hanging.serve, "127.0.0.1", 0)
        booking, address = await start_answering_backend()
        program, public = await start_proxy("idempotent", server.sockets[0].getsockname()[:2], address)
        await asyncio.gather(*(post(public, f"b{number}") for number in range(4)))
        received = len(hanging.attempt_ids)
        for number in range(4, 12):
            answer = await post(public, f"b{number}")
            assert answer.startswith(b"HTTP/1.1 200") == (f"b{number}" in booking.attempt_ids)
        assert len(hanging.attempt_ids) - received <= 1  # at most one probe whether it has recovered
        program.close()

    asyncio.run(asyncio.wait_for(play(), 20.0))
