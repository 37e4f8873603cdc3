"""Persistent connections between the processes of the system; a peer is named by role and address: `roll@10.1.0.11`.

`Mesh.send` uses the connection that this process dialled, or else one that the peer dialled.  A message to a peer
without a connection is dropped, since every sender repeats what matters.  The mesh aborts a connection on which
nothing arrives for `SILENCE_TIMEOUT_S` and dials the peer again.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
import traceback
from collections.abc import Callable

from fennelpoint.connecting import connect
from fennelpoint.system.events import Event, log_event
from fennelpoint.system.frames import BadFrame, Unpacker, pack

ROLES = ("writ", "roll", "span")     # in the order of their internal ports
CONNECT_TIMEOUT_S, PING_INTERVAL_S, SILENCE_TIMEOUT_S = 0.6, 0.7, 1.6
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.1, 0.8     # between attempts to connect
MAX_WRITE_BUFFER_BYTES = 24 * 1024 * 1024   # the connection to a peer that leaves more unread is aborted


def peer_name(role: str, ip: str) -> str:
    """Returns the name of the process with this role on this machine."""
    return f"{role}@{ip}"


def ip_of(peer: str) -> str:
    """Returns the IP address of a peer by its name."""
    return peer.partition("@")[2]


class PeerConnection(asyncio.Protocol):
    """One connection; the side that dialled names itself in its first message, `hello`."""

    def __init__(self, mesh: Mesh, peer: str | None = None) -> None:
        self.mesh, self.peer, self.dialled = mesh, peer, peer is not None
        self.unpacker, self.transport, self.last_received_at = Unpacker(), None, time.monotonic()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENCE_TIMEOUT_S * 1000))
        self.mesh.connections.add(self)
        if self.dialled:
            self.write(["hello", self.mesh.own_name])
            self.mesh.connection_up(self)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            for message in self.unpacker.feed(data):
                self.handle_message(message)
        except (BadFrame, IndexError) as error:
            log_event(Event.CRASHED, where=f"message from {self.peer}", reason=error)
            self.transport.abort()

    def handle_message(self, message: list) -> None:
        """Handles one message of the peer; those before its `hello` are dropped."""
        if message[0] == "hello" and not self.dialled:
            self.peer = str(message[1])
            self.mesh.connection_up(self)
        elif message[0] != "ping" and self.peer is not None:
            self.mesh.handle_message(self.peer, message)

    def write(self, message: list) -> None:
        """Sends a message, or aborts the connection where the peer leaves too much unread."""
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            return self.transport.abort()
        self.transport.write(pack(message))

    def connection_lost(self, error: Exception | None) -> None:
        self.mesh.connections.discard(self)
        self.mesh.connection_down(self)


class Mesh:
    """All persistent connections of one process.

    `on_message` gets the name of the peer and each of its messages, `on_peer_change` the name of a peer and whether
    it is connected.  `on_refused` gets the name of a peer at whose address nothing listens, and when this process
    dialled it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, role: str, ip: str, ports: tuple[int, int],
                 on_message: Callable[[str, list], None],
                 on_peer_change: Callable[[str, bool], None] = lambda peer, is_up: None,
                 max_reconnect_delay_s: float = MAX_RECONNECT_DELAY_S,
                 on_refused: Callable[[str, float], None] = lambda peer, dialled_at: None) -> None:
        self.loop, self.own_name, self.ip, self.ports = loop, peer_name(role, ip), ip, ports
        self.role, self.on_message, self.on_peer_change, self.max_reconnect_delay_s = (
            role, on_message, on_peer_change, max_reconnect_delay_s)
        self.on_refused = on_refused
        self.connections: set[PeerConnection] = set()
        self.connections_by_peer: dict[str, list[PeerConnection]] = {}     # those that this process dialled first
        self.dial_tasks: dict[str, asyncio.Task] = {}  # by peer
        self.listener: asyncio.Server | None = None

    def port(self, role: str) -> int:
        """Returns the internal port of a role."""
        return self.ports[0] + ROLES.index(role)

    async def start(self) -> None:
        """Starts to listen for peers and to ping them."""
        self.listener = await self.loop.create_server(
            lambda: PeerConnection(self), self.ip, self.port(self.role), backlog=256, reuse_address=True)
        self.loop.call_later(PING_INTERVAL_S, self._ping)

    def dial(self, peers: set[str]) -> None:
        """Keeps connections to these peers from now on, and drops those that were dialled to others."""
        for peer in list(self.dial_tasks):
            if peer not in peers:
                self.dial_tasks.pop(peer).cancel()
                for connection in list(self.connections_by_peer.get(peer, ())):
                    if connection.dialled:
                        connection.transport.abort()
        for peer in peers:
            if peer not in self.dial_tasks and peer != self.own_name:
                self.dial_tasks[peer] = self.loop.create_task(self._maintain(peer))

    async def _maintain(self, peer: str) -> None:
        """Dials a peer again whenever the connection to it is lost."""
        role, _, ip = peer.partition("@")
        delay = MIN_RECONNECT_DELAY_S
        while True:
            if self.connections_by_peer.get(peer) and peer < self.own_name:
                # The connection that the peer dialled serves both sides.  No side waits to be dialled: its peers may
                # not know a new process yet.
                await asyncio.sleep(0.2)
                continue
            connection, dialled_at = PeerConnection(self, peer), time.monotonic()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await connect(self.loop, lambda connection=connection: connection, ip, self.port(role))
            except (OSError, TimeoutError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.on_refused(peer, dialled_at)
                await asyncio.sleep(delay * random.uniform(0.7, 1.3))
                delay = min(self.max_reconnect_delay_s, delay * 1.5)
                continue
            delay = MIN_RECONNECT_DELAY_S
            while connection in self.connections:
                await asyncio.sleep(0.1)

    def connection_up(self, connection: PeerConnection) -> None:
        """Registers a connection whose peer is known."""
        connections = self.connections_by_peer.setdefault(connection.peer, [])
        (connections.insert(0, connection) if connection.dialled or not any(other.dialled for other in connections)
         else connections.append(connection))
        self.on_peer_change(connection.peer, True)

    def connection_down(self, connection: PeerConnection) -> None:
        """Removes a connection that is lost."""
        connections = self.connections_by_peer.get(connection.peer, [])
        if connection in connections:
            connections.remove(connection)
            if not connections:
                del self.connections_by_peer[connection.peer]
                self.on_peer_change(connection.peer, False)

    def handle_message(self, peer: str, message: list) -> None:
        """Passes a message on to `on_message`."""
        try:
            self.on_message(peer, message)
        except Exception:   # a defect loses this message, but does not end the process
            log_event(Event.CRASHED, where=f"{message[0]} from {peer}", reason=traceback.format_exc(limit=-4))

    def send(self, peer: str, message: list) -> bool:
        """Sends a message; returns whether there was a connection to write it to."""
        if peer == self.own_name:
            self.loop.call_soon(self.handle_message, peer, message)
            return True
        connections = self.connections_by_peer.get(peer)
        if not connections:
            return False
        connections[0].write(message)
        return True

    def _ping(self) -> None:
        self.loop.call_later(PING_INTERVAL_S, self._ping)
        now = time.monotonic()
        for connection in list(self.connections):
            if connection.last_received_at < now - SILENCE_TIMEOUT_S:
                connection.transport.abort()
            else:
                connection.transport.write(_PING_FRAME)

    def close(self) -> None:
        """Stops dialling and listening, and aborts all connections."""
        for task in self.dial_tasks.values():
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()


_PING_FRAME = pack(["ping"])
