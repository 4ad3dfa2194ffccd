"""States of single machines, each stored once, and their transitions, each computed once.

Equal machine states share one id; the iteration order of dicts and sets, which no invariant depends on, is
ignored in the comparison. A machine's step is a function of its state and its input, which includes the time;
random draws are deterministic.
"""

from __future__ import annotations

import io
import json
import pickle
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from google.protobuf.message import Message

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.accepted import AcceptedItems, read_accepted
from leadrudder.consensus.lease import DUTIES
from leadrudder.consensus.outputs import Answer, Committed, Output, Send, Write
from leadrudder.consensus.state_machine import (
    INSTALLED_RECORD_PREFIX,
    ITEM_RECORD_PREFIX,
    PROMISED_RECORD_PREFIX,
    VOTERS_RECORD,
    ControlStateMachine,
)
from leadrudder.consensus.voters import VoterTable
from leadrudder.protocol import mesh_pb2
from leadrudder.protocol.mesh_pb2 import Frame, Item

MachineInput = tuple[Any, ...]  # kind, arguments, and the machine's own time last
ItemTuple = tuple[str, int, bool, bytes]  # key, version, dropped, value
VoterRow = tuple[int, str, int]  # slot index, holder (empty while the slot is being closed), incarnation
RECORD_PREFIXES = (ITEM_RECORD_PREFIX, INSTALLED_RECORD_PREFIX, PROMISED_RECORD_PREFIX)
CLOSED_SLOT = "-"  # the holder of a slot that has been closed


class DeterministicRandom(Random):
    """Draws the middle of every range and the first of every choice; random bits count up."""

    def __init__(self, start: int) -> None:
        super().__init__(0)
        self.count = start

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int) -> int:
        self.count += 1
        return self.count << 16

    def choice(self, seq: Any) -> Any:
        return seq[0]

    def __reduce__(self) -> tuple[Any, ...]:
        return DeterministicRandom, (self.count,)


def item_tuple(item: Item) -> ItemTuple:
    return item.key, item.version, item.dropped, item.value


@dataclass(frozen=True, slots=True)
class EncodedSend:
    to: str
    data: bytes


@dataclass(frozen=True, slots=True)
class EncodedWrite:
    records: tuple[tuple[str, bytes], ...]
    then: tuple[EncodedSend, ...]


@dataclass(frozen=True, slots=True)
class EncodedCommit:
    items: tuple[ItemTuple, ...]


@dataclass(frozen=True, slots=True)
class EncodedAnswer:
    number: int
    code: int
    items: tuple[ItemTuple, ...]


Effect = EncodedSend | EncodedWrite | EncodedCommit | EncodedAnswer


@dataclass(frozen=True, slots=True)
class MachineView:
    """The part of a running machine's state that the invariants read."""

    owned_sections: frozenset[tuple[int, int]]  # section, epoch
    leases: tuple[tuple[str, float], ...]  # duty, expiry by the machine's own clock
    voters: tuple[VoterRow, ...]
    full: bool  # it holds every item that its voter slot requires
    committed: frozenset[ItemTuple]
    knows_all_sections: bool  # it has heard from the owner of every section
    resigned: bool
    summary: str


@dataclass(frozen=True, slots=True)
class DiskView:
    """The part of a disk's contents that the invariants read."""

    full: bool
    voters: tuple[VoterRow, ...]
    items: Mapping[str, ItemTuple]


class _Pickler(pickle.Pickler):
    def reducer_override(self, obj: Any) -> Any:
        if isinstance(obj, Message):
            return _message, (type(obj).__name__, obj.SerializeToString(deterministic=True))
        return NotImplemented


def _message(name: str, data: bytes) -> Message:
    return cast(Message, getattr(mesh_pb2, name).FromString(data))


def _canonical(obj: Any) -> Any:
    """The relevant state of an object as one hashable value."""
    if obj is None or isinstance(obj, bool | int | float | str | bytes):
        return obj
    if isinstance(obj, Message):
        return type(obj).__name__, obj.SerializeToString(deterministic=True)
    if isinstance(obj, dict):
        return frozenset((key, _canonical(value)) for key, value in obj.items())
    if isinstance(obj, set | frozenset):
        return frozenset(obj)
    if isinstance(obj, list | tuple):
        return tuple(map(_canonical, obj))
    if isinstance(obj, DeterministicRandom):
        return obj.count
    if isinstance(obj, AcceptedItems):
        return _canonical(obj.items), _canonical(obj.installed)
    if isinstance(obj, ItemStore):
        return _canonical(obj.items)  # the digests follow from the items
    names = getattr(obj, "__slots__", None) or sorted(vars(obj))
    return tuple((n, _canonical(getattr(obj, n))) for n in names if n not in ("_machine", "machine", "step"))


def encode_outputs(outputs: list[Output]) -> tuple[Effect, ...]:
    """The outputs with messages serialized, so that machines share no objects."""

    def encode_send(send: Send) -> EncodedSend:
        return EncodedSend(send.to, send.frame.SerializeToString(deterministic=True))

    effects: list[Effect] = []
    for output in outputs:
        if isinstance(output, Send):
            effects.append(encode_send(output))
        elif isinstance(output, Write):
            effects.append(
                EncodedWrite(tuple(sorted(output.records.items())), tuple(map(encode_send, output.then)))
            )
        elif isinstance(output, Committed):
            effects.append(EncodedCommit(tuple(map(item_tuple, output.items))))
        elif isinstance(output, Answer):
            effects.append(
                EncodedAnswer(output.number, int(output.code), tuple(map(item_tuple, output.items)))
            )
    return tuple(effects)


# The arguments are the address, the start count, whether it is the first run, and the disk.
MachineFactory = Callable[[str, int, bool, dict[str, bytes]], ControlStateMachine]


class MachineStates:
    """The machine states and disk contents seen so far, by id.  make_machine: creates a starting process."""

    def __init__(self, make_machine: MachineFactory, sections: int) -> None:
        self._make_machine = make_machine
        self._sections = sections
        self._ids: dict[Any, int] = {}
        self._ids_by_blob: dict[bytes, int] = {}  # equal states may have several pickles
        self._blobs: list[bytes] = [b""]  # id 0: no process
        self._views: list[MachineView | None] = [None]
        self._steps: dict[tuple[int, MachineInput], tuple[int, tuple[Effect, ...]]] = {}
        self._starts: dict[tuple[str, int, bool, int], int] = {}
        self._disk_ids: dict[frozenset[tuple[str, bytes]], int] = {frozenset(): 0}
        self.disks: list[dict[str, bytes]] = [{}]
        self._swapped_ids: dict[int, int] = {}
        self._swapped_disk_ids: dict[int, int] = {}
        self._disk_views: dict[int, DiskView] = {}

    def __len__(self) -> int:
        return len(self._blobs)

    @property
    def step_count(self) -> int:
        """The number of machine steps that were computed."""
        return len(self._steps)

    def start(self, address: str, start_count: int, first_run: bool, disk_id: int) -> int:
        state_id = self._starts.get((address, start_count, first_run, disk_id))
        if state_id is None:
            state_id = self._intern(
                self._make_machine(address, start_count, first_run, dict(self.disks[disk_id]))
            )
            self._starts[address, start_count, first_run, disk_id] = state_id
        return state_id

    def step(self, state_id: int, machine_input: MachineInput) -> tuple[int, tuple[Effect, ...]]:
        """The successor state and what the machine sends, writes and answers."""
        successor = self._steps.get((state_id, machine_input))
        if successor is None:
            machine = pickle.loads(self._blobs[state_id])
            outputs = _apply_input(machine, machine_input)
            successor = self._intern(machine), encode_outputs(outputs)
            self._steps[state_id, machine_input] = successor
        return successor

    def view(self, state_id: int) -> MachineView:
        view = self._views[state_id]
        if view is None:
            view = self._views[state_id] = _machine_view(pickle.loads(self._blobs[state_id]))
        return view

    def swap_values(self, state_id: int, swap: Callable[[bytes], bytes]) -> int:
        """The same state with swapped values; cached, so swap must always be the same function."""
        swapped_id = self._swapped_ids.get(state_id)
        if swapped_id is None:
            swapped_id = 0 if not state_id else self._intern(pickle.loads(swap(self._blobs[state_id])))
            self._swapped_ids[state_id] = swapped_id
        return swapped_id

    def swap_disk_values(self, disk_id: int, swap: Callable[[bytes], bytes]) -> int:
        swapped_id = self._swapped_disk_ids.get(disk_id)
        if swapped_id is None:
            swapped_id = self.write_disk(
                0, tuple((name, swap(value)) for name, value in self.disks[disk_id].items())
            )
            self._swapped_disk_ids[disk_id] = swapped_id
        return swapped_id

    def write_disk(self, disk_id: int, records: tuple[tuple[str, bytes], ...]) -> int:
        """The id of the disk contents after these records were written."""
        records_on_disk = {**self.disks[disk_id], **dict(records)}
        written_id = self._disk_ids.setdefault(frozenset(records_on_disk.items()), len(self.disks))
        if written_id == len(self.disks):
            self.disks.append(records_on_disk)
        return written_id

    def disk_view(self, disk_id: int) -> DiskView:
        view = self._disk_views.get(disk_id)
        if view is None:
            accepted = read_accepted(self.disks[disk_id], self._sections)
            items = {key: item_tuple(item) for key, item in accepted.items.items()}
            voters = VoterTable("")
            full = False
            for name, value in self.disks[disk_id].items():
                if name == VOTERS_RECORD:
                    voters.restore(value)
                    full = bool(json.loads(value)["full"])
                else:
                    assert name.startswith(RECORD_PREFIXES)
            view = self._disk_views[disk_id] = DiskView(full, _voter_rows(voters), items)
        return view

    def _intern(self, machine: ControlStateMachine) -> int:
        machine.step.out, machine.step.inbox = [], []
        buffer = io.BytesIO()
        _Pickler(buffer, 5).dump(machine)
        blob = buffer.getvalue()
        state_id = self._ids_by_blob.get(blob)
        if state_id is None:
            state_id = self._ids.setdefault(_canonical(machine), len(self._blobs))
            if state_id == len(self._blobs):
                self._blobs.append(blob)
                self._views.append(None)
            self._ids_by_blob[blob] = state_id
        return state_id


def _apply_input(machine: ControlStateMachine, machine_input: MachineInput) -> list[Output]:
    kind, now = machine_input[0], machine_input[-1]
    if kind == "frame":
        return machine.frame(machine_input[1], Frame.FromString(machine_input[2]), now)
    if kind == "tick":
        return machine.tick(now)
    if kind == "up":
        return machine.up(machine_input[1], now)
    if kind == "down":
        return machine.down(machine_input[1], now)
    if kind == "change":
        return machine.change(machine_input[1], [Item.FromString(data) for data in machine_input[2]], now)
    if kind == "read":
        return machine.read(machine_input[1], now)
    assert kind == "resign", kind
    return machine.resign(now)


def _voter_rows(voters: VoterTable) -> tuple[VoterRow, ...]:
    return tuple(
        (i, CLOSED_SLOT if slot.settled else slot.holder, slot.incarnation)
        for i, slot in sorted(voters.slots.items())
    )


def _machine_view(machine: ControlStateMachine) -> MachineView:
    owned = {section: state.epoch for section, state in machine.ownership.sections.items() if state.ready}
    mine = machine.voter_table.own_slot()
    return MachineView(
        owned_sections=frozenset(owned.items()),
        leases=tuple((duty, machine.leases.until(duty)) for duty in DUTIES if machine.leases.until(duty)),
        voters=_voter_rows(machine.voter_table),
        full=machine.voter_table.full,
        committed=frozenset(map(item_tuple, machine.committed.items.values())),
        knows_all_sections=machine.ownership.knows_all_sections(),
        resigned=machine.resigned,
        summary=f"seat {mine}{'' if machine.voter_table.full else ' (empty)'}, owns {owned or 'nothing'}",
    )
