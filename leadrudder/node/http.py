"""HTTP/1.1 framing in both directions: size-limited messages in, bytes out.

httptools does the parsing; this adds the size limits and tells complete messages from partial ones.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NoReturn

import httptools

from leadrudder.node.contract import HttpRequest

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
TOKEN_PATTERN = re.compile(rb"[!-~]{1,256}")  # ids and keys are forwarded unchanged, so only printable ASCII

REQUEST_ID_HEADER = b"x-request-id"
CLASS_HEADER = b"x-class"
TENANT_HEADER = b"x-tenant"
DEADLINE_HEADER = b"x-deadline"
RETRY_HEADER = b"x-retry"
COST_HINT_HEADER = b"x-cost-hint"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
NOT_RUN_HEADER = b"x-not-run"
LOAD_HEADER = b"x-load"
CONTENT_TYPE_HEADER = b"content-type"
CONTENT_LENGTH_HEADER = b"content-length"
TRANSFER_ENCODING_HEADER = b"transfer-encoding"

# All others are dropped as they are read.
KEPT_HEADERS = frozenset(
    (
        REQUEST_ID_HEADER,
        CLASS_HEADER,
        TENANT_HEADER,
        DEADLINE_HEADER,
        RETRY_HEADER,
        COST_HINT_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        NOT_RUN_HEADER,
        LOAD_HEADER,
        CONTENT_TYPE_HEADER,
        CONTENT_LENGTH_HEADER,
        TRANSFER_ENCODING_HEADER,
    )
)
MESSAGE_OVERHEAD_BYTES = 2048  # memory of the objects of a message that is being received

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class HttpMessageError(Exception):
    """A message that is not accepted; such a request is answered with the status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class HttpMessage:
    """A complete request or response.  headers: those of KEPT_HEADERS, names in lower case."""

    target: bytes = b""  # of a request
    method: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    repeated_headers: set[bytes] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = False


class _StopParsing(Exception):  # noqa: N818 - control flow, not an error
    """Aborts the parsing of the current input from within a callback."""


class HttpParser:
    """Feeds bytes to httptools and delivers complete messages, within the size limits.

    The limits are enforced here because httptools itself accepts headers and bodies of any size.
    """

    __slots__ = (
        "_body",
        "_failure",
        "_head_left",
        "_head_size",
        "_in_body",
        "_message",
        "_on_message",
        "_parser",
        "_size",
        "_stopped",
        "has_surplus",
    )

    def __init__(self, on_message: Callable[[HttpMessage], None], *, requests: bool) -> None:
        self._on_message = on_message
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self._parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self._failure: HttpMessageError | None = None
        self._head_left = MAX_HEAD_BYTES
        self._head_size = 0
        self._in_body = False
        self._message: HttpMessage | None = None
        self._body = bytearray()
        self._size = 0
        self._stopped = False
        self.has_surplus = False  # input has arrived after the last wanted message

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._message is not None

    @property
    def held_bytes(self) -> int:
        """Memory of the message that is being received; 0 between messages."""
        if self._message is None:
            return 0
        return MESSAGE_OVERHEAD_BYTES + self._head_size + len(self._body)

    def feed(self, data: bytes) -> None:
        """Parse input; raises HttpMessageError if it cannot be part of an accepted message."""
        if not self._in_body:
            self._head_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                self.has_surplus = True
                return
            if self._failure is None:
                raise HttpMessageError(400, f"malformed message: {error}") from None
        if self._failure is not None:
            raise self._failure
        if not self._in_body and self._head_left < 0:
            raise HttpMessageError(400, "the head is too large")

    def stop(self) -> None:
        """Begin no further message, not even one in the same input."""
        self._stopped = True

    def resume(self) -> None:
        """Accept messages again, after a stop that discarded no input."""
        self._stopped = False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        if self._stopped:
            raise _StopParsing
        self._message = HttpMessage()
        self._body = bytearray()
        self._size = 0

    def on_url(self, data: bytes) -> None:
        if self._message is not None:
            self._message.target += data
            self._measure(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._message is None:
            return
        self._measure(len(name) + len(value))
        if self._in_body:
            return  # a trailer; only header fields decide how a message is handled
        name = name.lower()
        if name not in KEPT_HEADERS:
            return
        if name in self._message.headers:
            self._message.repeated_headers.add(name)
        self._message.headers[name] = value

    def on_headers_complete(self) -> None:
        message = self._message
        if message is None:
            return
        self._in_body = True
        parser = self._parser
        self._check_length(message)
        if parser.should_upgrade():
            self._fail(400, "no other protocol is spoken here")
        if isinstance(parser, httptools.HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()

    def _check_length(self, message: HttpMessage) -> None:
        """Reject a message without a supported length, either Content-Length or chunked encoding.

        The parser itself rejects invalid numbers, and both headers together.  A response that ends with the
        connection is not accepted, because a truncated one looks the same.
        """
        length = message.headers.get(CONTENT_LENGTH_HEADER)
        transfer_encoding = message.headers.get(TRANSFER_ENCODING_HEADER)
        if transfer_encoding is not None:
            if length is not None or transfer_encoding.lower() != b"chunked":
                self._fail(400, "the length is told in no way that is read here")
        elif length is not None:
            if int(length) > MAX_BODY_BYTES:
                self._fail(413, "the body is too large")
        elif isinstance(self._parser, httptools.HttpResponseParser) and self._parser.get_status_code() == 200:
            self._fail(400, "the length is not told")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            self._fail(413, "the body is too large")
        self._body += data

    def on_message_complete(self) -> None:
        message = self._message
        if message is None or self._failure is not None:
            return
        self._message, self._in_body = None, False
        message.body = bytes(self._body)
        self._body = bytearray()
        message.keep_alive = self._parser.should_keep_alive()
        if (
            not 100 <= message.status < 200
        ):  # interim responses are skipped and count towards the next head's size
            self._head_left, self._head_size = MAX_HEAD_BYTES, 0
            self._on_message(message)

    def _measure(self, size: int) -> None:
        """Enforce the head limit for a head that arrived in a single input together with more."""
        self._head_size += size
        if self._head_size > MAX_HEAD_BYTES:
            self._fail(400, "the head is too large")

    def _fail(self, status: int, text: str) -> NoReturn:
        self._failure = HttpMessageError(status, text)
        self._body = bytearray()
        raise _StopParsing


def render_response(
    status: int, body: bytes = b"", extra_headers: bytes = b"", *, close: bool = False
) -> bytes:
    """A response to a client; extra_headers holds complete header lines."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        _REASON_PHRASES[status],
        len(body),
        extra_headers,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def render_request_head(name: bytes, call: HttpRequest, host: bytes) -> bytes:
    """The part of a request head that all attempts share: everything but the deadline."""
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (call.method, call.target, host, name)]
    if call.key is not None:
        lines.append(b"Idempotency-Key: %s\r\n" % call.key)
    if call.content_type is not None:
        lines.append(b"Content-Type: %s\r\n" % call.content_type)
    if call.body or call.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % len(call.body))
    return b"".join(lines)
