"""A change costs what it changes, however much else is known: whole meshes in virtual time, work counted."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest import mock

from bench.window import route
from leadrudder.configuration import items
from leadrudder.emulation.fleet import Fleet, FleetPlan
from leadrudder.emulation.standins import RequestKind

IDLE_ROUTES = 60
CHANGES = 12
FIRST_AT, EACH_S = 7.0, 0.125
PLAN = FleetPlan(
    {"kal": 3, "var": 2},
    (RequestKind("luku.example", once=False, per_s=4.0, deadline_s=1.5),),
    {
        "luku": route("luku.example", "kal", once=False),
        **{f"idle-{i}": route(f"idle-{i}.example", "var", once=False) for i in range(IDLE_ROUTES)},
    },
    traffic_period_s=(4.0, 12.0),
)


class Counted:
    """How often functions of ours were called."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()

    def wrap(self, name: str, function: Callable[..., Any]) -> Callable[..., Any]:
        def counted(*given: Any, **named: Any) -> Any:
            self.calls[name] += 1
            return function(*given, **named)

        return counted


class ChangeCost(unittest.TestCase):
    def changing(self, fleet: Fleet) -> list[tuple[int, bytes]]:
        """Changes of one idle route after the other."""
        answers: list[tuple[int, bytes]] = []

        def change(i: int) -> None:
            changed = {**route(f"idle-{i}.example", "var", once=False), "giveUp": "3s", "version": "00000009"}
            body = {"addOrReplace": {"routes": {f"idle-{i}": changed}}, "remove": {"routes": []}}

            async def operate() -> None:
                answers.append(await fleet.call_operator_api("PATCH", "/config", body))

            fleet.run_operator(operate)

        for i in range(CHANGES):
            fleet.call_at(FIRST_AT + i * EACH_S, lambda i=i: change(i))  # type: ignore[misc]
        return answers

    def test_a_station_reads_only_the_routes_that_changed(self) -> None:
        counted, fleet = Counted(), Fleet(1, PLAN)
        answers = self.changing(fleet)
        fleet.run_until(FIRST_AT - 0.5)
        with mock.patch.object(items, "read_route", counted.wrap("read", items.read_route)):
            fleet.run_until(12.0)
        self.assertEqual([status for status, _ in answers], [200] * CHANGES)
        # Each change is read once where it is checked, and once at each station.
        self.assertLessEqual(counted.calls["read"], CHANGES * (1 + len(fleet.node_machines)))
        self.assertEqual(fleet.errors, [])
        stations = [machine.node for machine in fleet.node_machines if machine.node is not None]
        for station in stations:
            self.assertEqual(station.invariants.violations, Counter())


if __name__ == "__main__":
    unittest.main()
