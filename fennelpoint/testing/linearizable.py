"""Linearizability checker: whether the observed history of changes and reads is possible for a single register.

The search of Wing and Gong with Lowe's memoization: take next any operation that no unfinished one must precede, as
long as the sequential specification gives the result that its caller got. An operation without a definite reply may
have taken effect at any time after it began, or never. Independent of the state machines under test.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf

Routes = frozenset[tuple[str, str]]     # names and path prefixes


@dataclass(frozen=True, slots=True)
class RegisterState:
    """State of the register: the newest configuration, the evacuated zones, and the accepted changes."""

    version: int = 0
    base: int = 0
    routes: Routes = frozenset()
    zones: frozenset[str] = frozenset()
    accepted: frozenset[int] = frozenset()  # by `Op.order`


@dataclass(frozen=True, slots=True)
class Op:
    """One operation from its first attempt to its definite reply (s); `order` is its number, kept when it is resent.

    `kind` is put (a complete configuration), patch, evacuate, restore, get or snapshot. A patch adds or replaces
    `routes` by name and removes `gone`. `seen` is the result of a read: version, base version, routes and, for a
    snapshot, evacuated zones.

    An operation without a definite reply takes effect by `effective_by`, or never.
    """

    order: int
    kind: str
    began: float
    ended: float = inf      # inf: no definite reply
    status: int = 0
    version: int = 0
    base: int = 0
    routes: Routes = frozenset()
    gone: frozenset[str] = frozenset()
    zone: str = ""
    seen: tuple | None = None
    effective_by: float = inf

    def __str__(self) -> str:
        summary = {"put": f"{self.version} on {self.base}", "patch": f"{self.version} on {self.base}"}.get(
            self.kind, self.zone or (self.seen and (self.seen[0], *map(sorted, self.seen[2:]))))
        outcome = f"{self.ended:.3f} {self.status}" if self.ended < inf else "no answer"
        return f"{self.began:.3f}-{outcome} {self.kind} #{self.order} {summary}"


def apply_operation(state: RegisterState, op: Op) -> RegisterState | None:
    """The state after an operation with its result.

    None if the result is impossible in this state, or if an operation without a reply would change nothing.
    """
    if op.kind in ("get", "snapshot"):
        current = (state.version, state.base, state.routes, state.zones)
        return state if op.seen == (current if op.kind == "snapshot" else current[:3]) else None
    if op.kind in ("evacuate", "restore"):
        zones = state.zones | {op.zone} if op.kind == "evacuate" else state.zones - {op.zone}
        if op.ended == inf:
            return None if zones == state.zones else replace(state, zones=zones)
        return replace(state, zones=zones) if op.status == 200 else None
    if op.order in state.accepted:
        return state if op.status == 200 else None
    is_base_current = op.base == state.version and (op.kind == "put" or state.version > 0)
    is_version_newer = op.version > state.version
    if op.status in (400, 412):
        is_correct_refusal = {412: not is_base_current, 400: not is_version_newer}[op.status]
        return state if is_correct_refusal else None
    if not (is_base_current and is_version_newer and (op.status == 200 or op.ended == inf)):
        return None
    routes = op.routes
    if op.kind == "patch":
        routes = frozenset({**dict(state.routes), **dict(op.routes)}.items())
        routes = frozenset(pair for pair in routes if pair[0] not in op.gone)
    return RegisterState(op.version, op.base, routes, state.zones, state.accepted | {op.order})


def find_violation(history: Iterable[Op]) -> str:
    """Why the history is not linearizable, in a few lines; empty if it is."""
    ops = sorted(history, key=lambda op: op.began)
    complete = sum(1 << i for i, op in enumerate(ops) if op.ended < inf)
    stack, visited, best = [(0, RegisterState())], set(), (0, RegisterState(), 0)
    while stack:
        taken, state = stack.pop()
        if not complete & ~taken:
            return ""
        if (taken, state) in visited:
            continue
        visited.add((taken, state))
        remaining = [i for i in range(len(ops)) if not taken >> i & 1]
        earliest_end = min(ops[i].ended for i in remaining)
        answered_count = (taken & complete).bit_count()
        if answered_count >= best[0]:
            best = answered_count, state, taken
        successors = []
        newest_began = ops[taken.bit_length() - 1].began if taken else -inf
        for i in remaining:
            if ops[i].began > earliest_end:
                break
            if newest_began > ops[i].effective_by:
                continue    # an operation that began after its time has taken effect already
            if (after := apply_operation(state, ops[i])) is not None:
                if ops[i].kind in ("get", "snapshot"):
                    successors = [(taken | 1 << i, after)]    # taking a read that fits now excludes no other order
                    break
                successors.append((taken | 1 << i, after))
        stack += successors
    answered_count, state, taken = best
    remaining = [op for i, op in enumerate(ops) if not taken >> i & 1]
    earliest_end = min(op.ended for op in remaining)
    return "\n".join([f"no order fits; the longest has {answered_count} of {complete.bit_count()} answered operations"
                      f" and ends with version {state.version}, evacuated {sorted(state.zones)};"
                      " next would be one of:",
                      *(f"  {op}" for op in remaining if op.began <= earliest_end)])
