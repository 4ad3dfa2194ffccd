"""A change that was refused must not come into force when the disk that alone accepted it returns."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_simulation.world import Machine, World
from leadrudder.protocol.mesh_pb2 import Item
from tests.mesh.planted_faults import PLANTED_FAULTS

OLD, REFUSED, TAKEN = b"old", b"refused", b"taken"
SETTLE_S = 4.0
RETRY_S = 0.1
CLEAR = (ResultCode.DONE, ResultCode.CONFLICT)


class RefusedAfterPowerLossTest(unittest.TestCase):
    """Guards against review/1: an item of a refused call was committed when its lost owner returned."""

    SEED = 73

    def setUp(self) -> None:
        self.world = World(self.SEED)
        self.world.run_until(SETTLE_S)
        self.owner = max(self.machines(), key=lambda machine: len(self.owned_sections(machine)))
        self.others = [machine for machine in self.machines() if machine is not self.owner]
        keys = [f"routes/r{i}" for i in range(200)]
        owned = self.owned_sections(self.owner)
        self.owned_keys = [key for key in keys if self.section_of(key) in owned]
        section = self.section_of(self.owned_keys[0])
        self.raced, self.moved, self.added = [k for k in self.owned_keys if self.section_of(k) == section][:3]
        old = [Item(key=key, version=1, value=OLD) for key in keys if key != self.added]
        self.assertIs(self.until_clear(old), ResultCode.DONE)

    def machines(self) -> list[Machine]:
        return list(self.world.machines.values())

    def owned_sections(self, machine: Machine) -> dict[int, int]:
        return machine.process.ownership.owned_sections() if machine.process is not None else {}

    def section_of(self, key: str) -> int:
        process = next(machine.process for machine in self.machines() if machine.process is not None)
        return process.section_of(key)

    def until_clear(self, items: list[Item]) -> ResultCode:
        """Send a change to the other nodes in turn until there is a clear answer."""
        codes: list[ResultCode] = []
        for attempt in range(40):
            copies = [Item.FromString(item.SerializeToString()) for item in items]
            self.world.submit_change(self.others[attempt % 2], copies, lambda a: codes.append(a.code))
            self.world.run_until(self.world.now + 1.0)
            if codes and codes[-1] in CLEAR:
                return codes[-1]
            self.world.run_until(self.world.now + RETRY_S)
        raise AssertionError("no clear answer")

    def refuse(self, *keys: str, version: int = 2) -> None:
        """A call that the owner alone accepts before all lose power is refused later: a rival was first."""
        call = [Item(key=key, version=version, value=REFUSED) for key in keys]
        for machine in self.others:
            self.world.kill(machine, power=True)
        copies = [Item.FromString(item.SerializeToString()) for item in call]
        self.world.submit_change(self.owner, copies, lambda answer: None)
        self.world.run_until(self.world.now + 0.3)
        self.assertTrue(all(f"item/{key}" in self.owner.disk for key in keys))
        self.world.kill(self.owner, power=True)
        for machine in self.others:
            self.world.start(machine)
        rival = [Item(key=self.raced, version=version, value=TAKEN)]
        self.assertIs(self.until_clear(rival), ResultCode.DONE)
        self.assertIs(self.until_clear(call), ResultCode.CONFLICT)

    def check_after(self, *events: Callable[[], None]) -> None:
        """The world itself fails if an item of a refused call is committed."""
        for event in events:
            event()
            self.world.run_until(self.world.now + 1.5)
        self.world.run_until(self.world.now + SETTLE_S)
        for machine in self.machines():
            answers: list[Answer] = []
            self.world.read(machine, answers.append)
            self.world.run_until(self.world.now + 1.0)
            self.assertEqual([answer.code for answer in answers], [ResultCode.DONE])
            values = {item.key: item.value for item in answers[0].items}
            self.assertEqual(values[self.raced], TAKEN)
            self.assertNotIn(REFUSED, values.values())
        self.assertEqual(len(self.accepted_digests()), 1)

    def accepted_digests(self) -> set[int]:
        return {machine.process.accepted.digest for machine in self.machines() if machine.process is not None}

    def owner_returns(self) -> None:
        self.world.start(self.owner)

    def lose_power(self, *machines: Machine) -> None:
        for machine in machines:
            self.world.kill(machine, power=True)

    def test_the_disk_of_the_owner_returns(self) -> None:
        self.refuse(self.raced, self.moved)
        self.check_after(self.owner_returns)

    def test_a_refused_call_adds_a_route(self) -> None:
        self.refuse(self.raced, self.added)
        self.check_after(self.owner_returns)

    def test_a_refused_call_spans_two_sections(self) -> None:
        section = self.section_of(self.raced)
        elsewhere = next(key for key in self.owned_keys if self.section_of(key) != section)
        self.refuse(self.raced, elsewhere)
        self.check_after(self.owner_returns)

    def test_a_refused_version_is_higher_by_more_than_one(self) -> None:
        self.refuse(self.raced, self.moved, version=5)
        self.check_after(self.owner_returns)

    def test_a_later_claim_hears_the_returned_disk(self) -> None:
        for lost in (0, 1):
            with self.subTest(lost=lost):
                self.setUp()
                machine = self.others[lost]
                self.refuse(self.raced, self.moved)

                def replace_voter(machine: Machine = machine) -> None:
                    self.lose_power(machine)
                    self.owner_returns()

                self.check_after(replace_voter, lambda machine=machine: self.world.start(machine))  # type: ignore[misc]

    def test_both_others_lose_power_as_the_disk_returns(self) -> None:
        self.refuse(self.raced, self.moved)

        def restart_others() -> None:
            self.lose_power(*self.others)
            for machine in self.others:
                self.world.start(machine)

        self.check_after(self.owner_returns, restart_others, restart_others)

    def test_the_returned_owner_claims_its_sections_again(self) -> None:
        self.refuse(self.raced, self.moved)

        def restart_all() -> None:
            self.lose_power(*self.machines())
            for machine in (self.owner, *self.others):
                self.world.start(machine)

        self.check_after(restart_all)

    def test_the_returned_voter_is_sent_what_the_claim_found(self) -> None:
        self.refuse(self.raced, self.added)
        with PLANTED_FAULTS["late_voters_not_told"]():
            self.owner_returns()
            self.world.run_until(self.world.now + SETTLE_S)
            self.assertGreater(len(self.accepted_digests()), 1)
        self.check_after()

    def test_a_refused_call_is_kept_by_no_empty_disk(self) -> None:
        self.refuse(self.raced, self.moved)

        def wipe_other() -> None:
            self.world.kill(self.others[0], power=True, wipe=True)
            self.world.start(self.others[0])

        self.check_after(self.owner_returns, wipe_other)


if __name__ == "__main__":
    unittest.main()
