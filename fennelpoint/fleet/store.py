"""A keeper's file: what it promised and accepted, its life, contents and the audit's spans, in SQLite.

Each change of a vote is on disk (full sync) before it is told.  A file that can't be read, or is another
keeper's, is set aside with one line, and the keeper starts without a vote.
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
MOST_CONTENTS, MOST_BYTES = 64, 8_000_000   # beside those that are in use
MOST_SPANS = 10_000     # of an ingress; past that the oldest half is rolled up


def making_room(rows: Iterable[tuple[str, int]], kept: set[str]) -> list[str]:
    """Digests of the contents that go, of those there are with their bytes, the oldest first."""
    rest = [row for row in rows if row[0] not in kept]
    gone, total = [], sum(size for _, size in rest)
    for digest, size in rest:
        if len(rest) - len(gone) <= MOST_CONTENTS and total <= MOST_BYTES:
            break
        gone.append(digest)
        total -= size
    return gone


class BadStore(Exception):
    """Why a file is not used, in one line."""


class Store:
    """One keeper's file in a folder.  `votes` is whether what it holds may be voted by."""

    def __init__(self, folder: Path, name: str, alone: bool = False) -> None:
        """Raises OSError where the folder can't be written to; `alone`: no other process may read along."""
        self.alone = alone
        _make(folder)
        self.path, self.name = folder / f"{name}.keeper", name
        try:
            self.keeper = self._open()
        except (sqlite3.Error, BadStore, ValueError, TypeError, KeyError) as error:
            aside = self.path.with_suffix(f".bad-{self.path.stat().st_mtime_ns}")
            log.error("%s is not believed and set aside as %s: %s", self.path, aside.name, error)
            self.db.close()
            for suffix in ("-wal", "-shm"):
                self.path.with_name(self.path.name + suffix).unlink(missing_ok=True)
            self.path.rename(aside)
            self.keeper = self._open()

    def _open(self) -> Acceptor:
        fresh = not self.path.exists()
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        self.db.execute("PRAGMA synchronous=FULL")
        if self.alone:  # then no memory is shared for the journal
            self.db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode=WAL")
        if not fresh and [row[0] for row in self.db.execute("PRAGMA quick_check")] != ["ok"]:
            raise BadStore("it is torn")
        ours = fresh or self.db.execute("SELECT COUNT(*) FROM sqlite_master WHERE name = 'about'").fetchone()[0]
        self.db.executescript(TABLES)
        about = dict(self.db.execute("SELECT key, value FROM about"))
        if not about:
            if not ours or self.db.execute("SELECT COUNT(*) FROM cells").fetchone()[0]:
                raise BadStore("it is no keeper's")
            return Acceptor(self.name, 0, False, {}, {})
        if about.get("schema") != str(SCHEMA) or about.get("name") != self.name:
            raise BadStore(f"it is of keeper {about.get('name')!r} with schema {about.get('schema')!r}")
        rows = list(self.db.execute("SELECT key, value, digest FROM cells ORDER BY key"))
        if about.get("cells") != _sum(rows):
            raise BadStore("its cells are not those that it had")
        cells = {key: _cell(value, digest) for key, value, digest in rows}
        return Acceptor(self.name, int(about["life"]), True, dict(self.db.execute("SELECT * FROM lives")), cells)

    def begin(self, keeper: Acceptor) -> None:
        """Vote as this from now on: a record that is founded, or what others knew."""
        self.db.execute("BEGIN IMMEDIATE")
        self.db.execute("DELETE FROM cells")
        self._about(keeper)
        for key in keeper.registers:
            self._write(keeper, key)
        self._seal()
        self.db.execute("COMMIT")
        self.keeper = keeper

    def _about(self, keeper: Acceptor) -> None:
        rows = [("schema", str(SCHEMA)), ("name", keeper.name), ("life", str(keeper.incarnation))]
        self.db.executemany("INSERT OR REPLACE INTO about VALUES (?, ?)", rows)
        self.db.executemany("INSERT OR REPLACE INTO lives VALUES (?, ?)", list(keeper.incarnations.items()))

    def _write(self, keeper: Acceptor, key: str) -> None:
        cell = keeper.registers[key]
        text = json.dumps([cell.promised, cell.accepted, cell.value], separators=(",", ":"))
        self.db.execute("INSERT OR REPLACE INTO cells VALUES (?, ?, ?)", (key, text, _digest(text)))

    def keep(self, keeper: Acceptor, key: str | None) -> None:
        """What a message changed: one cell, or the lives that are known."""
        if keeper is self.keeper or not keeper.can_vote:
            self.keeper = keeper
            return      # what one without a vote knows counts for nothing
        self.db.execute("BEGIN IMMEDIATE")
        if key is None:
            self._about(keeper)
        else:
            self._write(keeper, key)
            self._seal()
        self.db.execute("COMMIT")
        self.keeper = keeper

    def undo(self) -> None:
        """Leave a change that failed half way: the file is as it was before."""
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")

    def _seal(self) -> None:
        """What all cells are, so that one that is missing is missed."""
        rows = self.db.execute("SELECT key, value, digest FROM cells ORDER BY key")
        self.db.execute("INSERT OR REPLACE INTO about VALUES ('cells', ?)", (_sum(rows),))

    # Contents

    def content(self, digest: str) -> bytes | None:
        row = self.db.execute("SELECT data FROM contents WHERE digest = ?", (digest,)).fetchone()
        return row[0] if row is not None else None

    def add_content(self, digest: str, data: bytes, at: float, kept: set[str]) -> list[str]:
        """`kept` are digests that are in use: the oldest of the others make room; returns those.

        Raises sqlite3.Error where the disk refuses: then nothing has changed."""
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.execute("INSERT OR IGNORE INTO contents VALUES (?, ?, ?)", (digest, data, at))
            rows = self.db.execute("SELECT digest, length(data) FROM contents ORDER BY at")
            gone = making_room(rows.fetchall(), {*kept, digest})
            self.db.executemany("DELETE FROM contents WHERE digest = ?", [(old,) for old in gone])
            self.db.execute("COMMIT")
        except sqlite3.Error:
            self.undo()
            raise
        return gone

    # Spans of the audit, as text

    def add_spans(self, spans: dict[tuple[str, str, int], str]) -> None:
        """By ingress, life and number; one that is there already is told anew."""
        self.db.execute("BEGIN")
        self.db.executemany("INSERT OR REPLACE INTO spans VALUES (?, ?, ?, ?)",
                            [(*key, span) for key, span in spans.items()])
        for ingress in {key[0] for key in spans}:
            (count,) = self.db.execute("SELECT COUNT(*) FROM spans WHERE ingress = ?", (ingress,)).fetchone()
            if count > MOST_SPANS:
                self._roll(ingress, count - MOST_SPANS // 2)
        self.db.execute("COMMIT")

    def _roll(self, ingress: str, count: int) -> None:
        """The oldest spans of an ingress become a row a version."""
        # Loaded here: the whole system's store keeps no spans, and starts sooner without.
        from fennelpoint.fleet.audit import SpanSummary, parse_span, summarize_spans

        rows = list(self.db.execute("SELECT life, seq, span FROM spans WHERE ingress = ? "
                                    "ORDER BY json_extract(span, '$.begin[0]') LIMIT ?", (ingress, count)))
        before = [SpanSummary(**_moments(json.loads(row[0]))) for row in self.db.execute(
            "SELECT row FROM rolled WHERE ingress = ?", (ingress,))]
        for row in summarize_spans([parse_span(json.loads(text)) for _, _, text in rows], before):
            self.db.execute("INSERT OR REPLACE INTO rolled VALUES (?, ?, ?)",
                            (ingress, row.version, json.dumps(asdict(row))))
        self.db.executemany("DELETE FROM spans WHERE ingress = ? AND life = ? AND seq = ?",
                            [(ingress, life, seq) for life, seq, _ in rows])

    def rolled(self, ingress: str | None = None) -> list[dict]:
        where, values = ("WHERE ingress = ?", (ingress,)) if ingress is not None else ("", ())
        return [json.loads(row[0]) for row in self.db.execute(f"SELECT row FROM rolled {where}", values)]

    def spans(self, ingress: str | None = None) -> list[str]:
        where, values = ("WHERE ingress = ?", (ingress,)) if ingress is not None else ("", ())
        return [row[0] for row in self.db.execute(f"SELECT span FROM spans {where}", values)]

    def close(self) -> None:
        self.db.close()


def _make(folder: Path) -> None:
    """A folder that a loss of power does not take back: SQLite syncs the names in it, and not its own name."""
    made = [one for one in (folder, *folder.parents) if not one.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for one in made:
        place = os.open(one.parent, os.O_RDONLY)
        try:
            os.fsync(place)
        finally:
            os.close(place)


def _moments(row: dict) -> dict:
    return {**row, "first": tuple(row["first"]), "last": tuple(row["last"])}


def _sum(rows: Iterable[tuple[str, str, str]]) -> str:
    return _digest(json.dumps([[key, digest] for key, _, digest in rows]))


def _digest(text: str) -> str:
    return sha256(text.encode()).hexdigest()


def _cell(text: str, digest: str) -> RegisterState:
    if _digest(text) != digest:
        raise BadStore("a cell's checksum does not fit")
    promised, accepted, value = json.loads(text)
    return RegisterState(tuple(promised), tuple(accepted), value)
