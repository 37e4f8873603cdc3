"""Divides limited resources (quotas, cold-start rates, retry slack) among proxies so that the sum never exceeds them.

Shares are leased by numbered grants.  A grant counts until a later one is known to have arrived, or until it has
expired by a clock that started later than the proxy's.  A new allocator starts without state: each proxy that may
hold shares counts as holding the rest until it has reported, or until what it held must have expired.  Lost and late
messages reduce what can be granted and never break the bound.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log

from fennelpoint.invariants import Invariant
from fennelpoint.system.actions import Violation
from fennelpoint.system.registry.grants import COLD_RATE_TAIL_S, GRANT_TTL_S, TOTAL_SHARES, Grant
from fennelpoint.system.registry.live_proxies import LiveProxies
from fennelpoint.system.registry.outstanding_grants import (
    SLACK_RESOURCE,
    OutstandingShares,
    Resource,
    max_shares_in_use,
)

EXPIRY_MARGIN_S = 0.4   # for which a grant counts here longer than at the proxy
# After a read of its own term, an allocator may grant for this long, also when a later term has begun meanwhile.
READ_VALIDITY_S = 1.0
PROXY_ALIVE_S = 1.8     # without a request, after which a proxy gets no more of what is free
DEMAND_HALF_LIFE_S = 6.0
GRANTABLE_SHARES = 985  # of `TOTAL_SHARES`, granted at a time: the rest covers rounding and clock error
MIN_SHARE_CHANGE = 15   # in shares: a smaller change is not worth a message
# Units per second of a quota for each proxy: below the first, proxies take units from its pool; above the second,
# they hold shares.
POOL_BELOW_RATE, SHARES_ABOVE_RATE = 2.0, 3.0
POOL_BURST_PART = 0.5   # of the slack that the rules allow beside a burst, kept in the pool
POOL_INITIAL_PART = 0.25    # of that slack, in a new pool: two changes of allocator in a window keep to the bound
# The second is demand to quota: above it, a tenant is over its quota and not short for a moment only.
POOL_DEMAND_HALF_LIFE_S, OVERLOAD_RATIO = 4.0, 1.25
COLD_RATE_WINDOW_S = 1.0    # in which the rules count what is sent to a cold backend
FORGET_PROXY_S = 30.0   # without a request, after which a proxy is removed: its grants have expired long before
DEMAND_NOISE = 0.25     # of a share: demand over seconds is no more precise than this, and revoked shares are lost


@dataclass(slots=True)
class ProxyState:
    """What the allocator knows of one proxy that may hold shares."""

    ip: str
    added_at: float = -1e9
    region: str = ""
    incarnation: int = 0    # that sent the last request
    reported_incarnations: set[int] = field(default_factory=set)    # that reported to this term what they hold
    last_request_at: float = -1e9
    is_known: bool = False  # an incarnation has reported, or the proxy held nothing before this term
    reported_at: float = -1e9   # first report, if the proxy may have held shares before this term
    keeps_shares: bool = False  # no earlier allocator can have granted the reported shares to another
    grants: list[Grant] = field(default_factory=list)   # that may be in use, the newest last
    demand: dict[str, float] = field(default_factory=dict)  # units per second by tenant, decaying
    demand_updated_at: float = 0.0

    def confirm(self, number: int, now: float) -> bool:
        """Record that the proxy uses grant `number` or a later one.

        Earlier grants count only for what was sent by their cold rates.  Returns whether this changes what the proxy
        may be using.
        """
        superseded = [g for g in self.grants if g.number < number and now < g.expires_at]
        for grant in superseded:
            grant.expires_at, grant.quotas, grant.slack = now, {}, 0
        return bool(superseded)

    def drop_expired(self, now: float) -> None:
        """Remove the grants that no longer count."""
        self.grants = [g for g in self.grants if now < g.expires_at + COLD_RATE_TAIL_S]


@dataclass(slots=True)
class Pool:
    """A token bucket of what is left of one tenant's quota beside the shares that proxies hold."""

    level: float            # in units
    refilled_at: float
    demand: float = 0.0     # in units, decaying
    quota_part: float = 0.0     # of the quota, when units were last taken


class Allocator:
    """Grants shares to proxies during one term.

    `term` is the term's number and its leader's IP address; `proxies` are those that may hold shares at its start.
    All times are in s on this machine's steady clock.
    """

    def __init__(self, term: list, proxies: Iterable[str], now: float) -> None:
        self.term, self.started_at, self.last_grant_number = term, now, 0
        self.proxies: dict[str, ProxyState] = {ip: ProxyState(ip, now) for ip in proxies}
        self.unknown = set(self.proxies)    # proxies that have not yet reported what they hold
        self.last_known_at = now            # when the last of these reported or was removed
        self.outstanding = OutstandingShares()
        self.live_proxies = LiveProxies([], {}, now)
        self.pools: dict[str, Pool] = {}    # by tenant, of those whose proxies take units from a pool
        self.pools_opened_at: float | None = None
        self.violations: list[Violation] = []   # of invariants, until the caller takes them

    def enrol(self, proxies: Iterable[str], now: float) -> None:
        """Add proxies that may hold shares from now on.

        The caller has agreed on them by consensus, so that the next allocator knows of them.
        """
        for ip in proxies:
            if ip not in self.proxies:
                self.proxies[ip] = ProxyState(ip, now, is_known=True)

    def remove_silent(self, now: float) -> set[str]:
        """Remove the proxies that have long been silent and whose grants have expired; return their addresses."""
        removed = {p.ip for p in self.proxies.values()
                   if now - max(p.last_request_at, p.added_at) > FORGET_PROXY_S
                   and all(now >= g.expires_at for g in p.grants)}
        for ip in removed:
            del self.proxies[ip]
            self._mark_known(ip, now)
            self.outstanding.remove(ip)
        return removed

    def _mark_known(self, ip: str, now: float) -> None:
        if ip in self.unknown:
            self.unknown.discard(ip)
            self.last_known_at = now

    def earlier_grants_expired(self, now: float) -> bool:
        """Return whether all grants of earlier allocators have expired."""
        return now - self.started_at > READ_VALIDITY_S + GRANT_TTL_S + EXPIRY_MARGIN_S

    def all_grants_known(self, now: float) -> bool:
        """Return whether all outstanding grants are known here."""
        return self.earlier_grants_expired(now) or not self.unknown

    def all_grants_known_for(self, duration_s: float, now: float) -> bool:
        """Return whether all outstanding grants have been known here for `duration_s`.

        Proxies report what they hold at that moment: before it they may have used more, or what has just expired.
        """
        return self.earlier_grants_expired(now - duration_s) or not self.unknown and (
            now - self.last_known_at > duration_s)

    def request_grant(self, ip: str, incarnation: int, region: str, in_use: list, demand: Mapping[str, float],
                      holds: list | None, rates: Mapping[str, float], cold: Mapping[str, tuple[int, str]],
                      now: float) -> Grant | None:
        """Handle a proxy's request for shares and return what it may use from now on.

        `in_use` is the term and number of the grant that the proxy uses.  `holds` is the content of that grant, the
        term to which the proxy reports it (messages of earlier terms no longer count there), and its remaining
        lifetime in s.  `demand` counts units by tenant since the last request, `rates` are tenants' quotas per
        second, and `cold` is the rate per second and the region of each cold backend.
        Returns None if the proxy must first report what it holds, or is not enrolled.

        Each incarnation reports for itself, and to this term.  Incarnations have no order, so what is known of one
        that may have ended stays until it expires, and a late message never speaks for the incarnation that uses the
        shares.
        """
        if (proxy := self.proxies.get(ip)) is None:
            return None
        term, number = in_use
        is_own_term = tuple(term) == tuple(self.term)
        if incarnation not in proxy.reported_incarnations:
            if not is_own_term and (holds is None or tuple(holds[3]) != tuple(self.term)):
                return None
            if number and not is_own_term:
                quotas, cold_rates, slack, _, remaining_s = holds
                expires_at = now + min(remaining_s, GRANT_TTL_S) + EXPIRY_MARGIN_S
                proxy.grants.append(Grant(0, dict(quotas), dict(cold_rates), slack, expires_at))
                # The report was made after this term began, so a grant with that much time left outlives the last
                # grants of earlier allocators.
                proxy.keeps_shares = remaining_s >= READ_VALIDITY_S and not proxy.reported_incarnations
                self.outstanding.recompute(proxy, now)
            proxy.reported_incarnations.add(incarnation)
            if not proxy.is_known:
                proxy.is_known, proxy.reported_at = True, now
            self._mark_known(ip, now)
        elif number and is_own_term and proxy.confirm(number, now):
            self.outstanding.recompute(proxy, now)
        if incarnation != proxy.incarnation:
            proxy.incarnation = incarnation
            proxy.demand.clear()
        proxy.last_request_at, proxy.region = now, region
        self._update_demand(proxy, demand, now)
        proxy.drop_expired(now)
        self.open_pools(now)
        if not self.live_proxies.is_valid(rates, now):
            self.live_proxies = LiveProxies(
                [p for p in self.proxies.values() if now - p.last_request_at < PROXY_ALIVE_S], rates, now)
        self.live_proxies.add(proxy)
        return self._issue_grant(proxy, rates, cold, now)

    def open_pools(self, now: float) -> bool:
        """Return whether no proxy takes units from an earlier allocator's pools.

        That holds once the earlier allocator's messages no longer count at any proxy, or its validity has ended.
        """
        if self.pools_opened_at is None and (now - self.started_at > READ_VALIDITY_S or not self.unknown):
            self.pools_opened_at = now
        return self.pools_opened_at is not None

    def _uses_pool(self, tenant: str, rate: float, alive: int, now: float) -> bool:
        """Return whether proxies take the tenant's units from a pool; a new allocator's pool starts empty."""
        has_pool = tenant in self.pools
        uses_pool = rate < (SHARES_ABOVE_RATE if has_pool else POOL_BELOW_RATE) * alive
        if uses_pool and not has_pool:
            self.pools[tenant] = Pool(-1.0, now)
        elif has_pool and not uses_pool:
            del self.pools[tenant]
        return uses_pool

    def take_from_pools(self, ip: str, needs: Mapping[str, float], rates: Mapping[str, float],
                        bursts: Mapping[str, float], slack: float, now: float) -> tuple[dict, dict, list] | None:
        """Take units for a proxy from the pools of the tenants in `needs`.

        Returns the units granted and those denied, by tenant, and the tenants that are short for a moment only; None
        if this allocator can't serve the proxy, or can't yet.

        Bound: a unit is used within `POOL_UNIT_TTL_S` of its request, so the use in a window is at most what is taken
        in a window that much longer: a burst with half of the slack, and the rate for a tenth of a window more; and
        twice `POOL_INITIAL_PART` where the allocator changes.  The rules allow that.
        """
        if (proxy := self.proxies.get(ip)) is None or not proxy.is_known or not self.open_pools(now):
            return None
        granted, denied, short = {}, {}, []
        for tenant, units in needs.items():
            if (rate := rates.get(tenant, 0.0)) <= 0.0 or (pool := self.pools.get(tenant)) is None:
                continue
            pool.quota_part = max(
                0, TOTAL_SHARES - self.outstanding.total(Resource("quotas", tenant), now)) / TOTAL_SHARES
            capacity = (bursts.get(tenant, 0.0) + POOL_BURST_PART * slack) * pool.quota_part
            if pool.level < 0.0:    # its first use: it fills from the time since which no earlier pool is used
                pool.level, pool.refilled_at = (
                    POOL_INITIAL_PART * slack * pool.quota_part, max(pool.refilled_at, self.pools_opened_at))
            pool.level = min(capacity, pool.level + rate * pool.quota_part * (now - pool.refilled_at))
            pool.demand = pool.demand * 0.5 ** ((now - pool.refilled_at) / POOL_DEMAND_HALF_LIFE_S) + units
            pool.refilled_at = now
            taken = min(int(pool.level), units)
            pool.level -= taken
            if taken:
                granted[tenant] = taken
            if taken < units:
                denied[tenant] = units - taken
                if pool.demand < OVERLOAD_RATIO * rate * POOL_DEMAND_HALF_LIFE_S / log(2.0):
                    short.append(tenant)
        return granted, denied, short

    def status(self, now: float) -> dict:
        """Return, for operators, the term, each proxy's demand per second and what it may be using, and the pools."""
        proxies = {}
        for p in self.proxies.values():
            shares: dict[str, dict[str, int]] = {"quotas": {}, "cold": {}, "slack": {}}
            for resource, share in sorted(max_shares_in_use(p.grants, now).items()):
                shares[resource.kind][resource.key] = share
            proxies[p.ip] = {
                "heard": round(now - p.last_request_at, 1) if p.last_request_at > 0.0 else None, "known": p.is_known,
                "asked": {tenant: round(rate, 1) for tenant, rate in p.demand.items()},
                "slack": shares["slack"].get("", 0), "quotas": shares["quotas"], "cold": shares["cold"]}
        pools = {tenant: {"part": round(pool.quota_part, 3), "units": round(max(0.0, pool.level), 1)}
                 for tenant, pool in self.pools.items()}
        return {"term": self.term[0], "settled": self.all_grants_known(now), "whole": TOTAL_SHARES, "fronts": proxies,
                "pools": pools}

    def _update_demand(self, proxy: ProxyState, units: Mapping[str, float], now: float) -> None:
        elapsed_s = max(0.05, now - proxy.demand_updated_at) if proxy.demand_updated_at else 0.5
        decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        proxy.demand_updated_at = now
        for tenant in {*proxy.demand, *units}:
            rate = proxy.demand.get(tenant, 0.0) * decay + units.get(tenant, 0) / elapsed_s * (1.0 - decay)
            proxy.demand[tenant] = rate
            if rate < 0.01:
                del proxy.demand[tenant]

    def _available(self, resource: Resource, capacity: int, proxy: ProxyState, now: float) -> int:
        """Return how much of a resource may be granted to a proxy.

        While outstanding grants are unknown, that is no more than the proxy may keep of what it held.
        """
        is_known = (self.all_grants_known_for(COLD_RATE_TAIL_S, now) if resource.kind == "cold"
                    else self.all_grants_known(now))
        held = self.outstanding.held_by(proxy.ip, resource, now)
        if not is_known:
            return held if proxy.keeps_shares else 0
        return max(0, capacity - (self.outstanding.total(resource, now) - held))

    def _tenants_in_shares(self, now: float) -> list[str]:
        """Return the tenants whose quota proxies hold in shares; units of the others come from pools."""
        if self.live_proxies.tenants_in_shares is None:
            self.live_proxies.tenants_in_shares = [
                tenant for tenant, rate in self.live_proxies.rates.items()
                if not self._uses_pool(tenant, rate, len(self.live_proxies), now)]
        return self.live_proxies.tenants_in_shares

    def _issue_grant(self, proxy: ProxyState, rates: Mapping[str, float], cold: Mapping[str, tuple[int, str]],
                     now: float) -> Grant:
        quotas = {}
        for tenant in self._tenants_in_shares(now):
            target = self.live_proxies.share(proxy, tenant)
            share = min(int(GRANTABLE_SHARES * target),
                        self._available(Resource("quotas", tenant), GRANTABLE_SHARES, proxy, now))
            if share > 0:
                quotas[tenant] = share
        cold_rates = {}
        for backend, (max_rate, region) in cold.items():
            near = self.live_proxies.ranks(region)
            if (rank := near.get(proxy.ip)) is None:
                continue
            share = max_rate // len(near) + (rank < max_rate % len(near))
            share = min(share, self._available(Resource("cold", backend), max_rate, proxy, now))
            if share > 0:
                cold_rates[backend] = share
        slack = min(GRANTABLE_SHARES // len(self.live_proxies),
                    self._available(SLACK_RESOURCE, GRANTABLE_SHARES, proxy, now))
        last = proxy.grants[-1] if proxy.grants and now < proxy.grants[-1].expires_at else None
        if last is not None and last.number and self._nearly_equal(last, quotas, cold_rates, slack):
            last.expires_at = now + GRANT_TTL_S + EXPIRY_MARGIN_S
            return last
        self._check_cold_rates(proxy, cold_rates, now)
        self.last_grant_number += 1
        grant = Grant(self.last_grant_number, quotas, cold_rates, slack, now + GRANT_TTL_S + EXPIRY_MARGIN_S)
        proxy.grants.append(grant)
        self.outstanding.recompute(proxy, now)
        return grant

    def _check_cold_rates(self, proxy: ProxyState, cold_rates: Mapping[str, int], now: float) -> None:
        """Check that no cold rate rises within the rules' window after a proxy's report.

        Before its report, a proxy may have sent by older and higher rates than those that it reported.
        """
        if self.earlier_grants_expired(now - COLD_RATE_WINDOW_S):
            return
        raised = [b for b, rate in cold_rates.items()
                  if rate > self.outstanding.held_by(proxy.ip, Resource("cold", b), now)]
        reported = [p.ip for p in self.proxies.values() if now - p.reported_at < COLD_RATE_WINDOW_S]
        if raised and reported:
            detail = (f"{len(raised)} cold rates raised at {proxy.ip}, {len(reported)} proxies reported within"
                      f" {COLD_RATE_WINDOW_S} s")
            self.violations.append(Violation(Invariant.COLD_RATES_REST, detail))

    @staticmethod
    def _nearly_equal(last: Grant, quotas: dict[str, int], cold_rates: dict[str, int], slack: int) -> bool:
        if cold_rates != last.cold_rates or quotas.keys() != last.quotas.keys():
            return False
        # Relative only: with many proxies, each has a few thousandths.
        if abs(slack - last.slack) > DEMAND_NOISE * max(slack, last.slack):
            return False
        return all(abs(share - old) <= max(MIN_SHARE_CHANGE, DEMAND_NOISE * old)
                   for share, old in ((share, last.quotas[tenant]) for tenant, share in quotas.items()))
