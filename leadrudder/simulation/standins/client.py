"""A pool of a client's connections to one node, each with one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from leadrudder.simulation.framing import WireMessage, WireParser
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, VirtualTransport

MAX_IDLE_CONNECTIONS = 8


@dataclass(slots=True, eq=False)
class ClientCall:
    """One request until it has a response or failed.

    on_done is called once, with the response, or with None and the reason why there is none.
    """

    data: bytes
    timeout_s: float
    on_done: Callable[[WireMessage | None, str], None]
    resent: bool = False
    ended: bool = False
    timer: asyncio.TimerHandle | None = None
    connection: ClientConnection | None = None

    def end(self, response: WireMessage | None, reason: str) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(response, reason)


class ClientConnection(asyncio.Protocol):
    """One connection to a node."""

    def __init__(self, client: NodeClient) -> None:
        self._client = client
        self._parser = WireParser(responses=True)
        self._call: ClientCall | None = None
        self._used = False
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)

    def dispatch(self, call: ClientCall) -> None:
        self._call = call
        call.connection = self
        self.transport.write(call.data)

    def abort(self) -> None:
        """Drops the call and aborts the connection."""
        self._call = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        for message in self._parser.feed(data):
            call, self._call = self._call, None
            self._used = True
            if message.headers.get("connection") == "close":
                self.transport.close()
            else:
                self._client.release(self)
            if call is not None:
                call.end(message, "")

    def connection_lost(self, exc: Exception | None) -> None:
        self._client.discard(self)
        call, self._call = self._call, None
        if call is None or call.ended:
            return
        crossed_close = exc is None and self._used and not self._parser.has_partial_message
        if crossed_close and not call.resent:
            # The node closed the idle connection while the request was in flight and did not read it.
            call.resent = True
            self._client.dispatch(call, fresh=True)
            return
        call.end(None, "closed" if exc is None else "reset")


class NodeClient:
    """All connections of one process to one node."""

    def __init__(self, loop: VirtualLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self._idle: list[ClientConnection] = []
        self._closed = False

    def send(
        self, data: bytes, timeout_s: float, on_done: Callable[[WireMessage | None, str], None]
    ) -> ClientCall:
        """Sends one request; abandons it after the timeout, by aborting its connection."""
        call = ClientCall(data, timeout_s, on_done)
        call.timer = self.loop.call_later(timeout_s, self.abandon, call, "timeout")
        self.dispatch(call)
        return call

    def abandon(self, call: ClientCall, reason: str) -> None:
        """Ends the call without a response and aborts its connection."""
        if call.ended:
            return
        connection = call.connection
        call.end(None, reason)
        if connection is not None and connection._call is call:
            connection.abort()

    def dispatch(self, call: ClientCall, *, fresh: bool = False) -> None:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if not connection.transport.is_closing():
                connection.dispatch(call)
                return
        self.loop.spawn(self._open(call))

    async def _open(self, call: ClientCall) -> None:
        try:
            _, connection = await self.loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError:
            call.end(None, "refused")
            return
        if call.ended or connection.transport.is_closing():
            call.end(None, "reset")
            connection.transport.abort()
        else:
            connection.dispatch(call)

    def release(self, connection: ClientConnection) -> None:
        if self._closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.transport.close()
        else:
            self._idle.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Closes idle connections, now and later."""
        self._closed = True
        for connection in self._idle:
            connection.transport.close()
        self._idle.clear()
