"""MessagePack-RPC connections to servers: a few per server, each with many concurrent calls.

A call is in one of three states: waiting for a connection with a free slot in its window, queued on a
connection whose write buffer is not empty, or written. Only a written call may have run: a frame is passed
to the socket once the previous one has left the buffer. This module never sends a call twice.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from leadrudder.interface import Outcome, ServerId
from leadrudder.node.contract import AttemptCallback, ClientRequest, HttpRequest, RpcCall, UpstreamResponse
from leadrudder.node.dialling import open_connection
from leadrudder.node.lists import Address, EndpointUpdate
from leadrudder.node.peers import EndpointTable
from leadrudder.node.reports import LoadReport
from leadrudder.rpc.errors import ErrorFormat, outcome_of_error
from leadrudder.rpc.framing import (
    MAX_MSGID,
    RESPONSE,
    MessageLimits,
    MessageReader,
    Response,
    encode_notification,
    encode_request,
)

log = logging.getLogger(__name__)

MAX_LATE_WINDOWS = 4  # a connection with so many windows of unanswered abandoned calls takes no new call
MAX_WAITING_WINDOWS = 2  # calls that may wait for one server, in windows of all its connections
TIMEOUT_CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """Settings of the connections to servers."""

    connections: int = 2  # to each server
    window: int = 32  # concurrent calls per connection
    silence_s: float = 10.0  # a connection with open calls that receives nothing for this long is dead
    idle_s: float = 15.0  # a connection without calls is closed after this time
    connect_s: float = 0.25
    most_open: int = 256  # open connections to all servers together
    probe: str = ""  # health check method; empty: a successful connect is enough
    limits: MessageLimits = field(default_factory=MessageLimits)
    error_format: ErrorFormat = field(default_factory=ErrorFormat)


class RpcUpstreamCall:
    """One call to a server; finishes exactly once."""

    __slots__ = ("_on_done", "_timer", "connection", "endpoint", "finished", "make_frame", "msgid", "written")

    def __init__(
        self,
        endpoint: RpcEndpoint | None,
        make_frame: Callable[[int], bytes],
        timeout_s: float,
        done: AttemptCallback,
    ) -> None:
        self.endpoint = endpoint
        self.make_frame = make_frame  # encodes the call for a msgid
        self.connection: RpcUpstreamConnection | None = None
        self.msgid = -1
        self.written = False
        self.finished = False
        self._on_done = done
        self._timer = asyncio.get_running_loop().call_later(timeout_s, self._time_out)

    def finish(self, outcome: Outcome, answer: UpstreamResponse | None = None) -> None:
        """Report the outcome; only the first one counts."""
        if self.finished:
            return
        self.finished = True
        self._timer.cancel()
        self._on_done(outcome, answer)

    def cancel(self, outcome: Outcome) -> None:
        """Abandon the call, not its connection: a late answer is dropped, its msgid reserved until then."""
        if self.finished:
            return
        if self.connection is not None:
            self.connection.abandon_call(self)
        elif self.endpoint is not None:
            self.endpoint.waiting.remove(self)
        self.finish(outcome)

    def _time_out(self) -> None:
        self.cancel(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class RpcEndpoint:
    """A listed server process and the connections to it."""

    name: str
    address: Address
    started_ms: float
    current: bool = True
    connections: list[RpcUpstreamConnection] = field(default_factory=list)
    connecting: int = 0
    waiting: deque[RpcUpstreamCall] = field(default_factory=deque)


class RpcUpstreamConnection(asyncio.Protocol):
    """One connection: open calls by msgid, answered in any order."""

    def __init__(self, endpoint: RpcEndpoint, servers: RpcUpstream) -> None:
        self.endpoint = endpoint
        self.calls: dict[int, RpcUpstreamCall] = {}
        self.late_msgids: set[int] = set()  # msgids of written calls that were abandoned before their answer
        self.last_received_s = 0.0  # loop time of the last byte, or of a call sent while none was open
        self.last_used_s = 0.0  # loop time at which a call last started or finished
        self._servers = servers
        self._loop = asyncio.get_running_loop()
        self._reader = MessageReader(servers.config.limits, frozenset({RESPONSE}))
        self._queue: deque[RpcUpstreamCall] = deque()
        self._write_paused = False
        self._last_msgid = 0
        self._transport: asyncio.Transport | None = None
        self._dial_abandoned = False

    def on_connect_failed(self) -> None:
        """The connect timeout expired: unregister the connection, and close it if it is established later."""
        self._dial_abandoned = True
        self.fail(Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        if self._dial_abandoned:
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=0)  # pauses until the previous frame has left the buffer
        self.last_received_s = self.last_used_s = self._loop.time()
        self._servers.connection_opened(self)

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def free_slots(self) -> int:
        """How many more calls fit into the window; 0 while too many abandoned calls are unanswered."""
        config = self._servers.config
        if not self.usable() or len(self.late_msgids) >= MAX_LATE_WINDOWS * config.window:
            return 0
        return config.window - len(self.calls)

    def send_call(self, call: RpcUpstreamCall) -> None:
        """Assign an unused msgid to a call, and write it as soon as the socket accepts data."""
        self._last_msgid = self._last_msgid % MAX_MSGID + 1
        while self._last_msgid in self.calls or self._last_msgid in self.late_msgids:
            self._last_msgid = self._last_msgid % MAX_MSGID + 1
        call.connection, call.msgid = self, self._last_msgid
        if not self.calls:
            self.last_received_s = self._loop.time()
        self.calls[call.msgid] = call
        self.last_used_s = self._loop.time()
        self._queue.append(call)
        self._flush()

    def _flush(self) -> None:
        while self._queue and not self._write_paused and self.usable():
            call = self._queue.popleft()
            assert self._transport is not None
            call.written = True
            self._transport.write(call.make_frame(call.msgid))

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        self._flush()

    def abandon_call(self, call: RpcUpstreamCall) -> None:
        """Drop a call whose caller no longer waits."""
        del self.calls[call.msgid]
        if call.written:
            self.late_msgids.add(call.msgid)
        else:
            self._queue.remove(call)
        self._call_finished()

    def data_received(self, data: bytes) -> None:
        self.last_received_s = self._loop.time()
        for message in self._reader.feed(data):
            assert isinstance(message, Response)
            if not self._handle_response(message):
                return
        if self._reader.failure is not None:
            log.warning(
                "server %s sent an invalid message; closing the connection: %s",
                self.endpoint.name,
                self._reader.failure,
            )
            self.fail(Outcome.SPOILT)

    def _handle_response(self, message: Response) -> bool:
        """Handle one response; False if it failed the connection.

        After a response to an unknown msgid, or a second one to the same call, no msgid on the connection
        can be trusted.
        """
        if message.msgid in self.late_msgids:
            self.late_msgids.discard(message.msgid)
            self._call_finished()
            return True
        call = self.calls.get(message.msgid)
        if call is None or not call.written:
            log.warning(
                "server %s answered msgid %d, which is not open; closing the connection",
                self.endpoint.name,
                message.msgid,
            )
            self.fail(Outcome.SPOILT)
            return False
        del self.calls[message.msgid]
        outcome = outcome_of_error(message.error, self._servers.config.error_format)
        answer = UpstreamResponse(message.result, packed=True) if outcome is Outcome.OK else None
        self._call_finished()
        call.finish(outcome, answer)
        return True

    def _call_finished(self) -> None:
        """Use the free window slot, or close the connection after the last call of a removed server."""
        self.last_used_s = self._loop.time()
        if self.endpoint.current:
            self._servers.dispatch_waiting(self.endpoint)
        elif not self.calls:
            self.abort()

    def drain(self) -> None:
        """The server is draining or removed: write no new call, and let open ones finish."""
        queued, self._queue = list(self._queue), deque()
        for call in queued:
            self.calls.pop(call.msgid, None)
            call.finish(Outcome.MOOT)
        if not self.calls:
            self.abort()

    def fail(self, outcome: Outcome) -> None:
        """Abort the connection and finish its calls: a call that was not written never ran."""
        calls, self.calls = list(self.calls.values()), {}
        self._queue.clear()
        self.abort()
        for call in calls:
            call.finish(outcome if call.written else Outcome.CONNECT_FAILED)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._servers.connection_closed(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.fail(Outcome.RESET)

    def check_timeouts(self, now: float) -> None:
        """Fail the connection if it is silent with open calls; close it if it has been idle for too long."""
        config = self._servers.config
        if self.calls:
            if now - self.last_received_s > config.silence_s:
                log.warning(
                    "server %s: nothing received for %.1f s; closing the connection",
                    self.endpoint.name,
                    config.silence_s,
                )
                self.fail(Outcome.TIMEOUT)
        elif now - self.last_used_s > config.idle_s:
            self.abort()


class RpcUpstream:
    """All listed servers and the connections to them."""

    def __init__(
        self,
        config: UpstreamConfig,
        to_rpc: Callable[[ClientRequest], RpcCall],
        to_http_body: Callable[[UpstreamResponse], UpstreamResponse],
    ) -> None:
        """to_rpc converts a request for these servers, to_http_body their answers for HTTP callers."""
        self.config = config
        self._to_rpc = to_rpc
        self._to_http_body = to_http_body
        self._loop = asyncio.get_running_loop()
        self._table: EndpointTable[RpcEndpoint] = EndpointTable(RpcEndpoint, self._on_endpoint_dropped)
        self._connections: dict[RpcUpstreamConnection, None] = {}
        self._connect_tasks: dict[asyncio.Task[None], None] = {}
        self._timeout_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    # Server list.

    def update(self, listing: EndpointUpdate) -> list[ServerId]:
        """Apply a server list; returns the servers whose address now belongs to another server."""
        return self._table.update(listing)

    def _on_endpoint_dropped(self, _: ServerId, endpoint: RpcEndpoint) -> None:
        waiting, endpoint.waiting = list(endpoint.waiting), deque()
        for call in waiting:
            call.finish(Outcome.MOOT)
        for connection in list(endpoint.connections):
            connection.drain()

    def has_endpoints(self) -> bool:
        return bool(self._table.endpoints)

    def open_connection_count(self) -> int:
        return len(self._connections)

    # Calls.

    def attempt(
        self, server: ServerId, client_request: ClientRequest, timeout_s: float, done: AttemptCallback
    ) -> RpcUpstreamCall:
        """Start one attempt of a request. A notification counts as served once it is written."""
        call = self._to_rpc(client_request)
        if isinstance(client_request.call, HttpRequest):
            on_done = done

            def done(outcome: Outcome, answer: UpstreamResponse | None, report: LoadReport = (), /) -> None:
                on_done(outcome, None if answer is None else self._to_http_body(answer))

        if call.notification:
            return self._send_notification(server, call, timeout_s, done)
        return self._start_call(
            server, lambda msgid: encode_request(msgid, call.method, call.params), timeout_s, done
        )

    def _send_notification(
        self, server: ServerId, call: RpcCall, timeout_s: float, done: AttemptCallback
    ) -> RpcUpstreamCall:
        """Send a notification, which has no response: it finishes once its bytes are passed to the socket."""

        def make_frame(msgid: int) -> bytes:
            self._loop.call_soon(self._notification_sent, started)
            return encode_notification(call.method, call.params)

        started = self._start_call(server, make_frame, timeout_s, done)
        return started  # noqa: RET504 - make_frame refers to it

    @staticmethod
    def _notification_sent(call: RpcUpstreamCall) -> None:
        if not call.finished and call.connection is not None:
            call.connection.calls.pop(call.msgid, None)
            call.finish(Outcome.OK, UpstreamResponse(b"\xc0", packed=True))

    def probe(self, server: ServerId, timeout_s: float, done: AttemptCallback) -> RpcUpstreamCall:
        """Check the health of a server: by the configured method, otherwise by opening a connection."""
        if self.config.probe:
            method = self.config.probe
            return self._start_call(
                server, lambda msgid: encode_request(msgid, method, b"\x90"), timeout_s, done
            )
        endpoint = self._table.endpoints.get(server)
        call = RpcUpstreamCall(None, lambda _: b"", timeout_s, done)
        if endpoint is None:
            self._loop.call_soon(call.finish, Outcome.CONNECT_FAILED)
        else:
            self._open_connection(endpoint, call)
        return call

    def _start_call(
        self, server: ServerId, make_frame: Callable[[int], bytes], timeout_s: float, done: AttemptCallback
    ) -> RpcUpstreamCall:
        endpoint = self._table.endpoints.get(server)
        call = RpcUpstreamCall(endpoint, make_frame, timeout_s, done)
        max_waiting = MAX_WAITING_WINDOWS * self.config.window * self.config.connections
        if endpoint is None or len(endpoint.waiting) >= max_waiting:
            call.endpoint = None
            self._loop.call_soon(call.finish, Outcome.CONNECT_FAILED)
            return call
        endpoint.waiting.append(call)
        # Deferred: the outcome must not be reported before this returns, and a write may fail at once.
        self._loop.call_soon(self.dispatch_waiting, endpoint)
        return call

    def dispatch_waiting(self, endpoint: RpcEndpoint) -> None:
        """Assign waiting calls to free slots, and open another connection if some would still wait."""
        while endpoint.waiting:
            best = max(endpoint.connections, key=RpcUpstreamConnection.free_slots, default=None)
            if best is None or best.free_slots() <= 0:
                break
            best.send_call(endpoint.waiting.popleft())
        expected_slots = endpoint.connecting * self.config.window
        if (
            len(endpoint.waiting) > expected_slots
            and len(endpoint.connections) + endpoint.connecting < self.config.connections
        ):
            self._open_connection(endpoint, None)

    def _open_connection(self, endpoint: RpcEndpoint, probe: RpcUpstreamCall | None) -> None:
        if (
            len(self._connections) + len(self._connect_tasks) >= self.config.most_open
            and not self._close_longest_idle()
        ):
            log.warning("connection limit reached; cannot connect to server %s", endpoint.name)
            self._connect_failed(endpoint, probe)
            return
        endpoint.connecting += 1
        task = self._loop.create_task(self._connect(endpoint, probe))
        self._connect_tasks[task] = None
        task.add_done_callback(lambda done: self._connect_tasks.pop(done, None))

    async def _connect(self, endpoint: RpcEndpoint, probe: RpcUpstreamCall | None) -> None:
        host, port = endpoint.address
        try:
            await open_connection(
                lambda: RpcUpstreamConnection(endpoint, self), host, port, self.config.connect_s
            )
        except (OSError, TimeoutError):
            endpoint.connecting -= 1
            self._connect_failed(endpoint, probe)
            return
        endpoint.connecting -= 1
        if probe is not None:
            probe.finish(Outcome.OK)
        if endpoint.current:
            self.dispatch_waiting(endpoint)

    def _connect_failed(self, endpoint: RpcEndpoint, probe: RpcUpstreamCall | None) -> None:
        """A connect failed; if no other connection is open or in progress, waiting calls fail unsent."""
        if probe is not None:
            probe.finish(Outcome.CONNECT_FAILED)
        elif not any(c.usable() for c in endpoint.connections) and not endpoint.connecting:
            waiting, endpoint.waiting = list(endpoint.waiting), deque()
            for call in waiting:
                call.finish(Outcome.CONNECT_FAILED)

    # Connections.

    def connection_opened(self, connection: RpcUpstreamConnection) -> None:
        self._connections[connection] = None
        connection.endpoint.connections.append(connection)
        if not connection.endpoint.current:
            connection.abort()

    def connection_closed(self, connection: RpcUpstreamConnection) -> None:
        """Unregister a connection; waiting calls may need another one."""
        self._connections.pop(connection, None)
        endpoint = connection.endpoint
        if connection in endpoint.connections:
            endpoint.connections.remove(connection)
            if endpoint.current and endpoint.waiting:
                self._loop.call_soon(self.dispatch_waiting, endpoint)

    def close_idle(self, server: ServerId) -> None:
        endpoint = self._table.endpoints.get(server)
        for connection in list(endpoint.connections) if endpoint is not None else ():
            if not connection.calls:
                connection.abort()

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; False if none is idle."""
        idle = [c for c in self._connections if not c.calls]
        if not idle:
            return False
        min(idle, key=lambda c: c.last_used_s).abort()
        return True

    def _check_timeouts(self) -> None:
        self._timeout_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        now = self._loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def close(self) -> None:
        """Finish all calls and close all connections."""
        self._timeout_timer.cancel()
        for task in list(self._connect_tasks):
            task.cancel()
        for endpoint in self._table.endpoints.values():
            waiting, endpoint.waiting = list(endpoint.waiting), deque()
            for call in waiting:
                call.finish(Outcome.CONNECT_FAILED)
        for connection in list(self._connections):
            connection.fail(Outcome.RESET)
