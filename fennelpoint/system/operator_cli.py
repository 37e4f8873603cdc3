"""The whole system from an operator's shell.

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
  --core ADDRESS  a core machine's address for calls, ip:port; more than one may be given.  Else those in
                  LARCHWING_CORES, with commas between
  --dry-run       check it, and say what would change
  --json          figures as JSON
  --for SECONDS   how long to watch; else until it is stopped

Ends with 0 when it is done, 1 when no core machine gave a clear answer, 2 for a fault in what was given, 3 when it
was refused.
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

DONE, UNCLEAR, FAULTY, REFUSED = 0, 1, 2, 3
WAIT, ROUNDS = 4.0, 3   # s for an answer; times that all core machines are tried
FOLLOWED = 2            # times that a core machine may name another one for a call
LOOK = 1.0              # s between two looks while watching
UNCLEAR_STATUS = (408, 429, 500, 502, 503, 504)


def call(cores: list[str], method: str, path: str, body: bytes = b"") -> Result[bytes, Failure]:
    """The body of a 2xx; core machines are tried until one answers clearly: calls may be sent again as they are."""
    last = Failure("call", "", "no core machine is named: --core or LARCHWING_CORES", 0)
    left, followed = cores * ROUNDS, 0
    while left:
        core = left.pop(0)
        try:
            host, port = parse_address(core)
            connection = http.client.HTTPConnection(host, port, timeout=WAIT)
            connection.request(method, path, body or None, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, ValueError, http.client.HTTPException) as error:
            last = Failure(f"{method} {path}", core, str(error) or type(error).__name__, 0)
            continue
        if answer.status < 300:
            return Ok(data)
        if answer.status == 307 and followed < FOLLOWED:
            followed += 1
            left.insert(0, urlsplit(answer.headers["Location"] or "").netloc)
            continue
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
        return config_versions.decode(Path(path).read_bytes())
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
    from fennelpoint.system.config_schema import check

    held = call(cores, "GET", "/api/configuration") if dry or kind == "PATCH" else Ok(b"{}")
    if isinstance(held, Err) and held.err_value.status != 404:
        return _fail(held.err_value, UNCLEAR)
    before = json.loads(held.ok_value) if isinstance(held, Ok) else {}
    whole = config_versions.merge(before, value) if kind == "PATCH" else Ok(value)
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


def _explain(cores: list[str], asked: dict) -> int:
    got = {}
    for name, path in (("held", "/api/configuration"), ("status", "/api/status"), ("parts", "/api/parts")):
        answer = call(cores, "GET", path)
        if isinstance(answer, Err) and name != "parts":     # nobody reckons for a moment: told as such
            return _said(answer)
        got[name] = json.loads(answer.ok_value) if isinstance(answer, Ok) else {}
    if asked["route"]:
        told = explain.route(got["held"], got["status"], asked["HOST"], asked["PATH"])
    elif asked["tenant"]:
        told = explain.tenant(got["held"], got["parts"], asked["NAME"])
    else:
        told = explain.backend(got["held"], got["status"], got["parts"], asked["ID"])
    if isinstance(told, Err):
        return _fail(told.err_value, FAULTY)
    print(json.dumps(told.ok_value) if asked["--json"] else "\n".join(explain.lines(told.ok_value)))
    return DONE


def _watch(cores: list[str], seconds: float | None) -> int:
    """A line for all that is new, each second."""
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
        time.sleep(LOOK)
    return DONE


def main(argv: list[str] | None = None) -> int:
    """The command; returns its exit code."""
    asked = docopt(__doc__, argv)
    cores = asked["--core"] or [c for c in os.environ.get("LARCHWING_CORES", "").split(",") if c]
    if asked["events"]:
        print(catalogue(), end="")
        return DONE
    if asked["check"]:
        from fennelpoint.system.settings_schema import check_settings

        checked = check_settings(asked["FILE"])
        return DONE if isinstance(checked, Ok) else _fail(checked.err_value, FAULTY)
    if asked["apply"] or asked["patch"]:
        return _change(cores, "PATCH" if asked["patch"] else "PUT", asked["FILE"], asked["--dry-run"])
    if asked["evacuate"] or asked["restore"]:
        return _said(call(cores, "POST" if asked["evacuate"] else "DELETE", f"/api/evacuation/{asked['ZONE']}"))
    if asked["explain"]:
        return _explain(cores, asked)
    if asked["watch"]:
        return _watch(cores, float(asked["--for"]) if asked["--for"] else None)
    if asked["snapshot"]:
        answer = call(cores, "GET", "/api/snapshot")
        return _said(answer.and_then(lambda data: snapshots.write(asked["FILE"], json.loads(data))))
    if asked["revive"]:
        read = snapshots.read(asked["FILE"])
        if isinstance(read, Err):
            return _fail(read.err_value, FAULTY)
        return _said(call(cores, "PUT", "/api/snapshot", json.dumps(read.ok_value).encode()))
    answer = call(cores, "GET", "/api/status" if asked["status"] else "/api/configuration")
    if isinstance(answer, Err):
        return _said(answer)
    if asked["status"] and not asked["--json"]:
        print("\n".join(explain.status_lines(json.loads(answer.ok_value))))
    else:
        print(answer.ok_value.decode())
    return DONE


if __name__ == "__main__":
    sys.exit(main())
