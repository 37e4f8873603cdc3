"""Plans of faults for a rig: drawn by a seed, carried out, and the runs that tests and benchmarks share."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from fennelpoint.fleet.rpc import CallFailed
from fennelpoint.testing.links import FROM_TARGET, TO_TARGET, Link, LinkFault
from fennelpoint.testing.process_cluster import Rig, Shape


@dataclass(frozen=True, slots=True)
class Fault:
    at: float       # s after the plan's beginning
    kind: str
    names: tuple[str, ...]
    length: float


FAULTS = ("cut off", "cut from keepers", "deaf", "unheard", "stopped", "killed", "keeper killed",
          "keeper stopped", "keepers cut", "slow", "resets", "all keepers")


def draw_plan(seed: int, shape: Shape, seconds: float, faults: int) -> list[Fault]:
    """So many faults over that time, by the seed alone."""
    draw, plan = Random(seed), []
    ingresses = [f"n{i}" for i in range(shape.ingresses)]
    keepers = [f"k{i}" for i in range(shape.keepers)]
    for _ in range(faults):
        kind = draw.choice(FAULTS)
        some = tuple(sorted(draw.sample(ingresses, draw.choice((1, 1, 1, 2, max(1, shape.ingresses // 2))))))
        names = tuple(draw.sample(keepers, 1)) if kind.startswith("keeper") else (
            tuple(keepers) if kind == "all keepers" else some[:2] if kind in ("stopped", "killed") else some)
        plan.append(Fault(draw.uniform(0.0, seconds), kind, names,
                          draw.uniform(0.3, 2.5) * shape.licence_s))
    return sorted(plan, key=lambda fault: fault.at)


async def carry_out(rig: Rig, plan: list[Fault]) -> None:
    """One fault after the other, each for its time; at the end all is healed, and everybody runs."""
    begun = time.monotonic()
    busy: set[str] = set()
    tasks = []
    for fault in plan:
        await asyncio.sleep(max(0.0, begun + fault.at - time.monotonic()))
        names = tuple(name for name in fault.names if name not in busy)
        if names:
            busy.update(names)
            tasks.append(asyncio.ensure_future(_strike(rig, fault.kind, names, fault.length, busy)))
    if tasks:
        await asyncio.gather(*tasks)
    rig.heal()


async def _strike(rig: Rig, kind: str, names: tuple[str, ...], length: float, busy: set[str]) -> None:
    links: list[Link] = []
    match kind:
        case "cut off":
            links = [link for name in names for link in rig.links(
                name, [o for o in [*rig.members, *rig.keepers] if o not in names])]
        case "cut from keepers":
            links = [link for name in names for link in rig.links(name, rig.keepers)]
        case "keepers cut":
            links = rig.links(names[0], [*rig.keepers, *rig.members])
    for link in links:
        link.inject(LinkFault(cut={TO_TARGET, FROM_TARGET}))
    if kind in ("deaf", "unheard"):
        links = [link for name in names for link in rig.members[name].links.values()]
        for link in links:
            link.inject(LinkFault(cut={FROM_TARGET if kind == "deaf" else TO_TARGET}))
    elif kind == "slow":
        links = [link for name in names for link in rig.members[name].links.values()]
        for link in links:
            link.inject(LinkFault(delay_s=0.05, jitter_s=0.3))
    elif kind == "resets":
        for name in names:
            for link in rig.members[name].links.values():
                link.reset()
    elif kind in ("stopped", "keeper stopped"):
        rig.stop(*names)
    elif kind in ("killed", "keeper killed", "all keepers"):
        await rig.kill(*names)
    await asyncio.sleep(length)
    for link in links:
        link.heal()
    if kind in ("stopped", "keeper stopped"):
        rig.go_on(*names)
    elif kind in ("killed", "keeper killed", "all keepers"):
        await rig.restart(*names, ready=False)
    busy.difference_update(names)


async def publish_on(rig: Rig, seconds: float) -> int:
    """A version after the other, as each comes into force or is given up; the last that was published, 0: none."""
    end, last = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        try:
            last = await rig.publish()
            await rig.until_forced(last, 6.0)
        except (CallFailed, TimeoutError):
            await asyncio.sleep(0.3)
    return last


async def play(seed: int, shape: Shape, seconds: float, count: int) -> Rig:
    """A rig after so many drawn faults under load and versions.

    Everybody was back at its end, and the last version is in force: it may have waited for those that were away.
    """
    async with Rig(shape, seed) as rig:
        rig.load(6.0)
        await asyncio.sleep(0.5)
        plan = draw_plan(seed, shape, seconds, count)
        _, last = await asyncio.gather(carry_out(rig, plan), publish_on(rig, seconds))
        for name in rig.members:
            await rig.until_ready(name, 15.0)
        await rig.until_forced(last, 15.0)
        await asyncio.sleep(0.3)
        return rig


async def stop_and_wake(rig: Rig, tries: int, first: int = 0) -> None:
    """Processes are stopped for 1.5 licences about a change, with requests in their sockets, and wake behind it."""
    for turn in range(first, first + tries):
        name = f"n{turn % len(rig.members)}"
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
            pass    # too many are out: it waits for the one that is stopped
        await asyncio.sleep(max(0.0, begun + 1.5 * rig.shape.licence_s - time.monotonic()))
        rig.go_on(name)
        await asyncio.gather(*asks)
        await rig.until_ready(name)
        await rig.until_forced(number)
