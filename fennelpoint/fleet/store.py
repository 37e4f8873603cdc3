"""The file of an acceptor in SQLite: promises and votes, incarnation, contents and the audit's spans.

Each change of a promise or vote is on disk (full synchronization) before the acceptor answers.  A file that is
damaged or belongs to another acceptor is set aside with a log line, and the acceptor starts without a vote.
"""

from __future__ import annotations

import json
import os
import sqlite3
from collections.abc import Iterable
from dataclasses import asdict
from hashlib import sha256
from pathlib import Path

from fennelpoint.fleet.register import Acceptor, RegisterState
from fennelpoint.rate_limited_log import log

SCHEMA = 1
TABLES = """
CREATE TABLE IF NOT EXISTS about (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS cells (key TEXT PRIMARY KEY, value TEXT NOT NULL, digest TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS lives (name TEXT PRIMARY KEY, life INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS contents (digest TEXT PRIMARY KEY, data BLOB NOT NULL, at REAL NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS spans (
    ingress TEXT NOT NULL, life TEXT NOT NULL, seq INTEGER NOT NULL, span TEXT NOT NULL,
    PRIMARY KEY (ingress, life, seq)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS rolled (
    ingress TEXT NOT NULL, version INTEGER NOT NULL, row TEXT NOT NULL,
    PRIMARY KEY (ingress, version)) WITHOUT ROWID;
"""
MAX_UNNEEDED_CONTENTS, MAX_UNNEEDED_BYTES = 64, 8_000_000   # in addition to the retained ones
MAX_SPANS_PER_INGRESS = 10_000  # beyond this, the oldest half is summarized


def contents_to_evict(rows: Iterable[tuple[str, int]], retained: set[str]) -> list[str]:
    """Returns the digests of the contents to evict, oldest first, to observe the limits.

    `rows` are (digest, bytes) of the stored contents, oldest first; those in `retained` are never evicted.
    """
    unneeded = [row for row in rows if row[0] not in retained]
    evicted, total = [], sum(size for _, size in unneeded)
    for digest, size in unneeded:
        if len(unneeded) - len(evicted) <= MAX_UNNEEDED_CONTENTS and total <= MAX_UNNEEDED_BYTES:
            break
        evicted.append(digest)
        total -= size
    return evicted


class BadStore(Exception):
    """A file cannot be used; the text is the reason, in one line."""


class Store:
    """The file of one acceptor in a folder.

    `acceptor` is its state as on disk; `acceptor.can_vote` is false until the file has been initialized.
    """

    def __init__(self, folder: Path, name: str, exclusive: bool = False) -> None:
        """Opens or creates the file; raises OSError if the folder is not writable.

        With `exclusive`, no other process may open the file, not even to read it.
        """
        self.exclusive = exclusive
        _create_folder(folder)
        self.path, self.name = folder / f"{name}.keeper", name
        try:
            self.acceptor = self._open()
        except (sqlite3.Error, BadStore, ValueError, TypeError, KeyError) as error:
            aside = self.path.with_suffix(f".bad-{self.path.stat().st_mtime_ns}")
            log.error("%s cannot be used and was set aside as %s: %s", self.path, aside.name, error)
            self.db.close()
            for suffix in ("-wal", "-shm"):
                self.path.with_name(self.path.name + suffix).unlink(missing_ok=True)
            self.path.rename(aside)
            self.acceptor = self._open()

    def _open(self) -> Acceptor:
        is_new = not self.path.exists()
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        self.db.execute("PRAGMA synchronous=FULL")
        if self.exclusive:  # makes a shared-memory index of the journal unnecessary
            self.db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode=WAL")
        if not is_new and [row[0] for row in self.db.execute("PRAGMA quick_check")] != ["ok"]:
            raise BadStore("it is damaged")
        is_keeper_file = is_new or self.db.execute(
            "SELECT COUNT(*) FROM sqlite_master WHERE name = 'about'").fetchone()[0]
        self.db.executescript(TABLES)
        about = dict(self.db.execute("SELECT key, value FROM about"))
        if not about:
            if not is_keeper_file or self.db.execute("SELECT COUNT(*) FROM cells").fetchone()[0]:
                raise BadStore("it is not a keeper's file")
            return Acceptor(self.name, 0, False, {}, {})
        if about.get("schema") != str(SCHEMA) or about.get("name") != self.name:
            raise BadStore(f"it belongs to keeper {about.get('name')!r} with schema {about.get('schema')!r}")
        rows = list(self.db.execute("SELECT key, value, digest FROM cells ORDER BY key"))
        if about.get("cells") != _registers_digest(rows):
            raise BadStore("its registers do not match their common checksum")
        registers = {key: _parse_register(value, digest) for key, value, digest in rows}
        return Acceptor(self.name, int(about["life"]), True, dict(self.db.execute("SELECT * FROM lives")), registers)

    def replace_state(self, acceptor: Acceptor) -> None:
        """Replaces the whole state, after founding a record or rejoining; from now on the acceptor votes."""
        self.db.execute("BEGIN IMMEDIATE")
        self.db.execute("DELETE FROM cells")
        self._save_identity(acceptor)
        for key in acceptor.registers:
            self._save_register(acceptor, key)
        self._save_checksum()
        self.db.execute("COMMIT")
        self.acceptor = acceptor

    def _save_identity(self, acceptor: Acceptor) -> None:
        rows = [("schema", str(SCHEMA)), ("name", acceptor.name), ("life", str(acceptor.incarnation))]
        self.db.executemany("INSERT OR REPLACE INTO about VALUES (?, ?)", rows)
        self.db.executemany("INSERT OR REPLACE INTO lives VALUES (?, ?)", list(acceptor.incarnations.items()))

    def _save_register(self, acceptor: Acceptor, key: str) -> None:
        register = acceptor.registers[key]
        text = json.dumps([register.promised, register.accepted, register.value], separators=(",", ":"))
        self.db.execute("INSERT OR REPLACE INTO cells VALUES (?, ?, ?)", (key, text, _digest(text)))

    def save(self, acceptor: Acceptor, key: str | None) -> None:
        """Saves what a message changed: the register of the key or, without a key, the known incarnations."""
        if acceptor is self.acceptor or not acceptor.can_vote:
            self.acceptor = acceptor
            return      # without a vote, its state does not count
        self.db.execute("BEGIN IMMEDIATE")
        if key is None:
            self._save_identity(acceptor)
        else:
            self._save_register(acceptor, key)
            self._save_checksum()
        self.db.execute("COMMIT")
        self.acceptor = acceptor

    def rollback(self) -> None:
        """Rolls back a change that failed halfway: the file is as before."""
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")

    def _save_checksum(self) -> None:
        """Saves a checksum over all registers, which reveals a missing one."""
        rows = self.db.execute("SELECT key, value, digest FROM cells ORDER BY key")
        self.db.execute("INSERT OR REPLACE INTO about VALUES ('cells', ?)", (_registers_digest(rows),))

    # Contents

    def content(self, digest: str) -> bytes | None:
        """Returns the content with this digest, or None."""
        row = self.db.execute("SELECT data FROM contents WHERE digest = ?", (digest,)).fetchone()
        return row[0] if row is not None else None

    def add_content(self, digest: str, data: bytes, at: float, retained: set[str]) -> list[str]:
        """Saves a content, evicts the oldest unneeded ones beyond the limits and returns the digests of these.

        Contents in `retained` are never evicted.  Raises sqlite3.Error on a disk error; then nothing has changed.
        """
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.execute("INSERT OR IGNORE INTO contents VALUES (?, ?, ?)", (digest, data, at))
            rows = self.db.execute("SELECT digest, length(data) FROM contents ORDER BY at")
            evicted = contents_to_evict(rows.fetchall(), {*retained, digest})
            self.db.executemany("DELETE FROM contents WHERE digest = ?", [(unneeded,) for unneeded in evicted])
            self.db.execute("COMMIT")
        except sqlite3.Error:
            self.rollback()
            raise
        return evicted

    # Spans of the audit, as JSON text

    def add_spans(self, spans: dict[tuple[str, str, int], str]) -> None:
        """Saves spans by (ingress, incarnation, sequence number); a span that exists is replaced."""
        self.db.execute("BEGIN")
        self.db.executemany("INSERT OR REPLACE INTO spans VALUES (?, ?, ?, ?)",
                            [(*key, span) for key, span in spans.items()])
        for ingress in {key[0] for key in spans}:
            (count,) = self.db.execute("SELECT COUNT(*) FROM spans WHERE ingress = ?", (ingress,)).fetchone()
            if count > MAX_SPANS_PER_INGRESS:
                self._summarize_oldest(ingress, count - MAX_SPANS_PER_INGRESS // 2)
        self.db.execute("COMMIT")

    def _summarize_oldest(self, ingress: str, count: int) -> None:
        """Summarizes the oldest spans of an ingress to one row per version."""
        # Imported here because the store process of `fennelpoint.system` stores no spans and starts faster without
        # this module.
        from fennelpoint.fleet.audit import SpanSummary, parse_span, summarize_spans

        rows = list(self.db.execute("SELECT life, seq, span FROM spans WHERE ingress = ? "
                                    "ORDER BY json_extract(span, '$.begin[0]') LIMIT ?", (ingress, count)))
        before = [SpanSummary(**_with_moments(json.loads(row[0]))) for row in self.db.execute(
            "SELECT row FROM rolled WHERE ingress = ?", (ingress,))]
        for row in summarize_spans([parse_span(json.loads(text)) for _, _, text in rows], before):
            self.db.execute("INSERT OR REPLACE INTO rolled VALUES (?, ?, ?)",
                            (ingress, row.version, json.dumps(asdict(row))))
        self.db.executemany("DELETE FROM spans WHERE ingress = ? AND life = ? AND seq = ?",
                            [(ingress, incarnation, seq) for incarnation, seq, _ in rows])

    def rolled(self, ingress: str | None = None) -> list[dict]:
        """Returns the summaries of old spans, of one ingress or of all."""
        where, values = ("WHERE ingress = ?", (ingress,)) if ingress is not None else ("", ())
        return [json.loads(row[0]) for row in self.db.execute(f"SELECT row FROM rolled {where}", values)]

    def spans(self, ingress: str | None = None) -> list[str]:
        """Returns the spans as JSON text, of one ingress or of all."""
        where, values = ("WHERE ingress = ?", (ingress,)) if ingress is not None else ("", ())
        return [row[0] for row in self.db.execute(f"SELECT span FROM spans {where}", values)]

    def close(self) -> None:
        """Closes the file."""
        self.db.close()


def _create_folder(folder: Path) -> None:
    """Creates a folder and its missing parents so that they survive a power failure.

    SQLite syncs the names inside the folder, but not the folder's own name in its parent.
    """
    missing = [directory for directory in (folder, *folder.parents) if not directory.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for directory in missing:
        descriptor = os.open(directory.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _with_moments(row: dict) -> dict:
    return {**row, "first": tuple(row["first"]), "last": tuple(row["last"])}


def _registers_digest(rows: Iterable[tuple[str, str, str]]) -> str:
    return _digest(json.dumps([[key, digest] for key, _, digest in rows]))


def _digest(text: str) -> str:
    return sha256(text.encode()).hexdigest()


def _parse_register(text: str, digest: str) -> RegisterState:
    if _digest(text) != digest:
        raise BadStore("the checksum of a register does not match")
    promised, accepted, value = json.loads(text)
    return RegisterState(tuple(promised), tuple(accepted), value)
