"""Model checker: the invariants hold, regression traces pass, and planted faults are detected."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from leadrudder.model_checker.maintenance import State, WindowModel
from leadrudder.model_checker.scenarios import RANDOM_WALK_SCENARIOS, SCENARIOS
from leadrudder.model_checker.search import Search
from leadrudder.model_checker.state import UNBOUNDED_DELAYS
from tests.mesh.planted_faults import (
    FOUND_AT_START,
    FOUND_BY_DIRECTED_TESTS,
    FOUND_BY_SCENARIO,
    FOUND_BY_SIMULATION,
    NOT_FOUND,
    PLANTED_FAULTS,
    VIOLATING_TRACES,
)

QUICK_MAX_STATES = 10_000  # `python -m bench.control` searches for faults that need more


class ModelCheckerTest(unittest.TestCase):
    def test_no_violation_near_the_initial_state_of_any_scenario(self) -> None:
        for name, scenario in SCENARIOS.items():
            if name not in RANDOM_WALK_SCENARIOS:
                with self.subTest(name):
                    found = Search(replace(scenario, recovery_check_every=400), max_states=500).run()
                    self.assertEqual((found.violation, found.trace_lines), ("", []))
                    self.assertGreaterEqual(found.states, 500)

    def test_random_walks_of_the_larger_scenarios(self) -> None:
        for name in RANDOM_WALK_SCENARIOS:
            search = Search(SCENARIOS[name])
            for seed in range(1, 5):
                with self.subTest(name, seed=seed):
                    self.assertEqual(search.random_walk(seed).trace_lines, [])

    def test_traces_that_once_violated_an_invariant(self) -> None:
        for fault, (name, trace) in VIOLATING_TRACES.items():
            with self.subTest(fault):
                scenario = replace(
                    SCENARIOS[name], budget=SCENARIOS[name].budget._replace(delays=UNBOUNDED_DELAYS)
                )
                self.assertEqual(Search(scenario).find_violation(trace), "")
                with PLANTED_FAULTS[fault]():
                    self.assertNotEqual(
                        Search(scenario).find_violation(trace), "", "the trace no longer shows the fault"
                    )

    def test_planted_faults_are_detected(self) -> None:
        for fault, (name, states) in FOUND_BY_SCENARIO.items():
            if states <= QUICK_MAX_STATES:
                with self.subTest(fault), PLANTED_FAULTS[fault]():
                    self.assertNotEqual(Search(SCENARIOS[name], max_states=states).run().violation, "")

    def test_window_model_keeps_approved_hours_and_takes_each_step_once(self) -> None:
        found = WindowModel().run(12_000)
        self.assertEqual((found.violation, found.trace_lines), ("", []))
        self.assertLessEqual({"done"}, found.end_states)

    def test_step_committed_regardless_of_the_window_version_is_detected(self) -> None:
        original = WindowModel._commit_step

        def commit_step(self: WindowModel, state: State, k: int) -> State:
            process, _, encoded = state.in_flight[k]
            in_flight = (
                *state.in_flight[:k],
                (process, state.version + 1, encoded),
                *state.in_flight[k + 1 :],
            )
            return original(self, state._replace(in_flight=in_flight), k)

        with mock.patch.object(WindowModel, "_commit_step", commit_step):
            self.assertIn("not a step", WindowModel().run(40_000).violation)

    def test_unnoticed_clock_jump_and_missing_skew_margin_are_detected(self) -> None:
        with mock.patch("leadrudder.maintenance.controller.clock_agrees", lambda wall, others: True):
            self.assertIn("outside its hours", WindowModel().run(12_000).violation)
        with mock.patch("leadrudder.maintenance.planner.MAX_CLOCK_SKEW_S", 0.0):
            self.assertIn("outside its hours", WindowModel().run(40_000).violation)

    def test_every_planted_fault_is_listed_with_the_search_that_detects_it(self) -> None:
        found = {
            *FOUND_BY_SCENARIO,
            *VIOLATING_TRACES,
            *FOUND_BY_SIMULATION,
            *FOUND_AT_START,
            *FOUND_BY_DIRECTED_TESTS,
        }
        self.assertEqual(found | set(NOT_FOUND), set(PLANTED_FAULTS))
        self.assertEqual(found & set(NOT_FOUND), set())
        self.assertGreaterEqual(len(found), 20)

    def test_search_reports_a_shortest_trace(self) -> None:
        with PLANTED_FAULTS["acknowledged_before_the_sync"]():
            found = Search(SCENARIOS["asked"], max_states=1000).run()
        self.assertIn("was acknowledged", found.violation)
        self.assertIn("broken", found.trace_lines[-1])
        self.assertLessEqual(len(found.trace), 6)

    def test_violating_walk_is_minimized_and_reproducible(self) -> None:
        with PLANTED_FAULTS["copy_not_kept"]():
            search = Search(SCENARIOS["three"])
            found = next(f for f in map(search.random_walk, range(20)) if f.violation)
            self.assertLess(len(found.trace), 25)
            self.assertEqual(
                search.random_walk(3).trace_lines,
                search.random_walk(3).trace_lines,
                "the same seed gives the same walk",
            )

    def test_states_that_differ_only_by_swapped_rival_values_are_identified(self) -> None:
        search = Search(SCENARIOS["asked"])
        world, root = search.world, search.world.initial_state()
        one = world.apply(world.apply(root, ("call", 0, 0)), ("call", 1, 1))
        other = world.apply(world.apply(root, ("call", 1, 0)), ("call", 0, 1))
        self.assertNotEqual(one, other)
        self.assertEqual(search._fingerprint(one), search._fingerprint(other))
        self.assertNotEqual(search._fingerprint(one), search._fingerprint(root))


if __name__ == "__main__":
    unittest.main()
