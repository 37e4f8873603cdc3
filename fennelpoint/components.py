"""Optional parts of a running ingress: each is made, started, told, reloaded and closed by one seam.

A new part is one function here and one line in `MAKERS`.  A part's modules are loaded only where its file or
its setting turns it on.
"""

from __future__ import annotations

from collections.abc import Callable

from fennelpoint.component import Carrier, Part


def _door(ingress: Carrier) -> Part | None:
    """The operators' door."""
    config = ingress.config
    if config.door is None:
        return None
    from fennelpoint.file_descriptors import plan
    from fennelpoint.net.admin_socket import AdminSocket

    def stand() -> str:
        return f": {len(ingress.server.connections)} connections, {ingress.host.waiting} requests open"

    return AdminSocket(ingress.loop, config.door, ingress.life, config.name, plan(config.sockets).callers,
                ingress.look, stand)


def _cells(ingress: Carrier) -> Part | None:
    """Agencies confined to cells, where the operator file names a plan."""
    if ingress.config.cells is None:
        return None
    from fennelpoint.cells.service import CellsService

    made = ingress.host.cells = CellsService(ingress.config.operator.cells.plan, ingress.config.cells,
                                             ingress.config.settings.zones, ingress.host.post)
    return made


def _routes(ingress: Carrier) -> Part | None:
    """Requests read by a description, where the operator file names one."""
    config = ingress.config
    if config.operator is None or (routes := config.operator.routes) is None:
        return None
    from fennelpoint.net.route_matching import RoutesComponent

    return RoutesComponent(ingress, routes)


def _announce(ingress: Carrier) -> Part | None:
    """The word to the announcer beside it."""
    if ingress.config.operator is None or (announce := ingress.config.operator.announce) is None:
        return None
    from fennelpoint.net.discovery import parse_address
    from fennelpoint.net.heartbeat import Heartbeat

    return Heartbeat(ingress.loop, parse_address(announce.beat_listen, "beat_listen"), ingress.word)


def _twins(ingress: Carrier) -> Part | None:
    """The other processes of this ingress, where the platform holds its socket."""
    if ingress.config.inherited is None or not ingress.config.folder:
        return None
    from fennelpoint.net.process_group import ProcessGroup

    return ProcessGroup.create(ingress)


def _fleet(ingress: Carrier) -> Part | None:
    """A licence for the fleet's version, where the operator file has a fleet section."""
    if ingress.config.operator is None or (section := ingress.config.operator.fleet) is None:
        return None
    from fennelpoint.fleet.component import FleetComponent

    return FleetComponent(ingress, section)


MAKERS: dict[str, Callable[[Carrier], Part | None]] = {
    "door": _door, "cells": _cells, "routes": _routes, "announce": _announce, "twins": _twins,
    "fleet": _fleet}


def make_parts(ingress: Carrier) -> dict[str, Part]:
    """The parts that are on, by name, in the order in which they start."""
    made = {name: make(ingress) for name, make in MAKERS.items()}
    return {name: part for name, part in made.items() if part is not None}
