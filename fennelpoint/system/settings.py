"""The settings file of one process: lines `a.b=value`, read once.

Times are seconds.  Fields that are not known are ignored; a fault names file, field and reason in one line.  The
same file is described to operators by the pydantic model of `settings_schema.py`, which `larchwing-system check` goes
by and a test holds equal to this: a process that starts does not load it (see docs/design/system.md, what gave way).
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from math import inf
from pathlib import Path

from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

BOOT = "LARCHWING_BOOT"
Address = tuple[str, int]
LISTS = ("served_roles", "seed_nodes", "rule_contracts", "internal_ports")
KEPT_BY_LEASE = ("config_apply_s", "revocation_s", "evacuation_s", "drain_deadline_s")
CLOCK_RATES = 0.02      # share by which the steady clocks of two machines may differ in speed
LEAST_LEASE = 0.8       # s: an ask each half second, the core's pause between two reads, and the way there and back


def address(text: str) -> Address:
    """`ip:port` as a pair; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Listen:
    public_http: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None
    directory_service: Address | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    memory_mb: float = 192.0
    file_descriptors: float = 1024.0
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at one time."""

    machine_losses: float = 1.0
    zones: float = 1.0
    region_losses: float = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules, in seconds, shares and requests."""

    contact_s: float = 4.0
    acknowledge_s: float = 6.0
    catch_up_s: float = 4.0
    drain_deadline_s: float = 3.0
    grace_period_s: float = 6.0
    config_apply_s: float = 3.0
    revocation_s: float = 5.0
    reuse_after_s: float = 2.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 60.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    evacuation_s: float = 5.0
    recovery_s: float = 15.0
    ttl_max_s: float = 5.0

    @property
    def newest_within_s(self) -> float:
        """Seconds after which nobody may act by what was superseded: the least of the bounds that a lease keeps."""
        return min(getattr(self, name) for name in KEPT_BY_LEASE)

    @property
    def lease_s(self) -> float:
        """Seconds that a front's lease on the newest configuration lasts, from the sending of the ask for it."""
        return self.newest_within_s * (1.0 - CLOCK_RATES)

    def check(self) -> None:
        """Raises ValueError for bounds that can't be kept, with the field that is the cause."""
        if self.lease_s < LEAST_LEASE:
            name = min(KEPT_BY_LEASE, key=lambda field: getattr(self, field))
            least = LEAST_LEASE / (1.0 - CLOCK_RATES)
            raise ValueError(f"{name}: {getattr(self, name):g} s can't be kept, {least:.2f} s is the least")


@dataclass(frozen=True, slots=True)
class Settings:
    """What one process is told."""

    node_name: str
    node_role: str
    ip_address: str
    availability_zone: str
    region: str
    zones: dict[str, str]
    internal_ports: tuple[int, int]
    seed_nodes: list[Address]
    listen_addresses: Listen = Listen()
    first_start: bool = False
    data_directory: str | None = None
    heartbeat_s: float = 1.5
    limits: Limits = Limits()
    fault_tolerance: Tolerance = Tolerance()
    rule_bounds: Bounds = field(default_factory=Bounds)

    @property
    def seeds(self) -> list[str]:
        """The IP addresses of the core machines that are told."""
        return [host for host, _ in self.seed_nodes]


def parse(text: str) -> dict:
    """Nested fields of `a.b=value` lines; lists are split at commas.  Raises ValueError."""
    made: dict = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, found, value = line.partition("=")
        if not found:
            raise ValueError(f"line {number} has no '='")
        *path, last = name.strip().split(".")
        place = made
        for part in path:
            place = place.setdefault(part, {})
            if not isinstance(place, dict):
                raise ValueError(f"line {number}: {part} is a value and a section")
        value = value.strip()
        place[last] = [v for v in value.split(",") if v] if name.strip() in LISTS else value
    return made


def _number(value: object) -> float:
    number = float(value)   # type: ignore[arg-type]
    if not 0.0 <= number < inf:
        raise ValueError(f"{value!r} is not a figure of 0 or more")
    return number


def _truth(value: object) -> bool:
    if value not in ("true", "false"):
        raise ValueError(f"{value!r} is neither true nor false")
    return value == "true"


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("it is empty")
    return value


def _ports(value: object) -> tuple[int, int]:
    first, last = (int(v) for v in value)   # type: ignore[union-attr]
    if not 0 < first <= last < 65536 or last - first < 2:
        raise ValueError(f"{first} to {last} are not three ports")
    return first, last


def _section(kind: type, value: object, read: Callable[[object], object], place: str) -> object:
    if not isinstance(value, dict):
        raise ValueError(f"{place}: it is no section")
    return kind(**{f.name: _read(read, value[f.name], f"{place}.{f.name}")
                   for f in fields(kind) if f.name in value})


def _read(read: Callable[[object], object], value: object, place: str) -> object:
    try:
        return read(value)
    except (ValueError, TypeError) as error:
        raise ValueError(f"{place}: {error}") from None


_FIELDS: dict[str, Callable[[object], object]] = {
    **dict.fromkeys(("node_name", "node_role", "ip_address", "availability_zone", "region", "data_directory"), _text),
    "zones": lambda v: {str(k): _text(r) for k, r in v.items()}, "internal_ports": _ports,
    "seed_nodes": lambda v: [address(a) for a in v], "first_start": _truth, "heartbeat_s": _number}
_SECTIONS: dict[str, tuple[type, Callable[[object], object]]] = {
    "listen_addresses": (Listen, address), "limits": (Limits, _number),
    "fault_tolerance": (Tolerance, _number), "rule_bounds": (Bounds, _number)}


def build(value: dict) -> Settings:
    """The settings of nested fields; raises ValueError that names the field."""
    made = {name: _read(read, value[name], name) for name, read in _FIELDS.items() if name in value}
    made |= {name: _section(kind, value[name], read, name) for name, (kind, read) in _SECTIONS.items()
             if name in value}
    for name in ("node_name", "node_role", "ip_address", "availability_zone", "region", "zones", "internal_ports",
                 "seed_nodes"):
        if name not in made:
            raise ValueError(f"{name}: it is missing")
    settings = Settings(**made)
    try:
        settings.rule_bounds.check()
    except ValueError as error:
        raise ValueError(f"rule_bounds.{error}") from None
    return settings


def read(path: str | None = None) -> Result[Settings, Failure]:
    """The settings of this process, from the file that the environment names."""
    path = path or os.environ.get(BOOT)
    if not path:
        return Err(Failure("settings", "", f"{BOOT} names no file"))
    try:
        return Ok(build(parse(Path(path).read_text())))
    except (OSError, ValueError) as error:
        return Err(Failure("settings", path, str(error)))
