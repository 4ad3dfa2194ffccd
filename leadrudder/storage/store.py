"""Stores of records, and the one on `dbm.dumb`.

A store holds a value for each name. commit() returns when a batch is on disk whole; what was not committed
may be there after a loss of power or not, but never in part. All calls are made from one thread.

`dbm.dumb` syncs nothing and rewrites its index in place, so it is only ever appended to: each batch is one
new sealed key. Such an append leaves what was synced before it untouched, and an index line or a record
that power cut off is told by its form or its seal. open() writes all there is into a new generation, so
that nothing an earlier process left unsynced is built upon.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import json
import os
import re
import struct
import zlib
from collections.abc import Mapping
from typing import Protocol

from google.protobuf.message import DecodeError

from leadrudder.protocol.mesh_pb2 import RecordBatch

_CHECKSUM = struct.Struct(">I")  # the seal of what follows
_INDEX_LINE = re.compile(rb"'[0-9]{12}', \([0-9]+, [0-9]+\)")
MAX_GENERATION_BATCHES = 4000  # batches, after which a new generation is begun
FORMAT = 2


class CorruptStoreError(Exception):  # noqa: N818 - it says what is the matter with a file
    """Bytes that had been synced have changed: what the disk held is not known any more."""


class DiskError(Exception):
    """The disk refused; what was being committed may be there or not."""


class Store(Protocol):
    """What every store owes."""

    def open(self) -> dict[str, bytes]:
        """What it holds; DiskError where that cannot be had."""

    def commit(self, records: Mapping[str, bytes]) -> None:
        """Put a batch on disk; DiskError where that is not certain."""

    def close(self) -> None:
        """No further calls follow."""


class MemoryStore:
    """A store that keeps nothing after its process; for tests and for machines without a disk."""

    def __init__(self) -> None:
        self._records: dict[str, bytes] = {}

    def open(self) -> dict[str, bytes]:
        return dict(self._records)

    def commit(self, records: Mapping[str, bytes]) -> None:
        self._records.update(records)

    def close(self) -> None:
        pass


def encode_batch(records: Mapping[str, bytes]) -> bytes:
    """A batch with its checksum in front."""
    body = RecordBatch(format=FORMAT, records=records).SerializeToString(deterministic=True)
    return _CHECKSUM.pack(zlib.crc32(body)) + body


def decode_batch(data: bytes) -> dict[str, bytes] | None:
    """The batch, or None where any of it is torn; DiskError where its format is of a later release.

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
        raise DiskError(f"format {batch.format} is not known to this release")
    return dict(batch.records)


class DbmStore:
    """Records in a folder, in generations of `dbm.dumb` files."""

    _NAME = re.compile(r"g([0-9]{8})\.dat")

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._records: dict[str, bytes] = {}
        self.corrupt = ""  # which record of which file has changed: the disk then counts as lost
        self._generation = 0
        self._batches = 0
        self._files: list[int] = []  # descriptors of the generation's files
        self._db: dbm.dumb._Database | None = None

    def peek(self) -> dict[str, bytes]:
        """What the folder holds, which is left as it is; Spoilt where that is not known."""
        for generation in reversed(self._generations()):
            read = self._read_generation(generation)
            if read is not None:
                return read
        return {}

    def _generations(self) -> list[int]:
        """The generations that are there, the oldest first."""
        return sorted(int(m[1]) for name in os.listdir(self._folder) if (m := self._NAME.fullmatch(name)))

    def open(self) -> dict[str, bytes]:
        try:
            os.makedirs(self._folder, exist_ok=True)
            found = self._generations()
            self.corrupt = ""
            try:
                self._records = self.peek()
            except CorruptStoreError as spoilt:
                self.corrupt, self._records = str(spoilt), {}
            self._start_generation(max(found, default=0) + 1, found)
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
        except (OSError, dbm.dumb.error) as error:
            self._close_files()  # what came of it is not known: the next batch goes to a new generation
            raise DiskError(str(error)) from None

    def close(self) -> None:
        self._close_files()

    def _path(self, generation: int) -> str:
        return os.path.join(self._folder, f"g{generation:08d}")

    def _read_generation(self, generation: int) -> dict[str, bytes] | None:
        """What a generation holds; None if it was never finished.

        Its first batch is the whole of the one before.  The last may be torn, as power was lost before it
        was acknowledged. Each was begun when the one before had been synced: one that cannot be read and has
        a whole one behind it was whole once, and has changed since.
        """
        path = self._path(generation)
        try:
            with open(path + ".dir", "rb") as file:
                lines = file.read().split(b"\n")
            with open(path + ".dat", "rb") as file:
                data = file.read()
        except OSError:
            return None
        held: dict[str, bytes] | None = None
        expected, torn = 0, ""
        for raw in filter(None, lines):
            number, batch = expected, None
            line = raw.strip(b"\0")  # what a torn write leaves
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
            if held is None:
                held = batch
            else:
                held.update(batch)
        return held

    def _start_generation(self, generation: int, older: list[int]) -> None:
        """A new generation with all there is; older ones go once it is on disk."""
        self._close_files()
        path = self._path(generation)
        self._remove(generation)
        self._generation, self._batches = generation, 0
        self._db = dbm.dumb.open(path, "n", 0o600)  # noqa: SIM115 - closed by _let_go
        self._append(self._records, new=True)
        for old in older:
            if old != generation:
                self._remove(old)

    def _append(self, records: Mapping[str, bytes], *, new: bool = False) -> None:
        assert self._db is not None
        self._db[f"{self._batches:012d}"] = encode_batch(records)
        self._batches += 1
        if new:
            path = self._path(self._generation)
            self._files = [os.open(path + ending, os.O_RDWR) for ending in (".dat", ".dir")]
        for descriptor in self._files:
            os.fsync(descriptor)
        if new:
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
            # close() would rewrite the index without a sync: what was appended stands in it already.
            self._db._modified = False  # type: ignore[attr-defined]
            with contextlib.suppress(OSError, dbm.dumb.error):
                self._db.close()
            self._db = None
