"""Stand-ins on loopback sockets for what surrounds a node: servers, discovery and callers."""

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
PATIENCE_S = 20.0  # for what must come; reached only by a failing test


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on the loop that the node runs on."""

    async def bounded() -> None:
        await asyncio.wait_for(main, 3 * PATIENCE_S)

    uvloop.run(bounded())


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small site, nested as in a node's configuration."""
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
    """A request as it came in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """First line and headers, the names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


Behaviour = Callable[["StubServer", Received, asyncio.StreamWriter], Awaitable[None]]


def reply(status: str, body: bytes = b"", extra: str = "") -> Behaviour:
    """Answer with this."""

    async def behave(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        writer.write(head.encode() + body)

    return behave


def raw(text: bytes, *, close: bool = False, times: int = 1) -> Behaviour:
    """Write these bytes, whatever they are."""

    async def behave(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(text * times)
        if close:
            writer.close()

    return behave


def held(behaviour: Behaviour) -> Behaviour:
    """Do that, but only when the server's release is set."""

    async def behave(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await server.release.wait()
        await behaviour(server, received, writer)

    return behave


def after(seconds: float, then: Behaviour) -> Behaviour:
    """Work on it for so long first."""

    async def behave(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        await then(server, received, writer)

    return behave


async def reset(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
    """Break the connection."""
    writer.transport.abort()


async def silent(server: StubServer, _: Received, __: asyncio.StreamWriter) -> None:
    """Say nothing until told to."""
    await server.release.wait()


@dataclass
class StubServer:
    """A server that does as told, in order; the last behaviour stays."""

    behaviours: list[Behaviour]
    address: str = ""
    received: list[Received] = field(default_factory=list)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    got: asyncio.Event = field(default_factory=asyncio.Event)  # a request has come
    left: asyncio.Event = field(default_factory=asyncio.Event)  # a connection has ended
    opened: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def __aenter__(self) -> StubServer:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    def vanish(self) -> None:
        """Open connections stay open and say nothing, new ones do not come up."""
        self.behaviours[:] = [silent]
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
                self.got.set()
                behave = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
                await behave(self, request, writer)
        self.left.set()
        writer.close()


def row(name: str, address: str, lifecycle: str = "SERVING", started: float = 0) -> dict[str, Any]:
    """A server as discovery lists it."""
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
    """Discovery's watch: every one that is opened is handed out in turn."""

    address: str = ""
    targets: list[str] = field(default_factory=list)
    watches: asyncio.Queue[asyncio.StreamWriter] = field(default_factory=asyncio.Queue)
    left: asyncio.Event = field(default_factory=asyncio.Event)  # a watch has ended

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
        self.left.set()

    async def watch(self) -> asyncio.StreamWriter:
        """The next watch that a node opens."""
        return await asyncio.wait_for(self.watches.get(), PATIENCE_S)


def tell(watch: asyncio.StreamWriter, line: dict[str, Any] | bytes) -> None:
    """Write one line of a watch."""
    text = (line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n"
    watch.write(b"%x\r\n%s\r\n" % (len(text), text))


# ---------------------------------------------------------------- callers


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """One connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Caller:
        return cls(*await asyncio.open_connection(*address))

    async def answer(self) -> Answer:
        return await asyncio.wait_for(self._answer(), PATIENCE_S)

    async def _answer(self) -> Answer:
        first, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Answer(int(first.split(" ")[1]), headers, body)

    async def ask(self, *args: Any, **kwargs: Any) -> Answer:
        self.writer.write(request(*args, **kwargs))
        return await self.answer()

    async def ended(self) -> bool:
        """Wait for the node's end of the connection."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), PATIENCE_S) == b""
        return True

    def close(self) -> None:
        self.writer.transport.abort()


_names = itertools.count(1)
_METHODS = {"look": "GET", "move": "POST", "book": "POST"}


def request(
    kind: str = "look",
    *,
    target: str = "/api/7f3a9c21e0b4d655",
    method: str | None = None,
    body: bytes = b"",
    deadline: str = "3.0",
    name: str = "",
    drop: tuple[str, ...] = (),
    extra: str = "",
) -> bytes:
    """A caller's request; drop leaves headers out, extra adds lines."""
    headers = {
        "X-Request-Id": name or f"{next(_names):016x}",
        "X-Class": kind,
        "X-Tenant": "acme",
        "X-Deadline": deadline,
    }
    if kind == "move":
        headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59"
    method = method or _METHODS.get(kind, "GET")
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if name not in drop)
    return f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}{extra}\r\n".encode() + body


# ---------------------------------------------------------------- the node


@dataclass
class World:
    """A node and what surrounds it."""

    node: Node
    address: tuple[str, int]
    discovery: StubDiscovery
    serving: asyncio.Task[None]

    async def caller(self) -> Caller:
        return await Caller.connect(self.address)


@contextlib.asynccontextmanager
async def world(
    *rows: dict[str, Any],
    sockets: int = 256,
    known: bool = True,
    path: str = "",
    routes: tuple[Route, ...] = (),
    **changes: Any,
) -> AsyncIterator[World]:
    """A node that knows these servers; changes go into its settings."""
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
            yield World(node, address, discovery, serving)
        finally:
            node.stop()
            await asyncio.wait_for(serving, PATIENCE_S)
