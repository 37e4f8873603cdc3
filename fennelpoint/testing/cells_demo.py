"""Whom trouble in one cell harms: three real ingresses, nine nodes in three cells, three agencies.

In turn, with cells and without: no trouble; the east at five times its quota with heavy requests; all of the
east's nodes dead.  Told is what of each agency's quota's worth of requests is served within its aim, and for
the others what that is of the service without trouble in the same run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fennelpoint.testing.process import IngressProcess
from fennelpoint.testing.servers import Count, Fake, List, member, ok, read_message
from fennelpoint.testing.settings import SETTINGS
from fennelpoint.testing.traffic import request

AGENCIES = {"east": 0x11, "west": 0x22, "north": 0x33}
QUOTA, SLOTS = 30.0, 2      # requests a second of each agency; requests that a node works on at a time
LIGHT, HEAVY, AIM = 0.02, 0.5, 0.8  # s of work, of a heavy one of the east, and wanted
PLAN = "version = 1\n" + "".join(
    f'[[cells]]\nname = "{name}"\nnodes = ["{name}-*"]\nagencies = ["{agency:016x}"]\n'
    + ("take = 1.0\n" if name == "west" else "") for name, agency in AGENCIES.items())


class Node(Fake):
    """A node with few slots; requests that say so are heavy."""

    def __init__(self) -> None:
        super().__init__(self._handle)
        self.slots = asyncio.Semaphore(SLOTS)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, _, _ = await read_message(reader)
            async with self.slots:
                await asyncio.sleep(HEAVY if "/heavy" in line else LIGHT)
            writer.write(ok(b"yes"))


class Agency:
    """Asks at a rate through all ingresses in turn; counts what is served in its aim."""

    def __init__(self, customer: int, addresses: list[tuple[str, int]]) -> None:
        self.customer, self.addresses, self.served, self.asked = customer, addresses, 0, 0
        self.kept: list[list] = [[] for _ in addresses]     # connections that stand idle

    async def ask(self, at: int, path: str) -> None:
        self.asked += 1
        try:
            reader, writer = self.kept[at].pop() if self.kept[at] else (
                await asyncio.open_connection(*self.addresses[at]))
            writer.write(request(path=path, left=2000, Cookie=f"account={self.customer:016x}",
                                 Api_Terms="units=1,spread=3,first=0"))
            line, fields, _ = await asyncio.wait_for(read_message(reader), AIM)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        self.served += " 200 " in line
        if fields.get("connection") != "close":
            self.kept[at].append((reader, writer))

    async def run(self, rate: float, path: str, seconds: float) -> None:
        loop, tasks = asyncio.get_running_loop(), []
        began = loop.time()
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, began + i / rate - loop.time()))
            tasks.append(asyncio.ensure_future(self.ask(i % len(self.addresses), path)))
        await asyncio.gather(*tasks)


async def play(trouble: str, cells: bool, seconds: float) -> dict[str, float]:
    """The share of each agency's quota that was served in time."""
    nodes = {f"{name}-{i}": Node() for name in AGENCIES for i in range(3)}
    members = [member(name, await node.start()) for name, node in nodes.items()]
    roster, count = List(members), Count()
    told = await roster.start(), await count.start()
    quota = {"name": "basic", "pays": 1.0, "quota_rate": QUOTA * 1.2, "store_size": QUOTA,
             "overrun_cost": 1.0}
    ingresses = [IngressProcess({**SETTINGS, "me": i, "balancers": 3, "contracts": [quota]}, *told,
                                cells=PLAN if cells else "") for i in range(3)]
    try:
        for ingress in ingresses:
            await ingress.start()
        addresses = [ingress.address for ingress in ingresses]
        agencies = {name: Agency(customer, addresses) for name, customer in AGENCIES.items()}
        if trouble == "dead":
            for name, node in nodes.items():
                if name.startswith("east"):
                    node.stop()
        flood = trouble == "flood"
        await asyncio.gather(*(agency.run(
            *((5 * QUOTA, "/heavy") if flood and name == "east" else (QUOTA, "/api")), seconds)
            for name, agency in agencies.items()))
        return {name: agency.served / (QUOTA * seconds) for name, agency in agencies.items()}
    finally:
        for ingress in ingresses:
            await ingress.stop()
        for fake in (*nodes.values(), roster, count):
            fake.stop()


async def show(seconds: float, say: Callable[[str], None]) -> float:
    """The whole comparison, a line at a time; the least that the others kept with cells."""
    say(f"3 ingresses, 9 nodes of {SLOTS} slots, {QUOTA:g} requests a second an agency, {seconds:g} s a row")
    say(f"{'':<34}" + "".join(f"{name:>8}" for name in AGENCIES) + f"{'others, of no trouble':>24}")
    least = 1.0
    for cells in (True, False):
        calm: dict[str, float] = {}
        for trouble, words in (("", "no trouble"), ("flood", "east at 5 times its quota"),
                               ("dead", "the east's nodes dead")):
            served = await play(trouble, cells, seconds)
            calm = calm or served
            kept = min(served[name] / calm[name] for name in ("west", "north"))
            least = min(least, kept) if cells else least
            say(f"{'cells' if cells else 'no cells':<9}{words:<25}" + "".join(
                f"{served[name]:>8.3f}" for name in AGENCIES) + f"{kept:>24.3f}")
    return least
