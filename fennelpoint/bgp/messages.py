"""BGP-4 messages and their bytes: OPEN, KEEPALIVE, NOTIFICATION, ROUTE-REFRESH, and the framing of all.

Pure.  RFC 4271 sections 4 and 6, RFC 5492 (capabilities), RFC 6793 (four-octet AS numbers), RFC 4760
(multiprotocol), RFC 8950 (extended next hop), RFC 2918 (route refresh), RFC 4486 and 9003 (cease).  UPDATE
has a module of its own, `updates`.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

MARKER = b"\xff" * 16
HEADER, LARGEST = 19, 4096      # bytes (RFC 4271, section 4.1)
VERSION, AS_TRANS = 4, 23456
IPV4, IPV6, UNICAST = 1, 2, 1   # AFI, AFI, SAFI
MOST_WORDS = 255                # bytes of a shutdown communication (RFC 9003)

Family = tuple[int, int]        # AFI, SAFI


class Kind(IntEnum):
    """Message types (RFC 4271, section 4.1; RFC 2918)."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4
    ROUTE_REFRESH = 5


SHORTEST = {Kind.OPEN: 29, Kind.UPDATE: 23, Kind.NOTIFICATION: 21, Kind.KEEPALIVE: 19, Kind.ROUTE_REFRESH: 23}
EXACT = frozenset((Kind.KEEPALIVE, Kind.ROUTE_REFRESH))


class Error(IntEnum):
    """Error codes (RFC 4271, section 4.5)."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD = 4
    FSM = 5
    CEASE = 6


class Cease(IntEnum):
    """Subcodes of a cease (RFC 4486)."""

    MAXIMUM_PREFIXES = 1
    SHUTDOWN = 2
    PEER_DECONFIGURED = 3
    RESET = 4
    REJECTED = 5
    OTHER_CHANGE = 6
    COLLISION = 7
    OUT_OF_RESOURCES = 8


class BgpError(Exception):
    """What ends the session, as the NOTIFICATION that tells of it (RFC 4271, section 6)."""

    def __init__(self, code: int, subcode: int = 0, data: bytes = b"", why: str = "") -> None:
        super().__init__(why or f"error {code}.{subcode}")
        self.notification = Notification(code, subcode, data)


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What a speaker offers (RFC 5492).  `four_octets` is its AS number where it knows RFC 6793."""

    families: frozenset[Family] = frozenset()
    four_octets: int | None = None
    refresh: bool = False
    next_hops: frozenset[tuple[int, int, int]] = frozenset()    # NLRI's AFI and SAFI, next hop's AFI


@dataclass(frozen=True, slots=True)
class Open:
    """`hold` in s, 0: none; `identifier` as a number, never 0."""

    asn: int
    hold: int
    identifier: int
    capabilities: Capabilities = field(default_factory=Capabilities)


@dataclass(frozen=True, slots=True)
class Keepalive:
    pass


@dataclass(frozen=True, slots=True)
class Notification:
    code: int
    subcode: int = 0
    data: bytes = b""

    def words(self) -> str:
        """The shutdown communication (RFC 9003), if it is one and can be read."""
        if self.code != Error.CEASE or self.subcode not in (Cease.SHUTDOWN, Cease.RESET) or not self.data:
            return ""
        return self.data[1:1 + self.data[0]].decode("utf-8", "replace")


@dataclass(frozen=True, slots=True)
class RouteRefresh:
    family: Family


def shutdown(subcode: Cease, words: str = "") -> Notification:
    """A cease with a shutdown communication, cut at a whole character (RFC 9003, section 2)."""
    text = words.encode()[:MOST_WORDS].decode("utf-8", "ignore").encode()
    return Notification(Error.CEASE, subcode, bytes((len(text),)) + text if text else b"")


def framed(kind: Kind, body: bytes = b"") -> bytes:
    """A message with its header; raises ValueError where it would be too long."""
    if (length := HEADER + len(body)) > LARGEST:
        raise ValueError(f"a message of {length} bytes is longer than {LARGEST}")
    return MARKER + struct.pack("!HB", length, kind) + body


def encode(message: Open | Keepalive | Notification | RouteRefresh) -> bytes:
    """The bytes of any message but an UPDATE."""
    if isinstance(message, Open):
        return framed(Kind.OPEN, _open(message))
    if isinstance(message, Notification):
        return framed(Kind.NOTIFICATION, bytes((message.code, message.subcode)) + message.data)
    if isinstance(message, RouteRefresh):
        return framed(Kind.ROUTE_REFRESH, struct.pack("!HBB", message.family[0], 0, message.family[1]))
    return framed(Kind.KEEPALIVE)


def _open(message: Open) -> bytes:
    caps, offered = [], message.capabilities
    caps += [(1, struct.pack("!HBB", afi, 0, safi)) for afi, safi in sorted(offered.families)]
    if offered.refresh:
        caps.append((2, b""))
    if offered.next_hops:
        caps.append((5, b"".join(struct.pack("!HHH", *item) for item in sorted(offered.next_hops))))
    if offered.four_octets is not None:
        caps.append((65, struct.pack("!I", offered.four_octets)))
    text = b"".join(bytes((code, len(value))) + value for code, value in caps)
    if len(text) > 253:
        raise ValueError("the capabilities are longer than 253 bytes")
    parameters = bytes((2, len(text))) + text if text else b""
    asn = message.asn if message.asn < 1 << 16 else AS_TRANS
    return struct.pack("!BHHIB", VERSION, asn, message.hold, message.identifier, len(parameters)) + parameters


def decode_open(body: bytes) -> Open:
    """An OPEN's body; raises BgpError (RFC 4271, section 6.2).  Capabilities not known are passed by."""
    version, asn, hold, identifier, length = struct.unpack_from("!BHHIB", body)
    if version != VERSION:
        raise BgpError(Error.OPEN, 1, struct.pack("!H", VERSION), f"version {version} is not spoken here")
    if hold in (1, 2):
        raise BgpError(Error.OPEN, 6, b"", f"a hold time of {hold} s is too short")
    if identifier == 0:
        raise BgpError(Error.OPEN, 3, b"", "the identifier is 0")
    rest = body[10:]
    if len(rest) != length:
        raise BgpError(Error.OPEN, 0, b"", "the optional parameters are not as long as they say")
    families, next_hops, refresh, four = set(), set(), False, None
    for code, value in _capabilities(rest):
        if code == 1 and len(value) == 4:
            afi, _, safi = struct.unpack("!HBB", value)
            families.add((afi, safi))
        elif code == 2 and not value:
            refresh = True
        elif code == 5 and value and len(value) % 6 == 0:
            next_hops.update(struct.iter_unpack("!HHH", value))
        elif code == 65:
            if len(value) != 4 or (four := int.from_bytes(value)) == 0:
                raise BgpError(Error.OPEN, 2 if len(value) == 4 else 0, b"", "a bad four-octet AS number")
    if asn == 0:
        raise BgpError(Error.OPEN, 2, b"", "the AS number is 0")
    offered = Capabilities(frozenset(families), four, refresh, frozenset(next_hops))
    return Open(four if four is not None else asn, hold, identifier, offered)


def _capabilities(rest: bytes) -> list[tuple[int, bytes]]:
    out = []
    while rest:
        if len(rest) < 2 or len(rest) < 2 + rest[1]:
            raise BgpError(Error.OPEN, 0, b"", "an optional parameter is cut off")
        kind, value, rest = rest[0], rest[2:2 + rest[1]], rest[2 + rest[1]:]
        if kind != 2:
            raise BgpError(Error.OPEN, 4, b"", f"the optional parameter {kind} is not known")
        while value:
            if len(value) < 2 or len(value) < 2 + value[1]:
                raise BgpError(Error.OPEN, 0, b"", "a capability is cut off")
            out.append((value[0], value[2:2 + value[1]]))
            value = value[2 + value[1]:]
    return out


def decode_other(kind: Kind, body: bytes) -> Keepalive | Notification | RouteRefresh:
    """The body of a message that is neither OPEN nor UPDATE; its length was checked."""
    if kind is Kind.NOTIFICATION:
        return Notification(body[0], body[1], body[2:])
    if kind is Kind.ROUTE_REFRESH:
        afi, _, safi = struct.unpack("!HBB", body)
        return RouteRefresh((afi, safi))
    return Keepalive()


class Framer:
    """Cuts a stream of bytes into messages: `receive` gives type and body of each that is whole."""

    def __init__(self) -> None:
        self.rest = b""

    def receive(self, data: bytes) -> list[tuple[Kind, bytes]]:
        """Raises BgpError (RFC 4271, section 6.1); what came before the fault is lost with the session."""
        self.rest += data
        out = []
        while len(self.rest) >= HEADER:
            if self.rest[:16] != MARKER:
                raise BgpError(Error.HEADER, 1, b"", "the marker is not all ones")
            length, number = struct.unpack_from("!HB", self.rest, 16)
            told = struct.pack("!H", length)
            if not HEADER <= length <= LARGEST:
                raise BgpError(Error.HEADER, 2, told, f"a length of {length}")
            if number not in SHORTEST:
                raise BgpError(Error.HEADER, 3, bytes((number,)), f"the message type {number} is not known")
            kind = Kind(number)
            if length < SHORTEST[kind] or (kind in EXACT and length != SHORTEST[kind]):
                raise BgpError(Error.HEADER, 2, told, f"a length of {length} for {kind.name}")
            if len(self.rest) < length:
                break
            out.append((kind, self.rest[HEADER:length]))
            self.rest = self.rest[length:]
        return out
