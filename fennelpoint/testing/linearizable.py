"""Whether a history of orders and read-backs, as their callers saw it, could be that of one register.

The search of Wing and Gong with Lowe's memory: take next any call that no unfinished one has to come before, as long
as the sequential specification gives the answer that its caller got.  A call with no clear answer may have taken
effect at any moment after it began, or never.  Knows nothing of the deciders.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf

Routes = frozenset[tuple[str, str]]     # names and what they stand for


@dataclass(frozen=True, slots=True)
class Held:
    """The register: the newest configuration, the evacuated zones, and the orders that were taken."""

    version: int = 0
    base: int = 0
    routes: Routes = frozenset()
    zones: frozenset[str] = frozenset()
    taken: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Op:
    """One call from its first try to its clear answer, in s; an order keeps its number when it is sent again.

    `kind` is put (whole), patch, evacuate, restore, get or snapshot.  A patch's `routes` are added or replaced by
    name and `gone` are removed.  `seen` is what a read brought: version, base, routes and, of a snapshot, zones.
    """

    order: int
    kind: str
    began: float
    ended: float = inf      # no clear answer
    status: int = 0
    version: int = 0
    base: int = 0
    routes: Routes = frozenset()
    gone: frozenset[str] = frozenset()
    zone: str = ""
    seen: tuple | None = None

    def __str__(self) -> str:
        what = {"put": f"{self.version} on {self.base}", "patch": f"{self.version} on {self.base}"}.get(
            self.kind, self.zone or (self.seen and (self.seen[0], *map(sorted, self.seen[2:]))))
        end = f"{self.ended:.3f} {self.status}" if self.ended < inf else "no answer"
        return f"{self.began:.3f}-{end} {self.kind} #{self.order} {what}"


def step(held: Held, op: Op) -> Held | None:
    """The register after a call that got the answer it got; none where that answer is wrong, or nothing would change
    by a call without one."""
    if op.kind in ("get", "snapshot"):
        now = (held.version, held.base, held.routes, held.zones)
        return held if op.seen == (now if op.kind == "snapshot" else now[:3]) else None
    if op.kind in ("evacuate", "restore"):
        zones = held.zones | {op.zone} if op.kind == "evacuate" else held.zones - {op.zone}
        if op.ended == inf:
            return None if zones == held.zones else replace(held, zones=zones)
        return replace(held, zones=zones) if op.status == 200 else None
    if op.order in held.taken:
        return held if op.status == 200 else None
    fits = op.base == held.version and (op.kind == "put" or held.version > 0)
    above = op.version > held.version
    if op.status in (400, 412):
        wrong = {412: not fits, 400: not above}[op.status]
        return held if wrong else None
    if not (fits and above and (op.status == 200 or op.ended == inf)):
        return None
    routes = op.routes
    if op.kind == "patch":
        routes = frozenset({**dict(held.routes), **dict(op.routes)}.items())
        routes = frozenset(pair for pair in routes if pair[0] not in op.gone)
    return Held(op.version, op.base, routes, held.zones, held.taken | {op.order})


def fault(history: Iterable[Op]) -> str:
    """Why no register has this history, in a few lines; empty where one has."""
    ops = sorted(history, key=lambda op: op.began)
    complete = sum(1 << i for i, op in enumerate(ops) if op.ended < inf)
    stack, been, best = [(0, Held())], set(), (0, Held(), 0)
    while stack:
        done, held = stack.pop()
        if not complete & ~done:
            return ""
        if (done, held) in been:
            continue
        been.add((done, held))
        left = [i for i in range(len(ops)) if not done >> i & 1]
        first = min(ops[i].ended for i in left)
        count = (done & complete).bit_count()
        if count >= best[0]:
            best = count, held, done
        nexts = []
        for i in left:
            if ops[i].began > first:
                break
            if (after := step(held, ops[i])) is not None:
                if ops[i].kind in ("get", "snapshot"):
                    nexts = [(done | 1 << i, after)]    # a read that fits now constrains nothing else
                    break
                nexts.append((done | 1 << i, after))
        stack += nexts
    count, held, done = best
    left = [op for i, op in enumerate(ops) if not done >> i & 1]
    first = min(op.ended for op in left)
    return "\n".join([f"no order fits; the longest has {count} of {complete.bit_count()} answered calls and ends with"
                      f" version {held.version}, evacuated {sorted(held.zones)}; next would be one of:",
                      *(f"  {op}" for op in left if op.began <= first)])
