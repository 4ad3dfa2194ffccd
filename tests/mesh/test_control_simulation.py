"""The control state in virtual time: what holds, and that a guard taken out is found."""

from __future__ import annotations

import unittest

from leadrudder.configuration.items import VOTER_COUNT_KEY
from leadrudder.control_simulation.scenario import FAULTS, RESIZING, Course, cut, rule
from leadrudder.control_simulation.world import Broken, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import FOUND_BY_SIMULATION, PLANTED_FAULTS, RESIZING_KINDS

# Planted faults that one seed shows: seed, machines. All of them: docs/design/control-state.md.
FOUND = {
    "one_copy_is_enough": (6, 3),
    "copy_not_kept": (0, 3),
    "drop_forgotten": (0, 3),
    "epoch_not_raised": (2, 3),
    "read_by_one": (1, 3),
}


class ControlSimulation(unittest.TestCase):
    def test_three_machines_keep_every_rule(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                Course(seed).play()

    def test_five_machines_keep_every_rule(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                Course(seed, machines=5).play()

    def test_nine_machines_and_many_stations(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                Course(seed, machines=9, faults=10, stations=60).play()

    def test_a_core_that_grows_and_shrinks_keeps_every_rule(self) -> None:
        sizes = set()
        for seed in range(20):
            with self.subTest(seed=seed):
                world = Course(seed, faults=8, kinds=RESIZING_KINDS).play()
                running = [m.process for m in world.machines.values() if m.process is not None]
                sizes |= {len(process.voter_table.open_slots()) for process in running}
        self.assertTrue({3, 5, 7, 9} <= sizes, f"sizes at the end: {sizes}")

    def test_a_slot_granted_to_two_by_halves_is_claimed_anew(self) -> None:
        # Two newcomers had two grants of four each, and those who gave them had forgotten when: for good.
        Course(258, faults=8, kinds=RESIZING_KINDS).play()

    def _one_slot_with_two_holders(self, seed: int) -> bool:
        """Two newcomers ask for another slot at once; the three that grant hear them in any order."""
        world = World(seed)
        world.play(4.0)
        newcomers = [world.join(f"10.5{i}.0.1:1") for i in range(2)]
        world.play(6.0)
        first = next(iter(world.machines.values()))
        world.call(first, [Item(key=VOTER_COUNT_KEY, version=1, value=b"5")], lambda answer: None)
        held: list[set[int]] = [set(), set()]
        while world.now < 8.0:
            world.play(world.now + 0.005)
            for slots, newcomer in zip(held, newcomers, strict=True):
                process = newcomer.process
                mine = (
                    process.voter_table.own_slot()
                    if process is not None and process.voter_table.full
                    else None
                )
                slots |= {mine} if mine is not None else set()
        return bool(held[0] & held[1])

    def test_another_slot_is_granted_by_a_majority(self) -> None:
        shown = (90, 110, 113, 315)  # of 0 to 399: both must hold it before either hears of the other
        self.assertFalse(any(map(self._one_slot_with_two_holders, (*range(16), *shown))))
        with PLANTED_FAULTS["new_slot_by_one"]():
            self.assertTrue(any(map(self._one_slot_with_two_holders, shown)))

    def test_two_closings_that_began_at_once_are_both_settled(self) -> None:
        Course(384, faults=8, kinds=RESIZING_KINDS).play()

    def test_a_closing_that_began_is_ended_though_more_slots_are_wanted_again(self) -> None:
        # Some nodes saw the slot as half closed, one as taken over: neither could ever be completed.
        Course(75, faults=10, kinds=FAULTS + 2 * RESIZING, calls=24).play()

    def test_what_breaks_is_cut_to_the_least_faults(self) -> None:
        with PLANTED_FAULTS["copy_not_kept"]():
            course = next(c for c in map(Course, range(20)) if cut(c) is not None)
            least = cut(course)
            assert least is not None
            self.assertLess(len(least[0].drawn()), len(course.drawn()))
            with self.assertRaises(Broken) as again:
                least[0].play()
            self.assertEqual(rule(again.exception), rule(least[1]))

    def test_a_duty_is_held_and_never_by_two(self) -> None:
        self.assertGreater(Course(5).play().held, 100)

    def test_the_same_seed_plays_the_same(self) -> None:
        self.assertEqual(Course(11).play().story, Course(11).play().story)

    def test_planted_faults_are_found(self) -> None:
        for name, (seed, machines) in FOUND.items():
            with self.subTest(plant=name), PLANTED_FAULTS[name](), self.assertRaises(Broken):
                Course(seed, machines, faults=10).play()
        for name, course in FOUND_BY_SIMULATION.items():
            with self.subTest(plant=name), PLANTED_FAULTS[name](), self.assertRaises(Broken):
                course.play()


if __name__ == "__main__":
    unittest.main()
