"""`larchwing demo fleet`: a straggler is seen and brought up, another is shut out, and comes back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fennelpoint.fleet import audit
from fennelpoint.fleet.queries import status_lines
from fennelpoint.testing.observer import faults
from fennelpoint.testing.process_cluster import Rig, Shape


async def play(say: Callable[[str], None]) -> bool:
    """The whole of it, under a minute; whether every check of the observer's records held."""
    shape = Shape(ingresses=6, licence_s=2.0, settle_s=3.0)
    async with Rig(shape, 1) as rig:
        say("6 ingresses, 3 keepers, a licence lives for 2 s; nodes show which version was acted on")
        rig.load(6.0)

        async def stand(title: str) -> None:
            say(f"\n{title}")
            for line in status_lines(await rig.view()):
                say("  " + line)

        took = await rig.until_forced(await rig.publish(why="a first plan"))
        say(f"\nversion 1 is in force {took:.1f} s after it was offered")
        say("\nn2 hears no keeper any more, only its peers; version 2 is published")
        rig.cut("n2", *rig.keepers)
        number = await rig.publish(why="brought up by way of peers")
        took = await rig.until_forced(number, 20.0)
        await rig.until_acting(["n2"], number)
        say(f"n2 went over by way of a peer; version 2 is in force after {took:.1f} s")
        rig.heal()
        say("\nn4 is cut off from everybody; version 3 is published")
        rig.cut_off("n4")
        await asyncio.sleep(2.5)
        say(f"n4 is ready: {await rig.ready('n4')}; a request to it is answered {await rig.ask('n4')} at once")
        took = await rig.until_forced(await rig.publish(why="without n4"), 30.0)
        await stand(f"version 3 is in force after {took:.1f} s, without n4")
        rig.heal()
        await rig.until_ready("n4")
        await rig.until_acting(["n4"], 3)
        await asyncio.sleep(1.0)
        await stand("n4 is back, by version 3; it sent nothing in between")
        say("\nwho acted on what, n4's part of the audit:")
        for span in await rig.fleet.spans("n4"):
            acted = f"version {span.version}" if span.version >= 0 else "nothing"
            end = span.end or span.mark
            say(f"  {acted:<10} for {end[0] - span.begin[0]:5.1f} s: {span.why}")
        spans = await rig.fleet.spans()
        shares = [len(audit.spans_of_version(spans, v)) for v in (1, 2, 3)]
        say(f"\nspans on record by version: {shares}")
        found = faults(rig.seen)
        say(f"{len(rig.seen.arrivals)} requests came to nodes; by the nodes' own records: " + (
            str(found) if found else "none by a version out of force, never three at once, none lost or run twice"))
        return not found
