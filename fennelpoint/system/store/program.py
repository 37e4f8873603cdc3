"""The store process: sockets, disk and clock around `replica.Replica`."""

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
from fennelpoint.system.store.replica import KEY, REGISTRY, DiskSynced, LogEvent, Replica, Save, SaveContent, Send

TICK_S = 0.02


class Program:
    """Executes the replica's actions, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings) -> None:
        self.loop, self.settings, me = loop, settings, settings.ip_address
        self.disk = Disk(Path(settings.data_directory or "/tmp") / "writ", me, exclusive=True)
        self.contents: dict[str, bytes] = {}    # cache of contents on disk, by digest
        self.mesh = Mesh(loop, "writ", me, settings.internal_ports, self.receive, self.connection_changed)
        self.replica = Replica(me, settings.availability_zone, settings.zones, settings.seeds, self.disk.acceptor,
                               settings.first_start and me in settings.seeds, self.content, Random(),
                               time.monotonic())
        self.replica.leaving.timeout_s = shutdown_timeout(settings.rule_bounds.grace_period_s)
        self.stopped = loop.create_future()

    def content(self, digest: str) -> bytes | None:
        """The content on disk with this digest."""
        if digest not in self.contents and (data := self.disk.content(digest)) is not None:
            self.contents[digest] = data
        return self.contents.get(digest)

    async def start(self) -> None:
        """Opens the sockets and starts the timers."""
        await self.mesh.start()
        self._tick()

    def _tick(self) -> None:
        self.loop.call_later(TICK_S, self._tick)
        self.execute(self.replica.tick(time.monotonic()))
        if self.replica.can_exit(time.monotonic()) and not self.stopped.done():
            self.stopped.set_result(None)
        self.mesh.dial({peer_name("writ", ip) for ip in self.replica.peers}
                       | {peer_name("roll", self.settings.ip_address)})

    def receive(self, peer: str, message: list) -> None:
        """Handles a message of another replica or of the local registry; ignores any other sender."""
        is_local_registry = peer == peer_name("roll", self.settings.ip_address)
        if peer.startswith("writ@") or is_local_registry:
            self.execute(self.replica.receive(REGISTRY if is_local_registry else ip_of(peer), message,
                                              time.monotonic()))

    def connection_changed(self, peer: str, is_connected: bool) -> None:
        """Handles a connection that came up or went down; only connections to other replicas matter."""
        if peer.startswith("writ@"):
            self.execute(self.replica.connection_changed(ip_of(peer), is_connected, time.monotonic()))

    def execute(self, actions: list) -> None:
        """Executes actions up to the first failed write, so that no message reveals what is not on disk."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.mesh.send(peer_name("roll", self.settings.ip_address) if to == REGISTRY
                                   else peer_name("writ", to), message)
                case LogEvent(event, fields):
                    log_event(Event[event], **fields)
                case Save() | SaveContent():
                    try:
                        self._save(action)
                    except (sqlite3.Error, OSError) as error:
                        if not self.replica.disk_error:
                            log_event(Event.DISK, step=type(action).__name__, reason=error)
                        self.disk.rollback()
                        self.replica.disk_failed(str(error))
                        return
                case DiskSynced():
                    self.replica.disk_recovered()

    def _save(self, action: Save | SaveContent) -> None:
        if isinstance(action, SaveContent):
            for evicted in self.disk.add_content(action.digest, action.data, time.time(), action.retained):
                self.contents.pop(evicted, None)    # a content that is reported as stored must be on disk
            self.contents[action.digest] = action.data
            while len(self.contents) > 8:
                self.contents.pop(next(iter(self.contents)))
        elif action.is_full:
            self.disk.replace_state(action.acceptor)
        else:
            self.disk.save(action.acceptor, KEY if action.has_register else None)

    def reload(self, settings: Settings) -> None:
        """Applies changed settings while running: only additional seeds take effect."""
        self.replica.peers.update(set(settings.seeds) - {settings.ip_address})

    def stop(self) -> None:
        """Begins a graceful shutdown; the tick resolves `stopped` once it is complete."""
        self.execute(self.replica.leave(time.monotonic()))

    def close(self) -> None:
        self.mesh.close()
        self.disk.close()
