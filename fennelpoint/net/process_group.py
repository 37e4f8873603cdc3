"""This process's part among those of its ingress, on sockets: steps of `restart_coordination.py` carried out."""

from __future__ import annotations

import time

from fennelpoint import interface as api
from fennelpoint.component import Carrier, Part
from fennelpoint.file_descriptors import plan
from fennelpoint.handover import attach, final_snapshot, snapshot
from fennelpoint.net.hot_restart import Relay
from fennelpoint.rate_limited_log import log
from fennelpoint.restart_coordination import Give, Serve, Share, Succession, Take

TURN = 0.05     # s between looks at a predecessor, until we serve; then each sweep


class TwinsPart(Part):
    """Looks who lives, shares out, tells and takes; holds clients back until it may serve."""

    def __init__(self, ingress: Carrier, relay: Relay) -> None:
        self.ingress, self.relay, self.holds = ingress, relay, True
        self.turn = Succession(relay.generation, relay.living(), time.monotonic())
        attach(ingress.host.controller)

    @classmethod
    def made(cls, ingress: Carrier) -> TwinsPart | None:
        """None, and a line that says why, where the folder that they share can't be used."""
        config = ingress.config
        try:
            return cls(ingress, Relay(config.folder, config.name, "{}:{}".format(*config.listen)))
        except OSError as error:
            log.error("%s has no word for other processes: %s: %s", config.name, error.filename,
                      error.strerror)

    @property
    def relieved(self) -> bool:
        return (newer := self.turn.successor) is not None and self.relay.one_serves(newer)

    async def start(self) -> None:
        log.info("%s is generation %d", self.ingress.config.name, self.relay.generation)
        self._turn()

    def sweep(self) -> None:
        if self.turn.serving:
            self._turn()

    def _turn(self) -> None:
        """What is due among the processes of this ingress."""
        ingress, turn, relay, before = self.ingress, self.turn, self.relay, {self.turn.predecessor} - {None}
        steps = turn.look(relay.living(), {g for g in before if relay.has(g, False)},
                          {g for g in before if relay.has(g, True)}, ingress.listed, time.monotonic())
        for step in steps:
            if isinstance(step, Share):
                room = plan(ingress.config.sockets, step.parts)
                ingress.server.room, ingress.backends.most = room, room.upstream
                ingress.host.post(api.ProcessCount(step.parts))
            elif isinstance(step, Give):
                relay.write(step.generation, snapshot(ingress.host.controller, step.parts))
                log.info("%s told generation %d", ingress.config.name, step.generation)
            elif isinstance(step, Take):
                if (state := relay.read(step.generation, step.last)) is not None:
                    ingress.host.post(api.PredecessorState(state))
            elif isinstance(step, Serve):
                task = ingress.loop.create_task(ingress.server.listen(ingress.config.inherited))
                task.add_done_callback(lambda task: self._serve())
        if not turn.serving:
            ingress.loop.call_later(TURN, self._turn)

    def _serve(self) -> None:
        self.relay.serves()
        self.holds = False
        self.ingress.set_ready()

    def finish(self) -> None:
        if (newer := self.turn.successor) is not None:
            self.relay.write(newer, final_snapshot(self.ingress.host.controller), last=True)

    def close(self) -> None:
        self.relay.close()
