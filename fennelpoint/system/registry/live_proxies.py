"""A snapshot of the live proxies and what is derived from all of them: even shares, ranks and demand by tenant.

Iterating over all proxies on each proxy's request would cost O(n²) time.  A snapshot is therefore reused for a time
that grows with the number of proxies, so that its cost per second does not grow with it.  A slightly stale snapshot
affects only how shares are divided and never how much is granted in all: that is bounded by the sums of outstanding
grants.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

SNAPSHOT_TTL_S_PER_PROXY, MAX_SNAPSHOT_TTL_S = 0.0005, 0.1
MIN_WEIGHT_SUM = 1e-9


class ProxyDemand(Protocol):
    """A proxy and the demand that its clients place on it."""

    ip: str
    region: str
    demand: dict[str, float]


@dataclass(frozen=True, slots=True)
class TenantDemand:
    """The demand of one tenant at all live proxies."""

    units_per_s: float
    unused_share: float  # the even share, for each proxy, of the quota that is not in demand
    weight_sum: float  # over all proxies; a weight is the larger of `unused_share` and the proxy's part of the demand


class LiveProxies:
    """The live proxies at one moment."""

    def __init__(self, alive: Iterable[ProxyDemand], rates: Mapping[str, float], now: float) -> None:
        self.alive = list(alive)
        self.rates = rates
        self.valid_until = now + min(MAX_SNAPSHOT_TTL_S, SNAPSHOT_TTL_S_PER_PROXY * len(self.alive))
        self.tenants_in_shares: list[str] | None = None  # tenants whose quota is divided, once computed
        self._regions = {proxy.ip: proxy.region for proxy in self.alive}
        self._ranks: dict[str, dict[str, int]] = {}  # by region
        self._empty: set[str] = set()  # regions without live proxies of their own
        self._demands: dict[str, TenantDemand] = {}

    def __len__(self) -> int:
        return len(self.alive)

    def is_valid(self, rates: Mapping[str, float], now: float) -> bool:
        """Return whether the snapshot may still be used, for these quotas."""
        return now < self.valid_until and rates is self.rates

    def add(self, proxy: ProxyDemand) -> None:
        """Add a proxy that has just sent a request; it ranks last in its region until the next snapshot."""
        if proxy.ip in self._regions:
            return
        self.alive.append(proxy)
        self._regions[proxy.ip] = proxy.region
        self._demands.clear()
        if proxy.region in self._empty:
            self._empty.discard(proxy.region)
            del self._ranks[proxy.region]
        for region, ranks in self._ranks.items():
            if region == proxy.region or region in self._empty:
                ranks[proxy.ip] = len(ranks)

    def ranks(self, region: str) -> dict[str, int]:
        """Return the ranks of the region's live proxies, or of all live proxies where the region has none."""
        if region not in self._ranks:
            near = sorted(ip for ip, proxy_region in self._regions.items() if proxy_region == region)
            if not near:
                self._empty.add(region)
                near = sorted(self._regions)
            self._ranks[region] = {ip: rank for rank, ip in enumerate(near)}
        return self._ranks[region]

    def share(self, proxy: ProxyDemand, tenant: str) -> float:
        """Return the fraction of the tenant's quota for a proxy, in proportion to its weight.

        The weight is the larger of the even share of the unused quota and of the proxy's part of the demand; the
        fractions of all live proxies add up to one.
        """
        if tenant not in self._demands:
            self._demands[tenant] = self._demand(tenant)
        demand = self._demands[tenant]
        return min(
            1.0,
            self._weight(proxy, tenant, demand.units_per_s, demand.unused_share)
            / max(MIN_WEIGHT_SUM, demand.weight_sum),
        )

    def _demand(self, tenant: str) -> TenantDemand:
        total = sum(proxy.demand.get(tenant, 0.0) for proxy in self.alive)
        rate = self.rates[tenant]
        unused = max(0.0, 1.0 - total / rate) / len(self) if rate else 1.0 / len(self)
        return TenantDemand(total, unused, sum(self._weight(proxy, tenant, total, unused) for proxy in self.alive))

    def _weight(self, proxy: ProxyDemand, tenant: str, total: float, unused: float) -> float:
        part = proxy.demand.get(tenant, 0.0) / total if total > 0.0 else 1.0 / len(self)
        return max(unused, part)
