"""The side towards MessagePack-RPC servers: a few connections to each, many calls on each of them.

A call is one of three: waiting for a connection with room in its window, queued on a connection whose buffer
has not emptied, or written. Only what is written may have run: a frame is handed to the socket when the one
before has left it. Nothing is ever sent twice here.
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
from leadrudder.rpc.errors import Form, outcome
from leadrudder.rpc.framing import (
    MSGID_MOST,
    RESPONSE,
    Limits,
    Reader,
    Response,
    notification,
    request,
)

log = logging.getLogger(__name__)

LATE_TIMES = 4  # windows of given-up calls whose answers are out: after that a connection takes no new call
WAITING_TIMES = 2  # windows of all connections that may wait for room at one server
SWEEP_S = 0.25


@dataclass(frozen=True, slots=True)
class Terms:
    """How servers are spoken to."""

    connections: int = 2  # to each server
    window: int = 32  # calls out on each
    silence_s: float = 10.0  # without a byte, while calls are out: the connection is dead
    idle_s: float = 15.0  # without a call: closed
    connect_s: float = 0.25
    most_open: int = 256  # connections in all
    probe: str = ""  # a method that says whether a server is well; empty: that it takes a connection
    limits: Limits = field(default_factory=Limits)
    form: Form = field(default_factory=Form)


class Call:
    """One call to a server; ends once."""

    __slots__ = ("_done", "_timer", "connection", "ended", "frame", "msgid", "peer", "written")

    def __init__(
        self, peer: Peer | None, frame: Callable[[int], bytes], timeout_s: float, done: AttemptCallback
    ) -> None:
        self.peer = peer
        self.frame = frame  # its bytes by its msgid
        self.connection: Connection | None = None
        self.msgid = -1
        self.written = False
        self.ended = False
        self._done = done
        self._timer = asyncio.get_running_loop().call_later(timeout_s, self._time_out)

    def end(self, how: Outcome, answer: UpstreamResponse | None = None) -> None:
        """The one outcome; later ones are nobody's."""
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        self._done(how, answer)

    def cancel(self, how: Outcome) -> None:
        """Stop waiting.  The connection lives on: a late answer is dropped, its msgid not used until then."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.forget(self)
        elif self.peer is not None:
            self.peer.waiting.remove(self)
        self.end(how)

    def _time_out(self) -> None:
        self.cancel(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class Peer:
    """A server process as it is listed, and the connections to it."""

    name: str
    address: Address
    started_ms: float
    current: bool = True
    connections: list[Connection] = field(default_factory=list)
    opening: int = 0
    waiting: deque[Call] = field(default_factory=deque)


class Connection(asyncio.Protocol):
    """One connection: calls out by msgid, answers in any order."""

    def __init__(self, peer: Peer, servers: RpcServers) -> None:
        self.peer = peer
        self.calls: dict[int, Call] = {}
        self.late: set[int] = set()  # msgids of calls that were given up after they were written
        self.heard = 0.0  # when it last brought a byte, or a call was written on it while none was out
        self.used = 0.0  # when a call last began or ended on it
        self._servers = servers
        self._loop = asyncio.get_running_loop()
        self._reader = Reader(servers.terms.limits, frozenset({RESPONSE}))
        self._queue: deque[Call] = deque()
        self._choked = False
        self._last = 0
        self._transport: asyncio.Transport | None = None
        self._given_up = False

    def on_connect_failed(self) -> None:
        """The time to come up is over: it is not counted as open, and if it still comes up it is closed."""
        self._given_up = True
        self.break_off(Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        if self._given_up:
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=0)  # a frame is handed over when the one before has left
        self.heard = self.used = self._loop.time()
        self._servers.opened(self)

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def room(self) -> int:
        """How many more calls it may take; one whose server owes many late answers takes none."""
        terms = self._servers.terms
        if not self.usable() or len(self.late) >= LATE_TIMES * terms.window:
            return 0
        return terms.window - len(self.calls)

    def carry(self, call: Call) -> None:
        """Give a call a msgid of this connection's, and write it as soon as the socket takes it."""
        self._last = self._last % MSGID_MOST + 1
        while self._last in self.calls or self._last in self.late:
            self._last = self._last % MSGID_MOST + 1
        call.connection, call.msgid = self, self._last
        if not self.calls:
            self.heard = self._loop.time()
        self.calls[call.msgid] = call
        self.used = self._loop.time()
        self._queue.append(call)
        self._flush()

    def _flush(self) -> None:
        while self._queue and not self._choked and self.usable():
            call = self._queue.popleft()
            assert self._transport is not None
            call.written = True
            self._transport.write(call.frame(call.msgid))

    def pause_writing(self) -> None:
        self._choked = True

    def resume_writing(self) -> None:
        self._choked = False
        self._flush()

    def forget(self, call: Call) -> None:
        """Nobody waits for this call any more."""
        del self.calls[call.msgid]
        if call.written:
            self.late.add(call.msgid)
        else:
            self._queue.remove(call)
        self._after()

    def data_received(self, data: bytes) -> None:
        self.heard = self._loop.time()
        for message in self._reader.feed(data):
            assert isinstance(message, Response)
            if not self._answered(message):
                return
        if self._reader.failure is not None:
            log.warning("server %s: %s", self.peer.name, self._reader.failure)
            self.break_off(Outcome.SPOILT)

    def _answered(self, message: Response) -> bool:
        """One answer; False where it breaks the connection: what was never asked, or asked once and answered
        twice, leaves nothing on it to be trusted."""
        if message.msgid in self.late:
            self.late.discard(message.msgid)
            self._after()
            return True
        call = self.calls.get(message.msgid)
        if call is None or not call.written:
            log.warning("server %s answers msgid %d, which is not out", self.peer.name, message.msgid)
            self.break_off(Outcome.SPOILT)
            return False
        del self.calls[message.msgid]
        how = outcome(message.error, self._servers.terms.form)
        answer = UpstreamResponse(message.result, packed=True) if how is Outcome.OK else None
        self._after()
        call.end(how, answer)
        return True

    def _after(self) -> None:
        """A place in the window may be free, or the last call of a server that has gone has ended."""
        self.used = self._loop.time()
        if self.peer.current:
            self._servers.pump(self.peer)
        elif not self.calls:
            self.abandon()

    def leave(self) -> None:
        """The server drains or has gone: nothing new is written; what is out may end."""
        queued, self._queue = list(self._queue), deque()
        for call in queued:
            self.calls.pop(call.msgid, None)
            call.end(Outcome.MOOT)
        if not self.calls:
            self.abandon()

    def break_off(self, how: Outcome) -> None:
        """End it, and every call on it by what is known: what was not written whole never ran."""
        calls, self.calls = list(self.calls.values()), {}
        self._queue.clear()
        self.abandon()
        for call in calls:
            call.end(how if call.written else Outcome.CONNECT_FAILED)

    def abandon(self) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._servers.closed(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.break_off(Outcome.RESET)

    def check(self, now: float) -> None:
        """Dead if nothing at all has come for too long while calls are out; closed if long unused."""
        terms = self._servers.terms
        if self.calls:
            if now - self.heard > terms.silence_s:
                log.warning("server %s: nothing came for %.1f s", self.peer.name, terms.silence_s)
                self.break_off(Outcome.TIMEOUT)
        elif now - self.used > terms.idle_s:
            self.abandon()


class RpcServers:
    """All servers that the list has named, and every connection to them."""

    def __init__(
        self,
        terms: Terms,
        as_rpc: Callable[[ClientRequest], RpcCall],
        as_body: Callable[[UpstreamResponse], UpstreamResponse],
    ) -> None:
        """as_rpc: how a request reads to these servers; as_body: how their answers read to an HTTP caller."""
        self.terms = terms
        self._as_rpc = as_rpc
        self._as_body = as_body
        self._loop = asyncio.get_running_loop()
        self._table: EndpointTable[Peer] = EndpointTable(Peer, self._dropped)
        self._open: dict[Connection, None] = {}
        self._opening: dict[asyncio.Task[None], None] = {}
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    # What the list says.

    def update(self, listing: EndpointUpdate) -> list[ServerId]:
        """Follow the list; returns the servers whose address is another's now."""
        return self._table.update(listing)

    def _dropped(self, _: ServerId, peer: Peer) -> None:
        waiting, peer.waiting = list(peer.waiting), deque()
        for call in waiting:
            call.end(Outcome.MOOT)
        for connection in list(peer.connections):
            connection.leave()

    def has_endpoints(self) -> bool:
        return bool(self._table.endpoints)

    def open_connection_count(self) -> int:
        return len(self._open)

    # Calls.

    def attempt(self, server: ServerId, ask: ClientRequest, timeout_s: float, done: AttemptCallback) -> Call:
        """One attempt of a request, as the contract has it.  A notification is served once it is written."""
        call = self._as_rpc(ask)
        if isinstance(ask.call, HttpRequest):
            told = done

            def done(how: Outcome, answer: UpstreamResponse | None, report: LoadReport = (), /) -> None:
                told(how, None if answer is None else self._as_body(answer))

        if call.notification:
            return self._notify(server, call, timeout_s, done)
        return self._begin(server, lambda msgid: request(msgid, call.method, call.params), timeout_s, done)

    def _notify(self, server: ServerId, call: RpcCall, timeout_s: float, done: AttemptCallback) -> Call:
        """It gets no response: it ends when its bytes have been handed to the socket."""

        def frame(msgid: int) -> bytes:
            self._loop.call_soon(self._noted, begun)
            return notification(call.method, call.params)

        begun = self._begin(server, frame, timeout_s, done)
        return begun  # noqa: RET504 - the frame refers to it

    @staticmethod
    def _noted(call: Call) -> None:
        if not call.ended and call.connection is not None:
            call.connection.calls.pop(call.msgid, None)
            call.end(Outcome.OK, UpstreamResponse(b"\xc0", packed=True))

    def probe(self, server: ServerId, timeout_s: float, done: AttemptCallback) -> Call:
        """Ask for a sign of life: by the method that the operator named, else by a new connection."""
        if self.terms.probe:
            method = self.terms.probe
            return self._begin(server, lambda msgid: request(msgid, method, b"\x90"), timeout_s, done)
        peer = self._table.endpoints.get(server)
        call = Call(None, lambda _: b"", timeout_s, done)
        if peer is None:
            self._loop.call_soon(call.end, Outcome.CONNECT_FAILED)
        else:
            self._open_one(peer, call)
        return call

    def _begin(
        self, server: ServerId, frame: Callable[[int], bytes], timeout_s: float, done: AttemptCallback
    ) -> Call:
        peer = self._table.endpoints.get(server)
        call = Call(peer, frame, timeout_s, done)
        most = WAITING_TIMES * self.terms.window * self.terms.connections
        if peer is None or len(peer.waiting) >= most:
            call.peer = None
            self._loop.call_soon(call.end, Outcome.CONNECT_FAILED)
            return call
        peer.waiting.append(call)
        # At the earliest after this returns, as the contract has it: a write may fail at once.
        self._loop.call_soon(self.pump, peer)
        return call

    def pump(self, peer: Peer) -> None:
        """Put what waits on connections with room; open another where the rest would have to wait."""
        while peer.waiting:
            best = max(peer.connections, key=Connection.room, default=None)
            if best is None or best.room() <= 0:
                break
            best.carry(peer.waiting.popleft())
        places = peer.opening * self.terms.window
        if len(peer.waiting) > places and len(peer.connections) + peer.opening < self.terms.connections:
            self._open_one(peer, None)

    def _open_one(self, peer: Peer, probe: Call | None) -> None:
        if len(self._open) + len(self._opening) >= self.terms.most_open and not self._shed():
            log.warning("no descriptor left for a connection to %s", peer.name)
            self._failed(peer, probe)
            return
        peer.opening += 1
        task = self._loop.create_task(self._connect(peer, probe))
        self._opening[task] = None
        task.add_done_callback(lambda done: self._opening.pop(done, None))

    async def _connect(self, peer: Peer, probe: Call | None) -> None:
        host, port = peer.address
        try:
            await open_connection(lambda: Connection(peer, self), host, port, self.terms.connect_s)
        except (OSError, TimeoutError):
            peer.opening -= 1
            self._failed(peer, probe)
            return
        peer.opening -= 1
        if probe is not None:
            probe.end(Outcome.OK)
        if peer.current:
            self.pump(peer)

    def _failed(self, peer: Peer, probe: Call | None) -> None:
        """No connection came up: where there is no other, nothing that waits for one was ever sent."""
        if probe is not None:
            probe.end(Outcome.CONNECT_FAILED)
        elif not any(c.usable() for c in peer.connections) and not peer.opening:
            waiting, peer.waiting = list(peer.waiting), deque()
            for call in waiting:
                call.end(Outcome.CONNECT_FAILED)

    # Connections.

    def opened(self, connection: Connection) -> None:
        self._open[connection] = None
        connection.peer.connections.append(connection)
        if not connection.peer.current:
            connection.abandon()

    def closed(self, connection: Connection) -> None:
        """It takes no calls any more; what waits may need another."""
        self._open.pop(connection, None)
        peer = connection.peer
        if connection in peer.connections:
            peer.connections.remove(connection)
            if peer.current and peer.waiting:
                self._loop.call_soon(self.pump, peer)

    def close_idle(self, server: ServerId) -> None:
        peer = self._table.endpoints.get(server)
        for connection in list(peer.connections) if peer is not None else ():
            if not connection.calls:
                connection.abandon()

    def _shed(self) -> bool:
        """Close the connection that has been without a call for the longest."""
        idle = [c for c in self._open if not c.calls]
        if not idle:
            return False
        min(idle, key=lambda c: c.used).abandon()
        return True

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        for connection in list(self._open):
            connection.check(now)

    def close(self) -> None:
        """Leave nothing open."""
        self._sweeper.cancel()
        for task in list(self._opening):
            task.cancel()
        for peer in self._table.endpoints.values():
            waiting, peer.waiting = list(peer.waiting), deque()
            for call in waiting:
                call.end(Outcome.CONNECT_FAILED)
        for connection in list(self._open):
            connection.break_off(Outcome.RESET)
