"""Peers that do not behave: crowds whose messages have legal sizes but cost much memory, work or room.

Most of them stop just short of the end of their message and stay connected.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from bench.bulk import BulkServer, parse_headers

HEAD_BYTES = 16_000  # of a head that does not end, under the limit of 16,384
ANSWER_HEAD_BYTES = 64_000  # of a server, under the limit of 65,536
ODD_PATH = "/haku/odd"
PIECE_BYTES = 64 * 1024
RECONNECT_DELAY_S = 0.05
_REQUEST_LINE = b"POST /haku/crowd HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: %s\r\n"

# The bytes that one member of a crowd sends, in pieces; the argument is the number of the member.
Payload = Callable[[int], Iterator[bytes]]


def _head_start(member: int) -> bytes:
    return _REQUEST_LINE % f"crowd-{member}".encode()


# ---------------------------------------------------------------- heads


def short_names(member: int) -> Iterator[bytes]:
    """A head of short lines, each with a name of its own, that does not end."""
    head = bytearray(_head_start(member))
    number = 0
    while len(head) < HEAD_BYTES:
        head += b"%x:\r\n" % number
        number += 1
    yield bytes(head)


def repeated_name(member: int) -> Iterator[bytes]:
    """A head of the shortest lines that there are, that does not end."""
    start = _head_start(member)
    yield start + b"a:\r\n" * ((HEAD_BYTES - len(start)) // 4)


def blank_values(member: int) -> Iterator[bytes]:
    """A head of lines whose values are blanks, that does not end."""
    start = _head_start(member)
    yield start + b"b:   \t \r\n" * ((HEAD_BYTES - len(start)) // 9)


def whole_requests_with_many_lines(member: int) -> Iterator[bytes]:
    """Eight whole requests on a connection, each with a head of very many lines."""
    for _ in range(8):
        yield from repeated_name(member)
        yield b"Content-Length: 0\r\n\r\n"


# ---------------------------------------------------------------- bodies


def declared_body(size: int, piece_bytes: int = PIECE_BYTES) -> Payload:
    """A body of a declared length, one byte short."""

    def payload(member: int) -> Iterator[bytes]:
        yield _head_start(member) + b"Content-Length: %d\r\n\r\n" % size
        for offset in range(0, size - 1, piece_bytes):
            yield bytes(min(piece_bytes, size - 1 - offset))

    return payload


def chunked_body(size: int, chunk_bytes: int) -> Payload:
    """A chunked body of so many bytes, without its last chunk."""

    def payload(member: int) -> Iterator[bytes]:
        yield _head_start(member) + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
        chunks_at_once = max(1, PIECE_BYTES // len(chunk))
        for offset in range(0, size, chunks_at_once * chunk_bytes):
            count = min(chunks_at_once, -(-(size - offset) // chunk_bytes))
            yield chunk * count

    return payload


def many_trailers(member: int) -> Iterator[bytes]:
    """A chunked body whose trailers do not end."""
    yield _head_start(member) + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    yield b"a:\r\n" * (HEAD_BYTES // 5)


def long_trailer(member: int) -> Iterator[bytes]:
    """A chunked body with one trailer line that does not end."""
    yield _head_start(member) + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\ntrailer: "
    for _ in range(16):
        yield b"x" * PIECE_BYTES


def nothing(member: int) -> Iterator[bytes]:
    """A connection on which nothing is sent."""
    yield from ()


# ---------------------------------------------------------------- other peers


def unfinished_frame(member: int) -> Iterator[bytes]:
    """On a link: a frame of a legal length that does not end."""
    size = 4_000_000
    yield struct.pack(">I", size)
    for offset in range(0, size - 1, PIECE_BYTES):
        yield bytes(min(PIECE_BYTES, size - 1 - offset))


def nested_json(method: bytes, path: bytes, size: int) -> Payload:
    """A whole request of an operator or a server whose JSON holds very many empty arrays."""

    def payload(member: int) -> Iterator[bytes]:
        body = b'{"addOrReplace":{"routes":[' + b"[]," * ((size - 60) // 3) + b"[]]}}"
        yield b"%s %s HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n" % (method, path, len(body))
        for offset in range(0, len(body), PIECE_BYTES):
            yield body[offset : offset + PIECE_BYTES]

    return payload


class EndlessAnswerServer(BulkServer):
    """A server whose answers to requests of ODD_PATH have heads or chunks that do not end."""

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ", 2)[1].decode()
        if not path.startswith(ODD_PATH):
            await self._answer(reader, writer, head)
            return
        attempt_id = parse_headers(head).get(b"attempt-id", b"")
        writer.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n" % attempt_id)
        if path.endswith("chunks"):
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 8_000)
        else:
            writer.write(b"a:\r\n" * (ANSWER_HEAD_BYTES // 4))
        await writer.drain()
        await reader.read()


# ---------------------------------------------------------------- crowds


@dataclass(slots=True)
class Crowd:
    """Connections that each send a payload and then stay open.

    comes_again: whether a member that is closed connects again at once.
    """

    address: tuple[str, int]
    size: int
    payload: Payload
    comes_again: bool = False
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _sent: int = 0
    _all_sent: asyncio.Event = field(default_factory=asyncio.Event)

    async def arrive(self) -> None:
        """Returns once each member has sent its payload, or has been closed before."""
        self._tasks = [asyncio.ensure_future(self._member(number)) for number in range(self.size)]
        await self._all_sent.wait()

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _member(self, number: int) -> None:
        is_first = True
        while is_first or self.comes_again:
            await self._visit(number, is_first)
            is_first = False
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _visit(self, number: int, is_first: bool) -> None:
        """Connect, send the payload, and stay until the connection is closed."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            self._count_sent(is_first)
            return
        try:
            await self._send(writer, number)
            self._count_sent(is_first)
            with suppress(OSError):
                while await reader.read(PIECE_BYTES):
                    pass
        finally:
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter, number: int) -> None:
        with suppress(OSError):
            for piece in self.payload(number):
                writer.write(piece)
                await writer.drain()

    def _count_sent(self, is_first: bool) -> None:
        self._sent += is_first
        if self._sent == self.size:
            self._all_sent.set()
