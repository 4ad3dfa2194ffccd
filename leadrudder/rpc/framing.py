"""MessagePack-RPC framing without I/O: parses received bytes into messages, and encodes messages.

Source: the MessagePack-RPC specification: requests [0, msgid, method, params], responses [1, msgid, error,
result], notifications [2, method, params]. A scan over the value headers alone finds the end of a message
and enforces the limits before any value is created; the msgpack library decodes only the few values that
are needed. The library's streaming unpacker is not used on received data: it allocates as many slots as an
array header announces (32 KB for three bytes, again at every depth), and it does not report the position of
a value, which is needed to forward the value byte for byte.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from typing import Any

import msgpack

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
MAX_MSGID = 2**32 - 1
FIELD_COUNTS = {REQUEST: 4, RESPONSE: 4, NOTIFICATION: 3}

# By first byte: size of the fixed body, size of the length field, and what the length counts.
_SCALAR, _BYTES, _EXT, _ITEMS, _PAIRS = range(5)
_HEADER_FORMATS: dict[int, tuple[int, int, int]] = {
    0xC0: (0, 0, _SCALAR), 0xC2: (0, 0, _SCALAR), 0xC3: (0, 0, _SCALAR),
    0xC4: (0, 1, _BYTES), 0xC5: (0, 2, _BYTES), 0xC6: (0, 4, _BYTES),
    0xC7: (0, 1, _EXT), 0xC8: (0, 2, _EXT), 0xC9: (0, 4, _EXT),
    0xCA: (4, 0, _SCALAR), 0xCB: (8, 0, _SCALAR),
    0xCC: (1, 0, _SCALAR), 0xCD: (2, 0, _SCALAR), 0xCE: (4, 0, _SCALAR), 0xCF: (8, 0, _SCALAR),
    0xD0: (1, 0, _SCALAR), 0xD1: (2, 0, _SCALAR), 0xD2: (4, 0, _SCALAR), 0xD3: (8, 0, _SCALAR),
    0xD4: (2, 0, _SCALAR), 0xD5: (3, 0, _SCALAR), 0xD6: (5, 0, _SCALAR), 0xD7: (9, 0, _SCALAR),
    0xD8: (17, 0, _SCALAR),
    0xD9: (0, 1, _BYTES), 0xDA: (0, 2, _BYTES), 0xDB: (0, 4, _BYTES),
    0xDC: (0, 2, _ITEMS), 0xDD: (0, 4, _ITEMS),
    0xDE: (0, 2, _PAIRS), 0xDF: (0, 4, _PAIRS),
}  # fmt: skip


class FramingError(Exception):
    """Received bytes are not an acceptable message; msgid: of the request they belong to, if known."""

    def __init__(self, text: str, msgid: int | None = None) -> None:
        super().__init__(text)
        self.msgid = msgid


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Limits of one message."""

    size: int = 64 * 1024 + 512  # bytes
    depth: int = 32  # nested containers, including the message itself


@dataclass(frozen=True, slots=True)
class Request:
    """A call. params: one encoded array as received; items: byte ranges of its elements."""

    msgid: int
    method: str
    params: bytes
    items: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Notification:
    """A call without a response."""

    method: str
    params: bytes
    items: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to a call. error, result: one encoded value each, nil if absent."""

    msgid: int
    error: bytes
    result: bytes


Message = Request | Notification | Response
NIL = b"\xc0"


class MapPairs(list[Any]):
    """A decoded map as a list of pairs: keys may have any type and may repeat."""

    def get(self, name: str) -> Any:
        """The value of a string key, the last one if the key repeats; None if absent."""
        return next((value for key, value in reversed(self) if key == name and isinstance(key, str)), None)


def unpack(raw: bytes) -> Any:
    """Decode one value; ValueError if the bytes are not exactly one value. Maps are decoded as MapPairs."""
    try:
        return msgpack.unpackb(
            raw, raw=False, strict_map_key=False, unicode_errors="surrogateescape", object_pairs_hook=MapPairs
        )
    except (msgpack.exceptions.UnpackException, ValueError, TypeError, RecursionError) as error:
        raise ValueError(f"no value: {error}") from None


class _ValueScanner:
    """Scans headers until one value is complete, over input in pieces of any size.

    Memory use depends only on the depth of the value. Positions are relative to the start of the message.
    item_ends: the end positions of the elements if the value is an array, of its keys and values if it is a
    map.
    """

    __slots__ = (
        "_depth",
        "_items_left",
        "_limits",
        "_body_left",
        "is_array",
        "position",
        "item_ends",
        "start",
    )

    def __init__(self, limits: MessageLimits, start: int, depth: int) -> None:
        self._limits = limits
        self._depth = depth  # containers around this value
        self._items_left: list[int] = []  # for each open container, the number of values not yet scanned
        self._body_left = 0  # body bytes of the current value not yet scanned
        self.start = self.position = start
        self.is_array = False
        self.item_ends = array("I")  # a value may hold an element for each of its bytes

    def scan(self, buffer: bytearray, message_start: int) -> bool:
        """Continue the scan; True once the value is complete, FramingError as soon as it is unacceptable."""
        while True:
            if not self._body_left:
                offset = message_start + self.position
                size = _header_size(buffer, offset)
                if not size:
                    return False
                if self._read_header(buffer, offset, size):
                    continue
            step = min(self._body_left, len(buffer) - message_start - self.position)
            self.position += step
            self._body_left -= step
            if self._body_left:
                return False
            if self._end_value():
                return True

    def _read_header(self, buffer: bytearray, offset: int, size: int) -> bool:
        """Process one complete header; True if it opens a non-empty container."""
        first_byte = buffer[offset]
        fixed_size, _, counted = _header_format(first_byte)
        length = (
            int.from_bytes(buffer[offset + 1 : offset + size], "big")
            if size > 1
            else _inline_length(first_byte)
        )
        body = fixed_size + (length if counted == _BYTES else length + 1 if counted == _EXT else 0)
        items = length if counted == _ITEMS else 2 * length if counted == _PAIRS else 0
        # Every item takes at least one byte, so the header alone shows that a container exceeds the limit.
        if self.position + size + body + items > self._limits.size:
            raise FramingError("the message is too large")
        if self.position == self.start:
            self.is_array = counted == _ITEMS
        self.position += size
        self._body_left = body
        if not items:
            return False
        if self._depth + len(self._items_left) >= self._limits.depth:
            raise FramingError("the message is too deep")
        self._items_left.append(items)
        return True

    def _end_value(self) -> bool:
        """Close the current value and each container it completes; True if the whole value is complete."""
        while self._items_left:
            if len(self._items_left) == 1:
                self.item_ends.append(self.position)
            self._items_left[-1] -= 1
            if self._items_left[-1]:
                return False
            self._items_left.pop()
        return True


def _header_size(buffer: bytearray, offset: int) -> int:
    """Size in bytes of the header at this offset; 0 while it is incomplete."""
    if offset >= len(buffer):
        return 0
    size = 1 + _header_format(buffer[offset])[1]
    return size if len(buffer) - offset >= size else 0


def _header_format(first_byte: int) -> tuple[int, int, int]:
    """Header format by first byte: size of the fixed body, size of the length, what the length counts."""
    if first_byte <= 0x7F or first_byte >= 0xE0:
        return 0, 0, _SCALAR
    if first_byte <= 0x8F:
        return 0, 0, _PAIRS
    if first_byte <= 0x9F:
        return 0, 0, _ITEMS
    if first_byte <= 0xBF:
        return 0, 0, _BYTES
    header_format = _HEADER_FORMATS.get(first_byte)
    if header_format is None:
        raise FramingError("a byte that begins no value")
    return header_format


def _inline_length(first_byte: int) -> int:
    """The length encoded in the first byte itself."""
    if 0x80 <= first_byte <= 0x9F:
        return first_byte & 0x0F
    return first_byte & 0x1F if 0xA0 <= first_byte <= 0xBF else 0


class MessageReader:
    """Parses one direction of one connection; accepts no input after a failure."""

    def __init__(self, limits: MessageLimits, kinds: frozenset[int]) -> None:
        """kinds: the accepted subset of REQUEST, RESPONSE and NOTIFICATION."""
        self._limits = limits
        self._kinds = kinds
        self._buffer = bytearray()
        self._message_start = 0  # offset of the current message in the buffer
        self.failure: FramingError | None = None
        self._start_message()

    def _start_message(self) -> None:
        self._field_count = 0  # of the current message; 0 until its header is complete
        self._scanner = _ValueScanner(self._limits, 0, 1)
        self._scanned: list[_ValueScanner] = []
        self._kind = -1
        self._msgid: int | None = None

    def held(self) -> int:
        """Number of buffered bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages completed by this data; sets failure if the data after them is invalid."""
        messages: list[Message] = []
        if self.failure is not None:
            return messages
        self._buffer += data
        try:
            while self._scan_message():
                messages.append(self._build_message())
                self._message_start += self._scanned[-1].position
                self._start_message()
        except FramingError as error:
            self.failure = FramingError(str(error), self._msgid)
            self._buffer.clear()
            return messages
        del self._buffer[: self._message_start]
        self._message_start = 0
        return messages

    def _scan_message(self) -> bool:
        """Continue the scan of the current message; True once it is complete."""
        if not self._field_count and not self._read_message_header():
            return False
        while len(self._scanned) < self._field_count:
            if not self._scanner.scan(self._buffer, self._message_start):
                return False
            self._scanned.append(self._scanner)
            self._check_field(len(self._scanned) - 1)
            self._scanner = _ValueScanner(self._limits, self._scanner.position, 1)
        return True

    def _read_message_header(self) -> bool:
        """Read the message header, an array of three or four; False while it is incomplete."""
        size = _header_size(self._buffer, self._message_start)
        if not size:
            return False
        first_byte = self._buffer[self._message_start]
        if _header_format(first_byte)[2] != _ITEMS:
            raise FramingError("a message is an array")
        length = self._buffer[self._message_start + 1 : self._message_start + size]
        self._field_count = int.from_bytes(length, "big") if size > 1 else _inline_length(first_byte)
        if self._field_count not in (3, 4):
            raise FramingError("a message is an array of three or four")
        self._scanner = _ValueScanner(self._limits, size, 1)
        return True

    def _field_bytes(self, scanner: _ValueScanner) -> bytes:
        return bytes(
            self._buffer[self._message_start + scanner.start : self._message_start + scanner.position]
        )

    def _check_field(self, field: int) -> None:
        """Validate a field as soon as it is complete, so that errors are found early and carry the msgid."""
        scanner = self._scanned[field]
        if field == 0:
            kind = self._decode_field(scanner)
            if type(kind) is not int or kind not in self._kinds or FIELD_COUNTS[kind] != self._field_count:
                raise FramingError("no message of this type and length is taken here")
            self._kind = kind
        elif field == 1 and self._kind != NOTIFICATION:
            msgid = self._decode_field(scanner)
            if type(msgid) is not int or not 0 <= msgid <= MAX_MSGID:
                raise FramingError("the msgid is no number of 32 bits")
            self._msgid = msgid
        elif self._kind != RESPONSE and field == self._field_count - 2:
            if not isinstance(self._decode_field(scanner), str):
                raise FramingError("the method is no string")
        elif self._kind != RESPONSE and field == self._field_count - 1 and not scanner.is_array:
            raise FramingError("the params are no array")

    def _decode_field(self, scanner: _ValueScanner) -> Any:
        try:
            return unpack(self._field_bytes(scanner))
        except ValueError as error:
            raise FramingError(str(error)) from None

    def _build_message(self) -> Message:
        *_, before, last = self._scanned
        if self._kind == RESPONSE:
            return Response(self._msgid or 0, self._field_bytes(before), self._field_bytes(last))
        method = unpack(self._field_bytes(before))
        starts = [
            _first_item_offset(self._field_bytes(last)),
            *(item_end - last.start for item_end in last.item_ends),
        ]
        items = tuple(zip(starts, starts[1:], strict=False))
        if self._kind == NOTIFICATION:
            return Notification(method, self._field_bytes(last), items)
        return Request(self._msgid or 0, method, self._field_bytes(last), items)


def _first_item_offset(raw: bytes) -> int:
    """Offset of the first element of an encoded array."""
    return 1 + _header_format(raw[0])[1]


# ---------------------------------------------------------------- writing


def pack(value: Any) -> bytes:
    """Encode one value."""
    packed = msgpack.packb(value, use_bin_type=True, unicode_errors="surrogateescape")
    assert isinstance(packed, bytes)
    return packed


def encode_request(msgid: int, method: str, params: bytes) -> bytes:
    """Encode a request; params: one encoded array."""
    return b"".join((b"\x94\x00", pack(msgid), pack(method), params))


def encode_response(msgid: int, error: bytes, result: bytes) -> bytes:
    """Encode a response; error and result: one encoded value each, NIL if absent."""
    return b"".join((b"\x94\x01", pack(msgid), error, result))


def encode_notification(method: str, params: bytes) -> bytes:
    return b"".join((b"\x93\x02", pack(method), params))
