"""Snapshots of the control state: sealed files, told when spoilt, and disks made from them.

A snapshot holds items, dropped ones too, so that restoring never brings back what was dropped before it was
taken; seats; and the epochs that were promised. It has the form of a batch on disk, and its release's.
"""

from __future__ import annotations

import json
import os
import re
import tempfile
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from leadrudder.configuration.item_store import Book
from leadrudder.consensus.outputs import SECTIONS
from leadrudder.consensus.state_machine import ITEM_RECORD_PREFIX, PROMISED_RECORD_PREFIX, VOTERS_RECORD
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.storage.store import CorruptStoreError, DbmStore, DiskError, decode_batch, encode_batch

META = "meta"
_NAME = re.compile(r"[0-9]{8}T[0-9]{6}Z-[0-9]{4}\.snapshot")
AHEAD = 1 << 20  # epochs and incarnations that a restore leaves free: lost disks may have known higher ones


@dataclass(slots=True)
class Snapshot:
    """What a snapshot, or a machine's disk, holds.  taken_s: seconds since 1970; 0: not told."""

    book: Book = field(default_factory=Book)
    seats: list[tuple[int, str, int]] = field(default_factory=list)  # index, holder, incarnation
    promised: dict[int, int] = field(default_factory=dict)
    taken_s: float = 0.0

    def take(self, other: Snapshot) -> None:
        """Merge: of each item the highest version, of seats and epochs the highest."""
        self.book.take(other.book.items.values())
        known = {index: (incarnation, holder) for index, holder, incarnation in self.seats}
        for index, holder, incarnation in other.seats:
            known[index] = max(known.get(index, (0, "")), (incarnation, holder))
        self.seats = [(index, holder, n) for index, (n, holder) in sorted(known.items())]
        for section, epoch in other.promised.items():
            self.promised[section] = max(epoch, self.promised.get(section, 0))
        self.taken_s = max(self.taken_s, other.taken_s)

    def summary(self) -> str:
        """One line for an operator."""
        gone = sum(item.dropped for item in self.book.items.values())
        when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(self.taken_s)) if self.taken_s else "a disk"
        standing = len(self.book.items) - gone
        return f"{when}: {standing} items, {gone} dropped, {len(self.seats)} seats"


def pack(
    items: Iterable[Item],
    seats: Iterable[tuple[int, str, int]],
    promised: Mapping[int, int],
    taken_s: float,
) -> bytes:
    """A snapshot's bytes."""
    records = {ITEM_RECORD_PREFIX + item.key: item.SerializeToString() for item in items}
    records |= {
        f"{PROMISED_RECORD_PREFIX}{section}": str(epoch).encode() for section, epoch in promised.items()
    }
    records[VOTERS_RECORD] = json.dumps({"seats": list(map(list, seats)), "full": False}).encode()
    records[META] = json.dumps({"taken_s": taken_s}).encode()
    return encode_batch(records)


def unpack(data: bytes) -> Result[Snapshot, str]:
    """What a snapshot holds; else why it cannot be used."""
    try:
        records = decode_batch(data)
    except DiskError as error:
        return Failure(str(error))
    if records is None:
        return Failure("spoilt: the seal does not fit the bytes")
    if META not in records:
        return Failure("not a snapshot")
    return read(records)


def read(records: Mapping[str, bytes]) -> Result[Snapshot, str]:
    """The records of a snapshot or of a disk."""
    held = Snapshot()
    name = ""
    try:
        for name, value in records.items():
            if name.startswith(ITEM_RECORD_PREFIX):
                item = Item.FromString(value)
                if ITEM_RECORD_PREFIX + item.key != name:
                    return Failure(f"record {name!r} holds another item, {item.key!r}")
                held.book.take([item])
            elif name.startswith(PROMISED_RECORD_PREFIX):
                held.promised[int(name[len(PROMISED_RECORD_PREFIX) :])] = int(value)
            elif name == VOTERS_RECORD:
                held.seats = [(int(i), str(h), int(n)) for i, h, n, *_ in json.loads(value)["seats"]]
            elif name == META:
                held.taken_s = float(json.loads(value)["taken_s"])
    except (ValueError, KeyError, TypeError, DecodeError):
        return Failure(f"record {name!r} cannot be read")
    return Success(held)


def load(path: str) -> Result[Snapshot, str]:
    """A snapshot's file, or a signalbox's folder, which is left as it is."""
    try:
        if os.path.isdir(path):
            records = DbmStore(path).peek()
            if not records:
                return Failure(f"{path}: no records")
            return read(records).alt(lambda why: f"{path}: {why}")
        with open(path, "rb") as file:
            return unpack(file.read()).alt(lambda why: f"{path}: {why}")
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    except (DiskError, CorruptStoreError) as error:
        return Failure(f"{path}: {error}")


def keep(folder: str, data: bytes, taken_s: float, most: int) -> str:
    """Put a snapshot into a folder, whole or not at all; the oldest beyond `most` go.  Returns its path."""
    os.makedirs(folder, exist_ok=True)
    stem = time.strftime("%Y%m%dT%H%M%SZ", time.gmtime(taken_s))
    paths = (os.path.join(folder, f"{stem}-{number:04d}.snapshot") for number in range(10_000))
    path = next(path for path in paths if not os.path.exists(path))
    with tempfile.NamedTemporaryFile(dir=folder, delete=False) as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(file.name, path)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    kept = sorted(name for name in os.listdir(folder) if _NAME.fullmatch(name))
    for name in kept[: max(0, len(kept) - max(1, most))]:
        os.remove(os.path.join(folder, name))
    return path


def restored(sources: Iterable[Snapshot], holders: list[str]) -> dict[str, bytes]:
    """The records of every disk of a fleet that begins anew with what the sources hold, the newest of each.

    holders: the signalboxes' link addresses, one a seat. All get the same: no majority can lack any of it.
    Epochs and incarnations begin above all that lost disks may have known, so that a machine which comes
    back from before finds that its seat has passed on.
    """
    held = Snapshot()
    for source in sources:
        held.take(source)
    top = max((*held.promised.values(), *(item.epoch for item in held.book.items.values()), 0))
    epoch = ((top >> 8) + AHEAD) << 8
    incarnation = max((n for _, _, n in held.seats), default=0) + AHEAD
    records = {}
    for key, item in held.book.items.items():
        fresh = Item()
        fresh.CopyFrom(item)
        fresh.epoch = epoch
        records[ITEM_RECORD_PREFIX + key] = fresh.SerializeToString()
    for section in range(max((*held.promised, SECTIONS - 1)) + 1):
        records[f"{PROMISED_RECORD_PREFIX}{section}"] = str(epoch).encode()
    rows = [[index, holder, incarnation] for index, holder in enumerate(holders)]
    records[VOTERS_RECORD] = json.dumps({"seats": rows, "full": True}).encode()
    return records
