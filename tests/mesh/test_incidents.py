"""The users' five worst days, each brought about: what must hold, and within which times."""

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

ACK_S, APPLY_S = 5.0, 2.5  # the users' bounds


class WorstDays(unittest.TestCase):
    def test_a_control_machine_out_of_reach_for_twenty_seconds(self) -> None:
        for fault in Fault:
            for seed in range(2):
                with self.subTest(fault.value, seed=seed):
                    told = run_unreachable_machine(seed, fault)
                    self.assertGreater(told.orders, 40)
                    self.assertLess(told.ack_max_s, ACK_S)
                    self.assertLess(told.apply_max_s, APPLY_S)

    def test_a_second_loss_at_any_moment_after_a_first(self) -> None:
        wiped = 0
        for first in FirstLoss:
            for step in range(0, 24, 4):
                with self.subTest(first.value, after_s=0.1 * step):
                    wiped += run_two_losses(step, first, 0.1 * step)
        self.assertGreater(wiped, 2, "the second loss takes the disk, too, once the first is whole again")

    def test_hundreds_of_changes_and_members_that_come_back(self) -> None:
        told = run_many_changes(1, changes=600, keys=120)
        self.assertLess(max(told.restarted_s, told.wiped_s, told.absent_s), 4.0)

    def test_calls_while_nodes_stand_still_and_restart(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertGreater(run_requests(seed, PLAN).asked, 500)


if __name__ == "__main__":
    unittest.main()
