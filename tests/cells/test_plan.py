"""The cell plan file: all faults are reported at once, each with its line; versions never decrease."""

import json

import pytest
from click.testing import CliRunner

from fennelpoint.cells.assign import Assignment
from fennelpoint.cells.plan import Plan, check_change, read_plan
from fennelpoint.cli import main
from fennelpoint.cli_checks import check_file
from fennelpoint.validation_errors import FaultyFile

GOOD = """version = 3
[[cells]]
name = "east"
nodes = ["s-1*"]
agencies = ["00000000b4d65521"]
spill_to = "west"
spill_share = 0.2
[[cells]]
name = "west"
part = 1.0
take = 1.0
"""


def write_plan(tmp_path, text: str):
    path = tmp_path / "cells.toml"
    path.write_text(text)
    return path


def faults(tmp_path, text: str) -> list[tuple[int, str]]:
    with pytest.raises(FaultyFile) as error:
        read_plan(write_plan(tmp_path, text))
    assert all(f.file.endswith("cells.toml") for f in error.value.faults)
    return [(f.line, f.text) for f in error.value.faults]


def test_a_valid_plan_is_read(tmp_path):
    plan = read_plan(write_plan(tmp_path, GOOD))
    assert plan.version == 3 and [cell.name for cell in plan.cells] == ["east", "west"]
    assert read_plan(write_plan(tmp_path, "version = 1\n[shards]\ncount = 8\nsize = 3\n")).shards.size == 3


@pytest.mark.parametrize("old, new, line, message", [
    ('version = 3\n', '', 0, "version"),
    ('version = 3', 'version = 3\nschema = 2', 2, "this program reads 1"),
    ('name = "east"', 'name = "East side"', 3, "no name"),
    ('name = "west"', 'name = "east"', 9, "an earlier cell"),
    ('nodes = ["s-1*"]\n', '', 2, "empty"),
    ('agencies = ["00000000b4d65521"]', 'agencies = ["b4d65521"]', 5, "no agency"),
    ('agencies = ["00000000b4d65521"]', 'agencies = ["ffffffffffffffff"]', 5, "no agency"),
    ('agencies = ["00000000b4d65521"]', 'agencies = ["00000000b4d65521", "00000000b4d65521"]', 5, "twice"),
    ('take = 1.0', 'take = 1.0\nagencies = ["00000000b4d65521"]', 12, "in 'east' already"),
    ('spill_share = 0.2\n', '', 6, "spill_share is missing"),
    ('spill_to = "west"\n', '', 6, "spill_to is missing"),
    ('spill_share = 0.2', 'spill_share = 1.2', 7, "not between 0 and 1"),
    ('spill_to = "west"', 'spill_to = "north"', 6, "there is no cell 'north'"),
    ('spill_to = "west"', 'spill_to = "east"', 6, "circle"),
    ('take = 1.0', 'take = 1.0\nspill_to = "east"\nspill_share = 0.1', 12, "west to east to west"),
    ('take = 1.0\n', '', 0, "give one cell a take"),
    ('part = 1.0', 'share = 1.0', 10, "not known here"),
    ('part = 1.0', 'part = "all"', 10, "not a number"),
    ('version = 3', 'version = 3\nquarantine = "jail"', 2, "no cell 'jail'"),
    ('version = 3', 'version = 3\nquarantine = "west"', 2, "serves others, too"),
    ('version = 3', 'version = 3\nquarantine = "east"', 2, "spills"),
    ('[[cells]]\nname = "west"', '[[cell]]\nname = "west"', 8, "is cells meant?"),
])
def test_a_fault_is_reported_with_its_line(tmp_path, old, new, line, message):
    assert GOOD.count(old) == 1
    found = faults(tmp_path, GOOD.replace(old, new))
    assert any(found_line == line and message in text for found_line, text in found), found


def test_spill_shares_into_one_cell_sum_to_at_most_one(tmp_path):
    third_cell = '[[cells]]\nname = "south"\npart = 1.0\nspill_to = "west"\nspill_share = 0.9\n'
    assert [(line, text) for line, text in faults(tmp_path, GOOD + third_cell) if "over 1" in text] == [
        (16, "the shares that spill to 'west' come to 1.1, over 1")]


def test_a_plan_needs_exactly_one_of_cells_and_shards(tmp_path):
    assert "not both" in faults(tmp_path, GOOD + "[shards]\ncount = 4\n")[0][1]
    assert "neither" in faults(tmp_path, "version = 1\n")[0][1]


def test_all_faults_are_reported_at_once(tmp_path):
    text = GOOD.replace('"east"', '"Bad Name"').replace("s-1*", "").replace("0.2", "3")
    assert len(faults(tmp_path, text.replace("part = 1.0", "part = -1.0"))) >= 2


def test_a_version_never_decreases_and_names_only_one_plan():
    old = Plan(3, salt="a")
    check_change("f", old, Plan(4, salt="b"))
    check_change("f", old, Plan(3, salt="a"))
    with pytest.raises(FaultyFile, match="2 is lower than 3"):
        check_change("f", old, Plan(2, salt="a"))
    with pytest.raises(FaultyFile, match="3 is in force with another plan"):
        check_change("f", old, Plan(3, salt="b"))


def test_larchwing_check_reads_the_plan_named_in_the_operator_file(tmp_path):
    write_plan(tmp_path, GOOD.replace("spill_share = 0.2", "spill_share = 2.0"))
    operator = tmp_path / "operator.toml"
    operator.write_text('schema = 1\n[cells]\nplan = "cells.toml"\n')
    (fault,) = check_file(str(operator), None)
    assert fault.file.endswith("cells.toml") and fault.line == 7


def run_cells(*args: str):
    return CliRunner().invoke(main, ["cells", *args])


def test_show_prints_the_nodes_of_each_cell(tmp_path):
    path = str(write_plan(tmp_path, GOOD))
    result = run_cells("show", path, "--nodes", "s-11, s-2, s-12@hall")
    assert result.exit_code == 0 and result.output.splitlines() == [
        "version 3, 2 cells", "east: s-11, s-12", "west: s-2"]
    assert json.loads(run_cells("show", path, "--nodes", "s-2", "--json").output) == {
        "version": 3, "cells": {"east": [], "west": ["s-2"]}}
    shards = str(write_plan(tmp_path, "version = 1\n[shards]\ncount = 3\nsize = 2\n"))
    assert "share" in run_cells("show", shards, "--nodes", "a,b,c").output


def test_explain_prints_the_cell_of_an_agency_and_the_reason(tmp_path):
    path = str(write_plan(tmp_path, GOOD))
    listed = run_cells("explain", path, "00000000b4d65521").output
    assert "is in east: the plan names it there" in listed and "up to 0.2 of the attempts of west" in listed
    assert "is in west: by hash" in run_cells("explain", path, "0000000000000001").output
    assert run_cells("explain", path, "xyz").exit_code == 2


def test_a_command_on_an_invalid_plan_exits_with_its_faults(tmp_path):
    result = run_cells("show", str(write_plan(tmp_path, GOOD.replace("take = 1.0", ""))))
    assert result.exit_code == 2 and "give one cell a take" in result.output + (result.stderr or "")


def test_move_reassigns_an_agency_increments_the_version_and_keeps_comments(tmp_path):
    path = write_plan(tmp_path, "# ours\n" + GOOD.replace('part = 1.0', 'part = 1.0  # of the rest'))
    result = run_cells("move", str(path), "00000000b4d65521", "west")
    assert result.exit_code == 0 and result.output.startswith(
        "version 4: 00000000b4d65521 moves from east to west")
    text = path.read_text()
    assert text.startswith("# ours\n") and "# of the rest" in text
    assignment = Assignment(read_plan(path))
    assert assignment.plan.version == 4 and assignment.cell_of(0xb4d65521) == "west"
    assert run_cells("move", str(path), "0000000000000007", "east").exit_code == 0
    assert Assignment(read_plan(path)).cell_of(7) == "east" and read_plan(path).version == 5
    assert [p.name for p in tmp_path.iterdir()] == ["cells.toml"]


@pytest.mark.parametrize("args, message", [
    (("00000000b4d65521", "north"), "there is no cell 'north': there are east, west"),
    (("xyz", "west"), "no agency"), (("ffffffffffffffff", "west"), "below 2^33")])
def test_an_invalid_move_changes_nothing(tmp_path, args, message):
    path = write_plan(tmp_path, GOOD)
    result = run_cells("move", str(path), *args)
    assert result.exit_code == 2 and message in result.output + (result.stderr or "") and path.read_text() == GOOD


def test_a_move_in_an_invalid_plan_or_in_a_sharded_plan_changes_nothing(tmp_path):
    for text in (GOOD.replace("spill_share = 0.2", "spill_share = 2"), "version = 1\n[shards]\ncount = 4\n"):
        path = write_plan(tmp_path, text)
        assert run_cells("move", str(path), "0000000000000007", "west").exit_code == 2
        assert path.read_text() == text and [p.name for p in tmp_path.iterdir()] == ["cells.toml"]
