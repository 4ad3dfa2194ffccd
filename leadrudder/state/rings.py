"""Dealing the members of a fleet to many nodes, so that a change of either moves few.  A plain computation.

Nodes are dealt to evenly spaced places of a ring, on which the members lie by hash, as in consistent hashing
(Karger et al., 1997); every turn of the dealing has a ring of its own, so that all members are met alike.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left, insort


class Rings:
    """The rings of one node's turn, one for each kind of member."""

    def __init__(self, ordinal: int, places: int) -> None:
        turn, place = divmod(ordinal, places)
        self._turn = turn.to_bytes(4, "big")
        self._start = place / places
        self._places = places
        self._rings: dict[int, list[tuple[float, bytes]]] = {}

    def _at(self, name: bytes) -> tuple[float, bytes]:
        """Where a member lies from this node's place onwards, in parts of a whole turn."""
        digest = hashlib.blake2b(name + self._turn, digest_size=6).digest()
        return (int.from_bytes(digest, "big") / 2**48 - self._start) % 1.0, name

    def add(self, kind: int, name: bytes) -> None:
        insort(self._rings.setdefault(kind, []), self._at(name))

    def remove(self, kind: int, name: bytes) -> None:
        """KeyError or ValueError for one that is not there."""
        ring, at = self._rings[kind], self._at(name)
        i = bisect_left(ring, at)
        if i == len(ring) or ring[i] != at:
            raise ValueError(name)
        del ring[i]

    def dealt(self) -> list[bytes]:
        """The names that fall to this node: of every kind the places-th part, rounded up."""
        return [
            name for ring in self._rings.values() for _, name in ring[: math.ceil(len(ring) / self._places)]
        ]
