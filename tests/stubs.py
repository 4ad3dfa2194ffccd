"""Stub servers, discovery and clients for a node, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import uvloop

from leadrudder.node.config import Config, Limits, flatten
from leadrudder.node.lists import DiscoveryDecoder
from leadrudder.node.node import Node
from leadrudder.node.routes import Route
from leadrudder.settings import read_settings

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 20.0  # for expected events; reached only by a failing test


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on the node's kind of event loop."""

    async def bounded() -> None:
        await asyncio.wait_for(main, 3 * WAIT_TIMEOUT_S)

    uvloop.run(bounded())


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, nested as in a node's configuration file."""
    return {
        "azs": ["hall"],
        "balancers": 1,
        "guarantees": {
            "answerSlackMs": 20.0,
            "coldMs": 8000.0,
            "mustAskInMs": 200.0,
            "stopSendingWithinMs": 250.0,
        },
        "layers": ["front"],
        "models": ["std"],
        "policyLimits": {
            "cancel": True,
            "connIdleMs": 30000.0,
            "connectTimeoutMs": 150.0,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "probes": True,
            "retryAfter": True,
            "tryLimit": 3,
        },
        "profiles": [
            {"name": "look", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 4000.0},
            {"name": "move", "effect": "keyed", "aimMs": 1000.0, "deadlineMs": 4000.0, "windowMs": 5000.0},
            {"name": "book", "effect": "unsafe", "aimMs": 1000.0, "deadlineMs": 4000.0},
        ],
        "registryMode": "on_request",
        "tenants": [{"name": "acme", "fraction": 1.0, "quotaPerS": 1000.0}],
        "tickMs": 5.0,
        "weights": "nominal",
        **changes,
    }


# ---------------------------------------------------------------- servers


@dataclass
class Received:
    """A request as the server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line, and the headers with lower-case names."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


ServerBehaviour = Callable[["StubServer", Received, asyncio.StreamWriter], Awaitable[None]]


def reply(status: str, body: bytes = b"", extra: str = "") -> ServerBehaviour:
    """Send this response."""

    async def behave(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        writer.write(head.encode() + body)

    return behave


def raw(text: bytes, *, close: bool = False, times: int = 1) -> ServerBehaviour:
    """Write these bytes as they are."""

    async def behave(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(text * times)
        if close:
            writer.close()

    return behave


def after_release(behaviour: ServerBehaviour) -> ServerBehaviour:
    """Behave so once the server's release event is set."""

    async def behave(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await server.release.wait()
        await behaviour(server, received, writer)

    return behave


def after_delay(seconds: float, then: ServerBehaviour) -> ServerBehaviour:
    """Behave so after a delay."""

    async def behave(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        await then(server, received, writer)

    return behave


async def reset(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    writer.transport.abort()


async def never_reply(server: StubServer, _: Received, __: asyncio.StreamWriter) -> None:
    """Send nothing until the server's release event is set."""
    await server.release.wait()


@dataclass
class StubServer:
    """A server with one behaviour per request, in order; the last one repeats."""

    behaviours: list[ServerBehaviour]
    address: str = ""
    received: list[Received] = field(default_factory=list)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    request_received: asyncio.Event = field(default_factory=asyncio.Event)  # set by any request
    connection_closed: asyncio.Event = field(default_factory=asyncio.Event)  # set when any connection ends
    opened: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def __aenter__(self) -> StubServer:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    def vanish(self) -> None:
        """Leave open connections open but silent, and accept no new ones."""
        self.behaviours[:] = [never_reply]
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Received(method, target, headers, body)
                self.received.append(request)
                self.request_received.set()
                behave = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
                await behave(self, request, writer)
        self.connection_closed.set()
        writer.close()


def row(name: str, address: str, lifecycle: str = "SERVING", started: float = 0) -> dict[str, Any]:
    """A server's entry in discovery's list."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "hall",
        "machineType": "std",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def listing(generation: int, *rows: dict[str, Any], reset: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(rows)}


# ---------------------------------------------------------------- discovery


@dataclass
class StubDiscovery:
    """A discovery service that hands the test each watch that is opened."""

    address: str = ""
    targets: list[str] = field(default_factory=list)
    watches: asyncio.Queue[asyncio.StreamWriter] = field(default_factory=asyncio.Queue)
    connection_closed: asyncio.Event = field(default_factory=asyncio.Event)  # set when any watch ends

    async def __aenter__(self) -> StubDiscovery:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, _ = await read_head(reader)
        self.targets.append(first.split(" ")[1])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.put_nowait(writer)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.connection_closed.set()

    async def watch(self) -> asyncio.StreamWriter:
        """Wait for the next watch that a node opens."""
        return await asyncio.wait_for(self.watches.get(), WAIT_TIMEOUT_S)


def send_line(watch: asyncio.StreamWriter, line: dict[str, Any] | bytes) -> None:
    """Write one line to a watch."""
    text = (line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n"
    watch.write(b"%x\r\n%s\r\n" % (len(text), text))


# ---------------------------------------------------------------- clients


@dataclass
class ClientResponse:
    status: int
    headers: dict[str, str]
    body: bytes


class StubClient:
    """A client with one connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> StubClient:
        return cls(*await asyncio.open_connection(*address))

    async def answer(self) -> ClientResponse:
        return await asyncio.wait_for(self._answer(), WAIT_TIMEOUT_S)

    async def _answer(self) -> ClientResponse:
        first, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return ClientResponse(int(first.split(" ")[1]), headers, body)

    async def ask(self, *args: Any, **kwargs: Any) -> ClientResponse:
        self.writer.write(request(*args, **kwargs))
        return await self.answer()

    async def ended(self) -> bool:
        """Wait until the node closes the connection; whether it did so without further output."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), WAIT_TIMEOUT_S) == b""
        return True

    def close(self) -> None:
        self.writer.transport.abort()


_request_ids = itertools.count(1)
_METHOD_BY_CLASS = {"look": "GET", "move": "POST", "book": "POST"}


def request(
    class_name: str = "look",
    *,
    target: str = "/api/7f3a9c21e0b4d655",
    method: str | None = None,
    body: bytes = b"",
    deadline: str = "3.0",
    request_id: str = "",
    omitted_headers: tuple[str, ...] = (),
    extra: str = "",
) -> bytes:
    """A client's request; omitted_headers are left out, extra adds header lines."""
    headers = {
        "X-Request-Id": request_id or f"{next(_request_ids):016x}",
        "X-Class": class_name,
        "X-Tenant": "acme",
        "X-Deadline": deadline,
    }
    if class_name == "move":
        headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59"
    method = method or _METHOD_BY_CLASS.get(class_name, "GET")
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if name not in omitted_headers)
    return f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}{extra}\r\n".encode() + body


# ---------------------------------------------------------------- the node


@dataclass
class NodeUnderTest:
    """A running node with its stub discovery."""

    node: Node
    address: tuple[str, int]
    discovery: StubDiscovery
    serving: asyncio.Task[None]

    async def client(self) -> StubClient:
        return await StubClient.connect(self.address)


@contextlib.asynccontextmanager
async def running_node(
    *rows: dict[str, Any],
    sockets: int = 256,
    known: bool = True,
    path: str = "",
    routes: tuple[Route, ...] = (),
    **changes: Any,
) -> AsyncIterator[NodeUnderTest]:
    """A running node that knows these servers; changes are merged into its settings."""
    decoder = DiscoveryDecoder(("hall",), ("std",))
    async with StubDiscovery() as discovery:
        host, _, port = discovery.address.rpartition(":")
        config = Config(
            path=path,
            name="n0",
            listen=(HOST, 0),
            discovery=(host, int(port)),
            seed=7,
            limits=Limits(192, sockets),
            settings=read_settings(dict(flatten(settings(**changes)))),
            decoder=decoder,
            initial_endpoints=decoder.decode(listing(1, *rows)) if known else None,
            conn_idle_ms=30_000.0,
            routes=routes,
        )
        node = Node(config)
        address = await node.start()
        serving = asyncio.create_task(node.wait())
        try:
            yield NodeUnderTest(node, address, discovery, serving)
        finally:
            node.stop()
            await asyncio.wait_for(serving, WAIT_TIMEOUT_S)
