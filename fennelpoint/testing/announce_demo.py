"""`larchwing demo announce`: two ingresses announce one address, and one is stalled under traffic.

Each has an announcer beside it and a session with a stand-in router, which forwards connections to the best
next hop.  All of it is on loopback and of this package.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Callable
from ipaddress import ip_network

from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.testing.ingress_harness import until
from fennelpoint.testing.process import Command, IngressProcess, free_port
from fennelpoint.testing.router import Forwarder, Router
from fennelpoint.testing.servers import Backend, Count, List, member, read_message

NETWORK = ip_network("192.0.2.1/32")
RATE, DEADLINE = 50.0, 0.5      # requests a second; s that an agency waits


class Pair:
    """An ingress, the announcer beside it, and the router's end of its session."""

    def __init__(self, number: int, discovery: str, counter: str) -> None:
        self.hop, self.med = f"198.51.100.{number}", 10 * number    # the first is preferred
        self.router = Router()
        settings = {**SETTINGS, "balancers": 2, "me": number - 1}
        self.ingress = IngressProcess(settings, discovery, counter, EXAMPLE)
        self.announcer = Command("announce", "--config", self.ingress.operator)

    async def start(self) -> None:
        """Both processes; returns once the address is announced."""
        host, port = await self.router.start()
        at, to = self.ingress.address
        with self.ingress.operator.open("a") as file:
            file.write(f"""
[announce]
asn = 65001
router_id = "{self.hop}"
beat_listen = "127.0.0.1:{free_port()}"
check = "{at}:{to}"
steady_s = 0.5
gap_s = 1.0
[[announce.peers]]
address = "{host}:{port}"
asn = 65002
[[announce.addresses]]
prefix = "{NETWORK}"
next_hop = "{self.hop}"
med = {self.med}
""")
        await self.announcer.start()
        await self.ingress.start()
        await until(lambda: self.router.routes, 20.0)

    def signal(self, number: signal.Signals) -> None:
        self.ingress.process.send_signal(number)

    async def stop(self) -> None:
        await self.announcer.stop()
        if self.ingress.process is not None and self.ingress.process.returncode is None:
            self.signal(signal.SIGCONT)
        await self.ingress.stop()
        self.router.stop()


class Traffic:
    """Agencies' requests to the one address, each on a connection of its own."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.results = address, []    # when it was sent, and the status (0: none in time)
        self.running: set[asyncio.Task] = set()

    async def run(self) -> None:
        try:
            for number in range(1, 1 << 40):
                task = asyncio.create_task(self._one(number))
                self.running.add(task)
                task.add_done_callback(self.running.discard)
                await asyncio.sleep(1.0 / RATE)
        finally:
            for task in list(self.running):
                task.cancel()

    async def _one(self, number: int) -> None:
        begun, status = time.monotonic(), 0
        try:
            status = await asyncio.wait_for(self._ask(number), DEADLINE)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        self.results.append((begun, status))

    async def _ask(self, number: int) -> int:
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(f"GET /v1/slots HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {number:016x}\r\n"
                         f"Api-Plan: volume\r\nCookie: account={number % 8:016x}\r\n"
                         f"X-Remaining-Ms: {int(DEADLINE * 1000)}\r\n\r\n".encode())
            line, _, _ = await read_message(reader)
            return int(line.split()[1])
        finally:
            writer.close()


class Site:
    """Two pairs, one address, and traffic to it."""

    async def start(self) -> None:
        self.servers = [Backend(delay=0.005) for _ in range(2)]
        members = [member(f"s-{i}", await s.start()) for i, s in enumerate(self.servers)]
        self.list, self.count = List(members), Count()
        discovery, counter = await self.list.start(), await self.count.start()
        self.pairs = [Pair(number, discovery, counter) for number in (1, 2)]
        self.tasks: list[asyncio.Task] = []
        await asyncio.gather(*(pair.start() for pair in self.pairs))
        self.forwarder = Forwarder(NETWORK, [p.router for p in self.pairs],
                                   {p.hop: p.ingress.address for p in self.pairs})
        self.traffic = Traffic(await self.forwarder.start())
        self.tasks = [asyncio.create_task(self.traffic.run())]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(pair.stop() for pair in self.pairs))
        if self.tasks:
            self.forwarder.stop()
        for fake in (*self.servers, self.list, self.count):
            fake.stop()


async def play(seconds: float, say: Callable[[str], None]) -> None:
    """Run it for so many seconds; `say` is given a line each second."""
    site = Site()
    try:
        await site.start()
        first = site.pairs[0]
        say("two ingresses announce 192.0.2.1; the router prefers the first")
        begun, steps, seen, told = time.monotonic(), [(0.35, signal.SIGSTOP), (0.7, signal.SIGCONT)], 0, 0
        while (now := time.monotonic() - begun) < seconds:
            results, seen = site.traffic.results[seen:], len(site.traffic.results)
            hops, told = Counter(hop for _, hop in site.forwarder.sent[told:]), len(site.forwarder.sent)
            say(f"{now:5.1f} s  sent to ingress 1: {hops['198.51.100.1']:>3}  2: {hops['198.51.100.2']:>3}   "
                f"served {sum(s == 200 for _, s in results):>3}  "
                f"no answer {sum(s == 0 for _, s in results):>3}")
            if steps and now >= steps[0][0] * seconds:
                number = steps.pop(0)[1]
                at = time.monotonic()
                first.signal(number)
                gone = number is signal.SIGSTOP
                await until(lambda gone=gone: bool(first.router.routes) != gone, 20.0)
                say(f"         ingress 1 is {'stalled: withdrawn' if gone else 'back: announced'} after "
                    f"{(time.monotonic() - at) * 1e3:.0f} ms")
            await asyncio.sleep(min(1.0, seconds - now))
        lost = sum(s == 0 for _, s in site.traffic.results)
        say(f"{len(site.traffic.results)} requests, {lost} without an answer")
    finally:
        await site.stop()
