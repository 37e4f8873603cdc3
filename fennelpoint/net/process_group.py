"""Carries out the steps of `restart_coordination.py` for this process, one of several that serve one ingress."""

from __future__ import annotations

import time

from fennelpoint import interface as api
from fennelpoint.component import Component, IngressContext
from fennelpoint.file_descriptors import plan
from fennelpoint.handover import attach, final_snapshot, snapshot
from fennelpoint.net.hot_restart import GenerationRegistry
from fennelpoint.rate_limited_log import log
from fennelpoint.restart_coordination import ApplyState, RestartCoordinator, SendState, SetProcessCount, StartServing

POLL_INTERVAL_S = 0.05  # between checks of the predecessor until this process serves; then checked at each sweep


class ProcessGroup(Component):
    """Detects live generations, splits quotas and descriptors, and hands state over; delays serving until allowed."""

    def __init__(self, ingress: IngressContext, registry: GenerationRegistry) -> None:
        self.ingress, self.registry, self.blocks_readiness = ingress, registry, True
        self.succession = RestartCoordinator(registry.generation, registry.live_generations(), time.monotonic())
        attach(ingress.host.controller)

    @classmethod
    def create(cls, ingress: IngressContext) -> ProcessGroup | None:
        """Return None and log the reason if the shared folder is not usable."""
        config = ingress.config
        try:
            return cls(ingress, GenerationRegistry(config.shared_folder, config.name, "{}:{}".format(*config.listen)))
        except OSError as error:
            log.error("%s can't coordinate with other processes: %s: %s", config.name, error.filename,
                      error.strerror)

    @property
    def has_successor(self) -> bool:
        return (newer := self.succession.successor) is not None and self.registry.is_serving(newer)

    async def start(self) -> None:
        log.info("%s is generation %d", self.ingress.config.name, self.registry.generation)
        self._advance()

    def sweep(self) -> None:
        if self.succession.is_serving:
            self._advance()

    def _advance(self) -> None:
        """Carry out the steps that are due."""
        ingress, succession, registry, predecessors = (
            self.ingress, self.succession, self.registry, {self.succession.predecessor} - {None})
        steps = succession.due_steps(
            registry.live_generations(), {g for g in predecessors if registry.has_record(g, False)},
            {g for g in predecessors if registry.has_record(g, True)}, ingress.has_list, time.monotonic())
        for step in steps:
            if isinstance(step, SetProcessCount):
                descriptor_plan = plan(ingress.config.descriptor_limit, step.processes)
                ingress.server.descriptor_plan, ingress.backends.max_connections = (
                    descriptor_plan, descriptor_plan.upstream)
                ingress.host.post(api.ProcessCount(step.processes))
            elif isinstance(step, SendState):
                registry.write_record(step.generation, snapshot(ingress.host.controller, step.processes))
                log.info("%s handed its state over to generation %d", ingress.config.name, step.generation)
            elif isinstance(step, ApplyState):
                if (state := registry.read_record(step.generation, step.is_final)) is not None:
                    ingress.host.post(api.PredecessorState(state))
            elif isinstance(step, StartServing):
                task = ingress.loop.create_task(ingress.server.listen(ingress.config.inherited_socket))
                task.add_done_callback(lambda task: self._start_serving())
        if not succession.is_serving:
            ingress.loop.call_later(POLL_INTERVAL_S, self._advance)

    def _start_serving(self) -> None:
        self.registry.mark_serving()
        self.blocks_readiness = False
        self.ingress.set_ready()

    def finish(self) -> None:
        if (newer := self.succession.successor) is not None:
            self.registry.write_record(newer, final_snapshot(self.ingress.host.controller), is_last=True)

    def close(self) -> None:
        self.registry.close()
