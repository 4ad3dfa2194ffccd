"""Clients that keep their connections: each asks again on the one it has until the node ends it.

The other clients of a soak open a connection for each request, and so never meet a process that is about to
end with connections open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from leadrudder.emulation.standins import RequestKind, encoded_request

REOPEN_S = 0.05  # after a connection that did not come up, or has ended
CROSSED_S = 0.05  # a close that was on its way already when the request was sent is seen within that time
GIVE_UP_S = 1.0  # after its deadline, that an answer is waited for: a process may stand still
PROMISES = (408, 421, 429, 503)  # a request with such an answer has not run, and never will


@dataclass(slots=True)
class KeptRequest:
    """A request on a connection that was kept.  cut_at: when the connection ended without its answer."""

    id: str
    once: bool
    sent_at: float
    status: int = 0
    cut_at: float = 0.0

    @property
    def crossed(self) -> bool:
        """The node had closed the connection, as one that was idle, before the request could reach it."""
        return 0.0 < self.cut_at <= self.sent_at + CROSSED_S


@dataclass(eq=False)
class KeptConnection:
    """One client of a machine's, with one connection at a time.  pause_s: between requests, in the mean."""

    name: str
    address: tuple[str, int]
    wishes: Sequence[RequestKind]
    until: float
    pause_s: float
    rng: Random
    requests: list[KeptRequest] = field(default_factory=list)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self.until:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(REOPEN_S)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(REOPEN_S)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Ask until the connection ends, or its end was announced."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.until and not reader.at_eof():
            wish = self.rng.choice(self.wishes)
            asked = KeptRequest(f"{self.name}-{len(self.requests)}", wish.once, loop.time())
            self.requests.append(asked)
            fields = f"Attempt-Id: {asked.id}\r\nTime-Left: {int(1000 * wish.deadline_s)}\r\n"
            writer.write(encoded_request("POST", "/a", wish.host, fields))
            try:
                async with asyncio.timeout(wish.deadline_s + GIVE_UP_S):
                    asked.status, closes = await read_answer(reader)
            except TimeoutError:
                return
            except (OSError, asyncio.IncompleteReadError):
                asked.cut_at = loop.time()
                return
            if closes:
                return
            await asyncio.sleep(self.rng.uniform(0.0, 2.0 * self.pause_s))


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """The status of a whole answer, and whether the connection is closed after it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = int(head.partition("content-length:")[2].split("\r\n", 1)[0])
    await reader.readexactly(length)
    return int(head.split(" ", 2)[1]), "connection: close" in head
