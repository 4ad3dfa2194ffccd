"""A soak: python -m bench.soak [--seeds A:B] [--seconds S] [--jobs N] [--sides N] [--keep FOLDER].

Three control machines, four stations or as many as asked for, a server beside each, clients and operators:
real processes, real sockets, troubles that overlap, and every invariant on. The last line has all figures;
exit code 1 if an invariant was broken.
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

from bench.soak.checks import judge
from bench.soak.faults import Troublemaker, overlapping, plan
from bench.soak.operators import Operators
from bench.soak.world import InvariantError, World

READY_S = 20.0
CALM_S = 6.0  # after the last trouble, before all must be whole


@dataclass(frozen=True, slots=True)
class Played:
    """One seed.  broken: the invariant that did not hold, if any."""

    seed: int
    troubles: int = 0
    overlapping: int = 0
    changes: int = 0
    reads: int = 0
    requests: int = 0
    served: int = 0
    kept: int = 0
    kept_cut: int = 0
    shed: int = 0
    checks: int = 0
    ack_max_s: float = 0.0
    lag_max_s: float = 0.0
    broken: str = ""


async def _ready(world: World) -> None:
    async with asyncio.timeout(READY_S):
        for machine in world.side:
            while (answer := await world.ask(machine, "GET", "/ready")) is None or answer.status != 200:
                await asyncio.sleep(0.05)


async def _play(seed: int, span_s: float, world: World) -> Played:
    loop = asyncio.get_running_loop()
    operators = Operators(world, Random(f"operators/{seed}"))
    await world.start()
    try:
        await operators.configure()
        await _ready(world)
        end = loop.time() + span_s
        world.start_clients(end + 2.0)
        hosts = [machine.host for machine in world.core], [machine.host for machine in world.side]
        troubles = plan(Random(f"troubles/{seed}"), *hosts, span_s)
        changing = [asyncio.ensure_future(operators.change_until(end)) for _ in range(2)]
        reading = asyncio.ensure_future(operators.read_until(end))
        came = await Troublemaker(world, operators).play(troubles)
        await asyncio.gather(*changing, reading)
        await asyncio.sleep(CALM_S)
        figures = await judge(world, operators)
    finally:
        wrong = [*await world.end(), *world.faults()]
    if wrong:
        raise InvariantError("; ".join(wrong))
    asked, kept = world.asked(), world.kept_requests()
    return Played(
        seed,
        came,
        overlapping(troubles),
        operators.acks,
        operators.reads,
        len(asked),
        sum(bool(each.served_attempt) for each in asked),
        len(kept),
        sum(bool(each.cut_at) for _, each in kept),
        figures.shed,
        figures.checks,
        operators.slowest_ack_s,
        figures.lag_max_s,
    )


def play(seed: int, span_s: float, keep: str, plant: str = "", *, cores: int = 3, sides: int = 4) -> Played:
    """A whole play in a folder of its own, which is kept where an invariant was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world: World | None = None

    async def within() -> Played:
        nonlocal world
        world = World(seed, folder, cores=cores, sides=sides, plant=plant)
        return await _play(seed, span_s, world)

    try:
        return asyncio.run(within())
    except (InvariantError, TimeoutError) as error:
        if keep and world is not None:
            (folder / "story.txt").write_text("\n".join([*world.log.lines, repr(error)]) + "\n")
            shutil.copytree(folder, Path(keep) / folder.name, ignore=shutil.ignore_patterns("disk-*"))
        return Played(seed, broken=str(error) or type(error).__name__)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def told(played: Iterable[Played]) -> tuple[str, int]:
    """The last line, and how many seeds were broken."""
    every = list(played)
    broken = sum(bool(each.broken) for each in every)
    parts = [f"seeds={len(every)}"]
    for each in fields(Played)[1:-1]:
        values = [getattr(one, each.name) for one in every]
        most = each.name.endswith("_s")
        parts.append(f"{each.name}={max(values):.2f}" if most else f"{each.name}={sum(values)}")
    return " ".join([*parts, f"broken={broken}"]), broken


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__)
    parser.add_argument("--seeds", default="1:2", help="A:B, from A to before B")
    parser.add_argument("--seconds", type=float, default=20.0, help="of troubles, a seed")
    parser.add_argument("--jobs", type=int, default=1, help="seeds at once")
    parser.add_argument("--cores", type=int, default=3, help="control machines")
    parser.add_argument("--sides", type=int, default=4, help="stations, with a server beside each")
    parser.add_argument("--keep", default="", help="where to keep outputs of seeds that broke an invariant")
    parser.add_argument("--plant", default="", help="a fault of bench.soak.planted_faults that is put in")
    given = parser.parse_args(arguments)
    first, _, last = given.seeds.partition(":")
    seeds = range(int(first), int(last or int(first) + 1))
    with ProcessPoolExecutor(given.jobs) as pool:
        size = {"cores": given.cores, "sides": given.sides}
        futures = [pool.submit(play, seed, given.seconds, given.keep, given.plant, **size) for seed in seeds]
        played = []
        for future in futures:
            one = future.result()
            print(f"seed {one.seed}: {one.broken or 'no invariant broken'}", flush=True)
            played.append(one)
    line, broken = told(played)
    print(line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
