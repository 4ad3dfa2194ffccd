"""MessagePack-RPC framing without I/O: bytes in, messages out; and the bytes of a message.

Source: the MessagePack-RPC specification: requests [0, msgid, method, params], responses [1, msgid, error,
result], notifications [2, method, params]. A walk over the headers alone finds where a message ends and
holds it to the limits before a value is made; the msgpack library makes the few values that are read. Its
own streaming unpacker is not fed with what comes: it sets aside as many places as a header announces, 32 KB
for three bytes and at every depth anew, and does not tell where a value lies, which is needed to pass it on
byte for byte.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
MSGID_MOST = 2**32 - 1
FIELDS = {REQUEST: 4, RESPONSE: 4, NOTIFICATION: 3}

# Of each first byte: bytes of the header, bytes of a length in it, what the length counts.
_VALUE, _BYTES, _EXT, _ITEMS, _PAIRS = range(5)
_HEADERS: dict[int, tuple[int, int, int]] = {
    0xC0: (0, 0, _VALUE), 0xC2: (0, 0, _VALUE), 0xC3: (0, 0, _VALUE),
    0xC4: (0, 1, _BYTES), 0xC5: (0, 2, _BYTES), 0xC6: (0, 4, _BYTES),
    0xC7: (0, 1, _EXT), 0xC8: (0, 2, _EXT), 0xC9: (0, 4, _EXT),
    0xCA: (4, 0, _VALUE), 0xCB: (8, 0, _VALUE),
    0xCC: (1, 0, _VALUE), 0xCD: (2, 0, _VALUE), 0xCE: (4, 0, _VALUE), 0xCF: (8, 0, _VALUE),
    0xD0: (1, 0, _VALUE), 0xD1: (2, 0, _VALUE), 0xD2: (4, 0, _VALUE), 0xD3: (8, 0, _VALUE),
    0xD4: (2, 0, _VALUE), 0xD5: (3, 0, _VALUE), 0xD6: (5, 0, _VALUE), 0xD7: (9, 0, _VALUE),
    0xD8: (17, 0, _VALUE),
    0xD9: (0, 1, _BYTES), 0xDA: (0, 2, _BYTES), 0xDB: (0, 4, _BYTES),
    0xDC: (0, 2, _ITEMS), 0xDD: (0, 4, _ITEMS),
    0xDE: (0, 2, _PAIRS), 0xDF: (0, 4, _PAIRS),
}  # fmt: skip


class FramingError(Exception):
    """What cannot belong to a message that is taken; msgid: of the request that it was in, where known."""

    def __init__(self, text: str, msgid: int | None = None) -> None:
        super().__init__(text)
        self.msgid = msgid


@dataclass(frozen=True, slots=True)
class Limits:
    """What one message may be."""

    size: int = 64 * 1024 + 512  # bytes
    depth: int = 32  # of containers in each other, the message itself among them


@dataclass(frozen=True, slots=True)
class Request:
    """A call.  params: one array, as it came; items: where its elements lie in those bytes."""

    msgid: int
    method: str
    params: bytes
    items: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Notification:
    """A call that gets no response."""

    method: str
    params: bytes
    items: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to a call.  error: the bytes of one value, nil where there is none; result likewise."""

    msgid: int
    error: bytes
    result: bytes


Message = Request | Notification | Response
NIL = b"\xc0"


class Pairs(list[Any]):
    """A map as it was written, as a list of pairs: keys of any type, and twice the same one."""

    def get(self, name: str) -> Any:
        """The value of this name, the last if it is there twice; None where it is not."""
        return next((value for key, value in reversed(self) if key == name and isinstance(key, str)), None)


def unpack(raw: bytes) -> Any:
    """One value; ValueError for bytes that are none.  Maps come as Pairs."""
    try:
        return msgpack.unpackb(
            raw, raw=False, strict_map_key=False, unicode_errors="surrogateescape", object_pairs_hook=Pairs
        )
    except (msgpack.exceptions.UnpackException, ValueError, TypeError, RecursionError) as error:
        raise ValueError(f"no value: {error}") from None


class _Walk:
    """Follows headers until one value is whole, in pieces of any size and in memory by its depth alone.

    Positions count from the beginning of the message. marks: where the elements of the value end, if it is an
    array; where keys and values end, if it is a map.
    """

    __slots__ = ("_depth", "_left", "_limits", "_skip", "at", "is_array", "marks", "start")

    def __init__(self, limits: Limits, start: int, depth: int) -> None:
        self._limits = limits
        self._depth = depth  # containers around the value
        self._left: list[int] = []  # values still to come in each open container
        self._skip = 0  # bytes of a value still to come
        self.start = self.at = start
        self.is_array = False
        self.marks: list[int] = []

    def on(self, buffer: bytearray, origin: int) -> bool:
        """Read on; True when the value is whole.  FramingError as soon as it cannot be one that is taken."""
        while True:
            if not self._skip:
                here = origin + self.at
                size = _header_size(buffer, here)
                if not size:
                    return False
                if self._opens(buffer, here, size):
                    continue
            step = min(self._skip, len(buffer) - origin - self.at)
            self.at += step
            self._skip -= step
            if self._skip:
                return False
            if self._ends():
                return True

    def _opens(self, buffer: bytearray, here: int, size: int) -> bool:
        """Take a whole header; whether a container begins in which values are to come."""
        first = buffer[here]
        rest, _, counts = _form(first)
        number = int.from_bytes(buffer[here + 1 : here + size], "big") if size > 1 else _count(first)
        body = rest + (number if counts == _BYTES else number + 1 if counts == _EXT else 0)
        items = number if counts == _ITEMS else 2 * number if counts == _PAIRS else 0
        # An item takes a byte at the least: what will not fit is known by its header.
        if self.at + size + body + items > self._limits.size:
            raise FramingError("the message is too large")
        if self.at == self.start:
            self.is_array = counts == _ITEMS
        self.at += size
        self._skip = body
        if not items:
            return False
        if self._depth + len(self._left) >= self._limits.depth:
            raise FramingError("the message is too deep")
        self._left.append(items)
        return True

    def _ends(self) -> bool:
        """A value has ended, and perhaps containers with it; whether the whole has."""
        while self._left:
            if len(self._left) == 1:
                self.marks.append(self.at)
            self._left[-1] -= 1
            if self._left[-1]:
                return False
            self._left.pop()
        return True


def _header_size(buffer: bytearray, here: int) -> int:
    """Bytes of the header that begins here; 0 while it is not whole."""
    if here >= len(buffer):
        return 0
    size = 1 + _form(buffer[here])[1]
    return size if len(buffer) - here >= size else 0


def _form(first: int) -> tuple[int, int, int]:
    """Of a header by its first byte: bytes of a fixed body, bytes of a length, and what that counts."""
    if first <= 0x7F or first >= 0xE0:
        return 0, 0, _VALUE
    if first <= 0x8F:
        return 0, 0, _PAIRS
    if first <= 0x9F:
        return 0, 0, _ITEMS
    if first <= 0xBF:
        return 0, 0, _BYTES
    form = _HEADERS.get(first)
    if form is None:
        raise FramingError("a byte that begins no value")
    return form


def _count(first: int) -> int:
    """The length that stands in the first byte itself."""
    if 0x80 <= first <= 0x9F:
        return first & 0x0F
    return first & 0x1F if 0xA0 <= first <= 0xBF else 0


class Reader:
    """One direction of one connection.  Feed it; after a failure it takes nothing more."""

    def __init__(self, limits: Limits, kinds: frozenset[int]) -> None:
        """kinds: which of REQUEST, RESPONSE and NOTIFICATION may come here."""
        self._limits = limits
        self._kinds = kinds
        self._buffer = bytearray()
        self._origin = 0  # where the message at hand begins
        self.failure: FramingError | None = None
        self._begin()

    def _begin(self) -> None:
        self._fields = 0  # of the message at hand, once its header is there
        self._walk = _Walk(self._limits, 0, 1)
        self._walks: list[_Walk] = []
        self._kind = -1
        self._msgid: int | None = None

    def held(self) -> int:
        """Bytes of a message that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """The messages that have become whole; failure is set where what follows them cannot be read."""
        told: list[Message] = []
        if self.failure is not None:
            return told
        self._buffer += data
        try:
            while self._whole():
                told.append(self._message())
                self._origin += self._walks[-1].at
                self._begin()
        except FramingError as error:
            self.failure = FramingError(str(error), self._msgid)
            self._buffer.clear()
            return told
        del self._buffer[: self._origin]
        self._origin = 0
        return told

    def _whole(self) -> bool:
        """Read on in the message at hand."""
        if not self._fields and not self._opened():
            return False
        while len(self._walks) < self._fields:
            if not self._walk.on(self._buffer, self._origin):
                return False
            self._walks.append(self._walk)
            self._check(len(self._walks) - 1)
            self._walk = _Walk(self._limits, self._walk.at, 1)
        return True

    def _opened(self) -> bool:
        """The header of the message: an array of three or four."""
        size = _header_size(self._buffer, self._origin)
        if not size:
            return False
        first = self._buffer[self._origin]
        if _form(first)[2] != _ITEMS:
            raise FramingError("a message is an array")
        number = self._buffer[self._origin + 1 : self._origin + size]
        self._fields = int.from_bytes(number, "big") if size > 1 else _count(first)
        if self._fields not in (3, 4):
            raise FramingError("a message is an array of three or four")
        self._walk = _Walk(self._limits, size, 1)
        return True

    def _raw(self, walk: _Walk) -> bytes:
        return bytes(self._buffer[self._origin + walk.start : self._origin + walk.at])

    def _check(self, field: int) -> None:
        """Each field as soon as it is there: what is wrong is told early, and by its msgid."""
        walk = self._walks[field]
        if field == 0:
            kind = self._value(walk)
            if type(kind) is not int or kind not in self._kinds or FIELDS[kind] != self._fields:
                raise FramingError("no message of this type and length is taken here")
            self._kind = kind
        elif field == 1 and self._kind != NOTIFICATION:
            msgid = self._value(walk)
            if type(msgid) is not int or not 0 <= msgid <= MSGID_MOST:
                raise FramingError("the msgid is no number of 32 bits")
            self._msgid = msgid
        elif self._kind != RESPONSE and field == self._fields - 2:
            if not isinstance(self._value(walk), str):
                raise FramingError("the method is no string")
        elif self._kind != RESPONSE and field == self._fields - 1 and not walk.is_array:
            raise FramingError("the params are no array")

    def _value(self, walk: _Walk) -> Any:
        try:
            return unpack(self._raw(walk))
        except ValueError as error:
            raise FramingError(str(error)) from None

    def _message(self) -> Message:
        *_, before, last = self._walks
        if self._kind == RESPONSE:
            return Response(self._msgid or 0, self._raw(before), self._raw(last))
        method = unpack(self._raw(before))
        starts = [_first_item(self._raw(last)), *(mark - last.start for mark in last.marks)]
        items = tuple(zip(starts, starts[1:], strict=False))
        if self._kind == NOTIFICATION:
            return Notification(method, self._raw(last), items)
        return Request(self._msgid or 0, method, self._raw(last), items)


def _first_item(raw: bytes) -> int:
    """Where the elements of an array begin."""
    return 1 + _form(raw[0])[1]


# ---------------------------------------------------------------- writing


def pack(value: Any) -> bytes:
    """One value, as the library writes it."""
    packed = msgpack.packb(value, use_bin_type=True, unicode_errors="surrogateescape")
    assert isinstance(packed, bytes)
    return packed


def request(msgid: int, method: str, params: bytes) -> bytes:
    """The bytes of a request; params: the bytes of one array."""
    return b"".join((b"\x94\x00", pack(msgid), pack(method), params))


def response(msgid: int, error: bytes, result: bytes) -> bytes:
    """The bytes of a response; error and result: the bytes of one value each, NIL for none."""
    return b"".join((b"\x94\x01", pack(msgid), error, result))


def notification(method: str, params: bytes) -> bytes:
    return b"".join((b"\x93\x02", pack(method), params))
