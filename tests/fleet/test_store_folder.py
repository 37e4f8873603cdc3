"""The file of a store under a loss of power: its folder's own name is on disk, too."""

import os
from pathlib import Path

import pytest

from fennelpoint.fleet.store import Store


def test_each_folder_that_is_made_is_synced_in_the_one_above(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    synced, fsync = [], os.fsync

    def noted(place: int) -> None:
        synced.append(Path(os.readlink(f"/proc/self/fd/{place}")))
        fsync(place)

    monkeypatch.setattr(os, "fsync", noted)
    Store(tmp_path / "data" / "writ", "a", exclusive=True).close()
    assert set(synced) == {tmp_path, tmp_path / "data"}
    Store(tmp_path / "data" / "writ", "a", exclusive=True).close()
    assert len(synced) == 2     # nothing was made
