"""Codec of the handover record between two processes of an ingress: schema, generations, time, checksum, state.

Without input or output: bytes in, bytes out.  An unusable record raises `BadRecord` with the reason in one line.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import isfinite

SCHEMA = 1
MAX_BYTES = 2 * 1024 * 1024
MAX_AGE_S, MAX_AHEAD_S = 10.0, 1.0   # older state is of little use; a time in the future is wrong
MAGIC = b"larchwing handover "


class BadRecord(ValueError):
    """The record can't be used; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Record:
    name: str           # of the ingress
    listen: str
    writer: int         # its generation
    reader: int         # the generation that it is for
    at: float           # Unix time
    last: bool = False  # the writer ends after it
    state: dict = field(default_factory=dict)


def encode(record: Record) -> bytes:
    """Encode the record; drops customers from the end, the least recently seen, until it fits."""
    state = dict(record.state)
    while True:
        body = json.dumps({"name": record.name, "listen": record.listen, "writer": record.writer,
                           "reader": record.reader, "at": record.at, "last": record.last, "state": state},
                          separators=(",", ":"), allow_nan=False).encode()
        if len(body) <= MAX_BYTES:
            break
        lists = [n for n in state if isinstance(state[n], list)]
        long = max(lists, key=lambda n: len(state[n]), default=None)
        if long is None or not state[long]:
            raise ValueError("the record is too large, and has no list to shorten")
        state[long] = state[long][:len(state[long]) // 2]
    return b"%b%d %b\n%b\n" % (MAGIC, SCHEMA, hashlib.sha256(body).hexdigest().encode(), body)


def decode(data: bytes, name: str, listen: str, reader: int, now: float) -> Record:
    """Decode and check a record for this process; raises BadRecord."""
    if len(data) > MAX_BYTES + 200:
        raise BadRecord(f"it is larger than {MAX_BYTES} bytes")
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
    if not now - MAX_AGE_S <= record.at <= now + MAX_AHEAD_S:
        raise BadRecord(f"it is {now - record.at:.1f} s old")
    return record


# Validation of a decoded state

def finite(values: Iterable[object]) -> bool:
    """Whether all values are finite numbers (and not booleans)."""
    return all(isinstance(v, int | float) and not isinstance(v, bool) and isfinite(v) for v in values)


def entries(value: object) -> list:
    return value if isinstance(value, list) else []


def same_shape(value: object, expected: list[list[float]]) -> bool:
    """Whether the value is a table of finite numbers of the expected size."""
    return isinstance(value, list) and len(value) == len(expected) and all(
        isinstance(row, list) and len(row) == len(expected_row) and finite(row)
        for row, expected_row in zip(value, expected, strict=True))
