"""Carries out what the life-cycle finds due, for an ingress by itself and for a front of the whole system."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from fennelpoint.lifecycle import LifeCycle, Step
from fennelpoint.net.controller_host import ControllerHost
from fennelpoint.net.server import Server

LOOK = 0.05     # s between looks at what a drain or an end has left to do


class Leaving:
    """`look` is called after each move of the life-cycle; `ended` once all is answered and written."""

    def __init__(self, loop: asyncio.AbstractEventLoop, life: LifeCycle, server: Server, host: ControllerHost,
                 ended: Callable[[], None]) -> None:
        self.loop, self.life, self.server, self.host, self.ended = loop, life, server, host, ended
        self.looking = False

    def look(self) -> None:
        """Carry out what is due, and come again while it isn't simply serving."""
        if not self.looking:
            self._look()

    def _look(self) -> None:
        steps = self.life.due_steps(time.monotonic(), len(self.server.connections), self.host.unanswered_count)
        ends = Step.EXIT in steps
        self.looking = not self.life.keeps_connections and not ends
        # What comes next is arranged first: a step that fails must not keep the process from its end.
        if ends:
            self.loop.call_later(LOOK, self.ended)      # a turn of the loop more, for the last answers to be written
        elif self.looking:
            self.loop.call_later(LOOK, self._look)
        if Step.STOP_ACCEPTING in steps:
            self.server.stop_listening()
        if Step.CLOSE_IDLE in steps:
            self.server.close_idle()
        if Step.FAIL_OPEN in steps:
            self.host.fail_all()
