"""Drawn plans of faults between real processes, by hand: `python benchmarks/fleet_plans.py --plans 500 --jobs 3`.

Each plan is one seed: 9 ingresses and 3 keepers under load, versions published all the time, six faults.  One that
breaks a check prints its seed, by which it can be played again (`--first SEED --plans 1`).  `--stops N` plays N
processes that are stopped for 1.5 licences about a change instead, with requests in their sockets.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from multiprocessing import Pool

from fennelpoint.fleet.wire import CallFailed
from fennelpoint.standins.observer import faults, served
from fennelpoint.standins.rig import Rig, Shape, carry_out, draw_plan

SECONDS, FAULTS = 7.0, 6


async def _publish_on(rig: Rig, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            await rig.until_forced(await rig.publish(), 6.0)
        except (CallFailed, TimeoutError):
            await asyncio.sleep(0.3)


async def _plan(seed: int) -> tuple[dict, int, int, float, str]:
    shape = Shape(ingresses=9)
    async with Rig(shape, seed) as rig:
        rig.load(6.0)
        await asyncio.sleep(0.5)
        plan = draw_plan(seed, shape, SECONDS, FAULTS)
        await asyncio.gather(carry_out(rig, plan), _publish_on(rig, SECONDS))
        for name in rig.members:
            await rig.until_ready(name, 15.0)
        await asyncio.sleep(0.3)
        words = ", ".join(f"{f.kind} {len(f.names)}" for f in plan)
        return faults(rig.seen), len(rig.seen.arrivals), len(rig.seen.forced), served(rig.seen, 0.0, 1e12), words


async def _stops(seed: int, tries: int) -> tuple[dict, int, int, float, str]:
    async with Rig(Shape(ingresses=6), seed) as rig:
        rig.load(4.0)
        for turn in range(tries):
            name = f"n{turn % 6}"
            number = await rig.publish()
            while (coming := (await rig.view()).fleet.coming) is not None and coming.state == "offered":
                await asyncio.sleep(0.01)
            await asyncio.sleep(rig.draw.uniform(0.0, 0.3))
            rig.stop(name)
            asks = [asyncio.ensure_future(rig.ask(name, 0x100 + i)) for i in range(3)]
            begun = time.monotonic()
            try:
                await rig.until_forced(number, 4.0)
            except TimeoutError:
                pass
            await asyncio.sleep(max(0.0, begun + 1.5 * rig.shape.licence_s - time.monotonic()))
            rig.go_on(name)
            await asyncio.gather(*asks)
            await rig.until_ready(name)
            await rig.until_forced(number)
        return faults(rig.seen), len(rig.seen.arrivals), len(rig.seen.forced), served(rig.seen, 0.0, 1e12), "stops"


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
