"""Messages between our own processes: msgpack, each with its length before it."""

from __future__ import annotations

import struct
from collections.abc import Iterator

import msgpack

MOST = 32 * 1024 * 1024     # bytes of one message
_HEAD = struct.Struct(">I")


class BadFrame(ValueError):
    """Bytes that are no message; the connection is of no further use."""


def pack(message: list) -> bytes:
    data = msgpack.packb(message, use_bin_type=True)
    return _HEAD.pack(len(data)) + data


class Unpacker:
    """Turns bytes as they come into whole messages."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[list]:
        """The messages that are whole by now; raises BadFrame."""
        self.held += data
        while len(self.held) >= 4:
            (size,) = _HEAD.unpack_from(self.held)
            if size > MOST:
                raise BadFrame(f"a message of {size} bytes")
            if len(self.held) < 4 + size:
                return
            body = bytes(self.held[4:4 + size])
            del self.held[:4 + size]
            try:
                message = msgpack.unpackb(body, raw=False, strict_map_key=False, use_list=True)
            except Exception as error:
                raise BadFrame(f"it can't be read: {error}") from None
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise BadFrame("it has no kind")
            yield message
