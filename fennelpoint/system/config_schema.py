"""The schema of configurations, as pydantic models that validate a change before it is agreed.

A registry imports this module at the first change; the programs use the plain objects of `config_versions.py`.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from fennelpoint.system.config_versions import DEFAULT_BODY_BYTES, ConfigVersion, encode
from fennelpoint.system.failure import Failure

MAX_NUMBER = 1e9    # of any unit: sums and products of such numbers stay finite
MAX_RANK = (1 << 31) - 1


def _to_integer(value: object) -> object:
    """Turn 3.0 into 3: some JSON writers know one kind of number only."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


Integer = Annotated[int, BeforeValidator(_to_integer)]
Count = Annotated[Integer, Field(gt=0)]
Rank = Annotated[Integer, Field(ge=0, le=MAX_RANK)]
Amount = Annotated[float, Field(ge=0, le=MAX_NUMBER)]
Duration = Annotated[float, Field(gt=0, le=MAX_NUMBER)]     # in s


class _Form(BaseModel):
    """A part of the configuration; unknown fields are ignored, and no value is converted to another type."""

    model_config = ConfigDict(extra="ignore", strict=True, allow_inf_nan=False)


class Limits(_Form):
    """Limits on client connections and requests."""

    header_bytes: Count = 16384
    body_bytes: Count = DEFAULT_BODY_BYTES
    header_timeout_s: Duration = 3.0
    idle_timeout_s: Duration = 15.0


class Tenant(_Form):
    """A tenant with its API keys, quota and home regions."""

    name: str = Field(min_length=1)
    api_keys: list[str] = []
    route_priority: Rank = 0
    rate_per_s: Amount = 0.0
    burst_size: Amount = 0.0
    home_regions: list[str] = []


class Match(_Form):
    """The requests that a rule applies to."""

    path_prefix: str = Field(pattern="^/")


class Split(_Form):
    """One service of a traffic split, with its weight."""

    service: str
    traffic_weight: Amount


class Action(_Form):
    """Where the requests of a rule are sent, and for how long and how often they are attempted."""

    service: str | None = None
    traffic_split: list[Split] = []
    request_timeout_s: Duration
    max_attempts: Count = 1
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
    target_latency_s: Duration = 1.0
    route_priority: Rank = 0
    public: bool = False
    match_criteria: Match
    route_action: Action


class Listener(_Form):
    """The rules of one host."""

    host: str = Field(min_length=1)
    rule_set: list[Rule]


class Cluster(_Form):
    """A service that backends belong to, with its health check and cold start."""

    name: str = Field(min_length=1)
    health_path: str = "/health"
    connection_limit: Count = 100
    cold_start_s: Amount = 0.0
    cold_rate_s: Amount = 0.0


class Configuration(_Form):
    """A configuration as the operator sends it."""

    version: Count
    base_version: Integer = 0
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


def check_and_compile(value: dict) -> Result[bytes, Failure]:
    """Validates a configuration and compiles it as every proxy does; returns it encoded, as it is agreed.

    The failure names the field and the reason.
    """
    try:
        Configuration.model_validate(value)
        ConfigVersion(value)
        return Ok(encode(value))
    except ValidationError as error:
        first = error.errors()[0]
        field_path = ".".join(map(str, first["loc"])) or "configuration"
        return Err(Failure("configuration", "", f"{field_path}: {first['msg']}", 400))
    except ValueError as error:     # of a text or a number that JSON in UTF-8 cannot hold, in any field
        return Err(Failure("configuration", "", f"a value cannot be stored: {error}", 400))
