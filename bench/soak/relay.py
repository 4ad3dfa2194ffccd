"""The network between the machines of a soak: a relay that can block directions and reset connections.

Bytes in a blocked direction are held back, as retransmission does on a real network, and delivered once it
is open again.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from bench.soak.process import ACCEPTED

CHUNK_BYTES = 64 * 1024
BLOCKED_POLL_S = 0.02  # between checks whether a blocked direction is open again

Direction = tuple[str, str]  # hosts: source, destination


@dataclass(eq=False)
class RelayedConnection:
    """A connection between two machines, opened by the client host."""

    client_host: str
    server_host: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """blocked: the directions in which no bytes pass at present."""

    def __init__(self) -> None:
        self.blocked: set[Direction] = set()
        self.address = ""
        self._connections: set[RelayedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._accept, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def reset(self, host: str) -> None:
        """Reset all connections of one machine."""
        for connection in [
            connection
            for connection in self._connections
            if host in (connection.client_host, connection.server_host)
        ]:
            connection.abort()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            preamble = (await reader.readuntil(b"\n")).decode().split()
            connection = RelayedConnection(preamble[0], preamble[1], [writer])
            self._connections.add(connection)
            try:
                await self._forward(connection, reader, writer, int(preamble[2]))
            finally:
                self._connections.discard(connection)
                connection.abort()
        writer.transport.abort()

    async def _forward(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        to_server, to_client = (
            (connection.client_host, connection.server_host),
            (connection.server_host, connection.client_host),
        )
        await self._wait_until_open(to_server)
        await self._wait_until_open(to_client)
        server_reader, server_writer = await asyncio.open_connection(connection.server_host, port)
        connection.writers.append(server_writer)
        writer.write(ACCEPTED)
        tasks = [
            asyncio.ensure_future(self._copy_bytes(reader, server_writer, to_server)),
            asyncio.ensure_future(self._copy_bytes(server_reader, writer, to_client)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_until_open(self, direction: Direction) -> None:
        while direction in self.blocked:
            await asyncio.sleep(BLOCKED_POLL_S)

    async def _copy_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_until_open(direction)
            writer.write(data)
            await writer.drain()
        await self._wait_until_open(direction)
