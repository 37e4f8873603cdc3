"""The programs of the whole load balancer.

Usage:
  larchwing-system (span | roll | writ) [--settings FILE]
  larchwing-system -h | --help

Options:
  --settings FILE  the settings file; else the one that LARCHWING_BOOT names
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop
from docopt import docopt
from result import Err

from fennelpoint.invariants import violations
from fennelpoint.system import settings as boot
from fennelpoint.system.events import Event, log_event, log_to_stderr

WATCH = 2.0     # s between looks at the settings file, which may change without a signal


async def serve(role: str, settings: boot.Settings, path: str) -> None:
    """Run one program until it is told to stop."""
    loop = asyncio.get_running_loop()
    if role == "span":
        from fennelpoint.system.proxy.program import Program
    elif role == "roll":
        from fennelpoint.system.registry.program import Program
    else:
        from fennelpoint.system.store.program import Program
    program = Program(loop, settings)
    seen = _stamp(path)

    def reload() -> None:
        nonlocal seen
        seen = _stamp(path)
        read = boot.read(path)
        if isinstance(read, Err):
            return log_event(Event.BAD_SETTINGS, reason=read.err_value)
        program.reload(read.ok_value)

    def watch() -> None:
        loop.call_later(WATCH, watch)
        if _stamp(path) != seen:
            reload()

    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    violations.report = lambda invariant, detail, count: log_event(
        Event.VIOLATED, node=settings.node_name, invariant=invariant.name, count=count, detail=detail)
    await program.start()
    log_event(Event.START, role=role, node=settings.node_name)
    loop.call_later(WATCH, watch)
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000, 20, 50)
    await program.stopped
    program.close()


def _stamp(path: str) -> tuple:
    try:
        held = os.stat(path)
    except OSError:
        return ()
    return held.st_mtime_ns, held.st_size, held.st_ino


def main(argv: list[str] | None = None) -> int:
    asked = docopt(__doc__, argv)
    role = next(name for name in ("span", "roll", "writ") if asked[name])
    log_to_stderr()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = asked["--settings"] or os.environ.get(boot.BOOT, "")
    read = boot.read(path)
    if isinstance(read, Err):
        log_event(Event.BAD_SETTINGS, reason=read.err_value)
        return 2
    uvloop.run(serve(role, read.ok_value, path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
