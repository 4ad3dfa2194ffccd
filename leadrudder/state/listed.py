"""The servers that discovery lists, and those that still hold calls of ours: bookkeeping of server lists.

Readable by index; a server that has gone gives its index to the last one, so that a change costs no more than
what changed.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from leadrudder.interface import ListKind, Readiness, ServerEntry, ServerId, ServerList
from leadrudder.state.records import ClassHealth, Server


@dataclass(slots=True)
class ListChange:
    """What a list has changed."""

    joined: list[Server] = field(default_factory=list)
    left: list[Server] = field(default_factory=list)
    changed: list[Server] = field(default_factory=list)  # listed before and now, with another entry
    restarted: list[Server] = field(default_factory=list)  # new processes, among those or joined
    placement_changed: bool = False  # one that is listed before and now has another kind, zone or weight


class ListedServers:
    """All servers that are listed or hold calls."""

    def __init__(self, classes: int) -> None:
        self._untouched = [ClassHealth() for _ in range(classes)]
        self.servers: dict[ServerId, Server] = {}
        self.by_position: list[Server] = []  # those listed, each at its index
        self._gone: dict[ServerId, Server] = {}  # those that still held calls when they went

    def apply(self, event: ServerList, now: float) -> ListChange:
        """Follow a list or changes of one; an entry that is there twice counts as the last says.

        Who joins and leaves is told, and is put in and taken out of the arms by the caller.
        """
        change = ListChange()
        entries = {entry.server: entry for entry in event.entries}
        for entry in entries.values():
            self._take(entry, change, now)
        if event.kind is not ListKind.CHANGES:
            gone = [server for name, server in self.servers.items() if name not in entries]
            for server in gone:
                self._unlist(server, change)
        self._forget()
        return change

    def _take(self, entry: ServerEntry, change: ListChange, now: float) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry, self._untouched, listed=False)
            change.restarted.append(server)
        elif entry.started_ms > server.entry.started_ms:
            change.restarted.append(server)
            server.last_heard_at = now
        old, server.entry = server.entry, entry
        if entry.readiness is not Readiness.READY:
            if server.listed:  # it is taken out from where it was listed, whatever its last entry says
                server.entry = replace(old, readiness=entry.readiness, started_ms=entry.started_ms)
            self._unlist(server, change)
        elif server.listed and old is not entry and old != entry:
            placed = (old.kind, old.zone) == (entry.kind, entry.zone)
            change.placement_changed = (
                change.placement_changed or not placed or old.capacity_hint != entry.capacity_hint
            )
            change.changed.append(server)
        elif not server.listed:
            server.listed = True
            change.joined.append(server)

    def _unlist(self, server: Server, change: ListChange) -> None:
        if server.listed:
            server.listed = False
            change.left.append(server)
        self._gone[server.entry.server] = server

    def _forget(self) -> None:
        """What has gone and holds no call is forgotten: over a long day new ids come without end."""
        for name, server in list(self._gone.items()):
            if server.listed or not server.outstanding:
                del self._gone[name]
            if not server.listed and not server.outstanding:
                del self.servers[name]

    def rebuild(self, joined: list[Server]) -> None:
        """Take out all that are listed no more, the others keeping their order, and put these behind them."""
        for server in self.by_position:
            server.position = -1
        self.by_position[:] = [server for server in self.by_position if server.listed] + joined
        for i, server in enumerate(self.by_position):
            server.position = i

    def append_server(self, server: Server) -> None:
        server.position = len(self.by_position)
        self.by_position.append(server)

    def remove_by_swap(self, server: Server) -> None:
        last = self.by_position.pop()
        if last is not server:
            self.by_position[server.position] = last
            last.position = server.position
        server.position = -1
