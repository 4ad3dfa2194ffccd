"""Record stores, in memory and on `dbm.dumb`.

A store holds a value for each name. commit() returns when the whole batch is on disk; an uncommitted batch
may survive a loss of power or not, but never in part. All calls are made from one thread.

`dbm.dumb` syncs nothing and rewrites its index in place, so it is used append-only: each batch is one new key
with a checksum. An append leaves everything synced before it untouched, and an index line or a record
truncated by a loss of power is recognized by its form or its checksum. open() writes all records into a new
generation, so that nothing depends on data that an earlier process left unsynced.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import fcntl
import json
import os
import re
import struct
import zlib
from collections.abc import Mapping
from typing import Protocol

from google.protobuf.message import DecodeError

from leadrudder.protocol.mesh_pb2 import RecordBatch

_CHECKSUM = struct.Struct(">I")  # of the bytes that follow
_INDEX_LINE = re.compile(rb"'[0-9]{12}', \([0-9]+, [0-9]+\)")
MAX_GENERATION_BATCHES = 4000  # batches, after which a new generation is started
FORMAT = 2
LOCK_FILE = "lock"  # in the folder of a store; empty


class CorruptStoreError(Exception):
    """Synced bytes have changed, so the records on the disk are unknown."""


class DiskError(Exception):
    """The disk failed; the batch being committed may be stored or not."""


class UnusableDiskError(DiskError):
    """The records cannot be used, now or later: their format is of a later release."""


class DiskInUseError(DiskError):
    """Another process has opened the disk and not closed it yet."""


class Store(Protocol):
    """The interface of a store."""

    def open(self) -> dict[str, bytes]:
        """Return all records; DiskError if they cannot be read now, UnusableDiskError if never."""

    def commit(self, records: Mapping[str, bytes]) -> None:
        """Put a batch on disk; DiskError if that is uncertain."""

    def close(self) -> None:
        """Release the store; no further calls follow."""


class MemoryStore:
    """A store that lasts as long as its process; for tests and machines without a disk."""

    def __init__(self) -> None:
        self._records: dict[str, bytes] = {}

    def open(self) -> dict[str, bytes]:
        return dict(self._records)

    def commit(self, records: Mapping[str, bytes]) -> None:
        self._records.update(records)

    def close(self) -> None:
        pass


def encode_batch(records: Mapping[str, bytes]) -> bytes:
    """A batch, preceded by its checksum."""
    body = RecordBatch(format=FORMAT, records=records).SerializeToString(deterministic=True)
    return _CHECKSUM.pack(zlib.crc32(body)) + body


def decode_batch(data: bytes) -> dict[str, bytes] | None:
    """The batch, or None if it is damaged; DiskError if its format is of a later release.

    Format 1 was JSON with the values in hexadecimal digits.
    """
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != zlib.crc32(data[_CHECKSUM.size :]):
        return None
    body = data[_CHECKSUM.size :]
    try:
        if body.startswith(b"{"):
            old = json.loads(body)
            return {name: bytes.fromhex(value) for name, value in old["records"].items()}
        batch = RecordBatch.FromString(body)
    except (ValueError, KeyError, TypeError, AttributeError, DecodeError):
        return None
    if batch.format != FORMAT:
        raise UnusableDiskError(f"format {batch.format} is not known to this release")
    return dict(batch.records)


class FolderLock:
    """Excludes other processes from a folder, until it is released or the process ends."""

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, LOCK_FILE)
        self._descriptor: int | None = None

    def acquire(self) -> None:
        """DiskInUseError if another process holds the lock; no effect on file systems without locks."""
        if self._descriptor is not None:
            return
        descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.lockf(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except (BlockingIOError, PermissionError):
            os.close(descriptor)
            raise DiskInUseError(f"{self._path} is locked by another process") from None
        except OSError:
            os.close(descriptor)
            return
        self._descriptor = descriptor

    def release(self) -> None:
        """Let other processes take the lock."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


class DbmStore:
    """Records in a folder, as generations of `dbm.dumb` files."""

    _NAME = re.compile(r"g([0-9]{8})\.dat")

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._records: dict[str, bytes] = {}
        self.corrupt = ""  # the damaged record and file, if any: the disk then counts as lost
        self._generation = 0  # the newest one that is complete
        self._obsolete: set[int] = set()  # older generations, whose files may still be there
        self._batches = 0
        self._files: list[int] = []  # file descriptors of the current generation
        self._db: dbm.dumb._Database | None = None
        self._lock = FolderLock(folder)

    def peek(self) -> dict[str, bytes]:
        """All records, without changing the folder; CorruptStoreError if they are damaged."""
        return self._newest_records()[1]

    def _newest_records(self) -> tuple[int, dict[str, bytes]]:
        """The newest complete generation and its records; 0 if there is none."""
        for generation in reversed(self._generations()):
            read = self._read_generation(generation)
            if read is not None:
                return generation, read
        return 0, {}

    def _generations(self) -> list[int]:
        """The generations in the folder, oldest first."""
        return sorted(int(m[1]) for name in os.listdir(self._folder) if (m := self._NAME.fullmatch(name)))

    def open(self) -> dict[str, bytes]:
        try:
            os.makedirs(self._folder, exist_ok=True)
            self._lock.acquire()
            found = self._generations()
            self.corrupt = ""
            try:
                newest, self._records = self._newest_records()
            except CorruptStoreError as corrupt:
                newest, self.corrupt, self._records = max(found), str(corrupt), {}
            self._start_generation(newest + 1, found)
        except (OSError, dbm.dumb.error) as error:
            raise DiskError(str(error)) from None
        return dict(self._records)

    def commit(self, records: Mapping[str, bytes]) -> None:
        try:
            if self._batches >= MAX_GENERATION_BATCHES or self._db is None:
                self._records.update(records)
                self._start_generation(self._generation + 1, [self._generation])
            else:
                self._append(records)
                self._records.update(records)
        except Exception as error:
            self._close_files()  # the outcome is unknown: the next batch goes to a new generation
            raise DiskError(str(error) if isinstance(error, OSError) else repr(error)) from error

    def close(self) -> None:
        self._close_files()
        self._lock.release()

    def _path(self, generation: int) -> str:
        return os.path.join(self._folder, f"g{generation:08d}")

    def _read_generation(self, generation: int) -> dict[str, bytes] | None:
        """The records of a generation; None if it was never completed.

        Its first batch contains all records of the generation before. Its last batch may be incomplete, if
        power was lost before it was acknowledged. Each batch was started after the one before was synced, so
        an unreadable batch followed by a readable one was complete once and has changed since.
        """
        path = self._path(generation)
        try:
            with open(path + ".dir", "rb") as file:
                lines = file.read().split(b"\n")
            with open(path + ".dat", "rb") as file:
                data = file.read()
        except OSError:
            return None
        records: dict[str, bytes] | None = None
        expected, torn = 0, ""
        for raw in filter(None, lines):
            number, batch = expected, None
            line = raw.strip(b"\0")  # zeros left by an incomplete write
            if _INDEX_LINE.search(line) and not _INDEX_LINE.fullmatch(line):
                raise CorruptStoreError(f"{path}.dir: record {expected} cannot be read")
            if _INDEX_LINE.fullmatch(line):
                name, _, place = line.partition(b", ")
                at, size = (int(part) for part in place.strip(b"()").split(b", "))
                number, batch = int(name.strip(b"'")), decode_batch(data[at : at + size])
            if batch is None:
                torn = torn or f"{path}.dat: record {number} cannot be read"
                continue
            if torn or number != expected:
                raise CorruptStoreError(torn or f"{path}.dat: record {expected} cannot be read")
            expected += 1
            if records is None:
                records = batch
            else:
                records.update(batch)
        return records

    def _start_generation(self, generation: int, older: list[int]) -> None:
        """Start a new generation with all records; remove older ones once it is on disk.

        One that cannot be completed is removed, as a full disk needs the room.
        """
        self._close_files()
        self._remove(generation)
        self._batches = 0
        try:
            self._db = dbm.dumb.open(self._path(generation), "n", 0o600)  # noqa: SIM115 - see _close_files
            self._append(self._records, new_generation=generation)
        except BaseException:
            self._close_files()
            with contextlib.suppress(OSError):
                self._remove(generation)
            raise
        self._generation = generation
        self._obsolete.update(each for each in older if each != generation)
        for obsolete in list(self._obsolete):
            with contextlib.suppress(OSError):  # tried again with the next generation
                self._remove(obsolete)
                self._obsolete.discard(obsolete)

    def _append(self, records: Mapping[str, bytes], *, new_generation: int | None = None) -> None:
        assert self._db is not None
        self._db[f"{self._batches:012d}"] = encode_batch(records)
        self._batches += 1
        if new_generation is not None:
            path = self._path(new_generation)
            for ending in (".dat", ".dir"):
                self._files.append(os.open(path + ending, os.O_RDWR))
        for descriptor in self._files:
            os.fsync(descriptor)
        if new_generation is not None:
            folder = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)

    def _remove(self, generation: int) -> None:
        for ending in (".dat", ".dir", ".bak"):
            with contextlib.suppress(FileNotFoundError):
                os.remove(self._path(generation) + ending)

    def _close_files(self) -> None:
        for descriptor in self._files:
            with contextlib.suppress(OSError):
                os.close(descriptor)
        self._files = []
        if self._db is not None:
            # close() would rewrite the index without a sync; it already contains all that was appended.
            self._db._modified = False  # type: ignore[attr-defined]
            with contextlib.suppress(OSError, dbm.dumb.error):
                self._db.close()
            self._db = None
