"""Membership of the proxies, from their own requests and by gossip between registries.

A registry to which a proxy sends requests tells the others: the full state where it has changed, otherwise the time
since the last request and a digest of the state.  Updates are ordered by the time of the proxy's request, which a
receiver can only estimate from the age in the update and its own clock.  A delayed update seems newer than it is, and
the one after it may seem older and be dropped.  A receiver whose state has another digest therefore requests the full
state again, until both agree.
"""

from __future__ import annotations

import socket
import zlib
from dataclasses import dataclass, field

ESTIMATE_ERROR_S = 0.02  # by which two estimates of the time of the same request may differ


def address_to_number(ip: str) -> int | str:
    """Return an IP address as a 32-bit integer, as gossip names each proxy twice a second.

    A string that is no IPv4 address is returned unchanged: simulations use names.
    """
    try:
        return int.from_bytes(socket.inet_aton(ip), "big")
    except OSError:
        return ip


def number_to_address(number: int | str) -> str:
    """Return the address that `address_to_number` has converted."""
    return number if isinstance(number, str) else socket.inet_ntoa(number.to_bytes(4, "big"))


@dataclass(slots=True)
class Member:
    """A proxy: its address for clients, its location, and its state as of its last request.

    Times are in s on this machine's steady clock.
    """

    ip: str
    address: str
    zone: str
    region: str
    incarnation: int
    ready: bool
    version: int  # of the configuration in force there
    last_request_at: float
    is_direct: bool = False  # whether it sends its requests to this registry
    unready_since: float | None = None  # across incarnations, while it is not ready
    is_leaving: bool = False  # no longer ready, in an incarnation that was ready: it still serves for a while

    @property
    def digest(self) -> int:
        """16 bits that differ where the state does, except for one case in 65,536."""
        return zlib.crc32(f"{self.address} {self.incarnation} {self.ready} {self.version}".encode()) & 0xFFFF

    def pack(self, now: float) -> list:
        """Return the full state for gossip, with an age in place of the time."""
        return [
            self.ip, self.address, self.zone, self.region, self.incarnation, self.ready, self.version,
            round(now - self.last_request_at, 2),
        ]  # fmt: skip


@dataclass(slots=True)
class Membership:
    """The proxies, by IP address."""

    known: dict[str, Member] = field(default_factory=dict)
    sent_digests: dict[str, int] = field(default_factory=dict)  # of the states last gossiped in full, by IP address

    def update(
        self, ip: str, address: str, zone: str, region: str, incarnation: int, ready: bool, version: int, age: float,
        now: float, is_direct: bool = False,
    ) -> None:  # fmt: skip
        """Apply a state that the proxy sent `age` s ago, unless a later one is known."""
        old = self.known.get(ip)
        if old is not None and now - age < old.last_request_at - ESTIMATE_ERROR_S:
            return  # an earlier state; incarnations are random numbers and have no order
        member = Member(ip, address, zone, region, incarnation, ready, version, now - age, is_direct)
        if not ready:
            member.unready_since = now - age
            if old is not None:
                member.unready_since = now - age if old.unready_since is None else old.unready_since
                member.is_leaving = old.incarnation == incarnation and (old.ready or old.is_leaving)
        self.known[ip] = member

    def remove(self, ip: str) -> None:
        """Remove a proxy that no longer exists."""
        self.known.pop(ip, None)
        self.sent_digests.pop(ip, None)

    def ready(self, now: float, max_age_s: float) -> list[Member]:
        """Return the proxies that are ready and sent a request within `max_age_s`."""
        return [member for member in self.known.values() if member.ready and now - member.last_request_at < max_age_s]

    def gossip(self, now: float, max_age_s: float) -> tuple[list, list]:
        """Return the gossip on the proxies that send their requests here.

        The first list holds full states, where they are new.  The second has three items for each other proxy: its
        address as a number, its age in ms, and its digest.
        """
        full, brief = [], []
        for member in self.known.values():
            if not member.is_direct or now - member.last_request_at > max_age_s:
                continue
            digest = member.digest
            if self.sent_digests.get(member.ip) != digest:
                self.sent_digests[member.ip] = digest
                full.append(member.pack(now))
            else:
                brief += [address_to_number(member.ip), int((now - member.last_request_at) * 1000), digest]
        return full, brief

    def merge(self, full: list, brief: list, delay_s: float, now: float) -> list[int | str]:
        """Apply another registry's gossip, which may have waited on this machine for `delay_s`.

        Returns the numbers of the proxies whose state is unknown or different here.
        """
        for *member, age in full:
            self.update(*member, age + delay_s, now)
        unknown = []
        for number, age, digest in zip(brief[::3], brief[1::3], brief[2::3], strict=True):
            member, requested_at = self.known.get(number_to_address(number)), now - age / 1000 - delay_s
            if member is None or member.digest != digest:
                unknown.append(number)
            elif requested_at > member.last_request_at:
                member.last_request_at, member.is_direct = requested_at, False
        return unknown

    def resend(self, numbers: list[int | str]) -> None:
        """Send the full state of these proxies with the next gossip: another registry does not know it."""
        for number in numbers:
            self.sent_digests.pop(number_to_address(number), None)

    def resend_all(self) -> None:
        """Send the full state of all proxies with the next gossip, to a registry that has just connected."""
        self.sent_digests.clear()
