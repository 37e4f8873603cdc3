"""Reports for operators from the values that the core's API returns: status, changes, and explanations.

The functions take and return plain values; `operator_cli.py` calls the API and prints.
"""

from __future__ import annotations

from result import Err, Ok, Result

from fennelpoint.system.failure import Failure

STATE, LOST = 6, 10     # indexes in the row of a backend


def status_lines(value: dict) -> list[str]:
    """Returns the status that one core machine reports, as lines of text."""
    voters = ", ".join(f"{ip} ({zone})" for ip, zone in sorted(value["voters"].items()))
    lines = [f"core machine {value['node']}: version {value['version']}, revision {value['revision']}",
             f"voters: {voters}" + (", changing" if value["before"] else ""),
             f"standby members: {', '.join(sorted(value['ready'])) or 'none'}",
             f"connected to: {', '.join(value['linked']) or 'none'}",
             f"evacuated: {', '.join(value['evacuated']) or 'no zone'}",
             f"quota shares allocated by: {value['reckons'] or 'no machine'}, term {value['term']}"]
    for ip, address, zone, _, _, is_ready, version, age in sorted(value["fronts"]):
        behind = f", outdated: version {version}" if ip in value["behind"] else ""
        readiness = "ready" if is_ready else "not ready"
        lines.append(f"proxy {ip} {zone} at {address}: {readiness}, last seen {age:.1f} s ago{behind}")
    for id, address, service, zone, slots, _, state, _, cold_for_s, age, is_lost in sorted(
            value["backends"], key=lambda row: row[2:4]):
        lines.append(f"backend {id} {service} {zone} at {address}: {'lost' if is_lost else state}, {slots} slots, "
                     f"last heartbeat {age:.1f} s ago"
                     + (f", in cold start for {cold_for_s:.1f} s" if cold_for_s else ""))
    return lines


def changes(before: dict | None, now: dict) -> list[str]:
    """Returns the changes since the previous status; the summary of the status if there is none."""
    if before is None:
        return status_lines(now)[:6]
    lines = [f"{name}: {before[name]} -> {now[name]}" for name in ("version", "evacuated", "reckons", "term")
             if before[name] != now[name]]
    if (old := sorted(before["voters"])) != (new := sorted(now["voters"])):
        lines.append(f"voters: {', '.join(old)} -> {', '.join(new)}")

    def proxies(value: dict) -> dict[str, str]:
        return {row[0]: f"{'ready' if row[5] else 'not ready'}, version {row[6]}" for row in value["fronts"]}

    def backends(value: dict) -> dict[str, str]:
        return {row[0]: "lost" if row[LOST] else row[STATE] for row in value["backends"]}

    for kind, summarize in (("proxy", proxies), ("backend", backends)):
        old_items, new_items = summarize(before), summarize(now)
        lines += [f"{kind} {key}: {old_items.get(key, 'unknown')} -> {new_items.get(key, 'unknown')}"
                  for key in sorted({*old_items, *new_items}) if old_items.get(key) != new_items.get(key)]
    return lines


def route(configuration: dict, status: dict, host: str, path: str) -> Result[dict, Failure]:
    """Explains which route a request takes, and to which backends it may be sent."""
    rules = [rule for entry in configuration["listener_table"] if entry["host"] == host for rule in entry["rule_set"]]
    if not rules:
        return Err(Failure("explain", host, "no route for this host"))
    path = path.partition("?")[0]
    matching = [rule for rule in rules if path.startswith(rule["match_criteria"]["path_prefix"])]
    if not matching:
        prefixes = ", ".join(sorted(rule["match_criteria"]["path_prefix"] for rule in rules))
        return Err(Failure("explain", host + path, f"no path prefix matches; the host has {prefixes}"))
    rule = max(matching, key=lambda rule: len(rule["match_criteria"]["path_prefix"]))
    action = rule["route_action"]
    split = action.get("traffic_split") or [{"service": action["service"], "traffic_weight": 1}]
    home_regions = set(action.get("home_regions") or ())
    region_of_zone = {zone: region for _, _, zone, region, *_ in status["fronts"]}
    services = {}
    for target in split:
        rows = [row for row in status["backends"] if row[2] == target["service"]]
        eligible = [row for row in rows
                    if row[STATE] == "ready" and not row[LOST] and row[3] not in status["evacuated"]
                    and (not home_regions or region_of_zone.get(row[3]) in home_regions)]
        services[target["service"]] = {"weight": target["traffic_weight"], "backends": len(rows),
                                     "may be sent to": sorted(row[0] for row in eligible)}
    return Ok({"route": rule["name"], "kind": rule["kind"], "prefix": rule["match_criteria"]["path_prefix"],
               "version": configuration["version"], "public": bool(rule.get("public")), "homes": sorted(home_regions),
               "aim_s": rule.get("target_latency_s"), "timeout_s": action.get("request_timeout_s"),
               "attempts": action.get("max_attempts", 1), "services": services})


def tenant(configuration: dict, allocation: dict, name: str) -> Result[dict, Failure]:
    """Explains a tenant's quota, and which proxy holds which share of it."""
    item = next((item for item in configuration.get("tenants") or () if item["name"] == name), None)
    if item is None:
        return Err(Failure("explain", name, "no such tenant"))
    rate, total_shares = item.get("rate_per_s") or 0, allocation.get("whole", 1)
    proxies = {ip: {"asked_per_s": proxy["asked"].get(name, 0.0),
                    "part": proxy["quotas"].get(name, 0) / total_shares,
                    "rate_per_s": round(rate * proxy["quotas"].get(name, 0) / total_shares, 2)}
               for ip, proxy in sorted(allocation.get("fronts", {}).items())}
    return Ok({"tenant": name, "priority": item.get("route_priority", 0), "rate_per_s": rate,
               "burst": item.get("burst_size") or 0, "keys": len(item.get("api_keys", ())),
               "homes": sorted(item.get("home_regions") or ()), "reckoned by": allocation.get("node", "nobody"),
               "term": allocation.get("term", 0), "all parts are known": allocation.get("settled", False),
               "lent": round(sum(proxy["part"] for proxy in proxies.values()), 3), "fronts": proxies,
               **({"drawn from its pool": pool}
                  if (pool := allocation.get("pools", {}).get(name)) is not None else {})})


def backend(configuration: dict, status: dict, allocation: dict, id: str) -> Result[dict, Failure]:
    """Explains whether requests are sent to an incarnation of a backend, and if not, why."""
    row = next((row for row in status["backends"] if row[0] == id), None)
    if row is None:
        return Err(Failure("explain", id, f"core machine {status['node']} has no such backend"))
    _, address, service, zone, slots, version, state, sequence, cold_for_s, age, is_lost = row
    reasons = [text for applies, text in (
        (state != "ready", f"it is {state}"), (is_lost, "no core machine receives its heartbeats"),
        (zone in status["evacuated"], f"zone {zone} is evacuated"),
        (service not in {cluster["name"] for cluster in configuration["clusters"]}, f"no service is named {service}"))
               if applies]
    leased_rates = {ip: proxy["cold"][id] for ip, proxy in sorted(allocation.get("fronts", {}).items())
                    if id in proxy["cold"]}
    return Ok({"backend": id, "address": address, "service": service, "zone": zone, "slots": slots,
               "version": version, "sequence": sequence, "heard_s_ago": age, "cold_for_s": cold_for_s,
               "sent to": not reasons,
               "why not": reasons, **({"cold tries a second": leased_rates} if cold_for_s or leased_rates else {})})


def lines(value: dict, indent: str = "") -> list[str]:
    """Returns a value as lines of text, one for each item."""
    output = []
    for key, item in value.items():
        if isinstance(item, dict) and item:
            output += [f"{indent}{key}:", *lines(item, indent + "  ")]
        else:
            text = ", ".join(map(str, item)) if isinstance(item, list) else str(item)
            output.append(f"{indent}{key}: {text or 'none'}")
    return output
