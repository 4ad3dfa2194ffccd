"""Membership of the fleet: listed servers, and removed ones that still have outstanding calls.

Listed servers have an index; the last one takes the index of a removed one, so that the cost of an update
follows the number of changes.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from leadrudder.interface import ListKind, Readiness, ServerEntry, ServerId, ServerList
from leadrudder.state.records import ClassHealth, Server


@dataclass(slots=True)
class ListChange:
    """Effect of a server list or of an incremental update."""

    joined: list[Server] = field(default_factory=list)
    left: list[Server] = field(default_factory=list)
    changed: list[Server] = field(default_factory=list)  # listed before and now, with a different entry
    restarted: list[Server] = field(default_factory=list)  # new processes, among the changed and joined ones
    placement_changed: bool = False  # a changed one has another kind, zone or capacity hint


class ListedServers:
    """All servers that are listed or have outstanding calls."""

    def __init__(self, classes: int) -> None:
        self._shared_class_health = [ClassHealth() for _ in range(classes)]
        self.servers: dict[ServerId, Server] = {}
        self.by_position: list[Server] = []  # the listed servers, by index
        self._removed: dict[ServerId, Server] = {}  # removed from the list, perhaps with outstanding calls

    def apply(self, event: ServerList, now: float) -> ListChange:
        """Apply a full list or an incremental update; of duplicate entries the last counts.

        The caller adds the joined servers to by_position, and removes from it those that left.
        """
        change = ListChange()
        entries = {entry.server: entry for entry in event.entries}
        for entry in entries.values():
            self._apply_entry(entry, change, now)
        if event.kind is not ListKind.CHANGES:
            missing = [server for name, server in self.servers.items() if name not in entries]
            for server in missing:
                self._remove_from_list(server, change)
        self._drop_removed()
        return change

    def _apply_entry(self, entry: ServerEntry, change: ListChange, now: float) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry, self._shared_class_health, listed=False)
            change.restarted.append(server)
        elif entry.started_ms > server.entry.started_ms:
            change.restarted.append(server)
            server.last_heard_at = now
        old, server.entry = server.entry, entry
        if entry.readiness is not Readiness.READY:
            if server.listed:  # keep the kind and zone under which it was listed, for its removal
                server.entry = replace(old, readiness=entry.readiness, started_ms=entry.started_ms)
            self._remove_from_list(server, change)
        elif server.listed and old is not entry and old != entry:
            same_place = (old.kind, old.zone) == (entry.kind, entry.zone)
            change.placement_changed = (
                change.placement_changed or not same_place or old.capacity_hint != entry.capacity_hint
            )
            change.changed.append(server)
        elif not server.listed:
            server.listed = True
            change.joined.append(server)

    def _remove_from_list(self, server: Server, change: ListChange) -> None:
        if server.listed:
            server.listed = False
            change.left.append(server)
        self._removed[server.entry.server] = server

    def _drop_removed(self) -> None:
        """Drop removed servers without outstanding calls; else memory grows as new server ids keep coming."""
        for name, server in list(self._removed.items()):
            if server.listed or not server.outstanding:
                del self._removed[name]
            if not server.listed and not server.outstanding:
                del self.servers[name]

    def rebuild(self, joined: list[Server]) -> None:
        """Drop servers that are no longer listed, keep the order of the others, append the joined ones."""
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
