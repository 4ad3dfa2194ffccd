"""The number of connections of a listener, bounded so that descriptors are left for everything else."""

from __future__ import annotations

from typing import Protocol


class LimitedConnection(Protocol):
    """A connection that was accepted."""

    def is_idle(self) -> bool:
        """Whether nothing is received, answered or sent on it."""

    def force_close(self) -> None:
        """Close at once."""


class ConnectionLimit:
    """most: how many may be open.  Beyond that the one is closed that is of least use.

    That is the oldest one on which no complete message has come, then one that is idle, then the new one.
    """

    def __init__(self, most: float) -> None:
        self.most = most
        self.evicted = 0  # closed for others, since the start of the process
        self._unproven: dict[LimitedConnection, None] = {}  # no complete message has come; oldest first
        self._proven: dict[LimitedConnection, None] = {}  # by their last complete message, oldest first

    def __len__(self) -> int:
        return len(self._unproven) + len(self._proven)

    def opened(self, connection: LimitedConnection) -> None:
        """A connection was accepted."""
        self._unproven[connection] = None
        if len(self) > self.most:
            evicted = self._least_useful(connection)
            self.closed(evicted)
            self.evicted += 1
            evicted.force_close()

    def message_came(self, connection: LimitedConnection) -> None:
        """A complete message has come on a connection."""
        if connection in self._unproven or connection in self._proven:
            self.closed(connection)
            self._proven[connection] = None

    def closed(self, connection: LimitedConnection) -> None:
        """A connection has ended."""
        self._unproven.pop(connection, None)
        self._proven.pop(connection, None)

    def _least_useful(self, newest: LimitedConnection) -> LimitedConnection:
        oldest = next(iter(self._unproven))
        if oldest is not newest:
            return oldest
        return next((each for each in self._proven if each.is_idle()), newest)
