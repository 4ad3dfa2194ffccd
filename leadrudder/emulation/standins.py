"""Stand-ins for what surrounds the mesh: servers with heartbeats, and clients that retry.

Both follow the documented protocol and use the mesh's own HTTP reader. Times are seconds.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import cast

from leadrudder.transport.http import BufferedHttpMessage, HttpReader, render_response

HEARTBEAT_INTERVAL_S = 1.5
MAX_QUEUED_REQUESTS = 4  # beside the requests that run
NOT_RUN_STATUSES = (408, 421, 429, 503, 504)  # with which a server may refuse, saying that it has not run
REQUESTS_BEFORE_COPY = (1, 1, 1, 2, 3)  # further requests on a connection, until a refusal is sent again
MAX_RETRY_WAIT_SHARE = 1 / 3  # of the remaining time: the most that a client waits on a Retry-After
MAX_ATTEMPTS = 4


class _SingleExchange(asyncio.Protocol):
    """One request and its answer, on a connection of its own."""

    def __init__(self, text: bytes, future: asyncio.Future[BufferedHttpMessage | None]) -> None:
        self._text, self._future = text, future
        self._reader = HttpReader(self._answer, requests=False)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(self._text)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def _answer(self, message: object) -> None:
        if not self._future.done():
            self._future.set_result(cast(BufferedHttpMessage, message))
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._future.done():
            self._future.set_result(None)


async def http_call(address: tuple[str, int], text: bytes, timeout_s: float) -> BufferedHttpMessage | None:
    """Send a request; None if no complete answer arrives in time."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[BufferedHttpMessage | None] = loop.create_future()
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(lambda: _SingleExchange(text, future), *address)
            try:
                return await future
            finally:
                transport.close()
    except (OSError, TimeoutError):
        return None


def encoded_request(method: str, path: str, host: str, headers: str = "", body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# ---------------------------------------------------------------- servers


@dataclass(slots=True)
class LateCopy:
    """An answer that is sent once more.  requests_until_sent: on its connection."""

    data: bytes
    requests_until_sent: int


class ServerConnection(asyncio.Protocol):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._reader = HttpReader(self._handle_request, requests=True)
        self._transport: asyncio.Transport | None = None
        self._late_copies: list[LateCopy] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def _handle_request(self, message: object) -> None:
        self._send_late_copies()
        self._server.handle(cast(BufferedHttpMessage, message), self)

    def _send_late_copies(self) -> None:
        """Send the copies that are due, where the answer to a new request is expected."""
        for copy in list(self._late_copies):
            copy.requests_until_sent -= 1
            if copy.requests_until_sent == 0:
                self._late_copies.remove(copy)
                self.answer(copy.data)

    def answer(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def answer_again_later(self, data: bytes, requests_until_sent: int) -> None:
        """Send an answer once more when so many further requests have arrived on this connection."""
        self._late_copies.append(LateCopy(data, requests_until_sent))


@dataclass(frozen=True, slots=True)
class InternalCall:
    """A request that a server sends through its local node while it runs another."""

    host: str
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Work:
    """A server's work for a request of one host.  work_s: mean duration, excluding internal calls."""

    work_s: float
    calls: tuple[InternalCall, ...] = ()  # in sequence


@dataclass(frozen=True, slots=True)
class RefusalTrouble:
    """How often a server refuses requests that it could run, and repeats refusals.

    refused_fraction: of its requests; copied_fraction: of all its refusals, which it sends once more, late.
    """

    refused_fraction: float = 0.0
    copied_fraction: float = 0.0


@dataclass(eq=False)
class Server:
    """An application server.  work_s: mean duration of a request; work_by_host: replaces it for some hosts.

    outbound_address: receives its internal calls; runs_by_attempt: how often each attempt ran, by attempt id.
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
    runs_by_host: Counter[str] = field(default_factory=Counter)  # by host; cleared by whoever reads it
    draining: bool = False
    cold_until: float = 0.0
    refusal_trouble: RefusalTrouble = RefusalTrouble()
    refusal_copies: int = 0  # copies of refusals, sent or still to be sent
    running: int = 0
    waiting: deque[tuple[BufferedHttpMessage, Callable[[bytes], None]]] = field(default_factory=deque)
    _heartbeat_count: int = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: ServerConnection(self), *self.address)
        self._schedule_heartbeat(self.rng.random() * 0.2)

    def _schedule_heartbeat(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, lambda: loop.create_task(self._send_heartbeat()))

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

    def handle(self, message: BufferedHttpMessage, connection: ServerConnection) -> None:
        if message.headers.get(b"target-server", b"").decode() not in ("", self.id):
            self._refuse(message, connection, 421)
        elif self._occurs(self.refusal_trouble.refused_fraction):
            self._refuse(message, connection, self.rng.choice(NOT_RUN_STATUSES))
        elif self.running < self.slots:
            self._run(message, connection.answer)
        elif len(self.waiting) < MAX_QUEUED_REQUESTS:
            self.waiting.append((message, connection.answer))
        else:
            self._refuse(message, connection, 503)

    def _occurs(self, probability: float) -> bool:
        """Draws only for a probability above 0, so that runs without the trouble stay the same."""
        return probability > 0.0 and self.rng.random() < probability

    def _refuse(self, message: BufferedHttpMessage, connection: ServerConnection, status: int) -> None:
        refusal = render_response(status, self._response_headers(message) + b"Not-Run: 1\r\n", b"")
        connection.answer(refusal)
        if self._occurs(self.refusal_trouble.copied_fraction):
            self.refusal_copies += 1
            connection.answer_again_later(refusal, self.rng.choice(REQUESTS_BEFORE_COPY))

    def _run(self, message: BufferedHttpMessage, answer: Callable[[bytes], None]) -> None:
        attempt_id = message.headers.get(b"attempt-id", b"").decode()
        host = message.headers.get(b"host", b"").decode()
        self.running += 1
        self.runs_by_attempt[attempt_id] += 1
        self.runs_by_host[host] += 1
        work = self.work_by_host.get(host, Work(self.work_s))

        def finish(status: int = 200) -> None:
            self.running -= 1
            seal = b"Server-Seal: s\r\n" if status == 200 else b""
            body = self._response_body(message)
            answer(render_response(status, self._response_headers(message) + seal, body))
            if self.waiting:
                self._run(*self.waiting.popleft())

        loop = asyncio.get_running_loop()

        def worked() -> None:
            if work.calls:
                loop.create_task(self._make_internal_calls(attempt_id, work.calls, finish))
            else:
                finish()

        loop.call_later(work.work_s * self.rng.gammavariate(4.0, 0.25), worked)

    async def _make_internal_calls(
        self, attempt_id: str, calls: tuple[InternalCall, ...], on_done: Callable[[int], None]
    ) -> None:
        """Make the internal calls of a request; if one fails, the request fails with status 500."""
        for number, each in enumerate(calls):
            headers = f"Attempt-Id: {attempt_id}.{number}\r\nTime-Left: {int(1000 * each.deadline_s)}\r\n"
            answer = await http_call(
                self.outbound_address, encoded_request("GET", "/a", each.host, headers), each.deadline_s
            )
            if answer is None or answer.status != 200:
                on_done(500)
                return
        on_done(200)

    def _response_body(self, message: BufferedHttpMessage) -> bytes:
        return b"done\n"

    def _response_headers(self, message: BufferedHttpMessage) -> bytes:
        load = b"%d,%d,%d" % (self.running, len(self.waiting), self.slots)
        return b"Attempt-Id: %s\r\nServer-Load: %s\r\n" % (message.headers.get(b"attempt-id", b""), load)


# ---------------------------------------------------------------- clients


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.  once: not repeatable, such as a booking."""

    host: str
    once: bool
    per_s: float  # at each machine
    deadline_s: float


@dataclass(slots=True)
class SentRequest:
    """One client request, the ids of its attempts, and its result."""

    sent_at_s: float
    host: str
    once: bool
    attempt_ids: list[str] = field(default_factory=list)
    served_attempt: str = ""  # the id of the attempt that succeeded
    duration_s: float = 0.0


@dataclass(eq=False)
class Clients:
    """The clients of one machine: an open workload, where requests start regardless of earlier answers."""

    name: str
    outbound_address: tuple[str, int]
    request_kinds: tuple[RequestKind, ...]
    end_s: float
    rng: Random
    sent_requests: list[SentRequest] = field(default_factory=list)
    _attempt_count: int = 0

    def start(self) -> None:
        for kind in self.request_kinds:
            self._schedule_next(kind)

    def _schedule_next(self, kind: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self.rng.expovariate(kind.per_s)
        if loop.time() + delay_s < self.end_s:
            loop.call_later(delay_s, self._begin, kind)

    def _begin(self, kind: RequestKind) -> None:
        self._schedule_next(kind)
        asyncio.get_running_loop().create_task(self._send(kind))

    async def _send(self, kind: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        request = SentRequest(loop.time(), kind.host, kind.once)
        self.sent_requests.append(request)
        deadline = request.sent_at_s + kind.deadline_s
        while len(request.attempt_ids) < MAX_ATTEMPTS and deadline - loop.time() > 0.01:
            self._attempt_count += 1
            attempt_id = f"{self.name}-{self._attempt_count}"
            request.attempt_ids.append(attempt_id)
            remaining_s = deadline - loop.time()
            headers = f"Attempt-Id: {attempt_id}\r\nTime-Left: {int(1000 * remaining_s)}\r\n"
            answer = await http_call(
                self.outbound_address, encoded_request("POST", "/a", kind.host, headers), remaining_s
            )
            if answer is not None and answer.status == 200:
                request.served_attempt, request.duration_s = attempt_id, loop.time() - request.sent_at_s
                return
            remaining_s = deadline - loop.time()
            not_run = answer is not None and answer.status in (408, 421, 429, 503)
            if (kind.once and not not_run) or (answer is not None and answer.status in (400, 404, 413)):
                return
            retry_after_s = float(answer.headers.get(b"retry-after", b"0.05")) if answer is not None else 0.05
            await asyncio.sleep(min(retry_after_s, MAX_RETRY_WAIT_SHARE * max(0.0, remaining_s)))
