"""Configurations: checked whole by pydantic at the edge, plain inside.

Loaded by a registry when the first change comes; what programs go by is in `config_versions.py`.
"""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure


class _Form(BaseModel):
    model_config = ConfigDict(extra="ignore")


class Limits(_Form):
    header_bytes: int = Field(16384, gt=0)
    body_bytes: int = Field(1 << 26, gt=0)
    header_timeout_s: float = Field(3.0, gt=0)
    idle_timeout_s: float = Field(15.0, gt=0)


class Tenant(_Form):
    name: str = Field(min_length=1)
    api_keys: list[str] = []
    route_priority: int = 0
    rate_per_s: float = Field(0.0, ge=0)
    burst_size: float = Field(0.0, ge=0)
    home_regions: list[str] = []


class Match(_Form):
    path_prefix: str = Field(pattern="^/")


class Split(_Form):
    service: str
    traffic_weight: float = Field(ge=0)


class Action(_Form):
    service: str | None = None
    traffic_split: list[Split] = []
    request_timeout_s: float = Field(gt=0)
    max_attempts: int = Field(1, ge=1)
    home_regions: list[str] = []

    @model_validator(mode="after")
    def _one(self) -> Action:
        if self.service is None and not self.traffic_split:
            raise ValueError("it names no service")
        return self

    @property
    def shares(self) -> tuple[tuple[str, float], ...]:
        if self.traffic_split:
            return tuple((s.service, s.traffic_weight) for s in self.traffic_split)
        return ((self.service, 1.0),)


class Rule(_Form):
    name: str = Field(min_length=1)
    kind: str
    target_latency_s: float = Field(1.0, gt=0)
    route_priority: int = 0
    public: bool = False
    match_criteria: Match
    route_action: Action


class Listener(_Form):
    host: str = Field(min_length=1)
    rule_set: list[Rule] = []


class Cluster(_Form):
    name: str = Field(min_length=1)
    health_path: str = "/health"
    connection_limit: int = Field(100, gt=0)
    cold_start_s: float = Field(0.0, ge=0)
    cold_rate_s: float = Field(0.0, ge=0)


class Configuration(_Form):
    """As the operator sends it."""

    version: int = Field(gt=0)
    base_version: int = 0
    limits: Limits = Limits()
    tenants: list[Tenant] = []
    listener_table: list[Listener]
    clusters: list[Cluster]

    @model_validator(mode="after")
    def _whole(self) -> Configuration:
        services = {c.name for c in self.clusters}
        for listener in self.listener_table:
            for rule in listener.rule_set:
                for service, _ in rule.route_action.shares:
                    if service not in services:
                        raise ValueError(f"route {rule.name}: no service {service}")
        owners: dict[str, str] = {}
        for tenant in self.tenants:
            for key in tenant.api_keys:
                if owners.setdefault(key, tenant.name) != tenant.name:
                    raise ValueError(f"tenants {owners[key]} and {tenant.name} share a key")
        return self


def check(value: dict) -> Result[Configuration, Failure]:
    """The configuration, or the first thing that is wrong with it: field and reason."""
    try:
        return Ok(Configuration.model_validate(value))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"])) or "the whole"
        return Err(Failure("configuration", "", f"{place}: {first['msg']}", 400))
