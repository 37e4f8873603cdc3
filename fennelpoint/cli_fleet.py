"""`larchwing fleet ...`: the record's keepers, versions, and what is asked about the fleet."""

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

FAULTY, FAILED = 2, 1
CODES = {"ok": 0, "behind": 3, "unknown": 4, "out": 5}      # of `status`: how the worst member stands
FILE = click.Path(dir_okay=False)
CONFIG = click.option("--config", "operator_file", default="deploy/operator.toml", show_default=True, type=FILE,
                      help="The operator file; its keeper or fleet section names the keepers.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")
WHO = click.option("--who", default=getpass.getuser, help="Who does it; the user by default.")
WHY = click.option("--why", required=True, help="Why, in a few words: it stays in the audit.")


@click.group()
def fleet() -> None:
    """Versions that the whole fleet acts on, who acts on which, and why (docs/fleet.md)."""


def _end(error: FaultyFile) -> None:
    for fault in error.faults:
        click.echo(str(fault), err=True)
    sys.exit(FAULTY)


def _keepers(operator_file: str):
    """The keepers as the file names them, or the end of the command."""
    from fennelpoint.fleet.queries import Fleet
    from fennelpoint.operator_config import address_of, read_operator

    try:
        operator = read_operator(operator_file)
    except FaultyFile as error:
        return _end(error)
    section = operator.keeper or operator.fleet
    if section is None:
        return _end(FaultyFile([Fault(operator_file, 0, "", "neither a keeper nor a fleet section is there")]))
    return Fleet(dict(map(address_of, section.keepers)))


def _run(coroutine: Coroutine) -> object:
    from fennelpoint.fleet.rpc import CallFailed

    try:
        return asyncio.run(coroutine)
    except CallFailed as error:
        click.echo(str(error), err=True)
        sys.exit(FAILED)


@fleet.command()
@click.argument("name")
@CONFIG
@click.option("--found", "record", default="", help="Begin a record of this name: every keeper, once.")
@click.option("--after", default=0, type=click.IntRange(0), help="Go on after this version, of a record that was "
              "lost: ingresses never go back behind theirs.")
@click.option("--licence-s", default=3.0, show_default=True, type=click.FloatRange(0.5, 60.0))
@click.option("--settle-s", default=5.0, show_default=True, type=click.FloatRange(0.5, 600.0))
@click.option("--share", default=0.25, show_default=True, type=click.FloatRange(0.0, 0.5),
              help="Of the fleet, that may be shut out at a time.")
@click.option("--zone-share", default=0.5, show_default=True, type=click.FloatRange(0.0, 1.0))
@click.option("--set-width", default=2, show_default=True, type=click.IntRange(1, 1000),
              help="Ingresses in a row that an agency may come through: never are all out.")
@click.option("--ring", default=0, type=click.IntRange(0, 1000), help="Ingresses that sets are counted round.")
def keep(name: str, operator_file: str, record: str, after: int, licence_s: float, settle_s: float, share: float,
         zone_share: float, set_width: int, ring: int) -> None:
    """Run the keeper NAME until SIGTERM."""
    from fennelpoint.fleet import state
    from fennelpoint.fleet.coordinator import run

    founding = state.initial_state(record, state.Bounds(licence_s, settle_s, share, zone_share, set_width, ring),
                                   after) if record else None
    try:
        asyncio.run(run(operator_file, name, founding, click.echo))
    except FaultyFile as error:
        _end(error)


@fleet.command()
@CONFIG
@click.option("--cells", type=FILE, help="A plan of cells.")
@click.option("--plans", type=FILE, help="Figures of plans.")
@click.option("--routes", type=FILE, help="An OpenAPI description.")
@click.option("--kind", type=click.Choice(["loosening", "tightening"]), help="As told; else found out.")
@WHO
@WHY
@JSON
def publish(operator_file: str, cells: str | None, plans: str | None, routes: str | None, kind: str | None,
            who: str, why: str, as_json: bool) -> None:
    """Offer a version: all that it holds is given anew, what is left out goes by each ingress's own files."""
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
        return _end(FaultyFile([Fault(path, 0, "", f"it can't be read: {error}")]))
    except FaultyFile as error:
        return _end(error)
    told = _run(_keepers(operator_file).change("publish", files=files, who=who, why=why, kind=kind or ""))
    if as_json:
        return click.echo(json.dumps(told))
    click.echo(f"version {told['number']} is offered, a {told['kind']}: {told['digest'][:12]}")


def _step(operator_file: str, what: str, who: str, why: str, **fields: object) -> None:
    _run(_keepers(operator_file).change("step", what=what, who=who, why=why, **fields))
    click.echo(f"{what}: done")


@fleet.command()
@click.argument("number", type=int)
@CONFIG
@WHO
@WHY
def halt(number: int, operator_file: str, who: str, why: str) -> None:
    """Take back a version that is offered, before anybody acts on it."""
    _step(operator_file, "halt", who, why, number=number)


@fleet.command()
@click.argument("name")
@CONFIG
@WHO
@WHY
def forget(name: str, operator_file: str, who: str, why: str) -> None:
    """Take an ingress that is gone for good from the fleet.  Its process must have ended."""
    _step(operator_file, "forget", who, why, name=name)


@fleet.command()
@CONFIG
@JSON
def status(operator_file: str, as_json: bool) -> None:
    """Keepers, the version, a line an ingress, stragglers first.

    Exits with 0 where all act on it, 3 where one is behind, 4 where one is unknown, 5 where one is out.
    """
    from fennelpoint.fleet import queries

    view = _run(_keepers(operator_file).view())
    if as_json:
        click.echo(json.dumps(queries.status_value(view), indent=2))
    else:
        click.echo("\n".join(queries.status_lines(view)))
    sys.exit(CODES[queries.worst(view)])


def _clock(at: float) -> str:
    if abs(at) == float("inf"):
        return "an unknown time"
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _time(text: str) -> tuple[float, float]:
    """A time as an instant: Unix seconds or ISO 8601."""
    try:
        at = float(text)
    except ValueError:
        try:
            at = datetime.fromisoformat(text).timestamp()
        except ValueError:
            raise click.BadParameter(f"{text!r} is no time: Unix seconds, or 2026-12-01T22:00:00Z") from None
    return at, at


@fleet.command("audit")
@CONFIG
@click.option("--at", "when", help="Unix seconds or ISO 8601: who acted on which version then.")
@click.option("--version", "version", type=int, help="Who acted on it, from when to when.")
@click.option("--ingress", help="All that is on record of it.")
@click.option("--agency", help="FIRST+WIDTH, its set of ingresses as its requests name it; with --at.")
@JSON
def audit_command(operator_file: str, when: str | None, version: int | None, ingress: str | None,
                  agency: str | None, as_json: bool) -> None:
    """Who acted on which version, from when to when, and why.  What is not known is told as unknown.

    Exits with 0, or with 4 where something that was asked for is unknown.
    """
    from fennelpoint.fleet import audit, queries

    if agency is not None and when is None:
        raise click.UsageError("--agency goes with --at")
    if when is None and version is None and ingress is None:
        raise click.UsageError("one of --at, --version and --ingress tells what is asked")
    made = _keepers(operator_file)
    spans, rolled = _run(made.record(ingress))
    if when is not None:
        moment = _time(when)
        if agency is not None:
            first, _, width = agency.partition("+")
            if not (first.isdigit() and width.isdigit() and int(width) > 0):
                raise click.BadParameter(f"{agency!r} is no set: FIRST+WIDTH")
            view = _run(made.view())
            ring = (view.fleet.bounds.ring or len(view.fleet.members)) if view.fleet is not None else 1 + max(
                (s.number for s in spans), default=0)
            answers = audit.of_set(spans, int(first), int(width), ring, moment)
        else:
            answers = [audit.at_time(spans, name, moment) for name in sorted({s.ingress for s in spans})]
        answers = [(audit.rolled_at(rolled, a.ingress, moment) or a) if a.unknown else a for a in answers]
        if as_json:
            click.echo(json.dumps([{"ingress": a.ingress, "versions": a.versions, "unknown": a.unknown,
                                    "sure": a.sure} for a in answers], indent=2))
        else:
            click.echo("\n".join(queries.answer_lines(answers)) or "nothing is on record")
        sys.exit(0 if answers and not any(a.unknown for a in answers) else CODES["unknown"])
    chosen = audit.of_version(spans, version) if version is not None else audit.newest(spans)
    if as_json:
        click.echo(json.dumps([span.value() for span in chosen], indent=2))
    else:
        click.echo("\n".join(queries.span_lines(chosen, _clock)) or "nothing is on record")
    sys.exit(0 if chosen else CODES["unknown"])


@fleet.command()
@click.argument("name")
@CONFIG
@JSON
def explain(name: str, operator_file: str, as_json: bool) -> None:
    """Why an ingress is behind or out, and what will happen when."""
    from fennelpoint.fleet import queries
    from fennelpoint.fleet.rpc import CallFailed, call_once
    from fennelpoint.operator_config import address_of

    async def look() -> tuple:
        view = await _keepers(operator_file).view()
        told = None
        if view.fleet is not None and name in view.fleet.members:
            try:
                told = await call_once(address_of("=" + view.fleet.members[name].address)[1], "status", 2.0)
            except CallFailed:
                pass
        return view, told

    view, told = _run(look())
    lines = queries.explain_lines(view, name, told)
    click.echo(json.dumps({"lines": lines, "own": told}, indent=2) if as_json else "\n".join(lines))
    sys.exit(0 if told is not None and told["open"] else CODES["unknown"] if told is None else CODES["out"])
