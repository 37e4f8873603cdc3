"""What the control service's tests share: one loop, a small site, a service in this process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from contextlib import asynccontextmanager
from pathlib import Path

import uvloop

from fennelpoint.net.discovery import parse_address
from fennelpoint.operator_config import Control
from fennelpoint.routes.description import Site, load
from fennelpoint.routes.table import RouteTable
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS, List, until
from fennelpoint.testing.proxies import MESSAGES, Proxy
from fennelpoint.xds.server import ControlServer

__all__ = ["LOOP", "MESSAGES", "Proxy", "control", "run", "settings", "table"]
OPERATOR = dict(settings="", listen="127.0.0.1:0", unknown_nodes="default")


# One loop for all: grpc.aio has one poller a process, and events of a loop that is closed hold up the next's.
LOOP = uvloop.new_event_loop()


def run(coroutine: Awaitable, seconds: float = 60.0) -> None:
    """Run a test's coroutine, for so long at most."""
    LOOP.run_until_complete(asyncio.wait_for(coroutine, seconds))


def settings(**changes):
    return from_json({**SETTINGS, **changes})


def table(path: Path, made) -> RouteTable:
    loaded = load(path, Site.of(made))
    assert not loaded.faults, loaded.faults
    return RouteTable(loaded.routes)


@asynccontextmanager
async def control(discovery: List, description: Path, made=None, counter: str = "", **changes):
    """A control service in this process that has heard of its roster."""
    made = made or settings()
    server = ControlServer(Control(**{**OPERATOR, **changes}), made, table(description, made),
                           parse_address(discovery.address, "discovery"),
                           counter=parse_address(counter, "counter") if counter else None)
    await server.start()
    try:
        await until(lambda: server.members.told_once)
        yield server
    finally:
        await server.stop()
