"""Fault plans: drawing, validation and JSON."""

from __future__ import annotations

import pytest

from leadrudder.simulation.faults import (
    FAULT_KINDS,
    Fault,
    PlanError,
    draw_faults,
    faults_from_json,
    faults_to_json,
    validate_kinds,
)
from leadrudder.simulation.injector import Injector


def test_a_plan_depends_only_on_its_seed_and_lies_within_its_span() -> None:
    plan = draw_faults("a", 10_000, 5_000, 200)
    assert plan == draw_faults("a", 10_000, 5_000, 200) != draw_faults("b", 10_000, 5_000, 200)
    assert all(10_000 <= fault.at_ms < 15_000 for fault in plan)
    assert [fault.at_ms for fault in plan] == sorted(fault.at_ms for fault in plan)
    for fault in plan:
        kind = FAULT_KINDS[fault.kind]
        assert kind.min_span_ms <= fault.span_ms <= kind.max_span_ms and 0.0 <= fault.level <= 1.0


def test_every_kind_is_drawn_and_can_be_injected() -> None:
    drawn_by_default = {kind for kind, fault_kind in FAULT_KINDS.items() if fault_kind.weight}
    assert {fault.kind for fault in draw_faults("a", 0, 10_000, 3000)} == drawn_by_default
    on_request_only = set(FAULT_KINDS) - drawn_by_default
    assert (
        on_request_only
        and {fault.kind for fault in draw_faults("a", 0, 1000, 50, tuple(on_request_only))} == on_request_only
    )
    for kind in FAULT_KINDS:
        assert callable(getattr(Injector, "_" + kind.replace("-", "_")))


def test_only_requested_kinds_are_drawn() -> None:
    assert {fault.kind for fault in draw_faults("a", 0, 1000, 50, ("hang", "drain"))} == {"hang", "drain"}


def test_a_plan_round_trips_through_json() -> None:
    plan = draw_faults("a", 0, 1000, 20)
    assert faults_from_json(faults_to_json(plan)) == plan


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        ({}, "not a list"),
        ([{"kind": "hang"}], "not a fault"),
        ([{"kind": "hang", "at_ms": "x", "target": 1, "span_ms": 1, "level": 0}], "not a fault"),
        ([{"kind": "earthquake", "at_ms": 1, "target": 1, "span_ms": 1, "level": 0}], "unknown fault"),
        ([7], "not a fault"),
    ],
)
def test_an_invalid_plan_is_rejected(raw: object, text: str) -> None:
    with pytest.raises(PlanError, match=text):
        faults_from_json(raw)


def test_an_unknown_kind_is_rejected_with_a_list_of_known_ones() -> None:
    with pytest.raises(PlanError, match="unknown fault 'earthquake'; known are tail"):
        validate_kinds(["hang", "earthquake"])
    assert Fault("hang", 1, 2, 3, 0.5).kind == "hang"
