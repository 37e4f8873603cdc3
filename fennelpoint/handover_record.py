"""The record that one process of an ingress leaves for the next: schema, generations, time, checksum, state.

Pure: bytes in and out.  What can't be used raises `BadRecord` with the reason in one line.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import isfinite

SCHEMA = 1
MOST = 2 * 1024 * 1024  # bytes
OLDEST, AHEAD = 10.0, 1.0   # s; older tells little, and from the future comes nothing true
MAGIC = b"larchwing handover "


class BadRecord(ValueError):
    """Why a record is not used."""


@dataclass(frozen=True, slots=True)
class Record:
    name: str           # of the ingress
    listen: str
    writer: int         # generation
    reader: int
    at: float           # Unix time
    last: bool = False  # the writer ends
    state: dict = field(default_factory=dict)


def encode(record: Record) -> bytes:
    """The record as text; customers are left out from the end, the longest unseen, until it fits."""
    state = dict(record.state)
    while True:
        body = json.dumps({"name": record.name, "listen": record.listen, "writer": record.writer,
                           "reader": record.reader, "at": record.at, "last": record.last, "state": state},
                          separators=(",", ":"), allow_nan=False).encode()
        if len(body) <= MOST:
            break
        lists = [n for n in state if isinstance(state[n], list)]
        long = max(lists, key=lambda n: len(state[n]), default=None)
        if long is None or not state[long]:
            raise ValueError("a record that can't be cut to its bound")
        state[long] = state[long][:len(state[long]) // 2]
    return b"%b%d %b\n%b\n" % (MAGIC, SCHEMA, hashlib.sha256(body).hexdigest().encode(), body)


def decode(data: bytes, name: str, listen: str, reader: int, now: float) -> Record:
    """A record for this process; raises BadRecord."""
    if len(data) > MOST + 200:
        raise BadRecord(f"it is larger than {MOST} bytes")
    head, _, body = data.partition(b"\n")
    words = head.removeprefix(MAGIC).split(b" ")
    if not head.startswith(MAGIC) or len(words) != 2:
        raise BadRecord("it is no handover")
    if words[0] != b"%d" % SCHEMA:
        raise BadRecord(f"its schema is {words[0][:20]!r}: this program reads {SCHEMA}")
    if not body.endswith(b"\n") or hashlib.sha256(body[:-1]).hexdigest().encode() != words[1]:
        raise BadRecord("it is torn: its checksum does not fit")
    try:
        value = json.loads(body)
        if not isinstance(value, dict):
            raise TypeError
        record = Record(value["name"], value["listen"], value["writer"], value["reader"], value["at"],
                        value["last"], value["state"])
    except (ValueError, KeyError, TypeError, RecursionError):
        raise BadRecord("its fields are not a handover's") from None
    if (type(record.writer), type(record.reader), type(record.last)) != (int, int, bool) or not (
            isinstance(record.at, float) and isinstance(record.state, dict)):
        raise BadRecord("its fields are not a handover's")
    if (record.name, record.listen) != (name, listen):
        raise BadRecord(f"it is of {str(record.name)[:40]!r} at {str(record.listen)[:40]!r}")
    if record.reader != reader:
        raise BadRecord(f"it is for generation {record.reader}, and this is {reader}")
    if not now - OLDEST <= record.at <= now + AHEAD:
        raise BadRecord(f"it is {now - record.at:.1f} s old")
    return record


# What a state that was read may be taken for

def finite(values: Iterable[object]) -> bool:
    """Whether all of them are numbers that can be reckoned with."""
    return all(isinstance(v, int | float) and not isinstance(v, bool) and isfinite(v) for v in values)


def entries(told: object) -> list:
    return told if isinstance(told, list) else []


def same_shape(told: object, own: list[list[float]]) -> bool:
    """Whether it is a table of numbers, as large as our own."""
    return isinstance(told, list) and len(told) == len(own) and all(
        isinstance(row, list) and len(row) == len(mine) and finite(row)
        for row, mine in zip(told, own, strict=True))
