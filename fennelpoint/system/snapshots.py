"""Snapshots of the agreed state of a core: one file with a checksum, written atomically."""

from __future__ import annotations

import json
import os
from hashlib import sha256
from pathlib import Path

from result import Err, Ok, Result

from fennelpoint.system import config_versions
from fennelpoint.system.failure import Failure


def _checksum(value: dict) -> str:
    return sha256(json.dumps(value, sort_keys=True, separators=(",", ":")).encode()).hexdigest()


def write(path: str, value: dict) -> Result[str, Failure]:
    """Writes a snapshot and syncs file and directory to disk; an existing file is replaced atomically or kept."""
    temporary = Path(f"{path}.part")
    try:
        with temporary.open("w") as file:
            json.dump({"sum": _checksum(value), "snapshot": value}, file)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        directory = os.open(Path(path).parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
    except OSError as error:
        return Err(Failure("snapshot", path, str(error), 0))
    return Ok(path)


def read(path: str) -> Result[dict, Failure]:
    """Reads and validates a snapshot file."""
    try:
        content = json.loads(Path(path).read_text())
        value, checksum = content["snapshot"], content["sum"]
    except OSError as error:
        return Err(Failure("snapshot", path, str(error)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(Failure("snapshot", path, f"truncated, or not a snapshot: {error!r}"))
    if not isinstance(value, dict) or _checksum(value) != checksum:
        return Err(Failure("snapshot", path, "checksum mismatch"))
    return config_versions.check_snapshot(value)
