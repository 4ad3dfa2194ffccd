"""Seeds on which the simulation found faults of the node, as it and the model were then.

The faults themselves are kept as plants (planted_faults.py) and in the module's own tests.
"""

from __future__ import annotations

import pytest

from leadrudder.simulation.runner import RunSetup, run_world

FOUND = [
    # Calls the module again and again at one instant: a timer less than half a millisecond away fired at
    # once.
    RunSetup("1", 8_000),
    # 38 live timers in a sidecar at rest: each that was overtaken armed another one, for good.
    RunSetup("58", 20_000),
    # A watch without news was taken for a call without a reply: discovery was asked anew every second.
    RunSetup("k785107", 15_000, 1, ("rude", "flood", "tail", "reset-answer")),
    RunSetup("k653776", 15_000, 3, ("list-down", "node-reload", "slow-link", "slow-all")),
]


@pytest.mark.parametrize("setup", FOUND, ids=lambda setup: setup.seed)
def test_what_was_found_stays_mended(setup: RunSetup) -> None:
    result = run_world(setup)
    assert not result.violations, result.violations
    assert result.steps >= setup.steps
