"""A simulated discovery service: versioned lists, watches, and their failures."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from leadrudder.simulation.framing import WireMessage, WireParser, encode_chunk, encode_response
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, VirtualTransport

HEARTBEAT_S = 2.0
MAX_KEPT_VERSIONS = 64  # past versions, for changes and old lists

Row = dict[str, Any]


@dataclass
class Registry:
    """The servers of one tier and their changes by version."""

    rows: dict[str, Row] = field(default_factory=dict)
    version: int = 1
    changes: list[tuple[int, list[Row]]] = field(default_factory=list)
    past: list[tuple[int, list[Row]]] = field(default_factory=list)  # full lists

    def apply_rows(self, rows: list[Row]) -> None:
        """Starts a new version with these rows added or replaced, or removed if DELETED."""
        self.past = [*self.past[-MAX_KEPT_VERSIONS:], (self.version, self.all_rows())]
        self.version += 1
        for row in rows:
            if row["lifecycle"] == "DELETED":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
        self.changes = [*self.changes[-MAX_KEPT_VERSIONS:], (self.version, rows)]

    def all_rows(self) -> list[Row]:
        return list(self.rows.values())

    def full_list(self) -> dict[str, Any]:
        """The full list in the format of the discovery protocol."""
        return {"generation": self.version, "reset": True, "instances": self.all_rows()}

    def changes_since(self, version: int) -> dict[str, Any] | None:
        """The changes after a version, or the full list if they are not kept; None if there are none."""
        if version == self.version:
            return None
        if version > self.version or not self.changes or version < self.changes[0][0] - 1:
            return self.full_list()
        rows = [row for at, changed in self.changes if at > version for row in changed]
        return {"generation": self.version, "reset": False, "instances": rows}


class _WatchConnection(asyncio.Protocol):
    """One connection of a node; a watch once it has requested one."""

    def __init__(self, discovery: StandInDiscovery) -> None:
        self._discovery = discovery
        self._parser = WireParser(responses=False)
        self._timer: asyncio.TimerHandle | None = None
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)

    def data_received(self, data: bytes) -> None:
        for message in self._parser.feed(data):
            self._on_request(message)

    def _on_request(self, message: WireMessage) -> None:
        parts = urlsplit(message.target)
        query = parse_qs(parts.query)
        registry = self._discovery.registry
        if "watch" not in query:
            self.transport.write(encode_response(200, json.dumps(registry.full_list()).encode()))
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._discovery.watches[self] = None
        update = registry.changes_since(int(query.get("from", ["0"])[0]))
        self.send_line(json.dumps(update).encode() if update is not None else b"")
        self._schedule_heartbeat()

    def _schedule_heartbeat(self) -> None:
        self._timer = self._discovery.loop.call_later(HEARTBEAT_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self.send_line(b"")
        self._schedule_heartbeat()

    def send_line(self, line: bytes) -> None:
        """Sends one line of the watch; an empty line is a heartbeat."""
        self.transport.write(encode_chunk(line + b"\n"))

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery.watches.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()


class StandInDiscovery:
    """One discovery process; several may serve the same registry."""

    def __init__(self, loop: VirtualLoop, address: Address, registry: Registry) -> None:
        self.loop = loop
        self.address = address
        self.registry = registry
        self.watches: dict[_WatchConnection, None] = {}
        self._server = loop.network.listen(loop, lambda: _WatchConnection(self), address)

    def announce(self) -> None:
        """Sends the changes of the latest version to all watches."""
        _, rows = self.registry.changes[-1]
        self._broadcast({"generation": self.registry.version, "reset": False, "instances": rows})

    def send_past_list(self, versions_back: int) -> None:
        """Sends an old full list, as a lagging replica does."""
        past = self.registry.past
        if past:
            version, rows = past[-1 - versions_back % len(past)]
            self._broadcast({"generation": version, "reset": True, "instances": rows})

    def send_current_list(self) -> None:
        self._broadcast(self.registry.full_list())

    def send_garbage(self) -> None:
        for watch in list(self.watches):
            watch.send_line(b'{"generation": 1, "instances": [{"instanceId"')

    def _broadcast(self, line: dict[str, Any]) -> None:
        data = json.dumps(line).encode()
        for watch in list(self.watches):
            watch.send_line(data)

    def stop_serving(self) -> None:
        """Resets open watches and refuses new connections."""
        self._server.close()
        for watch in list(self.watches):
            watch.transport.abort()

    def resume_serving(self) -> None:
        if self.loop.alive and not self._server.is_serving():
            self._server = self.loop.network.listen(self.loop, lambda: _WatchConnection(self), self.address)
