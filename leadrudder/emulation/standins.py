"""What surrounds the mesh: servers that beat and run requests, clients that ask and ask again.

Both speak what the users' pages say, with the mesh's own reader of HTTP. Times are seconds.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import cast

from leadrudder.transport.http import WholeMessage, WholeReader, rendered

HEARTBEAT_INTERVAL_S = 1.5
MAX_QUEUED_REQUESTS = 4  # requests that a server takes beside those it runs
MAX_RETRY_WAIT_SHARE = 1 / 3  # of the time left: a client waits no longer than that for a Retry-After
MAX_ATTEMPTS = 4


class _SingleExchange(asyncio.Protocol):
    """One call on a connection of its own."""

    def __init__(self, text: bytes, over: asyncio.Future[WholeMessage | None]) -> None:
        self._text, self._over = text, over
        self._reader = WholeReader(self._answer, requests=False)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(self._text)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def _answer(self, message: object) -> None:
        if not self._over.done():
            self._over.set_result(cast(WholeMessage, message))
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._over.done():
            self._over.set_result(None)


async def http_call(address: tuple[str, int], text: bytes, within_s: float) -> WholeMessage | None:
    """None where no whole answer came in time."""
    loop = asyncio.get_running_loop()
    over: asyncio.Future[WholeMessage | None] = loop.create_future()
    try:
        async with asyncio.timeout(within_s):
            transport, _ = await loop.create_connection(lambda: _SingleExchange(text, over), *address)
            try:
                return await over
            finally:
                transport.close()
    except (OSError, TimeoutError):
        return None


def encoded_request(method: str, path: str, host: str, fields: str = "", body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# ---------------------------------------------------------------- servers


class _ServerConnection(asyncio.Protocol):
    """One connection at a server, which runs one request at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._reader = WholeReader(self._ask, requests=True)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def _ask(self, message: object) -> None:
        self._server.handle(cast(WholeMessage, message), self._answer)

    def _answer(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


@dataclass(frozen=True, slots=True)
class InternalCall:
    """A request that a server sends, through the node beside it, while it runs one of its own."""

    host: str
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Work:
    """What a server does for requests of one host.  work_s: mean, without the time that its calls take."""

    work_s: float
    calls: tuple[InternalCall, ...] = ()  # one after the other


@dataclass(eq=False)
class Server:
    """One application server.  work_s: mean of a request; runs: by attempt id, how often it ran.

    works: for requests of some hosts, what is done in place of work_s; outbound: where its calls go.
    """

    id: str
    service: str
    zone: str
    address: tuple[str, int]
    control_address: tuple[str, int]
    slots: int
    work_s: float
    rng: Random
    work_by_host: Mapping[str, Work] = field(default_factory=dict)
    outbound_address: tuple[str, int] = ("", 0)
    runs_by_attempt: Counter[str] = field(default_factory=Counter)
    runs_by_host: Counter[str] = field(default_factory=Counter)  # requests run, by host, since last looked at
    draining: bool = False
    cold_until: float = 0.0
    running: int = 0
    waiting: deque[tuple[WholeMessage, Callable[[bytes], None]]] = field(default_factory=deque)
    _heartbeat_count: int = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: _ServerConnection(self), *self.address)
        self._schedule_heartbeat(self.rng.random() * 0.2)

    def _schedule_heartbeat(self, after: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(after, lambda: loop.create_task(self._send_heartbeat()))

    def cold_left(self, now: float) -> float:
        return max(0.0, self.cold_until - now)

    async def _send_heartbeat(self) -> None:
        self._heartbeat_count += 1
        body = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "details": {"service": self.service, "version": "v1", "zone": self.zone, "capacity": self.slots},
            "status": {
                "state": "draining" if self.draining else "ready",
                "callCount": self._heartbeat_count,
                "coldLeft": f"{int(1000 * self.cold_left(asyncio.get_running_loop().time()))}ms",
            },
        }
        text = encoded_request("PUT", f"/servers/{self.id}", "control", body=json.dumps(body).encode())
        await http_call(self.control_address, text, 1.0)
        self._schedule_heartbeat(HEARTBEAT_INTERVAL_S)

    def handle(self, message: WholeMessage, answer: Callable[[bytes], None]) -> None:
        if message.headers.get(b"target-server", b"").decode() not in ("", self.id):
            answer(rendered(421, self._response_headers(message) + b"Not-Run: 1\r\n", b""))
        elif self.running < self.slots:
            self._run(message, answer)
        elif len(self.waiting) < MAX_QUEUED_REQUESTS:
            self.waiting.append((message, answer))
        else:
            answer(rendered(503, self._response_headers(message) + b"Not-Run: 1\r\n", b""))

    def _run(self, message: WholeMessage, answer: Callable[[bytes], None]) -> None:
        attempt_id = message.headers.get(b"attempt-id", b"").decode()
        host = message.headers.get(b"host", b"").decode()
        self.running += 1
        self.runs_by_attempt[attempt_id] += 1
        self.runs_by_host[host] += 1
        work = self.work_by_host.get(host, Work(self.work_s))

        def over(status: int = 200) -> None:
            self.running -= 1
            seal = b"Server-Seal: s\r\n" if status == 200 else b""
            answer(rendered(status, self._response_headers(message) + seal, b"done\n"))
            if self.waiting:
                self._run(*self.waiting.popleft())

        loop = asyncio.get_running_loop()

        def worked() -> None:
            if work.calls:
                loop.create_task(self._make_internal_calls(attempt_id, work.calls, over))
            else:
                over()

        loop.call_later(work.work_s * self.rng.gammavariate(4.0, 0.25), worked)

    async def _make_internal_calls(
        self, attempt_id: str, calls: tuple[InternalCall, ...], over: Callable[[int], None]
    ) -> None:
        """The request's own calls: if one fails, so does the request, by a 500."""
        for number, each in enumerate(calls):
            fields = f"Attempt-Id: {attempt_id}.{number}\r\nTime-Left: {int(1000 * each.deadline_s)}\r\n"
            answer = await http_call(
                self.outbound_address, encoded_request("GET", "/a", each.host, fields), each.deadline_s
            )
            if answer is None or answer.status != 200:
                over(500)
                return
        over(200)

    def _response_headers(self, message: WholeMessage) -> bytes:
        load = b"%d,%d,%d" % (self.running, len(self.waiting), self.slots)
        return b"Attempt-Id: %s\r\nServer-Load: %s\r\n" % (message.headers.get(b"attempt-id", b""), load)


# ---------------------------------------------------------------- clients


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.  once: a booking."""

    host: str
    once: bool
    per_s: float  # at each machine
    deadline_s: float


@dataclass(slots=True)
class SentRequest:
    """One client's wish, with the ids of its tries, and what came of it."""

    sent_at_s: float
    host: str
    once: bool
    attempt_ids: list[str] = field(default_factory=list)
    served_attempt: str = ""  # the try that was answered with success
    duration_s: float = 0.0


@dataclass(eq=False)
class Clients:
    """Those of one machine: they ask at moments of their own, whatever became of what they asked before."""

    name: str
    outbound_address: tuple[str, int]
    request_kinds: tuple[RequestKind, ...]
    end_s: float
    rng: Random
    sent_requests: list[SentRequest] = field(default_factory=list)
    _attempt_count: int = 0

    def start(self) -> None:
        for wish in self.request_kinds:
            self._schedule_next(wish)

    def _schedule_next(self, wish: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        after = self.rng.expovariate(wish.per_s)
        if loop.time() + after < self.end_s:
            loop.call_later(after, self._begin, wish)

    def _begin(self, wish: RequestKind) -> None:
        self._schedule_next(wish)
        asyncio.get_running_loop().create_task(self._send(wish))

    async def _send(self, wish: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        asked = SentRequest(loop.time(), wish.host, wish.once)
        self.sent_requests.append(asked)
        end = asked.sent_at_s + wish.deadline_s
        while len(asked.attempt_ids) < MAX_ATTEMPTS and end - loop.time() > 0.01:
            self._attempt_count += 1
            name = f"{self.name}-{self._attempt_count}"
            asked.attempt_ids.append(name)
            left = end - loop.time()
            fields = f"Attempt-Id: {name}\r\nTime-Left: {int(1000 * left)}\r\n"
            answer = await http_call(
                self.outbound_address, encoded_request("POST", "/a", wish.host, fields), left
            )
            if answer is not None and answer.status == 200:
                asked.served_attempt, asked.duration_s = name, loop.time() - asked.sent_at_s
                return
            left = end - loop.time()
            promised = answer is not None and answer.status in (408, 421, 429, 503)
            if (wish.once and not promised) or (answer is not None and answer.status in (400, 404, 413)):
                return
            wait = float(answer.headers.get(b"retry-after", b"0.05")) if answer is not None else 0.05
            await asyncio.sleep(min(wait, MAX_RETRY_WAIT_SHARE * max(0.0, left)))
