"""The command `leadrudder simulate`: runs seeds, and traces, replays or shrinks single runs."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

import click

from leadrudder.simulation.faults import FAULT_KINDS, PlanError, validate_kinds
from leadrudder.simulation.runner import RunResult, RunSetup, combined_digest, run_many, run_world
from leadrudder.simulation.shrink import shrink_plan
from leadrudder.simulation.trace import TraceError, TraceWriter, read_trace

PROGRESS_S = 1.0
MAX_NODES = 64
EXIT_VIOLATIONS = 1


class _SeedRange(click.ParamType[tuple[int, int]]):
    """A:B, the integers from A up to and excluding B."""

    name = "A:B"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, int]:
        first, colon, last = str(value).partition(":")
        try:
            low, high = int(first), int(last)
        except ValueError:
            low = high = 0
        if not colon or high <= low:
            self.fail(f"{value!r} is not a range A:B with A below B", param, ctx)
        return low, high


def _kinds(_: click.Context, __: click.Parameter, text: str) -> tuple[str, ...]:
    try:
        return tuple(validate_kinds(kind for kind in text.split(",") if kind))
    except PlanError as error:
        raise click.BadParameter(str(error)) from None


@click.command()
@click.option("--seed", type=str, help="Play this seed.")
@click.option("--seeds", type=_SeedRange(), help="Play the seeds from A up to but not with B, on all cores.")
@click.option("--shrink", "shrinking", type=str, metavar="SEED", help="Cut a failing seed's plan down.")
@click.option("--replay", type=click.Path(path_type=Path), help="Play a trace again; the digest must agree.")
@click.option("--steps", type=click.IntRange(1), default=100_000, show_default=True, help="Of each play.")
@click.option("--nodes", type=click.IntRange(1, MAX_NODES), default=2, show_default=True, help="In front.")
@click.option("--faults", callback=_kinds, default="", help="Draw only faults of these kinds: NAME,NAME.")
@click.option("--heavy", is_flag=True, help="Sites near what a cold fleet bears.")
@click.option("--trace", type=click.Path(path_type=Path), help="Write down what happens.")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, help="Cores for --seeds.")
@click.option("--list-faults", is_flag=True, help="Tell the kinds of faults, and end.")
def simulate(
    seed: str | None,
    seeds: tuple[int, int] | None,
    shrinking: str | None,
    replay: Path | None,
    steps: int,
    nodes: int,
    faults: tuple[str, ...],
    heavy: bool,
    trace: Path | None,
    jobs: int,
    list_faults: bool,
) -> int:
    """Play whole nodes on a virtual clock against faults drawn from a seed.

    The rules are checked after every step. Exit code 0: all held. 1: one was broken, and the last lines say
    how to replay it. 2: this cannot be played.
    """
    if list_faults:
        for name, kind in FAULT_KINDS.items():
            print(f"{name:14} {kind.description}")
        return 0
    if sum(option is not None for option in (seed, seeds, shrinking, replay)) != 1:
        raise click.UsageError("one of --seed, --seeds, --shrink and --replay is wanted")
    if trace is not None and seeds is not None:
        raise click.UsageError("--trace is for one play, not for --seeds")
    if seeds is not None:
        return _run_seeds(
            [RunSetup(str(n), steps, nodes, faults, heavy=heavy) for n in range(*seeds)], seeds, jobs
        )
    if shrinking is not None:
        return _shrink(RunSetup(shrinking, steps, nodes, faults, heavy=heavy), trace)
    expected: str | None = None
    if replay is not None:
        try:
            setup, expected = read_trace(replay)
        except TraceError as error:
            raise click.ClickException(str(error)) from None
    else:
        assert seed is not None
        setup = RunSetup(seed, steps, nodes, faults, heavy=heavy)
    result = _run_traced(setup, trace)
    code = _print_result(result)
    if expected is not None and expected != result.digest:
        print(f"leadrudder: the trace ended with digest {expected}: the program is another", file=sys.stderr)
        return EXIT_VIOLATIONS
    return code


def _run_traced(setup: RunSetup, trace: Path | None) -> RunResult:
    printed_at = time.monotonic()

    def progress(steps: int, virtual_s: float) -> None:
        nonlocal printed_at
        if time.monotonic() - printed_at >= PROGRESS_S:
            printed_at = time.monotonic()
            print(f"{steps} of {setup.steps} steps, {virtual_s:.1f} s of virtual time", file=sys.stderr)

    if trace is None:
        return run_world(setup, progress=progress)
    try:
        writer = TraceWriter(trace, setup)
    except OSError as error:
        raise click.ClickException(f"{trace} cannot be written: {error}") from None
    try:
        result = run_world(setup, progress=progress, observe=writer.observe)
        writer.finish(result)
    finally:
        writer.close()
    return result


def _print_result(result: RunResult) -> int:
    """Prints violations, how to reproduce them, and the summary line; returns the exit code."""
    setup = result.setup
    for violation in result.violations:
        print(f"violation: {violation}")
    if result.violations:
        kinds = f" --faults {','.join(setup.kinds)}" if setup.kinds else ""
        kinds += " --heavy" if setup.heavy else ""
        same = f"--seed {setup.seed} --steps {setup.steps} --nodes {setup.nodes}{kinds}"
        if setup.faults is None:
            print(f"replay: leadrudder simulate {same} --trace FILE")
            print(f"cut down: leadrudder simulate {same.replace('--seed', '--shrink')} --trace FILE")
    print(
        f"seed={setup.seed} steps={result.steps} digest={result.digest}"
        f" violations={len(result.violations)} steps_per_s={result.steps_per_s:.0f}"
    )
    return EXIT_VIOLATIONS if result.violations else 0


def _run_seeds(setups: list[RunSetup], seeds: tuple[int, int], jobs: int) -> int:
    started = printed_at = time.monotonic()
    results: list[RunResult] = []
    for result in run_many(setups, min(jobs, len(setups))):
        results.append(result)
        if result.violations:
            _print_result(result)
        if time.monotonic() - printed_at >= PROGRESS_S:
            printed_at = time.monotonic()
            violated = sum(bool(r.violations) for r in results)
            print(f"{len(results)} of {len(setups)} seeds, {violated} with violations", file=sys.stderr)
    steps = sum(result.steps for result in results)
    violated = sum(bool(result.violations) for result in results)
    print(
        f"seeds={seeds[0]}:{seeds[1]} plays={len(results)} steps={steps} digest={combined_digest(results)}"
        f" violations={violated} steps_per_s={steps / (time.monotonic() - started):.0f}"
    )
    return EXIT_VIOLATIONS if violated else 0


def _shrink(setup: RunSetup, trace: Path | None) -> int:
    results = shrink_plan(setup, lambda line: print(line, file=sys.stderr))
    if results is None:
        raise click.ClickException(f"seed {setup.seed} breaks no rule within {setup.steps} steps")
    full, smallest = results
    for fault in smallest.plan:
        figures = f"target {fault.target}, {fault.span_ms} ms, level {fault.level}"
        print(f"matters: {fault.kind} at {fault.at_ms} ms, {figures}")
    print(f"cut down from {len(full.plan)} to {len(smallest.plan)} faults")
    if trace is not None:
        smallest = _run_traced(smallest.setup, trace)
        print(f"replay: leadrudder simulate --replay {trace}")
    return _print_result(smallest)
