"""The HTTP upstream: attempts and probes with one outcome each, and a pool of idle connections.

Nothing is ever sent twice here.  Whatever ends after the request was handed to the socket may have run; only
what ended before that is reported as CONNECT_FAILED.
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

IDLE_TIMEOUT_FRACTION = 0.5  # of the servers' idle timeout: a request must never cross their close
SWEEP_INTERVAL_S = 1.0
# Servers may close idle connections earlier than configured, and what crosses the close may have run.
# After a server closed an idle connection, or reset a request on one, connections to it are reused only up
# to half that idle time; the limit then grows back with each sweep.  A close right after a response is
# ignored, because it is seen before the next request.
MIN_TRUSTED_IDLE_S = 0.05
TRUST_GROWTH_FACTOR = 1.03  # per sweep
# Surplus input that a server sends right after a response arrives within a round trip and must not be taken
# for the next response.  This is some ten round trips within a data centre.
QUIET_BEFORE_REUSE_S = 0.005

CallCallback = Callable[[Outcome, HttpMessage | None], None]
RequestRenderer = Callable[[float], bytes]


class UpstreamCall:
    """One request to a server, an attempt or a probe.  It ends once, with one outcome."""

    __slots__ = ("_done", "_loop", "_timer", "connection", "deadline", "ended", "render", "written")

    def __init__(self, render: RequestRenderer, timeout_s: float, done: CallCallback) -> None:
        self._loop = asyncio.get_running_loop()
        self.render = render
        self.deadline = self._loop.time() + timeout_s
        self.connection: UpstreamConnection | None = None
        self.written = False
        self.ended = False
        self._done = done
        self._timer = self._loop.call_later(timeout_s, self._on_timeout)

    def end(self, outcome: Outcome, response: HttpMessage | None = None) -> None:
        """Report the outcome; any later one is ignored."""
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        self.connection = None
        self._done(outcome, response)

    def cancel(self, outcome: Outcome) -> None:
        """Stop waiting.  The connection is dropped as well, so that late bytes reach no other request."""
        connection = self.connection
        if not self.ended and connection is not None:
            connection.drop()
        self.end(outcome)

    def _on_timeout(self) -> None:
        self.cancel(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server, used by one call at a time."""

    def __init__(self, endpoint: Endpoint, upstream: HttpUpstream) -> None:
        self.endpoint = endpoint
        self.idle_since_s = 0.0
        self._idle_before_use_s = 0.0  # how long it had been idle before its present call
        self._upstream = upstream
        self._call: UpstreamCall | None = None
        self._response: HttpMessage | None = None
        self._parser = self.create_parser()
        self._transport: asyncio.Transport | None = None
        self._connect_failed = False

    def create_parser(self) -> HttpParser:
        """The parser for its responses."""
        return HttpParser(self._on_response, requests=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not a subclass
        if self._connect_failed:
            self._transport.abort()
        else:
            self._upstream.opened(self)

    def on_connect_failed(self) -> None:
        """The connect timed out: it does not count as open, and is closed if it is still established."""
        self._connect_failed = True
        self.drop()
        self._upstream.closed(self)

    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def is_quiet(self) -> bool:
        """Whether there is no unread input: neither surplus bytes nor the server's close."""
        if not self.is_open():
            return False
        assert self._transport is not None
        return not self._upstream.platform.has_unread_input(self._transport)

    def may_carry(self, render: RequestRenderer) -> bool:
        """Whether a request may be sent on this idle connection."""
        return True

    def send(self, call: UpstreamCall) -> None:
        """Write the call's request, which may have run from here on."""
        assert self._transport is not None
        self._idle_before_use_s = (
            asyncio.get_running_loop().time() - self.idle_since_s if self.idle_since_s else 0.0
        )
        self._call = call
        call.connection = self
        call.written = True
        self._transport.write(call.render(call.deadline - asyncio.get_running_loop().time()))

    def drop(self) -> None:
        """Close at once, without reading further input."""
        self._call = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._call is None:
            self.drop()  # unsolicited input must not be taken for the next response
            return
        try:
            self._parser.feed(data)
        except HttpMessageError as error:
            log.warning("server %s: %s", self.endpoint.name, error)
            self._fail(Outcome.SPOILT)
            return
        if self._response is not None:
            self._finish(self._response)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._upstream.closed(self)
        if self._call is not None:
            self._upstream.distrust(self.endpoint, self._idle_before_use_s)
        self._fail()

    def _fail(self, outcome: Outcome = Outcome.RESET) -> None:
        call = self._call
        self.drop()
        if call is not None:
            call.end(outcome)

    def _on_response(self, message: HttpMessage) -> None:
        """Take the first complete message as the response; the parser may still be inside the same input."""
        self._parser.stop()
        self._response = message

    def _finish(self, response: HttpMessage) -> None:
        """Report the response.  A connection that brought surplus input is not used again."""
        call, self._call, self._response = self._call, None, None
        if response.keep_alive and self.is_open() and not self._parser.has_surplus:
            self._parser.resume()
            self._upstream.release(self)
        else:
            self.drop()
        if call is not None:
            call.end(_outcome(response), response)


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
    """A server process from the endpoint list, with this node's idle connections, most recently used last."""

    name: str
    address: tuple[str, int]
    started_ms: float
    trusted_idle_s: float  # the longest idle time after which a connection is used again
    idle: list[UpstreamConnection] = field(default_factory=list)
    current: bool = True  # False once drained, gone or restarted; its connections are then dropped

    def distrust(self, idle_duration_s: float) -> None:
        """Reuse connections for a shorter time, after the server ended one that had been idle this long."""
        if idle_duration_s >= MIN_TRUSTED_IDLE_S:
            self.trusted_idle_s = min(self.trusted_idle_s, IDLE_TIMEOUT_FRACTION * idle_duration_s)


class HttpUpstream:
    """All listed HTTP servers and every open connection to them."""

    connection: type[UpstreamConnection] = UpstreamConnection  # the class of new connections

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        host_header: bytes = b"",
        load_columns: tuple[str, ...] = (),
        platform: Platform = SYSTEM,
    ) -> None:
        self.platform = platform
        self._loop = asyncio.get_running_loop()
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = IDLE_TIMEOUT_FRACTION * idle_timeout_s
        self._max_connections = max_connections
        self._reports = LoadReportParser(load_columns)
        self._host_header = host_header  # value of the Host header
        self._endpoint_table: EndpointTable[Endpoint] = EndpointTable(
            self._create_endpoint, self._on_endpoint_dropped
        )
        self._endpoints = self._endpoint_table.endpoints
        self._distrusted: dict[Endpoint, None] = {}  # those with a shortened trusted idle time
        self._idle: dict[UpstreamConnection, None] = {}  # longest idle first
        self._connections: dict[UpstreamConnection, None] = {}  # an ordered set, for repeatable runs
        self._connecting: dict[asyncio.Task[None], None] = {}
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # Endpoints.

    def _create_endpoint(self, name: str, address: Address, started_ms: float) -> Endpoint:
        return Endpoint(name, address, started_ms, self._idle_timeout_s)

    def update(self, update: EndpointUpdate) -> list[ServerId]:
        """Apply an endpoint update; returns the servers whose address now belongs to another server."""
        return self._endpoint_table.update(update)

    def _on_endpoint_dropped(self, _: ServerId, endpoint: Endpoint) -> None:
        self._drop_idle(list(endpoint.idle))
        self._distrusted.pop(endpoint, None)

    def has_endpoints(self) -> bool:
        return bool(self._endpoints)

    def open_connection_count(self) -> int:
        return len(self._connections)

    # Calls.

    def attempt(
        self,
        server: ServerId,
        client_request: ClientRequest,
        timeout_s: float,
        done: contract.AttemptCallback,
    ) -> UpstreamCall:
        """Start one attempt of a request; see contract.Upstream."""
        assert isinstance(client_request.call, HttpRequest)
        head, body = (
            render_request_head(client_request.id, client_request.call, self._host_header),
            client_request.call.body,
        )

        def render(seconds: float) -> bytes:
            return b"%sX-Deadline: %.3f\r\n\r\n%s" % (head, seconds, body)

        def ended(outcome: Outcome, message: HttpMessage | None) -> None:
            if message is None:
                done(outcome, None)
                return
            response = None
            if outcome is Outcome.OK:
                response = UpstreamResponse(message.body, message.headers.get(CONTENT_TYPE_HEADER))
            done(outcome, response, self._reports.parse(message.headers.get(LOAD_HEADER)))

        return self.call(server, render, timeout_s, ended)

    def probe(self, server: ServerId, timeout_s: float, done: contract.AttemptCallback) -> UpstreamCall:
        head = b"GET /health HTTP/1.1\r\nHost: %s\r\n\r\n" % self._host_header

        def ended(outcome: Outcome, message: HttpMessage | None) -> None:
            load = message.headers.get(LOAD_HEADER) if message is not None else None
            done(outcome, None, self._reports.parse(load))

        return self.call(server, lambda _: head, timeout_s, ended)

    def call(
        self, server: ServerId, render: RequestRenderer, timeout_s: float, done: CallCallback
    ) -> UpstreamCall:
        """Start one call; done is called once with its outcome, never before this returns."""
        call = UpstreamCall(render, timeout_s, done)
        endpoint = self._endpoints.get(server)
        if endpoint is None:
            self._loop.call_soon(call.end, Outcome.CONNECT_FAILED)
            return call
        connection = self._take_idle(endpoint, render)
        if connection is not None:
            connection.send(call)
            return call
        if not self._make_room():
            log.warning("no descriptor left for a connection to %s", endpoint.name)
            self._loop.call_soon(call.end, Outcome.CONNECT_FAILED)
            return call
        task = self._loop.create_task(self._connect(endpoint, call))
        self._connecting[task] = None
        task.add_done_callback(lambda done: self._connecting.pop(done, None))
        return call

    async def _connect(self, endpoint: Endpoint, call: UpstreamCall) -> None:
        host, port = endpoint.address
        try:
            connection = await open_connection(
                lambda: self.connection(endpoint, self), host, port, self._connect_timeout_s
            )
        except (OSError, TimeoutError):
            call.end(Outcome.CONNECT_FAILED)
            return
        if call.ended:
            self.release(connection)
        elif not endpoint.current:
            # Drained, gone or restarted meanwhile: requests chosen for it must no longer reach it.
            connection.drop()
            call.end(Outcome.MOOT)
        elif connection.is_open():
            connection.send(call)
        else:
            call.end(Outcome.CONNECT_FAILED)

    def _take_idle(self, endpoint: Endpoint, render: RequestRenderer) -> UpstreamConnection | None:
        """The most recently used idle connection that may carry a request, and that has stayed quiet long
        enough since its response.
        """
        now = self._loop.time()
        for i in range(len(endpoint.idle) - 1, -1, -1):
            connection = endpoint.idle[i]
            if now - connection.idle_since_s >= QUIET_BEFORE_REUSE_S and connection.may_carry(render):
                del endpoint.idle[i]
                del self._idle[connection]
                if now - connection.idle_since_s <= endpoint.trusted_idle_s and connection.is_quiet():
                    return connection
                connection.drop()
        return None

    # Connections.

    def opened(self, connection: UpstreamConnection) -> None:
        self._connections[connection] = None

    def closed(self, connection: UpstreamConnection) -> None:
        self._connections.pop(connection, None)
        if connection in self._idle:
            self._remove_idle(connection)
            self.distrust(connection.endpoint, self._loop.time() - connection.idle_since_s)

    def distrust(self, endpoint: Endpoint, idle_duration_s: float) -> None:
        """A server ended a connection, or reset a request on it, after it had been idle this long."""
        endpoint.distrust(idle_duration_s)
        if endpoint.current and endpoint.trusted_idle_s < self._idle_timeout_s:
            self._distrusted[endpoint] = None

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        connection.endpoint.idle.remove(connection)
        del self._idle[connection]

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse if its server is still the same process."""
        if not connection.endpoint.current:
            connection.drop()
            return
        connection.idle_since_s = self._loop.time()
        connection.endpoint.idle.append(connection)
        self._idle[connection] = None

    def close_idle(self, server: ServerId) -> None:
        endpoint = self._endpoints.get(server)
        if endpoint is not None:
            self._drop_idle(list(endpoint.idle))

    def close(self) -> None:
        """Close every connection and stop connecting."""
        self._sweep_timer.cancel()
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._connections):
            connection.drop()

    def _drop_idle(self, connections: Iterable[UpstreamConnection]) -> None:
        for connection in connections:
            self._remove_idle(connection)
            connection.drop()

    def _make_room(self) -> bool:
        """Whether another connection may be opened; closes the longest idle one to make room."""
        if len(self._connections) + len(self._connecting) < self._max_connections:
            return True
        oldest = next(iter(self._idle), None)
        if oldest is None:
            return False
        self._drop_idle([oldest])
        return True

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for endpoint in list(self._distrusted):
            endpoint.trusted_idle_s = min(self._idle_timeout_s, TRUST_GROWTH_FACTOR * endpoint.trusted_idle_s)
            if endpoint.trusted_idle_s == self._idle_timeout_s:
                del self._distrusted[endpoint]
        self._drop_idle([c for c in self._idle if now - c.idle_since_s > c.endpoint.trusted_idle_s])
