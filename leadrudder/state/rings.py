"""Dealing the members of a fleet to many nodes: every member to as many nodes as any other.

Deterministic subsetting, a plain computation: the nodes form turns, every turn has an order of the members
of its own, by hash, and its nodes part that order among them.  A change of the list moves the bounds by less
than a member.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left, insort

ROUNDING_PHASE = (
    math.sqrt(5.0) - 1.0
) / 2.0  # parts of the kinds are rounded at places that are spread evenly


class SubsetAssignment:
    """One node's part, kind by kind.

    It was the next few from a place on a hash ring, as in consistent hashing: of 31 nodes before 51 servers
    one kept to one server and seven to others, and each held calls in proportion (2.3 to 4.5 in the mean).
    """

    def __init__(self, ordinal: int, nodes: int, parts: int) -> None:
        """nodes: of the tier, numbered from 0; one beyond them, as a newcomer may be, takes another's part.

        parts: a turn has so many nodes at the most.
        """
        turns = max(1, math.ceil(nodes / parts))
        turn = ordinal % turns
        self._turn = turn.to_bytes(4, "big")
        self._places = max(1, math.ceil((nodes - turn) / turns))
        self._place = ordinal // turns % self._places
        self._rings: dict[int, list[tuple[bytes, bytes]]] = {}

    def _at(self, name: bytes) -> tuple[bytes, bytes]:
        """Where a member stands in this turn's order."""
        return hashlib.blake2b(name + self._turn, digest_size=6).digest(), name

    def add(self, kind: int, name: bytes) -> None:
        insort(self._rings.setdefault(kind, []), self._at(name))

    def remove(self, kind: int, name: bytes) -> None:
        """KeyError or ValueError for one that is not there."""
        ring, at = self._rings[kind], self._at(name)
        i = bisect_left(ring, at)
        if i == len(ring) or ring[i] != at:
            raise ValueError(name)
        del ring[i]

    def assigned(self) -> list[bytes]:
        """The names that fall to this node, of every kind in proportion."""
        found: list[bytes] = []
        for kind, ring in self._rings.items():
            phase, part = kind * ROUNDING_PHASE % 1.0, len(ring) / self._places
            first, last = (int(place * part + phase) for place in (self._place, self._place + 1))
            found += [name for _, name in ring[first:last]]
        return found
