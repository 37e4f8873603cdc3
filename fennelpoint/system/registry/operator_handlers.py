"""Operators' calls at a registry: configuration changes, reads, evacuations, snapshots and status.

A part of `state_machine.RegistryStateMachine`.  It sends requests to the local store under tokens, and replies once
the store has the answer of a majority.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Result

from fennelpoint.system import config_versions
from fennelpoint.system.failure import Failure
from fennelpoint.system.http_server import ApiRequest, Reply
from fennelpoint.system.registry.allocation_leader import AllocationLeader
from fennelpoint.system.registry.backend_table import DRAINING, BackendTable
from fennelpoint.system.registry.leader_lease import LEASE_S
from fennelpoint.system.registry.membership import Membership
from fennelpoint.system.registry.pending_calls import PendingCall, error_reply
from fennelpoint.system.store.idempotency import floor_of, upgrade
from fennelpoint.system.store.replicated_state import order_number

CHANGE_TIMEOUT_S = 3.0  # for the store to answer
# For calls that must have ended before their caller, after a second without an answer, sends them to another machine.
SHORT_TIMEOUT_S = 0.9
SNAPSHOT_SCHEMA = 1
SNAPSHOT_FIELDS = ("version", "past", "evac")   # of the agreed state, in a snapshot beside the configuration


def _check_and_compile(value: dict) -> Result[bytes, Failure]:
    """Check, compile and encode a configuration; pydantic is imported at the first one, for a quick start."""
    from fennelpoint.system.config_schema import check_and_compile

    return check_and_compile(value)


class RegistryContext(Protocol):
    """What the handlers need of the registry that they are a part of."""

    node_ip: str
    port: int
    store_peer: str
    last_token: int
    pending_calls: dict[int, PendingCall]
    cluster_state: dict
    contents: dict[str, bytes]
    linked_registries: set[str]
    members: Membership
    backends: BackendTable
    allocation: AllocationLeader

    def has_quorum(self, now: float) -> bool: ...
    def answer(self, request: ApiRequest, reply: Reply) -> None: ...
    def send(self, to: str, message: list) -> None: ...
    def with_content(self, digest: str, now: float, callback: Callable[[], None]) -> Any: ...


class OperatorHandlers:
    """Handlers of operators' calls at one core machine: `_call_<name>` for the call of that name in `calls.TABLE`."""

    def __init__(self, registry: RegistryContext) -> None:
        self.registry = registry

    def _add_pending_call(self, request: ApiRequest, now: float, on_result: Callable[[list], None],
                          short_timeout: bool = False) -> int:
        """Keep a call until its result arrives; return its token."""
        self.registry.last_token += 1
        self.registry.pending_calls[self.registry.last_token] = PendingCall(
            request, now + (SHORT_TIMEOUT_S if short_timeout else CHANGE_TIMEOUT_S), on_result=on_result)
        return self.registry.last_token

    def _with_content(self, request: ApiRequest, now: float, digest: str, callback: Callable[[], None],
                      short_timeout: bool = False) -> None:
        """Call back once the configuration with this digest is here, unless the call times out before."""
        token = self._add_pending_call(request, now, lambda result: None, short_timeout)

        def on_content() -> None:
            if self.registry.pending_calls.pop(token, None) is not None:
                callback()
        self.registry.with_content(digest, now, on_content)

    def _change(self, request: ApiRequest, now: float, kind: str, arguments: list, data: bytes = b"",
                short_timeout: bool = False) -> None:
        """Propose a change to the store, and reply with its outcome.

        With a short timeout the change is withdrawn once its caller has disconnected or the time is up: it must not
        undo a later change that the operator has made at another machine.
        """
        if short_timeout and request.is_abandoned:  # the request waited while this machine was paused
            return self.registry.answer(request, error_reply(503, "the caller has disconnected"))
        token = self._add_pending_call(request, now, lambda result: self.registry.answer(
            request, Reply(200, {}) if result[0] == 200 else error_reply(result[0], result[1])), short_timeout)
        self.registry.pending_calls[token].withdraw_if_abandoned = short_timeout
        self.registry.send(self.registry.store_peer, ["change", token, kind, arguments, data])

    def _call_put(self, request: ApiRequest, now: float) -> None:
        decoded = config_versions.decode(request.body).and_then(
            lambda value: config_versions.version_numbers(value).and_then(
                lambda versions: _check_and_compile(value).map(lambda encoded: (encoded, versions))))
        if isinstance(decoded, Err):
            return self.registry.answer(request, error_reply(decoded.err_value.status, str(decoded.err_value)))
        encoded, (version, base) = decoded.ok_value
        self._propose_configuration(request, now, version, base, config_versions.digest(b"PUT" + request.body),
                                    encoded, self._base_may_arrive(base))

    def _base_may_arrive(self, base: int) -> bool:
        """Whether a 412 may be temporary: the base version may arrive while another machine holds the same call."""
        return base > self.registry.cluster_state.get("version", 0)

    def _propose_configuration(self, request: ApiRequest, now: float, version: int, base: int, request_digest: str,
                               encoded: bytes, short_timeout: bool) -> None:
        data = zlib.compress(encoded, 1)
        self._change(request, now, "put", [version, base, request_digest, config_versions.digest(data)], data,
                     short_timeout)

    def _call_patch(self, request: ApiRequest, now: float) -> None:
        decoded = config_versions.decode(request.body).and_then(
            lambda value: config_versions.version_numbers(value).map(lambda versions: (value, versions)))
        if isinstance(decoded, Err):
            return self.registry.answer(request, error_reply(decoded.err_value.status, str(decoded.err_value)))
        value, (version, base) = decoded.ok_value
        request_digest, short_timeout = config_versions.digest(b"PATCH" + request.body), self._base_may_arrive(base)

        def on_state(result: list) -> None:
            if (cluster_state := result[0]) is None:
                return self.registry.answer(request, error_reply(503, "no majority answered"))
            if base != cluster_state["version"] or not cluster_state["digest"]:
                # The state that was read does not allow this change, but the same request may have been agreed
                # before: the store finds out by its record of requests.
                return self._change(request, now, "put", [version, base, request_digest, ""])
            self._with_content(request, now, cluster_state["digest"],
                               lambda: apply_patch(cluster_state["digest"]), short_timeout)

        def apply_patch(digest: str) -> None:
            base_value = config_versions.decode(zlib.decompress(self.registry.contents[digest])).unwrap()
            merged = config_versions.merge(base_value, value).and_then(_check_and_compile)
            if isinstance(merged, Err):
                return self.registry.answer(request, error_reply(merged.err_value.status, str(merged.err_value)))
            self._propose_configuration(request, now, version, base, request_digest, merged.ok_value, short_timeout)

        self.registry.send(self.registry.store_peer,
                           ["read", self._add_pending_call(request, now, on_state, short_timeout)])

    def _answer_from_newest(self, request: ApiRequest, now: float, reply: Callable[[dict, bytes], Reply]) -> None:
        """Reply by the state that a majority holds now, and its configuration as JSON."""
        def on_state(result: list) -> None:
            if (cluster_state := result[0]) is None:
                return self.registry.answer(request, error_reply(503, "no majority answered"))
            if not (digest := cluster_state["digest"]):
                return self.registry.answer(request, error_reply(404, "there is no configuration yet"))
            self._with_content(request, now, digest, lambda: self.registry.answer(
                request, reply(cluster_state, zlib.decompress(self.registry.contents[digest]))))

        self.registry.send(self.registry.store_peer, ["read", self._add_pending_call(request, now, on_state)])

    def _call_get(self, request: ApiRequest, now: float) -> None:
        self._answer_from_newest(request, now, lambda cluster_state, configuration: Reply(200, raw=configuration))

    def _call_evacuate(self, request: ApiRequest, now: float) -> None:
        self._order_evacuation(request, now, True)

    def _call_restore(self, request: ApiRequest, now: float) -> None:
        self._order_evacuation(request, now, False)

    def _order_evacuation(self, request: ApiRequest, now: float, on: bool) -> None:
        """Propose an order, fenced by the number that the zone's orders have reached by now.

        An order carries no version of its own: without the fence and the short timeout, one that is late could undo
        a newer one.
        """
        zone = request.segment
        number = order_number(self.registry.cluster_state, zone)
        self._change(request, now, "evacuate", [zone, on, number], short_timeout=True)

    # Recovery of a core that was lost for good

    def _call_snapshot(self, request: ApiRequest, now: float) -> None:
        """All agreed state that has to outlast the core, as one JSON object."""
        self._answer_from_newest(request, now, lambda cluster_state, configuration: Reply(200, {
            "schema": SNAPSHOT_SCHEMA, **{name: cluster_state[name] for name in SNAPSHOT_FIELDS},
            "floor": floor_of(upgrade(cluster_state)),
            "configuration": config_versions.decode(configuration).unwrap()}))

    def _call_revive(self, request: ApiRequest, now: float) -> None:
        """Restore a snapshot into a new core; a core that holds any configuration rejects it."""
        decoded = config_versions.decode(request.body).and_then(config_versions.check_snapshot)
        encoded = decoded.and_then(lambda value: _check_and_compile(value["configuration"]))
        if isinstance(encoded, Err):
            return self.registry.answer(request, error_reply(encoded.err_value.status, str(encoded.err_value)))
        value, data = decoded.ok_value, zlib.compress(encoded.ok_value, 1)
        self._change(request, now, "revive", [value["version"], config_versions.digest(data), value["past"],
                                              value["evac"], value.get("floor")], data)

    # Status

    def _call_status(self, request: ApiRequest, now: float) -> None:
        """The state of the whole system as this core machine sees it."""
        registry, cluster_state = self.registry, self.registry.cluster_state
        holder = registry.allocation.lease.holder
        self.registry.answer(
            request,
            Reply(
                200,
                {
                    "node": registry.node_ip,
                    "version": cluster_state.get("version", 0),
                    "revision": cluster_state.get("rev", 0),
                    "voters": cluster_state.get("voters", {}),
                    "before": cluster_state.get("before", {}),
                    "ready": cluster_state.get("ready", {}),
                    "evacuated": cluster_state.get("evac", []),
                    "term": cluster_state.get("term", 0),
                    "reckons": holder[1]
                    if holder is not None and now - registry.allocation.lease.holder_seen_at < LEASE_S
                    else "",
                    "linked": sorted(registry.linked_registries),
                    "in_touch": registry.has_quorum(now),
                    "behind": sorted(
                        m.ip for m in registry.members.known.values() if m.version < cluster_state.get("version", 0)
                    ),
                    "drains": sorted(id for id, b in registry.backends.by_id.items() if b.report.state == DRAINING),
                    "fronts": [m.pack(now) for m in registry.members.known.values()],
                    "backends": [
                        [*b.current_report(now).pack(), b.is_lost] for b in registry.backends.by_id.values()
                    ],
                },
            ),
        )

    def _call_parts(self, request: ApiRequest, now: float) -> None:
        """Which proxies hold which quota shares, from the allocator; other machines redirect to it."""
        registry, duty, allocator = self.registry, self.registry.allocation.lease, self.registry.allocation.allocator
        if allocator is not None and duty.holds(now):
            return registry.answer(request, Reply(200, {"node": registry.node_ip, **allocator.status(now)}))
        if (holder := duty.holder) is None or now - duty.holder_seen_at >= LEASE_S or holder[1] == registry.node_ip:
            return registry.answer(request, error_reply(503, "no machine allocates quota shares at present"))
        registry.answer(request, Reply(307, {}, headers=[("Location", f"http://{holder[1]}:{registry.port}/api/parts")]))
