"""Clients: requests in, exactly one answer each, in the order in which they came."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from leadrudder.configuration.items import Limits, Route
from leadrudder.data_plane.client_patience import ClientPatience
from leadrudder.data_plane.inbound import passed_on
from leadrudder.data_plane.load_balancer import RETRY_LEAST_MS, Errand
from leadrudder.node.http import HttpMessage, HttpMessageError
from leadrudder.observability.loop_lag import BEHIND_S
from leadrudder.protocol.outcome import Reply, Verdict
from leadrudder.transport.http import WholeMessage, WholeReader, rendered

PIPELINED_MOST = 64  # requests open on one connection, beyond which it is not read
UNREAD_S = 10.0  # for a client to read its answer
SWEEP_S = 0.25
SMALL = 64 * 1024  # bytes of a body that are always taken: their number is bounded by that of requests
LINGER_S = 0.5  # after a last answer, for the client to close
COME_BACK = b"Retry-After: 0.2\r\n"
_TOKEN = re.compile(rb"[!-~]{1,200}")
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_OURS = frozenset((b"time-left", b"target-server", b"calling-service", b"expect"))

Find = Callable[[str, str], Route | None]
Begin = Callable[[Route, Errand], Callable[[], None]]  # returns what says that its client has left


@dataclass(slots=True)
class Place:
    """The place of one answer on its connection."""

    output: bytes | None = None
    close: bool = False
    leave: Callable[[], None] | None = None  # to be called when the client has left before its answer


class Client(asyncio.Protocol):
    """One connection of a client's."""

    def __init__(self, outbound: Outbound) -> None:
        self._outbound = outbound
        limits = outbound.limits()
        self._reader = WholeReader(
            self._on_request,
            requests=True,
            head_most=limits.max_header_bytes,
            body_most=limits.max_body_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._places: deque[Place] = deque()
        self._since = 0.0  # when it was opened, began a request, or was last answered
        self._over = False  # nothing more is read: its last answer is written or owed
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._since = self._outbound.now()
        self._outbound.clients[self] = None

    def data_received(self, data: bytes) -> None:
        if self._over:
            return
        if not self._reader.begun:
            self._since = self._outbound.now()
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self._refuse(error.status, str(error))
        if not self._outbound.hold(self, self._reader.body_size) and not self._over:
            self._refuse(503, "no memory for the body now", COME_BACK)

    def _refuse(self, status: int, text: str, fields: bytes = b"") -> None:
        """What came is no request that is taken: one answer, and nothing more is read."""
        self._outbound.hold(self, 0)
        place = Place(rendered(status, fields, text.encode() + b"\n", close=True), close=True)
        self._over = True
        self._places.append(place)
        self._flush()

    def eof_received(self) -> bool:
        """The client has closed its connection: what it waited for is of no use to it."""
        waiting = bool(self._places)
        self._over = True
        self._leave()
        return waiting  # the answers that are due now end the connection

    def _leave(self) -> None:
        for place in list(self._places):
            if place.output is None and place.leave is not None:
                place.leave()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._outbound.hold(self, 0)
        self._outbound.clients.pop(self, None)
        self._leave()

    def _on_request(self, message: HttpMessage) -> None:
        if self._over:
            return
        place = Place(close=not message.keep_alive)
        if place.close:
            self._over = True
            self._reader.stop()
        self._places.append(place)
        if len(self._places) >= PIPELINED_MOST and self._transport is not None and not self._paused:
            self._transport.pause_reading()
            self._paused = True
        self._outbound.hold(self, 0)  # from here on it counts as under way
        place.leave = self._outbound.take(
            cast(WholeMessage, message), lambda output: self._answer(place, output)
        )

    def _answer(self, place: Place, output: Callable[[bool], bytes]) -> None:
        if self._outbound.closing and self._places and self._places[-1] is place:
            place.close = True
        if place.close:
            self._over = True
        place.output = output(place.close)
        self._flush()

    def _flush(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        while self._places and self._places[0].output is not None:
            place = self._places.popleft()
            assert place.output is not None
            transport.write(place.output)
            self._since = self._outbound.now()
            if place.close:
                # Closing on input that was not read would reset the connection, and with it this answer.
                self._over = True
                if transport.can_write_eof():
                    transport.write_eof()
                return
        if self._paused and len(self._places) < PIPELINED_MOST // 2:
            transport.resume_reading()
            self._paused = False

    def busy(self) -> bool:
        return bool(self._places) or (self._reader.begun and not self._over) or self._unsent()

    def _unsent(self) -> bool:
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def check(self, now: float, limits: Limits) -> None:
        """End what has been waited for long enough."""
        waited = 1000.0 * (now - self._since)
        if self._transport is None or self._places:
            return
        if self._over:
            if waited > 1000.0 * (UNREAD_S if self._unsent() else LINGER_S):
                self.drop()
            return
        if self._unsent():
            if waited > 1000.0 * UNREAD_S:
                self.drop()
        elif self._reader.begun:
            if waited > max(
                limits.header_timeout_ms, limits.idle_timeout_ms if self._reader.in_message else 0.0
            ):
                self._refuse(408, "the request did not come in whole")
        elif waited > limits.idle_timeout_ms or self._outbound.closing:
            self._transport.close()

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Outbound:
    """All clients.  find: the route of a request; begin: carries it; most_held: bytes of bodies, read or
    under way, beyond which requests with larger ones are told to come back; late_s: how long what is read
    now has waited to be read, beyond which requests are told to come back, too.
    """

    def __init__(
        self,
        service: str,
        find: Find,
        begin: Begin,
        limits: Callable[[], Limits],
        room: Callable[[], bool],
        most_held: float = math.inf,
        late_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._late_s = late_s
        self._patience = ClientPatience()
        self.shed = 0  # requests refused because this process was behind, since the start
        self._most_held = most_held
        self._held: dict[Client, int] = {}  # bytes of bodies that are being read
        self._held_sum = 0  # these, and those of requests under way
        self.limits = limits
        self.clients: dict[Client, None] = {}
        self.closing = False
        self.last_taken = math.inf  # from then on only requests are taken whose time is over before end_by
        self.end_by = math.inf  # when every answer must have gone out
        self.informed = False  # a configuration is known: until then nothing says that there is no route
        self.last_heard = 0.0
        self.open = 0  # requests that are owed an answer
        self._calling = b"Calling-Service: %s\r\n" % service.encode("latin-1", "replace")
        self._find, self._begin, self._room = find, begin, room
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._loop.call_later(SWEEP_S, self._sweep)

    def now(self) -> float:
        return self._loop.time()

    async def listen(self, address: tuple[str, int]) -> None:
        make = lambda: Client(self)  # noqa: E731
        self._server = await self._loop.create_server(make, *address, backlog=1024, family=socket.AF_INET)

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_S, self._sweep)
        now, limits = self.now(), self.limits()
        for client in list(self.clients):
            client.check(now, limits)

    def hold(self, client: Client, size: int) -> bool:
        """So many bytes of a body have come in from a client; False where there is no room for them."""
        before = self._held.pop(client, 0)
        if size:
            self._held[client] = size
        self._held_sum += size - before
        return size <= SMALL or self._held_sum <= self._most_held

    def busy(self) -> bool:
        return self.open > 0 or any(client.busy() for client in self.clients)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for client in list(self.clients):
            client.drop()

    # ------------------------------------------------------------ requests

    def take(
        self, message: WholeMessage, write: Callable[[Callable[[bool], bytes]], None]
    ) -> Callable[[], None] | None:
        """A whole request; write is called once, with what renders its answer.

        Returns what is to be called if the client leaves before it; None if the answer was written.
        """
        self.last_heard = self.now()
        headers = message.headers
        path, _, _ = message.target.partition(b"?")
        host = headers.get(b"host", b"")
        attempt_id = headers.get(b"attempt-id", b"")
        if not host or b"host" in message.repeated_headers or not message.target.startswith(b"/"):
            return self._plain(write, 400)
        if not _TOKEN.fullmatch(attempt_id) or b"attempt-id" in message.repeated_headers:
            return self._plain(write, 400)
        route = self._find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            return self._plain(write, 404) if self.informed else self._plain(write, 503, COME_BACK)
        told = headers.get(b"time-left")
        if told is not None and (not _NUMBER.fullmatch(told) or b"time-left" in message.repeated_headers):
            return self._plain(write, 400)
        late_s = self._late_s()
        left_ms = min(route.timeout_ms, float(told) if told is not None else route.timeout_ms)
        waited_ms = self._patience.waited_ms(route.name, left_ms, self.now())
        left_ms -= 1000.0 * late_s
        if late_s > BEHIND_S or (late_s > 0.0 and left_ms <= 0.0):
            self.shed += 1
            return self._plain(write, 503, COME_BACK)
        if self.now() > self.last_taken and self.now() + left_ms / 1000.0 > self.end_by:
            return self._plain(write, 503, COME_BACK)
        size = len(message.body)
        if not self._room() or (size > SMALL and self._held_sum + size > self._most_held):
            return self._plain(write, 503, COME_BACK)
        self.open += 1
        self._held_sum += size

        def answered(what: Reply | Verdict) -> None:
            self.open -= 1
            self._held_sum -= size
            write(lambda close: _render(what, attempt_id, close))

        errand = Errand(
            method=message.method,
            target=message.target,
            fields=passed_on(message, _OURS) + self._calling,
            body=message.body,
            attempt_id=attempt_id,
            deadline=self.now() + left_ms / 1000.0,
            answered=answered,
            waited_ms=waited_ms,
        )
        return self._begin(route, errand)

    @staticmethod
    def _plain(write: Callable[[Callable[[bool], bytes]], None], status: int, fields: bytes = b"") -> None:
        write(lambda close: rendered(status, fields, b"", close=close))


def _render(what: Reply | Verdict, attempt_id: bytes, close: bool) -> bytes:
    if isinstance(what, Reply):
        return rendered(what.status, what.fields, what.body, close=close)
    status, fields = what.status(), b"Attempt-Id: %s\r\n" % attempt_id
    if status == 503:
        fields += b"Retry-After: %.3f\r\n" % (max(RETRY_LEAST_MS, what.retry_ms) / 1000.0)
    return rendered(status, fields, b"", close=close)
