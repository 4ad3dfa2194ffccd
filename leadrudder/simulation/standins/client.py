"""A client's connections to one node: one request at a time on each, more when all are busy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from leadrudder.simulation.framing import Frame, Framing
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, VirtualTransport

MOST_IDLE = 8


@dataclass(slots=True, eq=False)
class Call:
    """One request and what becomes of it. done is called once: with the answer, or None and why there is
    none."""

    data: bytes
    timeout_s: float
    done: Callable[[Frame | None, str], None]
    sent_again: bool = False
    over: bool = False
    timer: asyncio.TimerHandle | None = None
    connection: ClientConnection | None = None

    def end(self, answer: Frame | None, why: str) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(answer, why)


class ClientConnection(asyncio.Protocol):
    """One connection to a node."""

    def __init__(self, client: NodeClient) -> None:
        self._client = client
        self._framing = Framing(answers=True)
        self._call: Call | None = None
        self._used = False
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)

    def carry(self, call: Call) -> None:
        self._call = call
        call.connection = self
        self.transport.write(call.data)

    def leave(self) -> None:
        """The client goes away: nobody reads here any more."""
        self._call = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        for frame in self._framing.feed(data):
            call, self._call = self._call, None
            self._used = True
            if frame.headers.get("connection") == "close":
                self.transport.close()
            else:
                self._client.rest(self)
            if call is not None:
                call.end(frame, "")

    def connection_lost(self, exc: Exception | None) -> None:
        self._client.lost(self)
        call, self._call = self._call, None
        if call is None or call.over:
            return
        crossed = exc is None and self._used and not self._framing.within
        if crossed and not call.sent_again:
            # The node closed between requests, and this one crossed that: it was not read.
            call.sent_again = True
            self._client.carry(call, fresh=True)
            return
        call.end(None, "closed" if exc is None else "reset")


class NodeClient:
    """All connections of one process to one node."""

    def __init__(self, loop: VirtualLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self._idle: list[ClientConnection] = []
        self._closed = False

    def ask(self, data: bytes, timeout_s: float, done: Callable[[Frame | None, str], None]) -> Call:
        """Send one request; it is given up after the time-out, by closing its connection."""
        call = Call(data, timeout_s, done)
        call.timer = self.loop.call_later(timeout_s, self.give_up, call, "timeout")
        self.carry(call)
        return call

    def give_up(self, call: Call, why: str) -> None:
        """Close the call's connection; the request has no answer."""
        if call.over:
            return
        connection = call.connection
        call.end(None, why)
        if connection is not None and connection._call is call:
            connection.leave()

    def carry(self, call: Call, *, fresh: bool = False) -> None:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if not connection.transport.is_closing():
                connection.carry(call)
                return
        self.loop.spawn(self._open(call))

    async def _open(self, call: Call) -> None:
        try:
            _, connection = await self.loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError:
            call.end(None, "refused")
            return
        if call.over or connection.transport.is_closing():
            call.end(None, "reset")
            connection.transport.abort()
        else:
            connection.carry(call)

    def rest(self, connection: ClientConnection) -> None:
        if self._closed or len(self._idle) >= MOST_IDLE:
            connection.transport.close()
        else:
            self._idle.append(connection)

    def lost(self, connection: ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Keep nothing open that carries no request."""
        self._closed = True
        for connection in self._idle:
            connection.transport.close()
        self._idle.clear()
