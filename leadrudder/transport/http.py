"""HTTP/1.1 for the APIs of the mesh and for clients: the parser of leadrudder.node with complete header
fields and other size limits.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NoReturn, cast

import httptools

from leadrudder.node.http import (
    CONTENT_LENGTH_HEADER,
    MESSAGE_OVERHEAD_BYTES,
    TRANSFER_ENCODING_HEADER,
    HttpMessage,
    HttpMessageError,
    HttpParser,
)
from leadrudder.transport.input_memory import InputOwner, ReceivedBodies
from leadrudder.transport.large_body import INLINE_BODY_BYTES, LargeBody
from leadrudder.transport.memory_budget import MemoryBudget

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_OPEN_FIELDS = 32  # header fields that a message holds as objects while it is received
OPEN_FIELD_BYTES = 320  # memory of the objects of such a field, besides its text
FRAMING_HEADERS = frozenset((CONTENT_LENGTH_HEADER, TRANSFER_ENCODING_HEADER))
GATHERED_BYTES = 16 * 1024  # small parts of a large body are gathered to this size
RETRY_AFTER_HEADER = b"Retry-After: 0.2\r\n"
PLAIN_TEXT = b"Content-Type: text/plain\r\n"

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

    budget: for large bodies; without one every body is read into its message.

    bodies, owner: for a reader that refuses a body for which there is no room with status 503: the bodies
    of all connections, and the connection of this reader. Without them such a body is read on, and
    missing_memory tells so, until reserve_missing_memory succeeds.
    """

    __slots__ = (
        "_bodies",
        "_body_length",
        "_budget",
        "_large_body",
        "_max_body_bytes",
        "_max_head_bytes",
        "_owner",
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
        bodies: ReceivedBodies | None = None,
        owner: InputOwner | None = None,
    ) -> None:
        super().__init__(on_message, requests=requests)
        self._budget, self._bodies, self._owner = budget, bodies, owner
        self._body_length = 0  # of the current message, if that is told
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

    @property
    def known_body_left(self) -> int:
        """Bytes that the current body still lacks, if its length was told; else 0."""
        return max(0, self._body_length - self._size) if self._in_body else 0

    def abandon(self) -> None:
        """The message that is being read is not wanted any more."""
        if self._large_body is not None:
            self._large_body.release()
            self._end_large_body()
        self.missing_memory = 0

    def _end_large_body(self) -> None:
        self._large_body = None
        if self._bodies is not None and self._owner is not None:
            self._bodies.ended(self._owner)

    def reserve_missing_memory(self, on_reserved: Callable[[], None]) -> None:
        """Wait for the memory that the current body needs."""
        if self._large_body is not None:
            self._large_body.reserve_later(self.missing_memory, on_reserved)
        self.missing_memory = 0

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.abandon()
        self._body_length = 0
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
            message.large_body = self._large_body
            self._end_large_body()
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
            self._body_length = int(length)
            if self._budget is not None and self._body_length > INLINE_BODY_BYTES:
                self._begin_large_body(self._budget)
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

    def _begin_large_body(self, budget: MemoryBudget) -> None:
        """Begin a body of a told length."""
        self._large_body = LargeBody(budget, self._body_length)
        if self._bodies is None:
            self._reserve(self._body_length)
        elif self._owner is None or not self._bodies.has_room(self._owner, budget, self._body_length):
            self._refuse_body()
        else:
            self._reserve(self._large_body.reservation_for(1))

    def _append_to_large_body(self, data: bytes | bytearray) -> None:
        body = self._large_body
        assert body is not None
        size = body.size + len(data)
        if size > body.reserved_bytes and not self.missing_memory:
            self._reserve(body.reservation_for(size))
        body.append(data)
        if self._bodies is not None and self._owner is not None:
            self._bodies.received(self._owner, body.size)

    def _reserve(self, size: int) -> None:
        body = self._large_body
        assert body is not None
        if self._bodies is None or self._owner is None:
            if not body.reserve(size):
                self.missing_memory = size
        elif self._bodies.reserve(self._owner, body, size):
            self._bodies.received(self._owner, body.size)
        else:
            self._refuse_body()

    def _refuse_body(self) -> NoReturn:
        self.abandon()
        self._fail(503, "no memory for the body now")

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
