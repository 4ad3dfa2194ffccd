"""Reduces a failing fault plan to the faults that matter, by delta debugging.

After A. Zeller and R. Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002 (ddmin). A plan
fails if it breaks the same rule, at any step, because the run takes other steps once faults are removed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TypeVar

from leadrudder.simulation.faults import Fault
from leadrudder.simulation.runner import RunResult, RunSetup, run_world

T = TypeVar("T")


def ddmin(faults: Sequence[T], fails: Callable[[Sequence[T]], bool]) -> list[T]:
    """Returns a failing part of `faults` (or other items) that no longer fails without any one of them.

    `faults` itself must fail. Takes at most about n squared runs, usually far fewer.
    """
    remaining = list(faults)
    granularity = 2
    while len(remaining) >= 2:
        size = -(-len(remaining) // granularity)
        chunks = [remaining[i : i + size] for i in range(0, len(remaining), size)]
        for i, chunk in enumerate(chunks):
            complement = [fault for j, other in enumerate(chunks) if j != i for fault in other]
            if granularity > 2 and fails(chunk):
                remaining, granularity = chunk, 2
                break
            if fails(complement):
                remaining, granularity = complement, max(granularity - 1, 2)
                break
        else:
            if granularity >= len(remaining):
                return remaining
            granularity = min(len(remaining), 2 * granularity)
    if remaining and fails([]):
        return []
    return remaining


def shrink_plan(
    setup: RunSetup, report: Callable[[str], None] = lambda _: None
) -> tuple[RunResult, RunResult] | None:
    """Runs a setup and its smallest plan that breaks the same rule; None if the setup breaks no rule.

    Returns both results. report gets one line per run.
    """
    full = run_world(setup)
    if not full.violations:
        return None
    rule = full.violations[0].rule
    end_ms = full.violations[0].at_us // 1000
    until_violation = [fault for fault in full.plan if fault.at_ms <= end_ms]

    def rerun(faults: Sequence[Fault]) -> RunResult:
        # The full plan's steps are enough for any part of it, although the violation may come later.
        return run_world(replace(setup, faults=tuple(faults), steps=full.steps))

    def fails(faults: Sequence[Fault]) -> bool:
        violations = rerun(faults).violations
        same = bool(violations) and violations[0].rule == rule
        report(
            f"{len(faults)} of {len(until_violation)} faults: {violations[0].rule if violations else 'clean'}"
        )
        return same

    kept = until_violation if fails(until_violation) else list(full.plan)
    return full, rerun(ddmin(kept, fails))
