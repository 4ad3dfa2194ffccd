"""The speed and reproducibility of the simulation: python -m bench.simulation.

One long run on one core, then many short ones on all cores, twice. The last line has

    steps, steps_per_s        of the long run on one core
    virtual_ratio             virtual seconds per real second of that run
    all_steps_per_s           of the short runs on all cores, including the start of the processes
    same_digests              whether both rounds of the short runs had equal digests
    peak_mb                   peak memory of the process after the long run
    peak_mb_tenth             the same after a tenth of it, to show whether memory grows with the run's length
"""

from __future__ import annotations

import argparse
import os
import resource
import sys
import time

from leadrudder.simulation.runner import RunResult, RunSetup, combined_digest, run_many, run_world

PROGRESS_INTERVAL_S = 5.0


def _peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0


def _run_long(steps: int) -> tuple[RunResult, float]:
    last_print_at = time.monotonic()
    peak_mb_at_tenth = 0.0

    def progress(done_steps: int, virtual_s: float) -> None:
        nonlocal last_print_at, peak_mb_at_tenth
        if not peak_mb_at_tenth and done_steps >= steps / 10:
            peak_mb_at_tenth = _peak_mb()
        if time.monotonic() - last_print_at >= PROGRESS_INTERVAL_S:
            last_print_at = time.monotonic()
            print(f"one core: {done_steps} of {steps} steps, {virtual_s:.0f} virtual s", file=sys.stderr)

    return run_world(RunSetup("bench", steps), progress=progress), peak_mb_at_tenth


def _run_short(seeds: int, steps: int, jobs: int) -> tuple[str, float, int]:
    started_at = time.monotonic()
    results = []
    for result in run_many([RunSetup(str(seed), steps) for seed in range(seeds)], jobs):
        results.append(result)
        if len(results) % 25 == 0:
            print(f"{jobs} cores: {len(results)} of {seeds} seeds", file=sys.stderr)
    violating_runs = sum(bool(result.violations) for result in results)
    step_count = sum(result.steps for result in results)
    return combined_digest(results), step_count / (time.monotonic() - started_at), violating_runs


def main() -> int:
    """Exit code 1 if an invariant was violated or the two equal rounds had different digests."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--steps", type=int, default=1_000_000, help="steps of the long run")
    parser.add_argument("--seeds", type=int, default=100, help="number of short runs")
    parser.add_argument("--short", type=int, default=10_000, help="steps of a short run")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    options = parser.parse_args()
    long_run, peak_mb_at_tenth = _run_long(options.steps)
    peak_mb = _peak_mb()
    first = _run_short(options.seeds, options.short, options.jobs)
    second = _run_short(options.seeds, options.short, options.jobs)
    same_digests = first[0] == second[0]
    violations = len(long_run.violations) + first[2] + second[2]
    print(
        f"steps={long_run.steps} steps_per_s={long_run.steps_per_s:.0f}"
        f" virtual_ratio={long_run.virtual_s / long_run.wall_s:.2f}"
        f" all_steps_per_s={max(first[1], second[1]):.0f} jobs={options.jobs} seeds={options.seeds}"
        f" same_digests={'yes' if same_digests else 'no'} violations={violations}"
        f" peak_mb={peak_mb:.0f} peak_mb_tenth={peak_mb_at_tenth:.0f}"
    )
    return 0 if same_digests and not violations else 1


if __name__ == "__main__":
    sys.exit(main())
