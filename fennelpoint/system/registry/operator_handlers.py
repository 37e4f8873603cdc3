"""The decider of operators' calls at a registry: changes, reading back, what there is and why.

A part of `state_machine.Desk`: it asks the store beside it, by tokens, and answers once a majority has.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Result

from fennelpoint.system import config_versions
from fennelpoint.system.http_server import Asking, Reply
from fennelpoint.system.registry.allocation_leader import AllocationLeader
from fennelpoint.system.registry.backend_table import DRAINING, Backends
from fennelpoint.system.registry.leader_lease import LEASE_S
from fennelpoint.system.registry.membership import Membership
from fennelpoint.system.registry.pending_calls import Held, fault
from fennelpoint.system.store.idempotency import floor_of, upgrade

WAIT_CHANGE = 3.0   # s for the store
BRIEF = 0.9         # s where a call must have ended before its caller sends it elsewhere, after a second of silence
SNAPSHOT = 1        # schema of a snapshot
KEPT = ("version", "past", "evac")      # of the agreed value, what a snapshot holds beside the configuration


def _check(value: dict) -> Result:
    """By pydantic, which is loaded with the first change: a registry that restarts is up in half the time."""
    from fennelpoint.system.config_schema import check

    return check(value)


class Behind(Protocol):
    """What the office needs of the desk that it is a part of."""

    me: str
    port: int
    store: str
    tokens: int
    calls: dict[int, Held]
    world: dict
    contents: dict[str, bytes]
    links: set[str]
    members: Membership
    backends: Backends
    allocation: AllocationLeader

    def in_touch(self, now: float) -> bool: ...
    def answer(self, asking: Asking, reply: Reply) -> None: ...
    def send(self, to: str, message: list) -> None: ...
    def with_content(self, digest: str, now: float, then: Callable[[], None]) -> Any: ...


class Office:
    """Operators' calls at one core machine."""

    def __init__(self, desk: Behind) -> None:
        self.desk = desk

    def _wait(self, asking: Asking, now: float, then: Callable[[list], None], brief: bool = False) -> int:
        self.desk.tokens += 1
        self.desk.calls[self.desk.tokens] = Held(asking, now + (BRIEF if brief else WAIT_CHANGE), then=then)
        return self.desk.tokens

    def _with_content(self, asking: Asking, now: float, digest: str, then: Callable[[], None],
                      brief: bool = False) -> None:
        """Go on once a content is here, if that is in time."""
        token = self._wait(asking, now, lambda got: None, brief)

        def here() -> None:
            if self.desk.calls.pop(token, None) is not None:
                then()
        self.desk.with_content(digest, now, here)

    def _change(self, asking: Asking, now: float, kind: str, args: list, data: bytes = b"",
                brief: bool = False) -> None:
        """Guards, where it is `brief`, what was told elsewhere since: the change is withdrawn with its caller."""
        if brief and asking.gone:   # it waited while this machine stood still
            return self.desk.answer(asking, fault(503, "the caller is gone"))
        token = self._wait(asking, now, lambda got: self.desk.answer(
            asking, Reply(200, {}) if got[0] == 200 else fault(got[0], got[1])), brief)
        self.desk.calls[token].withdraw = brief
        self.desk.send(self.desk.store, ["change", token, kind, args, data])

    def _call_put(self, asking: Asking, now: float) -> None:
        read = config_versions.decode(asking.body).and_then(
            lambda value: config_versions.numbers(value).and_then(lambda n: _check(value).map(lambda _: (value, n))))
        if isinstance(read, Err):
            return self.desk.answer(asking, fault(read.err_value.status, str(read.err_value)))
        value, (version, base) = read.ok_value
        self._agree(asking, now, version, base, config_versions.digest(b"PUT" + asking.body), value,
                    self._to_come(base))

    def _to_come(self, base: int) -> bool:
        """Whether 412 is not for good: the base may come while a copy of the order waits elsewhere."""
        return base > self.desk.world.get("version", 0)

    def _agree(self, asking: Asking, now: float, version: int, base: int, sent: str, value: dict,
               brief: bool) -> None:
        try:
            data = zlib.compress(config_versions.encode(value), 1)
        except UnicodeEncodeError as error:
            return self.desk.answer(asking, fault(400, f"it holds what is no text: {error.reason}"))
        self._change(asking, now, "put", [version, base, sent, config_versions.digest(data)], data, brief)

    def _call_patch(self, asking: Asking, now: float) -> None:
        read = config_versions.decode(asking.body).and_then(
            lambda v: config_versions.numbers(v).map(lambda n: (v, n)))
        if isinstance(read, Err):
            return self.desk.answer(asking, fault(read.err_value.status, str(read.err_value)))
        value, (version, base) = read.ok_value
        sent, brief = config_versions.digest(b"PATCH" + asking.body), self._to_come(base)

        def with_world(got: list) -> None:
            if (world := got[0]) is None:
                return self.desk.answer(asking, fault(503, "no majority answers"))
            if base != world["version"] or not world["digest"]:
                # It can't be taken by what was read here, and may have been: the store tells by its memory.
                return self._change(asking, now, "put", [version, base, sent, ""])
            self._with_content(asking, now, world["digest"], lambda: merged(world["digest"]), brief)

        def merged(digest: str) -> None:
            held = config_versions.decode(zlib.decompress(self.desk.contents[digest])).unwrap()
            made = config_versions.merge(held, value).and_then(lambda whole: _check(whole).map(lambda _: whole))
            if isinstance(made, Err):
                return self.desk.answer(asking, fault(made.err_value.status, str(made.err_value)))
            self._agree(asking, now, version, base, sent, made.ok_value, brief)

        self.desk.send(self.desk.store, ["read", self._wait(asking, now, with_world, brief)])

    def _newest(self, asking: Asking, now: float, reply: Callable[[dict, bytes], Reply]) -> None:
        """Answer by what a majority holds now: the agreed value and its configuration, as JSON."""
        def with_world(got: list) -> None:
            if (world := got[0]) is None:
                return self.desk.answer(asking, fault(503, "no majority answers"))
            if not (digest := world["digest"]):
                return self.desk.answer(asking, fault(404, "there is no configuration yet"))
            self._with_content(asking, now, digest, lambda: self.desk.answer(
                asking, reply(world, zlib.decompress(self.desk.contents[digest]))))

        self.desk.send(self.desk.store, ["read", self._wait(asking, now, with_world)])

    def _call_get(self, asking: Asking, now: float) -> None:
        self._newest(asking, now, lambda world, held: Reply(200, raw=held))

    # An evacuation has no number that tells it from one sent before: it could bring back what was ended since.
    def _call_evacuate(self, asking: Asking, now: float) -> None:
        self._change(asking, now, "evacuate", [asking.segment, True], brief=True)

    def _call_restore(self, asking: Asking, now: float) -> None:
        self._change(asking, now, "evacuate", [asking.segment, False], brief=True)

    # A core that was lost for good

    def _call_snapshot(self, asking: Asking, now: float) -> None:
        """All that is agreed and has to outlast the core, as one object."""
        self._newest(asking, now, lambda world, held: Reply(200, {
            "schema": SNAPSHOT, **{name: world[name] for name in KEPT}, "floor": floor_of(upgrade(world)),
            "configuration": config_versions.decode(held).unwrap()}))

    def _call_revive(self, asking: Asking, now: float) -> None:
        """A snapshot, for a core that was just founded; one that holds anything refuses it."""
        read = config_versions.decode(asking.body).and_then(config_versions.snapshot)
        checked = read.and_then(lambda value: _check(value["configuration"]))
        if isinstance(checked, Err):
            return self.desk.answer(asking, fault(checked.err_value.status, str(checked.err_value)))
        value = read.ok_value
        data = zlib.compress(config_versions.encode(value["configuration"]), 1)
        self._change(asking, now, "revive", [value["version"], config_versions.digest(data), value["past"],
                                             value["evac"], value.get("floor")], data)

    # What there is

    def _call_status(self, asking: Asking, now: float) -> None:
        """The whole as this core machine sees it."""
        desk, world = self.desk, self.desk.world
        holder = desk.allocation.lease.holder
        self.desk.answer(asking, Reply(200, {
            "node": desk.me, "version": world.get("version", 0), "revision": world.get("rev", 0),
            "voters": world.get("voters", {}), "before": world.get("before", {}), "ready": world.get("ready", {}),
            "evacuated": world.get("evac", []), "term": world.get("term", 0),
            "reckons": (
                holder[1] if holder is not None and now - desk.allocation.lease.holder_seen_at < LEASE_S else ""),
            "linked": sorted(desk.links), "in_touch": desk.in_touch(now),
            "behind": sorted(m.ip for m in desk.members.known.values() if m.version < world.get("version", 0)),
            "drains": sorted(id for id, b in desk.backends.known.items() if b.told.state == DRAINING),
            "fronts": [m.pack(now) for m in desk.members.known.values()],
            "backends": [[*b.now(now).pack(), b.lost] for b in desk.backends.known.values()]}))

    def _call_parts(self, asking: Asking, now: float) -> None:
        """Who holds which parts, told by who reckons them; elsewhere, where that is."""
        desk, duty, allocator = self.desk, self.desk.allocation.lease, self.desk.allocation.allocator
        if allocator is not None and duty.holds(now):
            return desk.answer(asking, Reply(200, {"node": desk.me, **allocator.status(now)}))
        if (holder := duty.holder) is None or now - duty.holder_seen_at >= LEASE_S or holder[1] == desk.me:
            return desk.answer(asking, fault(503, "nobody reckons parts"))
        desk.answer(asking, Reply(307, {}, headers=[("Location", f"http://{holder[1]}:{desk.port}/api/parts")]))
