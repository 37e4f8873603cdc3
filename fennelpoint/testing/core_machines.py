"""The machines of a simulated core: what `core_simulation` plays."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.fleet.register import Acceptor
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.registry.state_machine import RegistryStateMachine
from fennelpoint.system.store.replica import Replica


class Broken(AssertionError):
    """A rule or an expectation that does not hold, with the time."""


@dataclass(eq=False)
class Caller:
    """Who waits for an answer, as a connection would."""

    is_lost: bool = False
    is_closed_by_caller: bool = False


@dataclass(eq=False)
class Core:
    """One core machine: both its processes, and what its disk holds."""

    ip: str
    zone: str
    region: str
    up: bool = False
    disk: Acceptor | None = None
    contents: dict[str, bytes] = field(default_factory=dict)
    rows: dict[str, list] = field(default_factory=dict)
    store: Replica | None = None
    registry: RegistryStateMachine | None = None
    full: bool = False  # the disk refuses writes
    registry_gone: bool = False  # its registry has left


@dataclass(eq=False)
class Front:
    """One front, and what was asked and drawn there."""

    ip: str
    zone: str
    region: str
    up: bool = False
    session: CoreSession | None = None
    version: int = 0
    asked: dict[str, float] = field(default_factory=dict)  # a second, by tenant
    drawn: dict[str, list[int]] = field(default_factory=dict)  # units that came, and that were denied, by tenant


@dataclass(eq=False)
class Backend:
    """One backend that beats."""

    id: str
    service: str
    zone: str
    state: str = "ready"
    seq: int = 0
    at: float = 0.0
    turn: int = 0
    home: str = ""  # where it was told to beat; holds until a beat fails there
    cold: float = 0.0
    acked: float | None = None  # when its drain was acknowledged
