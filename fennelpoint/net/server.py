"""The listening socket of a server and its client connections: their time-outs, and which are closed for room."""

from __future__ import annotations

import asyncio
import socket
import time
from itertools import takewhile

from fennelpoint.file_descriptors import MIN_SILENT_S, Evictable, Plan, choose_eviction
from fennelpoint.lifecycle import LifeCycle
from fennelpoint.net.client_connection import ClientConnection
from fennelpoint.net.controller_host import ControllerHost
from fennelpoint.net.request_parser import RequestReader
from fennelpoint.net.socket_state import has_closed, has_unread_input

HEAD_TIMEOUT_S = 2.5                # for a whole request, from the connect or from its first byte
IDLE_TIMEOUT_S = 5.0                # for a connection without an open request
LINGER_TIMEOUT_S = 0.5              # reads on after the last response, since a reset would discard that response
ACCEPT_BACKLOG = 1024               # connections waiting to be accepted


class Server:
    """The listening socket and its client connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: ControllerHost, descriptor_plan: Plan,
                 lifecycle: LifeCycle, reader: RequestReader | None = None) -> None:
        self.loop, self.host, self.descriptor_plan, self.lifecycle = loop, host, descriptor_plan, lifecycle
        self.reader = reader or RequestReader(host.settings)
        self.connections: set[ClientConnection] = set()
        # State queues of the connections without an open request, oldest first; the others are in no queue.
        self.awaiting_request: dict[ClientConnection, None] = {}    # new, without a byte of a request
        self.receiving_head: dict[ClientConnection, None] = {}      # with a request head that is incomplete
        self.idle_after_one: dict[ClientConnection, None] = {}      # idle after their first request
        self.idle: dict[ClientConnection, None] = {}                # idle after several requests
        self.closing: dict[ClientConnection, None] = {}             # the last response is written
        self.receiving_body: dict[ClientConnection, None] = {}      # with an incomplete body, request open or not
        self.streaming: dict[ClientConnection, None] = {}           # in any state, with a response that is streamed
        self.listener: asyncio.Server | None = None
        self.head_timeout_s, self.idle_timeout_s = HEAD_TIMEOUT_S, IDLE_TIMEOUT_S

    async def listen(self, address: tuple[str, int] | socket.socket) -> None:
        """Listen on an address, or on an inherited socket that listens already."""
        options = {"sock": address} if isinstance(address, socket.socket) else {
            "host": address[0], "port": address[1], "reuse_address": True}
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), backlog=ACCEPT_BACKLOG, **options)

    def evict_excess(self) -> None:
        """Close connections over the descriptor limit: only ones without an open request, by `choose_eviction`."""
        excess = len(self.connections) - self.descriptor_plan.clients
        queues = {Evictable.CLOSING: self.closing, Evictable.SILENT: self.awaiting_request,
                  Evictable.USED_ONCE: self.idle_after_one, Evictable.REUSED: self.idle,
                  Evictable.PARTIAL_HEAD: self.receiving_head}
        for _ in range(excess):
            oldest = {kind: next(iter(queue)).state_entered_at for kind, queue in queues.items() if queue}
            if (kind := choose_eviction(oldest, time.monotonic())) is None:
                return
            connection = next(iter(queues[kind]))
            if kind in (Evictable.USED_ONCE, Evictable.REUSED) and has_unread_input([connection.transport]):
                connection._enter_queue(queues[kind])   # a request has arrived: it is read in this turn of the loop
                continue
            # Removed at once, so that it is counted once: the loop reports the close only later.
            connection._enter_queue(None)
            self.connections.discard(connection)
            if kind in (Evictable.USED_ONCE, Evictable.REUSED):
                connection.transport.close()
            else:
                connection.transport.abort()

    def sweep(self) -> None:
        """Apply the time-outs; to be called periodically."""
        now = time.monotonic()
        for queue, timeout in ((self.awaiting_request, self.head_timeout_s), (self.idle, self.idle_timeout_s),
                               (self.idle_after_one, self.idle_timeout_s), (self.closing, LINGER_TIMEOUT_S)):
            for connection in list(takewhile(lambda c: c.state_entered_at < now - timeout, queue)):  # noqa: B023
                connection.handle_timeout()
        for connection in [c for c in self.receiving_head if c.state_entered_at < now - self.head_timeout_s]:
            connection.handle_timeout()
        for connection in [c for c in self.receiving_body if c.pace is not None and c.pace.is_too_slow(now)]:
            connection.handle_timeout()
        for connection in [c for c in self.streaming if not c.is_client_reading(now)]:
            connection.transport.abort()
        for transport in has_closed([c.transport for c in self.receiving_body if c.is_read_paused]):
            transport.abort()   # disconnected, as in `ClientConnection.eof_received`

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.abort()

    def close_idle(self) -> None:
        """Close the connections without an open request, except ones with unread input.

        A request may cross the close: input that the kernel holds is read in this turn of the loop.  A new
        connection has `MIN_SILENT_S` to send its request.
        """
        opened_before = time.monotonic() - MIN_SILENT_S
        connections = [*self.idle_after_one, *self.idle,
                       *(c for c in self.awaiting_request if c.state_entered_at < opened_before)]
        transports = [connection.transport for connection in connections]
        having_input = has_unread_input(transports)
        for transport in transports:
            if transport not in having_input:
                transport.close()
