"""What a front's session with the core (`core_session`) has its process do, and the parts that it may use."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Apply:
    """Go by this configuration from now on."""

    version: int
    data: bytes


@dataclass(slots=True)
class Refresh:
    """The list or the evacuated zones have changed."""


@dataclass(slots=True)
class Hold:
    """Whether there is a lease from now on."""

    held: bool
    reason: str = ""


@dataclass(slots=True)
class Parts:
    """What this front may use: thousandths of quotas by tenant and of the budget's slack, tries by cold backend."""

    term: list = field(default_factory=lambda: [0, ""])
    number: int = 0
    quotas: dict[str, int] = field(default_factory=dict)
    cold: dict[str, int] = field(default_factory=dict)
    slack: int = 0
    until: float = -1e9


@dataclass(slots=True)
class Lend:
    """Go by these parts from now on; they are in `CoreSession.parts`."""


@dataclass(slots=True)
class Extend:
    """The parts in `CoreSession.parts` stay in force for longer, until `CoreSession.parts.until`."""


@dataclass(slots=True)
class Units:
    """Units of quotas that were drawn, by tenant, good until then; and those that are not there."""

    given: dict[str, int]
    denied: dict[str, int]
    soon: list[str]  # of these, tenants that are short for a moment only
    until: float
