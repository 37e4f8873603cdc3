"""What operators are told of the whole, made of the core's own words: status, what is new, and why something is so.

Plain values in, plain values out; `operator_cli.py` asks and prints.
"""

from __future__ import annotations

from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

STATE, LOST = 6, 10     # places in a backend's row


def status_lines(value: dict) -> list[str]:
    """What one core machine sees, for people."""
    voters = ", ".join(f"{ip} ({zone})" for ip, zone in sorted(value["voters"].items()))
    lines = [f"core machine {value['node']}: version {value['version']}, revision {value['revision']}",
             f"voters: {voters}" + (", changing" if value["before"] else ""),
             f"standing by: {', '.join(sorted(value['ready'])) or 'none'}",
             f"linked with: {', '.join(value['linked']) or 'none'}",
             f"evacuated: {', '.join(value['evacuated']) or 'no zone'}",
             f"parts are reckoned by: {value['reckons'] or 'nobody'}, term {value['term']}"]
    for ip, where, zone, _, _, ready, version, age in sorted(value["fronts"]):
        behind = f", behind: version {version}" if ip in value["behind"] else ""
        stands = "ready" if ready else "not ready"
        lines.append(f"front {ip} {zone} at {where}: {stands}, heard {age:.1f} s ago{behind}")
    for id, where, service, zone, slots, _, state, _, cold, age, lost in sorted(
            value["backends"], key=lambda b: b[2:4]):
        lines.append(f"backend {id} {service} {zone} at {where}: {'lost' if lost else state}, {slots} slots, "
                     f"heard {age:.1f} s ago" + (f", cold for {cold:.1f} s" if cold else ""))
    return lines


def changes(before: dict | None, now: dict) -> list[str]:
    """What is new since the last look."""
    if before is None:
        return status_lines(now)[:6]
    lines = [f"{name}: {before[name]} -> {now[name]}" for name in ("version", "evacuated", "reckons", "term")
             if before[name] != now[name]]
    if (old := sorted(before["voters"])) != (new := sorted(now["voters"])):
        lines.append(f"voters: {', '.join(old)} -> {', '.join(new)}")

    def fronts(value: dict) -> dict[str, str]:
        return {row[0]: f"{'ready' if row[5] else 'not ready'}, version {row[6]}" for row in value["fronts"]}

    def backends(value: dict) -> dict[str, str]:
        return {row[0]: "lost" if row[LOST] else row[STATE] for row in value["backends"]}

    for kind, read in (("front", fronts), ("backend", backends)):
        one, other = read(before), read(now)
        lines += [f"{kind} {key}: {one.get(key, 'unknown')} -> {other.get(key, 'unknown')}"
                  for key in sorted({*one, *other}) if one.get(key) != other.get(key)]
    return lines


def route(held: dict, status: dict, host: str, path: str) -> Result[dict, Failure]:
    """Which route a request takes, and where it may be sent to."""
    rules = [r for entry in held["listener_table"] if entry["host"] == host for r in entry["rule_set"]]
    if not rules:
        return Err(Failure("explain", host, "no route has this host"))
    path = path.partition("?")[0]
    fits = [r for r in rules if path.startswith(r["match_criteria"]["path_prefix"])]
    if not fits:
        prefixes = ", ".join(sorted(r["match_criteria"]["path_prefix"] for r in rules))
        return Err(Failure("explain", host + path, f"no prefix begins it; the host has {prefixes}"))
    rule = max(fits, key=lambda r: len(r["match_criteria"]["path_prefix"]))
    action = rule["route_action"]
    split = action.get("traffic_split") or [{"service": action["service"], "traffic_weight": 1}]
    homes = set(action.get("home_regions") or ())
    zones = {zone: region for _, _, zone, region, *_ in status["fronts"]}
    services = {}
    for part in split:
        rows = [b for b in status["backends"] if b[2] == part["service"]]
        able = [b for b in rows if b[STATE] == "ready" and not b[LOST] and b[3] not in status["evacuated"]
                and (not homes or zones.get(b[3]) in homes)]
        services[part["service"]] = {"weight": part["traffic_weight"], "backends": len(rows),
                                     "may be sent to": sorted(b[0] for b in able)}
    return Ok({"route": rule["name"], "kind": rule["kind"], "prefix": rule["match_criteria"]["path_prefix"],
               "version": held["version"], "public": bool(rule.get("public")), "homes": sorted(homes),
               "aim_s": rule.get("target_latency_s"), "timeout_s": action.get("request_timeout_s"),
               "attempts": action.get("max_attempts", 1), "services": services})


def tenant(held: dict, parts: dict, name: str) -> Result[dict, Failure]:
    """A tenant's quota, and which front holds how much of it."""
    one = next((t for t in held.get("tenants") or () if t["name"] == name), None)
    if one is None:
        return Err(Failure("explain", name, "there is no such tenant"))
    rate, whole = one.get("rate_per_s") or 0, parts.get("whole", 1)
    fronts = {ip: {"asked_per_s": f["asked"].get(name, 0.0), "part": f["quotas"].get(name, 0) / whole,
                   "rate_per_s": round(rate * f["quotas"].get(name, 0) / whole, 2)}
              for ip, f in sorted(parts.get("fronts", {}).items())}
    return Ok({"tenant": name, "priority": one.get("route_priority", 0), "rate_per_s": rate,
               "burst": one.get("burst_size") or 0, "keys": len(one.get("api_keys", ())),
               "homes": sorted(one.get("home_regions") or ()), "reckoned by": parts.get("node", "nobody"),
               "term": parts.get("term", 0), "all parts are known": parts.get("settled", False),
               "lent": round(sum(f["part"] for f in fronts.values()), 3), "fronts": fronts,
               **({"drawn from its pool": pool} if (pool := parts.get("pools", {}).get(name)) is not None else {})})


def backend(held: dict, status: dict, parts: dict, id: str) -> Result[dict, Failure]:
    """One life of a backend: whether it is sent to, and if not why."""
    row = next((b for b in status["backends"] if b[0] == id), None)
    if row is None:
        return Err(Failure("explain", id, f"core machine {status['node']} knows no such backend"))
    _, where, service, zone, slots, version, state, sequence, cold, age, lost = row
    why = [text for holds, text in (
        (state != "ready", f"it is {state}"), (lost, "no core machine hears it"),
        (zone in status["evacuated"], f"zone {zone} is evacuated"),
        (service not in {c["name"] for c in held["clusters"]}, f"no service is named {service}")) if holds]
    lent = {ip: f["cold"][id] for ip, f in sorted(parts.get("fronts", {}).items()) if id in f["cold"]}
    return Ok({"backend": id, "address": where, "service": service, "zone": zone, "slots": slots, "version": version,
               "sequence": sequence, "heard_s_ago": age, "cold_for_s": cold, "sent to": not why,
               "why not": why, **({"cold tries a second": lent} if cold or lent else {})})


def lines(value: dict, indent: str = "") -> list[str]:
    """A value for people: a line for each figure."""
    out = []
    for key, what in value.items():
        if isinstance(what, dict) and what:
            out += [f"{indent}{key}:", *lines(what, indent + "  ")]
        else:
            text = ", ".join(map(str, what)) if isinstance(what, list) else str(what)
            out.append(f"{indent}{key}: {text or 'none'}")
    return out
