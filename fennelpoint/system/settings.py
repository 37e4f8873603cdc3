"""The settings file of one process: lines `a.b=value`, checked once by pydantic.

Times are seconds.  Fields that are not known are ignored; a fault names file, field and reason in one line.
"""

from __future__ import annotations

import os
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

BOOT = "LARCHWING_BOOT"
Address = tuple[str, int]
LISTS = ("served_roles", "seed_nodes", "rule_contracts", "internal_ports")


def address(text: str) -> Address:
    """`ip:port` as a pair; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host, int(port)


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Listen(_Model):
    public_http: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None
    directory_service: Address | None = None

    @field_validator("*", mode="before")
    @classmethod
    def _read(cls, value: object) -> object:
        return address(value) if isinstance(value, str) else value


class Limits(_Model):
    memory_mb: float = Field(192, ge=16)
    file_descriptors: int = Field(1024, ge=64)
    link_mbps: float = Field(1000, gt=0)
    disk_mb: float = Field(0, ge=0)


class Tolerance(_Model):
    machine_losses: int = 1
    zones: int = 1
    region_losses: int = 1


class Bounds(_Model):
    """The figures of the rules, in seconds, shares and requests."""

    contact_s: float = 4
    acknowledge_s: float = 6
    catch_up_s: float = 4
    drain_deadline_s: float = 3
    grace_period_s: float = 6
    config_apply_s: float = 3
    revocation_s: float = 5
    reuse_after_s: float = 2
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 60
    quota_window_s: float = 5
    quota_overshoot: float = 0.1
    quota_slack: float = 20
    cold_overshoot: float = 1.5
    cold_slack: float = 5
    evacuation_s: float = 5
    recovery_s: float = 15
    ttl_max_s: float = 5


class Settings(_Model):
    """What one process is told."""

    node_name: str
    node_role: str
    ip_address: str
    availability_zone: str
    region: str
    zones: dict[str, str]
    listen_addresses: Listen = Listen()
    internal_ports: tuple[int, int]
    seed_nodes: list[Address]
    first_start: bool = False
    data_directory: str | None = None
    heartbeat_s: float = Field(1.5, gt=0)
    limits: Limits = Limits()
    fault_tolerance: Tolerance = Tolerance()
    rule_bounds: Bounds = Bounds()

    @field_validator("seed_nodes", mode="before")
    @classmethod
    def _seeds(cls, value: object) -> object:
        return [address(v) if isinstance(v, str) else v for v in value]

    @property
    def seeds(self) -> list[str]:
        """The IP addresses of the core machines that are told."""
        return [host for host, _ in self.seed_nodes]


def parse(text: str) -> dict:
    """Nested fields of `a.b=value` lines; lists are split at commas."""
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


def read(path: str | None = None) -> Result[Settings, Failure]:
    """The settings of this process, from the file that the environment names."""
    path = path or os.environ.get(BOOT)
    if not path:
        return Err(Failure("settings", "", f"{BOOT} names no file"))
    try:
        return Ok(Settings.model_validate(parse(Path(path).read_text())))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"]))
        return Err(Failure("settings", path, f"{place}: {first['msg']}"))
    except (OSError, ValueError) as error:
        return Err(Failure("settings", path, str(error)))
