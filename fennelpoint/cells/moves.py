"""Moves of agencies from cell to cell, as states of their own.  Pure: the plan's changes and attempts in.

    planned    the target has no node here yet: new tries stay in the source
    draining   new tries go to the target, attempts that were out when it began finish where they are
    moved      none of those is out any more
    aborted    a newer plan put the agency elsewhere before it was moved

Each ingress goes by its own roster and plan.  They may differ for seconds; no rule rests on that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    PLANNED = "planned"
    DRAINING = "draining"
    MOVED = "moved"
    ABORTED = "aborted"


LEGAL = {State.PLANNED: {State.DRAINING, State.ABORTED}, State.DRAINING: {State.MOVED, State.ABORTED},
         State.MOVED: set(), State.ABORTED: set()}


class IllegalMove(Exception):
    """A state that does not follow from the one before."""


@dataclass(slots=True, eq=False)
class Move:
    agency: int
    source: str
    target: str
    version: int        # of the plan that wants it
    state: State = State.PLANNED
    left: int = 0       # attempts that were out when it began, and still are

    def go(self, state: State) -> None:
        if state not in LEGAL[self.state]:
            raise IllegalMove(f"agency {self.agency:016x}: {self.state.value} to {state.value}")
        self.state = state


class Moves:
    """The moves that are open, and the attempts of every agency that are out."""

    def __init__(self) -> None:
        self.open: dict[int, Move] = {}
        self.out: dict[int, Counter[str]] = {}      # by agency and node
        self.counts: Counter[State] = Counter()     # of moves that ended

    def cell_of(self, agency: int, planned: str) -> str:
        """Where an agency's new tries go now, whatever the plan wants."""
        move = self.open.get(agency)
        return planned if move is None or move.state is not State.PLANNED else move.source

    def want(self, changes: Mapping[int, tuple[str, str]], version: int,
             members: Mapping[str, frozenset[str]]) -> dict[int, str]:
        """A newer plan: agencies with their cell before and after; those whose tries go elsewhere at once.

        An agency whose move is planned still is in its source, whatever the older plan said.
        """
        now: dict[int, str] = {}
        for agency, (source, target) in changes.items():
            if (old := self.open.pop(agency, None)) is not None:
                source = old.source if old.state is State.PLANNED else old.target
                self._end(old, State.ABORTED)
            if source == target:
                continue
            move = self.open[agency] = Move(agency, source, target, version)
            # A source without nodes holds nobody back: a refusal is all that it has.
            if members.get(target) or not members.get(source):
                self._begin(move)
                now[agency] = target
        return now

    def follow(self, members: Mapping[str, frozenset[str]]) -> dict[int, str]:
        """Nodes came or went: the agencies whose planned move begins now."""
        ready = [m for m in self.open.values() if m.state is State.PLANNED
                 and (members.get(m.target) or not members.get(m.source))]
        for move in ready:
            self._begin(move)
        return {move.agency: move.target for move in ready}

    def sent(self, agency: int, node: str) -> None:
        self.out.setdefault(agency, Counter())[node] += 1

    def ended(self, agency: int, node: str) -> None:
        """An attempt's end.  Which of several at one node is not known: the oldest is taken to end last."""
        if (out := self.out.get(agency)) is None or not out[node]:
            return
        out[node] -= 1
        if not out[node]:
            del out[node]
        if not out:
            del self.out[agency]
        if (move := self.open.get(agency)) is not None and move.state is State.DRAINING:
            move.left = min(move.left, sum(out.values()))
            if not move.left:
                del self.open[agency]
                self._end(move, State.MOVED)

    def _begin(self, move: Move) -> None:
        move.go(State.DRAINING)
        move.left = sum(self.out.get(move.agency, Counter()).values())
        if not move.left:
            del self.open[move.agency]
            self._end(move, State.MOVED)

    def _end(self, move: Move, state: State) -> None:
        move.go(state)
        self.counts[state] += 1

    def said(self) -> str:
        """How the moves stand, in a line."""
        states = Counter(move.state for move in self.open.values()) + self.counts
        return ", ".join(f"{states[state]} {state.value}" for state in State if states[state]) or "none"
