"""Runs one setup to its result, and many setups on all cores."""

from __future__ import annotations

import hashlib
import multiprocessing
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from leadrudder.simulation.faults import Fault
from leadrudder.simulation.network import NetworkObserver
from leadrudder.simulation.oracle import Violation
from leadrudder.simulation.scheduler import US_PER_S
from leadrudder.simulation.world import World

STEPS_PER_SLICE = 5000  # steps between two calls of progress


@dataclass(frozen=True, slots=True)
class RunSetup:
    """The inputs that determine a run.

    faults None: drawn from the seed, of these kinds (of all kinds if empty).
    """

    seed: str
    steps: int
    nodes: int = 2
    kinds: tuple[str, ...] = ()
    faults: tuple[Fault, ...] | None = None
    heavy: bool = False  # heavy requests, of which a cold server bears few


@dataclass(frozen=True, slots=True)
class RunResult:
    """The outcome of a run; equal setups give equal digests."""

    setup: RunSetup
    steps: int
    digest: str
    violations: tuple[Violation, ...]
    plan: tuple[Fault, ...]
    virtual_s: float
    wall_s: float
    counts: dict[str, int] = field(default_factory=dict)

    @property
    def steps_per_s(self) -> float:
        return self.steps / self.wall_s if self.wall_s else 0.0


Progress = Callable[[int, float], None]


def run_world(
    setup: RunSetup,
    *,
    progress: Progress | None = None,
    observe: Callable[[World], NetworkObserver] | None = None,
) -> RunResult:
    """Runs until the number of steps or the first violation, then until the world has settled.

    progress is called every STEPS_PER_SLICE steps with the steps run and the virtual seconds. observe returns
    an observer that stands before the oracle and passes events on to it.
    """
    started = time.perf_counter()
    world = World(
        setup.seed,
        nodes=setup.nodes,
        kinds=setup.kinds,
        faults=None if setup.faults is None else list(setup.faults),
        observe=observe,
        heavy=setup.heavy,
    )
    try:
        while world.scheduler.steps < setup.steps and not world.violations:
            steps_before = world.scheduler.steps
            world.run(min(STEPS_PER_SLICE, setup.steps - steps_before))
            if progress is not None:
                progress(world.scheduler.steps, world.scheduler.now / US_PER_S)
            if world.scheduler.steps == steps_before:
                break
        world.settle()
        return RunResult(
            setup,
            world.scheduler.steps,
            world.scheduler.digest(),
            tuple(world.violations),
            tuple(world.injected),
            world.scheduler.now / US_PER_S,
            time.perf_counter() - started,
            dict(world.oracle.counts),
        )
    finally:
        world.close()


def run_many(setups: Iterable[RunSetup], jobs: int) -> Iterator[RunResult]:
    """Runs setups on this many cores; results come in the order of the setups."""
    if jobs <= 1:
        yield from map(run_world, setups)
        return
    # Spawned interpreters inherit no state that could change a run.
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap(run_world, setups)


def combined_digest(results: Iterable[RunResult]) -> str:
    """One digest of many runs, in order."""
    total = hashlib.blake2b(digest_size=16)
    for result in results:
        total.update(result.digest.encode())
    return total.hexdigest()
