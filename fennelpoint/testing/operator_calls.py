"""Operators' calls in simulated time, each retried unchanged at other machines until there is a definite reply."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import TYPE_CHECKING

from fennelpoint.system.calls import find_call
from fennelpoint.system.http_server import ApiRequest, Reply
from fennelpoint.testing.core_machines import Caller, CheckFailed
from fennelpoint.testing.linearizable import Op

if TYPE_CHECKING:
    from fennelpoint.testing.core_machines import CoreMachine
    from fennelpoint.testing.operator_plans import OperatorAction, Plan

STEP_S = 0.04  # between two checks for results
REPLY_TIMEOUT_S = 1.0  # of one attempt
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.8  # doubles with each attempt
OPERATION_TIMEOUT_S = 6.0  # for all attempts together
MAX_PENDING = 8  # concurrent operations
CHANGE_METHODS = {"put": "PUT", "patch": "PATCH", "evacuate": "POST", "restore": "DELETE"}


@dataclass(eq=False)
class PendingOperation:
    """One operation with all its attempts."""

    op: dict
    method: str
    path: str
    body: bytes
    deadline: float
    target: str = ""  # the machine of the current attempt
    required_target: str = ""  # the only machine allowed; empty for any
    attempts: int = 0
    redirects: int = 0
    attempts_began: list[float] = field(default_factory=list)
    request: ApiRequest | None = None
    result: Op | None = None


class OperatorCalls:
    """Mixin of `operators.OperatorSimulation` for the operators' calls; declares the attributes that it uses."""

    plan: Plan
    now: float
    rng: Random
    cores: dict[str, CoreMachine]
    removed: set[str]
    frozen_queues: dict[str, list[Callable[[], None]]]
    history: list[Op]
    pending: list[PendingOperation]
    open_requests: dict[int, tuple[PendingOperation, ApiRequest, str]]
    sent_requests: list[ApiRequest]
    known_versions: list[int]
    change_count: int
    change_bodies: dict[int, bytes]
    are_faults_over: bool

    def _network_delay(self) -> float:
        return self.rng.uniform(0.001, 0.02)

    def start_action(self, action: OperatorAction) -> None:
        """Begin an action, unless too many operations are pending."""
        if len(self.pending) >= MAX_PENDING:
            return
        base = self.known_versions[action.operator] if action.uses_own_version else max(self.known_versions)
        kind = "put" if action.kind == "patch" and not base else action.kind
        if kind in ("get", "snapshot"):
            return self.read(kind, action.operator)
        if kind in ("put", "patch"):
            return self.change(kind, base + 1 + action.variant % 2, base, action.operator, action.variant)
        self.change_evacuation(kind, f"z{action.variant % 2}")

    def read(
        self, kind: str, operator: int = 0, required_target: str = "", timeout_s: float = OPERATION_TIMEOUT_S
    ) -> None:
        """Begin to read the configuration (`get`) or a snapshot."""
        path = {"get": "/api/configuration", "snapshot": "/api/snapshot"}[kind]
        self._begin_operation(
            {"order": 0, "kind": kind, "operator": operator}, "GET", path, b"", timeout_s, required_target
        )

    def change(self, kind: str, version: int, base: int, operator: int = 0, variant: int = 0) -> None:
        """Begin to put or patch the configuration; each change has a path of its own, so that reads tell it apart."""
        self.change_count += 1
        number = self.change_count
        names = {"put": ["r0", f"r{number}"], "patch": [f"r{variant % 4}"]}[kind]
        removed = frozenset(
            [f"r{variant // 4}"] if kind == "patch" and variant // 4 and variant // 4 != variant % 4 else []
        )
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
            body |= {"upsert": {"listener_table": table}, "remove": {"routes": sorted(removed)}}
        op = {
            "order": number,
            "kind": kind,
            "version": version,
            "base": base,
            "gone": removed,
            "operator": operator,
            "routes": frozenset((n, f"/{number}/") for n in names),
        }
        self._begin_operation(op, CHANGE_METHODS[kind], "/api/configuration", json.dumps(body).encode())

    def change_evacuation(self, kind: str, zone: str) -> None:
        """Begin to evacuate or restore a zone."""
        self.change_count += 1
        self._begin_operation(
            {"order": self.change_count, "kind": kind, "zone": zone, "operator": 0},
            CHANGE_METHODS[kind],
            f"/api/evacuation/{zone}",
            b"",
        )

    def _begin_operation(
        self,
        op: dict,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float = OPERATION_TIMEOUT_S,
        required_target: str = "",
    ) -> None:
        self.change_bodies[op["order"]] = body
        operation = PendingOperation(
            {**op, "began": self.now}, method, path, body, self.now + timeout_s, required_target=required_target
        )
        self.pending.append(operation)
        self._attempt(operation)

    def _attempt(self, operation: PendingOperation, redirected_to: str = "") -> None:
        if operation not in self.pending:
            return
        others = [ip for ip in self.cores if ip not in self.removed and ip != operation.target] or list(self.cores)
        operation.attempts_began.append(self.now)
        operation.target = redirected_to or operation.required_target or self.rng.choice(others)
        call, segment, _ = find_call("control_plane", operation.method, operation.path)
        request = operation.request = ApiRequest(call, segment, {}, operation.body, Caller())
        self.sent_requests.append(request)
        target = operation.target
        self._schedule(self._network_delay(), lambda: self._deliver_request(operation, request, target))
        self._schedule(REPLY_TIMEOUT_S, lambda: self._attempt_failed(operation, request))

    def _deliver_request(self, operation: PendingOperation, request: ApiRequest, target: str) -> None:
        core = self.cores[target]
        if not core.is_running:
            return self._attempt_failed(operation, request)
        if (deferred := self.frozen_queues.get(target)) is not None:
            return deferred.append(lambda: self._deliver_request(operation, request, target))
        self.open_requests[id(request)] = (operation, request, target)
        self._run_registry_actions(core, core.registry.on_call(request, self.now))

    def _record_reply(self, request: ApiRequest, reply: Reply) -> None:
        super()._record_reply(request, reply)
        operation, _, target = self.open_requests.pop(id(request))
        if request.is_abandoned or self.plan.loses_replies and not self.are_faults_over and self.rng.random() < 0.2:
            pass  # the reply is lost: the caller has already retried elsewhere, or will
        else:
            self._schedule(self._network_delay(), lambda: self._handle_reply(operation, request, reply))
        if reply.status == 200 and request.call.name in CHANGE_METHODS:
            self._change_acknowledged(target)

    def _attempt_failed(self, operation: PendingOperation, request: ApiRequest) -> None:
        if operation.request is request:
            self._retry(operation)

    def _retry(self, operation: PendingOperation) -> None:
        if operation.request is not None:
            operation.request._connection.is_lost = True
        operation.request = None
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**operation.attempts)
        operation.attempts += 1
        if self.now + backoff_s < operation.deadline:
            return self._schedule(backoff_s, lambda: self._attempt(operation))
        self._finish(operation, 0, None)

    def _handle_reply(self, operation: PendingOperation, request: ApiRequest, reply: Reply) -> None:
        if operation.request is not request:
            return
        if reply.status == 307 and operation.redirects < 2:
            operation.redirects += 1
            (location,) = [value for name, value in reply.headers if name == "Location"]
            return self._attempt(operation, location.split("/")[2].partition(":")[0])
        operation.redirects = 0
        if reply.status >= 500 or reply.status in (307, 408, 429):
            return self._retry(operation)
        self._finish(operation, reply.status, reply)

    def _finish(self, operation: PendingOperation, status: int, reply: Reply | None) -> None:
        self.pending.remove(operation)
        operation.request = None
        op = dict(operation.op)
        operator = op.pop("operator")
        if op["kind"] in ("evacuate", "restore"):
            self._record_earlier_attempts(operation, op, self.now if status else inf)
            op["began"] = operation.attempts_began[-1]
        if status == 0:
            if op["kind"] in CHANGE_METHODS:
                self.history.append(Op(**op))
            return
        if op["kind"] in ("get", "snapshot"):
            if status == 404:
                op["kind"] = "get"  # a 404 says nothing about the evacuated zones
            op["seen"] = observed_state(reply)[: 4 if op["kind"] == "snapshot" else 3]
            self.known_versions[operator] = max(self.known_versions[operator], op["seen"][0])
        elif status == 200 and "version" in op:
            self.known_versions[operator] = max(self.known_versions[operator], op["version"])
        elif status in (400, 412):
            self.read("get", operator)
        operation.result = Op(**op, ended=self.now, status=status)
        self.history.append(operation.result)

    def _record_earlier_attempts(self, operation: PendingOperation, op: dict, effective_by: float) -> None:
        """Record the attempts before the last one as operations of their own.

        An order bears nothing that tells a retry from a new order, so each attempt may take effect; none may once
        the operator has the answer.
        """
        for began in operation.attempts_began[:-1]:
            self.history.append(Op(**{**op, "began": began}, effective_by=effective_by))

    def wait_for_results(self, start: Callable[[], None], timeout_s: float, description: str) -> list[Op]:
        """Results of the operations that `start` begins; raises CheckFailed if one has no definite reply in time."""
        earlier = list(self.pending)
        start()
        begun, deadline = [operation for operation in self.pending if operation not in earlier], self.now + timeout_s
        while self.now < deadline and not all(operation.result for operation in begun):
            self.run(self.now + STEP_S)
        if any(operation.result is None for operation in begun):
            raise CheckFailed(f"{self.now:.2f}: {description}: no definite reply within {timeout_s} s without faults")
        return [operation.result for operation in begun]

    def resend(self, op: Op) -> None:
        """Send an accepted change again, unchanged."""
        resent = {
            "order": op.order,
            "kind": op.kind,
            "version": op.version,
            "base": op.base,
            "routes": op.routes,
            "gone": op.gone,
            "operator": 0,
        }
        self._begin_operation(resent, CHANGE_METHODS[op.kind], "/api/configuration", self.change_bodies[op.order])


def observed_state(reply: Reply) -> tuple:
    """The state in the reply to a read: version, base version, routes and evacuated zones."""
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
