"""The demonstration's servers, discovery and callers, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any

from leadrudder.demo.record import Record

HOST = "127.0.0.1"
WORK_S = (0.005, 0.03)
PAUSE_S = (0.01, 0.08)  # of a caller, between two requests


async def _message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, headers in lower case and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class Server:
    """Runs requests, drops repeats by their key, turns calls away while it drains."""

    def __init__(self, name: str, record: Record, keys: set[str]) -> None:
        self.name = name
        self.told_s: float | None = None  # when the node was told that this one drains
        self.draining = False
        self.address = ""
        self._record = record
        self._keys = keys
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers, _ = await _message(reader)
                writer.write(await self._answer(headers))
        self._open.discard(writer)
        writer.close()

    async def _answer(self, headers: dict[str, str]) -> bytes:
        identity, key = headers.get("x-request-id", ""), headers.get("idempotency-key")
        self._record.arrived(self.told_s, asyncio.get_running_loop().time())
        if self.draining:
            return b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        if key is None or key not in self._keys:
            if key is not None:
                self._keys.add(key)
            self._record.ran(identity)
        await asyncio.sleep(random.uniform(*WORK_S))
        body = f"{identity} by {self.name}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def kill(self) -> None:
        """As a process that dies: open connections are reset, new ones refused."""
        self._server.close()
        for writer in self._open:
            writer.transport.abort()

    def row(self, lifecycle: str = "SERVING") -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "",
            "machineType": "",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery:
    """Tells each watch the whole list, then every change. told is called with what a node was told off of."""

    def __init__(self, rows: list[dict[str, Any]], told: Callable[[str], None]) -> None:
        self.address = ""
        self.version = 1
        self._rows = {row["instanceId"]: row for row in rows}
        self._off: dict[str, None] = {}
        self._told = told
        self.watched = asyncio.Event()
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def listing(self, rows: list[dict[str, Any]], *, whole: bool) -> dict[str, Any]:
        return {"generation": self.version, "reset": whole, "instances": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await _message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(writer, self.listing(list(self._rows.values()), whole=True))
            self._watches.add(writer)
            self.watched.set()
            await reader.read()
        self._watches.discard(writer)
        writer.close()

    def _tell(self, writer: asyncio.StreamWriter, line: dict[str, Any]) -> None:
        data = json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        for name in self._off:
            self._told(name)

    def change(self, row: dict[str, Any]) -> None:
        self.version += 1
        self._off[row["instanceId"]] = None
        self._rows.pop(row["instanceId"], None)
        if row["lifecycle"] != "DELETED":
            self._rows[row["instanceId"]] = row
        for writer in self._watches:
            self._tell(writer, self.listing([row], whole=False))

    def close(self) -> None:
        self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


async def call(port: int, record: Record, number: int, until_s: float) -> None:
    """A caller that books and moves until that time, one request after another."""
    loop = asyncio.get_running_loop()
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    serial = 0
    while loop.time() < until_s:
        serial += 1
        name = random.choice(("varaus", "siirto"))
        identity = f"{number}-{serial}"
        operation = record.begin(identity, name)
        key = f"Idempotency-Key: k{identity}\r\n" if name == "siirto" else ""
        data = (
            f"POST /api/{name}/{identity} HTTP/1.1\r\nHost: demo\r\n"
            f"X-Request-Id: {identity}\r\nX-Class: {name}\r\nX-Deadline: 3.0\r\n"
            f"{key}Content-Length: 2\r\n\r\nok"
        )
        began = loop.time()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            if connection is None:
                connection = await asyncio.open_connection(HOST, port)
            connection[1].write(data.encode())
            first, headers, body = await asyncio.wait_for(_message(connection[0]), 3.5)
            status = int(first.split()[1])
            true = status != 200 or body.startswith(f"{identity} ".encode())
            operation.outcome = (
                "served" if status == 200 and true else "refused" if status in (429, 503) else "failed"
            )
            operation.latency_s = loop.time() - began
            if headers.get("connection") == "close":
                connection[1].close()
                connection = None
        if operation.outcome == "lost" and connection is not None:
            connection[1].transport.abort()
            connection = None
        await asyncio.sleep(random.uniform(*PAUSE_S))
    if connection is not None:
        connection[1].close()
