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

LIFE = 4.2          # s of a lease and of a grant at the front, from the sending of its ask
SLACK = 0.4         # s more that it counts here
COLD_AFTER = 1.2    # s more that rates of cold backends count once they are gone: what was sent by them is in the
                    # window of a second that the rules count
HOLD = 1.0          # s since a read of its own term that a reckoner may lend: one before us may, so long after us
ALIVE = 1.8         # s without an ask after which a front gets no more of what is free
HALF = 6.0          # s in which what was asked counts half
WHOLE = 1000        # parts of a quota or of the budget's slack
GIVEN = 985         # of these at most lent at a time: rounding and clocks stay inside the whole
LEAST_MOVE = 15     # of these: a smaller change is not worth a message
DRAW_LIFE = 0.5     # s that units of the pool are good at the front, from the sending of its ask
THIN, THICK = 2.0, 3.0  # a second of a quota for each front: below, they draw from its pool; above, they hold parts
POOL_BURST = 0.5    # of the slack that the rules leave beside a burst, kept in the pool
POOL_START = 0.25   # of that slack, in a pool that begins: two changes of reckoner in a window keep to the bound
DEMAND, OVER = 4.0, 1.25    # s in which what was drawn for counts half; of a quota, asked for: it is over, not short
FORGET = 30.0       # s without an ask after which a front is taken out: what it was lent has ended long before
NOISE = 0.25        # of a part: asks of seconds say no more than this, and what is taken back is lost


@dataclass(slots=True)
class Grant:
    """What one front may use: thousandths of quotas by tenant, tries a second by cold backend, of the slack."""

    number: int = 0
    quotas: dict[str, int] = field(default_factory=dict)
    cold: dict[str, int] = field(default_factory=dict)
    slack: int = 0
    ends: float = 0.0

    def pack(self) -> list:
        return [self.quotas, self.cold, self.slack]


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
    keeps: bool = False     # nobody before us can have lent what it told to another: it may keep that
    grants: list[Grant] = field(default_factory=list)   # that may be in use, the newest last
    asked: dict[str, float] = field(default_factory=dict)   # a second, fading, by tenant
    faded: float = 0.0

    def out(self, kind: str, key: str, now: float) -> int:
        """The most of a thing that it may be using."""
        most, after = 0, COLD_AFTER if kind == "cold" else 0.0
        for g in self.grants:
            if now < g.ends + after:
                most = max(most, g.slack if kind == "slack" else getattr(g, kind).get(key, 0))
        return most

    def confirm(self, number: int, now: float) -> None:
        """It goes by that grant or a later one: of those before only what was sent by their cold rates counts."""
        for g in self.grants:
            if g.number < number and now < g.ends:
                g.ends, g.quotas, g.slack = now, {}, 0

    def forget_ended(self, now: float) -> None:
        self.grants = [g for g in self.grants if now < g.ends + COLD_AFTER]


@dataclass(slots=True)
class Pool:
    """What is left of one tenant's quota beside parts that are held: a bucket, drawn from by the unit."""

    level: float
    filled: float
    asked: float = 0.0      # units, fading
    part: float = 0.0       # of the quota
    part_at: float = -1e9   # when that was last reckoned


class Allocator:
    """The reckoner of one term."""

    def __init__(self, term: list, fronts: Iterable[str], now: float) -> None:
        self.term, self.since, self.number = term, now, 0
        self.fronts: dict[str, Front] = {ip: Front(ip, now) for ip in fronts}
        self.pools: dict[str, Pool] = {}    # by tenant, of those whose fronts draw
        self.opened: float | None = None    # when the pools did

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
        return gone

    def over(self, now: float) -> bool:
        """Whether all that reckoners before us lent has ended."""
        return now - self.since > HOLD + LIFE + SLACK

    def settled(self, now: float) -> bool:
        """Whether nothing is lent that we don't know of."""
        return self.over(now) or all(f.known for f in self.fronts.values())

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
                ends = now + min(left, LIFE) + SLACK
                front.grants.append(Grant(0, dict(quotas), dict(its_cold), slack, ends))
                # It was told after we began, so what lasts so long outlives the last lending of those before us.
                front.keeps = left >= HOLD and not front.told
            front.told.add(life)
            front.known = True
        elif number and ours:
            front.confirm(number, now)
        if life != front.life:
            front.life = life
            front.asked.clear()
        front.heard, front.region = now, region
        self._ask(front, asked, now)
        front.forget_ended(now)
        self.open(now)
        return self._lend(front, rates, cold, now)

    def open(self, now: float) -> bool:
        """Whether nobody draws from the pool of a reckoner before us: its words count no more, or it has ended."""
        if self.opened is None and (now - self.since > HOLD or all(f.known for f in self.fronts.values())):
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
            if now - pool.part_at > 0.1:
                lent = sum(f.out("quotas", tenant, now) for f in self.fronts.values())
                pool.part, pool.part_at = max(0, WHOLE - lent) / WHOLE, now
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
            grants = [g for g in f.grants if now < g.ends]
            kinds = {kind: sorted({key for g in grants for key in getattr(g, kind)}) for kind in ("quotas", "cold")}
            fronts[f.ip] = {
                "heard": round(now - f.heard, 1) if f.heard > 0.0 else None, "known": f.known,
                "asked": {tenant: round(rate, 1) for tenant, rate in f.asked.items()},
                "slack": f.out("slack", "", now),
                **{kind: {key: f.out(kind, key, now) for key in keys} for kind, keys in kinds.items()}}
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

    def _free(self, kind: str, key: str, whole: int, front: Front, now: float) -> int:
        """What may be lent to it of one thing; while something is unknown, no more than it keeps of what it held."""
        settled = self.settled(now)
        if kind == "cold":  # what fronts sent just before this term may have been by larger rates than they tell
            settled = now - self.since > COLD_AFTER and self.settled(now - COLD_AFTER)
        if not settled:
            return front.out(kind, key, now) if front.keeps else 0
        return max(0, whole - sum(f.out(kind, key, now) for f in self.fronts.values() if f is not front))

    def _lend(self, front: Front, rates: Mapping[str, float], cold: Mapping[str, tuple[int, str]],
              now: float) -> Grant:
        alive = [f for f in self.fronts.values() if now - f.heard < ALIVE]
        quotas = {}
        for tenant, rate in rates.items():
            if self._thin(tenant, rate, len(alive), now):
                continue
            want = self._share(front, alive, tenant, rate)
            part = min(int(GIVEN * want), self._free("quotas", tenant, GIVEN, front, now))
            if part > 0:
                quotas[tenant] = part
        bears = {}
        for id, (most, region) in cold.items():
            near = sorted(f.ip for f in alive if f.region == region) or sorted(f.ip for f in alive)
            part = most // len(near) + (near.index(front.ip) < most % len(near)) if front.ip in near else 0
            part = min(part, self._free("cold", id, most, front, now))
            if part > 0:
                bears[id] = part
        slack = min(GIVEN // len(alive), self._free("slack", "", GIVEN, front, now))
        last = front.grants[-1] if front.grants and now < front.grants[-1].ends else None
        if last is not None and last.number and self._alike(last, quotas, bears, slack):
            last.ends = now + LIFE + SLACK
            return last
        self.number += 1
        made = Grant(self.number, quotas, bears, slack, now + LIFE + SLACK)
        front.grants.append(made)
        return made

    @staticmethod
    def _alike(last: Grant, quotas: dict[str, int], cold: dict[str, int], slack: int) -> bool:
        if cold != last.cold or quotas.keys() != last.quotas.keys():
            return False
        if abs(slack - last.slack) > NOISE * max(slack, last.slack):    # many fronts have a few thousandths each
            return False
        return all(abs(part - old) <= max(LEAST_MOVE, NOISE * old)
                   for part, old in ((part, last.quotas[tenant]) for tenant, part in quotas.items()))

    @staticmethod
    def _share(front: Front, alive: list[Front], tenant: str, rate: float) -> float:
        """The larger of the even share of what is unused, and of its asked over all asked; they add up to one."""
        alls = sum(f.asked.get(tenant, 0.0) for f in alive)
        unused = max(0.0, 1.0 - alls / rate) / len(alive) if rate else 1.0 / len(alive)

        def own(f: Front) -> float:
            return max(unused, f.asked.get(tenant, 0.0) / alls if alls > 0.0 else 1.0 / len(alive))

        return own(front) / max(1e-9, sum(own(f) for f in alive))
