"""Length-prefixed msgpack messages between the processes of the system; zlib compresses the long ones."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgpack

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
MIN_COMPRESS_BYTES = 700    # compressing pays off from here: lists of backends shrink to a third
_LENGTH = struct.Struct(">I")
_COMPRESSED = 1 << 31   # flag in the length prefix: the body is compressed


class BadFrame(ValueError):
    """The bytes are not a valid message; the stream cannot be read any further."""


def pack(message: list) -> bytes:
    """Returns a message as a frame: length prefix and body."""
    data = msgpack.packb(message, use_bin_type=True)
    if len(data) >= MIN_COMPRESS_BYTES and len(compressed_body := zlib.compress(data, 1)) < 0.9 * len(data):
        return _LENGTH.pack(len(compressed_body) | _COMPRESSED) + compressed_body
    return _LENGTH.pack(len(data)) + data


def _decompress(body: bytes) -> bytes:
    """Decompresses a body, within the size limit of a message: a small frame must not fill the memory."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed body is truncated or too long")
    return data


class Unpacker:
    """Decodes a stream of frames into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[list]:
        """Adds received bytes and yields the messages that are complete; raises BadFrame."""
        self.buffer += data
        while len(self.buffer) >= 4:
            (size,) = _LENGTH.unpack_from(self.buffer)
            is_compressed, size = size & _COMPRESSED, size & ~_COMPRESSED
            if size > MAX_MESSAGE_BYTES:
                raise BadFrame(f"message of {size} bytes exceeds the limit")
            if len(self.buffer) < 4 + size:
                return
            body = bytes(self.buffer[4:4 + size])
            del self.buffer[:4 + size]
            try:
                body = _decompress(body) if is_compressed else body
                message = msgpack.unpackb(body, raw=False, strict_map_key=False, use_list=True)
            except Exception as error:
                raise BadFrame(f"invalid message body: {error}") from None
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise BadFrame("message has no kind")
            yield message
