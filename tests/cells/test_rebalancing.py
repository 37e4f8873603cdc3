"""Proposed moves: each lowers the highest utilization, their number is bounded, and no agency moves back."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.cells.rebalancing import MIN_GAIN, propose_moves, utilization
from fennelpoint.cli import main

CAPACITY = {"east": 10.0, "west": 10.0, "north": 20.0}


def propose(loads, homes, max_moves=10, moved_at=None, now=1000.0, cooldown_s=600.0, capacity=CAPACITY):
    return propose_moves(loads, homes, capacity, max_moves, moved_at or {}, now, cooldown_s)


def test_the_move_that_most_lowers_the_highest_utilization_comes_first():
    loads, homes = {1: 6.0, 2: 3.0, 3: 1.0}, {1: "east", 2: "east", 3: "west"}
    (first, *_) = propose(loads, homes)
    assert (first.agency, first.source, first.target) == (1, "east", "north")
    assert first.max_utilization == pytest.approx(0.3)


def test_a_balanced_plan_gets_no_proposal():
    assert propose({1: 5.0, 2: 5.0, 3: 10.0}, {1: "east", 2: "west", 3: "north"}) == []


def test_an_agency_that_fills_a_cell_by_itself_is_not_moved():
    assert propose({1: 9.0}, {1: "east"}, capacity={"east": 10.0, "west": 10.0}) == []


def test_a_recently_moved_agency_stays():
    loads, homes = {1: 6.0, 2: 3.0}, {1: "east", 2: "east"}
    assert [m.agency for m in propose(loads, homes, max_moves=1, moved_at={1: 500.0})] == [2]
    assert [m.agency for m in propose(loads, homes, max_moves=1, moved_at={1: 399.0})] == [1]


def test_cells_without_nodes_get_no_agency():
    capacity = {"east": 10.0, "west": 0.0, "north": 10.0}
    proposed = propose({1: 6.0, 2: 6.0}, {1: "east", 2: "east"}, capacity=capacity)
    assert {m.target for m in proposed} == {"north"}


@given(st.dictionaries(st.integers(1, 40), st.tuples(st.floats(0.0, 10.0), st.sampled_from(list(CAPACITY)))),
       st.integers(0, 6), st.sets(st.integers(1, 40)))
def test_each_move_gains_no_agency_moves_twice_and_the_number_is_bounded(agencies, max_moves, recently_moved):
    loads = {a: load for a, (load, _) in agencies.items()}
    homes = {a: home for a, (_, home) in agencies.items()}
    proposed = propose(loads, homes, max_moves, dict.fromkeys(recently_moved, 900.0))
    assert len(proposed) <= max_moves and len({m.agency for m in proposed}) == len(proposed)
    assert not recently_moved & {m.agency for m in proposed}
    highest = max(utilization(loads, homes, CAPACITY).values())
    for move in proposed:
        assert homes[move.agency] == move.source != move.target
        homes[move.agency] = move.target
        highest_after = max(utilization(loads, homes, CAPACITY).values())
        assert abs(highest_after - move.max_utilization) < 1e-9 and highest_after <= highest * (1 - MIN_GAIN) + 1e-9
        highest = highest_after


PLAN = """version = 1
[[cells]]
name = "east"
nodes = ["e*"]
agencies = ["0000000000000001", "0000000000000002"]
[[cells]]
name = "west"
nodes = ["w*"]
take = 1.0
"""


def test_the_command_proposes_moves_and_changes_nothing(tmp_path):
    plan, loads = tmp_path / "cells.toml", tmp_path / "loads.json"
    plan.write_text(PLAN)
    loads.write_text(json.dumps({"0000000000000001": 6.0, "0000000000000002": 3.0}))
    result = CliRunner().invoke(main, ["cells", "plan", str(plan), str(loads), "--nodes", "e1,e2,w1,w2"])
    assert result.exit_code == 0 and "larchwing cells move" in result.output
    assert "0000000000000002 west" in result.output
    assert plan.read_text() == PLAN


def test_invalid_load_files_are_reported(tmp_path):
    plan, loads = tmp_path / "cells.toml", tmp_path / "loads.json"
    plan.write_text(PLAN)
    for text, message in (("[]", "an object"), ('{"x": 1}', "no agency"),
                       ('{"0000000000000001": -1}', "no load"), ("{", "JSON")):
        loads.write_text(text)
        result = CliRunner().invoke(main, ["cells", "plan", str(plan), str(loads), "--nodes", "e1,w1"])
        assert result.exit_code == 2 and message in result.output + (result.stderr or ""), text
