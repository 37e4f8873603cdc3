"""Proxies that send bookings by their view: what reaches a node that is killed, drained or lost sight of.

Each test prints how long after discovery's word the last request came to the node; `-s` shows it.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
from proxies import control, run

from fennelpoint.demo import EXAMPLE
from fennelpoint.demo import SETTINGS as EXAMPLE_SETTINGS
from fennelpoint.settings import from_json
from fennelpoint.testing import Backend, List, member, until
from fennelpoint.testing.proxies import Front
from fennelpoint.testing.servers import ok

LIMIT = 0.5     # s


class Server(Backend):
    """A booking server that notes when each request came."""

    def __init__(self) -> None:
        super().__init__(lambda *_: self.times.append(time.monotonic()) or ok(b"yes"))
        self.times: list[float] = []


class Site:
    """Servers, discovery, and two proxies that send bookings one after another until they are stopped."""

    def __init__(self, fronts: list[Front], servers: list[Server], discovery: List) -> None:
        self.fronts, self.servers, self.discovery = fronts, servers, discovery
        self.answers: list[tuple[float, int, int]] = []     # when it was sent, status, port
        self.tasks = [asyncio.create_task(self._send(front)) for front in fronts]

    async def _send(self, front: Front) -> None:
        while True:
            begun = time.monotonic()
            status, port = await front.send("POST", "/v1/appointments")
            self.answers.append((begun, status, port))
            await asyncio.sleep(0.002)

    def tell(self, which: int, phase: str) -> float:
        """Discovery tells of a node; when."""
        self.discovery.tell(member(f"s-{which}", self.servers[which].address, phase=phase))
        return time.monotonic()

    async def served(self, count: int = 40) -> None:
        """That many bookings more are served."""
        before = len(self.answers)
        await until(lambda: sum(a[1] == 200 for a in self.answers[before:]) >= count)

    async def none_after(self, which: int, told: float, what: str, answers: bool = True) -> None:
        """No booking is sent to a node later than the limit after it was told of; reports the last."""
        await asyncio.sleep(max(0.0, told + LIMIT - time.monotonic()))
        await self.served()
        port = int(self.servers[which].address.rpartition(":")[2])
        sent = [begun for begun, _, to in self.answers if to == port]
        last = max([*self.servers[which].times, *sent], default=told) - told
        print(f"{what}: last booking {max(0.0, last) * 1e3:.0f} ms after discovery's word")
        assert last < LIMIT

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for front in self.fronts:
            await front.drop()
        for server in self.servers:
            server.stop()
        self.discovery.stop()


@asynccontextmanager
async def site(ports: tuple[int, int], servers: list[Server], discovery: List):
    fronts = [Front(port, f"proxy-{i}", seed=i) for i, port in enumerate(ports)]
    for front in fronts:
        front.connect()
    await until(lambda: all(len(f.endpoints()) == 3 for f in fronts))
    await until(lambda: all(f.route("POST", "/v1/appointments", {}) for f in fronts))
    made = Site(fronts, servers, discovery)
    try:
        await made.served()
        yield made
    finally:
        await made.stop()


async def start() -> tuple[list[Server], List]:
    servers = [Server() for _ in range(3)]
    discovery = List([member(f"s-{i}", await server.start()) for i, server in enumerate(servers)])
    await discovery.start()
    return servers, discovery


def made():
    return from_json(EXAMPLE_SETTINGS)


@pytest.mark.parametrize("phase", ["removed", "draining"])
def test_no_booking_reaches_a_node_after_the_limit(phase):
    async def play() -> None:
        servers, discovery = await start()
        async with control(discovery, EXAMPLE, made()) as one:
            async with site((one.port, one.port), servers, discovery) as here:
                if phase == "removed":
                    servers[0].stop()       # it dies, and discovery tells of it
                told = here.tell(0, phase)
                await here.none_after(0, told, phase)
                lost = [a for a in here.answers if a[1] == 0 and a[0] > told + LIMIT]
                assert not lost and all(a[1] in (200, 0) for a in here.answers)

    run(play())


def test_proxy_that_is_cut_off_goes_on_and_leaves_the_node_once_it_is_back():
    async def play() -> None:
        servers, discovery = await start()
        async with control(discovery, EXAMPLE, made()) as one:
            async with site((one.port, one.port), servers, discovery) as here:
                cut = here.fronts[1]
                await cut.drop()
                here.tell(0, "draining")
                await until(lambda: len(here.fronts[0].endpoints()) == 2)
                await here.served()
                assert len(cut.endpoints()) == 3    # it can't know: it keeps what it has
                back = time.monotonic()
                cut.connect()
                await here.none_after(0, back, "back from a partition")

    run(play())


def test_control_service_is_killed_and_another_with_an_empty_memory_takes_its_place():
    async def play() -> None:
        servers, discovery = await start()
        async with control(discovery, EXAMPLE, made()) as first:
            context = site((first.port, first.port), servers, discovery)
            here = await context.__aenter__()
        await here.served()     # no control service: bookings go on by the last view
        async with control(discovery, EXAMPLE, made()) as second:
            for front in here.fronts:
                await front.drop()
                front.connect(second.port)
            told = here.tell(1, "removed")
            await here.none_after(1, told, "service restarted")
        await context.__aexit__(None, None, None)

    run(play())


def test_two_services_of_which_one_lags_and_a_proxy_that_swings_between_them():
    async def play() -> None:
        servers, discovery = await start()
        late = List(list(discovery.members))
        await late.start()
        async with control(discovery, EXAMPLE, made()) as one, control(late, EXAMPLE, made()) as two:
            async with site((one.port, one.port), servers, discovery) as here:
                told = here.tell(2, "removed")
                await until(lambda: all(len(f.endpoints()) == 2 for f in here.fronts))
                swinging = here.fronts[0]
                for port in (two.port, one.port, two.port):
                    await swinging.drop()
                    swinging.connect(port)
                    await here.served()
                await here.none_after(2, told, "swinging to a service that lags")
        late.stop()

    run(play())
