"""Durability of the store's folder: after a power failure, its own name must be on disk, too."""

import os
from pathlib import Path

import pytest

from fennelpoint.fleet.store import Store


def test_each_created_folder_is_synced_in_its_parent(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    synced, fsync = [], os.fsync

    def recording_fsync(descriptor: int) -> None:
        synced.append(Path(os.readlink(f"/proc/self/fd/{descriptor}")))
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", recording_fsync)
    Store(tmp_path / "data" / "writ", "a", exclusive=True).close()
    assert set(synced) == {tmp_path, tmp_path / "data"}
    Store(tmp_path / "data" / "writ", "a", exclusive=True).close()
    assert len(synced) == 2     # no folder was created
