"""An application server beside a node: HTTP/1.1, heartbeats, a cold time and a planned end.

It runs in threads of the script. It answers with Attempt-Id and Server-Seal, with 421 and
Not-Run where Target-Server names another server, and with 503 and Not-Run where it is full.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

from small_mesh.operator import Address, Reply, call_once
from small_mesh.record import Record

BEAT_TIMEOUT_S = 1.0
QUEUE_PER_SLOT = 4
MAX_HEAD_BYTES = 64 * 1024


@dataclass(frozen=True)
class Run:
    """One request that the server has begun to work on.  at: seconds of time.monotonic()."""

    attempt_id: str
    at: float


@dataclass
class Server:
    """One life of a server.

    work_s: the time that a request takes; tail_work_s: that of each tail_every-th request, if not 0.
    """

    id: str
    service: str
    zone: str
    address: Address
    node: Address  # where its beats go
    record: Record
    capacity: int = 9
    work_s: float = 0.06
    tail_every: int = 0
    tail_work_s: float = 0.0
    cold_until: float = 0.0
    runs: list[Run] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)  # ids of requests that were at work when it ended
    call_count: int = 0

    def __post_init__(self) -> None:
        self._slots = threading.Semaphore(self.capacity)
        self._present = 0
        self._working: set[str] = set()
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._ended = False
        self._listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    # ------------------------------------------------------------ beats

    def compose_beat(self, state: str = "ready") -> bytes:
        """A heartbeat as of now; each has a higher callCount."""
        self.call_count += 1
        cold_ms = max(0, round(1000.0 * (self.cold_until - time.monotonic())))
        details = {"service": self.service, "version": "v1", "zone": self.zone, "capacity": self.capacity}
        status = {"state": state, "callCount": self.call_count, "coldLeft": f"{cold_ms}ms"}
        address = f"{self.address[0]}:{self.address[1]}"
        return json.dumps({"address": address, "details": details, "status": status}).encode()

    def send_beat(self, body: bytes, note: str = "") -> Reply:
        reply = call_once(self.node, "PUT", f"/servers/{self.id}", body, BEAT_TIMEOUT_S)
        if note:
            self.record.note(f"server {self.id}: {note}: {json.loads(body)['status']}: {reply.status}")
        return reply

    def register(self, timeout_s: float = 20.0) -> bool:
        """Send a beat until it is acknowledged."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            if self.send_beat(self.compose_beat()).status == 200:
                self.record.note(f"server {self.id}: registered")
                return True
            time.sleep(0.1)
        return False

    # ------------------------------------------------------------ requests

    def end(self) -> None:
        """The process of the server ends: its listener and connections close."""
        with self._lock:
            self._ended = True
            self.cut = sorted(self._working)
            connections = list(self._connections)
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes up the thread that accepts
        self._listener.close()
        for connection in connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with suppress(OSError, ValueError), connection, connection.makefile("rb") as stream:
            while True:
                line = stream.readline(MAX_HEAD_BYTES).split()
                if len(line) != 3:
                    break
                headers: dict[str, str] = {}
                while (text := stream.readline(MAX_HEAD_BYTES).strip()) != b"":
                    name, _, value = text.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                stream.read(int(headers.get("content-length", "0")))
                connection.sendall(self._answer(headers))
        with self._lock:
            self._connections.discard(connection)

    def _answer(self, headers: dict[str, str]) -> bytes:
        attempt_id = headers.get("attempt-id", "")
        if headers.get("target-server", self.id) != self.id:
            return _render(421, attempt_id, "Not-Run: 1\r\n")
        with self._lock:
            if self._present >= self.capacity * (1 + QUEUE_PER_SLOT):
                return _render(503, attempt_id, "Not-Run: 1\r\n")
            self._present += 1
        try:
            with self._slots:
                return self._work(attempt_id)
        finally:
            with self._lock:
                self._present -= 1

    def _work(self, attempt_id: str) -> bytes:
        with self._lock:
            self.runs.append(Run(attempt_id, time.monotonic()))
            self._working.add(attempt_id)
            is_tail = self.tail_every and len(self.runs) % self.tail_every == 0
        work_s = self.tail_work_s if is_tail else self.work_s
        time.sleep(work_s * (2.0 if time.monotonic() < self.cold_until else 1.0))
        with self._lock:
            self._working.discard(attempt_id)
        return _render(200, attempt_id, f"Server-Seal: {self.id}\r\n", f"{self.id} {attempt_id}\n")

    def ran(self) -> list[Run]:
        with self._lock:
            return list(self.runs)


def _render(status: int, attempt_id: str, fields: str, body: str = "") -> bytes:
    phrase = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}[status]
    head = f"HTTP/1.1 {status} {phrase}\r\nAttempt-Id: {attempt_id}\r\n{fields}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
