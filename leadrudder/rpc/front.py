"""The side towards MessagePack-RPC callers: many calls open on a connection, each answered as it ends.

Every call goes to the core, which alone decides; what is not taken is answered at once with one of our
errors.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from leadrudder.node.contract import ClientRequest, DuplicateRequestId, Exchange, UpstreamResponse
from leadrudder.rpc import errors
from leadrudder.rpc.framing import (
    NIL,
    NOTIFICATION,
    REQUEST,
    Limits,
    Message,
    Notification,
    Reader,
    Request,
    response,
)
from leadrudder.rpc.mapping import Calls, Turned

log = logging.getLogger(__name__)

PIECE = 4096  # bytes that are read at a time, so that a full connection holds bytes and not calls
UNREAD_S = 10.0  # for a caller to read its answers
PART_S = 10.0  # for a call to come in whole
IDLE_S = 300.0  # without a call
SWEEP_S = 0.25
FULL_RETRY_MS = 500.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the callers together may hold."""

    connections: int = 128
    open_each: int = 64  # calls on one connection; with as many open it is read no further
    open_all: int = 1024  # calls in all; one more is refused
    held_bytes: int = 16_000_000  # of the parameters of open calls
    limits: Limits = field(default_factory=Limits)


class RpcExchange:
    """One call and the place of its one response; a notification has no such place, and ends all the same."""

    __slots__ = ("_connection", "_msgid", "gone", "on_disconnect", "size")

    def __init__(self, connection: CallerConnection, msgid: int | None, size: int) -> None:
        self._connection = connection
        self._msgid = msgid
        self.size = size
        self.gone = False  # it has had its response, or nobody waits for one
        self.on_disconnect: Callable[[], None] | None = None

    def _respond(self, error: bytes, result: bytes = NIL) -> None:
        if self.gone:
            return
        self.gone = True
        self._connection.respond(self, self._msgid, error, result)

    def complete(self, answer: UpstreamResponse) -> None:
        self._respond(NIL, self._connection.front.calls.result(answer))

    def refuse(self, retry_after_ms: float) -> None:
        self._respond(errors.error(errors.REFUSED, "not served; may be tried again", retry_after_ms))

    def fail(self) -> None:
        self._respond(errors.error(errors.FAILED, "not served; it may have run"))

    def fail_internally(self) -> None:
        self._respond(errors.error(errors.FAULT, "the node could not deal with it"))

    def leave(self) -> None:
        """The caller has gone: nobody waits."""
        if not self.gone:
            self.gone = True
            if self.on_disconnect is not None:
                self.on_disconnect()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller's."""

    def __init__(self, front: RpcFront) -> None:
        self.front = front
        self.open: dict[int, RpcExchange] = {}
        self.notes = 0  # notifications that are open
        self.since = 0.0  # when a call last came whole or ended, or it stopped reading
        self._unread = b""  # bytes that have come and wait for places
        self._reader = Reader(front.bounds.limits, frozenset({REQUEST, NOTIFICATION}))
        self._choked = False
        self._over = False  # nothing more is read
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.since = self.front.now()
        self.front.opened(self)

    def data_received(self, data: bytes) -> None:
        if not self._over:
            self._unread += data
            self._read()

    def _full(self) -> bool:
        return self._choked or len(self.open) + self.notes >= self.front.bounds.open_each

    def _read(self) -> None:
        """Take what has come, as long as there is room for it."""
        while self._unread and not self._over and not self._full():
            piece, self._unread = self._unread[:PIECE], self._unread[PIECE:]
            for message in self._reader.feed(piece):
                self._take(message)
            if self._reader.failure is not None:
                self._refuse_all(self._reader.failure.msgid, str(self._reader.failure))
        self._pace()

    def _take(self, message: Message) -> None:
        self.since = self.front.now()
        if self._over:
            return
        if isinstance(message, Notification):
            self.front.take(message, RpcExchange(self, None, len(message.params)))
        elif isinstance(message, Request):
            exchange = RpcExchange(self, message.msgid, len(message.params))
            if message.msgid in self.open:
                # The first call keeps its msgid and its response; this one is told apart by its error.
                self._write(response(message.msgid, errors.error(errors.DUPLICATE, "msgid is open"), NIL))
                return
            self.open[message.msgid] = exchange
            self.front.take(message, exchange)

    def respond(self, exchange: RpcExchange, msgid: int | None, error: bytes, result: bytes) -> None:
        """The one response of a call, which is over."""
        self.front.release(exchange)
        self.since = self.front.now()
        if msgid is None:
            self.notes = max(0, self.notes - 1)
        else:
            self.open.pop(msgid, None)
            self._write(response(msgid, error, result))
        if self.front.closing and not self.open:
            self.close()
        elif self._unread and not self.front.reading:
            # Not from within the reading of another call: the core is between two decisions.
            asyncio.get_running_loop().call_soon(self._read)
        else:
            self._pace()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _refuse_all(self, msgid: int | None, text: str) -> None:
        """What came cannot be read: say so where it is known to whom, settle what is open, and close."""
        if msgid is not None and msgid not in self.open:
            self._write(response(msgid, errors.error(errors.BAD_REQUEST, text), NIL))
        log.info("rpc: a connection is ended: %s", text)
        self.close()

    def close(self) -> None:
        """Close when what was written has been sent; nobody waits for what is open."""
        self._over, self._unread = True, b""
        self._settle()
        if self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        self._over, self._unread = True, b""
        if self._transport is not None:
            self._transport.abort()

    def _settle(self) -> None:
        exchanges, self.open = list(self.open.values()), {}
        for exchange in exchanges:
            self.front.release(exchange)
            exchange.leave()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The calls are cancelled; notifications, for which nobody ever waited, go on."""
        self._transport = None
        self._over, self._unread = True, b""
        self.front.closed(self)
        self._settle()

    def pause_writing(self) -> None:
        self._choked = True
        self.since = self.front.now()
        self._pace()

    def resume_writing(self) -> None:
        self._choked = False
        self.since = self.front.now()
        self._read()

    def _pace(self) -> None:
        """Read only while there are places: bounds what one caller can make us hold."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._full() or self._unread:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()

    def check(self, now: float) -> None:
        """End what has been waited for long enough."""
        waited = now - self.since
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        if unsent and (self._choked or self._over):
            if waited > UNREAD_S:
                self.drop()
        elif not self.open and waited > (PART_S if self._reader.held() else IDLE_S):
            self.close()


class RpcFront:
    """The listening sockets and all connections of callers."""

    def __init__(self, calls: Calls, take: Callable[[ClientRequest, Exchange], None], bounds: Bounds) -> None:
        self.calls = calls
        self.bounds = bounds
        self.closing = False
        self.reading = False  # a call is being handed to the core
        self.last_activity = 0.0
        self._take = take
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        self._open: dict[CallerConnection, None] = {}
        self._calls = 0
        self._bytes = 0
        self._servers: list[asyncio.Server] = []
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    async def listen(self, address: tuple[str, int] | str) -> tuple[str, int] | str:
        """Listen at a host and port, or at a UNIX socket's path; returns what was bound."""
        if isinstance(address, str):
            self._servers.append(await self._loop.create_unix_server(lambda: CallerConnection(self), address))
            return address
        host, port = address
        server = await self._loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024, reuse_address=True
        )
        self._servers.append(server)
        bound: tuple[str, int] = tuple(server.sockets[0].getsockname()[:2])
        return bound

    def opened(self, connection: CallerConnection) -> None:
        self.last_activity = self.now()
        self._open[connection] = None
        if len(self._open) > self.bounds.connections:
            connection.drop()  # descriptors must not run out

    def closed(self, connection: CallerConnection) -> None:
        self._open.pop(connection, None)

    # Calls.

    def take(self, message: Request | Notification, exchange: RpcExchange) -> None:
        """Hand one call to the core, or answer it at once."""
        self.last_activity = self.now()
        connection = exchange._connection
        full = self._calls >= self.bounds.open_all or self._bytes + exchange.size > self.bounds.held_bytes
        self._calls += 1
        self._bytes += exchange.size
        connection.notes += isinstance(message, Notification)
        if full or self.closing:
            exchange.refuse(FULL_RETRY_MS)
            return
        was, self.reading = self.reading, True
        try:
            self._take(self.calls.ask(message), exchange)
        except Turned as turned:
            exchange._respond(errors.error(turned.code, str(turned)))
        except DuplicateRequestId as error:
            exchange._respond(errors.error(errors.DUPLICATE, str(error)))
        except Exception:
            # A fault in one call must cost that call alone, and still be answered.
            log.exception("fault in a call")
            exchange.fail_internally()
        finally:
            self.reading = was

    def release(self, exchange: RpcExchange) -> None:
        """A call is over: its parameters no longer count."""
        if exchange.size >= 0:
            self._calls -= 1
            self._bytes -= exchange.size
            exchange.size = -1

    # The end.

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self.now()
        for connection in list(self._open):
            connection.check(now)

    def drain(self) -> None:
        """From now on calls are refused, and a connection closes when none is open on it."""
        self.closing = True
        for server in self._servers:
            server.close()
        for connection in [c for c in self._open if not c.open]:
            connection.close()

    def busy(self) -> bool:
        """Whether a caller is still owed something."""
        return self._calls > 0

    def close(self) -> None:
        """Leave nothing open."""
        self._sweeper.cancel()
        for server in self._servers:
            server.close()
        for connection in list(self._open):
            connection.drop()
