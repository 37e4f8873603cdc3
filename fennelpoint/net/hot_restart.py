"""Generations of one ingress in a folder they share: who lives, what one tells the next.

A generation's file is locked from before it has its name until its process ends, however that ends.  Nothing
is decided here: `restart_coordination.py` does that; loaded only where the platform holds the clients' socket.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from pathlib import Path

from fennelpoint.handover_record import MAX_BYTES, BadRecord, Record, decode, encode
from fennelpoint.rate_limited_log import log

SERVES = b"serves\n"


class Relay:
    """This process's place among the generations."""

    def __init__(self, folder: str, name: str, listen: str) -> None:
        """Raises OSError where the folder can't be used."""
        self.folder, self.name, self.listen = Path(folder), name, listen
        self.stem = "larchwing-" + re.sub(r"[^0-9A-Za-z]", "-", listen)
        self.lives = re.compile(re.escape(self.stem) + r"\.(\d{1,9})\.live")
        self.generation, self.file = self._enter()

    def _enter(self) -> tuple[int, int]:
        """A generation of our own, newer than all others; its file is locked before it has its name."""
        draft = self.folder / f"{self.stem}.{os.getpid()}.draft"
        file = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            while True:
                generation = max(self._named(), default=0) + 1
                try:
                    os.link(draft, self._live(generation))
                    return generation, file
                except FileExistsError:
                    continue    # another start was quicker
        except BaseException:
            os.close(file)
            raise
        finally:
            draft.unlink()

    def _live(self, generation: int) -> Path:
        return self.folder / f"{self.stem}.{generation}.live"

    def _named(self) -> list[int]:
        found = (self.lives.fullmatch(name) for name in os.listdir(self.folder))
        return [int(match[1]) for match in found if match is not None]

    def living(self) -> set[int]:
        """The other generations that live; files of those that don't are taken away."""
        return {g for g in self._named() if g != self.generation and self._lives(g)}

    def _lives(self, generation: int) -> bool:
        try:
            file = os.open(self._live(generation), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            self._live(generation).unlink(missing_ok=True)
            return False
        finally:
            os.close(file)

    def serves(self) -> None:
        """Say that we take clients."""
        os.pwrite(self.file, SERVES, 0)

    def one_serves(self, generation: int) -> bool:
        try:
            return self._live(generation).read_bytes() == SERVES
        except OSError:
            return False

    def _record(self, writer: int, reader: int, last: bool) -> Path:
        return self.folder / f"{self.stem}.{writer}-{reader}.{'last' if last else 'word'}"

    def has(self, writer: int, last: bool) -> bool:
        return self._record(writer, self.generation, last).exists()

    def write(self, reader: int, state: dict, last: bool = False) -> None:
        """Whole, or not at all."""
        path = self._record(self.generation, reader, last)
        draft = path.with_suffix(".draft")
        try:
            record = Record(self.name, self.listen, self.generation, reader, time.time(), last, state)
            draft.write_bytes(encode(record))
            draft.rename(path)
        except (OSError, ValueError) as error:
            log.error("%s can't tell generation %d: %s", self.name, reader, error)

    def read(self, writer: int, last: bool) -> dict | None:
        """What a generation told us, once; one that can't be used is set aside."""
        path = self._record(writer, self.generation, last)
        try:
            with path.open("rb") as file:
                data = file.read(MAX_BYTES + 1024)
            record = decode(data, self.name, self.listen, self.generation, time.time())
            if record.writer != writer or record.last is not last:
                raise BadRecord(f"it is of generation {record.writer}")
        except (OSError, BadRecord) as error:
            log.error("%s starts cold: %s is not used: %s", self.name, path.name, error)
            try:
                path.rename(path.with_suffix(".bad"))
            except OSError:
                pass
            return None
        path.unlink(missing_ok=True)
        return record.state

    def close(self) -> None:
        self._live(self.generation).unlink(missing_ok=True)
        os.close(self.file)
