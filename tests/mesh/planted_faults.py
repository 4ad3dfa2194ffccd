"""Faults planted in the interlocking: each takes out one guard, and a search must find it.

Which search finds which stands in docs/design/control-state.md, measured by `python -m bench.control`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any
from unittest import mock

from leadrudder.consensus import lease, ownership, quorum, state_machine
from leadrudder.consensus.lease import Leases
from leadrudder.consensus.outputs import Output, ResultCode, Send
from leadrudder.consensus.ownership import SectionOwnership
from leadrudder.consensus.quorum import Quorum
from leadrudder.consensus.quorum_check import QuorumCheck
from leadrudder.consensus.reconfiguration import Reconfiguration
from leadrudder.consensus.requests import OperatorRequests, PendingChange, Phase
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.consensus.voters import VoterTable
from leadrudder.control_simulation.scenario import FAULTS, RESIZING, Course
from leadrudder.model_checker.state import Move
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, VoterSlot


@contextmanager
def put(owner: type, name: str, value: Any) -> Iterator[None]:
    with mock.patch.object(owner, name, value):
        yield


@contextmanager
def put_all(owner: type, **values: Any) -> Iterator[None]:
    with mock.patch.multiple(owner, **values):
        yield


def one_copy_is_enough() -> Any:
    return mock.patch("leadrudder.consensus.quorum.majority", lambda slots: 1)


def promise_without_items() -> Any:
    """A new owner hears nothing of what stood before."""
    return put(SectionOwnership, "items_of", lambda self, section: [])


def one_version_two_values() -> Any:
    """The owner does not look whether a version has a value already."""

    def weigh(self: SectionOwnership, ask: wire.ChangeRequest) -> tuple[ResultCode, list[Item], list[Item]]:
        return ResultCode.DONE, [Item.FromString(item.SerializeToString()) for item in ask.items], []

    return put(SectionOwnership, "_evaluate", weigh)


def lower_is_done_at_once() -> Any:
    """What a higher version has overtaken is acknowledged while that is on its way."""

    def weigh(self: SectionOwnership, ask: wire.ChangeRequest) -> tuple[ResultCode, list[Item], list[Item]]:
        code, new, _ = whole(self, ask)
        return code, new, []

    whole = SectionOwnership._evaluate
    return put(SectionOwnership, "_evaluate", weigh)


def read_by_one() -> Any:
    def on_reading(self: OperatorRequests, peer: str, told: wire.ReadResponse) -> None:
        reading = self._rounds.get(told.number)
        if reading is not None and told.ok:
            self._finish_read(reading, ResultCode.DONE, told.items)

    return put(OperatorRequests, "on_read_response", on_reading)


def grants_to_all() -> Any:
    """A granter does not look whether another has the duty."""

    def on_lease(self: Leases, peer: str, lease: wire.LeaseRequest, started: float) -> None:
        self._granted.clear()
        whole(self, peer, lease, started)

    whole = Leases.on_lease_request
    return put(Leases, "on_lease_request", on_lease)


# ---------------------------------------------------------------- copies, disks


def acknowledged_before_the_sync() -> Any:
    """What follows a write is said at once."""

    def write(self: ControlStateMachine, records: dict[str, bytes], then: Iterable[Send] = ()) -> None:
        whole(self, records)
        for send in then:
            self.send(send.to, send.frame)

    whole = ControlStateMachine.write
    return put(ControlStateMachine, "write", write)


def copy_not_kept() -> Any:
    """One that is asked for a copy says that it has it, and keeps nothing."""
    return put(ControlStateMachine, "accept", lambda self, items: {})


def drop_forgotten() -> Any:
    def keep(self: ControlStateMachine, items: Iterable[Item]) -> dict[str, bytes]:
        return whole(self, [item for item in items if not item.dropped])

    whole = ControlStateMachine.accept
    return put(ControlStateMachine, "accept", keep)


def older_overwrites_newer() -> Any:
    """What comes last is kept, be it old."""
    return mock.patch("leadrudder.configuration.item_store.newer", lambda new, old: True)


def promise_not_written() -> Any:
    """A promise is kept in memory alone."""

    def write(self: ControlStateMachine, records: dict[str, bytes], then: Iterable[Send] = ()) -> None:
        kept = {
            name: value
            for name, value in records.items()
            if not name.startswith(state_machine.PROMISED_RECORD_PREFIX)
        }
        whole(self, kept, then)

    whole = ControlStateMachine.write
    return put(ControlStateMachine, "write", write)


# ---------------------------------------------------------------- owners, epochs


class _Low(dict[int, int]):
    """Epochs as they were before the latest."""

    def get(self, key: int, default: Any = None) -> Any:
        return max(0, super().get(key, default or 0) - 256)


def epoch_not_raised() -> Any:
    """A claim takes the epoch that it knows, its seat in the low bits as ever."""

    def claim(self: SectionOwnership, section: int) -> None:
        self._machine.promised = _Low(self._machine.promised)
        whole(self, section)
        self._machine.promised = dict(self._machine.promised)

    whole = SectionOwnership.claim
    return put(SectionOwnership, "claim", claim)


def old_epoch_taken() -> Any:
    """A copy under an epoch that another promise has overtaken is taken."""

    def on_copy(self: ControlStateMachine, peer: str, copy: wire.Replicate) -> None:
        promised = self.promised.pop(copy.section, 0)
        whole(self, peer, copy)
        self.promised[copy.section] = max(promised, self.promised.get(copy.section, 0))

    whole = ControlStateMachine._on_replicate
    return put(ControlStateMachine, "_on_replicate", on_copy)


def promised_to_all() -> Any:
    """A lower epoch is promised after a higher one."""

    def on_prepare(self: ControlStateMachine, peer: str, prepare: wire.Prepare) -> None:
        self.promised.pop(prepare.section, None)
        whole(self, peer, prepare)

    whole = ControlStateMachine._on_prepare
    return put(ControlStateMachine, "_on_prepare", on_prepare)


def found_is_not_copied() -> Any:
    """A new owner takes what it found for standing, without a copy under its own epoch."""

    def copy(self: SectionOwnership, section: int, items: list[Item], **given: Any) -> None:
        if given.get("claim"):
            self._machine.mark_committed(items)
            self._become_owner(section)
        else:
            whole(self, section, items, **given)

    whole = SectionOwnership._replicate
    return put(SectionOwnership, "_replicate", copy)


def old_epoch_kept() -> Any:
    """What was taken under an earlier owner is copied on under that one's epoch."""

    def send_copies(
        self: SectionOwnership, number: int, copying: ownership.Replication, to: Iterable[str]
    ) -> None:
        for item in copying.items:
            held = self._machine.accepted.items.get(item.key)
            if held is not None and held.version == item.version and held.value == item.value:
                item.epoch = held.epoch
        whole(self, number, copying, to)

    whole = SectionOwnership._send_replication
    return put(SectionOwnership, "_send_replication", send_copies)


def refused_before_it_stands() -> Any:
    """A version is told as taken by a value that may yet come to nothing."""

    def weigh(self: SectionOwnership, ask: wire.ChangeRequest) -> tuple[ResultCode, list[Item], list[Item]]:
        code, new, waits = whole(self, ask)
        return (ResultCode.CONFLICT if code is ResultCode.BUSY else code), new, waits

    whole = SectionOwnership._evaluate
    return put(SectionOwnership, "_evaluate", weigh)


def stale_owner_believed() -> Any:
    return put(SectionOwnership, "on_owned_sections", lambda self, peer, owned: None)


def left_half_done() -> Any:
    """What repair brings of an earlier owner's is left to lie."""
    return put(SectionOwnership, "_replicate_uncommitted", lambda self: None)


# ---------------------------------------------------------------- seats


def wiped_counts_at_once() -> Any:
    """One whose disk is empty votes as soon as it hears of its seat."""

    def learn(self: VoterTable, told: Iterable[VoterSlot], teller: str = "") -> bool:
        new = whole(self, told, teller)
        self.full = self.full or self.own_slot() is not None
        return new

    whole = VoterTable.merge
    return put(VoterTable, "merge", learn)


def newcomer_asks_one() -> Any:
    return put(VoterTable, "required_grants", lambda self, index: 1)


def full_before_the_sync() -> Any:
    """A newcomer counts before what it was given is on its disk."""

    def on_grant(self: Reconfiguration, peer: str, grant: wire.SlotGrant) -> None:
        claim = self._claim
        whole(self, peer, grant)
        if claim is not None and self._claim is None:
            self.on_slot_written()

    whole = Reconfiguration.on_slot_grant
    return put(Reconfiguration, "on_slot_grant", on_grant)


def lost_votes_count() -> Any:
    """A reply counts whatever became of its sender's seat since."""
    return put(Quorum, "members", lambda self: set(self.views))


def granted_without_items() -> Any:
    """A newcomer is given the seat, and not what belongs to it."""

    def on_grant(self: Reconfiguration, peer: str, grant: wire.SlotGrant) -> None:
        bare = wire.SlotGrant()
        bare.CopyFrom(grant)
        del bare.items[:]
        whole(self, peer, bare)

    whole = Reconfiguration.on_slot_grant
    return put(Reconfiguration, "on_slot_grant", on_grant)


class _Many(set[str]):
    """Enough of whatever is wanted."""

    def __len__(self) -> int:
        return 99

    def clear(self) -> None:
        pass


def ousted_by_one_view() -> Any:
    """A seat is asked for without sounding who else sees its holder lost."""

    def ask_for_one(self: Reconfiguration) -> None:
        self._consenting = _Many()
        whole(self)

    whole = Reconfiguration._request_slot
    return put(Reconfiguration, "_request_slot", ask_for_one)


def size_not_told() -> Any:
    """How many replies are needed follows from what the asker knows alone."""

    def reached(self: Quorum, table: Mapping[int, VoterSlot]) -> bool:
        return len(self.members()) >= quorum.majority(sum(not seat.settled for seat in table.values()))

    return put(Quorum, "reached", reached)


def closed_without_filling() -> Any:
    """A seat is settled as closed before those that are left hold what it counted for."""
    return put(Quorum, "reached", _reached_by_one_fill())


def _reached_by_one_fill() -> Callable[[Quorum, Mapping[int, VoterSlot]], bool]:
    whole = Quorum.reached

    def reached(self: Quorum, table: Mapping[int, VoterSlot]) -> bool:
        half = any(seat.closed and not seat.settled for seat in table.values())
        return (half and len(self) > 0) or whole(self, table)

    return reached


def two_closed_at_once() -> Any:
    """Another seat is closed before the last one is settled."""
    return put(VoterTable, "closing_slot", lambda self: None)


def new_seat_by_one() -> Any:
    """A seat that is new is granted by one of those that have one."""

    def grants_needed(self: VoterTable, index: int) -> int:
        known = self.slots.get(index)
        return whole(self, index) if known is not None and not known.closed else 1

    whole = VoterTable.required_grants
    return put(VoterTable, "required_grants", grants_needed)


# ---------------------------------------------------------------- links, duties


def restart_not_noticed() -> Any:
    """A process that is back is taken for the one before."""

    def on_greeting(self: ControlStateMachine, peer: str, greeting: wire.PeerStatus) -> None:
        same = wire.PeerStatus()
        same.CopyFrom(greeting)
        same.life = 1
        whole(self, peer, same)

    whole = ControlStateMachine._on_peer_status
    return put(ControlStateMachine, "_on_peer_status", on_greeting)


def new_link_not_told() -> Any:
    """A link that replaces another is not told anew what stands."""

    def up(self: ControlStateMachine, peer: str, now: float) -> list[Output]:
        known = self.peers.get(peer)
        told = known is not None and known.informed
        outputs = whole(self, peer, now)
        if known is not None:
            known.informed = told
        return outputs

    whole = ControlStateMachine.up
    return put(ControlStateMachine, "up", up)


def lease_kept_too_long() -> Any:
    """A holder counts from when it was granted, and leaves no room for clocks."""

    def on_leased(self: Leases, peer: str, leased: wire.LeaseResponse) -> None:
        whole(self, peer, leased)
        if leased.duty in self._until:
            self._until[leased.duty] += 1.0

    whole = Leases.on_lease_response
    return put(Leases, "on_lease_response", on_leased)


def no_room_for_clocks() -> Any:
    return mock.patch.object(lease, "MAX_CLOCK_DRIFT", 0.0)


def granted_anew_after_a_restart() -> Any:
    """A process that has just started grants at once what it may have granted before."""

    def on_lease(self: Leases, peer: str, asked: wire.LeaseRequest, started: float) -> None:
        whole(self, peer, asked, -1e9)

    whole = Leases.on_lease_request
    return put(Leases, "on_lease_request", on_lease)


def nothing_repaired() -> Any:
    """What others miss is not handed over."""

    def send(self: ControlStateMachine, to: str, frame: Frame) -> None:
        if frame.WhichOneof("body") not in ("repair", "standing"):
            whole(self, to, frame)

    whole = ControlStateMachine.send
    return put(ControlStateMachine, "send", send)


def reserved_in_no_order() -> Any:
    """A call over several sections asks all owners at once for its versions."""

    def reserve_all(self: OperatorRequests, change: PendingChange) -> None:
        change.phase = Phase.RESERVE
        self._forget_requests(change)
        change.to_reserve = sorted(change.parts)
        for section in change.parts:
            self._send_request(change, section)

    def reserved(self: OperatorRequests, change: PendingChange, section: int) -> None:
        change.to_reserve.remove(section)
        if not change.to_reserve:
            self._apply_all(change)

    return put_all(OperatorRequests, _reserve_all=reserve_all, _on_reserved=reserved)


def links_believed() -> Any:
    """Contact with a majority is what the links seem to be, not what was answered lately."""

    def fresh(self: QuorumCheck, now: float) -> bool:
        return self._machine.has_majority()

    return put(QuorumCheck, "is_fresh", fresh)


PLANTS: dict[str, Callable[[], Any]] = {
    plant.__name__: plant
    for plant in (
        one_copy_is_enough,
        acknowledged_before_the_sync,
        copy_not_kept,
        drop_forgotten,
        older_overwrites_newer,
        promise_not_written,
        promise_without_items,
        epoch_not_raised,
        old_epoch_taken,
        promised_to_all,
        found_is_not_copied,
        old_epoch_kept,
        one_version_two_values,
        lower_is_done_at_once,
        refused_before_it_stands,
        read_by_one,
        stale_owner_believed,
        left_half_done,
        wiped_counts_at_once,
        newcomer_asks_one,
        full_before_the_sync,
        granted_without_items,
        lost_votes_count,
        ousted_by_one_view,
        size_not_told,
        closed_without_filling,
        two_closed_at_once,
        new_seat_by_one,
        restart_not_noticed,
        new_link_not_told,
        grants_to_all,
        lease_kept_too_long,
        no_room_for_clocks,
        granted_anew_after_a_restart,
        nothing_repaired,
        reserved_in_no_order,
        links_believed,
    )
}

# Guards that no search shows to be needed: something else holds where they are taken out. What was tried, and
# what else holds, stands in docs/design/control-state.md; they are not counted as planted faults.
UNSHOWN = (
    "old_epoch_kept",
    "refused_before_it_stands",
    "stale_owner_believed",
    "newcomer_asks_one",
    "full_before_the_sync",
    "granted_without_items",
    "lost_votes_count",
    "ousted_by_one_view",
    "size_not_told",
    "two_closed_at_once",
    "restart_not_noticed",
)

# Courses that broke a rule before what the plant takes out was there, cut to what it took.
COURSES: dict[str, tuple[str, list[Move]]] = {
    # A new link before the end of the old one was noticed: what was said on the old one was lost, and the
    # process behind it never heard who owns what, so it refused every station.
    "new_link_not_told": (
        "five",
        [
            ("power", 3, 0),
            ("start", 3),
            ("link", 0, 3),
            ("arrives", 3, 0),
            ("break", 0, 3),
            ("link", 0, 3),
            ("calm",),
        ],
    ),
    # A copy that outlived its owner was handed on by repair, and nobody had it stand: reads waited for good.
    "left_half_done": (
        "two-keys",
        [
            ("arrives", 0, 1),
            ("arrives", 1, 0),
            ("arrives", 0, 2),
            ("kill", 0),
            ("notice", 2, 0),
            ("start", 0),
            ("synced", 2),
            ("late", 0, 1),
            ("notice", 1, 0),
            ("link", 0, 1),
            ("call", 1, 1),
            ("calm",),
        ],
    ),
}

# Scenes that show a fault, and within how many states.
SHOWN_IN = {
    "one_copy_is_enough": ("rivals", 200),
    "acknowledged_before_the_sync": ("rivals", 300),
    "copy_not_kept": ("rivals", 200),
    "drop_forgotten": ("cuts", 2_000),
    "epoch_not_raised": ("rivals", 2_100),
    "nothing_repaired": ("rivals", 1_100),
    "promise_without_items": ("again", 400_000),
    "lower_is_done_at_once": ("again", 200),
    "read_by_one": ("reads", 2_000),
    "wiped_counts_at_once": ("wiped", 8_000),
    "grants_to_all": ("duty", 500),
    "no_room_for_clocks": ("duty", 6_000),
    "lease_kept_too_long": ("duty", 12_000),
    "granted_anew_after_a_restart": ("duty", 50_000),
    "found_is_not_copied": ("handed", 120_000),
}
# Shown by a course of its own in tests/mesh/test_concurrent_operators.py or test_control_simulation.py.
DIRECTED = ("reserved_in_no_order", "links_believed", "new_seat_by_one")
AT_ONCE = ("older_overwrites_newer",)  # frames go round before the first trouble

# Courses of large worlds that show faults which few seeds do.
RESIZED = FAULTS + 3 * RESIZING
SHOWN_BY = {
    "one_version_two_values": Course(4, faults=10),
    "promise_not_written": Course(3, faults=10),
    "promised_to_all": Course(273, faults=10, kinds=FAULTS + 2 * RESIZING),
    "old_epoch_taken": Course(489, 5, faults=14, calls=24),
    "closed_without_filling": Course(180, 5, faults=8, kinds=RESIZED),
}
