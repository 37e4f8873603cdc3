"""What the allocation of parts goes by: figures of the newest configuration, and what cold backends bear."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fennelpoint.system.registry.backend_table import READY, Backend
from fennelpoint.system.settings import Bounds

COLD_PART = 0.9  # of what a cold backend bears, lent out
GOOD_PER_BACKEND = 0.0002  # s that what cold backends bear is good, for each backend: going through all costs time


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How a service's backends start."""

    seconds: float = 0.0
    tries_per_s: float = 0.0


@dataclass(slots=True)
class Figures:
    """Of one configuration."""

    digest: str = ""
    rates: dict[str, float] = field(default_factory=dict)  # units a second by tenant
    bursts: dict[str, float] = field(default_factory=dict)  # units by tenant
    cold_starts: dict[str, ColdStart] = field(default_factory=dict)  # by service

    @classmethod
    def read(cls, digest: str, configuration: Mapping) -> Figures:
        """From a whole configuration, as an operator sends it."""
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
    """What each cold backend bears in a second, and its region; gone through anew once that is a little old."""

    def __init__(self, bounds: Bounds, regions: Mapping[str, str]) -> None:
        self.bounds = bounds
        self.regions = regions
        self.restored: dict[str, float] = {}  # zones that were taken back, and when
        self._bears: dict[str, tuple[int, str]] = {}
        self._good_until = -1e9

    def bears(self, backends: Mapping[str, Backend], figures: Figures, now: float) -> dict[str, tuple[int, str]]:
        """Tries a second and region by id, of those that are cold and ready."""
        if now >= self._good_until:
            self._bears = dict(self._cold(backends.items(), figures, now))
            self._good_until = now + GOOD_PER_BACKEND * len(backends)
        return self._bears

    def _cold(
        self, backends: Iterable[tuple[str, Backend]], figures: Figures, now: float
    ) -> Iterable[tuple[str, tuple[int, str]]]:
        for backend_id, backend in backends:
            told = backend.report
            if told.state != READY:
                continue
            start = figures.cold_starts.get(told.service, ColdStart())
            if now < max(backend.cold_until, self.restored.get(told.zone, -1e9) + start.seconds):
                most = int((start.tries_per_s * self.bounds.cold_overshoot + self.bounds.cold_slack) * COLD_PART)
                yield backend_id, (max(1, most), self.regions.get(told.zone, ""))
