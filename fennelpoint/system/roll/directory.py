"""The directory's decider: which proxies a client is sent to, and a record of answers beyond the client's region."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.invariants import Invariant
from fennelpoint.system.actions import Note, Violation
from fennelpoint.system.roll.view import Member, Members

FRESH = 1.8  # s without an ask after which a proxy is left out
MOST_NAMED = 64  # addresses in an answer
ENOUGH = 2  # proxies of a region, with fewer of which its clients are sent to all
TELL_EVERY = 1.0  # s between two notes on one region


def homes_by_host(configuration: dict) -> dict[str, frozenset[str]]:
    """The regions that all routes of a host may be served in, for each host that has a route with homes.

    `configuration` is one that was checked.  Where its routes have no home in common, it is any of their homes.
    """
    given: dict[str, list[frozenset[str]]] = {}
    for entry in configuration["listener_table"]:
        for rule in entry["rule_set"]:
            if regions := rule["route_action"].get("home_regions"):
                given.setdefault(entry["host"], []).append(frozenset(regions))
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
        self.homes: dict[str, frozenset[str]] = {}  # by host; none: no homes
        self.beyond: dict[str, AnswersBeyond] = {}  # by the client's region

    def resolve(self, host: str, zone: str, region: str, whole_since: float | None, now: float) -> Resolved:
        """The proxies for a client there, the nearest first.

        `whole_since`: since when the registry has been in touch with a majority, in s; None: it is not.
        """
        homes = self.homes.get(host, frozenset())
        ready = [member for member in self.members.known.values() if self._is_ready(member, now)]
        inside = [member for member in ready if member.region == region]
        named = inside if len(inside) >= ENOUGH else ready
        named = sorted(named, key=lambda m: (m.zone != zone, m.region != region, m.address))[:MOST_NAMED]
        return Resolved([member.address for member in named], self.ttl, self._check(named, homes, region, now))

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
