"""The items that a voter has accepted, and the claims whose complete state it holds.

A claim of a section gathers the section's items from a majority and replicates them under its own epoch. Each
voter then installs them: what it had accepted under a lower epoch does not belong to the section any more and
is discarded, as a new leader truncates a log. Whatever a majority had accepted is part of the claim, so only
items that were never acknowledged are discarded, whenever the disk that holds them returns.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.outputs import SECTIONS, section_of
from leadrudder.protocol.mesh_pb2 import InstalledEpoch, Item

ITEM_RECORD_PREFIX, INSTALLED_RECORD_PREFIX = "item/", "installed/"


@dataclass(slots=True)
class AcceptedItems(ItemStore):
    """Items by key, the highest epoch of each; merging is idempotent and independent of the order.

    installed: by section, the epoch of the latest claim whose complete state is included.
    """

    sections: int = SECTIONS
    installed: dict[int, int] = field(default_factory=dict)
    _keys_by_section: dict[int, dict[str, None]] = field(default_factory=dict)

    def section_of(self, key: str) -> int:
        return section_of(key, self.sections)

    def in_section(self, section: int) -> list[Item]:
        """The items of a section, deleted ones included."""
        return [self.items[key] for key in self._keys_by_section.get(section, ())]

    def replaces(self, new: Item, old: Item | None) -> bool:
        """Whether an item replaces another: by the epoch of its owner, then by version.

        A version that an earlier owner had accepted alone gives way to the lower one that a claim found.
        """
        return old is None or (new.epoch, new.version) > (old.epoch, old.version)

    def merge(self, updates: Iterable[Item]) -> list[Item]:
        """Take over the items that are newer than the stored ones and not discarded; returns these."""
        valid = [item for item in updates if not self._is_discarded(item)]
        merged = ItemStore.merge(self, valid)
        for item in merged:
            self._keys_by_section.setdefault(self.section_of(item.key), {})[item.key] = None
        return merged

    def _is_discarded(self, item: Item) -> bool:
        return item.epoch < self.installed.get(self.section_of(item.key), 0)

    def install(self, section: int, epoch: int) -> list[str]:
        """Discard what the complete state of a claim, which was merged before, lacks; returns these keys."""
        if epoch <= self.installed.get(section, 0):
            return []
        self.installed[section] = epoch
        discarded = [item.key for item in self.in_section(section) if item.epoch < epoch]
        for key in discarded:
            self.remove(key)
            del self._keys_by_section[section][key]
        return discarded

    def merge_voter(self, items: Iterable[Item], installed: Mapping[int, int]) -> None:
        """Merge the accepted items and the installed epochs of another voter."""
        self.merge(items)
        for section, epoch in installed.items():
            self.install(section, epoch)

    def installed_epochs(self) -> list[InstalledEpoch]:
        """The installed epochs, as sent to other voters."""
        return [InstalledEpoch(section=section, epoch=epoch) for section, epoch in self.installed.items()]

    def item_records(self) -> dict[str, bytes]:
        """The records of all items."""
        return {ITEM_RECORD_PREFIX + item.key: item.SerializeToString() for item in self.items.values()}

    def installed_records(self) -> dict[str, bytes]:
        """The records of all installed epochs."""
        return {f"{INSTALLED_RECORD_PREFIX}{s}": str(epoch).encode() for s, epoch in self.installed.items()}


def epochs_by_section(installed: Iterable[InstalledEpoch]) -> dict[int, int]:
    """Installed epochs as received from another voter."""
    return {each.section: each.epoch for each in installed}


def read_accepted(records: Mapping[str, bytes], sections: int = SECTIONS) -> AcceptedItems:
    """The accepted items of a disk; the records of discarded items may still be on it."""
    accepted = AcceptedItems(sections=sections)
    for name, value in records.items():
        if name.startswith(INSTALLED_RECORD_PREFIX):
            accepted.installed[int(name[len(INSTALLED_RECORD_PREFIX) :])] = int(value)
    accepted.merge(
        Item.FromString(value) for name, value in records.items() if name.startswith(ITEM_RECORD_PREFIX)
    )
    return accepted
