"""Client of the shared counter: one persistent connection with pipelined calls.

Answers come in the order of the calls, and nothing else says which call they belong to.  So the answer to a call that
has timed out must still be read, and an answer that cannot be parsed ends the connection, as those after it could not
be attributed.
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
from fennelpoint.rate_limited_log import warn_limited

DEFAULT_CALL_TIMEOUT_S = 0.05   # if the settings have none
CONNECT_TIMEOUT_S = 0.25
UNANSWERED_TIMEOUT_S = 1.0      # without an answer that is due, after which the counter counts as unavailable
DEAD_CONNECTION_TIMEOUTS = 3.0  # call timeouts without an answer, after which a connection counts as dead
IDLE_TIMEOUT_S = 3.0            # after which this side closes the connection, before the counter does
RECONNECT_DELAY_S = 0.1         # after a failed connect
MAX_LINE_BYTES, MAX_CALLS = 256, 10_000     # without the end of a line; calls that are open

OnReply = Callable[[CounterReply], None]


@dataclass(slots=True, eq=False)
class Call:
    name: int
    line: bytes
    started_at: float
    on_reply: OnReply | None    # None once the caller knows the outcome
    owner: Counter

    def end(self, status: Status, total: float = 0.0) -> None:
        """Report the outcome to the caller, unless the call has ended already."""
        if status in (Status.OK, Status.FULL):
            self.owner.unanswered_since = None
        elif self.owner.unanswered_since is None:
            self.owner.unanswered_since = time.monotonic()
        if (on_reply := self.on_reply) is not None:
            self.on_reply = None
            on_reply(CounterReply(self.name, status, total, time.monotonic() - self.started_at))


def amount_text(amount: float) -> bytes:
    """Format an amount as a plain decimal number, as the counter accepts no exponents."""
    return f"{amount:.6f}".rstrip("0").rstrip(".").encode()


class Counter:
    """The shared counter, reached over one connection at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int, timeout_s: float) -> None:
        self.loop, self.host, self.port, self.timeout_s = loop, host, port, timeout_s or DEFAULT_CALL_TIMEOUT_S
        self.connection: CounterConnection | None = None
        self.draining: set[CounterConnection] = set()   # to an earlier address, with calls still unanswered
        self.connect_task: asyncio.Task | None = None
        self.connect_not_before = 0.0
        self.unsent: deque[Call] = deque()
        self.open_calls: deque[Call] = deque()  # all calls in their order, so that they end in time
        self.timer: asyncio.TimerHandle | None = None
        self.unanswered_since: float | None = None  # since the first of the calls that failed in a row
        self.silent_connections = 0     # connections in a row that were closed without having received anything

    @property
    def is_available(self) -> bool:
        """Whether calls are answered; also true while there are none."""
        since = self.unanswered_since
        return since is None or time.monotonic() - since < UNANSWERED_TIMEOUT_S

    @property
    def dead_connection_timeout_s(self) -> float:
        """Seconds without an answer that is due, after which a connection is replaced.

        A few call timeouts by the clock of this side.  What is called meanwhile may or may not have been added, so
        each second of it is usage that other ingresses do not see.  The time doubles with each connection in a row
        that received nothing, as a client that keeps reconnecting would harm a counter that is slow or down.
        """
        return max(self.timeout_s, min(UNANSWERED_TIMEOUT_S, DEAD_CONNECTION_TIMEOUTS * self.timeout_s * 2.0 ** min(
            self.silent_connections, 10)))

    def call(self, name: int, amount: float, forget_after_s: float, on_reply: OnReply) -> None:
        """Add an amount to a name; `on_reply` is called once, within the timeout."""
        ttl_ms = min(60_000, max(1, round(forget_after_s * 1000)))
        line = b"tally %d %b %d\r\n" % (name, amount_text(amount), ttl_ms)
        call = Call(name, line, time.monotonic(), on_reply, self)
        if len(self.open_calls) >= MAX_CALLS:
            return call.end(Status.CONNECT_FAILED)
        if (self.connection is None or self.connection.address != (self.host, self.port)) and (
                self.connect_task is None):
            self._connect()
        if self.connection is None and self.connect_task is None:   # a connect failed just now: fail at once
            return call.end(Status.CONNECT_FAILED)
        self.open_calls.append(call)
        if self.timer is None:
            self.timer = self.loop.call_later(self.timeout_s, self._expire)
        if self.connection is not None and not self.connection.is_paused:
            self.connection.send(call)
        else:
            self.unsent.append(call)

    def _expire(self) -> None:
        """End the calls that have timed out; one that was not written has added nothing."""
        self.timer, now = None, time.monotonic()
        while self.open_calls and (
                self.open_calls[0].on_reply is None or self.open_calls[0].started_at + self.timeout_s <= now):
            call = self.open_calls.popleft()
            if call in self.unsent:
                self.unsent.remove(call)
                call.end(Status.CONNECT_FAILED)
            else:
                call.end(Status.TIMEOUT)
        self._close_if_dead(now)
        if self.open_calls and self.timer is None:
            self.timer = self.loop.call_later(
                max(0.001, self.open_calls[0].started_at + self.timeout_s - now), self._expire)

    def _close_if_dead(self, now: float) -> None:
        """Close a connection that died without a FIN or reset: TCP does not report that for minutes."""
        connection = self.connection
        if connection is not None and connection.calls and now - max(
                connection.calls[0].started_at, connection.last_received_at) > self.dead_connection_timeout_s:
            warn_limited("counter", "no answers arrive on the connection; closing it")
            self.silent_connections += 1
            connection.close()

    def _connect(self) -> None:
        if time.monotonic() < self.connect_not_before:
            return
        address = (self.host, self.port)
        task = self.connect_task = self.loop.create_task(connect(
            self.loop, lambda: CounterConnection(self, address), *address))
        timer = self.loop.call_later(CONNECT_TIMEOUT_S, task.cancel)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            is_current = self.connect_task is task
            if is_current:
                self.connect_task = None
            if not task.cancelled() and task.exception() is None or not is_current:
                return
            warn_limited("counter", "cannot connect to %s:%d", *address)
            self.connect_not_before = time.monotonic() + RECONNECT_DELAY_S
            if self.connection is None:
                self._end_unsent()

        task.add_done_callback(connected)

    def move(self, host: str, port: int) -> None:
        """Switch to another address; calls go to the old one until a connection to the new one is established."""
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        self.connect_not_before = 0.0
        self._connect()

    def handle_connected(self, connection: CounterConnection) -> None:
        """Use a new connection from now on; the old one closes once its last call is answered or has timed out."""
        old, self.connection, self.connect_task = self.connection, connection, None
        if old is not None:
            self.draining.add(old)
            old.drain()
        self.flush(connection)

    def flush(self, connection: CounterConnection) -> None:
        """Send the unsent calls on the current connection, as far as it takes them."""
        while connection is self.connection and self.unsent and not connection.is_paused:
            connection.send(self.unsent.popleft())

    def handle_disconnected(self, connection: CounterConnection) -> None:
        self.draining.discard(connection)
        if self.connection is connection:
            self.connection = None
            self._end_unsent()

    def _end_unsent(self) -> None:
        calls, self.unsent = self.unsent, deque()
        for call in calls:
            call.end(Status.CONNECT_FAILED)

    def sweep(self) -> None:
        """Close a connection that is dead or idle; the next call opens another."""
        now = time.monotonic()
        for connection in [connection for connection in self.draining if now - connection.last_sent_at > max(
                UNANSWERED_TIMEOUT_S, self.timeout_s)]:
            connection.close()
        if (connection := self.connection) is None:
            return
        if not connection.calls and now - connection.last_sent_at > IDLE_TIMEOUT_S:
            connection.close()
        else:
            self._close_if_dead(now)

    def close(self) -> None:
        if self.connect_task is not None:
            self.connect_task.cancel()
        for connection in [*self.draining, *([self.connection] if self.connection is not None else [])]:
            connection.close()


class CounterConnection(asyncio.Protocol):
    """One connection, with the calls that have not been answered on it."""

    def __init__(self, counter: Counter, address: tuple[str, int]) -> None:
        self.counter, self.address = counter, address
        self.is_draining = False    # closes with the answer to its last call
        self.calls: deque[Call] = deque()
        self.incomplete_line = b""
        self.is_paused = False      # the last call is not written completely, so none may follow it yet
        self.last_received_at = self.last_sent_at = time.monotonic()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)   # so that pause_writing reports anything unwritten
        self.counter.handle_connected(self)

    def pause_writing(self) -> None:
        self.is_paused = True

    def resume_writing(self) -> None:
        self.is_paused = False
        self.counter.flush(self)

    def send(self, call: Call) -> None:
        self.calls.append(call)
        self.last_sent_at = time.monotonic()
        self.transport.write(call.line)

    def data_received(self, data: bytes) -> None:
        self.last_received_at, self.counter.silent_connections = time.monotonic(), 0
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\r\n")
        for line in lines:
            if not self.calls or not self._end_call(self.calls.popleft(), line):
                warn_limited("counter", "cannot parse the answer: %r", line[:64])
                return self.close()
        if self.is_draining and not self.calls:
            self.close()
        if len(self.incomplete_line) > MAX_LINE_BYTES:
            warn_limited("counter", "an answer exceeds the maximum line length")
            self.close()

    def _end_call(self, call: Call, line: bytes) -> bool:
        """End a call with its answer; returns whether the line could be parsed."""
        keyword, _, number = line.partition(b" ")
        try:
            total = float(number) if keyword == b"ok" else 0.0
        except ValueError:
            total = math.nan
        if not math.isfinite(total) or keyword not in (b"ok", b"busy", b"error"):
            call.end(Status.TIMEOUT)    # the amount may have been added
            return False
        call.end({b"ok": Status.OK, b"busy": Status.FULL}.get(keyword, Status.CONNECT_FAILED), total)
        return True

    def drain(self) -> None:
        """Close once the calls that were sent are answered; no others are sent."""
        self.is_draining = True
        if not self.calls:
            self.close()

    def close(self) -> None:
        self.transport.abort()
        self._handle_loss()

    def connection_lost(self, error: Exception | None) -> None:
        self._handle_loss()

    def _handle_loss(self) -> None:
        """End the unanswered calls: one that was written completely may have been added."""
        calls, self.calls = self.calls, deque()
        self.counter.handle_disconnected(self)
        if self.is_paused and calls:
            self.is_paused = False
            calls.pop().end(Status.CONNECT_FAILED)
        for call in calls:
            call.end(Status.TIMEOUT)
