"""The ingress's own word to the announcer beside it: its loop goes on, is ready, and can keep quotas.

Loaded only where the operator file has an `announce` section.  The word is written by the loop itself, so one
that hangs or spins says nothing; nothing here decides anything.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from fennelpoint.component import Component

EVERY = 0.2     # s between two beats
AGAIN = 0.5     # s between two tries to reach the announcer


class Beat(Component, asyncio.Protocol):
    """One connection to the announcer, made anew when it ends."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                 word: Callable[[], tuple[str, bool]]) -> None:
        """`word` gives up, draining or starting, and whether quotas can be kept."""
        self.loop, self.address, self.word = loop, address, word
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    async def start(self) -> None:
        self._connect()

    def _connect(self) -> None:
        if not self.closed:
            task = self.loop.create_task(self.loop.create_connection(lambda: self, *self.address))
            task.add_done_callback(self._tried)

    def _tried(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None and not self.closed:
            self.timer = self.loop.call_later(AGAIN, self._connect)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._beat()

    def _beat(self) -> None:
        state, quotas = self.word()
        told = b"kept" if quotas else b"lost"
        self.transport.write(b"beat %d %s %s\n" % (os.getpid(), state.encode(), told))
        self.timer = self.loop.call_later(EVERY, self._beat)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        if not self.closed:
            self.timer = self.loop.call_later(AGAIN, self._connect)

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
