"""The fleet's record: cost and time. `python benchmarks/fleet_record.py [--cpu] [--processes N] [--world N ...]`.

`--cpu`: CPU of one request with the fleet part on, beside off, in the same rounds.  `--processes`: so many real
ingresses, how long they take to start and a version to be in force.  `--world`: so many in simulated time, the
real deciders: time from the offer until the last one acts on a version and until it is in force, messages a second
that a keeper gets, size of the record.  `--audit`: its answers for so many requests beside what nodes saw.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import tempfile
import time
from pathlib import Path

from describing import paths
from ingress import QUOTAS, cpu_seconds, fast, load, templates

from fennelpoint.fleet.audit import versions_at
from fennelpoint.testing import SETTINGS, Count, List, member
from fennelpoint.testing.fleet_simulation import FleetWorld
from fennelpoint.testing.fleet_simulation import Settings as WorldSettings
from fennelpoint.testing.process import Command, IngressProcess, free_port
from fennelpoint.testing.process_cluster import Rig, Shape


async def cpu(rounds: int, seconds: float) -> None:
    settings = {**SETTINGS, "contracts": QUOTAS}
    servers = [await fast("serve") for _ in range(2)]
    discovery, counter = List([member(f"s-{i}", a) for i, (_, a) in enumerate(servers)]), Count()
    told = await discovery.start(), await counter.start()
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        operator = Path(folder) / "operator.toml"
        operator.write_text(f'[keeper]\nkeepers = ["k0=127.0.0.1:{port}"]\n')
        keeper = Command("fleet", "keep", "k0", "--config", operator, "--found", "bench", "--licence-s", "3")
        await keeper.start()
        made = {"off": IngressProcess(settings, *told), "on": IngressProcess(settings, *told)}
        made["on"].add_section(f'[fleet]\nkeepers = ["k0=127.0.0.1:{port}"]\nlisten = "127.0.0.1:{free_port()}"\n'
                               f'folder = {json.dumps(folder)}\n')
        for ingress in made.values():
            await ingress.start(60.0)
        seen: dict[str, list[float]] = {name: [] for name in made}
        for turn in range(rounds):
            for name in sorted(made, reverse=bool(turn % 2)):
                pid = made[name].process.pid
                before = cpu_seconds(pid)
                address = f"127.0.0.1:{made[name].address[1]}"
                full = await load(address, templates(paths(10), True), seconds, 0.0)
                assert set(full["statuses"]) == {"200"}, full
                seen[name].append((cpu_seconds(pid) - before) / full["answers"] * 1e6)
        for ingress in made.values():
            await ingress.stop()
        await keeper.stop()
    for process, _ in servers:
        process.stdin.close()
        await process.wait()
    discovery.stop()
    counter.stop()
    ratios = [on / off for on, off in zip(seen["on"], seen["off"], strict=True)]
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}; "
          f"{rounds} rounds of {seconds:g} s")
    print(f"CPU a request, on to off: median {statistics.median(ratios):.3f}, least to least "
          f"{min(seen['on']) / min(seen['off']):.3f}, rounds {min(ratios):.3f} to {max(ratios):.3f}; "
          f"off {statistics.median(seen['off']):.1f} us")


async def processes(count: int) -> None:
    began = time.monotonic()
    async with Rig(Shape(ingresses=count, nodes=1, licence_s=3.0, settle_s=5.0, peers_by_link=False), 1) as rig:
        print(f"{count} ingresses and 3 keepers: ready and joined after {time.monotonic() - began:.1f} s")
        rig.load(2.0)
        for _ in range(2):
            number = await rig.publish()
            took = await rig.until_forced(number, 60.0)
            print(f"version {number} in force {took:.1f} s after its offer (licence 3 s)")
        view = await rig.view()
        print(f"record of {len(json.dumps(view.fleet.to_dict()))} bytes")


async def against_the_observer(requests: int) -> None:
    """The audit's answer for so many requests that nodes saw, without kills."""
    async with Rig(Shape(ingresses=6, wall_off=(("n1", 5.0), ("n2", -5.0))), 1) as rig:
        rig.load(100.0)
        offset, version = time.time() - time.monotonic(), 0
        while len(rig.seen.arrivals) < requests + 1000:
            version = await rig.publish()
            await rig.until_forced(version)
            await asyncio.sleep(1.5)
            if version == 2:
                rig.cut_off("n3")
                await asyncio.sleep(1.5)
                rig.heal()
        await asyncio.sleep(1.5)
        spans = await rig.fleet.spans()
        wrong = unknown = 0
        for arrival in rig.seen.arrivals[:requests]:
            answer = versions_at(spans, arrival.ingress, (arrival.at + offset, arrival.at + offset))
            unknown += not answer.is_certain
            wrong += rig.seen.version(arrival) not in answer.versions and not answer.unknown
        print(f"audit: {requests} requests over {version} versions, one ingress shut out: {wrong} wrong, {unknown} "
              f"not sure ({unknown / requests:.2%}), {len(spans)} spans")


def world(count: int) -> None:
    settings = WorldSettings(ingresses=count, seconds=60.0, versions=5, faults=0, licence_s=3.0, settle_s=5.0,
                             sends=0.5, bad_contents=0.0, lose=0.005)
    made = FleetWorld(settings, 1)
    began = time.monotonic()
    broken = made.run()
    lasts = [max(made.acted[n].values()) - made.offered[n] for _, n in made.forced]
    force = [at - made.offered[n] for at, n in made.forced]
    print(f"{count} ingresses, simulated 60 s in {time.monotonic() - began:.1f} s: last one acts after "
          f"{statistics.median(lasts):.2f} s (most {max(lasts):.2f}), in force after "
          f"{statistics.median(force):.2f} (most {max(force):.2f}), "
          f"{made.counts['calls'] / 180.0:.0f} calls a second a keeper, record "
          f"{len(json.dumps(made.fleet.to_dict()))} bytes, {len(broken)} checks broken")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--processes", type=int, default=0)
    parser.add_argument("--audit", type=int, default=0)
    parser.add_argument("--world", type=int, nargs="*", default=[])
    given = parser.parse_args()
    for size in given.world:
        world(size)
    if given.processes:
        asyncio.run(processes(given.processes))
    if given.audit:
        asyncio.run(against_the_observer(given.audit))
    if given.cpu:
        asyncio.run(cpu(given.rounds, given.seconds))
