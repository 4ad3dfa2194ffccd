"""Reproductions of user incidents: invariants hold, and recovery stays within the time limits."""

from __future__ import annotations

import unittest

from leadrudder.control_simulation.incidents import (
    Fault,
    FirstLoss,
    run_many_changes,
    run_requests,
    run_two_losses,
    run_unreachable_machine,
)
from tests.mesh.test_emulation import PLAN

ACK_S, APPLY_S = 5.0, 2.5  # promised to users


class Incidents(unittest.TestCase):
    def test_a_control_machine_unreachable_for_twenty_seconds(self) -> None:
        for fault in Fault:
            for seed in range(2):
                with self.subTest(fault.value, seed=seed):
                    result = run_unreachable_machine(seed, fault)
                    self.assertGreater(result.changes, 40)
                    self.assertLess(result.ack_max_s, ACK_S)
                    self.assertLess(result.apply_max_s, APPLY_S)

    def test_a_second_loss_at_any_time_after_a_first(self) -> None:
        wiped = 0
        for first in FirstLoss:
            for step in range(0, 24, 4):
                with self.subTest(first.value, after_s=0.1 * step):
                    wiped += run_two_losses(step, first, 0.1 * step)
        self.assertGreater(wiped, 2, "the second machine loses its disk only after the first has recovered")

    def test_hundreds_of_changes_and_members_that_come_back(self) -> None:
        result = run_many_changes(1, changes=600, keys=120)
        self.assertLess(max(result.restarted_s, result.wiped_s, result.absent_s), 4.0)

    def test_requests_while_nodes_are_paused_and_restarted(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertGreater(run_requests(seed, PLAN).asked, 500)


if __name__ == "__main__":
    unittest.main()
