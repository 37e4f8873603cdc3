"""Whom each of many turns to among equals, so that all of them are used alike (rendezvous hashing).

Everyone draws an order of its own, which stays as it is for the others where one comes or goes.
"""

from __future__ import annotations

import zlib
from functools import lru_cache

_MIX, _MASK = 0x9E3779B1, 0xFFFFFFFF  # an odd factor: sums of CRC alone would order all pairs alike


@lru_cache(4096)
def preference(who: str, ip: str) -> int:
    """The place of a machine in somebody's order: the least is the first."""
    mixed = zlib.crc32(f"{who}>{ip}".encode()) * _MIX & _MASK
    return (mixed ^ mixed >> 15) * _MIX & _MASK
