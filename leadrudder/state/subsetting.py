"""Deterministic subsetting: assigns servers to many nodes, each server to as many nodes as any other.

The nodes form groups.  Each group orders the servers by a hash of its own, and its nodes split that order
among them.  A change of the list moves the bounds of a subset by less than one server.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left, insort

# The golden ratio spreads the offsets evenly at which the subsets of the kinds are rounded.
ROUNDING_PHASE = (math.sqrt(5.0) - 1.0) / 2.0


class SubsetAssignment:
    """One node's subset of the servers, kind by kind.

    Consistent hashing, with the next few servers on a hash ring as the subset, is too uneven: of 31 nodes
    before 51 servers one server was in the subset of one node and others in seven, and the calls at each
    were in proportion (2.3 to 4.5 in the mean).
    """

    def __init__(self, ordinal: int, nodes: int, max_group_size: int) -> None:
        """ordinal: the node's number, from 0; one of nodes or more, as a new node may have, shares a subset.

        nodes: number of nodes of the tier; max_group_size: the most nodes that a group has.
        """
        groups = max(1, math.ceil(nodes / max_group_size))
        group = ordinal % groups
        self._group = group.to_bytes(4, "big")
        self._group_size = max(1, math.ceil((nodes - group) / groups))
        self._index_in_group = ordinal // groups % self._group_size
        self._order_by_kind: dict[int, list[tuple[bytes, bytes]]] = {}

    def _sort_key(self, name: bytes) -> tuple[bytes, bytes]:
        """Sort key of a server in this group's order."""
        return hashlib.blake2b(name + self._group, digest_size=6).digest(), name

    def add(self, kind: int, name: bytes) -> None:
        insort(self._order_by_kind.setdefault(kind, []), self._sort_key(name))

    def remove(self, kind: int, name: bytes) -> None:
        """Raises KeyError or ValueError for a server that was not added."""
        order, key = self._order_by_kind[kind], self._sort_key(name)
        i = bisect_left(order, key)
        if i == len(order) or order[i] != key:
            raise ValueError(name)
        del order[i]

    def assigned(self) -> list[bytes]:
        """The servers of this node's subset, of every kind in proportion."""
        servers: list[bytes] = []
        for kind, order in self._order_by_kind.items():
            phase, size = kind * ROUNDING_PHASE % 1.0, len(order) / self._group_size
            first, last = (
                int(index * size + phase) for index in (self._index_in_group, self._index_in_group + 1)
            )
            servers += [name for _, name in order[first:last]]
        return servers
