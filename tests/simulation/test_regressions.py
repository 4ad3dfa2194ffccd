"""Seeds on which the simulation once found faults of the node.

The faults themselves are kept in planted_faults.py and in the tests of the modules concerned.
"""

from __future__ import annotations

import pytest

from leadrudder.simulation.runner import RunSetup, run_world

FOUND = [
    # Busy loop at one instant: a timer due in less than half a millisecond fired at once and was set again.
    RunSetup("1", 8_000),
    # 38 live timers in a sidecar at rest: each that was overtaken armed another one, for good.
    RunSetup("58", 20_000),
    # A watch without news was taken for a call without a reply: discovery was asked anew every second.
    RunSetup("k785107", 15_000, 1, ("rude", "flood", "tail", "reset-answer")),
    RunSetup("k653776", 15_000, 3, ("list-down", "node-reload", "slow-link", "slow-all")),
]


@pytest.mark.parametrize("setup", FOUND, ids=lambda setup: setup.seed)
def test_former_failures_stay_fixed(setup: RunSetup) -> None:
    result = run_world(setup)
    assert not result.violations, result.violations
    assert result.steps >= setup.steps
