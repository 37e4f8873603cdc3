"""When a changed description is read, and what becomes of it: a state machine without I/O.

Events carry the time and answer with actions.  One load is out at a time, each with a number; what is told of
a load that was given up is dropped.  A file that is being written is left alone until it has looked the same
for `settle` seconds.  A faulty description is reported once and changes nothing; a sound one is taken whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fennelpoint.routes.table import RouteTable
from fennelpoint.validation_errors import Fault


@dataclass(frozen=True, slots=True)
class Load:
    """Read the description at this path and tell the end of it under this number."""

    number: int
    path: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Stop a load that takes too long."""

    number: int


@dataclass(frozen=True, slots=True)
class Take:
    """Go by this table for every request that is read from now on."""

    table: RouteTable
    version: int


@dataclass(frozen=True, slots=True)
class Report:
    """Tell the operator; the routes at hand stay."""

    faults: tuple[Fault, ...]


Action = Load | GiveUp | Take | Report
Stamps = Mapping[str, object]


class Changes:
    """Follows one description.  `path` may change; `files` are those to be looked at, as last read."""

    def __init__(self, path: str, files: Stamps, timeout: float, settle: float = 0.0) -> None:
        self.path, self.files, self.timeout, self.settle = path, dict(files), timeout, settle
        self.version, self.number = 1, 0
        self.loading: int | None = None     # the number of the load that is out
        self.since = 0.0                    # when it began
        self.again = False                  # something changed since: its end may be of the old file
        self.pending: dict[str, object] | None = None   # stamps that differ, and since when they stand
        self.pending_at = 0.0

    def told(self, now: float, path: str | None = None) -> list[Action]:
        """The operator asks for it (SIGHUP), perhaps at another path."""
        if path is not None:
            self.path = path
        self.pending = None
        return self._load(now)

    def looked(self, now: float, stamps: Stamps) -> list[Action]:
        """The files were looked at; `stamps` has one for each of `files`."""
        stamps = {name: stamps.get(name) for name in self.files}
        if stamps == self.files:
            self.pending = None
            return []
        if stamps != self.pending:
            self.pending, self.pending_at = stamps, now
        if now - self.pending_at < self.settle:
            return []
        self.pending, self.files = None, stamps     # tried once, whatever comes of it
        return self._load(now)

    def ended(self, now: float, number: int, table: RouteTable | None, faults: tuple[Fault, ...],
              files: Stamps) -> list[Action]:
        """A load has ended: a table, or faults and no table."""
        if number != self.loading:
            return []
        self.loading = None
        self.files = dict(files) or self.files
        again, self.again = self.again, False
        out: list[Action] = []
        if not faults:
            self.version += 1
            out.append(Take(table, self.version))
        elif not again:     # else it is read anew at once, and that reading counts
            out.append(Report(faults))
        return out + (self._load(now) if again else [])

    def tick(self, now: float) -> list[Action]:
        """Time passes: a load that takes too long is given up, as faulty."""
        if self.loading is None or now - self.since < self.timeout:
            return []
        number = self.loading
        fault = Fault(self.path, 0, "", f"it could not be read within {self.timeout:g} s")
        return [GiveUp(number), *self.ended(now, number, None, (fault,), {})]

    def _load(self, now: float) -> list[Action]:
        if self.loading is not None:
            self.again = True
            return []
        self.number += 1
        self.loading, self.since = self.number, now
        return [Load(self.number, self.path)]
