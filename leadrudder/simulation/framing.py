"""HTTP/1.1 framing for the stand-ins and the oracle: bytes in, whole messages out.

The oracle judges the node from what passed on sockets, so it must not read with the node's parser. This is
for well-formed messages only: of anything else it says that it is malformed, and reads no further.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MOST_HEAD = 64 * 1024


@dataclass(slots=True)
class Frame:
    """A whole message. start: the parts of its first line."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start[1])

    @property
    def target(self) -> str:
        """Of a request."""
        return self.start[1]


class Framing:
    """Splits one direction of a connection into messages."""

    __slots__ = ("_answers", "_data", "_frame", "_need", "malformed")

    def __init__(self, *, answers: bool) -> None:
        self._answers = answers
        self._data = bytearray()
        self._frame: Frame | None = None
        self._need = 0  # of the body; -1: it lasts until the end, -2: it comes in chunks
        self.malformed = False

    def feed(self, data: bytes) -> list[Frame]:
        """The messages that are whole now."""
        self._data += data
        found: list[Frame] = []
        while not self.malformed and (frame := self._next()) is not None:
            found.append(frame)
        return found

    @property
    def within(self) -> bool:
        """Whether a part of a message is there."""
        return bool(self._data) or self._frame is not None

    def _next(self) -> Frame | None:
        if self._frame is None and not self._head():
            return None
        frame = self._frame
        assert frame is not None
        if self._need == -2:
            return self._chunks(frame)
        if self._need < 0 or len(self._data) < self._need:
            return None
        frame.body = bytes(self._data[: self._need])
        del self._data[: self._need]
        self._frame = None
        return frame

    def _head(self) -> bool:
        while self._data.startswith(b"\r\n"):  # RFC 9112, 2.2: empty lines before a message are skipped
            del self._data[:2]
        end = self._data.find(b"\r\n\r\n")
        if end < 0:
            self.malformed = len(self._data) > MOST_HEAD
            return False
        first, *lines = self._data[:end].decode("latin-1").split("\r\n")
        del self._data[: end + 4]
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                self.malformed = True
                return False
            headers[name.lower()] = value.strip()
        frame = Frame(first.split(" ", 2), headers)
        if not self._sensible(frame):
            self.malformed = True
            return False
        self._frame = frame
        return True

    def _sensible(self, frame: Frame) -> bool:
        """Read the first line and the length."""
        length = frame.headers.get("content-length")
        if self._answers:
            if len(frame.start) < 2 or not frame.start[1].isdigit():
                return False
            self._need = -1
        elif len(frame.start) != 3 or not frame.start[2].startswith("HTTP/1."):
            return False
        else:
            self._need = 0
        if frame.headers.get("transfer-encoding") == "chunked":
            self._need = -2
        elif length is not None:
            if not length.isdigit():
                return False
            self._need = int(length)
        return True

    def _chunks(self, frame: Frame) -> Frame | None:
        """A chunk is added when it is whole; the empty one ends the message."""
        while True:
            end = self._data.find(b"\r\n")
            if end < 0:
                return None
            try:
                size = int(self._data[:end], 16)
            except ValueError:
                self.malformed = True
                return None
            if len(self._data) < end + 2 + size + 2:
                return None
            frame.body += bytes(self._data[end + 2 : end + 2 + size])
            del self._data[: end + 2 + size + 2]
            if not size:
                self._frame = None
                return frame

    def take_body(self) -> bytes:
        """What has come of an unfinished message's body so far; it is taken away."""
        frame = self._frame
        if frame is None:
            return b""
        if self._need == -2:
            self._chunks(frame)
        body, frame.body = frame.body, b""
        return body


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request's bytes."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}{length}\r\n".encode() + body


def answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """An answer's bytes."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """One chunk of an answer that stays open."""
    return b"%x\r\n%s\r\n" % (len(data), data)
