"""Events that the program tells the decider of a proxy beside those of the module, and the action that it adds.

Customers and plans are named by their numbers in the reader's table.  Times are seconds on the module's clock.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

from fennelpoint import interface as api


@dataclass(slots=True)
class Catalogue:
    """Classes and plans from now on; what was there keeps its number."""

    classes: list[api.RequestClass]
    plans: list[api.Plan]


@dataclass(slots=True)
class LeasedShares:
    """This proxy's share of each tenant's quota, by number; one that is not named has none."""

    shares: dict[int, float]
    slack: float            # retries that this proxy may send in a budget's window, beside those by its ratio
    pooled: bool = False    # a tenant that is not named draws from its pool


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
    soon: Set[int] = frozenset()    # customers of these that are short for a moment only


@dataclass(slots=True)
class BackendPlaces:
    """Of each backend: how far it is, in s and in parts of a usual latency; how many it works on at once; until when
    it is cold, and how many requests a second this proxy may send it then.  And how many proxies are likely to send
    to it, too."""

    far: dict[object, tuple[float, float]]
    slots: dict[object, int]
    cold: dict[object, tuple[float, int]]
    sharers: float = 1.0
