"""A stand-in router: a scripted BGP peer that writes down, with times, what it is told; it forwards by it."""

from __future__ import annotations

import asyncio

from fennelpoint.bgp.messages import Capabilities, Framer, Keepalive, Kind, Open, decode_other, encode
from fennelpoint.bgp.updates import Network, Terms, decode


class Router:
    """A scripted peer: it opens, keeps alive and writes down what it is told, and misbehaves when told to."""

    def __init__(self) -> None:
        self.routes: dict = {}
        self.events: list[tuple[float, str, object]] = []
        self.sessions = 0
        self.notices: list = []
        self.writers: list[asyncio.StreamWriter] = []
        self.reads = self.opens = True

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        framer, alive = Framer(), asyncio.create_task(self._keep_alive(writer))
        if self.opens:
            writer.write(encode(Open(65002, 9, 2, Capabilities(frozenset({(1, 1)}), 65002, True))))
        try:
            while data := await reader.read(4096):
                for kind, body in framer.receive(data):
                    self._take(kind, body, writer)
                while not self.reads:
                    await asyncio.sleep(0.01)
        except (ConnectionError, asyncio.CancelledError):
            pass
        alive.cancel()
        self.routes.clear()
        writer.close()

    async def _keep_alive(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2.0)
            if self.opens:
                writer.write(encode(Keepalive()))

    def _take(self, kind: Kind, body: bytes, writer: asyncio.StreamWriter) -> None:
        now = asyncio.get_running_loop().time()
        if kind is Kind.OPEN:
            writer.write(encode(Keepalive()))
            self.sessions += 1
        elif kind is Kind.UPDATE:
            told = decode(body, Terms())
            for network in told.withdrawn:
                self.routes.pop(network, None)
                self.events.append((now, "withdrawn", network))
            for network in told.announced:
                self.routes[network] = told.path
                self.events.append((now, "announced", network))
        elif kind is Kind.NOTIFICATION:
            self.notices.append(decode_other(kind, body))

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Forwarder:
    """Sends each connection on to the best next hop of an address, as a router would its packets.

    `hops` says where a next hop's listener is.  Best: the lowest MED of the shortest AS path.
    """

    def __init__(self, network: Network, routers: list[Router], hops: dict[str, tuple[str, int]]) -> None:
        self.network, self.routers, self.hops = network, routers, hops
        self.sent: list[tuple[float, str]] = []     # when, and to which next hop
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()

    def best(self) -> str | None:
        paths = [r.routes[self.network] for r in self.routers if self.network in r.routes]
        chosen = min(paths, key=lambda p: (len(p.as_path), p.med or 0), default=None)
        return str(chosen.next_hop) if chosen is not None else None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.add(asyncio.current_task())
        try:
            if (hop := self.best()) is None:
                return
            self.sent.append((asyncio.get_running_loop().time(), hop))
            there_in, there_out = await asyncio.open_connection(*self.hops[hop])
            try:
                await asyncio.wait([asyncio.create_task(_pipe(reader, there_out)),
                                    asyncio.create_task(_pipe(there_in, writer))],
                                   return_when=asyncio.FIRST_COMPLETED)
            finally:
                there_out.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(asyncio.current_task())

    def stop(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()


async def _pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(1 << 16):
            writer.write(data)
    except (OSError, asyncio.CancelledError):
        pass
