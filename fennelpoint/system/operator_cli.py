"""The command line for operators of the system.

Usage:
  larchwing-system status [--core ADDRESS]... [--json]
  larchwing-system get [--core ADDRESS]...
  larchwing-system apply FILE [--core ADDRESS]... [--dry-run]
  larchwing-system patch FILE [--core ADDRESS]... [--dry-run]
  larchwing-system evacuate ZONE [--core ADDRESS]...
  larchwing-system restore ZONE [--core ADDRESS]...
  larchwing-system explain (route HOST PATH | tenant NAME | backend ID) [--core ADDRESS]... [--json]
  larchwing-system watch [--for SECONDS] [--core ADDRESS]...
  larchwing-system snapshot FILE [--core ADDRESS]...
  larchwing-system revive FILE [--core ADDRESS]...
  larchwing-system check FILE
  larchwing-system events
  larchwing-system -h | --help

Options:
  --core ADDRESS  control plane address (ip:port) of a core machine; may be repeated.  The default is the
                  comma-separated list in LARCHWING_CORES
  --dry-run       validate the file and print what would change
  --json          print JSON
  --for SECONDS   how long to watch; without it, until interrupted

Exit codes: 0 success, 1 no conclusive answer from any core machine, 2 invalid input, 3 refused by the core.
"""

from __future__ import annotations

import http.client
import json
import os
import sys
import time
from pathlib import Path
from urllib.parse import urlsplit

from docopt import docopt
from result import Err, Ok, Result

from fennelpoint.system import config_versions, explain, snapshots
from fennelpoint.system.events import Event
from fennelpoint.system.failure import Failure
from fennelpoint.system.settings import parse_address

EXIT_OK, EXIT_INCONCLUSIVE, EXIT_INVALID_INPUT, EXIT_REFUSED = 0, 1, 2, 3
RESPONSE_TIMEOUT_S, ROUNDS = 4.0, 3  # rounds in which all core machines are tried
MAX_REDIRECTS = 2
WATCH_INTERVAL_S = 1.0
INCONCLUSIVE_STATUSES = (408, 429, 500, 502, 503, 504)


def call(cores: list[str], method: str, path: str, body: bytes = b"") -> Result[bytes, Failure]:
    """Returns the body of a 2xx response.

    Tries the core machines until one answers conclusively: every call is idempotent and may be sent again.
    """
    last = Failure("call", "", "no core machine given: use --core or LARCHWING_CORES", 0)
    remaining, redirects = cores * ROUNDS, 0
    while remaining:
        core = remaining.pop(0)
        try:
            host, port = parse_address(core)
            connection = http.client.HTTPConnection(host, port, timeout=RESPONSE_TIMEOUT_S)
            connection.request(method, path, body or None, {"Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read()
        except (OSError, ValueError, http.client.HTTPException) as error:
            last = Failure(f"{method} {path}", core, str(error) or type(error).__name__, 0)
            continue
        if response.status < 300:
            return Ok(data)
        if response.status == 307 and redirects < MAX_REDIRECTS:
            redirects += 1
            remaining.insert(0, urlsplit(response.headers["Location"] or "").netloc)
            continue
        reason = data.decode(errors="replace")
        try:
            reason = json.loads(data)["error_message"]
        except (ValueError, KeyError, TypeError):
            pass
        last = Failure(f"{method} {path}", core, reason, response.status)
        if response.status not in INCONCLUSIVE_STATUSES:
            return Err(last)
    return Err(last)


def read_change(path: str) -> Result[dict, Failure]:
    """Reads a configuration or a patch from a file."""
    try:
        return config_versions.decode(Path(path).read_bytes())
    except OSError as error:
        return Err(Failure("read", path, str(error)))


def items_by_name(value: dict) -> dict[str, dict[str, object]]:
    """Returns the items of a configuration by kind and name, to compare two configurations."""
    return {"routes": {rule["name"]: (entry["host"], rule)
                       for entry in value.get("listener_table", ()) for rule in entry["rule_set"]},
            "services": {cluster["name"]: cluster for cluster in value.get("clusters", ())},
            "tenants": {tenant["name"]: tenant for tenant in value.get("tenants") or ()}}


def differences(before: dict, after: dict) -> list[str]:
    """Returns one line for each item that is added (+), removed (-) or changed (~)."""
    lines = []
    old, new = items_by_name(before), items_by_name(after)
    for kind in old:
        for name in sorted({*old[kind], *new[kind]}):
            if old[kind].get(name) != new[kind].get(name):
                sign = "+" if name not in old[kind] else "-" if name not in new[kind] else "~"
                lines.append(f"{sign} {kind} {name}")
    return lines


def event_table() -> str:
    """Returns the numbered log events as a Markdown table."""
    rows = [f"| {number} | {event.name} | {level} | `{text}` | {meaning} |"
            for event, (number, level, text, meaning) in ((e, e.value) for e in Event)]
    head = ["# Log events of the system", "", "Generated by `larchwing-system events`; a test compares both.", "",
            "| number | event | level | text | meaning |", "| --- | --- | --- | --- | --- |"]
    return "\n".join([*head, *rows, ""])


def _apply_change(cores: list[str], method: str, path: str, is_dry_run: bool) -> int:
    """Validates a configuration (PUT) or a patch of it (PATCH), and sends it to the core."""
    read = read_change(path)
    if isinstance(read, Err):
        return _fail(read.err_value, EXIT_INVALID_INPUT)
    value = read.ok_value
    from fennelpoint.system.config_schema import check_and_compile

    current = call(cores, "GET", "/api/configuration") if is_dry_run or method == "PATCH" else Ok(b"{}")
    if isinstance(current, Err) and current.err_value.status != 404:
        return _fail(current.err_value, EXIT_INCONCLUSIVE)
    before = json.loads(current.ok_value) if isinstance(current, Ok) else {}
    merged = config_versions.merge(before, value) if method == "PATCH" else Ok(value)
    validated = merged.and_then(check_and_compile)
    if isinstance(validated, Err):
        return _fail(validated.err_value, EXIT_INVALID_INPUT)
    if is_dry_run:
        print("\n".join(differences(before, merged.ok_value)) or "nothing would change")
        return EXIT_OK
    return _report(call(cores, method, "/api/configuration", json.dumps(value).encode()))


def _fail(failure: Failure, code: int) -> int:
    """Prints a failure; returns the exit code."""
    print(f"larchwing-system: {failure}", file=sys.stderr)
    return code


def _report(answer: Result[bytes, Failure]) -> int:
    """Prints the outcome of a call; returns the exit code."""
    if isinstance(answer, Ok):
        print("done")
        return EXIT_OK
    status = answer.err_value.status
    return _fail(answer.err_value, EXIT_REFUSED if 400 <= status < 500 and status not in INCONCLUSIVE_STATUSES
                 else EXIT_INCONCLUSIVE)


def _explain(cores: list[str], arguments: dict) -> int:
    """Explains a route, a tenant or a backend."""
    values = {}
    for name, path in (("configuration", "/api/configuration"), ("status", "/api/status"), ("parts", "/api/parts")):
        answer = call(cores, "GET", path)
        if isinstance(answer, Err) and name != "parts":     # while no machine allocates, the explanation says so
            return _report(answer)
        values[name] = json.loads(answer.ok_value) if isinstance(answer, Ok) else {}
    if arguments["route"]:
        explanation = explain.route(values["configuration"], values["status"], arguments["HOST"], arguments["PATH"])
    elif arguments["tenant"]:
        explanation = explain.tenant(values["configuration"], values["parts"], arguments["NAME"])
    else:
        explanation = explain.backend(values["configuration"], values["status"], values["parts"], arguments["ID"])
    if isinstance(explanation, Err):
        return _fail(explanation.err_value, EXIT_INVALID_INPUT)
    print(json.dumps(explanation.ok_value) if arguments["--json"] else "\n".join(explain.lines(explanation.ok_value)))
    return EXIT_OK


def _watch(cores: list[str], seconds: float | None) -> int:
    """Prints each change of the status, once a second."""
    before, end = None, None if seconds is None else time.monotonic() + seconds
    while end is None or time.monotonic() < end:
        answer = call(cores, "GET", "/api/status")
        if isinstance(answer, Err):
            print(f"{time.strftime('%H:%M:%S')} {answer.err_value}", flush=True)
        else:
            now = json.loads(answer.ok_value)
            for line in explain.changes(before, now):
                print(f"{time.strftime('%H:%M:%S')} {line}", flush=True)
            before = now
        time.sleep(WATCH_INTERVAL_S)
    return EXIT_OK


def main(argv: list[str] | None = None) -> int:
    """Runs the command; returns its exit code."""
    arguments = docopt(__doc__, argv)
    cores = arguments["--core"] or [core for core in os.environ.get("LARCHWING_CORES", "").split(",") if core]
    if arguments["events"]:
        print(event_table(), end="")
        return EXIT_OK
    if arguments["check"]:
        from fennelpoint.system.settings_schema import check_settings

        validated = check_settings(arguments["FILE"])
        return EXIT_OK if isinstance(validated, Ok) else _fail(validated.err_value, EXIT_INVALID_INPUT)
    if arguments["apply"] or arguments["patch"]:
        return _apply_change(
            cores, "PATCH" if arguments["patch"] else "PUT", arguments["FILE"], arguments["--dry-run"])
    if arguments["evacuate"] or arguments["restore"]:
        return _report(call(
            cores, "POST" if arguments["evacuate"] else "DELETE", f"/api/evacuation/{arguments['ZONE']}"))
    if arguments["explain"]:
        return _explain(cores, arguments)
    if arguments["watch"]:
        return _watch(cores, float(arguments["--for"]) if arguments["--for"] else None)
    if arguments["snapshot"]:
        answer = call(cores, "GET", "/api/snapshot")
        return _report(answer.and_then(lambda data: snapshots.write(arguments["FILE"], json.loads(data))))
    if arguments["revive"]:
        read = snapshots.read(arguments["FILE"])
        if isinstance(read, Err):
            return _fail(read.err_value, EXIT_INVALID_INPUT)
        return _report(call(cores, "PUT", "/api/snapshot", json.dumps(read.ok_value).encode()))
    answer = call(cores, "GET", "/api/status" if arguments["status"] else "/api/configuration")
    if isinstance(answer, Err):
        return _report(answer)
    if arguments["status"] and not arguments["--json"]:
        print("\n".join(explain.status_lines(json.loads(answer.ok_value))))
    else:
        print(answer.ok_value.decode())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
