"""Which proxies there are, by their own asks and by gossip between registries.

A registry that a proxy asks tells the others: the whole state where that has changed, else the time since it was
heard and a digest of the state.  Words are ordered by the moment at which the proxy was heard, which a receiver can
only reckon from the age that the word tells and its own clock; a word that waited seems newer than it is, and one
after it may seem older and be dropped.  So a receiver whose state has another digest asks for the whole again, until
both agree.
"""

from __future__ import annotations

import socket
import zlib
from dataclasses import dataclass, field

ROUNDING = 0.02  # s that a reckoned moment may be off by for one and the same ask


def number_of(ip: str) -> int | str:
    """An IP address in four bytes: gossip names every front twice a second."""
    try:
        return int.from_bytes(socket.inet_aton(ip), "big")
    except OSError:
        return ip  # no address: a name, as in simulated time


def ip_by(number: int | str) -> str:
    """The address of a number that `number_of` gave."""
    return number if isinstance(number, str) else socket.inet_ntoa(number.to_bytes(4, "big"))


@dataclass(slots=True)
class Member:
    """A front: where clients reach it, where it stands, and when it last asked (s on this machine's steady clock)."""

    ip: str
    address: str
    zone: str
    region: str
    life: int
    ready: bool
    version: int  # of the configuration in force there
    heard: float
    direct: bool = False  # it asks here
    unready_since: float | None = None  # over all its lives, while it is not ready
    leaving: bool = False  # not ready any more, in a life in which it was: it serves on for a while

    @property
    def digest(self) -> int:
        """Two bytes that differ where the state does, but for one time in 65,536."""
        return zlib.crc32(f"{self.address} {self.life} {self.ready} {self.version}".encode()) & 0xFFFF

    def pack(self, now: float) -> list:
        """All of it, with its age in place of the moment."""
        return [
            self.ip, self.address, self.zone, self.region, self.life, self.ready, self.version,
            round(now - self.heard, 2),
        ]  # fmt: skip


@dataclass(slots=True)
class Members:
    """The fronts, by IP address."""

    known: dict[str, Member] = field(default_factory=dict)
    told: dict[str, int] = field(default_factory=dict)  # digests of the states that were told last, by IP address

    def fold(
        self, ip: str, address: str, zone: str, region: str, life: int, ready: bool, version: int, age: float,
        now: float, direct: bool = False,
    ) -> None:  # fmt: skip
        """Take in a state that was heard `age` s ago, unless a later one is known."""
        old = self.known.get(ip)
        if old is not None and now - age < old.heard - ROUNDING:
            return  # what was said earlier; lives are drawn, and tell no order
        member = Member(ip, address, zone, region, life, ready, version, now - age, direct)
        if not ready:
            member.unready_since = now - age
            if old is not None:
                member.unready_since = now - age if old.unready_since is None else old.unready_since
                member.leaving = old.life == life and (old.ready or old.leaving)
        self.known[ip] = member

    def forget(self, ip: str) -> None:
        """One that is no more."""
        self.known.pop(ip, None)
        self.told.pop(ip, None)

    def ready(self, now: float, fresh: float) -> list[Member]:
        """Those that are ready, and were heard within so many s."""
        return [member for member in self.known.values() if member.ready and now - member.heard < fresh]

    def gossip(self, now: float, fresh: float) -> tuple[list, list]:
        """What others are told of those that ask here.

        The whole where the state is new; else three items each: number, age in ms, digest.
        """
        whole, brief = [], []
        for member in self.known.values():
            if not member.direct or now - member.heard > fresh:
                continue
            digest = member.digest
            if self.told.get(member.ip) != digest:
                self.told[member.ip] = digest
                whole.append(member.pack(now))
            else:
                brief += [number_of(member.ip), int((now - member.heard) * 1000), digest]
        return whole, brief

    def take(self, whole: list, brief: list, late: float, now: float) -> list[int | str]:
        """Another registry's gossip, which may have waited here for `late` s.

        Returns the numbers of those whose state is not known, or is another one here.
        """
        for *member, age in whole:
            self.fold(*member, age + late, now)
        unknown = []
        for number, age, digest in zip(brief[::3], brief[1::3], brief[2::3], strict=True):
            member, at = self.known.get(ip_by(number)), now - age / 1000 - late
            if member is None or member.digest != digest:
                unknown.append(number)
            elif at > member.heard:
                member.heard, member.direct = at, False
        return unknown

    def tell_again(self, numbers: list[int | str]) -> None:
        """Others do not know the state of these: the next gossip has it whole."""
        for number in numbers:
            self.told.pop(ip_by(number), None)

    def tell_all_again(self) -> None:
        """Somebody new listens."""
        self.told.clear()
