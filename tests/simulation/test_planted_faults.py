"""The simulation finds faults planted in the node, and reproduces each run with the same digest."""

from __future__ import annotations

import pytest

from leadrudder.simulation.runner import RunSetup, run_world
from tests.simulation.planted_faults import PLANTED_FAULTS, PlantedFault

STEPS = 12_000


def _setup(planted: PlantedFault, seed: int) -> RunSetup:
    return RunSetup(str(seed), STEPS, kinds=planted.kinds, heavy=planted.heavy)


@pytest.mark.parametrize("planted", PLANTED_FAULTS, ids=lambda planted: planted.apply.__name__)
def test_a_planted_fault_is_found_and_reproduced(
    planted: PlantedFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    planted.apply(monkeypatch)
    for seed in range(1, planted.max_seeds + 1):
        found = run_world(_setup(planted, seed))
        if found.violations:
            break
    assert found.violations, f"not found within {planted.max_seeds} seeds"
    assert found.violations[0].rule in planted.rules, found.violations[0]
    again = run_world(found.setup)
    assert (again.digest, again.violations, again.steps) == (found.digest, found.violations, found.steps)


@pytest.mark.parametrize(
    "kinds, heavy",
    sorted({(planted.kinds, planted.heavy) for planted in PLANTED_FAULTS}),
    ids=lambda value: "-".join(value) or "all" if isinstance(value, tuple) else "heavy" * value,
)
def test_the_unchanged_node_breaks_no_rule_on_the_same_seeds(kinds: tuple[str, ...], heavy: bool) -> None:
    seeds = max(
        planted.max_seeds for planted in PLANTED_FAULTS if (planted.kinds, planted.heavy) == (kinds, heavy)
    )
    for seed in range(1, seeds + 1):
        result = run_world(RunSetup(str(seed), STEPS, kinds=kinds, heavy=heavy))
        assert not result.violations, (seed, result.violations)
        assert result.counts["taken"] > 50 and result.counts["served"] > 20, result.counts
