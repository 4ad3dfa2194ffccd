"""Owning sections: claimed under a rising epoch, changed with a copy at a majority, handed over."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.configuration.item_store import newer
from leadrudder.configuration.items import ORDERS
from leadrudder.consensus.outputs import ResultCode
from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

CLAIM_TIMEOUT_S = 0.8  # for a majority to promise, and to have the copies of what was found
CLAIM_BACKOFF_S = 0.25  # pause after a claim that failed, and up to as much again
OWNER_LOST_S = 0.2  # an owner that was lost for less may come back
EXTRA_REPLICA_WAIT_S = 0.25  # to wait for a second copy elsewhere once a majority has it
RESERVATION_S = 1.0  # a version that was checked is kept for its call so long
WITHDRAWAL_S = 3.0  # late asks of a call that was withdrawn are turned away for so long
REBALANCE_INTERVAL_S = 1.0  # between sections that are handed over
RECOVERY_INTERVAL_S = 0.2  # how often it is looked for what was left half done
MAX_EARLIER_CALLS = 8  # overtaken calls of several items that a key remembers: 8 bytes each
RESEND_INTERVAL_S = 0.7  # a copy that was not answered is sent again


_NO_ITEMS: dict[int, Item] = {}


@dataclass(slots=True)
class OwnedSection:
    """A section that we own, or try to."""

    epoch: int
    ready: bool = False
    deadline: float = 0.0  # when a claim that is not ready is given up
    promises: Quorum = field(default_factory=Quorum)
    preparing: bool = True
    waiting: list[tuple[str, wire.ChangeRequest]] = field(default_factory=list)


@dataclass(slots=True)
class Replication:
    """Items on their way to a majority's disks."""

    section: int
    items: list[Item]
    started_at: float
    sent_at: float
    acks: Quorum = field(default_factory=Quorum)
    requesters: list[tuple[str, int]] = field(default_factory=list)  # who waits for it, by number
    from_claim: bool = False  # what a claim found, rather than a change
    committed: bool = False


class SectionOwnership:
    """The part of the interlocking that owns."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self.sections: dict[int, OwnedSection] = {}
        self.known_owners: dict[
            int, tuple[int, str]
        ] = {}  # the latest owner told of each section: epoch, holder
        self._replications: dict[int, Replication] = {}
        self._replicating_by_key: dict[str, dict[int, Item]] = {}  # the items of these, by key and number
        self._last_number = machine.rng.getrandbits(48)  # not those of an earlier process at our address
        self._claim_after: dict[int, float] = {}  # when a section may be claimed again
        self._ownerless_since: dict[int, float] = {}  # since when a section has no owner that can be reached
        self._announced: set[int] = set()  # sections whose owner has told us what stands, since we started
        self._recovered_at = 0.0  # when it was last looked for what was left half done
        self._rebalanced_at = 0.0  # when we last handed a section over
        # Versions checked for a call over several sections: by key and version, its id, and until when.
        self._reserved: dict[tuple[str, int], tuple[int, float]] = {}
        self._withdrawn: dict[int, float] = {}  # calls refused elsewhere, by id, and until when that is kept

    def knows_all_sections(self) -> bool:
        """Whether all that stands has been told to this process: an owner says so after what it found."""
        return len(self._announced) == self._machine.sections

    def items_of(self, section: int) -> list[Item]:
        machine = self._machine
        return [machine.accepted.items[key] for key in machine.keys_by_section.get(section, ())]

    # ------------------------------------------------------------ who owns

    def owner_or_candidate(self, section: int) -> str | None:
        """Whom to ask for a section: its owner, else who is next to own it; None without a majority."""
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
        for number, copying in list(self._replications.items()):
            if not copying.committed and now - copying.sent_at >= RESEND_INTERVAL_S:
                copying.sent_at = now
                self._send_replication(number, copying, [v for v in voters if v not in copying.acks])
            self._finish_if_committed(number, copying)
        self._forget_reserved(now)
        self._replicate_uncommitted()
        self._rebalance(voters)

    def _rebalance(self, voters: list[str]) -> None:
        """Sections go where seats were added: who has most, two more than another, hands one over.

        Only where the operator has said how many seats there are to be, and in calm: everybody who has a
        seat is there, and every section has an owner.
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
        rich, poor = max(counts, key=counts.__getitem__), min(counts, key=counts.__getitem__)
        mine = self.owned_sections()
        if rich != machine.address or counts[rich] - counts[poor] < 2 or not mine:
            return
        self._rebalanced_at = now
        section = max(mine)
        machine.log(f"hands section {section} over to {poor}")
        machine.send(poor, Frame(hand=wire.SectionHandover(section=section, epoch=mine[section])))

    def on_handover(self, peer: str, hand: wire.SectionHandover) -> None:
        """A section for us: it is claimed as any other, under a higher epoch."""
        if self.known_owners.get(hand.section, (0, ""))[1] == peer and self._machine.is_voter(peer):
            self._note_epoch(hand.section, hand.epoch)
            self.claim(hand.section)

    def _replicate_uncommitted(self) -> None:
        """What repair brought and does not stand is copied by its section's owner, under its own epoch.

        It was on its way when an earlier owner was lost; until it stands, reads wait for it.
        """
        machine, now = self._machine, self._machine.step.now
        if not machine.uncommitted or now < self._recovered_at + RECOVERY_INTERVAL_S:
            return
        self._recovered_at = now
        found: dict[int, list[Item]] = {}
        for key in machine.uncommitted:
            state = self.sections.get(machine.section_of(key))
            if state is None or not state.ready or key in self._replicating_by_key:
                continue
            again = Item()
            again.CopyFrom(machine.accepted.items[key])
            again.epoch = state.epoch
            found.setdefault(machine.section_of(key), []).append(again)
        for section, items in found.items():
            self._replicate(section, items)

    def claim(self, section: int) -> None:
        """Phase one: a higher epoch, promised by a majority that tells what it holds."""
        machine, now = self._machine, self._machine.step.now
        if section in self.sections or now < self._claim_after.get(section, 0.0):
            return
        mine = machine.voter_table.own_slot()
        if mine is None or not machine.voter_table.full or machine.resigned:
            return
        highest = max(machine.promised.get(section, 0), self.known_owners.get(section, (0, ""))[0])
        epoch = ((highest >> 8) + 1) << 8 | mine
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
        state.promises.add(peer, promise.mark)
        if records := machine.accept(promise.items):
            machine.write(records)
        if not state.promises.reached(machine.voter_table.slots):
            return
        state.preparing = False
        items = []
        for item in self.items_of(promise.section):
            again = Item()
            again.CopyFrom(item)
            again.epoch = state.epoch
            items.append(again)
        if items:
            self._replicate(promise.section, items, claim=True)
        else:
            self._become_owner(promise.section)

    def _note_epoch(self, section: int, epoch: int) -> None:
        """An epoch that others have promised: ours must be higher next time."""
        known = self.known_owners.get(section)
        if known is None or epoch > known[0]:
            self.known_owners[section] = (epoch, "")

    def _become_owner(self, section: int) -> None:
        machine, state = self._machine, self.sections[section]
        state.ready = True
        self._announced.add(section)
        self._ownerless_since.pop(section, None)
        self.known_owners[section] = (state.epoch, machine.address)
        machine.log(f"owns section {section}, epoch {state.epoch}")
        for peer in machine.connected():
            self.announce(peer, section)
        waiting, state.waiting = state.waiting, []
        for peer, ask in waiting:
            self.on_change_request(peer, ask)

    def announce(self, peer: str, section: int | None = None) -> None:
        """Say what we own."""
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
        """The sections that we own, with their epochs."""
        return {section: state.epoch for section, state in self.sections.items() if state.ready}

    def on_owned_sections(self, peer: str, owned: dict[int, int]) -> None:
        """All that a peer owns: what we have it down for besides is late news of an earlier process."""
        for section, (epoch, holder) in self.known_owners.items():
            if holder == peer and section not in owned:
                self.known_owners[section] = (epoch, "")
        for section, epoch in owned.items():
            if epoch >= self.known_owners.get(section, (0, ""))[0]:
                self.known_owners[section] = (epoch, peer)
                self.on_higher_epoch(section, epoch)

    def on_peer_connected(self, peer: str) -> None:
        """A peer has greeted: what is still being copied goes to it, too."""
        machine = self._machine
        if peer in machine.voters():
            for number, copying in self._replications.items():
                if peer not in copying.acks:
                    self._send_replication(number, copying, [peer])

    def on_peer_restarted(self, peer: str) -> None:
        """Another process is at a peer's address: it owns nothing, and its disk may be another."""
        for section, (epoch, holder) in self.known_owners.items():
            if holder == peer:
                self.known_owners[section] = (epoch, "")
        for state in self.sections.values():
            state.promises.drop(peer)
        for copying in self._replications.values():
            if not copying.committed:
                copying.acks.drop(peer)

    def on_higher_epoch(self, section: int, epoch: int) -> None:
        """Another epoch was promised: ours is over."""
        state = self.sections.get(section)
        if state is not None and epoch > state.epoch:
            self._note_epoch(section, epoch)
            self._release(section)

    def _release(self, section: int) -> None:
        machine = self._machine
        state = self.sections.pop(section)
        self._claim_after[section] = machine.step.now + CLAIM_BACKOFF_S * (1.0 + machine.rng.random())
        for peer, ask in state.waiting:
            self._respond(peer, ask.number, ResultCode.BUSY)
        for number, copying in list(self._replications.items()):
            if copying.section == section:
                self._remove_replication(number)
                for peer, asked in copying.requesters:
                    self._respond(peer, asked, ResultCode.BUSY)
        if state.ready:
            machine.log(f"owns section {section} no more, epoch {state.epoch}")

    def release_all(self) -> None:
        for section in list(self.sections):
            self._release(section)

    def reclaim(self, section: int) -> None:
        """Claim anew, whoever owns it: what was left half done then stands, or is seen not to."""
        if section in self.sections and self.sections[section].ready:
            self._release(section)
            self._claim_after.pop(section, None)
        self.claim(section)

    def resign(self) -> None:
        """Own nothing from now on; who is next claims as soon as it hears of it."""
        for section in list(self.sections):
            self.known_owners.pop(section, None)
            self._release(section)

    # ------------------------------------------------------------ changes

    def on_change_request(self, peer: str, ask: wire.ChangeRequest) -> None:
        state = self.sections.get(ask.section)
        if state is None:
            self.claim(ask.section)
            state = self.sections.get(ask.section)
        if state is None:
            self._respond(peer, ask.number, ResultCode.BUSY)
            return
        if not state.ready:
            if len(state.waiting) < 1000:
                state.waiting.append((peer, ask))
            else:
                self._respond(peer, ask.number, ResultCode.BUSY)
            return
        if ask.withdraw:
            self._withdraw(peer, ask)
            return
        code, new, waits = self._evaluate(ask)
        if code is not ResultCode.DONE or ask.only_check:
            if code is ResultCode.DONE:
                self._reserve(new)
                code = ResultCode.RESERVED
            self._respond(peer, ask.number, code, self._current(ask.items))
            return
        if ask.reserved and not all(self._is_reserved(item) for item in new):
            self._respond(peer, ask.number, ResultCode.BUSY)
            return
        for item in new:
            self._reserved.pop((item.key, item.version), None)
        # Also what was taken before: under an earlier owner's epoch it could yet give way to another's.
        for item in new + waits:
            item.epoch = state.epoch
        if not new and not waits:
            self._respond(peer, ask.number, ResultCode.DONE)
            return
        # What was taken before and does not stand yet is copied with it: all or none is acknowledged.
        self._replicate(ask.section, new + waits, asked=(peer, ask.number))

    def _reserve(self, items: Iterable[Item]) -> None:
        """A call that was withdrawn may be checked, so that it is refused again, but is never made."""
        until = self._machine.step.now + RESERVATION_S
        for item in items:
            if item.call not in self._withdrawn:
                self._reserved[item.key, item.version] = (item.call, until)

    def _is_reserved(self, item: Item) -> bool:
        """For the very call that the item is of."""
        return self._reserved.get((item.key, item.version), (0, 0.0))[0] == item.call

    def _forget_reserved(self, now: float) -> None:
        for key in [k for k, (_, until) in self._reserved.items() if now >= until]:
            del self._reserved[key]
        for call in [c for c, until in self._withdrawn.items() if now >= until]:
            del self._withdrawn[call]

    def _withdraw(self, peer: str, ask: wire.ChangeRequest) -> None:
        """Another section's owner has refused its part of a call: no part is taken here from now on.

        Answers PARTLY_TAKEN where one has been already, whether it stands yet or not.
        """
        now = self._machine.step.now
        for item in ask.items:
            self._withdrawn[item.call] = now + WITHDRAWAL_S
            if self._is_reserved(item):
                del self._reserved[item.key, item.version]
        taken = any(self._is_taken(item) for item in ask.items)
        self._respond(peer, ask.number, ResultCode.PARTLY_TAKEN if taken else ResultCode.DONE)

    def _is_taken(self, item: Item) -> bool:
        """Whether the very call that an item is of gave its version a value, be it overtaken since."""
        latest = self._latest(item.key)
        if latest is None or not item.call:
            return False
        return item.call == latest.call or item.call in latest.earlier_calls

    def _evaluate(self, ask: wire.ChangeRequest) -> tuple[ResultCode, list[Item], list[Item]]:
        """What an ask comes to: the items that are new, and those taken before that do not stand yet."""
        machine = self._machine
        new: list[Item] = []
        waits: list[Item] = []
        for item in ask.items:
            old = self._latest(item.key)
            if old is None or item.version > old.version:
                reserved_for = self._reserved.get((item.key, item.version), (item.call, 0.0))[0]
                if reserved_for != item.call:
                    return ResultCode.BUSY, [], []
                new.append(self._successor_of(item, old))
                continue
            # Only what stands may be told of: what is on its way may yet come to nothing.
            stood = machine.committed.items.get(item.key)
            stands = stood is not None and stood.version >= old.version
            other = (item.value, item.dropped) != (old.value, old.dropped)
            if other and (item.version == old.version or item.key.startswith(ORDERS)):
                # For an order: its count has moved on.
                if not stands:
                    return ResultCode.BUSY, [], []
                taken = any(self._is_taken(each) for each in ask.items)
                return (ResultCode.PARTLY_TAKEN if taken else ResultCode.CONFLICT), [], []
            if not stands:
                again = Item()
                again.CopyFrom(old)
                waits.append(again)
        return ResultCode.DONE, new, waits

    @staticmethod
    def _successor_of(item: Item, old: Item | None) -> Item:
        """The item as it is kept: it tells which calls of several items it has overtaken."""
        fresh = Item()
        fresh.CopyFrom(item)
        del fresh.earlier_calls[:]
        if old is not None:
            calls = [*old.earlier_calls, *([old.call] if old.call else [])]
            fresh.earlier_calls.extend(calls[-MAX_EARLIER_CALLS:])
        return fresh

    def _latest(self, key: str) -> Item | None:
        """The highest that this owner knows, what is on its way to the disks included."""
        latest = self._machine.accepted.items.get(key)
        for item in self._replicating_by_key.get(key, _NO_ITEMS).values():
            if newer(item, latest):
                latest = item
        return latest

    def _current(self, asked: Iterable[Item]) -> list[Item]:
        return [latest for item in asked if (latest := self._latest(item.key)) is not None]

    def _replicate(
        self, section: int, items: list[Item], *, asked: tuple[str, int] | None = None, claim: bool = False
    ) -> None:
        machine = self._machine
        self._last_number += 1
        now = machine.step.now
        copying = Replication(section, items, now, now, from_claim=claim)
        if asked is not None:
            copying.requesters.append(asked)
        self._replications[self._last_number] = copying
        for item in items:
            self._replicating_by_key.setdefault(item.key, {})[self._last_number] = item
        self._send_replication(self._last_number, copying, machine.voters())

    def _remove_replication(self, number: int) -> Replication | None:
        """Take a copy off the list; None if it has been taken off before."""
        copying = self._replications.pop(number, None)
        if copying is None:
            return None
        for item in copying.items:
            of_key = self._replicating_by_key.get(item.key, {})
            of_key.pop(number, None)
            if not of_key:
                self._replicating_by_key.pop(item.key, None)
        return copying

    def _send_replication(self, number: int, copying: Replication, to: Iterable[str]) -> None:
        epoch = self.sections[copying.section].epoch
        copy = wire.Replicate(number=number, section=copying.section, epoch=epoch, items=copying.items)
        for voter in to:
            self._machine.send(voter, Frame(copy=copy))

    def on_replicate_ack(self, peer: str, copied: wire.ReplicateAck) -> None:
        copying = self._replications.get(copied.number)
        if copying is None:
            return
        if not copied.ok:
            if copied.promised > self.sections[copying.section].epoch:
                self._note_epoch(copying.section, copied.promised)
                self._release(copying.section)
            return
        copying.acks.add(peer, copied.mark)
        self._finish_if_committed(copied.number, copying)

    def _finish_if_committed(self, number: int, copying: Replication) -> None:
        """It stands once a majority has it; it is acknowledged then, or a moment later with two others."""
        machine = self._machine
        if not copying.acks.reached(machine.voter_table.slots):
            return
        if not copying.committed:
            copying.committed = True
            machine.mark_committed(copying.items)
            if copying.from_claim:
                self._become_owner(copying.section)
        others = len(copying.acks.members() - {machine.address})
        reachable = len([v for v in machine.voters() if v != machine.address])
        late = machine.step.now - copying.started_at >= EXTRA_REPLICA_WAIT_S
        if others < min(2, reachable) and not late:
            return
        if self._remove_replication(number) is not None:
            for peer, asked in copying.requesters:
                self._respond(peer, asked, ResultCode.DONE)

    def _respond(self, peer: str, number: int, code: ResultCode, items: Iterable[Item] = ()) -> None:
        self._machine.send(
            peer, Frame(told=wire.ChangeResponse(number=number, outcome=int(code), items=items))
        )
