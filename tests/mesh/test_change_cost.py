"""The cost of a change depends only on what it changes, however large the configuration.

Counts the work in whole meshes in virtual time.
"""

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
FIRST_CHANGE_AT_S, CHANGE_INTERVAL_S = 7.0, 0.125
PLAN = FleetPlan(
    {"kal": 3, "var": 2},
    (RequestKind("luku.example", once=False, per_s=4.0, deadline_s=1.5),),
    {
        "luku": route("luku.example", "kal", once=False),
        **{f"idle-{i}": route(f"idle-{i}.example", "var", once=False) for i in range(IDLE_ROUTES)},
    },
    traffic_period_s=(4.0, 12.0),
)


class CallCounter:
    """Counts calls of wrapped functions."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()

    def wrap(self, name: str, function: Callable[..., Any]) -> Callable[..., Any]:
        def counted(*arguments: Any, **keywords: Any) -> Any:
            self.calls[name] += 1
            return function(*arguments, **keywords)

        return counted


class ChangeCost(unittest.TestCase):
    def schedule_changes(self, fleet: Fleet) -> list[tuple[int, bytes]]:
        """Schedule changes of one idle route after the other; returns the list of their responses."""
        answers: list[tuple[int, bytes]] = []

        def change(i: int) -> None:
            changed = {**route(f"idle-{i}.example", "var", once=False), "giveUp": "3s", "version": "00000009"}
            body = {"addOrReplace": {"routes": {f"idle-{i}": changed}}, "remove": {"routes": []}}

            async def send_change() -> None:
                answers.append(await fleet.call_operator_api("PATCH", "/config", body))

            fleet.run_operator(send_change)

        for i in range(CHANGES):
            fleet.call_at(FIRST_CHANGE_AT_S + i * CHANGE_INTERVAL_S, lambda i=i: change(i))  # type: ignore[misc]
        return answers

    def test_a_data_plane_node_parses_only_changed_routes(self) -> None:
        call_counter, fleet = CallCounter(), Fleet(1, PLAN)
        answers = self.schedule_changes(fleet)
        fleet.run_until(FIRST_CHANGE_AT_S - 0.5)
        with mock.patch.object(items, "read_route", call_counter.wrap("read", items.read_route)):
            fleet.run_until(12.0)
        self.assertEqual([status for status, _ in answers], [200] * CHANGES)
        # Each change is parsed once where it is validated, and once at each data-plane node.
        self.assertLessEqual(call_counter.calls["read"], CHANGES * (1 + len(fleet.node_machines)))
        self.assertEqual(fleet.errors, [])
        nodes = [machine.node for machine in fleet.node_machines if machine.node is not None]
        for node in nodes:
            self.assertEqual(node.invariants.violations, Counter())


if __name__ == "__main__":
    unittest.main()
