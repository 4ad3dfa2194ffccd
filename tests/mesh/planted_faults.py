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
from leadrudder.consensus.outputs import Code, Output, Send
from leadrudder.consensus.ownership import Owner
from leadrudder.consensus.quorum import Quorum
from leadrudder.consensus.quorum_check import Contact
from leadrudder.consensus.reconfiguration import Seating
from leadrudder.consensus.requests import Change, Phase, Requests
from leadrudder.consensus.state_machine import Interlocking
from leadrudder.consensus.voters import Seats
from leadrudder.control_simulation.scenario import FAULT_KINDS, RESIZE_KINDS, Scenario
from leadrudder.model_checker.state import Move
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, Seat


@contextmanager
def put(owner: type, name: str, value: Any) -> Iterator[None]:
    with mock.patch.object(owner, name, value):
        yield


@contextmanager
def put_all(owner: type, **values: Any) -> Iterator[None]:
    with mock.patch.multiple(owner, **values):
        yield


def one_copy_is_enough() -> Any:
    return mock.patch("leadrudder.consensus.quorum.majority", lambda seats: 1)


def promise_without_items() -> Any:
    """A new owner hears nothing of what stood before."""
    return put(Owner, "of_section", lambda self, section: [])


def one_version_two_values() -> Any:
    """The owner does not look whether a version has a value already."""

    def weigh(self: Owner, ask: wire.Ask) -> tuple[Code, list[Item], list[Item]]:
        return Code.DONE, [Item.FromString(item.SerializeToString()) for item in ask.items], []

    return put(Owner, "_weigh", weigh)


def lower_is_done_at_once() -> Any:
    """What a higher version has overtaken is acknowledged while that is on its way."""

    def weigh(self: Owner, ask: wire.Ask) -> tuple[Code, list[Item], list[Item]]:
        code, new, _ = whole(self, ask)
        return code, new, []

    whole = Owner._weigh
    return put(Owner, "_weigh", weigh)


def read_by_one() -> Any:
    def on_reading(self: Requests, peer: str, told: wire.Reading) -> None:
        reading = self._rounds.get(told.number)
        if reading is not None and told.ok:
            self._end_read(reading, Code.DONE, told.items)

    return put(Requests, "on_reading", on_reading)


def grants_to_all() -> Any:
    """A granter does not look whether another has the duty."""

    def on_lease(self: Leases, peer: str, lease: wire.Lease, started: float) -> None:
        self._given.clear()
        whole(self, peer, lease, started)

    whole = Leases.on_lease
    return put(Leases, "on_lease", on_lease)


# ---------------------------------------------------------------- copies, disks


def acknowledged_before_the_sync() -> Any:
    """What follows a write is said at once."""

    def write(self: Interlocking, records: dict[str, bytes], then: Iterable[Send] = ()) -> None:
        whole(self, records)
        for send in then:
            self.send(send.to, send.frame)

    whole = Interlocking.write
    return put(Interlocking, "write", write)


def copy_not_kept() -> Any:
    """One that is asked for a copy says that it has it, and keeps nothing."""
    return put(Interlocking, "keep", lambda self, items: {})


def drop_forgotten() -> Any:
    def keep(self: Interlocking, items: Iterable[Item]) -> dict[str, bytes]:
        return whole(self, [item for item in items if not item.dropped])

    whole = Interlocking.keep
    return put(Interlocking, "keep", keep)


def older_overwrites_newer() -> Any:
    """What comes last is kept, be it old."""
    return mock.patch("leadrudder.configuration.item_store.newer", lambda new, old: True)


def promise_not_written() -> Any:
    """A promise is kept in memory alone."""

    def write(self: Interlocking, records: dict[str, bytes], then: Iterable[Send] = ()) -> None:
        kept = {
            name: value
            for name, value in records.items()
            if not name.startswith(state_machine.PROMISED_RECORD)
        }
        whole(self, kept, then)

    whole = Interlocking.write
    return put(Interlocking, "write", write)


# ---------------------------------------------------------------- owners, epochs


class _Low(dict[int, int]):
    """Epochs as they were before the latest."""

    def get(self, key: int, default: Any = None) -> Any:
        return max(0, super().get(key, default or 0) - 256)


def epoch_not_raised() -> Any:
    """A claim takes the epoch that it knows, its seat in the low bits as ever."""

    def claim(self: Owner, section: int) -> None:
        self._machine.promised = _Low(self._machine.promised)
        whole(self, section)
        self._machine.promised = dict(self._machine.promised)

    whole = Owner.claim
    return put(Owner, "claim", claim)


def old_epoch_taken() -> Any:
    """A copy under an epoch that another promise has overtaken is taken."""

    def on_copy(self: Interlocking, peer: str, copy: wire.Copy) -> None:
        promised = self.promised.pop(copy.section, 0)
        whole(self, peer, copy)
        self.promised[copy.section] = max(promised, self.promised.get(copy.section, 0))

    whole = Interlocking._on_copy
    return put(Interlocking, "_on_copy", on_copy)


def promised_to_all() -> Any:
    """A lower epoch is promised after a higher one."""

    def on_prepare(self: Interlocking, peer: str, prepare: wire.Prepare) -> None:
        self.promised.pop(prepare.section, None)
        whole(self, peer, prepare)

    whole = Interlocking._on_prepare
    return put(Interlocking, "_on_prepare", on_prepare)


def found_is_not_copied() -> Any:
    """A new owner takes what it found for standing, without a copy under its own epoch."""

    def copy(self: Owner, section: int, items: list[Item], **given: Any) -> None:
        if given.get("claim"):
            self._machine.stands(items)
            self._ready(section)
        else:
            whole(self, section, items, **given)

    whole = Owner._copy
    return put(Owner, "_copy", copy)


def old_epoch_kept() -> Any:
    """What was taken under an earlier owner is copied on under that one's epoch."""

    def send_copies(self: Owner, number: int, copying: ownership.Copying, to: Iterable[str]) -> None:
        for item in copying.items:
            held = self._machine.book.items.get(item.key)
            if held is not None and held.version == item.version and held.value == item.value:
                item.epoch = held.epoch
        whole(self, number, copying, to)

    whole = Owner._send_copies
    return put(Owner, "_send_copies", send_copies)


def refused_before_it_stands() -> Any:
    """A version is told as taken by a value that may yet come to nothing."""

    def weigh(self: Owner, ask: wire.Ask) -> tuple[Code, list[Item], list[Item]]:
        code, new, waits = whole(self, ask)
        return (Code.CONFLICT if code is Code.BUSY else code), new, waits

    whole = Owner._weigh
    return put(Owner, "_weigh", weigh)


def stale_owner_believed() -> Any:
    return put(Owner, "on_owned", lambda self, peer, owned: None)


def left_half_done() -> Any:
    """What repair brings of an earlier owner's is left to lie."""
    return put(Owner, "_settle_found", lambda self: None)


# ---------------------------------------------------------------- seats


def wiped_counts_at_once() -> Any:
    """One whose disk is empty votes as soon as it hears of its seat."""

    def learn(self: Seats, told: Iterable[Seat], teller: str = "") -> bool:
        new = whole(self, told, teller)
        self.full = self.full or self.mine() is not None
        return new

    whole = Seats.learn
    return put(Seats, "learn", learn)


def newcomer_asks_one() -> Any:
    return put(Seats, "grants_needed", lambda self, index: 1)


def full_before_the_sync() -> Any:
    """A newcomer counts before what it was given is on its disk."""

    def on_grant(self: Seating, peer: str, grant: wire.Grant) -> None:
        claim = self._claim
        whole(self, peer, grant)
        if claim is not None and self._claim is None:
            self.seated()

    whole = Seating.on_grant
    return put(Seating, "on_grant", on_grant)


def lost_votes_count() -> Any:
    """A reply counts whatever became of its sender's seat since."""
    return put(Quorum, "members", lambda self: set(self.marks))


def granted_without_items() -> Any:
    """A newcomer is given the seat, and not what belongs to it."""

    def on_grant(self: Seating, peer: str, grant: wire.Grant) -> None:
        bare = wire.Grant()
        bare.CopyFrom(grant)
        del bare.items[:]
        whole(self, peer, bare)

    whole = Seating.on_grant
    return put(Seating, "on_grant", on_grant)


class _Many(set[str]):
    """Enough of whatever is wanted."""

    def __len__(self) -> int:
        return 99

    def clear(self) -> None:
        pass


def ousted_by_one_view() -> Any:
    """A seat is asked for without sounding who else sees its holder lost."""

    def ask_for_one(self: Seating) -> None:
        self._willing = _Many()
        whole(self)

    whole = Seating._ask_for_one
    return put(Seating, "_ask_for_one", ask_for_one)


def size_not_told() -> Any:
    """How many replies are needed follows from what the asker knows alone."""

    def reached(self: Quorum, table: Mapping[int, Seat]) -> bool:
        return len(self.members()) >= quorum.majority(sum(not seat.settled for seat in table.values()))

    return put(Quorum, "reached", reached)


def closed_without_filling() -> Any:
    """A seat is settled as closed before those that are left hold what it counted for."""
    return put(Quorum, "reached", _reached_by_one_fill())


def _reached_by_one_fill() -> Callable[[Quorum, Mapping[int, Seat]], bool]:
    whole = Quorum.reached

    def reached(self: Quorum, table: Mapping[int, Seat]) -> bool:
        half = any(seat.closed and not seat.settled for seat in table.values())
        return (half and len(self) > 0) or whole(self, table)

    return reached


def two_closed_at_once() -> Any:
    """Another seat is closed before the last one is settled."""
    return put(Seats, "half_closed", lambda self: None)


def new_seat_by_one() -> Any:
    """A seat that is new is granted by one of those that have one."""

    def grants_needed(self: Seats, index: int) -> int:
        known = self.table.get(index)
        return whole(self, index) if known is not None and not known.closed else 1

    whole = Seats.grants_needed
    return put(Seats, "grants_needed", grants_needed)


# ---------------------------------------------------------------- links, duties


def restart_not_noticed() -> Any:
    """A process that is back is taken for the one before."""

    def on_greeting(self: Interlocking, peer: str, greeting: wire.Greeting) -> None:
        same = wire.Greeting()
        same.CopyFrom(greeting)
        same.life = 1
        whole(self, peer, same)

    whole = Interlocking._on_greeting
    return put(Interlocking, "_on_greeting", on_greeting)


def new_link_not_told() -> Any:
    """A link that replaces another is not told anew what stands."""

    def up(self: Interlocking, peer: str, now: float) -> list[Output]:
        known = self.peers.get(peer)
        told = known is not None and known.told
        outputs = whole(self, peer, now)
        if known is not None:
            known.told = told
        return outputs

    whole = Interlocking.up
    return put(Interlocking, "up", up)


def lease_kept_too_long() -> Any:
    """A holder counts from when it was granted, and leaves no room for clocks."""

    def on_leased(self: Leases, peer: str, leased: wire.Leased) -> None:
        whole(self, peer, leased)
        if leased.duty in self._until:
            self._until[leased.duty] += 1.0

    whole = Leases.on_leased
    return put(Leases, "on_leased", on_leased)


def no_room_for_clocks() -> Any:
    return mock.patch.object(lease, "DRIFT", 0.0)


def granted_anew_after_a_restart() -> Any:
    """A process that has just started grants at once what it may have granted before."""

    def on_lease(self: Leases, peer: str, asked: wire.Lease, started: float) -> None:
        whole(self, peer, asked, -1e9)

    whole = Leases.on_lease
    return put(Leases, "on_lease", on_lease)


def nothing_repaired() -> Any:
    """What others miss is not handed over."""

    def send(self: Interlocking, to: str, frame: Frame) -> None:
        if frame.WhichOneof("body") not in ("repair", "standing"):
            whole(self, to, frame)

    whole = Interlocking.send
    return put(Interlocking, "send", send)


def reserved_in_no_order() -> Any:
    """A call over several sections asks all owners at once for its versions."""

    def reserve_all(self: Requests, change: Change) -> None:
        change.phase = Phase.RESERVE
        self._forget_asks(change)
        change.to_reserve = sorted(change.parts)
        for section in change.parts:
            self._ask(change, section)

    def reserved(self: Requests, change: Change, section: int) -> None:
        change.to_reserve.remove(section)
        if not change.to_reserve:
            self._make_all(change)

    return put_all(Requests, _reserve_all=reserve_all, _on_reserved=reserved)


def links_believed() -> Any:
    """Contact with a majority is what the links seem to be, not what was answered lately."""

    def fresh(self: Contact, now: float) -> bool:
        return self._machine.has_majority()

    return put(Contact, "fresh", fresh)


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
RESIZED = FAULT_KINDS + 3 * RESIZE_KINDS
SHOWN_BY = {
    "one_version_two_values": Scenario(4, fault_count=10),
    "promise_not_written": Scenario(3, fault_count=10),
    "promised_to_all": Scenario(273, fault_count=10, fault_kinds=FAULT_KINDS + 2 * RESIZE_KINDS),
    "old_epoch_taken": Scenario(489, 5, fault_count=14, change_count=24),
    "closed_without_filling": Scenario(180, 5, fault_count=8, fault_kinds=RESIZED),
}
