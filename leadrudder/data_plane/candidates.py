"""The servers to which the requests of a route may go, with their distances."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from leadrudder.interface import ServerEntry


class Distance(Enum):
    """The location of a server relative to a node.  The value is its weight in the initial probabilities.

    A call to the local server uses no link of the mesh, and traffic between zones is costly.
    """

    LOCAL = 60.0
    SAME_ZONE = 30.0
    OTHER_ZONE = 1.0


@dataclass(frozen=True, slots=True)
class Candidates:
    """The servers that may be selected, by name.  entries: the same for the policy module.

    Computed once and shared by all load balancers that select among the same servers.
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
