"""HTTP/1.1 for the APIs of the mesh and for clients: the parser of leadrudder.node with complete header
fields and other size limits.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from leadrudder.node.http import (
    CONTENT_LENGTH_HEADER,
    MESSAGE_OVERHEAD_BYTES,
    TRANSFER_ENCODING_HEADER,
    HttpMessage,
    HttpMessageError,
    HttpParser,
)
from leadrudder.transport.caller import Caller
from leadrudder.transport.large_body import INLINE_BODY_BYTES, SEGMENT_BYTES, LargeBody
from leadrudder.transport.memory_budget import MemoryBudget

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_OPEN_FIELDS = 32  # header fields that a message holds as objects while it is received
OPEN_FIELD_BYTES = 320  # memory of the objects of such a field, besides its text
FRAMING_HEADERS = frozenset((CONTENT_LENGTH_HEADER, TRANSFER_ENCODING_HEADER))
GATHERED_BYTES = 16 * 1024  # small parts of a large body are gathered to this size
JSON_MEMORY_FACTOR = 12  # memory for the objects of a JSON document, by its size
RETRY_AFTER_HEADER = b"Retry-After: 0.2\r\n"
PLAIN_TEXT = b"Content-Type: text/plain\r\n"
API_TIMEOUT_S = 10.0  # to receive a request completely, and for the caller to read its response

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class BufferedHttpMessage(HttpMessage):
    """A message with all its header fields, in their original order and spelling.

    fields: complete once the message is; headers: likewise, names in lower case.
    large_body: the body if it is larger than INLINE_BODY_BYTES and has been read within a budget.
    """

    fields: list[tuple[bytes, bytes]] = field(default_factory=list)
    large_body: LargeBody | None = None
    packed_fields: bytearray = field(default_factory=bytearray)  # lines of those beyond MAX_OPEN_FIELDS

    @property
    def body_bytes(self) -> int:
        return len(self.body) if self.large_body is None else self.large_body.size

    def add_field(self, name: bytes, value: bytes) -> None:
        """Add a header field; the value holds no line feed."""
        lower_name = name.lower()
        if len(self.fields) < MAX_OPEN_FIELDS:
            self.fields.append((name, value))
            self._add_header(lower_name, value)
            return
        self.packed_fields += b"%s:%s\n" % (name, value)
        if lower_name in FRAMING_HEADERS:
            self._add_header(lower_name, value)

    def unpack_fields(self) -> None:
        """Complete fields and headers."""
        for line in bytes(self.packed_fields).split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            self.fields.append((name, value))
            lower_name = name.lower()
            if lower_name not in FRAMING_HEADERS:
                self._add_header(lower_name, value)
        self.packed_fields = bytearray()

    def _add_header(self, lower_name: bytes, value: bytes) -> None:
        if lower_name in self.headers:
            self.repeated_headers.add(lower_name)
        self.headers[lower_name] = value


class HttpReader(HttpParser):
    """Reads messages with all their header fields.

    budget: for large bodies; without one every body is read into its message.  refuses_without_memory:
    whether a body for which there is no room is an error with status 503.  If not, it is read on, and
    missing_memory tells so, until reserve_missing_memory succeeds.
    """

    __slots__ = (
        "_budget",
        "_large_body",
        "_max_body_bytes",
        "_max_head_bytes",
        "_refuses_without_memory",
        "_silent_bytes",
        "callbacks",
        "missing_memory",
        "partial",
    )

    def __init__(
        self,
        on_message: Callable[[HttpMessage], None],
        *,
        requests: bool,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: MemoryBudget | None = None,
        refuses_without_memory: bool = True,
    ) -> None:
        super().__init__(on_message, requests=requests)
        self._budget, self._refuses_without_memory = budget, refuses_without_memory
        self._large_body: LargeBody | None = None
        self.missing_memory = 0  # bytes to reserve for the body that is being read, before more is read
        self._max_head_bytes, self._max_body_bytes = max_head_bytes, max_body_bytes
        self._head_left = max_head_bytes
        self.partial = False  # some bytes of an incomplete message have arrived
        self.callbacks = 0  # of the parser so far: header fields and parts of bodies
        self._silent_bytes = 0  # parsed since the last callback: the parser may hold them

    def feed(self, data: bytes) -> None:
        self.partial = True
        callbacks_before = self.callbacks
        super().feed(data)
        if self._message is None:
            self.partial = False
        self._silent_bytes = 0 if self.callbacks != callbacks_before else self._silent_bytes + len(data)
        if self._silent_bytes > self._max_head_bytes and self.partial:
            raise HttpMessageError(431, "a line is too long")

    @property
    def held_bytes(self) -> int:
        """Memory of the message that is being received, but for that of a large body; 0 between messages."""
        message = cast(BufferedHttpMessage | None, self._message)
        if message is None:
            return self._silent_bytes if self.partial else 0
        return (
            MESSAGE_OVERHEAD_BYTES
            + OPEN_FIELD_BYTES * len(message.fields)
            + 2 * self._head_size
            + len(message.packed_fields)
            + self._silent_bytes
            + len(self._body)
        )

    def abandon(self) -> None:
        """The message that is being read is not wanted any more."""
        if self._large_body is not None:
            self._large_body.release()
            self._large_body = None
        self.missing_memory = 0

    def reserve_missing_memory(self, on_reserved: Callable[[], None]) -> None:
        """Wait for the memory that the current body needs."""
        if self._large_body is not None:
            self._large_body.reserve_later(self.missing_memory, on_reserved)
        self.missing_memory = 0

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.abandon()
        self._message = BufferedHttpMessage()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.callbacks += 1
        message = cast(BufferedHttpMessage | None, self._message)
        if message is None:
            return
        self._measure(len(name) + len(value))
        if self._in_body:
            return  # a trailer; only header fields decide how a message is handled
        if b"\n" in value:
            self._fail(400, "a line feed in a header field")
        message.add_field(name, value)

    def on_message_complete(self) -> None:
        message = cast(BufferedHttpMessage | None, self._message)
        if message is not None and self._failure is None:
            if self._large_body is not None and self._body:
                self._flush_gathered()
            message.unpack_fields()
            message.large_body, self._large_body = self._large_body, None
            self.missing_memory = 0
        super().on_message_complete()
        if self._message is None:
            self._head_left = self._max_head_bytes

    def _check_length(self, message: HttpMessage) -> None:
        length = message.headers.get(CONTENT_LENGTH_HEADER)
        coding = message.headers.get(TRANSFER_ENCODING_HEADER)
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                self._fail(400, "the length is told in no way that is read here")
        elif length is not None:
            if int(length) > self._max_body_bytes:
                self._fail(413, "the body is too large")
            if self._budget is not None and int(length) > INLINE_BODY_BYTES:
                self._large_body = LargeBody(self._budget, int(length))
                self._reserve(int(length))
        elif isinstance(self._parser, httptools.HttpResponseParser) and self._has_body():
            self._fail(400, "the length is not told")

    def _has_body(self) -> bool:
        status = (
            self._parser.get_status_code() if isinstance(self._parser, httptools.HttpResponseParser) else 0
        )
        return status >= 200 and status not in (204, 304)

    def on_body(self, part: bytes) -> None:
        self.callbacks += 1
        self._size += len(part)
        if self._size > self._max_body_bytes:
            self._fail(413, "the body is too large")
        if self._large_body is None and self._budget is not None and self._size > INLINE_BODY_BYTES:
            self._large_body = LargeBody(self._budget)
        if self._large_body is None:
            self._body += part
        elif len(part) >= GATHERED_BYTES and not self._body:
            self._append_to_large_body(part)
        else:
            self._body += part
            if len(self._body) >= GATHERED_BYTES:
                self._flush_gathered()

    def _flush_gathered(self) -> None:
        """Move what has been gathered of small parts into the large body."""
        gathered, self._body = self._body, bytearray()
        self._append_to_large_body(gathered)

    def _append_to_large_body(self, data: bytes | bytearray) -> None:
        body = self._large_body
        assert body is not None
        # Of a body without a told length a whole segment at a time is reserved.
        size = body.size + len(data)
        if size > body.reserved_bytes and not self.missing_memory:
            self._reserve(-(-size // SEGMENT_BYTES) * SEGMENT_BYTES)
        body.append(data)

    def _reserve(self, size: int) -> None:
        assert self._large_body is not None
        if self._large_body.reserve(size):
            return
        if self._refuses_without_memory:
            self.abandon()
            self._fail(503, "no memory for the body now")
        self.missing_memory = size

    def _measure(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._max_head_bytes:
            self._fail(431, "the head is too large")


def render_response_head(status: int, fields: bytes, body_bytes: int, *, close: bool = False) -> bytes:
    """Render the head of a response; fields are complete header lines without Content-Length."""
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n%s\r\n" % (
        status,
        REASON_PHRASES.get(status, b"Status"),
        fields,
        body_bytes,
        b"Connection: close\r\n" if close else b"",
    )


def render_response(status: int, fields: bytes, body: bytes, *, close: bool = False) -> bytes:
    """Render a response; fields are complete header lines without Content-Length."""
    return render_response_head(status, fields, len(body), close=close) + body


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


Dispatch = Callable[[ApiRequest], Awaitable[ApiResponse]]


class ApiConnection(asyncio.Protocol):
    """One API connection; its requests are served one after the other."""

    def __init__(self, server: ApiServer) -> None:
        self._server = server
        self._reader = HttpReader(
            self._on_message,
            requests=True,
            max_body_bytes=server.max_body_bytes,
            budget=server.request_memory,
        )
        self._input_ended = False  # nothing more is read
        self._unsent_bytes = 0  # of responses, as they count in the budget
        self._transport: asyncio.Transport | None = None
        self._queue: list[tuple[BufferedHttpMessage, Caller]] = []
        # A caller sends its first request on an open connection, and each further one after a response.
        self._ready_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._ready_at = self._server.earliest_arrival()
        self._restart_timeout()

    def _restart_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = asyncio.get_running_loop().call_later(API_TIMEOUT_S, self.drop)

    def data_received(self, data: bytes) -> None:
        if self._input_ended:
            return
        self._restart_timeout()
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self._reject(error)
        if len(self._queue) > 100:
            self.drop()

    def _reject(self, error: HttpMessageError) -> None:
        """Answer an invalid request; the caller closes, as unread input would reset the answer."""
        self._input_ended = True
        fields = RETRY_AFTER_HEADER if error.status == 503 else b""
        self._write(render_response(error.status, fields, str(error).encode() + b"\n", close=True))
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()

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
        self._reader.abandon()
        self._server.connections.discard(self)
        if self._timeout is not None:
            self._timeout.cancel()

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _on_message(self, message: HttpMessage) -> None:
        # A pipelined request may have arrived before the last response was written.
        sent_after = min(self._ready_at, self._server.earliest_arrival())
        caller = Caller(sent_after, self._is_connected, self._server.monotonic)
        self._queue.append((cast(BufferedHttpMessage, message), caller))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve_requests())

    async def _serve_requests(self) -> None:
        while self._queue and self._transport is not None:
            message, caller = self._queue.pop(0)
            path = message.target.partition(b"?")[0].decode("latin-1")
            segments = tuple(part for part in path.split("/") if part)
            response = await self._respond(message, segments, caller)
            close = not message.keep_alive or response.close or self._server.closing
            self._write(render_response(response.status, response.fields, response.body, close=close))
            self._ready_at = self._server.monotonic()
            self._restart_timeout()
            if close and self._transport is not None:
                self._transport.close()
        self._task = None

    async def _respond(
        self, message: BufferedHttpMessage, segments: tuple[str, ...], caller: Caller
    ) -> ApiResponse:
        if self._server.memory.is_full() and message.method == b"GET":
            return ApiResponse(503, b"no memory for the response now\n", RETRY_AFTER_HEADER)
        body = message.body if message.large_body is None else message.large_body.read_all()
        request = ApiRequest(message.method.decode("latin-1"), segments, body, caller)
        try:
            return await self._server.dispatch(request)
        except Exception as error:  # an internal error must not leave the caller waiting
            self._server.on_error(error)
            return ApiResponse(500)
        finally:
            if message.large_body is not None:
                message.large_body.release()

    def _is_connected(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class ApiServer:
    """Listens for API requests and passes each to dispatch.

    monotonic: the time in seconds.  earliest_arrival: when input that is read now can have arrived first.
    memory: for requests and unread responses; a request is counted with the memory that its JSON takes.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        on_error: Callable[[Exception], None],
        monotonic: Callable[[], float] = time.monotonic,
        earliest_arrival: Callable[[], float] = time.monotonic,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory or MemoryBudget()
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
            connection.drop()
