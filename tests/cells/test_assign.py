"""Assignment: the same in every process, stable as nodes join and leave, weighted shares, shard overlap."""

import subprocess
import sys
from collections import Counter
from math import comb

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.cells.assign import Assignment, Node, overlap_histogram
from fennelpoint.cells.plan import CellSpec, Plan, Shards

CELLS = Plan(1, salt="x", cells=[
    CellSpec("east", nodes=["s-1", "t-*"], agencies=["00000000b4d65521"]),
    CellSpec("hall", zones=["hall-a"], take=1.0), CellSpec("west", part=1.0, take=1.0),
    CellSpec("north", part=3.0, take=2.0)])
SHARDS = Plan(1, salt="x", shards=Shards(16, 4))
IDS = st.sets(st.text("abcdef0123456789", min_size=1, max_size=6), min_size=1, max_size=40)


def test_nodes_match_by_id_then_pattern_then_zone_then_weight():
    members = Assignment(CELLS).members(
        [Node("s-1", "hall-a"), Node("t-77"), Node("s-2", "hall-a"), *(Node(f"u{i}") for i in range(400))])
    assert members["east"] == {"s-1", "t-77"} and members["hall"] == {"s-2"}
    assert len(members["west"]) + len(members["north"]) == 400
    assert 0.15 < len(members["west"]) / 400 < 0.35     # weight 1 of 4


def test_agencies_are_assigned_by_list_and_by_take_weight():
    assignment = Assignment(CELLS)
    assert assignment.cell_of(0xb4d65521) == "east" and "names it" in assignment.explain(0xb4d65521)
    cells = [assignment.cell_of(c) for c in range(1, 4001)]
    assert "east" not in cells and 0.45 < cells.count("north") / 4000 < 0.55
    assert assignment.cell_of(7) == Assignment(CELLS).cell_of(7) and "by hash" in assignment.explain(7)


@pytest.mark.parametrize("plan", [CELLS, SHARDS])
@given(ids=IDS, new=st.text("xyz", min_size=1, max_size=4))
def test_a_node_that_joins_or_leaves_moves_only_itself(plan, ids, new):
    before = Assignment(plan).members([Node(i) for i in sorted(ids)])
    after = Assignment(plan).members([Node(i) for i in sorted(ids | {new})])
    for name in before:
        assert after[name] - before[name] <= {new}
        lost = before[name] - after[name]
        assert not lost or (plan is SHARDS and new in after[name] and len(lost) == 1)


@given(ids=IDS)
def test_assignment_does_not_depend_on_roster_order(ids):
    for plan in (CELLS, SHARDS):
        ascending = Assignment(plan).members([Node(i) for i in sorted(ids)])
        assert ascending == Assignment(plan).members([Node(i) for i in sorted(ids, reverse=True)])


def test_every_process_computes_the_same_assignment():
    """Guards against use of Python's built-in hash, which differs between processes."""
    program = ("from fennelpoint.cells.assign import *; from fennelpoint.cells.plan import *\n"
               "a = Assignment(Plan(1, salt='x', shards=Shards(16, 4)))\n"
               "members = a.members([Node(f'n{i}') for i in range(30)])\n"
               "print([a.cell_of(c) for c in range(50)], sorted(members['shard-3']))")
    outputs = {subprocess.run([sys.executable, "-c", program], capture_output=True, check=True,
                              env={"PYTHONHASHSEED": str(seed)}).stdout for seed in (1, 2)}
    assert len(outputs) == 1 and b"shard-" in outputs.pop()


def test_shards_have_the_configured_size_and_random_overlap():
    members = Assignment(Plan(1, shards=Shards(64, 4))).members([Node(f"n{i}") for i in range(60)])
    assert {len(m) for m in members.values()} == {4}
    pairs = overlap_histogram(members)
    total = comb(64, 2)
    assert sum(pairs.values()) == total
    for shared in range(3):     # hypergeometric distribution
        expected = comb(4, shared) * comb(56, 4 - shared) / comb(60, 4)
        assert abs(pairs.get(shared, 0) / total - expected) < 0.05, (shared, pairs)
    assert pairs.get(4, 0) == 0


def test_an_added_shard_takes_an_equal_share_and_no_other_agency_moves():
    before, after = (Assignment(Plan(1, salt="x", shards=Shards(n, 4))) for n in (50, 51))
    homes = [(before.cell_of(c), after.cell_of(c)) for c in range(20_000)]
    moved = [new for old, new in homes if old != new]
    assert set(moved) == {"shard-50"} and 0.015 < len(moved) / len(homes) < 0.025
    counts = Counter(old for old, _ in homes)
    assert len(counts) == 50 and max(counts.values()) < 1.3 * 20_000 / 50


def test_a_shard_larger_than_the_roster_has_every_node():
    members = Assignment(SHARDS).members([Node("a"), Node("b")])
    assert set(members.values()) == {frozenset("ab")}


def test_the_cell_cache_is_bounded(monkeypatch):
    monkeypatch.setattr("fennelpoint.cells.assign.MAX_CACHED_AGENCIES", 100)
    assignment = Assignment(CELLS)
    first = assignment.cell_of(1)
    for c in range(1000):
        assignment.cell_of(c)
    assert len(assignment.hashed_agencies) == 100 and assignment.cell_of(1) == first
