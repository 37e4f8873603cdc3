"""Generations of one ingress in a shared folder: which are alive, and the state that one hands over to the next.

Each generation holds a lock on its file from before the file gets its name until the process ends, in whatever way.
`restart_coordination.py` makes the decisions.  Loaded only if the platform holds the clients' listening socket.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from pathlib import Path

from fennelpoint.handover_record import MAX_BYTES, BadRecord, Record, decode, encode
from fennelpoint.rate_limited_log import log

SERVING_MARK = b"serves\n"


class GenerationRegistry:
    """This process's generation, and its view of the others."""

    def __init__(self, folder: str, name: str, listen: str) -> None:
        """Claim a generation; raise OSError if the folder is not usable."""
        self.folder, self.name, self.listen = Path(folder), name, listen
        self.file_prefix = "larchwing-" + re.sub(r"[^0-9A-Za-z]", "-", listen)
        self.live_file_pattern = re.compile(re.escape(self.file_prefix) + r"\.(\d{1,9})\.live")
        self.generation, self.lock_file = self._claim_generation()

    def _claim_generation(self) -> tuple[int, int]:
        """Claim the generation after the newest one; its file is locked before it gets its name."""
        draft = self.folder / f"{self.file_prefix}.{os.getpid()}.draft"
        file = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            while True:
                generation = max(self._listed_generations(), default=0) + 1
                try:
                    os.link(draft, self._live_path(generation))
                    return generation, file
                except FileExistsError:
                    continue    # another process claimed this number first
        except BaseException:
            os.close(file)
            raise
        finally:
            draft.unlink()

    def _live_path(self, generation: int) -> Path:
        return self.folder / f"{self.file_prefix}.{generation}.live"

    def _listed_generations(self) -> list[int]:
        matches = (self.live_file_pattern.fullmatch(name) for name in os.listdir(self.folder))
        return [int(match[1]) for match in matches if match is not None]

    def live_generations(self) -> set[int]:
        """Return the other live generations; remove the files of dead ones."""
        return {g for g in self._listed_generations() if g != self.generation and self._is_alive(g)}

    def _is_alive(self, generation: int) -> bool:
        try:
            file = os.open(self._live_path(generation), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            self._live_path(generation).unlink(missing_ok=True)
            return False
        finally:
            os.close(file)

    def mark_serving(self) -> None:
        """Publish that this process accepts clients."""
        os.pwrite(self.lock_file, SERVING_MARK, 0)

    def is_serving(self, generation: int) -> bool:
        try:
            return self._live_path(generation).read_bytes() == SERVING_MARK
        except OSError:
            return False

    def _record_path(self, writer: int, reader: int, is_last: bool) -> Path:
        return self.folder / f"{self.file_prefix}.{writer}-{reader}.{'last' if is_last else 'word'}"

    def has_record(self, writer: int, is_last: bool) -> bool:
        return self._record_path(writer, self.generation, is_last).exists()

    def write_record(self, reader: int, state: dict, is_last: bool = False) -> None:
        """Write a state record for generation `reader`, atomically; log a failure."""
        path = self._record_path(self.generation, reader, is_last)
        draft = path.with_suffix(".draft")
        try:
            record = Record(self.name, self.listen, self.generation, reader, time.time(), is_last, state)
            draft.write_bytes(encode(record))
            draft.rename(path)
        except (OSError, ValueError) as error:
            log.error("%s can't write the handover record for generation %d: %s", self.name, reader, error)

    def read_record(self, writer: int, is_last: bool) -> dict | None:
        """Read and remove the record that a generation wrote for this one; rename an unusable record to `.bad`."""
        path = self._record_path(writer, self.generation, is_last)
        try:
            with path.open("rb") as file:
                data = file.read(MAX_BYTES + 1024)
            record = decode(data, self.name, self.listen, self.generation, time.time())
            if record.writer != writer or record.last is not is_last:
                raise BadRecord(f"it is of generation {record.writer}")
        except (OSError, BadRecord) as error:
            log.error("%s starts cold: handover record %s is not usable: %s", self.name, path.name, error)
            try:
                path.rename(path.with_suffix(".bad"))
            except OSError:
                pass
            return None
        path.unlink(missing_ok=True)
        return record.state

    def close(self) -> None:
        self._live_path(self.generation).unlink(missing_ok=True)
        os.close(self.lock_file)
