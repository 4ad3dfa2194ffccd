"""Stand-in callers and servers for MessagePack-RPC, written from the specification on the msgpack library."""

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
from leadrudder.rpc.config import parse_rpc_config
from leadrudder.rpc.front import RpcFront
from leadrudder.settings import read_settings
from tests.stubs import HOST, WAIT_TIMEOUT_S, StubDiscovery, listing, settings

METHODS = [
    {"name": "look", "class": "look"},
    {"name": "move", "class": "move"},
    {"name": "book", "class": "book"},
]
OPERATOR_FILE: dict[str, Any] = {
    "front": {"listen": [f"{HOST}:0"]},
    "method": METHODS,
    "defaults": {"tenant": "acme", "deadline_s": 3.0},
}


class RpcStream:
    """One end of a connection: sends and receives whole messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._unpacker = msgpack.Unpacker(strict_map_key=False)

    def send(self, *message: Any) -> None:
        if not self.writer.transport.is_closing():
            self.writer.write(msgpack.packb(message))

    async def read(self) -> list[Any]:
        """Read the next message; ConnectionError at the end of the stream."""
        while True:
            for message in self._unpacker:
                return list(message)
            data = await asyncio.wait_for(self.reader.read(65536), WAIT_TIMEOUT_S)
            if not data:
                raise ConnectionError("the connection was closed")
            self._unpacker.feed(data)

    def close(self) -> None:
        self.writer.transport.abort()


CallHandler = Callable[["RpcServer", RpcStream, list[Any]], Awaitable[None]]


async def serve(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
    """Execute a call, and answer a request with its own parameters."""
    if message[0] == 0:
        server.execute(message[3])
        peer.send(1, message[1], None, {"by": server.name, "params": message[3]})
    else:
        server.execute(message[2])


class RpcServer:
    """Accepts calls on every connection and passes each one to handle_call."""

    def __init__(self, handle_call: CallHandler = serve, name: str = "a") -> None:
        self.handle_call = handle_call
        self.name = name
        self.executions: Counter[str] = Counter()  # by request id
        self.calls: list[list[Any]] = []
        self.calls_changed = asyncio.Condition()
        self.release = asyncio.Event()
        self.peers: list[RpcStream] = []
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    def execute(self, params: list[Any]) -> None:
        """Count the execution of a call."""
        metadata = params[-1] if params and isinstance(params[-1], dict) else {}
        self.executions[str(metadata.get("id"))] += 1

    async def wait_for_calls(self, count: int) -> None:
        """Wait until this many calls have arrived."""
        async with self.calls_changed:
            await asyncio.wait_for(
                self.calls_changed.wait_for(lambda: len(self.calls) >= count), WAIT_TIMEOUT_S
            )

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = RpcStream(reader, writer)
        self.peers.append(peer)
        with contextlib.suppress(ConnectionError, asyncio.TimeoutError):
            while True:
                message = await peer.read()
                self.calls.append(message)
                async with self.calls_changed:
                    self.calls_changed.notify_all()
                task = asyncio.ensure_future(self.handle_call(self, peer, message))
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


class RpcCaller(RpcStream):
    """A caller that numbers its calls."""

    _numbers = itertools.count(1)

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.last_msgid = 0

    @classmethod
    async def connect(cls, address: tuple[str, int] | str) -> RpcCaller:
        if isinstance(address, str):
            return cls(*await asyncio.open_unix_connection(address))
        return cls(*await asyncio.open_connection(*address))

    def ask(self, method: str = "look", *params: Any, name: str = "", **metadata: Any) -> int:
        """Send one call; returns its msgid."""
        self.last_msgid += 1
        if method == "move":
            metadata.setdefault("key", f"k{next(self._numbers)}")
        self.send(
            0, self.last_msgid, method, [*params, {"id": name or f"r{next(self._numbers)}", **metadata}]
        )
        return self.last_msgid

    async def answer(self) -> tuple[int, Any, Any]:
        kind, msgid, error, result = await self.read()
        assert kind == 1
        return msgid, error, result


class RpcEnvironment:
    """A node with an RPC front, the stand-in discovery, and the address of the front."""

    def __init__(self, node: Node, discovery: StubDiscovery, address: tuple[str, int] | str) -> None:
        self.node, self.discovery, self.address = node, discovery, address
        front = node._frontends[0]
        assert isinstance(front, RpcFront)
        self.front = front

    async def caller(self) -> RpcCaller:
        return await RpcCaller.connect(self.address)


@contextlib.asynccontextmanager
async def rpc_environment(
    *rows: dict[str, Any], upstream: dict[str, Any] | None = None, http: bool = False, **changes: Any
) -> AsyncIterator[RpcEnvironment]:
    """A node that knows these servers; http: they speak HTTP; changes: tables of the operator's file."""
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
        operator_file = {**OPERATOR_FILE, **({} if http else {"upstream": upstream or {}}), **changes}
        node = await attach.start_node(config, parse_rpc_config(operator_file, config.settings))
        serving = asyncio.create_task(node.wait())
        front = node._frontends[0]
        assert isinstance(front, RpcFront)
        bound = front._servers[0].sockets[0].getsockname()
        try:
            yield RpcEnvironment(node, discovery, bound if isinstance(bound, str) else bound[:2])
        finally:
            node.stop()
            await asyncio.wait_for(serving, WAIT_TIMEOUT_S)
