"""The machines of a soak: their processes, the servers beside data-plane nodes, and the log of the faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bench.bulk import ANSWER_BYTES_HEADER, is_pattern, pattern_bytes
from bench.soak.clients import KeepAliveClient
from leadrudder.emulation.standins import Clients, Server, ServerConnection
from leadrudder.transport.http import BufferedHttpMessage


class InvariantError(Exception):
    """An invariant of the soak is violated."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server.  sender: the host of the machine where its client is."""

    at: float
    attempt_id: str

    @property
    def sender(self) -> str:
        """Attempt ids are KIND-HOST-NUMBER, with a number of the client before it for some kinds."""
        return self.attempt_id.split("-")[1]


class ObservedServer(Server):
    """A server that records when requests reach it.

    It runs a part of its requests without ever responding, while `drop_fraction` is set.
    """

    drop_fraction = 0.0  # of requests

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self.arrivals: list[Arrival] = []
        self.damaged_ids: set[str] = set()  # attempts whose large body was not as its client sent it

    def handle(self, message: BufferedHttpMessage, connection: ServerConnection) -> None:
        if message.headers.get(b"target-server", b"").decode() in ("", self.id):
            attempt_id = message.headers.get(b"attempt-id", b"").decode()
            self.arrivals.append(Arrival(asyncio.get_running_loop().time(), attempt_id))
            if ANSWER_BYTES_HEADER in message.headers and not is_pattern(message.body):
                self.damaged_ids.add(attempt_id)
        super().handle(message, connection)

    def _response_body(self, message: BufferedHttpMessage) -> bytes:
        return pattern_bytes(int(message.headers.get(ANSWER_BYTES_HEADER, b"5")))

    def _run(self, message: BufferedHttpMessage, answer: Callable[[bytes], None]) -> None:
        dropped = self.rng.random() < self.drop_fraction
        super()._run(message, (lambda data: None) if dropped else answer)


@dataclass(eq=False)
class Machine:
    """A machine with one process of the mesh.  service: empty on a control machine."""

    host: str
    zone: int
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    stopped_on_purpose: bool = False  # its process was stopped on purpose
    paused: bool = False
    server: ObservedServer | None = None
    clients: Clients | None = None
    keep_alive_clients: list[KeepAliveClient] = field(default_factory=list)
    exit_times: list[float] = field(default_factory=list)  # when its processes exited, for whatever reason
    start_count: int = 0
    log_offset: int = 0  # in bytes, of the present process in the machine's log file

    @property
    def zone_name(self) -> str:
        return f"z{self.zone}"

    @property
    def role(self) -> str:
        return "station" if self.service else "signalbox"


@dataclass(slots=True)
class Log:
    """The injected faults with their times, to find the cause of a violated invariant."""

    started_at: float
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        now = asyncio.get_running_loop().time() - self.started_at
        self.lines.append(f"{now:8.3f} s  {text}")
