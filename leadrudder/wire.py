"""The simulator's wire: frames, records and settings, turned into the module's own types and back.

No decision is taken here.  Layouts follow the operators' wire description.
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
_RECORD = struct.Struct("<BI")
_NODE = struct.Struct("<I")
_ENTRY = struct.Struct("<fH6sBHBd")
_ENLIST = struct.Struct("<IQI")
_TABLE = struct.Struct("<II")
_SYNC = struct.Struct("<IIIB")
_ARRIVAL = struct.Struct("<IIHHQddH")
_FIRST = struct.Struct("<IIHd6s")
_SETTLED = struct.Struct("<IIH6sHdBB")
_GONE = struct.Struct("<II")
_FIRED = struct.Struct("<IQ")
_PING = struct.Struct("<I6sHdB")
_DATAGRAM = struct.Struct("<IHH")

_HINT_VALID, _REPEAT, _WRITE = 1, 2, 4
_TABLES = 16
_MAX_TEXT = 1000

_OUTCOMES = {
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
    """A frame or a setting that cannot be read; its text names what is wrong."""


@dataclass(frozen=True, slots=True)
class Start:
    """An instance starts with these settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance was killed."""


Record = tuple[int, Event | Start | Stop]


# ---------------------------------------------------------------- settings


def parse_settings(text: str) -> Settings:
    """Settings from the wire's path=value lines."""
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


def _floats(body: bytes, at: int, count: int) -> tuple[float, ...]:
    if not count:
        return ()
    values: tuple[float, ...] = struct.unpack_from(f"<{count}f", body, at)
    return values


def _entries(body: bytes) -> tuple[ServerEntry, ...]:
    count = _TABLE.unpack_from(body)[1]
    if len(body) < _TABLE.size + count * _ENTRY.size:
        raise WireError("a table is shorter than its number of entries")
    rows = []
    for i in range(count):
        hint, kind, server, zone, cell, readiness, started = _ENTRY.unpack_from(
            body, _TABLE.size + i * _ENTRY.size
        )
        rows.append(ServerEntry(server, Readiness(readiness), hint, kind, zone, cell, started))
    return tuple(rows)


class Decoder:
    """Reads batches in event order; keeps the numbered tables, which belong to the whole process."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[ServerEntry, ...]] = {}
        self._settings: dict[bytes, Settings] = {}

    def records(self, body: bytes, count: int) -> Iterator[Record]:
        """The records of one batch, one at a time, so that a reused table number is read in order."""
        at = 0
        for _ in range(count):
            if at + _RECORD.size > len(body):
                raise WireError("a batch ends before its last record")
            code, length = _RECORD.unpack_from(body, at)
            at += _RECORD.size
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
            node, request, attempt, server, how, elapsed, done, n = _SETTLED.unpack_from(body)
            load = _floats(body, _SETTLED.size, n)
            return node, AttemptEnded(request, attempt, server, _OUTCOMES[how], elapsed, bool(done), load)
        if code == 3:
            node, request, service, tenant, key, budget, cost, marks = _ARRIVAL.unpack_from(body)
            hint = cost if marks & _HINT_VALID else None
            return node, Arrival(
                request, service, budget, tenant, key, hint, bool(marks & _REPEAT), bool(marks & _WRITE)
            )
        if code == 7:
            node, token = _FIRED.unpack_from(body)
            return node, TimerFired(token)
        if code == 2:
            node, version, number, mode = _SYNC.unpack_from(body)
            kind = ListKind(mode)
            entries = () if kind is ListKind.FAILED else self._tables[number]
            return node, ServerList(kind, entries, version)
        if code == 11:
            number = _TABLE.unpack_from(body)[0]
            if number >= _TABLES:
                raise WireError(f"table number {number} is out of range")
            self._tables[number] = _entries(body)
            return None
        if code == 6:
            node, request = _GONE.unpack_from(body)
            return node, RequestGone(request)
        if code == 8:
            node, server, how, elapsed, n = _PING.unpack_from(body)
            return node, ProbeEnded(server, _OUTCOMES[how], elapsed, _floats(body, _PING.size, n))
        if code == 4:
            node, request, attempt, elapsed, server = _FIRST.unpack_from(body)
            return node, AnswerStarted(request, attempt, server, elapsed)
        if code == 9:
            node, sender, n = _DATAGRAM.unpack_from(body)
            if len(body) < _DATAGRAM.size + n:
                raise WireError("a message is cut short")
            return node, PeerMessage(sender, body[_DATAGRAM.size : _DATAGRAM.size + n])
        if code == 10:
            return _NODE.unpack_from(body)[0], Stop()
        if code == 1:
            node, seed, n = _ENLIST.unpack_from(body)
            raw = body[_ENLIST.size : _ENLIST.size + n]
            if len(raw) < n:
                raise WireError("settings are cut short")
            return node, Start(seed, parse_settings(raw.decode()))
        raise WireError(f"record code {code} is unknown")


# ---------------------------------------------------------------- actions

_SEND = struct.Struct("<BIII6sd")
_REFUSE = struct.Struct("<BIIId")
_FAIL = struct.Struct("<BIII")
_CANCEL = struct.Struct("<BIIIH")
_TIMER = struct.Struct("<BIIQd")
_SERVER = struct.Struct("<BII6s")
_WATCH = struct.Struct("<BIIB")
_TEXT = struct.Struct("<BIIH")


def _sized(layout: struct.Struct) -> int:
    return layout.size - _RECORD.size


def _text(code: int, node: int, text: str) -> bytes:
    body = text.encode("utf-8", "replace")[:_MAX_TEXT]
    return _TEXT.pack(code, _sized(_TEXT) + len(body), node, len(body)) + body


def encode(node: int, action: Action) -> bytes:
    """One action of one instance as a record."""
    match action:
        case Send(request, server, timeout):
            return _SEND.pack(65, _sized(_SEND), node, request, server, timeout)
        case SetTimer(token, at):
            return _TIMER.pack(69, _sized(_TIMER), node, token, at)
        case Refuse(request, retry_after):
            return _REFUSE.pack(66, _sized(_REFUSE), node, request, retry_after)
        case Fail(request):
            return _FAIL.pack(67, _sized(_FAIL), node, request)
        case Cancel(request, attempt):
            return _CANCEL.pack(68, _sized(_CANCEL), node, request, attempt)
        case Probe(server):
            return _SERVER.pack(70, _sized(_SERVER), node, server)
        case CloseIdle(server):
            return _SERVER.pack(71, _sized(_SERVER), node, server)
        case Subscribe():
            return _WATCH.pack(75, _sized(_WATCH), node, 1)
        case Log(text):
            return _text(73, node, text)


def encode_fault(node: int, text: str) -> bytes:
    """The record that declares an instance's decision code broken."""
    return _text(74, node, text)


def reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body
