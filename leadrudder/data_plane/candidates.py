"""The servers that a route's requests may go to, and how far away each is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from leadrudder.interface import ServerEntry


class Distance(Enum):
    """Where a server is, seen from a node.  The value is its weight in the starting vector.

    A call to the server beside the node itself crosses no link of the mesh, and bytes between zones are dear.
    """

    LOCAL = 60.0
    SAME_ZONE = 30.0
    OTHER_ZONE = 1.0


@dataclass(frozen=True, slots=True)
class Candidates:
    """The servers that may be drawn, by name.  entries: the same for the decision module.

    Worked out once, and shared by all balancers that draw among the same servers.
    """

    servers: Mapping[str, Distance]
    entries: tuple[ServerEntry, ...]

    @classmethod
    def from_servers(cls, servers: Mapping[str, Distance]) -> Candidates:
        entries = tuple(
            ServerEntry(name.encode(), capacity_hint=distance.value)
            for name, distance in sorted(servers.items())
        )
        return cls(servers, entries)
