"""The script that runs the tests passes over exactly those that are listed as known to fail, and prints them."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).resolve().parents[1] / ".ci" / "known_red.py"
TESTS = """
import pytest

@pytest.mark.parametrize("value", [1, 2])
def test_red(value): assert value == 2

def test_sound(): pass
"""


def run_in(folder: Path, listed: str) -> tuple[int, str]:
    """Exit code and output of the script in a project with a failing and two passing tests."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / ".ci").mkdir()
    shutil.copy(SCRIPT, folder / ".ci")
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, ".ci/known_red.py", "-p", "no:cacheprovider"]
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)
    return result.returncode, result.stdout


def line(test: str) -> str:
    return f"{test} | pytest {test}, seed 1 | it fails now and then | issue 7\n"


def test_listed_test_that_fails_is_printed_and_fails_nothing(tmp_path) -> None:
    code, output = run_in(tmp_path, line("tests/test_some.py::test_red[1]") + line("review/3/run.sh"))
    assert code == 0 and "2 passed, 1 deselected" in output
    assert f"known red: {line('tests/test_some.py::test_red[1]')}    failed: 1 failed" in output
    assert f"known red: {line('review/3/run.sh')}    not part of the test run" in output


def test_listed_test_that_passes_is_printed_and_fails_nothing(tmp_path) -> None:
    listed = line("tests/test_some.py::test_red[1]") + line("tests/test_some.py::test_sound")
    code, output = run_in(tmp_path, listed)
    assert code == 0 and "1 passed, 2 deselected" in output
    assert f"known red: {line('tests/test_some.py::test_sound')}    passed: 1 passed" in output


def test_test_that_is_not_listed_fails_the_run(tmp_path) -> None:
    code, output = run_in(tmp_path, line("tests/test_some.py::test_sound"))
    assert code == 1 and "1 failed, 1 passed, 1 deselected" in output


@pytest.mark.parametrize(
    "listed",
    [
        "tests/test_some.py::test_red[1]: some cause, issue 7\n",
        "tests/test_some.py::test_red[1] | a command |  | issue 7\n",
    ],
)
def test_line_without_its_four_parts_is_refused(tmp_path, listed: str) -> None:
    code, output = run_in(tmp_path, "\n" + listed)
    assert code == 1 and output.startswith("KNOWN-RED.txt:2: a line has four parts")
