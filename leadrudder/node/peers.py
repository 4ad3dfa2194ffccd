"""The table of listed servers, by id and by address, which all upstreams share.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from leadrudder.interface import Readiness, ServerId
from leadrudder.node.lists import Address, EndpointUpdate


class ListedEndpoint(Protocol):
    """A server process from the endpoint list."""

    address: Address
    started_ms: float
    current: bool  # False once drained, gone or restarted


EndpointT = TypeVar("EndpointT", bound=ListedEndpoint)


class EndpointTable(Generic[EndpointT]):
    """The listed servers of one upstream.

    create: makes an endpoint from its name, address and start time.  on_dropped: called with each endpoint
    that is no longer listed as it was.
    """

    def __init__(
        self,
        create: Callable[[str, Address, float], EndpointT],
        on_dropped: Callable[[ServerId, EndpointT], None],
    ) -> None:
        self.endpoints: dict[ServerId, EndpointT] = {}
        self._create = create
        self._on_dropped = on_dropped
        self._by_address: dict[Address, ServerId] = {}

    def update(self, update: EndpointUpdate) -> list[ServerId]:
        """Apply an update; a server with a new address or start time becomes a new endpoint.

        Its old connections lead to a dead process.  Returns the servers whose address now belongs to another
        server: a request sent there under the old name would reach the new, cold server.
        """
        if update.is_snapshot:
            listed = {entry.server for entry in update.entries}
            for server in [server for server in self.endpoints if server not in listed]:
                self._drop(server)
        replaced: list[ServerId] = []
        for entry in update.entries:
            if entry.readiness is not Readiness.READY:
                self._drop(entry.server)
                continue
            address = update.addresses[entry.server]
            other_server = self._by_address.get(address)
            if other_server is not None and other_server != entry.server:
                outdated = (
                    entry.server
                    if self.endpoints[other_server].started_ms > entry.started_ms
                    else other_server
                )
                self._drop(outdated)
                replaced.append(outdated)
                if outdated == entry.server:
                    continue
            endpoint = self.endpoints.get(entry.server)
            if endpoint is None or endpoint.address != address or endpoint.started_ms != entry.started_ms:
                self._drop(entry.server)
                name = entry.server.decode(errors="replace")
                self.endpoints[entry.server] = self._create(name, address, entry.started_ms)
                self._by_address[address] = entry.server
        return replaced

    def _drop(self, server: ServerId) -> None:
        endpoint = self.endpoints.pop(server, None)
        if endpoint is not None:
            endpoint.current = False
            if self._by_address.get(endpoint.address) == server:
                del self._by_address[endpoint.address]
            self._on_dropped(server, endpoint)
