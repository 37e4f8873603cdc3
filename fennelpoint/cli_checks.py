"""What `larchwing check`, `routes` and `explain` say; needs the extra `routes`."""

from __future__ import annotations

from pathlib import Path

from fennelpoint.cells import read_plan
from fennelpoint.operator_config import Announce, Control, read_operator
from fennelpoint.routes.description import Site, load
from fennelpoint.routes.paths import PathError, split_target
from fennelpoint.routes.table import Route, RouteTable, Units, ValueFault
from fennelpoint.validation_errors import Fault, FaultyFile

DESCRIPTIONS = (".yaml", ".yml", ".json")


def check_file(file: str, site: Site | None) -> list[Fault]:
    """The faults of one file, and of the description that an operator file names."""
    suffix = Path(file).suffix.lower()
    if suffix == ".toml":
        try:
            operator = read_operator(file)
        except FaultyFile as error:
            return error.faults
        faults = list(load(operator.routes.description, site).faults) if operator.routes is not None else []
        if operator.cells is not None:
            try:
                read_plan(operator.cells.plan)
            except FaultyFile as error:
                faults += error.faults
        return faults + [fault for section in (operator.control, operator.announce) if section is not None
                         for fault in _section(section, file)]
    if suffix not in DESCRIPTIONS:
        return [Fault(file, 0, "", "an operator file ends in .toml, a description in "
                      + ", ".join(DESCRIPTIONS))]
    return load(file, site).faults


def _section(section: Control | Announce, file: str) -> list[Fault]:
    """What a service would refuse of its section; the parts are loaded only where they are asked for."""
    try:
        if isinstance(section, Announce):
            from fennelpoint.bgp.service import Plan

            Plan(section, file)
        else:
            from fennelpoint.xds.service import configuration

            configuration(section, file)
    except FaultyFile as error:
        return error.faults
    except ImportError as error:
        return [Fault(file, 0, "", f"the section can't be checked without the extra xds: {error}")]
    return []


def units_text(units: Units) -> str:
    """Units as a reader says them."""
    if units.parameter is None:
        return f"{units.amount:g}"
    return (f"{units.parameter.within} {units.parameter.name}, {units.minimum:g} to {units.maximum:g}, "
            f"else {units.amount:g}")


def describe(route: Route) -> dict[str, object]:
    """A route as plain values."""
    units: object = route.units.amount
    if route.units.parameter is not None:
        rule = route.units
        units = {"in": rule.parameter.within, "name": rule.parameter.name, "default": rule.amount,
                 "minimum": rule.minimum, "maximum": rule.maximum}
    return {"method": route.method, "path": route.template.text, "class": route.cls_name,
            "effect": route.effect.value if route.effect else None, "units": units,
            "key": {"in": route.key.within, "name": route.key.name} if route.key else None,
            "plans": list(route.plan_names) or None, "operationId": route.operation or None,
            "source": route.source}


def table_lines(table: RouteTable) -> list[str]:
    """The table for a terminal."""
    rows = [("method", "path", "class", "effect", "units", "source")]
    rows += [(r.method, r.template.text, r.cls_name, r.effect.value if r.effect else "(the class's)",
              units_text(r.units), r.source) for r in table.routes]
    widths = [max(len(row[i]) for row in rows) for i in range(5)]
    return ["  ".join([*(row[i].ljust(widths[i]) for i in range(5)), row[5]]) for row in rows]


def explain(table: RouteTable, method: str, url: str) -> tuple[bool, list[str]]:
    """Whether a request is taken, and why it is which route."""
    method = method.upper()
    try:
        _, path, query = split_target(url.encode())
        normal, item = table.look_up(path)
    except PathError as error:
        return False, [f"400: {error}"]
    lines = [f"the path is read as {normal.decode()}"] if normal != path else []
    if item is None:
        return False, [*lines, "404: no path of the description takes it"]
    if (route := item.get(method.encode())) is None:
        if method == "OPTIONS":
            return False, [*lines, f"200 from the ingress itself: Allow: {item.allow.decode()}"]
        return False, [*lines, f"405: the path has other methods: Allow: {item.allow.decode()}"]
    lines.append(f"route   {route.method} {route.template.text} ({route.source})")
    if route.method != method:
        lines.append(f"        a {method} that is not described is asked of the {route.method}")
    why = dict(route.why)
    effect = route.effect.value if route.effect else "the class's, as the settings say it"
    lines.append(f"class   {route.cls_name}: said at the {why.get('class', 'settings')}")
    said = f"said at the {why['effect']}" if "effect" in why else "by its class"
    lines.append(f"effect  {effect}: {said}")
    try:
        units = f"{route.units_of(normal, query, ()):g}"
    except ValueFault as error:
        return False, [*lines, f"400: {error}"]
    lines.append(f"units   {units} ({units_text(route.units)}): " + (
        f"said at the {why['units']}" if "units" in why else "nothing is said, so one"))
    if route.key is not None:
        lines.append(f"key     {route.key.within} {route.key.name}: said at the {why['key']}")
    if route.plan_names:
        lines.append(f"plans   {', '.join(route.plan_names)}: said at the {why['plans']}")
    return True, lines
