"""A bare relay on the node's own loop and parser, to measure a node against: python -m bench.relay PORT...

It forwards each request to the next of the servers at these ports over a connection that it keeps, and the
answer back. No class, no deadline, no health, no limit, no repeat: what a node costs beyond it is what a node
does.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import Any

import httptools
import uvloop

HOST = "127.0.0.1"


class _Upstream(asyncio.Protocol):
    """One connection to a server: one request at a time."""

    def __init__(self, idle: deque[_Upstream]) -> None:
        self._idle = idle
        self._caller: _Caller | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def ask(self, caller: _Caller, request: bytes) -> None:
        self._caller = caller
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        self._body += part

    def on_message_complete(self) -> None:
        caller, body = self._caller, self._body
        self._caller, self._body = None, b""
        self._parser = httptools.HttpResponseParser(self)
        self._idle.append(self)
        assert caller is not None
        caller.answer(body)


class _Caller(asyncio.Protocol):
    """One connection of a caller: one request at a time."""

    def __init__(self, idle: list[deque[_Upstream]], ports: list[int], turn: list[int]) -> None:
        self._idle = idle
        self._ports = ports
        self._turn = turn
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._target = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_message_complete(self) -> None:
        lines = b"".join(b"%s: %s\r\n" % header for header in self._headers)
        request = b"%s %s HTTP/1.1\r\n%s\r\n" % (self._parser.get_method(), self._target, lines)
        self._headers = []
        self._turn[0] = (self._turn[0] + 1) % len(self._ports)
        idle = self._idle[self._turn[0]]
        if idle:
            idle.pop().ask(self, request)
        else:
            asyncio.ensure_future(self._connect(idle, self._ports[self._turn[0]], request))

    async def _connect(self, idle: deque[_Upstream], port: int, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(lambda: _Upstream(idle), HOST, port)
        upstream.ask(self, request)

    def answer(self, body: bytes) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


async def serve(ports: list[int]) -> None:
    """Listen at a free port, tell it on standard error, and relay until killed."""
    idle: list[deque[_Upstream]] = [deque() for _ in ports]
    turn = [0]
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Caller(idle, ports, turn), HOST, 0)
    print(f"relay listens on {HOST}:{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve([int(port) for port in sys.argv[1:]]))
