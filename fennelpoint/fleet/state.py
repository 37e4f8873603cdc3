"""The fleet's agreed state: its members, the version in force and the one that is coming.

Pure.  One value under one key of the register, so that each step is one compare-and-set.  A *fleet version* has a
number that only grows and a digest of its content.  It goes

    offered -> closing -> in force      or      offered -> halted

offered: ingresses fetch and check it and say so, nobody acts on it.  closing: agreed; each acts on it from when
it hears, and nobody's licence for the one before is renewed.  in force: nobody can still act on the one before.
At most two adjacent versions are acted on at any time, since the next is offered only after that.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from math import floor

KEY = "fleet"
SCHEMA = 1
MOST_MEMBERS = 1000
MOST_HISTORY = 32
OFFERED, CLOSING = "offered", "closing"
LOST = "lost"       # the digest of a content that no keeper has
LOOSENING, TIGHTENING = "loosening", "tightening"


class Refused(ValueError):
    """Why a step can't be taken, in one line; nothing has changed."""


@dataclass(frozen=True, slots=True)
class Member:
    """One ingress of the fleet."""

    number: int     # among all, as agencies' sets count them
    zone: str
    address: str    # where its fleet part listens


@dataclass(frozen=True, slots=True)
class Version:
    number: int
    digest: str     # of its content; none: version 0, each ingress's own files
    kind: str = LOOSENING
    who: str = ""
    why: str = ""
    state: str = "in force"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What all go by: a licence's life, and how many may be shut out at a time."""

    licence_s: float = 3.0
    settle_s: float = 5.0       # for all to fetch a version before those who have not are counted out
    share: float = 0.25         # of the fleet
    zone_share: float = 0.5     # of a zone's ingresses
    set_width: int = 2          # ingresses in a row that an agency's set may be: never all of them
    ring: int = 0               # ingresses that sets are counted round; 0: there are no sets


@dataclass(frozen=True, slots=True)
class Fleet:
    """The whole state.

    `least` holds the fewest members, in all and by zone, since the version in force was agreed; `later` the same
    since the one that is closing was: whoever still acts on the older one may know any roster since then.
    """

    record: str                 # of this record; another one is another fleet's, or founded anew
    version: Version
    coming: Version | None = None
    last: int = 0               # the highest number ever given
    members: Mapping[str, Member] = field(default_factory=dict)
    least: Mapping[str, int] = field(default_factory=dict)
    later: Mapping[str, int] = field(default_factory=dict)
    bounds: Bounds = Bounds()
    history: tuple[Version, ...] = ()   # the newest last
    schema: int = SCHEMA

    @property
    def target(self) -> Version:
        """What an ingress that hears this is to act on."""
        return self.coming if self.coming is not None and self.coming.state == CLOSING else self.version

    @property
    def mixed(self) -> bool:
        """Whether the version before the target may still be acted on."""
        return self.target is self.coming

    def value(self) -> dict:
        """For the register, and back by `read`."""
        return asdict(self)


def read(value: object) -> Fleet:
    """Raises Refused where it is no state of a fleet that this program can go by."""
    try:
        if value["schema"] != SCHEMA:
            raise Refused(f"the record's schema is {value['schema']!r}: this program reads {SCHEMA}")
        made = Fleet(
            value["record"], Version(**value["version"]),
            Version(**value["coming"]) if value["coming"] is not None else None, value["last"],
            {name: Member(**member) for name, member in value["members"].items()}, dict(value["least"]),
            dict(value["later"]), Bounds(**value["bounds"]), tuple(Version(**v) for v in value["history"]))
        if not isinstance(made.record, str) or type(made.last) is not int or made.last < made.target.number:
            raise Refused("the record is no fleet's: its figures contradict each other")
        return made
    except (KeyError, TypeError, AttributeError):
        raise Refused("the record is no fleet's") from None


def overreach(fleet: Fleet, out: Iterable[str]) -> str:
    """Why these may not all be out; empty where they may.

    Monotone: what holds for some holds for more.  So those who may not be out at once, being cut off from the
    keepers together, can go on by what they have: a tightening is in force only once those who may still act on
    the older version are so few that they may be out.
    """
    gone = {name for name in out if name in fleet.members}
    if not gone:
        return ""
    size = min(len(fleet.members), fleet.least.get("", len(fleet.members)))
    if len(gone) > max(1, floor(fleet.bounds.share * size + 1e-9)):
        return f"{len(gone)} of {size} are over the share {fleet.bounds.share:g}"
    if len(gone) >= size:
        return "it is the whole fleet"
    zones: dict[str, list[str]] = {}
    for name, member in fleet.members.items():
        zones.setdefault(member.zone, []).append(name)
    for zone, names in zones.items():
        inside = len(gone.intersection(names))
        size = min(len(names), fleet.least.get(zone, len(names)))
        if inside > max(1, floor(fleet.bounds.zone_share * size + 1e-9)):
            return f"{inside} of {size} in zone {zone} are over the share {fleet.bounds.zone_share:g}"
    numbers = {fleet.members[name].number for name in gone}
    ring, width = fleet.bounds.ring, fleet.bounds.set_width
    for first in numbers if ring else ():
        if all((first + i) % ring in numbers for i in range(width)):
            last = (first + width - 1) % ring
            return f"ingresses {first} to {last} are all of an agency's set"
    return ""


def _counts(members: Mapping[str, Member]) -> dict[str, int]:
    counts = {"": len(members)}
    for member in members.values():
        counts[member.zone] = counts.get(member.zone, 0) + 1
    return counts


def found(record: str, bounds: Bounds, number: int = 0) -> Fleet:
    """A record's first state; `number` above 0 goes on after one that was lost.

    What that version held is lost, too: who acts on it goes on, nobody else can, until the next is in force.
    """
    return Fleet(record, Version(number, LOST if number else ""), last=number, bounds=bounds)


def join(fleet: Fleet, newcomers: Mapping[str, Member]) -> Fleet:
    """Members that are new, or stand elsewhere now; the same state where there are none."""
    fresh = {n: m for n, m in newcomers.items() if fleet.members.get(n) != m}
    if not fresh:
        return fleet
    members = {**fleet.members, **fresh}
    if len(members) > MOST_MEMBERS:
        raise Refused(f"{len(members)} members are more than {MOST_MEMBERS}")
    numbers: dict[int, str] = {}
    for name, member in members.items():
        if (other := numbers.setdefault(member.number, name)) != name:
            raise Refused(f"{name} and {other} both are ingress {member.number}")
    return _with_members(fleet, members)


def forget(fleet: Fleet, name: str) -> Fleet:
    """A member that will not come back."""
    if name not in fleet.members:
        raise Refused(f"{name} is no member: {', '.join(sorted(fleet.members)) or 'there is none'}")
    return _with_members(fleet, {n: m for n, m in fleet.members.items() if n != name})


def _fewest(least: Mapping[str, int], counts: Mapping[str, int]) -> dict[str, int]:
    return {zone: min(counts.get(zone, 0), least.get(zone, counts.get(zone, 0)))
            for zone in {*least, *counts}}


def _with_members(fleet: Fleet, members: Mapping[str, Member]) -> Fleet:
    counts = _counts(members)
    return replace(fleet, members=members, least=_fewest(fleet.least, counts),
                   later=_fewest(fleet.later, counts) if fleet.mixed else {})


def level(fleet: Fleet) -> Fleet:
    """Every member knows the roster as it is: no smaller one is gone by any more."""
    if fleet.coming is not None or fleet.least == _counts(fleet.members):
        raise Refused("there is nothing to level")
    return replace(fleet, least=_counts(fleet.members))


def offer(fleet: Fleet, digest: str, kind: str, who: str, why: str) -> Fleet:
    """Publish a version: its number is the next; what it holds is known by its digest."""
    if fleet.coming is not None:
        raise Refused(f"version {fleet.coming.number} is {fleet.coming.state}: wait for it, or halt it")
    if digest == fleet.version.digest:
        raise Refused(f"version {fleet.version.number} holds the same")
    coming = Version(fleet.last + 1, digest, kind, who, why, OFFERED)
    return replace(fleet, coming=coming, last=coming.number)


def close(fleet: Fleet, number: int) -> Fleet:
    """Agreed: whoever hears of it acts on it; licences for the one before end."""
    coming = _coming(fleet, number, OFFERED)
    return replace(fleet, coming=replace(coming, state=CLOSING), later=_counts(fleet.members))


def enforce(fleet: Fleet, number: int) -> Fleet:
    """Nobody can still act on the version before."""
    coming = _coming(fleet, number, CLOSING)
    return replace(fleet, version=replace(coming, state="in force"), coming=None,
                   least=fleet.later, later={}, history=(*fleet.history, fleet.version)[-MOST_HISTORY:])


def halt(fleet: Fleet, number: int, why: str) -> Fleet:
    """Taken back before anybody acted on it; its number is not used again."""
    coming = _coming(fleet, number, OFFERED)
    halted = replace(coming, state=f"halted: {why}"[:200])
    return replace(fleet, coming=None, history=(*fleet.history, halted)[-MOST_HISTORY:])


def _coming(fleet: Fleet, number: int, state: str) -> Version:
    if fleet.coming is None or fleet.coming.number != number or fleet.coming.state != state:
        found = f"{fleet.coming.number} is {fleet.coming.state}" if fleet.coming else "none is coming"
        raise Refused(f"version {number} is not {state}: {found}")
    return fleet.coming
