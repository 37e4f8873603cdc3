"""Calls from outside upon a simulated core: of operators, backends and clients of the directory."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from fennelpoint.system.calls import find_call
from fennelpoint.system.http_server import ApiRequest
from fennelpoint.testing.core_machines import Backend, Broken, Caller

if TYPE_CHECKING:
    from fennelpoint.system.http_server import Reply
    from fennelpoint.testing.core_machines import Core, Front

ANSWER_WITHIN = 1.0  # s of silence after which a backend calls another core machine
TAKEN_WITHIN = 2.0  # s in which each of a row of orders must be taken
STEP = 0.02  # s between two looks at the world
TENANTS = ("t1", "t2")


class OutsideCalls:
    """Calls of a `core_simulation.World`, which is this and what it names."""

    now: float
    rate: int
    homes: list[str]
    cores: dict[str, Core]
    fronts: dict[str, Front]
    asked: dict[str, list[ApiRequest]]
    replies: dict[int, Reply]
    beaten: dict[int, Backend]
    waits: dict[str, list[Callable[[], None]]]
    frozen: dict[str, float]

    def call(
        self,
        method: str,
        path: str,
        body: object,
        via: str,
        label: str,
        by: Backend | None = None,
        door: str = "control_plane",
        query: dict[str, str] | None = None,
    ) -> None:
        """A call to one core machine; its reply is kept under the label.  A body of bytes is sent as it is."""
        core = self.cores[via]
        found, segment, _ = find_call(door, method, path)
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        asking = ApiRequest(found, segment, query or {}, data, Caller())
        self.asked.setdefault(label, []).append(asking)
        if by is not None:
            self.beaten[id(asking)] = by
            self._later(ANSWER_WITHIN, lambda: self._elsewhere(by) if self.beaten.pop(id(asking), None) else None)
        if via in self.frozen:
            self.waits[via].append(lambda: self._roll(core, core.registry.on_call(asking, self.now)))
        elif core.up:
            self._roll(core, core.registry.on_call(asking, self.now))

    def put(self, version: int, base: int, via: str, label: str = "", mark: str = "") -> None:
        """An operator's whole configuration: one route, one service, two tenants with the world's rate."""
        route = {
            "name": f"r{mark}",
            "kind": "idempotent",
            "match_criteria": {"path_prefix": f"/{mark or 'r'}/"},
            "route_action": {"service": "svc", "request_timeout_s": 1, "home_regions": self.homes},
        }
        tenants = [
            {"name": name, "api_keys": [f"k-{name}"], "rate_per_s": self.rate, "burst_size": self.rate}
            for name in TENANTS
        ]
        value = {
            "version": version,
            "base_version": base,
            "listener_table": [{"host": "h.example", "rule_set": [route]}],
            "tenants": tenants,
            "clusters": [{"name": "svc", "cold_start_s": 3, "cold_rate_s": 5}],
        }
        self.call("PUT", "/api/configuration", value, via, label or f"put {version}")

    def status(self, label: str) -> int:
        """Of the newest reply to a call of that name; 0: none yet."""
        replies = [self.replies.get(id(asking)) for asking in self.asked.get(label, ())]
        return next((reply.status for reply in reversed(replies) if reply is not None), 0)

    def named(self) -> list[str]:
        """Regions of the proxies that the newest answer of the directory names; none where it named nobody."""
        reply = self.replies[id(self.asked["resolve"][-1])]
        addresses = reply.value["addresses"] if reply.status == 200 else []
        return sorted({self.fronts[address.partition(":")[0]].region for address in addresses})

    def _until_acked(self, asking: ApiRequest) -> None:
        limit = self.now + TAKEN_WITHIN
        while (reply := self.replies.get(id(asking))) is None and self.now < limit:
            self.run(self.now + STEP)
        if reply is None or reply.status != 200:
            raise Broken(f"{self.now:.2f}: an order in a row is not taken: {reply and reply.value}")
