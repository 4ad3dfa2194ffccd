"""Simulations of the control state keep every invariant, and find faults planted in the code."""

from __future__ import annotations

import unittest
from copy import deepcopy

from leadrudder.configuration.items import VOTER_COUNT_KEY
from leadrudder.control_simulation.scenario import (
    FAULT_KINDS,
    RESIZE_KINDS,
    Scenario,
    shrink_scenario,
    violated_invariant,
)
from leadrudder.control_simulation.world import InvariantViolation, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import FOUND_BY_SIMULATION, PLANTED_FAULTS, RESIZING_KINDS

# Planted faults and a scenario that detects each: seed, machines. All faults: docs/design/control-state.md.
DETECTING_SEEDS = {
    "one_copy_is_enough": (6, 3),
    "copy_not_kept": (0, 3),
    "drop_forgotten": (0, 3),
    "epoch_not_raised": (41, 3),
    "read_by_one": (6, 3),
}


class ControlSimulation(unittest.TestCase):
    def test_three_machines_keep_every_invariant(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                Scenario(seed).run()

    def test_five_machines_keep_every_invariant(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                Scenario(seed, machine_count=5).run()

    def test_nine_machines_and_many_nodes(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                Scenario(seed, machine_count=9, fault_count=10, node_count=60).run()

    def test_changing_the_number_of_voter_slots_keeps_every_invariant(self) -> None:
        sizes = set()
        for seed in range(20):
            with self.subTest(seed=seed):
                world = Scenario(seed, fault_count=8, fault_kinds=RESIZING_KINDS).run()
                running = [m.process for m in world.machines.values() if m.process is not None]
                sizes |= {len(process.voter_table.open_slots()) for process in running}
        self.assertTrue({3, 5, 7, 9} <= sizes, f"sizes at the end: {sizes}")

    def test_a_voter_slot_granted_partly_to_two_machines_is_claimed_again(self) -> None:
        # Two new machines had two of four grants each, and the granters had lost the time of their grants, so
        # neither ever got the slot.
        Scenario(258, fault_count=8, fault_kinds=RESIZING_KINDS).run()

    def _has_slot_with_two_holders(self, seed: int) -> bool:
        """Two new machines claim the same new voter slot; the three granters get the claims in any order."""
        world = World(seed)
        world.run_until(4.0)
        new_machines = [world.add_machine(f"10.5{i}.0.1:1") for i in range(2)]
        world.run_until(6.0)
        first = next(iter(world.machines.values()))
        world.submit_change(first, [Item(key=VOTER_COUNT_KEY, version=1, value=b"5")], lambda answer: None)
        held: list[set[int]] = [set(), set()]
        while world.now < 8.0:
            world.run_until(world.now + 0.005)
            for slots, machine in zip(held, new_machines, strict=True):
                process = machine.process
                own_slot = (
                    process.voter_table.own_slot()
                    if process is not None and process.voter_table.full
                    else None
                )
                slots |= {own_slot} if own_slot is not None else set()
        return bool(held[0] & held[1])

    def test_a_new_voter_slot_is_granted_by_a_majority(self) -> None:
        # Of seeds 0 to 399, those with which both hold the slot before either learns of the other.
        detecting_seeds = (27, 107, 124, 302)
        self.assertFalse(any(map(self._has_slot_with_two_holders, (*range(16), *detecting_seeds))))
        with PLANTED_FAULTS["new_slot_by_one"]():
            self.assertTrue(any(map(self._has_slot_with_two_holders, detecting_seeds)))

    def test_two_concurrent_slot_removals_both_complete(self) -> None:
        Scenario(384, fault_count=8, fault_kinds=RESIZING_KINDS).run()

    def test_a_slot_removal_completes_although_more_slots_are_ordered_again(self) -> None:
        # Some machines saw the slot as half closed, one as taken over; neither state could be completed.
        Scenario(75, fault_count=10, fault_kinds=FAULT_KINDS + 2 * RESIZE_KINDS, change_count=24).run()

    def test_a_resized_core_has_as_many_voter_slots_as_ordered(self) -> None:
        # Without faults for a while, one voter slot fewer is there than was ordered last.
        for seed in (180, 522):
            Scenario(seed, 5, fault_count=8, fault_kinds=RESIZING_KINDS).run()

    def test_a_failing_scenario_is_shrunk_to_a_minimal_set_of_faults(self) -> None:
        with PLANTED_FAULTS["copy_not_kept"]():
            scenario = next(c for c in map(Scenario, range(20)) if shrink_scenario(c) is not None)
            minimal = shrink_scenario(scenario)
            assert minimal is not None
            self.assertLess(len(minimal[0].planned_faults()), len(scenario.planned_faults()))
            with self.assertRaises(InvariantViolation) as repeated:
                minimal[0].run()
            self.assertEqual(violated_invariant(repeated.exception), violated_invariant(minimal[1]))

    def test_the_sweep_lease_is_held_and_never_by_two(self) -> None:
        self.assertGreater(Scenario(5).run().steps_with_lease_holder, 100)

    def test_the_same_seed_gives_the_same_trace(self) -> None:
        self.assertEqual(Scenario(11).run().trace, Scenario(11).run().trace)

    def test_planted_faults_are_found(self) -> None:
        for name, (seed, machines) in DETECTING_SEEDS.items():
            with self.subTest(plant=name):
                Scenario(seed, machines, fault_count=10).run()
                with PLANTED_FAULTS[name](), self.assertRaises(InvariantViolation):
                    Scenario(seed, machines, fault_count=10).run()
        for name, scenario in FOUND_BY_SIMULATION.items():
            with self.subTest(plant=name):
                deepcopy(scenario).run()
                with PLANTED_FAULTS[name](), self.assertRaises(InvariantViolation):
                    deepcopy(scenario).run()


if __name__ == "__main__":
    unittest.main()
