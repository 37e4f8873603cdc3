"""The runtime that each owner of a decision module gives it: clock, timers, calls to the counter."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from fennelpoint import interface as api
from fennelpoint.net.counter import Counter

TIMER_TOLERANCE_S = 0.0005  # by which a timer may fire early


class Clock:
    """Unix time that never goes backwards: the wall clock is read once, so that its later steps have no effect."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return time.monotonic() + self.offset


class Driver:
    """Carries out the SetTimer and Count actions; passes the resulting events to `post`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, counter: Counter | None,
                 post: Callable[[api.Event], None]) -> None:
        self.loop, self.clock, self.counter, self.post = loop, clock, counter, post

    def set_timer(self, timer: api.SetTimer) -> None:
        self.loop.call_later(timer.delay, self._fire, self.clock() + timer.delay, timer.token)

    def _fire(self, due_at: float, token: int) -> None:
        if (left_s := due_at - self.clock()) > TIMER_TOLERANCE_S:   # the loop counts in whole milliseconds
            self.loop.call_later(left_s, self._fire, due_at, token)
        else:
            self.post(api.TimerDue(token))

    def count(self, count: api.Count) -> None:
        if self.counter is not None:
            return self.counter.call(count.name, count.amount, count.forget_after, self.post)
        self.post(api.CounterReply(count.name, api.Status.CONNECT_FAILED, 0.0, 0.0))
