"""`python -m fennelpoint` runs one ingress: its configuration, its signals, its start and stop."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uvloop

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget, budget_of
from fennelpoint.components import make_parts
from fennelpoint.file_descriptors import LEAST, plan
from fennelpoint.lifecycle import Event, LifeCycle
from fennelpoint.net.backends import Backends
from fennelpoint.net.controller_host import Host
from fennelpoint.net.counter import Counter
from fennelpoint.net.discovery import Address, Discovery, Listing, parse_address, parse_list
from fennelpoint.net.graceful_shutdown import GracefulShutdown
from fennelpoint.net.server import Server
from fennelpoint.rate_limited_log import log
from fennelpoint.settings import from_json
from fennelpoint.validation_errors import FaultyFile

if TYPE_CHECKING:   # loaded only where there is an operator file
    from fennelpoint.cells import Plan as CellPlan
    from fennelpoint.operator_config import Operator
    from fennelpoint.routes.worker import End

SWEEP = 0.25            # s between looks at idle connections
LIST_WAIT = 1.0         # s for discovery to answer before the list known from before will do
SOCKETS, MEMORY_MB = 1024, 192  # descriptors and memory, where the configuration tells no limit
GC_THRESHOLDS = (10_000, 20, 50)  # nearly all is freed by count: cycles are looked for more rarely


class ConfigError(Exception):
    """The configuration can't be used; the text names the field."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    settings: api.Settings
    known: Listing | None
    operator: Operator | None = None    # what the operator file says; none: there is no such file
    read: End | None = None     # the description that the operator file names, as it was read
    cells: CellPlan | None = None   # the plan that the operator file names
    door: Address | None = None     # where operators call; none: there is no door
    inherited: socket.socket | None = None  # the clients' listening socket, where the platform holds it
    memory_mb: float = MEMORY_MB
    folder: str = ""        # common to the processes of one ingress


def read_config(path: str) -> Config:
    """The configuration from its file, checked."""
    try:
        with open(path, "rb") as file:
            value = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"configuration {path}: {error}") from None
    if not isinstance(value, dict):
        raise ConfigError(f"configuration {path}: it is not an object")
    try:
        settings = from_json(value.get("settings"))
        counter = value.get("counter")
        if counter is None and settings.has_counter:
            raise ConfigError("configuration: counter is missing, and the settings say that there is one")
        limits = value.get("limits", {})
        sockets = limits.get("sockets", SOCKETS) if isinstance(limits, dict) else None
        if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < LEAST:
            raise ConfigError(f"configuration: limits.sockets: {sockets!r} is not {LEAST} or more")
        memory = limits.get("memory_mb", MEMORY_MB)
        if isinstance(memory, bool) or not isinstance(memory, int | float) or not 16 <= memory < 1 << 24:
            raise ConfigError(f"configuration: limits.memory_mb: {memory!r} is not 16 or more")
        known = value.get("known")
        door = value.get("operator") or os.environ.get("BALANCER_OPERATOR")
        return Config(str(value.get("name", "")), parse_address(value.get("listen"), "listen"),
                      parse_address(value.get("discovery"), "discovery"),
                      parse_address(counter, "counter") if counter is not None else None,
                      read_seed(value.get("seed")), sockets, settings,
                      parse_list(known, settings, where="known") if known is not None else None,
                      door=parse_address(door, "operator") if door is not None else None,
                      memory_mb=float(memory))
    except ValueError as error:
        raise ConfigError(f"configuration: {error}") from None


def read_seed(value: object) -> int:
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"configuration: seed: {value!r} is not a hexadecimal number") from None


def inherit(number: str, listen: Address) -> socket.socket:
    """The clients' listening socket that the platform holds; one that is not that is refused."""
    where = f"BALANCER_SOCKET_FD: {number!r}"
    if not (number.isascii() and number.isdigit() and len(number) < 8):
        raise ConfigError(f"{where} is not the number of a descriptor")
    try:
        held = socket.socket(fileno=int(number))
    except OSError as error:
        raise ConfigError(f"{where} is no socket: {error.strerror}") from None
    if held.type != socket.SOCK_STREAM or not held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"{where} is no socket that listens")
    if held.getsockname() != listen:
        raise ConfigError(f"{where} listens at {held.getsockname()}, and listen names {listen}")
    held.set_inheritable(False)
    held.setblocking(False)
    return held


def add_operator(config: Config, path: str) -> None:
    """Read and check the operator file, and what it names, before any traffic."""
    from fennelpoint.operator_config import read_operator

    config.operator = read_operator(path)
    if config.operator.cells is not None:
        from fennelpoint.cells import read_plan

        config.cells = read_plan(config.operator.cells.plan)
    if (routes := config.operator.routes) is not None:
        from fennelpoint.routes.worker import read_now

        config.read = read_now(routes.description, config.settings, routes.load_memory_mb,
                               routes.load_timeout_s)
        if config.read.faults:
            raise FaultyFile(list(config.read.faults))


class Ingress:
    """The parts of a running ingress and the order in which they start and stop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, path: str = "",
                 operator_path: str = "") -> None:
        self.operator_path = operator_path
        settings, room = config.settings, plan(config.sockets)
        self.loop, self.config, self.path, self.stopped = loop, config, path, loop.create_future()
        self.budget = Budget(budget_of(config.memory_mb))
        self.backends = Backends(loop, room.upstream, settings.connect_timeout, settings.idle_close,
                                 self.budget)
        self.counter = Counter(loop, *config.counter, settings.counter_timeout) if (
            config.counter is not None and settings.has_counter) else None
        decider = None
        if config.cells is not None:
            from fennelpoint.cells.cell_controller import CelledController as decider
        self.host = Host(loop, settings, config.seed, self.backends, self.counter, self.budget, decider)
        self.discovery = Discovery(loop, config.discovery, settings, self.follow)
        self.listed = False     # there is a list to go by
        self.coming: Discovery | None = None    # a new discovery that has not told its list yet
        self.life = LifeCycle(time.monotonic())
        self.server = Server(loop, self.host, room, self.life)
        self.look = GracefulShutdown(loop, self.life, self.server, self.host, self._end).check
        self.parts = make_parts(self)   # those that are on, by name
        self.host.watchers = [part.follow for part in self.parts.values()]

    def word(self) -> tuple[str, bool]:
        """How it stands, and whether the counter that quotas are kept by is heard."""
        state = "up" if self.life.ready else "starting" if self.life.keeps else "draining"
        return state, self.counter is None or self.counter.answers

    async def start(self) -> None:
        if (known := self.config.known) is not None:
            known.roster.kind = api.RosterKind.CACHED
            self.discovery.take(known)
        if not self.held_back:
            await self.server.listen(self.config.inherited or self.config.listen)
        for part in self.parts.values():
            await part.start()
        self.discovery.start()
        self.loop.call_later(0.0 if self.discovery.late else LIST_WAIT, self._go_by_known)
        self.loop.call_later(SWEEP, self._sweep)

    @property
    def held_back(self) -> bool:
        """Whether a part has yet to say that clients may come."""
        return any(part.holds for part in self.parts.values())

    def follow(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        self.host.follow(roster, addresses)
        if roster.kind is api.RosterKind.FULL:
            self._go_by_list()

    def reload(self) -> None:
        """SIGHUP: go over to the discovery and the counter that the file names now; the rest stays.

        A file that can't be used changes nothing.  It may come again at any time.
        """
        if self.life.ending:
            return
        for part in self.parts.values():
            part.reload()
        try:
            config = read_config(self.path)
        except ConfigError as error:
            return log.error("%s keeps its configuration: %s", self.config.name, error)
        log.info("%s reads its configuration anew", config.name)
        if self.counter is not None and config.counter is not None:
            self.counter.move(*config.counter)
        if self.coming is not None:
            self.coming.stop()
            self.coming = None
        if config.discovery != self.discovery.address:
            # Guards against a gap in the watch: the old one goes on until the new one's list is here.  The
            # new one has revisions of its own, so it is asked for the whole of it.
            self.coming = Discovery(self.loop, config.discovery, self.config.settings, self._go_over)
            self.coming.known = self.discovery.known
            self.coming.start()

    def _go_over(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        """The first list of a new discovery: from now on it is the one to go by."""
        self.discovery.stop()
        self.discovery, self.coming = self.coming, None
        self.discovery.follow = self.follow
        self.follow(roster, addresses)

    def _go_by_list(self) -> None:
        self.listed = True
        self.set_ready()

    def set_ready(self) -> None:
        """There is a list, and no part has more to wait for."""
        if self.listed and not self.life.listed and not self.held_back:
            self.life.handle(Event.LISTED, time.monotonic())
            log.info("%s is ready", self.config.name)

    def _go_by_known(self) -> None:
        """A restart while discovery is down goes on with the list that was known."""
        if self.discovery.known:
            self._go_by_list()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP, self._sweep)
        self.server.sweep()
        self.backends.sweep()
        for part in self.parts.values():
            part.sweep()
        if self.counter is not None:
            self.counter.sweep()

    def stop(self) -> None:
        """SIGTERM: not ready from now on; take what still comes for a moment, then finish."""
        if self.life.ending:
            return
        log.info("%s stops", self.config.name)
        relieved = any(part.relieved for part in self.parts.values())
        self.life.handle(Event.RELIEVED if relieved else Event.TERM, time.monotonic())
        self.look()

    def _end(self) -> None:
        for part in self.parts.values():
            part.finish()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Leave every socket, whatever is open."""
        for discovery in (self.discovery, self.coming):
            if discovery is not None:
                discovery.stop()
        for part in self.parts.values():
            part.close()
        self.server.close()
        self.backends.close()
        if self.counter is not None:
            self.counter.close()


async def serve(config: Config, path: str, operator_path: str = "") -> None:
    """Run one ingress until it is told to stop."""
    loop = asyncio.get_running_loop()
    ingress = Ingress(loop, config, path, operator_path)
    loop.add_signal_handler(signal.SIGHUP, ingress.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ingress.stop)
    await ingress.start()
    gc.collect()
    gc.freeze()     # what lives as long as the process needn't be looked at again
    gc.set_threshold(*GC_THRESHOLDS)
    await ingress.stopped
    ingress.close()


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)    # the file is about to be read anyway
    try:
        path = os.environ.get("BALANCER_CONFIG")
        if not path:
            raise ConfigError("BALANCER_CONFIG names no configuration")
        config = read_config(path)
        if number := os.environ.get("BALANCER_SOCKET_FD"):
            config.inherited, config.folder = inherit(number, config.listen), os.environ.get("TMPDIR", "")
        if operator := os.environ.get("LARCHWING_OPERATOR", ""):
            add_operator(config, operator)
    except (ConfigError, FaultyFile) as error:
        for line in str(error).splitlines():
            print(f"fennelpoint: {line}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, path, operator))
    except OSError as error:
        print(f"fennelpoint: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
