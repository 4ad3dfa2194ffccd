"""A stand-in server: a queue, cores, effects, and all the ways in which a real one answers badly.

It begins a request when its last byte has come, drops repeats of keyed requests as its group does, and
calls the tier behind it through a node of its own.
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
from leadrudder.simulation.standins.reports import Reporter

START_SHARE = 0.3  # of its capacity that a cold server has
FALL_MULTIPLE = 4.0
FALL_WINDOW_US = US_PER_S
MEMORY_SLACK_US = US_PER_S  # a server's memory of keys is no shorter than it says
LARGE = 0.01  # part of the answers that fill several windows
LARGE_BODY = 60_000
TOLD_CLOSE_S = 0.3  # between an answer that tells the close and the close
TURNED_AWAY = "X-Not-Run: 1\r\n"


@dataclass
class Trouble:
    """What is wrong with a server now; parts are of its answers."""

    slow: float = 1.0
    full: bool = False
    errors: float = 0.0
    spoilt: float = 0.0
    surplus: float = 0.0
    unmarked: float = 0.0
    close_told: float = 0.0
    hang: bool = False
    close_idle: bool = False
    draining: bool = False


@dataclass
class Keys:
    """Which operations of a keyed class have run, as one group of servers remembers them.

    everywhere: the same of all groups of a tier, which no server knows: what runs in two groups ran twice.
    """

    window_us: int
    everywhere: dict[str, int]
    began: dict[str, int] = field(default_factory=dict)

    def seen(self, key: str, now_us: int) -> bool:
        """Whether this is a repeat that is dropped; else it is remembered from now."""
        first = self.began.get(key)
        if first is not None and now_us - first <= self.window_us + MEMORY_SLACK_US:
            return True
        self.began[key] = now_us
        return False

    def ran_elsewhere(self, key: str, now_us: int) -> bool:
        """Whether another group has run it within the window; from now on, this one has."""
        first = self.everywhere.get(key)
        self.everywhere[key] = now_us
        return first is not None and now_us - first <= self.window_us


@dataclass(slots=True, eq=False)
class Job:
    """A request that was accepted."""

    message: WireMessage
    connection: ServerConnection
    work_ms: float
    repeat: bool
    until_us: int  # its caller waits no longer
    left: int = 0  # calls to the tier behind


class ServerConnection(asyncio.Protocol):
    """One connection of a node's."""

    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self._parser = WireParser(responses=False)
        self._idle_timer: asyncio.TimerHandle | None = None
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)
        self._server.connections[self] = None
        self.rest()

    def rest(self) -> None:
        """An idle connection is closed after a while, at the latest as the settings say."""
        self._cancel_idle()
        self._idle_timer = self._server.loop.call_later(self._server.idle_s, self.transport.close)

    def _cancel_idle(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def data_received(self, data: bytes) -> None:
        self._cancel_idle()
        for message in self._parser.feed(data):
            self._server.take(message, self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_idle()
        self._server.connections.pop(self, None)


class StandInServer:
    """One server's process."""

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
        keys: Keys,
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
        self.trouble = Trouble()
        self.connections: dict[ServerConnection, None] = {}
        self._queue_most = queue
        self._work_ms = work_ms
        self._effects = effects
        self._keys = keys
        self._inner = NodeClient(loop, inner) if inner is not None else None
        self._rng = random.Random(f"{seed}/server/{name}/{started_us}")
        self._queue: deque[Job] = deque()
        self._working = 0
        self._held = 0  # begun and not answered
        self._lately: deque[tuple[int, float]] = deque()  # arrivals and their work within the window
        self._lately_ms = 0.0
        self._fallen = False
        self._made = 0
        self._reporter = Reporter.drawn(reports, f"{seed}/server/{name}/{started_us}")
        loop.network.listen(loop, lambda: ServerConnection(self), address)

    # ------------------------------------------------------------ taking

    def take(self, message: WireMessage, connection: ServerConnection) -> None:
        """A whole request."""
        if message.target == "/health":
            connection.transport.write(encode_response(503 if self.trouble.draining else 200))
            connection.rest()
            return
        # Heavy work is rare, and hangs on the operation: a repeat is as heavy as the first.
        weight = random.Random(f"{message.target}/{self.tier}").expovariate(1.0)
        work = self._work_ms * (0.2 + 0.8 * min(weight, 5.0))
        self._weigh(work)
        if self.trouble.draining or self.trouble.full or len(self._queue) >= self._queue_most:
            connection.transport.write(encode_response(503, headers=TURNED_AWAY))
            connection.rest()
            return
        now = self.loop.scheduler.now
        left = float(message.headers.get("x-deadline", "3"))
        key = message.headers.get("idempotency-key")
        repeat = key is not None and self._keys.seen(key, now)
        if key is not None and not repeat and self._keys.ran_elsewhere(key, now):
            self.oracle.keyed_repeat_ran(self.tier, message.target, self.name)
        self._queue.append(Job(message, connection, work, repeat, now + int(left * US_PER_S)))
        self._work()

    def _weigh(self, work_ms: float) -> None:
        """Rule 4, where it is suffered: what all nodes together send a cold server."""
        now = self.loop.scheduler.now
        age = now - self.started_us
        if age >= self.cold_us:
            return
        self._lately.append((now, work_ms))
        self._lately_ms += work_ms
        while self._lately[0][0] < now - FALL_WINDOW_US:
            self._lately_ms -= self._lately.popleft()[1]
        share = START_SHARE + (1.0 - START_SHARE) * age / self.cold_us
        can_ms = self.speed * share * FALL_WINDOW_US / 1000.0
        if self._lately_ms > FALL_MULTIPLE * can_ms and not self._fallen:
            self._fallen = True
            self.oracle.report(
                "cold-pushed",
                f"{self.name}, {age // 1000} ms after its start, was sent {self._lately_ms:.0f} ms of work"
                f" within a second, and can do {can_ms:.0f}",
            )

    # ------------------------------------------------------------ working

    def _work(self) -> None:
        while self._queue and not self._working and not self.trouble.hang:
            job = self._queue.popleft()
            self._held += 1
            if self.loop.scheduler.now >= job.until_us:
                self._held -= 1
                job.connection.transport.write(encode_response(504, headers=TURNED_AWAY))
                job.connection.rest()
                continue
            self._working += 1
            self._begin(job)

    def _begin(self, job: Job) -> None:
        headers = job.message.headers
        operation = job.message.target
        if not job.repeat:
            self.oracle.effect_started(
                self.tier, operation, headers.get("x-class", _class_of(job.message)), self.name
            )
        span = job.work_ms * self.trouble.slow / (self.speed * self._share())
        self._reporter.worked(int(1000.0 * span))
        self.loop.call_later(span / 1000.0, self._worked, job)

    def _share(self) -> float:
        age = self.loop.scheduler.now - self.started_us
        return 1.0 if age >= self.cold_us else START_SHARE + (1.0 - START_SHARE) * age / self.cold_us

    def _worked(self, job: Job) -> None:
        """Its own work is done: now the tier behind, if there is one. The core is free while that is waited
        for."""
        self._working -= 1
        if self._inner is not None and not job.repeat:
            job.left = self._rng.choice((0, 1, 1, 2))
        self._next_inner(job)
        self._work()

    def _next_inner(self, job: Job) -> None:
        budget_us = job.until_us - self.loop.scheduler.now
        if self._inner is None or not job.left:
            self._answer(job, 200)
            return
        if budget_us < 10_000:
            self._answer(job, 500)
            return
        job.left -= 1
        name = _class_of(job.message)
        effect = self._effects[name]
        headers = {
            "X-Request-Id": f"{self._rng.getrandbits(64):016x}",
            "X-Class": name,
            "X-Tenant": "kampaamo",
            "X-Deadline": f"{budget_us / US_PER_S:.3f}",
        }
        if effect == "keyed":
            headers["Idempotency-Key"] = f"{job.message.headers['idempotency-key']}.{job.left}"
        data = encode_request(
            "GET" if effect == "safe" else "POST", f"{job.message.target}.{job.left}", headers
        )
        self._inner.send(data, budget_us / US_PER_S, lambda message, _: self._inner_done(job, message))

    def _inner_done(self, job: Job, message: WireMessage | None) -> None:
        if message is not None and message.status == 200:
            self._next_inner(job)
        else:
            self._answer(job, 500)

    # ------------------------------------------------------------ answering

    def _answer(self, job: Job, status: int) -> None:
        self._held -= 1
        transport, trouble, rng = job.connection.transport, self.trouble, self._rng
        if transport.is_closing():
            return
        if rng.random() < trouble.errors:
            status = 500
        elif trouble.unmarked and rng.random() < trouble.unmarked:
            status = 503  # of a gateway before it, say: it tells nothing of whether the request ran
        told = trouble.close_told > 0.0 and rng.random() < trouble.close_told
        self._made += 1
        body = f"{job.message.target} {self.name} {self._made} ".encode()
        if rng.random() < LARGE:
            body += b"." * (LARGE_BODY - len(body))
        headers = self._reporter.header(self.loop.scheduler.now, self._held)
        if told:
            headers += "Connection: close\r\n"
        data = encode_response(status, body if status == 200 else b"", headers)
        if rng.random() < trouble.spoilt:
            transport.write(_spoil(data, rng))
            transport.close()
            return
        if rng.random() < trouble.surplus:
            data += rng.choice(
                (encode_response(200, b"surplus"), b"\r\n", b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nab")
            )
        transport.write(data)
        if trouble.close_idle:
            transport.close()
        elif told:
            self.loop.call_later(TOLD_CLOSE_S, transport.close)
        else:
            job.connection.rest()

    # ------------------------------------------------------------ the end

    def close_idle(self) -> None:
        """Keep no idle connection to the tier behind any more."""
        if self._inner is not None:
            self._inner.close()

    def wake(self) -> None:
        """What was hanging goes on."""
        self.trouble.hang = False
        self._work()

    def busy(self) -> bool:
        return bool(self._queue or self._working)


def _spoil(data: bytes, rng: random.Random) -> bytes:
    """An answer that is none."""
    ways: tuple[Callable[[], bytes], ...] = (
        lambda: data[: int(rng.random() * len(data))],
        lambda: b"\x00\x01garbage" + data,
        lambda: data.replace(b"Content-Length: ", b"Content-Length: 9", 1),
        lambda: data.replace(b"Content-Length", b"Content-Longth", 1),
        lambda: data.replace(b"HTTP/1.1 200", b"HTTP/1.1 2x0", 1),
    )
    return rng.choice(ways)()


def _class_of(message: WireMessage) -> str:
    """Nodes need not pass the class on: the path tells it, as callers of this site write it."""
    return message.target.rsplit("/", 1)[-1].split("-", 1)[0]
