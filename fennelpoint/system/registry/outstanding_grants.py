"""Sums of the shares that proxies may be using, kept so that a look-up costs the same for any number of proxies.

A proxy uses at most the largest share of a resource among its grants that still count.  Its contribution to the sums
is recomputed when its grants change and when one of them expires: a heap yields the proxy whose grant expires next.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple, Protocol

from fennelpoint.system.registry.grants import COLD_RATE_TAIL_S, Grant


class Resource(NamedTuple):
    """A limited resource that is granted in shares."""

    kind: str  # "quotas", "cold" or "slack"
    key: str = ""  # the tenant or the cold backend


SLACK_RESOURCE = Resource("slack")


class GrantHolder(Protocol):
    """A proxy and its grants that may be in use."""

    ip: str
    grants: list[Grant]


def max_shares_in_use(grants: Iterable[Grant], now: float) -> dict[Resource, int]:
    """Return the largest share of each resource among the grants that count at `now`."""
    largest: dict[Resource, int] = {}

    def include(resource: Resource, share: int) -> None:
        if share > largest.get(resource, 0):
            largest[resource] = share

    for grant in grants:
        if now < grant.expires_at:
            for tenant, share in grant.quotas.items():
                include(Resource("quotas", tenant), share)
            include(SLACK_RESOURCE, grant.slack)
        if now < grant.expires_at + COLD_RATE_TAIL_S:
            for backend, share in grant.cold_rates.items():
                include(Resource("cold", backend), share)
    return largest


class OutstandingShares:
    """Shares in use per proxy and in total.  The `now` of successive calls must never decrease."""

    def __init__(self) -> None:
        self._totals: dict[Resource, int] = {}
        self._by_proxy: dict[str, dict[Resource, int]] = {}
        self._proxies: dict[str, GrantHolder] = {}
        self._expiries: list[tuple[float, str]] = []  # heap of times at which a proxy's shares may shrink

    def recompute(self, proxy: GrantHolder, now: float) -> None:
        """Update the sums after the proxy's grants have changed or one of them has expired."""
        self._proxies[proxy.ip] = proxy
        self._replace(proxy.ip, max_shares_in_use(proxy.grants, now))
        expiries = (at for grant in proxy.grants for at in (grant.expires_at, grant.expires_at + COLD_RATE_TAIL_S))
        if (soonest := min((at for at in expiries if at > now), default=None)) is not None:
            heappush(self._expiries, (soonest, proxy.ip))

    def remove(self, ip: str) -> None:
        """Remove a proxy that is no longer tracked."""
        self._replace(ip, {})
        del self._by_proxy[ip]
        self._proxies.pop(ip, None)

    def held_by(self, ip: str, resource: Resource, now: float) -> int:
        """Return the largest share of a resource that one proxy may be using."""
        self._advance(now)
        return self._by_proxy.get(ip, {}).get(resource, 0)

    def total(self, resource: Resource, now: float) -> int:
        """Return the largest share of a resource that all proxies together may be using."""
        self._advance(now)
        return self._totals.get(resource, 0)

    def _advance(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, ip = heappop(self._expiries)
            if (proxy := self._proxies.get(ip)) is not None:
                self.recompute(proxy, now)

    def _replace(self, ip: str, shares: dict[Resource, int]) -> None:
        before = self._by_proxy.get(ip, {})
        self._by_proxy[ip] = shares
        for resource in before.keys() | shares.keys():
            total = self._totals.get(resource, 0) + shares.get(resource, 0) - before.get(resource, 0)
            if total:
                self._totals[resource] = total
            else:
                self._totals.pop(resource, None)
