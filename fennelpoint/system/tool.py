"""The whole system from an operator's shell.

Usage:
  larchwing-system status [--core ADDRESS]... [--json]
  larchwing-system get [--core ADDRESS]...
  larchwing-system apply FILE [--core ADDRESS]... [--dry-run]
  larchwing-system patch FILE [--core ADDRESS]... [--dry-run]
  larchwing-system evacuate ZONE [--core ADDRESS]...
  larchwing-system restore ZONE [--core ADDRESS]...
  larchwing-system check FILE
  larchwing-system events
  larchwing-system -h | --help

Options:
  --core ADDRESS  a core machine's address for calls, ip:port; more than one may be given.  Else those in
                  LARCHWING_CORES, with commas between
  --dry-run       check it, and say what would change
  --json          figures as JSON

Ends with 0 when it is done, 1 when no core machine gave a clear answer, 2 for a fault in what was given, 3 when it
was refused.
"""

from __future__ import annotations

import http.client
import json
import os
import sys
from pathlib import Path

from docopt import docopt
from result import Err, Ok, Result

from fennelpoint.system import versions
from fennelpoint.system.events import Event
from fennelpoint.system.failure import Failure
from fennelpoint.system.settings import address

DONE, UNCLEAR, FAULTY, REFUSED = 0, 1, 2, 3
WAIT, ROUNDS = 4.0, 3   # s for an answer; times that all core machines are tried
UNCLEAR_STATUS = (408, 429, 500, 502, 503, 504)


def call(cores: list[str], method: str, path: str, body: bytes = b"") -> Result[bytes, Failure]:
    """The body of a 2xx; core machines are tried until one answers clearly: calls may be sent again as they are."""
    last = Failure("call", "", "no core machine is named: --core or LARCHWING_CORES", 0)
    for core in cores * ROUNDS:
        try:
            host, port = address(core)
            connection = http.client.HTTPConnection(host, port, timeout=WAIT)
            connection.request(method, path, body or None, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, ValueError, http.client.HTTPException) as error:
            last = Failure(f"{method} {path}", core, str(error) or type(error).__name__, 0)
            continue
        if answer.status < 300:
            return Ok(data)
        reason = data.decode(errors="replace")
        try:
            reason = json.loads(data)["error_message"]
        except (ValueError, KeyError, TypeError):
            pass
        last = Failure(f"{method} {path}", core, reason, answer.status)
        if answer.status not in UNCLEAR_STATUS:
            return Err(last)
    return Err(last)


def read_change(path: str) -> Result[dict, Failure]:
    """A configuration or a change of a file."""
    try:
        return versions.decode(Path(path).read_bytes())
    except OSError as error:
        return Err(Failure("read", path, str(error)))


def names(value: dict) -> dict[str, dict[str, object]]:
    """Items by kind and name, to compare two configurations."""
    return {"routes": {r["name"]: (e["host"], r) for e in value.get("listener_table", ()) for r in e["rule_set"]},
            "services": {c["name"]: c for c in value.get("clusters", ())},
            "tenants": {t["name"]: t for t in value.get("tenants") or ()}}


def differences(before: dict, after: dict) -> list[str]:
    """One line for each item that is new, gone or another."""
    lines = []
    old, new = names(before), names(after)
    for kind in old:
        for name in sorted({*old[kind], *new[kind]}):
            if old[kind].get(name) != new[kind].get(name):
                sign = "+" if name not in old[kind] else "-" if name not in new[kind] else "~"
                lines.append(f"{sign} {kind} {name}")
    return lines


def status_lines(value: dict) -> list[str]:
    """What one core machine sees, for people."""
    lines = [f"core machine {value['node']}: version {value['version']}, revision {value['revision']}",
             f"voters: {', '.join(f'{ip} ({zone})' for ip, zone in sorted(value['voters'].items()))}",
             f"evacuated: {', '.join(value['evacuated']) or 'no zone'}",
             f"parts are reckoned by: {value['reckons'] or 'nobody'}"]
    for ip, where, zone, _, _, ready, age in sorted(value["fronts"]):
        lines.append(f"front {ip} {zone} at {where}: {'ready' if ready else 'not ready'}, heard {age:.1f} s ago")
    for id, where, service, zone, slots, _, state, _, cold, age in sorted(value["backends"], key=lambda b: b[2:4]):
        lines.append(f"backend {id} {service} {zone} at {where}: {state}, {slots} slots, heard {age:.1f} s ago"
                     + (f", cold for {cold:.1f} s" if cold else ""))
    return lines


def catalogue() -> str:
    """The numbered log events as a table of Markdown."""
    rows = [f"| {number} | {event.name} | {level} | `{text}` | {meaning} |"
            for event, (number, level, text, meaning) in ((e, e.value) for e in Event)]
    head = ["# Log events of the system", "", "Made by `larchwing-system events`; a test holds it equal.", "",
            "| number | event | level | text | what it means |", "| --- | --- | --- | --- | --- |"]
    return "\n".join([*head, *rows, ""])


def _change(cores: list[str], kind: str, path: str, dry: bool) -> int:
    read = read_change(path)
    if isinstance(read, Err):
        return _fail(read.err_value, FAULTY)
    value = read.ok_value
    from fennelpoint.system.forms import check

    held = call(cores, "GET", "/api/configuration") if dry or kind == "PATCH" else Ok(b"{}")
    if isinstance(held, Err) and held.err_value.status != 404:
        return _fail(held.err_value, UNCLEAR)
    before = json.loads(held.ok_value) if isinstance(held, Ok) else {}
    whole = versions.merge(before, value) if kind == "PATCH" else Ok(value)
    checked = whole.and_then(check)
    if isinstance(checked, Err):
        return _fail(checked.err_value, FAULTY)
    if dry:
        print("\n".join(differences(before, whole.ok_value)) or "nothing would change")
        return DONE
    return _said(call(cores, kind, "/api/configuration", json.dumps(value).encode()))


def _fail(failure: Failure, code: int) -> int:
    print(f"larchwing-system: {failure}", file=sys.stderr)
    return code


def _said(answer: Result[bytes, Failure]) -> int:
    if isinstance(answer, Ok):
        print("done")
        return DONE
    status = answer.err_value.status
    return _fail(answer.err_value, REFUSED if 400 <= status < 500 and status not in UNCLEAR_STATUS else UNCLEAR)


def main(argv: list[str] | None = None) -> int:
    """The command; returns its exit code."""
    asked = docopt(__doc__, argv)
    cores = asked["--core"] or [c for c in os.environ.get("LARCHWING_CORES", "").split(",") if c]
    if asked["events"]:
        print(catalogue(), end="")
        return DONE
    if asked["check"]:
        from fennelpoint.system.checks import check_settings

        checked = check_settings(asked["FILE"])
        return DONE if isinstance(checked, Ok) else _fail(checked.err_value, FAULTY)
    if asked["apply"] or asked["patch"]:
        return _change(cores, "PATCH" if asked["patch"] else "PUT", asked["FILE"], asked["--dry-run"])
    if asked["evacuate"] or asked["restore"]:
        return _said(call(cores, "POST" if asked["evacuate"] else "DELETE", f"/api/evacuation/{asked['ZONE']}"))
    answer = call(cores, "GET", "/api/status" if asked["status"] else "/api/configuration")
    if isinstance(answer, Err):
        return _said(answer)
    if asked["status"] and not asked["--json"]:
        print("\n".join(status_lines(json.loads(answer.ok_value))))
    else:
        print(answer.ok_value.decode())
    return DONE


if __name__ == "__main__":
    sys.exit(main())
