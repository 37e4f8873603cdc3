"""Optional parts of a running ingress: each is made, started, told, reloaded and closed by one seam.

A new part is one function here and one line in `MAKERS`.  A part's modules are loaded only where its file or
its setting turns it on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from fennelpoint import interface as api

if TYPE_CHECKING:
    from fennelpoint.__main__ import Ingress


class Part:
    """What the ingress calls; a part overrides what it needs."""

    holds = False       # clients are not to come yet
    relieved = False    # another process serves at our address

    async def start(self) -> None:
        """After the ingress's own listener, before discovery."""

    def follow(self, roster: api.Roster) -> None:
        """A list of backends or its changes, before the module hears of it."""

    def reload(self) -> None:
        """SIGHUP; what can't be used changes nothing."""

    def sweep(self) -> None:
        """Each quarter of a second."""

    def finish(self) -> None:
        """All is answered; the process ends next."""

    def close(self) -> None:
        """Leave every socket."""


def _door(ingress: Ingress) -> Part | None:
    """The operators' door."""
    config = ingress.config
    if config.door is None:
        return None
    from fennelpoint.descriptors import plan
    from fennelpoint.net.door import Door

    def stand() -> str:
        return f": {len(ingress.server.connections)} connections, {ingress.host.waiting} requests open"

    return Door(ingress.loop, config.door, ingress.life, config.name, plan(config.sockets).callers,
                ingress.look, stand)


def _cells(ingress: Ingress) -> Part | None:
    """Agencies confined to cells, where the operator file names a plan."""
    if ingress.config.cells is None:
        return None
    from fennelpoint.cells.service import CellsService

    made = ingress.host.cells = CellsService(ingress.config.operator.cells.plan, ingress.config.cells,
                                             ingress.config.settings.zones, ingress.host.post)
    return made


def _routes(ingress: Ingress) -> Part | None:
    """Requests read by a description, where the operator file names one."""
    config = ingress.config
    if config.operator is None or (routes := config.operator.routes) is None:
        return None
    from fennelpoint.net.routed import RoutesPart

    return RoutesPart(ingress, routes)


def _announce(ingress: Ingress) -> Part | None:
    """The word to the announcer beside it."""
    if ingress.config.operator is None or (announce := ingress.config.operator.announce) is None:
        return None
    from fennelpoint.net.beat import Beat
    from fennelpoint.net.discovery import parse_address

    return Beat(ingress.loop, parse_address(announce.beat_listen, "beat_listen"), ingress.word)


def _twins(ingress: Ingress) -> Part | None:
    """The other processes of this ingress, where the platform holds its socket."""
    if ingress.config.inherited is None or not ingress.config.folder:
        return None
    from fennelpoint.net.twins import TwinsPart

    return TwinsPart.made(ingress)


def _fleet(ingress: Ingress) -> Part | None:
    """A licence for the fleet's version, where the operator file has a fleet section."""
    if ingress.config.operator is None or (section := ingress.config.operator.fleet) is None:
        return None
    from fennelpoint.fleet.part import FleetPart

    return FleetPart(ingress, section)


MAKERS: dict[str, Callable[[Ingress], Part | None]] = {
    "door": _door, "cells": _cells, "routes": _routes, "announce": _announce, "twins": _twins,
    "fleet": _fleet}


def make_parts(ingress: Ingress) -> dict[str, Part]:
    """The parts that are on, by name, in the order in which they start."""
    made = {name: make(ingress) for name, make in MAKERS.items()}
    return {name: part for name, part in made.items() if part is not None}
