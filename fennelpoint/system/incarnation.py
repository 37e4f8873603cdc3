"""Request numbers that are unique across the incarnations of all processes.

A process draws a random incarnation when it starts and numbers its requests from there.  A response is accepted only
for the request whose number it carries, so that a response to an earlier incarnation of this process, or to another
process at the same address, is ignored, whatever its path and delay.  Incarnations have no order: no clock tells
which of two is the later one.
"""

from __future__ import annotations

INCARNATION_BITS, COUNTER_BITS = 40, 22


def first_number(incarnation: int) -> int:
    """Returns the number from which an incarnation counts its requests; no request has this number itself."""
    return incarnation % (1 << INCARNATION_BITS) << COUNTER_BITS


def same_incarnation(first: int, second: int) -> bool:
    """Whether two request numbers belong to one incarnation."""
    return first >> COUNTER_BITS == second >> COUNTER_BITS
