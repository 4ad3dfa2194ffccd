"""HTTP/1.1 framing in both directions: bounded messages in, bytes out.

Parsing is httptools'; this adds the size limits and the bookkeeping that tells a whole message from a part.
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
TOKEN_PATTERN = re.compile(
    rb"[!-~]{1,256}"
)  # an id or a key is passed on as it came: nothing but plain characters

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

_REASONS = {
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
    """A message that cannot be taken; a request of this form is answered with the status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class HttpMessage:
    """A whole request or answer."""

    target: bytes = b""  # of a request
    method: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    repeated: set[bytes] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = False


class _StopParsing(Exception):  # noqa: N818 - a signal, not an error
    """Ends the parsing of a piece of input from within."""


class HttpParser:
    """Feeds bytes to httptools and hands on whole messages, within the size limits.

    The limits are kept here because the parser itself would collect a header or a body without end.
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
        "surplus",
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
        self._body: list[bytes] = []
        self._size = 0
        self._stopped = False
        self.surplus = False  # more has come than was wanted

    @property
    def within(self) -> bool:
        """Whether a message has begun and is not whole yet."""
        return self._message is not None

    def feed(self, data: bytes) -> None:
        """Take in bytes; MessageError if they cannot belong to a message that is taken."""
        if not self._in_body:
            self._head_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                self.surplus = True
                return
            if self._failure is None:
                raise HttpMessageError(400, f"malformed message: {error}") from None
        if self._failure is not None:
            raise self._failure
        if not self._in_body and self._head_left < 0:
            raise HttpMessageError(400, "the head is too large")

    def stop(self) -> None:
        """Begin no further message, also not one that is in the same piece of input."""
        self._stopped = True

    def resume(self) -> None:
        """Take messages again, after a stop that cut none off."""
        self._stopped = False

    # What httptools calls.

    def on_message_begin(self) -> None:
        if self._stopped:
            raise _StopParsing
        self._message = HttpMessage()
        self._body.clear()
        self._size = 0

    def on_url(self, part: bytes) -> None:
        if self._message is not None:
            self._message.target += part
            self._measure(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._message is None:
            return
        self._measure(len(name) + len(value))
        if self._in_body:
            return  # a trailer: what decided how the message is taken stands in its head
        name = name.lower()
        if name in self._message.headers:
            self._message.repeated.add(name)
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
        """The length must be told, in one of the two ways that this node reads.

        The parser refuses both at once and numbers that are none.  An answer that lasts until the end of the
        connection is not taken: one that was cut off looks the same.
        """
        length = message.headers.get(b"content-length")
        coding = message.headers.get(b"transfer-encoding")
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                self._fail(400, "the length is told in no way that is read here")
        elif length is not None:
            if int(length) > MAX_BODY_BYTES:
                self._fail(413, "the body is too large")
        elif isinstance(self._parser, httptools.HttpResponseParser) and self._parser.get_status_code() == 200:
            self._fail(400, "the length is not told")

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > MAX_BODY_BYTES:
            self._fail(413, "the body is too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        message = self._message
        if message is None or self._failure is not None:
            return
        self._message, self._in_body = None, False
        message.body = b"".join(self._body)
        self._body.clear()
        message.keep_alive = self._parser.should_keep_alive()
        if not 100 <= message.status < 200:  # an interim answer is no answer, and counts with the next head
            self._head_left, self._head_size = MAX_HEAD_BYTES, 0
            self._on_message(message)

    def _measure(self, size: int) -> None:
        """A head that came whole in one piece is measured here, before it is taken."""
        self._head_size += size
        if self._head_size > MAX_HEAD_BYTES:
            self._fail(400, "the head is too large")

    def _fail(self, status: int, text: str) -> NoReturn:
        self._failure = HttpMessageError(status, text)
        self._body.clear()
        raise _StopParsing


def render_response(status: int, body: bytes = b"", extra: bytes = b"", *, close: bool = False) -> bytes:
    """An answer to a caller; extra holds whole header lines."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        _REASONS[status],
        len(body),
        extra,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def render_request_head(name: bytes, call: HttpRequest, host: bytes) -> bytes:
    """The part of an attempt's head that is the same for each attempt: all but the deadline."""
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (call.method, call.target, host, name)]
    if call.key is not None:
        lines.append(b"Idempotency-Key: %s\r\n" % call.key)
    if call.content_type is not None:
        lines.append(b"Content-Type: %s\r\n" % call.content_type)
    if call.body or call.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % len(call.body))
    return b"".join(lines)
