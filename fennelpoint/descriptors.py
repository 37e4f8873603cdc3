"""The plan for descriptors: who may hold how many, derived from the limit in one place.

Pure.  While several processes are one ingress they share its limit.
"""

from __future__ import annotations

from dataclasses import dataclass

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
