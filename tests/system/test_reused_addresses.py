"""Addresses that are reassigned from one backend to another: on loopback, with a peer that checks its identity."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget
from fennelpoint.net.exchange import Exchange
from fennelpoint.system.config_versions import ConfigVersion
from fennelpoint.system.proxy.controller_host import ProxyBackends
from fennelpoint.system.proxy.request_parser import ProxyReader

S = api.Status
SERVICE_OF = {"old": "lookup", "new": "payment"}


@dataclass(eq=False)
class Owner:
    """The backend that listens at an address: it runs requests meant for it, and answers 421 to all others."""

    backend_id: str
    ran: list[str] = field(default_factory=list)  # paths
    rejected: list[str] = field(default_factory=list)  # paths
    connections: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            except (asyncio.IncompleteReadError, ConnectionError):
                return writer.close()
            writer.write(self._answer(head.split()[1], self._fields(head)))

    @staticmethod
    def _fields(head: str) -> dict[str, str]:
        lines = (line.partition(": ") for line in head.split("\r\n")[1:])
        return {name: value for name, _, value in lines}

    def _answer(self, path: str, fields: dict[str, str]) -> bytes:
        tail = f"x-attempt-id: {fields['x-attempt-id']}\r\ncontent-length: 0\r\n\r\n"
        if fields.get("x-expected-instance") != self.backend_id:
            self.rejected.append(path)
            return f"HTTP/1.1 421 Misdirected Request\r\nx-instance-id: {self.backend_id}\r\n{tail}".encode()
        self.ran.append(path)
        return f"HTTP/1.1 200 OK\r\nx-server-seal: s\r\n{tail}".encode()


class Proxy:
    """The connection pool of a proxy, its request parser, and the list of backends that it uses."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.pool = ProxyBackends(asyncio.get_running_loop(), 10, 0.5, 0.0, Budget(1 << 20))
        self.reader = ProxyReader(lambda: None, Random(1), lambda: True)
        rules = [
            {"name": service, "kind": "non_idempotent", "target_latency_s": 0.4, "public": True,
             "match_criteria": {"path_prefix": f"/{service}/"},
             "route_action": {"request_timeout_s": 1.5, "max_attempts": 2, "service": service}}
            for service in SERVICE_OF.values()
        ]  # fmt: skip
        clusters = [{"name": service} for service in SERVICE_OF.values()]
        self.reader.apply_version(
            ConfigVersion({"version": 1, "clusters": clusters, "listener_table": [{"host": "h", "rule_set": rules}]})
        )

    def set_backends(self, *backends: str, address: tuple[str, int] | None = None) -> None:
        """Make these the list of backends, each at this address."""
        entries = [api.BackendEntry(backend, api.BackendState.READY) for backend in backends]
        self.pool.follow(
            api.Roster(api.RosterKind.FULL, 0, entries), dict.fromkeys(backends, address or self.address)
        )

    def begin(self, backend: str, number: int) -> asyncio.Future:
        """Send a request for the backend's service; the future gets its outcome."""
        fields = [(b"host", b"h"), (b"x-attempt-id", b"i%d" % number), (b"x-deadline-remaining", b"900")]
        request = self.reader.read(b"POST", f"/{SERVICE_OF[backend]}/{number}".encode(), fields, b"")
        ended = asyncio.get_running_loop().create_future()
        exchange = Exchange(lambda: request.render(0.5, backend), lambda status, answer: ended.set_result(status))
        exchange.request_id, exchange.at_most_once = b"i%d" % number, True
        self.pool.begin(exchange, backend)
        return ended


def play(scenario: Callable[[Proxy, Owner], Awaitable[None]]) -> None:
    """Run `scenario(proxy, owner)`: the owner of the proxy's address is `old`, and the list names it."""

    async def run() -> None:
        owner = Owner("old")
        server = await asyncio.start_server(owner.serve, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname()[:2])
        proxy.set_backends("old")
        async with asyncio.timeout(5.0):
            await scenario(proxy, owner)
        proxy.pool.close()
        server.close()
        await asyncio.sleep(0)

    asyncio.run(run())


def test_a_pooled_connection_whose_peer_is_now_another_backend_runs_no_misdirected_request() -> None:
    async def scenario(proxy: Proxy, owner: Owner) -> None:
        assert await proxy.begin("old", 1) is S.OK
        owner.backend_id = "new"
        assert await proxy.begin("old", 2) is S.ELSEWHERE
        assert owner.connections == 1 and owner.rejected == ["/lookup/2"]
        proxy.set_backends("new")
        assert await proxy.begin("new", 3) is S.OK
        assert owner.connections == 2 and owner.ran == ["/lookup/1", "/payment/3"]

    play(scenario)


def test_a_connection_established_while_its_address_is_reassigned_carries_no_request() -> None:
    async def scenario(proxy: Proxy, owner: Owner) -> None:
        ended = proxy.begin("old", 1)
        proxy.set_backends("new")
        owner.backend_id = "new"
        assert await ended is S.CONNECT_FAILED  # so that even a non-idempotent request may be retried elsewhere
        assert owner.ran == owner.rejected == []

    play(scenario)


def test_a_backend_that_moves_gets_no_requests_on_connections_to_its_old_address() -> None:
    async def scenario(proxy: Proxy, owner: Owner) -> None:
        assert await proxy.begin("old", 1) is S.OK
        moved = Owner("old")
        server = await asyncio.start_server(moved.serve, "127.0.0.1", 0)
        proxy.set_backends("old", address=server.sockets[0].getsockname()[:2])
        assert await proxy.begin("old", 2) is S.OK
        assert (owner.ran, moved.ran) == (["/lookup/1"], ["/lookup/2"])
        server.close()

    play(scenario)


def test_an_answer_in_progress_while_its_address_is_reassigned_counts_and_its_connection_is_closed() -> None:
    async def scenario(proxy: Proxy, owner: Owner) -> None:
        ended = proxy.begin("old", 1)
        while not proxy.pool.all:
            await asyncio.sleep(0)
        proxy.set_backends("new")
        assert await ended in (S.OK, S.CONNECT_FAILED)
        assert not proxy.pool.upstreams["new"].idle
        assert all(connection.closed for connection in proxy.pool.all)

    play(scenario)


@pytest.mark.parametrize("backend", SERVICE_OF)
def test_each_attempt_names_the_backend_that_it_is_meant_for(backend: str) -> None:
    """This includes the second attempt of a request, at another backend of the same service."""

    async def scenario(proxy: Proxy, owner: Owner) -> None:
        fields = [(b"host", b"h"), (b"x-attempt-id", b"i1"), (b"x-deadline-remaining", b"900")]
        request = proxy.reader.read(b"POST", f"/{SERVICE_OF[backend]}/1".encode(), fields, b"")
        for target in (backend, f"{backend}-2"):
            sent = request.render(0.5, target).lower()
            assert sent.count(b"x-expected-instance") == 1
            assert f"x-expected-instance: {target}\r\n".encode() in sent

    play(scenario)
