"""`python -m fennelpoint` runs one ingress: configuration, signals, start and stop."""

from __future__ import annotations

if __name__ == "__main__":
    from fennelpoint import held_signals

    held_signals.hold()     # before the imports that take most of the start

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

from fennelpoint import held_signals
from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget, budget_of
from fennelpoint.components import create_components
from fennelpoint.file_descriptors import MIN_DESCRIPTOR_LIMIT, plan
from fennelpoint.lifecycle import Event, LifeCycle
from fennelpoint.net.backends import Backends
from fennelpoint.net.controller_host import ControllerHost
from fennelpoint.net.counter import Counter
from fennelpoint.net.discovery import Address, Discovery, Listing, parse_address, parse_list
from fennelpoint.net.graceful_shutdown import GracefulShutdown
from fennelpoint.net.server import Server
from fennelpoint.rate_limited_log import log
from fennelpoint.settings import from_json
from fennelpoint.validation_errors import FaultyFile

if TYPE_CHECKING:   # imported only if there is an operator file
    from fennelpoint.cells import Plan as CellPlan
    from fennelpoint.operator_config import Operator
    from fennelpoint.routes.worker import End

SWEEP_INTERVAL_S = 0.25     # between checks of idle connections
LIST_TIMEOUT_S = 1.0    # for discovery's first answer, after which the cached list is used
DEFAULT_DESCRIPTOR_LIMIT, DEFAULT_MEMORY_MB = 1024, 192     # if the configuration has no limits
GC_THRESHOLDS = (10_000, 20, 50)  # reference counting frees nearly everything, so cycles are collected more rarely


class ConfigError(Exception):
    """The configuration cannot be used; the text names the field."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    descriptor_limit: int
    settings: api.Settings
    cached_list: Listing | None
    operator: Operator | None = None    # the operator file, if there is one
    description: End | None = None  # the API description that the operator file names, as parsed
    cell_plan: CellPlan | None = None   # the plan that the operator file names
    admin_address: Address | None = None    # of the admin socket, if there is one
    inherited_socket: socket.socket | None = None   # the clients' listening socket, if the platform holds it
    memory_mb: float = DEFAULT_MEMORY_MB
    shared_folder: str = ""     # common to the processes of one ingress


def read_config(path: str) -> Config:
    """Read and check the configuration file; raises ConfigError."""
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
        descriptor_limit = limits.get("sockets", DEFAULT_DESCRIPTOR_LIMIT) if isinstance(limits, dict) else None
        if isinstance(descriptor_limit, bool) or not isinstance(descriptor_limit, int) or (
                descriptor_limit < MIN_DESCRIPTOR_LIMIT):
            raise ConfigError(
                f"configuration: limits.sockets: {descriptor_limit!r} is not {MIN_DESCRIPTOR_LIMIT} or more")
        memory = limits.get("memory_mb", DEFAULT_MEMORY_MB)
        if isinstance(memory, bool) or not isinstance(memory, int | float) or not 16 <= memory < 1 << 24:
            raise ConfigError(f"configuration: limits.memory_mb: {memory!r} is not 16 or more")
        cached = value.get("known")
        admin = value.get("operator") or os.environ.get("BALANCER_OPERATOR")
        return Config(str(value.get("name", "")), parse_address(value.get("listen"), "listen"),
                      parse_address(value.get("discovery"), "discovery"),
                      parse_address(counter, "counter") if counter is not None else None,
                      read_seed(value.get("seed")), descriptor_limit, settings,
                      parse_list(cached, settings, where="known") if cached is not None else None,
                      admin_address=parse_address(admin, "operator") if admin is not None else None,
                      memory_mb=float(memory))
    except ValueError as error:
        raise ConfigError(f"configuration: {error}") from None


def read_seed(value: object) -> int:
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"configuration: seed: {value!r} is not a hexadecimal number") from None


def inherit_socket(number: str, listen: Address) -> socket.socket:
    """Return the clients' listening socket that the platform holds.

    Raises ConfigError if the descriptor is not a socket that listens at this address.
    """
    where = f"BALANCER_SOCKET_FD: {number!r}"
    if not (number.isascii() and number.isdigit() and len(number) < 8):
        raise ConfigError(f"{where} is not the number of a descriptor")
    try:
        listener = socket.socket(fileno=int(number))
    except OSError as error:
        raise ConfigError(f"{where} is no socket: {error.strerror}") from None
    if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"{where} is no socket that listens")
    if listener.getsockname() != listen:
        raise ConfigError(f"{where} listens at {listener.getsockname()}, and listen names {listen}")
    listener.set_inheritable(False)
    listener.setblocking(False)
    return listener


def load_operator_file(config: Config, path: str) -> None:
    """Read and check the operator file and the files that it names, before any traffic; raises FaultyFile."""
    from fennelpoint.operator_config import read_operator

    config.operator = read_operator(path)
    if config.operator.cells is not None:
        from fennelpoint.cells import read_plan

        config.cell_plan = read_plan(config.operator.cells.plan)
    if (routes := config.operator.routes) is not None:
        from fennelpoint.routes.worker import read_now

        config.description = read_now(routes.description, config.settings, routes.load_memory_mb,
                                      routes.load_timeout_s)
        if config.description.faults:
            raise FaultyFile(list(config.description.faults))


class Ingress:
    """A running ingress: its components, and the order in which they start and stop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, path: str = "",
                 operator_path: str = "") -> None:
        self.operator_path = operator_path
        settings, descriptors = config.settings, plan(config.descriptor_limit)
        self.loop, self.config, self.path, self.stopped = loop, config, path, loop.create_future()
        self.budget = Budget(budget_of(config.memory_mb))
        self.backends = Backends(loop, descriptors.upstream, settings.connect_timeout, settings.idle_close,
                                 self.budget)
        self.counter = Counter(loop, *config.counter, settings.counter_timeout) if (
            config.counter is not None and settings.has_counter) else None
        controller_class = None
        if config.cell_plan is not None:
            from fennelpoint.cells.cell_controller import CellController as controller_class
        self.host = ControllerHost(loop, settings, config.seed, self.backends, self.counter, self.budget,
                                   controller_class)
        self.discovery = Discovery(loop, config.discovery, settings, self.follow)
        self.has_list = False   # there is a list of backends
        self.next_discovery: Discovery | None = None    # after a reload, until it has sent its list
        self.life_cycle = LifeCycle(time.monotonic())
        self.server = Server(loop, self.host, descriptors, self.life_cycle)
        self.check_shutdown = GracefulShutdown(loop, self.life_cycle, self.server, self.host, self._finish).check
        self.components = create_components(self)   # those that are enabled, by name
        self.host.list_observers = [component.follow for component in self.components.values()]

    def heartbeat_state(self) -> tuple[str, bool]:
        """Return the state for the heartbeat, and whether the counter that quotas depend on is available."""
        state = "up" if self.life_cycle.is_ready else "starting" if self.life_cycle.keeps_connections else "draining"
        return state, self.counter is None or self.counter.is_available

    async def start(self) -> None:
        if (cached := self.config.cached_list) is not None:
            cached.roster.kind = api.RosterKind.CACHED
            self.discovery.apply(cached)
        if not self.is_blocked:
            await self.server.listen(self.config.inherited_socket or self.config.listen)
        for component in self.components.values():
            await component.start()
        self.discovery.start()
        self.loop.call_later(0.0 if self.discovery.defers_first_request else LIST_TIMEOUT_S, self._use_cached_list)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def is_blocked(self) -> bool:
        """Whether a component blocks readiness."""
        return any(component.blocks_readiness for component in self.components.values())

    def follow(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        self.host.follow(roster, addresses)
        if roster.kind is api.RosterKind.FULL:
            self._use_list()

    def reload(self) -> None:
        """On SIGHUP, switch to the discovery and the counter that the file names now; the rest stays.

        A file that cannot be used changes nothing.  May be called again at any time.
        """
        if self.life_cycle.is_ending:
            return
        for component in self.components.values():
            component.reload()
        try:
            config = read_config(self.path)
        except ConfigError as error:
            return log.error("%s keeps its configuration: %s", self.config.name, error)
        log.info("%s reads its configuration anew", config.name)
        if self.counter is not None and config.counter is not None:
            self.counter.move(*config.counter)
        if self.next_discovery is not None:
            self.next_discovery.stop()
            self.next_discovery = None
        if config.discovery != self.discovery.address:
            # Guards against a gap in the watch: the old discovery is used until the new one's list has arrived.  The
            # new one has its own revisions, so the whole list is requested.
            self.next_discovery = Discovery(self.loop, config.discovery, self.config.settings, self._switch_discovery)
            self.next_discovery.known_addresses = self.discovery.known_addresses
            self.next_discovery.start()

    def _switch_discovery(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        """Replace the old discovery when the new one's first list has arrived."""
        self.discovery.stop()
        self.discovery, self.next_discovery = self.next_discovery, None
        self.discovery.follow = self.follow
        self.follow(roster, addresses)

    def _use_list(self) -> None:
        self.has_list = True
        self.set_ready()

    def set_ready(self) -> None:
        """Become ready if there is a list and no component blocks readiness."""
        if self.has_list and not self.life_cycle.has_list and not self.is_blocked:
            self.life_cycle.handle(Event.LISTED, time.monotonic())
            log.info("%s is ready", self.config.name)

    def _use_cached_list(self) -> None:
        """Use the cached list, after a restart while discovery is down."""
        if self.discovery.known_addresses:
            self._use_list()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.server.sweep()
        self.backends.sweep()
        for component in self.components.values():
            component.sweep()
        if self.counter is not None:
            self.counter.sweep()

    def stop(self) -> None:
        """On SIGTERM, become unready unless a successor serves, accept requests a moment longer, then end."""
        if self.life_cycle.is_ending:
            return
        log.info("%s stops", self.config.name)
        has_successor = any(component.has_successor for component in self.components.values())
        self.life_cycle.handle(Event.RELIEVED if has_successor else Event.TERM, time.monotonic())
        self.check_shutdown()

    def _finish(self) -> None:
        for component in self.components.values():
            component.finish()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Close every socket, with whatever is open."""
        for discovery in (self.discovery, self.next_discovery):
            if discovery is not None:
                discovery.stop()
        for component in self.components.values():
            component.close()
        self.server.close()
        self.backends.close()
        if self.counter is not None:
            self.counter.close()


async def serve(config: Config, path: str, operator_path: str = "") -> None:
    """Run one ingress until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    ingress = Ingress(loop, config, path, operator_path)
    loop.add_signal_handler(signal.SIGHUP, ingress.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ingress.stop)
    await ingress.start()
    held_signals.release()
    gc.collect()
    gc.freeze()     # objects that live as long as the process are not scanned again
    gc.set_threshold(*GC_THRESHOLDS)
    await ingress.stopped
    ingress.close()


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    held_signals.hold()
    try:
        path = os.environ.get("BALANCER_CONFIG")
        if not path:
            raise ConfigError("BALANCER_CONFIG names no configuration")
        config = read_config(path)
        if number := os.environ.get("BALANCER_SOCKET_FD"):
            config.inherited_socket, config.shared_folder = (
                inherit_socket(number, config.listen), os.environ.get("TMPDIR", ""))
        if operator := os.environ.get("LARCHWING_OPERATOR", ""):
            load_operator_file(config, operator)
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
