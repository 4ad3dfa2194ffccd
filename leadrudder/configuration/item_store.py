"""What a process knows of the control state: items whose versions only ever rise.

Every question is answered from an index that merging keeps up to date, so that a change costs what it
changes, however much else is known.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedDict

from leadrudder.configuration.items import EVACUATION_PREFIX, LIMITS_KEY, ROUTE_PREFIX, SERVICE_PREFIX
from leadrudder.protocol.mesh_pb2 import Item


def newer(new: Item, old: Item | None) -> bool:
    """Whether an item replaces another: by its version, and for one version by its owner's epoch."""
    return old is None or (new.version, new.epoch) > (old.version, old.epoch)


def hash64(text: str) -> int:
    """64 bits that tell texts apart, also when those of several are added up bit by bit.

    A CRC does not, as it is linear: two items with each other's versions had the digest of the two as they
    should be.
    """
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def digest(items: Iterable[Item]) -> int:
    """Order does not count; equal sets have equal digests, others in all likelihood not."""
    total = 0
    for item in items:
        total ^= hash64(f"{item.key}|{item.version}|{item.epoch}")
    return total


KEY_RANGES = 64  # of keys, each with a digest of its own


def range_of(key: str) -> int:
    """The range that a key falls into: the same in every process and release."""
    return (zlib.crc32(key.encode()) >> 8) % KEY_RANGES


def kind_of(key: str) -> str:
    """The prefix that tells what kind of item a key is of, such as `routes/`; the key itself without one."""
    kind, slash, _ = key.partition("/")
    return kind + slash


@dataclass(slots=True)
class ItemStore:
    """Items by key; take() merges, so late and doubled news change nothing."""

    items: dict[str, Item] = field(default_factory=dict)
    digest: int = 0
    range_digests: list[int] = field(default_factory=lambda: [0] * KEY_RANGES)  # the same by range of keys
    _keys_by_range: dict[int, dict[str, None]] = field(default_factory=dict)
    _standing_by_kind: dict[str, SortedDict[str, Item]] = field(default_factory=dict)

    def merge(self, news: Iterable[Item]) -> list[Item]:
        """Merge; returns what was new."""
        taken = []
        for item in news:
            old = self.items.get(item.key)
            if newer(item, old):
                self._replace(item, old)
                taken.append(item)
        return taken

    def _replace(self, item: Item, old: Item | None) -> None:
        change = digest([item]) ^ (digest([old]) if old is not None else 0)
        at = range_of(item.key)
        self.digest ^= change
        self.range_digests[at] ^= change
        self.items[item.key] = item
        self._keys_by_range.setdefault(at, {})[item.key] = None
        kind = kind_of(item.key)
        standing = self._standing_by_kind.get(kind)
        if standing is None:
            standing = self._standing_by_kind[kind] = SortedDict()
        if item.dropped:
            standing.pop(item.key[len(kind) :], None)
        else:
            standing[item.key[len(kind) :]] = item

    def live_items(self, kind: str) -> Mapping[str, Item]:
        """Items of one kind that were not dropped, by name and in the order of names; a live view."""
        standing: Mapping[str, Item] = self._standing_by_kind.get(kind, _NONE_STANDING)
        return standing

    def items_in_ranges(self, ranges: Iterable[int]) -> list[Item]:
        """All items, dropped ones included, whose keys fall into these ranges."""
        return [self.items[key] for at in ranges for key in self._keys_by_range.get(at, ())]

    def items_in_differing_ranges(self, digests: Iterable[int]) -> list[Item]:
        """Items of the ranges whose digests differ from these, which another process has told."""
        differ = [
            at for at, theirs in enumerate(digests) if at < KEY_RANGES and theirs != self.range_digests[at]
        ]
        return self.items_in_ranges(differ)

    def as_configuration(self) -> dict[str, Any]:
        """All items that stand, as the first call lays them out."""
        out: dict[str, Any] = {
            "routes": {name: json.loads(item.value) for name, item in self.live_items(ROUTE_PREFIX).items()},
            "services": {
                name: json.loads(item.value) for name, item in self.live_items(SERVICE_PREFIX).items()
            },
        }
        limits = self.items.get(LIMITS_KEY)
        if limits is not None and not limits.dropped:
            out["limits"] = json.loads(limits.value)
        return out

    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose servers are to get nothing."""
        return frozenset(
            name for name, item in self.live_items(EVACUATION_PREFIX).items() if item.value == b"1"
        )


_NONE_STANDING: Mapping[str, Item] = {}
