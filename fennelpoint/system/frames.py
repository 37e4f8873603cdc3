"""Messages between our own processes: msgpack, each with its length before it; long ones are packed by zlib."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgpack

MOST = 32 * 1024 * 1024     # bytes of one message
LONG = 700          # bytes from which packing is worth its time: lists of backends shrink to a third
_HEAD = struct.Struct(">I")
_PACKED = 1 << 31   # in a length: what follows is packed


class BadFrame(ValueError):
    """Bytes that are no message; the connection is of no further use."""


def pack(message: list) -> bytes:
    data = msgpack.packb(message, use_bin_type=True)
    if len(data) >= LONG and len(small := zlib.compress(data, 1)) < 0.9 * len(data):
        return _HEAD.pack(len(small) | _PACKED) + small
    return _HEAD.pack(len(data)) + data


def _unpacked(body: bytes) -> bytes:
    """Guards the memory: what is packed may not grow beyond what a message may have."""
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(body, MOST)
    if not unpacker.eof:
        raise ValueError("it is torn, or too long")
    return data


class Unpacker:
    """Turns bytes as they come into whole messages."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[list]:
        """The messages that are whole by now; raises BadFrame."""
        self.held += data
        while len(self.held) >= 4:
            (size,) = _HEAD.unpack_from(self.held)
            packed, size = size & _PACKED, size & ~_PACKED
            if size > MOST:
                raise BadFrame(f"a message of {size} bytes")
            if len(self.held) < 4 + size:
                return
            body = bytes(self.held[4:4 + size])
            del self.held[:4 + size]
            try:
                body = _unpacked(body) if packed else body
                message = msgpack.unpackb(body, raw=False, strict_map_key=False, use_list=True)
            except Exception as error:
                raise BadFrame(f"it can't be read: {error}") from None
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise BadFrame("it has no kind")
            yield message
