"""Rendezvous hashing: each of many clients picks among equal servers, so that the load spreads evenly.

Every client ranks the servers in an order of its own.  The order of the rest stays the same when one is added or
removed.
"""

from __future__ import annotations

import zlib
from functools import lru_cache

_MIX, _MASK = 0x9E3779B1, 0xFFFFFFFF  # an odd multiplier: a CRC alone would order all pairs alike, as it is linear


@lru_cache(4096)
def preference(client: str, ip: str) -> int:
    """Returns the rank of a machine for a client; the lowest rank comes first."""
    mixed = zlib.crc32(f"{client}>{ip}".encode()) * _MIX & _MASK
    return (mixed ^ mixed >> 15) * _MIX & _MASK
