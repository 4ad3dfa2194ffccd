"""Versions that an owner keeps for calls over several sections until these are applied or withdrawn.

Both are in memory only: an owner that is lost has promised nothing for a call that it has not applied, and
the next owner refuses what it has not reserved itself. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import Item

RESERVATION_S = 1.0  # a checked version stays reserved for its call
WITHDRAWAL_S = 3.0  # delayed requests of a withdrawn call are rejected


@dataclass(slots=True)
class Reservations:
    """The reserved versions of one owner, and the calls that another owner has refused."""

    _reserved: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)  # call id and expiry
    _withdrawn: dict[int, float] = field(default_factory=dict)  # expiry, by call id

    def reserve(self, items: Iterable[Item], now: float) -> None:
        """Reserve versions, but none for a withdrawn call: it may be checked again, never applied."""
        for item in items:
            if item.call not in self._withdrawn:
                self._reserved[item.key, item.version] = (item.call, now + RESERVATION_S)

    def is_reserved(self, item: Item) -> bool:
        """Whether the item's version is reserved for the item's own call."""
        return self._reserved.get((item.key, item.version), (0, 0.0))[0] == item.call

    def is_reserved_for_another(self, item: Item) -> bool:
        """Whether the item's version is reserved for another call."""
        return self._reserved.get((item.key, item.version), (item.call, 0.0))[0] != item.call

    def release(self, item: Item) -> None:
        """The item is taken: its version needs no reservation any more."""
        self._reserved.pop((item.key, item.version), None)

    def withdraw(self, items: Iterable[Item], now: float) -> None:
        """Drop the reservations of a call that was refused, and accept none for it for a while."""
        for item in items:
            self._withdrawn[item.call] = now + WITHDRAWAL_S
            if self.is_reserved(item):
                self.release(item)

    def expire(self, now: float) -> None:
        """Forget what has expired."""
        for version in [v for v, (_, until) in self._reserved.items() if now >= until]:
            del self._reserved[version]
        for call in [c for c, until in self._withdrawn.items() if now >= until]:
            del self._withdrawn[call]
