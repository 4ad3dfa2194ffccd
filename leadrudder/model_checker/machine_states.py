"""States of single machines, each kept once, and what an input makes of them, worked out once.

A machine's state is numbered by what it holds; orders of tables and sets that no rule rests on are folded.
The step of a machine is a function of its state and its input: time and chance are inputs like any others.
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

from leadrudder.configuration.item_store import Book
from leadrudder.consensus.lease import DUTIES
from leadrudder.consensus.outputs import Answer, Committed, Output, Send, Write
from leadrudder.consensus.state_machine import (
    ITEM_RECORD_PREFIX,
    PROMISED_RECORD_PREFIX,
    VOTERS_RECORD,
    ControlStateMachine,
)
from leadrudder.consensus.voters import VoterTable
from leadrudder.protocol import mesh_pb2
from leadrudder.protocol.mesh_pb2 import Frame, Item

Input = tuple[Any, ...]  # its kind, what it holds, and the machine's time last
Fact = tuple[str, int, bool, bytes]  # of an item: key, version, dropped, value
SeatRow = tuple[int, str, int]  # index, holder (none while it is being closed), incarnation
CLOSED = "-"  # in the place of a holder, once it is


class Still(Random):
    """Chance without chance: the middle of every span, the first of every choice, numbers that count up."""

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
        return Still, (self.count,)


def fact(item: Item) -> Fact:
    return item.key, item.version, item.dropped, item.value


@dataclass(frozen=True, slots=True)
class ToSend:
    to: str
    data: bytes


@dataclass(frozen=True, slots=True)
class ToWrite:
    records: tuple[tuple[str, bytes], ...]
    then: tuple[ToSend, ...]


@dataclass(frozen=True, slots=True)
class Stood:
    items: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Answered:
    number: int
    code: int
    items: tuple[Fact, ...]


Effect = ToSend | ToWrite | Stood | Answered


@dataclass(frozen=True, slots=True)
class View:
    """What a running machine shows, for the rules."""

    ready: frozenset[tuple[int, int]]  # sections owned, and their epochs
    leases: tuple[tuple[str, float], ...]  # duties held, and until when by its own clock
    seats: tuple[SeatRow, ...]
    full: bool
    standing: frozenset[Fact]
    whole: bool  # it has been told by every section's owner
    resigned: bool
    story: str


@dataclass(frozen=True, slots=True)
class DiskView:
    full: bool
    seats: tuple[SeatRow, ...]
    items: Mapping[str, Fact]


class _Pickler(pickle.Pickler):
    def reducer_override(self, obj: Any) -> Any:
        if isinstance(obj, Message):
            return _message, (type(obj).__name__, obj.SerializeToString(deterministic=True))
        return NotImplemented


def _message(name: str, data: bytes) -> Message:
    return cast(Message, getattr(mesh_pb2, name).FromString(data))


def _frozen(obj: Any) -> Any:
    """What counts of an object, as one hashable value."""
    if obj is None or isinstance(obj, bool | int | float | str | bytes):
        return obj
    if isinstance(obj, Message):
        return type(obj).__name__, obj.SerializeToString(deterministic=True)
    if isinstance(obj, dict):
        return frozenset((key, _frozen(value)) for key, value in obj.items())
    if isinstance(obj, set | frozenset):
        return frozenset(obj)
    if isinstance(obj, list | tuple):
        return tuple(map(_frozen, obj))
    if isinstance(obj, Still):
        return obj.count
    if isinstance(obj, Book):
        return _frozen(obj.items)  # its digests follow from them
    names = getattr(obj, "__slots__", None) or sorted(vars(obj))
    return tuple((n, _frozen(getattr(obj, n))) for n in names if n not in ("_machine", "machine", "step"))


def encoded(outputs: list[Output]) -> tuple[Effect, ...]:
    """Outputs as they go between machines: in bytes, so that nothing is shared."""

    def sent(send: Send) -> ToSend:
        return ToSend(send.to, send.frame.SerializeToString(deterministic=True))

    effects: list[Effect] = []
    for output in outputs:
        if isinstance(output, Send):
            effects.append(sent(output))
        elif isinstance(output, Write):
            effects.append(ToWrite(tuple(sorted(output.records.items())), tuple(map(sent, output.then))))
        elif isinstance(output, Committed):
            effects.append(Stood(tuple(map(fact, output.items))))
        elif isinstance(output, Answer):
            effects.append(Answered(output.number, int(output.code), tuple(map(fact, output.items))))
    return tuple(effects)


Maker = Callable[[str, int, bool, dict[str, bytes]], ControlStateMachine]  # address, life, first run, disk


class Locals:
    """The states met so far.  make: a process that starts."""

    def __init__(self, make: Maker) -> None:
        self._make = make
        self._numbers: dict[Any, int] = {}
        self._by_blob: dict[bytes, int] = {}  # the same, told by their bytes: equal states may have several
        self._blobs: list[bytes] = [b""]  # 0: no process
        self._views: list[View | None] = [None]
        self._steps: dict[tuple[int, Input], tuple[int, tuple[Effect, ...]]] = {}
        self._starts: dict[tuple[str, int, bool, int], int] = {}
        self._disk_numbers: dict[frozenset[tuple[str, bytes]], int] = {frozenset(): 0}
        self.disks: list[dict[str, bytes]] = [{}]
        self._swaps: dict[int, int] = {}
        self._disk_swaps: dict[int, int] = {}
        self._disk_views: dict[int, DiskView] = {}

    def __len__(self) -> int:
        return len(self._blobs)

    @property
    def steps(self) -> int:
        """How many steps of machines were worked out."""
        return len(self._steps)

    def start(self, address: str, life: int, first_run: bool, disk: int) -> int:
        known = self._starts.get((address, life, first_run, disk))
        if known is None:
            known = self._number(self._make(address, life, first_run, dict(self.disks[disk])))
            self._starts[address, life, first_run, disk] = known
        return known

    def step(self, local: int, given: Input) -> tuple[int, tuple[Effect, ...]]:
        """The state that follows, and what is to be sent, written and answered."""
        known = self._steps.get((local, given))
        if known is None:
            machine = pickle.loads(self._blobs[local])
            outputs = _feed(machine, given)
            known = self._number(machine), encoded(outputs)
            self._steps[local, given] = known
        return known

    def view(self, local: int) -> View:
        view = self._views[local]
        if view is None:
            view = self._views[local] = _view(pickle.loads(self._blobs[local]))
        return view

    def swapped(self, local: int, swap: Callable[[bytes], bytes]) -> int:
        """The same state with other bytes in its values; swap must be one function throughout."""
        known = self._swaps.get(local)
        if known is None:
            known = 0 if not local else self._number(pickle.loads(swap(self._blobs[local])))
            self._swaps[local] = known
        return known

    def swapped_disk(self, disk: int, swap: Callable[[bytes], bytes]) -> int:
        known = self._disk_swaps.get(disk)
        if known is None:
            known = self.written(0, tuple((name, swap(value)) for name, value in self.disks[disk].items()))
            self._disk_swaps[disk] = known
        return known

    def written(self, disk: int, records: tuple[tuple[str, bytes], ...]) -> int:
        """The disk with these records on it."""
        held = {**self.disks[disk], **dict(records)}
        number = self._disk_numbers.setdefault(frozenset(held.items()), len(self.disks))
        if number == len(self.disks):
            self.disks.append(held)
        return number

    def disk_view(self, disk: int) -> DiskView:
        view = self._disk_views.get(disk)
        if view is None:
            items = {}
            seats = VoterTable("")
            full = False
            for name, value in self.disks[disk].items():
                if name.startswith(ITEM_RECORD_PREFIX):
                    item = Item.FromString(value)
                    items[item.key] = fact(item)
                elif name == VOTERS_RECORD:
                    seats.restore(value)
                    full = bool(json.loads(value)["full"])
                else:
                    assert name.startswith(PROMISED_RECORD_PREFIX)
            view = self._disk_views[disk] = DiskView(full, _rows(seats), items)
        return view

    def _number(self, machine: ControlStateMachine) -> int:
        machine.step.out, machine.step.inbox = [], []
        into = io.BytesIO()
        _Pickler(into, 5).dump(machine)
        blob = into.getvalue()
        known = self._by_blob.get(blob)
        if known is None:
            known = self._numbers.setdefault(_frozen(machine), len(self._blobs))
            if known == len(self._blobs):
                self._blobs.append(blob)
                self._views.append(None)
            self._by_blob[blob] = known
        return known


def _feed(machine: ControlStateMachine, given: Input) -> list[Output]:
    kind, now = given[0], given[-1]
    if kind == "frame":
        return machine.frame(given[1], Frame.FromString(given[2]), now)
    if kind == "tick":
        return machine.tick(now)
    if kind == "up":
        return machine.up(given[1], now)
    if kind == "down":
        return machine.down(given[1], now)
    if kind == "change":
        return machine.change(given[1], [Item.FromString(data) for data in given[2]], now)
    if kind == "read":
        return machine.read(given[1], now)
    assert kind == "resign", kind
    return machine.resign(now)


def _rows(seats: VoterTable) -> tuple[SeatRow, ...]:
    return tuple(
        (i, CLOSED if seat.settled else seat.holder, seat.incarnation)
        for i, seat in sorted(seats.slots.items())
    )


def _view(machine: ControlStateMachine) -> View:
    owned = {section: state.epoch for section, state in machine.ownership.sections.items() if state.ready}
    mine = machine.voter_table.own_slot()
    return View(
        ready=frozenset(owned.items()),
        leases=tuple((duty, machine.leases.until(duty)) for duty in DUTIES if machine.leases.until(duty)),
        seats=_rows(machine.voter_table),
        full=machine.voter_table.full,
        standing=frozenset(map(fact, machine.committed.items.values())),
        whole=machine.ownership.knows_all_sections(),
        resigned=machine.resigned,
        story=f"seat {mine}{'' if machine.voter_table.full else ' (empty)'}, owns {owned or 'nothing'}",
    )
