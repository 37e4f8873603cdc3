"""Calls to the counter: one persistent connection, calls written one behind another.

Answers come in the order of the calls and belong to them by nothing else, so an answer that comes after
its call was given up must still be taken off the line, and an answer that can't be read ends the
connection: nothing behind it can be told apart.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from fennelpoint.connecting import connect
from fennelpoint.interface import CounterReply, Status
from fennelpoint.rate_limited_log import complain

CALL_TIMEOUT = 0.05     # s, where the settings tell none
CONNECT_TIMEOUT = 0.25  # s
SILENT = 1.0            # s without an answer that is due: the counter is silent
LINE_SILENT = 3.0       # time-outs without one: the connection is dead, though it looks open
IDLE = 3.0              # s after which it is closed from here, before the counter does
PAUSE = 0.1             # s between two connects where the last failed
MOST_LINE, MOST_CALLS = 256, 10_000  # bytes without a line's end; calls on the line

Tell = Callable[[CounterReply], None]


@dataclass(slots=True, eq=False)
class Call:
    name: int
    line: bytes
    at: float
    tell: Tell | None       # none once the caller knows how it ended
    owner: Counter

    def end(self, status: Status, total: float = 0.0) -> None:
        if status in (Status.OK, Status.FULL):
            self.owner.unanswered_since = None
        elif self.owner.unanswered_since is None:
            self.owner.unanswered_since = time.monotonic()
        if (tell := self.tell) is not None:
            self.tell = None
            tell(CounterReply(self.name, status, total, time.monotonic() - self.at))


def amount_text(amount: float) -> bytes:
    """A plain decimal number: the counter reads no exponents."""
    return f"{amount:.6f}".rstrip("0").rstrip(".").encode()


class Counter:
    """The shared counter as its one connection at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int, timeout: float) -> None:
        self.loop, self.host, self.port, self.timeout = loop, host, port, timeout or CALL_TIMEOUT
        self.line: CounterLine | None = None
        self.leaving: set[CounterLine] = set()  # at an address before this one, with calls to be answered
        self.connecting: asyncio.Task | None = None
        self.not_before = 0.0
        self.unsent: deque[Call] = deque()
        self.told: deque[Call] = deque()        # all calls in their order, to end those in time
        self.timer: asyncio.TimerHandle | None = None
        self.unanswered_since: float | None = None  # of calls, none of which was answered since
        self.unheard = 0        # connections in a row that were left as silent

    @property
    def answers(self) -> bool:
        """Whether calls are answered; also while there are none."""
        since = self.unanswered_since
        return since is None or time.monotonic() - since < SILENT

    @property
    def patience(self) -> float:
        """Seconds without an answer that is due after which a connection is left for a new one.

        A few time-outs, by the counter's own: what is called meanwhile may or may not have been added, so
        each second of it is use that nobody is told of.  Twice as long after each connection in a row that
        said nothing: guards a counter that is slow, or down, against a client that only reconnects.
        """
        return max(self.timeout, min(SILENT, LINE_SILENT * self.timeout * 2.0 ** min(self.unheard, 10)))

    def call(self, name: int, amount: float, forget_after: float, tell: Tell) -> None:
        """Add an amount to a name; the reply is told once, within the time-out."""
        life = min(60_000, max(1, round(forget_after * 1000)))
        line = b"tally %d %b %d\r\n" % (name, amount_text(amount), life)
        call = Call(name, line, time.monotonic(), tell, self)
        if len(self.told) >= MOST_CALLS:
            return call.end(Status.CONNECT_FAILED)
        if (self.line is None or self.line.address != (self.host, self.port)) and self.connecting is None:
            self._connect()
        if self.line is None and self.connecting is None:   # it failed just now: the caller needn't wait
            return call.end(Status.CONNECT_FAILED)
        self.told.append(call)
        if self.timer is None:
            self.timer = self.loop.call_later(self.timeout, self._late)
        if self.line is not None and not self.line.paused:
            self.line.send(call)
        else:
            self.unsent.append(call)

    def _late(self) -> None:
        """End the calls whose time is up; nothing was added where nothing was written."""
        self.timer, now = None, time.monotonic()
        while self.told and (self.told[0].tell is None or self.told[0].at + self.timeout <= now):
            call = self.told.popleft()
            if call in self.unsent:
                self.unsent.remove(call)
                call.end(Status.CONNECT_FAILED)
            else:
                call.end(Status.TIMEOUT)
        self._leave_silent(now)
        if self.told and self.timer is None:
            self.timer = self.loop.call_later(max(0.001, self.told[0].at + self.timeout - now), self._late)

    def _leave_silent(self, now: float) -> None:
        """Guards against a connection that died without a word: TCP does not tell for minutes."""
        line = self.line
        if line is not None and line.calls and now - max(line.calls[0].at, line.heard) > self.patience:
            complain("counter", "is silent on its connection")
            self.unheard += 1
            line.close()

    def _connect(self) -> None:
        if time.monotonic() < self.not_before:
            return
        address = (self.host, self.port)
        task = self.connecting = self.loop.create_task(connect(
            self.loop, lambda: CounterLine(self, address), *address))
        timer = self.loop.call_later(CONNECT_TIMEOUT, task.cancel)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            ours = self.connecting is task
            if ours:
                self.connecting = None
            if not task.cancelled() and task.exception() is None or not ours:
                return
            complain("counter", "can't be reached at %s:%d", *address)
            self.not_before = time.monotonic() + PAUSE
            if self.line is None:
                self._end_unsent()

        task.add_done_callback(connected)

    def move(self, host: str, port: int) -> None:
        """Go over to another address; calls go to the old one until the new one is reached."""
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        self.not_before = 0.0
        self._connect()

    def up(self, line: CounterLine) -> None:
        old, self.line, self.connecting = self.line, line, None
        if old is not None:
            # Guards the calls in flight: the old line is left once the last of them is answered or late.
            self.leaving.add(old)
            old.leave()
        self.flush(line)

    def flush(self, line: CounterLine) -> None:
        while line is self.line and self.unsent and not line.paused:
            line.send(self.unsent.popleft())

    def down(self, line: CounterLine) -> None:
        self.leaving.discard(line)
        if self.line is line:
            self.line = None
            self._end_unsent()

    def _end_unsent(self) -> None:
        calls, self.unsent = self.unsent, deque()
        for call in calls:
            call.end(Status.CONNECT_FAILED)

    def sweep(self) -> None:
        """Leave a connection that is silent, or idle; the next call opens another."""
        now = time.monotonic()
        for line in [line for line in self.leaving if now - line.used > max(SILENT, self.timeout)]:
            line.close()
        if (line := self.line) is None:
            return
        if not line.calls and now - line.used > IDLE:
            line.close()
        else:
            self._leave_silent(now)

    def close(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
        for line in [*self.leaving, *([self.line] if self.line is not None else [])]:
            line.close()


class CounterLine(asyncio.Protocol):
    """One connection with the calls whose answers are still to come."""

    def __init__(self, counter: Counter, address: tuple[str, int]) -> None:
        self.counter, self.address = counter, address
        self.left = False       # closed with the answer to its last call
        self.calls: deque[Call] = deque()
        self.rest = b""
        self.paused = False     # the last call is not written whole; none may follow it yet
        self.heard = self.used = time.monotonic()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)   # so that pausing tells what is not written
        self.counter.up(self)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.counter.flush(self)

    def send(self, call: Call) -> None:
        self.calls.append(call)
        self.used = time.monotonic()
        self.transport.write(call.line)

    def data_received(self, data: bytes) -> None:
        self.heard, self.counter.unheard = time.monotonic(), 0
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            if not self.calls or not self._answer(self.calls.popleft(), line):
                complain("counter", "an answer can't be read: %r", line[:64])
                return self.close()
        if self.left and not self.calls:
            self.close()
        if len(self.rest) > MOST_LINE:
            complain("counter", "an answer has no end")
            self.close()

    def _answer(self, call: Call, line: bytes) -> bool:
        """Tell the caller; whether the line could be read."""
        word, _, figure = line.partition(b" ")
        try:
            total = float(figure) if word == b"ok" else 0.0
        except ValueError:
            total = math.nan
        if not math.isfinite(total) or word not in (b"ok", b"busy", b"error"):
            call.end(Status.TIMEOUT)    # it may have been added
            return False
        call.end({b"ok": Status.OK, b"busy": Status.FULL}.get(word, Status.CONNECT_FAILED), total)
        return True

    def leave(self) -> None:
        """Nothing new is sent here; what is out is waited for."""
        self.left = True
        if not self.calls:
            self.close()

    def close(self) -> None:
        self.transport.abort()
        self._lost()

    def connection_lost(self, error: Exception | None) -> None:
        self._lost()

    def _lost(self) -> None:
        """What was written whole may have been added; those that wait for an answer get none."""
        calls, self.calls = self.calls, deque()
        self.counter.down(self)
        if self.paused and calls:
            self.paused = False
            calls.pop().end(Status.CONNECT_FAILED)
        for call in calls:
            call.end(Status.TIMEOUT)
