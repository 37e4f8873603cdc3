"""The pools of connections to backends, and what the protocol of their backends proves of an outcome."""

from __future__ import annotations

import asyncio
import errno
import json
import time
from math import inf

from fennelpoint.body_buffering import MAX_BODY_BYTES, Budget
from fennelpoint.connecting import connect
from fennelpoint.interface import BackendState, Roster, RosterKind, Status
from fennelpoint.net.exchange import Exchange
from fennelpoint.net.upstream_connection import Upstream, UpstreamConnection
from fennelpoint.rate_limited_log import warn_limited

LOCAL_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
DEFAULT_CONNECT_TIMEOUT_S = 0.25    # if the settings have none
# Idle connections are closed after this fraction of the backend's idle timeout, well before the backend closes them.
IDLE_TIMEOUT_FRACTION, MAX_IDLE_S = 0.5, 30.0


class Backends:
    """The connection pools of all backends that discovery has named, with a common limit on connections."""

    # Whether the backends' protocol says that a request cannot run before its last byte has come; else a backend may
    # work on it as soon as it has the head.
    STARTS_AT_LAST_BYTE = True
    # Without a byte within a response that is buffered, after which the rest is not expected any more (s).
    RESPONSE_STALL_TIMEOUT_S = 0.5

    def __init__(self, loop: asyncio.AbstractEventLoop, max_connections: int, connect_timeout_s: float,
                 idle_timeout_s: float, budget: Budget) -> None:
        """`idle_timeout_s` is the backends' own; 0 if unknown.  A `connect_timeout_s` of 0 means the default."""
        self.loop, self.max_connections, self.budget = loop, max_connections, budget
        self.connect_timeout_s = connect_timeout_s or DEFAULT_CONNECT_TIMEOUT_S
        self.max_idle_s = min(MAX_IDLE_S, idle_timeout_s * IDLE_TIMEOUT_FRACTION) if idle_timeout_s else MAX_IDLE_S
        self.max_body_bytes = MAX_BODY_BYTES    # of a response
        self.upstreams: dict[str, Upstream] = {}
        self.all: set[UpstreamConnection] = set()
        self.connect_tasks: dict[asyncio.Task, Exchange] = {}

    def judge(self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]]) -> Status | None:
        """Return the outcome that a whole response proves; None if it is no response to this request."""
        turned_away = status in (503, 504) and (b"x-turned-away", b"1") in headers
        return Status.OK if status == 200 else Status.FULL if turned_away else Status.ERROR

    def has_id(self, exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether a response carries the id of its request."""
        return True

    def can_match(self, exchange: Exchange, connection: UpstreamConnection) -> bool:
        """Whether a response on this connection could be attributed to this request for certain."""
        return True

    def keep_alive_s(self, headers: list[tuple[bytes, bytes]]) -> float:
        """Return the seconds for which the connection may stay idle, according to the response."""
        return inf

    def follow(self, roster: Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Apply a list from discovery: a new start or address of a backend gets connections of its own."""
        if roster.kind is not RosterKind.CHANGES:
            named = {e.backend for e in roster.entries}
            for key in [k for k in self.upstreams if k not in named]:
                self._retire(self.upstreams.pop(key))
        for entry in roster.entries:
            old = self.upstreams.get(entry.backend)
            if entry.state is BackendState.GONE:
                if old is not None:
                    self._retire(self.upstreams.pop(entry.backend))
                continue
            host, port = addresses[entry.backend]
            if old is not None and (old.host, old.port, old.started_at) == (host, port, entry.started_at):
                old.state = entry.state
                if entry.state is not BackendState.READY:
                    self.close_idle(entry.backend)
                continue
            if old is not None:
                self._retire(old)
            self.upstreams[entry.backend] = Upstream(host, port, entry.started_at, entry.state)

    def _retire(self, upstream: Upstream) -> None:
        upstream.retired = True
        for connection in list(upstream.idle):
            connection.close()

    def begin(self, exchange: Exchange, backend: str) -> None:
        """Send an exchange on the most recently used idle connection, or on a new one."""
        upstream = self.upstreams.get(backend)
        if upstream is None or not upstream.is_usable:
            return exchange.end(Status.CONNECT_FAILED)
        idle_cutoff = time.monotonic() - self.max_idle_s
        unsuitable: UpstreamConnection | None = None
        for connection in upstream.idle[::-1]:
            if connection.idle_since < idle_cutoff or time.monotonic() >= connection.reusable_until or (
                    connection.stale()):
                connection.close()
            elif self.can_match(exchange, connection):
                upstream.idle.remove(connection)
                return connection.start(exchange)
            else:
                unsuitable = connection
        if unsuitable is not None:
            unsuitable.close()      # a new one replaces it, as the backend limits its number of connections
        if self.open_count >= self.max_connections and not self._evict():
            # The shortage is on this side, so it must not count as a failure of the backend.
            warn_limited("upstream", "all %d connections are in use", self.max_connections)
            return exchange.end(Status.MOOT)
        self._connect(upstream, exchange)

    def _connect(self, upstream: Upstream, exchange: Exchange) -> None:
        task = self.loop.create_task(connect(
            self.loop, lambda: UpstreamConnection(self, upstream, exchange), upstream.host, upstream.port))
        exchange.connect_task, self.connect_tasks[task] = task, exchange

        def expire() -> None:
            # A connection that has come up carries the request already, even if the task has not run since.
            if exchange.connection is None:
                task.cancel()

        timer = self.loop.call_later(self.connect_timeout_s, expire)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            self.connect_tasks.pop(task, None)
            if task.cancelled() or (error := task.exception()) is not None:
                # Running out of descriptors is an OSError like a refusal, but no failure of the backend.
                is_local = not task.cancelled() and getattr(error, "errno", None) in LOCAL_SHORTAGE_ERRNOS
                if not task.cancelled() and not isinstance(error, OSError):
                    warn_limited("upstream", "connecting failed: %r", error)
                if exchange.connection is None:
                    exchange.end(Status.MOOT if is_local else Status.CONNECT_FAILED)

        task.add_done_callback(connected)

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being established."""
        return len(self.all) + len(self.connect_tasks)

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, in favour of one to another backend."""
        idle = [u.idle[0] for u in self.upstreams.values() if u.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        if (upstream := self.upstreams.get(backend)) is not None:
            for connection in list(upstream.idle):
                connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for long, before the backend does so under a request in transit.

        Also ends exchanges that have stalled.
        """
        now = time.monotonic()
        idle_cutoff = now - self.max_idle_s
        for upstream in self.upstreams.values():
            while upstream.idle and (
                    upstream.idle[0].idle_since < idle_cutoff or upstream.idle[0].reusable_until < now):
                upstream.idle[0].close()
        for connection in list(self.all):
            connection.check_stall(now)

    def close(self) -> None:
        for task in list(self.connect_tasks):
            task.cancel()
        for connection in list(self.all):
            connection.close()


def load_report(data: bytes, fields: list[str]) -> list[float]:
    """Return the values of a load report in the order of the settings' fields; empty if any is unusable."""
    try:
        report = json.loads(data)
        values = [float(report[name]) for name in fields]
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        warn_limited("report", "a load report cannot be parsed")
        return []
    return values if all(0.0 <= v < 1e9 for v in values) else []
