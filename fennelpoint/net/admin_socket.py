"""The operators' door: one line to a connection, one line back that begins with ACK or NAK.

Nothing is decided here: the life-cycle says what a call does.  Loaded only where there is a door.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from fennelpoint.component import Component
from fennelpoint.lifecycle import Event, IllegalTransition, LifeCycle
from fennelpoint.rate_limited_log import log

MOST_LINE = 128     # bytes
PATIENCE = 4.5      # s for a caller to say its line
LINGER = 0.5        # s for it to read the answer and close
CALLS = {"drain": Event.DRAIN, "resume": Event.RESUME}


def answer(line: bytes, life: LifeCycle, now: float, stand: Callable[[], str]) -> tuple[str, bool]:
    """What a call does, and its answer; whether it moved the life-cycle."""
    try:
        word = line.decode("ascii").strip()
    except UnicodeDecodeError:
        return "NAK the call is not ASCII: ready, drain and resume are known", False
    if word == "ready":
        return f"{'ACK' if life.is_ready else 'NAK'} {life.phase.value}{stand()}", False
    if (event := CALLS.get(word)) is None:
        return "NAK no such call: ready, drain and resume are known", False
    before = life.phase
    try:
        life.handle(event, now)
    except IllegalTransition as error:
        return f"NAK {error}", False
    return f"ACK {life.phase.value}{stand()}", life.phase is not before


class Caller(asyncio.Protocol):
    """One connection to the door."""

    def __init__(self, door: Door) -> None:
        self.door, self.line, self.done = door, b"", False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = self.door.loop.call_later(PATIENCE, transport.abort)
        self.door.take(self)

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        self.line += data
        line, end, _ = self.line.partition(b"\n")
        if end and len(line) <= MOST_LINE:
            self._say(self.door.call(line))
        elif len(self.line) > MOST_LINE:
            self._say("NAK the line is too long")

    def eof_received(self) -> bool:
        if not self.done:       # a last line without its end counts; half a call is none
            self._say(self.door.call(self.line) if self.line else "NAK nothing was called")
        return True             # the answer is still on its way

    def _say(self, text: str) -> None:
        self.done, self.line = True, b""
        self.transport.write(text.encode() + b"\n")
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = self.door.loop.call_later(LINGER, self.transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.door.callers.pop(self, None)


class Door(Component):
    """The listener for the operators' calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], life: LifeCycle, name: str,
                 most: int, moved: Callable[[], None], stand: Callable[[], str] = lambda: "") -> None:
        """`most` callers at a time: the oldest makes room.

        `moved` is told after a call that changed the phase; `stand` gives figures for the answer.
        """
        self.loop, self.address, self.life, self.name, self.most = loop, address, life, name, most
        self.moved, self.stand = moved, stand
        self.callers: dict[Caller, None] = {}   # the oldest first
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        self.listener = await self.loop.create_server(lambda: Caller(self), *self.address, backlog=128,
                                                      reuse_address=True)

    def take(self, caller: Caller) -> None:
        """Guards the descriptors: callers that say nothing cost a later one no answer."""
        self.callers[caller] = None
        if len(self.callers) > self.most:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()

    def call(self, line: bytes) -> str:
        text, moved = answer(line, self.life, time.monotonic(), self.stand)
        if moved:
            log.info("%s is told at its door: %s", self.name, text)
            self.moved()
        return text

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            caller.transport.abort()
