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

    seat: VoterSlot
    grants: set[str] = field(default_factory=set)
    gathered: bool = False
    filled: Quorum = field(default_factory=Quorum)
    at: float = -1.0  # when it was last asked


class Reconfiguration:
    """The part of the interlocking that deals in seats."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._claim: VoterSlot | None = None
        self._claimed_at = -1.0
        self._grants: set[str] = set()
        self._willing: set[str] = set()  # would grant the claim that we sound out
        self._closing: SlotRemoval | None = None

    def tick(self) -> None:
        machine = self._machine
        if not machine.seats.table:
            self._found()
        elif not machine.seats.full and not machine.resigned:
            self._ask_for_one()
        elif machine.seats.full:
            self._close_one()

    # ------------------------------------------------------------ what others know

    def learn(self, told: Iterable[VoterSlot], teller: str = "") -> None:
        """The table of another; a seat of ours that has another holder now is ours no more.

        teller: a full holder, whose word of its own seat counts over another claimant's.
        """
        machine = self._machine
        mine = machine.seats.mine()
        if not machine.seats.learn(told, teller):
            return
        if machine.seats.mine() != mine and mine is not None:
            self._lose(mine)
        elif machine.first_run and not machine.book.items and not machine.seats.full and self._is_founder():
            machine.seats.full = True  # founded with us, and nothing of ours can have counted yet
            machine.note("holds a founding seat")
            self._greet_all()
        self._write_seats()

    def _lose(self, mine: int) -> None:
        machine = self._machine
        machine.seats.full = False
        machine.owner.lose_all()
        holder = machine.seats.table[mine].holder
        machine.note(f"seat {mine} was {'taken over by ' + holder if holder else 'closed'}")

    def _is_founder(self) -> bool:
        mine = self._machine.seats.mine()
        table = self._machine.seats.table
        return (
            mine is not None
            and table[mine].incarnation == BOOTSTRAP_INCARNATION
            and not self._machine.promised
        )

    def _greet_all(self) -> None:
        for peer in self._machine.connected():
            self._machine.greet(peer)

    def _write_seats(self) -> None:
        self._machine.write({self._machine.seats.RECORD: self._machine.seats.record()})

    # ------------------------------------------------------------ founding

    def _found(self) -> None:
        """The first seed founds, once: whom it names is on its disk before anybody hears of it."""
        machine = self._machine
        if not machine.first_run or not machine.seeds or machine.seeds[0] != machine.address:
            return
        there = {machine.address} | {p.address for p in machine.peers.values() if p.up and p.first_run}
        if len(there) < machine.wanted and machine.turn.now - machine.began < BOOTSTRAP_LATEST_S:
            return
        order = [a for a in machine.seeds if a in there] + sorted(there - set(machine.seeds))
        chosen = order[: machine.wanted]
        if len(chosen) % 2 == 0 and len(chosen) > 2:
            chosen.pop()
        seats = machine.seats
        seats.table = {
            i: VoterSlot(index=i, holder=a, incarnation=BOOTSTRAP_INCARNATION) for i, a in enumerate(chosen)
        }
        record = seats.record(full=True)  # we count when it is on disk
        founding = Frame(founding=wire.BootstrapVoters(seats=seats.table.values()))
        machine.note(f"founds {len(chosen)} seats")
        machine.write(
            {seats.RECORD: record}, [*(Send(p, founding) for p in machine.connected()), self._seated_now()]
        )

    def on_founding(self, founding: wire.BootstrapVoters) -> None:
        if not self._machine.seats.table and self._machine.first_run:
            self.learn(founding.seats)

    # ------------------------------------------------------------ a seat for us

    def _ask_for_one(self) -> None:
        """Without a seat, or with one whose records are lost: ask for one."""
        machine, seats = self._machine, self._machine.seats
        now = machine.turn.now
        if now - self._claimed_at < CLAIM_INTERVAL_S:
            return
        self._claimed_at = now + 0.2 * machine.rng.random()
        index = self._which()
        if index is None:
            return
        others = [v for v in machine.voters() if v != machine.address]
        needed = seats.grants_needed(index)
        if len(others) < needed:
            return
        known = seats.table.get(index)
        last = known.incarnation if known is not None else BOOTSTRAP_INCARNATION
        if self._claim is None or self._claim.index != index or self._claim.incarnation <= last:
            self._claim = VoterSlot(index=index, holder=machine.address, incarnation=last + 1)
            self._grants, self._willing = set(), set()
        # A grant ends the holder's vote for good: as many as are needed must see it lost before one is asked.
        ours = known is not None and known.holder == machine.address
        sounding = not ours and len(self._willing) < needed
        self._willing.clear()
        for other in others:
            machine.send(other, Frame(claim=wire.SlotClaim(seat=self._claim, sounding=sounding)))

    def _which(self) -> int | None:
        """Our own seat, else one whose holder is lost, else a new one where more are wanted."""
        seats = self._machine.seats
        mine = seats.mine()
        if mine is not None:
            return mine
        lost = [i for i, seat in seats.opened().items() if self._is_lost(seat.holder)]
        if lost:
            return self._machine.rng.choice(lost)
        return seats.free() if len(seats.opened()) < self._machine.wished else None

    def _is_lost(self, holder: str) -> bool:
        peer = self._machine.peers.get(holder)
        return peer is None or not peer.up or peer.resigned or not peer.full

    def on_claim(self, peer: str, claim: wire.SlotClaim) -> None:
        machine, seats = self._machine, self._machine.seats
        if claim.seat.closed:
            self._on_close(peer, claim)
            return
        if claim.seat.holder != peer:
            return
        now, began, wished = machine.turn.now, machine.began, machine.wished
        if claim.sounding:
            ok = seats.would_grant(claim.seat, machine.peers, now, began, wished)
            told = wire.SlotGrant(seat=claim.seat, ok=ok, sounding=True, seats=seats.table.values())
            machine.send(peer, Frame(grant=told))
            return
        before = seats.record()
        ok = seats.grant(claim.seat, machine.peers, now, began, wished)
        known = machine.peers.get(peer)
        if ok and known is not None:
            known.full = False
        self._send_grant(peer, claim.seat, ok, before)

    def _send_grant(self, peer: str, seat: VoterSlot, ok: bool, before: bytes) -> None:
        """What we have goes with it, when the seat is on our disk."""
        machine, seats = self._machine, self._machine.seats
        grant = wire.SlotGrant(seat=seat, ok=ok, seats=seats.table.values())
        if ok:
            grant.promised.extend(wire.PromisedEpoch(section=s, epoch=e) for s, e in machine.promised.items())
            grant.items.extend(machine.book.items.values())
        after = seats.record()
        machine.write({seats.RECORD: after} if after != before else {}, [Send(peer, Frame(grant=grant))])

    def on_grant(self, peer: str, grant: wire.SlotGrant) -> None:
        if grant.seat.closed:
            self._on_close_granted(peer, grant)
            return
        machine, seats, claim = self._machine, self._machine.seats, self._claim
        if seats.full or claim is None or not grant.ok or grant.seat != claim:
            if not grant.ok and not seats.full:
                self.learn(grant.seats)
            return
        needed = seats.grants_needed(claim.index)
        if grant.sounding:
            self._willing.add(peer)
            if len(self._willing) == needed:
                self._claimed_at = -CLAIM_INTERVAL_S  # ask for them now
            return
        self._grants.add(peer)
        records = self._gathered(grant.promised, grant.items)
        seats.learn(s for s in grant.seats if s.index != claim.index)
        if len(self._grants) < max(needed, seats.grants_needed(claim.index)):
            machine.write(records)
            return
        seats.table[claim.index] = claim
        self._claim = None
        # All of it must be on disk before anybody counts us: what follows is sent when it is.
        records = machine.whole_book() | machine.promises()
        records[seats.RECORD] = seats.record(full=True)
        machine.note(f"seat {claim.index} taken, incarnation {claim.incarnation}")
        machine.write(records, [self._seated_now()])

    def _gathered(
        self, promised: Iterable[wire.PromisedEpoch], items: Iterable[wire.Item]
    ) -> dict[str, bytes]:
        """Merge what another has; returns the records of items that are new here."""
        machine = self._machine
        for told in promised:
            if told.epoch > machine.promised.get(told.section, 0):
                machine.promised[told.section] = told.epoch
                machine.owner.overtaken(told.section, told.epoch)
        return machine.keep(items)

    def _seated_now(self) -> Send:
        """To ourselves, when what makes us full is on disk."""
        address = self._machine.address
        return Send(address, Frame(greeting=wire.PeerStatus(address=address, full=True)))

    def seated(self) -> None:
        """The records of a seat that was taken over are on disk: from now on we count."""
        machine = self._machine
        if machine.seats.mine() is not None and not machine.seats.full:
            machine.seats.full = True
            machine.counts_since = machine.turn.now
            self._greet_all()

    # ------------------------------------------------------------ a seat less

    def _close_one(self) -> None:
        """The first voter closes, one seat at a time; a closing left half done goes first."""
        machine, seats = self._machine, self._machine.seats
        voters, now = machine.voters(), machine.turn.now
        half = seats.half_closed()
        too_many = bool(machine.wished) and len(seats.opened()) > machine.wished
        first = bool(voters) and voters[0] == machine.address and now - machine.counts_since >= HOLDER_LOST_S
        if not (half is not None or too_many) or not first or machine.resigned:
            self._closing = None
            return
        closing = self._closing
        if closing is not None and now - closing.at < CLAIM_INTERVAL_S:
            return
        if (
            closing is None
            or (half is not None and closing.seat.index != half)
            or seats.table[closing.seat.index].incarnation > closing.seat.incarnation
        ):
            index = half if half is not None else seats.least_missed(machine.peers)
            seat = VoterSlot(index=index, incarnation=seats.table[index].incarnation + 1, closed=True)
            closing = self._closing = SlotRemoval(seat)
            machine.note(f"closes seat {index}")
        closing.at = now
        if closing.gathered:
            self._fill(closing)
            return
        for voter in voters:
            machine.send(voter, Frame(claim=wire.SlotClaim(seat=closing.seat, resumed=half is not None)))

    def _on_close(self, peer: str, claim: wire.SlotClaim) -> None:
        """Another closes a seat, or we ourselves; it may be ours."""
        machine, seats, seat = self._machine, self._machine.seats, claim.seat
        before, mine = seats.record(), seats.mine()
        ok = machine.votes(peer) and seats.would_close(seat, machine.wished, resumed=claim.resumed)
        if ok and seat.incarnation > seats.table[seat.index].incarnation:
            seats.table[seat.index] = seat
        self._send_grant(peer, seat, ok, before)
        if seats.mine() != mine and mine is not None:
            self._lose(mine)
            self._write_seats()

    def _on_close_granted(self, peer: str, grant: wire.SlotGrant) -> None:
        machine, seats, closing = self._machine, self._machine.seats, self._closing
        if not grant.ok:
            self.learn(grant.seats)
            if closing is not None and grant.seat == closing.seat:
                self._overtake(closing, grant.seats)
            return
        if closing is None or grant.seat != closing.seat or closing.gathered or not seats.full:
            return
        needed = seats.grants_needed(closing.seat.index)
        records = self._gathered(grant.promised, grant.items) | machine.promises()
        seats.learn(grant.seats)
        closing.grants.add(peer)
        closing.gathered = len(closing.grants) >= max(needed, seats.grants_needed(closing.seat.index))
        machine.write(records)
        if closing.gathered:
            self._fill(closing)

    def _overtake(self, closing: SlotRemoval, told: Iterable[VoterSlot]) -> None:
        """One refused that knows another claim of our incarnation: we close under a higher one."""
        seat = closing.seat
        theirs = next((s for s in told if s.index == seat.index), None)
        if theirs is not None and theirs.incarnation >= seat.incarnation and not theirs.closed:
            higher = VoterSlot(index=seat.index, incarnation=theirs.incarnation + 1, closed=True)
            self._closing = SlotRemoval(higher, at=closing.at)

    def _fill(self, closing: SlotRemoval) -> None:
        """Have those that are left hold what was gathered."""
        machine = self._machine
        fill = wire.SlotTransfer(seat=closing.seat, items=machine.book.items.values())
        fill.promised.extend(wire.PromisedEpoch(section=s, epoch=e) for s, e in machine.promised.items())
        for voter in machine.voters():
            if voter not in closing.filled:
                machine.send(voter, Frame(fill=fill))

    def on_fill(self, peer: str, fill: wire.SlotTransfer) -> None:
        machine = self._machine
        if not machine.seats.full or not machine.votes(peer):
            return
        self.learn([fill.seat])
        if not machine.seats.full:
            return  # it was ours
        records = self._gathered(fill.promised, fill.items) | machine.promises()
        filled = wire.SlotTransferAck(seat=fill.seat, mark=machine.mark())
        machine.write(records, [Send(peer, Frame(filled=filled))])

    def on_filled(self, peer: str, filled: wire.SlotTransferAck) -> None:
        machine, seats, closing = self._machine, self._machine.seats, self._closing
        if closing is None or not closing.gathered or filled.seat != closing.seat:
            return
        closing.filled.add(peer, filled.mark)
        if not closing.filled.reached(seats.table):
            return
        self._closing = None
        settled = VoterSlot()
        settled.CopyFrom(closing.seat)
        settled.incarnation, settled.settled = closing.seat.incarnation + 1, True
        machine.note(f"seat {settled.index} is closed")
        self.learn([settled])
        self._greet_all()
