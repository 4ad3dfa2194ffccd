"""The policy-only model and the whole model against each other, on the same small experiments."""

from __future__ import annotations

import statistics
from typing import Any

import pytest

from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play
from tests.experiment.small import values

SEEDS = range(1, 5)
SERVICE_TOLERANCE = 0.03  # share of the worth asked, mean over seeds
LATENCY_TOLERANCE = 0.15  # relative, of the median


def _mean_figure(experiment: dict[str, Any], model: str, figure: str) -> float:
    results = []
    for seed in SEEDS:
        result = play(apply_changes(experiment, {}), seed, decider_factory("leadrudder"), model=model)
        assert result.broken == {}
        results.append(result.figures[figure])
    return statistics.fmean(results)


@pytest.mark.parametrize("load", [0.5, 1.3])
def test_both_models_agree_on_service_and_latency(load: float) -> None:
    experiment = values(load__of_capacity=load, length_s=4)
    figure = "service" if load > 1.0 else "look.p50_ms"
    policy, whole = (_mean_figure(experiment, model, figure) for model in ("policy", "whole"))
    if load > 1.0:
        assert whole == pytest.approx(policy, abs=SERVICE_TOLERANCE)
    else:
        assert whole == pytest.approx(policy, rel=LATENCY_TOLERANCE)


def test_both_models_agree_on_a_release_and_a_machine_that_vanishes() -> None:
    experiment = values(length_s=6)
    experiment["trouble"] = [
        {"what": "release", "at_s": 1, "length_s": 2, "part": 1.0},
        {"what": "vanish", "at_s": 3, "length_s": 2, "tier": "store"},
        {"what": "node-restart", "at_s": 4, "part": 0.5},
        {"what": "replace", "at_s": 4, "length_s": 1, "part": 0.5},
    ]
    policy, whole = (
        play(apply_changes(experiment, {}), 1, decider_factory("leadrudder"), model=m)
        for m in ("policy", "whole")
    )
    assert policy.broken == whole.broken == {}
    for figures in (policy.figures, whole.figures):
        reasons = sum(part for name, part in figures.items() if name.startswith("api.refused_"))
        assert 0.0 < reasons == pytest.approx(figures["api.refused"])
    assert whole.figures["service"] == pytest.approx(policy.figures["service"], abs=SERVICE_TOLERANCE)
    assert (
        whole.digest
        == play(apply_changes(experiment, {}), 1, decider_factory("leadrudder"), model="whole").digest
    )
