"""Invariants of a simulated core, checked at each step against what is applied, not what state machines report."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from fennelpoint.system.proxy.placement import RATE_WINDOW_S
from fennelpoint.system.registry.grants import TOTAL_SHARES
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store import replica as store_replica
from fennelpoint.system.store.idempotency import referenced_digests
from fennelpoint.testing.core_calls import STEP_S, TENANTS
from fennelpoint.testing.core_machines import CheckFailed, CoreMachine, ProxyMachine

MAX_COLD_ATTEMPTS = 12  # that a cold backend can serve within `COLD_WINDOW_S`
COLD_WINDOW_S = 1.0
MAX_OVERLAP_S = 0.3  # a message about a new term may take that long to reach the allocator of the previous one


class CheckedSimulation(Protocol):
    """What the checks read of a `core_simulation.CoreSimulation`."""

    now: float
    cores: dict[str, CoreMachine]
    proxies: dict[str, ProxyMachine]
    acknowledged_at: dict[int, float]  # by configuration version
    bounds: Bounds

    def may_send_requests(self, proxy: ProxyMachine) -> bool:
        """Whether the proxy may forward requests to backends."""


@dataclass(slots=True)
class ColdShareUse:
    """The rate share of a cold backend that one incarnation of a proxy held at one step."""

    used_at: float
    incarnation: tuple[str, float]  # the proxy's address, and when the incarnation started
    share: int


@dataclass(eq=False)
class InvariantChecker:
    """Checks one simulation, and keeps what the checks need of earlier steps."""

    simulation: CheckedSimulation
    overlap_s: float = 0.0  # time for which two machines have been allocating at once
    cold_uses: dict[str, list[ColdShareUse]] = field(default_factory=dict)  # by backend, within the window

    def check(self) -> None:
        """Raise CheckFailed for the first invariant that does not hold now."""
        simulation = self.simulation
        active = [
            proxy
            for proxy in simulation.proxies.values()
            if simulation.may_send_requests(proxy) and simulation.now < proxy.session.grant.expires_at
        ]
        self._check_shares(active)
        self._check_cold(active)
        self._check_allocators()
        self._check_voters()
        self._check_versions()

    def _failure(self, what: str) -> CheckFailed:
        return CheckFailed(f"{self.simulation.now:.2f}: {what}")

    def _check_shares(self, active: list[ProxyMachine]) -> None:
        grants = [proxy.session.grant for proxy in active]
        for tenant in TENANTS:
            if (total := sum(grant.quotas.get(tenant, 0) for grant in grants)) > TOTAL_SHARES:
                raise self._failure(f"{total} thousandths of {tenant}'s quota are in use")
        if (total := sum(grant.slack for grant in grants)) > TOTAL_SHARES:
            raise self._failure(f"{total} thousandths of the slack are in use")

    def _check_cold(self, active: list[ProxyMachine]) -> None:
        """Each incarnation of a proxy may have used up the largest share that it held within the window."""
        now = self.simulation.now
        for proxy in active:
            started_at = proxy.session.started_at
            if now >= started_at + RATE_WINDOW_S:  # a proxy that has just started sends nothing to cold backends
                for backend, share in proxy.session.grant.cold_rates.items():
                    self.cold_uses.setdefault(backend, []).append(ColdShareUse(now, (proxy.ip, started_at), share))
        for backend, uses in list(self.cold_uses.items()):
            recent = [use for use in uses if use.used_at > now - COLD_WINDOW_S]
            largest: dict[tuple[str, float], int] = {}
            for use in recent:
                largest[use.incarnation] = max(largest.get(use.incarnation, 0), use.share)
            if (total := sum(largest.values())) > MAX_COLD_ATTEMPTS:
                raise self._failure(f"{total} attempts within a second at cold backend {backend}: {largest}")
            if recent:
                self.cold_uses[backend] = recent
            else:
                del self.cold_uses[backend]

    def _check_allocators(self) -> None:
        simulation = self.simulation
        registries = [core.registry for core in simulation.cores.values() if core.is_running]
        granting = [registry for registry in registries if registry.allocation.may_grant(simulation.now)]
        terms = {registry.allocation.allocator.term[0] for registry in granting}
        knows_newer_term = any(
            registry.cluster_state["term"] > registry.allocation.allocator.term[0] for registry in granting
        )
        self.overlap_s = self.overlap_s + STEP_S if len(terms) > 1 and not knows_newer_term else 0.0
        if self.overlap_s > MAX_OVERLAP_S:
            raise self._failure(f"{[registry.node_ip for registry in granting]} grant shares at the same time")

    def _check_voters(self) -> None:
        for core in self.simulation.cores.values():
            register = (
                core.saved_acceptor.registers.get(store_replica.KEY)
                if core.saved_acceptor is not None and core.saved_acceptor.can_vote
                else None
            )
            if (
                register is not None
                and register.value
                and any(d not in core.contents for d in referenced_digests(register.value))
            ):
                raise self._failure(f"{core.ip} votes without the contents that its value refers to")

    def _check_versions(self) -> None:
        simulation = self.simulation
        newest = max(simulation.acknowledged_at, default=0)
        for proxy in simulation.proxies.values():
            is_outdated = (
                proxy.version < newest
                and simulation.now - simulation.acknowledged_at[newest] > simulation.bounds.max_staleness_s
            )
            if is_outdated and simulation.may_send_requests(proxy):
                age = simulation.now - simulation.acknowledged_at[newest]
                raise self._failure(
                    f"{proxy.ip} uses version {proxy.version}, {age:.2f} s after {newest} was acknowledged"
                )
