"""What every owner of a decision module does for it alike: its clock, its timers, its counter calls."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from fennelpoint import interface as api
from fennelpoint.net.counter import Counter

EARLY = 0.0005  # s by which a timer may ring ahead of its time


class Clock:
    """Unix time that only goes forward: the wall clock is read once, so that a step of it is not seen."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return time.monotonic() + self.offset


class Driver:
    """Carries out SetTimer and Count; what comes of them goes to `post`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, counter: Counter | None,
                 post: Callable[[api.Event], None]) -> None:
        self.loop, self.clock, self.counter, self.post = loop, clock, counter, post

    def set_timer(self, timer: api.SetTimer) -> None:
        self.loop.call_later(timer.delay, self._ring, self.clock() + timer.delay, timer.token)

    def _ring(self, at: float, token: int) -> None:
        if (left := at - self.clock()) > EARLY:     # the loop counts in whole milliseconds
            self.loop.call_later(left, self._ring, at, token)
        else:
            self.post(api.TimerDue(token))

    def count(self, count: api.Count) -> None:
        if self.counter is not None:
            return self.counter.call(count.name, count.amount, count.forget_after, self.post)
        self.post(api.CounterReply(count.name, api.Status.CONNECT_FAILED, 0.0, 0.0))
