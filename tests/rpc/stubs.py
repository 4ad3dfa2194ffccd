"""Stand-ins that speak MessagePack-RPC on loopback, from the specification, on the msgpack library alone."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgpack

from leadrudder.node.config import Config, Limits, flatten
from leadrudder.node.lists import DiscoveryDecoder
from leadrudder.node.node import Node
from leadrudder.rpc import attach
from leadrudder.rpc.config import parse
from leadrudder.rpc.front import RpcFront
from leadrudder.settings import read_settings
from tests.stubs import HOST, WAIT_TIMEOUT_S, StubDiscovery, listing, settings

METHODS = [
    {"name": "look", "class": "look"},
    {"name": "move", "class": "move"},
    {"name": "book", "class": "book"},
]
FILE: dict[str, Any] = {
    "front": {"listen": [f"{HOST}:0"]},
    "method": METHODS,
    "defaults": {"tenant": "acme", "deadline_s": 3.0},
}


class RpcPeer:
    """One end of a connection: messages out, messages in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._unpacker = msgpack.Unpacker(strict_map_key=False)

    def send(self, *message: Any) -> None:
        if not self.writer.transport.is_closing():
            self.writer.write(msgpack.packb(message))

    async def read(self) -> list[Any]:
        """The next message; ConnectionError at the end."""
        while True:
            for message in self._unpacker:
                return list(message)
            data = await asyncio.wait_for(self.reader.read(65536), WAIT_TIMEOUT_S)
            if not data:
                raise ConnectionError("ended")
            self._unpacker.feed(data)

    def close(self) -> None:
        self.writer.transport.abort()


Behaviour = Callable[["RpcServer", RpcPeer, list[Any]], Awaitable[None]]


async def serve(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
    """Run it, and answer with what it was given."""
    if message[0] == 0:
        server.run(message[3])
        peer.send(1, message[1], None, {"by": server.name, "params": message[3]})
    else:
        server.run(message[2])


class RpcServer:
    """Takes calls on every connection; what it does with each is its behaviour's."""

    def __init__(self, behave: Behaviour = serve, name: str = "a") -> None:
        self.behave = behave
        self.name = name
        self.runs: Counter[str] = Counter()  # by the id that the call told
        self.calls: list[list[Any]] = []
        self.came = asyncio.Condition()
        self.release = asyncio.Event()
        self.peers: list[RpcPeer] = []
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    def run(self, params: list[Any]) -> None:
        """A call has an effect here."""
        told = params[-1] if params and isinstance(params[-1], dict) else {}
        self.runs[str(told.get("id"))] += 1

    async def seen(self, calls: int) -> None:
        """Wait until so many calls have come."""
        async with self.came:
            await asyncio.wait_for(self.came.wait_for(lambda: len(self.calls) >= calls), WAIT_TIMEOUT_S)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = RpcPeer(reader, writer)
        self.peers.append(peer)
        with contextlib.suppress(ConnectionError, asyncio.TimeoutError):
            while True:
                message = await peer.read()
                self.calls.append(message)
                async with self.came:
                    self.came.notify_all()
                task = asyncio.ensure_future(self.behave(self, peer, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._connected, HOST, port)
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for peer in self.peers:
            peer.close()
        for task in list(self._tasks):
            task.cancel()

    async def __aenter__(self) -> RpcServer:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()


class RpcCaller(RpcPeer):
    """A caller with its own msgids."""

    _ids = itertools.count(1)

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.next = 0

    @classmethod
    async def connect(cls, address: tuple[str, int] | str) -> RpcCaller:
        if isinstance(address, str):
            return cls(*await asyncio.open_unix_connection(address))
        return cls(*await asyncio.open_connection(*address))

    def ask(self, method: str = "look", *params: Any, name: str = "", **told: Any) -> int:
        """Send one call; returns its msgid."""
        self.next += 1
        if method == "move":
            told.setdefault("key", f"k{next(self._ids)}")
        self.send(0, self.next, method, [*params, {"id": name or f"r{next(self._ids)}", **told}])
        return self.next

    async def answer(self) -> tuple[int, Any, Any]:
        kind, msgid, error, result = await self.read()
        assert kind == 1
        return msgid, error, result


class RpcWorld:
    """A node with the RPC front, and what surrounds it."""

    def __init__(self, node: Node, discovery: StubDiscovery, address: tuple[str, int] | str) -> None:
        self.node, self.discovery, self.address = node, discovery, address
        front = node._frontends[0]
        assert isinstance(front, RpcFront)
        self.front = front

    async def caller(self) -> RpcCaller:
        return await RpcCaller.connect(self.address)


@contextlib.asynccontextmanager
async def rpc_world(
    *rows: dict[str, Any], upstream: dict[str, Any] | None = None, http: bool = False, **changes: Any
) -> AsyncIterator[RpcWorld]:
    """A node that knows these servers; http: they speak HTTP; changes go into the operator's file."""
    decoder = DiscoveryDecoder(("hall",), ("std",))
    async with StubDiscovery() as discovery:
        host, _, port = discovery.address.rpartition(":")
        config = Config(
            path="",
            name="n0",
            listen=(HOST, 0),
            discovery=(host, int(port)),
            seed=7,
            limits=Limits(192, 1024),
            settings=read_settings(dict(flatten(settings(guarantees={"mustAskInMs": 60_000.0})))),
            decoder=decoder,
            initial_endpoints=decoder.decode(listing(1, *rows)),
            conn_idle_ms=30_000.0,
        )
        file = {**FILE, **({} if http else {"upstream": upstream or {}}), **changes}
        node = await attach.start(config, parse(file, config.settings))
        serving = asyncio.create_task(node.wait())
        front = node._frontends[0]
        assert isinstance(front, RpcFront)
        bound = front._servers[0].sockets[0].getsockname()
        try:
            yield RpcWorld(node, discovery, bound if isinstance(bound, str) else bound[:2])
        finally:
            node.stop()
            await asyncio.wait_for(serving, WAIT_TIMEOUT_S)
