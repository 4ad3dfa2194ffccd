"""MessagePack-RPC framing, compared with the msgpack library: input in pieces of any size, and limits."""

from __future__ import annotations

import tracemalloc
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadrudder.rpc.framing import (
    NIL,
    NOTIFICATION,
    REQUEST,
    RESPONSE,
    MapPairs,
    Message,
    MessageLimits,
    MessageReader,
    Notification,
    Request,
    Response,
    pack,
    unpack,
)

# Hypothesis derives its draws from the source text of a property test: the names used there stay as they are.
from leadrudder.rpc.framing import encode_notification as notification
from leadrudder.rpc.framing import encode_request as request
from leadrudder.rpc.framing import encode_response as response

ALL_KINDS = frozenset({REQUEST, RESPONSE, NOTIFICATION})

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=40)
    | st.binary(max_size=300)
    | st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=20))
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(max_size=4), inner, max_size=17),
    max_leaves=30,
)
MSGIDS = st.integers(0, 2**32 - 1)
MESSAGES = st.one_of(
    st.tuples(st.just(REQUEST), MSGIDS, st.text(max_size=40), st.lists(VALUES, max_size=18)),
    st.tuples(st.just(RESPONSE), MSGIDS, VALUES, VALUES),
    st.tuples(st.just(NOTIFICATION), st.text(max_size=40), st.lists(VALUES, max_size=5)),
)


def reader(
    limits: MessageLimits = MessageLimits(),  # noqa: B008 - immutable
    kinds: frozenset[int] = ALL_KINDS,
) -> MessageReader:
    return MessageReader(limits, kinds)


def cut(data: bytes, sizes: list[int]) -> list[bytes]:
    """Split the bytes into pieces of these sizes, repeated as needed."""
    pieces, at, i = [], 0, 0
    while at < len(data):
        size = sizes[i % len(sizes)]
        pieces.append(data[at : at + size])
        at, i = at + size, i + 1
    return pieces


def as_told(message: Message) -> tuple[Any, ...]:
    """The fields of a message, decoded by the library."""

    def decode(raw: bytes) -> Any:
        return msgpack.unpackb(raw, strict_map_key=False)

    if isinstance(message, Request):
        items = [decode(message.params[a:b]) for a, b in message.items]
        assert items == decode(message.params)
        return (REQUEST, message.msgid, message.method, items)
    if isinstance(message, Notification):
        assert [decode(message.params[a:b]) for a, b in message.items] == decode(message.params)
        return (NOTIFICATION, message.method, decode(message.params))
    return (RESPONSE, message.msgid, decode(message.error), decode(message.result))


@given(st.lists(MESSAGES, max_size=4), st.lists(st.integers(1, 70), min_size=1, max_size=4))
def test_what_the_library_writes_is_read_in_pieces_of_any_size(
    messages: list[tuple[Any, ...]], cuts: list[int]
) -> None:
    it, told = reader(), []
    for piece in cut(b"".join(msgpack.packb(m) for m in messages), cuts):
        told += it.feed(piece)
    assert it.failure is None and it.held() == 0
    assert [as_told(message) for message in told] == messages


@given(MESSAGES)
def test_what_is_passed_on_is_byte_for_byte_what_came(message: tuple[Any, ...]) -> None:
    raw = msgpack.packb(message)
    (told,) = reader().feed(raw)
    if isinstance(told, Request):
        again = request(told.msgid, told.method, told.params)
    elif isinstance(told, Response):
        again = response(told.msgid, told.error, told.result)
    else:
        again = notification(told.method, told.params)
    assert again == raw


@given(st.binary(max_size=120), st.integers(1, 50))
def test_any_bytes_are_read_or_refused_alike_in_one_piece_and_in_many(data: bytes, size: int) -> None:
    """And what is read of them is what the library reads there."""
    whole, parts = reader(), reader()
    at_once = whole.feed(data)
    in_parts = [message for piece in cut(data, [size]) for message in parts.feed(piece)]
    assert at_once == in_parts
    assert str(whole.failure) == str(parts.failure)
    library = msgpack.Unpacker(raw=True, strict_map_key=False, object_pairs_hook=list, timestamp=0)
    library.feed(data)
    for message in at_once:
        try:
            told = next(library)
        except ValueError:
            return  # an invalid timestamp, in a value that is forwarded without decoding
        assert len(told) == (3 if isinstance(message, Notification) else 4)


WIDE_HEADER = b"\xdd\x00\x00\x00\x02\x02\xa1m\x90"  # an array of two with a 32-bit length


@pytest.mark.parametrize(
    ("data", "text", "msgid"),
    [
        (b"\x01", "array", None),
        (b"\x80", "array", None),
        (b"\x92\x00\x01", "three or four", None),
        (WIDE_HEADER, "three or four", None),
        (b"\xdd\xff\xff\xff\xff", "three or four", None),
        (b"\x94\xc3", "type", None),
        (b"\x94\x02", "type", None),
        (b"\x93\x00", "type", None),
        (b"\x94\x03", "type", None),
        (b"\x94\x00\xff", "msgid", None),
        (b"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00", "msgid", None),
        (b"\x94\x00\xca\x00\x00\x00\x00", "msgid", None),
        (b"\x94\x00\xc2", "msgid", None),
        (b"\x94\x00\x07\x01", "method", 7),
        (b"\x94\x00\x07\xc4\x01m", "method", 7),
        (b"\x94\x00\x07\xa1m\x80", "array", 7),
        (b"\x94\x00\x07\xa1m\xc0", "array", 7),
        (b"\x94\x00\x07\xa1m\x91\xc1", "no value", 7),
        (b"\x94\x00\x07\xa1m\x91\xc6\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xdb\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xdd\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xdf\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xc9\xff\xff\xff\xff\x01", "too large", 7),
        (b"\x94\x00\x07\xa1m" + b"\x91" * 40, "too deep", 7),
    ],
)
def test_invalid_message_is_refused_by_its_header(data: bytes, text: str, msgid: int | None) -> None:
    """A length of four gigabytes is refused by its header, and no input is accepted after the failure."""
    whole_reader = reader()
    assert whole_reader.feed(data) == []
    assert (
        whole_reader.failure is not None
        and text in str(whole_reader.failure)
        and whole_reader.failure.msgid == msgid
    )
    assert whole_reader.held() == 0
    assert whole_reader.feed(request(1, "m", b"\x90")) == []
    piece_reader = reader()
    assert [message for byte in data for message in piece_reader.feed(bytes([byte]))] == []
    assert str(piece_reader.failure) == str(whole_reader.failure)


def test_messages_before_an_invalid_one_are_returned() -> None:
    message_reader = reader()
    assert len(message_reader.feed(request(1, "m", b"\x90") + b"\xc1")) == 1
    assert message_reader.failure is not None and message_reader.failure.msgid is None


def test_only_accepted_message_types_are_parsed() -> None:
    message_reader = reader(kinds=frozenset({RESPONSE}))
    message_reader.feed(request(1, "m", b"\x90"))
    assert message_reader.failure is not None


@pytest.mark.parametrize("size", [100, 1000])
def test_size_limit_is_exact_to_the_byte(size: int) -> None:
    head = len(request(1, "m", b"\x91")) + 3  # header of a binary of up to 64 KB
    fits = request(1, "m", b"\x91\xc5" + (size - head).to_bytes(2, "big") + b"x" * (size - head))
    assert len(fits) == size
    assert len(reader(MessageLimits(size=size)).feed(fits)) == 1
    over = reader(MessageLimits(size=size - 1))
    assert over.feed(fits) == [] and over.failure is not None


def test_parsing_one_byte_at_a_time_takes_linear_time() -> None:
    """Scanning again from the start at each byte would take two billion steps for 64 KB."""
    data = request(1, "m", b"\xdc\x27\x10" + b"\x01" * 10_000)
    message_reader, steps = reader(), 0
    for byte in data:
        scanner = message_reader._scanner
        before = scanner.position
        message_reader.feed(bytes([byte]))
        steps += (
            max(0, message_reader._scanner.position - before) if message_reader._scanner is scanner else 1
        )
    assert steps <= 2 * len(data) and message_reader.held() == 0


def test_announced_length_allocates_nothing() -> None:
    """The library's unpacker allocates what a header announces, again at every depth."""
    message_reader = reader()
    message_reader.feed(b"\x94\x00\x01\xa1m\x91" + b"\xdc\x40\x00" * 3)
    assert message_reader.failure is None and message_reader.held() < 20
    assert sum(len(scanner.item_ends) for scanner in [*message_reader._scanned, message_reader._scanner]) == 0


def test_map_keys_may_have_any_type_and_the_last_duplicate_wins() -> None:
    raw = b"\x84\xa2id\x01\x90\x02\xa2id\x03\xc0\x04"
    pairs = unpack(raw)
    assert isinstance(pairs, MapPairs) and pairs.get("id") == 3 and pairs.get("key") is None
    assert unpack(NIL) is None and pack(None) == NIL


@given(st.binary(max_size=30))
def test_bytes_that_are_no_value_are_an_error_of_their_own(raw: bytes) -> None:
    try:
        unpack(raw)
    except ValueError:
        return
    assert msgpack.unpackb(raw, raw=True, strict_map_key=False, object_pairs_hook=list) is not unpack


def test_an_unfinished_array_takes_memory_in_proportion_to_its_bytes() -> None:
    message_reader = reader()
    data = b"\x94\x00\x01\xa1m\xdc\xff\x00" + b"\x01" * 60_000
    tracemalloc.start()
    try:
        message_reader.feed(data)
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert message_reader.held() == len(data)
    assert held < 10 * len(data)
