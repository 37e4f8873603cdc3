"""Each scenario file, with three seeds; a file says in its first line what it is for."""

from pathlib import Path

import pytest

from fennelpoint.testing.core_simulation import play

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
SITE = (Path(__file__).parent / "scenarios" / "site").read_text()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_scenario(path: Path, seed: int) -> None:
    play(SITE + path.read_text(), seed)
