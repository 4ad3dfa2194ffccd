"""The listening side: requests in, exactly one answer out, and /ready."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import cast

from fawngw.interface import Effect, Settings
from fawngw.node.http import (
    CLASS,
    COST_HINT,
    DEADLINE,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    RETRY,
    TENANT,
    Message,
    MessageError,
    Reader,
    answer,
)

log = logging.getLogger(__name__)

MOST_PIPELINED = 2  # requests that a connection may have open; beyond that it is read no further
LONGEST_DEADLINE_S = 3600.0
HINT_MOST_US = 1e9
STALLED_S = 30.0  # for a request to come in whole, or a caller to read its answer
SWEEP_S = 1.0
LINGER_S = 1.0  # after an early answer what still comes in is read away, else a reset could overtake it
FULL_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Ask:
    """A valid request in the terms of the settings."""

    message: Message
    class_index: int
    tenant: int
    key: int
    budget_ms: float
    cost_hint_ms: float | None
    is_repeat: bool


class Exchange:
    """One request of a caller's and the place of its one answer."""

    __slots__ = ("_connection", "close", "gone", "on_gone", "output", "size")

    def __init__(self, connection: CallerConnection, close: bool) -> None:
        self._connection = connection
        self.close = close
        self.gone = False
        self.size = 0  # bytes of its body, counted while it is open
        self.output: bytes | None = None
        self.on_gone: Callable[[], None] | None = None

    def answer(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the answer; nothing goes to a caller that has left, and no second answer to anybody."""
        if self.gone or self.output is not None:
            return
        # Nothing may follow an answer that closes: with more requests behind it this one leaves open.
        self.close = self.close or (self._connection.callers.closing and self._connection.is_last(self))
        self._connection.callers.release(self)
        self.output = answer(status, body, extra, close=self.close)
        self._connection.flush()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller's; answers go out in the order of the requests."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.since = 0.0  # when it last became idle, began a request or stopped reading
        self._reader = Reader(self._on_request, requests=True)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[Exchange] = deque()
        self._deaf = False  # it has had its last answer; input is read away
        self._choked = False  # the caller does not read what it gets

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.since = self.callers.now()
        self.callers.opened(self)

    def idle(self) -> bool:
        """Between requests: may be closed, as the caller sends a crossing request anew."""
        return not self._exchanges and not self._reader.within and not self._deaf

    def is_last(self, exchange: Exchange) -> bool:
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def owes(self) -> bool:
        """Whether an answer, or a part of one, is still to be sent, or a request is coming in."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return unsent or bool(self._exchanges) or (self._reader.within and not self._deaf)

    def stalled(self) -> bool:
        return self._choked or (self._reader.within and not self._exchanges)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        if not self._reader.within:
            self.since = self.callers.now()
        try:
            self._reader.feed(data)
        except MessageError as error:
            self._answer_early(error.status)
        except Exception:
            log.exception("fault while a request was taken")
            self._answer_early(500)

    def _on_request(self, message: Message) -> None:
        exchange = Exchange(self, not message.keep_alive)
        self._exchanges.append(exchange)
        self._pace()
        try:
            self.callers.route(message, exchange)
        except MessageError as error:
            exchange.answer(error.status)
        except Exception:
            # A fault in one request must cost that request alone, and still be answered.
            log.exception("fault in a request")
            exchange.answer(500)

    def _answer_early(self, status: int) -> None:
        """Answer what never became a request, then close."""
        exchange = Exchange(self, True)
        self._exchanges.append(exchange)
        exchange.answer(status)

    def flush(self) -> None:
        """Send what is due: answers in order, up to the first that is not there yet."""
        transport = self._transport
        while self._exchanges and self._exchanges[0].output is not None and transport is not None:
            exchange = self._exchanges.popleft()
            assert exchange.output is not None
            transport.write(exchange.output)
            self.since = self.callers.now()
            if exchange.close:
                self._end()
                return
        self._pace()

    def _end(self) -> None:
        """Close after the last answer, once the caller has had the time to read it."""
        assert self._transport is not None
        self._deaf = True
        self._leave()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.drop)

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
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
            if exchange.on_gone is not None and exchange.output is None:
                exchange.on_gone()

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
        if self._choked or len(self._exchanges) >= MOST_PIPELINED:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()


class Callers:
    """The listening socket and all connections of callers."""

    def __init__(
        self,
        settings: Settings,
        take: Callable[[Ask, Exchange], None],
        ready: Callable[[], bool],
        most: int,
        most_bytes: int,
    ) -> None:
        self.closing = False
        self.last_heard = 0.0  # when a connection or a request last came
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._take = take
        self._ready = ready
        self._most = most
        self._most_bytes = most_bytes
        self._bytes = 0
        self._loop = asyncio.get_running_loop()
        self._open: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the port that was bound."""
        host, port = address
        self._server = await self._loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024, reuse_address=True
        )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return bound

    @staticmethod
    def now() -> float:
        """Seconds; the loop's own time is too coarse to tell which connection is idle longest."""
        return time.monotonic()

    def listening(self) -> bool:
        return self._server is not None and self._server.is_serving()

    def opened(self, connection: CallerConnection) -> None:
        self._open.add(connection)
        self.last_heard = self.now()
        if len(self._open) > self._most:
            self._shed_one(connection)

    def closed(self, connection: CallerConnection) -> None:
        self._open.discard(connection)

    def crowded(self) -> bool:
        """More connections than the limit, and none idle to close: what comes now is refused."""
        return len(self._open) > self._most

    def release(self, exchange: Exchange) -> None:
        """The body of a request that is over no longer counts."""
        self._bytes -= exchange.size
        exchange.size = 0

    def _shed_one(self, newest: CallerConnection) -> None:
        idle = [c for c in self._open if c is not newest and c.idle()]
        if idle:
            min(idle, key=lambda c: c.since).close()

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        before = self.now() - STALLED_S
        for connection in [c for c in self._open if c.stalled() and c.since < before]:
            connection.drop()

    def wind_down(self) -> None:
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

    def route(self, message: Message, exchange: Exchange) -> None:
        """Take one whole request; MessageError if it is none that a node serves."""
        self.last_heard = self.now()
        path = message.start.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise MessageError(400, "method")
            exchange.answer(200 if self._ready() and not self.closing else 503)
        elif path == b"/api" or path.startswith(b"/api/"):
            ask = self._ask(message, path)
            if self.crowded() or self._bytes + len(message.body) > self._most_bytes:
                exchange.close = True
                exchange.answer(503, extra=b"Retry-After: %.3f\r\n" % FULL_RETRY_S)
            else:
                exchange.size = len(message.body)
                self._bytes += exchange.size
                self._take(ask, exchange)
        else:
            raise MessageError(404, "path")

    def _ask(self, message: Message, path: bytes) -> Ask:
        headers = message.headers
        required = [REQUEST_ID, CLASS, DEADLINE, *([TENANT] if self._tenants else [])]
        for name in required:
            if not headers.get(name) or name in message.repeated:
                raise MessageError(400, f"{name.decode()} is missing or repeated")
        class_index = self._classes.get(headers[CLASS])
        tenant = self._tenants.get(headers[TENANT]) if self._tenants else 0
        if class_index is None or tenant is None:
            raise MessageError(400, "unknown class or tenant")
        self._check_method(message, self._settings.classes[class_index].effect)
        hint = headers.get(COST_HINT)
        item = path.removeprefix(b"/api").removeprefix(b"/")
        return Ask(
            message=message,
            class_index=class_index,
            tenant=tenant,
            key=int.from_bytes(blake2b(item, digest_size=8).digest(), "big") if item else 0,
            budget_ms=1000.0 * _number(headers[DEADLINE], "deadline", LONGEST_DEADLINE_S),
            cost_hint_ms=_hint_ms(hint),
            is_repeat=headers.get(RETRY) == b"1",
        )

    @staticmethod
    def _check_method(message: Message, effect: Effect) -> None:
        """The method and the key must say of the effect what the class says: rule 2 rests on it."""
        keyed = IDEMPOTENCY_KEY in message.headers
        safe = effect is Effect.SAFE
        if (
            message.method != (b"GET" if safe else b"POST")
            or keyed != (effect is Effect.KEYED)
            or (safe and message.body)
            or IDEMPOTENCY_KEY in message.repeated
        ):
            raise MessageError(400, "method or key does not fit the class")


def _hint_ms(text: bytes | None) -> float | None:
    """A hint is a guess: one that cannot be read is none, and no reason to turn the request down."""
    try:
        return None if text is None else _number(text, "cost hint", HINT_MOST_US) / 1000.0
    except MessageError:
        return None


def _number(text: bytes, what: str, most: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 < value <= most or value == float("inf"):
        raise MessageError(400, f"bad {what}")
    return value
