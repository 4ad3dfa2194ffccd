"""Stores results in SQLite: one row per run, keyed by a digest of its inputs, so that no run is repeated.

Several processes may share a file. A run in progress is claimed by its process; the claim of a process that
has exited is void.
"""

from __future__ import annotations

import json
import os
import sqlite3
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SCHEMA_VERSION = 1
APPLICATION_ID = 0x4C524558  # in the file header, to recognize databases of other programs
BUSY_TIMEOUT_S = 30.0
OPEN_RETRY_INTERVAL_S = 0.02

_SCHEMA = """
CREATE TABLE runs (
    key TEXT PRIMARY KEY,
    experiment TEXT NOT NULL,
    side TEXT NOT NULL,
    policy TEXT NOT NULL,
    model TEXT NOT NULL,
    ref TEXT NOT NULL,
    variant TEXT NOT NULL,
    seed INTEGER NOT NULL,
    state TEXT NOT NULL CHECK (state IN ('done', 'broken', 'failed')),
    figures TEXT NOT NULL,
    course TEXT NOT NULL,
    latencies TEXT NOT NULL,
    broken TEXT NOT NULL,
    digest TEXT NOT NULL,
    steps INTEGER NOT NULL,
    wall_s REAL NOT NULL,
    note TEXT NOT NULL,
    file TEXT NOT NULL,
    made_at REAL NOT NULL
);
CREATE TABLE claims (key TEXT PRIMARY KEY, pid INTEGER NOT NULL, born TEXT NOT NULL);
"""


class StoreError(Exception):
    """The results file cannot be used; the message names the file and the reason."""


@dataclass(frozen=True)
class Row:
    """The stored record of one run."""

    key: str
    experiment: str
    side: str
    policy: str
    model: str
    ref: str
    variant: dict[str, Any]
    seed: int
    state: str
    figures: dict[str, float]
    course: dict[str, Any]
    latencies: dict[str, str]
    broken: dict[str, int]
    digest: str
    steps: int
    wall_s: float
    note: str
    file: dict[str, Any]


_COLUMNS = (
    "key, experiment, side, policy, model, ref, variant, seed, state, figures, course, latencies, broken,"
    " digest, steps, wall_s, note, file"
)
_JSON_COLUMNS = ("variant", "figures", "course", "latencies", "broken", "file")


def _is_busy(error: sqlite3.Error) -> bool:
    """Whether another process is in the way.  The lower byte of an extended error code is its class."""
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & 0xFF in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED)


class Store:
    """A results file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock = threading.RLock()  # the pool's threads claim runs, the main thread stores them
        self._db = self._open()
        self._pid, self._born = os.getpid(), _process_start_time(os.getpid())

    def _open(self) -> sqlite3.Connection:
        """Open the file, as soon as no other process that opens it is in the way.

        SQLite's busy timeout does not cover the change to write-ahead logging, which needs the file alone.
        """
        give_up_at = time.monotonic() + BUSY_TIMEOUT_S
        while True:
            try:
                return self._try_to_open()
            except sqlite3.Error as error:
                if not _is_busy(error):
                    raise StoreError(f"{self.path}: is not a results file, or is damaged: {error}") from None
                if time.monotonic() > give_up_at:
                    raise StoreError(f"{self.path}: is in use by another process: {error}") from None
            time.sleep(OPEN_RETRY_INTERVAL_S)

    def _try_to_open(self) -> sqlite3.Connection:
        connection = sqlite3.connect(
            self.path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        try:
            self._db = connection
            self._initialize()
            connection.execute("PRAGMA journal_mode = WAL")
            connection.execute("PRAGMA synchronous = NORMAL")
        except BaseException:
            connection.close()
            raise
        return connection

    def _initialize(self) -> None:
        with self._transaction():
            (application,) = self._db.execute("PRAGMA application_id").fetchone()
            (version,) = self._db.execute("PRAGMA user_version").fetchone()
            (tables,) = self._db.execute("SELECT count(*) FROM sqlite_master").fetchone()
            if not tables and not application:
                for statement in _SCHEMA.split(";"):
                    self._db.execute(statement)
                self._db.execute(f"PRAGMA application_id = {APPLICATION_ID}")
                self._db.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
            elif application != APPLICATION_ID:
                raise StoreError(f"{self.path}: is another program's database")
            elif version != SCHEMA_VERSION:
                raise StoreError(
                    f"{self.path}: is of version {version}; this tool reads version {SCHEMA_VERSION}"
                )
        (state,) = self._db.execute("PRAGMA quick_check(1)").fetchone()
        if state != "ok":
            raise StoreError(f"{self.path}: is damaged: {state}")

    def close(self) -> None:
        """Release this process's claims and close the file."""
        try:
            self._db.execute("DELETE FROM claims WHERE pid = ? AND born = ?", (self._pid, self._born))
            self._db.close()
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: cannot be closed: {error}") from None

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        self._db.execute("BEGIN IMMEDIATE")
        try:
            yield
        except BaseException:
            self._db.execute("ROLLBACK")
            raise
        self._db.execute("COMMIT")

    # ------------------------------------------------------------ runs

    def has(self, key: str) -> bool:
        """Return whether a result of this run is stored; failed runs do not count and are repeated."""
        query = "SELECT 1 FROM runs WHERE key = ? AND state != 'failed'"
        with self._lock:
            return self._db.execute(query, (key,)).fetchone() is not None

    def claim(self, key: str) -> bool:
        """Claim the run for this process; False if it is stored or claimed by another live process."""
        with self._lock, self._transaction():
            if self.has(key):
                return False
            owner = self._db.execute("SELECT pid, born FROM claims WHERE key = ?", (key,)).fetchone()
            if owner is not None and _process_start_time(owner[0]) == owner[1]:
                return False
            self._db.execute("INSERT OR REPLACE INTO claims VALUES (?, ?, ?)", (key, self._pid, self._born))
            return True

    def add(self, row: Row) -> None:
        """Store a run and release its claim in one transaction."""
        values = [
            json.dumps(getattr(row, name), sort_keys=True) if name in _JSON_COLUMNS else getattr(row, name)
            for name in _COLUMNS.split(", ")
        ]
        placeholders = ", ".join("?" * (len(values) + 1))
        try:
            with self._lock, self._transaction():
                self._db.execute(
                    f"INSERT OR REPLACE INTO runs ({_COLUMNS}, made_at) VALUES ({placeholders})",
                    (*values, time.time()),
                )
                self._db.execute("DELETE FROM claims WHERE key = ?", (row.key,))
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: a run cannot be stored: {error}") from None

    def rows(self, keys: list[str]) -> list[Row]:
        """Return the stored runs of these keys, in the order of the keys."""
        found = []
        for key in keys:
            row = self._db.execute(f"SELECT {_COLUMNS} FROM runs WHERE key = ?", (key,)).fetchone()
            if row is not None:
                found.append(_row_from_values(row))
        return found

    def all(self, experiment: str | None = None) -> list[Row]:
        """Return all runs, of one experiment or of any, oldest first."""
        where, values = ("WHERE experiment = ?", (experiment,)) if experiment else ("", ())
        query = f"SELECT {_COLUMNS} FROM runs {where} ORDER BY made_at, key"
        return [_row_from_values(row) for row in self._db.execute(query, values)]

    def find(self, key_prefix: str) -> Row:
        """Return the run whose key has this prefix; raises StoreError unless there is exactly one."""
        query = f"SELECT {_COLUMNS} FROM runs WHERE substr(key, 1, ?) = ? LIMIT 2"
        rows = self._db.execute(query, (len(key_prefix), key_prefix)).fetchall()
        if len(rows) != 1:
            count = "no run" if not rows else "more than one run"
            raise StoreError(f"{self.path}: {count} has a key that begins with {key_prefix!r}")
        return _row_from_values(rows[0])


def _row_from_values(values: tuple[Any, ...]) -> Row:
    names = _COLUMNS.split(", ")
    return Row(**{n: json.loads(v) if n in _JSON_COLUMNS else v for n, v in zip(names, values, strict=True)})


def _process_start_time(pid: int) -> str:
    """Return a process's start time in kernel clock ticks, which tells apart processes that reuse a pid."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[19]
