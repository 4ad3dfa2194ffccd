"""The faults of a soak, drawn from the seed before the run, so that a seed always gives the same ones.

Two to four are active at any time. Control machines, which have a disk, fail one at a time, as the deployment
tolerates the loss of one; all may lose power at once, with no disk lost. Any number of data-plane nodes may
fail at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from bench.soak.bursts import BurstClients
from bench.soak.evacuations import FaultSpan
from bench.soak.machine import Machine
from bench.soak.operators import Operators
from bench.soak.restarts import Restarts
from bench.soak.rivals import RivalOperators
from bench.soak.world import OPERATOR_HOST, World

CONCURRENT_FAULTS = 4
RECOVERY_GAP_S = 4.0  # between two faults of control machines, for the first one to recover


class FaultKind(StrEnum):
    KILL = "kill"  # SIGKILL, restarted after the fault's duration
    WIPE = "wipe"  # the same with the disk lost
    TERMINATE = "terminate"  # SIGHUP, SIGTERM and an immediate restart, repeatedly
    SIGHUPS = "hang-ups"  # a series of SIGHUP
    PAUSE = "pause"  # SIGSTOP, later SIGCONT
    PARTITION = "cut"  # network partition from all other machines
    ONE_WAY_PARTITION = "cut one way"  # the same in one direction only
    BLACKOUT = "blackout"  # all control machines lose power one after the other; one returns last
    RESET = "reset"  # of all connections of a machine
    DROPPED_RESPONSES = "lost answers"  # of servers to requests, and of control machines to operators


CONTROL_FAULT_KINDS = (
    FaultKind.KILL,
    FaultKind.WIPE,
    FaultKind.TERMINATE,
    FaultKind.SIGHUPS,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.BLACKOUT,
)
NODE_FAULT_KINDS = (
    FaultKind.KILL,
    FaultKind.TERMINATE,
    FaultKind.SIGHUPS,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.RESET,
)
PLANNED_FAULT_KINDS = (FaultKind.TERMINATE, FaultKind.SIGHUPS)  # a platform's usual signals
BURST_FRACTION = 0.7  # of the series of SIGTERM to a data-plane node, which a burst of requests precedes
SIGHUP_INTERVAL_S = 0.05  # between two signals of a series
ALONE_S = 0.3  # for which the machine that loses power last runs without the others
RIVAL_DELAY_S = 0.2  # after the blackout, until the second call of a pair is sent
TERMINATION_TIMEOUT_S = 6.0  # twice the configured grace; a process that needs longer violates an invariant


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one host, `start_s` after the start of the run; an empty host: everywhere."""

    start_s: float
    kind: FaultKind
    host: str
    duration_s: float

    @property
    def end_s(self) -> float:
        return self.start_s + self.duration_s


@dataclass(frozen=True, slots=True)
class FaultKinds:
    """The kinds to draw from; none of a class of machines if its kinds are empty."""

    control: tuple[FaultKind, ...] = CONTROL_FAULT_KINDS
    node: tuple[FaultKind, ...] = NODE_FAULT_KINDS

    @classmethod
    def parse(cls, control: str, node: str) -> FaultKinds:
        """From the names of kinds, separated by commas; ValueError for an unknown name."""
        return cls(_parse_kinds(control), _parse_kinds(node))


def _parse_kinds(names: str) -> tuple[FaultKind, ...]:
    return tuple(FaultKind(name) for name in names.split(",") if name)


def plan_faults(
    rng: Random,
    control_hosts: Sequence[str],
    node_hosts: Sequence[str],
    duration_s: float,
    kinds: FaultKinds = FaultKinds(),  # noqa: B008  # immutable
) -> list[Fault]:
    """Faults of the whole run in overlapping sequences: one of control machines, two of nodes, one global."""
    faults = []
    if kinds.control:
        faults += _draw_sequence(
            rng, duration_s, RECOVERY_GAP_S, lambda: (rng.choice(kinds.control), rng.choice(control_hosts))
        )
    for _ in range(CONCURRENT_FAULTS - 2 if kinds.node else 0):
        faults += _draw_sequence(
            rng, duration_s, 0.5, lambda: (rng.choice(kinds.node), rng.choice(node_hosts))
        )
    faults += _draw_sequence(rng, duration_s, 1.0, lambda: (FaultKind.DROPPED_RESPONSES, ""))
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_sequence(
    rng: Random, duration_s: float, min_gap_s: float, draw_kind_and_host: Callable[[], tuple[FaultKind, str]]
) -> list[Fault]:
    sequence = []
    start_s = rng.uniform(0.0, 1.0)
    while start_s < duration_s:
        kind, host = draw_kind_and_host()
        sequence.append(Fault(start_s, kind, host, rng.uniform(0.3, 3.0)))
        start_s = sequence[-1].end_s + min_gap_s * rng.uniform(1.0, 1.5)
    return sequence


def count_overlapping(faults: Sequence[Fault]) -> int:
    """How many begin while another one is active."""
    return sum(
        any(other.start_s <= fault.start_s < other.end_s for other in faults if other is not fault)
        for fault in faults
    )


class FaultInjector:
    """Injects the planned faults, each in a task of its own."""

    def __init__(
        self,
        world: World,
        operators: Operators,
        rivals: RivalOperators,
        bursts: BurstClients,
        restarts: Restarts,
    ) -> None:
        self._world, self._operators, self._rivals, self._bursts = world, operators, rivals, bursts
        self._restarts = restarts
        self._by_host = {machine.host: machine for machine in world.machines}
        self.busy_hosts: set[str] = set()  # hosts with an active fault
        self.spans: list[FaultSpan] = []  # of the faults injected so far, as they ended
        self._injectors: dict[FaultKind, Callable[[Machine, float], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.WIPE: self._wipe,
            FaultKind.TERMINATE: self._terminate,
            FaultKind.SIGHUPS: self._send_sighups,
            FaultKind.PAUSE: self._pause,
            FaultKind.PARTITION: self._partition,
            FaultKind.ONE_WAY_PARTITION: self._partition_one_way,
            FaultKind.BLACKOUT: self._black_out,
            FaultKind.RESET: self._reset_connections,
        }

    async def run(self, faults: Sequence[Fault]) -> int:
        """Returns how many were injected: one that falls on a host with an active fault is skipped."""
        injected = await asyncio.gather(*(self._inject(fault) for fault in faults))
        return sum(injected)

    async def _inject(self, fault: Fault) -> bool:
        await asyncio.sleep(fault.start_s)
        hosts = self._hosts_of(fault)
        if self.busy_hosts & hosts:
            return False
        self.busy_hosts |= hosts
        started_at = asyncio.get_running_loop().time()
        self._world.log.add(f"{fault.kind} {fault.host} for {fault.duration_s:.2f} s")
        if fault.host:
            await self._injectors[fault.kind](self._by_host[fault.host], fault.duration_s)
        else:
            await self._drop_responses(fault.duration_s)
        self._world.log.add(f"{fault.kind} {fault.host} ended")
        self.busy_hosts -= hosts
        ended_at = asyncio.get_running_loop().time()
        planned = fault.kind in PLANNED_FAULT_KINDS
        self.spans += [FaultSpan(host, started_at, ended_at, planned) for host in sorted(hosts)]
        return True

    def _hosts_of(self, fault: Fault) -> set[str]:
        if fault.kind is FaultKind.BLACKOUT:
            return {machine.host for machine in self._world.control_machines}
        return {fault.host}

    async def _black_out(self, machine: Machine, duration_s: float) -> None:
        """What this machine accepts alone is on its disk only, which returns last."""
        others = [other for other in self._world.control_machines if other is not machine]
        for other in others:
            self._world.pause(other)
        race = asyncio.ensure_future(self._rivals.race_at(machine, ALONE_S + RIVAL_DELAY_S))
        await asyncio.sleep(ALONE_S)
        for each in (*others, machine):
            await self._world.lose_power(each)
        for other in others:
            await self._world.start_process(other)
        await asyncio.sleep(duration_s)
        await self._world.start_process(machine)
        await race

    async def _kill(self, machine: Machine, duration_s: float) -> None:
        self._world.kill(machine)
        await asyncio.sleep(duration_s)
        await self._restarts.start(machine)

    async def _wipe(self, machine: Machine, duration_s: float) -> None:
        self._world.kill(machine)
        await asyncio.sleep(duration_s)
        self._world.wipe_disk(machine)
        await self._restarts.start(machine)

    async def _terminate(self, machine: Machine, duration_s: float) -> None:
        """Restarts the process repeatedly, each time at once, until the duration is over."""
        if machine.service and self._bursts.rng.random() < BURST_FRACTION:
            await self._bursts.send_burst(machine)
        end = asyncio.get_running_loop().time() + duration_s
        repeat = True
        while repeat:
            await self._restarts.restart(machine)
            repeat = asyncio.get_running_loop().time() < end

    async def _send_sighups(self, machine: Machine, duration_s: float) -> None:
        for _ in range(int(duration_s / SIGHUP_INTERVAL_S / 10) + 1):
            self._world.reload_settings(machine)
            await asyncio.sleep(SIGHUP_INTERVAL_S)

    async def _pause(self, machine: Machine, duration_s: float) -> None:
        self._world.pause(machine)
        await asyncio.sleep(duration_s)
        self._world.resume(machine)

    async def _partition(self, machine: Machine, duration_s: float) -> None:
        await self._block(self._directions(machine, True) | self._directions(machine, False), duration_s)

    async def _partition_one_way(self, machine: Machine, duration_s: float) -> None:
        await self._block(self._directions(machine, duration_s < 1.5), duration_s)

    def _directions(self, machine: Machine, outgoing: bool) -> set[tuple[str, str]]:
        others = [other.host for other in self._world.machines if other is not machine]
        if not machine.service:
            others.append(OPERATOR_HOST)
        return {(machine.host, other) if outgoing else (other, machine.host) for other in others}

    async def _block(self, directions: set[tuple[str, str]], duration_s: float) -> None:
        added = directions - self._world.relay.blocked
        self._world.relay.blocked |= added
        await asyncio.sleep(duration_s)
        self._world.relay.blocked -= added

    async def _reset_connections(self, machine: Machine, duration_s: float) -> None:
        self._world.relay.reset(machine.host)
        await asyncio.sleep(min(duration_s, 0.5))

    async def _drop_responses(self, duration_s: float) -> None:
        servers = [machine.server for machine in self._world.node_machines if machine.server is not None]
        self._operators.dropping_responses = True
        for server in servers:
            server.drop_fraction = 0.1
        await asyncio.sleep(duration_s)
        self._operators.dropping_responses = False
        for server in servers:
            server.drop_fraction = 0.0
