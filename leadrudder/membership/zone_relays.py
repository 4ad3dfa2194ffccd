"""Zone relays: in each zone one proxy subscribes to a service's endpoints and relays them.  No I/O.

The relay follows from the members of the zone alone: it is the first in an order by a hash of service and
name, so all proxies agree without communication, and a relay that leaves moves only its own services. A proxy
asks the first relay that it can reach; that one asks a control node, whether or not it considers itself the
relay. If no proxy in the zone answers, it asks a control node itself.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import Node

UNREACHABLE_S = 3.0  # how long a relay is skipped that was unreachable or had no data


def without_servers(node: Node) -> Node:
    """The entry without its servers and counts, as sent to all members."""
    entry = Node()
    entry.CopyFrom(node)
    del entry.servers[:]
    del entry.tallies[:]
    return entry


def of_services(nodes: Iterable[Node], services: frozenset[str]) -> list[Node]:
    """Entries of proxies of these services, even if their server has just gone; without their counts."""
    return [_without_counts(node) for node in nodes if node.service in services]


def _without_counts(node: Node) -> Node:
    if not node.tallies:
        return node
    entry = Node()
    entry.CopyFrom(node)
    del entry.tallies[:]
    return entry


def relay_order(service: str, members: Iterable[Node], zone: str) -> list[Node]:
    """The zone's proxies in order of preference as the relay of a service."""
    in_zone = [node for node in members if node.zone == zone and not node.gone]
    return sorted(in_zone, key=lambda node: (zlib.crc32(f"{service}|{node.name}".encode()), node.name))


@dataclass(slots=True)
class ZoneRelays:
    """A proxy's choice of relays.  name, zone: its own; times are seconds."""

    name: str
    zone: str
    unreachable: dict[str, float] = field(default_factory=dict)  # skipped addresses, until when
    dependents: dict[str, int] = field(default_factory=dict)  # proxies that rely on this one, by service
    _members: list[Node] | None = None  # the members that the cached orders are for
    _orders: dict[str, list[Node]] = field(default_factory=dict)  # by service

    def mark_unreachable(self, address: str, now: float) -> None:
        self.unreachable[address] = now + UNREACHABLE_S

    def sources_for(self, services: Iterable[str], members: list[Node], now: float) -> dict[str, set[str]]:
        """Services to request, by the address of the relay, or "" for the control node.

        members: must be the same list object while unchanged, as the orders derived from it are cached.
        """
        if members is not self._members:
            self._members = members
            self._orders.clear()
        self.unreachable = {address: until for address, until in self.unreachable.items() if until > now}
        by_source: dict[str, set[str]] = {}
        for service in {*services, *self.dependents}:
            by_source.setdefault(self._source(service, members), set()).add(service)
        return by_source

    def _source(self, service: str, members: list[Node]) -> str:
        if service in self.dependents:
            return ""  # others depend on this proxy; asking a relay could form a loop
        ordered = self._orders.get(service)
        if ordered is None:
            ordered = self._orders[service] = relay_order(service, members, self.zone)
        for node in ordered:
            if node.name == self.name:
                return ""
            if node.address not in self.unreachable:
                return node.address
        return ""
