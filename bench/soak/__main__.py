"""A soak: python -m bench.soak [--seeds A:B] [--seconds S] [--jobs N] [--sides N] [--keep FOLDER].

Three control machines, four data-plane nodes (--sides) with a server beside each, clients and operators:
real processes, real sockets, overlapping faults, and all invariant checks enabled. The last line has the
figures; the exit code is 1 if an invariant was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields
from pathlib import Path
from random import Random

from bench.soak.bulk import BulkClients
from bench.soak.bursts import BurstClients
from bench.soak.checks import check_exits, check_invariants
from bench.soak.evacuations import EvacuationOperator
from bench.soak.faults import (
    CONTROL_FAULT_KINDS,
    NODE_FAULT_KINDS,
    TERMINATION_TIMEOUT_S,
    FaultInjector,
    FaultKinds,
    count_overlapping,
    plan_faults,
)
from bench.soak.machine import InvariantError
from bench.soak.memory import MemoryWatch
from bench.soak.misbehaving import MisbehavingClients
from bench.soak.operators import Operators
from bench.soak.restarts import Restarts
from bench.soak.rivals import RivalOperators
from bench.soak.world import LONG_REQUESTS, World

READY_TIMEOUT_S = 20.0
RECOVERY_TIME_S = 6.0  # after the last fault, for the mesh to recover before the final checks


@dataclass(frozen=True, slots=True)
class SeedResult:
    """Results of one seed; the summary prints the fields by name.  broken: the violated invariant, if any."""

    seed: int
    troubles: int = 0
    overlapping: int = 0
    changes: int = 0
    rivals: int = 0
    rivals_refused: int = 0
    orders: int = 0
    reads: int = 0
    requests: int = 0
    served: int = 0
    kept: int = 0
    kept_cut: int = 0
    burst: int = 0
    burst_refused: int = 0
    burst_cut: int = 0
    copies: int = 0
    overlaps: int = 0
    held_ports: int = 0
    early_sigterms: int = 0
    disk_errors: int = 0
    bulk: int = 0
    bulk_served: int = 0
    bulk_refused: int = 0
    crowds: int = 0
    shed: int = 0
    checks: int = 0
    ack_max_s: float = 0.0
    lag_max_s: float = 0.0
    memory_max_mb: int = 0
    broken: str = ""


async def _wait_until_ready(world: World) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        for machine in world.node_machines:
            while (
                answer := await world.call_control_api(machine, "GET", "/ready")
            ) is None or answer.status != 200:
                await asyncio.sleep(0.05)


async def _run_seed(seed: int, duration_s: float, world: World, kinds: FaultKinds) -> SeedResult:
    loop = asyncio.get_running_loop()
    operators = Operators(world, Random(f"operators/{seed}"))
    rivals = RivalOperators(world, Random(f"rivals/{seed}"))
    bursts = BurstClients(world.base_port + 2, Random(f"bursts/{seed}"))
    bulk = BulkClients(world.base_port + 2, LONG_REQUESTS, Random(f"bulk/{seed}"))
    misbehaving = MisbehavingClients(world, Random(f"misbehaving/{seed}"))
    memory = MemoryWatch(world)
    restarts = Restarts(world, Random(f"restarts/{seed}"), TERMINATION_TIMEOUT_S)
    injector = FaultInjector(world, operators, rivals, bursts, restarts)
    evacuations = EvacuationOperator(world, Random(f"evacuations/{seed}"), injector.busy_hosts)
    await world.start()
    memory_task = asyncio.ensure_future(memory.run())
    try:
        await operators.configure()
        await rivals.configure()
        await _wait_until_ready(world)
        end = loop.time() + duration_s
        world.start_clients(end + 2.0)
        hosts = (
            [machine.host for machine in world.control_machines],
            [machine.host for machine in world.node_machines],
        )
        faults = plan_faults(Random(f"troubles/{seed}"), *hosts, duration_s, kinds)
        change_tasks = [asyncio.ensure_future(operators.change_until(end)) for _ in range(2)]
        change_tasks.append(asyncio.ensure_future(rivals.change_until(end)))
        read_tasks = [asyncio.ensure_future(each.read_until(end)) for each in (operators, rivals)]
        bulk_tasks = [
            asyncio.ensure_future(bulk.send_until(machine.host, end)) for machine in world.node_machines
        ]
        crowds_task = asyncio.ensure_future(misbehaving.play_until(end))
        evacuation_task = asyncio.ensure_future(evacuations.run_until(end))
        injected = await injector.run(faults)
        await asyncio.gather(*change_tasks, *read_tasks, evacuation_task, crowds_task)
        await asyncio.sleep(RECOVERY_TIME_S)
        await bursts.wait_for_answers()
        await asyncio.gather(*bulk_tasks)
        memory.sample()
        memory.check()
        check_exits(world)
        await rivals.check_all_machines()
        totals = await check_invariants(world, operators, evacuations, bursts, bulk, injector.spans)
    except InvariantError:
        await world.save_diagnostics()
        raise
    finally:
        memory_task.cancel()
        errors = [*await world.shut_down(), *world.logged_errors()]
    if errors:
        raise InvariantError("; ".join(errors))
    sent, keep_alive_requests = world.sent_requests(), world.keep_alive_requests()
    burst_requests = [each for burst in bursts.bursts for each in burst.requests]
    return SeedResult(
        seed,
        injected,
        count_overlapping(faults),
        operators.acknowledged_changes,
        len(rivals.calls),
        rivals.refused_count,
        len(evacuations.orders),
        operators.reads,
        len(sent),
        sum(bool(each.served_attempt) for each in sent),
        len(keep_alive_requests),
        sum(bool(each.lost_at) for _, each in keep_alive_requests),
        len(burst_requests),
        sum(each.status == 503 for each in burst_requests),
        sum(bool(each.lost_at) for each in burst_requests),
        world.refusal_copies(),
        restarts.overlapping,
        restarts.held_ports,
        restarts.early_sigterms,
        restarts.disk_errors,
        len(bulk.sent),
        sum(each.answer.status == 200 for each in bulk.sent),
        sum(each.answer.status == 503 for each in bulk.sent),
        misbehaving.crowds,
        totals.shed,
        totals.checks,
        operators.slowest_ack_s,
        totals.lag_max_s,
        memory.peak_mb,
    )


def run_seed(
    seed: int,
    duration_s: float,
    keep: str,
    planted_fault: str = "",
    *,
    control_count: int = 3,
    node_count: int = 4,
    kinds: FaultKinds = FaultKinds(),  # noqa: B008  # immutable
) -> SeedResult:
    """Run one seed in a temporary folder, which is copied to `keep` if an invariant was violated."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world: World | None = None

    async def run_in_loop() -> SeedResult:
        nonlocal world
        world = World(
            seed, folder, control_count=control_count, node_count=node_count, planted_fault=planted_fault
        )
        return await _run_seed(seed, duration_s, world, kinds)

    try:
        return asyncio.run(run_in_loop())
    except (InvariantError, TimeoutError) as error:
        if keep and world is not None:
            (folder / "story.txt").write_text("\n".join([*world.log.lines, repr(error)]) + "\n")
            shutil.copytree(folder, Path(keep) / folder.name, ignore=shutil.ignore_patterns("disk-*"))
        return SeedResult(seed, broken=str(error) or type(error).__name__)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def summary_line(results: Iterable[SeedResult]) -> tuple[str, int]:
    """The summary line, and how many seeds violated an invariant."""
    all_results = list(results)
    broken = sum(bool(each.broken) for each in all_results)
    parts = [f"seeds={len(all_results)}"]
    for each in fields(SeedResult)[1:-1]:
        values = [getattr(result, each.name) for result in all_results]
        most = "_max_" in each.name
        parts.append(f"{each.name}={max(values):.2f}" if most else f"{each.name}={sum(values)}")
    return " ".join([*parts, f"broken={broken}"]), broken


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__)
    parser.add_argument("--seeds", default="1:2", help="A:B, from A up to but not including B")
    parser.add_argument("--seconds", type=float, default=20.0, help="seconds of faults for each seed")
    parser.add_argument("--jobs", type=int, default=1, help="seeds run in parallel")
    parser.add_argument("--cores", type=int, default=3, help="control machines")
    parser.add_argument("--sides", type=int, default=4, help="data-plane nodes, with a server beside each")
    parser.add_argument(
        "--keep", default="", help="folder for the outputs of seeds that violated an invariant"
    )
    parser.add_argument("--plant", default="", help="a fault of bench.soak.planted_faults to run with")
    parser.add_argument("--control-faults", default=",".join(CONTROL_FAULT_KINDS), help="kinds to draw from")
    parser.add_argument("--node-faults", default=",".join(NODE_FAULT_KINDS), help="kinds to draw from")
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition(":")
    seeds = range(int(first), int(last or int(first) + 1))
    with ProcessPoolExecutor(options.jobs) as pool:
        kinds = FaultKinds.parse(options.control_faults, options.node_faults)
        futures = [
            pool.submit(
                run_seed,
                seed,
                options.seconds,
                options.keep,
                options.plant,
                control_count=options.cores,
                node_count=options.sides,
                kinds=kinds,
            )
            for seed in seeds
        ]
        results = []
        for future in futures:
            result = future.result()
            print(f"seed {result.seed}: {result.broken or 'no invariant broken'}", flush=True)
            results.append(result)
    line, broken = summary_line(results)
    print(line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
