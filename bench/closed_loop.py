"""A client that sends its next request as soon as it has a response, until a shared count is used up."""

from __future__ import annotations

import asyncio
from typing import Any


class ClosedLoopClient(asyncio.Protocol):
    """One connection.  remaining: a list with the number of requests left, shared by all connections.

    done: set when none are left, or when a request fails.
    """

    def __init__(self, remaining: list[int], done: asyncio.Future[None]) -> None:
        self._remaining, self._done = remaining, done
        self._number = 0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.send_next()

    def send_next(self) -> None:
        """Send another request, or close the connection if none are left."""
        if self._remaining[0] <= 0:
            self._transport.close()
            if not self._done.done():
                self._done.set_result(None)
            return
        self._remaining[0] -= 1
        self._number += 1
        self._transport.write(self.render(self._number))

    def render(self, number: int) -> bytes:
        """The request with this number on the connection."""
        raise NotImplementedError

    def fail(self, text: str) -> None:
        """End the measurement with an error."""
        if not self._done.done():
            self._done.set_exception(RuntimeError(text))
