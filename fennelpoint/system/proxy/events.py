"""Events that the program posts to a proxy's controller besides those of the decision module, and one more action.

Customers and plans are numbers in the reader's table.  Times are seconds on the controller's clock.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from math import inf

from fennelpoint import interface as api
from fennelpoint.system.proxy.session_actions import ProxyGrant
from fennelpoint.system.registry.grants import TOTAL_SHARES

RETRY_SLACK_FRACTION = 0.9  # of the retry rule's slack that is used: the rest covers rounding and network delays


@dataclass(slots=True)
class Catalogue:
    """The request classes and plans in force; earlier ones keep their numbers."""

    classes: list[api.RequestClass]
    plans: list[api.Plan]


@dataclass(slots=True)
class RetryRule:
    """The operators' bound on retries, besides its slack: a ratio of a service's requests in a window."""

    ratio: float
    window_s: float


@dataclass(slots=True)
class LeasedShares:
    """This proxy's share of each customer's quota; a customer that is missing has none."""

    shares: dict[int, float]
    slack: float  # retries that this proxy may send in a budget window, in addition to those by the ratio
    has_pools: bool = False  # customers without a share draw on their pools
    expires_at: float = inf  # of all shares, unless extended


@dataclass(slots=True)
class SharesExtended:
    """The present shares are valid for longer."""

    expires_at: float


@dataclass(slots=True)
class UnitsNeeded:
    """An action: a request of a customer without a share here waits for units of the pool."""

    customer: int
    units: float


@dataclass(slots=True)
class UnitsGranted:
    """Units of pools by customer, valid until `expires_at`, and requested units that are not available."""

    units: dict[int, float]
    denied: dict[int, float]
    expires_at: float
    briefly_short: Set[int] = frozenset()  # customers in `denied` whose pool refills within moments


@dataclass(slots=True)
class BackendPlacement:
    """What the choice of a backend needs, by backend.

    `distances` are network times, as seconds and as fractions of a typical latency; `slots` are concurrent requests;
    `cold_limits` are the end of the cold start and the requests per second that this proxy may send until then.
    `sharing_proxies` is how many proxies are likely to send to the same backend.
    """

    distances: dict[object, tuple[float, float]]
    slots: dict[object, int]
    cold_limits: dict[object, tuple[float, int]]
    sharing_proxies: float = 1.0


def leased_shares(grant: ProxyGrant, plans: dict[str, int], slack: float) -> LeasedShares:
    """The shares of a grant; `plans` maps tenants to their numbers, `slack` is the retry rule's, for all proxies."""
    shares = {plans[tenant]: share / TOTAL_SHARES for tenant, share in grant.quotas.items() if tenant in plans}
    expires_at = grant.expires_at if grant.number else inf  # without a grant nothing can expire
    return LeasedShares(
        shares, RETRY_SLACK_FRACTION * slack * grant.slack / TOTAL_SHARES, grant.number > 0, expires_at
    )
