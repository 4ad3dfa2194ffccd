"""Clients and a server for large bodies.  They keep no body in memory: a body is a repeated pattern.

Both ends compare each byte that they read with the pattern.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

PIECE_BYTES = 64 * 1024
_PERIOD_BYTES = 65521  # a prime, so that a piece that is lost or moved shows
_PATTERN = bytes(i * 7 % 251 for i in range(_PERIOD_BYTES)) * 3
ANSWER_BYTES_HEADER = b"answer-bytes"  # of a request: the size of the answer


def pattern(offset: int, size: int) -> bytes:
    """Bytes of the body from an offset on; at most PIECE_BYTES."""
    start = offset % _PERIOD_BYTES
    return _PATTERN[start : start + size]


def pattern_bytes(size: int) -> bytes:
    """A whole body."""
    pieces = (pattern(offset, min(PIECE_BYTES, size - offset)) for offset in range(0, size, PIECE_BYTES))
    return b"".join(pieces)


def is_pattern(body: bytes) -> bool:
    """Whether a body is as its sender made it."""
    return body == pattern_bytes(len(body))


@dataclass(slots=True)
class BulkRun:
    """What a server has read of one request."""

    attempt_id: str
    body_bytes: int
    intact: bool


@dataclass(slots=True)
class BulkServer:
    """Reads bodies and answers with as many bytes as the request asks for."""

    name: str
    runs: list[BulkRun] = field(default_factory=list)
    read_pause_s: float = 0.0  # before each piece
    open: int = 0
    most_open: int = 0

    async def listen(self, address: tuple[str, int]) -> asyncio.Server:
        return await asyncio.start_server(self._serve, *address, limit=2 * PIECE_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self._exchange(reader, writer)
        writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._answer(reader, writer, await reader.readuntil(b"\r\n\r\n"))

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        headers = parse_headers(head)
        size = int(headers.get(b"content-length", b"0"))
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            intact = await read_body(reader, size, self.read_pause_s)
        finally:
            self.open -= 1
        attempt_id = headers.get(b"attempt-id", b"")
        self.runs.append(BulkRun(attempt_id.decode(), size, intact))
        answer_bytes = int(headers.get(ANSWER_BYTES_HEADER, b"0"))
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n"
            % (attempt_id, self.name.encode(), answer_bytes)
        )
        await write_body(writer, answer_bytes)


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """The header fields of a message, names in lower case."""
    lines = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.strip().lower(): value.strip() for name, _, value in lines}


async def read_body(reader: asyncio.StreamReader, size: int, pause_s: float = 0.0) -> bool:
    """Read a body; returns whether it is the pattern."""
    offset, intact = 0, True
    while offset < size:
        if pause_s:
            await asyncio.sleep(pause_s)
        data = await reader.read(min(PIECE_BYTES, size - offset))
        if not data:
            raise asyncio.IncompleteReadError(b"", size)
        intact = intact and data == pattern(offset, len(data))
        offset += len(data)
    return intact


async def write_body(writer: asyncio.StreamWriter, size: int, pause_s: float = 0.0) -> None:
    """Write a body of the pattern, as fast as the peer reads it."""
    for offset in range(0, size, PIECE_BYTES):
        if pause_s:
            await asyncio.sleep(pause_s)
        writer.write(pattern(offset, min(PIECE_BYTES, size - offset)))
        await writer.drain()


@dataclass(frozen=True, slots=True)
class BulkRequest:
    """A request with a large body or answer.  pause_s: before each piece that is sent or read."""

    attempt_id: str
    body_bytes: int = 0
    answer_bytes: int = 0
    pause_s: float = 0.0
    time_left_ms: int = 20_000
    host: str = "demo.example"
    path: str = "/haku/bulk"


@dataclass(frozen=True, slots=True)
class BulkAnswer:
    """status: 0 if the connection ended without a complete answer."""

    status: int
    body_bytes: int = 0
    intact: bool = False


async def send(address: tuple[str, int], request: BulkRequest, local_host: str = "") -> BulkAnswer:
    """Send a request on a connection of its own; an early answer ends the sending."""
    try:
        reader, writer = await asyncio.open_connection(
            *address, limit=2 * PIECE_BYTES, local_addr=(local_host, 0) if local_host else None
        )
    except OSError:
        return BulkAnswer(0)
    sending = asyncio.ensure_future(_send_body(writer, request))
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(parse_headers(head).get(b"content-length", b"0"))
        status = int(head.split()[1])
        return BulkAnswer(status, size, await read_body(reader, size, request.pause_s))
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return BulkAnswer(0)
    finally:
        sending.cancel()
        writer.transport.abort()


async def _send_body(writer: asyncio.StreamWriter, request: BulkRequest) -> None:
    head = (
        f"POST {request.path} HTTP/1.1\r\nHost: {request.host}\r\nAttempt-Id: {request.attempt_id}\r\n"
        f"Time-Left: {request.time_left_ms}\r\nAnswer-Bytes: {request.answer_bytes}\r\n"
        f"Content-Length: {request.body_bytes}\r\n\r\n"
    )
    with suppress(OSError):
        writer.write(head.encode())
        await write_body(writer, request.body_bytes, request.pause_s)


def describe(answers: list[BulkAnswer]) -> str:
    """How many answers there are of each status, and how many of those with 200 are not intact."""
    counts = Counter(each.status for each in answers)
    texts = [f"{count} x {status or 'cut'}" for status, count in sorted(counts.items())]
    damaged = sum(each.status == 200 and not each.intact for each in answers)
    return ", ".join([*texts, *([f"{damaged} damaged"] if damaged else [])])
