"""The schema of configurations, as pydantic models that validate a change before it is agreed.

A registry imports this module at the first change; the programs use the plain objects of `config_versions.py`.
"""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure


class _Form(BaseModel):
    """A part of the configuration; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore")


class Limits(_Form):
    """Limits on client connections and requests."""

    header_bytes: int = Field(16384, gt=0)
    body_bytes: int = Field(1 << 26, gt=0)
    header_timeout_s: float = Field(3.0, gt=0)
    idle_timeout_s: float = Field(15.0, gt=0)


class Tenant(_Form):
    """A tenant with its API keys, quota and home regions."""

    name: str = Field(min_length=1)
    api_keys: list[str] = []
    route_priority: int = 0
    rate_per_s: float = Field(0.0, ge=0)
    burst_size: float = Field(0.0, ge=0)
    home_regions: list[str] = []


class Match(_Form):
    """The requests that a rule applies to."""

    path_prefix: str = Field(pattern="^/")


class Split(_Form):
    """One service of a traffic split, with its weight."""

    service: str
    traffic_weight: float = Field(ge=0)


class Action(_Form):
    """Where the requests of a rule are sent, and for how long and how often they are attempted."""

    service: str | None = None
    traffic_split: list[Split] = []
    request_timeout_s: float = Field(gt=0)
    max_attempts: int = Field(1, ge=1)
    home_regions: list[str] = []

    @model_validator(mode="after")
    def _check_service(self) -> Action:
        if self.service is None and not self.traffic_split:
            raise ValueError("route action names no service")
        return self

    @property
    def split(self) -> tuple[tuple[str, float], ...]:
        """Services with their weights."""
        if self.traffic_split:
            return tuple((split.service, split.traffic_weight) for split in self.traffic_split)
        return ((self.service, 1.0),)


class Rule(_Form):
    """One route: the requests that it matches, and what is done with them."""

    name: str = Field(min_length=1)
    kind: str
    target_latency_s: float = Field(1.0, gt=0)
    route_priority: int = 0
    public: bool = False
    match_criteria: Match
    route_action: Action


class Listener(_Form):
    """The rules of one host."""

    host: str = Field(min_length=1)
    rule_set: list[Rule] = []


class Cluster(_Form):
    """A service that backends belong to, with its health check and cold start."""

    name: str = Field(min_length=1)
    health_path: str = "/health"
    connection_limit: int = Field(100, gt=0)
    cold_start_s: float = Field(0.0, ge=0)
    cold_rate_s: float = Field(0.0, ge=0)


class Configuration(_Form):
    """A configuration as the operator sends it."""

    version: int = Field(gt=0)
    base_version: int = 0
    limits: Limits = Limits()
    tenants: list[Tenant] = []
    listener_table: list[Listener]
    clusters: list[Cluster]

    @model_validator(mode="after")
    def _check_references(self) -> Configuration:
        services = {cluster.name for cluster in self.clusters}
        for listener in self.listener_table:
            for rule in listener.rule_set:
                for service, _ in rule.route_action.split:
                    if service not in services:
                        raise ValueError(f"route {rule.name}: no service {service}")
        tenant_of_key: dict[str, str] = {}
        for tenant in self.tenants:
            for key in tenant.api_keys:
                if tenant_of_key.setdefault(key, tenant.name) != tenant.name:
                    raise ValueError(f"tenants {tenant_of_key[key]} and {tenant.name} share a key")
        return self


def check(value: dict) -> Result[Configuration, Failure]:
    """Validates a configuration; the failure names the first invalid field and the reason."""
    try:
        return Ok(Configuration.model_validate(value))
    except ValidationError as error:
        first = error.errors()[0]
        field_path = ".".join(map(str, first["loc"])) or "configuration"
        return Err(Failure("configuration", "", f"{field_path}: {first['msg']}", 400))
