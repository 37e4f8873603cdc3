"""Held connections between our processes, by name: `roll@10.1.0.11`.

`Mesh.send` goes over our own connection to a peer, or over the one by which it came to us; a message that has no
way is dropped, as every sender repeats what matters.  A peer that says nothing for a while is left and dialled anew.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
import traceback
from collections.abc import Callable

from fennelpoint.connecting import connect
from fennelpoint.system.events import Event, say
from fennelpoint.system.frames import BadFrame, Unpacker, pack

ROLES = ("writ", "roll", "span")     # in the order of their internal ports
CONNECT, PING, SILENT = 0.6, 0.7, 1.6   # s
AGAIN, AGAIN_MOST = 0.1, 0.8        # s between tries of a connect
MOST_BEHIND = 24 * 1024 * 1024      # bytes that a peer leaves unread before it is left


def name(role: str, ip: str) -> str:
    return f"{role}@{ip}"


def ip_of(peer: str) -> str:
    return peer.partition("@")[2]


class Wire(asyncio.Protocol):
    """One connection; the first message says who speaks."""

    def __init__(self, mesh: Mesh, peer: str | None = None) -> None:
        self.mesh, self.peer, self.dialled = mesh, peer, peer is not None
        self.unpacker, self.transport, self.heard = Unpacker(), None, time.monotonic()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        held = transport.get_extra_info("socket")
        held.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENT * 1000))
        self.mesh.wires.add(self)
        if self.dialled:
            self.write(["hello", self.mesh.me])
            self.mesh.up(self)

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        try:
            for message in self.unpacker.feed(data):
                self.take(message)
        except (BadFrame, IndexError) as error:
            say(Event.CRASHED, where=f"message of {self.peer}", reason=error)
            self.transport.abort()

    def take(self, message: list) -> None:
        """One message of the peer's."""
        if message[0] == "hello" and not self.dialled:
            self.peer = str(message[1])
            self.mesh.up(self)
        elif message[0] != "ping" and self.peer is not None:
            self.mesh.take(self.peer, message)

    def write(self, message: list) -> None:
        if self.transport.get_write_buffer_size() > MOST_BEHIND:
            return self.transport.abort()
        self.transport.write(pack(message))

    def connection_lost(self, error: Exception | None) -> None:
        self.mesh.wires.discard(self)
        self.mesh.down(self)


class Mesh:
    """All held connections of one process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, role: str, ip: str, ports: tuple[int, int],
                 take: Callable[[str, list], None],
                 changed: Callable[[str, bool], None] = lambda peer, up: None, most: float = AGAIN_MOST,
                 refused: Callable[[str, float], None] = lambda peer, dialled_at: None) -> None:
        self.loop, self.me, self.ip, self.ports = loop, name(role, ip), ip, ports
        self.role, self._take, self.changed, self.most = role, take, changed, most
        self.refused = refused  # a peer's machine says that nothing listens there; dialled at that time
        self.wires: set[Wire] = set()
        self.ways: dict[str, list[Wire]] = {}   # by peer, our own first
        self.dialling: dict[str, asyncio.Task] = {}
        self.listener: asyncio.Server | None = None

    def port(self, role: str) -> int:
        return self.ports[0] + ROLES.index(role)

    async def start(self) -> None:
        self.listener = await self.loop.create_server(
            lambda: Wire(self), self.ip, self.port(self.role), backlog=256, reuse_address=True)
        self.loop.call_later(PING, self._ping)

    def dial(self, peers: set[str]) -> None:
        """Hold connections to these from now on, and to no others."""
        for peer in list(self.dialling):
            if peer not in peers:
                self.dialling.pop(peer).cancel()
                for wire in list(self.ways.get(peer, ())):
                    if wire.dialled:
                        wire.transport.abort()
        for peer in peers:
            if peer not in self.dialling and peer != self.me:
                self.dialling[peer] = self.loop.create_task(self._keep(peer))

    async def _keep(self, peer: str) -> None:
        role, _, ip = peer.partition("@")
        pause = AGAIN
        while True:
            if self.ways.get(peer) and peer < self.me:
                # Theirs does for both.  Nobody waits to be dialled: a newcomer is not known to the others yet.
                await asyncio.sleep(0.2)
                continue
            wire, dialled_at = Wire(self, peer), time.monotonic()
            try:
                async with asyncio.timeout(CONNECT):
                    await connect(self.loop, lambda wire=wire: wire, ip, self.port(role))
            except (OSError, TimeoutError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.refused(peer, dialled_at)
                await asyncio.sleep(pause * random.uniform(0.7, 1.3))
                pause = min(self.most, pause * 1.5)
                continue
            pause = AGAIN
            while wire in self.wires:
                await asyncio.sleep(0.1)

    def up(self, wire: Wire) -> None:
        ways = self.ways.setdefault(wire.peer, [])
        ways.insert(0, wire) if wire.dialled or not any(w.dialled for w in ways) else ways.append(wire)
        self.changed(wire.peer, True)

    def down(self, wire: Wire) -> None:
        ways = self.ways.get(wire.peer, [])
        if wire in ways:
            ways.remove(wire)
            if not ways:
                del self.ways[wire.peer]
                self.changed(wire.peer, False)

    def take(self, peer: str, message: list) -> None:
        try:
            self._take(peer, message)
        except Exception:   # a defect costs the message, not the process
            say(Event.CRASHED, where=f"{message[0]} of {peer}", reason=traceback.format_exc(limit=-4))

    def send(self, peer: str, message: list) -> bool:
        """Whether it went out."""
        if peer == self.me:
            self.loop.call_soon(self.take, peer, message)
            return True
        ways = self.ways.get(peer)
        if not ways:
            return False
        ways[0].write(message)
        return True

    def _ping(self) -> None:
        self.loop.call_later(PING, self._ping)
        now = time.monotonic()
        for wire in list(self.wires):
            if wire.heard < now - SILENT:
                wire.transport.abort()
            else:
                wire.transport.write(_PING)

    def close(self) -> None:
        for task in self.dialling.values():
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        for wire in list(self.wires):
            wire.transport.abort()


_PING = pack(["ping"])
