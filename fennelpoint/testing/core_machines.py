"""State of the machines in `core_simulation`."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.fleet.register import Acceptor
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.registry.state_machine import RegistryStateMachine
from fennelpoint.system.store.replica import Replica


class CheckFailed(AssertionError):
    """An invariant or an expectation does not hold; the message begins with the simulated time."""


@dataclass(eq=False)
class Caller:
    """Stands in for the connection on which a call came in."""

    is_lost: bool = False
    is_closed_by_caller: bool = False


@dataclass(eq=False)
class CoreMachine:
    """A core machine: its store and registry processes, and the contents of its disk."""

    ip: str
    zone: str
    region: str
    is_running: bool = False
    saved_acceptor: Acceptor | None = None
    contents: dict[str, bytes] = field(default_factory=dict)  # on disk, by digest
    saved_rows: dict[str, list] = field(default_factory=dict)  # of the registry, by id
    store: Replica | None = None
    registry: RegistryStateMachine | None = None
    is_disk_full: bool = False
    has_registry_exited: bool = False


@dataclass(eq=False)
class ProxyMachine:
    """A proxy machine, and the quota units that it requested."""

    ip: str
    zone: str
    region: str
    is_running: bool = False
    session: CoreSession | None = None
    version: int = 0  # of the configuration in force
    request_rates: dict[str, float] = field(default_factory=dict)  # per second, by tenant
    unit_counts: dict[str, list[int]] = field(default_factory=dict)  # by tenant: units received, units denied


@dataclass(eq=False)
class Backend:
    """A backend that sends heartbeats."""

    id: str
    service: str
    zone: str
    state: str = "ready"
    sequence: int = 0
    next_heartbeat_at: float = 0.0
    next_core: int = 0  # index of the core machine that is next in turn
    heartbeat_core: str = ""  # the core machine assigned to it, until a heartbeat fails there
    cold_until: float = 0.0
    acknowledged_at: float | None = None  # when its drain or departure was acknowledged
