"""The registry's backends on disk, so that a core whose processes have all died knows them at once after a restart.

A drain is on disk before it is acknowledged.  An unusable file is renamed, logged and replaced by a new one; a disk
that refuses writes disables nothing but this storage.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

import msgpack

from fennelpoint.system.events import Event, log_event

SCHEMA = 1
CREATE_TABLES = """
CREATE TABLE IF NOT EXISTS about (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS backends (id TEXT PRIMARY KEY, row BLOB NOT NULL) WITHOUT ROWID;
"""


class BackendStorage:
    """The database file of one registry; `rows` are the packed reports that it contained when it was opened."""

    def __init__(self, directory: str | None) -> None:
        self.db: sqlite3.Connection | None = None
        self.rows: list[list] = []
        if not directory:
            return
        path = Path(directory) / "roll.sqlite"
        for _ in range(2):
            try:
                path.parent.mkdir(parents=True, exist_ok=True)
                self._open(path)
                return
            except (sqlite3.Error, OSError, ValueError, TypeError) as error:
                log_event(Event.SET_ASIDE, path=path, reason=error)
                self._set_aside(path)

    def _open(self, path: Path) -> None:
        self.db = sqlite3.connect(path, isolation_level=None)
        self.db.execute("PRAGMA synchronous=FULL")
        self.db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.executescript(CREATE_TABLES)
        self.db.execute("INSERT OR IGNORE INTO about VALUES ('schema', ?)", (str(SCHEMA),))
        (schema,) = self.db.execute("SELECT value FROM about WHERE key = 'schema'").fetchone()
        if schema != str(SCHEMA):
            raise ValueError(f"unsupported schema version {schema}")
        rows = [msgpack.unpackb(row) for (row,) in self.db.execute("SELECT row FROM backends")]
        if any(not isinstance(row, list) or len(row) != 10 for row in rows):
            raise ValueError("rows are not valid backend reports")
        self.rows = rows

    def _set_aside(self, path: Path) -> None:
        try:
            if self.db is not None:
                self.db.close()
            self.db = None
            for suffix in ("-wal", "-shm"):
                path.with_name(path.name + suffix).unlink(missing_ok=True)
            if path.exists():
                path.rename(path.with_suffix(f".bad-{path.stat().st_mtime_ns}"))
        except (OSError, sqlite3.Error) as error:
            log_event(Event.DISK, step="set aside", reason=error)

    def save(self, rows: list[list], forgotten_ids: list[str]) -> None:
        """Store these backends and delete the forgotten ones, durably; errors are logged."""
        if self.db is None:
            return
        try:
            self.db.execute("BEGIN")
            self.db.executemany("INSERT OR REPLACE INTO backends VALUES (?, ?)",
                                [(row[0], msgpack.packb(row)) for row in rows])
            self.db.executemany("DELETE FROM backends WHERE id = ?", [(id,) for id in forgotten_ids])
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            log_event(Event.DISK, step="backends", reason=error)
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")

    def close(self) -> None:
        if self.db is not None:
            self.db.close()
