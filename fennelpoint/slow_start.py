"""Slow start of cold backends; the controller and the xDS control service use the same formulas."""

from __future__ import annotations

from fennelpoint import interface as api

COLD_CAUTION, PROXY_CAUTION = 1.0, 1.5  # exponents of a cold share; proxies have no other limit


def capacity_share(entry: api.BackendEntry, settings: api.Settings, now: float) -> float:
    """Least part of its capacity that a backend has by now; 1 once it is warm."""
    span = max(settings.ramp_time, settings.tick)
    if entry.started_at <= 0.0 or now - entry.started_at >= span:   # fast path: runs for each candidate
        return 1.0
    return settings.cold_share + (1.0 - settings.cold_share) * max(0.0, now - entry.started_at) / span


def cold_pick_probability(share: float, caution: float = COLD_CAUTION) -> float:
    """Probability that a cold backend gets a request that its weight would give it."""
    return share ** caution
