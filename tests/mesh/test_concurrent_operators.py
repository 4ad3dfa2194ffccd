"""Concurrent operators: never two values under one version, never a refusal of a call applied in part."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.consensus.requests import OperatorRequests, PendingChange, Phase
from leadrudder.control_simulation.nodes import Stations
from leadrudder.control_simulation.scenario import FAULTS, STANDSTILL, Course
from leadrudder.control_simulation.world import Broken, Machine, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import PLANTED_FAULTS

# Two calls shared several versions, and each reserved one that the other waited for: a deadlock.
DEADLOCK_SEEDS = (7, 20, 183)
FROZEN_SEEDS = range(24)


class ConcurrentCalls(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3)
        self.world.play(4.0)
        first, second = self._keys_of_two_owners()
        self.call = [(first, b"ours"), (second, b"ours")]
        self.rival = [(second, b"theirs")]

    def _owner(self, key: str) -> Machine:
        for machine in self.world.machines.values():
            process = machine.process
            if process is not None and process.section_of(key) in process.ownership.owned_sections():
                return machine
        raise AssertionError(f"{key} has no owner")

    def _keys_of_two_owners(self) -> tuple[str, str]:
        """Two keys of sections in ascending order with different owners; the operator calls neither owner."""
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

    def _send(self, at: Machine, call: list[tuple[str, bytes]]) -> list[ResultCode]:
        """Send an operator's call to one node; its result is appended to the returned list."""
        codes: list[ResultCode] = []

        def answered(answer: Answer) -> None:
            codes.append(answer.code)

        items = [Item(key=key, version=7, value=value) for key, value in call]
        self.world.call(at, items, answered)
        return codes

    def _until(self, done: Callable[[], bool], most_s: float = 6.0) -> None:
        end = self.world.now + most_s
        while not done() and self.world.now < end:
            self.world.play(self.world.now + 0.002)
        self.assertTrue(done())

    def _lose_second_owner_after_first_part(self) -> Machine:
        """Apply our call at its first owner; the second owner is lost before the request arrives."""
        world = self.world
        asked = next(iter(world.machines.values()))
        first, second = self._owner(self.call[0][0]), self._owner(self.call[1][0])
        make_all = OperatorRequests._apply_all

        def lose_second_owner(requests: OperatorRequests, change: PendingChange) -> None:
            world.kill(second)
            make_all(requests, change)

        with mock.patch.object(OperatorRequests, "_apply_all", lose_second_owner):
            self._send(asked, self.call)
            self._until(lambda: (self.call[0][0], 7) in world.values)
        self.assertIsNotNone(first.process)
        return asked

    def test_partly_applied_call_is_not_refused(self) -> None:
        asked = self._lose_second_owner_after_first_part()
        taken = self._send(asked, self.rival)
        self._until(lambda: bool(taken), most_s=12.0)
        if taken == [ResultCode.BUSY]:
            taken = self._send(asked, self.rival)
            self._until(lambda: bool(taken), most_s=12.0)
        self.assertEqual(taken, [ResultCode.DONE])
        again = self._send(asked, self.call)
        self._until(lambda: bool(again))
        self.assertEqual(again, [ResultCode.BUSY], "a part of it is committed")

    def test_partly_applied_call_is_not_refused_after_a_newer_version(self) -> None:
        # Course 10 of bench.incidents: the part had version 7, superseded by 10 when the call was refused.
        asked = self._lose_second_owner_after_first_part()
        higher = [Item(key=self.call[0][0], version=9, value=b"later")]
        for items in (higher, [Item(key=key, version=7, value=value) for key, value in self.rival]):
            codes: list[ResultCode] = []
            while ResultCode.DONE not in codes:
                sent = len(codes)
                self.world.call(asked, items, lambda answer, codes=codes: codes.append(answer.code))  # type: ignore[misc]
                self._until(lambda sent=sent, codes=codes: len(codes) > sent)  # type: ignore[misc]
        again = self._send(asked, self.call)
        self._until(lambda: bool(again))
        self.assertEqual(again, [ResultCode.BUSY])

    def test_partly_applied_call_is_refused_without_the_withdrawal(self) -> None:
        def refuse(requests: OperatorRequests, change: PendingChange, conflicts: object) -> None:
            requests._finish(change, ResultCode.CONFLICT)

        with mock.patch.object(OperatorRequests, "_withdraw_all", refuse), self.assertRaises(Broken):
            self.test_partly_applied_call_is_not_refused()

    def test_call_without_applied_parts_is_refused_each_time(self) -> None:
        asked = next(iter(self.world.machines.values()))
        taken = self._send(asked, self.rival)
        self._until(lambda: bool(taken))
        for _ in range(3):
            refused = self._send(asked, self.call)
            self._until(lambda refused=refused: bool(refused))  # type: ignore[misc]
            self.assertEqual(refused, [ResultCode.CONFLICT])
        self.assertNotIn((self.call[0][0], 7), self.world.values)

    def test_equal_value_of_another_call_does_not_prevent_a_refusal(self) -> None:
        asked = next(iter(self.world.machines.values()))
        for earlier in ([self.call[0]], self.rival):
            taken = self._send(asked, earlier)
            self._until(lambda taken=taken: bool(taken))  # type: ignore[misc]
        refused: list[ResultCode] = []
        items = [Item(key=key, version=7, value=value) for key, value in self.call]
        process = asked.process
        assert process is not None
        self.world.answers[asked.address, 10**6] = lambda answer: refused.append(answer.code)
        self.world._carry_out(asked, process.change(10**6, items, self.world.now))
        self._until(lambda: bool(refused))
        self.assertEqual(refused, [ResultCode.CONFLICT])

    def test_apply_after_the_withdrawal_changes_nothing(self) -> None:
        """A late request of the first attempt arrives after the second attempt was refused."""
        world = self.world
        asked = next(iter(world.machines.values()))
        taken = self._send(asked, self.rival)
        self._until(lambda: bool(taken))
        refused = self._send(asked, self.call)
        self._until(lambda: bool(refused))
        process = asked.process
        assert process is not None
        late = PendingChange(99, {}, world.now + 0.9, Phase.APPLY)
        items = [Item(key=key, version=7, value=value) for key, value in self.call]
        with mock.patch.object(OperatorRequests, "_reserve_all", OperatorRequests._apply_all):
            world.answers[asked.address, 99] = lambda answer: None
            world._carry_out(asked, process.change(late.number, items, world.now))
            world.play(world.now + 3.0)
        self.assertNotIn((self.call[0][0], 7), world.values)

    def _two_calls_that_share_both_versions(self) -> list[ResultCode]:
        """Each operator calls the owner of one key, and repeats the call while the result is BUSY."""
        keys = [key for key, _ in self.call]
        ended: list[ResultCode] = []

        def send(at: Machine, value: bytes) -> None:
            items = [Item(key=key, version=7, value=value) for key in keys]

            def answered(answer: Answer) -> None:
                if answer.code is ResultCode.BUSY:
                    self.world.after(0.05, lambda: send(at, value))
                else:
                    ended.append(answer.code)

            self.world.call(at, items, answered)

        for key, value in zip(keys, (b"ours", b"theirs"), strict=True):
            send(self._owner(key), value)
        self.world.play(self.world.now + 10.0)
        return ended

    def test_of_two_calls_that_share_versions_one_is_confirmed_and_one_refused(self) -> None:
        self.assertEqual(
            sorted(self._two_calls_that_share_both_versions()), [ResultCode.DONE, ResultCode.CONFLICT]
        )

    def test_reservations_without_an_order_deadlock(self) -> None:
        with PLANTED_FAULTS["reserved_in_no_order"]():
            self.assertEqual(self._two_calls_that_share_both_versions(), [])

    def test_seeds_that_once_deadlocked(self) -> None:
        for seed in DEADLOCK_SEEDS:
            with self.subTest(seed=seed):
                Course(seed, faults=10, calls=24).play()


class FrozenNodes(unittest.TestCase):
    """Nodes that are frozen for seconds and continue with outdated state."""

    def test_no_outdated_state_is_served_and_all_invariants_hold(self) -> None:
        for seed in FROZEN_SEEDS:
            with self.subTest(seed=seed):
                Course(seed, kinds=FAULTS + 6 * STANDSTILL, faults=8, calls=24, stations=6).play()

    def _outdated_state_after_the_thaw(self) -> None:
        """A proxy connects to a frozen node while the others confirm a change."""
        world = World(2)
        stations = Stations(world, 1)
        world.play(4.0)
        frozen, other, _ = world.machines.values()
        station = stations.stations[0]
        world.freeze(frozen)
        station.home = ""
        stations._hello(station, frozen)
        codes: list[ResultCode] = []
        world.play(6.0)
        world.call(other, [Item(key="routes/r1", version=1, value=b"new")], lambda a: codes.append(a.code))
        world.play(24.0)
        self.assertEqual(codes, [ResultCode.DONE])
        station.home = ""  # its session with another node has just ended
        world.thaw(frozen)
        world.play(30.0)
        stations.end()

    def test_thawed_node_serves_nothing_before_a_majority_answers(self) -> None:
        self._outdated_state_after_the_thaw()

    def test_without_quorum_checks_outdated_state_is_served(self) -> None:
        with PLANTED_FAULTS["links_believed"](), self.assertRaisesRegex(Broken, "hands out .* older"):
            self._outdated_state_after_the_thaw()


if __name__ == "__main__":
    unittest.main()
