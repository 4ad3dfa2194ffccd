"""Small worlds: what holds in them, courses that once broke a rule, and guards taken out."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from leadrudder.model_checker.maintenance import State, Windows
from leadrudder.model_checker.scenarios import SCENES, WALKED
from leadrudder.model_checker.search import Search
from leadrudder.model_checker.state import ALL
from tests.mesh.planted_faults import AT_ONCE, COURSES, DIRECTED, PLANTS, SHOWN_BY, SHOWN_IN, UNSHOWN

QUICK = 10_000  # states; faults that take more are looked for by `python -m bench.control`


class SmallWorlds(unittest.TestCase):
    def test_nothing_breaks_near_the_start_of_any_scene(self) -> None:
        for name, scene in SCENES.items():
            if name not in WALKED:
                with self.subTest(name):
                    found = Search(replace(scene, calm_each=400), states=500).run()
                    self.assertEqual((found.rule, found.story), ("", []))
                    self.assertGreaterEqual(found.states, 500)

    def test_walks_of_the_larger_scenes(self) -> None:
        for name in WALKED:
            search = Search(SCENES[name])
            for seed in range(1, 5):
                with self.subTest(name, seed=seed):
                    self.assertEqual(search.walk(seed).story, [])

    def test_courses_that_once_broke_a_rule(self) -> None:
        for plant, (name, course) in COURSES.items():
            with self.subTest(plant):
                scene = replace(SCENES[name], left=SCENES[name].left._replace(delays=ALL))
                self.assertEqual(Search(scene).breaks(course), "")
                with PLANTS[plant]():
                    self.assertNotEqual(Search(scene).breaks(course), "", "the course shows nothing any more")

    def test_planted_faults_are_found(self) -> None:
        for plant, (name, states) in SHOWN_IN.items():
            if states <= QUICK:
                with self.subTest(plant), PLANTS[plant]():
                    self.assertNotEqual(Search(SCENES[name], states=states).run().rule, "")

    def test_a_window_in_a_small_world_keeps_its_hours_and_each_step_is_taken_once(self) -> None:
        found = Windows().run(12_000)
        self.assertEqual((found.rule, found.story), ("", []))
        self.assertLessEqual({"done"}, found.over)

    def test_a_step_that_stands_whatever_became_of_the_window_is_found(self) -> None:
        whole = Windows._lands

        def lands(self: Windows, state: State, k: int) -> State:
            who, _, packed = state.flying[k]
            flying = (*state.flying[:k], (who, state.number + 1, packed), *state.flying[k + 1 :])
            return whole(self, state._replace(flying=flying), k)

        with mock.patch.object(Windows, "_lands", lands):
            self.assertIn("not a step", Windows().run(40_000).rule)

    def test_a_clock_that_jumps_unnoticed_and_edges_without_room_are_found(self) -> None:
        with mock.patch("leadrudder.maintenance.controller.clock_agrees", lambda wall, others: True):
            self.assertIn("outside its hours", Windows().run(12_000).rule)
        with mock.patch("leadrudder.maintenance.planner.MAX_CLOCK_SKEW_S", 0.0):
            self.assertIn("outside its hours", Windows().run(40_000).rule)

    def test_every_planted_fault_has_a_place_where_it_is_found(self) -> None:
        found = {*SHOWN_IN, *COURSES, *SHOWN_BY, *AT_ONCE, *DIRECTED}
        self.assertEqual(found | set(UNSHOWN), set(PLANTS))
        self.assertEqual(found & set(UNSHOWN), set())
        self.assertGreaterEqual(len(found), 20)

    def test_a_search_tells_the_shortest_course_as_a_story(self) -> None:
        with PLANTS["acknowledged_before_the_sync"]():
            found = Search(SCENES["asked"], states=1000).run()
        self.assertIn("was acknowledged", found.rule)
        self.assertIn("broken", found.story[-1])
        self.assertLessEqual(len(found.course), 6)

    def test_a_walk_is_cut_to_what_it_takes(self) -> None:
        with PLANTS["copy_not_kept"]():
            search = Search(SCENES["three"])
            found = next(f for f in map(search.walk, range(20)) if f.rule)
            self.assertLess(len(found.course), 25)
            self.assertEqual(search.walk(3).story, search.walk(3).story, "a seed plays the same again")

    def test_states_that_differ_by_the_rivals_alone_are_one(self) -> None:
        search = Search(SCENES["asked"])
        world, root = search.world, search.world.root()
        one = world.after(world.after(root, ("call", 0, 0)), ("call", 1, 1))
        other = world.after(world.after(root, ("call", 1, 0)), ("call", 0, 1))
        self.assertNotEqual(one, other)
        self.assertEqual(search._mark(one), search._mark(other))
        self.assertNotEqual(search._mark(one), search._mark(root))


if __name__ == "__main__":
    unittest.main()
