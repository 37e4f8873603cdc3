"""The optional components of a running ingress, all created, started, reloaded and closed in the same way.

A new component takes one function here and one line in `FACTORIES`.  A component's modules are imported only if a
file or a setting enables it.
"""

from __future__ import annotations

from collections.abc import Callable

from fennelpoint.component import Component, IngressContext


def _admin_socket(ingress: IngressContext) -> Component | None:
    """The admin socket."""
    config = ingress.config
    if config.admin_address is None:
        return None
    from fennelpoint.file_descriptors import plan
    from fennelpoint.net.admin_socket import AdminSocket

    def summary() -> str:
        return f": {len(ingress.server.connections)} connections, {ingress.host.unanswered_count} requests open"

    return AdminSocket(ingress.loop, config.admin_address, ingress.life_cycle, config.name,
                plan(config.descriptor_limit).admin_callers, ingress.check_shutdown, summary)


def _cells(ingress: IngressContext) -> Component | None:
    """Confinement of agencies to cells, if the operator file names a plan."""
    if ingress.config.cell_plan is None:
        return None
    from fennelpoint.cells.service import CellsService

    service = ingress.host.cells = CellsService(ingress.config.operator.cells.plan, ingress.config.cell_plan,
                                             ingress.config.settings.zones, ingress.host.post)
    return service


def _routes(ingress: IngressContext) -> Component | None:
    """Parsing of requests by an API description, if the operator file names one."""
    config = ingress.config
    if config.operator is None or (routes := config.operator.routes) is None:
        return None
    from fennelpoint.net.route_matching import RoutesComponent

    return RoutesComponent(ingress, routes)


def _heartbeat(ingress: IngressContext) -> Component | None:
    """The heartbeat to the announcer on this machine."""
    if ingress.config.operator is None or (announce := ingress.config.operator.announce) is None:
        return None
    from fennelpoint.net.discovery import parse_address
    from fennelpoint.net.heartbeat import Heartbeat

    return Heartbeat(ingress.loop, parse_address(announce.beat_listen, "beat_listen"), ingress.heartbeat_state)


def _process_group(ingress: IngressContext) -> Component | None:
    """Coordination with the other processes of this ingress, if the platform holds its socket."""
    if ingress.config.inherited_socket is None or not ingress.config.shared_folder:
        return None
    from fennelpoint.net.process_group import ProcessGroup

    return ProcessGroup.create(ingress)


def _fleet(ingress: IngressContext) -> Component | None:
    """A lease on the fleet's version, if the operator file has a fleet section."""
    if ingress.config.operator is None or (section := ingress.config.operator.fleet) is None:
        return None
    from fennelpoint.fleet.component import FleetComponent

    return FleetComponent(ingress, section)


FACTORIES: dict[str, Callable[[IngressContext], Component | None]] = {
    "door": _admin_socket, "cells": _cells, "routes": _routes, "announce": _heartbeat, "twins": _process_group,
    "fleet": _fleet}


def create_components(ingress: IngressContext) -> dict[str, Component]:
    """Return the components that are enabled, by name, in the order in which they start."""
    created = {name: create(ingress) for name, create in FACTORIES.items()}
    return {name: component for name, component in created.items() if component is not None}
