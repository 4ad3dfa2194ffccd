"""The items of the control state that a process knows; the version of an item only increases.

Merging keeps indexes up to date, so that the cost of a change depends on its size and not on the size of
the store.
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
    """Whether an item replaces another: by version, then by the epoch of its owner."""
    return old is None or (new.version, new.epoch) > (old.version, old.epoch)


def hash64(text: str) -> int:
    """A 64-bit hash that stays distinctive when the hashes of several texts are combined by XOR.

    A CRC is linear and therefore does not: two items that had swapped their versions gave the same combined
    digest as the correct pair.
    """
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def digest(items: Iterable[Item]) -> int:
    """A digest of a set of items, independent of their order; different sets almost never share one."""
    total = 0
    for item in items:
        total ^= hash64(f"{item.key}|{item.version}|{item.epoch}")
    return total


KEY_RANGES = 64  # anti-entropy compares one digest per range


def range_of(key: str) -> int:
    """The index of the range that a key falls into. It must be the same in every process and release."""
    return (zlib.crc32(key.encode()) >> 8) % KEY_RANGES


def kind_of(key: str) -> str:
    """The prefix of a key that names the kind of item, such as `routes/`; the whole key if it has none."""
    kind, slash, _ = key.partition("/")
    return kind + slash


@dataclass(slots=True)
class ItemStore:
    """Items by key. merge() is idempotent, so late and duplicate updates change nothing."""

    items: dict[str, Item] = field(default_factory=dict)
    digest: int = 0
    range_digests: list[int] = field(default_factory=lambda: [0] * KEY_RANGES)  # one digest per key range
    _keys_by_range: dict[int, dict[str, None]] = field(default_factory=dict)
    _live_by_kind: dict[str, SortedDict[str, Item]] = field(default_factory=dict)

    def replaces(self, new: Item, old: Item | None) -> bool:
        """Whether an item replaces the stored one."""
        return newer(new, old)

    def merge(self, updates: Iterable[Item]) -> list[Item]:
        """Take over the items that are newer than the stored ones; returns these."""
        merged = []
        for item in updates:
            old = self.items.get(item.key)
            if self.replaces(item, old):
                self._replace(item, old)
                merged.append(item)
        return merged

    def remove(self, key: str) -> None:
        """Forget a stored item; unlike a deletion it may be merged again."""
        item = self.items.pop(key)
        index = range_of(key)
        change = digest([item])
        self.digest ^= change
        self.range_digests[index] ^= change
        del self._keys_by_range[index][key]
        kind = kind_of(key)
        self._live_by_kind[kind].pop(key[len(kind) :], None)

    def _replace(self, item: Item, old: Item | None) -> None:
        change = digest([item]) ^ (digest([old]) if old is not None else 0)
        index = range_of(item.key)
        self.digest ^= change
        self.range_digests[index] ^= change
        self.items[item.key] = item
        self._keys_by_range.setdefault(index, {})[item.key] = None
        kind = kind_of(item.key)
        live = self._live_by_kind.get(kind)
        if live is None:
            live = self._live_by_kind[kind] = SortedDict()
        if item.dropped:
            live.pop(item.key[len(kind) :], None)
        else:
            live[item.key[len(kind) :]] = item

    def live_items(self, kind: str) -> Mapping[str, Item]:
        """Items of one kind that are not deleted, sorted by name; a view that follows later merges."""
        live: Mapping[str, Item] = self._live_by_kind.get(kind, _NO_ITEMS)
        return live

    def items_in_ranges(self, ranges: Iterable[int]) -> list[Item]:
        """All items whose keys fall into these ranges, deleted ones included."""
        return [self.items[key] for index in ranges for key in self._keys_by_range.get(index, ())]

    def items_in_differing_ranges(self, digests: Iterable[int]) -> list[Item]:
        """Items of the ranges whose digests differ from those that another process has sent."""
        differing = [
            index
            for index, theirs in enumerate(digests)
            if index < KEY_RANGES and theirs != self.range_digests[index]
        ]
        return self.items_in_ranges(differing)

    def as_configuration(self) -> dict[str, Any]:
        """All items that are not deleted, in the layout of a configuration document."""
        configuration: dict[str, Any] = {
            "routes": {name: json.loads(item.value) for name, item in self.live_items(ROUTE_PREFIX).items()},
            "services": {
                name: json.loads(item.value) for name, item in self.live_items(SERVICE_PREFIX).items()
            },
        }
        limits = self.items.get(LIMITS_KEY)
        if limits is not None and not limits.dropped:
            configuration["limits"] = json.loads(limits.value)
        return configuration

    def evacuation_versions(self) -> dict[str, int]:
        """The version of the last order for each zone that was ever evacuated."""
        return {name: item.version for name, item in self.live_items(EVACUATION_PREFIX).items()}

    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose servers are to get no requests."""
        return frozenset(
            name for name, item in self.live_items(EVACUATION_PREFIX).items() if item.value == b"1"
        )


_NO_ITEMS: Mapping[str, Item] = {}
