"""A whole ingress in this process with its stand-ins round it, and how a test waits for things."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import uvloop

from fennelpoint.__main__ import Config, Ingress
from fennelpoint.cells import read_plan
from fennelpoint.net.discovery import parse_address, parse_list
from fennelpoint.operator_config import Operator
from fennelpoint.routes.worker import read_now
from fennelpoint.settings import from_json
from fennelpoint.testing.servers import Backend, Count, List, member
from fennelpoint.testing.settings import SETTINGS
from fennelpoint.validation_errors import FaultyFile


def run(coroutine: Awaitable, seconds: float = 30.0) -> None:
    """Run a test's coroutine on the loop that the ingress runs on, for so long at most."""
    async def limited() -> None:
        await asyncio.wait_for(coroutine, seconds)

    uvloop.run(limited())


async def until(condition: Callable[[], object], seconds: float = 10.0) -> None:
    """Wait for a condition, not for a time."""
    for _ in range(int(seconds / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it did not come about")


class World:
    """An ingress in this process, with its fakes."""

    def __init__(self, backends: list[Backend], settings: dict, known: bool, operator: Operator | None = None,
                 seed: int = 7, count: Count | None = None, door: bool = False) -> None:
        self.backends, self.settings, self.known, self.seed = backends, settings, known, seed
        self.operator, self.count, self.has_door = operator, count or Count(), door

    async def start(self) -> None:
        members = [member(f"s-{i}", await b.start()) for i, b in enumerate(self.backends)]
        self.list = List(members)
        discovery, counter = await self.list.start(), await self.count.start()
        settings = from_json({**SETTINGS, **self.settings})
        known = {"revision": 1, "complete": True, "members": members}
        config = Config("n0", ("127.0.0.1", 0), parse_address(discovery, "discovery"),
                        parse_address(counter, "counter"), self.seed, 1024, settings,
                        parse_list(known, settings) if self.known else None, self.operator,
                        admin_address=("127.0.0.1", 0) if self.has_door else None)
        if self.operator is not None and (routes := self.operator.routes) is not None:
            config.description = read_now(routes.description, settings, routes.load_memory_mb, routes.load_timeout_s)
            if config.description.faults:
                raise FaultyFile(list(config.description.faults))
        if self.operator is not None and self.operator.cells is not None:
            config.cell_plan = read_plan(self.operator.cells.plan)
        self.ingress = Ingress(asyncio.get_running_loop(), config)
        await self.ingress.start()
        self.address = self.ingress.server.listener.sockets[0].getsockname()
        if self.has_door:
            self.door = self.ingress.components["door"].listener.sockets[0].getsockname()
        await until(lambda: self.ingress.life_cycle.is_ready)

    def stop(self) -> None:
        self.ingress.close()
        for fake in (*self.backends, self.list, self.count):
            fake.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)


@asynccontextmanager
async def world(*backends: Backend, known: bool = False, operator: Operator | None = None,
                count: Count | None = None, door: bool = False, **settings):
    """An ingress that is ready, for as long as the block lasts; `settings` replace the usual ones."""
    made = World(list(backends), settings, known, operator, count=count, door=door)
    await made.start()
    try:
        yield made
    finally:
        made.stop()
