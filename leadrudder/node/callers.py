"""The HTTP listener for clients: requests in, exactly one response each out, and /ready."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import cast

from leadrudder.interface import Effect, Settings
from leadrudder.node.contract import (
    ClientRequest,
    DuplicateRequestId,
    Exchange,
    HttpRequest,
    UpstreamResponse,
)
from leadrudder.node.http import (
    CLASS_HEADER,
    CONTENT_TYPE_HEADER,
    COST_HINT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    RETRY_HEADER,
    TENANT_HEADER,
    TOKEN_PATTERN,
    HttpMessage,
    HttpMessageError,
    HttpParser,
    render_response,
)
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.node.routes import Route, match_class
from leadrudder.transport.input_memory import InputMemory

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 16  # open requests on one connection; ordinary clients have one
PAUSE_READING_REQUESTS = 2  # with this many open the connection is not read; input waits in the network
MAX_DEADLINE_S = 3600.0
MAX_COST_HINT_US = 1e9
SWEEP_INTERVAL_S = 0.25
# An ordinary client connects because it has a request.  One that has not sent a complete request by then is
# answered or closed; with the sweep interval and network time that is within the 3 s that clients are owed.
FIRST_REQUEST_TIMEOUT_S = 2.25
REQUEST_TIMEOUT_S = 10.0  # for a later request to arrive completely
WRITE_TIMEOUT_S = 10.0  # for a client to read its response
# Between requests: a connection that never brought a request for the servers is closed as early as the
# protocol allows, because such connections tend to be held for ever.  One that did is worth keeping, since it
# saves a handshake.
UNPROVEN_IDLE_TIMEOUT_S = 2.25
IDLE_TIMEOUT_S = 60.0
EVICTABLE_AFTER_S = 0.5  # at the limit, a connection whose request is incomplete for longer may be evicted
LINGER_S = 0.5  # time to read an early response: closing with unread input resets the connection at once
MAX_DISCARDED_BYTES = 256 * 1024
OVERLOAD_RETRY_AFTER_S = 0.5
_OVERLOAD_HEADERS = b"Retry-After: %.3f\r\n" % OVERLOAD_RETRY_AFTER_S
OVERFLOW_FRACTION = 0.1  # of the limit: extra connections that get a 503 when none can be evicted

# float() accepts far more than the protocol does.
_DECIMAL_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


class HttpExchange:
    """One client request and the slot for its single response."""

    __slots__ = ("_connection", "body_bytes", "close", "disconnected", "on_disconnect", "output")

    def __init__(self, connection: ClientConnection, close: bool) -> None:
        self._connection = connection
        self.close = close
        self.disconnected = False
        self.body_bytes = 0  # counted against the listener's limit while the request is open
        self.output: bytes | None = None
        self.on_disconnect: Callable[[], None] | None = None

    def send(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the response, unless the client has left or one has been sent already."""
        if self.disconnected or self.output is not None:
            return
        # No response may follow one that closes, so with requests queued this one keeps the connection open.
        self.close = self.close or (self._connection.listener.draining and self._connection.is_last(self))
        self._connection.listener.release(self)
        self.output = render_response(status, body, extra, close=self.close)
        self._connection.flush()

    # The contract's Exchange, called by the node.

    def complete(self, response: UpstreamResponse) -> None:
        content_type = response.content_type
        self.send(200, response.body, b"Content-Type: %s\r\n" % content_type if content_type else b"")

    def refuse(self, retry_after_ms: float) -> None:
        retry_after_header = b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms else b""
        self.send(503, extra=retry_after_header)

    def fail(self) -> None:
        self.send(502)

    def fail_internally(self) -> None:
        self.send(500)


class ClientConnection(asyncio.Protocol):
    """One client connection; responses go out in the order of the requests."""

    def __init__(self, listener: HttpListener) -> None:
        self.listener = listener
        self.since_s = 0.0  # when it was opened, last became idle, or stopped reading
        self._answered = False
        self._accepted_request = False  # it has brought a valid request for the servers
        self._reader = HttpParser(self._on_request, requests=True)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[HttpExchange] = deque()
        self._input_closed = False  # its last request has arrived; further input is discarded
        self._response_ended = False  # its last response has been written
        self._write_paused = False  # the client does not read its responses
        self._discarded_bytes = 0  # input read and thrown away

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not a subclass
        self.since_s = self.listener.now()
        self.listener.opened(self)

    def idle(self) -> bool:
        """Between requests: may be closed, since clients resend a request that crosses the close."""
        return not self._exchanges and not self._reader.in_message and not self._response_ended

    def is_last(self, exchange: HttpExchange) -> bool:
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def has_pending_work(self) -> bool:
        """Whether a response, or part of one, is still to be sent, or a request is arriving."""
        return (
            self._has_unsent_output()
            or bool(self._exchanges)
            or (self._reader.in_message and not self._response_ended)
        )

    def eviction_rank(self, now: float) -> tuple[int, float] | None:
        """Eviction order when a new connection needs room, lowest first; None if this one must stay.

        Keeps ordinary clients from being refused while the table is full of useless connections.  Connections
        that never brought a request go before those that did, so that a crowd of them does not force ordinary
        clients to reconnect.
        """
        if self._response_ended:
            return None if self._has_unsent_output() else (0, self.since_s)
        if self.idle():
            return (2 if self._accepted_request else 1, self.since_s)
        if self._reader.in_message and not self._exchanges and now - self.since_s > EVICTABLE_AFTER_S:
            return (3, self.since_s)
        return None

    def evict(self) -> None:
        """Close, at once if the last response has been sent, else after flushing what was written."""
        if self._response_ended:
            self.drop()
        else:
            self.close()

    def check_timeouts(self, now: float) -> None:
        """Reject or close the connection if one of its timeouts has passed."""
        waited_s = now - self.since_s
        if self._write_paused or self._response_ended:
            if waited_s > WRITE_TIMEOUT_S:
                self.drop()
        elif self._exchanges:
            return
        elif self._reader.in_message:
            if waited_s > (REQUEST_TIMEOUT_S if self._accepted_request else FIRST_REQUEST_TIMEOUT_S):
                self._reject(408)
        elif waited_s > (IDLE_TIMEOUT_S if self._accepted_request else UNPROVEN_IDLE_TIMEOUT_S):
            self.close()

    def data_received(self, data: bytes) -> None:
        if self._input_closed:
            # Reading on detects when the client leaves, but only up to a limit of discarded bytes.
            self._discarded_bytes += len(data)
            self._update_reading()
            return
        if self._answered and self.idle():
            self.since_s = self.listener.now()
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self._reject(error.status)
        except Exception:
            log.exception("unexpected error while reading a request")
            self._reject(500)
        self.listener.input_memory.hold(self, 0 if self._input_closed else self._reader.held_bytes)
        self._update_reading()

    def shed_input(self) -> None:
        self._reject(503, _OVERLOAD_HEADERS)

    def _on_request(self, message: HttpMessage) -> None:
        exchange = HttpExchange(self, not message.keep_alive)
        self._exchanges.append(exchange)
        if exchange.close:
            self._stop_reading()
        try:
            if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
                raise HttpMessageError(400, "too many requests in a row")
            self._accepted_request |= self.listener.handle_request(message, exchange)
        except HttpMessageError as error:
            self._reject(error.status)
        except Exception:
            # An error in one request must affect that request only, and still be answered.
            log.exception("unexpected error while handling a request")
            exchange.send(500)

    def _reject(self, status: int, extra: bytes = b"") -> None:
        """Answer invalid input at once, ahead of anything pending on this connection, then close."""
        self._stop_reading()
        self.listener.input_memory.hold(self, 0)
        if self._response_ended:
            return
        self._abandon_exchanges()
        exchange = HttpExchange(self, True)
        self._exchanges.append(exchange)
        exchange.send(status, extra=extra)

    def flush(self) -> None:
        """Send responses in order, up to the first that is not ready yet."""
        transport = self._transport
        while self._exchanges and self._exchanges[0].output is not None and transport is not None:
            exchange = self._exchanges.popleft()
            assert exchange.output is not None
            transport.write(exchange.output)
            self.since_s = self.listener.now()
            self._answered = True
            if exchange.close:
                self._end_responses()
                return
        self._update_reading()

    def _stop_reading(self) -> None:
        """Accept no further request, neither from the input being parsed nor from later input."""
        self._input_closed = True
        self._reader.stop()

    def _end_responses(self) -> None:
        """Close after the last response, once the client has had time to read it."""
        assert self._transport is not None
        self._response_ended = True
        self._stop_reading()
        self._abandon_exchanges()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        """Close after LINGER_S, or later if output is still unsent, since aborting would cut it off."""
        asyncio.get_running_loop().call_later(LINGER_S, self._finish_linger)

    def _finish_linger(self) -> None:
        if self._has_unsent_output():
            self._linger()
        else:
            self.drop()

    def _has_unsent_output(self) -> bool:
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        self._response_ended = True
        if self._transport is not None:
            self._transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.listener.input_memory.hold(self, 0)
        self.listener.closed(self)
        self._abandon_exchanges()

    def _abandon_exchanges(self) -> None:
        """Give up the remaining requests, for which nobody waits any more."""
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.disconnected = True
            self.listener.release(exchange)
            if exchange.on_disconnect is not None and exchange.output is None:
                exchange.on_disconnect()

    def pause_writing(self) -> None:
        self._write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        self._write_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only while responses can be written, which bounds what one client can make the node buffer."""
        if self._transport is None or self._transport.is_closing():
            return
        if (
            self._write_paused
            or self._discarded_bytes > MAX_DISCARDED_BYTES
            or len(self._exchanges) >= PAUSE_READING_REQUESTS
        ):
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()


class HttpListener:
    """The listening socket and all client connections."""

    def __init__(
        self,
        settings: Settings,
        submit: Callable[[ClientRequest, Exchange], None],
        is_ready: Callable[[], bool],
        max_connections: int,
        max_body_bytes: int,
        platform: Platform = SYSTEM,
        routes: Sequence[Route] = (),
    ) -> None:
        self.draining = False
        self.now = platform.monotonic  # the loop's time is too coarse to find the longest idle
        self.last_activity = 0.0  # when a connection or a request last arrived
        self._settings = settings
        self._class_indices = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._routes = routes
        self._tenant_indices = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._required = [
            REQUEST_ID_HEADER,
            DEADLINE_HEADER,
            *([] if routes else [CLASS_HEADER]),
            *([TENANT_HEADER] if self._tenant_indices else []),
        ]
        self._submit = submit
        self._is_ready = is_ready
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self.input_memory = InputMemory(max_body_bytes)  # requests that are being received
        self._loop = asyncio.get_running_loop()
        self._connections: dict[ClientConnection, None] = {}  # an ordered set, for repeatable runs
        self._server: asyncio.Server | None = None
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the bound port."""
        host, port = address
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_address=True
        )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return bound

    def listening(self) -> bool:
        return self._server is not None and self._server.is_serving()

    def opened(self, connection: ClientConnection) -> None:
        self._connections[connection] = None
        self.last_activity = self.now()
        if (
            len(self._connections) > self._max_connections
            and not self._evict_one(connection)
            and self._beyond_overflow()
        ):
            connection.drop()

    def closed(self, connection: ClientConnection) -> None:
        self._connections.pop(connection, None)

    def over_limit(self) -> bool:
        """More connections than the limit, and none to evict: new requests are refused."""
        return len(self._connections) > self._max_connections

    def release(self, exchange: HttpExchange) -> None:
        """Stop counting the body of a finished request."""
        self._body_bytes -= exchange.body_bytes
        exchange.body_bytes = 0

    def _beyond_overflow(self) -> bool:
        """Whether new connections must be closed without a response, so that descriptors do not run out."""
        return len(self._connections) > self._max_connections * (1.0 + OVERFLOW_FRACTION)

    def _evict_one(self, newest: ClientConnection) -> bool:
        """Evict the connection with the lowest eviction rank, if there is one."""
        now = self.now()
        candidates = [
            (rank, c)
            for c in self._connections
            if c is not newest and (rank := c.eviction_rank(now)) is not None
        ]
        if not candidates:
            return False
        _, connection = min(candidates, key=lambda pair: pair[0])
        self._connections.pop(connection, None)
        connection.evict()
        return True

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def drain(self) -> None:
        """From now on every response closes its connection, and idle connections are closed at once."""
        self.draining = True
        for connection in [c for c in self._connections if c.idle()]:
            connection.close()

    def busy(self) -> bool:
        """Whether a client is still owed a response, or is sending a request."""
        return any(c.has_pending_work() for c in self._connections)

    def close(self) -> None:
        self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.drop()

    # Requests.

    def handle_request(self, message: HttpMessage, exchange: HttpExchange) -> bool:
        """Handle one complete request and return whether it was one for the servers.

        Raises HttpMessageError for a request that the node does not serve.
        """
        self.last_activity = self.now()
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise HttpMessageError(400, "method")
            exchange.send(200 if self._is_ready() and not self.draining else 503)
            return False
        if not self._routes and path != b"/api" and not path.startswith(b"/api/"):
            raise HttpMessageError(404, "path")
        client_request = self._to_client_request(message, path)
        if self.over_limit() or self._body_bytes + len(message.body) > self._max_body_bytes:
            exchange.close = True
            exchange.send(503, extra=_OVERLOAD_HEADERS)
            return True
        exchange.body_bytes = len(message.body)
        self._body_bytes += exchange.body_bytes
        try:
            self._submit(client_request, exchange)
        except DuplicateRequestId as error:
            raise HttpMessageError(409, str(error)) from None
        return True

    def _to_client_request(self, message: HttpMessage, path: bytes) -> ClientRequest:
        headers = message.headers
        for name in self._required:
            if not headers.get(name) or name in message.repeated_headers:
                raise HttpMessageError(400, f"{name.decode()} is missing or repeated")
        if not TOKEN_PATTERN.fullmatch(headers[REQUEST_ID_HEADER]):
            raise HttpMessageError(400, "bad id")
        class_index = self._class_index(message, path)
        tenant = self._tenant_indices.get(headers[TENANT_HEADER]) if self._tenant_indices else 0
        if class_index is None or tenant is None:
            raise HttpMessageError(400, "unknown class or tenant")
        self._check_method(message, self._settings.classes[class_index].effect)
        hint = headers.get(COST_HINT_HEADER)
        key_path = path.removeprefix(b"/api").removeprefix(b"/")
        return ClientRequest(
            id=headers[REQUEST_ID_HEADER],
            class_index=class_index,
            tenant=tenant,
            key=int.from_bytes(blake2b(key_path, digest_size=8).digest(), "big") if key_path else 0,
            budget_ms=1000.0 * _number(headers[DEADLINE_HEADER], "deadline", MAX_DEADLINE_S),
            cost_hint_ms=_hint_ms(hint),
            is_repeat=headers.get(RETRY_HEADER) == b"1",
            call=HttpRequest(
                message.method,
                message.target,
                headers.get(IDEMPOTENCY_KEY_HEADER),
                headers.get(CONTENT_TYPE_HEADER),
                message.body,
            ),
        )

    def _class_index(self, message: HttpMessage, path: bytes) -> int | None:
        """The class by route if routes are configured, else by header; None if unknown.

        A request whose header contradicts its route is rejected: a class that the operator forbids to repeat
        must not be repeated because an application sent the wrong class.
        """
        stated = message.headers.get(CLASS_HEADER)
        stated_index = None if stated is None else self._class_indices.get(stated)
        if not self._routes:
            return stated_index
        routed_index = match_class(self._routes, message.method, path.removeprefix(b"/api"))
        if routed_index is None:
            raise HttpMessageError(404, "no route")
        if (stated is not None and stated_index != routed_index) or CLASS_HEADER in message.repeated_headers:
            raise HttpMessageError(400, "class does not fit the route")
        return routed_index

    @staticmethod
    def _check_method(message: HttpMessage, effect: Effect) -> None:
        """Reject a method or key that contradicts the class's effect: retries are decided by that effect."""
        keyed = IDEMPOTENCY_KEY_HEADER in message.headers
        safe = effect is Effect.SAFE
        if (
            message.method != (b"GET" if safe else b"POST")
            or keyed != (effect is Effect.KEYED)
            or (safe and message.body)
            or IDEMPOTENCY_KEY_HEADER in message.repeated_headers
            or (keyed and not TOKEN_PATTERN.fullmatch(message.headers[IDEMPOTENCY_KEY_HEADER]))
        ):
            raise HttpMessageError(400, "method or key does not fit the class")


def _hint_ms(text: bytes | None) -> float | None:
    """The cost hint, or None.  A hint is only a guess, so an unreadable one does not reject the request."""
    try:
        return None if text is None else _number(text, "cost hint", MAX_COST_HINT_US) / 1000.0
    except HttpMessageError:
        return None


def _number(text: bytes, field_name: str, maximum: float) -> float:
    value = float(text) if _DECIMAL_PATTERN.fullmatch(text) else 0.0
    if not 0.0 < value <= maximum:
        raise HttpMessageError(400, f"bad {field_name}")
    return value
