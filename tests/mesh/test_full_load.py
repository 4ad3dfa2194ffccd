"""A mesh under full load in virtual time, with servers that call each other and no spare capacity."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from leadrudder.emulation.fleet import Fleet, FleetPlan
from leadrudder.emulation.standins import InternalCall, RequestKind, Work

TARGET_S = 0.3
INTERNAL_TARGET_S = 0.08
TRAFFIC_START_S, TRAFFIC_END_S = 6.0, 9.0
SERVERS = 6  # of each service
SLOTS = 5
CLIENT_WORK_S, INTERNAL_WORK_S = 0.08, 0.02


def route(host: str, service: str, target_s: float, priority: int, *, once: bool = False) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": "/",
        "kind": "unsafe" if once else "safe",
        "giveUp": f"{4 * target_s}s",
        "target": f"{target_s}s",
        "priority": priority,
        "service": service,
        "tries": 2,
        "version": "00000001",
    }


def plan(load: float) -> FleetPlan:
    """Lookups and bookings, each with an internal call to the other service.

    load: slots in use if no call ever waits, as a fraction of the capacity; the same at both services.
    """
    slots = SLOTS / 2  # of one service, for each machine
    lookups = bookings = load * slots / (CLIENT_WORK_S + 2 * INTERNAL_WORK_S)
    internal = InternalCall("vapaat.example", 0.25), InternalCall("saannot.example", 0.25)
    return FleetPlan(
        {"kal": SERVERS, "var": SERVERS},
        (
            RequestKind("luku.example", once=False, per_s=lookups, deadline_s=4 * TARGET_S),
            RequestKind("varaus.example", once=True, per_s=bookings, deadline_s=4 * TARGET_S),
        ),
        {
            "luku": route("luku.example", "kal", TARGET_S, 2),
            "varaus": route("varaus.example", "var", TARGET_S, 1, once=True),
            "vapaat": route("vapaat.example", "var", INTERNAL_TARGET_S, 1),
            "saannot": route("saannot.example", "kal", INTERNAL_TARGET_S, 1),
        },
        slots=SLOTS,
        work_by_host={
            "luku.example": Work(CLIENT_WORK_S, (internal[0],)),
            "varaus.example": Work(CLIENT_WORK_S, (internal[1],)),
            "vapaat.example": Work(INTERNAL_WORK_S),
            "saannot.example": Work(INTERNAL_WORK_S),
        },
        traffic_period_s=(TRAFFIC_START_S, TRAFFIC_END_S),
    )


class FullLoad(unittest.TestCase):
    """The incident that this guards against is described in docs/incidents/loaded-days.md."""

    def play(self, load: float) -> tuple[float, float]:
        """The share of requests served in time, and the number of refused calls per run of a request."""
        fleet = Fleet(7, plan(load))
        fleet.run_until(TRAFFIC_END_S + 1.5)
        self.assertEqual(fleet.errors, [])
        asked = fleet.sent_requests()
        in_time = sum(bool(a.served_attempt) and a.duration_s <= TARGET_S for a in asked)
        refused: Counter[str] = Counter()
        for machine in fleet.node_machines:
            assert machine.node is not None
            refused.update(machine.node.traffic.refused)
        return in_time / len(asked), sum(refused.values()) / sum(fleet.runs_by_attempt().values())

    def test_at_80_percent_of_capacity_nearly_all_requests_are_in_time(self) -> None:
        in_time, refused = self.play(0.8)
        self.assertGreater(in_time, 0.95)
        self.assertLess(refused, 0.25)

    def test_at_95_percent_of_capacity_most_requests_are_in_time(self) -> None:
        in_time, refused = self.play(0.95)
        self.assertGreater(in_time, 0.75)
        self.assertLess(refused, 1.0)

    def test_above_capacity_refusals_do_not_consume_it(self) -> None:
        in_time, refused = self.play(1.3)
        self.assertGreater(in_time, 0.4)
        self.assertLess(refused, 5.0)


if __name__ == "__main__":
    unittest.main()
