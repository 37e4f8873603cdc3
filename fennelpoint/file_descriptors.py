"""The plan for file descriptors: how many each kind of connection may use, derived from the limit in one place.

Pure.  Several processes of one ingress share its limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LOOP_DESCRIPTORS = 10       # standard streams, the event loop's own, the wake-up pair for signals
LISTENER_DESCRIPTORS = 3    # clients' listener, the inherited or our own; the admin socket's
DISCOVERY_DESCRIPTORS = 3   # its connection, and that to a new discovery next to it
COUNTER_DESCRIPTORS = 4     # its connection, those to earlier addresses, one being established
FILE_DESCRIPTORS = 4        # configuration, operator file, the generation's file, a handover record
DESCRIPTORS_PER_ADMIN_CALLER, MAX_ADMIN_CALLERS = 24, 16    # one caller for so many of the limit; at most
UPSTREAM_FRACTION = 0.4     # of the remaining descriptors for connections to backends; clients get the others
MIN_DESCRIPTOR_LIMIT = 64   # no ingress can run with a lower limit
RESERVED_DESCRIPTORS = 4    # for connections that are accepted but not yet rejected, or closed but not yet released


@dataclass(frozen=True, slots=True)
class Plan:
    """Maximum numbers of connections."""

    admin_callers: int
    upstream: int
    clients: int


def plan(limit: int, processes: int = 1) -> Plan:
    """Return how one of `processes` processes uses its share of the limit."""
    share = limit // processes
    admin_callers = max(2, min(MAX_ADMIN_CALLERS, share // DESCRIPTORS_PER_ADMIN_CALLER))
    remaining = max(12, share - LOOP_DESCRIPTORS - LISTENER_DESCRIPTORS - DISCOVERY_DESCRIPTORS - COUNTER_DESCRIPTORS
                    - FILE_DESCRIPTORS - RESERVED_DESCRIPTORS - admin_callers)
    upstream = int(remaining * UPSTREAM_FRACTION)
    return Plan(admin_callers, upstream, remaining - upstream)

MIN_SILENT_S = 0.25     # that a new connection has for its first bytes before it may be evicted
MIN_IDLE_S = 2.0        # that a connection is idle before it is evicted ahead of newer partial heads


class Evictable(Enum):
    """The kinds of client connection without a request, one queue of each at the server."""

    CLOSING = "closing"             # their client knows that they are closed
    SILENT = "silent"               # new, nothing received
    USED_ONCE = "used once"         # idle after one request
    REUSED = "reused"               # idle after several requests
    PARTIAL_HEAD = "partial head"   # part of a request's head has been received


def choose_eviction(oldest: dict[Evictable, float], now: float) -> Evictable | None:
    """Return the kind whose oldest connection is closed next; None if there is no connection to close.

    `oldest` has the time since when the oldest connection of each kind is in its state.  The order goes by what a
    connection has done: closing ones, those that never sent anything, those that are idle after one request.  A
    partial head may become a complete request: so slow senders are kept ahead of thousands of clients that send one
    request and stay.  A connection that was reused will probably be reused again, so it is kept longer than heads
    that take long: otherwise many connections that never complete a request would evict the front proxy's own.
    """
    def age(kind: Evictable) -> float:
        return now - oldest[kind] if kind in oldest else -1.0

    if Evictable.CLOSING in oldest:
        return Evictable.CLOSING
    if age(Evictable.SILENT) >= MIN_SILENT_S:
        return Evictable.SILENT
    for kind in (Evictable.USED_ONCE, Evictable.PARTIAL_HEAD, Evictable.REUSED):
        if age(kind) >= MIN_IDLE_S:
            return kind
    order = (Evictable.USED_ONCE, Evictable.PARTIAL_HEAD, Evictable.REUSED, Evictable.SILENT)
    return next((kind for kind in order if kind in oldest), None)
