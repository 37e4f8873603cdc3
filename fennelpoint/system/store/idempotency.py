"""Memory of accepted operator requests, so that a retried request is acknowledged instead of refused.

The newest requests are in the agreed state (`past`, as [version, digest of the request]).  Older ones are in
*segments*: immutable contents that, like a configuration, a majority holds before the state refers to them (`log`,
oldest first, as [newest version in the segment, digest]).  `floor` is the highest version that was discarded: the
outcome of a request at or below the floor that is found nowhere is unknown.  Versions only rise, so each request can
be in one place only.  The module is pure.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable

ARCHIVE_THRESHOLD_REQUESTS = 32     # in the agreed state: from here on its oldest move into a segment
ARCHIVE_BATCH_REQUESTS = 16         # that move into a segment at a time
MAX_RECENT_REQUESTS = 64            # in the agreed state if no segment can be written: the oldest are discarded
FULL_SEGMENT_REQUESTS = 512         # in a segment: from here on it does not grow any more
MAX_SEGMENTS = 8                    # with these, at least 3,584 requests are remembered

Content = Callable[[str], bytes | None]     # a content by its digest; None: not on this machine


def referenced_digests(state: dict) -> tuple[str, ...]:
    """Digests of all contents that an agreed state refers to: its configuration and its segments."""
    return (*((state["digest"],) if state["digest"] else ()), *(digest for _, digest in state.get("log", ())))


def upgrade(state: dict) -> dict:
    """Converts a state from before segments existed; the requests that it had discarded are unknown."""
    if "log" in state:
        return state
    return {**state, "log": [], "floor": initial_floor(state["past"])}


def initial_floor(past: list) -> int:
    """The floor for a state without one: those kept 48 requests, and nothing is known below the oldest of 48."""
    return past[0][0] - 1 if len(past) >= 48 else 0


def floor_of(state: dict) -> int:
    """The floor without the segments, as in a snapshot, which does not include them."""
    return max([state["floor"], *(newest for newest, _ in state["log"])])


def pack(requests: list) -> bytes:
    """Encodes a segment."""
    return zlib.compress(json.dumps(requests, separators=(",", ":")).encode(), 6)


def unpack(data: bytes) -> list:
    """Decodes a segment."""
    return json.loads(zlib.decompress(data))


def was_accepted(state: dict, version: int, request_digest: str, content: Content) -> bool | None:
    """Whether this state or an earlier one accepted the request; None: this machine can't tell at present."""
    past, log = state["past"], state["log"]
    if version > state["version"]:
        return False
    if past and version >= past[0][0]:
        return [version, request_digest] in past
    for newest, digest in log:
        if version <= newest:
            if (data := content(digest)) is None:
                return None
            if [version, request_digest] in unpack(data):
                return True
            break
    return None if version <= state["floor"] else False


def remember(state: dict, version: int, request_digest: str) -> dict:
    """The fields of the state that change when a request is accepted."""
    past = [*state["past"], [version, request_digest]]
    discarded = past[:-MAX_RECENT_REQUESTS]
    return {"past": past[-MAX_RECENT_REQUESTS:], "floor": max([state["floor"], *(v for v, _ in discarded)])}


def next_segment(state: dict, content: Content) -> tuple[list, bool, bytes] | None:
    """The requests to move out of the agreed state, whether the newest segment is replaced, and the new segment.

    None if no requests need to move.  The newest segment grows by being replaced, unless it is full or not on this
    machine.
    """
    if len(state["past"]) < ARCHIVE_THRESHOLD_REQUESTS:
        return None
    moved, existing = state["past"][:ARCHIVE_BATCH_REQUESTS], []
    if state["log"] and (data := content(state["log"][-1][1])) is not None:
        existing = unpack(data)
    replaces = 0 < len(existing) < FULL_SEGMENT_REQUESTS
    return moved, replaces, pack([*(existing if replaces else []), *moved])


def archive(state: dict, moved: list, last: list, segment: list, replaces: bool) -> dict:
    """The state once a segment holds the moved requests; the same object if the state has changed meanwhile.

    `last` holds the segment that was the newest when this one was built, or is empty.
    """
    if state["past"][:len(moved)] != moved or state["log"][-1:] != last:
        return state
    log = [*(state["log"][:-1] if replaces else state["log"]), segment]
    floor = max([state["floor"], *(newest for newest, _ in log[:-MAX_SEGMENTS])])
    return {**state, "past": state["past"][len(moved):], "log": log[-MAX_SEGMENTS:], "floor": floor}
