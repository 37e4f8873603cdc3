"""A snapshot of a core as one file: what is agreed, with a checksum; written whole or not at all."""

from __future__ import annotations

import json
import os
from hashlib import sha256
from pathlib import Path

from result import Err, Ok, Result

from fennelpoint.system import config_versions
from fennelpoint.system.failure import Failure


def _sum(value: dict) -> str:
    return sha256(json.dumps(value, sort_keys=True, separators=(",", ":")).encode()).hexdigest()


def write(path: str, value: dict) -> Result[str, Failure]:
    """On disk, name and all, when it returns; a file that was there is replaced at once or stays."""
    part = Path(f"{path}.part")
    try:
        with part.open("w") as file:
            json.dump({"sum": _sum(value), "snapshot": value}, file)
            file.flush()
            os.fsync(file.fileno())
        part.replace(path)
        folder = os.open(Path(path).parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError as error:
        return Err(Failure("snapshot", path, str(error), 0))
    return Ok(path)


def read(path: str) -> Result[dict, Failure]:
    """What a file holds, checked whole."""
    try:
        held = json.loads(Path(path).read_text())
        value, told = held["snapshot"], held["sum"]
    except OSError as error:
        return Err(Failure("snapshot", path, str(error)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(Failure("snapshot", path, f"it is torn or no snapshot: {error!r}"))
    if not isinstance(value, dict) or _sum(value) != told:
        return Err(Failure("snapshot", path, "its checksum does not fit"))
    return config_versions.check_snapshot(value)
