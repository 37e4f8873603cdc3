"""Whether a history of reads and changes of one register could be that of a register.

Each change that is made has a revision of its own, so the one order that is possible is known: that of the
revisions.  What is left to check is real time, and that each revision stands for one value.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Op:
    """A read that found a revision and its value, or a change that made one."""

    began: float
    ended: float
    who: str
    revision: int
    value: object
    made: bool      # by this change


def faults(ops: list[Op]) -> list[str]:
    """What no register would do."""
    out, values = [], {}
    for op in ops:
        if values.setdefault(op.revision, op.value) != op.value and op.revision:
            out.append(f"revision {op.revision} is {values[op.revision]!r} and {op.value!r}")
    makers: dict[int, Op] = {}
    for op in ops:
        if op.made and (other := makers.setdefault(op.revision, op)) is not op:
            out.append(f"revision {op.revision} was made by {other.who} and by {op.who}")
    ended = sorted(ops, key=lambda op: op.ended)
    newest, at = None, 0
    for op in sorted(ops, key=lambda op: op.began):
        while at < len(ended) and ended[at].ended < op.began:
            if newest is None or ended[at].revision > newest.revision:
                newest = ended[at]
            at += 1
        if newest is not None and op.revision < newest.revision + (1 if op.made else 0):
            out.append(f"{op.who} {'made' if op.made else 'read'} {op.revision} at {op.began:.3f}, after "
                       f"{newest.who} had {newest.revision} at {newest.ended:.3f}")
    return out
