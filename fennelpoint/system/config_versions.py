"""Configuration versions as the programs use them: plain objects, from data that was validated before it was agreed.

`config_schema.py` validates configurations with pydantic; only a registry that accepts a change imports it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256

from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

DEFAULT_BODY_BYTES = 1 << 26    # of a configuration without limits
VERSION_LIMIT = 1 << 62     # versions stay below it, so that they fit the messages between processes


def decode(body: bytes) -> Result[dict, Failure]:
    """Decodes a JSON object from the body of a request."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Failure("configuration", "", f"invalid JSON: {error}", 400))
    if not isinstance(value, dict):
        return Err(Failure("configuration", "", "not a JSON object", 400))
    return Ok(value)


def version_numbers(value: dict) -> Result[tuple[int, int], Failure]:
    """Returns the version and the version that it is based on."""
    version, base = value.get("version"), value.get("base_version", 0)
    if type(version) is not int or type(base) is not int or max(abs(version), abs(base)) >= VERSION_LIMIT:
        return Err(Failure("configuration", "", "version and base_version must be integers below 2^62", 400))
    return Ok((version, base))


def _merge_by_name(items: list, changed: list, removed: list, name: str = "name") -> list:
    by_name = {item[name]: item for item in items}
    for item in changed:
        by_name[item[name]] = item
    for removed_name in removed:
        by_name.pop(removed_name, None)
    return list(by_name.values())


def merge(base: dict, patch: dict) -> Result[dict, Failure]:
    """Applies a PATCH to a configuration: adds, replaces and removes items by name."""
    try:
        upsert, remove = patch.get("upsert") or {}, patch.get("remove") or {}
        merged = {k: v for k, v in base.items()}
        merged["version"], merged["base_version"] = patch["version"], patch.get("base_version", 0)
        merged["tenants"] = _merge_by_name(base.get("tenants", []), upsert.get("tenants", []),
                                           remove.get("tenants", []))
        if not merged["tenants"] and "tenants" not in base:
            del merged["tenants"]
        merged["clusters"] = _merge_by_name(base.get("clusters", []),
                                            upsert.get("clusters", upsert.get("services", [])),
                                            [*remove.get("clusters", []), *remove.get("services", [])])
        if "limits" in upsert:
            merged["limits"] = upsert["limits"]
        changed = [(entry["host"], rule) for entry in upsert.get("listener_table", []) for rule in entry["rule_set"]]
        removed_rules = {*remove.get("routes", []), *remove.get("rule_set", [])}
        new_host = {rule["name"]: host for host, rule in changed}
        replaced = {rule["name"]: rule for _, rule in changed}
        table = []
        for entry in base.get("listener_table", []):
            rules = []
            for rule in entry["rule_set"]:
                if rule["name"] in removed_rules and rule["name"] not in new_host:
                    continue
                if rule["name"] in new_host:
                    if new_host[rule["name"]] != entry["host"]:
                        continue    # the rule moves to another host
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
        removed_hosts = set(remove.get("listener_table", []))
        merged["listener_table"] = [entry for entry in table
                                    if entry["rule_set"] and entry["host"] not in removed_hosts]
    except (KeyError, TypeError, AttributeError) as error:
        return Err(Failure("configuration", "", f"the patch cannot be applied: {error!r}", 400))
    return Ok(merged)


def check_snapshot(value: dict) -> Result[dict, Failure]:
    """Validates a snapshot except its configuration, which is validated as any other."""
    past, evacuated, configuration = value.get("past"), value.get("evac"), value.get("configuration")
    if value.get("schema") != 1:
        return Err(Failure("snapshot", "", f"unsupported schema {value.get('schema')!r}, expected 1", 400))
    if (not isinstance(configuration, dict) or type(value.get("version")) is not int
            or configuration.get("version") != value["version"]):
        return Err(Failure("snapshot", "", "configuration: missing, or of another version", 400))
    if not isinstance(evacuated, list) or not all(isinstance(zone, str) for zone in evacuated):
        return Err(Failure("snapshot", "", "evac: not a list of zones", 400))
    if not isinstance(past, list) or not all(
            isinstance(change, list) and [type(item) for item in change] == [int, str] for change in past):
        return Err(Failure("snapshot", "", "past: not a list of changes", 400))
    if type(value.get("floor", 0)) is not int:
        return Err(Failure("snapshot", "", "floor: not a version", 400))
    return Ok(value)


def encode(value: dict) -> bytes:
    """Returns a configuration as compact JSON; ValueError for a number or a text that JSON in UTF-8 cannot hold."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False, allow_nan=False).encode()


def digest(data: bytes) -> str:
    """Returns the digest by which processes name a content."""
    return sha256(data).hexdigest()[:32]


@dataclass(frozen=True, slots=True)
class Route:
    """One route; `priority` 0 is the highest, and without home regions it is served in every region."""

    name: str
    services: tuple[tuple[str, float], ...]
    is_idempotent: bool
    target_latency_s: float
    timeout_s: float
    max_attempts: int
    priority: int
    is_public: bool
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant as a proxy needs it; a rate of 0 means no quota."""

    name: str
    priority: int
    rate_per_s: float
    burst_size: float
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on client connections and requests."""

    header_timeout_s: float
    idle_timeout_s: float
    body_bytes: int


class HostRoutes:
    """The routes of one host, by their path prefixes."""

    def __init__(self) -> None:
        self.by_prefix: dict[str, Route] = {}
        self.without_slash: list[str] = []  # prefixes that do not end with a slash, the longest first

    def add(self, prefix: str, route: Route) -> None:
        """Add a route, or replace the one with the same prefix."""
        if not prefix.endswith("/") and prefix not in self.by_prefix:
            self.without_slash.append(prefix)
            self.without_slash.sort(key=len, reverse=True)
        self.by_prefix[prefix] = route

    def find(self, path: str) -> Route | None:
        """Return the route whose prefix is the longest that begins the path."""
        open_prefix = next((prefix for prefix in self.without_slash if path.startswith(prefix)), "")
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= len(open_prefix):
            if (route := self.by_prefix.get(path[:end + 1])) is not None:
                return route
        return self.by_prefix.get(open_prefix)


class ConfigVersion:
    """A configuration as a proxy uses it: routes by host and path prefix, tenants by API key."""

    def __init__(self, value: dict) -> None:
        limits = value.get("limits") or {}
        self.number = value["version"]
        self.limits = Limits(float(limits.get("header_timeout_s", 3.0)), float(limits.get("idle_timeout_s", 15.0)),
                             int(limits.get("body_bytes", DEFAULT_BODY_BYTES)))
        self.routes_by_host: dict[str, HostRoutes] = {}
        # Duration of the cold start (s) and the request rate during it (1/s), by service.
        self.clusters = {
            cluster["name"]: (float(cluster.get("cold_start_s") or 0.0), float(cluster.get("cold_rate_s") or 0.0))
            for cluster in value["clusters"]}
        for listener in value["listener_table"]:
            routes = self.routes_by_host.setdefault(listener["host"].lower(), HostRoutes())
            for rule in listener["rule_set"]:
                routes.add(rule["match_criteria"]["path_prefix"], _route(rule))
        # Also where there is no tenant left, or none with a key: then no request has one that is known.
        self.requires_keys = value.get("tenants") is not None
        self.tenants, self.tenant_by_key = [], {}
        for item in value.get("tenants") or ():
            tenant = Tenant(item["name"], int(item.get("route_priority") or 0), float(item.get("rate_per_s") or 0.0),
                            float(item.get("burst_size") or 0.0), frozenset(item.get("home_regions") or ()))
            self.tenants.append(tenant)
            self.tenant_by_key.update(dict.fromkeys(item.get("api_keys") or (), tenant))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of the host whose prefix is the longest that matches the path."""
        host = host.lower()
        if (routes := self.routes_by_host.get(host)) is None:
            routes = self.routes_by_host.get(host.rpartition(":")[0])
        return None if routes is None else routes.find(path)


def _route(rule: dict) -> Route:
    action = rule["route_action"]
    if action.get("traffic_split"):
        services = tuple((split["service"], float(split["traffic_weight"])) for split in action["traffic_split"])
    else:
        services = ((action["service"], 1.0),)
    return Route(rule["name"], services, rule["kind"] == "idempotent", float(rule.get("target_latency_s") or 1.0),
                 float(action["request_timeout_s"]), int(action.get("max_attempts") or 1),
                 int(rule.get("route_priority") or 0), bool(rule.get("public")),
                 frozenset(action.get("home_regions") or ()))


def compile_version(data: bytes) -> ConfigVersion:
    """Builds a version from JSON that was validated before it was agreed."""
    return ConfigVersion(json.loads(data))
