"""A claim of a section: the promises of a majority, and the items that the new owner takes over from them."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.accepted import AcceptedItems
from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol.mesh_pb2 import Item, Promise


@dataclass(slots=True)
class Claim:
    """The promises that a claim of one section has received."""

    promises: Quorum = field(default_factory=Quorum)
    _by_voter: dict[str, Promise] = field(default_factory=dict)

    def add(self, voter: str, promise: Promise) -> None:
        """A voter has promised the claim's epoch and sent what it has accepted."""
        self.promises.add(voter, promise.mark)
        self._by_voter[voter] = promise

    def drop(self, voter: str) -> None:
        """Forget a promise: its voter has been restarted."""
        self.promises.drop(voter)
        self._by_voter.pop(voter, None)

    def may_discard(self) -> bool:
        """Whether all voters tell which claim they have installed; those of an earlier release do not."""
        return all(promise.HasField("installed") for promise in self._by_voter.values())

    def found_items(self, sections: int, epoch: int) -> list[Item]:
        """Copies of the items that belong to the section, under the epoch of the claim.

        A majority has installed the latest completed claim, so one of these voters has. What the others
        accepted under a lower epoch was neither committed nor found by that claim, and may have been refused.
        """
        found = self._merged(sections) if self.may_discard() else self._merged_by_version()
        items = []
        for item in found.items.values():
            copy = Item()
            copy.CopyFrom(item)
            copy.epoch = epoch
            items.append(copy)
        return items

    def _merged(self, sections: int) -> ItemStore:
        merged = AcceptedItems(sections=sections)
        for promise in self._by_voter.values():
            merged.merge_voter(promise.items, {promise.section: promise.installed})
        return merged

    def _merged_by_version(self) -> ItemStore:
        """As earlier releases do: the highest version of each item, whether or not a claim has found it."""
        merged = ItemStore()
        for promise in self._by_voter.values():
            merged.merge(promise.items)
        return merged
