"""Reads and validates the cell plan file: one schema, all faults reported at once, each with its line.

Has no side effects except reading the file.  A plan is used only if all of it is valid.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path

from fennelpoint.operator_config import figure, read_typed
from fennelpoint.validation_errors import Fault, FaultyFile

AGENCY_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
CUSTOMER_ID_LIMIT = 1 << 33     # exclusive upper bound
CELL_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")


@dataclass(frozen=True, slots=True)
class CellSpec:
    """[[cells]]: one cell.  A node is in the first cell that lists it, or else in a cell chosen by `part` weight."""

    name: str
    nodes: list[str] = field(default_factory=list)      # ids; * matches anything
    zones: list[str] = field(default_factory=list)
    part: float = figure(0.0, 0.0, 1000.0)      # weight for the nodes that no cell lists
    agencies: list[str] = field(default_factory=list)   # 16 hexadecimal digits each
    take: float = figure(0.0, 0.0, 1000.0)      # weight for the agencies that no cell lists
    spill_to: str = ""      # the cell that may serve its requests while it has no usable node
    spill_share: float = figure(0.0, 0.0, 1.0)  # of the in-flight limit of spill_to


@dataclass(frozen=True, slots=True)
class Shards:
    """[shards]: `count` cells of `size` nodes each, chosen by hash; cells may share nodes."""

    count: int = figure(16, 1, 4096)
    size: int = figure(4, 1, 1024)


@dataclass(frozen=True, slots=True)
class Plan:
    """The contents of a plan file.  `version` grows with each change."""

    version: int = figure(0, 1, 1 << 53)
    schema: int = 1
    salt: str = ""
    quarantine: str = ""    # the cell for agencies whose requests seem to kill nodes; empty: off
    cells: list[CellSpec] = field(default_factory=list)
    shards: Shards | None = None


def read_plan(path: str | Path) -> Plan:
    """Read and validate a plan file.  Raises FaultyFile with every fault, each with its line."""
    plan, faults = read_typed(path, Plan)
    if plan is not None:
        _check(plan, faults)
    faults.end()
    return plan


def _check(plan: Plan, faults) -> None:
    if plan.version < 1:
        faults(("version",), "it is missing: a plan has a version, which grows with each change")
    if plan.schema != 1:
        faults(("schema",), f"{plan.schema} is not known here: this program reads 1")
    if plan.shards is not None and plan.cells:
        faults(("shards",), "a plan has either [[cells]] or [shards], not both")
    if plan.shards is None and not plan.cells:
        faults((), "it has neither [[cells]] nor [shards]")
    cell_indices: dict[str, int] = {}
    agency_cells: dict[str, str] = {}
    for i, cell in enumerate(plan.cells):
        key_path = ("cells", str(i))
        if CELL_NAME_PATTERN.fullmatch(cell.name) is None:
            faults((*key_path, "name"), f"{cell.name!r} is no name: lower case letters, digits and -, up to 32")
        if cell.name in cell_indices:
            faults((*key_path, "name"), f"{cell.name!r} is the name of an earlier cell, too")
        cell_indices.setdefault(cell.name, i)
        if not (cell.nodes or cell.zones or cell.part):
            faults(key_path, "the cell is empty: give it nodes, zones, or a part of those that no cell names")
        for agency in cell.agencies:
            if AGENCY_ID_PATTERN.fullmatch(agency) is None or int(agency, 16) >= CUSTOMER_ID_LIMIT:
                faults((*key_path, "agencies"), f"{agency!r} is no agency: 16 hexadecimal digits, below 2^33")
            elif (other := agency_cells.setdefault(agency, cell.name)) != cell.name:
                faults((*key_path, "agencies"), f"{agency} is in {other!r} already")
            elif cell.agencies.count(agency) > 1:
                faults((*key_path, "agencies"), f"{agency} is given twice")
        if cell.spill_share and not cell.spill_to:
            faults((*key_path, "spill_share"), "it tells how much may spill, and spill_to is missing")
        if cell.spill_to and not cell.spill_share:
            faults((*key_path, "spill_to"), "nothing may spill there: spill_share is missing or 0")
    if plan.cells and not any(cell.take for cell in plan.cells):
        faults((), "agencies that no cell names have none: give one cell a take, or several")
    _check_spill(plan, cell_indices, faults)
    _check_quarantine(plan, faults)


def _check_quarantine(plan: Plan, faults) -> None:
    """Check that the quarantine cell exists and is reserved: it serves no other agencies and spills nowhere."""
    if not plan.quarantine:
        return
    cell = next((cell for cell in plan.cells if cell.name == plan.quarantine), None)
    if cell is None:
        return faults(("quarantine",), f"there is no cell {plan.quarantine!r}")
    if cell.agencies or cell.take or any(other.spill_to == cell.name for other in plan.cells):
        faults(("quarantine",), f"{cell.name!r} serves others, too: it may have no agencies, take or spill")
    if cell.spill_to:
        faults(("quarantine",), f"{cell.name!r} spills: what kills nodes would go on to others")


def _check_spill(plan: Plan, cell_indices: dict[str, int], faults) -> None:
    """Check that spill targets exist and form no cycle, and that the shares into each come to at most 1."""
    spill_targets = {cell.name: cell.spill_to for cell in plan.cells if cell.spill_to}
    spill_totals: dict[str, float] = {}
    for i, cell in enumerate(plan.cells):
        if not cell.spill_to:
            continue
        key_path = ("cells", str(i), "spill_to")
        if cell.spill_to not in cell_indices:
            faults(key_path, f"there is no cell {cell.spill_to!r}")
            continue
        chain, target = [cell.name], cell.spill_to
        while target in spill_targets and target not in chain:
            chain.append(target)
            target = spill_targets[target]
        if target == cell.name:
            faults(key_path, "it goes round in a circle: " + " to ".join((*chain, target)))
        previous_total = spill_totals.get(cell.spill_to, 0.0)
        spill_totals[cell.spill_to] = previous_total + cell.spill_share
        if previous_total <= 1.0 < spill_totals[cell.spill_to]:
            faults((*key_path[:2], "spill_share"),
                   f"the shares that spill to {cell.spill_to!r} come to {spill_totals[cell.spill_to]:g}, over 1")


def check_change(path: str, old: Plan, new: Plan) -> None:
    """Raise FaultyFile unless `new` may replace `old`: versions never decrease, and a version names one plan."""
    if new.version < old.version:
        raise FaultyFile([Fault(path, 0, "version", f"{new.version} is lower than {old.version}, which is in "
                                "force: give the change a higher one")])
    if new.version == old.version and new != old:
        raise FaultyFile([Fault(path, 0, "version", f"{new.version} is in force with another plan: give the "
                                "change a higher one")])
