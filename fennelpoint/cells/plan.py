"""The plan of cells, from its file: one schema, all faults at once, each with its line.

Pure but for reading the file.  Nothing is taken in before the whole plan is sound.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path

from fennelpoint.operator_config import figure, read_typed
from fennelpoint.validation_errors import Fault, FaultyFile

AGENCY = re.compile(r"[0-9a-f]{16}")
MOST_CUSTOMER = 1 << 33
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")


@dataclass(frozen=True, slots=True)
class CellSpec:
    """[[cells]]: one cell.  A node belongs to the first cell that names it, else to one by `part`."""

    name: str
    nodes: list[str] = field(default_factory=list)      # ids; * stands for anything
    zones: list[str] = field(default_factory=list)
    part: float = figure(0.0, 0.0, 1000.0)      # of the nodes that no cell names, by weight
    agencies: list[str] = field(default_factory=list)   # 16 hexadecimal digits each
    take: float = figure(0.0, 0.0, 1000.0)      # of the agencies that no cell names, by weight
    spill_to: str = ""      # the cell that may take its tries while none of its nodes is left
    spill_share: float = figure(0.0, 0.0, 1.0)  # of that one's attempts out


@dataclass(frozen=True, slots=True)
class Shards:
    """[shards]: so many cells of so many nodes each, by hash; they overlap."""

    count: int = figure(16, 1, 4096)
    size: int = figure(4, 1, 1024)


@dataclass(frozen=True, slots=True)
class Plan:
    """The whole file.  `version` only grows."""

    version: int = figure(0, 1, 1 << 53)
    schema: int = 1
    salt: str = ""
    quarantine: str = ""    # the cell of agencies whose requests seem to kill nodes; none: nobody is accused
    cells: list[CellSpec] = field(default_factory=list)
    shards: Shards | None = None


def read_plan(path: str | Path) -> Plan:
    """The plan, checked.  Raises FaultyFile with every fault, each with its line."""
    plan, fault = read_typed(path, Plan)
    if plan is not None:
        _check(plan, fault)
    fault.end()
    return plan


def _check(plan: Plan, fault) -> None:
    if plan.version < 1:
        fault(("version",), "it is missing: a plan has a version, which grows with each change")
    if plan.schema != 1:
        fault(("schema",), f"{plan.schema} is not known here: this program reads 1")
    if plan.shards is not None and plan.cells:
        fault(("shards",), "a plan has either [[cells]] or [shards], not both")
    if plan.shards is None and not plan.cells:
        fault((), "it has neither [[cells]] nor [shards]")
    names: dict[str, int] = {}
    agencies: dict[str, str] = {}
    for i, cell in enumerate(plan.cells):
        place = ("cells", str(i))
        if NAME.fullmatch(cell.name) is None:
            fault((*place, "name"), f"{cell.name!r} is no name: lower case letters, digits and -, up to 32")
        if cell.name in names:
            fault((*place, "name"), f"{cell.name!r} is the name of an earlier cell, too")
        names.setdefault(cell.name, i)
        if not (cell.nodes or cell.zones or cell.part):
            fault(place, "the cell is empty: give it nodes, zones, or a part of those that no cell names")
        for agency in cell.agencies:
            if AGENCY.fullmatch(agency) is None or int(agency, 16) >= MOST_CUSTOMER:
                fault((*place, "agencies"), f"{agency!r} is no agency: 16 hexadecimal digits, below 2^33")
            elif (other := agencies.setdefault(agency, cell.name)) != cell.name:
                fault((*place, "agencies"), f"{agency} is in {other!r} already")
            elif cell.agencies.count(agency) > 1:
                fault((*place, "agencies"), f"{agency} is given twice")
        if cell.spill_share and not cell.spill_to:
            fault((*place, "spill_share"), "it tells how much may spill, and spill_to is missing")
        if cell.spill_to and not cell.spill_share:
            fault((*place, "spill_to"), "nothing may spill there: spill_share is missing or 0")
    if plan.cells and not any(cell.take for cell in plan.cells):
        fault((), "agencies that no cell names have none: give one cell a take, or several")
    _check_spill(plan, names, fault)
    _check_quarantine(plan, fault)


def _check_quarantine(plan: Plan, fault) -> None:
    """A cell there is, of nodes alone: whoever is sent there shares it with nobody else."""
    if not plan.quarantine:
        return
    cell = next((cell for cell in plan.cells if cell.name == plan.quarantine), None)
    if cell is None:
        return fault(("quarantine",), f"there is no cell {plan.quarantine!r}")
    if cell.agencies or cell.take or any(other.spill_to == cell.name for other in plan.cells):
        fault(("quarantine",), f"{cell.name!r} serves others, too: it may have no agencies, take or spill")
    if cell.spill_to:
        fault(("quarantine",), f"{cell.name!r} spills: what kills nodes would go on to others")


def _check_spill(plan: Plan, names: dict[str, int], fault) -> None:
    """Where lost cells' tries go: to a cell there is, not round in a circle, no more than there is."""
    onward = {cell.name: cell.spill_to for cell in plan.cells if cell.spill_to}
    given: dict[str, float] = {}
    for i, cell in enumerate(plan.cells):
        if not cell.spill_to:
            continue
        place = ("cells", str(i), "spill_to")
        if cell.spill_to not in names:
            fault(place, f"there is no cell {cell.spill_to!r}")
            continue
        seen, at = [cell.name], cell.spill_to
        while at in onward and at not in seen:
            seen.append(at)
            at = onward[at]
        if at == cell.name:
            fault(place, "it goes round in a circle: " + " to ".join((*seen, at)))
        before = given.get(cell.spill_to, 0.0)
        given[cell.spill_to] = before + cell.spill_share
        if before <= 1.0 < given[cell.spill_to]:
            fault((*place[:2], "spill_share"),
                  f"the shares that spill to {cell.spill_to!r} come to {given[cell.spill_to]:g}, over 1")


def check_change(path: str, old: Plan, new: Plan) -> None:
    """Whether a plan may follow another: a version never goes back, and never stands for two plans."""
    if new.version < old.version:
        raise FaultyFile([Fault(path, 0, "version", f"{new.version} is lower than {old.version}, which is in "
                                "force: give the change a higher one")])
    if new.version == old.version and new != old:
        raise FaultyFile([Fault(path, 0, "version", f"{new.version} is in force with another plan: give the "
                                "change a higher one")])
