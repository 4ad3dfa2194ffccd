"""The listening side: requests in, exactly one answer out, and /ready."""

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

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 16  # requests that a connection may have open; usual callers have one
PACE_PIPELINED = 2  # with as many open it is read no further: what comes then waits in the network
LONGEST_DEADLINE_S = 3600.0
HINT_MOST_US = 1e9
SWEEP_S = 0.25
# A usual caller connects because it has a request.  One that has not sent a whole one by now is answered or
# closed: with the sweep's and the network's time that is within the 3 s that it is owed.
FIRST_S = 2.25
REQUEST_S = 10.0  # for a later request to come in whole
UNREAD_S = 10.0  # for a caller to read its answer
# Between requests: a caller that asked for nothing that servers do is closed as soon as the protocol lets us,
# as such connections are kept for good; one of a usual caller's is worth a handshake.
IDLE_ONCE_S = 2.25
IDLE_S = 60.0
STUCK_S = 0.5  # when there is no room, a request that has not come in whole by now makes way
LINGER_S = 0.5  # after an early answer the caller may read it: closing on its unread input resets at once
IGNORED_MOST = 256 * 1024
FULL_RETRY_S = 0.5
OVERFLOW_PART = 0.1  # of the limit: newcomers that are answered 503 where nobody can make way

_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")  # float() takes far more than the protocol has


class HttpExchange:
    """One request of a caller's and the place of its one answer."""

    __slots__ = ("_connection", "close", "gone", "on_disconnect", "output", "size")

    def __init__(self, connection: ClientConnection, close: bool) -> None:
        self._connection = connection
        self.close = close
        self.gone = False
        self.size = 0  # bytes of its body, counted while it is open
        self.output: bytes | None = None
        self.on_disconnect: Callable[[], None] | None = None

    def send(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the answer; nothing goes to a caller that has left, and no second answer to anybody."""
        if self.gone or self.output is not None:
            return
        # Nothing may follow an answer that closes: with more requests behind it this one leaves open.
        self.close = self.close or (self._connection.callers.closing and self._connection.is_last(self))
        self._connection.callers.release(self)
        self.output = render_response(status, body, extra, close=self.close)
        self._connection.flush()

    # What the core tells.

    def complete(self, response: UpstreamResponse) -> None:
        kind = response.content_type
        self.send(200, response.body, b"Content-Type: %s\r\n" % kind if kind else b"")

    def refuse(self, retry_after_ms: float) -> None:
        after = b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms else b""
        self.send(503, extra=after)

    def fail(self) -> None:
        self.send(502)

    def fail_internally(self) -> None:
        self.send(500)


class ClientConnection(asyncio.Protocol):
    """One connection of a caller's; answers go out in the order of the requests."""

    def __init__(self, callers: HttpListener) -> None:
        self.callers = callers
        self.since = 0.0  # when it was opened, last became idle, or stopped reading
        self._answered = False
        self._usual = False  # it has brought a request that was taken
        self._reader = HttpParser(self._on_request, requests=True)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[HttpExchange] = deque()
        self._deaf = False  # its last request has come: what follows is not read
        self._over = False  # it has had its last answer
        self._choked = False  # the caller does not read what it gets
        self._ignored = 0  # bytes read away

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.since = self.callers.now()
        self.callers.opened(self)

    def idle(self) -> bool:
        """Between requests: may be closed, as the caller sends a crossing request anew."""
        return not self._exchanges and not self._reader.within and not self._over

    def is_last(self, exchange: HttpExchange) -> bool:
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def owes(self) -> bool:
        """Whether an answer, or a part of one, is still to be sent, or a request is coming in."""
        return self._unsent() or bool(self._exchanges) or (self._reader.within and not self._over)

    def may_go(self, now: float) -> tuple[int, float] | None:
        """How readily this makes way for a newcomer, the least first; None if it must not.

        Guards against usual callers being refused while the table is full of connections of no use.  Those
        that never brought a request go before usual callers: a crowd of them is no reason to make a usual one
        open a new connection.
        """
        if self._over:
            return None if self._unsent() else (0, self.since)
        if self.idle():
            return (2 if self._usual else 1, self.since)
        if self._reader.within and not self._exchanges and now - self.since > STUCK_S:
            return (3, self.since)
        return None

    def make_way(self) -> None:
        """Close: at once where the last answer is out, else when what was written has been sent."""
        if self._over:
            self.drop()
        else:
            self.close()

    def check(self, now: float) -> None:
        """End what has been waited for long enough."""
        waited = now - self.since
        if self._choked or self._over:
            if waited > UNREAD_S:
                self.drop()
        elif self._exchanges:
            return
        elif self._reader.within:
            if waited > (REQUEST_S if self._usual else FIRST_S):
                self._answer_early(408)
        elif waited > (IDLE_S if self._usual else IDLE_ONCE_S):
            self.close()

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            # Reading on tells when the caller leaves; but nobody is worth reading megabytes away for.
            self._ignored += len(data)
            self._pace()
            return
        if self._answered and self.idle():
            self.since = self.callers.now()
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self._answer_early(error.status)
        except Exception:
            log.exception("fault while a request was taken")
            self._answer_early(500)
        self._pace()

    def _on_request(self, message: HttpMessage) -> None:
        exchange = HttpExchange(self, not message.keep_alive)
        self._exchanges.append(exchange)
        if exchange.close:
            self._stop_reading()
        try:
            if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
                raise HttpMessageError(400, "too many requests in a row")
            self._usual |= self.callers.route(message, exchange)
        except HttpMessageError as error:
            self._answer_early(error.status)
        except Exception:
            # A fault in one request must cost that request alone, and still be answered.
            log.exception("fault in a request")
            exchange.send(500)

    def _answer_early(self, status: int) -> None:
        """Answer what cannot be taken at once, whatever waits on this connection, then close."""
        self._stop_reading()
        if self._over:
            return
        self._leave()
        exchange = HttpExchange(self, True)
        self._exchanges.append(exchange)
        exchange.send(status)

    def flush(self) -> None:
        """Send what is due: answers in order, up to the first that is not there yet."""
        transport = self._transport
        while self._exchanges and self._exchanges[0].output is not None and transport is not None:
            exchange = self._exchanges.popleft()
            assert exchange.output is not None
            transport.write(exchange.output)
            self.since = self.callers.now()
            self._answered = True
            if exchange.close:
                self._end()
                return
        self._pace()

    def _stop_reading(self) -> None:
        """No further request is taken: neither from what is being parsed nor from what comes."""
        self._deaf = True
        self._reader.stop()

    def _end(self) -> None:
        """Close after the last answer, once the caller has had the time to read it."""
        assert self._transport is not None
        self._over = True
        self._stop_reading()
        self._leave()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        """Close in a while, or wait on if the answer has not left by then: to abort would cut it off."""
        asyncio.get_running_loop().call_later(LINGER_S, self._linger_on)

    def _linger_on(self) -> None:
        if self._unsent():
            self._linger()
        else:
            self.drop()

    def _unsent(self) -> bool:
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        self._over = True
        if self._transport is not None:
            self._transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.callers.closed(self)
        self._leave()

    def _leave(self) -> None:
        """Nobody waits for the remaining requests."""
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.gone = True
            self.callers.release(exchange)
            if exchange.on_disconnect is not None and exchange.output is None:
                exchange.on_disconnect()

    def pause_writing(self) -> None:
        self._choked = True
        self._pace()

    def resume_writing(self) -> None:
        self._choked = False
        self._pace()

    def _pace(self) -> None:
        """Read only as long as answers have somewhere to go: bounds what one caller can make us hold."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._choked or self._ignored > IGNORED_MOST or len(self._exchanges) >= PACE_PIPELINED:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()


class HttpListener:
    """The listening socket and all connections of callers."""

    def __init__(
        self,
        settings: Settings,
        take: Callable[[ClientRequest, Exchange], None],
        ready: Callable[[], bool],
        most: int,
        most_bytes: int,
        platform: Platform = SYSTEM,
        routes: Sequence[Route] = (),
    ) -> None:
        self.closing = False
        self.now = platform.monotonic  # the loop's own time is too coarse to tell which is idle longest
        self.last_activity = 0.0  # when a connection or a request last came
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._routes = routes
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._required = [
            REQUEST_ID_HEADER,
            DEADLINE_HEADER,
            *([] if routes else [CLASS_HEADER]),
            *([TENANT_HEADER] if self._tenants else []),
        ]
        self._take = take
        self._ready = ready
        self._most = most
        self._most_bytes = most_bytes
        self._bytes = 0
        self._loop = asyncio.get_running_loop()
        self._open: dict[ClientConnection, None] = {}  # a set with an order: the same at every play
        self._server: asyncio.Server | None = None
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the port that was bound."""
        host, port = address
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_address=True
        )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return bound

    def listening(self) -> bool:
        return self._server is not None and self._server.is_serving()

    def opened(self, connection: ClientConnection) -> None:
        self._open[connection] = None
        self.last_activity = self.now()
        if len(self._open) > self._most and not self._shed_one(connection) and self._overflows():
            connection.drop()

    def closed(self, connection: ClientConnection) -> None:
        self._open.pop(connection, None)

    def crowded(self) -> bool:
        """More connections than the limit, and none idle to close: what comes now is refused."""
        return len(self._open) > self._most

    def release(self, exchange: HttpExchange) -> None:
        """The body of a request that is over no longer counts."""
        self._bytes -= exchange.size
        exchange.size = 0

    def _overflows(self) -> bool:
        """Beyond this a newcomer is closed unheard: descriptors must not run out."""
        return len(self._open) > self._most * (1.0 + OVERFLOW_PART)

    def _shed_one(self, newest: ClientConnection) -> bool:
        """Close the connection that makes way most readily, if there is one."""
        now = self.now()
        ranks = [(rank, c) for c in self._open if c is not newest and (rank := c.may_go(now)) is not None]
        if not ranks:
            return False
        _, connection = min(ranks, key=lambda pair: pair[0])
        self._open.pop(connection, None)
        connection.make_way()
        return True

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self.now()
        for connection in list(self._open):
            connection.check(now)

    def drain(self) -> None:
        """From now on every answer closes its connection, and idle ones are closed at once."""
        self.closing = True
        for connection in [c for c in self._open if c.idle()]:
            connection.close()

    def busy(self) -> bool:
        """Whether a caller is still owed something, or is sending."""
        return any(c.owes() for c in self._open)

    def close(self) -> None:
        self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._open):
            connection.drop()

    # Requests.

    def route(self, message: HttpMessage, exchange: HttpExchange) -> bool:
        """Take one whole request and tell whether it is one for the servers; MessageError if it is none that
        a node serves."""
        self.last_activity = self.now()
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise HttpMessageError(400, "method")
            exchange.send(200 if self._ready() and not self.closing else 503)
            return False
        if not self._routes and path != b"/api" and not path.startswith(b"/api/"):
            raise HttpMessageError(404, "path")
        ask = self._to_client_request(message, path)
        if self.crowded() or self._bytes + len(message.body) > self._most_bytes:
            exchange.close = True
            exchange.send(503, extra=b"Retry-After: %.3f\r\n" % FULL_RETRY_S)
            return True
        exchange.size = len(message.body)
        self._bytes += exchange.size
        try:
            self._take(ask, exchange)
        except DuplicateRequestId as error:
            raise HttpMessageError(409, str(error)) from None
        return True

    def _to_client_request(self, message: HttpMessage, path: bytes) -> ClientRequest:
        headers = message.headers
        for name in self._required:
            if not headers.get(name) or name in message.repeated:
                raise HttpMessageError(400, f"{name.decode()} is missing or repeated")
        if not TOKEN_PATTERN.fullmatch(headers[REQUEST_ID_HEADER]):
            raise HttpMessageError(400, "bad id")
        class_index = self._class_index(message, path)
        tenant = self._tenants.get(headers[TENANT_HEADER]) if self._tenants else 0
        if class_index is None or tenant is None:
            raise HttpMessageError(400, "unknown class or tenant")
        self._check_method(message, self._settings.classes[class_index].effect)
        hint = headers.get(COST_HINT_HEADER)
        item = path.removeprefix(b"/api").removeprefix(b"/")
        return ClientRequest(
            id=headers[REQUEST_ID_HEADER],
            class_index=class_index,
            tenant=tenant,
            key=int.from_bytes(blake2b(item, digest_size=8).digest(), "big") if item else 0,
            budget_ms=1000.0 * _number(headers[DEADLINE_HEADER], "deadline", LONGEST_DEADLINE_S),
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
        """By its route where there are routes, else as the request says; None for an unknown one.

        A request that says another class than its route is turned down: what the operator's file forbids to
        repeat must not be repeated because an application mistook its class.
        """
        told = message.headers.get(CLASS_HEADER)
        named = None if told is None else self._classes.get(told)
        if not self._routes:
            return named
        routed = match_class(self._routes, message.method, path.removeprefix(b"/api"))
        if routed is None:
            raise HttpMessageError(404, "no route")
        if (told is not None and named != routed) or CLASS_HEADER in message.repeated:
            raise HttpMessageError(400, "class does not fit the route")
        return routed

    @staticmethod
    def _check_method(message: HttpMessage, effect: Effect) -> None:
        """The method and the key must say of the effect what the class says: rule 2 rests on it."""
        keyed = IDEMPOTENCY_KEY_HEADER in message.headers
        safe = effect is Effect.SAFE
        if (
            message.method != (b"GET" if safe else b"POST")
            or keyed != (effect is Effect.KEYED)
            or (safe and message.body)
            or IDEMPOTENCY_KEY_HEADER in message.repeated
            or (keyed and not TOKEN_PATTERN.fullmatch(message.headers[IDEMPOTENCY_KEY_HEADER]))
        ):
            raise HttpMessageError(400, "method or key does not fit the class")


def _hint_ms(text: bytes | None) -> float | None:
    """A hint is a guess: one that cannot be read is none, and no reason to turn the request down."""
    try:
        return None if text is None else _number(text, "cost hint", HINT_MOST_US) / 1000.0
    except HttpMessageError:
        return None


def _number(text: bytes, what: str, most: float) -> float:
    value = float(text) if _DECIMAL.fullmatch(text) else 0.0
    if not 0.0 < value <= most:
        raise HttpMessageError(400, f"bad {what}")
    return value
