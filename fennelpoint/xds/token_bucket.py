"""How many requests a peer's stream may send: so many a second, and some saved up."""

from __future__ import annotations

import time
from collections.abc import Callable

from fennelpoint.xds.streams import Misuse

RATE, BURST = 200.0, 2000.0     # requests a second of one stream, and saved up


class Budget:
    """One stream's; `clock` tells seconds that only go forward."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, rate: float = RATE,
                 burst: float = BURST) -> None:
        self.clock, self.rate, self.burst = clock, rate, burst
        self.left, self.filled = burst, clock()

    def spend(self) -> None:
        """One request; raises Misuse where there are too many."""
        now = self.clock()
        self.left, self.filled = min(self.burst, self.left + (now - self.filled) * self.rate) - 1.0, now
        if self.left < 0.0:
            raise Misuse("too many requests")
