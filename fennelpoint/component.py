"""The interface between a running ingress and its optional components."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from fennelpoint import interface as api
from fennelpoint.lifecycle import LifeCycle


class IngressContext(Protocol):
    """What a component may use of its ingress."""

    loop: asyncio.AbstractEventLoop
    config: Any             # what the ingress was started with, checked
    host: Any               # drives the decision module: `post`, `controller`, `may_send`, `cells`
    server: Any             # the client side: `listen`, `reader`, `descriptor_plan`, `connections`
    backends: Any           # the upstream connection pools
    discovery: Any          # the list of backends: `known_addresses`
    life_cycle: LifeCycle
    components: dict[str, Component]    # those that are enabled, by name
    check_shutdown: Callable[[], None]  # carries out the steps that are due
    has_list: bool          # there is a list of backends
    operator_path: str

    def heartbeat_state(self) -> tuple[str, bool]:
        """Return the state for the heartbeat, and whether the counter that quotas depend on is available."""

    def set_ready(self) -> None:
        """Become ready if there is a list and no component blocks readiness."""


class Component:
    """Called by the ingress; a component overrides the methods that it needs."""

    blocks_readiness = False    # clients should not be sent here yet
    has_successor = False       # another process serves at the same address

    async def start(self) -> None:
        """Called after the start of the ingress's own listener and before that of discovery."""

    def follow(self, roster: api.Roster) -> None:
        """Called with a list of backends or its changes, before the decision module gets it."""

    def reload(self) -> None:
        """Called on SIGHUP; a file that cannot be used changes nothing."""

    def sweep(self) -> None:
        """Called every quarter of a second."""

    def finish(self) -> None:
        """Called when all requests are answered, before the process ends."""

    def close(self) -> None:
        """Close all sockets."""
