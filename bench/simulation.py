"""How fast the simulation plays, and whether it plays alike: python -m bench.simulation.

One long play on one core, then many short ones on all cores, twice. The last line gives

    steps, steps_per_s        of the long play on one core
    virtual_ratio             virtual seconds to real ones of that play
    all_steps_per_s           of the short plays on all cores, start of the processes included
    same_digests              whether the digest of all short plays was equal in both rounds
    peak_mb                   greatest memory of the process of the long play, after its last step
    peak_mb_tenth             and after the first tenth of it: what is the same does not grow with the play
"""

from __future__ import annotations

import argparse
import os
import resource
import sys
import time

from leadrudder.simulation.runner import RunResult, RunSetup, combined_digest, run_many, run_world

PROGRESS_S = 5.0


def _peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0


def _long(steps: int) -> tuple[RunResult, float]:
    told = time.monotonic()
    tenth = 0.0

    def progress(done: int, virtual_s: float) -> None:
        nonlocal told, tenth
        if not tenth and done >= steps / 10:
            tenth = _peak_mb()
        if time.monotonic() - told >= PROGRESS_S:
            told = time.monotonic()
            print(f"one core: {done} of {steps} steps, {virtual_s:.0f} virtual s", file=sys.stderr)

    return run_world(RunSetup("bench", steps), progress=progress), tenth


def _short(seeds: int, steps: int, jobs: int) -> tuple[str, float, int]:
    began = time.monotonic()
    results = []
    for result in run_many([RunSetup(str(seed), steps) for seed in range(seeds)], jobs):
        results.append(result)
        if len(results) % 25 == 0:
            print(f"{jobs} cores: {len(results)} of {seeds} seeds", file=sys.stderr)
    bad = sum(bool(result.violations) for result in results)
    total = sum(result.steps for result in results)
    return combined_digest(results), total / (time.monotonic() - began), bad


def main() -> int:
    """Exit code 1 if a rule was broken or two equal rounds were not alike."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--steps", type=int, default=1_000_000, help="of the long play")
    parser.add_argument("--seeds", type=int, default=100, help="short plays")
    parser.add_argument("--short", type=int, default=10_000, help="steps of a short play")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    chosen = parser.parse_args()
    long, tenth = _long(chosen.steps)
    peak = _peak_mb()
    first = _short(chosen.seeds, chosen.short, chosen.jobs)
    second = _short(chosen.seeds, chosen.short, chosen.jobs)
    same = first[0] == second[0]
    violations = len(long.violations) + first[2] + second[2]
    print(
        f"steps={long.steps} steps_per_s={long.steps_per_s:.0f}"
        f" virtual_ratio={long.virtual_s / long.wall_s:.2f}"
        f" all_steps_per_s={max(first[1], second[1]):.0f} jobs={chosen.jobs} seeds={chosen.seeds}"
        f" same_digests={'yes' if same else 'no'} violations={violations}"
        f" peak_mb={peak:.0f} peak_mb_tenth={tenth:.0f}"
    )
    return 0 if same and not violations else 1


if __name__ == "__main__":
    sys.exit(main())
