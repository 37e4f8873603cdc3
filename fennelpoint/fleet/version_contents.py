"""The content of a fleet version, and whether a change of version takes something away.

A content is a few files by name (`cells.toml`, `plans.toml`, `openapi.yaml`), serialized as one canonical text with a
digest.  All of it is validated before it is offered, and again by each ingress before that reports it as prepared.  A
change that takes something away is a *tightening*; so is every change for which this cannot be determined.
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
MAX_CONTENT_BYTES = 4 << 20
CELLS, PLANS, ROUTES = "cells.toml", "plans.toml", "openapi.yaml"
NAMES = (CELLS, PLANS, ROUTES)
LIMIT_FIELDS = ("rate", "burst", "open_limit", "ceiling_rate", "ceiling_burst")


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """[[plans]]: limits of a plan that replace those of the settings.

    A key that is left out keeps the value of the settings (-1 here).
    """

    name: str
    quota_rate: float = figure(-1.0, 0.0, 1e9)      # units/s; 0: no quota
    store_size: float = figure(-1.0, 0.0, 1e9)      # units
    open_limit: int = figure(-1, 0, 1_000_000)      # open requests; 0: no limit
    ceiling_rate: float = figure(-1.0, 0.0, 1e9)    # units/s
    ceiling_burst: float = figure(-1.0, 0.0, 1e9)   # units


@dataclass(frozen=True, slots=True)
class PlansFile:
    """The file `plans.toml`."""

    schema: int = 1
    plans: list[PlanLimits] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Content:
    """The parsed content of a version.

    `routes` is the text of the OpenAPI description, which a process of its own parses.
    """

    files: Mapping[str, str]
    digest: str
    cells: CellPlan | None = None
    plans: tuple[PlanLimits, ...] = ()
    routes: str = ""


EMPTY = Content({}, "")


def pack(files: Mapping[str, str]) -> bytes:
    """Returns the canonical serialization of the files."""
    return json.dumps({"schema": SCHEMA, "files": dict(files)}, sort_keys=True, ensure_ascii=False,
                      separators=(",", ":")).encode()


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 digest of a serialized content, in hexadecimal."""
    return sha256(data).hexdigest()


def unpack(data: bytes, digest: str) -> Content:
    """Parses a fetched content; raises FaultyFile if it does not match the digest or is invalid."""
    if len(data) > MAX_CONTENT_BYTES:
        raise FaultyFile([Fault(digest[:12], 0, "", f"the content is larger than {MAX_CONTENT_BYTES} bytes")])
    if digest_of(data) != digest:
        raise FaultyFile([Fault(digest[:12], 0, "", "the content does not match its digest")])
    try:
        value = json.loads(data)
        files, schema = value["files"], value["schema"]
        if not all(isinstance(text, str) for text in files.values()):
            raise TypeError
    except (ValueError, KeyError, TypeError, AttributeError):
        raise FaultyFile([Fault(digest[:12], 0, "", "the content is not a set of files")]) from None
    if schema != SCHEMA:
        raise FaultyFile([Fault(digest[:12], 0, "schema", f"{schema!r} is not supported: {SCHEMA} is")])
    return parse_files(files, digest)


def parse_files(files: Mapping[str, str], digest: str = "") -> Content:
    """Parses the files of a content.

    Raises FaultyFile with every fault found here; the OpenAPI description is parsed elsewhere.
    """
    faults = [Fault(name, 0, "", f"it is not a file of a version: {', '.join(NAMES)} are")
              for name in files if name not in NAMES]
    if not files:
        faults.append(Fault("", 0, "", "a version needs at least one file"))
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


def _read_plans(path: Path) -> tuple[PlanLimits, ...]:
    file, fault = read_typed(path, PlansFile)
    if file is not None:
        if file.schema != 1:
            fault(("schema",), f"{file.schema} is not supported: this program reads 1")
        if not file.plans:
            fault((), "it has no [[plans]]")
        names = [plan.name for plan in file.plans]
        for i, plan in enumerate(file.plans):
            if plan.name in names[:i]:
                fault(("plans", str(i), "name"), f"{plan.name!r} appears twice")
            if plan.quota_rate > 0.0 and plan.store_size == 0.0:
                fault(("plans", str(i), "store_size"), "a quota with a store size of 0 admits nothing")
    fault.end()
    return tuple(file.plans)


def apply_limits(settings: list[api.Plan], content: Content) -> list[api.Plan]:
    """Returns the plans of the settings with the limits of a content.

    Raises FaultyFile if the content names a plan that the settings lack, or if a ceiling is lower than the quota.
    """
    limits_by_plan = {plan.name: plan for plan in content.plans}
    unknown = sorted(set(limits_by_plan) - {plan.name for plan in settings})
    if unknown:
        raise FaultyFile([Fault(PLANS, 0, name, "the settings have no such plan") for name in unknown])
    plans = []
    for plan in settings:
        limits = limits_by_plan.get(plan.name)
        changes = {} if limits is None else {
            field_name: value for field_name, value in (
                ("rate", limits.quota_rate), ("burst", limits.store_size), ("open_limit", limits.open_limit),
                ("ceiling_rate", limits.ceiling_rate), ("ceiling_burst", limits.ceiling_burst)) if value >= 0}
        updated = replace(plan, **changes)
        if updated.ceiling_rate and (updated.ceiling_rate < updated.rate or updated.ceiling_burst < updated.burst):
            raise FaultyFile([Fault(PLANS, 0, plan.name, "its ceiling is lower than its quota")])
        plans.append(updated)
    return plans


def _comparable(name: str, value: float) -> float:
    """Returns a value for comparison: 0 means no limit and counts as infinity, except for `burst`."""
    return float("inf") if value == 0 and name in ("open_limit", "ceiling_rate", "ceiling_burst", "rate") else value


def minimum_limits(first: list[api.Plan], second: list[api.Plan]) -> list[api.Plan]:
    """Returns the smaller of each limit, to apply while either version may be acted on."""
    return [replace(a, **{name: min(getattr(a, name), getattr(b, name), key=lambda v, n=name: _comparable(n, v))
                          for name in LIMIT_FIELDS})
            for a, b in zip(first, second, strict=True)]


def change_kind(settings: list[api.Plan] | None, old: Content, new: Content) -> str:
    """Returns whether the change from `old` to `new` is a loosening or a tightening.

    Without the settings, limits that only one of the contents sets cannot be compared, which makes it a tightening.
    """
    if settings is not None:
        before, after = apply_limits(settings, old), apply_limits(settings, new)
        if any(_comparable(name, getattr(b, name)) < _comparable(name, getattr(a, name))
               for a, b in zip(before, after, strict=True) for name in LIMIT_FIELDS):
            return TIGHTENING
    elif not _only_increases(old.plans, new.plans):
        return TIGHTENING
    if old.cells != new.cells or old.routes != new.routes:
        return TIGHTENING
    return LOOSENING


def _only_increases(old: tuple[PlanLimits, ...], new: tuple[PlanLimits, ...]) -> bool:
    names = ("quota_rate", "store_size", "open_limit", "ceiling_rate", "ceiling_burst")
    before, after = ({plan.name: plan for plan in plans} for plans in (old, new))
    return before.keys() == after.keys() and all(
        (getattr(before[p], n) < 0) == (getattr(after[p], n) < 0)
        and (getattr(after[p], n) >= getattr(before[p], n) > 0 or getattr(after[p], n) == getattr(before[p], n))
        for p in before for n in names)
