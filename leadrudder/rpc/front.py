"""MessagePack-RPC listener: concurrent calls per connection, each answered as soon as it completes.

The node core makes every decision about a call; calls that cannot be accepted are answered at once with a
reserved error.
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
    Message,
    MessageLimits,
    MessageReader,
    Notification,
    Request,
    encode_response,
)
from leadrudder.rpc.mapping import CallMapper, CallRejected

log = logging.getLogger(__name__)

READ_CHUNK_BYTES = 4096  # parsed at a time: a connection at capacity holds bytes, not parsed calls
WRITE_STALL_TIMEOUT_S = 10.0  # for a caller to read its responses
PARTIAL_MESSAGE_TIMEOUT_S = 10.0  # for a message to arrive completely
IDLE_TIMEOUT_S = 300.0  # without an open call
TIMEOUT_CHECK_INTERVAL_S = 0.25
OVERLOAD_RETRY_AFTER_MS = 500.0


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """Resource limits for all callers together."""

    connections: int = 128
    open_each: int = 64  # concurrent calls per connection; reading from the connection pauses at this number
    open_all: int = 1024  # concurrent calls in total; any further call is refused
    held_bytes: int = 16_000_000  # parameter bytes of all open calls
    message: MessageLimits = field(default_factory=MessageLimits)


class RpcExchange:
    """One open call and its single response; a notification ends the same way, without a response."""

    __slots__ = ("_connection", "_msgid", "ended", "on_disconnect", "size")

    def __init__(self, connection: CallerConnection, msgid: int | None, size: int) -> None:
        self._connection = connection
        self._msgid = msgid
        self.size = size
        self.ended = False  # the response was sent, or the caller left
        self.on_disconnect: Callable[[], None] | None = None

    def _respond(self, error: bytes, result: bytes = NIL) -> None:
        if self.ended:
            return
        self.ended = True
        self._connection.respond(self, self._msgid, error, result)

    def complete(self, answer: UpstreamResponse) -> None:
        self._respond(NIL, self._connection.front.call_mapper.rpc_result(answer))

    def refuse(self, retry_after_ms: float) -> None:
        self._respond(errors.encode_error(errors.REFUSED, "not served; may be tried again", retry_after_ms))

    def fail(self) -> None:
        self._respond(errors.encode_error(errors.FAILED, "not served; it may have run"))

    def fail_internally(self) -> None:
        self._respond(errors.encode_error(errors.FAULT, "the node could not deal with it"))

    def caller_left(self) -> None:
        """The caller left before its response; tell the core."""
        if not self.ended:
            self.ended = True
            if self.on_disconnect is not None:
                self.on_disconnect()


class CallerConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(self, front: RpcFront) -> None:
        self.front = front
        self.open_calls: dict[int, RpcExchange] = {}
        self.open_notifications = 0
        self.last_progress_s = 0.0  # loop time of the last message, response, or change of write flow
        self._pending_input = b""  # received bytes that wait for capacity
        self._reader = MessageReader(front.limits.message, frozenset({REQUEST, NOTIFICATION}))
        self._write_paused = False
        self._input_closed = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self.last_progress_s = self.front.now()
        self.front.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if not self._input_closed:
            self._pending_input += data
            self._process_input()

    def _is_at_capacity(self) -> bool:
        return (
            self._write_paused
            or len(self.open_calls) + self.open_notifications >= self.front.limits.open_each
        )

    def _process_input(self) -> None:
        """Process received bytes while the connection has capacity."""
        while self._pending_input and not self._input_closed and not self._is_at_capacity():
            chunk, self._pending_input = (
                self._pending_input[:READ_CHUNK_BYTES],
                self._pending_input[READ_CHUNK_BYTES:],
            )
            for message in self._reader.feed(chunk):
                self._handle_message(message)
            if self._reader.failure is not None:
                self._fail_connection(self._reader.failure.msgid, str(self._reader.failure))
        self._update_read_flow()

    def _handle_message(self, message: Message) -> None:
        self.last_progress_s = self.front.now()
        if self._input_closed:
            return
        if isinstance(message, Notification):
            self.front.handle_call(message, RpcExchange(self, None, len(message.params)))
        elif isinstance(message, Request):
            exchange = RpcExchange(self, message.msgid, len(message.params))
            if message.msgid in self.open_calls:
                # The first call with this msgid stays open; the error response marks the rejected one.
                self._write(
                    encode_response(
                        message.msgid,
                        errors.encode_error(errors.DUPLICATE, "msgid is open"),
                        NIL,
                    )
                )
                return
            self.open_calls[message.msgid] = exchange
            self.front.handle_call(message, exchange)

    def respond(self, exchange: RpcExchange, msgid: int | None, error: bytes, result: bytes) -> None:
        """Send the single response of a call and release it."""
        self.front.release_call(exchange)
        self.last_progress_s = self.front.now()
        if msgid is None:
            self.open_notifications = max(0, self.open_notifications - 1)
        else:
            self.open_calls.pop(msgid, None)
            self._write(encode_response(msgid, error, result))
        if self.front.closing and not self.open_calls:
            self.close()
        elif self._pending_input and not self.front.dispatching:
            # Deferred: the core must not be re-entered while it handles another call.
            asyncio.get_running_loop().call_soon(self._process_input)
        else:
            self._update_read_flow()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _fail_connection(self, msgid: int | None, text: str) -> None:
        """Answer the unreadable request if its msgid is known, cancel the open calls, and close."""
        if msgid is not None and msgid not in self.open_calls:
            self._write(encode_response(msgid, errors.encode_error(errors.BAD_REQUEST, text), NIL))
        log.info("rpc: closing caller connection: %s", text)
        self.close()

    def close(self) -> None:
        """Cancel the open calls, and close once written data has been sent."""
        self._input_closed, self._pending_input = True, b""
        self._cancel_open_calls()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        self._input_closed, self._pending_input = True, b""
        if self._transport is not None:
            self._transport.abort()

    def _cancel_open_calls(self) -> None:
        exchanges, self.open_calls = list(self.open_calls.values()), {}
        for exchange in exchanges:
            self.front.release_call(exchange)
            exchange.caller_left()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the open calls; notifications continue, as no caller waits for them."""
        self._transport = None
        self._input_closed, self._pending_input = True, b""
        self.front.connection_closed(self)
        self._cancel_open_calls()

    def pause_writing(self) -> None:
        self._write_paused = True
        self.last_progress_s = self.front.now()
        self._update_read_flow()

    def resume_writing(self) -> None:
        self._write_paused = False
        self.last_progress_s = self.front.now()
        self._process_input()

    def _update_read_flow(self) -> None:
        """Read from the socket only below capacity, which bounds the memory that one caller can use."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_at_capacity() or self._pending_input:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()

    def check_timeouts(self, now: float) -> None:
        """Abort a connection whose caller does not read; close one that is idle or stuck in a message."""
        waited = now - self.last_progress_s
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        if unsent and (self._write_paused or self._input_closed):
            if waited > WRITE_STALL_TIMEOUT_S:
                self.abort()
        elif not self.open_calls and waited > (
            PARTIAL_MESSAGE_TIMEOUT_S if self._reader.held() else IDLE_TIMEOUT_S
        ):
            self.close()


class RpcFront:
    """The listening sockets and all caller connections."""

    def __init__(
        self, call_mapper: CallMapper, submit: Callable[[ClientRequest, Exchange], None], limits: FrontLimits
    ) -> None:
        self.call_mapper = call_mapper
        self.limits = limits
        self.closing = False
        self.dispatching = False  # a call is being passed to the core
        self.last_activity = 0.0
        self._submit = submit
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        self._connections: dict[CallerConnection, None] = {}
        self._open_calls = 0
        self._held_bytes = 0
        self._servers: list[asyncio.Server] = []
        self._timeout_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    async def listen(self, address: tuple[str, int] | str) -> tuple[str, int] | str:
        """Listen on a host and port or on a Unix socket path; returns the bound address."""
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

    def connection_opened(self, connection: CallerConnection) -> None:
        self.last_activity = self.now()
        self._connections[connection] = None
        if len(self._connections) > self.limits.connections:
            connection.abort()  # file descriptors are limited

    def connection_closed(self, connection: CallerConnection) -> None:
        self._connections.pop(connection, None)

    # Calls.

    def handle_call(self, message: Request | Notification, exchange: RpcExchange) -> None:
        """Pass one call to the core, or answer it at once with an error."""
        self.last_activity = self.now()
        connection = exchange._connection
        full = (
            self._open_calls >= self.limits.open_all
            or self._held_bytes + exchange.size > self.limits.held_bytes
        )
        self._open_calls += 1
        self._held_bytes += exchange.size
        connection.open_notifications += isinstance(message, Notification)
        if full or self.closing:
            exchange.refuse(OVERLOAD_RETRY_AFTER_MS)
            return
        was_dispatching, self.dispatching = self.dispatching, True
        try:
            self._submit(self.call_mapper.parse_call(message), exchange)
        except CallRejected as rejection:
            exchange._respond(errors.encode_error(rejection.code, str(rejection)))
        except DuplicateRequestId as error:
            exchange._respond(errors.encode_error(errors.DUPLICATE, str(error)))
        except Exception:
            # An internal error must affect only this call, which still gets a response.
            log.exception("internal error while dispatching a call")
            exchange.fail_internally()
        finally:
            self.dispatching = was_dispatching

    def release_call(self, exchange: RpcExchange) -> None:
        """Stop counting a finished call against the limits."""
        if exchange.size >= 0:
            self._open_calls -= 1
            self._held_bytes -= exchange.size
            exchange.size = -1

    # Timeouts and shutdown.

    def _check_timeouts(self) -> None:
        self._timeout_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        now = self.now()
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def drain(self) -> None:
        """Stop listening, refuse new calls, and close each connection once it has no open call."""
        self.closing = True
        for server in self._servers:
            server.close()
        for connection in [c for c in self._connections if not c.open_calls]:
            connection.close()

    def busy(self) -> bool:
        """Whether any call is still open."""
        return self._open_calls > 0

    def close(self) -> None:
        """Close the listening sockets and abort all connections."""
        self._timeout_timer.cancel()
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.abort()
