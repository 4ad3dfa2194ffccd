"""Requests of operators to this process: changes, applied all or none, and reads from a majority."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, auto
from typing import TYPE_CHECKING

from leadrudder.consensus.accepted import AcceptedItems, epochs_by_section
from leadrudder.consensus.outputs import ResultCode
from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

CHANGE_TIMEOUT_S = 0.9  # operators wait one second
RETRY_DELAY_S = 0.1  # before an owner that was busy or unknown is asked again
READ_TIMEOUT_S = 0.9
READ_REQUERY_S = 0.4  # voters that have not answered a read are queried again
READ_RETRY_DELAY_S = 0.06  # while a change is in progress: it is either committed or discarded
RECOVER_AFTER_READS = 4  # reads, after which the section is reclaimed to finish an abandoned change


class Phase(IntEnum):
    """The phase of a call over several sections; one within a single section is applied at once."""

    RESERVE = auto()  # reserve its versions, section by section in ascending order
    APPLY = auto()  # all are reserved: the owners apply their parts
    WITHDRAW = auto()  # an owner refused its part: check whether any other part was applied


@dataclass(slots=True)
class PendingChange:
    """An operator's call.

    All calls reserve in the same order, so two calls that share several versions cannot deadlock.
    """

    number: int
    parts: dict[int, list[Item]]
    deadline: float
    phase: Phase
    late: bool = False  # its caller may have given up
    to_reserve: list[int] = field(default_factory=list)  # sections still to be reserved, in order
    open_requests: dict[int, int] = field(default_factory=dict)  # section of each open request, by number
    retries: list[tuple[float, int]] = field(default_factory=list)  # when to retry which sections
    conflicts: list[Item] = field(default_factory=list)  # committed items that conflict with a refused part


def call_id(items: Iterable[Item]) -> int:
    """A 64-bit id of a call, derived from its contents: the same for each attempt."""
    hasher = hashlib.blake2b(digest_size=8)
    for item in sorted(items, key=lambda item: item.key):
        hasher.update(f"{item.key}|{item.version}|{item.dropped}|{len(item.value)}|".encode() + item.value)
    return int.from_bytes(hasher.digest(), "big") or 1


@dataclass(slots=True)
class PendingRead:
    number: int
    deadline: float
    attempts: int = 0
    retry_at: float = 0.0  # when the voters are queried again
    round: int = 0
    replies: dict[str, wire.ReadResponse] = field(default_factory=dict)
    quorum: Quorum = field(default_factory=Quorum)


class OperatorRequests:
    """The component of the state machine that carries out operators' requests."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._changes: dict[int, PendingChange] = {}
        self._change_requests: dict[int, PendingChange] = {}
        self._reads: dict[int, PendingRead] = {}
        self._rounds: dict[int, PendingRead] = {}
        # Starts at random: late answers to an earlier process at this address must not match.
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
        for pending in list(self._reads.values()):
            if now >= pending.deadline:
                self._finish_read(pending, ResultCode.BUSY)
            elif pending.retry_at and now >= pending.retry_at:
                self._query_voters(pending)

    # ------------------------------------------------------------ changes

    def change(self, number: int, items: list[Item], *, late: bool = False) -> None:
        call = call_id(items) if len(items) > 1 else 0  # a single item cannot be applied in part
        parts: dict[int, list[Item]] = {}
        for item in items:
            item.call = call
            parts.setdefault(self._machine.section_of(item.key), []).append(item)
        multiple = len(parts) > 1
        change = PendingChange(
            number,
            parts,
            self._machine.step.now + CHANGE_TIMEOUT_S,
            Phase.RESERVE if multiple else Phase.APPLY,
            late,
        )
        self._changes[number] = change
        if not parts:
            self._finish(change, ResultCode.DONE)
        elif multiple:
            self._reserve_all(change)
        else:
            self._apply_all(change)

    def _reserve_all(self, change: PendingChange) -> None:
        """Reserve all sections from the first on; a new owner does not know earlier reservations."""
        change.phase = Phase.RESERVE
        self._forget_requests(change)
        change.to_reserve = sorted(change.parts)
        self._send_request(change, change.to_reserve[0])

    def _apply_all(self, change: PendingChange) -> None:
        change.phase = Phase.APPLY
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
        owner = machine.ownership.owner_or_candidate(section)
        if owner is None:
            change.retries.append((machine.step.now + RETRY_DELAY_S, section))
            return
        number = self._next_number()
        change.open_requests[number] = section
        self._change_requests[number] = change
        request = wire.ChangeRequest(
            number=number,
            section=section,
            items=change.parts[section],
            # Also set for a withdrawal, so that an earlier release does not apply it.
            only_check=change.phase is not Phase.APPLY,
            reserved=change.phase is Phase.APPLY and len(change.parts) > 1,
            withdraw=change.phase is Phase.WITHDRAW,
            late=change.late,
        )
        machine.send(owner, Frame(ask=request))

    def on_change_response(self, peer: str, response: wire.ChangeResponse) -> None:
        change = self._change_requests.pop(response.number, None)
        if change is None:
            return
        section = change.open_requests.pop(response.number)
        code = ResultCode(response.outcome)
        if change.phase is Phase.WITHDRAW:
            self._on_withdrawn(change, section, code)
        elif code is ResultCode.CONFLICT and len(change.parts) > 1:
            self._withdraw_all(change, response.items)
        elif code is ResultCode.CONFLICT:
            self._finish(change, code, response.items)
        elif code in (ResultCode.PARTLY_TAKEN, ResultCode.LATE):
            self._finish(change, ResultCode.BUSY)
        elif code is ResultCode.BUSY and change.phase is Phase.APPLY and len(change.parts) > 1:
            change.phase = Phase.RESERVE  # the owner may be a new one without the reservations
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
        """Refuse the call only if no owner has applied a part of it and none will."""
        if code is ResultCode.BUSY:
            change.retries.append((self._machine.step.now + RETRY_DELAY_S, section))
        elif code is ResultCode.PARTLY_TAKEN:
            self._finish(change, ResultCode.BUSY)
        elif not change.open_requests and not change.retries:
            self._finish(change, ResultCode.CONFLICT, change.conflicts)

    def _forget_requests(self, change: PendingChange) -> None:
        """Ignore outstanding answers."""
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
        pending = PendingRead(number, self._machine.step.now + READ_TIMEOUT_S)
        self._reads[number] = pending
        self._query_voters(pending)

    def _query_voters(self, pending: PendingRead) -> None:
        machine = self._machine
        self._rounds.pop(pending.round, None)
        pending.round, pending.replies, pending.quorum = self._next_number(), {}, Quorum()
        pending.retry_at = machine.step.now + (
            READ_RETRY_DELAY_S if not machine.has_majority() else READ_REQUERY_S
        )
        self._rounds[pending.round] = pending
        for voter in machine.voters():
            machine.send(voter, Frame(read=wire.ReadRequest(number=pending.round)))

    def on_read_response(self, peer: str, response: wire.ReadResponse) -> None:
        machine = self._machine
        pending = self._rounds.get(response.number)
        if pending is None or not response.ok or not machine.voter_table.slots:
            return
        pending.replies[peer] = response
        pending.quorum.add(peer, response.mark)
        if not pending.quorum.reached(machine.voter_table.slots):
            return
        newest = AcceptedItems(sections=machine.sections)
        for reply in pending.replies.values():
            newest.merge_voter(reply.items, epochs_by_section(reply.installed))
        uncommitted_keys = [key for key, item in newest.items.items() if not self._is_committed(item)]
        if not uncommitted_keys:
            self._finish_read(pending, ResultCode.DONE, newest.items.values())
            return
        pending.attempts += 1
        pending.retry_at = machine.step.now + READ_RETRY_DELAY_S
        self._rounds.pop(pending.round, None)
        if pending.attempts == RECOVER_AFTER_READS:
            for section in {machine.section_of(key) for key in uncommitted_keys}:
                machine.ownership.reclaim(section)

    def _is_committed(self, item: Item) -> bool:
        committed = self._machine.committed.items.get(item.key)
        if committed is None or committed.version < item.version:
            return False
        return committed.version > item.version or (committed.value, committed.dropped) == (
            item.value,
            item.dropped,
        )

    def _finish_read(self, pending: PendingRead, code: ResultCode, items: Iterable[Item] = ()) -> None:
        self._rounds.pop(pending.round, None)
        if self._reads.pop(pending.number, None) is not None:
            self._machine.answer(pending.number, code, items)
