"""The network between the machines of a soak: every connection passes here, and can be cut or reset.

Bytes on a path that is cut wait, as they would on a real network, and go on when it is joined again.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from bench.soak.process import ACCEPTED

CHUNK = 64 * 1024
CHECK_S = 0.02  # how often a cut path is looked at again

Path = tuple[str, str]  # hosts: from, to


@dataclass(eq=False)
class Pipe:
    """A connection between two machines: who dialled, who was dialled."""

    dialler: str
    dialled: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """cut: paths, each in one direction, on which nothing passes now."""

    def __init__(self) -> None:
        self.cut: set[Path] = set()
        self.address = ""
        self._pipes: set[Pipe] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._accept, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def reset(self, host: str) -> None:
        """Reset all connections of one machine."""
        for pipe in [pipe for pipe in self._pipes if host in (pipe.dialler, pipe.dialled)]:
            pipe.abort()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for pipe in list(self._pipes):
            pipe.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            preamble = (await reader.readuntil(b"\n")).decode().split()
            pipe = Pipe(preamble[0], preamble[1], [writer])
            self._pipes.add(pipe)
            try:
                await self._carry(pipe, reader, writer, int(preamble[2]))
            finally:
                self._pipes.discard(pipe)
                pipe.abort()
        writer.transport.abort()

    async def _carry(
        self, pipe: Pipe, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        out, back = (pipe.dialler, pipe.dialled), (pipe.dialled, pipe.dialler)
        await self._joined(out)
        await self._joined(back)
        far_reader, far_writer = await asyncio.open_connection(pipe.dialled, port)
        pipe.writers.append(far_writer)
        writer.write(ACCEPTED)
        tasks = [
            asyncio.ensure_future(self._copy(reader, far_writer, out)),
            asyncio.ensure_future(self._copy(far_reader, writer, back)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _joined(self, path: Path) -> None:
        while path in self.cut:
            await asyncio.sleep(CHECK_S)

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: Path) -> None:
        while data := await reader.read(CHUNK):
            await self._joined(path)
            writer.write(data)
            await writer.drain()
        await self._joined(path)
