"""What a fleet version holds, and what going over to it means.

A content is a few files by name (`cells.toml`, `plans.toml`, `openapi.yaml`), as one canonical text with a digest.
It is checked whole before it is offered, and again by each ingress before that says it is ready.  A change that
takes something away is a *tightening*; whatever can't be told is taken for one.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory

from fennelpoint import interface as api
from fennelpoint.cells.plan import Plan as CellPlan
from fennelpoint.cells.plan import read_plan
from fennelpoint.fleet.state import LOOSENING, TIGHTENING
from fennelpoint.operator_config import figure, read_typed
from fennelpoint.validation_errors import Fault, FaultyFile

SCHEMA = 1
MOST = 4 << 20      # bytes of a content
CELLS, PLANS, ROUTES = "cells.toml", "plans.toml", "openapi.yaml"
NAMES = (CELLS, PLANS, ROUTES)
FIGURES = ("rate", "burst", "open_limit", "ceiling_rate", "ceiling_burst")


@dataclass(frozen=True, slots=True)
class PlanFigures:
    """[[plans]]: a plan's figures in place of those of the settings; what is left out stays as it is there."""

    name: str
    quota_rate: float = figure(-1.0, 0.0, 1e9)      # units a second; 0: no quota
    store_size: float = figure(-1.0, 0.0, 1e9)      # units
    open_limit: int = figure(-1, 0, 1_000_000)      # requests open at once; 0: any
    ceiling_rate: float = figure(-1.0, 0.0, 1e9)    # units a second
    ceiling_burst: float = figure(-1.0, 0.0, 1e9)   # units


@dataclass(frozen=True, slots=True)
class PlansFile:
    """The file `plans.toml`."""

    schema: int = 1
    plans: list[PlanFigures] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Content:
    """A version's content as it is used.  `routes` is the description's text, which a process of its own reads."""

    files: Mapping[str, str]
    digest: str
    cells: CellPlan | None = None
    plans: tuple[PlanFigures, ...] = ()
    routes: str = ""


EMPTY = Content({}, "")


def pack(files: Mapping[str, str]) -> bytes:
    """The one text that stands for these files."""
    return json.dumps({"schema": SCHEMA, "files": dict(files)}, sort_keys=True, ensure_ascii=False,
                      separators=(",", ":")).encode()


def digest_of(data: bytes) -> str:
    return sha256(data).hexdigest()


def unpack(data: bytes, digest: str) -> Content:
    """A content that was fetched; raises FaultyFile where it is not what the digest says, or has faults."""
    if len(data) > MOST:
        raise FaultyFile([Fault(digest[:12], 0, "", f"the content is larger than {MOST} bytes")])
    if digest_of(data) != digest:
        raise FaultyFile([Fault(digest[:12], 0, "", "the content is not what its digest says")])
    try:
        value = json.loads(data)
        files, schema = value["files"], value["schema"]
        if not all(isinstance(text, str) for text in files.values()):
            raise TypeError
    except (ValueError, KeyError, TypeError, AttributeError):
        raise FaultyFile([Fault(digest[:12], 0, "", "the content is no set of files")]) from None
    if schema != SCHEMA:
        raise FaultyFile([Fault(digest[:12], 0, "schema", f"{schema!r} is not known here: {SCHEMA} is")])
    return check(files, digest)


def check(files: Mapping[str, str], digest: str = "") -> Content:
    """Files as a content; raises FaultyFile with every fault of those that this program reads by itself."""
    faults = [Fault(name, 0, "", f"it is no part of a version: {', '.join(NAMES)} are")
              for name in files if name not in NAMES]
    if not files:
        faults.append(Fault("", 0, "", "a version holds one file at least"))
    cells, plans = None, ()
    with TemporaryDirectory(prefix="larchwing-") as folder:
        for name, text in files.items():
            (Path(folder) / Path(name).name).write_text(text, encoding="utf-8")
        try:
            if CELLS in files:
                cells = read_plan(Path(folder) / CELLS)
        except FaultyFile as error:
            faults += error.faults
        try:
            if PLANS in files:
                plans = _read_plans(Path(folder) / PLANS)
        except FaultyFile as error:
            faults += error.faults
        faults = [replace(f, file=Path(f.file).name) for f in faults]
    if faults:
        raise FaultyFile(faults)
    return Content(dict(files), digest or digest_of(pack(files)), cells, plans, files.get(ROUTES, ""))


def _read_plans(path: Path) -> tuple[PlanFigures, ...]:
    made, fault = read_typed(path, PlansFile)
    if made is not None:
        if made.schema != 1:
            fault(("schema",), f"{made.schema} is not known here: this program reads 1")
        if not made.plans:
            fault((), "it has no [[plans]]")
        names = [plan.name for plan in made.plans]
        for i, plan in enumerate(made.plans):
            if plan.name in names[:i]:
                fault(("plans", str(i), "name"), f"{plan.name!r} is given twice")
            if plan.quota_rate > 0.0 and plan.store_size == 0.0:
                fault(("plans", str(i), "store_size"), "a quota with a store of nothing lets nothing in")
    fault.end()
    return tuple(made.plans)


def figures(settings: list[api.Plan], content: Content) -> list[api.Plan]:
    """The plans of the settings with a content's figures; raises FaultyFile where it names one there is not."""
    told = {plan.name: plan for plan in content.plans}
    unknown = sorted(set(told) - {plan.name for plan in settings})
    if unknown:
        raise FaultyFile([Fault(PLANS, 0, name, "the settings have no such plan") for name in unknown])
    out = []
    for plan in settings:
        new = told.get(plan.name)
        changes = {} if new is None else {
            own: value for own, value in (
                ("rate", new.quota_rate), ("burst", new.store_size), ("open_limit", new.open_limit),
                ("ceiling_rate", new.ceiling_rate), ("ceiling_burst", new.ceiling_burst)) if value >= 0}
        made = replace(plan, **changes)
        if made.ceiling_rate and (made.ceiling_rate < made.rate or made.ceiling_burst < made.burst):
            raise FaultyFile([Fault(PLANS, 0, plan.name, "its ceiling is under its quota")])
        out.append(made)
    return out


def _limit(name: str, value: float) -> float:
    """For comparing: no limit is the highest."""
    return float("inf") if value == 0 and name in ("open_limit", "ceiling_rate", "ceiling_burst", "rate") else value


def least(one: list[api.Plan], other: list[api.Plan]) -> list[api.Plan]:
    """The smaller of each figure: what holds while either may be acted on."""
    return [replace(a, **{name: min(getattr(a, name), getattr(b, name), key=lambda v, n=name: _limit(n, v))
                          for name in FIGURES})
            for a, b in zip(one, other, strict=True)]


def kind(settings: list[api.Plan] | None, old: Content, new: Content) -> str:
    """Whether going over takes something away.

    Without the settings, figures that one file leaves out and the other gives can't be compared: a tightening.
    """
    if settings is not None:
        before, after = figures(settings, old), figures(settings, new)
        if any(_limit(name, getattr(b, name)) < _limit(name, getattr(a, name))
               for a, b in zip(before, after, strict=True) for name in FIGURES):
            return TIGHTENING
    elif not _only_more(old.plans, new.plans):
        return TIGHTENING
    if old.cells != new.cells or old.routes != new.routes:
        return TIGHTENING
    return LOOSENING


def _only_more(old: tuple[PlanFigures, ...], new: tuple[PlanFigures, ...]) -> bool:
    names = ("quota_rate", "store_size", "open_limit", "ceiling_rate", "ceiling_burst")
    before, after = ({plan.name: plan for plan in plans} for plans in (old, new))
    return before.keys() == after.keys() and all(
        (getattr(before[p], n) < 0) == (getattr(after[p], n) < 0)
        and (getattr(after[p], n) >= getattr(before[p], n) > 0 or getattr(after[p], n) == getattr(before[p], n))
        for p in before for n in names)
