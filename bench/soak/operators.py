"""The operators of a soak: they change the configuration throughout and record what was acknowledged.

A response to them may be dropped: the same change is then sent again, to another machine.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.soak.machine import InvariantError, Machine
from bench.soak.world import (
    IDLE_ROUTE_COUNT,
    LONG_REQUEST_SERVICE,
    LONG_REQUESTS,
    REQUEST_KINDS,
    SERVICES,
    World,
)
from leadrudder.transport.http import BufferedHttpMessage

CHANGE_INTERVAL_S = 0.15  # between changes
MAX_CHANGE_ATTEMPTS = 400
RETRY_DELAY_S = 0.1
REMOVAL_FRACTION = 0.1  # of changes
DROPPED_RESPONSE_FRACTION = 0.15  # of responses, while they are dropped


def route_record(
    host: str, path_prefix: str, service: str, *, once: bool, give_up_ms: int, version: int
) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": path_prefix,
        "kind": "unsafe" if once else "safe",
        "giveUp": f"{give_up_ms}ms",
        "target": "400ms",
        "priority": 1,
        "service": service,
        "tries": 2,
        "version": f"{version:08x}",
    }


def initial_configuration() -> dict[str, Any]:
    """Two routes that receive requests, one for bursts of long ones, many for none, and the services."""
    routes = {
        f"r-{kind.host}": route_record(kind.host, "/", service, once=kind.once, give_up_ms=2000, version=1)
        for kind, service in zip(REQUEST_KINDS, SERVICES, strict=True)
    }
    routes[f"r-{LONG_REQUESTS.host}"] = {
        **route_record(
            LONG_REQUESTS.host,
            "/",
            LONG_REQUEST_SERVICE,
            once=LONG_REQUESTS.once,
            give_up_ms=10000,
            version=1,
        ),
        "target": "6000ms",
        "priority": 2,
    }
    for i in range(IDLE_ROUTE_COUNT):
        name = idle_route_name(i)
        routes[name] = route_record(
            f"{name}.example", "/", SERVICES[i % 2], once=False, give_up_ms=2000, version=1
        )
    services = {name: {"maxConnections": 100, "version": "00000001"} for name in SERVICES}
    return {"addOrReplace": {"routes": routes, "services": services}, "remove": {"routes": []}}


def idle_route_name(i: int) -> str:
    return f"idle-{i:03d}"


@dataclass(slots=True)
class AcknowledgedRoute:
    """What a read must return of a route: this version with this content, or a later version."""

    version: int
    content: dict[str, Any] | None  # None: the route was removed


@dataclass(slots=True)
class Operators:
    """acknowledged: the newest acknowledged state of each route, by name."""

    world: World
    rng: Random
    acknowledged: dict[str, AcknowledgedRoute] = field(default_factory=dict)
    sent_removals: dict[str, int] = field(default_factory=dict)  # by route: the highest version removed
    version: int = 1
    acknowledged_changes: int = 0
    reads: int = 0
    slowest_ack_s: float = 0.0
    dropping_responses: bool = False  # responses to the operators are lost

    async def configure(self) -> None:
        body = initial_configuration()
        await self._send_until_acknowledged(body)
        for name, content in body["addOrReplace"]["routes"].items():
            self.acknowledged[name] = AcknowledgedRoute(1, content)

    async def change_until(self, end: float) -> None:
        """Make one change after another, repeating each until it is acknowledged."""
        while asyncio.get_running_loop().time() < end:
            await self._change()
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def read_until(self, end: float) -> None:
        """Read from random machines; none may return less than was acknowledged before the read was sent."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(2 * CHANGE_INTERVAL_S)
            await self.read_and_check(self.rng.choice(self.world.control_machines))

    async def _change(self) -> None:
        self.version += self.rng.randint(1, 3)
        name, version = idle_route_name(self.rng.randrange(IDLE_ROUTE_COUNT)), self.version
        if self.rng.random() < REMOVAL_FRACTION:
            expected = AcknowledgedRoute(version, None)
            self.sent_removals[name] = max(version, self.sent_removals.get(name, 0))
            removed = [{"name": name, "version": f"{version:08x}"}]
            body: dict[str, Any] = {"addOrReplace": {}, "remove": {"routes": removed}}
        else:
            give_up_ms = self.rng.randint(500, 5000)
            content = route_record(
                f"{name}.example",
                "/",
                self.rng.choice(SERVICES),
                once=False,
                give_up_ms=give_up_ms,
                version=version,
            )
            expected = AcknowledgedRoute(version, content)
            body = {"addOrReplace": {"routes": {name: content}}, "remove": {"routes": []}}
        started_at = asyncio.get_running_loop().time()
        await self._send_until_acknowledged(body)
        self.slowest_ack_s = max(self.slowest_ack_s, asyncio.get_running_loop().time() - started_at)
        if (
            version > self.acknowledged[name].version
        ):  # otherwise a newer change of it was acknowledged meanwhile
            self.acknowledged[name] = expected
        self.acknowledged_changes += 1

    async def _send_until_acknowledged(self, body: dict[str, Any]) -> None:
        machines = list(self.world.control_machines)
        self.rng.shuffle(machines)
        for i in range(MAX_CHANGE_ATTEMPTS):
            answer = await self._send_change(machines[i % len(machines)], body)
            if answer is not None and answer.status == 200:
                return
            if answer is not None and 400 <= answer.status < 500:
                raise InvariantError(
                    f"a valid change was refused with {answer.status}: {answer.body[:200]!r}"
                )
            await asyncio.sleep(RETRY_DELAY_S)
        raise InvariantError("a change was never acknowledged")

    async def _send_change(self, machine: Machine, body: dict[str, Any]) -> BufferedHttpMessage | None:
        answer = await self.world.call_control_api(machine, "PATCH", "/config", body)
        dropped = self.dropping_responses and self.rng.random() < DROPPED_RESPONSE_FRACTION
        return None if dropped else answer

    async def read_and_check(self, machine: Machine) -> bool:
        """Whether the machine answered; InvariantError if it returned less than was acknowledged before."""
        expected_routes = dict(self.acknowledged)
        answer = await self.world.call_control_api(machine, "GET", "/config")
        if answer is None or answer.status != 200:
            return False
        self.reads += 1
        routes = json.loads(answer.body)["routes"]
        for name, expected in expected_routes.items():
            self._check_route(machine, name, expected, routes.get(name))
        return True

    def _check_route(
        self, machine: Machine, name: str, expected: AcknowledgedRoute, found: dict[str, Any] | None
    ) -> None:
        if found is None:
            if expected.content is not None and self.sent_removals.get(name, 0) <= expected.version:
                raise InvariantError(
                    f"{machine.host}: {name} is missing, acknowledged version {expected.version:08x}"
                )
            return
        version = int(found["version"], 16)
        if version < expected.version or (expected.content is None and version <= expected.version):
            raise InvariantError(
                f"{machine.host}: {name} has version {version:08x}, acknowledged {expected.version:08x}"
            )
        if version == expected.version and found != expected.content:
            raise InvariantError(f"{machine.host}: {name} has version {version:08x}, but not its content")
