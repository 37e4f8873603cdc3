"""Calls to a simulated core by operators, backends and clients of the directory."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from fennelpoint.system.calls import find_call
from fennelpoint.system.http_server import ApiRequest
from fennelpoint.testing.core_machines import Backend, Caller, CheckFailed

if TYPE_CHECKING:
    from fennelpoint.system.http_server import Reply
    from fennelpoint.testing.core_machines import CoreMachine, ProxyMachine

HEARTBEAT_REPLY_TIMEOUT_S = 1.0  # then a backend calls another core machine
ACCEPT_TIMEOUT_S = 2.0  # for each of several successive changes
STEP_S = 0.02  # of simulated time
TENANTS = ("t1", "t2")


class OutsideCalls:
    """Mixin of `core_simulation.CoreSimulation` for calls; declares the attributes that it uses."""

    now: float
    tenant_rate_per_s: int
    home_regions: list[str]
    cores: dict[str, CoreMachine]
    proxies: dict[str, ProxyMachine]
    calls_by_label: dict[str, list[ApiRequest]]
    replies: dict[int, Reply]
    heartbeat_callers: dict[int, Backend]
    deferred_deliveries: dict[str, list[Callable[[], None]]]
    frozen_since: dict[str, float]

    def call(
        self,
        method: str,
        path: str,
        body: object,
        target: str,
        label: str,
        caller: Backend | None = None,
        interface: str = "control_plane",
        query: dict[str, str] | None = None,
    ) -> None:
        """Call one core machine and record the call under the label; a body of bytes is sent unchanged.

        `caller` is the backend whose heartbeat the call is, `interface` the listener of the core that it is for.
        """
        core = self.cores[target]
        endpoint, segment, _ = find_call(interface, method, path)
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        request = ApiRequest(endpoint, segment, query or {}, data, Caller())
        self.calls_by_label.setdefault(label, []).append(request)
        if caller is not None:
            self.heartbeat_callers[id(request)] = caller
            self._schedule(
                HEARTBEAT_REPLY_TIMEOUT_S,
                lambda: self._retry_heartbeat(caller) if self.heartbeat_callers.pop(id(request), None) else None,
            )
        if target in self.frozen_since:
            self.deferred_deliveries[target].append(
                lambda: self._run_registry_actions(core, core.registry.on_call(request, self.now))
            )
        elif core.is_running:
            self._run_registry_actions(core, core.registry.on_call(request, self.now))

    def put(self, version: int, base: int, target: str, label: str = "", mark: str = "") -> None:
        """Put a complete configuration: one route, one service, two tenants with the simulation's rate.

        `mark` distinguishes the route's name and path.
        """
        route = {
            "name": f"r{mark}",
            "kind": "idempotent",
            "match_criteria": {"path_prefix": f"/{mark or 'r'}/"},
            "route_action": {"service": "svc", "request_timeout_s": 1, "home_regions": self.home_regions},
        }
        tenants = [
            {
                "name": name,
                "api_keys": [f"k-{name}"],
                "rate_per_s": self.tenant_rate_per_s,
                "burst_size": self.tenant_rate_per_s,
            }
            for name in TENANTS
        ]
        value = {
            "version": version,
            "base_version": base,
            "listener_table": [{"host": "h.example", "rule_set": [route]}],
            "tenants": tenants,
            "clusters": [{"name": "svc", "cold_start_s": 3, "cold_rate_s": 5}],
        }
        self.call("PUT", "/api/configuration", value, target, label or f"put {version}")

    def status(self, label: str) -> int:
        """HTTP status of the newest reply to a call with that label; 0 without a reply."""
        replies = [self.replies.get(id(request)) for request in self.calls_by_label.get(label, ())]
        return next((reply.status for reply in reversed(replies) if reply is not None), 0)

    def resolved_regions(self) -> list[str]:
        """Regions of the proxies in the newest reply of the directory; empty when it is not a 200."""
        reply = self.replies[id(self.calls_by_label["resolve"][-1])]
        addresses = reply.value["addresses"] if reply.status == 200 else []
        return sorted({self.proxies[address.partition(":")[0]].region for address in addresses})

    def _wait_until_accepted(self, request: ApiRequest) -> None:
        limit = self.now + ACCEPT_TIMEOUT_S
        while (reply := self.replies.get(id(request))) is None and self.now < limit:
            self.run(self.now + STEP_S)
        if reply is None or reply.status != 200:
            raise CheckFailed(f"{self.now:.2f}: a change was not accepted in time: {reply and reply.value}")
