"""Small worlds: what holds in them, courses that once broke a rule, and guards taken out."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from leadrudder.model_checker.maintenance import State, WindowModel
from leadrudder.model_checker.scenarios import RANDOM_WALK_SCENARIOS, SCENARIOS
from leadrudder.model_checker.search import Search
from leadrudder.model_checker.state import UNBOUNDED_DELAYS
from tests.mesh.planted_faults import AT_ONCE, COURSES, DIRECTED, PLANTS, SHOWN_BY, SHOWN_IN, UNSHOWN

QUICK = 10_000  # states; faults that take more are looked for by `python -m bench.control`


class SmallWorlds(unittest.TestCase):
    def test_nothing_breaks_near_the_start_of_any_scene(self) -> None:
        for name, scene in SCENARIOS.items():
            if name not in RANDOM_WALK_SCENARIOS:
                with self.subTest(name):
                    found = Search(replace(scene, recovery_check_every=400), max_states=500).run()
                    self.assertEqual((found.violation, found.trace_lines), ("", []))
                    self.assertGreaterEqual(found.states, 500)

    def test_walks_of_the_larger_scenes(self) -> None:
        for name in RANDOM_WALK_SCENARIOS:
            search = Search(SCENARIOS[name])
            for seed in range(1, 5):
                with self.subTest(name, seed=seed):
                    self.assertEqual(search.random_walk(seed).trace_lines, [])

    def test_courses_that_once_broke_a_rule(self) -> None:
        for plant, (name, course) in COURSES.items():
            with self.subTest(plant):
                scene = replace(
                    SCENARIOS[name], budget=SCENARIOS[name].budget._replace(delays=UNBOUNDED_DELAYS)
                )
                self.assertEqual(Search(scene).find_violation(course), "")
                with PLANTS[plant]():
                    self.assertNotEqual(
                        Search(scene).find_violation(course), "", "the course shows nothing any more"
                    )

    def test_planted_faults_are_found(self) -> None:
        for plant, (name, states) in SHOWN_IN.items():
            if states <= QUICK:
                with self.subTest(plant), PLANTS[plant]():
                    self.assertNotEqual(Search(SCENARIOS[name], max_states=states).run().violation, "")

    def test_a_window_in_a_small_world_keeps_its_hours_and_each_step_is_taken_once(self) -> None:
        found = WindowModel().run(12_000)
        self.assertEqual((found.violation, found.trace_lines), ("", []))
        self.assertLessEqual({"done"}, found.end_states)

    def test_a_step_that_stands_whatever_became_of_the_window_is_found(self) -> None:
        whole = WindowModel._commit_step

        def commit_step(self: WindowModel, state: State, k: int) -> State:
            process, _, encoded = state.in_flight[k]
            in_flight = (
                *state.in_flight[:k],
                (process, state.version + 1, encoded),
                *state.in_flight[k + 1 :],
            )
            return whole(self, state._replace(in_flight=in_flight), k)

        with mock.patch.object(WindowModel, "_commit_step", commit_step):
            self.assertIn("not a step", WindowModel().run(40_000).violation)

    def test_a_clock_that_jumps_unnoticed_and_edges_without_room_are_found(self) -> None:
        with mock.patch("leadrudder.maintenance.controller.agreed", lambda wall, others: True):
            self.assertIn("outside its hours", WindowModel().run(12_000).violation)
        with mock.patch("leadrudder.maintenance.planner.CLOCKS_APART_S", 0.0):
            self.assertIn("outside its hours", WindowModel().run(40_000).violation)

    def test_every_planted_fault_has_a_place_where_it_is_found(self) -> None:
        found = {*SHOWN_IN, *COURSES, *SHOWN_BY, *AT_ONCE, *DIRECTED}
        self.assertEqual(found | set(UNSHOWN), set(PLANTS))
        self.assertEqual(found & set(UNSHOWN), set())
        self.assertGreaterEqual(len(found), 20)

    def test_a_search_tells_the_shortest_course_as_a_story(self) -> None:
        with PLANTS["acknowledged_before_the_sync"]():
            found = Search(SCENARIOS["asked"], max_states=1000).run()
        self.assertIn("was acknowledged", found.violation)
        self.assertIn("broken", found.trace_lines[-1])
        self.assertLessEqual(len(found.trace), 6)

    def test_a_walk_is_cut_to_what_it_takes(self) -> None:
        with PLANTS["copy_not_kept"]():
            search = Search(SCENARIOS["three"])
            found = next(f for f in map(search.random_walk, range(20)) if f.violation)
            self.assertLess(len(found.trace), 25)
            self.assertEqual(
                search.random_walk(3).trace_lines,
                search.random_walk(3).trace_lines,
                "a seed plays the same again",
            )

    def test_states_that_differ_by_the_rivals_alone_are_one(self) -> None:
        search = Search(SCENARIOS["asked"])
        world, root = search.world, search.world.initial_state()
        one = world.apply(world.apply(root, ("call", 0, 0)), ("call", 1, 1))
        other = world.apply(world.apply(root, ("call", 1, 0)), ("call", 0, 1))
        self.assertNotEqual(one, other)
        self.assertEqual(search._fingerprint(one), search._fingerprint(other))
        self.assertNotEqual(search._fingerprint(one), search._fingerprint(root))


if __name__ == "__main__":
    unittest.main()
