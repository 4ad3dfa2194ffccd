"""The server list as nodes see it: discovery lags behind the servers, and nodes lag behind discovery."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from leadrudder.experiment.clock import Clock
from leadrudder.experiment.draw import as_float
from leadrudder.experiment.node import Node
from leadrudder.experiment.server import Server
from leadrudder.experiment.spec import Lists
from leadrudder.interface import ListKind, Readiness, ServerEntry, ServerList

LIST_REQUEST_MS = 1.0  # from a node's request to the list


class Registry:
    """The list of one tier's servers."""

    def __init__(self, clock: Clock, lists: Lists, rng: random.Random, *, tells_capacity: bool) -> None:
        self._clock, self._rng, self._tells_capacity = clock, rng, tells_capacity
        self._notice_ms = 1000.0 * as_float(lists.notice_s)
        self._silent_notice_ms = 1000.0 * as_float(lists.silent_notice_s)
        self._add_ms = 1000.0 * as_float(lists.add_s)
        self._period_ms = as_float(lists.period_ms)
        self._spread_ms = as_float(lists.spread_ms)
        self._lists_on_request = lists.asked
        self._version = 1
        self._published: dict[bytes, ServerEntry] = {}
        self._all_cached: tuple[ServerEntry, ...] | None = None
        self._nodes: dict[Node, None] = {}
        self._pending: dict[bytes, int] = {}  # newest change of each server; older ones are dropped
        self._last_change = 0

    def publish_initial(self, servers: Iterable[Server]) -> None:
        """List servers that are there from the start, without delay."""
        for server in servers:
            self._published[server.name] = server.list_entry(tells_capacity=self._tells_capacity)

    def add_node(self, node: Node) -> None:
        """Add a started node. It gets the list at once where lists are pushed, else a cached one."""
        self._nodes[node] = None
        if self._lists_on_request:
            node.deliver(ServerList(ListKind.CACHED, self._all_entries(), self._version))
        else:
            node.deliver(ServerList(ListKind.FULL, self._all_entries(), self._version))

    def send_full_list(self, node: Node) -> None:
        """Answer a node's request with the full list."""
        self._clock.after(LIST_REQUEST_MS, self._send_full_list, node)

    def _send_full_list(self, node: Node) -> None:
        if node.alive:
            node.deliver(ServerList(ListKind.FULL, self._all_entries(), self._version))

    def _all_entries(self) -> tuple[ServerEntry, ...]:
        if self._all_cached is None:
            self._all_cached = tuple(self._published.values())
        return self._all_cached

    def publish_change(self, server: Server, readiness: Readiness, *, silent: bool = False) -> None:
        """Publish a change of a server, after the time that discovery takes to notice it."""
        entry = server.list_entry(tells_capacity=self._tells_capacity)
        entry = ServerEntry(
            entry.server, readiness, entry.capacity_hint, entry.kind, entry.zone, entry.cell, entry.started_ms
        )
        lag = self._silent_notice_ms if silent else self._notice_ms
        if readiness is Readiness.READY:
            lag += self._add_ms
        due = self._clock.now + lag
        if self._period_ms > 0.0:
            due = math.ceil(due / self._period_ms) * self._period_ms
        self._last_change += 1
        self._pending[entry.server] = self._last_change
        self._clock.after(due - self._clock.now, self._publish, entry, self._last_change)

    def _publish(self, entry: ServerEntry, change: int) -> None:
        if self._pending.get(entry.server) != change:
            return
        del self._pending[entry.server]
        self._version += 1
        self._all_cached = None
        if entry.readiness is Readiness.GONE:
            self._published.pop(entry.server, None)
        else:
            self._published[entry.server] = entry
        for node in [node for node in self._nodes if not node.alive]:
            del self._nodes[node]
        for node in self._nodes:
            self._clock.after(
                self._rng.uniform(0.0, self._spread_ms), self._send_change, node, entry, self._version
            )

    def _send_change(self, node: Node, entry: ServerEntry, version: int) -> None:
        if node.alive:
            node.deliver(ServerList(ListKind.CHANGES, (entry,), version))
