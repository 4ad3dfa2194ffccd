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

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.outputs import SECTIONS
from leadrudder.consensus.state_machine import ITEM_RECORD, PROMISED_RECORD, SEATS_RECORD
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.storage.store import DiskError, DumbStore, Spoilt, sealed, unsealed

META_RECORD = "meta"
_FILE_NAME = re.compile(r"[0-9]{8}T[0-9]{6}Z-[0-9]{4}\.snapshot")
RESTORE_HEADROOM = (
    1 << 20
)  # epochs and incarnations that a restore leaves free: lost disks may have known higher ones


@dataclass(slots=True)
class Snapshot:
    """What a snapshot, or a machine's disk, holds.  taken_s: seconds since 1970; 0: not told."""

    item_store: ItemStore = field(default_factory=ItemStore)
    seats: list[tuple[int, str, int]] = field(default_factory=list)  # index, holder, incarnation
    promised: dict[int, int] = field(default_factory=dict)
    taken_s: float = 0.0

    def merge(self, other: Snapshot) -> None:
        """Merge: of each item the highest version, of seats and epochs the highest."""
        self.item_store.merge(other.item_store.items.values())
        known = {index: (incarnation, holder) for index, holder, incarnation in self.seats}
        for index, holder, incarnation in other.seats:
            known[index] = max(known.get(index, (0, "")), (incarnation, holder))
        self.seats = [(index, holder, n) for index, (n, holder) in sorted(known.items())]
        for section, epoch in other.promised.items():
            self.promised[section] = max(epoch, self.promised.get(section, 0))
        self.taken_s = max(self.taken_s, other.taken_s)

    def summary(self) -> str:
        """One line for an operator."""
        gone = sum(item.dropped for item in self.item_store.items.values())
        when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(self.taken_s)) if self.taken_s else "a disk"
        standing = len(self.item_store.items) - gone
        return f"{when}: {standing} items, {gone} dropped, {len(self.seats)} seats"


def pack(
    items: Iterable[Item],
    seats: Iterable[tuple[int, str, int]],
    promised: Mapping[int, int],
    taken_s: float,
) -> bytes:
    """A snapshot's bytes."""
    records = {ITEM_RECORD + item.key: item.SerializeToString() for item in items}
    records |= {f"{PROMISED_RECORD}{section}": str(epoch).encode() for section, epoch in promised.items()}
    records[SEATS_RECORD] = json.dumps({"seats": list(map(list, seats)), "full": False}).encode()
    records[META_RECORD] = json.dumps({"taken_s": taken_s}).encode()
    return sealed(records)


def unpack(data: bytes) -> Result[Snapshot, str]:
    """What a snapshot holds; else why it cannot be used."""
    try:
        records = unsealed(data)
    except DiskError as error:
        return Failure(str(error))
    if records is None:
        return Failure("spoilt: the seal does not fit the bytes")
    if META_RECORD not in records:
        return Failure("not a snapshot")
    return read_records(records)


def read_records(records: Mapping[str, bytes]) -> Result[Snapshot, str]:
    """The records of a snapshot or of a disk."""
    held = Snapshot()
    name = ""
    try:
        for name, value in records.items():
            if name.startswith(ITEM_RECORD):
                item = Item.FromString(value)
                if ITEM_RECORD + item.key != name:
                    return Failure(f"record {name!r} holds another item, {item.key!r}")
                held.item_store.merge([item])
            elif name.startswith(PROMISED_RECORD):
                held.promised[int(name[len(PROMISED_RECORD) :])] = int(value)
            elif name == SEATS_RECORD:
                held.seats = [(int(i), str(h), int(n)) for i, h, n, *_ in json.loads(value)["seats"]]
            elif name == META_RECORD:
                held.taken_s = float(json.loads(value)["taken_s"])
    except (ValueError, KeyError, TypeError, DecodeError):
        return Failure(f"record {name!r} cannot be read")
    return Success(held)


def load_snapshot(path: str) -> Result[Snapshot, str]:
    """A snapshot's file, or a signalbox's folder, which is left as it is."""
    try:
        if os.path.isdir(path):
            records = DumbStore(path).look()
            if not records:
                return Failure(f"{path}: no records")
            return read_records(records).alt(lambda why: f"{path}: {why}")
        with open(path, "rb") as file:
            return unpack(file.read()).alt(lambda why: f"{path}: {why}")
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    except (DiskError, Spoilt) as error:
        return Failure(f"{path}: {error}")


def save_snapshot(folder: str, data: bytes, taken_s: float, most: int) -> str:
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
    kept = sorted(name for name in os.listdir(folder) if _FILE_NAME.fullmatch(name))
    for name in kept[: max(0, len(kept) - max(1, most))]:
        os.remove(os.path.join(folder, name))
    return path


def restored_records(sources: Iterable[Snapshot], holders: list[str]) -> dict[str, bytes]:
    """The records of every disk of a fleet that begins anew with what the sources hold, the newest of each.

    holders: the signalboxes' link addresses, one a seat. All get the same: no majority can lack any of it.
    Epochs and incarnations begin above all that lost disks may have known, so that a machine which comes
    back from before finds that its seat has passed on.
    """
    held = Snapshot()
    for source in sources:
        held.merge(source)
    top = max((*held.promised.values(), *(item.epoch for item in held.item_store.items.values()), 0))
    epoch = ((top >> 8) + RESTORE_HEADROOM) << 8
    incarnation = max((n for _, _, n in held.seats), default=0) + RESTORE_HEADROOM
    records = {}
    for key, item in held.item_store.items.items():
        fresh = Item()
        fresh.CopyFrom(item)
        fresh.epoch = epoch
        records[ITEM_RECORD + key] = fresh.SerializeToString()
    for section in range(max((*held.promised, SECTIONS - 1)) + 1):
        records[f"{PROMISED_RECORD}{section}"] = str(epoch).encode()
    rows = [[index, holder, incarnation] for index, holder in enumerate(holders)]
    records[SEATS_RECORD] = json.dumps({"seats": rows, "full": True}).encode()
    return records
