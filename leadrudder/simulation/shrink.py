"""Cuts a failing plan to the faults that matter: delta debugging over the list of faults.

After A. Zeller and R. Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002 (ddmin). A plan
fails if the same rule breaks again, at whatever step: without the other faults the play runs otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TypeVar

from leadrudder.simulation.faults import Fault
from leadrudder.simulation.runner import RunResult, RunSetup, run_world

T = TypeVar("T")


def ddmin(faults: Sequence[T], fails: Callable[[Sequence[T]], bool]) -> list[T]:
    """A plan that fails, and no longer does when any one of its faults (or moves) is remaining out.

    faults must fail itself. Takes at most about n squared plays, mostly far fewer.
    """
    remaining = list(faults)
    granularity = 2
    while len(remaining) >= 2:
        size = -(-len(remaining) // granularity)
        chunks = [remaining[i : i + size] for i in range(0, len(remaining), size)]
        for i, chunk in enumerate(chunks):
            rest = [fault for j, other in enumerate(chunks) if j != i for fault in other]
            if granularity > 2 and fails(chunk):
                remaining, granularity = chunk, 2
                break
            if fails(rest):
                remaining, granularity = rest, max(granularity - 1, 2)
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
    """The play of a setup and that of the least plan which breaks the same rule; None if it breaks none.

    report is given a line for each try.
    """
    whole = run_world(setup)
    if not whole.violations:
        return None
    rule = whole.violations[0].rule
    end_ms = whole.violations[0].at_us // 1000
    before = [fault for fault in whole.plan if fault.at_ms <= end_ms]

    def rerun(faults: Sequence[Fault]) -> RunResult:
        # What is cut away may make the rest later, and never needs more steps than the whole did.
        return run_world(replace(setup, faults=tuple(faults), steps=whole.steps))

    def fails(faults: Sequence[Fault]) -> bool:
        violations = rerun(faults).violations
        same = bool(violations) and violations[0].rule == rule
        report(f"{len(faults)} of {len(before)} faults: {violations[0].rule if violations else 'clean'}")
        return same

    kept = before if fails(before) else list(whole.plan)
    return whole, rerun(ddmin(kept, fails))
