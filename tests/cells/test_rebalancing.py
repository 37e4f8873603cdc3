"""Proposals of moves: the fullest cell gets emptier with each, few are made, none to and fro."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.cells.rebalancing import LEAST_GAIN, fullness, propose
from fennelpoint.cli import main

ROOM = {"east": 10.0, "west": 10.0, "north": 20.0}


def moves(loads, homes, most=10, moved_at=None, now=1000.0, rest=600.0, room=ROOM):
    return propose(loads, homes, room, most, moved_at or {}, now, rest)


def test_the_move_that_takes_most_off_the_fullest_cell_comes_first():
    loads, homes = {1: 6.0, 2: 3.0, 3: 1.0}, {1: "east", 2: "east", 3: "west"}
    (first, *_) = moves(loads, homes)
    assert (first.agency, first.source, first.target) == (1, "east", "north")
    assert first.fullest == pytest.approx(0.3)


def test_an_even_plan_is_left_alone():
    assert moves({1: 5.0, 2: 5.0, 3: 10.0}, {1: "east", 2: "west", 3: "north"}) == []


def test_one_agency_that_fills_a_cell_by_itself_is_not_passed_round():
    assert moves({1: 9.0}, {1: "east"}, room={"east": 10.0, "west": 10.0}) == []


def test_an_agency_that_was_moved_lately_stays():
    loads, homes = {1: 6.0, 2: 3.0}, {1: "east", 2: "east"}
    assert [m.agency for m in moves(loads, homes, most=1, moved_at={1: 500.0})] == [2]
    assert [m.agency for m in moves(loads, homes, most=1, moved_at={1: 399.0})] == [1]


def test_cells_without_nodes_get_nobody():
    room = {"east": 10.0, "west": 0.0, "north": 10.0}
    proposed = moves({1: 6.0, 2: 6.0}, {1: "east", 2: "east"}, room=room)
    assert {m.target for m in proposed} == {"north"}


@given(st.dictionaries(st.integers(1, 40), st.tuples(st.floats(0.0, 10.0), st.sampled_from(list(ROOM)))),
       st.integers(0, 6), st.sets(st.integers(1, 40)))
def test_each_move_gains_none_is_made_twice_and_the_count_holds(agencies, most, lately):
    loads = {a: load for a, (load, _) in agencies.items()}
    homes = {a: home for a, (_, home) in agencies.items()}
    proposed = moves(loads, homes, most, dict.fromkeys(lately, 900.0))
    assert len(proposed) <= most and len({m.agency for m in proposed}) == len(proposed)
    assert not lately & {m.agency for m in proposed}
    fullest = max(fullness(loads, homes, ROOM).values())
    for move in proposed:
        assert homes[move.agency] == move.source != move.target
        homes[move.agency] = move.target
        now = max(fullness(loads, homes, ROOM).values())
        assert abs(now - move.fullest) < 1e-9 and now <= fullest * (1 - LEAST_GAIN) + 1e-9
        fullest = now


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


def test_the_command_proposes_and_changes_nothing(tmp_path):
    plan, loads = tmp_path / "cells.toml", tmp_path / "loads.json"
    plan.write_text(PLAN)
    loads.write_text(json.dumps({"0000000000000001": 6.0, "0000000000000002": 3.0}))
    said = CliRunner().invoke(main, ["cells", "plan", str(plan), str(loads), "--nodes", "e1,e2,w1,w2"])
    assert said.exit_code == 0 and "larchwing cells move" in said.output
    assert "0000000000000002 west" in said.output
    assert plan.read_text() == PLAN


def test_loads_that_cant_be_read_are_told(tmp_path):
    plan, loads = tmp_path / "cells.toml", tmp_path / "loads.json"
    plan.write_text(PLAN)
    for text, says in (("[]", "an object"), ('{"x": 1}', "no agency"),
                       ('{"0000000000000001": -1}', "no load"), ("{", "JSON")):
        loads.write_text(text)
        said = CliRunner().invoke(main, ["cells", "plan", str(plan), str(loads), "--nodes", "e1,w1"])
        assert said.exit_code == 2 and says in said.output + (said.stderr or ""), text
