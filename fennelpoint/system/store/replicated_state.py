"""The one agreed state, and the changes that may be made to it.

Everything that must outlast machines is one small value with a revision: which configuration is newest (by the digest
of its bytes), which requests were accepted, which zones are evacuated, which core machines vote, which proxies may
hold quota shares.  It is a plain dict, for the register; a change maps a state to the next, or returns it unchanged
and gives a reason.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.fleet.register import Groups
from fennelpoint.system.store.idempotency import (
    Content,
    archive,
    initial_floor,
    remember,
    upgrade,
    was_accepted,
)

MAX_VOTERS = 5
MAX_VOTERS_PER_REGION = 2


def initial_state(voters: dict[str, str]) -> dict:
    """The state that a newly founded core agrees on; `voters` are zones by IP address."""
    return {"rev": 0, "voters": voters, "before": {}, "ready": {}, "version": 0, "digest": "", "past": [],
            "log": [], "floor": 0, "evac": [], "evac_orders": {}, "fronts": {}, "term": 0}


def groups_of(state: object) -> Groups:
    """The groups whose majorities a state needs: its voters, and during a change of members the previous voters."""
    if not state:
        return ()
    sets = (frozenset(state["voters"]), frozenset(state["before"]))
    return tuple(voters for voters in sets if voters)


@dataclass(slots=True)
class Outcome:
    """The result of a change: an HTTP status and a reason."""

    status: int = 503
    reason: str = "nothing was agreed"
    is_final: bool = False  # no later state changes the result: it may be given by any state that was agreed


@dataclass(slots=True)
class Change:
    """One change; `apply` returns the next state or the same object, and sets the outcome."""

    apply: Callable[[dict, Outcome], dict]
    digest: str = ""        # of the content that a majority must hold first
    outcome: Outcome = field(default_factory=Outcome)

    def __call__(self, state: dict) -> dict:
        self.outcome.status, self.outcome.reason, self.outcome.is_final = 200, "", False
        upgraded = upgrade(state)
        changed = self.apply(upgraded, self.outcome)
        if changed is upgraded:
            return state
        # A new state ends the previous change of members: the round that agrees it has the majorities of both sets.
        before = {} if changed["voters"].keys() == state["voters"].keys() else state["voters"]
        return {**changed, "rev": state["rev"] + 1, "before": before}


def configure(version: int, base: int, request_digest: str, digest: str, content: Content) -> Change:
    """Replaces the configuration of version `base`; `request_digest` identifies the request when it is retried.

    A refusal rests on the state that the round found: `content` reads the segments of accepted requests that this
    state refers to, and if one is not on this machine, the outcome stays open.  Without a `digest` the change only
    reports whether the request was accepted.
    """
    def apply(state: dict, outcome: Outcome) -> dict:
        # A request whose version is not above its base is never accepted.
        accepted = was_accepted(state, version, request_digest, content) if version > base else False
        # Accepted, and the answer was lost; or it can't be accepted any more, since versions only rise.
        outcome.is_final = accepted or accepted is False and (base < state["version"] or version <= base)
        if accepted:
            return state
        if base != state["version"]:
            if accepted is None:
                outcome.status, outcome.reason = 503, f"not known here whether version {version} was accepted"
            else:
                outcome.status, outcome.reason = 412, f"version {state['version']} is in place, not {base}"
            return state
        if version <= state["version"]:
            outcome.status, outcome.reason = 400, f"version {version} is not above {state['version']}"
            return state
        if not digest:
            outcome.status, outcome.reason = (503, f"version {base} has just been agreed") if state["digest"] else (
                412, "there is no configuration to change")
            return state
        return {**state, "version": version, "digest": digest, **remember(state, version, request_digest)}
    return Change(apply, digest)


def archive_requests(moved: list, last: list, segment: list, replaces: bool) -> Change:
    """Moves the oldest requests of the state into a segment, [newest version in it, digest of its content]."""
    return Change(lambda state, outcome: archive(state, moved, last, segment, replaces), segment[1])


def order_number(state: dict, zone: str) -> int:
    """How many orders on the evacuation of a zone were agreed: the fencing token of the next one."""
    return state.get("evac_orders", {}).get(zone, 0)


def evacuate(zone: str, on: bool, number: int | None = None) -> Change:
    """Begins or ends the evacuation of a zone, unless another order was agreed since the caller's was received.

    `number` is the zone's order number at that time; None: of a registry that does not know it yet.  An order that
    changes nothing counts as well: it, too, is newer than one that is still on its way.
    """
    def apply(state: dict, outcome: Outcome) -> dict:
        agreed = order_number(state, zone)
        if number not in (agreed, None):
            outcome.status, outcome.reason = 503, f"another order on zone {zone} came first"
            return state
        zones = {*state["evac"], zone} if on else {*state["evac"]} - {zone}
        orders = {**state.get("evac_orders", {}), zone: agreed + 1}
        return {**state, "evac": sorted(zones), "evac_orders": orders}
    return Change(apply)


def restore_snapshot(version: int, digest: str, past: list, evac: list, floor: int | None) -> Change:
    """Loads a snapshot into a newly founded core; a core that holds anything else is not overwritten."""
    def apply(state: dict, outcome: Outcome) -> dict:
        if (state["version"], state["digest"]) == (version, digest):
            return state    # accepted before, and the answer was lost
        if state["version"] or state["past"] or state["evac"]:
            outcome.status, outcome.reason = 409, f"the core is in use: it holds version {state['version']}"
            return state
        restored = {"past": [], "floor": initial_floor(past) if floor is None else floor}
        for request in past:
            restored = remember(restored, *request)
        return {**state, "version": version, "digest": digest, **restored, "evac": sorted(evac)}
    return Change(apply, digest)


def add_proxies(proxies: list[str]) -> Change:
    """Allows these proxies to hold quota shares: an allocator must know of them before it grants any."""
    def apply(state: dict, outcome: Outcome) -> dict:
        new = [ip for ip in proxies if ip not in state["fronts"]]
        return {**state, "fronts": {**state["fronts"], **{ip: 1 for ip in new}}} if new else state
    return Change(apply)


def remove_proxies(proxies: list[str], term: int) -> Change:
    """Removes proxies that no longer report and hold no shares.

    `term` is the fencing token: an allocator of a later term has begun with these proxies included.
    """
    def apply(state: dict, outcome: Outcome) -> dict:
        remaining = {ip: n for ip, n in state["fronts"].items() if ip not in proxies}
        if state["term"] != term or len(remaining) == len(state["fronts"]):
            return state
        return {**state, "fronts": remaining}
    return Change(apply)


def begin_term() -> Change:
    """Begins a new term of the allocator: its number fences off messages of earlier allocators."""
    return Change(lambda state, outcome: {**state, "term": state["term"] + 1})


def add_standby(ip: str, zone: str, regions: dict[str, str], missing_contents: Callable[[dict], list]) -> Change:
    """Adds a core machine as a standby, and promotes standbys to voters, two at a time to keep the number odd.

    A machine is added only if it has every content of the very state that is changed.
    """
    def apply(current: dict, outcome: Outcome) -> dict:
        if missing_contents(current):
            return current  # the state has changed since
        state = current
        if ip not in state["voters"]:
            ready = {**state["ready"], ip: zone}
        elif state["voters"][ip] == zone:
            return current
        else:   # a founder: the seeds do not name zones.  Standbys that were added before it do not ask again
            ready, state = state["ready"], {**state, "voters": {**state["voters"], ip: zone}}
        voters, promoted = dict(state["voters"]), []
        for standby, standby_zone in sorted(ready.items()):
            region = regions.get(standby_zone)
            in_region = sum(regions.get(z) == region for z in voters.values())
            if (len(voters) < MAX_VOTERS and standby_zone not in voters.values()
                    and in_region < MAX_VOTERS_PER_REGION):
                voters[standby] = standby_zone
                promoted.append(standby)
        if not promoted or len(voters) % 2 == 0 or "" in state["voters"].values():
            voters, promoted = state["voters"], []
        ready = {i: z for i, z in ready.items() if i not in promoted}
        if ready == current["ready"] and voters == current["voters"]:
            return current
        return {**state, "ready": ready, "voters": voters}
    return Change(apply)


def replace_voter(lost: str, eligible: frozenset[str], regions: dict[str, str], digest: str) -> Change:
    """Replaces a lost voter by one of the `eligible` standbys, which hold the content of that digest."""
    def apply(state: dict, outcome: Outcome) -> dict:
        if lost not in state["voters"] or state["before"] or digest != state["digest"]:
            return state    # the state has changed since
        lost_zone = state["voters"][lost]
        voters = {ip: zone for ip, zone in state["voters"].items() if ip != lost}
        in_region = Counter(regions.get(zone) for zone in voters.values())

        def is_allowed(zone: str) -> bool:
            return zone == lost_zone or zone not in voters.values() and (
                in_region[regions.get(zone)] < MAX_VOTERS_PER_REGION)

        # The same zone keeps the distribution as it was; otherwise the region with the fewest voters is preferred.
        candidates = sorted((zone != lost_zone, in_region[regions.get(zone)], ip, zone)
                            for ip, zone in state["ready"].items() if ip in eligible and is_allowed(zone))
        if not candidates:
            return state
        *_, ip, zone = candidates[0]
        ready = {i: z for i, z in state["ready"].items() if i != ip}
        return {**state, "voters": {**voters, ip: zone}, "ready": ready}
    return Change(apply)


def remove_standbys(lost: list[str]) -> Change:
    """Removes lost standbys; one that comes back is added anew."""
    def apply(state: dict, outcome: Outcome) -> dict:
        ready = {ip: zone for ip, zone in state["ready"].items() if ip not in lost}
        return state if ready == state["ready"] else {**state, "ready": ready}
    return Change(apply)


def finish_member_change() -> Change:
    """Ends a change of members: from now on only the new voters are needed."""
    return Change(lambda state, outcome: {**state} if state["before"] else state)


def no_change() -> Change:
    """A read by a round."""
    return Change(lambda state, outcome: state)
