"""Configurations as the programs go by them: plain, of bytes that were checked before they were agreed.

`config_schema.py` checks them by pydantic; only a registry that takes a change loads that.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256

from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

MOST = 1 << 62      # of a version: what goes between processes


def decode(body: bytes) -> Result[dict, Failure]:
    """A JSON object as it came."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Failure("configuration", "", f"it can't be read: {error}", 400))
    if not isinstance(value, dict):
        return Err(Failure("configuration", "", "it is no object", 400))
    return Ok(value)


def numbers(value: dict) -> Result[tuple[int, int], Failure]:
    """Version and the version it builds on."""
    version, base = value.get("version"), value.get("base_version", 0)
    if type(version) is not int or type(base) is not int or max(abs(version), abs(base)) >= MOST:
        return Err(Failure("configuration", "", "version and base_version are whole numbers below 2^62", 400))
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


def snapshot(value: dict) -> Result[dict, Failure]:
    """What a snapshot has to hold, but for its configuration, which is checked as any other."""
    past, evac, held = value.get("past"), value.get("evac"), value.get("configuration")
    if value.get("schema") != 1:
        return Err(Failure("snapshot", "", f"it has schema {value.get('schema')!r}, not 1", 400))
    if not isinstance(held, dict) or type(value.get("version")) is not int or held.get("version") != value["version"]:
        return Err(Failure("snapshot", "", "configuration: it is missing, or of another version", 400))
    if not isinstance(evac, list) or not all(isinstance(zone, str) for zone in evac):
        return Err(Failure("snapshot", "", "evac: it is no list of zones", 400))
    if not isinstance(past, list) or not all(
            isinstance(one, list) and [type(part) for part in one] == [int, str] for one in past):
        return Err(Failure("snapshot", "", "past: it is no list of changes", 400))
    if type(value.get("floor", 0)) is not int:
        return Err(Failure("snapshot", "", "floor: it is no version", 400))
    return Ok(value)


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


@dataclass(frozen=True, slots=True)
class Limits:
    """Seconds."""

    header_timeout: float
    idle_timeout: float


class Version:
    """What a front goes by: routes by host and prefix, tenants by key."""

    def __init__(self, value: dict) -> None:
        limits = value.get("limits") or {}
        self.number = value["version"]
        self.limits = Limits(float(limits.get("header_timeout_s", 3.0)), float(limits.get("idle_timeout_s", 15.0)))
        self.hosts: dict[str, dict[str, Route]] = {}
        self.clusters = {c["name"]: (float(c.get("cold_start_s") or 0.0), float(c.get("cold_rate_s") or 0.0))
                         for c in value["clusters"]}
        for listener in value["listener_table"]:
            table = self.hosts.setdefault(listener["host"].lower(), {})
            for rule in listener["rule_set"]:
                table[rule["match_criteria"]["path_prefix"]] = _route(rule)
        self.tenants, self.keys = [], {}
        for t in value.get("tenants") or ():
            holder = Holder(t["name"], int(t.get("route_priority") or 0), float(t.get("rate_per_s") or 0.0),
                            float(t.get("burst_size") or 0.0), frozenset(t.get("home_regions") or ()))
            self.tenants.append(holder)
            self.keys.update(dict.fromkeys(t.get("api_keys") or (), holder))

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of the path at that host."""
        host = host.lower()
        table = self.hosts.get(host) or self.hosts.get(host.rpartition(":")[0])
        if table is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := table.get(path[:end + 1])) is not None:
                return route
        return None


def _route(rule: dict) -> Route:
    act = rule["route_action"]
    if act.get("traffic_split"):
        services = tuple((s["service"], float(s["traffic_weight"])) for s in act["traffic_split"])
    else:
        services = ((act["service"], 1.0),)
    return Route(rule["name"], services, rule["kind"] == "idempotent", float(rule.get("target_latency_s") or 1.0),
                 float(act["request_timeout_s"]), int(act.get("max_attempts") or 1),
                 int(rule.get("route_priority") or 0), bool(rule.get("public")),
                 frozenset(act.get("home_regions") or ()))


def compile_version(data: bytes) -> Version:
    """From bytes that were checked before they were agreed."""
    return Version(json.loads(data))
