"""How this signalbox comes by a seat, grants one to others, and closes one.

Seats are founded once, by the first seed. Who has none asks for one whose holder is lost, or for a new one
where the operator wants more of them: it holds it when so many others have given it what they have that
every majority has one of them. Where fewer are wanted, one seat at a time is closed: its closer gathers
from as many what the seat may have counted for, has the majority of those that are left hold it, and only
then is the next change granted. Times are seconds.

Adding or closing one seat leaves any majority before it and any after it with one in common, and who knows
of the change says so with each reply (`quorum.py`); so none of the two decides behind the other's back.
Closings that begin at once, by two that do not see each other, are settled one after the other.
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

BOOTSTRAP_LATEST_S = 4.0  # the first seed founds with those that are there, if some do not come
CLAIM_INTERVAL_S = 0.4
BOOTSTRAP_INCARNATION = 1  # the incarnation of founding seats; those added later begin above it


@dataclass(slots=True)
class SlotRemoval:
    """A seat that we close: first all is gathered, then those that are left hold it."""

    slot: VoterSlot
    grants: set[str] = field(default_factory=set)
    gathered: bool = False
    transferred: Quorum = field(default_factory=Quorum)
    asked_at: float = -1.0  # when it was last asked


class Reconfiguration:
    """The part of the interlocking that deals in seats."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._claim: VoterSlot | None = None
        self._claimed_at = -1.0
        self._grants: set[str] = set()
        self._consenting: set[str] = set()  # would grant the claim that we sound out
        self._removal: SlotRemoval | None = None

    def tick(self) -> None:
        machine = self._machine
        if not machine.voter_table.slots:
            self._bootstrap()
        elif not machine.voter_table.full and not machine.resigned:
            self._request_slot()
        elif machine.voter_table.full:
            self._remove_slot()

    # ------------------------------------------------------------ what others know

    def merge_slots(self, told: Iterable[VoterSlot], teller: str = "") -> None:
        """The table of another; a seat of ours that has another holder now is ours no more.

        teller: a full holder, whose word of its own seat counts over another claimant's.
        """
        machine = self._machine
        mine = machine.voter_table.own_slot()
        if not machine.voter_table.merge(told, teller):
            return
        if machine.voter_table.own_slot() != mine and mine is not None:
            self._on_slot_lost(mine)
        elif (
            machine.first_run
            and not machine.accepted.items
            and not machine.voter_table.full
            and self._is_bootstrap_voter()
        ):
            machine.voter_table.full = True  # founded with us, and nothing of ours can have counted yet
            machine.log("holds a founding seat")
            self._send_status_to_all()
        self._write_voters()

    def _on_slot_lost(self, mine: int) -> None:
        machine = self._machine
        machine.voter_table.full = False
        machine.ownership.release_all()
        holder = machine.voter_table.slots[mine].holder
        machine.log(f"seat {mine} was {'taken over by ' + holder if holder else 'closed'}")

    def _is_bootstrap_voter(self) -> bool:
        mine = self._machine.voter_table.own_slot()
        table = self._machine.voter_table.slots
        return (
            mine is not None
            and table[mine].incarnation == BOOTSTRAP_INCARNATION
            and not self._machine.promised
        )

    def _send_status_to_all(self) -> None:
        for peer in self._machine.connected():
            self._machine.send_status(peer)

    def _write_voters(self) -> None:
        self._machine.write({self._machine.voter_table.RECORD: self._machine.voter_table.record()})

    # ------------------------------------------------------------ founding

    def _bootstrap(self) -> None:
        """The first seed founds, once: whom it names is on its disk before anybody hears of it."""
        machine = self._machine
        if not machine.first_run or not machine.seeds or machine.seeds[0] != machine.address:
            return
        there = {machine.address} | {p.address for p in machine.peers.values() if p.up and p.first_run}
        if (
            len(there) < machine.bootstrap_voters
            and machine.step.now - machine.started_at < BOOTSTRAP_LATEST_S
        ):
            return
        order = [a for a in machine.seeds if a in there] + sorted(there - set(machine.seeds))
        chosen = order[: machine.bootstrap_voters]
        if len(chosen) % 2 == 0 and len(chosen) > 2:
            chosen.pop()
        voter_table = machine.voter_table
        voter_table.slots = {
            i: VoterSlot(index=i, holder=a, incarnation=BOOTSTRAP_INCARNATION) for i, a in enumerate(chosen)
        }
        record = voter_table.record(full=True)  # we count when it is on disk
        founding = Frame(founding=wire.BootstrapVoters(seats=voter_table.slots.values()))
        machine.log(f"founds {len(chosen)} seats")
        machine.write(
            {voter_table.RECORD: record},
            [*(Send(p, founding) for p in machine.connected()), self._slot_written()],
        )

    def on_bootstrap(self, founding: wire.BootstrapVoters) -> None:
        if not self._machine.voter_table.slots and self._machine.first_run:
            self.merge_slots(founding.seats)

    # ------------------------------------------------------------ a seat for us

    def _request_slot(self) -> None:
        """Without a seat, or with one whose records are lost: ask for one."""
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
        # A grant ends the holder's vote for good: as many as are needed must see it lost before one is asked.
        ours = known is not None and known.holder == machine.address
        sounding = not ours and len(self._consenting) < needed
        self._consenting.clear()
        for other in others:
            machine.send(other, Frame(claim=wire.SlotClaim(seat=self._claim, sounding=sounding)))

    def _choose_slot(self) -> int | None:
        """Our own seat, else one whose holder is lost, else a new one where more are wanted."""
        voter_table = self._machine.voter_table
        mine = voter_table.own_slot()
        if mine is not None:
            return mine
        lost = [i for i, seat in voter_table.open_slots().items() if self._is_lost(seat.holder)]
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
        now, began, wished = machine.step.now, machine.started_at, machine.desired_voters
        if claim.sounding:
            ok = voter_table.may_grant(claim.seat, machine.peers, now, began, wished)
            told = wire.SlotGrant(seat=claim.seat, ok=ok, sounding=True, seats=voter_table.slots.values())
            machine.send(peer, Frame(grant=told))
            return
        before = voter_table.record()
        ok = voter_table.grant(claim.seat, machine.peers, now, began, wished)
        known = machine.peers.get(peer)
        if ok and known is not None:
            known.full = False
        self._send_grant(peer, claim.seat, ok, before)

    def _send_grant(self, peer: str, seat: VoterSlot, ok: bool, before: bytes) -> None:
        """What we have goes with it, when the seat is on our disk."""
        machine, voter_table = self._machine, self._machine.voter_table
        grant = wire.SlotGrant(seat=seat, ok=ok, seats=voter_table.slots.values())
        if ok:
            grant.promised.extend(wire.PromisedEpoch(section=s, epoch=e) for s, e in machine.promised.items())
            grant.items.extend(machine.accepted.items.values())
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
                self._claimed_at = -CLAIM_INTERVAL_S  # ask for them now
            return
        self._grants.add(peer)
        records = self._merge_grant(grant.promised, grant.items)
        voter_table.merge(s for s in grant.seats if s.index != claim.index)
        if len(self._grants) < max(needed, voter_table.required_grants(claim.index)):
            machine.write(records)
            return
        voter_table.slots[claim.index] = claim
        self._claim = None
        # All of it must be on disk before anybody counts us: what follows is sent when it is.
        records = machine.item_records() | machine.promise_records()
        records[voter_table.RECORD] = voter_table.record(full=True)
        machine.log(f"seat {claim.index} taken, incarnation {claim.incarnation}")
        machine.write(records, [self._slot_written()])

    def _merge_grant(
        self, promised: Iterable[wire.PromisedEpoch], items: Iterable[wire.Item]
    ) -> dict[str, bytes]:
        """Merge what another has; returns the records of items that are new here."""
        machine = self._machine
        for told in promised:
            if told.epoch > machine.promised.get(told.section, 0):
                machine.promised[told.section] = told.epoch
                machine.ownership.on_higher_epoch(told.section, told.epoch)
        return machine.accept(items)

    def _slot_written(self) -> Send:
        """To ourselves, when what makes us full is on disk."""
        address = self._machine.address
        return Send(address, Frame(greeting=wire.PeerStatus(address=address, full=True)))

    def on_slot_written(self) -> None:
        """The records of a seat that was taken over are on disk: from now on we count."""
        machine = self._machine
        if machine.voter_table.own_slot() is not None and not machine.voter_table.full:
            machine.voter_table.full = True
            machine.voting_since = machine.step.now
            self._send_status_to_all()

    # ------------------------------------------------------------ a seat less

    def _remove_slot(self) -> None:
        """The first voter closes, one seat at a time; a closing left half done goes first."""
        machine, voter_table = self._machine, self._machine.voter_table
        voters, now = machine.voters(), machine.step.now
        half = voter_table.closing_slot()
        too_many = bool(machine.desired_voters) and len(voter_table.open_slots()) > machine.desired_voters
        first = bool(voters) and voters[0] == machine.address and now - machine.voting_since >= HOLDER_LOST_S
        if not (half is not None or too_many) or not first or machine.resigned:
            self._removal = None
            return
        removal = self._removal
        if removal is not None and now - removal.asked_at < CLAIM_INTERVAL_S:
            return
        if (
            removal is None
            or (half is not None and removal.slot.index != half)
            or voter_table.slots[removal.slot.index].incarnation > removal.slot.incarnation
        ):
            index = half if half is not None else voter_table.slot_to_remove(machine.peers)
            seat = VoterSlot(index=index, incarnation=voter_table.slots[index].incarnation + 1, closed=True)
            removal = self._removal = SlotRemoval(seat)
            machine.log(f"closes seat {index}")
        removal.asked_at = now
        if removal.gathered:
            self._transfer(removal)
            return
        for voter in voters:
            machine.send(voter, Frame(claim=wire.SlotClaim(seat=removal.slot, resumed=half is not None)))

    def _on_removal_claim(self, peer: str, claim: wire.SlotClaim) -> None:
        """Another closes a seat, or we ourselves; it may be ours."""
        machine, voter_table, seat = self._machine, self._machine.voter_table, claim.seat
        before, mine = voter_table.record(), voter_table.own_slot()
        ok = machine.is_voter(peer) and voter_table.may_remove(
            seat, machine.desired_voters, resumed=claim.resumed
        )
        if ok and seat.incarnation > voter_table.slots[seat.index].incarnation:
            voter_table.slots[seat.index] = seat
        self._send_grant(peer, seat, ok, before)
        if voter_table.own_slot() != mine and mine is not None:
            self._on_slot_lost(mine)
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
        records = self._merge_grant(grant.promised, grant.items) | machine.promise_records()
        voter_table.merge(grant.seats)
        removal.grants.add(peer)
        removal.gathered = len(removal.grants) >= max(needed, voter_table.required_grants(removal.slot.index))
        machine.write(records)
        if removal.gathered:
            self._transfer(removal)

    def _raise_incarnation(self, removal: SlotRemoval, told: Iterable[VoterSlot]) -> None:
        """One refused that knows another claim of our incarnation: we close under a higher one."""
        seat = removal.slot
        theirs = next((s for s in told if s.index == seat.index), None)
        if theirs is not None and theirs.incarnation >= seat.incarnation and not theirs.closed:
            higher = VoterSlot(index=seat.index, incarnation=theirs.incarnation + 1, closed=True)
            self._removal = SlotRemoval(higher, asked_at=removal.asked_at)

    def _transfer(self, removal: SlotRemoval) -> None:
        """Have those that are left hold what was gathered."""
        machine = self._machine
        fill = wire.SlotTransfer(seat=removal.slot, items=machine.accepted.items.values())
        fill.promised.extend(wire.PromisedEpoch(section=s, epoch=e) for s, e in machine.promised.items())
        for voter in machine.voters():
            if voter not in removal.transferred:
                machine.send(voter, Frame(fill=fill))

    def on_slot_transfer(self, peer: str, fill: wire.SlotTransfer) -> None:
        machine = self._machine
        if not machine.voter_table.full or not machine.is_voter(peer):
            return
        self.merge_slots([fill.seat])
        if not machine.voter_table.full:
            return  # it was ours
        records = self._merge_grant(fill.promised, fill.items) | machine.promise_records()
        filled = wire.SlotTransferAck(seat=fill.seat, mark=machine.voter_view())
        machine.write(records, [Send(peer, Frame(filled=filled))])

    def on_slot_transfer_ack(self, peer: str, filled: wire.SlotTransferAck) -> None:
        machine, voter_table, removal = self._machine, self._machine.voter_table, self._removal
        if removal is None or not removal.gathered or filled.seat != removal.slot:
            return
        removal.transferred.add(peer, filled.mark)
        if not removal.transferred.reached(voter_table.slots):
            return
        self._removal = None
        settled = VoterSlot()
        settled.CopyFrom(removal.slot)
        settled.incarnation, settled.settled = removal.slot.incarnation + 1, True
        machine.log(f"seat {settled.index} is closed")
        self.merge_slots([settled])
        self._send_status_to_all()
