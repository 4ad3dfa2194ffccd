"""Anti-entropy between two control nodes, restarted owners, and votes of replaced voters."""

from __future__ import annotations

import json
import unittest
from random import Random

from leadrudder.configuration.item_store import digest, range_of
from leadrudder.consensus import anti_entropy
from leadrudder.consensus.outputs import Output, Send, Write
from leadrudder.consensus.quorum import Quorum
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, VoterView

NAMES = ("10.0.0.1:1", "10.1.0.1:1", "10.2.0.1:1")


def machine(i: int, *items: Item, full: bool = True) -> ControlStateMachine:
    """One of three voters, with these items and its voter slots on disk."""
    slots = {"seats": [[n, name, 1] for n, name in enumerate(NAMES)], "full": full}
    kept = {f"item/{item.key}": item.SerializeToString() for item in items}
    kept["seats"] = json.dumps(slots).encode()
    return ControlStateMachine(
        NAMES[i], "zone", first_run=False, seeds=NAMES, losses=1, rng=Random(i), records=kept
    )


def frames(outputs: list[Output], to: str) -> list[Frame]:
    sends = [o for o in outputs if isinstance(o, Send)]
    sends += [send for o in outputs if isinstance(o, Write) for send in o.then]
    return [send.frame for send in sends if send.to == to]


class Pair:
    """Two control nodes on a link that delivers each frame at once; counts bytes by kind of frame."""

    def __init__(self, a: ControlStateMachine, b: ControlStateMachine) -> None:
        self.ends = (a, b)
        self.bytes: dict[str, int] = {}
        for one, other in ((a, b), (b, a)):
            self._pass(one, other, one.up(other.address, 0.0), 0.0)

    def tick(self, now: float) -> None:
        a, b = self.ends
        for one, other in ((a, b), (b, a)):
            self._pass(one, other, one.tick(now), now)

    def _pass(
        self, one: ControlStateMachine, other: ControlStateMachine, outputs: list[Output], now: float
    ) -> None:
        for frame in frames(outputs, other.address):
            kind = frame.WhichOneof("body") or ""
            self.bytes[kind] = self.bytes.get(kind, 0) + frame.ByteSize()
            self._pass(other, one, other.frame(one.address, frame, now), now)


def items(n: int, size: int = 10) -> list[Item]:
    return [Item(key=f"routes/r{i}", version=1, epoch=256, value=b"x" * size) for i in range(n)]


class AntiEntropyTest(unittest.TestCase):
    def test_different_item_sets_have_different_digests(self) -> None:
        def of(*versions: int) -> int:
            return digest(Item(key=f"routes/r{i}", version=v, epoch=257) for i, v in enumerate(versions))

        sets = [(a, b, c) for a in range(1, 10) for b in range(1, 10) for c in range(1, 10)]
        self.assertEqual(len({of(*versions) for versions in sets}), len(sets))

    def test_one_different_item_transfers_only_its_range(self) -> None:
        all_items = items(2000)
        pair = Pair(machine(0, *all_items), machine(1, *all_items[:-1]))
        pair.tick(1.0)
        self.assertEqual(pair.ends[0].accepted.digest, pair.ends[1].accepted.digest)
        of_range = sum(range_of(i.key) == range_of(all_items[-1].key) for i in all_items)
        self.assertLess(pair.bytes["repair"], 2 * of_range * all_items[0].ByteSize())
        self.assertLess(pair.bytes["repair"], sum(i.ByteSize() for i in all_items) / 10)

    def test_equal_items_transfer_only_digests(self) -> None:
        pair = Pair(machine(0, *items(50)), machine(1, *items(50)))
        pair.tick(1.0)
        self.assertEqual({"repair", "ranges", "standing"} & pair.bytes.keys(), set())

    def test_items_beyond_the_rate_limit_are_sent_over_several_rounds(self) -> None:
        large = items(3000, 1000)
        pair = Pair(machine(0, *large), machine(1))
        pair.tick(1.0)
        first = pair.ends[0].anti_entropy.bytes_sent
        self.assertLessEqual(first, anti_entropy.MAX_BYTES_PER_S + large[-1].ByteSize())
        for step in range(2, 12):
            pair.tick(0.5 * step)
        self.assertEqual(pair.ends[0].accepted.digest, pair.ends[1].accepted.digest)
        self.assertLessEqual(pair.ends[0].anti_entropy.bytes_sent, (1 + 5.5) * anti_entropy.MAX_BYTES_PER_S)

    def test_replica_lag_reports_missing_items(self) -> None:
        a = machine(0, *items(5))
        pair = Pair(a, machine(1, *items(5)))
        pair.tick(1.0)
        one, other = a.anti_entropy.replica_lag()
        self.assertEqual((one.holder, one.up, one.items, one.bytes), (NAMES[1], True, 0, 0))
        self.assertEqual((other.holder, other.up, other.full, other.items), (NAMES[2], False, False, 5))
        a.down(NAMES[1], 2.0)
        a.frame(NAMES[1], Frame(repair=wire.Repair(items=[Item(key="limits", version=2, epoch=256)])), 3.0)
        (one, _) = a.anti_entropy.replica_lag()
        self.assertFalse(one.up)
        self.assertGreaterEqual(one.items, 1)
        self.assertEqual(one.since_s, 2.0)


class OwnershipTest(unittest.TestCase):
    def test_late_announcement_of_a_dead_owner_is_corrected_by_its_next_status(self) -> None:
        one = machine(0)
        one.tick(0.0)
        status = wire.PeerStatus(address=NAMES[1], full=True, life=7)
        one.frame(NAMES[1], Frame(greeting=status), 0.0)
        announcement = wire.OwnerAnnouncement(section=3, epoch=513, holder=NAMES[1])
        one.frame(NAMES[1], Frame(owner=announcement), 0.1)  # late: from an earlier process
        self.assertEqual(one.ownership.known_owners[3], (513, NAMES[1]))
        one.frame(NAMES[1], Frame(greeting=status), 0.5)
        self.assertEqual(one.ownership.known_owners[3], (513, ""))
        status.owned.add(section=3, epoch=769)
        one.frame(NAMES[1], Frame(greeting=status), 1.0)
        self.assertEqual(one.ownership.known_owners[3], (769, NAMES[1]))


class QuorumTest(unittest.TestCase):
    def test_reply_sent_before_its_sender_lost_its_slot_does_not_count(self) -> None:
        quorum = Quorum()
        quorum.add("a", VoterView(seat=0, incarnations=[1, 1, 1, 1, 1]))
        quorum.add("m", VoterView(seat=1, incarnations=[1, 1, 1, 1, 1]))
        self.assertEqual(quorum.members(), {"a", "m"})
        quorum.add("b", VoterView(seat=2, incarnations=[1, 2, 1, 1, 1]))  # it has granted m's slot again
        self.assertEqual(quorum.members(), {"a", "b"})
        quorum.add("m", VoterView(seat=1, incarnations=[1, 2, 1, 1, 1]))
        self.assertEqual(len(quorum), 3)
        quorum.add("m", VoterView(seat=1, incarnations=[1, 1, 1, 1, 1]))  # late
        self.assertEqual(len(quorum), 3)

    def test_new_slot_holder_grants_no_lease_until_earlier_grants_have_expired(self) -> None:
        new_holder = machine(2, full=False)
        new_holder.tick(0.0)
        for peer in NAMES[:2]:
            status = wire.PeerStatus(address=peer, full=True, life=7)
            new_holder.frame(peer, Frame(greeting=status), 0.0)
        slot_written = Frame(greeting=wire.PeerStatus(address=NAMES[2], full=True))
        new_holder.frame(NAMES[2], slot_written, 100.0)  # its records are on disk: it votes
        for now, ok in ((100.1, False), (101.9, False), (102.5, True)):
            request = Frame(lease=wire.LeaseRequest(duty="sweep", number=1))
            answers = frames(new_holder.frame(NAMES[0], request, now), NAMES[0])
            self.assertEqual([f.leased.ok for f in answers if f.WhichOneof("body") == "leased"], [ok])


if __name__ == "__main__":
    unittest.main()
