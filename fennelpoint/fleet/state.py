"""The replicated state of the fleet: its members, the version in force and the coming version.

The module is pure.  The state is one value under one key of the register, so that each step is one compare-and-set.
A *fleet version* has a number that only grows and the digest of its content.  Its states are

    offered -> closing -> in force      or      offered -> halted

offered: ingresses fetch and verify the content and report it; none acts on it.  closing: the version is agreed; each
ingress acts on it from when it learns of it, and leases for the previous version are not renewed.  in force: no
ingress can still act on the previous version.  Ingresses act on at most two adjacent versions at any time, since the
next version is offered only when the previous one is in force.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from math import floor

REGISTER_KEY = "fleet"
SCHEMA = 1
MAX_MEMBERS = 1000
MAX_HISTORY = 32
OFFERED, CLOSING = "offered", "closing"
LOST_DIGEST = "lost"       # in place of the digest of a content that no keeper has any more
LOOSENING, TIGHTENING = "loosening", "tightening"


class StepRefused(ValueError):
    """A step cannot be taken; the text is the reason, in one line, and the state is unchanged."""


@dataclass(frozen=True, slots=True)
class Member:
    """One ingress of the fleet."""

    number: int     # unique in the fleet: its position on the ring of agency sets
    zone: str
    address: str    # HOST:PORT at which its fleet component listens


@dataclass(frozen=True, slots=True)
class Version:
    """One fleet version."""

    number: int
    digest: str     # of its content; empty for version 0, which means the own files of each ingress
    kind: str = LOOSENING
    who: str = ""
    why: str = ""
    state: str = "in force"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Settings common to the fleet: the term of a lease, and how many ingresses may be out of service at a time."""

    licence_s: float = 3.0
    settle_s: float = 5.0       # for all to fetch a version; after it, the version may close without some
    share: float = 0.25         # of the fleet that may be out
    zone_share: float = 0.5     # of the ingresses of a zone that may be out
    set_width: int = 2          # adjacent ingresses that can form the set of an agency: never all of them
    ring: int = 0               # size of the ring on which sets are counted; 0: no sets


@dataclass(frozen=True, slots=True)
class Fleet:
    """The whole replicated state.

    `least` holds the fewest members, in total (key "") and by zone, since the version in force was agreed; `later`
    holds the same since the closing version was agreed.  A process that still acts on the older version may know any
    membership since then.
    """

    record: str                 # id of this record; another id means another fleet, or a record founded anew
    version: Version
    coming: Version | None = None
    last: int = 0               # the highest version number ever assigned
    members: Mapping[str, Member] = field(default_factory=dict)
    least: Mapping[str, int] = field(default_factory=dict)
    later: Mapping[str, int] = field(default_factory=dict)
    bounds: Bounds = Bounds()
    history: tuple[Version, ...] = ()   # newest last
    schema: int = SCHEMA

    @property
    def target(self) -> Version:
        """The version that an ingress acts on once it knows this state."""
        return self.coming if self.coming is not None and self.coming.state == CLOSING else self.version

    @property
    def is_mixed(self) -> bool:
        """Whether some ingress may still act on the version before the target."""
        return self.target is self.coming

    def to_dict(self) -> dict:
        """Returns the value for the register; `parse` is the inverse."""
        return asdict(self)


def parse(value: object) -> Fleet:
    """Parses a value of the register; raises StepRefused if it is not a state that this program supports."""
    try:
        if value["schema"] != SCHEMA:
            raise StepRefused(f"the record's schema is {value['schema']!r}: this program reads {SCHEMA}")
        fleet = Fleet(
            value["record"], Version(**value["version"]),
            Version(**value["coming"]) if value["coming"] is not None else None, value["last"],
            {name: Member(**member) for name, member in value["members"].items()}, dict(value["least"]),
            dict(value["later"]), Bounds(**value["bounds"]), tuple(Version(**v) for v in value["history"]))
        if not isinstance(fleet.record, str) or type(fleet.last) is not int or fleet.last < fleet.target.number:
            raise StepRefused("the record is not a valid fleet state: its version numbers are inconsistent")
        return fleet
    except (KeyError, TypeError, AttributeError):
        raise StepRefused("the record is not a valid fleet state") from None


def outage_violation(fleet: Fleet, names: Iterable[str]) -> str:
    """Returns why these members may not all be out of service at once, or an empty string if they may.

    Monotone: what is refused for a group is refused for every larger group.  Therefore members that may not be out
    together, when cut off from the keepers together, can continue with the version they have: a tightening is in
    force only once those who may still act on the older version are so few that they may all be out.
    """
    out = {name for name in names if name in fleet.members}
    if not out:
        return ""
    size = min(len(fleet.members), fleet.least.get("", len(fleet.members)))
    if len(out) > max(1, floor(fleet.bounds.share * size + 1e-9)):
        return f"{len(out)} of {size} ingresses exceed the share {fleet.bounds.share:g}"
    if len(out) >= size:
        return "these are the whole fleet"
    zones: dict[str, list[str]] = {}
    for name, member in fleet.members.items():
        zones.setdefault(member.zone, []).append(name)
    for zone, zone_members in zones.items():
        zone_out = len(out.intersection(zone_members))
        size = min(len(zone_members), fleet.least.get(zone, len(zone_members)))
        if zone_out > max(1, floor(fleet.bounds.zone_share * size + 1e-9)):
            return f"{zone_out} of {size} in zone {zone} exceed the share {fleet.bounds.zone_share:g}"
    numbers = {fleet.members[name].number for name in out}
    ring, width = fleet.bounds.ring, fleet.bounds.set_width
    for first in numbers if ring else ():
        if all((first + i) % ring in numbers for i in range(width)):
            last = (first + width - 1) % ring
            return f"ingresses {first} to {last} are the whole set of an agency"
    return ""


def _member_counts(members: Mapping[str, Member]) -> dict[str, int]:
    counts = {"": len(members)}
    for member in members.values():
        counts[member.zone] = counts.get(member.zone, 0) + 1
    return counts


def initial_state(record: str, bounds: Bounds, number: int = 0) -> Fleet:
    """Returns the first state of a record; `number` above 0 continues after a record that was lost.

    The content of that version is lost, too: processes that act on it continue, no other can start, until the next
    version is in force.
    """
    return Fleet(record, Version(number, LOST_DIGEST if number else ""), last=number, bounds=bounds)


def join(fleet: Fleet, newcomers: Mapping[str, Member]) -> Fleet:
    """Adds members that are new or whose number, zone or address changed; returns the same state if there are none.

    Raises StepRefused if there are too many members, or if two have the same number.
    """
    changed = {n: m for n, m in newcomers.items() if fleet.members.get(n) != m}
    if not changed:
        return fleet
    members = {**fleet.members, **changed}
    if len(members) > MAX_MEMBERS:
        raise StepRefused(f"{len(members)} members exceed the limit of {MAX_MEMBERS}")
    numbers: dict[int, str] = {}
    for name, member in members.items():
        if (other := numbers.setdefault(member.number, name)) != name:
            raise StepRefused(f"{name} and {other} both have the number {member.number}")
    return _with_members(fleet, members)


def forget(fleet: Fleet, name: str) -> Fleet:
    """Removes a member that will not return."""
    if name not in fleet.members:
        raise StepRefused(f"{name} is not a member; members: {', '.join(sorted(fleet.members)) or 'none'}")
    return _with_members(fleet, {n: m for n, m in fleet.members.items() if n != name})


def _minimum_counts(minimum: Mapping[str, int], counts: Mapping[str, int]) -> dict[str, int]:
    return {zone: min(counts.get(zone, 0), minimum.get(zone, counts.get(zone, 0)))
            for zone in {*minimum, *counts}}


def _with_members(fleet: Fleet, members: Mapping[str, Member]) -> Fleet:
    counts = _member_counts(members)
    return replace(fleet, members=members, least=_minimum_counts(fleet.least, counts),
                   later=_minimum_counts(fleet.later, counts) if fleet.is_mixed else {})


def confirm_members(fleet: Fleet) -> Fleet:
    """Resets the fewest counts, once every member knows the present membership and none acts by a smaller one."""
    if fleet.coming is not None or fleet.least == _member_counts(fleet.members):
        raise StepRefused("there are no member counts to reset")
    return replace(fleet, least=_member_counts(fleet.members))


def offer(fleet: Fleet, digest: str, kind: str, who: str, why: str) -> Fleet:
    """Offers a content as the next version.

    Raises StepRefused while a version is coming, or if the content is the one in force.
    """
    if fleet.coming is not None:
        raise StepRefused(f"version {fleet.coming.number} is {fleet.coming.state}: wait for it or halt it first")
    if digest == fleet.version.digest:
        raise StepRefused(f"version {fleet.version.number} has the same content")
    coming = Version(fleet.last + 1, digest, kind, who, why, OFFERED)
    return replace(fleet, coming=coming, last=coming.number)


def close(fleet: Fleet, number: int) -> Fleet:
    """Agrees the offered version: whoever learns of it acts on it, and leases for the previous version end."""
    coming = _require_coming(fleet, number, OFFERED)
    return replace(fleet, coming=replace(coming, state=CLOSING), later=_member_counts(fleet.members))


def enforce(fleet: Fleet, number: int) -> Fleet:
    """Puts the closing version in force, once no ingress can still act on the previous one."""
    coming = _require_coming(fleet, number, CLOSING)
    return replace(fleet, version=replace(coming, state="in force"), coming=None,
                   least=fleet.later, later={}, history=(*fleet.history, fleet.version)[-MAX_HISTORY:])


def halt(fleet: Fleet, number: int, why: str) -> Fleet:
    """Withdraws an offered version, on which no ingress acts yet; its number is not used again."""
    coming = _require_coming(fleet, number, OFFERED)
    halted = replace(coming, state=f"halted: {why}"[:200])
    return replace(fleet, coming=None, history=(*fleet.history, halted)[-MAX_HISTORY:])


def _require_coming(fleet: Fleet, number: int, state: str) -> Version:
    if fleet.coming is None or fleet.coming.number != number or fleet.coming.state != state:
        actual = f"{fleet.coming.number} is {fleet.coming.state}" if fleet.coming else "no version is coming"
        raise StepRefused(f"version {number} is not {state}: {actual}")
    return fleet.coming
