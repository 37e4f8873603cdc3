"""Calls of operators in simulated time: the same order again, at the next machine, until there is a clear answer."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fennelpoint.system.calls import find_call
from fennelpoint.system.http_server import ApiRequest, Reply
from fennelpoint.testing.core_machines import Broken, Caller
from fennelpoint.testing.linearizable import Op

if TYPE_CHECKING:
    from fennelpoint.testing.core_machines import Core
    from fennelpoint.testing.operator_plans import Errand, Plan

STEP = 0.04  # s between two looks at what was answered
SILENCE = 1.0  # s that a caller waits
PAUSE, LONGEST = 0.05, 0.8  # s before the next try; doubles each time
PATIENCE = 6.0  # s that an order is sent
MOST_ORDERS = 8  # under way at once
CHANGES = {"put": "PUT", "patch": "PATCH", "evacuate": "POST", "restore": "DELETE"}


@dataclass(eq=False)
class Flow:
    """One call with all its tries."""

    op: dict
    method: str
    path: str
    body: bytes
    until: float
    via: str = ""  # the machine of the try that is under way
    only: str = ""  # no other will do
    tries: int = 0
    follows: int = 0
    asking: ApiRequest | None = None
    answered: Op | None = None


class OperatorCalls:
    """The operators of an `operators.Day`, which is this and what it names."""

    plan: Plan
    now: float
    dice: Random
    cores: dict[str, Core]
    removed: set[str]
    asleep: dict[str, list[Callable[[], None]]]
    history: list[Op]
    flows: list[Flow]
    open: dict[int, tuple[Flow, ApiRequest, str]]
    kept: list[ApiRequest]
    known: list[int]
    orders: int
    bodies: dict[int, bytes]
    peace: bool

    def _way(self) -> float:
        return self.dice.uniform(0.001, 0.02)

    def errand(self, one: Errand) -> None:
        if len(self.flows) >= MOST_ORDERS:
            return
        base = self.known[one.who] if one.blind else max(self.known)
        kind = "put" if one.kind == "patch" and not base else one.kind
        if kind in ("get", "snapshot"):
            return self.read(kind, one.who)
        if kind in ("put", "patch"):
            return self.change(kind, base + 1 + one.pick % 2, base, one.who, one.pick)
        self.evacuation(kind, f"z{one.pick % 2}")

    def read(self, kind: str, who: int = 0, only: str = "", patience: float = PATIENCE) -> None:
        path = {"get": "/api/configuration", "snapshot": "/api/snapshot"}[kind]
        self._start({"order": 0, "kind": kind, "who": who}, "GET", path, b"", patience, only)

    def change(self, kind: str, version: int, base: int, who: int = 0, pick: int = 0) -> None:
        """A configuration, or a change of one; what it holds is its own."""
        self.orders += 1
        number = self.orders
        names = {"put": ["r0", f"r{number}"], "patch": [f"r{pick % 4}"]}[kind]
        gone = frozenset([f"r{pick // 4}"] if kind == "patch" and pick // 4 and pick // 4 != pick % 4 else [])
        table = [
            {
                "host": "h.example",
                "rule_set": [
                    {
                        "name": n,
                        "kind": "idempotent",
                        "match_criteria": {"path_prefix": f"/{number}/"},
                        "route_action": {"service": "svc", "request_timeout_s": 1},
                    }
                    for n in names
                ],
            }
        ]
        body = {"version": version, "base_version": base}
        if kind == "put":
            body |= {"listener_table": table, "clusters": [{"name": "svc"}]}
        else:
            body |= {"upsert": {"listener_table": table}, "remove": {"routes": sorted(gone)}}
        op = {
            "order": number,
            "kind": kind,
            "version": version,
            "base": base,
            "gone": gone,
            "who": who,
            "routes": frozenset((n, f"/{number}/") for n in names),
        }
        self._start(op, CHANGES[kind], "/api/configuration", json.dumps(body).encode())

    def evacuation(self, kind: str, zone: str) -> None:
        self.orders += 1
        self._start(
            {"order": self.orders, "kind": kind, "zone": zone, "who": 0},
            CHANGES[kind],
            f"/api/evacuation/{zone}",
            b"",
        )

    def _start(
        self, op: dict, method: str, path: str, body: bytes, patience: float = PATIENCE, only: str = ""
    ) -> None:
        self.bodies[op["order"]] = body
        flow = Flow({**op, "began": self.now}, method, path, body, self.now + patience, only=only)
        self.flows.append(flow)
        self._try(flow)

    def _try(self, flow: Flow, via: str = "") -> None:
        if flow not in self.flows:
            return
        there = [ip for ip in self.cores if ip not in self.removed and ip != flow.via] or list(self.cores)
        flow.via = via or flow.only or self.dice.choice(there)
        call, segment, _ = find_call("control_plane", flow.method, flow.path)
        asking = flow.asking = ApiRequest(call, segment, {}, flow.body, Caller())
        self.kept.append(asking)
        at = flow.via
        self._later(self._way(), lambda: self._arrive(flow, asking, at))
        self._later(SILENCE, lambda: self._failed(flow, asking))

    def _arrive(self, flow: Flow, asking: ApiRequest, via: str) -> None:
        core = self.cores[via]
        if not core.up:
            return self._failed(flow, asking)
        if (waiting := self.asleep.get(via)) is not None:
            return waiting.append(lambda: self._arrive(flow, asking, via))
        self.open[id(asking)] = (flow, asking, via)
        self._roll(core, core.registry.on_call(asking, self.now))

    def _answered(self, asking: ApiRequest, reply: Reply) -> None:
        super()._answered(asking, reply)
        flow, _, via = self.open.pop(id(asking))
        if asking.is_abandoned or self.plan.lossy and not self.peace and self.dice.random() < 0.2:
            pass  # the caller has gone on, or will
        else:
            self._later(self._way(), lambda: self._got(flow, asking, reply))
        if reply.status == 200 and asking.call.name in CHANGES:
            self._acked(via)

    def _failed(self, flow: Flow, asking: ApiRequest) -> None:
        if flow.asking is asking:
            self._again(flow)

    def _again(self, flow: Flow) -> None:
        if flow.asking is not None:
            flow.asking._connection.is_lost = True
        flow.asking = None
        pause = min(LONGEST, PAUSE * 2**flow.tries)
        flow.tries += 1
        if self.now + pause < flow.until:
            return self._later(pause, lambda: self._try(flow))
        self._end(flow, 0, None)

    def _got(self, flow: Flow, asking: ApiRequest, reply: Reply) -> None:
        if flow.asking is not asking:
            return
        if reply.status == 307 and flow.follows < 2:
            flow.follows += 1
            (location,) = [value for name, value in reply.headers if name == "Location"]
            return self._try(flow, location.split("/")[2].partition(":")[0])
        flow.follows = 0
        if reply.status >= 500 or reply.status in (307, 408, 429):
            return self._again(flow)
        self._end(flow, reply.status, reply)

    def _end(self, flow: Flow, status: int, reply: Reply | None) -> None:
        self.flows.remove(flow)
        flow.asking = None
        op = dict(flow.op)
        who = op.pop("who")
        if status == 0:
            if op["kind"] in CHANGES:
                self.history.append(Op(**op))
            return
        if op["kind"] in ("get", "snapshot"):
            if status == 404:
                op["kind"] = "get"  # it tells no zones
            op["seen"] = seen(reply)[: 4 if op["kind"] == "snapshot" else 3]
            self.known[who] = max(self.known[who], op["seen"][0])
        elif status == 200 and "version" in op:
            self.known[who] = max(self.known[who], op["version"])
        elif status in (400, 412):
            self.read("get", who)
        flow.answered = Op(**op, ended=self.now, status=status)
        self.history.append(flow.answered)

    def wait(self, start: Callable[[], None], limit: float, what: str) -> list[Op]:
        """What the calls that this starts were answered; raises Broken where one had no clear answer in time."""
        others = list(self.flows)
        start()
        mine, end = [flow for flow in self.flows if flow not in others], self.now + limit
        while self.now < end and not all(flow.answered for flow in mine):
            self.run(self.now + STEP)
        if any(flow.answered is None for flow in mine):
            raise Broken(f"{self.now:.2f}: {what}: no clear answer within {limit} s of calm")
        return [flow.answered for flow in mine]

    def repeat(self, op: Op) -> None:
        """An order that was taken, sent again as it was."""
        again = {
            "order": op.order,
            "kind": op.kind,
            "version": op.version,
            "base": op.base,
            "routes": op.routes,
            "gone": op.gone,
            "who": 0,
        }
        self._start(again, CHANGES[op.kind], "/api/configuration", self.bodies[op.order])


def seen(reply: Reply) -> tuple:
    """What a read brought: version, base, routes and zones."""
    if reply.status == 404:
        return 0, 0, frozenset(), frozenset()
    value = json.loads(reply.raw) if reply.raw is not None else reply.value
    zones = frozenset(value.get("evac", ()))
    value = value.get("configuration", value)
    routes = frozenset(
        (rule["name"], rule["match_criteria"]["path_prefix"])
        for entry in value["listener_table"]
        for rule in entry["rule_set"]
    )
    return value["version"], value.get("base_version", 0), routes, zones
