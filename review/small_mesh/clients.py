"""Clients of one machine: requests at a steady rate, each with an id of its own, on kept connections."""

from __future__ import annotations

import http.client
import queue
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from small_mesh.operator import Address
from small_mesh.record import Record

LONGEST_REST_S = 10.0  # of a connection that is taken up again; four fifths of `idle` at most


@dataclass(frozen=True)
class Answered:
    """A request and its answer.  Times of time.monotonic().

    status: 0 if there was none; closed: the connection ended without an answer.
    """

    attempt_id: str
    sent_at: float
    ended_at: float
    status: int
    closed: bool


@dataclass
class Clients:
    """per_s: requests a second; workers: how many may be open; patience_s: how long each waits."""

    outbound: Address
    record: Record
    name: str
    per_s: float
    method: str = "GET"
    host: str = "host.example"
    path: str = "/a/x"
    workers: int = 60
    time_left_ms: int = 1000
    patience_s: float = 3.0
    answered: list[Answered] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._due: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._work, daemon=True) for _ in range(self.workers)]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()
        threading.Thread(target=self._pace, daemon=True).start()

    def stop(self) -> None:
        """Send nothing more, and wait for the open answers."""
        self._stopped.set()
        for _ in self._threads:
            self._due.put(None)
        for thread in self._threads:
            thread.join(self.patience_s + 1.0)

    def statuses(self, since: float = 0.0) -> Counter[int]:
        return Counter(each.status for each in list(self.answered) if each.sent_at >= since)

    def _pace(self) -> None:
        number, due_at = 0, time.monotonic()
        while not self._stopped.is_set():
            number += 1
            self._due.put(f"{self.name}-{number}")
            due_at += 1.0 / self.per_s
            time.sleep(max(0.0, due_at - time.monotonic()))

    def _work(self) -> None:
        connection: http.client.HTTPConnection | None = None
        ended_at = 0.0
        while (attempt_id := self._due.get()) is not None:
            if connection is not None and time.monotonic() - ended_at > LONGEST_REST_S:
                connection.close()
                connection = None
            if connection is None:
                connection = http.client.HTTPConnection(*self.outbound, timeout=self.patience_s)
            sent_at = time.monotonic()
            status, keep = self._ask(connection, attempt_id)
            ended_at = time.monotonic()
            closed = status == 0 and ended_at - sent_at < self.patience_s
            self.answered.append(Answered(attempt_id, sent_at, ended_at, status, closed))
            if not keep:
                connection.close()
                connection = None

    def _ask(self, connection: http.client.HTTPConnection, attempt_id: str) -> tuple[int, bool]:
        fields = {"Host": self.host, "Attempt-Id": attempt_id, "Time-Left": str(self.time_left_ms)}
        try:
            connection.request(self.method, self.path, b"" if self.method == "POST" else None, fields)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return 0, False
        return response.status, not response.will_close
