"""The process of the store: sockets, disk and clock round `replica.Store`."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from pathlib import Path
from random import Random

from fennelpoint.fleet.store import Store as Disk
from fennelpoint.system.events import Event, log_event
from fennelpoint.system.graceful_shutdown import shutdown_timeout
from fennelpoint.system.mesh import Mesh, ip_of, peer_name
from fennelpoint.system.settings import Settings
from fennelpoint.system.store.replica import KEY, ROLL, LogEvent, Save, SaveContent, Send, Store, Whole

TICK = 0.02     # s


class Program:
    """Carries out what the decider says, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings) -> None:
        self.loop, self.settings, me = loop, settings, settings.ip_address
        self.disk = Disk(Path(settings.data_directory or "/tmp") / "writ", me, alone=True)
        self.contents: dict[str, bytes] = {}
        self.mesh = Mesh(loop, "writ", me, settings.internal_ports, self.take, self.linked)
        self.store = Store(me, settings.availability_zone, settings.zones, settings.seeds, self.disk.keeper,
                           settings.first_start and me in settings.seeds, self.content, Random(), time.monotonic())
        self.store.leaving.timeout_s = shutdown_timeout(settings.rule_bounds.grace_period_s)
        self.stopped = loop.create_future()

    def content(self, digest: str) -> bytes | None:
        if digest not in self.contents and (data := self.disk.content(digest)) is not None:
            self.contents[digest] = data
        return self.contents.get(digest)

    async def start(self) -> None:
        await self.mesh.start()
        self._tick()

    def _tick(self) -> None:
        self.loop.call_later(TICK, self._tick)
        self.carry_out(self.store.tick(time.monotonic()))
        if self.store.gone(time.monotonic()) and not self.stopped.done():
            self.stopped.set_result(None)
        self.mesh.dial({peer_name("writ", ip) for ip in self.store.peers}
                       | {peer_name("roll", self.settings.ip_address)})

    def take(self, peer: str, message: list) -> None:
        own = peer == peer_name("roll", self.settings.ip_address)
        if peer.startswith("writ@") or own:
            self.carry_out(self.store.heard(ROLL if own else ip_of(peer), message, time.monotonic()))

    def linked(self, peer: str, up: bool) -> None:
        if peer.startswith("writ@"):
            self.carry_out(self.store.linked(ip_of(peer), up, time.monotonic()))

    def carry_out(self, actions: list) -> None:
        """Guards what is said: once a write fails, nothing that comes after it goes out."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.mesh.send(peer_name("roll", self.settings.ip_address) if to == ROLL
                                   else peer_name("writ", to), message)
                case LogEvent(event, fields):
                    log_event(Event[event], **fields)
                case Save() | SaveContent():
                    try:
                        self._save(action)
                    except (sqlite3.Error, OSError) as error:
                        if not self.store.ill:
                            log_event(Event.DISK, step=type(action).__name__, reason=error)
                        self.disk.undo()
                        self.store.sick(str(error))
                        return
                case Whole():
                    self.store.well()

    def _save(self, action: Save | SaveContent) -> None:
        if isinstance(action, SaveContent):
            for gone in self.disk.add_content(action.digest, action.data, time.time(), action.needed):
                self.contents.pop(gone, None)   # what is told to be stored is on disk
            self.contents[action.digest] = action.data
            while len(self.contents) > 8:
                self.contents.pop(next(iter(self.contents)))
        elif action.whole:
            self.disk.begin(action.keeper)
        else:
            self.disk.keep(action.keeper, KEY if action.cell else None)

    def reload(self, settings: Settings) -> None:
        self.store.peers.update(set(settings.seeds) - {settings.ip_address})

    def stop(self) -> None:
        """Leave in order; the tick tells when that is done."""
        self.carry_out(self.store.leave(time.monotonic()))

    def close(self) -> None:
        self.mesh.close()
        self.disk.close()
