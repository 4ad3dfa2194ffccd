"""Connections between modelled nodes and servers: kept for the next call, closed when idle, capped.

A call has a connection to itself.  A new one costs its server work; one that is not taken costs the call an
answer that says so.  A node keeps idle ones for half of the time after which servers close them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from leadrudder.experiment.clock import Clock
from leadrudder.experiment.server import Server

IDLE_TIME_SHARE = 0.5  # of the time after which servers close idle connections
SWEEP_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class _ServerConnections:
    """What a node holds at one server process."""

    process: float  # its start: those of an older one are gone with it
    busy: int = 0
    idle: deque[float] = field(default_factory=deque)  # since when, the longest first


class ConnectionPool:
    """All connections of one node."""

    def __init__(self, clock: Clock, idle_ms: float) -> None:
        """idle_ms: after which servers close idle ones; 0: connections are free, and none is kept."""
        self.enabled = idle_ms > 0.0
        self.opened = 0  # in all
        self._clock = clock
        self._idle_ms = IDLE_TIME_SHARE * idle_ms
        self._kept: dict[bytes, _ServerConnections] = {}
        self._servers: dict[bytes, Server] = {}
        self._closed = False
        if self.enabled:
            clock.after(SWEEP_INTERVAL_MS, self._sweep)

    def _at(self, server: Server) -> _ServerConnections:
        kept = self._kept.get(server.name)
        if kept is None or kept.process != server.started_ms:
            kept = self._kept[server.name] = _ServerConnections(server.started_ms)
            self._servers[server.name] = server
        return kept

    def acquire(self, server: Server) -> float | None:
        """One for a call that reaches this server: the work of opening it, ms; None if no more are taken."""
        if not self.enabled:
            return 0.0
        kept = self._at(server)
        kept.busy += 1
        if kept.idle:
            kept.idle.pop()
            return 0.0
        if server.connections >= server.max_connections:
            kept.busy -= 1
            return None
        server.connections += 1
        self.opened += 1
        return server.handshake_ms

    def release(self, server: Server, *, reusable: bool) -> None:
        """The call has ended; not whole: its connection is closed with it."""
        if not self.enabled or self._closed:
            return
        kept = self._kept.get(server.name)
        if kept is None or kept.process != server.started_ms or not kept.busy:
            return
        kept.busy -= 1
        if reusable:
            kept.idle.append(self._clock.now)
        else:
            server.connections -= 1

    def close_idle(self, server: Server) -> None:
        kept = self._kept.get(server.name)
        if kept is not None and kept.process == server.started_ms:
            server.connections -= len(kept.idle)
            kept.idle.clear()

    def close(self) -> None:
        """The node ends."""
        self._closed = True
        for name, kept in self._kept.items():
            server = self._servers[name]
            if kept.process == server.started_ms:
                server.connections -= kept.busy + len(kept.idle)
        self._kept.clear()

    def _sweep(self) -> None:
        if self._closed:
            return
        oldest = self._clock.now - self._idle_ms
        for name, kept in self._kept.items():
            server = self._servers[name]
            while kept.idle and kept.idle[0] <= oldest:
                kept.idle.popleft()
                if kept.process == server.started_ms:
                    server.connections -= 1
        self._clock.after(SWEEP_INTERVAL_MS, self._sweep)
