"""The clients of the front tier: their requests, retries and departures, and connections with invalid input.

Clients follow the protocol: a new request ID for every attempt, two retries after a pause, retries of unsafe
operations only after a refusal, retries of keyed ones only while their key is certain to be remembered.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import cast

from leadrudder.simulation.framing import WireMessage, encode_request
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, VirtualTransport
from leadrudder.simulation.oracle import Oracle
from leadrudder.simulation.scheduler import US_PER_S
from leadrudder.simulation.site import REQUEST_CLASSES, TENANTS, Site
from leadrudder.simulation.standins.client import ClientCall, NodeClient

MAX_RETRIES = 2
CLASS_SHARES = (0.1, 0.48, 0.42)  # of the request classes
SLOW_READ_S = 1.5
LARGE_BODY_SHARE = 0.01
LARGE_BODY_BYTES = 50_000
READY_POLL_S = 0.1  # between two readiness checks of a started node


@dataclass
class CallerBehaviour:
    """How callers currently behave; shares are of their operations."""

    rate_factor: float = 1.0  # on the usual arrival rate
    leave_share: float = 0.0
    malformed_share: float = 0.0
    same_id_share: float = 0.0
    pipeline_share: float = 0.0
    slow_reader_share: float = 0.0


@dataclass(slots=True, eq=False)
class Operation:
    """One operation with all its attempts."""

    class_name: str
    path: str
    key: str
    tenant: str
    started_us: int
    attempts: int = 0


class FrontBalancer:
    """The load balancer before the nodes; it uses a node once its /ready has answered 200."""

    def __init__(self) -> None:
        self.ready_nodes: dict[str, Address] = {}

    def choose(self, rng: random.Random) -> tuple[str, Address] | None:
        return rng.choice(list(self.ready_nodes.items())) if self.ready_nodes else None


class Callers:
    """All clients, in one process."""

    def __init__(
        self, loop: VirtualLoop, oracle: Oracle, site: Site, front: FrontBalancer, seed: str
    ) -> None:
        self.loop = loop
        self.oracle = oracle
        self.site = site
        self.front = front
        self.behaviour = CallerBehaviour()
        self.open_operations = 0  # those that wait for a response or a retry
        self._rng = random.Random(f"{seed}/callers")
        self._clients: dict[Address, NodeClient] = {}
        self._operation_count = 0
        self._arriving = False
        self._deadlines = {p["name"]: p["deadlineMs"] / 1000.0 for p in site.profiles()}

    # ------------------------------------------------------------ arrivals

    def start(self) -> None:
        self._arriving = True
        self._schedule_arrival()

    def stop(self) -> None:
        """Starts no more operations and closes idle connections."""
        self._arriving = False
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _schedule_arrival(self) -> None:
        rate = self.site.requests_per_s * self.behaviour.rate_factor
        self.loop.call_later(self._rng.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        if not self._arriving:
            return
        self._schedule_arrival()
        rng, behaviour = self._rng, self.behaviour
        if rng.random() < behaviour.malformed_share:
            self._send_raw(self._malformed_bytes())
            return
        if rng.random() < behaviour.pipeline_share:
            self._send_raw(b"".join(self._request(self._operation())[0] for _ in range(rng.randint(2, 20))))
            return
        if rng.random() < behaviour.slow_reader_share:
            self._send_raw(self._request(self._operation())[0], slow=True)
            return
        self.open_operations += 1
        self._attempt(self._operation())

    def _operation(self) -> Operation:
        rng = self._rng
        self._operation_count += 1
        class_name = rng.choices(REQUEST_CLASSES, CLASS_SHARES)[0]
        tenant = rng.choices([t[0] for t in TENANTS], [t[1] for t in TENANTS])[0]
        return Operation(
            class_name,
            f"/api/{class_name}-{self._operation_count}",
            f"k{self._operation_count}",
            tenant,
            self.loop.scheduler.now,
        )

    def _request(self, operation: Operation) -> tuple[bytes, float]:
        rng = self._rng
        timeout = self._deadlines[operation.class_name] * rng.uniform(0.5, 0.8)
        headers = {
            "X-Request-Id": f"{rng.getrandbits(64):016x}",
            "X-Class": operation.class_name,
            "X-Tenant": operation.tenant,
            "X-Deadline": f"{timeout:.3f}",
        }
        if operation.class_name == "siirto":
            headers["Idempotency-Key"] = operation.key
        if operation.attempts:
            headers["X-Retry"] = "1"
        if rng.random() < 0.5:
            headers["X-Cost-Hint"] = f"{rng.uniform(0.5, 2.0) * self.site.mean_work_ms * 1000:.0f}"
        if operation.class_name == "haku":
            return encode_request("GET", operation.path, headers), timeout
        size = LARGE_BODY_BYTES if rng.random() < LARGE_BODY_SHARE else rng.randrange(200)
        return encode_request("POST", operation.path, headers, b"x" * size), timeout

    def _with_same_id(self, data: bytes) -> bytes:
        """A different request with the same ID; a safe one, since it may arrive after the first has ended."""
        request_id = data.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        self._operation_count += 1
        headers = {
            "X-Request-Id": request_id,
            "X-Class": "haku",
            "X-Tenant": TENANTS[0][0],
            "X-Deadline": "2.000",
        }
        return encode_request("GET", f"/api/haku-{self._operation_count}", headers)

    # ------------------------------------------------------------ attempts

    def _attempt(self, operation: Operation) -> None:
        if not self._arriving:
            self._finish()
            return
        chosen = self.front.choose(self._rng)
        if chosen is None:
            self._retry_later(operation, 0.2)
            return
        operation.attempts += 1
        data, timeout = self._request(operation)
        client = self._clients.get(chosen[1])
        if client is None:
            client = self._clients[chosen[1]] = NodeClient(self.loop, chosen[1])
        call = client.send(
            data, timeout, lambda message, reason: self._on_response(operation, message, reason)
        )
        if self.behaviour.same_id_share and self._rng.random() < self.behaviour.same_id_share:
            self.loop.spawn(self._open_raw(chosen[1], self._with_same_id(data), False))
        if self._rng.random() < self.behaviour.leave_share:
            self.loop.call_later(self._rng.random() * 0.3, client.abandon, call, "left")

    def _on_response(self, operation: Operation, message: WireMessage | None, reason: str) -> None:
        outcome = str(message.status) if message is not None else reason
        self.oracle.count(f"client_{outcome}")
        if message is not None and message.status == 200:
            self.oracle.count("served")
            self._finish()
        elif reason == "left":
            self._finish()
        elif message is not None and message.status in (429, 503):
            wait = float(message.headers.get("retry-after", "0.05"))
            self._retry_later(operation, wait * self._rng.uniform(1.0, 1.5) + 0.01)
        elif reason == "refused" or self._may_retry(operation):
            self._retry_later(operation, self._rng.uniform(0.1, 0.4))
        else:
            self._finish()

    def _may_retry(self, operation: Operation) -> bool:
        """Whether a retry after a failure is harmless; a key must outlive the whole next attempt."""
        if operation.class_name == "haku":
            return True
        if operation.class_name == "varaus" or self.site.dedup_group != "all":
            return False
        next_us = (self._deadlines[operation.class_name] + 0.5) * US_PER_S
        return bool(
            self.loop.scheduler.now + next_us < operation.started_us + self.site.dedup_window_ms * 1000
        )

    def _retry_later(self, operation: Operation, wait_s: float) -> None:
        if operation.attempts > MAX_RETRIES or not self._arriving:
            self._finish()
            return
        if operation.class_name == "siirto" and not self._may_retry(operation) and operation.attempts:
            self._finish()
            return
        if not operation.attempts and self.loop.scheduler.now - operation.started_us > 3 * US_PER_S:
            self._finish()  # no node was ready for 3 s
            return
        self.loop.call_later(wait_s, self._attempt, operation)

    def _finish(self) -> None:
        self.open_operations -= 1

    def await_ready(self, name: str, address: Address) -> None:
        """Polls a started node's /ready until it is ready, then adds it to the front."""
        client = NodeClient(self.loop, address)

        def check() -> ClientCall:
            return client.send(encode_request("GET", "/ready", {}), 1.0, on_response)

        def on_response(message: WireMessage | None, _: str) -> None:
            if message is not None and message.status == 200:
                client.close()
                self.front.ready_nodes[name] = address
            elif self._arriving:
                self.loop.call_later(READY_POLL_S, check)

        check()

    # ------------------------------------------------------------ invalid and slow clients

    def _malformed_bytes(self) -> bytes:
        rng = self._rng
        good = self._request(self._operation())[0]
        return rng.choice(
            (
                good[: rng.randrange(len(good))],
                b"\x16\x03\x01garbage" * 10,
                good.replace(b"X-Class", b"X-Klass"),
                good.replace(b"HTTP/1.1", b"HTTP/9.9"),
                b"GET / HTTP/1.1\r\n" + b"A: " + b"b" * 20_000 + b"\r\n\r\n",
                good.replace(b"X-Deadline: ", b"X-Deadline: -"),
                b"POST /api/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                b"",
            )
        )

    def _send_raw(self, data: bytes, *, slow: bool = False) -> None:
        chosen = self.front.choose(self._rng)
        if chosen is not None:
            self.loop.spawn(self._open_raw(chosen[1], data, slow))

    async def _open_raw(self, address: Address, data: bytes, slow: bool) -> None:
        stay_s = self._rng.uniform(0.05, 4.0)
        try:
            _, protocol = await self.loop.create_connection(
                lambda: _RawConnection(self.loop, data, stay_s, slow), *address
            )
        except OSError:
            return
        assert isinstance(protocol, _RawConnection)


class _RawConnection(asyncio.Protocol):
    """A connection that writes the given bytes and is aborted after a while."""

    def __init__(self, loop: VirtualLoop, data: bytes, stay_s: float, slow: bool) -> None:
        self._loop = loop
        self._data = data
        self._stay_s = stay_s
        self._slow = slow

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(VirtualTransport, transport)
        self._transport.write(self._data)
        if self._slow:
            self._transport.pause_reading()
            self._loop.call_later(SLOW_READ_S, self._transport.resume_reading)
            self._stay_s += SLOW_READ_S
        self._loop.call_later(self._stay_s, self._transport.abort)
