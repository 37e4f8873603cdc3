"""Random plans for `operators`: the operators' actions, the faults, and the number of machines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class OperatorAction:
    """An operator's action, at a time in tenths of a second after the start of traffic.

    `variant` selects version numbers, routes and zones.
    """

    start_tenths: int
    kind: str  # put, patch, evacuate, restore, get or snapshot
    operator: int = 0
    variant: int = 0
    uses_own_version: bool = False  # bases changes on the newest version this operator has seen, not that of all


@dataclass(frozen=True)
class Fault:
    """A fault of some machines (a bit mask), with start and duration in tenths of a second.

    Kinds: `cut` partitions the machines from all others; with `deaf` their messages to the others are lost, with
    `mute` those of the others to them; `kill` stops them. `wipe` empties the disk of one machine, `add` adds one,
    `swap` replaces one. `acker` kills the machine that next acknowledges a change, at that moment, and those that the
    mask selects counted from it; with an odd duration it also loses its disk. `slow` delays messages, `full` fills
    the disk, `freeze` suspends the process.
    """

    start_tenths: int
    kind: str
    machine_mask: int = 1
    duration_tenths: int = 10


@dataclass(frozen=True)
class Plan:
    """One run: core machines, random seed, actions and faults."""

    cores: int
    seed: int
    actions: tuple[OperatorAction, ...]
    faults: tuple[Fault, ...]
    loses_replies: bool = False  # one reply in five is lost
