"""HTTP APIs of servers, operators and the platform: connections, limits, one dispatch for all requests."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import cast

from leadrudder.node.http import HttpMessage, HttpMessageError
from leadrudder.transport.caller import Caller
from leadrudder.transport.connection_limit import ConnectionLimit
from leadrudder.transport.http import (
    MAX_BODY_BYTES,
    RETRY_AFTER_HEADER,
    BufferedHttpMessage,
    HttpReader,
    render_response,
)
from leadrudder.transport.input_memory import InputMemory, ReceivedBodies
from leadrudder.transport.json_memory import estimate_json_memory
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.memory_budget import MemoryBudget
from leadrudder.transport.paced_input import InputTurns, PacedInput

JSON_MEMORY_FACTOR = 12  # memory for the objects of a JSON document, by its size
API_TIMEOUT_S = 10.0  # to receive a request completely, and for the caller to read its response
MAX_QUEUED_REQUESTS = 16  # of one connection; beyond that it is not read
QUEUED_REQUEST_BYTES = 1024  # memory of a request that waits for its turn, besides its body


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """An API request of an operator, a server or the platform."""

    method: str
    segments: tuple[str, ...]
    body: bytes
    caller: Caller = field(default_factory=Caller)


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """The response to an API request.  close: the connection is closed after it."""

    status: int
    body: bytes = b""
    fields: bytes = b""
    close: bool = False


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A complete request that waits for those before it on its connection."""

    method: bytes
    target: bytes
    body: bytes
    large_body: LargeBody | None
    keep_alive: bool
    caller: Caller

    @property
    def held_bytes(self) -> int:
        """Memory that it takes, but for that of a large body."""
        return QUEUED_REQUEST_BYTES + len(self.target) + len(self.body)


Dispatch = Callable[[ApiRequest], Awaitable[ApiResponse]]


class ApiConnection(asyncio.Protocol):
    """One API connection; its requests are served one after the other."""

    def __init__(self, server: ApiServer) -> None:
        self._server = server
        self._reader = HttpReader(
            self._on_message,
            requests=True,
            max_body_bytes=server.max_body_bytes,
            budget=MemoryBudget(server.max_body_bytes, server.request_memory),
            bodies=server.received_bodies,
            owner=self,
        )
        self._input = PacedInput(self._reader, self, server.input_turns)
        self._unsent_bytes = 0  # of responses, as they count in the budget
        self._transport: asyncio.Transport | None = None
        self._queue: list[QueuedRequest] = []
        # A caller sends its first request on an open connection, and each further one after a response.
        self._ready_at = 0.0
        self._arrived_after = 0.0  # a time before the input that is being parsed arrived
        self._task: asyncio.Task[None] | None = None
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._ready_at = self._server.earliest_arrival()
        self._restart_timeout()
        self._server.connection_limit.opened(self)

    def _restart_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = asyncio.get_running_loop().call_later(API_TIMEOUT_S, self.force_close)

    def data_received(self, data: bytes) -> None:
        if not self._input.partial:
            self._restart_timeout()
        if not self._input.waits:
            self._arrived_after = self._server.earliest_arrival()
        self._input.feed(data)

    def takes_input(self) -> bool:
        return len(self._queue) < MAX_QUEUED_REQUESTS

    def on_invalid_input(self, error: HttpMessageError) -> None:
        """Answer an invalid request; the caller closes, as unread input would reset the answer."""
        self._input.end()
        self._reader.abandon()
        fields = RETRY_AFTER_HEADER if error.status == 503 else b""
        self._write(render_response(error.status, fields, str(error).encode() + b"\n", close=True))
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()

    def shed_input(self) -> None:
        self.on_invalid_input(HttpMessageError(503, "no memory for the request now"))

    def after_input(self) -> None:
        held_bytes = self._input.held_bytes + sum(each.held_bytes for each in self._queue)
        self._server.input_memory.hold(self, held_bytes if self._transport is not None else 0)
        if self._transport is None or self._transport.is_closing():
            return
        if self._input.waits:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        """The caller does not read: its response takes memory meanwhile."""
        if self._transport is not None:
            self._unsent_bytes = self._transport.get_write_buffer_size()
            self._server.memory.take(self._unsent_bytes)

    def resume_writing(self) -> None:
        self._server.memory.give_back(self._unsent_bytes)
        self._unsent_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.resume_writing()
        self._input.end()
        self._reader.abandon()
        self._server.input_memory.hold(self, 0)
        self._server.connections.discard(self)
        self._server.connection_limit.closed(self)
        if self._timeout is not None:
            self._timeout.cancel()

    def is_idle(self) -> bool:
        return self._task is None and not self._input.partial and not self._unsent_bytes

    def force_close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _on_message(self, message: HttpMessage) -> None:
        # A pipelined request may have arrived before the last response was written.
        sent_after = min(self._ready_at, self._arrived_after)
        caller = Caller(sent_after, self._is_connected, self._server.monotonic)
        assert isinstance(message, BufferedHttpMessage)
        self._queue.append(
            QueuedRequest(
                message.method, message.target, message.body, message.large_body, message.keep_alive, caller
            )
        )
        self._server.connection_limit.message_came(self)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve_requests())

    async def _serve_requests(self) -> None:
        while self._queue and self._transport is not None:
            request = self._queue.pop(0)
            response = await self._respond(request)
            close = not request.keep_alive or response.close or self._server.closing
            self._write(render_response(response.status, response.fields, response.body, close=close))
            self._ready_at = self._server.monotonic()
            self._restart_timeout()
            self._input.resume()
            self.after_input()
            if close and self._transport is not None:
                self._transport.close()
        self._task = None

    async def _respond(self, queued: QueuedRequest) -> ApiResponse:
        path = queued.target.partition(b"?")[0].decode("latin-1")
        segments = tuple(part for part in path.split("/") if part)
        # A body that does not come keeps no response out.
        while self._server.memory.is_full() and self._server.received_bodies.shed_stalled():
            pass
        if self._server.memory.is_full() and queued.method == b"GET":
            return ApiResponse(503, b"no memory for the response now\n", RETRY_AFTER_HEADER)
        try:
            return await self._dispatch(queued, segments)
        except Exception as error:  # an internal error must not leave the caller waiting
            self._server.on_error(error)
            return ApiResponse(500)
        finally:
            if queued.large_body is not None:
                queued.large_body.release()

    async def _dispatch(self, queued: QueuedRequest, segments: tuple[str, ...]) -> ApiResponse:
        """Dispatch a request, within the memory that its JSON takes beyond what is reserved for its size."""
        body = queued.body if queued.large_body is None else queued.large_body.read_all()
        reserved_bytes = JSON_MEMORY_FACTOR * len(body) if queued.large_body is not None else 0
        further_bytes = max(0, estimate_json_memory(body) - reserved_bytes)
        memory = self._server.memory
        if not memory.try_take(further_bytes):
            status = 503 if memory.can_ever_hold(reserved_bytes + further_bytes) else 413
            fields = RETRY_AFTER_HEADER if status == 503 else b""
            return ApiResponse(status, b"no memory for the objects of the body\n", fields)
        try:
            return await self._server.dispatch(
                ApiRequest(queued.method.decode("latin-1"), segments, body, queued.caller)
            )
        finally:
            memory.give_back(further_bytes)

    def _is_connected(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class ApiServer:
    """Listens for API requests and passes each to dispatch.

    monotonic: the time in seconds.  earliest_arrival: when input that is read now can have arrived first.
    memory: for requests and unread responses; a request is counted with the memory that its JSON takes.
    input_memory: for requests that are being received; max_connections: how many may be open.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        on_error: Callable[[Exception], None],
        monotonic: Callable[[], float] = time.monotonic,
        earliest_arrival: Callable[[], float] = time.monotonic,
        memory: MemoryBudget | None = None,
        input_memory: InputMemory | None = None,
        max_connections: float = math.inf,
    ) -> None:
        self.memory = memory or MemoryBudget()
        self.input_memory = input_memory or InputMemory()
        self.connection_limit = ConnectionLimit(max_connections)
        self.input_turns = InputTurns()
        self.received_bodies = ReceivedBodies(monotonic)
        self.request_memory = MemoryBudget(self.memory.limit_bytes, self.memory, JSON_MEMORY_FACTOR)
        self.max_body_bytes = int(min(MAX_BODY_BYTES, self.memory.limit_bytes / JSON_MEMORY_FACTOR))
        self.dispatch, self.on_error = dispatch, on_error
        self.monotonic, self.earliest_arrival = monotonic, earliest_arrival
        self.connections: set[ApiConnection] = set()
        self.closing = False
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        create_connection = lambda: ApiConnection(self)  # noqa: E731
        self._servers.append(
            await loop.create_server(create_connection, *address, backlog=256, family=socket.AF_INET)
        )

    def close(self) -> None:
        self.closing = True
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.force_close()
