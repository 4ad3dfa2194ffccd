"""Limits under decisions of a revision before the rename: the same runs as under today's.

Guards against a limit that such a revision cannot call, as its Balancer calls moved and feel, and passes an
object whose attributes have other names.
"""

from __future__ import annotations

import functools
from types import SimpleNamespace

import pytest

from leadrudder import interface as api
from leadrudder.experiment.limits import LIMITS, LimitedBalancer
from leadrudder.experiment.node import Decider
from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play
from leadrudder.policy.decide import Balancer
from leadrudder.recovery.saturation import Saturation
from tests.experiment.small import values

LIMIT_EACH = 3.0


class _FormerCaller:
    """A limit as a former revision calls it."""

    def __init__(self, limit: SimpleNamespace) -> None:
        self._limit = limit
        self.calls: set[str] = set()

    @property
    def value(self) -> float:
        value: float = self._limit.value
        return value

    @value.setter
    def value(self, value: float) -> None:
        self._limit.value = value

    def rescale(self, by: float, servers: float, part: float) -> None:
        self.calls.add("moved")
        self._limit.moved(by, servers, part)

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        self.calls.add("feel")
        strain = SimpleNamespace(
            level=saturation.mean_latency_ms,
            calm=saturation.baseline_ms,
            least=saturation.provisional_baseline_ms,
            aim=saturation.min_aim_ms,
        )
        self._limit.feel(strain, latency_share, out, patience)


@pytest.mark.parametrize("policy", LIMITS)
def test_a_former_revision_drives_a_limit_as_todays_decisions_do(policy: str) -> None:
    callers: list[_FormerCaller] = []

    def former(settings: api.Settings, seed: int, limit: SimpleNamespace | None) -> Decider:
        if limit is None:
            return Balancer(settings, seed)
        callers.append(_FormerCaller(limit))
        return Balancer(settings, seed, callers[-1])

    file = apply_changes(values(load__of_capacity=1.5), {})
    expected = play(file, 1, decider_factory(policy, LIMIT_EACH))
    found = play(file, 1, functools.partial(LimitedBalancer, former, policy, LIMIT_EACH))
    assert found.digest == expected.digest
    assert callers and all(caller.calls == {"moved", "feel"} for caller in callers)
