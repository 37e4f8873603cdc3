"""Grants: the shares of limited resources that one proxy may use for the duration of a lease."""

from __future__ import annotations

from dataclasses import dataclass, field

GRANT_TTL_S = 4.2  # lifetime of a grant at the proxy, from the sending of its request
POOL_UNIT_TTL_S = 0.5  # lifetime at the proxy of units from a shared pool, from the sending of its request
TOTAL_SHARES = 1000  # shares into which a quota, or the slack of the retry budget, is divided
COLD_RATE_TAIL_S = 1.2  # for which cold rates of an expired grant still count: attempts sent by them remain in the
# window of one second that the cold-start rules measure


@dataclass(slots=True)
class Grant:
    """What one proxy may use until `expires_at` (s on the allocator's clock).

    `quotas` holds shares (of `TOTAL_SHARES`) by tenant, `cold_rates` attempts per second by cold backend, and `slack`
    shares of the retry budget's slack.
    """

    number: int = 0
    quotas: dict[str, int] = field(default_factory=dict)
    cold_rates: dict[str, int] = field(default_factory=dict)
    slack: int = 0
    expires_at: float = 0.0

    def pack(self) -> list:
        """Return the fields that are sent to the proxy."""
        return [self.quotas, self.cold_rates, self.slack]
