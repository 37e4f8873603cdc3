"""Heartbeats to the announcer on the same machine: the event loop runs, its readiness, and whether quotas hold.

Loaded only if the operator file has an `announce` section.  The event loop itself writes the heartbeats, so a loop
that hangs or spins sends none.  The announcer makes all decisions.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from fennelpoint.component import Component

HEARTBEAT_INTERVAL_S = 0.2
RECONNECT_DELAY_S = 0.5


class Heartbeat(Component, asyncio.Protocol):
    """The connection to the announcer; reconnects when it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                 status: Callable[[], tuple[str, bool]]) -> None:
        """`status` returns "up", "draining" or "starting", and whether quotas can be enforced."""
        self.loop, self.address, self.status = loop, address, status
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_closed = False

    async def start(self) -> None:
        self._connect()

    def _connect(self) -> None:
        if not self.is_closed:
            task = self.loop.create_task(self.loop.create_connection(lambda: self, *self.address))
            task.add_done_callback(self._on_connect_result)

    def _on_connect_result(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None and not self.is_closed:
            self.timer = self.loop.call_later(RECONNECT_DELAY_S, self._connect)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        state, has_quotas = self.status()
        quota_state = b"kept" if has_quotas else b"lost"
        self.transport.write(b"beat %d %s %s\n" % (os.getpid(), state.encode(), quota_state))
        self.timer = self.loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        if not self.is_closed:
            self.timer = self.loop.call_later(RECONNECT_DELAY_S, self._connect)

    def close(self) -> None:
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
