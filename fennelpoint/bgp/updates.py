"""UPDATE messages: what is announced as bytes, and what a peer's says, read with care.

Pure.  RFC 4271 sections 4.3 and 6.3, RFC 4760 (multiprotocol), RFC 8950 (IPv4 with an IPv6 next hop), RFC
6793 (AS4_PATH), RFC 1997 and RFC 8092 (communities), RFC 7606 (revised error handling): a faulty attribute
takes its routes away, and only what can't be cut into routes at all ends the session.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address

from fennelpoint.bgp.messages import (
    AS_TRANS,
    IPV4,
    IPV6,
    LARGEST,
    UNICAST,
    BgpError,
    Error,
    Family,
    Kind,
    framed,
)

Network = IPv4Network | IPv6Network
Address = IPv4Address | IPv6Address

ORIGIN, AS_PATH, NEXT_HOP, MED, LOCAL_PREF, ATOMIC, AGGREGATOR, COMMUNITIES = 1, 2, 3, 4, 5, 6, 7, 8
MP_REACH, MP_UNREACH, AS4_PATH, AS4_AGGREGATOR, LARGE = 14, 15, 17, 18, 32
OPTIONAL, TRANSITIVE, PARTIAL, EXTENDED = 0x80, 0x40, 0x20, 0x10
SEQUENCE = 2
GRACEFUL_SHUTDOWN = (65535, 0)  # RFC 8326

# Flags (optional, transitive) that an attribute must have, and its lengths where they are fixed.
FLAGS = {ORIGIN: 0x40, AS_PATH: 0x40, NEXT_HOP: 0x40, MED: 0x80, LOCAL_PREF: 0x40, ATOMIC: 0x40,
         AGGREGATOR: 0xC0, COMMUNITIES: 0xC0, MP_REACH: 0x80, MP_UNREACH: 0x80, AS4_PATH: 0xC0,
         AS4_AGGREGATOR: 0xC0, LARGE: 0xC0}
LENGTHS = {ORIGIN: 1, NEXT_HOP: 4, MED: 4, LOCAL_PREF: 4}
UNITS = {COMMUNITIES: 4, LARGE: 12}     # lengths that are multiples, and over 0
DISCARDED = {ATOMIC: (0,), AGGREGATOR: (6, 8), AS4_AGGREGATOR: (8,)}    # faulty ones are left out, no more


@dataclass(frozen=True, slots=True)
class Path:
    """What is said of a route.  `as_path` is one sequence, ours first; `med` and `local_pref` may be none."""

    next_hop: Address
    as_path: tuple[int, ...] = ()
    origin: int = 0     # IGP
    med: int | None = None
    local_pref: int | None = None
    communities: tuple[tuple[int, int], ...] = ()
    large: tuple[tuple[int, int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Update:
    """A peer's UPDATE.  `fault`: why its routes count as withdrawn (RFC 7606), empty where it is sound."""

    announced: tuple[Network, ...] = ()
    withdrawn: tuple[Network, ...] = ()
    path: Path | None = None
    fault: str = ""
    end_of_rib: Family | None = None


@dataclass(frozen=True, slots=True)
class Terms:
    """What two speakers agreed on: four-octet AS numbers, families, next hops of another family."""

    four_octets: bool = True
    families: frozenset[Family] = frozenset({(IPV4, UNICAST)})
    next_hops: frozenset[tuple[int, int, int]] = frozenset()


def family(network: Network) -> Family:
    return (IPV4 if network.version == 4 else IPV6, UNICAST)


# Writing


def prefix(network: Network) -> bytes:
    """A prefix: its length in bits and as many bytes as they take (RFC 4271, section 4.3)."""
    return bytes((network.prefixlen,)) + network.network_address.packed[:(network.prefixlen + 7) // 8]


def attribute(code: int, value: bytes) -> bytes:
    flags = FLAGS[code]
    if len(value) > 255:
        return struct.pack("!BBH", flags | EXTENDED, code, len(value)) + value
    return struct.pack("!BBB", flags, code, len(value)) + value


def _segments(path: Iterable[int], width: str) -> bytes:
    """AS numbers as sequences of 255 at most."""
    numbers, out = list(path), b""
    for begin in range(0, len(numbers), 255):
        part = numbers[begin:begin + 255]
        out += bytes((SEQUENCE, len(part))) + struct.pack(f"!{len(part)}{width}", *part)
    return out


def attributes(path: Path, terms: Terms, reach: bytes = b"") -> bytes:
    """Path attributes in the order of their codes; `reach` is the MP_REACH_NLRI's value, if there is one."""
    made = [(ORIGIN, bytes((path.origin,)))]
    short = any(n >= 1 << 16 for n in path.as_path) and not terms.four_octets
    told = [n if n < 1 << 16 else AS_TRANS for n in path.as_path] if short else path.as_path
    made.append((AS_PATH, _segments(told, "I" if terms.four_octets else "H")))
    if not reach:
        made.append((NEXT_HOP, path.next_hop.packed))
    if path.med is not None:
        made.append((MED, struct.pack("!I", path.med)))
    if path.local_pref is not None:
        made.append((LOCAL_PREF, struct.pack("!I", path.local_pref)))
    if path.communities:
        made.append((COMMUNITIES, b"".join(struct.pack("!HH", *c) for c in path.communities)))
    if reach:
        made.append((MP_REACH, reach))
    if short:
        made.append((AS4_PATH, _segments(path.as_path, "I")))
    if path.large:
        made.append((LARGE, b"".join(struct.pack("!III", *c) for c in path.large)))
    return b"".join(attribute(code, value) for code, value in made)


def _update(withdrawn: bytes, attrs: bytes, nlri: bytes) -> bytes:
    return framed(Kind.UPDATE, struct.pack("!H", len(withdrawn)) + withdrawn
                  + struct.pack("!H", len(attrs)) + attrs + nlri)


def _packs(networks: Iterable[Network], room: int) -> Iterable[bytes]:
    """Prefixes in order, as many to a pack as there is room for."""
    pack = b""
    for network in networks:
        one = prefix(network)
        if pack and len(pack) + len(one) > room:
            yield pack
            pack = b""
        pack += one
    if pack:
        yield pack


def announce(networks: Iterable[Network], path: Path, terms: Terms) -> list[bytes]:
    """UPDATEs that announce these, each as long as it may be.

    Raises ValueError where the peer did not agree on a family, or on a next hop of another family.
    """
    out, wanted = [], sorted(set(networks), key=lambda n: (n.version, n))
    for version in (4, 6):
        own = [n for n in wanted if n.version == version]
        if not own:
            continue
        fam = family(own[0])
        if fam not in terms.families:
            raise ValueError(f"the peer takes no IPv{version} routes")
        hop = path.next_hop
        if version == 4 and hop.version == 4:
            attrs = attributes(path, terms)
            out += [_update(b"", attrs, pack) for pack in _packs(own, LARGEST - 23 - len(attrs))]
            continue
        if version != hop.version and (*fam, IPV6 if hop.version == 6 else IPV4) not in terms.next_hops:
            raise ValueError(f"the peer takes no IPv{version} routes with the next hop {hop}")
        head = struct.pack("!HBB", *fam, len(hop.packed)) + hop.packed + b"\0"
        room = LARGEST - 23 - len(attributes(path, terms, head + bytes(256)))
        out += [_update(b"", attributes(path, terms, head + pack), b"") for pack in _packs(own, room)]
    return out


def withdraw(networks: Iterable[Network]) -> list[bytes]:
    """UPDATEs that withdraw these."""
    wanted = sorted(set(networks), key=lambda n: (n.version, n))
    out = [_update(pack, b"", b"") for pack in _packs((n for n in wanted if n.version == 4), LARGEST - 23)]
    head = struct.pack("!HB", IPV6, UNICAST)
    out += [_update(b"", attribute(MP_UNREACH, head + pack), b"")
            for pack in _packs((n for n in wanted if n.version == 6), LARGEST - 40)]
    return out


def end_of_rib(fam: Family) -> bytes:
    """The marker that all was told once (RFC 4724, section 2)."""
    if fam == (IPV4, UNICAST):
        return _update(b"", b"", b"")
    return _update(b"", attribute(MP_UNREACH, struct.pack("!HB", *fam)), b"")


# Reading


class _Withdraw(Exception):
    """A fault that takes the message's routes away."""


def decode(body: bytes, terms: Terms) -> Update:
    """An UPDATE's body.  Raises BgpError where routes can't be told apart (RFC 7606, sections 3 to 5)."""
    (length,) = struct.unpack_from("!H", body)
    if 4 + length > len(body):
        raise BgpError(Error.UPDATE, 1, b"", "the withdrawn routes are longer than the message")
    withdrawn = _prefixes(body[2:2 + length], 4)
    (total,) = struct.unpack_from("!H", body, 2 + length)
    begin = 4 + length
    if begin + total > len(body):
        raise BgpError(Error.UPDATE, 1, b"", "the attributes are longer than the message")
    announced = _prefixes(body[begin + total:], 4)
    if not total and not withdrawn and not announced:
        return Update(end_of_rib=(IPV4, UNICAST))
    found, fault = _attributes(body[begin:begin + total])
    gone, reached, hop = list(withdrawn), list(announced), None
    if MP_UNREACH in found:
        fam, networks = _unreach(found[MP_UNREACH])
        if not networks and len(found) == 1 and not withdrawn and not announced:
            return Update(end_of_rib=fam)
        gone += networks
    if MP_REACH in found:
        hop, networks = _reach(found[MP_REACH])
        reached += networks
    path = None
    if reached and not fault:
        try:
            path = _path(found, terms, hop, bool(announced))
        except _Withdraw as error:
            fault = str(error)
    if fault:   # treat-as-withdraw: what it would announce counts as gone
        return Update((), (*gone, *reached), None, fault)
    return Update(tuple(reached), tuple(gone), path)


def _prefixes(data: bytes, version: int) -> list[Network]:
    """Prefixes one after another; what can't be cut ends the session (RFC 7606, section 5.3)."""
    out, at = [], 0
    make, most = (IPv4Network, 32) if version == 4 else (IPv6Network, 128)
    while at < len(data):
        bits = data[at]
        size = (bits + 7) // 8
        if bits > most or at + 1 + size > len(data):
            raise BgpError(Error.UPDATE, 10, b"", f"a prefix of {bits} bits can't be read")
        raw = data[at + 1:at + 1 + size].ljust(most // 8, b"\0")
        out.append(make((raw, bits), strict=False))
        at += 1 + size
    return out


def _attributes(data: bytes) -> tuple[dict[int, bytes], str]:
    """Attributes by code, and the first fault that takes the routes away."""
    found: dict[int, bytes] = {}
    fault, at = "", 0
    while at < len(data):
        size = 4 if data[at] & EXTENDED else 3
        if at + size > len(data):
            return found, fault or "an attribute is cut off"
        flags, code = data[at], data[at + 1]
        length = int.from_bytes(data[at + 2:at + size])
        value = data[at + size:at + size + length]
        at += size + length
        if len(value) < length:
            return found, fault or f"the attribute {code} is longer than the message"
        if code in found:
            if code in (MP_REACH, MP_UNREACH):
                raise BgpError(Error.UPDATE, 1, b"", f"the attribute {code} comes twice")
            continue    # the first counts (RFC 7606, section 3 g)
        if code not in FLAGS:
            if not flags & OPTIONAL:
                raise BgpError(Error.UPDATE, 2, data[at - size - length:at],
                               f"the well-known attribute {code} is not known")
            continue
        if flags & (OPTIONAL | TRANSITIVE) != FLAGS[code]:
            fault = fault or f"the attribute {code} has the flags {flags:#x}"
        if code in DISCARDED and length not in DISCARDED[code]:
            continue
        if (code in LENGTHS and length != LENGTHS[code]) or (
                code in UNITS and (length == 0 or length % UNITS[code])):
            fault = fault or f"the attribute {code} has the length {length}"
        found[code] = value
    return found, fault


def _path(found: dict[int, bytes], terms: Terms, hop: Address | None, plain: bool) -> Path:
    """What is said of the routes; raises _Withdraw."""
    for code, name in ((ORIGIN, "ORIGIN"), (AS_PATH, "AS_PATH"), (NEXT_HOP, "NEXT_HOP")):
        if code not in found and (plain or code != NEXT_HOP):
            raise _Withdraw(f"{name} is missing")
    if found[ORIGIN][0] > 2:
        raise _Withdraw(f"ORIGIN is {found[ORIGIN][0]}")
    numbers = _numbers(found[AS_PATH], 4 if terms.four_octets else 2)
    if not terms.four_octets and AS4_PATH in found:
        numbers = _merged(numbers, found[AS4_PATH])
    address = hop if hop is not None and not plain else IPv4Address(found[NEXT_HOP])
    made = Path(address, tuple(numbers), found[ORIGIN][0])
    words = {name: int.from_bytes(found[code]) for code, name in ((MED, "med"), (LOCAL_PREF, "local_pref"))
             if code in found}
    return replace(made, **words, communities=tuple(struct.iter_unpack("!HH", found.get(COMMUNITIES, b""))),
                   large=tuple(struct.iter_unpack("!III", found.get(LARGE, b""))))


def _numbers(data: bytes, width: int) -> list[int]:
    """The AS numbers of all segments in order."""
    out, at = [], 0
    while at < len(data):
        if at + 2 > len(data) or data[at] not in (1, 2, 3, 4) or data[at + 1] == 0 or (
                at + 2 + data[at + 1] * width > len(data)):
            raise _Withdraw("AS_PATH can't be read")
        end = at + 2 + data[at + 1] * width
        out += [int.from_bytes(data[i:i + width]) for i in range(at + 2, end, width)]
        at = end
    return out


def _merged(numbers: list[int], data: bytes) -> list[int]:
    """AS_PATH with the numbers that AS4_PATH knows (RFC 6793, section 4.2.3); a faulty one is left out."""
    try:
        wide = _numbers(data, 4)
    except _Withdraw:
        return numbers
    return numbers[:len(numbers) - len(wide)] + wide if len(wide) <= len(numbers) else numbers


def _reach(value: bytes) -> tuple[Address, list[Network]]:
    """Next hop and routes of MP_REACH_NLRI; what can't be read ends the session (RFC 7606, section 5.3)."""
    if len(value) < 5 or len(value) < 5 + value[3]:
        raise BgpError(Error.UPDATE, 9, b"", "MP_REACH_NLRI is cut off")
    afi, safi, size = struct.unpack_from("!HBB", value)
    if size not in (4, 16, 32) or safi != UNICAST or afi not in (IPV4, IPV6):
        raise BgpError(Error.UPDATE, 9, b"", f"MP_REACH_NLRI of {afi}/{safi} with a next hop of {size} bytes")
    hop = ip_address(value[4:4 + min(size, 16)])    # a link-local one that follows is of no use here
    return hop, _prefixes(value[5 + size:], 4 if afi == IPV4 else 6)


def _unreach(value: bytes) -> tuple[Family, list[Network]]:
    if len(value) < 3:
        raise BgpError(Error.UPDATE, 9, b"", "MP_UNREACH_NLRI is cut off")
    afi, safi = struct.unpack_from("!HB", value)
    if safi != UNICAST or afi not in (IPV4, IPV6):
        raise BgpError(Error.UPDATE, 9, b"", f"MP_UNREACH_NLRI of {afi}/{safi}")
    return (afi, safi), _prefixes(value[3:], 4 if afi == IPV4 else 6)
