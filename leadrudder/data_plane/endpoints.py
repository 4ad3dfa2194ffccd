"""The servers that calls may go to, by service.  No I/O.

The table is kept by change: one station's news touches that station's servers and no others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import Node


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server, and the address of the station beside it, through which alone it is reached."""

    server: str
    service: str
    zone: str
    draining: bool
    node: str
    address: str


def endpoints_of(entry: Node | None, member: Node | None) -> tuple[Endpoint, ...]:
    """The servers of a station by its newest entry; none unless it is a member since that life or earlier.

    entry: with servers; member: its membership.
    """
    if entry is None or member is None or member.gone or member.life > entry.life:
        return ()
    return tuple(
        Endpoint(server.id, server.service, server.zone, server.draining, entry.name, entry.address)
        for server in entry.servers
    )


@dataclass(slots=True)
class EndpointTable:
    """Endpoints by station, by service and by server."""

    _by_station: dict[str, tuple[Endpoint, ...]] = field(default_factory=dict)
    _by_service: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    _by_server: dict[str, Endpoint] = field(default_factory=dict)

    def replace(self, station: str, endpoints: tuple[Endpoint, ...]) -> set[str]:
        """Take in what a station now has; returns the services whose servers have changed."""
        before = self._by_station.get(station, ())
        if endpoints == before:
            return set()
        for old in before:
            self._remove(old)
        for new in endpoints:
            self._by_service.setdefault(new.service, {})[new.server] = new
            self._by_server[new.server] = new
        if endpoints:
            self._by_station[station] = endpoints
        else:
            del self._by_station[station]
        return {each.service for each in (*before, *endpoints)}

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
        """Those that have any server."""
        return set(self._by_service)


_NONE: Mapping[str, Endpoint] = {}
