"""Home stations: in each zone one station hears of a service's servers and tells the others there. No I/O.

Who is home follows from the members of the zone alone: the first in an order that hangs on the service and
the names, so all agree without talking, and one that goes moves its services only. A station asks the first
that it can reach; that one, whether it knows that it is home or not, asks a signalbox. Where nobody in the
zone answers, it asks a signalbox itself.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import Node

UNREACHABLE_S = 3.0  # one that could not be reached, or told that it knows nothing, is passed over so long


def without_servers(node: Node) -> Node:
    """The same entry without its servers and counts: who is there, for everybody."""
    entry = Node()
    entry.CopyFrom(node)
    del entry.servers[:]
    del entry.tallies[:]
    return entry


def of_services(nodes: Iterable[Node], services: frozenset[str]) -> list[Node]:
    """Entries of stations beside such servers, also where a server has just gone; without their counts."""
    return [_without_counts(node) for node in nodes if node.service in services]


def _without_counts(node: Node) -> Node:
    if not node.tallies:
        return node
    entry = Node()
    entry.CopyFrom(node)
    del entry.tallies[:]
    return entry


def relay_order(service: str, members: Iterable[Node], zone: str) -> list[Node]:
    """The zone's stations in the order in which they are home for a service."""
    near = [node for node in members if node.zone == zone and not node.gone]
    return sorted(near, key=lambda node: (zlib.crc32(f"{service}|{node.name}".encode()), node.name))


@dataclass(slots=True)
class ZoneRelays:
    """A station's choice of whom to ask.  name, zone: its own; times are seconds."""

    name: str
    zone: str
    unreachable: dict[str, float] = field(default_factory=dict)  # addresses that are passed over, until when
    dependents: dict[str, int] = field(default_factory=dict)  # services that others ask us for, by how many
    _members: list[Node] | None = None  # those that the orders below are of
    _orders: dict[str, list[Node]] = field(default_factory=dict)  # by service

    def mark_unreachable(self, address: str, now: float) -> None:
        self.unreachable[address] = now + UNREACHABLE_S

    def sources_for(self, services: Iterable[str], members: list[Node], now: float) -> dict[str, set[str]]:
        """What to ask whom: services by the address of a station, or by "" for our signalbox.

        members: the same list for as long as they are the same, as the orders that follow from it are kept.
        """
        if members is not self._members:
            self._members = members
            self._orders.clear()
        self.unreachable = {address: until for address, until in self.unreachable.items() if until > now}
        ask: dict[str, set[str]] = {}
        for service in {*services, *self.dependents}:
            ask.setdefault(self._source(service, members), set()).add(service)
        return ask

    def _source(self, service: str, members: list[Node]) -> str:
        if service in self.dependents:
            return ""  # others rest on us: what we tell them must not come round
        ordered = self._orders.get(service)
        if ordered is None:
            ordered = self._orders[service] = relay_order(service, members, self.zone)
        for node in ordered:
            if node.name == self.name:
                return ""
            if node.address not in self.unreachable:
                return node.address
        return ""
