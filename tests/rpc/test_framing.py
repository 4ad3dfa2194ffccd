"""MessagePack-RPC framing, compared with the msgpack library: input in pieces of any size, and limits."""

from __future__ import annotations

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
    encode_notification,
    encode_request,
    encode_response,
    pack,
    unpack,
)

ALL = frozenset({REQUEST, RESPONSE, NOTIFICATION})

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
    limits: MessageLimits = MessageLimits(),  # noqa: B008 - it is frozen
    kinds: frozenset[int] = ALL,
) -> MessageReader:
    return MessageReader(limits, kinds)


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    """The bytes in pieces of these sizes, over and over."""
    pieces, at, i = [], 0, 0
    while at < len(data):
        size = cuts[i % len(cuts)]
        pieces.append(data[at : at + size])
        at, i = at + size, i + 1
    return pieces


def as_told(message: Message) -> tuple[Any, ...]:
    """A message's fields, as the library reads them."""

    def read(raw: bytes) -> Any:
        return msgpack.unpackb(raw, strict_map_key=False)

    if isinstance(message, Request):
        items = [read(message.params[a:b]) for a, b in message.items]
        assert items == read(message.params)
        return (REQUEST, message.msgid, message.method, items)
    if isinstance(message, Notification):
        assert [read(message.params[a:b]) for a, b in message.items] == read(message.params)
        return (NOTIFICATION, message.method, read(message.params))
    return (RESPONSE, message.msgid, read(message.error), read(message.result))


@given(st.lists(MESSAGES, max_size=4), st.lists(st.integers(1, 70), min_size=1, max_size=4))
def test_what_the_library_writes_is_read_in_pieces_of_any_size(
    messages: list[tuple[Any, ...]], cuts: list[int]
) -> None:
    it, told = reader(), []
    for piece in cut(b"".join(msgpack.packb(m) for m in messages), cuts):
        told += it.feed(piece)
    assert it.failure is None and it.buffered_bytes() == 0
    assert [as_told(message) for message in told] == messages


@given(MESSAGES)
def test_what_is_passed_on_is_byte_for_byte_what_came(message: tuple[Any, ...]) -> None:
    raw = msgpack.packb(message)
    (told,) = reader().feed(raw)
    if isinstance(told, Request):
        again = encode_request(told.msgid, told.method, told.params)
    elif isinstance(told, Response):
        again = encode_response(told.msgid, told.error, told.result)
    else:
        again = encode_notification(told.method, told.params)
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
            return  # a timestamp that is none, in a value that is passed on unread
        assert len(told) == (3 if isinstance(message, Notification) else 4)


WIDE = b"\xdd\x00\x00\x00\x02\x02\xa1m\x90"  # an array of two, by its widest header


@pytest.mark.parametrize(
    ("data", "text", "msgid"),
    [
        (b"\x01", "array", None),
        (b"\x80", "array", None),
        (b"\x92\x00\x01", "three or four", None),
        (WIDE, "three or four", None),
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
        (b"\x94\x00\x07\xa1m\x91\xc1", "invalid first byte", 7),
        (b"\x94\x00\x07\xa1m\x91\xc6\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xdb\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xdd\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xdf\xff\xff\xff\xff", "too large", 7),
        (b"\x94\x00\x07\xa1m\x91\xc9\xff\xff\xff\xff\x01", "too large", 7),
        (b"\x94\x00\x07\xa1m" + b"\x91" * 40, "too deep", 7),
    ],
)
def test_what_cannot_be_a_message_is_refused_by_its_header(data: bytes, text: str, msgid: int | None) -> None:
    """A length of four gigabytes by its header; nothing after the failure is taken."""
    whole = reader()
    assert whole.feed(data) == []
    assert whole.failure is not None and text in str(whole.failure) and whole.failure.msgid == msgid
    assert whole.buffered_bytes() == 0
    assert whole.feed(encode_request(1, "m", b"\x90")) == []
    parts = reader()
    assert [message for byte in data for message in parts.feed(bytes([byte]))] == []
    assert str(parts.failure) == str(whole.failure)


def test_messages_before_a_bad_one_are_told() -> None:
    it = reader()
    assert len(it.feed(encode_request(1, "m", b"\x90") + b"\xc1")) == 1
    assert it.failure is not None and it.failure.msgid is None


def test_only_the_kinds_that_may_come_are_taken() -> None:
    it = reader(kinds=frozenset({RESPONSE}))
    it.feed(encode_request(1, "m", b"\x90"))
    assert it.failure is not None


@pytest.mark.parametrize("size", [100, 1000])
def test_a_message_is_held_to_its_size_to_the_byte(size: int) -> None:
    head = len(encode_request(1, "m", b"\x91")) + 3  # of a binary of up to 64 KB
    fits = encode_request(1, "m", b"\x91\xc5" + (size - head).to_bytes(2, "big") + b"x" * (size - head))
    assert len(fits) == size
    assert len(reader(MessageLimits(size=size)).feed(fits)) == 1
    over = reader(MessageLimits(size=size - 1))
    assert over.feed(fits) == [] and over.failure is not None


def test_a_message_of_a_byte_at_a_time_costs_what_it_holds() -> None:
    """Read from its beginning at each byte, 64 KB cost two thousand million steps."""
    data = encode_request(1, "m", b"\xdc\x27\x10" + b"\x01" * 10_000)
    it, looks = reader(), 0
    for byte in data:
        scanner = it._scanner
        before = scanner.position
        it.feed(bytes([byte]))
        looks += max(0, it._scanner.position - before) if it._scanner is scanner else 1
    assert looks <= 2 * len(data) and it.buffered_bytes() == 0


def test_what_a_peer_announces_sets_nothing_aside() -> None:
    """The library's unpacker makes room for what a header announces, at every depth anew."""
    it = reader()
    it.feed(b"\x94\x00\x01\xa1m\x91" + b"\xdc\x40\x00" * 3)
    assert it.failure is None and it.buffered_bytes() < 20
    assert sum(len(scanner.item_ends) for scanner in [*it._scanned, it._scanner]) == 0


def test_a_map_is_read_with_keys_of_any_type_and_the_last_of_two_counts() -> None:
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
