"""The stand-in servers, discovery and callers of the demo, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any

from leadrudder.demo.record import Record

HOST = "127.0.0.1"
PROCESSING_RANGE_S = (0.005, 0.03)
PAUSE_RANGE_S = (0.01, 0.08)  # between two requests of a caller


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP message: first line, headers with lower-case names, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    return first_line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class StandInServer:
    """Executes requests, ignores repeats by their idempotency key, and rejects requests while it drains."""

    def __init__(self, name: str, record: Record, executed_keys: set[str]) -> None:
        self.name = name
        self.drain_announced_s: float | None = None  # loop time at which the node was told of the drain
        self.draining = False
        self.address = ""
        self._record = record
        self._executed_keys = executed_keys
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers, _ = await _read_message(reader)
                writer.write(await self._answer(headers))
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, headers: dict[str, str]) -> bytes:
        request_id, key = headers.get("x-request-id", ""), headers.get("idempotency-key")
        self._record.count_arrival(self.drain_announced_s, asyncio.get_running_loop().time())
        if self.draining:
            return b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        if key is None or key not in self._executed_keys:
            if key is not None:
                self._executed_keys.add(key)
            self._record.count_execution(request_id)
        await asyncio.sleep(random.uniform(*PROCESSING_RANGE_S))
        body = f"{request_id} by {self.name}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def kill(self) -> None:
        """Behave like a killed process: reset open connections and refuse new ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def instance(self, lifecycle: str = "SERVING") -> dict[str, Any]:
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


class StandInDiscovery:
    """Sends each watcher the complete list, then every update.

    on_announced is called with each draining or deleted server that a watcher has been told about.
    """

    def __init__(self, instances: list[dict[str, Any]], on_announced: Callable[[str], None]) -> None:
        self.address = ""
        self.version = 1
        self._instances = {instance["instanceId"]: instance for instance in instances}
        self._withdrawn: dict[str, None] = {}
        self._on_announced = on_announced
        self.watched = asyncio.Event()
        self._watchers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def listing(self, instances: list[dict[str, Any]], *, reset: bool) -> dict[str, Any]:
        return {"generation": self.version, "reset": reset, "instances": instances}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await _read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._send(writer, self.listing(list(self._instances.values()), reset=True))
            self._watchers.add(writer)
            self.watched.set()
            await reader.read()
        self._watchers.discard(writer)
        writer.close()

    def _send(self, writer: asyncio.StreamWriter, update: dict[str, Any]) -> None:
        data = json.dumps(update).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        for name in self._withdrawn:
            self._on_announced(name)

    def publish(self, instance: dict[str, Any]) -> None:
        self.version += 1
        self._withdrawn[instance["instanceId"]] = None
        self._instances.pop(instance["instanceId"], None)
        if instance["lifecycle"] != "DELETED":
            self._instances[instance["instanceId"]] = instance
        for writer in self._watchers:
            self._send(writer, self.listing([instance], reset=False))

    def close(self) -> None:
        self._server.close()
        for writer in list(self._watchers):
            writer.transport.abort()


async def run_caller(port: int, record: Record, caller_number: int, until_s: float) -> None:
    """Send random requests, one after another, until the given loop time."""
    loop = asyncio.get_running_loop()
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    sequence_number = 0
    while loop.time() < until_s:
        sequence_number += 1
        name = random.choice(("varaus", "siirto"))
        request_id = f"{caller_number}-{sequence_number}"
        operation = record.add_operation(request_id, name)
        key = f"Idempotency-Key: k{request_id}\r\n" if name == "siirto" else ""
        data = (
            f"POST /api/{name}/{request_id} HTTP/1.1\r\nHost: demo\r\n"
            f"X-Request-Id: {request_id}\r\nX-Class: {name}\r\nX-Deadline: 3.0\r\n"
            f"{key}Content-Length: 2\r\n\r\nok"
        )
        started_s = loop.time()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            if connection is None:
                connection = await asyncio.open_connection(HOST, port)
            connection[1].write(data.encode())
            first_line, headers, body = await asyncio.wait_for(_read_message(connection[0]), 3.5)
            status = int(first_line.split()[1])
            body_matches = status != 200 or body.startswith(f"{request_id} ".encode())
            operation.outcome = (
                "served"
                if status == 200 and body_matches
                else "refused"
                if status in (429, 503)
                else "failed"
            )
            operation.latency_s = loop.time() - started_s
            if headers.get("connection") == "close":
                connection[1].close()
                connection = None
        if operation.outcome == "lost" and connection is not None:
            connection[1].transport.abort()
            connection = None
        await asyncio.sleep(random.uniform(*PAUSE_RANGE_S))
    if connection is not None:
        connection[1].close()
