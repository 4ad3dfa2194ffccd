"""The soak's check that an evacuated zone gets no requests, and its operator's orders."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from bench.soak.evacuations import (
    CONTACT_S,
    EMPTY_ZONE_S,
    STRETCH_S,
    EvacuationOperator,
    FaultSpan,
    Order,
    late_arrivals,
)
from bench.soak.machine import Arrival, InvariantError, Machine

CONTROL_HOST, NODE_HOST, OTHER_HOST = "127.0.1.1", "127.0.2.1", "127.0.2.2"
MACHINE = Machine(NODE_HOST, 1, "kal")
ACKNOWLEDGED_AT = 10.0
ORDERS = [Order("z1", True, 9.9, ACKNOWLEDGED_AT), Order("z1", False, 40.0, 40.1)]


class LateArrivalsTest(unittest.TestCase):
    def late(self, at: float, *faults: FaultSpan, sender: str = OTHER_HOST, zone: str = "z1") -> int:
        orders = [Order(zone, each.evacuate, each.sent_at, each.acknowledged_at) for each in ORDERS]
        arrival = Arrival(at, f"c-{sender}-7")
        return len(late_arrivals(orders, [(MACHINE, arrival)], faults, [CONTROL_HOST]))

    def test_a_request_after_the_bound_is_late_until_the_zone_is_taken_back(self) -> None:
        self.assertEqual(self.late(ACKNOWLEDGED_AT + EMPTY_ZONE_S - 0.1), 0)
        self.assertEqual(self.late(ACKNOWLEDGED_AT + EMPTY_ZONE_S + 0.1), 1)
        self.assertEqual(self.late(40.05), 0)
        self.assertEqual(self.late(20.0, zone="z2"), 0)

    def test_a_request_of_a_machine_out_of_touch_does_not_count(self) -> None:
        fault = FaultSpan(OTHER_HOST, 16.0, 17.0)
        self.assertEqual(self.late(17.0 + CONTACT_S - 0.1, fault), 0)
        self.assertEqual(self.late(17.0 + CONTACT_S + 0.1, fault), 1)
        self.assertEqual(self.late(17.0, fault, sender=NODE_HOST), 1)

    def test_a_fault_of_a_control_machine_extends_the_bound(self) -> None:
        fault = FaultSpan(CONTROL_HOST, 16.0, 30.0)
        self.assertEqual(self.late(ACKNOWLEDGED_AT + EMPTY_ZONE_S + STRETCH_S - 0.1, fault), 0)
        self.assertEqual(self.late(ACKNOWLEDGED_AT + EMPTY_ZONE_S + STRETCH_S + 0.1, fault), 1)


class EvacuationOperatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.asked: list[str] = []
        self.statuses = [0, 503, 200]
        world = SimpleNamespace(
            control_machines=[Machine(f"127.0.1.{i}", i) for i in range(3)],
            log=SimpleNamespace(add=lambda text: None),
        )
        self.operator = EvacuationOperator(cast(Any, world), Random(1))
        self.operator._connections = cast(Any, SimpleNamespace(call=self.call))

    async def call(self, machine: Machine, method: str, path: str) -> int:
        self.asked.append(machine.host)
        return self.statuses.pop(0)

    def test_an_order_is_given_to_one_machine_after_another_until_it_is_acknowledged(self) -> None:
        asyncio.run(self.operator._give_order("z1", evacuate=True))
        self.assertEqual(len(set(self.asked)), 3)
        self.assertEqual(self.operator.evacuated_zones(), frozenset({"z1"}))
        self.statuses = [200]
        asyncio.run(self.operator._give_order("z1", evacuate=False))
        self.assertEqual(self.operator.evacuated_zones(), frozenset())

    def test_a_refused_order_violates_an_invariant(self) -> None:
        self.statuses = [404]
        with self.assertRaises(InvariantError):
            asyncio.run(self.operator._give_order("z1", evacuate=True))


if __name__ == "__main__":
    unittest.main()
