"""The linearizability check on histories that are linearizable and on histories that are not."""

from __future__ import annotations

import math
import unittest
from unittest import mock

from leadrudder.control_simulation import linearizability
from leadrudder.control_simulation.linearizability import Operation, Outcome, Register, is_linearizable
from leadrudder.control_simulation.scenario import Scenario
from leadrudder.control_simulation.world import InvariantViolation, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import PLANTED_FAULTS

CONFIRMED, REFUSED, READ, UNKNOWN = Outcome.CONFIRMED, Outcome.REFUSED, Outcome.READ, Outcome.UNKNOWN


def operation(
    outcome: Outcome, version: int, value: bytes, began: float, ended: float = math.inf
) -> Operation:
    return Operation("k", outcome, Register(version, value), began, ended)


class LinearizabilityTest(unittest.TestCase):
    def test_linearizable_histories(self) -> None:
        self.assertTrue(is_linearizable([]))
        self.assertTrue(
            is_linearizable(
                [
                    operation(CONFIRMED, 1, b"a", 0.0, 4.0),
                    operation(READ, 0, b"", 1.0, 2.0),  # before the write that overlaps it
                    operation(READ, 1, b"a", 2.5, 3.0),
                    operation(REFUSED, 1, b"b", 3.0, 5.0),
                    operation(UNKNOWN, 2, b"c", 4.0),
                    operation(READ, 1, b"a", 6.0, 7.0),
                    operation(READ, 2, b"c", 8.0, 9.0),  # the unknown write has taken effect meanwhile
                    operation(CONFIRMED, 1, b"a", 10.0, 11.0),  # a retry of a superseded write
                ]
            )
        )
        unapplied = [operation(UNKNOWN, 2, b"c", 0.0), operation(READ, 0, b"", 5.0, 6.0)]
        self.assertTrue(is_linearizable(unapplied))

    def test_histories_that_are_not_linearizable(self) -> None:
        two_values = [operation(CONFIRMED, 1, b"a", 0.0, 1.0), operation(CONFIRMED, 1, b"b", 0.0, 1.0)]
        lost = [operation(CONFIRMED, 1, b"a", 0.0, 1.0), operation(READ, 0, b"", 2.0, 3.0)]
        reverted = [
            operation(UNKNOWN, 1, b"a", 0.0),
            operation(READ, 1, b"a", 1.0, 2.0),
            operation(READ, 0, b"", 3.0, 4.0),
        ]
        invented = [operation(READ, 1, b"x", 0.0, 1.0)]
        taken_and_refused = [operation(REFUSED, 1, b"a", 0.0, 1.0), operation(READ, 0, b"", 2.0, 3.0)]
        for wrong in (two_values, lost, reverted, invented, taken_and_refused):
            self.assertFalse(is_linearizable(wrong))

    def test_many_overlapping_writes_are_searched_and_too_many_are_reported(self) -> None:
        writes = [operation(CONFIRMED, i + 1, b"%d" % i, 0.0, 10.0) for i in range(40)]
        self.assertTrue(is_linearizable([*writes, operation(READ, 40, b"39", 11.0, 12.0)]))
        few = [*writes[:10], operation(READ, 10, b"none", 11.0, 12.0)]
        self.assertFalse(is_linearizable(few))
        with (
            mock.patch.object(linearizability, "MAX_STATES", 50),
            self.assertRaises(linearizability.HistoryTooLarge),
        ):
            is_linearizable(few)

    def test_a_fault_that_only_the_answers_show_is_detected(self) -> None:
        world = Scenario(3, fault_count=8, change_count=24).run()
        self.assertGreater(len(world.answers.history), 100)
        with (
            PLANTED_FAULTS["one_version_two_values"](),
            mock.patch.object(World, "fail", self._check_history_only),
        ):
            broken = 0
            for seed in range(12):
                try:
                    Scenario(seed, fault_count=8, change_count=24).run()
                except InvariantViolation:
                    broken += 1
        self.assertGreater(broken, 0)

    @staticmethod
    def _check_history_only(world: World, text: str) -> None:
        """Ignore all invariants but linearizability."""
        if "fit no order" in text:
            raise InvariantViolation(text)

    def test_the_register_matches_a_section_owner(self) -> None:
        """The outcomes that the check allows are those of an owner that handles one change after another."""
        world = World(1)
        world.run_until(4.0)
        machine = next(iter(world.machines.values()))
        for version, value in ((2, b"a"), (2, b"a"), (2, b"b"), (1, b"c"), (3, b"d"), (3, b"a")):
            world.submit_change(machine, [Item(key="k", version=version, value=value)], lambda answer: None)
            world.run_until(world.now + 1.0)
        outcomes = [operation.outcome for operation in world.answers.history]
        self.assertEqual(outcomes, [CONFIRMED, CONFIRMED, REFUSED, CONFIRMED, CONFIRMED, REFUSED])
        world.answers.check_linearizable()


if __name__ == "__main__":
    unittest.main()
