"""The files that the glossary names exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_each_row_of_the_glossary_names_an_existing_file() -> None:
    rows = [line for line in (ROOT / "docs" / "glossary.md").read_text().splitlines() if line.startswith("| ")][2:]
    files = [re.findall(r"`([\w/]+\.py)` \|$", row) for row in rows]
    assert len(rows) > 20 and all(len(found) == 1 for found in files)
    assert [name for (name,) in files if not (ROOT / name).is_file()] == []
