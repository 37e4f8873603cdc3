"""Requests that offer to change to another protocol, which a server may ignore (RFC 9110, section 7.8).

httptools ends such a request with its head and leaves the rest to the other protocol.  So its head is parsed once
more without the offer, by a new parser, together with the bytes that follow.
"""

from __future__ import annotations

from collections.abc import Iterable

# CONNECT asks for a tunnel, and TRACE for the request itself, with the client's key.
UNSUPPORTED_METHODS = frozenset((b"CONNECT", b"TRACE"))
OFFER_HEADER = b"upgrade"


def head_without_offer(method: bytes, url: bytes, http_version: str, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the head of a request as it would be without the offer, with its blank line; names are in lower case."""
    lines = [b"%b %b HTTP/%b" % (method, url, http_version.encode())]
    lines += [b"%b: %b" % (name, value) for name, value in headers if name != OFFER_HEADER]
    return b"\r\n".join(lines) + b"\r\n\r\n"
