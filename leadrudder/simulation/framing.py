"""HTTP/1.1 parser and encoder of the stand-ins and the oracle.

The oracle checks the node independently, so it must not use the node's own parser. This one reads well-formed
messages only: it marks anything else as malformed and stops there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass(slots=True)
class WireMessage:
    """A complete HTTP message. start_line: the parts of its first line."""

    start_line: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line[1]


class WireParser:
    """Splits one direction of a connection into messages."""

    __slots__ = ("_responses", "_buffer", "_message", "_body_bytes_needed", "malformed")

    def __init__(self, *, responses: bool) -> None:
        self._responses = responses
        self._buffer = bytearray()
        self._message: WireMessage | None = None
        self._body_bytes_needed = 0  # -1: the body ends with the connection, -2: it is chunked
        self.malformed = False

    def feed(self, data: bytes) -> list[WireMessage]:
        """Adds data and returns the messages that it completes."""
        self._buffer += data
        messages: list[WireMessage] = []
        while not self.malformed and (message := self._next_message()) is not None:
            messages.append(message)
        return messages

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer) or self._message is not None

    def _next_message(self) -> WireMessage | None:
        if self._message is None and not self._parse_head():
            return None
        message = self._message
        assert message is not None
        if self._body_bytes_needed == -2:
            return self._parse_chunks(message)
        if self._body_bytes_needed < 0 or len(self._buffer) < self._body_bytes_needed:
            return None
        message.body = bytes(self._buffer[: self._body_bytes_needed])
        del self._buffer[: self._body_bytes_needed]
        self._message = None
        return message

    def _parse_head(self) -> bool:
        while self._buffer.startswith(b"\r\n"):  # RFC 9112, 2.2: empty lines before a message are skipped
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            self.malformed = len(self._buffer) > MAX_HEAD_BYTES
            return False
        first, *lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                self.malformed = True
                return False
            headers[name.lower()] = value.strip()
        message = WireMessage(first.split(" ", 2), headers)
        if not self._parse_start_line(message):
            self.malformed = True
            return False
        self._message = message
        return True

    def _parse_start_line(self, message: WireMessage) -> bool:
        """Checks the first line and determines the length of the body."""
        length = message.headers.get("content-length")
        if self._responses:
            if len(message.start_line) < 2 or not message.start_line[1].isdigit():
                return False
            self._body_bytes_needed = -1
        elif len(message.start_line) != 3 or not message.start_line[2].startswith("HTTP/1."):
            return False
        else:
            self._body_bytes_needed = 0
        if message.headers.get("transfer-encoding") == "chunked":
            self._body_bytes_needed = -2
        elif length is not None:
            if not length.isdigit():
                return False
            self._body_bytes_needed = int(length)
        return True

    def _parse_chunks(self, message: WireMessage) -> WireMessage | None:
        """Adds complete chunks to the body; the empty chunk ends the message."""
        while True:
            end = self._buffer.find(b"\r\n")
            if end < 0:
                return None
            try:
                size = int(self._buffer[:end], 16)
            except ValueError:
                self.malformed = True
                return None
            if len(self._buffer) < end + 2 + size + 2:
                return None
            message.body += bytes(self._buffer[end + 2 : end + 2 + size])
            del self._buffer[: end + 2 + size + 2]
            if not size:
                self._message = None
                return message

    def take_partial_body(self) -> bytes:
        """Removes and returns the body received so far of an incomplete message."""
        message = self._message
        if message is None:
            return b""
        if self._body_bytes_needed == -2:
            self._parse_chunks(message)
        body, message.body = message.body, b""
        return body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a request."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}{length}\r\n".encode() + body


def encode_response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Encodes a response."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked response."""
    return b"%x\r\n%s\r\n" % (len(data), data)
