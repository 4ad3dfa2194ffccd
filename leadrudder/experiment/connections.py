"""Connections between modelled nodes and servers: pooled, closed when idle, and limited in number.

Each call has a connection to itself. Opening one costs its server work; where a server accepts no more, the
call ends with outcome FULL. A node closes idle connections after half of the servers' own idle timeout.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from leadrudder.experiment.clock import Clock
from leadrudder.experiment.server import Server

IDLE_TIME_SHARE = 0.5  # of the servers' idle timeout
SWEEP_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class _ServerConnections:
    """A node's connections to one server process."""

    process: float  # start time of the process; connections to an older one are closed
    busy: int = 0
    idle: deque[float] = field(default_factory=deque)  # when they became idle, idle_before first


class ConnectionPool:
    """The connections of one node to all servers."""

    def __init__(self, clock: Clock, idle_ms: float) -> None:
        """idle_ms: the servers' idle timeout; 0: connections are not modelled."""
        self.enabled = idle_ms > 0.0
        self.opened = 0  # total
        self._clock = clock
        self._idle_ms = IDLE_TIME_SHARE * idle_ms
        self._by_server: dict[bytes, _ServerConnections] = {}
        self._servers: dict[bytes, Server] = {}
        self._closed = False
        if self.enabled:
            clock.after(SWEEP_INTERVAL_MS, self._sweep)

    def _connections_to(self, server: Server) -> _ServerConnections:
        held = self._by_server.get(server.name)
        if held is None or held.process != server.started_ms:
            held = self._by_server[server.name] = _ServerConnections(server.started_ms)
            self._servers[server.name] = server
        return held

    def acquire(self, server: Server) -> float | None:
        """Get a connection: returns the work of opening it, ms, 0 for a pooled one, None at the limit."""
        if not self.enabled:
            return 0.0
        held = self._connections_to(server)
        held.busy += 1
        if held.idle:
            held.idle.pop()
            return 0.0
        if server.connections >= server.max_connections:
            held.busy -= 1
            return None
        server.connections += 1
        self.opened += 1
        return server.handshake_ms

    def release(self, server: Server, *, reusable: bool) -> None:
        """Return a connection after its call; one that is not reusable is closed."""
        if not self.enabled or self._closed:
            return
        held = self._by_server.get(server.name)
        if held is None or held.process != server.started_ms or not held.busy:
            return
        held.busy -= 1
        if reusable:
            held.idle.append(self._clock.now)
        else:
            server.connections -= 1

    def close_idle(self, server: Server) -> None:
        held = self._by_server.get(server.name)
        if held is not None and held.process == server.started_ms:
            server.connections -= len(held.idle)
            held.idle.clear()

    def close(self) -> None:
        """Close all connections, as the node ends."""
        self._closed = True
        for name, held in self._by_server.items():
            server = self._servers[name]
            if held.process == server.started_ms:
                server.connections -= held.busy + len(held.idle)
        self._by_server.clear()

    def _sweep(self) -> None:
        if self._closed:
            return
        idle_before = self._clock.now - self._idle_ms
        for name, held in self._by_server.items():
            server = self._servers[name]
            while held.idle and held.idle[0] <= idle_before:
                held.idle.popleft()
                if held.process == server.started_ms:
                    server.connections -= 1
        self._clock.after(SWEEP_INTERVAL_MS, self._sweep)
