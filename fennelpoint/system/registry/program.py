"""The process of the registry: sockets and clock round `state_machine.Desk`."""

from __future__ import annotations

import asyncio
import secrets
import time

from fennelpoint.invariants import violations
from fennelpoint.system.actions import Violation
from fennelpoint.system.events import Event, say
from fennelpoint.system.http_server import Asking, Reply, Web
from fennelpoint.system.mesh import Mesh, name
from fennelpoint.system.registry.state_machine import Answer, Desk, Note, Save, Send
from fennelpoint.system.registry.storage import Disk
from fennelpoint.system.settings import Settings

TICK = 0.05     # s


class Program:
    """Carries out what the decider says, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings) -> None:
        self.loop, self.settings = loop, settings
        listen = settings.listen_addresses
        self.desk = Desk(settings.ip_address, settings.availability_zone, settings.region, settings.zones,
                         settings.seeds, listen.control_plane[1], settings.rule_bounds, settings.heartbeat_s,
                         secrets.randbits(40), settings.first_start, time.monotonic())
        self.disk = Disk(settings.data_directory)
        self.desk.restore(self.disk.rows, time.monotonic())
        self.mesh = Mesh(loop, "roll", settings.ip_address, settings.internal_ports, self.take, self.linked,
                         refused=self.refused)
        self.web = Web(loop, self.call)
        self.stopped = loop.create_future()

    async def start(self) -> None:
        await self.mesh.start()
        listen = self.settings.listen_addresses
        await self.web.listen("control_plane", listen.control_plane)
        if listen.directory_service is not None:
            await self.web.listen("directory_service", listen.directory_service)
        self._tick()

    def _tick(self) -> None:
        self.loop.call_later(TICK, self._tick)
        self.carry_out(self.desk.tick(time.monotonic()))
        if self.desk.gone(time.monotonic()) and not self.stopped.done():
            self.stopped.set_result(None)
        self.mesh.dial({*self.desk.others, name("writ", self.settings.ip_address)})

    def take(self, peer: str, message: list) -> None:
        self.carry_out(self.desk.heard(peer, message, time.monotonic()))

    def linked(self, peer: str, up: bool) -> None:
        self.carry_out(self.desk.linked(peer, up, time.monotonic()))

    def refused(self, peer: str, dialled_at: float) -> None:
        self.carry_out(self.desk.refused(peer, dialled_at, time.monotonic()))

    def call(self, asking: Asking) -> None:
        try:
            self.carry_out(self.desk.call(asking, time.monotonic()))
        except Exception as error:
            say(Event.CRASHED, where=asking.call.name, reason=repr(error))
            asking.answer(Reply(503))

    def carry_out(self, actions: list) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self.mesh.send(to, message)
                case Save(rows, forgotten):
                    self.disk.save(rows, forgotten)
                case Answer(asking, reply):
                    asking.answer(reply)
                case Note(event, fields):
                    say(Event[event], **fields)
                case Violation(invariant, detail):
                    violations.record(invariant, detail)

    def reload(self, settings: Settings) -> None:
        self.desk.seeds = settings.seeds

    def stop(self) -> None:
        """Leave in order; the tick tells when that is done."""
        self.carry_out(self.desk.leave(time.monotonic()))

    def close(self) -> None:
        self.mesh.close()
        self.disk.close()
        self.web.close()
