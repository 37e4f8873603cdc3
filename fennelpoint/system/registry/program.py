"""The registry process: sockets, disk and clock for `state_machine.RegistryStateMachine`."""

from __future__ import annotations

import asyncio
import secrets
import time

from fennelpoint.invariants import violations
from fennelpoint.system.actions import Violation
from fennelpoint.system.events import Event, log_event
from fennelpoint.system.http_server import ApiRequest, HttpServer, Reply
from fennelpoint.system.mesh import Mesh, peer_name
from fennelpoint.system.registry.state_machine import Answer, LogEvent, RegistryStateMachine, Save, Send
from fennelpoint.system.registry.storage import BackendStorage
from fennelpoint.system.settings import Settings

TICK_S = 0.05


class Program:
    """Feeds events to the state machine and carries out its actions in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings) -> None:
        self.loop, self.settings = loop, settings
        listen = settings.listen_addresses
        self.registry = RegistryStateMachine(
            settings.ip_address, settings.availability_zone, settings.region, settings.zones, settings.seeds,
            listen.control_plane[1], settings.rule_bounds, settings.heartbeat_s, secrets.randbits(40),
            settings.first_start, time.monotonic())
        self.storage = BackendStorage(settings.data_directory)
        self.registry.restore(self.storage.rows, time.monotonic())
        self.mesh = Mesh(loop, "roll", settings.ip_address, settings.internal_ports, self.on_message, self.on_link,
                         on_refused=self.on_connection_refused)
        self.web = HttpServer(loop, self.on_call)
        self.stopped = loop.create_future()

    async def start(self) -> None:
        await self.mesh.start()
        listen = self.settings.listen_addresses
        await self.web.listen("control_plane", listen.control_plane)
        if listen.directory_service is not None:
            await self.web.listen("directory_service", listen.directory_service)
        self._tick()

    def _tick(self) -> None:
        self.loop.call_later(TICK_S, self._tick)
        self.execute(self.registry.tick(time.monotonic()))
        if self.registry.is_shutdown_complete(time.monotonic()) and not self.stopped.done():
            self.stopped.set_result(None)
        self.mesh.dial({*self.registry.other_registries, peer_name("writ", self.settings.ip_address)})

    def on_message(self, peer: str, message: list) -> None:
        self.execute(self.registry.on_message(peer, message, time.monotonic()))

    def on_link(self, peer: str, up: bool) -> None:
        self.execute(self.registry.on_link(peer, up, time.monotonic()))

    def on_connection_refused(self, peer: str, dialled_at: float) -> None:
        self.execute(self.registry.on_connection_refused(peer, dialled_at, time.monotonic()))

    def on_call(self, request: ApiRequest) -> None:
        try:
            self.execute(self.registry.on_call(request, time.monotonic()))
        except Exception as error:
            log_event(Event.CRASHED, where=request.call.name, reason=repr(error))
            request.answer(Reply(503))

    def execute(self, actions: list) -> None:
        """Carry out actions of the state machine, in their order."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.mesh.send(to, message)
                case Save(rows, forgotten_ids):
                    self.storage.save(rows, forgotten_ids)
                case Answer(request, reply):
                    request.answer(reply)
                case LogEvent(event, fields):
                    log_event(Event[event], **fields)
                case Violation(invariant, detail):
                    violations.record(invariant, detail)

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time."""
        self.registry.seeds = settings.seeds

    def stop(self) -> None:
        """Begin a graceful shutdown; `stopped` is set at a tick once it is complete."""
        self.execute(self.registry.begin_shutdown(time.monotonic()))

    def close(self) -> None:
        self.mesh.close()
        self.storage.close()
        self.web.close()
