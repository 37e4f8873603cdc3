"""The admin socket: a connection sends one command line and gets one line that begins with ACK or NAK.

The lifecycle decides what a command does.  Loaded only if an admin address is configured.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from fennelpoint.component import Component
from fennelpoint.lifecycle import Event, IllegalTransition, LifeCycle
from fennelpoint.rate_limited_log import log

MAX_LINE_BYTES = 128
LINE_TIMEOUT_S = 4.5        # for the command line to arrive
CLOSE_TIMEOUT_S = 0.5       # for the client to read the answer and close
COMMANDS = {"drain": Event.DRAIN, "resume": Event.RESUME}


def run_command(line: bytes, lifecycle: LifeCycle, now: float, describe_load: Callable[[], str]) -> tuple[str, bool]:
    """Run one command line; return the answer, and whether the lifecycle changed its phase."""
    try:
        command = line.decode("ascii").strip()
    except UnicodeDecodeError:
        return "NAK the call is not ASCII: ready, drain and resume are known", False
    if command == "ready":
        return f"{'ACK' if lifecycle.is_ready else 'NAK'} {lifecycle.phase.value}{describe_load()}", False
    if (event := COMMANDS.get(command)) is None:
        return "NAK no such call: ready, drain and resume are known", False
    phase_before = lifecycle.phase
    try:
        lifecycle.handle(event, now)
    except IllegalTransition as error:
        return f"NAK {error}", False
    return f"ACK {lifecycle.phase.value}{describe_load()}", lifecycle.phase is not phase_before


class AdminConnection(asyncio.Protocol):
    """One connection to the admin socket."""

    def __init__(self, admin_socket: AdminSocket) -> None:
        self.admin_socket, self.line, self.is_answered = admin_socket, b"", False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = self.admin_socket.loop.call_later(LINE_TIMEOUT_S, transport.abort)
        self.admin_socket.add(self)

    def data_received(self, data: bytes) -> None:
        if self.is_answered:
            return
        self.line += data
        line, end, _ = self.line.partition(b"\n")
        if end and len(line) <= MAX_LINE_BYTES:
            self._reply(self.admin_socket.execute(line))
        elif len(self.line) > MAX_LINE_BYTES:
            self._reply("NAK the line is too long")

    def eof_received(self) -> bool:
        if not self.is_answered:    # a last line without a newline counts; a partial command matches none
            self._reply(self.admin_socket.execute(self.line) if self.line else "NAK nothing was called")
        return True             # keeps the transport open until the answer is written

    def _reply(self, text: str) -> None:
        self.is_answered, self.line = True, b""
        self.transport.write(text.encode() + b"\n")
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = self.admin_socket.loop.call_later(CLOSE_TIMEOUT_S, self.transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.admin_socket.connections.pop(self, None)


class AdminSocket(Component):
    """The listener for admin connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], lifecycle: LifeCycle, name: str,
                 max_connections: int, on_phase_change: Callable[[], None],
                 describe_load: Callable[[], str] = lambda: "") -> None:
        """Over `max_connections`, the oldest connection is closed.

        `on_phase_change` is called after a command that changed the phase; `describe_load` returns figures that are
        appended to the answer.
        """
        self.loop, self.address, self.lifecycle, self.name, self.max_connections = (
            loop, address, lifecycle, name, max_connections)
        self.on_phase_change, self.describe_load = on_phase_change, describe_load
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        self.listener = await self.loop.create_server(lambda: AdminConnection(self), *self.address, backlog=128,
                                                      reuse_address=True)

    def add(self, connection: AdminConnection) -> None:
        """Add a connection; over the limit, close the oldest: silent ones must not use up descriptors."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()

    def execute(self, line: bytes) -> str:
        """Run a command, log and report a change of the phase, and return the answer."""
        text, has_new_phase = run_command(line, self.lifecycle, time.monotonic(), self.describe_load)
        if has_new_phase:
            log.info("%s: admin command changed the phase: %s", self.name, text)
            self.on_phase_change()
        return text

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
