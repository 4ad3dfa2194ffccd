"""Seats: who counts in the quorum, founded once, taken over under a rising incarnation.

With n seats and W of them a majority, whoever has lost its disk holds nothing until n - W + 1 other full
seats have given it what they have: so many meet every majority that its lost copy may have been part of,
and leave too few for the old holder to act with.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

from leadrudder.consensus import quorum
from leadrudder.protocol.mesh_pb2 import VoterSlot

VOTERS_RECORD = "seats"
HOLDER_LOST_S = 1.5  # a holder that is not connected for so long may be replaced by a newcomer
TRANSFER_STUCK_S = 1.5  # a claimant that was granted a seat and is not full after so long may be replaced


@dataclass(slots=True)
class Peer:
    """Another signalbox, as its greeting and its link tell."""

    address: str
    zone: str = ""
    full: bool = False
    resigned: bool = False
    first_run: bool = False
    up: bool = False
    life: int = 0  # of its process
    informed: bool = False  # on this link: what stands, and what we own
    changed_at: float = 0.0  # when it came or went


@dataclass(slots=True)
class VoterTable:
    """The table of seats, and which of them is ours."""

    RECORD: ClassVar[str] = VOTERS_RECORD

    address: str
    slots: dict[int, VoterSlot] = field(default_factory=dict)
    full: bool = False  # we hold a seat, and all that belongs to it
    granted_at: dict[int, float] = field(default_factory=dict)  # when we granted a seat to its present holder

    @property
    def majority(self) -> int:
        return quorum.majority(self._voting_slots())

    def _voting_slots(self) -> int:
        """How many seats there are, as long as one may have counted that is being closed."""
        return sum(not seat.settled for seat in self.slots.values())

    def required_grants(self, index: int) -> int:
        """How many must give what they have to who takes a seat over, adds it or closes it.

        As many as meet every majority of the seats that there were before; where their number changes a
        majority itself, so that two changes are never granted apart from each other.
        """
        seat = self.slots.get(index)
        if seat is not None and not seat.closed:
            return self._voting_slots() - self.majority + 1
        return self.majority

    def own_slot(self) -> int | None:
        return self.slot_of(self.address)

    def slot_of(self, holder: str) -> int | None:
        return next((i for i, seat in self.slots.items() if seat.holder == holder), None)

    def holders(self) -> list[str]:
        return [seat.holder for _, seat in sorted(self.open_slots().items())]

    def open_slots(self) -> dict[int, VoterSlot]:
        """The seats that count."""
        return {i: seat for i, seat in self.slots.items() if not seat.closed}

    def closing_slot(self) -> int | None:
        """A seat whose closing is not settled."""
        return min((i for i, seat in self.slots.items() if seat.closed and not seat.settled), default=None)

    def free_index(self) -> int | None:
        """The index that a further seat would have; None while one is being closed."""
        if self.closing_slot() is not None:
            return None
        return next((i for i, seat in sorted(self.slots.items()) if seat.closed), len(self.slots))

    def slot_to_remove(self, peers: dict[str, Peer]) -> int:
        """The seat to be closed first: of those whose holders are not there, else of all, the last."""
        others = {i: seat for i, seat in self.open_slots().items() if seat.holder != self.address}
        away = [i for i, seat in others.items() if not self._is_reachable(seat.holder, peers)]
        return max(away or others)

    def _is_reachable(self, holder: str, peers: dict[str, Peer]) -> bool:
        peer = peers.get(holder)
        return holder == self.address or (peer is not None and peer.up and peer.full)

    def merge(self, told: Iterable[VoterSlot], teller: str = "") -> bool:
        """Take in what a full signalbox knows; True if anything was new.

        teller: its address, if it is full: of two claimants of one incarnation it is who got the seat.
        """
        new = False
        for seat in told:
            known = self.slots.get(seat.index)
            same = known is not None and seat.incarnation == known.incarnation
            if (
                known is None
                or seat.incarnation > known.incarnation
                or (same and seat.settled and not known.settled)
                or (same and seat.holder == teller != known.holder and teller != "")
            ):
                self.slots[seat.index] = seat
                self.granted_at.pop(seat.index, None)
                new = True
        return new

    def grant(
        self, claim: VoterSlot, peers: dict[str, Peer], now: float, began: float, wished: int = 0
    ) -> bool:
        """Whether a claimant gets the seat; if so the table has it.

        began: when we started; wished: how many seats there are to be.
        """
        if not self.may_grant(claim, peers, now, began, wished):
            return False
        known = self.slots.get(claim.index)
        if known is None or claim.incarnation > known.incarnation:
            self.slots[claim.index] = claim
            self.granted_at[claim.index] = now
        return True

    def may_grant(
        self, claim: VoterSlot, peers: dict[str, Peer], now: float, began: float, wished: int = 0
    ) -> bool:
        known = self.slots.get(claim.index)
        if not self.full:
            return False
        if known is None or known.closed:
            # A seat more: one at a time, and only while everybody who has one is there.
            return (
                claim.index == self.free_index()
                and (known is None or claim.incarnation > known.incarnation)
                and len(self.open_slots()) < wished
                and self.slot_of(claim.holder) is None
                and all(self._is_reachable(holder, peers) for holder in self.holders())
            )
        if known.holder == self.address:
            return False
        if known.holder == claim.holder:
            if claim.incarnation < known.incarnation:
                return False
        elif (
            claim.incarnation <= known.incarnation
            or not self._is_lost(claim.index, known.holder, peers, now, began)
            or self.slot_of(claim.holder) is not None
        ):
            return False
        return True

    def may_remove(self, seat: VoterSlot, wished: int, *, resumed: bool) -> bool:
        """Whether another may close a seat: one that is too many, or that somebody began to close.

        resumed: it had begun elsewhere. That must be ended, though more seats are wanted by now: as long as
        some hold the seat for half closed, it is neither had nor got rid of.
        """
        known = self.slots.get(seat.index)
        if not self.full or known is None or known.settled or self.closing_slot() not in (None, seat.index):
            return False
        if known.closed:
            return seat.incarnation >= known.incarnation
        return seat.incarnation > known.incarnation and (resumed or 0 < wished < len(self.open_slots()))

    def _is_lost(self, index: int, holder: str, peers: dict[str, Peer], now: float, began: float) -> bool:
        peer = peers.get(holder)
        if peer is None:
            return now - began >= HOLDER_LOST_S
        if peer.resigned:
            return True
        if not peer.up:
            return now - peer.changed_at >= HOLDER_LOST_S
        # When it was granted may be forgotten, by a process that was started anew: then since both are here.
        return (
            not peer.full
            and now - self.granted_at.get(index, max(began, peer.changed_at)) >= TRANSFER_STUCK_S
        )

    def record(self, *, full: bool | None = None) -> bytes:
        """The table as it is kept on disk.  full: as it will be when it is there; else as it is."""
        rows: list[list[int | str | bool]] = []
        for _, seat in sorted(self.slots.items()):
            rows.append([seat.index, seat.holder, seat.incarnation])
            if seat.closed:
                rows[-1].append(seat.settled)  # a fourth column: it is closed
        return json.dumps({"seats": rows, "full": self.full if full is None else full}).encode()

    def restore(self, record: bytes) -> None:
        read = json.loads(record)
        self.slots = {
            index: VoterSlot(
                index=index,
                holder=holder,
                incarnation=incarnation,
                closed=bool(closed),
                settled=closed == [True],
            )
            for index, holder, incarnation, *closed in read["seats"]
        }
        self.full = bool(read["full"]) and self.own_slot() is not None
