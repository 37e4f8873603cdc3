"""The `larchwing` command: thin functions, one a sub-command.  The extra `cli` brings what it needs."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path

import click

from fennelpoint.cli_fleet import fleet
from fennelpoint.validation_errors import Fault, FaultyFile

FAULTY = 2      # exit code of a check that found faults
FILE = click.Path(dir_okay=False)
CONFIG = click.option("--config", type=FILE, help="An ingress's configuration (JSON), for its settings: "
                      "without it, classes, plans and the most units are not checked.")


def _site(config: str | None) -> object | None:
    """What the settings of a configuration know; none without one."""
    if config is None:
        return None
    from fennelpoint.routes.description import Site
    from fennelpoint.settings import from_json

    try:
        value = json.loads(Path(config).read_text())
        return Site.of(from_json(value.get("settings") if isinstance(value, dict) else None))
    except (OSError, ValueError) as error:
        raise FaultyFile([Fault(config, 0, "", str(error))]) from None


def _end_with(faults: list[Fault], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps({"faults": [f.as_dict() for f in faults]}, indent=2))
    for fault in () if as_json else faults:
        click.echo(str(fault), err=True)
    sys.exit(FAULTY if faults else 0)


def _table(file: str, config: str | None) -> object:
    """The route table of a description, or the end of the command."""
    from fennelpoint.routes import RouteTable
    from fennelpoint.routes.description import load

    try:
        loaded = load(file, _site(config))
    except FaultyFile as error:
        return _end_with(error.faults, False)
    if loaded.faults:
        return _end_with(loaded.faults, False)
    return RouteTable(loaded.routes)


@click.group()
@click.version_option(package_name="fennelpoint", prog_name="larchwing")
def main() -> None:
    """An ingress that holds customers to their quotas before a shared back end."""


main.add_command(fleet)


@main.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="The faults as JSON on standard output.")
def check(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Check operator files (.toml) and OpenAPI descriptions (.yaml, .yml, .json).

    Exits with 0, or with 2 and the faults on standard error.
    """
    from fennelpoint.cli_checks import check_file

    faults: list[Fault] = []
    try:
        site = _site(config)
        for file in files:
            faults += check_file(file, site)
    except FaultyFile as error:
        faults += error.faults
    if not faults and not as_json:
        click.echo("no fault in " + ", ".join(files) + ("" if config else
                   " (no --config: classes, plans and the most units were not checked)"))
    _end_with(faults, as_json)


@main.group()
def cells() -> None:
    """Agencies confined to subsets of the booking nodes (docs/cells.md)."""


def _agency(text: str) -> str:
    from fennelpoint.cells.plan import AGENCY_ID_PATTERN, CUSTOMER_ID_LIMIT

    if AGENCY_ID_PATTERN.fullmatch(text) is None or int(text, 16) >= CUSTOMER_ID_LIMIT:
        raise click.BadParameter(f"{text!r} is no agency: 16 hexadecimal digits, lower case, below 2^33")
    return text


def _assignment(file: str) -> object:
    """The assignment of a plan, or the end of the command."""
    from fennelpoint.cells import Assignment, read_plan

    try:
        return Assignment(read_plan(file))
    except FaultyFile as error:
        return _end_with(error.faults, False)


@cells.command("show")
@click.argument("file", type=FILE)
@click.option("--nodes", default="", help="Ids of nodes, with commas between; ID@ZONE tells a zone, too.")
@click.option("--json", "as_json", is_flag=True, help="The cells as JSON.")
def cells_show(file: str, nodes: str, as_json: bool) -> None:
    """The cells of a plan, and which of these nodes each has."""
    from fennelpoint.cells import Node
    from fennelpoint.cells.assign import overlap_histogram

    made = _assignment(file)
    words = [word.strip() for word in nodes.split(",") if word.strip()]
    members = made.members(Node(*word.partition("@")[::2]) for word in words)
    if as_json:
        return click.echo(json.dumps({"version": made.plan.version, "cells": {
            name: sorted(ids) for name, ids in members.items()}}, indent=2))
    click.echo(f"version {made.plan.version}, {len(members)} cells")
    for name in made.cell_names:
        click.echo(f"{name}: {', '.join(sorted(members[name])) or 'none of these nodes'}")
    for shared, pairs in sorted(overlap_histogram(members).items()):
        if shared:
            click.echo(f"{pairs} pairs of cells share {shared} nodes")


@cells.command("explain")
@click.argument("file", type=FILE)
@click.argument("agency")
def cells_explain(file: str, agency: str) -> None:
    """Which cell an agency (its 16 digits) is in, and why."""
    made, customer = _assignment(file), int(_agency(agency), 16)
    click.echo(f"{agency} is in {made.cell_of(customer)}: {made.explain(customer)}")
    for cell in made.plan.cells:
        if cell.name == made.cell_of(customer) and cell.spill_to:
            click.echo(f"while that has no node left, up to {cell.spill_share:g} of the attempts of "
                       f"{cell.spill_to} are open to it")


def _loads(file: str) -> dict[int, float]:
    """Units a second of each agency, by its 16 digits; raises FaultyFile."""
    from fennelpoint.cells.plan import AGENCY_ID_PATTERN

    try:
        told = json.loads(Path(file).read_text())
    except (OSError, ValueError) as error:
        raise FaultyFile([Fault(file, 0, "", f"it is no JSON that can be read: {error}")]) from None
    if not isinstance(told, dict):
        raise FaultyFile([Fault(file, 0, "", "it is not an object of agencies and their units a second")])
    faults = [Fault(file, 0, key, "it is no agency: 16 hexadecimal digits") for key in told
              if AGENCY_ID_PATTERN.fullmatch(key) is None]
    faults += [Fault(file, 0, key, f"{load!r} is no load: a number of 0 or more")
               for key, load in told.items()
               if isinstance(load, bool) or not isinstance(load, int | float) or not 0.0 <= load < 1e12]
    if faults:
        raise FaultyFile(faults)
    return {int(key, 16): float(load) for key, load in told.items()}


@cells.command("plan")
@click.argument("file", type=FILE)
@click.argument("loads", type=FILE)
@click.option("--nodes", required=True, help="Ids of nodes, with commas between; ID@ZONE tells a zone, too.")
@click.option("--most", default=5, show_default=True, help="Moves to propose.")
def cells_plan(file: str, loads: str, nodes: str, most: int) -> None:
    """Propose few moves that even the cells out; nothing is changed.

    LOADS is JSON: units a second by agency.  Nodes count alike.
    """
    from fennelpoint.cells import Node
    from fennelpoint.cells.rebalancing import propose_moves, utilization

    made = _assignment(file)
    try:
        told = _loads(loads)
    except FaultyFile as error:
        return _end_with(error.faults, False)
    words = [word.strip() for word in nodes.split(",") if word.strip()]
    room = {name: float(len(ids)) for name, ids in made.members(
        Node(*word.partition("@")[::2]) for word in words).items() if ids}
    homes = {agency: made.cell_of(agency) for agency in told}
    for name, full in utilization(told, homes, room).items():
        click.echo(f"{name}: {room[name]:g} nodes, {full:.2f} units a second each")
    for move in (moves := propose_moves(told, homes, room, most, {}, 0.0, 0.0)):
        click.echo(f"larchwing cells move {file} {move.agency:016x} {move.target}    # the fullest then: "
                   f"{move.max_utilization:.2f}")
    if not moves:
        click.echo("no move gains 2 %")


@cells.command("move")
@click.argument("file", type=FILE)
@click.argument("agency")
@click.argument("cell")
def cells_move(file: str, agency: str, cell: str) -> None:
    """Put an agency into a cell: the plan's file gets it, and the next version.

    The ingresses go by it once they get SIGHUP.
    """
    from fennelpoint.cells.plan_edit import move_agency

    try:
        version, before = move_agency(file, _agency(agency), cell)
    except FaultyFile as error:
        return _end_with(error.faults, False)
    click.echo(f"version {version}: {agency} moves from {before} to {cell}; send the ingresses SIGHUP")


@main.command()
@click.argument("file", type=FILE)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="The table as JSON.")
def routes(file: str, config: str | None, as_json: bool) -> None:
    """The route table of a description, as the ingress sees it."""
    from fennelpoint.cli_checks import describe, table_lines

    table = _table(file, config)
    if as_json:
        return click.echo(json.dumps([describe(route) for route in table.routes], indent=2))
    for line in table_lines(table):
        click.echo(line)


@main.command()
@click.argument("file", type=FILE)
@click.argument("method")
@click.argument("url")
@CONFIG
def explain(file: str, method: str, url: str, config: str | None) -> None:
    """Which route a request is, its class, units and effect, and where each is said.

    Exits with 1 where the ingress would not send it on.
    """
    from fennelpoint.cli_checks import explain as explanation

    found, lines = explanation(_table(file, config), method, url)
    for line in lines:
        click.echo(line)
    sys.exit(0 if found else 1)


OPERATOR = click.option("--config", "operator_file", default="deploy/operator.toml", show_default=True,
                        type=FILE, help="The operator file; the sections of this service are used.")


def _serve(run: Callable[[str, Callable[[str], None]], Coroutine], operator_file: str) -> None:
    """Run a service to its end; faults of its files end the command."""
    try:
        asyncio.run(run(operator_file, click.echo))
    except FaultyFile as error:
        _end_with(error.faults, False)


@main.group(invoke_without_command=True)
@click.pass_context
@OPERATOR
def control(context: click.Context, operator_file: str) -> None:
    """Serve routes, endpoints and limits to other proxies over xDS, until SIGTERM."""
    if context.invoked_subcommand is None:
        from fennelpoint.xds.service import run

        _serve(run, operator_file)


@control.command()
@click.argument("address", default="127.0.0.1:18000")
@click.option("--ca", type=FILE, help="PEM of who signs the service's certificate, where it asks for TLS.")
@click.option("--certificate", type=FILE, help="Our own certificate, with --key.")
@click.option("--key", type=FILE, help="Its key.")
def status(address: str, ca: str | None, certificate: str | None, key: str | None) -> None:
    """Each proxy of the control service at ADDRESS, what it has, and whether that is the newest."""
    import grpc

    from fennelpoint.xds.server import fetch_status, status_lines

    given = (ca, key, certificate)
    if any(given) and not all(given):
        raise click.UsageError("--ca, --certificate and --key go together")
    try:
        secure = grpc.ssl_channel_credentials(*(Path(p).read_bytes() for p in given)) if all(given) else None
        lines = status_lines(asyncio.run(fetch_status(address, secure)))
    except (grpc.aio.AioRpcError, OSError) as error:
        click.echo(f"{address}: {error.details() if isinstance(error, grpc.RpcError) else error}", err=True)
        sys.exit(1)
    click.echo("\n".join(lines))


@main.group(invoke_without_command=True)
@click.pass_context
@OPERATOR
def announce(context: click.Context, operator_file: str) -> None:
    """Announce service addresses by BGP while the ingress beside it keeps its word, until SIGTERM."""
    if context.invoked_subcommand is None:
        from fennelpoint.bgp.service import run

        _serve(run, operator_file)


@announce.command("status")
@click.argument("address", default="127.0.0.1:17900")
def announce_status(address: str) -> None:
    """Sessions, what is announced and why, the last changes, of the announcer at ADDRESS."""
    from fennelpoint.bgp.service import fetch_status, status_lines

    try:
        lines = status_lines(asyncio.run(fetch_status(address)))
    except (OSError, ValueError) as error:
        click.echo(f"{address}: {error}", err=True)
        sys.exit(1)
    click.echo("\n".join(lines))


SECONDS = click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1.0, 3600.0))


def _play(coroutine: Coroutine) -> object | None:
    """Run a demonstration; what it gives, none where it was ended early."""
    try:
        return asyncio.run(coroutine)
    except KeyboardInterrupt:
        return click.echo("\nended early; all that was started is stopped")
    except RuntimeError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@main.group(invoke_without_command=True)
@SECONDS
@click.pass_context
def demo(context: click.Context, seconds: float) -> None:
    """Start stand-ins, one ingress and agencies' traffic, and show what becomes of it."""
    if context.invoked_subcommand is not None:
        return
    from fennelpoint.demo import play, summary, table

    live = sys.stdout.isatty()
    drawn = 0

    def show(crowd: list, now: float, news: str) -> None:
        nonlocal drawn
        lines = [f"{now:5.1f} s  {news}", *table(crowd, now)]
        if live:
            click.echo((f"\x1b[{drawn}F" if drawn else "") + "\n".join(line + "\x1b[K" for line in lines))
            drawn = len(lines)
        elif int(now) // 5 != int(now - 0.5) // 5 or now < 0.5:
            click.echo("\n".join(lines))

    if (crowd := _play(play(seconds, show))) is None:
        return
    click.echo("\n".join(["", f"summary of {seconds:g} s", *table(crowd, seconds), *summary(crowd, seconds)]))


@demo.command("control")
@SECONDS
def demo_control(seconds: float) -> None:
    """A control service and two proxies that book by it, while one server drains and another is killed."""
    from fennelpoint.testing.control_demo import play

    _play(play(seconds, click.echo))


@demo.command("announce")
@SECONDS
def demo_announce(seconds: float) -> None:
    """Two ingresses announce one address by BGP; one is stalled under traffic, and comes back."""
    from fennelpoint.testing.announce_demo import play

    _play(play(seconds, click.echo))


@demo.command("cells")
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=5.0, show_default=True,
              help="Of each of the six rows.")
def demo_cells(seconds: float) -> None:
    """Trouble in one of three cells, and whom it harms, with cells and without."""
    from fennelpoint.testing.cells_demo import show

    _play(show(seconds, click.echo))


@demo.command("fleet")
def demo_fleet() -> None:
    """Six ingresses on agreed versions: a straggler is brought up, another is shut out and comes back."""
    from fennelpoint.testing.fleet_demo import play

    if _play(play(click.echo)) is False:
        sys.exit(1)


@demo.command("system")
def demo_system() -> None:
    """The whole load balancer: three core machines, four fronts; a drain, kills, and the way back."""
    from fennelpoint.testing.system_demo import play

    told = _play(play(click.echo))
    if told is not None and told[1]:
        sys.exit(1)


if __name__ == "__main__":
    main()
