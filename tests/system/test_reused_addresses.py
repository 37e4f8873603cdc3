"""Addresses that go from one backend to another: on loopback, with a peer that knows who it is."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget
from fennelpoint.net.backends import Exchange
from fennelpoint.system.config_versions import Version
from fennelpoint.system.proxy.controller_host import ProxyBackends
from fennelpoint.system.proxy.request_parser import ProxyReader

S = api.Status
SERVICE_OF = {"old": "lookup", "new": "payment"}


@dataclass(eq=False)
class Owner:
    """Whoever listens at an address: runs what is meant for it, and answers 421 to the rest."""

    me: str
    ran: list[str] = field(default_factory=list)  # paths
    turned_away: list[str] = field(default_factory=list)
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
        named = f"x-attempt-id: {fields['x-attempt-id']}\r\ncontent-length: 0\r\n\r\n"
        if fields.get("x-expected-instance") != self.me:
            self.turned_away.append(path)
            return f"HTTP/1.1 421 Misdirected Request\r\nx-instance-id: {self.me}\r\n{named}".encode()
        self.ran.append(path)
        return f"HTTP/1.1 200 OK\r\nx-server-seal: s\r\n{named}".encode()


class Proxy:
    """The pool of a front, its reader, and the list that it goes by."""

    def __init__(self, at: tuple[str, int]) -> None:
        self.at = at
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
            Version({"version": 1, "clusters": clusters, "listener_table": [{"host": "h", "rule_set": rules}]})
        )

    def go_by(self, *backends: str, at: tuple[str, int] | None = None) -> None:
        """The list names these, each at this address."""
        entries = [api.BackendEntry(backend, api.BackendState.READY) for backend in backends]
        self.pool.follow(api.Roster(api.RosterKind.FULL, 0, entries), dict.fromkeys(backends, at or self.at))

    def begin(self, backend: str, number: int) -> asyncio.Future:
        """A request for the backend's service; the future has its outcome."""
        fields = [(b"host", b"h"), (b"x-attempt-id", b"i%d" % number), (b"x-deadline-remaining", b"900")]
        asked = self.reader.read(b"POST", f"/{SERVICE_OF[backend]}/{number}".encode(), fields, b"")
        ended = asyncio.get_running_loop().create_future()
        exchange = Exchange(lambda: asked.render(0.5, backend), lambda status, answer: ended.set_result(status))
        exchange.txn, exchange.once = b"i%d" % number, True
        self.pool.begin(exchange, backend)
        return ended


def play(do: Callable[[Proxy, Owner], Awaitable[None]]) -> None:
    """`do(proxy, owner)`, where the owner of the proxy's address is `old` and the list names it."""

    async def run() -> None:
        owner = Owner("old")
        server = await asyncio.start_server(owner.serve, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname()[:2])
        proxy.go_by("old")
        async with asyncio.timeout(5.0):
            await do(proxy, owner)
        proxy.pool.close()
        server.close()
        await asyncio.sleep(0)

    asyncio.run(run())


def test_a_kept_connection_whose_peer_is_another_backend_by_now_runs_nothing_that_was_not_meant_for_it() -> None:
    async def do(proxy: Proxy, owner: Owner) -> None:
        assert await proxy.begin("old", 1) is S.OK
        owner.me = "new"
        assert await proxy.begin("old", 2) is S.ELSEWHERE
        assert owner.connections == 1 and owner.turned_away == ["/lookup/2"]
        proxy.go_by("new")
        assert await proxy.begin("new", 3) is S.OK
        assert owner.connections == 2 and owner.ran == ["/lookup/1", "/payment/3"]

    play(do)


def test_a_connection_that_comes_up_while_its_address_changes_hands_carries_nothing() -> None:
    async def do(proxy: Proxy, owner: Owner) -> None:
        ended = proxy.begin("old", 1)
        proxy.go_by("new")
        owner.me = "new"
        assert await ended is S.CONNECT_FAILED  # so that it may go elsewhere, also a request that may run once only
        assert owner.ran == owner.turned_away == []

    play(do)


def test_a_backend_that_moves_gets_no_request_by_connections_to_where_it_was() -> None:
    async def do(proxy: Proxy, owner: Owner) -> None:
        assert await proxy.begin("old", 1) is S.OK
        moved = Owner("old")
        server = await asyncio.start_server(moved.serve, "127.0.0.1", 0)
        proxy.go_by("old", at=server.sockets[0].getsockname()[:2])
        assert await proxy.begin("old", 2) is S.OK
        assert (owner.ran, moved.ran) == (["/lookup/1"], ["/lookup/2"])
        server.close()

    play(do)


def test_an_answer_under_way_while_the_list_gives_its_address_away_still_counts_and_its_connection_ends() -> None:
    async def do(proxy: Proxy, owner: Owner) -> None:
        ended = proxy.begin("old", 1)
        while not proxy.pool.all:
            await asyncio.sleep(0)
        proxy.go_by("new")
        assert await ended in (S.OK, S.CONNECT_FAILED)
        assert not proxy.pool.upstreams["new"].idle
        assert all(connection.closed for connection in proxy.pool.all)

    play(do)


@pytest.mark.parametrize("backend", SERVICE_OF)
def test_each_attempt_names_the_backend_that_it_is_meant_for(backend: str) -> None:
    """Also the second attempt of one request, at a backend of the same service elsewhere."""

    async def do(proxy: Proxy, owner: Owner) -> None:
        fields = [(b"host", b"h"), (b"x-attempt-id", b"i1"), (b"x-deadline-remaining", b"900")]
        asked = proxy.reader.read(b"POST", f"/{SERVICE_OF[backend]}/1".encode(), fields, b"")
        for attempt_at in (backend, f"{backend}-2"):
            sent = asked.render(0.5, attempt_at).lower()
            assert sent.count(b"x-expected-instance") == 1
            assert f"x-expected-instance: {attempt_at}\r\n".encode() in sent

    play(do)
