"""Snapshots of the control state: checksummed files that detect corruption, and disks restored from them.

A snapshot holds the items, the voters and the promised epochs. It includes deleted items, so that a restore
never brings back what was deleted before the snapshot. Its format is that of a batch on disk, of the release
that wrote it.
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
from leadrudder.consensus.outputs import SECTIONS, section_of
from leadrudder.consensus.state_machine import (
    INSTALLED_RECORD_PREFIX,
    ITEM_RECORD_PREFIX,
    PROMISED_RECORD_PREFIX,
    VOTERS_RECORD,
)
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.storage.store import CorruptStoreError, DbmStore, DiskError, decode_batch, encode_batch

META_RECORD = "meta"
_FILE_NAME = re.compile(r"[0-9]{8}T[0-9]{6}Z-[0-9]{4}\.snapshot")
# The epochs and incarnations that a restore skips, as lost disks may have held higher ones.
RESTORE_HEADROOM = 1 << 20


@dataclass(slots=True)
class Snapshot:
    """The content of a snapshot or of a machine's disk.  taken_s: seconds since 1970; 0: unknown.

    installed: of a disk, by section, the latest claim whose complete state is on it.
    """

    item_store: ItemStore = field(default_factory=ItemStore)
    voter_slots: list[tuple[int, str, int]] = field(default_factory=list)  # index, holder, incarnation
    promised: dict[int, int] = field(default_factory=dict)
    installed: dict[int, int] = field(default_factory=dict)
    taken_s: float = 0.0

    def merge(self, other: Snapshot) -> None:
        """Merge another snapshot: the highest version of each item, the highest incarnations and epochs."""
        self.item_store.merge(other.item_store.items.values())
        known = {index: (incarnation, holder) for index, holder, incarnation in self.voter_slots}
        for index, holder, incarnation in other.voter_slots:
            known[index] = max(known.get(index, (0, "")), (incarnation, holder))
        self.voter_slots = [(index, holder, n) for index, (n, holder) in sorted(known.items())]
        for section, epoch in other.promised.items():
            self.promised[section] = max(epoch, self.promised.get(section, 0))
        for section, epoch in other.installed.items():
            self.installed[section] = max(epoch, self.installed.get(section, 0))
        self.taken_s = max(self.taken_s, other.taken_s)

    def discard_below(self, installed: Mapping[int, int]) -> None:
        """Discard the items that a disk had accepted alone, which the claims of the same fleet did not find.

        Epochs further below are of a fleet before an earlier restore, which those claims say nothing about.
        """
        for item in list(self.item_store.items.values()):
            epochs_below = installed.get(section_of(item.key), 0) - item.epoch
            if 0 < epochs_below < RESTORE_HEADROOM << 8:
                self.item_store.remove(item.key)

    def summary(self) -> str:
        """A one-line summary for an operator."""
        deleted = sum(item.dropped for item in self.item_store.items.values())
        when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(self.taken_s)) if self.taken_s else "a disk"
        live = len(self.item_store.items) - deleted
        return f"{when}: {live} items, {deleted} dropped, {len(self.voter_slots)} seats"


def pack(
    items: Iterable[Item],
    voter_slots: Iterable[tuple[int, str, int]],
    promised: Mapping[int, int],
    taken_s: float,
) -> bytes:
    """Encode a snapshot."""
    records = {ITEM_RECORD_PREFIX + item.key: item.SerializeToString() for item in items}
    records |= {
        f"{PROMISED_RECORD_PREFIX}{section}": str(epoch).encode() for section, epoch in promised.items()
    }
    records[VOTERS_RECORD] = json.dumps({"seats": list(map(list, voter_slots)), "full": False}).encode()
    records[META_RECORD] = json.dumps({"taken_s": taken_s}).encode()
    return encode_batch(records)


def unpack(data: bytes) -> Result[Snapshot, str]:
    """Decode a snapshot; the failure says why it is unusable."""
    try:
        records = decode_batch(data)
    except DiskError as error:
        return Failure(str(error))
    if records is None:
        return Failure("spoilt: the seal does not fit the bytes")
    if META_RECORD not in records:
        return Failure("not a snapshot")
    return read_records(records)


def read_records(records: Mapping[str, bytes]) -> Result[Snapshot, str]:
    """Decode the records of a snapshot or of a disk."""
    snapshot = Snapshot()
    name = ""
    try:
        for name, value in records.items():
            if name.startswith(ITEM_RECORD_PREFIX):
                item = Item.FromString(value)
                if ITEM_RECORD_PREFIX + item.key != name:
                    return Failure(f"record {name!r} holds another item, {item.key!r}")
                snapshot.item_store.merge([item])
            elif name.startswith(PROMISED_RECORD_PREFIX):
                snapshot.promised[int(name[len(PROMISED_RECORD_PREFIX) :])] = int(value)
            elif name.startswith(INSTALLED_RECORD_PREFIX):
                snapshot.installed[int(name[len(INSTALLED_RECORD_PREFIX) :])] = int(value)
            elif name == VOTERS_RECORD:
                snapshot.voter_slots = [
                    (int(i), str(h), int(n)) for i, h, n, *_ in json.loads(value)["seats"]
                ]
            elif name == META_RECORD:
                snapshot.taken_s = float(json.loads(value)["taken_s"])
    except (ValueError, KeyError, TypeError, DecodeError):
        return Failure(f"record {name!r} cannot be read")
    return Success(snapshot)


def load_snapshot(path: str) -> Result[Snapshot, str]:
    """Load a snapshot file or the data directory of a control-plane node, which is not modified."""
    try:
        if os.path.isdir(path):
            records = DbmStore(path).peek()
            if not records:
                return Failure(f"{path}: no records")
            return read_records(records).alt(lambda why: f"{path}: {why}")
        with open(path, "rb") as file:
            return unpack(file.read()).alt(lambda why: f"{path}: {why}")
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    except (DiskError, CorruptStoreError) as error:
        return Failure(f"{path}: {error}")


def save_snapshot(folder: str, data: bytes, taken_s: float, max_kept: int) -> str:
    """Write a snapshot atomically and remove the oldest beyond `max_kept`.  Returns its path."""
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
    for name in kept[: max(0, len(kept) - max(1, max_kept))]:
        os.remove(os.path.join(folder, name))
    return path


def restored_records(sources: Iterable[Snapshot], holders: list[str]) -> dict[str, bytes]:
    """The records for each disk of a new fleet: the newest state that the sources hold together.

    holders: the link addresses of the control-plane nodes, one per voter. All disks get the same records, so
    that no majority lacks any of them. Epochs and incarnations start above any that lost disks may have held;
    a machine that returns from the old fleet then finds that its place as a voter was taken over.
    """
    sources = list(sources)
    snapshot = Snapshot()
    for source in sources:
        snapshot.merge(Snapshot(installed=source.installed))
    for source in sources:
        source.discard_below(snapshot.installed)
        snapshot.merge(source)
    highest_epoch = max(
        (*snapshot.promised.values(), *(item.epoch for item in snapshot.item_store.items.values()), 0)
    )
    epoch = ((highest_epoch >> 8) + RESTORE_HEADROOM) << 8
    incarnation = max((n for _, _, n in snapshot.voter_slots), default=0) + RESTORE_HEADROOM
    records = {}
    for key, item in snapshot.item_store.items.items():
        renewed = Item()
        renewed.CopyFrom(item)
        renewed.epoch = epoch
        records[ITEM_RECORD_PREFIX + key] = renewed.SerializeToString()
    for section in range(max((*snapshot.promised, SECTIONS - 1)) + 1):
        records[f"{PROMISED_RECORD_PREFIX}{section}"] = str(epoch).encode()
    rows = [[index, holder, incarnation] for index, holder in enumerate(holders)]
    records[VOTERS_RECORD] = json.dumps({"seats": rows, "full": True}).encode()
    return records
