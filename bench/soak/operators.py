"""The operators of a soak: they change the configuration all the time, and know what was acknowledged.

An answer may be lost on its way to them: the same call is then sent again, to another machine.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.soak.world import IDLE_ROUTES, SERVICES, WISHES, InvariantError, Machine, World
from leadrudder.transport.http import BufferedHttpMessage

EACH_S = 0.15  # between changes
TRIES = 400
AGAIN_S = 0.1
REMOVED_PART = 0.1  # of changes
LOST_PART = 0.15  # of answers, where they get lost


def route(
    host: str, start: str, service: str, *, once: bool, give_up_ms: int, version: int
) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": start,
        "kind": "unsafe" if once else "safe",
        "giveUp": f"{give_up_ms}ms",
        "target": "400ms",
        "priority": 1,
        "service": service,
        "tries": 2,
        "version": f"{version:08x}",
    }


def first_configuration() -> dict[str, Any]:
    """Two routes that are asked for, many that are not, and the services."""
    routes = {
        f"r-{wish.host}": route(wish.host, "/", service, once=wish.once, give_up_ms=2000, version=1)
        for wish, service in zip(WISHES, SERVICES, strict=True)
    }
    for i in range(IDLE_ROUTES):
        name = idle_name(i)
        routes[name] = route(f"{name}.example", "/", SERVICES[i % 2], once=False, give_up_ms=2000, version=1)
    services = {name: {"maxConnections": 100, "version": "00000001"} for name in SERVICES}
    return {"addOrReplace": {"routes": routes, "services": services}, "remove": {"routes": []}}


def idle_name(i: int) -> str:
    return f"idle-{i:03d}"


@dataclass(slots=True)
class Held:
    """What must be read back of a route: at least this version, and this content if it is that version."""

    version: int
    content: dict[str, Any] | None  # None: removed


@dataclass(slots=True)
class Operators:
    """acked: what was acknowledged, by route."""

    world: World
    rng: Random
    acked: dict[str, Held] = field(default_factory=dict)
    removals: dict[str, int] = field(default_factory=dict)  # the highest version that was sent as one
    version: int = 1
    acks: int = 0
    reads: int = 0
    slowest_ack_s: float = 0.0
    losing: bool = False  # answers get lost

    async def configure(self) -> None:
        body = first_configuration()
        await self._until_clear(body)
        for name, content in body["addOrReplace"]["routes"].items():
            self.acked[name] = Held(1, content)

    async def change_until(self, end: float) -> None:
        """One change after the other, each until it is acknowledged."""
        while asyncio.get_running_loop().time() < end:
            await self._change()
            await asyncio.sleep(EACH_S)

    async def read_until(self, end: float) -> None:
        """Reads of any machine: none may be older than what was acknowledged before it was sent."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(2 * EACH_S)
            await self.read(self.rng.choice(self.world.core))

    async def _change(self) -> None:
        self.version += self.rng.randint(1, 3)
        name, version = idle_name(self.rng.randrange(IDLE_ROUTES)), self.version
        if self.rng.random() < REMOVED_PART:
            held = Held(version, None)
            self.removals[name] = max(version, self.removals.get(name, 0))
            removed = [{"name": name, "version": f"{version:08x}"}]
            body: dict[str, Any] = {"addOrReplace": {}, "remove": {"routes": removed}}
        else:
            give_up_ms = self.rng.randint(500, 5000)
            content = route(
                f"{name}.example",
                "/",
                self.rng.choice(SERVICES),
                once=False,
                give_up_ms=give_up_ms,
                version=version,
            )
            held = Held(version, content)
            body = {"addOrReplace": {"routes": {name: content}}, "remove": {"routes": []}}
        began = asyncio.get_running_loop().time()
        await self._until_clear(body)
        self.slowest_ack_s = max(self.slowest_ack_s, asyncio.get_running_loop().time() - began)
        if version > self.acked[name].version:  # else another change of it was acknowledged meanwhile
            self.acked[name] = held
        self.acks += 1

    async def _until_clear(self, body: dict[str, Any]) -> None:
        core = list(self.world.core)
        self.rng.shuffle(core)
        for i in range(TRIES):
            answer = await self._ask(core[i % len(core)], body)
            if answer is not None and answer.status == 200:
                return
            if answer is not None and 400 <= answer.status < 500:
                raise InvariantError(
                    f"a proper change was refused with {answer.status}: {answer.body[:200]!r}"
                )
            await asyncio.sleep(AGAIN_S)
        raise InvariantError("a change was never acknowledged")

    async def _ask(self, machine: Machine, body: dict[str, Any]) -> BufferedHttpMessage | None:
        answer = await self.world.ask(machine, "PATCH", "/config", body)
        lost = self.losing and self.rng.random() < LOST_PART
        return None if lost else answer

    async def read(self, machine: Machine) -> bool:
        """Whether it was answered; InvariantError if what it tells is older than what was acknowledged."""
        before = dict(self.acked)
        answer = await self.world.ask(machine, "GET", "/config")
        if answer is None or answer.status != 200:
            return False
        self.reads += 1
        routes = json.loads(answer.body)["routes"]
        for name, held in before.items():
            self._compare(machine, name, held, routes.get(name))
        return True

    def _compare(self, machine: Machine, name: str, held: Held, told: dict[str, Any] | None) -> None:
        if told is None:
            if held.content is not None and self.removals.get(name, 0) <= held.version:
                raise InvariantError(f"{machine.host}: {name} is missing, acknowledged {held.version:08x}")
            return
        version = int(told["version"], 16)
        if version < held.version or (held.content is None and version <= held.version):
            raise InvariantError(f"{machine.host}: {name} is {version:08x}, acknowledged {held.version:08x}")
        if version == held.version and told != held.content:
            raise InvariantError(f"{machine.host}: {name} of {version:08x} is not what was sent")
