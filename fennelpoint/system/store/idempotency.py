"""The memory of orders that were taken, so that one that is sent again is acknowledged and never refused.

The newest stand in the agreed value (`past`, as [version, digest of the call]); older ones in *segments*: contents
that never change, held by a majority like a configuration before the value names them (`log`, oldest first, as
[newest version in it, digest]).  `floor` is the highest version that was let go: of an order at or below it that is
found nowhere, nothing is known.  Versions only rise, so each has its one place.  Pure.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable

FULL = 32           # orders in the agreed value from which on its oldest go into a segment
MOVED = 16          # that go at a time
MOST = 64           # in the agreed value, where no segment can be written: the oldest are let go
IN_SEGMENT = 512    # orders from which on a segment is left as it is
SEGMENTS = 8        # that are kept: 3,584 orders at least

Content = Callable[[str], bytes | None]     # by digest; None: it is not here


def needed(world: dict) -> tuple[str, ...]:
    """Digests of all contents that an agreed value names: its configuration's, and its segments'."""
    return (*((world["digest"],) if world["digest"] else ()), *(digest for _, digest in world.get("log", ())))


def upgrade(world: dict) -> dict:
    """A value of before there were segments, as one of now: what it had forgotten can't be told."""
    if "log" in world:
        return world
    return {**world, "log": [], "floor": lowest(world["past"])}


def lowest(past: list) -> int:
    """The floor of a memory that told none: it held 48 orders, and below the oldest of so many nothing is known."""
    return past[0][0] - 1 if len(past) >= 48 else 0


def floor_of(world: dict) -> int:
    """The floor once segments are left behind, as by a snapshot."""
    return max([world["floor"], *(newest for newest, _ in world["log"])])


def pack(orders: list) -> bytes:
    """A segment's content."""
    return zlib.compress(json.dumps(orders, separators=(",", ":")).encode(), 6)


def unpack(data: bytes) -> list:
    return json.loads(zlib.decompress(data))


def taken(world: dict, version: int, sent: str, content: Content) -> bool | None:
    """Whether an order was taken by this value or one before it; None: that can't be known here and now."""
    past, log = world["past"], world["log"]
    if version > world["version"]:
        return False
    if past and version >= past[0][0]:
        return [version, sent] in past
    for newest, digest in log:
        if version <= newest:
            if (data := content(digest)) is None:
                return None
            if [version, sent] in unpack(data):
                return True
            break
    return None if version <= world["floor"] else False


def remember(world: dict, version: int, sent: str) -> dict:
    """The fields of the value that change with an order that is taken."""
    past = [*world["past"], [version, sent]]
    gone = past[:-MOST]
    return {"past": past[-MOST:], "floor": max([world["floor"], *(v for v, _ in gone)])}


def next_segment(world: dict, content: Content) -> tuple[list, bool, bytes] | None:
    """Orders to leave the agreed value, whether the newest segment is replaced, and the content; None: they stay.

    The newest segment grows by being replaced, unless it is full or not here to be added to.
    """
    if len(world["past"]) < FULL:
        return None
    moved, before = world["past"][:MOVED], []
    if world["log"] and (data := content(world["log"][-1][1])) is not None:
        before = unpack(data)
    replaces = 0 < len(before) < IN_SEGMENT
    return moved, replaces, pack([*(before if replaces else []), *moved])


def put_away(world: dict, moved: list, last: list, segment: list, replaces: bool) -> dict:
    """The value once a segment holds the orders that are moved; the same one where it went on since.

    `last` is the newest segment, or none, that this one was made after.
    """
    if world["past"][:len(moved)] != moved or world["log"][-1:] != last:
        return world
    log = [*(world["log"][:-1] if replaces else world["log"]), segment]
    floor = max([world["floor"], *(newest for newest, _ in log[:-SEGMENTS])])
    return {**world, "past": world["past"][len(moved):], "log": log[-SEGMENTS:], "floor": floor}
