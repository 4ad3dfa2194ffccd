"""What this process was asked by an operator: changes, taken all or none, and reads of a majority."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, auto
from typing import TYPE_CHECKING

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.outputs import Code
from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import Interlocking

CHANGE_S = 0.9  # an operator waits a second
ASK_AGAIN_S = 0.1  # an owner that could not answer is asked again after so long
READ_S = 0.9
READ_AGAIN_S = 0.06  # where a change is under way: it will stand, or be seen not to
SETTLE_AFTER = 4  # reads, after which the section is claimed so that what was left half done stands


class Phase(IntEnum):
    """Where a call over several sections stands. One within a single section is made at once."""

    RESERVE = auto()  # its versions are reserved, section by section in rising order
    MAKE = auto()  # all are reserved: the owners take their parts
    WITHDRAW = auto()  # an owner refused its part: is any other part taken?


@dataclass(slots=True)
class Change:
    """An operator's call.

    Reserving in one order everywhere keeps two calls that share several versions from each holding a part
    that the other waits for, without end.
    """

    number: int
    parts: dict[int, list[Item]]
    until: float
    phase: Phase
    to_reserve: list[int] = field(default_factory=list)  # sections that are not reserved yet, in order
    asked: dict[int, int] = field(default_factory=dict)  # numbers of asks that are out, and their sections
    again: list[tuple[float, int]] = field(default_factory=list)  # sections to be asked again, and when
    conflicts: list[Item] = field(default_factory=list)  # what stands where a part was refused


def call_id(items: Iterable[Item]) -> int:
    """64 bits that are the same for each try of a call, by its contents, and for no other call."""
    seal = hashlib.blake2b(digest_size=8)
    for item in sorted(items, key=lambda item: item.key):
        seal.update(f"{item.key}|{item.version}|{item.dropped}|{len(item.value)}|".encode() + item.value)
    return int.from_bytes(seal.digest(), "big") or 1


@dataclass(slots=True)
class Reading:
    number: int
    until: float
    tries: int = 0
    at: float = 0.0  # when it is asked again
    round: int = 0
    replies: dict[str, list[Item]] = field(default_factory=dict)
    have: Quorum = field(default_factory=Quorum)


class Requests:
    """The part of the interlocking that asks."""

    def __init__(self, machine: Interlocking) -> None:
        self._machine = machine
        self._changes: dict[int, Change] = {}
        self._asks: dict[int, Change] = {}
        self._reads: dict[int, Reading] = {}
        self._rounds: dict[int, Reading] = {}
        # Late words to an earlier process at our address must not be taken for answers to us.
        self._last = machine.rng.getrandbits(48)

    def _next(self) -> int:
        self._last += 1
        return self._last

    def tick(self) -> None:
        now = self._machine.turn.now
        for change in list(self._changes.values()):
            if now >= change.until:
                self._end(change, Code.BUSY)
                continue
            due, change.again = (
                [s for at, s in change.again if at <= now],
                [(at, s) for at, s in change.again if at > now],
            )
            for section in due:
                self._ask(change, section)
        for reading in list(self._reads.values()):
            if now >= reading.until:
                self._end_read(reading, Code.BUSY)
            elif reading.at and now >= reading.at:
                self._ask_all(reading)

    # ------------------------------------------------------------ changes

    def change(self, number: int, items: list[Item]) -> None:
        identity = call_id(items) if len(items) > 1 else 0  # one that has no parts is refused or not
        parts: dict[int, list[Item]] = {}
        for item in items:
            item.call = identity
            parts.setdefault(self._machine.section_of(item.key), []).append(item)
        several = len(parts) > 1
        change = Change(
            number, parts, self._machine.turn.now + CHANGE_S, Phase.RESERVE if several else Phase.MAKE
        )
        self._changes[number] = change
        if not parts:
            self._end(change, Code.DONE)
        elif several:
            self._reserve_all(change)
        else:
            self._make_all(change)

    def _reserve_all(self, change: Change) -> None:
        """From the first section on, also where a later owner has forgotten what was reserved with it."""
        change.phase = Phase.RESERVE
        self._forget_asks(change)
        change.to_reserve = sorted(change.parts)
        self._ask(change, change.to_reserve[0])

    def _make_all(self, change: Change) -> None:
        change.phase = Phase.MAKE
        for section in change.parts:
            self._ask(change, section)

    def _withdraw_all(self, change: Change, conflicts: Iterable[Item]) -> None:
        change.phase = Phase.WITHDRAW
        change.conflicts = list(conflicts)
        self._forget_asks(change)
        for section in change.parts:
            self._ask(change, section)

    def _ask(self, change: Change, section: int) -> None:
        machine = self._machine
        holder = machine.owner.holder(section)
        if holder is None:
            change.again.append((machine.turn.now + ASK_AGAIN_S, section))
            return
        number = self._next()
        change.asked[number] = section
        self._asks[number] = change
        ask = wire.Ask(
            number=number,
            section=section,
            items=change.parts[section],
            only_check=change.phase
            is not Phase.MAKE,  # an earlier release takes nothing at a withdrawal, too
            reserved=change.phase is Phase.MAKE and len(change.parts) > 1,
            withdraw=change.phase is Phase.WITHDRAW,
        )
        machine.send(holder, Frame(ask=ask))

    def on_told(self, peer: str, told: wire.Told) -> None:
        change = self._asks.pop(told.number, None)
        if change is None:
            return
        section = change.asked.pop(told.number)
        code = Code(told.outcome)
        if change.phase is Phase.WITHDRAW:
            self._on_withdrawn(change, section, code)
        elif code is Code.CONFLICT and len(change.parts) > 1:
            self._withdraw_all(change, told.items)
        elif code is Code.CONFLICT:
            self._end(change, code, told.items)
        elif code is Code.PARTLY_TAKEN:
            self._end(change, Code.BUSY)
        elif code is Code.BUSY and change.phase is Phase.MAKE and len(change.parts) > 1:
            change.phase = Phase.RESERVE  # its owner may be another, which has reserved nothing
            self._forget_asks(change)
            change.to_reserve = sorted(change.parts)
            change.again.append((self._machine.turn.now + ASK_AGAIN_S, change.to_reserve[0]))
        elif code is Code.BUSY:
            change.again.append((self._machine.turn.now + ASK_AGAIN_S, section))
        elif change.phase is Phase.RESERVE:
            self._on_reserved(change, section)
        elif not change.asked and not change.again:
            self._end(change, Code.DONE)

    def _on_reserved(self, change: Change, section: int) -> None:
        change.to_reserve.remove(section)
        if change.to_reserve:
            self._ask(change, change.to_reserve[0])
        else:
            self._make_all(change)

    def _on_withdrawn(self, change: Change, section: int, code: Code) -> None:
        """Refused only when no owner has taken a part, and none will: what was taken is never refused."""
        if code is Code.BUSY:
            change.again.append((self._machine.turn.now + ASK_AGAIN_S, section))
        elif code is Code.PARTLY_TAKEN:
            self._end(change, Code.BUSY)
        elif not change.asked and not change.again:
            self._end(change, Code.CONFLICT, change.conflicts)

    def _forget_asks(self, change: Change) -> None:
        """Answers that are still out count no more."""
        for number in change.asked:
            self._asks.pop(number, None)
        change.asked.clear()
        change.again.clear()

    def _end(self, change: Change, code: Code, items: Iterable[Item] = ()) -> None:
        self._forget_asks(change)
        if self._changes.pop(change.number, None) is not None:
            self._machine.answer(change.number, code, items)

    # ------------------------------------------------------------ reads

    def read(self, number: int) -> None:
        reading = Reading(number, self._machine.turn.now + READ_S)
        self._reads[number] = reading
        self._ask_all(reading)

    def _ask_all(self, reading: Reading) -> None:
        machine = self._machine
        self._rounds.pop(reading.round, None)
        reading.round, reading.replies, reading.have = self._next(), {}, Quorum()
        reading.at = machine.turn.now + (READ_AGAIN_S if not machine.has_majority() else 0.4)
        self._rounds[reading.round] = reading
        for voter in machine.voters():
            machine.send(voter, Frame(read=wire.Read(number=reading.round)))

    def on_reading(self, peer: str, told: wire.Reading) -> None:
        machine = self._machine
        reading = self._rounds.get(told.number)
        if reading is None or not told.ok or not machine.seats.table:
            return
        reading.replies[peer] = list(told.items)
        reading.have.add(peer, told.mark)
        if not reading.have.reached(machine.seats.table):
            return
        found = ItemStore()
        for items in reading.replies.values():
            found.merge(items)
        open_keys = [key for key, item in found.items.items() if not self._stands(item)]
        if not open_keys:
            self._end_read(reading, Code.DONE, found.items.values())
            return
        reading.tries += 1
        reading.at = machine.turn.now + READ_AGAIN_S
        self._rounds.pop(reading.round, None)
        if reading.tries == SETTLE_AFTER:
            for section in {machine.section_of(key) for key in open_keys}:
                machine.owner.settle(section)

    def _stands(self, item: Item) -> bool:
        stood = self._machine.standing.items.get(item.key)
        if stood is None or stood.version < item.version:
            return False
        return stood.version > item.version or (stood.value, stood.dropped) == (item.value, item.dropped)

    def _end_read(self, reading: Reading, code: Code, items: Iterable[Item] = ()) -> None:
        self._rounds.pop(reading.round, None)
        if self._reads.pop(reading.number, None) is not None:
            self._machine.answer(reading.number, code, items)
