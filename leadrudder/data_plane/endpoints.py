"""Endpoints: the servers that calls may be sent to, by service.  No I/O.

The table is updated incrementally: news of one node touches only the endpoints of that node.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import Node


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server, and the name and address of the data-plane node through which alone it is reached."""

    server: str
    service: str
    zone: str
    draining: bool
    node: str
    address: str


def endpoints_of(entry: Node | None, member: Node | None) -> tuple[Endpoint, ...]:
    """The endpoints of a node by its newest entry; none unless it is a member.

    entry: with servers; member: its membership.  A membership of a later incarnation makes the entry stale.
    """
    if entry is None or member is None or member.gone or member.life > entry.life:
        return ()
    return tuple(
        Endpoint(server.id, server.service, server.zone, server.draining, entry.name, entry.address)
        for server in entry.servers
    )


@dataclass(slots=True)
class EndpointTable:
    """Endpoints by node, by service and by server."""

    _by_node: dict[str, tuple[Endpoint, ...]] = field(default_factory=dict)
    _by_service: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    _by_server: dict[str, Endpoint] = field(default_factory=dict)

    def replace(self, node: str, endpoints: tuple[Endpoint, ...]) -> set[str]:
        """Replace the endpoints of a node; returns the services whose endpoints have changed."""
        before = self._by_node.get(node, ())
        if endpoints == before:
            return set()
        for old in before:
            self._remove(old)
        for new in endpoints:
            self._by_service.setdefault(new.service, {})[new.server] = new
            self._by_server[new.server] = new
        if endpoints:
            self._by_node[node] = endpoints
        else:
            del self._by_node[node]
        return {endpoint.service for endpoint in (*before, *endpoints)}

    def _remove(self, endpoint: Endpoint) -> None:
        if self._by_server.get(endpoint.server) is endpoint:
            del self._by_server[endpoint.server]
        servers = self._by_service.get(endpoint.service, {})
        if servers.get(endpoint.server) is endpoint:
            del servers[endpoint.server]
            if not servers:
                del self._by_service[endpoint.service]

    def server(self, name: str) -> Endpoint | None:
        return self._by_server.get(name)

    def of_service(self, service: str) -> Iterable[Endpoint]:
        return self._by_service.get(service, _NONE).values()

    def services(self) -> set[str]:
        """Services that have an endpoint."""
        return set(self._by_service)


_NONE: Mapping[str, Endpoint] = {}
