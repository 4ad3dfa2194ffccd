"""The users' worst days, measured: python -m bench.incidents [--seeds N] [--changes N] [--jobs N].

Control machines are the interlockings that run, in virtual time; calls are whole programs in virtual time.
Times in the table are virtual seconds, the longest of all seeds; the longest step is real processor time.
The last line has every figure.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from leadrudder.control_simulation.incidents import (
    CatchUp,
    CutOff,
    Fault,
    Loss,
    calls,
    cut_off,
    many_changes,
    two_losses,
)
from leadrudder.control_simulation.scenario import FAULTS, STANDSTILL, Course
from leadrudder.control_simulation.world import Broken
from leadrudder.emulation.fleet import Bookings
from tests.mesh.planted_faults import NOT_FOUND, PLANTED_FAULTS
from tests.mesh.test_emulation import PLAN

SECOND_LOSS_STEP_S = 0.05
SECOND_LOSS_STEPS = 60
KEYS_OF_MANY_CHANGES = 2000


@dataclass(frozen=True, slots=True)
class Ended:
    """One play: what it told, or the rule that it broke."""

    told: Any
    broken: str = ""


def attempt(play: Callable[..., Any], *arguments: Any) -> Ended:
    try:
        return Ended(play(*arguments))
    except Broken as broken:
        return Ended(None, str(broken).splitlines()[0])


def course(seed: int) -> bool:
    """Two operators and more, under every fault; the course judges double confirmations and refusals."""
    Course(seed, faults=8, calls=24, kinds=FAULTS + 3 * STANDSTILL, stations=4).play()
    return True


def told(name: str, ended: Iterable[Ended]) -> tuple[list[Any], int]:
    """What whole plays told, and how many broke a rule; each broken one gets a line."""
    whole, broken = [], 0
    for each in ended:
        if each.broken:
            broken += 1
            print(f"{name}: BROKEN {each.broken}", flush=True)
        else:
            whole.append(each.told)
    return whole, broken


def main(argv: Sequence[str] | None = None) -> int:
    """The exit code is 1 if any play broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m bench.incidents", description=__doc__)
    parser.add_argument("--seeds", type=int, default=20, help="of each way of being out of reach")
    parser.add_argument("--course-seeds", type=int, default=200)
    parser.add_argument("--call-seeds", type=int, default=100)
    parser.add_argument("--changes", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args(argv)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        catch_up = pool.submit(attempt, many_changes, 1, arguments.changes, KEYS_OF_MANY_CHANGES)
        cuts: list[CutOff] = []
        broken = 0
        for fault in Fault:
            seeds = range(arguments.seeds)
            whole, bad = told(fault, pool.map(attempt, [cut_off] * len(seeds), seeds, [fault] * len(seeds)))
            broken += bad
            cuts += whole
            if whole:
                ack, apply = max(c.ack_max_s for c in whole), max(c.apply_max_s for c in whole)
                orders = sum(c.orders for c in whole)
                print(f"{fault:45} orders {orders:6} ack {ack:.2f} s  apply {apply:.2f} s", flush=True)
        steps = [(s % 7, loss, SECOND_LOSS_STEP_S * s) for loss in Loss for s in range(SECOND_LOSS_STEPS)]
        losses, bad_losses = told(
            "two losses", pool.map(attempt, [two_losses] * len(steps), *zip(*steps, strict=True))
        )
        print(
            f"two losses in a row: {len(losses)} of {len(steps)}, {sum(losses)} with both disks", flush=True
        )
        seeds = range(arguments.course_seeds)
        courses, bad_courses = told("course", pool.map(attempt, [course] * len(seeds), seeds))
        print(f"courses: {len(courses)} of {len(seeds)}", flush=True)
        seeds = range(arguments.call_seeds)
        plans = [PLAN] * len(seeds)
        called, bad_calls = told("calls", pool.map(attempt, [calls] * len(seeds), seeds, plans))
        bookings: list[Bookings] = called
        print(
            f"calls: {len(called)} of {len(seeds)} seeds, "
            f"{sum(b.asked for b in bookings)} that may run once, "
            f"{sum(b.landed_once for b in bookings)} landed, {sum(b.in_doubt for b in bookings)} in doubt",
            flush=True,
        )
        caught, bad_catch = told("many changes", [catch_up.result()])
    found: CatchUp | None = caught[0] if caught else None
    broken += bad_losses + bad_courses + bad_calls + bad_catch
    guards = len(PLANTED_FAULTS) - len(NOT_FOUND)
    line = (
        f"cut20_ack_ms={1000 * max((c.ack_max_s for c in cuts), default=0.0):.0f} "
        f"cut20_apply_ms={1000 * max((c.apply_max_s for c in cuts), default=0.0):.0f} "
        f"losses_in_row={len(losses)}/{len(steps)} courses={len(courses)}/{arguments.course_seeds} "
        f"call_seeds={len(called)}/{arguments.call_seeds} "
        f"guards_shown={guards}/{len(PLANTED_FAULTS)} broken={broken}"
    )
    if found is not None:
        line += (
            f" changes={found.changes} restarted_s={found.restarted_s:.2f} absent_s={found.absent_s:.2f} "
            f"wiped_s={found.wiped_s:.2f} wiped_mb={found.wiped_bytes / 1e6:.2f} "
            f"largest_frame_mb={found.largest_frame / 1e6:.2f} "
            f"longest_step_ms={1000 * found.longest_step_s:.0f}"
        )
    print(line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
