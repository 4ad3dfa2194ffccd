"""What must hold after a soak, in calm: by what servers ran, clients were told, and processes count."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bench.soak.clients import PROMISES, KeptRequest
from bench.soak.operators import Held, Operators
from bench.soak.world import InvariantError, Machine, World
from leadrudder.control_plane.feeds import MAX_UNSENT_BYTES
from leadrudder.emulation.standins import Asked, call, request

READ_TRIES = 100
UNSENT_BOUND = MAX_UNSENT_BYTES + 1024 * 1024  # a whole book may be written beside what waits
OPEN_FIGURES = ("requests_open", "calls_running", "operator_calls_open")  # none of these in calm
SERVED_LEAST = 0.3  # of requests, over the whole soak
ENDS_AFTER_S = 1.5  # a process that has closed its connections, at most: it may stand still in a dial
END_SEEN_S = 0.5  # a connection's end after that of its process


@dataclass(frozen=True, slots=True)
class Figures:
    shed: int
    checks: int  # machines whose counts were read
    lag_max_s: float


async def judge(world: World, operators: Operators) -> Figures:
    """InvariantError where an invariant does not hold."""
    if world.ended:
        raise InvariantError("; ".join(world.ended))
    await _read_back(world, operators)
    await _in_force_everywhere(world, operators)
    judge_requests(world.runs(), world.asked())
    judge_kept(world.runs(), world.kept_requests())
    _enough_served(world.asked())
    return await _counted(world)


async def _read_back(world: World, operators: Operators) -> None:
    """Every control machine answers in calm, with what was acknowledged."""
    for machine in world.core:
        for _ in range(READ_TRIES):
            if await operators.read(machine):
                break
            await asyncio.sleep(0.1)
        else:
            raise InvariantError(f"{machine.host} answers no read in calm")


async def _in_force_everywhere(world: World, operators: Operators) -> None:
    """Every station handles requests as the newest acknowledged configuration says."""
    for machine in world.side:
        for name, held in operators.acked.items():
            if name.startswith("idle-"):
                await _probe((machine.host, world.base + 2), name, held)


async def _probe(address: tuple[str, int], name: str, held: Held) -> None:
    fields = f"Attempt-Id: probe-{name}\r\nTime-Left: 2000\r\n"
    answer = await call(address, request("GET", "/probe", f"{name}.example", fields), 2.5)
    if answer is None:
        raise InvariantError(f"{address[0]} gives no answer on {name}")
    if (answer.status == 404) != (held.content is None):
        raise InvariantError(
            f"{address[0]} answers {answer.status} on {name}, acknowledged {held.version:08x}"
        )


def judge_requests(runs: Mapping[str, int], asked: Collection[Asked]) -> None:
    """Bookings run once at most; what was refused never ran; what was told as served ran.

    runs: how often each try ran, by its id.
    """
    for each in asked:
        if each.served and not runs.get(each.served):
            raise InvariantError(f"{each.served} was told as served, and no server ran it")
        if not each.once:
            continue
        for name in each.ids:
            if runs.get(name, 0) > 1:
                raise InvariantError(f"booking {name} ran {runs[name]} times")
        for name in each.ids[:-1]:  # a booking is tried again only after a promise that it did not run
            if runs.get(name):
                raise InvariantError(f"booking {name} was told as not run, and ran")


def judge_kept(runs: Mapping[str, int], kept: Collection[tuple[Machine, KeptRequest]]) -> None:
    """On connections that were kept: the same, and none ends without its answer but with its process."""
    for machine, asked in kept:
        ran = runs.get(asked.id, 0)
        if asked.once and ran > 1:
            raise InvariantError(f"booking {asked.id} ran {ran} times")
        if 200 <= asked.status < 300 and not ran:
            raise InvariantError(f"{asked.id} was told as served, and no server ran it")
        if asked.once and asked.status in PROMISES and ran:
            raise InvariantError(f"booking {asked.id} was told as not run, and ran")
        with_process = any(-END_SEEN_S <= end - asked.cut_at <= ENDS_AFTER_S for end in machine.ends)
        if asked.cut_at and not with_process and not (asked.crossed and not ran):
            after_s = [round(end - asked.cut_at, 2) for end in machine.ends]
            raise InvariantError(
                f"{asked.id} got no answer in {asked.cut_at - asked.sent_at:.2f} s, and its connection "
                f"ended; ends of the machine's processes, in seconds after that: {after_s}"
            )


def _enough_served(asked: Collection[Asked]) -> None:
    served = sum(bool(each.served) for each in asked)
    if served < SERVED_LEAST * len(asked):
        raise InvariantError(f"{served} of {len(asked)} requests were served")


async def _counted(world: World) -> Figures:
    """No process counts a violation, and none keeps more waiting than its bounds allow."""
    shed, checks, lag = 0, 0, 0.0
    for machine in world.machines:
        figures = await world.metrics(machine)
        violated = {name for name in figures if name.startswith("invariant_violations_total")}
        if violated:
            raise InvariantError(f"{machine.role} {machine.host}: {', '.join(sorted(violated))}")
        for name in OPEN_FIGURES:
            if figures.get(name):
                raise InvariantError(f"{machine.role} {machine.host}: {name} is {figures[name]:.0f} in calm")
        if figures.get("session_unsent_bytes", 0.0) > UNSENT_BOUND:
            raise InvariantError(
                f"{machine.host} keeps {figures['session_unsent_bytes']:.0f} bytes for a station"
            )
        shed += int(figures.get("requests_shed_total", 0) + figures.get("calls_shed_total", 0))
        lag = max(lag, figures["loop_lag_highest_seconds"])
        checks += 1
    return Figures(shed, checks, lag)
