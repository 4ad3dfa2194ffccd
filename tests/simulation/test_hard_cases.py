"""Scripted combinations of faults that are hard to handle, each over several seeds."""

from __future__ import annotations

import pytest

from leadrudder.simulation.faults import Fault
from leadrudder.simulation.runner import RunResult, RunSetup, run_world
from leadrudder.simulation.world import World
from tests.simulation.planted_faults import drain_limit_too_long

SEEDS = range(1, 5)


def _play(seed: int, *faults: tuple[str, int, int, int, float], steps: int = 9000) -> RunResult:
    plan = tuple(Fault(kind, at, target, span, level) for kind, at, target, span, level in faults)
    result = run_world(RunSetup(f"hard-{seed}", steps, faults=plan))
    assert result.counts.get("faults", 0) == len(plan), "not every fault was injected"
    return result


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("signal", ["node-restart", "node-killed"])
def test_a_node_restart_while_a_server_drains(seed: int, signal: str) -> None:
    """The node's persisted list may still name the draining server as ready."""
    result = _play(
        seed,
        ("drain", 500, 1, 1500, 0.1),
        (signal, 800, 0, 300, 0.0),
        ("drain", 900, 2, 1500, 0.0),
        (signal, 1000, 1, 300, 0.9),
    )
    assert not result.violations, result.violations
    assert result.counts["served"] > 20


@pytest.mark.parametrize("seed", SEEDS)
def test_timers_and_responses_at_the_same_instant(seed: int) -> None:
    """All arrivals fall on whole milliseconds while servers respond at about the timeouts."""
    result = _play(
        seed, ("coincide", 0, 0, 60_000, 0.1), ("hang", 300, 1, 3100, 0.5), ("slow-all", 400, 0, 4000, 1.0)
    )
    assert not result.violations, result.violations


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_vanish_while_discovery_is_down_and_return_cold(seed: int) -> None:
    result = _play(
        seed,
        ("list-down", 400, 0, 3000, 0.5),
        ("silent", 600, 0, 2000, 0.5),
        ("silent", 700, 1, 2500, 0.5),
        ("node-killed", 900, 0, 200, 0.5),
    )
    assert not result.violations, result.violations


@pytest.mark.parametrize("seed", SEEDS)
def test_an_address_is_reused_while_connections_to_it_are_idle(seed: int) -> None:
    result = _play(
        seed, ("reuse", 600, 0, 100, 0.9), ("reuse", 900, 1, 100, 0.0), ("list-back", 1500, 3, 500, 0.5)
    )
    assert not result.violations, result.violations


@pytest.mark.parametrize("seed", SEEDS)
def test_a_frozen_node_handles_all_due_events_at_once(seed: int) -> None:
    result = _play(seed, ("node-frozen", 700, 0, 400, 0.5), ("node-frozen", 1500, 1, 400, 0.5))
    assert not result.violations, result.violations


HANGING_AT_SIGTERM = (
    *(("hang", 600 + i, i, 6000, 0.5) for i in range(8)),
    ("node-restart", 900, 0, 300, 1.0),
    ("node-restart", 1000, 1, 300, 1.0),
)


def test_hanging_requests_at_sigterm_are_answered_before_sigkill(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers wait up to 4 s and SIGKILL comes after 3.7 s, so the node needs a drain limit of its own."""
    for seed in (4, 5, 6):
        result = _play(seed, *HANGING_AT_SIGTERM)
        assert not result.violations, result.violations
    drain_limit_too_long(monkeypatch)
    found = [_play(seed, *HANGING_AT_SIGTERM).violations for seed in (4, 5, 6)]
    assert all(violations and violations[0].rule == "crash" for violations in found), found


def test_a_closed_world_is_empty() -> None:
    world = World("1")
    world.run(3000)
    world.close()
    assert not world.network.open_transports and not world.network._listeners
    assert world.processes and not any(loop.alive for loop in world.processes)
