"""The directory's decider: which proxies a client is sent to, and a record of answers beyond the client's region.

A client is sent to the proxies of its own region.  Where only one is left, it is told a second one, so that it has
somewhere to go when that fails; without any it is told all that may serve it.  Those are the proxies of the homes of
the host that it asks for, where the host's routes have homes, and of all regions otherwise; for a host with homes the
other regions come in only once nothing inside lives.  A view that is not whole proves nothing about others: then only
the region's own are named, and where there are none, the client is told to ask another machine.

See `docs/design/directory.md`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.invariants import Invariant
from fennelpoint.system.actions import Note, Violation
from fennelpoint.system.roll.membership import Member, Members

FRESH = 1.8  # s without an ask after which a proxy is left out
WHOLE_AFTER = 1.8  # s in touch with a majority after which the view holds every proxy that lives: asks and gossip
MOST_NAMED = 64  # addresses in an answer
ENOUGH = 2  # addresses in an answer, so that a client has somewhere to go when one fails
BRIEF_TTL = 0.5  # s that such an answer may be held: better ones are likely to come
TELL_EVERY = 1.0  # s between two notes on one region


def homes_by_host(configuration: dict) -> dict[str, frozenset[str]]:
    """The regions that all routes of a host may be served in, for each host that has a route with homes.

    `configuration` is one that was checked.  Where its routes have no home in common, it is any of their homes.
    """
    given: dict[str, list[frozenset[str]]] = {}
    for entry in configuration["listener_table"]:
        for rule in entry["rule_set"]:
            if regions := rule["route_action"].get("home_regions"):
                given.setdefault(entry["host"].lower(), []).append(frozenset(regions))
    return {host: frozenset.intersection(*sets) or frozenset.union(*sets) for host, sets in given.items()}


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
    """Answers look-ups of clients by the members that the registry knows; an answer may be held for `ttl` s."""

    def __init__(self, node: str, members: Members, ttl: float, born: float) -> None:
        self.node, self.members, self.ttl, self.born = node, members, ttl, born
        self.homes: dict[str, frozenset[str]] = {}  # by host in lower case; none: no homes
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
                named = self._with_others(inside, ready, homes, region)
        named = sorted(named, key=lambda m: (m.zone != zone, m.region != region, m.address))[:MOST_NAMED]
        return Resolved([member.address for member in named], ttl, self._check(named, homes, region, now))

    def _homes_of(self, host: str) -> frozenset[str]:
        """None for a host without homes; found as routes are, in any case and with a port or without."""
        host = host.lower()
        return self.homes.get(host) or self.homes.get(host.rpartition(":")[0], frozenset())

    def _with_others(
        self, inside: list[Member], ready: list[Member], homes: frozenset[str], region: str
    ) -> list[Member]:
        """Those of a region that has too few, with others that may serve the client."""
        others = [member for member in ready if member.region != region and (not homes or member.region in homes)]
        if not inside:
            return others or ready
        if not others:
            return inside
        self.turn += 1
        others.sort(key=lambda member: member.address)
        return [*inside, others[self.turn % len(others)]]

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

    def _check(self, named: list[Member], homes: frozenset[str], region: str, now: float) -> list[Violation]:
        beyond = [member for member in named if member.region != region]
        if not beyond:
            return []
        known = self._known(region, now)
        seen = self.beyond.setdefault(region, AnswersBeyond(now))
        seen.answers, seen.last = seen.answers + 1, known
        astray = [member for member in beyond if homes and member.region not in homes]
        if not (known.ready and astray):
            return []
        detail = f"{len(astray)} named beyond {region} and homes, where {known.ready} are ready"
        return [Violation(Invariant.DIRECTORY_STAYS_HOME, detail)]

    def _known(self, region: str, now: float) -> Region:
        known = Region()
        for member in self.members.known.values():
            if member.region == region:
                known.ready += self._is_ready(member, now)
                known.silent += member.ready and not self._is_ready(member, now)
                known.unready += not member.ready
        return known
