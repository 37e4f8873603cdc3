"""The plan of cells: every fault with its line, all at once; versions only grow."""

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


def written(tmp_path, text: str):
    path = tmp_path / "cells.toml"
    path.write_text(text)
    return path


def faults(tmp_path, text: str) -> list[tuple[int, str]]:
    with pytest.raises(FaultyFile) as error:
        read_plan(written(tmp_path, text))
    assert all(f.file.endswith("cells.toml") for f in error.value.faults)
    return [(f.line, f.text) for f in error.value.faults]


def test_a_sound_plan_is_read(tmp_path):
    plan = read_plan(written(tmp_path, GOOD))
    assert plan.version == 3 and [cell.name for cell in plan.cells] == ["east", "west"]
    assert read_plan(written(tmp_path, "version = 1\n[shards]\ncount = 8\nsize = 3\n")).shards.size == 3


@pytest.mark.parametrize("old, new, line, says", [
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
def test_a_fault_is_told_with_its_line(tmp_path, old, new, line, says):
    assert GOOD.count(old) == 1
    found = faults(tmp_path, GOOD.replace(old, new))
    assert any(at == line and says in text for at, text in found), found


def test_shares_into_one_cell_come_to_one_at_most(tmp_path):
    more = '[[cells]]\nname = "south"\npart = 1.0\nspill_to = "west"\nspill_share = 0.9\n'
    assert [(line, text) for line, text in faults(tmp_path, GOOD + more) if "over 1" in text] == [
        (16, "the shares that spill to 'west' come to 1.1, over 1")]


def test_cells_and_shards_together_and_neither_are_faults(tmp_path):
    assert "not both" in faults(tmp_path, GOOD + "[shards]\ncount = 4\n")[0][1]
    assert "neither" in faults(tmp_path, "version = 1\n")[0][1]


def test_all_faults_come_at_once(tmp_path):
    text = GOOD.replace('"east"', '"Bad Name"').replace("s-1*", "").replace("0.2", "3")
    assert len(faults(tmp_path, text.replace("part = 1.0", "part = -1.0"))) >= 2


def test_a_version_never_goes_back_and_never_stands_for_two_plans():
    old = Plan(3, salt="a")
    check_change("f", old, Plan(4, salt="b"))
    check_change("f", old, Plan(3, salt="a"))
    with pytest.raises(FaultyFile, match="2 is lower than 3"):
        check_change("f", old, Plan(2, salt="a"))
    with pytest.raises(FaultyFile, match="3 is in force with another plan"):
        check_change("f", old, Plan(3, salt="b"))


def test_larchwing_check_reads_the_plan_that_an_operator_file_names(tmp_path):
    written(tmp_path, GOOD.replace("spill_share = 0.2", "spill_share = 2.0"))
    operator = tmp_path / "operator.toml"
    operator.write_text('schema = 1\n[cells]\nplan = "cells.toml"\n')
    (fault,) = check_file(str(operator), None)
    assert fault.file.endswith("cells.toml") and fault.line == 7


def command(*words: str):
    return CliRunner().invoke(main, ["cells", *words])


def test_show_tells_each_cells_nodes(tmp_path):
    path = str(written(tmp_path, GOOD))
    said = command("show", path, "--nodes", "s-11, s-2, s-12@hall")
    assert said.exit_code == 0 and said.output.splitlines() == [
        "version 3, 2 cells", "east: s-11, s-12", "west: s-2"]
    assert json.loads(command("show", path, "--nodes", "s-2", "--json").output) == {
        "version": 3, "cells": {"east": [], "west": ["s-2"]}}
    shards = str(written(tmp_path, "version = 1\n[shards]\ncount = 3\nsize = 2\n"))
    assert "share" in command("show", shards, "--nodes", "a,b,c").output


def test_explain_tells_where_an_agency_is_and_why(tmp_path):
    path = str(written(tmp_path, GOOD))
    listed = command("explain", path, "00000000b4d65521").output
    assert "is in east: the plan names it there" in listed and "up to 0.2 of the attempts of west" in listed
    assert "is in west: by hash" in command("explain", path, "0000000000000001").output
    assert command("explain", path, "xyz").exit_code == 2


def test_a_faulty_plan_ends_the_command_with_its_faults(tmp_path):
    said = command("show", str(written(tmp_path, GOOD.replace("take = 1.0", ""))))
    assert said.exit_code == 2 and "give one cell a take" in said.output + (said.stderr or "")


def test_move_puts_an_agency_elsewhere_with_the_next_version_and_keeps_the_rest(tmp_path):
    path = written(tmp_path, "# ours\n" + GOOD.replace('part = 1.0', 'part = 1.0  # of the rest'))
    said = command("move", str(path), "00000000b4d65521", "west")
    assert said.exit_code == 0 and said.output.startswith(
        "version 4: 00000000b4d65521 moves from east to west")
    text = path.read_text()
    assert text.startswith("# ours\n") and "# of the rest" in text
    made = Assignment(read_plan(path))
    assert made.plan.version == 4 and made.cell_of(0xb4d65521) == "west"
    assert command("move", str(path), "0000000000000007", "east").exit_code == 0
    assert Assignment(read_plan(path)).cell_of(7) == "east" and read_plan(path).version == 5
    assert [p.name for p in tmp_path.iterdir()] == ["cells.toml"]


@pytest.mark.parametrize("words, says", [
    (("00000000b4d65521", "north"), "there is no cell 'north': there are east, west"),
    (("xyz", "west"), "no agency"), (("ffffffffffffffff", "west"), "below 2^33")])
def test_a_move_that_makes_no_sense_changes_nothing(tmp_path, words, says):
    path = written(tmp_path, GOOD)
    said = command("move", str(path), *words)
    assert said.exit_code == 2 and says in said.output + (said.stderr or "") and path.read_text() == GOOD


def test_a_move_in_a_faulty_plan_or_in_shards_changes_nothing(tmp_path):
    for text in (GOOD.replace("spill_share = 0.2", "spill_share = 2"), "version = 1\n[shards]\ncount = 4\n"):
        path = written(tmp_path, text)
        assert command("move", str(path), "0000000000000007", "west").exit_code == 2
        assert path.read_text() == text and [p.name for p in tmp_path.iterdir()] == ["cells.toml"]
