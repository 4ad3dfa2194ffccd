"""A bare relay with the node's event loop and parser as a baseline: python -m bench.relay PORT...

It forwards each request to the servers at these ports in turn over keep-alive connections, and returns the
response. It has no request classes, deadlines, health checks, limits or retries; whatever a node costs beyond
it pays for these.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import Any

import httptools
import uvloop

HOST = "127.0.0.1"


class _UpstreamConnection(asyncio.Protocol):
    """A connection to a server, with one request at a time."""

    def __init__(self, idle: deque[_UpstreamConnection]) -> None:
        self._idle = idle
        self._client: _ClientConnection | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def send(self, client: _ClientConnection, request: bytes) -> None:
        self._client = client
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        self._body += part

    def on_message_complete(self) -> None:
        client, body = self._client, self._body
        self._client, self._body = None, b""
        self._parser = httptools.HttpResponseParser(self)
        self._idle.append(self)
        assert client is not None
        client.respond(body)


class _ClientConnection(asyncio.Protocol):
    """A connection from a client, with one request at a time."""

    def __init__(
        self, idle: list[deque[_UpstreamConnection]], ports: list[int], next_index: list[int]
    ) -> None:
        self._idle = idle
        self._ports = ports
        self._next_index = next_index
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
        self._next_index[0] = (self._next_index[0] + 1) % len(self._ports)
        idle = self._idle[self._next_index[0]]
        if idle:
            idle.pop().send(self, request)
        else:
            asyncio.ensure_future(self._connect(idle, self._ports[self._next_index[0]], request))

    async def _connect(self, idle: deque[_UpstreamConnection], port: int, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(lambda: _UpstreamConnection(idle), HOST, port)
        upstream.send(self, request)

    def respond(self, body: bytes) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


async def serve(ports: list[int]) -> None:
    """Listen at a free port, print it to standard error, and relay until killed."""
    idle: list[deque[_UpstreamConnection]] = [deque() for _ in ports]
    next_index = [0]
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _ClientConnection(idle, ports, next_index), HOST, 0)
    print(f"relay listens on {HOST}:{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve([int(port) for port in sys.argv[1:]]))
