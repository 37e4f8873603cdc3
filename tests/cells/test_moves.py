"""States of moves: when a move begins and ends, and how a newer plan aborts it."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fennelpoint.cells.moves import ALLOWED_TRANSITIONS, IllegalMoveTransition, Move, MoveState, MoveTracker

BOTH = {"east": frozenset({"a"}), "west": frozenset({"b"})}
NO_WEST = {"east": frozenset({"a"}), "west": frozenset()}


def test_a_move_ends_once_the_attempts_in_flight_at_its_start_have_ended():
    moves = MoveTracker()
    moves.attempt_sent(1, "a")
    moves.attempt_sent(1, "a")
    assert moves.apply_plan_changes({1: ("east", "west")}, 2, BOTH) == {1: "west"}
    assert moves.open[1].state is MoveState.DRAINING and moves.cell_of(1, "west") == "west"
    moves.attempt_sent(1, "b")      # a new request, in the target
    moves.attempt_ended(1, "a")
    moves.attempt_ended(1, "a")
    moves.attempt_ended(1, "b")
    assert not moves.open and not moves.in_flight and moves.ended_counts == {MoveState.MOVED: 1}


def test_an_agency_stays_where_it_is_until_the_target_has_a_node():
    moves = MoveTracker()
    assert moves.apply_plan_changes({1: ("east", "west")}, 2, NO_WEST) == {} and moves.cell_of(1, "west") == "east"
    assert moves.update_members(NO_WEST) == {} and moves.open[1].state is MoveState.PLANNED
    assert moves.update_members(BOTH) == {1: "west"} and moves.ended_counts == {MoveState.MOVED: 1}


def test_a_source_without_nodes_does_not_delay_a_move():
    moves = MoveTracker()
    assert moves.apply_plan_changes(
        {1: ("east", "west")}, 2, {"east": frozenset(), "west": frozenset()}) == {1: "west"}
    moves.apply_plan_changes({2: ("east", "west")}, 3, NO_WEST)
    assert moves.update_members({"east": frozenset(), "west": frozenset()}) == {2: "west"}


def test_a_planned_move_that_a_newer_plan_reverts_is_aborted_and_moves_nothing():
    moves = MoveTracker()
    moves.apply_plan_changes({1: ("east", "west")}, 2, NO_WEST)
    assert moves.apply_plan_changes({1: ("west", "east")}, 3, BOTH) == {} and moves.cell_of(1, "east") == "east"
    assert not moves.open and moves.ended_counts == {MoveState.ABORTED: 1}


def test_a_draining_move_that_is_reverted_drains_in_the_other_direction():
    moves = MoveTracker()
    moves.attempt_sent(1, "a")
    moves.apply_plan_changes({1: ("east", "west")}, 2, BOTH)
    assert moves.apply_plan_changes({1: ("west", "east")}, 3, BOTH) == {1: "east"}
    assert moves.open[1].source == "west" and moves.ended_counts == {MoveState.ABORTED: 1}
    moves.attempt_ended(1, "a")
    assert moves.ended_counts == {MoveState.ABORTED: 1, MoveState.MOVED: 1}


@pytest.mark.parametrize("before", MoveState)
@pytest.mark.parametrize("after", MoveState)
def test_illegal_transitions_raise_a_typed_error(before, after):
    move = Move(1, "east", "west", 2, before)
    if after in ALLOWED_TRANSITIONS[before]:
        move.transition_to(after)
        assert move.state is after
    else:
        with pytest.raises(IllegalMoveTransition, match=f"{before.value} to {after.value}"):
            move.transition_to(after)
        assert move.state is before


class MoveMachine(RuleBasedStateMachine):
    """Plans, rosters, attempts and their ends in any order: each agency is in the cell that the model expects."""

    @initialize()
    def begin(self) -> None:
        self.moves, self.members = MoveTracker(), BOTH
        self.planned_cells = dict.fromkeys(range(4), "east")   # cells in the latest plan
        self.current_cells = dict(self.planned_cells)   # cells that get new requests
        self.in_flight: Counter[tuple[int, str]] = Counter()
        self.version, self.begun = 1, 0

    @rule(agencies=st.sets(st.integers(0, 3), min_size=1), new_cell=st.sampled_from(["east", "west"]))
    def reload(self, agencies, new_cell) -> None:
        self.version += 1
        changes = {a: (self.planned_cells[a], new_cell) for a in agencies if self.planned_cells[a] != new_cell}
        self.planned_cells |= dict.fromkeys(agencies, new_cell)
        moved = self.moves.apply_plan_changes(changes, self.version, self.members)
        assert moved.keys() <= changes.keys()
        self.current_cells |= moved
        for agency in changes.keys() - moved.keys():      # planned, or reverted before it began
            assert self.moves.cell_of(agency, new_cell) == self.current_cells[agency]

    @rule(east=st.booleans(), west=st.booleans())
    def roster(self, east, west) -> None:
        self.members = {"east": frozenset({"a"} if east else ()), "west": frozenset({"b"} if west else ())}
        self.current_cells |= self.moves.update_members(self.members)

    @rule(agency=st.integers(0, 3), node=st.sampled_from(["a", "b"]))
    def send(self, agency, node) -> None:
        self.moves.attempt_sent(agency, node)
        self.in_flight[agency, node] += 1

    @rule(agency=st.integers(0, 3), node=st.sampled_from(["a", "b"]))
    def end(self, agency, node) -> None:
        self.moves.attempt_ended(agency, node)
        self.in_flight[agency, node] -= self.in_flight[agency, node] > 0

    @invariant()
    def tracker_agrees_with_model(self) -> None:
        for agency, cell in self.planned_cells.items():
            assert self.moves.cell_of(agency, cell) == self.current_cells[agency]
            move = self.moves.open.get(agency)
            assert (self.current_cells[agency] != cell) == (move is not None and move.state is MoveState.PLANNED)
            if move is not None:
                assert move.target == cell and move.state in (MoveState.PLANNED, MoveState.DRAINING)
                in_flight = sum(n for (a, _), n in self.in_flight.items() if a == agency)
                assert move.state is MoveState.PLANNED or 0 < move.remaining <= in_flight
        assert {a for (a, _), n in self.in_flight.items() if n} == self.moves.in_flight.keys()


TestMachine = MoveMachine.TestCase
TestMachine.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
