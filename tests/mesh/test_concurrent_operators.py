"""Orders of several operators: never two values under one version, never refused what was taken in part."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from leadrudder.consensus.outputs import Answer, Code
from leadrudder.consensus.requests import Change, Phase, Requests
from leadrudder.control_simulation.nodes import SimulatedNodes
from leadrudder.control_simulation.scenario import FAULT_KINDS, FREEZE_KINDS, Scenario
from leadrudder.control_simulation.world import InvariantViolation, Machine, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import PLANTS

# Two operators' calls shared several versions, and each held one that the other waited for, without end.
ENTANGLED_SEEDS = (7, 20, 183)
FROZEN_SEEDS = range(24)


class Orders(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3)
        self.world.run_until(4.0)
        first, second = self._keys_of_two_owners()
        self.call = [(first, b"ours"), (second, b"ours")]
        self.rival = [(second, b"theirs")]

    def _owner(self, key: str) -> Machine:
        for machine in self.world.machines.values():
            process = machine.process
            if process is not None and process.section_of(key) in process.owner.owned():
                return machine
        raise AssertionError(f"{key} has no owner")

    def _keys_of_two_owners(self) -> tuple[str, str]:
        """Two keys of sections in rising order, of two owners, neither of whom is asked by the operator."""
        process = next(iter(self.world.machines.values())).process
        assert process is not None
        keys = sorted((f"routes/r{i}" for i in range(40)), key=process.section_of)
        owners = {key: self._owner(key).address for key in keys}
        first = next(key for key in keys if owners[key] != process.address)
        second = next(
            key
            for key in keys
            if owners[key] not in (process.address, owners[first])
            and process.section_of(key) > process.section_of(first)
        )
        return first, second

    def _send(self, at: Machine, call: list[tuple[str, bytes]]) -> list[Code]:
        """An operator's call at one machine; its answer is in the list when it has come."""
        codes: list[Code] = []

        def answered(answer: Answer) -> None:
            codes.append(answer.code)

        items = [Item(key=key, version=7, value=value) for key, value in call]
        self.world.submit_change(at, items, answered)
        return codes

    def _until(self, done: Callable[[], bool], most_s: float = 6.0) -> None:
        end = self.world.now + most_s
        while not done() and self.world.now < end:
            self.world.run_until(self.world.now + 0.002)
        self.assertTrue(done())

    def _lose_the_second_owner_after_the_first_part(self) -> Machine:
        """Ours is made at its first owner; the second owner is lost before it hears of it."""
        world = self.world
        asked = next(iter(world.machines.values()))
        first, second = self._owner(self.call[0][0]), self._owner(self.call[1][0])
        make_all = Requests._make_all

        def lost_on_the_way(requests: Requests, change: Change) -> None:
            world.kill(second)
            make_all(requests, change)

        with mock.patch.object(Requests, "_make_all", lost_on_the_way):
            self._send(asked, self.call)
            self._until(lambda: (self.call[0][0], 7) in world.committed_values)
        self.assertIsNotNone(first.process)
        return asked

    def test_a_call_that_was_taken_in_part_is_not_refused(self) -> None:
        asked = self._lose_the_second_owner_after_the_first_part()
        taken = self._send(asked, self.rival)
        self._until(lambda: bool(taken), most_s=12.0)
        if taken == [Code.BUSY]:
            taken = self._send(asked, self.rival)
            self._until(lambda: bool(taken), most_s=12.0)
        self.assertEqual(taken, [Code.DONE])
        again = self._send(asked, self.call)
        self._until(lambda: bool(again))
        self.assertEqual(again, [Code.BUSY], "a part of it stands")

    def test_nor_once_a_higher_version_has_overtaken_that_part(self) -> None:
        # Course 10 of bench.incidents: the part's version was 7, and 10 when the call was refused.
        asked = self._lose_the_second_owner_after_the_first_part()
        higher = [Item(key=self.call[0][0], version=9, value=b"later")]
        for items in (higher, [Item(key=key, version=7, value=value) for key, value in self.rival]):
            codes: list[Code] = []
            while Code.DONE not in codes:
                sent = len(codes)
                self.world.submit_change(asked, items, lambda answer, codes=codes: codes.append(answer.code))  # type: ignore[misc]
                self._until(lambda sent=sent, codes=codes: len(codes) > sent)  # type: ignore[misc]
        again = self._send(asked, self.call)
        self._until(lambda: bool(again))
        self.assertEqual(again, [Code.BUSY])

    def test_without_the_withdrawal_it_would_be_refused(self) -> None:
        def refuse(requests: Requests, change: Change, conflicts: object) -> None:
            requests._end(change, Code.CONFLICT)

        with mock.patch.object(Requests, "_withdraw_all", refuse), self.assertRaises(InvariantViolation):
            self.test_a_call_that_was_taken_in_part_is_not_refused()

    def test_a_call_no_part_of_which_was_taken_is_refused_each_time(self) -> None:
        asked = next(iter(self.world.machines.values()))
        taken = self._send(asked, self.rival)
        self._until(lambda: bool(taken))
        for _ in range(3):
            refused = self._send(asked, self.call)
            self._until(lambda refused=refused: bool(refused))  # type: ignore[misc]
            self.assertEqual(refused, [Code.CONFLICT])
        self.assertNotIn((self.call[0][0], 7), self.world.committed_values)

    def test_what_stands_already_by_another_call_does_not_keep_one_from_being_refused(self) -> None:
        asked = next(iter(self.world.machines.values()))
        for earlier in ([self.call[0]], self.rival):
            taken = self._send(asked, earlier)
            self._until(lambda taken=taken: bool(taken))  # type: ignore[misc]
        refused: list[Code] = []
        items = [Item(key=key, version=7, value=value) for key, value in self.call]
        process = asked.process
        assert process is not None
        self.world.answer_callbacks[asked.address, 10**6] = lambda answer: refused.append(answer.code)
        self.world.apply_outputs(asked, process.change(10**6, items, self.world.now))
        self._until(lambda: bool(refused))
        self.assertEqual(refused, [Code.CONFLICT])

    def test_a_make_that_comes_after_the_withdrawal_takes_nothing(self) -> None:
        """The first try's last words arrive when the second try has been refused."""
        world = self.world
        asked = next(iter(world.machines.values()))
        taken = self._send(asked, self.rival)
        self._until(lambda: bool(taken))
        refused = self._send(asked, self.call)
        self._until(lambda: bool(refused))
        process = asked.process
        assert process is not None
        late = Change(99, {}, world.now + 0.9, Phase.MAKE)
        items = [Item(key=key, version=7, value=value) for key, value in self.call]
        with mock.patch.object(Requests, "_reserve_all", Requests._make_all):
            world.answer_callbacks[asked.address, 99] = lambda answer: None
            world.apply_outputs(asked, process.change(late.number, items, world.now))
            world.run_until(world.now + 3.0)
        self.assertNotIn((self.call[0][0], 7), world.committed_values)

    def _two_calls_that_share_both_versions(self) -> list[Code]:
        """Each operator asks the owner of one, and sends again while the answer is unclear."""
        keys = [key for key, _ in self.call]
        ended: list[Code] = []

        def send(at: Machine, value: bytes) -> None:
            items = [Item(key=key, version=7, value=value) for key in keys]

            def answered(answer: Answer) -> None:
                if answer.code is Code.BUSY:
                    self.world.call_later(0.05, lambda: send(at, value))
                else:
                    ended.append(answer.code)

            self.world.submit_change(at, items, answered)

        for key, value in zip(keys, (b"ours", b"theirs"), strict=True):
            send(self._owner(key), value)
        self.world.run_until(self.world.now + 10.0)
        return ended

    def test_of_two_calls_that_share_several_versions_one_is_confirmed_and_one_refused(self) -> None:
        self.assertEqual(sorted(self._two_calls_that_share_both_versions()), [Code.DONE, Code.CONFLICT])

    def test_reserved_in_no_order_each_waits_for_the_other_without_end(self) -> None:
        with PLANTS["reserved_in_no_order"]():
            self.assertEqual(self._two_calls_that_share_both_versions(), [])

    def test_courses_in_which_that_happened(self) -> None:
        for seed in ENTANGLED_SEEDS:
            with self.subTest(seed=seed):
                Scenario(seed, fault_count=10, change_count=24).run()


class Standstill(unittest.TestCase):
    """A machine that stands still for seconds and runs on with what it knew."""

    def test_nothing_old_is_handed_out_and_every_rule_holds(self) -> None:
        for seed in FROZEN_SEEDS:
            with self.subTest(seed=seed):
                Scenario(
                    seed,
                    fault_kinds=FAULT_KINDS + 6 * FREEZE_KINDS,
                    fault_count=8,
                    change_count=24,
                    node_count=6,
                ).run()

    def _old_state_at_the_thaw(self) -> None:
        """A station calls a machine that stands still; the others confirm a change meanwhile."""
        world = World(2)
        stations = SimulatedNodes(world, 1)
        world.run_until(4.0)
        frozen, other, _ = world.machines.values()
        station = stations.nodes[0]
        world.freeze(frozen)
        station.machine_address = ""
        stations.open_session(station, frozen)
        codes: list[Code] = []
        world.run_until(6.0)
        world.submit_change(
            other, [Item(key="routes/r1", version=1, value=b"new")], lambda a: codes.append(a.code)
        )
        world.run_until(24.0)
        self.assertEqual(codes, [Code.DONE])
        station.machine_address = ""  # its session with another has ended just now
        world.thaw(frozen)
        world.run_until(30.0)
        stations.check_all_delivered()

    def test_a_machine_that_wakes_hands_out_nothing_before_a_majority_answered(self) -> None:
        self._old_state_at_the_thaw()

    def test_one_that_believes_its_links_hands_out_what_is_old(self) -> None:
        with PLANTS["links_believed"](), self.assertRaisesRegex(InvariantViolation, "hands out .* older"):
            self._old_state_at_the_thaw()


if __name__ == "__main__":
    unittest.main()
