"""The one agreed value, and the changes that may be made to it.

All that must outlast machines is one small value with a revision: which configuration is newest (by the digest of
its bytes), which orders were taken, which zones are evacuated, which core machines vote, which fronts may hold
parts.  Plain dicts, for the register; a change maps one to the next, or leaves it and says why.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.fleet.register import Groups
from fennelpoint.system.store.idempotency import Content, lowest, put_away, remember, taken, upgrade

MOST_VOTERS = 5
MOST_IN_REGION = 2


def empty(voters: dict[str, str]) -> dict:
    """What a core that was just founded agrees on; `voters` are zones by IP address."""
    return {"rev": 0, "voters": voters, "before": {}, "ready": {}, "version": 0, "digest": "", "past": [],
            "log": [], "floor": 0, "evac": [], "fronts": {}, "term": 0}


def groups_of(world: object) -> Groups:
    """Whose majorities a value needs: those of its voters, and of those before them while they change."""
    if not world:
        return ()
    sets = (frozenset(world["voters"]), frozenset(world["before"]))
    return tuple(s for s in sets if s)


@dataclass(slots=True)
class Outcome:
    """What became of a change: an HTTP status, and why."""

    status: int = 503
    reason: str = "nothing was agreed"
    final: bool = False     # whatever is agreed later, it stays so: it may be told by any value that was agreed


@dataclass(slots=True)
class Change:
    """One change; `make` gives the next value, or the same one, and sets the outcome."""

    make: Callable[[dict, Outcome], dict]
    digest: str = ""        # of the content that a majority must have first
    outcome: Outcome = field(default_factory=Outcome)

    def __call__(self, world: dict) -> dict:
        self.outcome.status, self.outcome.reason, self.outcome.final = 200, "", False
        held = upgrade(world)
        made = self.make(held, self.outcome)
        if made is held:
            return world
        # A new value ends the change of members before it: the majority of both is behind us.
        before = {} if made["voters"].keys() == world["voters"].keys() else world["voters"]
        return {**made, "rev": world["rev"] + 1, "before": before}


def configure(version: int, base: int, sent: str, digest: str, content: Content) -> Change:
    """A configuration in place of version `base`; `sent` tells the very call, for when it comes again.

    A refusal rests on the value that the round found: `content` gives segments of the orders that this value names,
    and where one is not here, nothing is told.  Without a `digest` it only tells what became of the order.
    """
    def make(world: dict, outcome: Outcome) -> dict:
        held = taken(world, version, sent, content) if version > base else False    # such a one never is
        # It was taken, its answer was lost; or it can't be any more, since versions only rise.
        outcome.final = held or held is False and (base < world["version"] or version <= base)
        if held:
            return world
        if base != world["version"]:
            if held is None:
                outcome.status, outcome.reason = 503, f"whether version {version} was taken can't be told here"
            else:
                outcome.status, outcome.reason = 412, f"version {world['version']} is in place, not {base}"
            return world
        if version <= world["version"]:
            outcome.status, outcome.reason = 400, f"version {version} is not above {world['version']}"
            return world
        if not digest:
            outcome.status, outcome.reason = (503, f"version {base} has just come") if world["digest"] else (
                412, "there is no configuration to change")
            return world
        return {**world, "version": version, "digest": digest, **remember(world, version, sent)}
    return Change(make, digest)


def put_orders_away(moved: list, last: list, segment: list, replaces: bool) -> Change:
    """The oldest orders of the value leave it for a segment, [newest version in it, digest of its content]."""
    return Change(lambda world, outcome: put_away(world, moved, last, segment, replaces), segment[1])


def evacuate(zone: str, on: bool) -> Change:
    def make(world: dict, outcome: Outcome) -> dict:
        if (zone in world["evac"]) is on:
            return world
        return {**world, "evac": sorted({*world["evac"], zone} if on else {*world["evac"]} - {zone})}
    return Change(make)


def revive(version: int, digest: str, past: list, evac: list, floor: int | None) -> Change:
    """What a snapshot holds, for a core that was just founded: one that holds anything is not overwritten."""
    def make(world: dict, outcome: Outcome) -> dict:
        if (world["version"], world["digest"]) == (version, digest):
            return world    # it was taken: its answer was lost
        if world["version"] or world["past"] or world["evac"]:
            outcome.status, outcome.reason = 409, f"the core lives: it holds version {world['version']}"
            return world
        kept = {"past": [], "floor": lowest(past) if floor is None else floor}
        for order in past:
            kept = remember(kept, *order)
        return {**world, "version": version, "digest": digest, **kept, "evac": sorted(evac)}
    return Change(make, digest)


def enrol(fronts: list[str]) -> Change:
    """These fronts may hold parts: whoever reckons those must hear of them first."""
    def make(world: dict, outcome: Outcome) -> dict:
        new = [ip for ip in fronts if ip not in world["fronts"]]
        return {**world, "fronts": {**world["fronts"], **{ip: 1 for ip in new}}} if new else world
    return Change(make)


def dismiss(fronts: list[str], term: int) -> Change:
    """These fell silent and hold nothing; `term` is the fencing token: a later reckoner has begun with them in it."""
    def make(world: dict, outcome: Outcome) -> dict:
        kept = {ip: n for ip, n in world["fronts"].items() if ip not in fronts}
        if world["term"] != term or len(kept) == len(world["fronts"]):
            return world
        return {**world, "fronts": kept}
    return Change(make)


def lead() -> Change:
    """A new term of whoever reckons parts: its number fences off the words of those before."""
    return Change(lambda world, outcome: {**world, "term": world["term"] + 1})


def stand_by(ip: str, zone: str, regions: dict[str, str], lacks: Callable[[dict], list]) -> Change:
    """A core machine that `lacks` no content of the very value would vote; two at a time: they stay odd."""
    def make(held: dict, outcome: Outcome) -> dict:
        if lacks(held):
            return held     # it has moved on since
        world = held
        if ip not in world["voters"]:
            ready = {**world["ready"], ip: zone}
        elif world["voters"][ip] == zone:
            return held
        else:   # a founder: the seeds tell no zones.  Those that stood by before it do not come again
            ready, world = world["ready"], {**world, "voters": {**world["voters"], ip: zone}}
        voters, taken = dict(world["voters"]), []
        for other, its_zone in sorted(ready.items()):
            region = regions.get(its_zone)
            in_region = sum(regions.get(z) == region for z in voters.values())
            if len(voters) < MOST_VOTERS and its_zone not in voters.values() and in_region < MOST_IN_REGION:
                voters[other] = its_zone
                taken.append(other)
        if not taken or len(voters) % 2 == 0 or "" in world["voters"].values():
            voters, taken = world["voters"], []
        ready = {i: z for i, z in ready.items() if i not in taken}
        if ready == held["ready"] and voters == held["voters"]:
            return held
        return {**world, "ready": ready, "voters": voters}
    return Change(make)


def take_place(gone: str, able: frozenset[str], regions: dict[str, str], digest: str) -> Change:
    """One of those that are `able` takes the place of a voter that is gone; they hold the content of that digest."""
    def make(world: dict, outcome: Outcome) -> dict:
        if gone not in world["voters"] or world["before"] or digest != world["digest"]:
            return world    # it has moved on since
        place = world["voters"][gone]
        voters = {ip: zone for ip, zone in world["voters"].items() if ip != gone}
        in_region = Counter(regions.get(zone) for zone in voters.values())

        def fits(zone: str) -> bool:
            return zone == place or zone not in voters.values() and in_region[regions.get(zone)] < MOST_IN_REGION

        # The same zone leaves the spread as it was; else the region that has the fewest.
        fit = sorted((zone != place, in_region[regions.get(zone)], ip, zone)
                     for ip, zone in world["ready"].items() if ip in able and fits(zone))
        if not fit:
            return world
        *_, ip, zone = fit[0]
        ready = {i: z for i, z in world["ready"].items() if i != ip}
        return {**world, "voters": {**voters, ip: zone}, "ready": ready}
    return Change(make)


def forget(gone: list[str]) -> Change:
    """Machines that stood by, and are gone; one that comes back stands by anew."""
    def make(world: dict, outcome: Outcome) -> dict:
        ready = {ip: zone for ip, zone in world["ready"].items() if ip not in gone}
        return world if ready == world["ready"] else {**world, "ready": ready}
    return Change(make)


def settle() -> Change:
    """Ends a change of members: from now on only the new ones are asked."""
    return Change(lambda world, outcome: {**world} if world["before"] else world)


def same() -> Change:
    """A read by a round."""
    return Change(lambda world, outcome: world)
