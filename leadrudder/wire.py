"""The simulator's protocol: decodes frames, records and settings into the types of the interface, and back.

The layouts follow the operators' description of the protocol.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from leadrudder.interface import (
    Action,
    AnswerStarted,
    Arrival,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Readiness,
    Refuse,
    RequestGone,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)
from leadrudder.settings import SettingsError, read_settings

BATCH_HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<II")
_RECORD_HEADER = struct.Struct("<BI")
_NODE_LAYOUT = struct.Struct("<I")
_ENTRY_LAYOUT = struct.Struct("<fH6sBHBd")
_START_LAYOUT = struct.Struct("<IQI")
_TABLE_HEADER = struct.Struct("<II")
_SERVER_LIST_LAYOUT = struct.Struct("<IIIB")
_ARRIVAL_LAYOUT = struct.Struct("<IIHHQddH")
_ANSWER_STARTED_LAYOUT = struct.Struct("<IIHd6s")
_ATTEMPT_ENDED_LAYOUT = struct.Struct("<IIH6sHdBB")
_REQUEST_GONE_LAYOUT = struct.Struct("<II")
_TIMER_FIRED_LAYOUT = struct.Struct("<IQ")
_PROBE_ENDED_LAYOUT = struct.Struct("<I6sHdB")
_PEER_MESSAGE_LAYOUT = struct.Struct("<IHH")

_FLAG_HINT_VALID, _FLAG_REPEAT, _FLAG_WRITE = 1, 2, 4
_MAX_TABLES = 16
_MAX_TEXT_BYTES = 1000

_OUTCOMES_BY_STATUS = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.FULL,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.MOOT,
}


class WireError(Exception):
    """A malformed frame or setting; the message says what is wrong."""


@dataclass(frozen=True, slots=True)
class Start:
    """Starts an instance with these settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """Ends an instance."""


Record = tuple[int, Event | Start | Stop]


# ---------------------------------------------------------------- settings


def parse_settings(text: str) -> Settings:
    """Parses settings from lines of path=value."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, found, value = line.partition("=")
        if found:
            values[path.strip()] = value.strip()
    try:
        return read_settings(values)
    except SettingsError as error:
        raise WireError(str(error)) from None


# ---------------------------------------------------------------- events


def _read_floats(body: bytes, at: int, count: int) -> tuple[float, ...]:
    if not count:
        return ()
    values: tuple[float, ...] = struct.unpack_from(f"<{count}f", body, at)
    return values


def _read_entries(body: bytes) -> tuple[ServerEntry, ...]:
    count = _TABLE_HEADER.unpack_from(body)[1]
    if len(body) < _TABLE_HEADER.size + count * _ENTRY_LAYOUT.size:
        raise WireError("a table is shorter than its number of entries")
    rows = []
    for i in range(count):
        hint, kind, server, zone, cell, readiness, started = _ENTRY_LAYOUT.unpack_from(
            body, _TABLE_HEADER.size + i * _ENTRY_LAYOUT.size
        )
        rows.append(ServerEntry(server, Readiness(readiness), hint, kind, zone, cell, started))
    return tuple(rows)


class Decoder:
    """Decodes batches in event order; holds the numbered server tables, which are shared by all instances."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[ServerEntry, ...]] = {}
        self._settings: dict[bytes, Settings] = {}

    def records(self, body: bytes, count: int) -> Iterator[Record]:
        """Yields the records of a batch one by one, because a later record may replace a table in use."""
        at = 0
        for _ in range(count):
            if at + _RECORD_HEADER.size > len(body):
                raise WireError("a batch ends before its last record")
            code, length = _RECORD_HEADER.unpack_from(body, at)
            at += _RECORD_HEADER.size
            if at + length > len(body):
                raise WireError(f"record {code} is cut short")
            fields = body[at : at + length]
            at += length
            try:
                record = self._record(code, fields)
            except (struct.error, ValueError, KeyError, UnicodeDecodeError) as error:
                raise WireError(f"record {code} cannot be read: {error}") from error
            if record is not None:
                yield record
        if at != len(body):
            raise WireError("a batch holds more bytes than its records")

    def _record(self, code: int, body: bytes) -> Record | None:
        if code == 5:
            node, request, attempt, server, status, elapsed, done, n = _ATTEMPT_ENDED_LAYOUT.unpack_from(body)
            load = _read_floats(body, _ATTEMPT_ENDED_LAYOUT.size, n)
            return node, AttemptEnded(
                request, attempt, server, _OUTCOMES_BY_STATUS[status], elapsed, bool(done), load
            )
        if code == 3:
            node, request, service, tenant, key, budget, cost, flags = _ARRIVAL_LAYOUT.unpack_from(body)
            hint = cost if flags & _FLAG_HINT_VALID else None
            return node, Arrival(
                request,
                service,
                budget,
                tenant,
                key,
                hint,
                bool(flags & _FLAG_REPEAT),
                bool(flags & _FLAG_WRITE),
            )
        if code == 7:
            node, token = _TIMER_FIRED_LAYOUT.unpack_from(body)
            return node, TimerFired(token)
        if code == 2:
            node, version, number, mode = _SERVER_LIST_LAYOUT.unpack_from(body)
            kind = ListKind(mode)
            entries = () if kind is ListKind.FAILED else self._tables[number]
            return node, ServerList(kind, entries, version)
        if code == 11:
            number = _TABLE_HEADER.unpack_from(body)[0]
            if number >= _MAX_TABLES:
                raise WireError(f"table number {number} is out of range")
            self._tables[number] = _read_entries(body)
            return None
        if code == 6:
            node, request = _REQUEST_GONE_LAYOUT.unpack_from(body)
            return node, RequestGone(request)
        if code == 8:
            node, server, status, elapsed, n = _PROBE_ENDED_LAYOUT.unpack_from(body)
            return node, ProbeEnded(
                server, _OUTCOMES_BY_STATUS[status], elapsed, _read_floats(body, _PROBE_ENDED_LAYOUT.size, n)
            )
        if code == 4:
            node, request, attempt, elapsed, server = _ANSWER_STARTED_LAYOUT.unpack_from(body)
            return node, AnswerStarted(request, attempt, server, elapsed)
        if code == 9:
            node, sender, n = _PEER_MESSAGE_LAYOUT.unpack_from(body)
            if len(body) < _PEER_MESSAGE_LAYOUT.size + n:
                raise WireError("a message is cut short")
            return node, PeerMessage(sender, body[_PEER_MESSAGE_LAYOUT.size : _PEER_MESSAGE_LAYOUT.size + n])
        if code == 10:
            return _NODE_LAYOUT.unpack_from(body)[0], Stop()
        if code == 1:
            node, seed, n = _START_LAYOUT.unpack_from(body)
            raw = body[_START_LAYOUT.size : _START_LAYOUT.size + n]
            if len(raw) < n:
                raise WireError("settings are cut short")
            return node, Start(seed, parse_settings(raw.decode()))
        raise WireError(f"record code {code} is unknown")


# ---------------------------------------------------------------- actions

_SEND_LAYOUT = struct.Struct("<BIII6sd")
_REFUSE_LAYOUT = struct.Struct("<BIIId")
_FAIL_LAYOUT = struct.Struct("<BIII")
_CANCEL_LAYOUT = struct.Struct("<BIIIH")
_SET_TIMER_LAYOUT = struct.Struct("<BIIQd")
_SERVER_ACTION_LAYOUT = struct.Struct("<BII6s")
_SUBSCRIBE_LAYOUT = struct.Struct("<BIIB")
_TEXT_HEADER = struct.Struct("<BIIH")


def _body_size(layout: struct.Struct) -> int:
    return layout.size - _RECORD_HEADER.size


def _encode_text(code: int, node: int, text: str) -> bytes:
    body = text.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT_HEADER.pack(code, _body_size(_TEXT_HEADER) + len(body), node, len(body)) + body


def encode(node: int, action: Action) -> bytes:
    """Encodes one action of an instance as a record."""
    match action:
        case Send(request, server, timeout):
            return _SEND_LAYOUT.pack(65, _body_size(_SEND_LAYOUT), node, request, server, timeout)
        case SetTimer(token, at):
            return _SET_TIMER_LAYOUT.pack(69, _body_size(_SET_TIMER_LAYOUT), node, token, at)
        case Refuse(request, retry_after):
            return _REFUSE_LAYOUT.pack(66, _body_size(_REFUSE_LAYOUT), node, request, retry_after)
        case Fail(request):
            return _FAIL_LAYOUT.pack(67, _body_size(_FAIL_LAYOUT), node, request)
        case Cancel(request, attempt):
            return _CANCEL_LAYOUT.pack(68, _body_size(_CANCEL_LAYOUT), node, request, attempt)
        case Probe(server):
            return _SERVER_ACTION_LAYOUT.pack(70, _body_size(_SERVER_ACTION_LAYOUT), node, server)
        case CloseIdle(server):
            return _SERVER_ACTION_LAYOUT.pack(71, _body_size(_SERVER_ACTION_LAYOUT), node, server)
        case Subscribe():
            return _SUBSCRIBE_LAYOUT.pack(75, _body_size(_SUBSCRIBE_LAYOUT), node, 1)
        case Log(text):
            return _encode_text(73, node, text)


def encode_fault(node: int, text: str) -> bytes:
    """Encodes a record that reports a fault in an instance's decision code."""
    return _encode_text(74, node, text)


def reply(records: list[bytes]) -> bytes:
    """Builds a reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body
