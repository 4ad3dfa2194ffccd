"""The side towards the servers: attempts and probes, one outcome each, and the idle connections between them.

Nothing is ever sent twice here.  Whatever ends after the request was handed to the socket may have run; only
what ended before that is told as 'could not connect'.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import cast

from leadrudder.interface import Outcome, ServerId
from leadrudder.node import contract
from leadrudder.node.contract import ClientRequest, HttpRequest, UpstreamResponse
from leadrudder.node.dialling import open_connection
from leadrudder.node.http import (
    CONTENT_TYPE_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    HttpMessage,
    HttpMessageError,
    HttpParser,
    render_request_head,
)
from leadrudder.node.lists import Address, EndpointUpdate
from leadrudder.node.peers import EndpointTable
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.node.reports import LoadReportParser

log = logging.getLogger(__name__)

IDLE_PART = 0.5  # of the time after which servers close: a request must never cross that close
SWEEP_S = 1.0
# Servers may close idle connections sooner than they say, and what crosses that close may have run. One that
# has closed an idle connection, or reset what came on one, is trusted half as long from then on, and after
# some time as before. A close right behind an answer says nothing: it is seen before the next call.
MIN_TRUSTED_IDLE_S = 0.05
TRUST_BACK = 1.03  # for each sweep
# Surplus that a server sends right behind an answer is there within a round trip, and is not to be taken for
# the next answer: this is some ten round trips within a hall.
QUIET_BEFORE_REUSE_S = 0.005

CallCallback = Callable[[Outcome, HttpMessage | None], None]
RequestRenderer = Callable[[float], bytes]


class UpstreamCall:
    """One request to a server: an attempt or a probe.  It ends once, with one outcome."""

    __slots__ = ("_done", "_loop", "_timer", "connection", "deadline", "ended", "render", "written")

    def __init__(self, render: RequestRenderer, timeout_s: float, done: CallCallback) -> None:
        self._loop = asyncio.get_running_loop()
        self.render = render
        self.deadline = self._loop.time() + timeout_s
        self.connection: UpstreamConnection | None = None
        self.written = False
        self.ended = False
        self._done = done
        self._timer = self._loop.call_later(timeout_s, self._time_out)

    def end(self, outcome: Outcome, answer: HttpMessage | None = None) -> None:
        """The one outcome; later ones are nobody's."""
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        self.connection = None
        self._done(outcome, answer)

    def cancel(self, outcome: Outcome) -> None:
        """Stop waiting.  The connection goes with the call, so that its late bytes reach no other request."""
        connection = self.connection
        if not self.ended and connection is not None:
            connection.abandon()
        self.end(outcome)

    def _time_out(self) -> None:
        self.cancel(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server; carries one call at a time."""

    def __init__(self, peer: Endpoint, servers: HttpUpstream) -> None:
        self.peer = peer
        self.idle_since = 0.0
        self._rested = 0.0  # seconds that it had been idle when it was used again
        self._servers = servers
        self._call: UpstreamCall | None = None
        self._answer: HttpMessage | None = None
        self._reader = self.reader()
        self._transport: asyncio.Transport | None = None
        self._given_up = False

    def reader(self) -> HttpParser:
        """What reads its answers."""
        return HttpParser(self._on_answer, requests=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        if self._given_up:
            self._transport.abort()
        else:
            self._servers.opened(self)

    def on_connect_failed(self) -> None:
        """The time to come up is over: it is not counted as open, and if it still comes up it is closed."""
        self._given_up = True
        self.abandon()
        self._servers.closed(self)

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def quiet(self) -> bool:
        """Whether nothing has come in that was not read yet: neither surplus bytes nor the server's close."""
        if not self.usable():
            return False
        assert self._transport is not None
        return not self._servers.platform.has_unread_input(self._transport)

    def carry(self, call: UpstreamCall) -> None:
        """Write the call's request; from here on it may have run."""
        assert self._transport is not None
        self._rested = asyncio.get_running_loop().time() - self.idle_since if self.idle_since else 0.0
        self._call = call
        call.connection = self
        call.written = True
        self._transport.write(call.render(call.deadline - asyncio.get_running_loop().time()))

    def abandon(self) -> None:
        """Close at once; what still comes in is not read."""
        self._call = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._call is None:
            self.abandon()  # nothing was asked: what speaks here must not meet the next request
            return
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            log.warning("server %s: %s", self.peer.name, error)
            self._break(Outcome.SPOILT)
            return
        if self._answer is not None:
            self._finish(self._answer)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._servers.closed(self)
        if self._call is not None:
            self._servers.distrust(self.peer, self._rested)
        self._break()

    def _break(self, outcome: Outcome = Outcome.RESET) -> None:
        call = self._call
        self.abandon()
        if call is not None:
            call.end(outcome)

    def _on_answer(self, message: HttpMessage) -> None:
        """The first whole message is the answer; the parser may still be inside the same piece of input."""
        self._reader.stop()
        self._answer = message

    def _finish(self, answer: HttpMessage) -> None:
        """Hand on the answer.  A connection that brought more than that must not meet another request."""
        call, self._call, self._answer = self._call, None, None
        if answer.keep_alive and self.usable() and not self._reader.surplus:
            self._reader.resume()
            self._servers.rest(self)
        else:
            self.abandon()
        if call is not None:
            call.end(_outcome(answer), answer)


def _outcome(message: HttpMessage) -> Outcome:
    if message.status == 200:
        return Outcome.OK
    if message.status in (503, 504) and message.headers.get(NOT_RUN_HEADER) == b"1":
        return Outcome.FULL
    if 400 <= message.status < 500:
        return Outcome.REJECTED
    return Outcome.ERROR


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server process as it is listed, and this node's idle connections to it, the latest used last."""

    name: str
    address: tuple[str, int]
    started_ms: float
    trusted_s: float  # how long a connection may have been idle to be used again
    idle: list[UpstreamConnection] = field(default_factory=list)
    current: bool = True  # False once drained, gone or restarted: its connections are not kept

    def distrust(self, idle_s: float) -> None:
        """It ended a connection that had been idle so long."""
        if idle_s >= MIN_TRUSTED_IDLE_S:
            self.trusted_s = min(self.trusted_s, IDLE_PART * idle_s)


class HttpUpstream:
    """All servers that the list has named, and every open connection to them."""

    connection: type[UpstreamConnection] = UpstreamConnection  # what it opens

    def __init__(
        self,
        *,
        connect_s: float,
        idle_s: float,
        most_open: int,
        host: bytes = b"",
        columns: tuple[str, ...] = (),
        platform: Platform = SYSTEM,
    ) -> None:
        self.platform = platform
        self._loop = asyncio.get_running_loop()
        self._connect_s = connect_s
        self._idle_s = IDLE_PART * idle_s
        self._most_open = most_open
        self._reports = LoadReportParser(columns)
        self._host = host  # how this node names itself to servers
        self._table: EndpointTable[Endpoint] = EndpointTable(self._peer, self._dropped)
        self._peers = self._table.endpoints
        self._doubted: dict[Endpoint, None] = {}  # those trusted less than usual
        self._idle: dict[UpstreamConnection, None] = {}  # the longest idle first
        self._open: dict[UpstreamConnection, None] = {}  # sets with an order: the same at every play
        self._opening: dict[asyncio.Task[None], None] = {}
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    # What the list says.

    def _peer(self, name: str, address: Address, started_ms: float) -> Endpoint:
        return Endpoint(name, address, started_ms, self._idle_s)

    def update(self, listing: EndpointUpdate) -> list[ServerId]:
        """Follow the list; returns the servers whose address is another's now."""
        return self._table.update(listing)

    def _dropped(self, _: ServerId, peer: Endpoint) -> None:
        self._shed(list(peer.idle))
        self._doubted.pop(peer, None)

    def has_endpoints(self) -> bool:
        return bool(self._peers)

    def open_connection_count(self) -> int:
        return len(self._open)

    # Calls.

    def attempt(
        self, server: ServerId, ask: ClientRequest, timeout_s: float, done: contract.AttemptCallback
    ) -> UpstreamCall:
        """One attempt of a request, as the contract has it."""
        assert isinstance(ask.call, HttpRequest)
        head, body = render_request_head(ask.id, ask.call, self._host), ask.call.body

        def render(seconds: float) -> bytes:
            return b"%sX-Deadline: %.3f\r\n\r\n%s" % (head, seconds, body)

        def ended(outcome: Outcome, message: HttpMessage | None) -> None:
            if message is None:
                done(outcome, None)
                return
            answer = None
            if outcome is Outcome.OK:
                answer = UpstreamResponse(message.body, message.headers.get(CONTENT_TYPE_HEADER))
            done(outcome, answer, self._reports.parse(message.headers.get(LOAD_HEADER)))

        return self.call(server, render, timeout_s, ended)

    def probe(self, server: ServerId, timeout_s: float, done: contract.AttemptCallback) -> UpstreamCall:
        text = b"GET /health HTTP/1.1\r\nHost: %s\r\n\r\n" % self._host

        def ended(outcome: Outcome, message: HttpMessage | None) -> None:
            load = message.headers.get(LOAD_HEADER) if message is not None else None
            done(outcome, None, self._reports.parse(load))

        return self.call(server, lambda _: text, timeout_s, ended)

    def call(
        self, server: ServerId, render: RequestRenderer, timeout_s: float, done: CallCallback
    ) -> UpstreamCall:
        """Start one call; its outcome comes by done, once, at the earliest after this returns."""
        call = UpstreamCall(render, timeout_s, done)
        peer = self._peers.get(server)
        if peer is None:
            self._loop.call_soon(call.end, Outcome.CONNECT_FAILED)
            return call
        connection = self._rested(peer)
        if connection is not None:
            connection.carry(call)
            return call
        if not self._room():
            log.warning("no descriptor left for a connection to %s", peer.name)
            self._loop.call_soon(call.end, Outcome.CONNECT_FAILED)
            return call
        task = self._loop.create_task(self._connect(peer, call))
        self._opening[task] = None
        task.add_done_callback(lambda done: self._opening.pop(done, None))
        return call

    async def _connect(self, peer: Endpoint, call: UpstreamCall) -> None:
        host, port = peer.address
        try:
            connection = await open_connection(
                lambda: self.connection(peer, self), host, port, self._connect_s
            )
        except (OSError, TimeoutError):
            call.end(Outcome.CONNECT_FAILED)
            return
        if call.ended:
            self.rest(connection)
        elif not peer.current:
            # Drained, gone or restarted meanwhile: what was decided for it is not to reach it any more.
            connection.abandon()
            call.end(Outcome.MOOT)
        elif connection.usable():
            connection.carry(call)
        else:
            call.end(Outcome.CONNECT_FAILED)

    def _rested(self, peer: Endpoint) -> UpstreamConnection | None:
        """The idle connection used last among those that have been quiet for a while after their answer."""
        now = self._loop.time()
        for i in range(len(peer.idle) - 1, -1, -1):
            connection = peer.idle[i]
            if now - connection.idle_since >= QUIET_BEFORE_REUSE_S:
                del peer.idle[i]
                del self._idle[connection]
                if now - connection.idle_since <= peer.trusted_s and connection.quiet():
                    return connection
                connection.abandon()
        return None

    # Connections.

    def opened(self, connection: UpstreamConnection) -> None:
        self._open[connection] = None

    def closed(self, connection: UpstreamConnection) -> None:
        self._open.pop(connection, None)
        if connection in self._idle:
            self._unrest(connection)
            self.distrust(connection.peer, self._loop.time() - connection.idle_since)

    def distrust(self, peer: Endpoint, idle_s: float) -> None:
        """A server ended a connection, or reset what came on it, after it had been idle so long."""
        peer.distrust(idle_s)
        if peer.current and peer.trusted_s < self._idle_s:
            self._doubted[peer] = None

    def _unrest(self, connection: UpstreamConnection) -> None:
        connection.peer.idle.remove(connection)
        del self._idle[connection]

    def rest(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call, if its server is still the same process."""
        if not connection.peer.current:
            connection.abandon()
            return
        connection.idle_since = self._loop.time()
        connection.peer.idle.append(connection)
        self._idle[connection] = None

    def close_idle(self, server: ServerId) -> None:
        peer = self._peers.get(server)
        if peer is not None:
            self._shed(list(peer.idle))

    def close(self) -> None:
        """Leave nothing open."""
        self._sweeper.cancel()
        for task in list(self._opening):
            task.cancel()
        for connection in list(self._open):
            connection.abandon()

    def _shed(self, connections: Iterable[UpstreamConnection]) -> None:
        for connection in connections:
            self._unrest(connection)
            connection.abandon()

    def _room(self) -> bool:
        """Whether one more may be opened; the connection that has been idle longest makes way for it."""
        if len(self._open) + len(self._opening) < self._most_open:
            return True
        oldest = next(iter(self._idle), None)
        if oldest is None:
            return False
        self._shed([oldest])
        return True

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        for peer in list(self._doubted):
            peer.trusted_s = min(self._idle_s, TRUST_BACK * peer.trusted_s)
            if peer.trusted_s == self._idle_s:
                del self._doubted[peer]
        self._shed([c for c in self._idle if now - c.idle_since > c.peer.trusted_s])
