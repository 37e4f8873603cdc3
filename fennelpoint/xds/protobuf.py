"""Small helpers over the published protobufs."""

from __future__ import annotations

from google.protobuf import any_pb2, duration_pb2

DELIMITED = 2   # wire type of messages in messages (protobuf.dev, "Encoding")


def seconds(value: float) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=int(value), nanos=round((value - int(value)) * 1e9))


def packed(message: object) -> bytes:
    """A message as the Any that a response carries it in, written always alike."""
    return packed_bytes(type(message), message.SerializeToString(deterministic=True))


def packed_bytes(kind: type, body: bytes) -> bytes:
    """The same for a message of this type that is written already."""
    wrapped = any_pb2.Any(type_url=f"type.googleapis.com/{kind.DESCRIPTOR.full_name}", value=body)
    return wrapped.SerializeToString(deterministic=True)


def inner(kind: type, name: str, message: object) -> bytes:
    """A message, or its bytes, as the field of that name in a message of that type.

    Fields written one after another are one message with all of them (protobuf.dev, "Encoding").
    """
    body = message if isinstance(message, bytes) else message.SerializeToString(deterministic=True)
    return _varint(kind.DESCRIPTOR.fields_by_name[name].number << 3 | DELIMITED) + _varint(len(body)) + body


def _varint(number: int) -> bytes:
    out = b""
    while number > 127:
        out, number = out + bytes((number & 127 | 128,)), number >> 7
    return out + bytes((number,))
