"""Delta debugging of fault plans, on its own and on a planted fault."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from leadrudder.simulation.faults import Fault, draw_faults
from leadrudder.simulation.runner import RunSetup
from leadrudder.simulation.shrink import ddmin, shrink_plan
from tests.simulation.planted_faults import exception_swallowed, reset_counts_as_never_ran


@pytest.mark.parametrize("needed", [(), (0,), (39,), (3, 17), (0, 20, 39), (5, 6, 7, 8)])
def test_ddmin_keeps_only_what_is_needed(needed: tuple[int, ...]) -> None:
    plan = draw_faults("a", 0, 10_000, 40)
    wanted = [plan[i] for i in needed]
    tries = 0

    def fails(faults: Sequence[Fault]) -> bool:
        nonlocal tries
        tries += 1
        assert list(faults) == sorted(faults, key=plan.index)
        return all(fault in faults for fault in wanted)

    assert ddmin(plan, fails) == wanted
    assert tries < 300


def test_a_failing_run_is_reduced_to_the_faults_that_matter(monkeypatch: pytest.MonkeyPatch) -> None:
    reset_counts_as_never_ran(monkeypatch)
    lines: list[str] = []
    found = shrink_plan(RunSetup("5", 8000), lines.append)
    assert found is not None and lines
    whole, least = found
    assert least.violations[0].rule == whole.violations[0].rule == "unsafe-repeated"
    assert 1 <= len(least.plan) < len(whole.plan)
    assert {fault.kind for fault in least.plan} <= {fault.kind for fault in whole.plan}


def test_a_failure_without_faults_is_reduced_to_an_empty_plan(monkeypatch: pytest.MonkeyPatch) -> None:
    exception_swallowed(monkeypatch)
    found = shrink_plan(RunSetup("1", 5000))
    assert found is not None and found[1].plan == ()


def test_a_run_without_violations_is_not_shrunk() -> None:
    assert shrink_plan(RunSetup("1", 500)) is None
