"""Parts of what is scarce, lent to fronts so that they add up to the whole at most.

What is lent is lent by numbered grants that live as long as a lease.  A grant counts until a later one is known to
have come, or its life is over by a clock that began later than the front's.  Whoever begins to reckon has forgotten
everything: each front that may hold parts counts as holding the rest until it has told, or what it held must have
ended.  Lost and late messages lose room, never the bound.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log

from fennelpoint.invariants import Invariant
from fennelpoint.system.actions import Violation
from fennelpoint.system.registry.grants import COLD_AFTER, GRANT_LIFE, WHOLE, Grant
from fennelpoint.system.registry.live_proxies import Census
from fennelpoint.system.registry.outstanding_grants import SLACK_THING, Lent, Thing, most_in_use

SLACK = 0.4         # s more that it counts here
HOLD = 1.0          # s since a read of its own term that a reckoner may lend: one before us may, so long after us
ALIVE = 1.8         # s without an ask after which a front gets no more of what is free
HALF = 6.0          # s in which what was asked counts half
GIVEN = 985         # of these at most lent at a time: rounding and clocks stay inside the whole
LEAST_MOVE = 15     # of these: a smaller change is not worth a message
THIN, THICK = 2.0, 3.0  # a second of a quota for each front: below, they draw from its pool; above, they hold parts
POOL_BURST = 0.5    # of the slack that the rules leave beside a burst, kept in the pool
POOL_START = 0.25   # of that slack, in a pool that begins: two changes of reckoner in a window keep to the bound
DEMAND, OVER = 4.0, 1.25    # s in which what was drawn for counts half; of a quota, asked for: it is over, not short
RULE_WINDOW = 1.0   # s in which the rules count what is sent to a cold backend
FORGET = 30.0       # s without an ask after which a front is taken out: what it was lent has ended long before
NOISE = 0.25        # of a part: asks of seconds say no more than this, and what is taken back is lost


@dataclass(slots=True)
class Front:
    """What is known of one front that may hold parts."""

    ip: str
    since: float = -1e9     # when it came into this table
    region: str = ""
    life: int = 0           # whose ask came last
    told: set[int] = field(default_factory=set)     # its lives that told this term what they hold
    heard: float = -1e9
    known: bool = False     # one of them did, or it held nothing before this term
    told_at: float = -1e9   # when one of them did first, if it may have held something before this term
    keeps: bool = False     # nobody before us can have lent what it told to another: it may keep that
    grants: list[Grant] = field(default_factory=list)   # that may be in use, the newest last
    asked: dict[str, float] = field(default_factory=dict)   # a second, fading, by tenant
    faded: float = 0.0

    def confirm(self, number: int, now: float) -> bool:
        """It goes by that grant or a later one: of those before only what was sent by their cold rates counts.

        Returns whether that changes what it may be using.
        """
        replaced = [g for g in self.grants if g.number < number and now < g.ends]
        for grant in replaced:
            grant.ends, grant.quotas, grant.slack = now, {}, 0
        return bool(replaced)

    def forget_ended(self, now: float) -> None:
        self.grants = [g for g in self.grants if now < g.ends + COLD_AFTER]


@dataclass(slots=True)
class Pool:
    """What is left of one tenant's quota beside parts that are held: a bucket, drawn from by the unit."""

    level: float
    filled: float
    asked: float = 0.0      # units, fading
    part: float = 0.0       # of the quota, when it was last drawn from


class Allocator:
    """The reckoner of one term."""

    def __init__(self, term: list, fronts: Iterable[str], now: float) -> None:
        self.term, self.since, self.number = term, now, 0
        self.fronts: dict[str, Front] = {ip: Front(ip, now) for ip in fronts}
        self.unknown = set(self.fronts)     # fronts of which we don't know yet what they hold
        self.known_at = now                 # when the last of these was known: what it holds, or that it is gone
        self.lent = Lent()
        self.census = Census([], {}, now)
        self.pools: dict[str, Pool] = {}    # by tenant, of those whose fronts draw
        self.opened: float | None = None    # when the pools did
        self.violations: list[Violation] = []   # of invariants, until whoever calls takes them

    def enrol(self, fronts: Iterable[str], now: float) -> None:
        """These may hold parts from now on: by a value that is agreed, so that whoever comes after knows."""
        for ip in fronts:
            if ip not in self.fronts:
                self.fronts[ip] = Front(ip, now, known=True)

    def dismiss(self, now: float) -> set[str]:
        """Takes out the fronts that have been silent for long, whose parts have ended; returns them."""
        gone = {f.ip for f in self.fronts.values()
                if now - max(f.heard, f.since) > FORGET and all(now >= g.ends for g in f.grants)}
        for ip in gone:
            del self.fronts[ip]
            self._know(ip, now)
            self.lent.forget(ip)
        return gone

    def _know(self, ip: str, now: float) -> None:
        if ip in self.unknown:
            self.unknown.discard(ip)
            self.known_at = now

    def over(self, now: float) -> bool:
        """Whether all that reckoners before us lent has ended."""
        return now - self.since > HOLD + GRANT_LIFE + SLACK

    def settled(self, now: float) -> bool:
        """Whether nothing is lent that we don't know of."""
        return self.over(now) or not self.unknown

    def settled_for(self, span: float, now: float) -> bool:
        """Whether nothing has been lent that we don't know of for so long, in s.

        Fronts tell what they hold at that moment: until then they may have used more, or what has just ended.
        """
        return self.over(now - span) or not self.unknown and now - self.known_at > span

    def want(self, ip: str, life: int, region: str, seen: list, asked: Mapping[str, float], holds: list | None,
             rates: Mapping[str, float], cold: Mapping[str, tuple[int, str]], now: float) -> Grant | None:
        """A front's ask: `seen` is the term and number it goes by, `holds` what that is, to which term it says so (no
        word of those before counts there any more), and for how many s it is good.

        `rates` are tenants' quotas a second, `cold` what each cold backend bears in a second, and its region.
        Returns what it may use from now on; None: it has to tell what it holds first, or may hold nothing yet.

        Each life tells for itself, and to this term: lives tell no order, so what is known of one that may be over
        stays until it ends, and a late word never speaks for the life that uses the parts.
        """
        if (front := self.fronts.get(ip)) is None:
            return None
        term, number = seen
        ours = tuple(term) == tuple(self.term)
        if life not in front.told:
            if not ours and (holds is None or tuple(holds[3]) != tuple(self.term)):
                return None
            if number and not ours:
                quotas, its_cold, slack, _, left = holds
                ends = now + min(left, GRANT_LIFE) + SLACK
                front.grants.append(Grant(0, dict(quotas), dict(its_cold), slack, ends))
                # It was told after we began, so what lasts so long outlives the last lending of those before us.
                front.keeps = left >= HOLD and not front.told
                self.lent.recount(front, now)
            front.told.add(life)
            if not front.known:
                front.known, front.told_at = True, now
            self._know(ip, now)
        elif number and ours and front.confirm(number, now):
            self.lent.recount(front, now)
        if life != front.life:
            front.life = life
            front.asked.clear()
        front.heard, front.region = now, region
        self._ask(front, asked, now)
        front.forget_ended(now)
        self.open(now)
        if not self.census.good(rates, now):
            self.census = Census([f for f in self.fronts.values() if now - f.heard < ALIVE], rates, now)
        self.census.join(front)
        return self._lend(front, rates, cold, now)

    def open(self, now: float) -> bool:
        """Whether nobody draws from the pool of a reckoner before us: its words count no more, or it has ended."""
        if self.opened is None and (now - self.since > HOLD or not self.unknown):
            self.opened = now
        return self.opened is not None

    def _thin(self, tenant: str, rate: float, alive: int, now: float) -> bool:
        """Whether its fronts draw; whoever begins to reckon has nothing in the pool."""
        drawn = tenant in self.pools
        draws = rate < (THICK if drawn else THIN) * alive
        if draws and not drawn:
            self.pools[tenant] = Pool(-1.0, now)
        elif drawn and not draws:
            del self.pools[tenant]
        return draws

    def draw(self, ip: str, needs: Mapping[str, float], rates: Mapping[str, float], bursts: Mapping[str, float],
             slack: float, now: float) -> tuple[dict, dict, list] | None:
        """Units of the pool for a front, what is not there, and tenants that are short for a moment only.

        None: not from here, or not now.  Bound: a unit is used within `DRAW_LIFE` of its ask, so a window's use is at
        most what is drawn in one that much longer: a burst with half of the slack, and the rate for a tenth of a
        window more; twice `POOL_START` where the reckoner moves.  The rules leave that."""
        if (front := self.fronts.get(ip)) is None or not front.known or not self.open(now):
            return None
        given, denied, soon = {}, {}, []
        for tenant, units in needs.items():
            if (rate := rates.get(tenant, 0.0)) <= 0.0 or (pool := self.pools.get(tenant)) is None:
                continue
            pool.part = max(0, WHOLE - self.lent.total(Thing("quotas", tenant), now)) / WHOLE
            most = (bursts.get(tenant, 0.0) + POOL_BURST * slack) * pool.part
            if pool.level < 0.0:    # its first draw: filled since nobody else drew from it
                pool.level, pool.filled = POOL_START * slack * pool.part, max(pool.filled, self.opened)
            pool.level = min(most, pool.level + rate * pool.part * (now - pool.filled))
            pool.asked = pool.asked * 0.5 ** ((now - pool.filled) / DEMAND) + units
            pool.filled = now
            got = min(int(pool.level), units)
            pool.level -= got
            if got:
                given[tenant] = got
            if got < units:
                denied[tenant] = units - got
                if pool.asked < OVER * rate * DEMAND / log(2.0):
                    soon.append(tenant)
        return given, denied, soon

    def told(self, now: float) -> dict:
        """For operators: the term, and of each front what it asked a second and what it may be using."""
        fronts = {}
        for f in self.fronts.values():
            parts: dict[str, dict[str, int]] = {"quotas": {}, "cold": {}, "slack": {}}
            for thing, part in sorted(most_in_use(f.grants, now).items()):
                parts[thing.kind][thing.key] = part
            fronts[f.ip] = {
                "heard": round(now - f.heard, 1) if f.heard > 0.0 else None, "known": f.known,
                "asked": {tenant: round(rate, 1) for tenant, rate in f.asked.items()},
                "slack": parts["slack"].get("", 0), "quotas": parts["quotas"], "cold": parts["cold"]}
        pools = {tenant: {"part": round(pool.part, 3), "units": round(max(0.0, pool.level), 1)}
                 for tenant, pool in self.pools.items()}
        return {"term": self.term[0], "settled": self.settled(now), "whole": WHOLE, "fronts": fronts, "pools": pools}

    def _ask(self, front: Front, asked: Mapping[str, float], now: float) -> None:
        span = max(0.05, now - front.faded) if front.faded else 0.5
        keep = 0.5 ** (span / HALF)
        front.faded = now
        for tenant in {*front.asked, *asked}:
            rate = front.asked.get(tenant, 0.0) * keep + asked.get(tenant, 0) / span * (1.0 - keep)
            front.asked[tenant] = rate
            if rate < 0.01:
                del front.asked[tenant]

    def _free(self, thing: Thing, whole: int, front: Front, now: float) -> int:
        """What may be lent to it of one thing; while something is unknown, no more than it keeps of what it held."""
        settled = self.settled_for(COLD_AFTER, now) if thing.kind == "cold" else self.settled(now)
        own = self.lent.of(front.ip, thing, now)
        if not settled:
            return own if front.keeps else 0
        return max(0, whole - (self.lent.total(thing, now) - own))

    def _thick(self, now: float) -> list[str]:
        """The tenants whose fronts hold parts; the others' draw from pools."""
        if self.census.thick is None:
            self.census.thick = [tenant for tenant, rate in self.census.rates.items()
                                 if not self._thin(tenant, rate, len(self.census), now)]
        return self.census.thick

    def _lend(self, front: Front, rates: Mapping[str, float], cold: Mapping[str, tuple[int, str]],
              now: float) -> Grant:
        quotas = {}
        for tenant in self._thick(now):
            want = self.census.share(front, tenant)
            part = min(int(GIVEN * want), self._free(Thing("quotas", tenant), GIVEN, front, now))
            if part > 0:
                quotas[tenant] = part
        bears = {}
        for backend, (most, region) in cold.items():
            near = self.census.ranks(region)
            if (rank := near.get(front.ip)) is None:
                continue
            part = most // len(near) + (rank < most % len(near))
            part = min(part, self._free(Thing("cold", backend), most, front, now))
            if part > 0:
                bears[backend] = part
        slack = min(GIVEN // len(self.census), self._free(SLACK_THING, GIVEN, front, now))
        last = front.grants[-1] if front.grants and now < front.grants[-1].ends else None
        if last is not None and last.number and self._alike(last, quotas, bears, slack):
            last.ends = now + GRANT_LIFE + SLACK
            return last
        self._check_cold(front, bears, now)
        self.number += 1
        made = Grant(self.number, quotas, bears, slack, now + GRANT_LIFE + SLACK)
        front.grants.append(made)
        self.lent.recount(front, now)
        return made

    def _check_cold(self, front: Front, bears: Mapping[str, int], now: float) -> None:
        """Raised cold rates, before what fronts sent by older ones than they told of is a second ago."""
        if self.over(now - RULE_WINDOW):
            return
        raised = [b for b, part in bears.items() if part > self.lent.of(front.ip, Thing("cold", b), now)]
        told = [f.ip for f in self.fronts.values() if now - f.told_at < RULE_WINDOW]
        if raised and told:
            detail = f"{len(raised)} rates raised at {front.ip}, {len(told)} fronts told within {RULE_WINDOW} s"
            self.violations.append(Violation(Invariant.COLD_RATES_REST, detail))

    @staticmethod
    def _alike(last: Grant, quotas: dict[str, int], cold: dict[str, int], slack: int) -> bool:
        if cold != last.cold or quotas.keys() != last.quotas.keys():
            return False
        if abs(slack - last.slack) > NOISE * max(slack, last.slack):    # many fronts have a few thousandths each
            return False
        return all(abs(part - old) <= max(LEAST_MOVE, NOISE * old)
                   for part, old in ((part, last.quotas[tenant]) for tenant, part in quotas.items()))
