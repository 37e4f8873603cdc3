"""Cold backends, by one arithmetic for the Controller and for the control service."""

from __future__ import annotations

from fennelpoint import interface as api

COLD_CAUTION, PROXY_CAUTION = 1.0, 1.5  # power of a cold share that wins a draw; where nothing holds back


def cold_share(entry: api.BackendEntry, settings: api.Settings, now: float) -> float:
    """The least part of its capacity that a backend can do by now; 1 when it is warm."""
    span = max(settings.ramp_time, settings.tick)
    if entry.started_at <= 0.0 or now - entry.started_at >= span:   # the usual one: asked for each candidate
        return 1.0
    return settings.cold_share + (1.0 - settings.cold_share) * max(0.0, now - entry.started_at) / span


def cold_odds(share: float, caution: float = COLD_CAUTION) -> float:
    """How often a backend of this share is sent work that is its by weight: as seldom as it is cold."""
    return share ** caution
