"""Tracks moves of agencies between cells as a state machine, driven by plan changes and attempts.

    planned    the target has no node here yet: new requests stay in the source
    draining   new requests go to the target; attempts in flight when it began finish where they are
    moved      none of those attempts is in flight any more
    aborted    a newer plan reassigned the agency before it was moved

Has no side effects.  Each ingress uses its own roster and plan; these may differ between ingresses for seconds,
and no rule relies on their agreement.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class MoveState(Enum):
    PLANNED = "planned"
    DRAINING = "draining"
    MOVED = "moved"
    ABORTED = "aborted"


ALLOWED_TRANSITIONS = {MoveState.PLANNED: {MoveState.DRAINING, MoveState.ABORTED},
                       MoveState.DRAINING: {MoveState.MOVED, MoveState.ABORTED},
                       MoveState.MOVED: set(), MoveState.ABORTED: set()}


class IllegalMoveTransition(Exception):
    """The state does not follow from the previous one."""


@dataclass(slots=True, eq=False)
class Move:
    """One agency's move from a source cell to a target cell."""

    agency: int
    source: str
    target: str
    version: int        # of the plan that requires it
    state: MoveState = MoveState.PLANNED
    remaining: int = 0      # attempts in flight since before the move began

    def transition_to(self, state: MoveState) -> None:
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise IllegalMoveTransition(f"agency {self.agency:016x}: {self.state.value} to {state.value}")
        self.state = state


class MoveTracker:
    """Tracks the moves that have not ended and every agency's attempts in flight."""

    def __init__(self) -> None:
        self.open: dict[int, Move] = {}
        self.in_flight: dict[int, Counter[str]] = {}    # attempts by agency and node
        self.ended_counts: Counter[MoveState] = Counter()   # ended moves by final state

    def cell_of(self, agency: int, planned_cell: str) -> str:
        """Return the cell for an agency's new requests, given its cell in the plan."""
        move = self.open.get(agency)
        return planned_cell if move is None or move.state is not MoveState.PLANNED else move.source

    def apply_plan_changes(self, changes: Mapping[int, tuple[str, str]], version: int,
                           members: Mapping[str, frozenset[str]]) -> dict[int, str]:
        """Apply a newer plan, and return the new cell of each agency whose requests move at once.

        `changes` holds the previous and the new cell by agency.  An agency whose move is still planned starts
        from that move's source, whatever the previous plan said.
        """
        moved: dict[int, str] = {}
        for agency, (source, target) in changes.items():
            if (previous := self.open.pop(agency, None)) is not None:
                source = previous.source if previous.state is MoveState.PLANNED else previous.target
                self._end(previous, MoveState.ABORTED)
            if source == target:
                continue
            move = self.open[agency] = Move(agency, source, target, version)
            # A source without nodes does not delay the move, as it could only refuse the requests.
            if members.get(target) or not members.get(source):
                self._begin(move)
                moved[agency] = target
        return moved

    def update_members(self, members: Mapping[str, frozenset[str]]) -> dict[int, str]:
        """Handle changed cell members, and return the target of each agency whose planned move begins now."""
        ready = [m for m in self.open.values() if m.state is MoveState.PLANNED
                 and (members.get(m.target) or not members.get(m.source))]
        for move in ready:
            self._begin(move)
        return {move.agency: move.target for move in ready}

    def attempt_sent(self, agency: int, node: str) -> None:
        self.in_flight.setdefault(agency, Counter())[node] += 1

    def attempt_ended(self, agency: int, node: str) -> None:
        """Record the end of an attempt.

        Which of several attempts at one node ended is unknown; the oldest is assumed to end last.
        """
        if (by_node := self.in_flight.get(agency)) is None or not by_node[node]:
            return
        by_node[node] -= 1
        if not by_node[node]:
            del by_node[node]
        if not by_node:
            del self.in_flight[agency]
        if (move := self.open.get(agency)) is not None and move.state is MoveState.DRAINING:
            move.remaining = min(move.remaining, sum(by_node.values()))
            if not move.remaining:
                del self.open[agency]
                self._end(move, MoveState.MOVED)

    def _begin(self, move: Move) -> None:
        move.transition_to(MoveState.DRAINING)
        move.remaining = sum(self.in_flight.get(move.agency, Counter()).values())
        if not move.remaining:
            del self.open[move.agency]
            self._end(move, MoveState.MOVED)

    def _end(self, move: Move, state: MoveState) -> None:
        move.transition_to(state)
        self.ended_counts[state] += 1

    def summary(self) -> str:
        """Return the number of moves in each state, in one line."""
        states = Counter(move.state for move in self.open.values()) + self.ended_counts
        return ", ".join(f"{states[state]} {state.value}" for state in MoveState if states[state]) or "none"
