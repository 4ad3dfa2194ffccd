"""Reconfiguration of the voters: bootstrap, taking over or adding a voter slot, and removing one.

The first seed creates the voter slots once. A node without a slot requests one whose holder is lost, or a
new one if the operator wants more voters; it holds the slot once so many voters have sent it their state that
every majority contains one of them. If fewer voters are wanted, slots are removed one at a time: the remover
collects the state of as many voters and replicates it to a majority of the remaining ones, and only then is
the next change granted. Times are seconds.

Adding or removing one slot leaves any majority before and any majority after with a voter in common, and a
voter that knows of the change says so with each reply (`quorum.py`), so neither can decide without the other.
Removals started concurrently by two nodes that do not see each other are completed one after the other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.consensus.outputs import Send
from leadrudder.consensus.quorum import Quorum
from leadrudder.consensus.voters import HOLDER_LOST_S
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, VoterSlot

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

BOOTSTRAP_LATEST_S = 4.0  # after which the first seed bootstraps without the missing seeds
CLAIM_INTERVAL_S = 0.4
BOOTSTRAP_INCARNATION = 1  # of slots created at bootstrap; later ones start above it


@dataclass(slots=True)
class SlotRemoval:
    """A slot that this node removes: its state is gathered, then transferred to the remaining voters."""

    slot: VoterSlot
    grants: set[str] = field(default_factory=set)
    gathered: bool = False
    transferred: Quorum = field(default_factory=Quorum)
    asked_at: float = -1.0  # when requests were last sent


class Reconfiguration:
    """The component of the state machine that changes voter slots."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._claim: VoterSlot | None = None
        self._claimed_at = -1.0
        self._grants: set[str] = set()
        self._consenting: set[str] = set()  # voters that would grant the probed claim
        self._removal: SlotRemoval | None = None

    def tick(self) -> None:
        machine = self._machine
        if not machine.voter_table.slots:
            self._bootstrap()
        elif not machine.voter_table.full and not machine.resigned:
            self._request_slot()
        elif machine.voter_table.full:
            self._remove_slot()

    # ------------------------------------------------------------ voter table

    def merge_slots(self, slots: Iterable[VoterSlot], sender: str = "") -> None:
        """Merge a peer's slots; a slot of this node that has another holder now is lost.

        sender: a full holder, which overrides other claimants of its own slot; "" otherwise.
        """
        machine = self._machine
        own = machine.voter_table.own_slot()
        if not machine.voter_table.merge(slots, sender):
            return
        if machine.voter_table.own_slot() != own and own is not None:
            self._on_slot_lost(own)
        elif (
            machine.first_run
            and not machine.accepted.items
            and not machine.voter_table.full
            and self._is_bootstrap_voter()
        ):
            machine.voter_table.full = True  # a bootstrap voter; none of its replies can have counted yet
            machine.log("holds a bootstrap voter slot")
            self._send_status_to_all()
        self._write_voters()

    def _on_slot_lost(self, own: int) -> None:
        machine = self._machine
        machine.voter_table.full = False
        machine.ownership.release_all()
        holder = machine.voter_table.slots[own].holder
        machine.log(f"voter slot {own} was {'taken over by ' + holder if holder else 'removed'}")

    def _is_bootstrap_voter(self) -> bool:
        own = self._machine.voter_table.own_slot()
        table = self._machine.voter_table.slots
        return (
            own is not None and table[own].incarnation == BOOTSTRAP_INCARNATION and not self._machine.promised
        )

    def _send_status_to_all(self) -> None:
        for peer in self._machine.connected():
            self._machine.send_status(peer)

    def _write_voters(self) -> None:
        self._machine.write({self._machine.voter_table.RECORD: self._machine.voter_table.record()})

    # ------------------------------------------------------------ bootstrap

    def _bootstrap(self) -> None:
        """The first seed bootstraps, once: the voters are on its disk before they are sent to anybody."""
        machine = self._machine
        if not machine.first_run or not machine.seeds or machine.seeds[0] != machine.address:
            return
        available = {machine.address} | {p.address for p in machine.peers.values() if p.up and p.first_run}
        if (
            len(available) < machine.bootstrap_voters
            and machine.step.now - machine.started_at < BOOTSTRAP_LATEST_S
        ):
            return
        order = [a for a in machine.seeds if a in available] + sorted(available - set(machine.seeds))
        chosen = order[: machine.bootstrap_voters]
        if len(chosen) % 2 == 0 and len(chosen) > 2:
            chosen.pop()
        voter_table = machine.voter_table
        voter_table.slots = {
            i: VoterSlot(index=i, holder=a, incarnation=BOOTSTRAP_INCARNATION) for i, a in enumerate(chosen)
        }
        record = voter_table.record(full=True)  # this node votes once it is on disk
        bootstrap = Frame(founding=wire.BootstrapVoters(seats=voter_table.slots.values()))
        machine.log(f"bootstraps {len(chosen)} voter slots")
        machine.write(
            {voter_table.RECORD: record},
            [*(Send(p, bootstrap) for p in machine.connected()), self._slot_written()],
        )

    def on_bootstrap(self, bootstrap: wire.BootstrapVoters) -> None:
        if not self._machine.voter_table.slots and self._machine.first_run:
            self.merge_slots(bootstrap.seats)

    # ------------------------------------------------------------ taking or adding a slot

    def _request_slot(self) -> None:
        """Request a slot if this node has none, or has lost its records."""
        machine, voter_table = self._machine, self._machine.voter_table
        now = machine.step.now
        if now - self._claimed_at < CLAIM_INTERVAL_S:
            return
        self._claimed_at = now + 0.2 * machine.rng.random()
        index = self._choose_slot()
        if index is None:
            return
        others = [v for v in machine.voters() if v != machine.address]
        needed = voter_table.required_grants(index)
        if len(others) < needed:
            return
        known = voter_table.slots.get(index)
        last = known.incarnation if known is not None else BOOTSTRAP_INCARNATION
        if self._claim is None or self._claim.index != index or self._claim.incarnation <= last:
            self._claim = VoterSlot(index=index, holder=machine.address, incarnation=last + 1)
            self._grants, self._consenting = set(), set()
        # A grant ends the holder's vote for good, so first probe that enough voters see the holder as lost.
        is_own = known is not None and known.holder == machine.address
        probing = not is_own and len(self._consenting) < needed
        self._consenting.clear()
        for other in others:
            machine.send(other, Frame(claim=wire.SlotClaim(seat=self._claim, sounding=probing)))

    def _choose_slot(self) -> int | None:
        """This node's own slot, else one whose holder is lost, else a new one if more are wanted."""
        voter_table = self._machine.voter_table
        own = voter_table.own_slot()
        if own is not None:
            return own
        lost = [i for i, slot in voter_table.open_slots().items() if self._is_lost(slot.holder)]
        if lost:
            return self._machine.rng.choice(lost)
        return (
            voter_table.free_index() if len(voter_table.open_slots()) < self._machine.desired_voters else None
        )

    def _is_lost(self, holder: str) -> bool:
        peer = self._machine.peers.get(holder)
        return peer is None or not peer.up or peer.resigned or not peer.full

    def on_slot_claim(self, peer: str, claim: wire.SlotClaim) -> None:
        machine, voter_table = self._machine, self._machine.voter_table
        if claim.seat.closed:
            self._on_removal_claim(peer, claim)
            return
        if claim.seat.holder != peer:
            return
        now, started_at, desired = machine.step.now, machine.started_at, machine.desired_voters
        if claim.sounding:
            ok = voter_table.may_grant(claim.seat, machine.peers, now, started_at, desired)
            grant = wire.SlotGrant(seat=claim.seat, ok=ok, sounding=True, seats=voter_table.slots.values())
            machine.send(peer, Frame(grant=grant))
            return
        before = voter_table.record()
        ok = voter_table.grant(claim.seat, machine.peers, now, started_at, desired)
        known = machine.peers.get(peer)
        if ok and known is not None:
            known.full = False
        self._send_grant(peer, claim.seat, ok, before)

    def _send_grant(self, peer: str, slot: VoterSlot, ok: bool, before: bytes) -> None:
        """Answer a claim; a grant carries this node's state and is sent once the slot is on disk."""
        machine, voter_table = self._machine, self._machine.voter_table
        grant = wire.SlotGrant(seat=slot, ok=ok, seats=voter_table.slots.values())
        if ok:
            grant.promised.extend(wire.PromisedEpoch(section=s, epoch=e) for s, e in machine.promised.items())
            grant.items.extend(machine.accepted.items.values())
            grant.installed.extend(machine.accepted.installed_epochs())
        after = voter_table.record()
        machine.write(
            {voter_table.RECORD: after} if after != before else {}, [Send(peer, Frame(grant=grant))]
        )

    def on_slot_grant(self, peer: str, grant: wire.SlotGrant) -> None:
        if grant.seat.closed:
            self._on_removal_granted(peer, grant)
            return
        machine, voter_table, claim = self._machine, self._machine.voter_table, self._claim
        if voter_table.full or claim is None or not grant.ok or grant.seat != claim:
            if not grant.ok and not voter_table.full:
                self.merge_slots(grant.seats)
            return
        needed = voter_table.required_grants(claim.index)
        if grant.sounding:
            self._consenting.add(peer)
            if len(self._consenting) == needed:
                self._claimed_at = -CLAIM_INTERVAL_S  # request the grants now
            return
        self._grants.add(peer)
        records = self._merge_voter(grant)
        voter_table.merge(s for s in grant.seats if s.index != claim.index)
        if len(self._grants) < max(needed, voter_table.required_grants(claim.index)):
            machine.write(records)
            return
        voter_table.slots[claim.index] = claim
        self._claim = None
        # Everything must be on disk before this node votes: the status is sent after the write.
        records = machine.accepted.item_records() | machine.accepted.installed_records()
        records |= machine.promise_records()
        records[voter_table.RECORD] = voter_table.record(full=True)
        machine.log(f"takes voter slot {claim.index}, incarnation {claim.incarnation}")
        machine.write(records, [self._slot_written()])

    def _merge_voter(self, state: wire.SlotGrant | wire.SlotTransfer) -> dict[str, bytes]:
        """Merge a voter's state; returns the records of items and installed epochs that are new here."""
        machine = self._machine
        for promised in state.promised:
            if promised.epoch > machine.promised.get(promised.section, 0):
                machine.promised[promised.section] = promised.epoch
                machine.ownership.on_higher_epoch(promised.section, promised.epoch)
        records = machine.accept(state.items)
        for installed in state.installed:
            records |= machine.install(installed.section, installed.epoch)
        return records

    def _slot_written(self) -> Send:
        """A message to this node itself, sent once its slot and all items are on disk."""
        address = self._machine.address
        return Send(address, Frame(greeting=wire.PeerStatus(address=address, full=True)))

    def on_slot_written(self) -> None:
        """The records of the new slot are on disk: this node votes from now on."""
        machine = self._machine
        if machine.voter_table.own_slot() is not None and not machine.voter_table.full:
            machine.voter_table.full = True
            machine.voting_since = machine.step.now
            self._send_status_to_all()

    # ------------------------------------------------------------ removing a slot

    def _remove_slot(self) -> None:
        """The first voter removes slots, one at a time; an unfinished removal goes first."""
        machine, voter_table = self._machine, self._machine.voter_table
        voters, now = machine.voters(), machine.step.now
        closing = voter_table.closing_slot()
        too_many = bool(machine.desired_voters) and len(voter_table.open_slots()) > machine.desired_voters
        first = bool(voters) and voters[0] == machine.address and now - machine.voting_since >= HOLDER_LOST_S
        if not (closing is not None or too_many) or not first or machine.resigned:
            self._removal = None
            return
        removal = self._removal
        if removal is not None and now - removal.asked_at < CLAIM_INTERVAL_S:
            return
        if (
            removal is None
            or (closing is not None and removal.slot.index != closing)
            or voter_table.slots[removal.slot.index].incarnation > removal.slot.incarnation
        ):
            index = closing if closing is not None else voter_table.slot_to_remove(machine.peers)
            slot = VoterSlot(index=index, incarnation=voter_table.slots[index].incarnation + 1, closed=True)
            removal = self._removal = SlotRemoval(slot)
            machine.log(f"removes voter slot {index}")
        removal.asked_at = now
        if removal.gathered:
            self._transfer(removal)
            return
        for voter in voters:
            machine.send(voter, Frame(claim=wire.SlotClaim(seat=removal.slot, resumed=closing is not None)))

    def _on_removal_claim(self, peer: str, claim: wire.SlotClaim) -> None:
        """A voter, possibly this node, removes a slot, possibly this node's."""
        machine, voter_table, slot = self._machine, self._machine.voter_table, claim.seat
        before, own = voter_table.record(), voter_table.own_slot()
        ok = machine.is_voter(peer) and voter_table.may_remove(
            slot, machine.desired_voters, resumed=claim.resumed
        )
        if ok and slot.incarnation > voter_table.slots[slot.index].incarnation:
            voter_table.slots[slot.index] = slot
        self._send_grant(peer, slot, ok, before)
        if voter_table.own_slot() != own and own is not None:
            self._on_slot_lost(own)
            self._write_voters()

    def _on_removal_granted(self, peer: str, grant: wire.SlotGrant) -> None:
        machine, voter_table, removal = self._machine, self._machine.voter_table, self._removal
        if not grant.ok:
            self.merge_slots(grant.seats)
            if removal is not None and grant.seat == removal.slot:
                self._raise_incarnation(removal, grant.seats)
            return
        if removal is None or grant.seat != removal.slot or removal.gathered or not voter_table.full:
            return
        needed = voter_table.required_grants(removal.slot.index)
        records = self._merge_voter(grant) | machine.promise_records()
        voter_table.merge(grant.seats)
        removal.grants.add(peer)
        removal.gathered = len(removal.grants) >= max(needed, voter_table.required_grants(removal.slot.index))
        machine.write(records)
        if removal.gathered:
            self._transfer(removal)

    def _raise_incarnation(self, removal: SlotRemoval, slots: Iterable[VoterSlot]) -> None:
        """A voter knows a competing claim of the same incarnation: retry the removal under a higher one."""
        slot = removal.slot
        theirs = next((s for s in slots if s.index == slot.index), None)
        if theirs is not None and theirs.incarnation >= slot.incarnation and not theirs.closed:
            higher = VoterSlot(index=slot.index, incarnation=theirs.incarnation + 1, closed=True)
            self._removal = SlotRemoval(higher, asked_at=removal.asked_at)

    def _transfer(self, removal: SlotRemoval) -> None:
        """Replicate the gathered state to the remaining voters."""
        machine = self._machine
        transfer = wire.SlotTransfer(seat=removal.slot, items=machine.accepted.items.values())
        transfer.promised.extend(wire.PromisedEpoch(section=s, epoch=e) for s, e in machine.promised.items())
        transfer.installed.extend(machine.accepted.installed_epochs())
        for voter in machine.voters():
            if voter not in removal.transferred:
                machine.send(voter, Frame(fill=transfer))

    def on_slot_transfer(self, peer: str, transfer: wire.SlotTransfer) -> None:
        machine = self._machine
        if not machine.voter_table.full or not machine.is_voter(peer):
            return
        self.merge_slots([transfer.seat])
        if not machine.voter_table.full:
            return  # the removed slot was this node's
        records = self._merge_voter(transfer) | machine.promise_records()
        ack = wire.SlotTransferAck(seat=transfer.seat, mark=machine.voter_view())
        machine.write(records, [Send(peer, Frame(filled=ack))])

    def on_slot_transfer_ack(self, peer: str, ack: wire.SlotTransferAck) -> None:
        machine, voter_table, removal = self._machine, self._machine.voter_table, self._removal
        if removal is None or not removal.gathered or ack.seat != removal.slot:
            return
        removal.transferred.add(peer, ack.mark)
        if not removal.transferred.reached(voter_table.slots):
            return
        self._removal = None
        removed = VoterSlot()
        removed.CopyFrom(removal.slot)
        removed.incarnation, removed.settled = removal.slot.incarnation + 1, True
        machine.log(f"voter slot {removed.index} is removed")
        self.merge_slots([removed])
        self._send_status_to_all()
