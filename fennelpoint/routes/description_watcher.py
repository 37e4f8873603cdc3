"""Follows a description's files for whoever goes by its table: the ingress, the control service."""

from __future__ import annotations

import asyncio
import pickle
from typing import Protocol

from fennelpoint import interface as api
from fennelpoint.operator_config import Routes
from fennelpoint.rate_limited_log import log
from fennelpoint.routes import worker
from fennelpoint.routes.file_fingerprint import Stamp, stamp
from fennelpoint.routes.reloading import Action, Changes, GiveUp, Load, Report, Take
from fennelpoint.routes.table import RouteTable
from fennelpoint.validation_errors import Fault

TICK = 0.25         # s between looks at a load that is out
MOST_LINES = 20     # faults logged of one description; `larchwing check` tells all


class Taker(Protocol):
    """Who goes by a table; a new one replaces it whole."""

    def take(self, table: RouteTable) -> None: ...


class Follower:
    """Carries out what `Changes` says: looks at files, runs the process that reads them, tells the taker."""

    def __init__(self, loop: asyncio.AbstractEventLoop, taker: Taker, settings: api.Settings,
                 routes: Routes, files: dict[str, Stamp]) -> None:
        self.loop, self.taker, self.settings, self.routes = loop, taker, settings, routes
        self.changes = Changes(routes.description, files, routes.load_timeout_s, routes.settle_s)
        self.running: dict[int, asyncio.Task] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def start(self) -> None:
        if self.routes.watch_interval_s > 0.0:
            self.loop.call_later(self.routes.watch_interval_s, self._look)

    def reload(self, routes: Routes) -> None:
        """SIGHUP: read the description anew, at the path that the operator file names now."""
        self._do(self.changes.told(self.loop.time(), routes.description))

    def _look(self) -> None:
        if self.closed:
            return
        self.loop.call_later(self.routes.watch_interval_s, self._look)
        self._do(self.changes.looked(self.loop.time(), {name: stamp(name) for name in self.changes.files}))

    def _tick(self) -> None:
        self.timer = None
        self._do(self.changes.tick(self.loop.time()))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Load):
                task = self.loop.create_task(self._read(action))
                self.running[action.number] = task
                task.add_done_callback(lambda task, number=action.number: self.running.pop(number, None))
            elif isinstance(action, GiveUp):
                self.running[action.number].cancel()
            elif isinstance(action, Take):
                self.taker.take(action.table)
                log.info("the description is taken: version %d, %d routes", action.version,
                         len(action.table.routes))
            elif isinstance(action, Report):
                log.error("the description is not taken, the one before stays: %d faults", len(action.faults))
                for fault in action.faults[:MOST_LINES]:
                    log.error("%s", fault)
        if self.changes.loading is not None and self.timer is None and not self.closed:
            self.timer = self.loop.call_later(TICK, self._tick)

    async def _read(self, load: Load) -> None:
        pipe, process = asyncio.subprocess.PIPE, None
        try:
            process = await asyncio.create_subprocess_exec(
                *worker.command(load.path, self.routes.load_memory_mb, self.routes.load_timeout_s),
                stdin=pipe, stdout=pipe, stderr=pipe, start_new_session=True)
            output, errors = await process.communicate(pickle.dumps(self.settings))
            end = worker.outcome(load.path, process.returncode, output, errors)
            table = RouteTable()
            for chunk in end.chunks:    # in parts: those who are waited for have their turns between
                table.add(pickle.loads(chunk))
                await asyncio.sleep(0)
        except (OSError, pickle.PickleError, EOFError) as error:
            table, end = None, worker.End(
                [], (Fault(load.path, 0, "", f"the process that reads it failed: {error}"),), {})
        finally:
            if process is not None and process.returncode is None:
                process.kill()
        self._do(self.changes.ended(self.loop.time(), load.number, table, end.faults, end.files))

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.running.values()):
            task.cancel()
