"""The settings file of one process: lines `a.b=value`.

Times are in seconds.  Unknown fields are ignored; an error names file, field and reason in one line.  A process does
not import pydantic at its start (see docs/design/system.md, what gave way); `larchwing-system check` validates the
same file with the pydantic models of `settings_schema.py`, and a test checks that both accept the same files.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from math import inf
from pathlib import Path

from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

SETTINGS_VARIABLE = "LARCHWING_BOOT"  # environment variable with the path of the file
Address = tuple[str, int]
LIST_FIELDS = ("served_roles", "seed_nodes", "rule_contracts", "internal_ports")
# Bounds that hold because every proxy needs a lease on the newest configuration.
LEASE_BOUNDS = ("config_apply_s", "revocation_s", "evacuation_s", "drain_deadline_s")
MAX_CLOCK_DRIFT = 0.02  # fraction by which the monotonic clocks of two machines may differ in rate
MIN_LEASE_S = 0.8       # a renewal each half second, the core's interval between two reads, and the round trip


def parse_address(text: str) -> Address:
    """Returns `ip:port` as a pair; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address ip:port")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Listen:
    """Listen addresses of a process."""

    public_http: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None
    directory_service: Address | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits of the machine."""

    memory_mb: float = 192.0
    file_descriptors: float = 1024.0
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How many machines, zones and regions may fail at one time."""

    machine_losses: float = 1.0
    zones: float = 1.0
    region_losses: float = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the service rules, in seconds, fractions and requests."""

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
    def max_staleness_s(self) -> float:
        """Seconds after which no proxy may use superseded state: the smallest of the bounds that a lease enforces."""
        return min(getattr(self, name) for name in LEASE_BOUNDS)

    @property
    def lease_s(self) -> float:
        """Seconds that a proxy's lease on the newest configuration lasts, counted from when it sent the request."""
        return self.max_staleness_s * (1.0 - MAX_CLOCK_DRIFT)

    def check(self) -> None:
        """Raises ValueError with the field at fault if a lease cannot enforce the bounds."""
        if self.lease_s < MIN_LEASE_S:
            name = min(LEASE_BOUNDS, key=lambda field: getattr(self, field))
            minimum = MIN_LEASE_S / (1.0 - MAX_CLOCK_DRIFT)
            raise ValueError(f"{name}: {getattr(self, name):g} s is too short, the minimum is {minimum:.2f} s")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process."""

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
        """The IP addresses of the seed nodes."""
        return [host for host, _ in self.seed_nodes]


def parse(text: str) -> dict:
    """Parses `a.b=value` lines into nested dicts, with lists split at commas; raises ValueError."""
    values: dict = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise ValueError(f"line {number} has no '='")
        *path, last = name.strip().split(".")
        section = values
        for part in path:
            section = section.setdefault(part, {})
            if not isinstance(section, dict):
                raise ValueError(f"line {number}: {part} is both a value and a section")
        value = value.strip()
        section[last] = [item for item in value.split(",") if item] if name.strip() in LIST_FIELDS else value
    return values


def _parse_number(value: object) -> float:
    number = float(value)   # type: ignore[arg-type]
    if not 0.0 <= number < inf:
        raise ValueError(f"{value!r} is not a finite number of 0 or more")
    return number


def _parse_bool(value: object) -> bool:
    if value not in ("true", "false"):
        raise ValueError(f"{value!r} is neither true nor false")
    return value == "true"


def _parse_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("must not be empty")
    return value


def _parse_ports(value: object) -> tuple[int, int]:
    first, last = (int(item) for item in value)   # type: ignore[union-attr]
    if not 0 < first <= last < 65536 or last - first < 2:
        raise ValueError(f"{first} to {last} is not a range of at least three ports")
    return first, last


def _build_section(kind: type, value: object, parser: Callable[[object], object], path: str) -> object:
    if not isinstance(value, dict):
        raise ValueError(f"{path}: not a section")
    return kind(**{f.name: _parse_field(parser, value[f.name], f"{path}.{f.name}")
                   for f in fields(kind) if f.name in value})


def _parse_field(parser: Callable[[object], object], value: object, path: str) -> object:
    try:
        return parser(value)
    except (ValueError, TypeError) as error:
        raise ValueError(f"{path}: {error}") from None


_FIELDS: dict[str, Callable[[object], object]] = {
    **dict.fromkeys(
        ("node_name", "node_role", "ip_address", "availability_zone", "region", "data_directory"), _parse_text),
    "zones": lambda v: {str(zone): _parse_text(region) for zone, region in v.items()}, "internal_ports": _parse_ports,
    "seed_nodes": lambda v: [parse_address(a) for a in v], "first_start": _parse_bool, "heartbeat_s": _parse_number}
_SECTIONS: dict[str, tuple[type, Callable[[object], object]]] = {
    "listen_addresses": (Listen, parse_address), "limits": (Limits, _parse_number),
    "fault_tolerance": (Tolerance, _parse_number), "rule_bounds": (Bounds, _parse_number)}


def build(value: dict) -> Settings:
    """Builds the settings from nested dicts; raises ValueError that names the field."""
    values = {name: _parse_field(parser, value[name], name) for name, parser in _FIELDS.items() if name in value}
    values |= {name: _build_section(kind, value[name], parser, name) for name, (kind, parser) in _SECTIONS.items()
               if name in value}
    for name in ("node_name", "node_role", "ip_address", "availability_zone", "region", "zones", "internal_ports",
                 "seed_nodes"):
        if name not in values:
            raise ValueError(f"{name}: missing")
    settings = Settings(**values)
    try:
        settings.rule_bounds.check()
    except ValueError as error:
        raise ValueError(f"rule_bounds.{error}") from None
    return settings


def read(path: str | None = None) -> Result[Settings, Failure]:
    """Reads the settings from a file, by default the one that the environment names."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        return Err(Failure("settings", "", f"{SETTINGS_VARIABLE} is not set"))
    try:
        return Ok(build(parse(Path(path).read_text())))
    except (OSError, ValueError) as error:
        return Err(Failure("settings", path, str(error)))
