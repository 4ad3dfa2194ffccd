"""A simulated server: a queue, one core, effects, and the ways in which real servers respond badly.

It accepts a request once it is complete, deduplicates keyed requests with its group, and calls the next tier
through its sidecar node.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from leadrudder.simulation.framing import WireMessage, WireParser, encode_request, encode_response
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, VirtualTransport
from leadrudder.simulation.oracle import Oracle
from leadrudder.simulation.scheduler import US_PER_S
from leadrudder.simulation.standins.client import NodeClient
from leadrudder.simulation.standins.reports import LoadReporter

COLD_START_SHARE = 0.3  # of the full capacity, right after the start
MAX_COLD_LOAD_MULTIPLE = 4.0
COLD_LOAD_WINDOW_US = US_PER_S
KEY_MEMORY_SLACK_US = US_PER_S  # servers remember keys longer than promised
LARGE_BODY_SHARE = 0.01  # of the responses, with a large body
LARGE_BODY_BYTES = 60_000
ANNOUNCED_CLOSE_DELAY_S = 0.3  # from a response with Connection: close to the close
NOT_RUN_HEADER = "X-Not-Run: 1\r\n"


@dataclass
class ServerFaults:
    """The current faults of a server; shares are of its responses."""

    slowdown: float = 1.0
    full: bool = False
    error_share: float = 0.0
    malformed_share: float = 0.0
    surplus_share: float = 0.0
    unmarked_share: float = 0.0
    announced_close_share: float = 0.0
    hanging: bool = False
    close_after_answer: bool = False
    draining: bool = False


@dataclass
class KeyMemory:
    """The keyed operations that one deduplication group of servers has run.

    tier_wide: the same over all groups of the tier, unknown to the servers; an operation that runs in two
    groups has run twice.
    """

    window_us: int
    tier_wide: dict[str, int]
    first_seen_us: dict[str, int] = field(default_factory=dict)

    def is_repeat(self, key: str, now_us: int) -> bool:
        """Whether the operation is a repeat to drop; otherwise remembers it from now on."""
        first = self.first_seen_us.get(key)
        if first is not None and now_us - first <= self.window_us + KEY_MEMORY_SLACK_US:
            return True
        self.first_seen_us[key] = now_us
        return False

    def ran_elsewhere(self, key: str, now_us: int) -> bool:
        """Whether another group ran the operation within the window; records that this group has now."""
        first = self.tier_wide.get(key)
        self.tier_wide[key] = now_us
        return first is not None and now_us - first <= self.window_us


@dataclass(slots=True, eq=False)
class Job:
    """An accepted request."""

    message: WireMessage
    connection: ServerConnection
    work_ms: float
    repeat: bool
    deadline_us: int  # when its caller stops waiting
    inner_calls_left: int = 0  # calls to the next tier


class ServerConnection(asyncio.Protocol):
    """One connection of a node to the server."""

    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self._parser = WireParser(responses=False)
        self._idle_timer: asyncio.TimerHandle | None = None
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)
        self._server.connections[self] = None
        self.release()

    def release(self) -> None:
        """Marks the connection idle; it is closed after the idle timeout."""
        self._cancel_idle()
        self._idle_timer = self._server.loop.call_later(self._server.idle_s, self.transport.close)

    def _cancel_idle(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def data_received(self, data: bytes) -> None:
        self._cancel_idle()
        for message in self._parser.feed(data):
            self._server.receive_request(message, self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_idle()
        self._server.connections.pop(self, None)


class StandInServer:
    """One server process."""

    def __init__(
        self,
        loop: VirtualLoop,
        oracle: Oracle,
        *,
        tier: int,
        name: str,
        address: Address,
        started_us: int,
        cold_us: int,
        speed: float,
        queue: int,
        idle_s: float,
        work_ms: float,
        effects: dict[str, str],
        keys: KeyMemory,
        inner: Address | None,
        reports: str,
        seed: str,
    ) -> None:
        self.loop = loop
        self.oracle = oracle
        self.tier = tier
        self.name = name
        self.address = address
        self.started_us = started_us
        self.cold_us = cold_us
        self.speed = speed
        self.idle_s = idle_s
        self.faults = ServerFaults()
        self.connections: dict[ServerConnection, None] = {}
        self._queue_limit = queue
        self._mean_work_ms = work_ms
        self._effects = effects
        self._keys = keys
        self._inner = NodeClient(loop, inner) if inner is not None else None
        self._rng = random.Random(f"{seed}/server/{name}/{started_us}")
        self._queue: deque[Job] = deque()
        self._running = 0
        self._open_jobs = 0  # started and not answered
        self._recent_arrivals: deque[tuple[int, float]] = deque()  # time and work, within the window
        self._recent_work_ms = 0.0
        self._overload_reported = False
        self._response_count = 0
        self._reporter = LoadReporter.draw(reports, f"{seed}/server/{name}/{started_us}")
        loop.network.listen(loop, lambda: ServerConnection(self), address)

    # ------------------------------------------------------------ requests

    def receive_request(self, message: WireMessage, connection: ServerConnection) -> None:
        """Accepts or refuses a complete request."""
        if message.target == "/health":
            connection.transport.write(encode_response(503 if self.faults.draining else 200))
            connection.release()
            return
        # Heavy work is rare; it depends on the operation, so that a repeat is as heavy as the first attempt.
        weight = random.Random(f"{message.target}/{self.tier}").expovariate(1.0)
        work = self._mean_work_ms * (0.2 + 0.8 * min(weight, 5.0))
        self._check_cold_load(work)
        if self.faults.draining or self.faults.full or len(self._queue) >= self._queue_limit:
            connection.transport.write(encode_response(503, headers=NOT_RUN_HEADER))
            connection.release()
            return
        now = self.loop.scheduler.now
        left = float(message.headers.get("x-deadline", "3"))
        key = message.headers.get("idempotency-key")
        repeat = key is not None and self._keys.is_repeat(key, now)
        if key is not None and not repeat and self._keys.ran_elsewhere(key, now):
            self.oracle.keyed_repeat_ran(self.tier, message.target, self.name)
        self._queue.append(Job(message, connection, work, repeat, now + int(left * US_PER_S)))
        self._start_jobs()

    def _check_cold_load(self, work_ms: float) -> None:
        """Checks rule 4: the work that all nodes together send to a cold server."""
        now = self.loop.scheduler.now
        age = now - self.started_us
        if age >= self.cold_us:
            return
        self._recent_arrivals.append((now, work_ms))
        self._recent_work_ms += work_ms
        while self._recent_arrivals[0][0] < now - COLD_LOAD_WINDOW_US:
            self._recent_work_ms -= self._recent_arrivals.popleft()[1]
        share = COLD_START_SHARE + (1.0 - COLD_START_SHARE) * age / self.cold_us
        capacity_ms = self.speed * share * COLD_LOAD_WINDOW_US / 1000.0
        if self._recent_work_ms > MAX_COLD_LOAD_MULTIPLE * capacity_ms and not self._overload_reported:
            self._overload_reported = True
            self.oracle.report(
                "cold-pushed",
                f"{self.name}, {age // 1000} ms after its start, was sent {self._recent_work_ms:.0f} ms"
                f" of work within a second, and can do {capacity_ms:.0f}",
            )

    # ------------------------------------------------------------ work

    def _start_jobs(self) -> None:
        while self._queue and not self._running and not self.faults.hanging:
            job = self._queue.popleft()
            self._open_jobs += 1
            if self.loop.scheduler.now >= job.deadline_us:
                self._open_jobs -= 1
                job.connection.transport.write(encode_response(504, headers=NOT_RUN_HEADER))
                job.connection.release()
                continue
            self._running += 1
            self._start_job(job)

    def _start_job(self, job: Job) -> None:
        headers = job.message.headers
        operation = job.message.target
        if not job.repeat:
            self.oracle.effect_started(
                self.tier, operation, headers.get("x-class", _class_of(job.message)), self.name
            )
        span = job.work_ms * self.faults.slowdown / (self.speed * self._capacity_share())
        self._reporter.record_busy(int(1000.0 * span))
        self.loop.call_later(span / 1000.0, self._on_work_done, job)

    def _capacity_share(self) -> float:
        age = self.loop.scheduler.now - self.started_us
        return (
            1.0 if age >= self.cold_us else COLD_START_SHARE + (1.0 - COLD_START_SHARE) * age / self.cold_us
        )

    def _on_work_done(self, job: Job) -> None:
        """Calls the next tier after the server's own work, if there is one; the core is free meanwhile."""
        self._running -= 1
        if self._inner is not None and not job.repeat:
            job.inner_calls_left = self._rng.choice((0, 1, 1, 2))
        self._call_next_tier(job)
        self._start_jobs()

    def _call_next_tier(self, job: Job) -> None:
        budget_us = job.deadline_us - self.loop.scheduler.now
        if self._inner is None or not job.inner_calls_left:
            self._answer(job, 200)
            return
        if budget_us < 10_000:
            self._answer(job, 500)
            return
        job.inner_calls_left -= 1
        name = _class_of(job.message)
        effect = self._effects[name]
        headers = {
            "X-Request-Id": f"{self._rng.getrandbits(64):016x}",
            "X-Class": name,
            "X-Tenant": "kampaamo",
            "X-Deadline": f"{budget_us / US_PER_S:.3f}",
        }
        if effect == "keyed":
            headers["Idempotency-Key"] = f"{job.message.headers['idempotency-key']}.{job.inner_calls_left}"
        data = encode_request(
            "GET" if effect == "safe" else "POST", f"{job.message.target}.{job.inner_calls_left}", headers
        )
        self._inner.send(data, budget_us / US_PER_S, lambda message, _: self._on_inner_response(job, message))

    def _on_inner_response(self, job: Job, message: WireMessage | None) -> None:
        if message is not None and message.status == 200:
            self._call_next_tier(job)
        else:
            self._answer(job, 500)

    # ------------------------------------------------------------ responses

    def _answer(self, job: Job, status: int) -> None:
        self._open_jobs -= 1
        transport, faults, rng = job.connection.transport, self.faults, self._rng
        if transport.is_closing():
            return
        if rng.random() < faults.error_share:
            status = 500
        elif faults.unmarked_share and rng.random() < faults.unmarked_share:
            status = 503  # as from a gateway in between: says nothing about whether the request ran
        announces_close = faults.announced_close_share > 0.0 and rng.random() < faults.announced_close_share
        self._response_count += 1
        body = f"{job.message.target} {self.name} {self._response_count} ".encode()
        if rng.random() < LARGE_BODY_SHARE:
            body += b"." * (LARGE_BODY_BYTES - len(body))
        headers = self._reporter.load_header(self.loop.scheduler.now, self._open_jobs)
        if announces_close:
            headers += "Connection: close\r\n"
        data = encode_response(status, body if status == 200 else b"", headers)
        if rng.random() < faults.malformed_share:
            transport.write(_malform(data, rng))
            transport.close()
            return
        if rng.random() < faults.surplus_share:
            data += rng.choice(
                (encode_response(200, b"surplus"), b"\r\n", b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nab")
            )
        transport.write(data)
        if faults.close_after_answer:
            transport.close()
        elif announces_close:
            self.loop.call_later(ANNOUNCED_CLOSE_DELAY_S, transport.close)
        else:
            job.connection.release()

    # ------------------------------------------------------------ control

    def close_idle(self) -> None:
        """Closes idle connections to the next tier."""
        if self._inner is not None:
            self._inner.close()

    def resume(self) -> None:
        """Ends a hang and resumes work."""
        self.faults.hanging = False
        self._start_jobs()

    def busy(self) -> bool:
        return bool(self._queue or self._running)


def _malform(data: bytes, rng: random.Random) -> bytes:
    """Turns a response into an invalid one."""
    variants: tuple[Callable[[], bytes], ...] = (
        lambda: data[: int(rng.random() * len(data))],
        lambda: b"\x00\x01garbage" + data,
        lambda: data.replace(b"Content-Length: ", b"Content-Length: 9", 1),
        lambda: data.replace(b"Content-Length", b"Content-Longth", 1),
        lambda: data.replace(b"HTTP/1.1 200", b"HTTP/1.1 2x0", 1),
    )
    return rng.choice(variants)()


def _class_of(message: WireMessage) -> str:
    """The request class, taken from the path as the callers build it, since nodes need not forward it."""
    return message.target.rsplit("/", 1)[-1].split("-", 1)[0]
