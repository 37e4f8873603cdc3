"""Work that is asked for often and done now and then: the first time at once, then no sooner than a pause later."""

from __future__ import annotations


class Paced:
    """Keys that wait to be dealt with together."""

    def __init__(self, pause: float) -> None:
        self.pause = pause
        self._keys: dict[str, None] = {}
        self._done_at = -1e9

    def add(self, keys: list[str], now: float) -> list[str]:
        """Keys to deal with now; none where that is to wait for `due`."""
        self._keys |= dict.fromkeys(keys)
        return self.due(now)

    def due(self, now: float) -> list[str]:
        """All that have waited, once the pause is over."""
        if not self._keys or now - self._done_at < self.pause:
            return []
        return self.take(now)

    def take(self, now: float) -> list[str]:
        """All that have waited, pause or not."""
        keys, self._keys = list(self._keys), {}
        self._done_at = now
        return keys

    def wait(self, now: float) -> float:
        """Seconds until what waits is due."""
        return max(0.0, self._done_at + self.pause - now)
