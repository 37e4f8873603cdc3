"""`larchwing demo control`: a control service as a process, two stand-in proxies, and bookings through them.

One booking server drains and another is killed before one's eyes; one agency asks for three times its quota.
All of it is on loopback and of this package; it needs the extras `cli` and `xds`.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.testing.ingress_harness import until
from fennelpoint.testing.process import Command
from fennelpoint.testing.proxies import Front
from fennelpoint.testing.servers import Backend, Count, List, member

SERVERS, REPORTS = 4, 0.25
AGENCIES = ((1, "basic", 8.0), (2, "basic", 60.0))  # customer, plan, requests a second in all


def _files(root: Path, discovery: str, counter: str) -> Path:
    """The operator file of a control service and what it names."""
    (root / "config.json").write_text(json.dumps({
        "name": "control", "listen": "127.0.0.1:9", "discovery": discovery, "counter": counter,
        "seed": "7", "settings": SETTINGS}))
    (root / "operator.toml").write_text(f"""schema = 1
[routes]
description = {json.dumps(str(EXAMPLE))}
[control]
settings = "config.json"
listen = "127.0.0.1:0"
nodes = ["proxy-*"]
quotas = "leases"
report_interval_s = {REPORTS}
envoy_listen = "127.0.0.1:10000"
""")
    return root / "operator.toml"


class Tally:
    """What became of the bookings, by agency and by server."""

    def __init__(self) -> None:
        self.served: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        self.failed: Counter[int] = Counter()
        self.recent: Counter[int] = Counter()   # by port, since the last line


async def _agency(front: Front, customer: int, plan: str, rate: float, tally: Tally) -> None:
    """Requests at an even rate, each a task."""
    async def one() -> None:
        status, port = await front.send("GET", "/v1/slots", customer, plan)
        told = {200: tally.served, 429: tally.refused}.get(status, tally.failed)
        told[customer] += 1
        tally.recent[port] += status == 200

    running: set[asyncio.Task] = set()
    try:
        while True:
            task = asyncio.create_task(one())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1.0 / rate)
    finally:
        for task in running:
            task.cancel()


async def play(seconds: float, say: Callable[[str], None]) -> Tally:
    """Run it for so many seconds; `say` is given a line each second."""
    servers = [Backend(delay=0.005) for _ in range(SERVERS)]
    members = [member(f"s-{i}", await server.start()) for i, server in enumerate(servers)]
    ports = [int(m["host_port"].rpartition(":")[2]) for m in members]
    discovery, counter, tally = List(members), Count(), Tally()
    folder = tempfile.TemporaryDirectory(prefix="larchwing-")
    control = Command("control", "--config", _files(
        Path(folder.name), await discovery.start(), await counter.start()))
    fronts, tasks = [], []
    try:
        port = int((await control.start()).split()[-1])
        say(f"a control service on port {port}, {SERVERS} booking servers, two proxies that go by leases")
        fronts = [Front(port, f"proxy-{i}", REPORTS, seed=i) for i in (1, 2)]
        for front in fronts:
            front.connect()
        await until(lambda: all(len(f.endpoints()) == SERVERS for f in fronts))
        tasks = [asyncio.create_task(_agency(front, who, plan, rate / len(fronts), tally))
                 for front in fronts for who, plan, rate in AGENCIES]
        begun, steps = time.monotonic(), [(0.4, "drains"), (0.7, "is killed")]
        while (now := time.monotonic() - begun) < seconds:
            news = ""
            if steps and now >= steps[0][0] * seconds:
                news = await _happen(steps.pop(0)[1], members, servers, discovery, fronts)
            say(f"{now:5.1f} s  served in the last second: " + "  ".join(
                f"s-{i} {tally.recent[p]:>3}" for i, p in enumerate(ports)) + (f"   {news}" if news else ""))
            tally.recent.clear()
            await asyncio.sleep(min(1.0, seconds - now))
        for who, plan, rate in AGENCIES:
            quota = next(p for p in SETTINGS["contracts"] if p["name"] == plan)
            say(f"agency {who} asked {rate:g}/s, its quota is {quota['quota_rate']:g}/s: "
                f"{tally.served[who]} served, {tally.refused[who]} refused, {tally.failed[who]} failed")
        return tally
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for front in fronts:
            await front.drop()
        await control.stop()
        folder.cleanup()
        for fake in (*servers, discovery, counter):
            fake.stop()


async def _happen(what: str, members: list[dict], servers: list[Backend], discovery: List,
                  fronts: list[Front]) -> str:
    """One server drains or is killed; how long until no proxy sends to it any more."""
    which = 0 if what == "drains" else 1
    if what == "is killed":
        servers[which].stop()
    begun, left = time.monotonic(), len(fronts[0].endpoints()) - 1
    discovery.tell({**members[which], "phase": "draining" if which == 0 else "removed"})
    await until(lambda: all(len(f.endpoints()) == left for f in fronts))
    return f"s-{which} {what}: out of both proxies' views after {(time.monotonic() - begun) * 1e3:.0f} ms"
