"""`larchwing control`: one control service as a process, from its files to its end."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable

from fennelpoint.__main__ import Config, ConfigError, read_config
from fennelpoint.operator_config import Control, read_operator
from fennelpoint.rate_limited_log import log
from fennelpoint.routes.description_watcher import Follower
from fennelpoint.routes.worker import read_now
from fennelpoint.validation_errors import Fault, FaultyFile
from fennelpoint.xds.server import ControlServer
from fennelpoint.xds.tls import check


def configuration(control: Control, operator_file: str) -> Config:
    """What the section names, checked; raises FaultyFile."""
    check(control, operator_file)
    try:
        return read_config(control.settings)
    except ConfigError as error:
        raise FaultyFile([Fault(control.settings, 0, "", str(error))]) from None


def read(operator_file: str) -> tuple:
    """Everything that the service needs, checked: both sections, the configuration, table and files.

    Raises FaultyFile with all faults of the first file that has any.
    """
    operator = read_operator(operator_file)
    missing = [name for name in ("control", "routes") if getattr(operator, name) is None]
    if missing:
        raise FaultyFile([Fault(operator_file, 0, name, "the section is missing, which a control service "
                                "needs") for name in missing])
    config = configuration(operator.control, operator_file)
    end = read_now(operator.routes.description, config.settings, operator.routes.load_memory_mb,
                   operator.routes.load_timeout_s)
    if end.faults:
        raise FaultyFile(list(end.faults))
    return operator.control, operator.routes, config, end.table(), end.files


async def run(operator_file: str, say: Callable[[str], None]) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reads the description anew.  Raises FaultyFile first."""
    control, routes, config, table, files = read(operator_file)
    logging.basicConfig(level=logging.INFO, stream=sys.stderr,
                        format="%(asctime)s %(levelname)s %(message)s")
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    server = ControlServer(control, config.settings, table, config.discovery, seed=config.seed,
                           counter=config.counter)
    follower = Follower(loop, server, config.settings, routes, files)

    def reload() -> None:
        try:
            new = read_operator(operator_file).routes
        except FaultyFile as error:
            return log.error("the operator file is not taken: %s", error.faults[0])
        if new is not None:
            follower.reload(new)

    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    port = await server.start()
    follower.start()
    say(f"serving xDS on port {port}")
    await ended.wait()
    follower.close()
    await server.stop()
