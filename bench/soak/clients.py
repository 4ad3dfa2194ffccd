"""Clients with keep-alive: each sends its requests on one connection until the node closes it.

The other clients of a soak open a connection for each request, and so never reach a process that is shutting
down with connections open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from leadrudder.emulation.standins import RequestKind, encoded_request

RECONNECT_DELAY_S = 0.05  # after a connection that failed or was closed
RESPONSE_GRACE_S = 1.0  # wait for a response past the request's deadline, as a process may be paused
NOT_RUN_STATUSES = (408, 421, 429, 503)  # a request with such a response has not run, and never will


@dataclass(slots=True)
class ObservedRequest:
    """A request and what became of it.

    lost_at: when the connection closed without a response; 0 if it did not.
    """

    id: str
    once: bool
    sent_at: float
    status: int = 0
    lost_at: float = 0.0


@dataclass(eq=False)
class KeepAliveClient:
    """A client of one machine, with one connection at a time.  mean_pause_s: between two requests."""

    name: str
    address: tuple[str, int]
    request_kinds: Sequence[RequestKind]
    until: float
    mean_pause_s: float
    rng: Random
    requests: list[ObservedRequest] = field(default_factory=list)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self.until:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._send_requests(reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _send_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests until the connection closes or a response announces its close."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.until and not reader.at_eof():
            kind = self.rng.choice(self.request_kinds)
            sent = ObservedRequest(f"{self.name}-{len(self.requests)}", kind.once, loop.time())
            self.requests.append(sent)
            if await send_observed(reader, writer, kind, sent):
                return
            await asyncio.sleep(self.rng.uniform(0.0, 2.0 * self.mean_pause_s))


async def send_observed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: RequestKind, sent: ObservedRequest
) -> bool:
    """Send a request and record what becomes of it; returns whether its connection is at its end."""
    fields = f"Attempt-Id: {sent.id}\r\nTime-Left: {int(1000 * kind.deadline_s)}\r\n"
    writer.write(encoded_request("POST", "/a", kind.host, fields))
    try:
        async with asyncio.timeout(kind.deadline_s + RESPONSE_GRACE_S):
            sent.status, connection_closes = await read_response(reader)
    except TimeoutError:
        return True
    except (OSError, asyncio.IncompleteReadError):
        sent.lost_at = asyncio.get_running_loop().time()
        return True
    return connection_closes


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Read one whole response; returns its status and whether the connection closes after it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = int(head.partition("content-length:")[2].split("\r\n", 1)[0])
    await reader.readexactly(length)
    return int(head.split(" ", 2)[1]), "connection: close" in head
