"""`larchwing fleet ...`: runs a keeper (coordinator), publishes versions and queries the state of the fleet."""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
from collections.abc import Coroutine
from datetime import UTC, datetime
from pathlib import Path

import click

from fennelpoint.validation_errors import Fault, FaultyFile

EXIT_INVALID_INPUT, EXIT_CALL_FAILED = 2, 1
STATUS_EXIT_CODES = {"ok": 0, "behind": 3, "unknown": 4, "out": 5}      # by the worst status of a member
FILE = click.Path(dir_okay=False)
CONFIG = click.option("--config", "operator_file", default="deploy/operator.toml", show_default=True, type=FILE,
                      help="The operator file; its keeper or fleet section lists the keepers.")
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
WHO = click.option("--who", default=getpass.getuser, help="Who makes the change; the current user by default.")
WHY = click.option("--why", required=True, help="The reason, in a few words; it is kept in the audit trail.")


@click.group()
def fleet() -> None:
    """Versions that the whole fleet acts on: publish them, and see who acts on which and why (docs/fleet.md)."""


def _exit_with_faults(error: FaultyFile) -> None:
    for fault in error.faults:
        click.echo(str(fault), err=True)
    sys.exit(EXIT_INVALID_INPUT)


def _fleet_client(operator_file: str):
    """A client of the coordinators that the file lists; exits if the file is invalid or lists none."""
    from fennelpoint.fleet.queries import FleetClient
    from fennelpoint.operator_config import address_of, read_operator

    try:
        operator = read_operator(operator_file)
    except FaultyFile as error:
        return _exit_with_faults(error)
    section = operator.keeper or operator.fleet
    if section is None:
        return _exit_with_faults(FaultyFile([
            Fault(operator_file, 0, "", "there is neither a keeper nor a fleet section")]))
    return FleetClient(dict(map(address_of, section.keepers)))


def _run(coroutine: Coroutine) -> object:
    """Run a coroutine to its result; exits if the call fails."""
    from fennelpoint.fleet.rpc import CallFailed

    try:
        return asyncio.run(coroutine)
    except CallFailed as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_CALL_FAILED)


@fleet.command()
@click.argument("name")
@CONFIG
@click.option("--found", "record", default="", help="Create a record of this name; give it to every keeper, once.")
@click.option("--after", default=0, type=click.IntRange(0), help="Continue after this version of a record that "
              "was lost: ingresses never go back to an earlier version.")
@click.option("--licence-s", default=3.0, show_default=True, type=click.FloatRange(0.5, 60.0))
@click.option("--settle-s", default=5.0, show_default=True, type=click.FloatRange(0.5, 600.0))
@click.option("--share", default=0.25, show_default=True, type=click.FloatRange(0.0, 0.5),
              help="Share of the fleet that may be shut out at a time.")
@click.option("--zone-share", default=0.5, show_default=True, type=click.FloatRange(0.0, 1.0))
@click.option("--set-width", default=2, show_default=True, type=click.IntRange(1, 1000),
              help="Consecutive ingresses that serve one agency; they are never all shut out.")
@click.option("--ring", default=0, type=click.IntRange(0, 1000),
              help="Number of ingresses on the ring of such sets; 0: no sets.")
def keep(name: str, operator_file: str, record: str, after: int, licence_s: float, settle_s: float, share: float,
         zone_share: float, set_width: int, ring: int) -> None:
    """Run the keeper (coordinator) NAME until SIGTERM."""
    from fennelpoint.fleet import state
    from fennelpoint.fleet.coordinator import run

    founding = state.initial_state(record, state.Bounds(licence_s, settle_s, share, zone_share, set_width, ring),
                                   after) if record else None
    try:
        asyncio.run(run(operator_file, name, founding, click.echo))
    except FaultyFile as error:
        _exit_with_faults(error)


@fleet.command()
@CONFIG
@click.option("--cells", type=FILE, help="A cell plan.")
@click.option("--plans", type=FILE, help="Plan parameters.")
@click.option("--routes", type=FILE, help="An OpenAPI description.")
@click.option("--kind", type=click.Choice(["loosening", "tightening"]),
              help="Override the kind; derived from the change by default.")
@WHO
@WHY
@JSON
def publish(operator_file: str, cells: str | None, plans: str | None, routes: str | None, kind: str | None,
            who: str, why: str, as_json: bool) -> None:
    """Offer a version.  It replaces the previous one as a whole; an ingress uses its own file for one left out.

    Ingresses fetch and check the version before any of them acts on it.
    """
    from fennelpoint.fleet import version_contents

    files = {}
    try:
        for name, path in ((version_contents.CELLS, cells), (version_contents.PLANS, plans),
                           (version_contents.ROUTES, routes)):
            if path is not None:
                files[name] = Path(path).read_text(encoding="utf-8")
        version_contents.parse_files(files)
        if routes is not None:
            from fennelpoint.routes.description import load

            if faults := load(routes, None).faults:
                raise FaultyFile(list(faults))
    except (OSError, UnicodeDecodeError) as error:
        return _exit_with_faults(FaultyFile([Fault(path, 0, "", f"cannot be read: {error}")]))
    except FaultyFile as error:
        return _exit_with_faults(error)
    result = _run(_fleet_client(operator_file).change("publish", files=files, who=who, why=why, kind=kind or ""))
    if as_json:
        return click.echo(json.dumps(result))
    click.echo(f"version {result['number']} is offered, a {result['kind']}: {result['digest'][:12]}")


def _submit_step(operator_file: str, what: str, who: str, why: str, **fields: object) -> None:
    _run(_fleet_client(operator_file).change("step", what=what, who=who, why=why, **fields))
    click.echo(f"{what}: done")


@fleet.command()
@click.argument("number", type=int)
@CONFIG
@WHO
@WHY
def halt(number: int, operator_file: str, who: str, why: str) -> None:
    """Withdraw a version that is offered, before any ingress acts on it."""
    _submit_step(operator_file, "halt", who, why, number=number)


@fleet.command()
@click.argument("name")
@CONFIG
@WHO
@WHY
def forget(name: str, operator_file: str, who: str, why: str) -> None:
    """Remove an ingress from the fleet for good.  Its process must have ended."""
    _submit_step(operator_file, "forget", who, why, name=name)


@fleet.command()
@CONFIG
@JSON
def status(operator_file: str, as_json: bool) -> None:
    """Show the keepers, the version, and a line for each ingress, those with problems first.

    Exits with 0 if all ingresses act on the version, 3 if one is behind, 4 if one is unknown, 5 if one is out.
    """
    from fennelpoint.fleet import queries

    view = _run(_fleet_client(operator_file).view())
    if as_json:
        click.echo(json.dumps(queries.status_value(view), indent=2))
    else:
        click.echo("\n".join(queries.status_lines(view)))
    sys.exit(STATUS_EXIT_CODES[queries.worst_status(view)])


def _format_time(unix_time: float) -> str:
    if abs(unix_time) == float("inf"):
        return "an unknown time"
    return datetime.fromtimestamp(unix_time, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _parse_time(text: str) -> tuple[float, float]:
    """Parse Unix seconds or ISO 8601 into a time interval of no length."""
    try:
        unix_time = float(text)
    except ValueError:
        try:
            unix_time = datetime.fromisoformat(text).timestamp()
        except ValueError:
            raise click.BadParameter(
                f"{text!r} is not a time: expected Unix seconds or ISO 8601, such as 2026-12-01T22:00:00Z") from None
    return unix_time, unix_time


@fleet.command("audit")
@CONFIG
@click.option("--at", "when", help="Show which ingress acted on which version at this time: Unix seconds or "
              "ISO 8601.")
@click.option("--version", "version", type=int, help="Show who acted on it, from when to when.")
@click.option("--ingress", help="Show all records of this ingress.")
@click.option("--agency", help="FIRST+WIDTH, the set of ingresses that its requests name; needs --at.")
@JSON
def audit_command(operator_file: str, when: str | None, version: int | None, ingress: str | None,
                  agency: str | None, as_json: bool) -> None:
    """Show who acted on which version, from when to when, and why; gaps in the records are shown as unknown.

    Exits with 0, or with 4 if part of the answer is unknown.
    """
    from fennelpoint.fleet import audit, queries

    if agency is not None and when is None:
        raise click.UsageError("--agency needs --at")
    if when is None and version is None and ingress is None:
        raise click.UsageError("one of --at, --version and --ingress is required")
    client = _fleet_client(operator_file)
    spans, summaries = _run(client.spans_and_summaries(ingress))
    if when is not None:
        interval = _parse_time(when)
        if agency is not None:
            first, _, width = agency.partition("+")
            if not (first.isdigit() and width.isdigit() and int(width) > 0):
                raise click.BadParameter(f"{agency!r} is not a set of ingresses: expected FIRST+WIDTH")
            view = _run(client.view())
            ring = (view.fleet.bounds.ring or len(view.fleet.members)) if view.fleet is not None else 1 + max(
                (s.number for s in spans), default=0)
            answers = audit.set_versions_at(spans, int(first), int(width), ring, interval)
        else:
            answers = [audit.versions_at(spans, name, interval) for name in sorted({s.ingress for s in spans})]
        answers = [(audit.summarized_versions_at(summaries, a.ingress, interval) or a) if a.unknown else a
                   for a in answers]
        if as_json:
            click.echo(json.dumps([{"ingress": a.ingress, "versions": a.versions, "unknown": a.unknown,
                                    "sure": a.is_certain} for a in answers], indent=2))
        else:
            click.echo("\n".join(queries.answer_lines(answers)) or "nothing is on record")
        sys.exit(0 if answers and not any(a.unknown for a in answers) else STATUS_EXIT_CODES["unknown"])
    chosen = audit.spans_of_version(spans, version) if version is not None else audit.latest_spans(spans)
    if as_json:
        click.echo(json.dumps([span.value() for span in chosen], indent=2))
    else:
        click.echo("\n".join(queries.span_lines(chosen, _format_time)) or "nothing is on record")
    sys.exit(0 if chosen else STATUS_EXIT_CODES["unknown"])


@fleet.command()
@click.argument("name")
@CONFIG
@JSON
def explain(name: str, operator_file: str, as_json: bool) -> None:
    """Explain why an ingress is behind or out, and what happens next."""
    from fennelpoint.fleet import queries
    from fennelpoint.fleet.rpc import CallFailed, call_once
    from fennelpoint.operator_config import address_of

    async def fetch() -> tuple:
        view = await _fleet_client(operator_file).view()
        own_status = None
        if view.fleet is not None and name in view.fleet.members:
            try:
                own_status = await call_once(address_of("=" + view.fleet.members[name].address)[1], "status", 2.0)
            except CallFailed:
                pass
        return view, own_status

    view, own_status = _run(fetch())
    lines = queries.explain_lines(view, name, own_status)
    click.echo(json.dumps({"lines": lines, "own": own_status}, indent=2) if as_json else "\n".join(lines))
    sys.exit(0 if own_status is not None and own_status["open"]
             else STATUS_EXIT_CODES["unknown"] if own_status is None else STATUS_EXIT_CODES["out"])
