"""The directory's decider: which proxies a client is sent to, and a record of answers beyond the client's region.

A client is sent to the proxies of its own region.  Where only one is left, it is told a second one, so that it has
somewhere to go when that fails; without any it is told all that may serve it.  Those are the proxies of the homes
that the routes of the host share, where it has routes with homes, and of all regions otherwise.  Where none of these
is ready, it is told those that leave in order, as they serve on for a while.  For a host with homes the other regions
come in only once nothing inside lives: a proxy that said that it is not ready is expected back within the time that
a planned restart takes, and until then clients are told to ask again.  A view that is not whole proves nothing about
others: then only the region's own are named, and where there are none, the client is told to ask another machine.

See `docs/design/directory.md`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.invariants import Invariant
from fennelpoint.system.actions import Note, Violation
from fennelpoint.system.registry.membership import Member, Members

FRESH = 1.8  # s without an ask after which a proxy is left out
WHOLE_AFTER = 1.8  # s in touch with a majority after which the view holds every proxy that lives: asks and gossip
MOST_NAMED = 64  # addresses in an answer
ENOUGH = 2  # addresses in an answer, so that a client has somewhere to go when one fails
BRIEF_TTL = 0.5  # s that such an answer may be held: better ones are likely to come
START_WITHIN = 4.0  # s from the end of a process until the next one of its machine is ready
TELL_EVERY = 1.0  # s between two notes on one region


@dataclass(frozen=True, slots=True)
class Homes:
    """Where a host's routes may be served: regions that all of its routes with homes share, and those of any."""

    common: frozenset[str]
    any: frozenset[str]


def homes_by_host(configuration: dict) -> dict[str, Homes]:
    """The homes of each host that has a route with homes; `configuration` is one that was checked."""
    given: dict[str, list[frozenset[str]]] = {}
    for entry in configuration["listener_table"]:
        for rule in entry["rule_set"]:
            if regions := rule["route_action"].get("home_regions"):
                given.setdefault(entry["host"].lower(), []).append(frozenset(regions))
    return {host: Homes(frozenset.intersection(*sets), frozenset.union(*sets)) for host, sets in given.items()}


@dataclass(slots=True)
class Region:
    """What is known of the proxies of a client's region when it asks."""

    ready: int = 0
    silent: int = 0  # ready when they were last heard, which is too long ago
    unready: int = 0


@dataclass(slots=True)
class AnswersBeyond:
    """Answers that named proxies beyond one region since they were last told of."""

    since: float
    answers: int = 0
    last: Region = field(default_factory=Region)


@dataclass(slots=True)
class Resolved:
    """An answer to a look-up: addresses, none where the client had better ask another machine."""

    addresses: list[str]
    ttl: float  # s that it may be held
    violations: list[Violation]  # of invariants, by giving it


class Directory:
    """Answers look-ups of clients by the members that the registry knows.

    An answer may be held for `ttl` s; a proxy that is told to end has `grace` s to do so.
    """

    def __init__(self, node: str, members: Members, ttl: float, grace: float, born: float) -> None:
        self.node, self.members, self.ttl, self.born = node, members, ttl, born
        self.back_within = grace + START_WITHIN
        self.homes: dict[str, Homes] = {}  # by host in lower case; none: no homes
        self.turn = 0  # so that a second address is not always the same
        self.beyond: dict[str, AnswersBeyond] = {}  # by the client's region

    def resolve(self, host: str, zone: str, region: str, whole_since: float | None, now: float) -> Resolved:
        """The proxies for a client there, the nearest first.

        `whole_since`: since when the registry has been in touch with a majority, in s; None: it is not.
        """
        homes = self._homes_of(host)
        ready = [member for member in self.members.known.values() if self._is_ready(member, now)]
        inside = [member for member in ready if member.region == region]
        named, ttl = inside, self.ttl
        if len(inside) < ENOUGH:
            ttl = min(self.ttl, BRIEF_TTL)
            if whole_since is not None and now - whole_since >= WHOLE_AFTER:
                named = self._with_others(inside, ready, homes, region, now)
        named = sorted(named, key=lambda m: (m.zone != zone, m.region != region, m.address))[:MOST_NAMED]
        return Resolved([member.address for member in named], ttl, self._check(named, homes, region, now))

    def _homes_of(self, host: str) -> Homes | None:
        """None for a host without homes; found as routes are, in any case and with a port or without."""
        host = host.lower()
        return self.homes.get(host) or self.homes.get(host.rpartition(":")[0])

    def _with_others(
        self, inside: list[Member], ready: list[Member], homes: Homes | None, region: str, now: float
    ) -> list[Member]:
        """Those of a region that has too few, with others that may serve the client."""
        others = [m for m in ready if m.region != region and (homes is None or m.region in homes.common)]
        if not inside and not others:
            return self._without_ready(ready, homes, region, now)
        if not inside or not others:
            return inside or others
        self.turn += 1
        others.sort(key=lambda member: member.address)
        return [*inside, others[self.turn % len(others)]]

    def _without_ready(self, ready: list[Member], homes: Homes | None, region: str, now: float) -> list[Member]:
        """Who may still serve a client where none of its region and of its host's common homes is ready."""
        inside = self._inside(homes, region)
        if leaving := [member for member in inside if member.leaving and now - member.heard <= FRESH]:
            return leaving
        if any(self._lives(member, now) for member in inside):
            return []
        return [member for member in ready if homes is not None and member.region in homes.any] or ready

    def _inside(self, homes: Homes | None, region: str) -> list[Member]:
        """All known proxies that a client of that region may be sent to, for a host with these homes or without."""
        known = self.members.known.values()
        return [m for m in known if homes is None or m.region == region or m.region in homes.common]

    def _lives(self, member: Member, now: float) -> bool:
        """Whether it is ready, or said that it is not and is expected back."""
        if member.unready_since is None:
            return self._is_ready(member, now)
        return now - member.unready_since <= self.back_within

    def notes(self, now: float) -> list[Note]:
        """What is to be logged by now."""
        due = [region for region, seen in self.beyond.items() if now - seen.since >= TELL_EVERY]
        return [self._note(region, self.beyond.pop(region), now) for region in due]

    @staticmethod
    def _is_ready(member: Member, now: float) -> bool:
        return member.ready and now - member.heard <= FRESH

    def _note(self, region: str, seen: AnswersBeyond, now: float) -> Note:
        last = seen.last
        return Note("BEYOND_REGION", {
            "node": self.node, "region": region, "answers": seen.answers, "span": f"{now - seen.since:.1f}",
            "ready": last.ready, "silent": last.silent, "unready": last.unready, "age": f"{now - self.born:.1f}",
        })  # fmt: skip

    def _check(self, named: list[Member], homes: Homes | None, region: str, now: float) -> list[Violation]:
        beyond = [member for member in named if member.region != region]
        if not beyond:
            return []
        known = self._known(region, now)
        seen = self.beyond.setdefault(region, AnswersBeyond(now))
        seen.answers, seen.last = seen.answers + 1, known
        astray = [member for member in beyond if homes is not None and member.region not in homes.common]
        lives = sum(self._lives(member, now) for member in self._inside(homes, region)) if astray else 0
        if not lives:
            return []
        detail = f"{len(astray)} named beyond {region} and homes, where {lives} live"
        return [Violation(Invariant.DIRECTORY_STAYS_HOME, detail)]

    def _known(self, region: str, now: float) -> Region:
        known = Region()
        for member in self.members.known.values():
            if member.region == region:
                known.ready += self._is_ready(member, now)
                known.silent += member.ready and not self._is_ready(member, now)
                known.unready += not member.ready
        return known
