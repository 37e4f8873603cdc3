"""Processor time of the reckoner's answers by the number of fronts: an ask for parts, and a draw from a pool.

    python benchmarks/allocation.py [--fronts 18,185,600] [--tenants 140] [--cold 290] [--seconds 4]

Every front asks twice a second in simulated time and draws for a few tenants; backends are cold throughout.  Prints
microseconds for each ask and draw, and the cores that all of them take in a second of simulated time.
"""

from __future__ import annotations

import argparse
import time
from random import Random

from fennelpoint.system.registry.allocator import Allocator

REGIONS = ("ra", "rb", "rc")
TERM = [1, "a"]
ASKS_PER_SECOND = 2
DRAWS_PER_SECOND = 6  # of one front
RATE_MEAN = 12.5  # units a second of an ordinary tenant
RATE_LARGE = 1500.0  # of the largest two, whose fronts hold parts
BORN = 20.0  # s at which the load begins: nothing lent before counts any more


def one_size(fronts: int, tenants: int, cold: int, seconds: float) -> dict[str, float]:
    """Microseconds for an ask and a draw, and cores taken by all."""
    random = Random(1)
    allocator = Allocator(TERM, [], 0.0)
    names = [f"10.0.{i // 250}.{i % 250}" for i in range(fronts)]
    allocator.enrol(names, 0.0)
    rates = {f"t{i}": RATE_LARGE if i < 2 else random.uniform(0.5, 1.5) * RATE_MEAN for i in range(tenants)}
    bursts = dict.fromkeys(rates, 20.0)
    bears = {f"s{i}": (11, REGIONS[i % len(REGIONS)]) for i in range(cold)}
    seen = dict.fromkeys(names, 0)
    spent, counts = {"ask": 0.0, "draw": 0.0}, {"ask": 0, "draw": 0}
    now, step = BORN, 1.0 / (ASKS_PER_SECOND * fronts)
    while now < BORN + seconds:
        name = names[counts["ask"] % fronts]
        asked = {f"t{random.randrange(tenants)}": random.randint(1, 5) for _ in range(6)} | {"t0": 3, "t1": 2}
        begun = time.thread_time()
        region = REGIONS[counts["ask"] % len(REGIONS)]
        grant = allocator.request_grant(name, 1, region, [TERM, seen[name]], asked, None, rates, bears, now)
        spent["ask"] += time.thread_time() - begun
        counts["ask"] += 1
        seen[name] = grant.number
        for _ in range(DRAWS_PER_SECOND // ASKS_PER_SECOND):
            needs = {f"t{random.randrange(tenants)}": 1}
            begun = time.thread_time()
            allocator.take_from_pools(name, needs, rates, bursts, 20.0, now)
            spent["draw"] += time.thread_time() - begun
            counts["draw"] += 1
        now += step
    return {
        "ask_us": 1e6 * spent["ask"] / counts["ask"],
        "draw_us": 1e6 * spent["draw"] / counts["draw"],
        "cores": sum(spent.values()) / seconds,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fronts", default="18,185,600")
    parser.add_argument("--tenants", type=int, default=140)
    parser.add_argument("--cold", default="0,290")
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    print(f"{'fronts':>7} {'cold':>5} {'ask, µs':>9} {'draw, µs':>9} {'cores':>7}")
    for cold in map(int, args.cold.split(",")):
        for fronts in map(int, args.fronts.split(",")):
            told = one_size(fronts, args.tenants, cold, args.seconds)
            print(f"{fronts:7d} {cold:5d} {told['ask_us']:9.0f} {told['draw_us']:9.1f} {told['cores']:7.3f}")


if __name__ == "__main__":
    main()
