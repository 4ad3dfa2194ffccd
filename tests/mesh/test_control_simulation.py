"""The control state in virtual time: what holds, and that a guard taken out is found."""

from __future__ import annotations

import unittest

from leadrudder.configuration.items import CORE
from leadrudder.control_simulation.scenario import (
    FAULT_KINDS,
    RESIZE_KINDS,
    Scenario,
    shrink_scenario,
    violated_invariant,
)
from leadrudder.control_simulation.world import InvariantViolation, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import PLANTS, RESIZED, SHOWN_BY

# Planted faults that one seed shows: seed, machines. All of them: docs/design/control-state.md.
FOUND = {
    "one_copy_is_enough": (6, 3),
    "copy_not_kept": (0, 3),
    "drop_forgotten": (0, 3),
    "epoch_not_raised": (2, 3),
    "read_by_one": (1, 3),
}


class Rehearsal(unittest.TestCase):
    def test_three_machines_keep_every_rule(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                Scenario(seed).run()

    def test_five_machines_keep_every_rule(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                Scenario(seed, machine_count=5).run()

    def test_nine_machines_and_many_stations(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                Scenario(seed, machine_count=9, fault_count=10, node_count=60).run()

    def test_a_core_that_grows_and_shrinks_keeps_every_rule(self) -> None:
        sizes = set()
        for seed in range(20):
            with self.subTest(seed=seed):
                world = Scenario(seed, fault_count=8, fault_kinds=RESIZED).run()
                running = [m.process for m in world.machines.values() if m.process is not None]
                sizes |= {len(process.seats.opened()) for process in running}
        self.assertTrue({3, 5, 7, 9} <= sizes, f"sizes at the end: {sizes}")

    def test_a_seat_granted_to_two_by_halves_is_claimed_anew(self) -> None:
        # Two newcomers had two grants of four each, and those who gave them had forgotten when: for good.
        Scenario(258, fault_count=8, fault_kinds=RESIZED).run()

    def _one_seat_with_two_holders(self, seed: int) -> bool:
        """Two newcomers ask for a seat more at once; the three that grant hear them in any order."""
        world = World(seed)
        world.run_until(4.0)
        newcomers = [world.add_machine(f"10.5{i}.0.1:1") for i in range(2)]
        world.run_until(6.0)
        first = next(iter(world.machines.values()))
        world.submit_change(first, [Item(key=CORE, version=1, value=b"5")], lambda answer: None)
        held: list[set[int]] = [set(), set()]
        while world.now < 8.0:
            world.run_until(world.now + 0.005)
            for seats, newcomer in zip(held, newcomers, strict=True):
                process = newcomer.process
                mine = process.seats.mine() if process is not None and process.seats.full else None
                seats |= {mine} if mine is not None else set()
        return bool(held[0] & held[1])

    def test_a_seat_more_is_granted_by_a_majority(self) -> None:
        shown = (90, 110, 113, 315)  # of 0 to 399: both must hold it before either hears of the other
        self.assertFalse(any(map(self._one_seat_with_two_holders, (*range(16), *shown))))
        with PLANTS["new_seat_by_one"]():
            self.assertTrue(any(map(self._one_seat_with_two_holders, shown)))

    def test_two_closings_that_began_at_once_are_both_settled(self) -> None:
        Scenario(384, fault_count=8, fault_kinds=RESIZED).run()

    def test_a_closing_that_began_is_ended_though_more_seats_are_wanted_again(self) -> None:
        # Some held the seat for half closed, one for taken over: neither could be had, for good.
        Scenario(75, fault_count=10, fault_kinds=FAULT_KINDS + 2 * RESIZE_KINDS, change_count=24).run()

    def test_what_breaks_is_cut_to_the_least_faults(self) -> None:
        with PLANTS["copy_not_kept"]():
            course = next(c for c in map(Scenario, range(20)) if shrink_scenario(c) is not None)
            least = shrink_scenario(course)
            assert least is not None
            self.assertLess(len(least[0].planned_faults()), len(course.planned_faults()))
            with self.assertRaises(InvariantViolation) as again:
                least[0].run()
            self.assertEqual(violated_invariant(again.exception), violated_invariant(least[1]))

    def test_a_duty_is_held_and_never_by_two(self) -> None:
        self.assertGreater(Scenario(5).run().steps_with_lease_holder, 100)

    def test_the_same_seed_plays_the_same(self) -> None:
        self.assertEqual(Scenario(11).run().trace, Scenario(11).run().trace)

    def test_planted_faults_are_found(self) -> None:
        for name, (seed, machines) in FOUND.items():
            with self.subTest(plant=name), PLANTS[name](), self.assertRaises(InvariantViolation):
                Scenario(seed, machines, fault_count=10).run()
        for name, course in SHOWN_BY.items():
            with self.subTest(plant=name), PLANTS[name](), self.assertRaises(InvariantViolation):
                course.run()


if __name__ == "__main__":
    unittest.main()
