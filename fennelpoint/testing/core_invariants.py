"""The rules that a simulated core is held to at each step, by what is acted on and not by what deciders say."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from fennelpoint.system.proxy.placement import RATE_WINDOW_S
from fennelpoint.system.registry.grants import TOTAL_SHARES
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store import replica as writ
from fennelpoint.system.store.idempotency import referenced_digests
from fennelpoint.testing.core_calls import STEP, TENANTS
from fennelpoint.testing.core_machines import Broken, Core, Front

COLD_MOST = 12  # tries a second that a cold backend bears
COLD_WINDOW = 1.0  # s in which they are counted
OVERLAP_MOST = 0.3  # s that a word of a new term may be on its way to the allocator before


class Checked(Protocol):
    """The world that is checked: a `core_simulation.World`."""

    now: float
    cores: dict[str, Core]
    fronts: dict[str, Front]
    acked: dict[int, float]  # versions, and when each was acknowledged
    bounds: Bounds

    def allows(self, front: Front) -> bool:
        """Whether the front may send requests on."""


@dataclass(slots=True)
class ColdUse:
    """What one life of a front might use of a cold backend, at one step."""

    at: float
    life: tuple[str, float]  # the front, and when the life began
    part: int


@dataclass(eq=False)
class CoreRules:
    """Checks one world; what it remembers of earlier steps is here."""

    world: Checked
    overlap: float = 0.0  # s that two have allocated
    cold_uses: dict[str, list[ColdUse]] = field(default_factory=dict)  # by backend, within the window

    def check(self) -> None:
        """Raises Broken for the first rule that does not hold now."""
        world = self.world
        using = [
            front
            for front in world.fronts.values()
            if world.allows(front) and world.now < front.session.grant.expires_at
        ]
        self._check_shares(using)
        self._check_cold(using)
        self._check_allocators()
        self._check_voters()
        self._check_versions()

    def _broken(self, what: str) -> Broken:
        return Broken(f"{self.world.now:.2f}: {what}")

    def _check_shares(self, using: list[Front]) -> None:
        parts = [front.session.grant for front in using]
        for tenant in TENANTS:
            if (whole := sum(p.quotas.get(tenant, 0) for p in parts)) > TOTAL_SHARES:
                raise self._broken(f"{whole} thousandths of {tenant}'s quota are in use")
        if (whole := sum(p.slack for p in parts)) > TOTAL_SHARES:
            raise self._broken(f"{whole} thousandths of the slack are in use")

    def _check_cold(self, using: list[Front]) -> None:
        """Each life of a front may have sent all of the largest part that it had within the window."""
        now = self.world.now
        for front in using:
            born = front.session.started_at
            if now >= born + RATE_WINDOW_S:  # a front that has just begun sends nothing to cold backends
                for backend, part in front.session.grant.cold_rates.items():
                    self.cold_uses.setdefault(backend, []).append(ColdUse(now, (front.ip, born), part))
        for backend, uses in list(self.cold_uses.items()):
            recent = [use for use in uses if use.at > now - COLD_WINDOW]
            most: dict[tuple[str, float], int] = {}
            for use in recent:
                most[use.life] = max(most.get(use.life, 0), use.part)
            if (whole := sum(most.values())) > COLD_MOST:
                raise self._broken(f"{whole} tries within a second at cold {backend}: {most}")
            if recent:
                self.cold_uses[backend] = recent
            else:
                del self.cold_uses[backend]

    def _check_allocators(self) -> None:
        world = self.world
        registries = [core.registry for core in world.cores.values() if core.up]
        leads = [registry for registry in registries if registry.allocation.may_grant(world.now)]
        terms = {registry.allocation.allocator.term[0] for registry in leads}
        knows = any(registry.cluster_state["term"] > registry.allocation.allocator.term[0] for registry in leads)
        self.overlap = self.overlap + STEP if len(terms) > 1 and not knows else 0.0
        if self.overlap > OVERLAP_MOST:
            raise self._broken(f"{[registry.node_ip for registry in leads]} allocate parts")

    def _check_voters(self) -> None:
        for core in self.world.cores.values():
            cell = core.disk.registers.get(writ.KEY) if core.disk is not None and core.disk.can_vote else None
            if (
                cell is not None
                and cell.value
                and any(d not in core.contents for d in referenced_digests(cell.value))
            ):
                raise self._broken(f"{core.ip} votes without the contents of its value")

    def _check_versions(self) -> None:
        world = self.world
        newest = max(world.acked, default=0)
        for front in world.fronts.values():
            late = front.version < newest and world.now - world.acked[newest] > world.bounds.max_staleness_s
            if late and world.allows(front):
                age = world.now - world.acked[newest]
                raise self._broken(f"{front.ip} goes by {front.version}, {age:.2f} s after {newest} was acked")
