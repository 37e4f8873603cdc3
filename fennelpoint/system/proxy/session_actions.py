"""Actions that a proxy's session with the core (`core_session`) returns to its program, and the grant it holds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ApplyConfig:
    """Apply this configuration, and tell the session whether it is in force; `data` is its compressed content."""

    version: int
    digest: str
    data: bytes


@dataclass(slots=True)
class RefreshBackends:
    """The backend list or the set of evacuated zones has changed."""


@dataclass(slots=True)
class LeaseChanged:
    """The lease was obtained, or it has expired for this reason."""

    has_lease: bool
    reason: str = ""


@dataclass(slots=True)
class ProxyGrant:
    """Shares granted to this proxy: thousandths of quotas by tenant and of the retry budget's slack, and rates.

    `cold_rates` are attempts per second by backend in cold start; `term` and `number` identify the grant, where
    number 0 stands for none.
    """

    term: list = field(default_factory=lambda: [0, ""])
    number: int = 0
    quotas: dict[str, int] = field(default_factory=dict)
    cold_rates: dict[str, int] = field(default_factory=dict)
    slack: int = 0
    expires_at: float = -1e9


@dataclass(slots=True)
class GrantChanged:
    """`CoreSession.grant` has been replaced, or has expired."""


@dataclass(slots=True)
class GrantExtended:
    """`CoreSession.grant` is valid for longer, until its new `expires_at`."""


@dataclass(slots=True)
class UnitsReceived:
    """Units of pooled quotas by tenant, valid until `expires_at`, and those that were denied."""

    granted: dict[str, int]
    denied: dict[str, int]
    briefly_short: list[str]  # tenants in `denied` whose pool refills within moments
    expires_at: float
