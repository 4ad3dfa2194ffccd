"""The soak's check that no request is lost around a SIGTERM."""

from __future__ import annotations

import unittest
from typing import Any, cast

from bench.soak.bursts import Burst, lost_requests
from bench.soak.clients import ObservedRequest
from bench.soak.evacuations import FaultSpan

HOST, OTHER_HOST, CONTROL_HOST = "127.0.2.1", "127.0.2.2", "127.0.1.1"
SENT_AT = 10.0


class LostRequestsTest(unittest.TestCase):
    def count(self, *faults: FaultSpan, lost_at: float = 12.4, arrived: bool = False) -> int:
        """How many of one request, cut off at lost_at, count as lost."""
        burst = Burst(cast(Any, None), [ObservedRequest("a", True, SENT_AT, lost_at=lost_at)])
        return len(lost_requests([burst], {"a"} if arrived else set(), faults, {HOST, OTHER_HOST}))

    def test_one_that_reached_no_server_is_lost(self) -> None:
        self.assertEqual(self.count(), 1)
        self.assertEqual(self.count(arrived=True), 0)

    def test_one_that_was_answered_or_never_read_is_not(self) -> None:
        self.assertEqual(self.count(lost_at=0.0), 0)
        self.assertEqual(self.count(lost_at=SENT_AT + 0.1), 0)

    def test_planned_work_and_faults_of_control_machines_excuse_nothing(self) -> None:
        self.assertEqual(self.count(FaultSpan(HOST, 10.3, 13.0, planned=True)), 1)
        self.assertEqual(self.count(FaultSpan(CONTROL_HOST, 10.3, 13.0)), 1)

    def test_an_unplanned_fault_of_any_node_does(self) -> None:
        self.assertEqual(self.count(FaultSpan(OTHER_HOST, 11.0, 12.0)), 0)
        self.assertEqual(self.count(FaultSpan(OTHER_HOST, 7.0, 7.5)), 0)
        self.assertEqual(self.count(FaultSpan(OTHER_HOST, 5.0, 6.5)), 1)
        self.assertEqual(self.count(FaultSpan(OTHER_HOST, 12.5, 13.0)), 1)


if __name__ == "__main__":
    unittest.main()
