"""The directory: decides which proxies a client is sent to, and logs answers beyond the client's region.

A client is sent to the proxies of its own region.  If only one is left there, the answer names a second one from
elsewhere, so that the client has an alternative when the first fails; if none is left, it names all proxies that may
serve the client.  Those are the proxies of the home regions that the routes of the host share, if it has routes with
home regions, and otherwise those of all regions.  If none of these is ready, the answer names those that are shutting
down in order, as they still serve for a while.  For a host with home regions, other regions are named only once no
proxy in a home region is alive: a proxy that reported that it is not ready is expected back within the time of a
planned restart, and until then clients are told to ask again.  An incomplete view proves nothing about other regions:
then only proxies of the client's region are named, and if there are none, the client is told to ask another machine.

See `docs/design/directory.md`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.invariants import Invariant
from fennelpoint.system.actions import LogEvent, Violation
from fennelpoint.system.registry.membership import Member, Membership

PROXY_FRESH_S = 1.8  # without a request, after which a proxy is not named
COMPLETE_VIEW_S = 1.8  # in touch with a majority, after which the view holds all live proxies: a request and gossip
MAX_ADDRESSES = 64  # in an answer
MIN_ADDRESSES = 2  # in an answer, so that a client has an alternative when one proxy fails
SHORT_TTL_S = 0.5  # of an answer with fewer addresses: a better one is likely soon
PROXY_START_S = 4.0  # from the end of a process until the next one of its machine is ready
LOG_INTERVAL_S = 1.0  # between two log events on one region


@dataclass(frozen=True, slots=True)
class HomeRegions:
    """Where a host's routes may be served: regions that all its routes with home regions share, and those of any."""

    common: frozenset[str]
    any: frozenset[str]


def home_regions_by_host(configuration: dict) -> dict[str, HomeRegions]:
    """Return the home regions of each host that has a route with home regions, from a validated configuration."""
    region_sets: dict[str, list[frozenset[str]]] = {}
    for entry in configuration["listener_table"]:
        for rule in entry["rule_set"]:
            if regions := rule["route_action"].get("home_regions"):
                region_sets.setdefault(entry["host"].lower(), []).append(frozenset(regions))
    return {
        host: HomeRegions(frozenset.intersection(*sets), frozenset.union(*sets)) for host, sets in region_sets.items()
    }


@dataclass(slots=True)
class RegionState:
    """Counts of the known proxies of a client's region at a look-up."""

    ready: int = 0
    silent: int = 0  # ready at their last request, which is too long ago
    unready: int = 0


@dataclass(slots=True)
class CrossRegionAnswers:
    """Answers that named proxies beyond one region, since the last log event on it."""

    since: float
    answers: int = 0
    last: RegionState = field(default_factory=RegionState)


@dataclass(slots=True)
class Resolution:
    """An answer to a look-up; without addresses, the client should ask another machine."""

    addresses: list[str]
    ttl: float  # in s
    violations: list[Violation]  # of invariants, by giving this answer


class Directory:
    """Answers look-ups of clients from the proxies that the registry knows.

    An answer may be cached for `ttl` s; a proxy that is told to shut down has `grace` s to do so.
    """

    def __init__(self, node: str, members: Membership, ttl: float, grace: float, started_at: float) -> None:
        self.node, self.members, self.ttl, self.started_at = node, members, ttl, started_at
        self.restart_s = grace + PROXY_START_S
        self.homes: dict[str, HomeRegions] = {}  # by host in lower case; hosts without home regions are absent
        self.rotation = 0  # varies the second address
        self.cross_region: dict[str, CrossRegionAnswers] = {}  # by the client's region

    def resolve(self, host: str, zone: str, region: str, in_touch_since: float | None, now: float) -> Resolution:
        """Return the proxies for a client at this location, the nearest first.

        `in_touch_since` is the time since which the registry has been in touch with a majority; None if it is not.
        """
        homes = self._homes_of(host)
        ready = [member for member in self.members.known.values() if self._is_ready(member, now)]
        local = [member for member in ready if member.region == region]
        named, ttl = local, self.ttl
        if len(local) < MIN_ADDRESSES:
            ttl = min(self.ttl, SHORT_TTL_S)
            if in_touch_since is not None and now - in_touch_since >= COMPLETE_VIEW_S:
                named = self._with_others(local, ready, homes, region, now)
        named = sorted(named, key=lambda m: (m.zone != zone, m.region != region, m.address))[:MAX_ADDRESSES]
        return Resolution([member.address for member in named], ttl, self._check(named, homes, region, now))

    def _homes_of(self, host: str) -> HomeRegions | None:
        """Return a host's home regions, if any; as with routes, case and port of the host make no difference."""
        host = host.lower()
        return self.homes.get(host) or self.homes.get(host.rpartition(":")[0])

    def _with_others(
        self, local: list[Member], ready: list[Member], homes: HomeRegions | None, region: str, now: float
    ) -> list[Member]:
        """Return the proxies of a region with too few, and others that may serve the client."""
        others = [m for m in ready if m.region != region and (homes is None or m.region in homes.common)]
        if not local and not others:
            return self._without_ready(ready, homes, region, now)
        if not local or not others:
            return local or others
        self.rotation += 1
        others.sort(key=lambda member: member.address)
        return [*local, others[self.rotation % len(others)]]

    def _without_ready(self, ready: list[Member], homes: HomeRegions | None, region: str, now: float) -> list[Member]:
        """Return who may serve a client if no proxy of its region or of the host's common home regions is ready."""
        eligible = self._eligible(homes, region)
        if leaving := [m for m in eligible if m.is_leaving and now - m.last_request_at <= PROXY_FRESH_S]:
            return leaving
        if any(self._is_alive(member, now) for member in eligible):
            return []
        return [member for member in ready if homes is not None and member.region in homes.any] or ready

    def _eligible(self, homes: HomeRegions | None, region: str) -> list[Member]:
        """Return all known proxies that a client of that region may be sent to, for a host with or without homes."""
        known = self.members.known.values()
        return [m for m in known if homes is None or m.region == region or m.region in homes.common]

    def _is_alive(self, member: Member, now: float) -> bool:
        """Return whether a proxy is ready, or reported that it is not and is expected back."""
        if member.unready_since is None:
            return self._is_ready(member, now)
        return now - member.unready_since <= self.restart_s

    def notes(self, now: float) -> list[LogEvent]:
        """Return the log events that are due."""
        due = [region for region, counted in self.cross_region.items() if now - counted.since >= LOG_INTERVAL_S]
        return [self._note(region, self.cross_region.pop(region), now) for region in due]

    @staticmethod
    def _is_ready(member: Member, now: float) -> bool:
        return member.ready and now - member.last_request_at <= PROXY_FRESH_S

    def _note(self, region: str, counted: CrossRegionAnswers, now: float) -> LogEvent:
        last = counted.last
        return LogEvent("BEYOND_REGION", {
            "node": self.node, "region": region, "answers": counted.answers, "span": f"{now - counted.since:.1f}",
            "ready": last.ready, "silent": last.silent, "unready": last.unready,
            "age": f"{now - self.started_at:.1f}",
        })  # fmt: skip

    def _check(self, named: list[Member], homes: HomeRegions | None, region: str, now: float) -> list[Violation]:
        remote = [member for member in named if member.region != region]
        if not remote:
            return []
        state = self._state_of(region, now)
        counted = self.cross_region.setdefault(region, CrossRegionAnswers(now))
        counted.answers, counted.last = counted.answers + 1, state
        outside = [member for member in remote if homes is not None and member.region not in homes.common]
        alive = sum(self._is_alive(member, now) for member in self._eligible(homes, region)) if outside else 0
        if not alive:
            return []
        detail = f"{len(outside)} proxies named beyond {region} and the home regions, where {alive} are alive"
        return [Violation(Invariant.DIRECTORY_STAYS_HOME, detail)]

    def _state_of(self, region: str, now: float) -> RegionState:
        state = RegionState()
        for member in self.members.known.values():
            if member.region == region:
                state.ready += self._is_ready(member, now)
                state.silent += member.ready and not self._is_ready(member, now)
                state.unready += not member.ready
        return state
