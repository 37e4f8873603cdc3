"""Events that the program tells the decider of a proxy beside those of the module, and the action that it adds.

Customers and plans are named by their numbers in the reader's table.  Times are seconds on the module's clock.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from math import inf

from fennelpoint import interface as api
from fennelpoint.system.proxy.session_actions import Parts
from fennelpoint.system.registry.grants import TOTAL_SHARES

SLACK_PART = 0.9  # of the retry rule's slack, used: the rest pays for rounding, and for delays on the way


@dataclass(slots=True)
class Catalogue:
    """Classes and plans from now on; what was there keeps its number."""

    classes: list[api.RequestClass]
    plans: list[api.Plan]


@dataclass(slots=True)
class RetryRule:
    """The operators' bound of retries: of a service's requests in a window of so many s, beside its slack."""

    ratio: float
    window: float


@dataclass(slots=True)
class LeasedShares:
    """This proxy's share of each tenant's quota, by number; one that is not named has none."""

    shares: dict[int, float]
    slack: float  # retries that this proxy may send in a budget's window, beside those by its ratio
    pooled: bool = False  # a tenant that is not named draws from its pool
    until: float = inf  # when all of it ends, unless it is extended


@dataclass(slots=True)
class LeaseExtended:
    """The shares as they are, for longer."""

    until: float


@dataclass(slots=True)
class UnitsNeeded:
    """An action: a request of a customer without a share here waits for units of the pool."""

    customer: int
    units: float


@dataclass(slots=True)
class UnitsGranted:
    """Units of the pool by customer, to be used until then, and those that were asked for and are not there."""

    units: dict[int, float]
    denied: dict[int, float]
    until: float
    soon: Set[int] = frozenset()  # customers of these that are short for a moment only


@dataclass(slots=True)
class BackendPlaces:
    """Of each backend: how far it is, in s and in parts of a usual latency; how many it works on at once; until when
    it is cold, and how many requests a second this proxy may send it then.  And how many proxies are likely to send
    to it, too."""

    far: dict[object, tuple[float, float]]
    slots: dict[object, int]
    cold: dict[object, tuple[float, int]]
    sharers: float = 1.0


def leased_shares(parts: Parts, plans: dict[str, int], slack: float) -> LeasedShares:
    """What a proxy may use by the parts that it holds; `plans` are numbers by tenant, `slack` is the retry rule's."""
    shares = {plans[tenant]: part / TOTAL_SHARES for tenant, part in parts.quotas.items() if tenant in plans}
    until = parts.until if parts.number else inf  # without a grant there is nothing that could end
    return LeasedShares(shares, SLACK_PART * slack * parts.slack / TOTAL_SHARES, parts.number > 0, until)
