"""The plan for descriptors: who may hold how many, derived from the limit in one place.

Pure.  While several processes are one ingress they share its limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LOOP = 10           # standard streams, the loop's own, the wake-up pair of signals
LISTENERS = 3       # clients, inherited or our own, and the door
DISCOVERY = 3       # its connection, and that of a new one beside it
COUNTER = 4         # its connection, those at an address before it, one that comes up
FILES = 4           # configuration, operator file, the generation's file, a record
CALLERS_PART, MOST_CALLERS = 24, 16     # of the limit, one caller at the door in so many; at most
UPSTREAM_SHARE = 0.4    # of the rest for connections to backends; the clients get the others
LEAST = 64          # a smaller limit holds no ingress
SPARE = 4           # accepted and not yet turned away; at a close, not yet let go


@dataclass(frozen=True, slots=True)
class Plan:
    callers: int    # at the operators' door, at a time
    upstream: int
    clients: int


def plan(limit: int, parts: int = 1) -> Plan:
    """How one of `parts` processes spends its part of the limit."""
    own = limit // parts
    callers = max(2, min(MOST_CALLERS, own // CALLERS_PART))
    room = max(12, own - LOOP - LISTENERS - DISCOVERY - COUNTER - FILES - SPARE - callers)
    upstream = int(room * UPSTREAM_SHARE)
    return Plan(callers, upstream, room - upstream)

YOUNG = 0.25        # s that a new connection has to send something before it may have to make room
KEPT = 2.0          # s that a kept connection stands idle before it goes before one that is being written


class Leaves(Enum):
    """The kinds of connection that are owed nothing, as their lines at the server."""

    LEAVING = "leaving"     # told that they are closed
    SILENT = "silent"       # new, nothing sent
    ONCE = "once"           # asked one time, and stayed
    IDLE = "idle"           # asked again and again, and kept
    BEGUN = "begun"         # a request's head has begun to come


def who_leaves(oldest: dict[Leaves, float], now: float) -> Leaves | None:
    """The line whose oldest connection makes room, by since when that one stands there; none: nobody can.

    By what it has done: those told that they are closed, those that never said anything, those that asked
    once and stand idle since.  A head that is being written is a request that may come whole: guards slow
    senders among thousands who ask once and stay.  A connection that was used again and again will be, so it
    goes after heads that take long: guards the front's own among many that never write a whole request.
    """
    def age(kind: Leaves) -> float:
        return now - oldest[kind] if kind in oldest else -1.0

    if Leaves.LEAVING in oldest:
        return Leaves.LEAVING
    if age(Leaves.SILENT) >= YOUNG:
        return Leaves.SILENT
    for kind in (Leaves.ONCE, Leaves.BEGUN, Leaves.IDLE):
        if age(kind) >= KEPT:
            return kind
    order = (Leaves.ONCE, Leaves.BEGUN, Leaves.IDLE, Leaves.SILENT)
    return next((kind for kind in order if kind in oldest), None)
