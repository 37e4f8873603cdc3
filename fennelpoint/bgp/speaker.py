"""The sockets of the speaker: carries what happens on them to `session.Peer`, and its actions out."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from fennelpoint.bgp.messages import Cease, Notification, shutdown
from fennelpoint.bgp.session import Action, Close, Connect, Neighbor, Peer, Send, Went
from fennelpoint.bgp.updates import Network, Path
from fennelpoint.rate_limited_log import log

CONNECT_TIMEOUT = 5.0   # s
MOST_UNREAD = 1 << 18   # bytes that a peer may leave unread before its connection is ended
SOONEST = 0.001         # s between two looks at the timers


class Connection(asyncio.Protocol):
    """One TCP connection with a peer; `number` is its link's, none until a peer has taken it."""

    def __init__(self, runner: Runner | None, number: int = 0) -> None:
        self.runner, self.number = runner, number
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if self.runner is not None:     # before its first bytes come
            self.runner.connected(self)

    def data_received(self, data: bytes) -> None:
        if self.runner is not None:
            self.runner.do(self.runner.peer.received(self.number, data, time.monotonic()))

    def connection_lost(self, error: Exception | None) -> None:
        if self.runner is not None:
            self.runner.ended(self.number)


class Runner:
    """One peer's connections and timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], neighbor: Neighbor,
                 seed: int) -> None:
        self.loop, self.address, self.peer = loop, address, Peer(neighbor, seed)
        self.connections: dict[int, Connection] = {}
        self.tasks: dict[int, asyncio.Task] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.last_change = 0.0      # monotonic, of the session
        self.sent = 0               # UPDATEs and other messages
        self.heard: Callable[[bool], None] = lambda up: None

    def start(self) -> None:
        self.do(self.peer.start(time.monotonic()))

    def stop(self, notice: Notification | None = None) -> None:
        self.do(self.peer.stop(time.monotonic(), notice))
        if self.timer is not None:
            self.timer.cancel()

    def tell(self, wanted: Mapping[Network, Path]) -> None:
        self.do(self.peer.tell(wanted))

    def accept(self, connection: Connection) -> None:
        """A connection from the peer's address."""
        now = time.monotonic()
        number, actions = self.peer.accepted(now)
        connection.runner, connection.number = self, number
        self.connections[number] = connection
        self.do(actions)

    def connected(self, connection: Connection) -> None:
        """A connection that was asked for is up."""
        self.connections[connection.number] = connection
        self.do(self.peer.connected(connection.number, time.monotonic()))

    def ended(self, number: int) -> None:
        if self.connections.pop(number, None) is not None:
            self.do(self.peer.lost(number, time.monotonic()))

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Connect):
                task = self.tasks[action.link] = self.loop.create_task(self._connect(action.link))
                task.add_done_callback(lambda _, link=action.link: self.tasks.pop(link, None))
            elif isinstance(action, Close):
                self._close(action.link)
            elif isinstance(action, Went):
                self.last_change = time.monotonic()
                log.info("the session with %s:%d is %s", *self.address, "up" if action.up else
                         f"down: {action.why}")
                self.heard(action.up)
        self._set_timer()

    def _send(self, action: Send) -> None:
        connection = self.connections.get(action.link)
        if connection is None or connection.transport is None:
            return
        self.sent += 1
        connection.transport.write(action.data)
        if connection.transport.get_write_buffer_size() > MOST_UNREAD:
            connection.transport.abort()    # its end comes back as an event

    def _close(self, number: int) -> None:
        if (task := self.tasks.pop(number, None)) is not None:
            task.cancel()
        if (connection := self.connections.pop(number, None)) is not None and connection.transport:
            connection.transport.close()    # what was written, a NOTIFICATION perhaps, goes out first

    async def _connect(self, link: int) -> None:
        connection = Connection(self, link)
        try:
            await asyncio.wait_for(
                self.loop.create_connection(lambda: connection, *self.address), CONNECT_TIMEOUT)
        except (OSError, TimeoutError):
            return self.do(self.peer.lost(link, time.monotonic()))
    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = self.peer.due()
        self.timer = None if due == float("inf") else self.loop.call_later(
            max(SOONEST, due - time.monotonic()), self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.do(self.peer.tick(time.monotonic()))


class Speaker:
    """All peers, and the listener for those that connect."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.runners: dict[tuple[str, int], Runner] = {}
        self.server: asyncio.Server | None = None
        self.wanted: dict[Network, Path] = {}

    async def listen(self, host: str, port: int) -> int:
        """Take connections of peers; the port."""
        self.server = await self.loop.create_server(lambda: _Incoming(self), host, port)
        return self.server.sockets[0].getsockname()[1]

    def follow(self, peers: Mapping[tuple[str, int], Neighbor]) -> None:
        """Go by these peers: those that stay as they were keep their sessions."""
        for address in [a for a, r in self.runners.items() if peers.get(a) != r.peer.neighbor]:
            self.runners.pop(address).stop(shutdown(Cease.PEER_DECONFIGURED))
        for address, neighbor in peers.items():
            if address not in self.runners:
                runner = self.runners[address] = Runner(self.loop, address, neighbor, hash(address) & 0xFFFF)
                runner.tell(self.wanted)
                runner.start()

    def tell(self, wanted: Mapping[Network, Path]) -> None:
        """What all peers are to know."""
        if wanted != self.wanted:
            self.wanted = dict(wanted)
            for runner in self.runners.values():
                runner.tell(wanted)

    def stop(self, words: str = "") -> None:
        if self.server is not None:
            self.server.close()
        for runner in self.runners.values():
            runner.stop(shutdown(Cease.SHUTDOWN, words))


class _Incoming(Connection):
    """A connection that some peer made: known by the host that it comes from."""

    def __init__(self, speaker: Speaker) -> None:
        super().__init__(None)
        self.speaker = speaker

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        host = transport.get_extra_info("peername")[0]
        runner = next((r for (known, _), r in self.speaker.runners.items() if known == host), None)
        if runner is None:
            return transport.abort()
        runner.accept(self)
