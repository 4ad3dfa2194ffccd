"""What this process was asked by an operator: changes, taken all or none, and reads of a majority."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, auto
from typing import TYPE_CHECKING

from leadrudder.configuration.item_store import Book
from leadrudder.consensus.outputs import ResultCode
from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

CHANGE_TIMEOUT_S = 0.9  # an operator waits a second
RETRY_DELAY_S = 0.1  # an owner that could not answer is asked again after so long
READ_TIMEOUT_S = 0.9
READ_RETRY_DELAY_S = 0.06  # where a change is under way: it will stand, or be seen not to
RECOVER_AFTER_READS = 4  # reads, after which the section is claimed so that what was left half done stands


class Phase(IntEnum):
    """Where a call over several sections stands. One within a single section is made at once."""

    RESERVE = auto()  # its versions are reserved, section by section in rising order
    MAKE = auto()  # all are reserved: the owners take their parts
    WITHDRAW = auto()  # an owner refused its part: is any other part taken?


@dataclass(slots=True)
class PendingChange:
    """An operator's call.

    Reserving in one order everywhere keeps two calls that share several versions from each holding a part
    that the other waits for, without end.
    """

    number: int
    parts: dict[int, list[Item]]
    deadline: float
    phase: Phase
    to_reserve: list[int] = field(default_factory=list)  # sections that are not reserved yet, in order
    open_requests: dict[int, int] = field(
        default_factory=dict
    )  # numbers of asks that are out, and their sections
    retries: list[tuple[float, int]] = field(default_factory=list)  # sections to be asked again, and when
    conflicts: list[Item] = field(default_factory=list)  # what stands where a part was refused


def call_id(items: Iterable[Item]) -> int:
    """64 bits that are the same for each try of a call, by its contents, and for no other call."""
    seal = hashlib.blake2b(digest_size=8)
    for item in sorted(items, key=lambda item: item.key):
        seal.update(f"{item.key}|{item.version}|{item.dropped}|{len(item.value)}|".encode() + item.value)
    return int.from_bytes(seal.digest(), "big") or 1


@dataclass(slots=True)
class PendingRead:
    number: int
    deadline: float
    attempts: int = 0
    retry_at: float = 0.0  # when it is asked again
    round: int = 0
    replies: dict[str, list[Item]] = field(default_factory=dict)
    quorum: Quorum = field(default_factory=Quorum)


class OperatorRequests:
    """The part of the interlocking that asks."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._changes: dict[int, PendingChange] = {}
        self._change_requests: dict[int, PendingChange] = {}
        self._reads: dict[int, PendingRead] = {}
        self._rounds: dict[int, PendingRead] = {}
        # Late words to an earlier process at our address must not be taken for answers to us.
        self._last_number = machine.rng.getrandbits(48)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def tick(self) -> None:
        now = self._machine.step.now
        for change in list(self._changes.values()):
            if now >= change.deadline:
                self._finish(change, ResultCode.BUSY)
                continue
            due, change.retries = (
                [s for at, s in change.retries if at <= now],
                [(at, s) for at, s in change.retries if at > now],
            )
            for section in due:
                self._send_request(change, section)
        for reading in list(self._reads.values()):
            if now >= reading.deadline:
                self._finish_read(reading, ResultCode.BUSY)
            elif reading.retry_at and now >= reading.retry_at:
                self._query_voters(reading)

    # ------------------------------------------------------------ changes

    def change(self, number: int, items: list[Item]) -> None:
        identity = call_id(items) if len(items) > 1 else 0  # one that has no parts is refused or not
        parts: dict[int, list[Item]] = {}
        for item in items:
            item.call = identity
            parts.setdefault(self._machine.section_of(item.key), []).append(item)
        several = len(parts) > 1
        change = PendingChange(
            number, parts, self._machine.step.now + CHANGE_TIMEOUT_S, Phase.RESERVE if several else Phase.MAKE
        )
        self._changes[number] = change
        if not parts:
            self._finish(change, ResultCode.DONE)
        elif several:
            self._reserve_all(change)
        else:
            self._apply_all(change)

    def _reserve_all(self, change: PendingChange) -> None:
        """From the first section on, also where a later owner has forgotten what was reserved with it."""
        change.phase = Phase.RESERVE
        self._forget_requests(change)
        change.to_reserve = sorted(change.parts)
        self._send_request(change, change.to_reserve[0])

    def _apply_all(self, change: PendingChange) -> None:
        change.phase = Phase.MAKE
        for section in change.parts:
            self._send_request(change, section)

    def _withdraw_all(self, change: PendingChange, conflicts: Iterable[Item]) -> None:
        change.phase = Phase.WITHDRAW
        change.conflicts = list(conflicts)
        self._forget_requests(change)
        for section in change.parts:
            self._send_request(change, section)

    def _send_request(self, change: PendingChange, section: int) -> None:
        machine = self._machine
        holder = machine.ownership.owner_or_candidate(section)
        if holder is None:
            change.retries.append((machine.step.now + RETRY_DELAY_S, section))
            return
        number = self._next_number()
        change.open_requests[number] = section
        self._change_requests[number] = change
        ask = wire.ChangeRequest(
            number=number,
            section=section,
            items=change.parts[section],
            only_check=change.phase
            is not Phase.MAKE,  # an earlier release takes nothing at a withdrawal, too
            reserved=change.phase is Phase.MAKE and len(change.parts) > 1,
            withdraw=change.phase is Phase.WITHDRAW,
        )
        machine.send(holder, Frame(ask=ask))

    def on_change_response(self, peer: str, told: wire.ChangeResponse) -> None:
        change = self._change_requests.pop(told.number, None)
        if change is None:
            return
        section = change.open_requests.pop(told.number)
        code = ResultCode(told.outcome)
        if change.phase is Phase.WITHDRAW:
            self._on_withdrawn(change, section, code)
        elif code is ResultCode.CONFLICT and len(change.parts) > 1:
            self._withdraw_all(change, told.items)
        elif code is ResultCode.CONFLICT:
            self._finish(change, code, told.items)
        elif code is ResultCode.PARTLY_TAKEN:
            self._finish(change, ResultCode.BUSY)
        elif code is ResultCode.BUSY and change.phase is Phase.MAKE and len(change.parts) > 1:
            change.phase = Phase.RESERVE  # its owner may be another, which has reserved nothing
            self._forget_requests(change)
            change.to_reserve = sorted(change.parts)
            change.retries.append((self._machine.step.now + RETRY_DELAY_S, change.to_reserve[0]))
        elif code is ResultCode.BUSY:
            change.retries.append((self._machine.step.now + RETRY_DELAY_S, section))
        elif change.phase is Phase.RESERVE:
            self._on_reserved(change, section)
        elif not change.open_requests and not change.retries:
            self._finish(change, ResultCode.DONE)

    def _on_reserved(self, change: PendingChange, section: int) -> None:
        change.to_reserve.remove(section)
        if change.to_reserve:
            self._send_request(change, change.to_reserve[0])
        else:
            self._apply_all(change)

    def _on_withdrawn(self, change: PendingChange, section: int, code: ResultCode) -> None:
        """Refused only when no owner has taken a part, and none will: what was taken is never refused."""
        if code is ResultCode.BUSY:
            change.retries.append((self._machine.step.now + RETRY_DELAY_S, section))
        elif code is ResultCode.PARTLY_TAKEN:
            self._finish(change, ResultCode.BUSY)
        elif not change.open_requests and not change.retries:
            self._finish(change, ResultCode.CONFLICT, change.conflicts)

    def _forget_requests(self, change: PendingChange) -> None:
        """Answers that are still out count no more."""
        for number in change.open_requests:
            self._change_requests.pop(number, None)
        change.open_requests.clear()
        change.retries.clear()

    def _finish(self, change: PendingChange, code: ResultCode, items: Iterable[Item] = ()) -> None:
        self._forget_requests(change)
        if self._changes.pop(change.number, None) is not None:
            self._machine.answer(change.number, code, items)

    # ------------------------------------------------------------ reads

    def read(self, number: int) -> None:
        reading = PendingRead(number, self._machine.step.now + READ_TIMEOUT_S)
        self._reads[number] = reading
        self._query_voters(reading)

    def _query_voters(self, reading: PendingRead) -> None:
        machine = self._machine
        self._rounds.pop(reading.round, None)
        reading.round, reading.replies, reading.quorum = self._next_number(), {}, Quorum()
        reading.retry_at = machine.step.now + (READ_RETRY_DELAY_S if not machine.has_majority() else 0.4)
        self._rounds[reading.round] = reading
        for voter in machine.voters():
            machine.send(voter, Frame(read=wire.ReadRequest(number=reading.round)))

    def on_read_response(self, peer: str, told: wire.ReadResponse) -> None:
        machine = self._machine
        reading = self._rounds.get(told.number)
        if reading is None or not told.ok or not machine.voter_table.slots:
            return
        reading.replies[peer] = list(told.items)
        reading.quorum.add(peer, told.mark)
        if not reading.quorum.reached(machine.voter_table.slots):
            return
        found = Book()
        for items in reading.replies.values():
            found.take(items)
        open_keys = [key for key, item in found.items.items() if not self._is_committed(item)]
        if not open_keys:
            self._finish_read(reading, ResultCode.DONE, found.items.values())
            return
        reading.attempts += 1
        reading.retry_at = machine.step.now + READ_RETRY_DELAY_S
        self._rounds.pop(reading.round, None)
        if reading.attempts == RECOVER_AFTER_READS:
            for section in {machine.section_of(key) for key in open_keys}:
                machine.ownership.reclaim(section)

    def _is_committed(self, item: Item) -> bool:
        stood = self._machine.committed.items.get(item.key)
        if stood is None or stood.version < item.version:
            return False
        return stood.version > item.version or (stood.value, stood.dropped) == (item.value, item.dropped)

    def _finish_read(self, reading: PendingRead, code: ResultCode, items: Iterable[Item] = ()) -> None:
        self._rounds.pop(reading.round, None)
        if self._reads.pop(reading.number, None) is not None:
            self._machine.answer(reading.number, code, items)
