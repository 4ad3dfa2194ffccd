"""The policy-only model: determinism, detection of the four rules' violations, and lasting jams."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from leadrudder import interface as api
from leadrudder.experiment.node import Decider
from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play
from leadrudder.experiment.server import Server
from tests.experiment.small import played, values

RELEASE = {"what": "release", "at_s": 1, "length_s": 3, "part": 1.0}

_DIGEST = """
from tests.experiment.small import played
print(played(seed=3).digest)
"""


def test_a_seed_gives_the_same_digest_whatever_the_hash_seed() -> None:
    digest = played(seed=3).digest
    for seed in ("0", "77"):
        child = subprocess.run(
            [sys.executable, "-c", _DIGEST],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        )
        assert child.stdout.split() == [digest]
    assert played(seed=4).digest != digest


def test_every_request_ends_and_no_rule_is_broken_during_a_release() -> None:
    experiment = values()
    experiment["trouble"] = [RELEASE, {"what": "vanish", "at_s": 2, "length_s": 2, "tier": "store"}]
    result = play(apply_changes(experiment, {}), 2, decider_factory("leadrudder"))
    assert result.broken == {}
    assert sum(result.figures[f"ended_{what}"] for what in ("served", "refused", "failed", "none")) == (
        pytest.approx(1.0)
    )


class _FaultyPolicy:
    """The policy module with one planted fault."""

    def __init__(self, settings: api.Settings, seed: int, fault: str) -> None:
        # The module's limit would keep a cold server from collapsing in spite of the fault.
        self._module = decider_factory("random" if fault == "cold" else "leadrudder")(settings, seed)
        self._fault = fault
        self._cold_servers: list[bytes] = []
        self._sent: set[int] = set()

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        if (
            self._fault == "drain"
            and isinstance(event, api.ServerList)
            and event.kind is api.ListKind.CHANGES
        ):
            return []  # ignores servers that drain or are gone
        actions = self._module.handle(event, now)
        if self._fault == "lost":
            return [a for a in actions if not isinstance(a, api.Refuse | api.Fail)]
        if self._fault == "cold" and isinstance(event, api.ServerList):
            cold = [e.server for e in event.entries if e.started_ms > 0]
            self._cold_servers = cold or self._cold_servers
        if self._fault == "cold" and self._cold_servers:
            return [
                api.Send(a.request, self._cold_servers[0]) if isinstance(a, api.Send) else a for a in actions
            ]
        return actions


@pytest.mark.parametrize(
    ("fault", "rule", "change"),
    [
        ("drain", "drain", {}),
        ("lost", "lost", {"load__of_capacity": 2.5}),
        ("cold", "cold", {"fleet__node__fall_times": 2.0}),
    ],
)
def test_a_policy_that_breaks_a_rule_is_detected(fault: str, rule: str, change: dict[str, float]) -> None:
    experiment = values(**change)
    experiment["trouble"] = [RELEASE]

    def faulty(settings: api.Settings, seed: int) -> Decider:
        return (
            _FaultyPolicy(settings, seed, fault)
            if settings.stage == 0
            else decider_factory("leadrudder")(settings, seed)
        )

    result = play(apply_changes(experiment, {}), 1, faulty)
    assert rule in result.broken


SLOWING = {"above": 2, "for_s": 0.5, "times": 3, "busy_below": 0.3, "rest_s": 1}


def test_a_jam_outlives_its_cause_where_servers_stay_slow_and_callers_retry() -> None:
    """Without slow servers and retries it ends with the burst; the model must tell the two apart."""

    def jam(slowing: bool, tries: int) -> float:
        experiment = values(callers__tries=tries, length_s=16)
        if slowing:
            for tier in experiment["fleet"]["tier"]:
                tier["slowing"] = SLOWING
        experiment["trouble"] = [{"what": "burst", "at_s": 3, "length_s": 3, "times": 2.5}]
        return play(apply_changes(experiment, {}), 1, decider_factory("two-choices")).figures["longest_jam_s"]

    assert jam(True, 3) >= 10.0
    assert jam(False, 0) < 6.0


def test_a_model_that_loses_a_request_breaks_littles_law(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a server that stops without counting what it has in its queue until then."""
    experiment = values(length_s=3, load__of_capacity=1.2)
    experiment["trouble"] = [{"what": "vanish", "at_s": 1, "length_s": 1, "part": 0.5}]
    assert "little" not in play(apply_changes(experiment, {}), 1, decider_factory("leadrudder")).broken
    original = Server._record_presence
    monkeypatch.setattr(
        Server, "_record_presence", lambda self: None if self.request_count == 3 else original(self)
    )
    assert "little" in play(apply_changes(experiment, {}), 1, decider_factory("leadrudder")).broken


def test_a_closed_loop_sends_as_fast_as_it_is_answered() -> None:
    """One caller without pauses, one server, fixed work: a request takes its work and four latencies."""
    experiment = values(length_s=4)
    experiment["load"] = {"form": "closed", "callers": 1}
    experiment["fleet"]["nodes"] = 1
    experiment["fleet"]["network"] = {"same_ms": 1.0, "client_ms": 2.0}
    experiment["fleet"]["tier"] = [{"name": "api", "servers": 1, "kind": [{"name": "usual"}]}]
    experiment["class"] = [
        {"name": "look", "work_ms": 14, "spread": "fixed", "aim_ms": 400, "deadline_ms": 1500},
    ]
    result = play(apply_changes(experiment, {}), 1, decider_factory("leadrudder"))
    assert result.figures["requests"] == 200
    assert result.figures["look.p50_ms"] == pytest.approx(20.0, rel=0.002)
