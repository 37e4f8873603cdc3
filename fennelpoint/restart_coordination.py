"""Processes of one ingress: who lives, who serves, what each does about the others.

Pure.  `net/hot_restart.py` tells which generations live (each holds its file locked) and what came of them; what is
due comes back as steps.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

WAIT = 1.0      # s for a predecessor's word; then the start is the cold one


@dataclass(frozen=True, slots=True)
class Share:
    """So many processes are this ingress."""

    parts: int


@dataclass(frozen=True, slots=True)
class Give:
    """Tell a newer process what is known, and its part of the stores: one of so many."""

    generation: int
    parts: int


@dataclass(frozen=True, slots=True)
class Take:
    """Go on from what a predecessor told, or from its last word."""

    generation: int
    last: bool = False


@dataclass(frozen=True, slots=True)
class Serve:
    """Take clients from now on."""


Step = Share | Give | Take | Serve


class Succession:
    """One process's view.  Call `look` whenever something may have changed."""

    def __init__(self, generation: int, living: Set[int], now: float) -> None:
        self.generation = generation
        self.others = frozenset(living)     # the generations that live beside us
        older = [g for g in living if g < generation]
        self.predecessor = max(older, default=None)
        self.waits_until = now + WAIT if self.predecessor is not None else now
        self.told = self.ended = False      # the predecessor's word was taken; its last word, too
        self.given: int | None = None       # whom we told
        self.serving = False
        self.parts = 1

    @property
    def successor(self) -> int | None:
        """The newest process beside us that is newer."""
        newer = max(self.others, default=-1)
        return newer if newer > self.generation else None

    def look(self, living: Set[int], words: Set[int], lasts: Set[int], can_serve: bool,
             now: float) -> list[Step]:
        """What is due.  `words`: predecessors that have told us; `lasts`: those that have said their last."""
        self.others, steps = frozenset(living) - {self.generation}, []
        parts, told_it = 1 + len(self.others), self.successor in (None, self.given)
        if parts != self.parts and told_it:
            self.parts = parts
            steps.append(Share(parts))
        if not self.told and self.predecessor in words:
            # Our share is one of as many as live: known first, so that what is taken is scaled by it.
            self.told = True
            steps.append(Take(self.predecessor))
        gone = self.predecessor is not None and self.predecessor not in self.others
        if self.predecessor in lasts and gone and not self.ended:
            self.ended = True
            steps.append(Take(self.predecessor, last=True))
        if not self.serving and can_serve and (self.told or gone or now >= self.waits_until):
            self.serving = True
            steps.append(Serve())
        if (newer := self.successor) is not None and newer != self.given:
            # What is given is a part of as many as live now; our own share falls to the same with it.
            self.given, self.parts = newer, parts
            steps += [Give(newer, parts), Share(parts)]
        return steps
