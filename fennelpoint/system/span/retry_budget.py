"""The budget of retries of one service: a part of its first attempts, and of the slack that all proxies share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Budget:
    """Further tries of one service: a part of its first ones, and of the slack that all fronts share."""

    tokens: float = 0.0
    filled: float = 0.0
    first: deque = field(default_factory=deque)

    def fill(self, slack: float, window: float, now: float) -> None:
        if self.filled:
            self.tokens = min(max(slack, self.tokens), self.tokens + slack / window * (now - self.filled))
        self.filled = now
