"""Frames byte by byte, settings, and edge cases of the adapter."""

from __future__ import annotations

import struct
import subprocess
import sys
from io import BytesIO

import pytest

from leadrudder.adapter import serve
from leadrudder.interface import (
    Action,
    AnswerStarted,
    Arrival,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Effect,
    Fail,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Readiness,
    Refuse,
    RepeatGroup,
    RequestGone,
    Send,
    ServerList,
    SetTimer,
    Subscribe,
    TimerFired,
)
from leadrudder.wire import (
    Decoder,
    Record,
    Start,
    Stop,
    WireError,
    encode,
    encode_fault,
    parse_settings,
    reply,
)

MINIMAL = {
    "profiles.count": "1",
    "profiles.0.aimMs": "1000.0",
    "profiles.0.deadlineMs": "3000.0",
    "profiles.0.effect": "safe",
}
A = bytes.fromhex("0a124a078b13")
B = bytes.fromhex("0a9011f2b413")


def settings_text(**changes: str | None) -> str:
    values: dict[str, str | None] = {**MINIMAL, **{k.replace("__", "."): v for k, v in changes.items()}}
    return "\n".join(f"{k}={v}" for k, v in values.items() if v is not None)


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def batch(*records: bytes, now: float = 241.004) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdI", len(body), now, len(records)) + body


def decode(*records: bytes) -> list[Record]:
    return list(Decoder().records(b"".join(records), len(records)))


def start_record(node: int, text: str) -> bytes:
    raw = text.encode()
    return record(1, struct.pack("<IQI", node, 5, len(raw)) + raw)


def table_record(number: int, *rows: bytes) -> bytes:
    return record(11, struct.pack("<II", number, len(rows)) + b"".join(rows))


def entry_row(server: bytes, state: int = 1, hint: float = 1.5, started: float = 0.0) -> bytes:
    return struct.pack("<fH6sBHBd", hint, 2, server, 1, 7, state, started)


def list_record(node: int, number: int, mode: int) -> bytes:
    return record(2, struct.pack("<IIIB", node, 41, number, mode))


def arrival_record(node: int, request: int, flags: int = 1) -> bytes:
    return record(3, struct.pack("<IIHHQddH", node, request, 0, 1, 9, 240.0, 12.0, flags))


def run_batches(*batches: bytes) -> bytes:
    sink = BytesIO()
    serve(BytesIO(b"".join(batches)), sink)
    return sink.getvalue()


def replies(raw: bytes) -> list[list[tuple[int, bytes]]]:
    found, at = [], 0
    while at < len(raw):
        count, size = struct.unpack_from("<II", raw, at)
        at += 8
        end, records = at + size, []
        while at < end:
            code, length = struct.unpack_from("<BI", raw, at)
            records.append((code, raw[at + 5 : at + 5 + length]))
            at += 5 + length
        assert at == end and len(records) == count
        found.append(records)
    return found


def test_events_are_read_field_by_field() -> None:
    assert decode(
        arrival_record(3, 99),
        arrival_record(3, 100, 6),
        record(5, struct.pack("<IIH6sHdBB2f", 3, 99, 1, A, 200, 18.5, 1, 2, 0.5, 3.0)),
        record(4, struct.pack("<IIHd6s", 3, 99, 1, 18.5, A)),
        record(6, struct.pack("<II", 3, 99)),
        record(7, struct.pack("<IQ", 3, 77)),
        record(8, struct.pack("<I6sHdB", 3, B, 521, 1.5, 0)),
        record(9, struct.pack("<IHH", 3, 2, 4) + b"hi 7"),
        record(10, struct.pack("<I", 3)),
    ) == [
        (3, Arrival(99, 0, 240.0, 1, 9, 12.0, False, False)),
        (3, Arrival(100, 0, 240.0, 1, 9, None, True, True)),
        (3, AttemptEnded(99, 1, A, Outcome.OK, 18.5, True, (0.5, 3.0))),
        (3, AnswerStarted(99, 1, A, 18.5)),
        (3, RequestGone(99)),
        (3, TimerFired(77)),
        (3, ProbeEnded(B, Outcome.CONNECT_FAILED, 1.5)),
        (3, PeerMessage(2, b"hi 7")),
        (3, Stop()),
    ]


@pytest.mark.parametrize(
    ("code", "outcome"),
    [
        (200, Outcome.OK),
        (502, Outcome.ERROR),
        (429, Outcome.FULL),
        (408, Outcome.TIMEOUT),
        (521, Outcome.CONNECT_FAILED),
        (520, Outcome.RESET),
        (444, Outcome.CANCELLED),
        (409, Outcome.MOOT),
    ],
)
def test_every_outcome(code: int, outcome: Outcome) -> None:
    ((_, event),) = decode(record(5, struct.pack("<IIH6sHdBB", 3, 9, 0, A, code, 1.0, 0, 0)))
    assert isinstance(event, AttemptEnded) and event.outcome is outcome


def test_a_reused_table_number_is_read_in_order() -> None:
    events = [
        e
        for _, e in decode(
            table_record(0, entry_row(A)),
            list_record(1, 0, 2),
            table_record(0, entry_row(B, 2, started=8.0)),
            list_record(2, 0, 3),
            list_record(1, 0, 1),
            list_record(1, 9, 0),
        )
    ]
    assert all(isinstance(e, ServerList) for e in events)
    lists = [e for e in events if isinstance(e, ServerList)]
    assert [x.kind for x in lists] == [ListKind.CACHED, ListKind.FULL, ListKind.CHANGES, ListKind.FAILED]
    assert [tuple(r.server for r in x.entries) for x in lists] == [(A,), (B,), (B,), ()]
    entry = lists[1].entries[0]
    assert (entry.readiness, entry.capacity_hint, entry.kind, entry.zone, entry.cell, entry.started_ms) == (
        Readiness.DRAINING,
        1.5,
        2,
        1,
        7,
        8.0,
    )


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (Send(0x5D3A91C4, A, 80.0), "41 16000000 03000000 c4913a5d 0a124a07 8b13 0000000000005440"),
        (Cancel(0x5D3A91C4, 0), "44 0a000000 03000000 c4913a5d 0000"),
        (CloseIdle(B), "47 0a000000 03000000 0a9011f2 b413"),
        (Log("two servers known"), "49 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"),
        (Fail(0x0E6F2B19), "43 08000000 03000000 192b6f0e"),
        (Refuse(0x0E6F2B19, 250.0), "42 10000000 03000000 192b6f0e 0000000000406f40"),
        (Probe(B), "46 0a000000 03000000 0a9011f2 b413"),
        (Subscribe(), "4b 05000000 03000000 01"),
        (SetTimer(0x4D, 8413.25), "45 14000000 03000000 4d00000000000000 00000000a06ec040"),
    ],
)
def test_actions_to_the_byte(action: Action, expected: str) -> None:
    assert encode(3, action) == bytes.fromhex(expected)


def test_fault_and_reply_frames() -> None:
    fault = encode_fault(3, "index out of range")
    assert fault == bytes.fromhex("4a 18000000 03000000 1200") + b"index out of range"
    assert reply([]) == bytes(8)
    assert reply([fault]) == struct.pack("<II", 1, len(fault)) + fault
    assert len(encode(3, Log("x" * 100_000))) < 2000


def test_settings_with_unknown_and_absent_keys() -> None:
    settings = parse_settings(
        settings_text(new__key="7", familyInfo__passesDeadline="", layers="a,b,c", stage="1")
    )
    assert settings.classes[0].effect is Effect.SAFE and settings.classes[0].group is RepeatGroup.ALL
    assert settings.stages == 3 and settings.stage == 1 and settings.tenants == ()
    assert settings.max_attempts == 1 and not settings.may_duplicate and not settings.may_probe


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("profiles.count", None),
        ("profiles.count", "0"),
        ("profiles.count", "1.5"),
        ("profiles.0.aimMs", None),
        ("profiles.0.aimMs", "soon"),
        ("profiles.0.deadlineMs", "-1"),
        ("profiles.0.effect", "maybe"),
        ("profiles.0.group", "rack"),
        ("policyLimits.tryLimit", "-2"),
        ("policyLimits.probes", "yes"),
        ("balancers", "0"),
        ("guarantees.coldMs", "nan"),
    ],
)
def test_impossible_settings_name_the_key(key: str, value: str | None) -> None:
    with pytest.raises(WireError, match=key.replace(".", r"\.")):
        parse_settings(settings_text(**{key.replace(".", "__"): value}))


def test_a_keyed_class_needs_its_window() -> None:
    with pytest.raises(WireError, match="windowMs"):
        parse_settings(settings_text(profiles__0__effect="keyed"))


def test_an_instance_starts_is_killed_and_starts_again_in_one_batch() -> None:
    out = replies(
        run_batches(
            batch(),
            batch(
                start_record(4, settings_text()),
                table_record(0, entry_row(A)),
                list_record(4, 0, 2),
                arrival_record(4, 1),
            ),
            batch(
                record(10, struct.pack("<I", 4)),
                start_record(4, settings_text()),
                table_record(1, entry_row(B)),
                list_record(4, 1, 2),
                arrival_record(4, 2),
            ),
        )
    )
    assert out[0] == []
    sends = [[fields for code, fields in records if code == 65] for records in out]
    assert [s[0][8:14] for s in sends[1:]] == [A, B]


def test_a_fault_of_one_instance_is_reported_and_the_rest_go_on() -> None:
    bad = record(5, struct.pack("<IIH6sHdBB", 4, 55, 0, A, 200, 1.0, 1, 0))
    start = (
        start_record(4, settings_text()),
        start_record(5, settings_text()),
        table_record(0, entry_row(A)),
        list_record(4, 0, 2),
        list_record(5, 0, 2),
    )
    (records,) = replies(run_batches(batch(*start, bad, arrival_record(5, 7))))
    assert [c for c, _ in records if c in (74, 65)] == [74, 65]
    assert b"attempt 0 of request 55 was not out" in next(f for c, f in records if c == 74)


def test_a_very_large_batch() -> None:
    start = batch(
        start_record(4, settings_text()), table_record(0, entry_row(A), entry_row(B)), list_record(4, 0, 2)
    )
    _, records = replies(run_batches(start, batch(*(arrival_record(4, i) for i in range(1, 3001)))))
    assert any(code == 65 for code, _ in records)


def run_adapter(raw: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "leadrudder.adapter"], input=raw, capture_output=True, check=False
    )


def test_the_command_ends_quietly_at_the_end_of_input() -> None:
    done = run_adapter(batch())
    assert (done.returncode, done.stdout, done.stderr) == (0, bytes(8), b"")


@pytest.mark.parametrize(
    "raw",
    [
        b"\x01\x02\x03",
        batch(arrival_record(4, 1))[:-3],
        struct.pack("<IdI", 0, 1.0, 1),
        batch(record(99, b"")),
        batch(record(6, b"\x01")),
        batch(record(5, struct.pack("<IIH6sHdBB", 4, 5, 0, A, 777, 1.0, 1, 0))),
        batch(list_record(4, 3, 2)),
        batch(arrival_record(4, 1)),
        batch(start_record(4, settings_text(profiles__count="0"))),
        batch(start_record(4, settings_text())) + b"\x00",
    ],
)
def test_malformed_input_ends_the_command_with_one_plain_line(raw: bytes) -> None:
    done = run_adapter(raw)
    text = done.stderr.decode()
    assert done.returncode == 2
    assert text.startswith("leadrudder.adapter: ") and text.count("\n") == 1 and "Traceback" not in text


def test_start_carries_seed_and_settings() -> None:
    ((node, start),) = decode(start_record(6, settings_text()))
    assert node == 6 and isinstance(start, Start) and start.seed == 5
