"""Moves as states: what begins when, what ends, what a newer plan takes back."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fennelpoint.cells.moves import LEGAL, IllegalMove, Move, Moves, State

BOTH = {"east": frozenset({"a"}), "west": frozenset({"b"})}
NO_WEST = {"east": frozenset({"a"}), "west": frozenset()}


def test_a_move_drains_what_was_out_and_then_is_moved():
    moves = Moves()
    moves.sent(1, "a")
    moves.sent(1, "a")
    assert moves.want({1: ("east", "west")}, 2, BOTH) == {1: "west"}
    assert moves.open[1].state is State.DRAINING and moves.cell_of(1, "west") == "west"
    moves.sent(1, "b")      # a new try, in the target
    moves.ended(1, "a")
    moves.ended(1, "a")
    moves.ended(1, "b")
    assert not moves.open and not moves.out and moves.counts == {State.MOVED: 1}


def test_an_agency_stays_where_it_is_until_the_target_has_a_node():
    moves = Moves()
    assert moves.want({1: ("east", "west")}, 2, NO_WEST) == {} and moves.cell_of(1, "west") == "east"
    assert moves.follow(NO_WEST) == {} and moves.open[1].state is State.PLANNED
    assert moves.follow(BOTH) == {1: "west"} and moves.counts == {State.MOVED: 1}


def test_a_source_without_nodes_holds_nobody_back():
    moves = Moves()
    assert moves.want({1: ("east", "west")}, 2, {"east": frozenset(), "west": frozenset()}) == {1: "west"}
    moves.want({2: ("east", "west")}, 3, NO_WEST)
    assert moves.follow({"east": frozenset(), "west": frozenset()}) == {2: "west"}


def test_a_planned_move_that_a_newer_plan_takes_back_is_aborted_and_moves_nothing():
    moves = Moves()
    moves.want({1: ("east", "west")}, 2, NO_WEST)
    assert moves.want({1: ("west", "east")}, 3, BOTH) == {} and moves.cell_of(1, "east") == "east"
    assert not moves.open and moves.counts == {State.ABORTED: 1}


def test_a_draining_move_that_is_taken_back_drains_the_other_way():
    moves = Moves()
    moves.sent(1, "a")
    moves.want({1: ("east", "west")}, 2, BOTH)
    assert moves.want({1: ("west", "east")}, 3, BOTH) == {1: "east"}
    assert moves.open[1].source == "west" and moves.counts == {State.ABORTED: 1}
    moves.ended(1, "a")
    assert moves.counts == {State.ABORTED: 1, State.MOVED: 1}


@pytest.mark.parametrize("before", State)
@pytest.mark.parametrize("after", State)
def test_illegal_moves_are_typed_errors(before, after):
    move = Move(1, "east", "west", 2, before)
    if after in LEGAL[before]:
        move.go(after)
        assert move.state is after
    else:
        with pytest.raises(IllegalMove, match=f"{before.value} to {after.value}"):
            move.go(after)
        assert move.state is before


class Machine(RuleBasedStateMachine):
    """Plans, rosters, attempts and their ends in any order; the agency is where the model says."""

    @initialize()
    def begin(self) -> None:
        self.moves, self.members = Moves(), BOTH
        self.plan = dict.fromkeys(range(4), "east")     # as the last plan has it
        self.at = dict(self.plan)                       # where new tries really go
        self.out: Counter[tuple[int, str]] = Counter()
        self.version, self.begun = 1, 0

    @rule(agencies=st.sets(st.integers(0, 3), min_size=1), to=st.sampled_from(["east", "west"]))
    def reload(self, agencies, to) -> None:
        self.version += 1
        changes = {a: (self.plan[a], to) for a in agencies if self.plan[a] != to}
        self.plan |= dict.fromkeys(agencies, to)
        now = self.moves.want(changes, self.version, self.members)
        assert now.keys() <= changes.keys()
        self.at |= now
        for agency in changes.keys() - now.keys():      # planned, or taken back before it began
            assert self.moves.cell_of(agency, to) == self.at[agency]

    @rule(east=st.booleans(), west=st.booleans())
    def roster(self, east, west) -> None:
        self.members = {"east": frozenset({"a"} if east else ()), "west": frozenset({"b"} if west else ())}
        self.at |= self.moves.follow(self.members)

    @rule(agency=st.integers(0, 3), node=st.sampled_from(["a", "b"]))
    def send(self, agency, node) -> None:
        self.moves.sent(agency, node)
        self.out[agency, node] += 1

    @rule(agency=st.integers(0, 3), node=st.sampled_from(["a", "b"]))
    def end(self, agency, node) -> None:
        self.moves.ended(agency, node)
        self.out[agency, node] -= self.out[agency, node] > 0

    @invariant()
    def agrees(self) -> None:
        for agency, cell in self.plan.items():
            assert self.moves.cell_of(agency, cell) == self.at[agency]
            move = self.moves.open.get(agency)
            assert (self.at[agency] != cell) == (move is not None and move.state is State.PLANNED)
            if move is not None:
                assert move.target == cell and move.state in (State.PLANNED, State.DRAINING)
                out = sum(n for (a, _), n in self.out.items() if a == agency)
                assert move.state is State.PLANNED or 0 < move.left <= out
        assert {a for (a, _), n in self.out.items() if n} == self.moves.out.keys()


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
