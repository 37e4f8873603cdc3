"""Runs each scenario file with three seeds; the first line of a file states its purpose."""

from pathlib import Path

import pytest

from fennelpoint.testing.core_simulation import run_scenario

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
SITE = (Path(__file__).parent / "scenarios" / "site").read_text()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_scenario(path: Path, seed: int) -> None:
    run_scenario(SITE + path.read_text(), seed)
