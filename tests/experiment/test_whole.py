"""The two models of a fleet, held against each other on the same small experiments."""

from __future__ import annotations

import statistics
from typing import Any

import pytest

from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play
from tests.experiment.small import values

SEEDS = range(1, 5)
SERVICE_WITHIN = 0.03  # of the worth asked, in the mean of the seeds
LATENCY_WITHIN = 0.15  # of the median


def _mean(made: dict[str, Any], model: str, figure: str) -> float:
    found = []
    for seed in SEEDS:
        result = play(apply_changes(made, {}), seed, decider_factory("leadrudder"), model=model)
        assert result.broken == {}
        found.append(result.figures[figure])
    return statistics.fmean(found)


@pytest.mark.parametrize("load", [0.5, 1.3])
def test_both_models_serve_the_same_within_a_stated_bound(load: float) -> None:
    made = values(load__of_capacity=load, length_s=4)
    figure = "service" if load > 1.0 else "look.p50_ms"
    policy, whole = (_mean(made, model, figure) for model in ("policy", "whole"))
    if load > 1.0:
        assert whole == pytest.approx(policy, abs=SERVICE_WITHIN)
    else:
        assert whole == pytest.approx(policy, rel=LATENCY_WITHIN)


def test_both_models_agree_on_a_release_and_a_machine_that_vanishes() -> None:
    made = values(length_s=6)
    made["trouble"] = [
        {"what": "release", "at_s": 1, "length_s": 2, "part": 1.0},
        {"what": "vanish", "at_s": 3, "length_s": 2, "tier": "store"},
        {"what": "node-restart", "at_s": 4, "part": 0.5},
        {"what": "replace", "at_s": 4, "length_s": 1, "part": 0.5},
    ]
    policy, whole = (
        play(apply_changes(made, {}), 1, decider_factory("leadrudder"), model=m) for m in ("policy", "whole")
    )
    assert policy.broken == whole.broken == {}
    for figures in (policy.figures, whole.figures):
        reasons = sum(part for name, part in figures.items() if name.startswith("api.refused_"))
        assert 0.0 < reasons == pytest.approx(figures["api.refused"])
    assert whole.figures["service"] == pytest.approx(policy.figures["service"], abs=SERVICE_WITHIN)
    assert (
        whole.digest == play(apply_changes(made, {}), 1, decider_factory("leadrudder"), model="whole").digest
    )
