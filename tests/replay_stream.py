"""Replays the recorded batches of tests/data/stream.bin through the command given in deploy/balancer.toml.

    python tests/replay_stream.py             replay, from the root of the repository
    python tests/replay_stream.py --record    write the recording again (its events depend on no decision)

Instance 1 has one idle server, so each of its calls must be sent there at once.  Instance 2 has several
servers that join, drain and restart; it gets no outcomes and is killed once.  Frames are encoded and decoded
here without the package's codec.
"""

from __future__ import annotations

import os
import struct
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
STREAM = ROOT / "tests" / "data" / "stream.bin"
SEND, REFUSE, FAIL, FAULT = 65, 66, 67, 74
SETTINGS = """azs=north,south
balancers=2
guarantees.answerSlackMs=8.0
guarantees.coldMs=4000.0
guarantees.fallMultiple=3.0
guarantees.overloadForMs=1000.0
guarantees.startCapacity=0.3
guarantees.stopSendingWithinMs=500.0
layers=front,back
policyLimits.cancel=true
policyLimits.tryLimit=3
profiles.count=2
profiles.0.aimMs=200.0
profiles.0.deadlineMs=1000.0
profiles.0.effect=safe
profiles.0.name=look
profiles.1.aimMs=300.0
profiles.1.deadlineMs=1000.0
profiles.1.effect=unsafe
profiles.1.name=pay
registryMode=pushed
tickMs=5.0
"""


def _record(code: int, layout: str, *values: object, tail: bytes = b"") -> bytes:
    fields = struct.pack("<" + layout, *values) + tail
    return struct.pack("<BI", code, len(fields)) + fields


def _server(number: int) -> bytes:
    return bytes([10, 0, 0, number]) + struct.pack(">H", 8000)


def _rows(rows: list[tuple[int, int, float]]) -> bytes:
    return b"".join(struct.pack("<fH6sBHBd", 1.0, 0, _server(n), n % 2, n // 3, r, t) for n, r, t in rows)


def _start_record(node: int, seed: int) -> bytes:
    return _record(1, "IQI", node, seed, len(SETTINGS), tail=SETTINGS.encode())


def _list_records(node: int, table: int, kind: int, rows: list[tuple[int, int, float]]) -> bytes:
    return _record(11, "II", table, len(rows), tail=_rows(rows)) + _record(2, "IIIB", node, 1, table, kind)


def _batches() -> Iterator[tuple[float, list[bytes]]]:
    """Yields (clock, records) of the recording; a list takes two records."""
    several = [(n, 1, 0.0) for n in range(2, 8)]
    yield 100.0, [_start_record(1, 11), *_split(_list_records(1, 0, 2, [(1, 1, 0.0)]))]
    yield 105.0, [_start_record(2, 12), *_split(_list_records(2, 1, 2, several))]
    now, request = 110.0, 0
    for step in range(60):
        now += 10.0
        request += 2
        records = [_record(3, "IIHHQddH", 1, request, step % 2, 0, 0, 900.0, 0.0, 0)]
        records.append(_record(3, "IIHHQddH", 2, request + 1, step % 2, 0, 0, 300.0, 0.0, 0))
        if step == 20:
            records += _split(_list_records(2, 3, 1, [(2, 2, 0.0), (3, 1, now - 50.0)]))
        if step == 40:
            records += [
                _record(10, "I", 2),
                _start_record(2, 13),
                *_split(_list_records(2, 4, 2, several[2:])),
            ]
        yield now, records
        now += 10.0
        done = _record(5, "IIH6sHdBB", 1, request, 0, _server(1), 200, 10.0, 1, 0)
        yield now, [done, _record(6, "II", 2, request - 59)] if request > 62 else [done]
    yield now + 1000.0, []


def _split(pair: bytes) -> list[bytes]:
    size = 5 + struct.unpack_from("<BI", pair)[1]
    return [pair[:size], pair[size:]]


def record() -> bytes:
    frames = []
    for now, records in _batches():
        body = b"".join(records)
        frames.append(struct.pack("<IdI", len(body), now, len(records)) + body)
    return b"".join(frames)


def _frames(stream: bytes) -> Iterator[bytes]:
    at = 0
    while at < len(stream):
        size = 16 + struct.unpack_from("<I", stream, at)[0]
        yield stream[at : at + size]
        at += size


def _actions(output: bytes) -> Iterator[list[tuple[int, bytes]]]:
    """Yields the (code, fields) pairs of each reply."""
    at = 0
    while at < len(output):
        count, size = struct.unpack_from("<II", output, at)
        at, end = at + 8, at + 8 + size
        reply = []
        for _ in range(count):
            code, length = struct.unpack_from("<BI", output, at)
            reply.append((code, output[at + 5 : at + 5 + length]))
            at += 5 + length
        assert at == end, "the length of a reply does not match its records"
        yield reply


def replay(command: str, stream: bytes, hash_seed: str) -> bytes:
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    run = subprocess.run(
        ["/bin/sh", "-c", command], input=stream, capture_output=True, cwd=ROOT, env=environment, check=False
    )
    assert run.returncode == 0, f"exit code {run.returncode}: {run.stderr.decode()}"
    return run.stdout


def main() -> int:
    if "--record" in sys.argv:
        STREAM.parent.mkdir(exist_ok=True)
        STREAM.write_bytes(record())
        return 0
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    stream = STREAM.read_bytes()
    output = replay(command, stream, "1")
    assert output == replay(command, stream, "2"), "replies depend on PYTHONHASHSEED"
    replies = list(_actions(output))
    assert len(replies) == sum(1 for _ in _frames(stream)), "number of replies differs from number of batches"
    requests_by_code: dict[int, set[int]] = {SEND: set(), REFUSE: set(), FAIL: set()}
    for reply in replies:
        for code, fields in reply:
            assert code != FAULT, f"an instance failed: {fields[6:].decode()}"
            if code in requests_by_code:
                requests_by_code[code].add(struct.unpack_from("<I", fields, 4)[0])
    expected = set(range(2, 122, 2))
    assert (
        expected <= requests_by_code[SEND]
    ), f"not sent at once: {sorted(expected - requests_by_code[SEND])}"
    assert not expected & (
        requests_by_code[REFUSE] | requests_by_code[FAIL]
    ), "a served request got a second answer"
    assert len(requests_by_code[SEND] - expected) > 20, "the second instance sends too few calls"
    print(
        f"recorded stream: {len(replies)} replies, {sum(len(r) for r in replies)} actions, as they should be"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
