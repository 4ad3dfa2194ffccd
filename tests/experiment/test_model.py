"""The policy-only model: the same every time, the four rules seen, and jams that come and stay."""

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
    here = played(seed=3).digest
    for seed in ("0", "77"):
        told = subprocess.run(
            [sys.executable, "-c", _DIGEST],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        )
        assert told.stdout.split() == [here]
    assert played(seed=4).digest != here


def test_every_request_ends_and_no_rule_breaks_while_a_fleet_is_renewed() -> None:
    made = values()
    made["trouble"] = [RELEASE, {"what": "vanish", "at_s": 2, "length_s": 2, "tier": "store"}]
    result = play(apply_changes(made, {}), 2, decider_factory("leadrudder"))
    assert result.broken == {}
    assert sum(result.figures[f"ended_{what}"] for what in ("served", "refused", "failed", "none")) == (
        pytest.approx(1.0)
    )


class _Bad:
    """The module, but for one thing that it does wrong."""

    def __init__(self, settings: api.Settings, seed: int, fault: str) -> None:
        # The module's limit would keep a cold server from being pushed over even so.
        self._module = decider_factory("random" if fault == "cold" else "leadrudder")(settings, seed)
        self._fault = fault
        self._listed: list[bytes] = []
        self._sent: set[int] = set()

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        if (
            self._fault == "drain"
            and isinstance(event, api.ServerList)
            and event.kind is api.ListKind.CHANGES
        ):
            return []  # deaf to what drains and goes
        actions = self._module.handle(event, now)
        if self._fault == "lost":
            return [a for a in actions if not isinstance(a, api.Refuse | api.Fail)]
        if self._fault == "cold" and isinstance(event, api.ServerList):
            cold = [e.server for e in event.entries if e.started_ms > 0]
            self._listed = cold or self._listed
        if self._fault == "cold" and self._listed:
            return [api.Send(a.request, self._listed[0]) if isinstance(a, api.Send) else a for a in actions]
        return actions


@pytest.mark.parametrize(
    ("fault", "rule", "change"),
    [
        ("drain", "drain", {}),
        ("lost", "lost", {"load__of_capacity": 2.5}),
        ("cold", "cold", {"fleet__node__fall_times": 2.0}),
    ],
)
def test_a_policy_that_breaks_a_rule_is_found(fault: str, rule: str, change: dict[str, float]) -> None:
    made = values(**change)
    made["trouble"] = [RELEASE]

    def bad(settings: api.Settings, seed: int) -> Decider:
        return (
            _Bad(settings, seed, fault)
            if settings.stage == 0
            else decider_factory("leadrudder")(settings, seed)
        )

    result = play(apply_changes(made, {}), 1, bad)
    assert rule in result.broken


SLOWING = {"above": 2, "for_s": 0.5, "times": 3, "busy_below": 0.3, "rest_s": 1}


def test_a_jam_outlives_its_cause_where_servers_stay_slow_and_callers_come_back() -> None:
    """And without either it does not: what the model is there to tell apart."""

    def jam(slowing: bool, tries: int) -> float:
        made = values(callers__tries=tries, length_s=16)
        if slowing:
            for tier in made["fleet"]["tier"]:
                tier["slowing"] = SLOWING
        made["trouble"] = [{"what": "burst", "at_s": 3, "length_s": 3, "times": 2.5}]
        return play(apply_changes(made, {}), 1, decider_factory("two-choices")).figures["longest_jam_s"]

    assert jam(True, 3) >= 10.0
    assert jam(False, 0) < 6.0


def test_a_model_that_loses_a_request_breaks_littles_law(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every run holds it; what a server that stops has in its queue was once not counted until then."""
    made = values(length_s=3, load__of_capacity=1.2)
    made["trouble"] = [{"what": "vanish", "at_s": 1, "length_s": 1, "part": 0.5}]
    assert "little" not in play(apply_changes(made, {}), 1, decider_factory("leadrudder")).broken
    told = Server._record_presence
    monkeypatch.setattr(
        Server, "_record_presence", lambda self: None if self.request_count == 3 else told(self)
    )
    assert "little" in play(apply_changes(made, {}), 1, decider_factory("leadrudder")).broken


def test_a_closed_loop_asks_as_fast_as_it_is_answered() -> None:
    """One caller without a pause, one server, fixed work: each request takes the work and the ways."""
    made = values(length_s=4)
    made["load"] = {"form": "closed", "callers": 1}
    made["fleet"]["nodes"] = 1
    made["fleet"]["network"] = {"same_ms": 1.0, "client_ms": 2.0}
    made["fleet"]["tier"] = [{"name": "api", "servers": 1, "kind": [{"name": "usual"}]}]
    made["class"] = [
        {"name": "look", "work_ms": 14, "spread": "fixed", "aim_ms": 400, "deadline_ms": 1500},
    ]
    result = play(apply_changes(made, {}), 1, decider_factory("leadrudder"))
    assert result.figures["requests"] == 200
    assert result.figures["look.p50_ms"] == pytest.approx(20.0, rel=0.002)
