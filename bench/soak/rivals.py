"""Two operators that change the configuration on the same version, each until there is a clear answer.

One of the two calls is taken and the other refused, in whole; each call has a content that no other call has.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.soak.machine import InvariantError, Machine
from bench.soak.operators import route_record
from bench.soak.world import SERVICES, World
from leadrudder.configuration.items import ROUTE_PREFIX
from leadrudder.consensus.outputs import section_of

RIVAL_ROUTE_COUNT = 64
PAIRS_AT_LAST_MACHINE = 12  # while one control machine runs without the others
PAUSE_S = 0.05  # between two rounds
RETRY_DELAY_S = 0.1
CLEAR_ANSWER_TIMEOUT_S = 12.0  # a call over several sections may stay without a clear answer
FIRST_GIVE_UP_MS = 600  # each call has a later timeout than the one before
READ_INTERVAL_S = 0.4
ONE_SECTION_FRACTION = 0.6  # of pairs: one owner decides on all their routes
MAX_READ_ATTEMPTS = 100
ACKNOWLEDGED, REFUSED = 200, 409

Content = dict[str, Any]


@dataclass(slots=True)
class RivalCall:
    """A call of one operator.  routes: by name; status: of its clear answer, 0 as long as there is none."""

    routes: dict[str, Content]
    status: int = 0

    def body(self) -> dict[str, Any]:
        return {"addOrReplace": {"routes": self.routes}, "remove": {"routes": []}}


@dataclass(slots=True)
class RivalOperators:
    """calls: all so far, with their answers."""

    world: World
    rng: Random
    calls: list[RivalCall] = field(default_factory=list)
    version: int = 1

    @property
    def refused_count(self) -> int:
        return sum(call.status == REFUSED for call in self.calls)

    async def configure(self) -> None:
        names = [f"rival-{i:03d}" for i in range(RIVAL_ROUTE_COUNT // 2)]  # the others are added later
        await self._send_until_clear(self._call(names))

    async def change_until(self, end: float) -> None:
        """One pair of calls after the other."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.gather(*map(self._send_until_clear, self._draw_pair()))
            await asyncio.sleep(PAUSE_S)

    async def race_at(self, machine: Machine, ahead_s: float) -> None:
        """Send pairs of calls, the first of each to this machine and `ahead_s` before the other."""
        pairs = [self._draw_pair() for _ in range(PAIRS_AT_LAST_MACHINE)]
        firsts = [self._send_until_clear(first, machine) for first, _ in pairs]
        seconds = [self._send_later(second, ahead_s) for _, second in pairs]
        await asyncio.gather(*firsts, *seconds)

    async def _send_later(self, call: RivalCall, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._send_until_clear(call)

    def _draw_pair(self) -> tuple[RivalCall, RivalCall]:
        """Two calls with one route in common, on the same version; often all routes are of one section."""
        self.version += self.rng.randint(1, 3)
        names = [f"rival-{i:03d}" for i in range(RIVAL_ROUTE_COUNT)]
        shared = self.rng.choice(names)
        others = [name for name in names if name != shared]
        if self.rng.random() < ONE_SECTION_FRACTION:
            others = [name for name in others if _section(name) == _section(shared)]
        first, second = self.rng.sample(others, 2)
        return self._call([first, shared]), self._call([shared, second][: self.rng.randint(1, 2)])

    async def read_until(self, end: float) -> None:
        """Read from random machines: nothing that was refused before may be in force."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(READ_INTERVAL_S)
            await self._read_and_check(self.rng.choice(self.world.control_machines))

    async def check_all_machines(self) -> None:
        """The same at every control machine, once the faults are over."""
        for machine in self.world.control_machines:
            for _ in range(MAX_READ_ATTEMPTS):
                if await self._read_and_check(machine):
                    break
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                raise InvariantError(f"{machine.host} answers no read after the faults ended")

    def _call(self, names: list[str]) -> RivalCall:
        give_up_ms = FIRST_GIVE_UP_MS + len(self.calls)
        routes = {
            name: route_record(
                f"{name}.example",
                "/",
                self.rng.choice(SERVICES),
                once=False,
                give_up_ms=give_up_ms,
                version=self.version,
            )
            for name in names
        }
        self.calls.append(RivalCall(routes))
        return self.calls[-1]

    async def _send_until_clear(self, call: RivalCall, first: Machine | None = None) -> None:
        machines = list(self.world.control_machines)
        self.rng.shuffle(machines)
        machines.sort(key=lambda machine: machine is not first)
        end = asyncio.get_running_loop().time() + CLEAR_ANSWER_TIMEOUT_S
        attempt = 0
        while not call.status and asyncio.get_running_loop().time() < end:
            machine = machines[attempt % len(machines)]
            attempt += 1
            answer = await self.world.call_control_api(machine, "PATCH", "/config", call.body())
            if answer is not None and answer.status in (ACKNOWLEDGED, REFUSED):
                call.status = answer.status
                version = next(iter(call.routes.values()))["version"]
                self.world.log.add(f"{list(call.routes)} at {version}: {call.status} by {machine.host}")
            elif answer is not None and 400 <= answer.status < 500:
                raise InvariantError(f"a valid change was refused with {answer.status}: {answer.body!r}")
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_and_check(self, machine: Machine) -> bool:
        """Whether the machine answered."""
        answered = [call for call in self.calls if call.status]
        answer = await self.world.call_control_api(machine, "GET", "/config")
        if answer is None or answer.status != 200:
            return False
        check_rivals(answered, json.loads(answer.body)["routes"], machine.host)
        return True


def _section(name: str) -> int:
    return section_of(ROUTE_PREFIX + name)


def check_rivals(calls: list[RivalCall], found: dict[str, Content], host: str) -> None:
    """No route of a refused call is in force, and none is older than the newest acknowledged call.

    calls: with a clear answer before the read was sent; found: the routes that the read has returned.
    """
    for call in calls:
        for name, content in call.routes.items():
            read = found.get(name)
            if call.status == REFUSED and read == content:
                raise InvariantError(
                    f"CONFIG: {host}: {name} has version {content['version']} of a call that was refused"
                )
            if call.status != ACKNOWLEDGED:
                continue
            if read is None or int(read["version"], 16) < int(content["version"], 16):
                raise InvariantError(f"{host}: {name} is older than version {content['version']}")
            if read["version"] == content["version"] and read != content:
                raise InvariantError(f"{host}: {name} is not what was acknowledged")
