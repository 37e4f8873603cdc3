"""Inputs of the allocation: limits of the newest configuration, and the rates that cold backends can bear."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fennelpoint.system.registry.backend_table import READY, Backend
from fennelpoint.system.settings import Bounds

GRANTABLE_COLD_PART = 0.9  # of the rate that a cold backend can bear
CACHE_TTL_S_PER_BACKEND = 0.0002  # lifetime of cached cold rates, for each backend: iterating over all takes time


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How backends of a service start: for how long they are cold, and how many attempts they bear meanwhile."""

    duration_s: float = 0.0
    attempts_per_s: float = 0.0


@dataclass(slots=True)
class AllocationParameters:
    """Limits of one configuration."""

    digest: str = ""
    rates: dict[str, float] = field(default_factory=dict)  # units per second by tenant
    bursts: dict[str, float] = field(default_factory=dict)  # units by tenant
    cold_starts: dict[str, ColdStart] = field(default_factory=dict)  # by service

    @classmethod
    def from_configuration(cls, digest: str, configuration: Mapping) -> AllocationParameters:
        """Read the limits from a complete configuration, in the form in which an operator sends it."""
        tenants, services = configuration.get("tenants", ()), configuration["clusters"]
        return cls(
            digest,
            {t["name"]: float(t["rate_per_s"]) for t in tenants if t.get("rate_per_s")},
            {t["name"]: float(t.get("burst_size") or 0.0) for t in tenants},
            {
                s["name"]: ColdStart(float(s.get("cold_start_s") or 0.0), float(s.get("cold_rate_s") or 0.0))
                for s in services
            },
        )


class ColdBackends:
    """The rate that each cold backend can bear, and its region; cached for a short time."""

    def __init__(self, bounds: Bounds, regions: Mapping[str, str]) -> None:
        self.bounds = bounds
        self.regions = regions
        self.restored_at: dict[str, float] = {}  # when zones were taken back into service, by zone
        self._rates: dict[str, tuple[int, str]] = {}
        self._valid_until = -1e9

    def rates(
        self, backends: Mapping[str, Backend], parameters: AllocationParameters, now: float
    ) -> dict[str, tuple[int, str]]:
        """Return attempts per second and region by id, for the backends that are cold and ready."""
        if now >= self._valid_until:
            self._rates = dict(self._compute_rates(backends.items(), parameters, now))
            self._valid_until = now + CACHE_TTL_S_PER_BACKEND * len(backends)
        return self._rates

    def _compute_rates(
        self, backends: Iterable[tuple[str, Backend]], parameters: AllocationParameters, now: float
    ) -> Iterable[tuple[str, tuple[int, str]]]:
        for backend_id, backend in backends:
            report = backend.report
            if report.state != READY:
                continue
            start = parameters.cold_starts.get(report.service, ColdStart())
            if now < max(backend.cold_until, self.restored_at.get(report.zone, -1e9) + start.duration_s):
                rate = int(
                    (start.attempts_per_s * self.bounds.cold_overshoot + self.bounds.cold_slack) * GRANTABLE_COLD_PART
                )
                yield backend_id, (max(1, rate), self.regions.get(report.zone, ""))
