"""The servers that a list has named, by id and by address: what every upstream follows alike.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from leadrudder.interface import Readiness, ServerId
from leadrudder.node.lists import Address, EndpointUpdate


class ListedEndpoint(Protocol):
    """A server process as it is listed."""

    address: Address
    started_ms: float
    current: bool  # False once drained, gone or restarted


EndpointT = TypeVar("EndpointT", bound=ListedEndpoint)


class EndpointTable(Generic[EndpointT]):
    """The listed servers of one upstream.

    make: a peer by its name, address and start; dropped: called with each that is listed no more as it was.
    """

    def __init__(
        self, make: Callable[[str, Address, float], EndpointT], dropped: Callable[[ServerId, EndpointT], None]
    ) -> None:
        self.endpoints: dict[ServerId, EndpointT] = {}
        self._make = make
        self._dropped = dropped
        self._by_address: dict[Address, ServerId] = {}

    def update(self, listing: EndpointUpdate) -> list[ServerId]:
        """Follow the list: with another address or start time old connections lead to a dead process.

        Returns the servers whose address is another's now.  What is sent there by the old name would meet the
        new server, which is cold.
        """
        if listing.is_snapshot:
            named = {entry.server for entry in listing.entries}
            for server in [server for server in self.endpoints if server not in named]:
                self._drop(server)
        replaced: list[ServerId] = []
        for entry in listing.entries:
            if entry.readiness is not Readiness.READY:
                self._drop(entry.server)
                continue
            address = listing.addresses[entry.server]
            rival = self._by_address.get(address)
            if rival is not None and rival != entry.server:
                older = entry.server if self.endpoints[rival].started_ms > entry.started_ms else rival
                self._drop(older)
                replaced.append(older)
                if older == entry.server:
                    continue
            peer = self.endpoints.get(entry.server)
            if peer is None or peer.address != address or peer.started_ms != entry.started_ms:
                self._drop(entry.server)
                name = entry.server.decode(errors="replace")
                self.endpoints[entry.server] = self._make(name, address, entry.started_ms)
                self._by_address[address] = entry.server
        return replaced

    def _drop(self, server: ServerId) -> None:
        peer = self.endpoints.pop(server, None)
        if peer is not None:
            peer.current = False
            if self._by_address.get(peer.address) == server:
                del self._by_address[peer.address]
            self._dropped(server, peer)
