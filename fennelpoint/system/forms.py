"""Configurations: checked whole by pydantic at the edge, plain tuples inside.

`check` says what is wrong with one, `merge` applies a PATCH, `Version` is what a front goes by.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256

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


def decode(body: bytes) -> Result[dict, Failure]:
    """A JSON object as it came."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Failure("configuration", "", f"it can't be read: {error}", 400))
    if not isinstance(value, dict):
        return Err(Failure("configuration", "", "it is no object", 400))
    return Ok(value)


def check(value: dict) -> Result[Configuration, Failure]:
    """The configuration, or the first thing that is wrong with it: field and reason."""
    try:
        return Ok(Configuration.model_validate(value))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"])) or "the whole"
        return Err(Failure("configuration", "", f"{place}: {first['msg']}", 400))


def numbers(value: dict) -> Result[tuple[int, int], Failure]:
    """Version and the version it builds on."""
    version, base = value.get("version"), value.get("base_version", 0)
    if type(version) is not int or type(base) is not int:
        return Err(Failure("configuration", "", "version and base_version are whole numbers", 400))
    return Ok((version, base))


def _by_name(items: list, changed: list, removed: list, name: str = "name") -> list:
    made = {item[name]: item for item in items}
    for item in changed:
        made[item[name]] = item
    for gone in removed:
        made.pop(gone, None)
    return list(made.values())


def merge(base: dict, patch: dict) -> Result[dict, Failure]:
    """A configuration after a PATCH: items are added, replaced and removed by name."""
    try:
        upsert, remove = patch.get("upsert") or {}, patch.get("remove") or {}
        made = {k: v for k, v in base.items()}
        made["version"], made["base_version"] = patch["version"], patch.get("base_version", 0)
        made["tenants"] = _by_name(base.get("tenants", []), upsert.get("tenants", []), remove.get("tenants", []))
        if not made["tenants"] and "tenants" not in base:
            del made["tenants"]
        made["clusters"] = _by_name(base.get("clusters", []), upsert.get("clusters", upsert.get("services", [])),
                                    [*remove.get("clusters", []), *remove.get("services", [])])
        if "limits" in upsert:
            made["limits"] = upsert["limits"]
        changed = [(entry["host"], rule) for entry in upsert.get("listener_table", []) for rule in entry["rule_set"]]
        gone = {*remove.get("routes", []), *remove.get("rule_set", [])}
        where = {rule["name"]: host for host, rule in changed}
        replaced = {rule["name"]: rule for _, rule in changed}
        table = []
        for entry in base.get("listener_table", []):
            rules = []
            for rule in entry["rule_set"]:
                if rule["name"] in gone and rule["name"] not in where:
                    continue
                if rule["name"] in where:
                    if where[rule["name"]] != entry["host"]:
                        continue    # it moved to another host
                    rule = replaced.pop(rule["name"], rule)
                rules.append(rule)
            table.append({**entry, "rule_set": rules})
        hosts = {entry["host"]: entry for entry in table}
        for host, rule in changed:
            if rule["name"] in replaced:
                del replaced[rule["name"]]
                if host not in hosts:
                    hosts[host] = {"host": host, "rule_set": []}
                    table.append(hosts[host])
                hosts[host]["rule_set"].append(rule)
        dropped = set(remove.get("listener_table", []))
        made["listener_table"] = [e for e in table if e["rule_set"] and e["host"] not in dropped]
    except (KeyError, TypeError, AttributeError) as error:
        return Err(Failure("configuration", "", f"the change can't be applied: {error!r}", 400))
    return Ok(made)


def encode(value: dict) -> bytes:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode()


def digest(data: bytes) -> str:
    return sha256(data).hexdigest()[:32]


@dataclass(frozen=True, slots=True)
class Route:
    """Times in seconds; `priority` 0 is the highest; no homes: everywhere."""

    name: str
    services: tuple[tuple[str, float], ...]
    safe: bool
    aim: float
    timeout: float
    attempts: int
    priority: int
    public: bool
    homes: frozenset[str]


@dataclass(frozen=True, slots=True)
class Holder:
    """A tenant as a front needs it; a rate of 0 is none."""

    name: str
    priority: int
    rate: float
    burst: float
    homes: frozenset[str]


class Version:
    """What a front goes by: routes by host and prefix, tenants by key."""

    def __init__(self, form: Configuration) -> None:
        self.number, self.limits = form.version, form.limits
        self.hosts: dict[str, dict[str, Route]] = {}
        self.clusters = {c.name: c for c in form.clusters}
        for listener in form.listener_table:
            table = self.hosts.setdefault(listener.host.lower(), {})
            for rule in listener.rule_set:
                act = rule.route_action
                table[rule.match_criteria.path_prefix] = Route(
                    rule.name, act.shares, rule.kind == "idempotent", rule.target_latency_s, act.request_timeout_s,
                    act.max_attempts, rule.route_priority, rule.public, frozenset(act.home_regions))
        self.tenants = [Holder(t.name, t.route_priority, t.rate_per_s, t.burst_size, frozenset(t.home_regions))
                        for t in form.tenants]
        self.keys = {key: holder for t, holder in zip(form.tenants, self.tenants, strict=True)
                     for key in t.api_keys}

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of the path at that host."""
        table = self.hosts.get(host.lower().rpartition(":")[0] or host.lower()) or self.hosts.get(host.lower())
        if table is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := table.get(path[:end + 1])) is not None:
                return route
        return None


def compile_version(data: bytes) -> Version:
    """From bytes that were checked before they were agreed."""
    return Version(Configuration.model_validate_json(data))
