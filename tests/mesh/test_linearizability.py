"""The linearizability check: histories that are linearizable, and histories that are not."""

from __future__ import annotations

import math
import unittest
from unittest import mock

from leadrudder.control_simulation import linearizability
from leadrudder.control_simulation.linearizability import Operation, Outcome, Register, linearizable
from leadrudder.control_simulation.scenario import Course
from leadrudder.control_simulation.world import Broken, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import PLANTED_FAULTS

CONFIRMED, REFUSED, READ, UNKNOWN = Outcome.CONFIRMED, Outcome.REFUSED, Outcome.READ, Outcome.UNKNOWN


def operation(
    outcome: Outcome, version: int, value: bytes, began: float, ended: float = math.inf
) -> Operation:
    return Operation("k", outcome, Register(version, value), began, ended)


class LinearizabilityTest(unittest.TestCase):
    def test_linearizable_histories(self) -> None:
        self.assertTrue(linearizable([]))
        self.assertTrue(
            linearizable(
                [
                    operation(CONFIRMED, 1, b"a", 0.0, 4.0),
                    operation(READ, 0, b"", 1.0, 2.0),  # takes effect before the overlapping write
                    operation(READ, 1, b"a", 2.5, 3.0),
                    operation(REFUSED, 1, b"b", 3.0, 5.0),
                    operation(UNKNOWN, 2, b"c", 4.0),
                    operation(READ, 1, b"a", 6.0, 7.0),
                    operation(READ, 2, b"c", 8.0, 9.0),  # the unknown write has taken effect
                    operation(CONFIRMED, 1, b"a", 10.0, 11.0),  # repeated, and superseded
                ]
            )
        )
        unapplied = [operation(UNKNOWN, 2, b"c", 0.0), operation(READ, 0, b"", 5.0, 6.0)]
        self.assertTrue(linearizable(unapplied))

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
            self.assertFalse(linearizable(wrong))

    def test_overlapping_writes_are_searched_up_to_a_bound(self) -> None:
        writes = [operation(CONFIRMED, i + 1, b"%d" % i, 0.0, 10.0) for i in range(40)]
        self.assertTrue(linearizable([*writes, operation(READ, 40, b"39", 11.0, 12.0)]))
        few = [*writes[:10], operation(READ, 10, b"none", 11.0, 12.0)]
        self.assertFalse(linearizable(few))
        with (
            mock.patch.object(linearizability, "STATES_MOST", 50),
            self.assertRaises(linearizability.SearchTooLong),
        ):
            linearizable(few)

    def test_simulated_histories_are_linearizable_and_a_fault_visible_only_in_them_is_found(self) -> None:
        world = Course(3, faults=8, calls=24).play()
        self.assertGreater(len(world.history), 100)
        with (
            PLANTED_FAULTS["one_version_two_values"](),
            mock.patch.object(World, "broken", self._only_history),
        ):
            broken = 0
            for seed in range(12):
                try:
                    Course(seed, faults=8, calls=24).play()
                except Broken:
                    broken += 1
        self.assertGreater(broken, 0)

    @staticmethod
    def _only_history(world: World, text: str) -> None:
        """Ignore all other invariants."""
        if "fit no order" in text:
            raise Broken(text)

    def test_checker_and_owner_agree_on_allowed_results(self) -> None:
        """The results that the check allows are those that an owner gives to sequential writes."""
        world = World(1)
        world.play(4.0)
        machine = next(iter(world.machines.values()))
        for version, value in ((2, b"a"), (2, b"a"), (2, b"b"), (1, b"c"), (3, b"d"), (3, b"a")):
            world.call(machine, [Item(key="k", version=version, value=value)], lambda answer: None)
            world.play(world.now + 1.0)
        outcomes = [each.outcome for each in world.history]
        self.assertEqual(outcomes, [CONFIRMED, CONFIRMED, REFUSED, CONFIRMED, CONFIRMED, REFUSED])
        world.explained()


if __name__ == "__main__":
    unittest.main()
