"""Throttling of frequently requested work: the first request runs at once, later ones together after an interval."""

from __future__ import annotations


class Throttle:
    """Collects keys whose work is done together, at most once in an interval."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self._keys: dict[str, None] = {}
        self._last_taken_at = -1e9

    def add(self, keys: list[str], now: float) -> list[str]:
        """Adds keys; returns those to process now, or none if they have to wait for `take_due`."""
        self._keys |= dict.fromkeys(keys)
        return self.take_due(now)

    def take_due(self, now: float) -> list[str]:
        """Removes and returns all keys if the interval is over, else none."""
        if not self._keys or now - self._last_taken_at < self.interval_s:
            return []
        return self.take_all(now)

    def take_all(self, now: float) -> list[str]:
        """Removes and returns all keys, even within the interval."""
        keys, self._keys = list(self._keys), {}
        self._last_taken_at = now
        return keys

    def delay(self, now: float) -> float:
        """Returns the seconds until waiting keys are due."""
        return max(0.0, self._last_taken_at + self.interval_s - now)
