"""Carries out the steps of a drain or a shutdown, for a single ingress and for a proxy of the whole system."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from fennelpoint.lifecycle import LifeCycle, Step
from fennelpoint.net.controller_host import ControllerHost
from fennelpoint.net.server import Server

POLL_INTERVAL_S = 0.05  # between checks of a drain or shutdown in progress


class GracefulShutdown:
    """Call `check` after each change of the lifecycle's phase.

    `on_exit` is called once every request is answered and the answers are written, or the time for that is up.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, lifecycle: LifeCycle, server: Server, host: ControllerHost,
                 on_exit: Callable[[], None]) -> None:
        self.loop, self.lifecycle, self.server, self.host, self.on_exit = loop, lifecycle, server, host, on_exit
        self.is_polling = False

    def check(self) -> None:
        """Carry out the steps that are due, and poll until the process serves normally again or exits."""
        if not self.is_polling:
            self._check()

    def _check(self) -> None:
        steps = self.lifecycle.due_steps(time.monotonic(), len(self.server.connections), self.host.unanswered_count)
        exits = Step.EXIT in steps
        self.is_polling = not self.lifecycle.keeps_connections and not exits
        # Schedules first: a step that fails must not keep the process from exiting.
        if exits:
            self.loop.call_later(POLL_INTERVAL_S, self.on_exit)     # leaves time to write the last answers
        elif self.is_polling:
            self.loop.call_later(POLL_INTERVAL_S, self._check)
        if Step.STOP_ACCEPTING in steps:
            self.server.stop_listening()
        if Step.CLOSE_IDLE in steps:
            self.server.close_idle()
        if Step.FAIL_OPEN in steps:
            self.host.fail_all()
