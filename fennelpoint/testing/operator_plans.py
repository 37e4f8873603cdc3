"""What is drawn for a day of operators at a core in trouble: errands, troubles, and the machines they meet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Errand:
    """Something an operator does, tenths of a second after the start of traffic; `pick` draws numbers and zones."""

    at: int
    kind: str  # put, patch, evacuate, restore, get or snapshot
    who: int = 0
    pick: int = 0
    blind: bool = False  # goes by what this operator has seen itself, and not by what others know


@dataclass(frozen=True)
class Trouble:
    """Something that happens to machines, for so many tenths of a second; `whom` is a mask of machines.

    cut: these from all others; deaf: they hear the others and are not heard; mute: the reverse; kill; wipe, add and
    swap: one; acker: so many, counted from the one that next acknowledges a change, lose power right then, and with
    an odd `span` the acker its disk; slow, full, freeze.
    """

    at: int
    kind: str
    whom: int = 1
    span: int = 10


@dataclass(frozen=True)
class Plan:
    cores: int
    seed: int
    errands: tuple[Errand, ...]
    troubles: tuple[Trouble, ...]
    lossy: bool = False  # answers are lost on their way, one in five
