"""The simulation finds bugs that are put into the node, and tells each play again to the same digest."""

from __future__ import annotations

import pytest

from leadrudder.simulation.runner import RunSetup, run_world
from tests.simulation.planted_faults import PLANTS, Planted

STEPS = 12_000


def _setup(planted: Planted, seed: int) -> RunSetup:
    return RunSetup(str(seed), STEPS, kinds=planted.kinds, heavy=planted.heavy)


@pytest.mark.parametrize("planted", PLANTS, ids=lambda planted: planted.plant.__name__)
def test_a_planted_bug_is_found_and_played_again(planted: Planted, monkeypatch: pytest.MonkeyPatch) -> None:
    planted.plant(monkeypatch)
    for seed in range(1, planted.within + 1):
        found = run_world(_setup(planted, seed))
        if found.violations:
            break
    assert found.violations, f"not found within {planted.within} seeds"
    assert found.violations[0].rule in planted.rules, found.violations[0]
    again = run_world(found.setup)
    assert (again.digest, again.violations, again.steps) == (found.digest, found.violations, found.steps)


@pytest.mark.parametrize(
    "kinds, heavy",
    sorted({(planted.kinds, planted.heavy) for planted in PLANTS}),
    ids=lambda value: "-".join(value) or "all" if isinstance(value, tuple) else "heavy" * value,
)
def test_the_node_as_it_is_breaks_no_rule_on_the_same_seeds(kinds: tuple[str, ...], heavy: bool) -> None:
    most = max(planted.within for planted in PLANTS if (planted.kinds, planted.heavy) == (kinds, heavy))
    for seed in range(1, most + 1):
        result = run_world(RunSetup(str(seed), STEPS, kinds=kinds, heavy=heavy))
        assert not result.violations, (seed, result.violations)
        assert result.counts["taken"] > 50 and result.counts["served"] > 20, result.counts
