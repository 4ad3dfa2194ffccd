"""Ownership of sections: claimed under a rising epoch, changed by replication to a majority, handed over."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.configuration.item_store import newer
from leadrudder.configuration.items import SEQUENTIAL_PREFIXES
from leadrudder.consensus.claim import Claim
from leadrudder.consensus.outputs import ResultCode
from leadrudder.consensus.quorum import Quorum
from leadrudder.consensus.reservations import Reservations
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

CLAIM_TIMEOUT_S = 0.8  # for a majority to promise and to store the items found
CLAIM_BACKOFF_S = 0.25  # after a failed claim, plus up to as much again at random
OWNER_LOST_S = 0.2  # an owner that is unreachable for less may come back
EXTRA_REPLICA_WAIT_S = 0.25  # wait for two other replicas once a majority has the items
REBALANCE_INTERVAL_S = 1.0  # between handovers of sections
INSTALL_AFTER_S = 1.0  # voters that missed a claim are sent the state; their status comes twice a second
INSTALL_INTERVAL_S = 2.0  # before the state of a section is sent to the same voter again
MAX_EARLIER_CALLS = 8  # superseded multi-item calls remembered for each key, 8 bytes each
RESEND_INTERVAL_S = 0.7  # unacknowledged items are sent again
MAX_WAITING_REQUESTS = 1000  # for each section that is being claimed


_NO_ITEMS: dict[int, Item] = {}


@dataclass(slots=True)
class OwnedSection:
    """A section that this node owns or is claiming."""

    epoch: int
    ready: bool = False
    deadline: float = 0.0  # when an unfinished claim is abandoned
    claim: Claim = field(default_factory=Claim)
    preparing: bool = True
    ready_at: float = 0.0
    installed_at: dict[str, float] = field(default_factory=dict)  # when the state was last sent to a voter
    waiting: list[tuple[str, wire.ChangeRequest]] = field(default_factory=list)


@dataclass(slots=True)
class Replication:
    """Items being replicated to a majority's disks."""

    section: int
    items: list[Item]
    started_at: float
    sent_at: float
    acks: Quorum = field(default_factory=Quorum)
    requesters: list[tuple[str, int]] = field(
        default_factory=list
    )  # peers to answer, with their request numbers
    from_claim: bool = False  # items found by a claim, rather than a change
    complete: bool = False  # the section's complete state, to be installed
    committed: bool = False


class SectionOwnership:
    """The component of the state machine that claims and owns sections."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self.sections: dict[int, OwnedSection] = {}
        # The latest known owner of each section: epoch, address ("": none).
        self.known_owners: dict[int, tuple[int, str]] = {}
        self._replications: dict[int, Replication] = {}
        self._replicating_by_key: dict[str, dict[int, Item]] = {}  # their items, by key and number
        self._last_number = machine.rng.getrandbits(48)  # not a number of an earlier process at this address
        self._claim_after: dict[int, float] = {}  # when each section may be claimed again
        self._ownerless_since: dict[int, float] = {}  # sections without a reachable owner, since when
        self._announced: set[int] = set()  # sections whose owner has sent their committed items
        self._rebalanced_at = 0.0  # when this node last handed a section over
        self._reservations = Reservations()

    def knows_all_sections(self) -> bool:
        """Whether this node has all committed items: an owner is announced after the items it found."""
        return len(self._announced) == self._machine.sections

    def items_of(self, section: int) -> list[Item]:
        return self._machine.accepted.in_section(section)

    # ------------------------------------------------------------ owners

    def owner_or_candidate(self, section: int) -> str | None:
        """Where to send requests for a section: its owner or the next candidate; None without a majority."""
        machine = self._machine
        if not machine.has_majority():
            return None
        voters = machine.voters()
        known = self.known_owners.get(section)
        if known is not None and known[1] in voters:
            return known[1]
        return self.candidate(section, voters)

    def candidate(self, section: int, voters: list[str]) -> str:
        holders = self._machine.voter_table.holders()
        n = len(holders)
        order = [holders[(section + i) % n] for i in range(n)]
        return next(holder for holder in order if holder in voters)

    def tick(self) -> None:
        machine, now = self._machine, self._machine.step.now
        voters = machine.voters() if machine.has_majority() else []
        for section in range(machine.sections):
            state = self.sections.get(section)
            if state is not None:
                if not state.ready and now >= state.deadline:
                    self._release(section)
                continue
            known = self.known_owners.get(section)
            if not voters or (known is not None and known[1] in voters and known[1] != machine.address):
                self._ownerless_since.pop(section, None)
                continue
            since = self._ownerless_since.setdefault(section, now)
            if (
                machine.voter_table.full
                and not machine.resigned
                and self.candidate(section, voters) == machine.address
                and now - since >= (OWNER_LOST_S if known is not None else 0.0)
            ):
                self.claim(section)
        for number, replication in list(self._replications.items()):
            if not replication.committed and now - replication.sent_at >= RESEND_INTERVAL_S:
                replication.sent_at = now
                self._send_replication(number, replication, [v for v in voters if v not in replication.acks])
            self._finish_if_committed(number, replication)
        self._reservations.expire(now)
        self._install_at_voters(voters)
        self._rebalance(voters)

    def _rebalance(self, voters: list[str]) -> None:
        """Hand a section to the voter that owns fewest, if this node owns most and at least two more.

        Only where an operator has set the number of voters, and only while every voter is reachable and
        every section has an owner.
        """
        machine, now = self._machine, self._machine.step.now
        if not machine.desired_voters or now - self._rebalanced_at < REBALANCE_INTERVAL_S or machine.resigned:
            return
        counts = dict.fromkeys(machine.voter_table.holders(), 0)
        for section in range(machine.sections):
            holder = self.known_owners.get(section, (0, ""))[1]
            if holder not in counts:
                return
            counts[holder] += 1
        if len(voters) < len(counts):
            return
        most, least = max(counts, key=counts.__getitem__), min(counts, key=counts.__getitem__)
        owned = self.owned_sections()
        if most != machine.address or counts[most] - counts[least] < 2 or not owned:
            return
        self._rebalanced_at = now
        section = max(owned)
        machine.log(f"hands section {section} over to {least}")
        machine.send(least, Frame(hand=wire.SectionHandover(section=section, epoch=owned[section])))

    def on_handover(self, peer: str, handover: wire.SectionHandover) -> None:
        """A peer hands a section over: claim it as any other, under a higher epoch."""
        if self.known_owners.get(handover.section, (0, ""))[1] == peer and self._machine.is_voter(peer):
            self._note_epoch(handover.section, handover.epoch)
            self.claim(handover.section)

    def _install_at_voters(self, voters: list[str]) -> None:
        """Send the complete state of owned sections to voters that were away when they were claimed."""
        machine, now = self._machine, self._machine.step.now
        for section, state in self.sections.items():
            if not state.ready or now - state.ready_at < INSTALL_AFTER_S:
                continue
            # A claim that was answered by an earlier release installs nothing.
            if machine.accepted.installed.get(section, 0) < state.epoch:
                continue
            for voter in voters:
                if voter == machine.address or machine.peers[voter].installed.get(section, 0) >= state.epoch:
                    continue
                if now - state.installed_at.get(voter, -INSTALL_INTERVAL_S) >= INSTALL_INTERVAL_S:
                    state.installed_at[voter] = now
                    self._send_state(voter, section, state.epoch)

    def _send_state(self, voter: str, section: int, epoch: int) -> None:
        message = wire.Replicate(section=section, epoch=epoch, items=self.items_of(section), complete=True)
        self._machine.send(voter, Frame(copy=message))

    def claim(self, section: int) -> None:
        """Phase one: get a higher epoch promised by a majority, which sends the items it has accepted."""
        machine, now = self._machine, self._machine.step.now
        if section in self.sections or now < self._claim_after.get(section, 0.0):
            return
        slot = machine.voter_table.own_slot()
        if slot is None or not machine.voter_table.full or machine.resigned:
            return
        highest = max(machine.promised.get(section, 0), self.known_owners.get(section, (0, ""))[0])
        epoch = ((highest >> 8) + 1) << 8 | slot
        self.sections[section] = OwnedSection(epoch, deadline=now + CLAIM_TIMEOUT_S)
        for voter in machine.voters():
            machine.send(voter, Frame(prepare=wire.Prepare(section=section, epoch=epoch)))

    def on_promise(self, peer: str, promise: wire.Promise) -> None:
        machine = self._machine
        state = self.sections.get(promise.section)
        if state is None or state.epoch != promise.epoch or not state.preparing:
            return
        if not promise.ok:
            if promise.promised > state.epoch:
                self._note_epoch(promise.section, promise.promised)
                self._release(promise.section)
            return
        state.claim.add(peer, promise)
        if not state.claim.promises.reached(machine.voter_table.slots):
            return
        state.preparing = False
        items = state.claim.found_items(machine.sections, state.epoch)
        complete = state.claim.may_discard()
        state.claim = Claim()
        self._replicate(promise.section, items, claim=True, complete=complete)

    def _note_epoch(self, section: int, epoch: int) -> None:
        """Record an epoch promised by others: the next claim must use a higher one."""
        known = self.known_owners.get(section)
        if known is None or epoch > known[0]:
            self.known_owners[section] = (epoch, "")

    def _become_owner(self, section: int) -> None:
        machine, state = self._machine, self.sections[section]
        state.ready = True
        state.ready_at = machine.step.now
        self._announced.add(section)
        self._ownerless_since.pop(section, None)
        self.known_owners[section] = (state.epoch, machine.address)
        machine.log(f"owns section {section}, epoch {state.epoch}")
        for peer in machine.connected():
            self.announce(peer, section)
        waiting, state.waiting = state.waiting, []
        for peer, request in waiting:
            self.on_change_request(peer, request)

    def announce(self, peer: str, section: int | None = None) -> None:
        """Tell a peer which sections, or which one, this node owns."""
        machine = self._machine
        for at, state in self.sections.items():
            if state.ready and section in (None, at):
                owner = wire.OwnerAnnouncement(section=at, epoch=state.epoch, holder=machine.address)
                machine.send(peer, Frame(owner=owner))

    def on_announcement(self, peer: str, owner: wire.OwnerAnnouncement) -> None:
        known = self.known_owners.get(owner.section)
        if known is None or owner.epoch >= known[0]:
            self.known_owners[owner.section] = (owner.epoch, owner.holder)
            self._announced.add(owner.section)
            self.on_higher_epoch(owner.section, owner.epoch)

    def owned_sections(self) -> dict[int, int]:
        """The sections that this node owns, with their epochs."""
        return {section: state.epoch for section, state in self.sections.items() if state.ready}

    def on_owned_sections(self, peer: str, owned: dict[int, int]) -> None:
        """The complete list of a peer's sections; any other recorded for it is of an earlier process."""
        for section, (epoch, holder) in self.known_owners.items():
            if holder == peer and section not in owned:
                self.known_owners[section] = (epoch, "")
        for section, epoch in owned.items():
            if epoch >= self.known_owners.get(section, (0, ""))[0]:
                self.known_owners[section] = (epoch, peer)
                self.on_higher_epoch(section, epoch)

    def on_peer_connected(self, peer: str) -> None:
        """A peer has sent its status: send it the replications in progress, too."""
        machine = self._machine
        if peer in machine.voters():
            for number, replication in self._replications.items():
                if peer not in replication.acks:
                    self._send_replication(number, replication, [peer])

    def on_peer_restarted(self, peer: str) -> None:
        """A new process runs at a peer's address: it owns nothing, and its disk may be a new one."""
        for section, (epoch, holder) in self.known_owners.items():
            if holder == peer:
                self.known_owners[section] = (epoch, "")
        for state in self.sections.values():
            state.claim.drop(peer)
        for replication in self._replications.values():
            if not replication.committed:
                replication.acks.drop(peer)

    def on_higher_epoch(self, section: int, epoch: int) -> None:
        """A higher epoch was promised: give the section up."""
        state = self.sections.get(section)
        if state is not None and epoch > state.epoch:
            self._note_epoch(section, epoch)
            self._release(section)

    def _release(self, section: int) -> None:
        machine = self._machine
        state = self.sections.pop(section)
        self._claim_after[section] = machine.step.now + CLAIM_BACKOFF_S * (1.0 + machine.rng.random())
        for peer, request in state.waiting:
            self._respond(peer, request.number, ResultCode.BUSY)
        for number, replication in list(self._replications.items()):
            if replication.section == section:
                self._remove_replication(number)
                for peer, asked in replication.requesters:
                    self._respond(peer, asked, ResultCode.BUSY)
        if state.ready:
            machine.log(f"no longer owns section {section}, epoch {state.epoch}")

    def release_all(self) -> None:
        for section in list(self.sections):
            self._release(section)

    def reclaim(self, section: int) -> None:
        """Claim a section whoever owns it, to commit or discard what an earlier owner left unfinished."""
        if section in self.sections and self.sections[section].ready:
            self._release(section)
            self._claim_after.pop(section, None)
        self.claim(section)

    def resign(self) -> None:
        """Release all sections; the next candidate claims them as soon as it hears of it."""
        for section in list(self.sections):
            self.known_owners.pop(section, None)
            self._release(section)

    # ------------------------------------------------------------ changes

    def on_change_request(self, peer: str, request: wire.ChangeRequest) -> None:
        state = self.sections.get(request.section)
        if state is None:
            self.claim(request.section)
            state = self.sections.get(request.section)
        if state is None:
            self._respond(peer, request.number, ResultCode.BUSY)
            return
        if not state.ready:
            if len(state.waiting) < MAX_WAITING_REQUESTS:
                state.waiting.append((peer, request))
            else:
                self._respond(peer, request.number, ResultCode.BUSY)
            return
        if request.withdraw:
            self._withdraw(peer, request)
            return
        code, new, pending = self._evaluate(request)
        if code is not ResultCode.DONE or request.only_check:
            if code is ResultCode.DONE:
                self._reservations.reserve(new, self._machine.step.now)
                code = ResultCode.RESERVED
            self._respond(peer, request.number, code, self._current(request.items))
            return
        if request.reserved and not all(self._reservations.is_reserved(item) for item in new):
            self._respond(peer, request.number, ResultCode.BUSY)
            return
        for item in new:
            self._reservations.release(item)
        # Includes items taken before: under an earlier owner's epoch another item could still replace them.
        for item in new + pending:
            item.epoch = state.epoch
        if not new and not pending:
            self._respond(peer, request.number, ResultCode.DONE)
            return
        # Items taken before but not committed yet are replicated along: all or none are acknowledged.
        self._replicate(request.section, new + pending, asked=(peer, request.number))

    def _withdraw(self, peer: str, request: wire.ChangeRequest) -> None:
        """Another section's owner refused its part of a call: accept no part of it from now on.

        Answers PARTLY_TAKEN if a part was accepted already, committed or not.
        """
        self._reservations.withdraw(request.items, self._machine.step.now)
        if any(self._is_taken(item) for item in request.items):
            self._respond(peer, request.number, ResultCode.PARTLY_TAKEN)
            return
        # A majority confirms that no later owner, of which this node has not heard, has accepted a part.
        self._replicate(request.section, [], asked=(peer, request.number))

    def _is_taken(self, item: Item) -> bool:
        """Whether the item's own call set the version's value, even if superseded since."""
        latest = self._latest(item.key)
        if latest is None or not item.call:
            return False
        return item.call == latest.call or item.call in latest.earlier_calls

    def _evaluate(self, request: wire.ChangeRequest) -> tuple[ResultCode, list[Item], list[Item]]:
        """Evaluate a request: its result, its new items, and those taken before but not committed yet."""
        machine = self._machine
        new: list[Item] = []
        pending: list[Item] = []
        for item in request.items:
            old = self._latest(item.key)
            if old is None or item.version > old.version:
                if self._reservations.is_reserved_for_another(item):
                    return ResultCode.BUSY, [], []
                new.append(self._successor_of(item, old))
                continue
            # Its version may have had another value, for which the call was refused.
            if request.late and item.call and item.version < old.version and not self._is_taken(item):
                return ResultCode.LATE, [], []
            # Refuse only on committed items: an item being replicated may still be discarded.
            committed = machine.committed.items.get(item.key)
            is_committed = committed is not None and committed.version >= old.version
            differs = (item.value, item.dropped) != (old.value, old.dropped)
            is_order = item.key.startswith(SEQUENTIAL_PREFIXES)
            # For an order, any later version conflicts: its counter has advanced.
            if (is_order and item.version < old.version) or (differs and item.version == old.version):
                if not is_committed:
                    return ResultCode.BUSY, [], []
                taken = any(self._is_taken(each) for each in request.items)
                return (ResultCode.PARTLY_TAKEN if taken else ResultCode.CONFLICT), [], []
            # An order is confirmed by a majority again: this node may have lost the section unnoticed.
            if is_order or not is_committed:
                copy = Item()
                copy.CopyFrom(old)
                pending.append(copy)
        return ResultCode.DONE, new, pending

    @staticmethod
    def _successor_of(item: Item, old: Item | None) -> Item:
        """The item to store: it lists the multi-item calls that it supersedes."""
        fresh = Item()
        fresh.CopyFrom(item)
        del fresh.earlier_calls[:]
        if old is not None:
            calls = [*old.earlier_calls, *([old.call] if old.call else [])]
            fresh.earlier_calls.extend(calls[-MAX_EARLIER_CALLS:])
        return fresh

    def _latest(self, key: str) -> Item | None:
        """The newest item known to this owner, including those being replicated."""
        latest = self._machine.accepted.items.get(key)
        for item in self._replicating_by_key.get(key, _NO_ITEMS).values():
            if newer(item, latest):
                latest = item
        return latest

    def _current(self, asked: Iterable[Item]) -> list[Item]:
        return [latest for item in asked if (latest := self._latest(item.key)) is not None]

    def _replicate(
        self,
        section: int,
        items: list[Item],
        *,
        asked: tuple[str, int] | None = None,
        claim: bool = False,
        complete: bool = False,
    ) -> None:
        machine = self._machine
        self._last_number += 1
        now = machine.step.now
        replication = Replication(section, items, now, now, from_claim=claim, complete=complete)
        if asked is not None:
            replication.requesters.append(asked)
        self._replications[self._last_number] = replication
        for item in items:
            self._replicating_by_key.setdefault(item.key, {})[self._last_number] = item
        self._send_replication(self._last_number, replication, machine.voters())

    def _remove_replication(self, number: int) -> Replication | None:
        """Forget a replication; None if it is unknown."""
        replication = self._replications.pop(number, None)
        if replication is None:
            return None
        for item in replication.items:
            of_key = self._replicating_by_key.get(item.key, {})
            of_key.pop(number, None)
            if not of_key:
                self._replicating_by_key.pop(item.key, None)
        return replication

    def _send_replication(self, number: int, replication: Replication, to: Iterable[str]) -> None:
        epoch = self.sections[replication.section].epoch
        message = wire.Replicate(
            number=number,
            section=replication.section,
            epoch=epoch,
            items=replication.items,
            complete=replication.complete,
        )
        for voter in to:
            self._machine.send(voter, Frame(copy=message))

    def on_replicate_ack(self, peer: str, ack: wire.ReplicateAck) -> None:
        replication = self._replications.get(ack.number)
        if replication is None:
            return
        if not ack.ok:
            if ack.promised > self.sections[replication.section].epoch:
                self._note_epoch(replication.section, ack.promised)
                self._release(replication.section)
            return
        replication.acks.add(peer, ack.mark)
        self._finish_if_committed(ack.number, replication)

    def _finish_if_committed(self, number: int, replication: Replication) -> None:
        """Commit once a majority has the items; acknowledge with two others, or after a short wait."""
        machine = self._machine
        if not replication.acks.reached(machine.voter_table.slots):
            return
        if not replication.committed:
            replication.committed = True
            machine.mark_committed(replication.items)
            if replication.from_claim:
                self._become_owner(replication.section)
        others = len(replication.acks.members() - {machine.address})
        reachable = len([v for v in machine.voters() if v != machine.address])
        waited_enough = machine.step.now - replication.started_at >= EXTRA_REPLICA_WAIT_S
        if others < min(2, reachable) and not waited_enough:
            return
        if self._remove_replication(number) is not None:
            for peer, asked in replication.requesters:
                self._respond(peer, asked, ResultCode.DONE)

    def _respond(self, peer: str, number: int, code: ResultCode, items: Iterable[Item] = ()) -> None:
        self._machine.send(
            peer, Frame(told=wire.ChangeResponse(number=number, outcome=int(code), items=items))
        )
