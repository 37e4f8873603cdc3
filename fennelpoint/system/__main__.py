"""Runs one program of the load balancer: the proxy `span`, the registry `roll` or the configuration store `writ`.

Usage:
  larchwing-system (span | roll | writ) [--settings FILE]
  larchwing-system -h | --help

Options:
  --settings FILE  the settings file; by default the one that LARCHWING_BOOT names
"""

from __future__ import annotations

if __name__ == "__main__":
    from fennelpoint import held_signals

    held_signals.hold()     # before the imports that take most of the start

import asyncio
import gc
import os
import signal
import sys

import uvloop
from docopt import docopt
from result import Err

from fennelpoint import held_signals
from fennelpoint.invariants import violations
from fennelpoint.system import settings as settings_file
from fennelpoint.system.events import Event, log_event, log_to_stderr

SETTINGS_POLL_S = 2.0   # the settings file may change without a signal


async def serve(role: str, settings: settings_file.Settings, path: str, applied_stamp: tuple) -> None:
    """Runs one program until it has shut down; `applied_stamp` is the settings file's from before it was read."""
    loop = asyncio.get_running_loop()
    if role == "span":
        from fennelpoint.system.proxy.program import Program
    elif role == "roll":
        from fennelpoint.system.registry.program import Program
    else:
        from fennelpoint.system.store.program import Program
    program = Program(loop, settings)

    def reload() -> None:
        nonlocal applied_stamp
        applied_stamp = _file_stamp(path)
        result = settings_file.read(path)
        if isinstance(result, Err):
            return log_event(Event.BAD_SETTINGS, reason=result.err_value)
        program.reload(result.ok_value)

    def watch() -> None:
        loop.call_later(SETTINGS_POLL_S, watch)
        if _file_stamp(path) != applied_stamp:
            reload()

    loop.add_signal_handler(signal.SIGHUP, reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, program.stop)
    violations.report = lambda invariant, detail, count: log_event(
        Event.VIOLATED, node=settings.node_name, invariant=invariant.name, count=count, detail=detail)
    await program.start()
    held_signals.release()
    log_event(Event.START, role=role, node=settings.node_name)
    loop.call_later(SETTINGS_POLL_S, watch)
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000, 20, 50)
    await program.stopped
    program.close()


def _file_stamp(path: str) -> tuple:
    """Returns what changes with the file; empty without a file."""
    try:
        stat = os.stat(path)
    except OSError:
        return ()
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def main(argv: list[str] | None = None) -> int:
    """Runs the command; returns its exit code."""
    arguments = docopt(__doc__, argv)
    role = next(name for name in ("span", "roll", "writ") if arguments[name])
    log_to_stderr()
    held_signals.hold()
    path = arguments["--settings"] or os.environ.get(settings_file.SETTINGS_VARIABLE, "")
    stamp, result = _file_stamp(path), settings_file.read(path)
    if isinstance(result, Err):
        log_event(Event.BAD_SETTINGS, reason=result.err_value)
        return 2
    uvloop.run(serve(role, result.ok_value, path, stamp))
    return 0


if __name__ == "__main__":
    sys.exit(main())
