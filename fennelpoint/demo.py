"""`larchwing demo`: stand-ins, one ingress with the example description, and agencies' traffic against it.

All of it is on loopback and of this package.  Half way one booking server drains and comes back, so that the
table shows what that costs: nothing.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from fennelpoint.testing.process import IngressProcess
from fennelpoint.testing.servers import Backend, Count, List, member, read_message
from fennelpoint.testing.settings import SETTINGS as SMALL

EXAMPLE = Path(__file__).parent / "testing/example/booking.yaml"
SETTINGS = {
    **SMALL, "balancers": 1, "bounds": {**SMALL["bounds"], "max_retry_after_s": 2.0},
    "rules": {**SMALL["rules"], "ramp_time_s": 3.0},
    "grades": [
        {"name": "look", "aim_s": 0.3, "give_up_s": 1.5, "worth": 1.0, "repeat": "pure"},
        {"name": "hold", "aim_s": 0.5, "give_up_s": 2.0, "worth": 2.0, "repeat": "token", "window_s": 4.0},
        {"name": "book", "aim_s": 0.8, "give_up_s": 3.0, "worth": 3.0, "repeat": "side_effect"}],
    "contracts": [
        {"name": "basic", "pays": 1.0, "quota_rate": 20.0, "store_size": 40.0, "overrun_cost": 0.5},
        {"name": "volume", "pays": 2.0, "quota_rate": 60.0, "store_size": 120.0, "overrun_cost": 0.5}],
}
RECENT = 2000       # latencies kept for the percentiles
SERVERS = 4


@dataclass
class Agency:
    """A customer and what became of its requests."""

    name: str
    plan: str
    rate: float         # requests a second
    number: int
    served: int = 0
    refused: int = 0
    failed: int = 0
    units: float = 0.0  # served
    latencies: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT))

    def used(self, seconds: float) -> float:
        """Share of what its quota gave by now that was served: a full store at first, then the rate."""
        plan = next(p for p in SETTINGS["contracts"] if p["name"] == self.plan)
        return self.units / (plan["store_size"] + plan["quota_rate"] * seconds)


def agencies() -> list[Agency]:
    return [Agency("Ashgrove Travel", "basic", 8.0, 1), Agency("Boston Visa Desk", "basic", 15.0, 2),
            Agency("Cold Spring Tours", "basic", 60.0, 3), Agency("Dover Student Help", "volume", 40.0, 4)]


async def play(seconds: float, show: Callable[[list[Agency], float, str], None]) -> list[Agency]:
    """Run it for so many seconds; `show` is called twice a second with the state of things."""
    servers = [Backend(delay=0.01 + 0.005 * i) for i in range(SERVERS)]
    members = [member(f"s-{i}", await server.start()) for i, server in enumerate(servers)]
    discovery, counter, crowd = List(members), Count(), agencies()
    ingress = IngressProcess(SETTINGS, await discovery.start(), await counter.start(), EXAMPLE)
    tasks: list[asyncio.Task] = []
    try:
        await ingress.start()
        begun, news = time.monotonic(), f"{SERVERS} booking servers are up"
        tasks = [asyncio.create_task(_agency(agency, ingress.address)) for agency in crowd]
        while (now := time.monotonic() - begun) < seconds:
            if now > seconds * 0.7 and "back" not in news:
                discovery.tell({**members[0], "phase": "up", "up_since_ms": int(time.time() * 1000)})
                news = "s-0 is back, cold, and gets more as it warms"
            elif seconds * 0.4 < now <= seconds * 0.7 and "drains" not in news:
                discovery.tell({**members[0], "phase": "draining"})
                news = "s-0 drains: it finishes what it has and gets nothing new"
            show(crowd, now, news)
            if ingress.process.returncode is not None:
                raise RuntimeError(f"the ingress has ended:\n{ingress.log.read_text(errors='replace')}")
            await asyncio.sleep(min(0.5, seconds - now))
        return crowd
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await ingress.stop()
        for fake in (*servers, discovery, counter):
            fake.stop()


async def _agency(agency: Agency, address: tuple[str, int]) -> None:
    """Requests at random times, each a task: agencies don't wait for one answer before the next request."""
    draw, running = random.Random(agency.number), set()
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    try:
        while True:
            await asyncio.sleep(draw.expovariate(agency.rate))
            task = asyncio.create_task(_request(agency, address, draw, idle))
            running.add(task)
            task.add_done_callback(running.discard)
    finally:
        for task in running:
            task.cancel()
        for _, writer in idle:
            writer.close()


async def _request(agency: Agency, address: tuple[str, int], draw: random.Random, idle: list) -> None:
    kind, number, units = draw.random(), draw.getrandbits(60), 1
    more = ""
    if kind < 0.7:
        line, left = f"GET /v1/slots/{draw.randrange(500)}", 1500
    elif kind < 0.8:
        line, left = f"PUT /v1/slots/{draw.randrange(500)}/hold", 2000
        more = f"Idempotency-Key: {number:x}\r\nContent-Length: 0\r\n"
    else:
        units = draw.choice((1, 1, 2))
        line, left, more = f"POST /v1/appointments?seats={units}", 3000, "Content-Length: 0\r\n"
    data = (f"{line} HTTP/1.1\r\nHost: booking.example.org\r\nX-Txn: {agency.number}-{number:x}\r\n"
            f"Api-Plan: {agency.plan}\r\nCookie: account={agency.number:016x}\r\nX-Remaining-Ms: {left}\r\n"
            f"{more}\r\n").encode()
    begun = time.monotonic()
    try:
        reader, writer = idle.pop() if idle else await asyncio.open_connection(*address)
        writer.write(data)
        first, fields, _ = await read_message(reader)
    except (OSError, asyncio.IncompleteReadError):
        agency.failed += 1
        return
    status = int(first.split()[1])
    if fields.get("connection") == "close":
        writer.close()
    else:
        idle.append((reader, writer))
    if status == 200:
        agency.served, agency.units = agency.served + 1, agency.units + units
        agency.latencies.append(time.monotonic() - begun)
    elif status in (429, 503):
        agency.refused += 1
    else:
        agency.failed += 1


HEAD = (f"{'agency':<20}{'plan':<8}{'served':>8}{'refused':>9}{'failed':>8}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'of quota':>10}")


def table(crowd: list[Agency], seconds: float) -> list[str]:
    """The agencies, a line each; of quota: units served, over the full store and what the rate gave."""
    lines = [HEAD]
    for a in crowd:
        ranked = sorted(a.latencies)
        p50, p99 = (ranked[int(q * (len(ranked) - 1))] * 1000 if ranked else 0.0 for q in (0.5, 0.99))
        lines.append(f"{a.name:<20}{a.plan:<8}{a.served:>8}{a.refused:>9}{a.failed:>8}{p50:>8.1f}{p99:>8.1f}"
                     f"{a.used(seconds):>10.0%}")
    return lines


def summary(crowd: list[Agency], seconds: float) -> list[str]:
    """What was seen, in two lines."""
    over = [a.name for a in crowd if a.used(seconds) > 1.0]
    total = sum(a.served + a.refused + a.failed for a in crowd)
    return [f"{total} requests were answered, {sum(a.failed for a in crowd)} of them failed.",
            f"Over their quota: {', '.join(over) or 'none'}."]
