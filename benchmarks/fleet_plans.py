"""Drawn plans of faults between real processes, by hand: `python benchmarks/fleet_plans.py --plans 500 --jobs 3`.

Each plan is one seed: 9 ingresses and 3 keepers under load, versions published all the time, six faults.  One that
breaks a check prints its seed, by which it can be played again (`--first SEED --plans 1`).  `--stops N` plays N
processes that are stopped for 1.5 licences about a change instead, with requests in their sockets.
"""

from __future__ import annotations

import argparse
import asyncio
from multiprocessing import Pool

from fennelpoint.testing.fault_plans import draw_plan, play, stop_and_wake
from fennelpoint.testing.observer import faults, served_share
from fennelpoint.testing.process_cluster import Rig, Shape

SECONDS, FAULTS = 7.0, 6


async def _plan(seed: int) -> tuple[dict, int, int, float, str]:
    shape = Shape(ingresses=9)
    rig = await play(seed, shape, SECONDS, FAULTS)
    words = ", ".join(f"{f.kind} {len(f.names)}" for f in draw_plan(seed, shape, SECONDS, FAULTS))
    return faults(rig.seen), len(rig.seen.arrivals), len(rig.seen.enforced), served_share(rig.seen, 0.0, 1e12), words


async def _stops(seed: int, tries: int) -> tuple[dict, int, int, float, str]:
    async with Rig(Shape(ingresses=6), seed) as rig:
        rig.load(4.0)
        await stop_and_wake(rig, tries)
        return (faults(rig.seen), len(rig.seen.arrivals), len(rig.seen.enforced),
                served_share(rig.seen, 0.0, 1e12), "stops")


def _play(job: tuple[str, int, int]) -> tuple[int, dict, int, int, float, str]:
    kind, seed, tries = job
    try:
        made = _plan(seed) if kind == "plan" else _stops(seed, tries)
        return (seed, *asyncio.run(asyncio.wait_for(made, 90.0 + 10.0 * tries)))
    except Exception as error:  # a run that did not end well is told with its seed, and the others go on
        return seed, {"run": [repr(error)[:2000]]}, 0, 0, 0.0, kind


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plans", type=int, default=20)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--stops", type=int, default=0)
    told = parser.parse_args()
    each = 10
    jobs = [("plan", told.first + i, 0) for i in range(told.plans)] if not told.stops else [
        ("stops", told.first + i, each) for i in range((told.stops + each - 1) // each)]
    arrivals = forced = bad = 0
    shares = []
    with Pool(told.jobs) as pool:
        for done, (seed, found, came, versions, share, words) in enumerate(pool.imap_unordered(_play, jobs), 1):
            arrivals, forced = arrivals + came, forced + versions
            shares.append(share)
            if found:
                bad += 1
                print(f"seed {seed} ({words}): " + "; ".join(
                    f"{name}: {len(lines)}, {lines[0]}" for name, lines in found.items()), flush=True)
            if done % 10 == 0 or done == len(jobs):
                print(f"{done} of {len(jobs)}: {bad} with a fault, {arrivals} requests at nodes, {forced} in "
                      f"force, served {sum(shares) / len(shares):.3f}", flush=True)


if __name__ == "__main__":
    main()
