"""Stand-ins that follow the users' pages: an application server, clients and an operator."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from .fleet import BEAT_EVERY_S, Answer, CannotRunError, Fleet, Machine, Record, call, read_message, render

SILENCE_S = (
    1.0  # after which an operator turns to another node, and a server's beat counts as not acknowledged
)


@dataclass(slots=True)
class Arrival:
    """A request that reached a server.  ended: answered, or cut off by the server's end."""

    at: float
    attempt_id: str
    path: str
    body_bytes: int
    ran: bool


@dataclass(eq=False)
class AppServer:
    """The application server of one machine: one life, with an id of its own.

    work_s: how long a request takes.  next_beat_in_s: the pause before the next beat, once, if set.
    """

    fleet: Fleet
    machine: Machine
    id: str
    capacity: int = 9
    work_s: float = 0.06
    state: str = "ready"
    next_beat_in_s: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    acknowledged: list[tuple[float, str]] = field(default_factory=list)  # when, and which state
    _running: int = 0
    _beats: int = 0
    _server: asyncio.Server | None = None
    _beating: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def record(self) -> Record:
        return self.fleet.record

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, *self.fleet.application(self.machine), limit=1 << 20
        )
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await self.send_beat()
            pause, self.next_beat_in_s = self.next_beat_in_s or BEAT_EVERY_S, None
            await asyncio.sleep(pause)

    async def send_beat(self) -> None:
        self._beats += 1
        state = self.state
        body = {
            "address": "{}:{}".format(*self.fleet.application(self.machine)),
            "details": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "capacity": self.capacity,
            },
            "status": {"state": state, "callCount": self._beats, "coldLeft": "0ms"},
        }
        request = render(
            "PUT", f"/servers/{self.id}", "Content-Type: application/json\r\n", json.dumps(body).encode()
        )
        answer = await call(self.fleet.control(self.machine), request, SILENCE_S)
        taken = answer is not None and 200 <= answer.status < 300
        self.record.write(f"beat {self._beats} of {self.id} ({state}): {answer and answer.status}")
        if taken:
            self.acknowledged.append((self.record.now(), state))

    async def sign_off(self) -> None:
        answer = await call(
            self.fleet.control(self.machine), render("DELETE", f"/servers/{self.id}"), SILENCE_S
        )
        self.record.write(f"{self.id} signs off: {answer and answer.status}", tell=True)

    async def end(self) -> None:
        """The server's process ends: its connections close."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        self.record.write(f"{self.id} has ended, {self._running} requests were running", tell=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                await self._answer(first, fields, body, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, first: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id, path = fields.get("attempt-id", ""), first.split()[1]
        if path == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nServer-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        wrong = fields.get("target-server", self.id) != self.id
        full = self._running >= self.capacity
        ran = not wrong and not full
        self.arrivals.append(Arrival(self.record.now(), attempt_id, path, len(body), ran))
        self.record.write(f"{attempt_id} reaches {self.id}, {len(body)} bytes, {'run' if ran else 'not run'}")
        if not ran:
            status = "421 Misdirected Request" if wrong else "503 Service Unavailable"
            head = f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\nNot-Run: 1\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        text = f"done by {self.id}\n".encode()
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: {self.id}\r\n"
        head += f"Server-Load: {self._running},0,{self.capacity}\r\nContent-Length: {len(text)}\r\n\r\n"
        writer.write(head.encode() + text)


@dataclass(eq=False)
class Clients:
    """Clients of one machine, with one request every interval_s; each gets one try."""

    fleet: Fleet
    machine: Machine
    path: str
    interval_s: float
    method: str = "GET"
    body: bytes = b""
    time_left_ms: int = 1000
    answers: dict[str, tuple[float, float, int]] = field(default_factory=dict)  # sent, answered, status or 0
    _count: int = 0
    _sending: asyncio.Task[None] | None = None
    _open: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        self._sending = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        while True:
            task = asyncio.create_task(self.send_one())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            await asyncio.sleep(self.interval_s)

    async def send_one(self) -> None:
        self._count += 1
        attempt_id = f"{self.machine.name}-{self.path.strip('/').replace('/', '.')}-{self._count}"
        fields = f"Attempt-Id: {attempt_id}\r\nTime-Left: {self.time_left_ms}\r\n"
        sent = self.fleet.record.now()
        request = render(self.method, self.path, fields, self.body)
        answer = await call(self.fleet.outbound(self.machine), request, self.time_left_ms / 1000.0)
        status = answer.status if answer is not None else 0
        self.answers[attempt_id] = (sent, self.fleet.record.now(), status)
        self.fleet.record.write(
            f"{attempt_id} sent at {sent:.3f} to {self.machine.name}: {status or 'no answer'}"
        )

    async def stop(self) -> None:
        if self._sending is not None:
            self._sending.cancel()
        if self._open:
            await asyncio.wait(self._open, timeout=5.0)


@dataclass(eq=False)
class Operator:
    """The operator: it turns to another node after a second of silence, a 5xx, a 408 or a 429."""

    fleet: Fleet

    async def send(self, node: Machine, method: str, path: str, body: bytes = b"") -> Answer | None:
        """Sends an order to one node; None without an answer in a second."""
        self.fleet.record.write(f"order {method} {path} sent to {node.name}", tell=True)
        fields = "Content-Type: application/json\r\n" if body else ""
        request = render(method, path, fields, body)
        answer = await call(self.fleet.control(node), request, SILENCE_S)
        told = answer.status if answer is not None else "no answer"
        self.fleet.record.write(f"order {method} {path} at {node.name}: {told}", tell=True)
        return answer

    async def order(self, method: str, path: str, body: bytes = b"", first: Machine | None = None) -> float:
        """Sends an order until it is acknowledged; returns when it was.  first: the first node asked."""
        nodes = [first] if first is not None else []
        nodes += [machine for machine in self.fleet.core if machine is not first]
        pause = 0.1
        for node in nodes * 6:
            answer = await self.send(node, method, path, body)
            if answer is not None and 200 <= answer.status < 300:
                return self.fleet.record.now()
            if answer is not None and answer.status in (400, 409, 412, 413, 422):
                break
            await asyncio.sleep(pause)
            pause *= 1.5
        raise CannotRunError(f"{method} {path} was not acknowledged")

    async def configure(self, routes: dict[str, dict[str, object]]) -> float:
        """The first call: all items, sent until it is taken."""
        return await self.order("PATCH", "/config", configuration(routes))


def configuration(routes: dict[str, dict[str, object]]) -> bytes:
    """The body of the first call: routes, their services and the limits."""
    services = {str(route["service"]) for route in routes.values()}
    items = {
        "routes": {name: {"version": "00000001", **route} for name, route in routes.items()},
        "services": {
            name: {
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tlsMode": False,
                "coldStart": "3s",
                "coldPerS": 21.0,
                "version": "00000001",
            }
            for name in sorted(services)
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerWait": "3000ms",
            "idle": "15000ms",
            "version": "00000001",
        },
    }
    return json.dumps({"addOrReplace": items, "remove": {"routes": []}}).encode()


async def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.05)
            return
    raise CannotRunError(f"not in time: {what}")
