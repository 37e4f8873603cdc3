"""Edits a plan file in place: moves an agency and increments the version, keeping comments and layout."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path

import tomlkit

from fennelpoint.cells.assign import Assignment
from fennelpoint.cells.plan import read_plan
from fennelpoint.validation_errors import Fault, FaultyFile


def move_agency(path: str | Path, agency: str, cell: str) -> tuple[int, str]:
    """Move an agency to a cell; return the new version and the previous cell.

    The file is replaced atomically by a valid one, or not at all.  Raises FaultyFile.
    """
    path = Path(path)
    plan = read_plan(path)
    previous_cell = Assignment(plan).cell_of(int(agency, 16))
    cell_names = [spec.name for spec in plan.cells]
    if cell not in cell_names:
        raise FaultyFile([Fault(str(path), 0, "cells", f"there is no cell {cell!r}: there are "
                                + (", ".join(cell_names) or "none, as agencies are in shards by hash"))])
    document = tomlkit.parse(path.read_text())
    for table in document["cells"]:
        listed = table.get("agencies")
        if table["name"] == cell:
            if listed is None:
                table["agencies"] = listed = tomlkit.array()
            if agency not in listed:
                listed.append(agency)
        elif listed is not None and agency in listed:
            listed.remove(agency)
    document["version"] = plan.version + 1
    descriptor, draft = tempfile.mkstemp(dir=path.parent, prefix=path.name, suffix=".draft")
    try:
        with os.fdopen(descriptor, "w") as file:
            file.write(tomlkit.dumps(document))
            file.flush()
            os.fsync(file.fileno())
        os.chmod(draft, path.stat().st_mode & 0o777)
        if (assignment := Assignment(read_plan(draft))).cell_of(int(agency, 16)) != cell:
            actual_cell = assignment.cell_of(int(agency, 16))
            raise FaultyFile([Fault(str(path), 0, "cells", f"{agency} would be in {actual_cell}")])
        os.rename(draft, path)
    except BaseException:
        os.unlink(draft)
        raise
    return plan.version + 1, previous_cell
