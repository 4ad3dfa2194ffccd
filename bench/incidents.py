"""Severe incidents, simulated and measured: python -m bench.incidents [--seeds N] [--changes N] [--jobs N].

Control machines are the real state machines in virtual time; requests pass whole programs in virtual time.
Times in the table are virtual seconds, the longest of all seeds; the longest step is real processor time.
The last line has all figures.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from leadrudder.control_simulation.incidents import (
    CatchUpResult,
    Fault,
    FirstLoss,
    UnreachableResult,
    run_many_changes,
    run_requests,
    run_two_losses,
    run_unreachable_machine,
)
from leadrudder.control_simulation.scenario import FAULT_KINDS, FREEZE_KINDS, Scenario
from leadrudder.control_simulation.world import InvariantViolation
from leadrudder.emulation.fleet import BookingOutcomes
from tests.mesh.planted_faults import NOT_FOUND, PLANTED_FAULTS
from tests.mesh.test_emulation import PLAN

SECOND_LOSS_STEP_S = 0.05
SECOND_LOSS_STEP_COUNT = 60
MANY_CHANGES_KEY_COUNT = 2000


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one run, or the invariant that it violated."""

    result: Any
    broken: str = ""


def run_checked(run: Callable[..., Any], *arguments: Any) -> RunResult:
    try:
        return RunResult(run(*arguments))
    except InvariantViolation as broken:
        return RunResult(None, str(broken).splitlines()[0])


def run_scenario(seed: int) -> bool:
    """Concurrent operators under all kinds of faults; checks for double acknowledgements and refusals."""
    Scenario(
        seed, fault_count=8, change_count=24, fault_kinds=FAULT_KINDS + 3 * FREEZE_KINDS, node_count=4
    ).run()
    return True


def collect_results(name: str, runs: Iterable[RunResult]) -> tuple[list[Any], int]:
    """Results of the runs without a violation, and the number of the others, each of which gets a line."""
    results, broken = [], 0
    for each in runs:
        if each.broken:
            broken += 1
            print(f"{name}: BROKEN {each.broken}", flush=True)
        else:
            results.append(each.result)
    return results, broken


def main(argv: Sequence[str] | None = None) -> int:
    """The exit code is 1 if any run violated an invariant."""
    parser = argparse.ArgumentParser(prog="python -m bench.incidents", description=__doc__)
    parser.add_argument("--seeds", type=int, default=20, help="for each kind of unreachability")
    parser.add_argument("--course-seeds", type=int, default=200)
    parser.add_argument("--call-seeds", type=int, default=100)
    parser.add_argument("--changes", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args(argv)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        catch_up = pool.submit(run_checked, run_many_changes, 1, arguments.changes, MANY_CHANGES_KEY_COUNT)
        cuts: list[UnreachableResult] = []
        broken = 0
        for fault in Fault:
            seeds = range(arguments.seeds)
            results, violated = collect_results(
                fault,
                pool.map(run_checked, [run_unreachable_machine] * len(seeds), seeds, [fault] * len(seeds)),
            )
            broken += violated
            cuts += results
            if results:
                ack, apply = max(c.ack_max_s for c in results), max(c.apply_max_s for c in results)
                orders = sum(c.changes for c in results)
                print(f"{fault:45} orders {orders:6} ack {ack:.2f} s  apply {apply:.2f} s", flush=True)
        steps = [
            (s % 7, loss, SECOND_LOSS_STEP_S * s) for loss in FirstLoss for s in range(SECOND_LOSS_STEP_COUNT)
        ]
        losses, bad_losses = collect_results(
            "two losses", pool.map(run_checked, [run_two_losses] * len(steps), *zip(*steps, strict=True))
        )
        print(
            f"two losses in a row: {len(losses)} of {len(steps)}, {sum(losses)} with both disks", flush=True
        )
        seeds = range(arguments.course_seeds)
        scenario_results, bad_scenarios = collect_results(
            "course", pool.map(run_checked, [run_scenario] * len(seeds), seeds)
        )
        print(f"courses: {len(scenario_results)} of {len(seeds)}", flush=True)
        seeds = range(arguments.call_seeds)
        plans = [PLAN] * len(seeds)
        called, bad_calls = collect_results(
            "calls", pool.map(run_checked, [run_requests] * len(seeds), seeds, plans)
        )
        bookings: list[BookingOutcomes] = called
        print(
            f"calls: {len(called)} of {len(seeds)} seeds, "
            f"{sum(b.asked for b in bookings)} that may run once, "
            f"{sum(b.landed_once for b in bookings)} landed, {sum(b.in_doubt for b in bookings)} in doubt",
            flush=True,
        )
        catch_up_results, bad_catch = collect_results("many changes", [catch_up.result()])
    caught_up: CatchUpResult | None = catch_up_results[0] if catch_up_results else None
    broken += bad_losses + bad_scenarios + bad_calls + bad_catch
    guarded_faults = len(PLANTED_FAULTS) - len(NOT_FOUND)
    line = (
        f"cut20_ack_ms={1000 * max((c.ack_max_s for c in cuts), default=0.0):.0f} "
        f"cut20_apply_ms={1000 * max((c.apply_max_s for c in cuts), default=0.0):.0f} "
        f"losses_in_row={len(losses)}/{len(steps)} courses={len(scenario_results)}/{arguments.course_seeds} "
        f"call_seeds={len(called)}/{arguments.call_seeds} "
        f"guards_shown={guarded_faults}/{len(PLANTED_FAULTS)} broken={broken}"
    )
    if caught_up is not None:
        line += (
            f" changes={caught_up.changes} restarted_s={caught_up.restarted_s:.2f} "
            f"absent_s={caught_up.absent_s:.2f} "
            f"wiped_s={caught_up.wiped_s:.2f} wiped_mb={caught_up.wiped_bytes / 1e6:.2f} "
            f"largest_frame_mb={caught_up.largest_frame_bytes / 1e6:.2f} "
            f"longest_step_ms={1000 * caught_up.longest_step_s:.0f}"
        )
    print(line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
