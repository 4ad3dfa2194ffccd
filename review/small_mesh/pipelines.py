"""Clients that send more safe requests before the first one has its answer, on connections that they keep."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from small_mesh.operator import Address


@dataclass
class PipelineClient:
    """One client.  Answers come in the order of its requests."""

    outbound: Address
    name: str
    path: str
    host: str = "host.example"
    time_left_ms: int = 1000
    sent: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    unanswered: list[tuple[str, float]] = field(
        default_factory=list
    )  # by a closed connection; how long it took

    def __post_init__(self) -> None:
        self._connection: socket.socket | None = None
        self._open: list[
            tuple[str, float]
        ] = []  # requests of the present connection, and when they were sent

    def send(self, requests: int) -> None:
        """Send so many requests at once."""
        if self._connection is None:
            self._connection = socket.create_connection(self.outbound, timeout=1.0)
            self._connection.settimeout(None)
            self._open = []
            threading.Thread(target=self._read, args=(self._connection, self._open), daemon=True).start()
        data = b""
        for _ in range(requests):
            self.sent += 1
            attempt_id = f"{self.name}-{self.sent}"
            self._open.append((attempt_id, time.monotonic()))
            head = f"GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\nAttempt-Id: {attempt_id}\r\n"
            data += f"{head}Time-Left: {self.time_left_ms}\r\n\r\n".encode()
        with suppress(OSError):
            self._connection.sendall(data)

    def without_answer(self) -> list[tuple[str, float]]:
        """Requests that have no answer, and for how long."""
        now = time.monotonic()
        return [*self.unanswered, *((attempt_id, now - sent_at) for attempt_id, sent_at in list(self._open))]

    def _read(self, connection: socket.socket, waiting: list[tuple[str, float]]) -> None:
        with suppress(OSError), connection.makefile("rb") as stream:
            while line := stream.readline():
                length = 0
                while field_line := stream.readline().strip().lower():
                    if field_line.startswith(b"content-length:"):
                        length = int(field_line.partition(b":")[2])
                stream.read(length)
                self.statuses[int(line.split()[1])] += 1
                waiting.pop(0)
        now = time.monotonic()
        self.unanswered += [(attempt_id, now - sent_at) for attempt_id, sent_at in waiting]
        waiting.clear()
        if self._connection is connection:
            self._connection = None
        connection.close()
