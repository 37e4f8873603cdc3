"""Linearizability checker for histories of reads and changes of one register whose revisions are known.

Each change has its own revision, so the only possible order is that of the revisions. What remains to check is that
it agrees with real time, and that each revision has a single value.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Op:
    """A read that returned a revision and its value, or a change that created one."""

    began: float
    ended: float
    client: str
    revision: int
    value: object
    made: bool      # this operation is the change that created the revision


def find_violations(ops: list[Op]) -> list[str]:
    """Descriptions of all violations of linearizability; empty if there are none."""
    violations, values = [], {}
    for op in ops:
        if values.setdefault(op.revision, op.value) != op.value and op.revision:
            violations.append(f"revision {op.revision} is {values[op.revision]!r} and {op.value!r}")
    creators: dict[int, Op] = {}
    for op in ops:
        if op.made and (other := creators.setdefault(op.revision, op)) is not op:
            violations.append(f"revision {op.revision} was made by {other.client} and by {op.client}")
    by_end = sorted(ops, key=lambda op: op.ended)
    newest, index = None, 0
    for op in sorted(ops, key=lambda op: op.began):
        while index < len(by_end) and by_end[index].ended < op.began:
            if newest is None or by_end[index].revision > newest.revision:
                newest = by_end[index]
            index += 1
        if newest is not None and op.revision < newest.revision + (1 if op.made else 0):
            violations.append(f"{op.client} {'made' if op.made else 'read'} {op.revision} at {op.began:.3f}, after "
                              f"{newest.client} had {newest.revision} at {newest.ended:.3f}")
    return violations
