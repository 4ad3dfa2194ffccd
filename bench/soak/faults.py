"""The troubles of a soak: drawn from the seed before the play, so that a seed brings the same ones again.

Two to four are under way at any time. Machines with a disk are troubled one at a time, as that is what the
deployment is to bear; stations are troubled in any number.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from bench.soak.operators import Operators
from bench.soak.world import Machine, World

AT_ONCE = 4
SETTLE_S = 4.0  # between two troubles of machines with a disk: the time that one has to be whole again


class Kind(StrEnum):
    KILL = "kill"  # SIGKILL, and a start soon after
    WIPE = "wipe"  # the same, and the disk is lost
    TERMINATE = "terminate"  # SIGTERM, in part after a series of SIGHUP, and a start at once
    HANG_UPS = "hang-ups"  # a series of SIGHUP
    PAUSE = "pause"  # SIGSTOP for a while
    CUT = "cut"  # from all other machines
    CUT_ONE_WAY = "cut one way"
    RESET = "reset"  # of all connections
    LOST_ANSWERS = "lost answers"  # of servers, and on the way to operators


CORE_KINDS = (
    Kind.KILL,
    Kind.WIPE,
    Kind.TERMINATE,
    Kind.HANG_UPS,
    Kind.PAUSE,
    Kind.CUT,
    Kind.CUT_ONE_WAY,
)
SIDE_KINDS = (
    Kind.KILL,
    Kind.TERMINATE,
    Kind.HANG_UPS,
    Kind.PAUSE,
    Kind.CUT,
    Kind.CUT_ONE_WAY,
    Kind.RESET,
)
HANG_UP_GAP_S = 0.05  # between two signals of a series
TERMINATED_S = 6.0  # twice the grace, after which a process that was told to end is a fault


@dataclass(frozen=True, slots=True)
class Trouble:
    """kind at a host, from `at` for `span_s`; an empty host: everywhere."""

    at: float
    kind: Kind
    host: str
    span_s: float

    @property
    def end(self) -> float:
        return self.at + self.span_s


def plan(rng: Random, core: Sequence[str], sides: Sequence[str], span_s: float) -> list[Trouble]:
    """Troubles for the whole span, in lanes that overlap: one of the core, the others of the rest."""
    troubles = _lane(rng, span_s, SETTLE_S, lambda: (rng.choice(CORE_KINDS), rng.choice(core)))
    for _ in range(AT_ONCE - 2):
        troubles += _lane(rng, span_s, 0.5, lambda: (rng.choice(SIDE_KINDS), rng.choice(sides)))
    troubles += _lane(rng, span_s, 1.0, lambda: (Kind.LOST_ANSWERS, ""))
    return sorted(troubles, key=lambda trouble: trouble.at)


def _lane(rng: Random, span_s: float, pause_s: float, draw: Callable[[], tuple[Kind, str]]) -> list[Trouble]:
    lane = []
    at = rng.uniform(0.0, 1.0)
    while at < span_s:
        kind, host = draw()
        lane.append(Trouble(at, kind, host, rng.uniform(0.3, 3.0)))
        at = lane[-1].end + pause_s * rng.uniform(1.0, 1.5)
    return lane


def overlapping(troubles: Sequence[Trouble]) -> int:
    """How many begin while another is under way."""
    return sum(
        any(other.at <= one.at < other.end for other in troubles if other is not one) for one in troubles
    )


class Troublemaker:
    """Brings troubles about, each in a task of its own."""

    def __init__(self, world: World, operators: Operators) -> None:
        self._world, self._operators = world, operators
        self._by_host = {machine.host: machine for machine in world.machines}
        self._busy: set[str] = set()  # hosts with a trouble under way
        self._do: dict[Kind, Callable[[Machine, float], Awaitable[None]]] = {
            Kind.KILL: self._kill,
            Kind.WIPE: self._wipe,
            Kind.TERMINATE: self._terminate,
            Kind.HANG_UPS: self._hang_up,
            Kind.PAUSE: self._pause,
            Kind.CUT: self._cut,
            Kind.CUT_ONE_WAY: self._cut_one_way,
            Kind.RESET: self._reset,
        }

    async def play(self, troubles: Sequence[Trouble]) -> int:
        """Returns how many came about: a machine has one at a time."""
        done = await asyncio.gather(*(self._bring(trouble) for trouble in troubles))
        return sum(done)

    async def _bring(self, trouble: Trouble) -> bool:
        await asyncio.sleep(trouble.at)
        if trouble.host in self._busy:
            return False
        self._busy.add(trouble.host)
        self._world.log.add(f"{trouble.kind} {trouble.host} for {trouble.span_s:.2f} s")
        if trouble.host:
            await self._do[trouble.kind](self._by_host[trouble.host], trouble.span_s)
        else:
            await self._lose_answers(trouble.span_s)
        self._world.log.add(f"{trouble.kind} {trouble.host} is over")
        self._busy.discard(trouble.host)
        return True

    async def _kill(self, machine: Machine, span_s: float) -> None:
        self._world.kill(machine)
        await asyncio.sleep(span_s)
        await self._world.start_process(machine)

    async def _wipe(self, machine: Machine, span_s: float) -> None:
        self._world.kill(machine)
        await asyncio.sleep(span_s)
        self._world.wipe(machine)
        await self._world.start_process(machine)

    async def _terminate(self, machine: Machine, span_s: float) -> None:
        """Restarted in series, one right after the other, for about so long."""
        end = asyncio.get_running_loop().time() + span_s
        again = True
        while again:
            self._world.hang_up(machine)
            await self._world.terminate(machine, TERMINATED_S)
            await self._world.start_process(machine)
            again = asyncio.get_running_loop().time() < end

    async def _hang_up(self, machine: Machine, span_s: float) -> None:
        for _ in range(int(span_s / HANG_UP_GAP_S / 10) + 1):
            self._world.hang_up(machine)
            await asyncio.sleep(HANG_UP_GAP_S)

    async def _pause(self, machine: Machine, span_s: float) -> None:
        self._world.pause(machine)
        await asyncio.sleep(span_s)
        self._world.resume(machine)

    async def _cut(self, machine: Machine, span_s: float) -> None:
        await self._cut_paths(self._paths(machine, True) | self._paths(machine, False), span_s)

    async def _cut_one_way(self, machine: Machine, span_s: float) -> None:
        await self._cut_paths(self._paths(machine, span_s < 1.5), span_s)

    def _paths(self, machine: Machine, out: bool) -> set[tuple[str, str]]:
        others = [other.host for other in self._world.machines if other is not machine]
        return {(machine.host, other) if out else (other, machine.host) for other in others}

    async def _cut_paths(self, paths: set[tuple[str, str]], span_s: float) -> None:
        added = paths - self._world.relay.cut
        self._world.relay.cut |= added
        await asyncio.sleep(span_s)
        self._world.relay.cut -= added

    async def _reset(self, machine: Machine, span_s: float) -> None:
        self._world.relay.reset(machine.host)
        await asyncio.sleep(min(span_s, 0.5))

    async def _lose_answers(self, span_s: float) -> None:
        servers = [machine.server for machine in self._world.side if machine.server is not None]
        self._operators.losing = True
        for server in servers:
            server.losing = 0.1
        await asyncio.sleep(span_s)
        self._operators.losing = False
        for server in servers:
            server.losing = 0.0
