"""Voter slots: which nodes vote, created once at bootstrap and taken over under a rising incarnation.

With n slots and a majority of W, a node that lost its disk may not vote until n - W + 1 other full voters
have sent it their state: that many intersect every majority that its lost copy may have been part of, and
leave too few voters for the old holder to form a majority with.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

from leadrudder.consensus import quorum
from leadrudder.protocol.mesh_pb2 import VoterSlot

VOTERS_RECORD = "seats"
HOLDER_LOST_S = 1.5  # a holder that is disconnected for so long may be replaced
TRANSFER_STUCK_S = 1.5  # a claimant that was granted a slot and is not full after so long may be replaced


@dataclass(slots=True)
class Peer:
    """Another control node, according to its status and its link."""

    address: str
    zone: str = ""
    full: bool = False  # holds a voter slot and all state that belongs to it
    resigned: bool = False
    first_run: bool = False
    up: bool = False
    life: int = 0  # identifies its process
    informed: bool = False  # it was sent committed items and owned sections on this link
    changed_at: float = 0.0  # when it connected or disconnected
    installed: dict[int, int] = field(default_factory=dict)  # its installed epochs, by section


@dataclass(slots=True)
class VoterTable:
    """All voter slots, and whether this node votes."""

    RECORD: ClassVar[str] = VOTERS_RECORD

    address: str
    slots: dict[int, VoterSlot] = field(default_factory=dict)
    full: bool = False  # this node holds a slot and all state that belongs to it
    granted_at: dict[int, float] = field(default_factory=dict)  # when this node granted each slot

    @property
    def majority(self) -> int:
        return quorum.majority(self._voting_slots())

    def _voting_slots(self) -> int:
        """Number of slots, including one whose removal is not finished, as it may have voted."""
        return sum(not slot.settled for slot in self.slots.values())

    def required_grants(self, index: int) -> int:
        """How many voters must send their state before a slot is taken over, added or removed.

        Enough to intersect every earlier majority; a majority itself if the number of slots changes, so that
        no two such changes are granted independently.
        """
        slot = self.slots.get(index)
        if slot is not None and not slot.closed:
            return self._voting_slots() - self.majority + 1
        return self.majority

    def own_slot(self) -> int | None:
        return self.slot_of(self.address)

    def slot_of(self, holder: str) -> int | None:
        return next((i for i, slot in self.slots.items() if slot.holder == holder), None)

    def holders(self) -> list[str]:
        return [slot.holder for _, slot in sorted(self.open_slots().items())]

    def open_slots(self) -> dict[int, VoterSlot]:
        """Slots that are not removed or being removed."""
        return {i: slot for i, slot in self.slots.items() if not slot.closed}

    def closing_slot(self) -> int | None:
        """A slot whose removal is not finished."""
        return min((i for i, slot in self.slots.items() if slot.closed and not slot.settled), default=None)

    def free_index(self) -> int | None:
        """The index for a new slot; None while one is being removed."""
        if self.closing_slot() is not None:
            return None
        return next((i for i, slot in sorted(self.slots.items()) if slot.closed), len(self.slots))

    def slot_to_remove(self, peers: dict[str, Peer]) -> int:
        """The slot to remove first: the last whose holder is unreachable, else the last of all others."""
        others = {i: slot for i, slot in self.open_slots().items() if slot.holder != self.address}
        unreachable = [i for i, slot in others.items() if not self._is_reachable(slot.holder, peers)]
        return max(unreachable or others)

    def _is_reachable(self, holder: str, peers: dict[str, Peer]) -> bool:
        peer = peers.get(holder)
        return holder == self.address or (peer is not None and peer.up and peer.full)

    def merge(self, slots: Iterable[VoterSlot], sender: str = "") -> bool:
        """Merge slots known to a peer; True if anything was new.

        sender: its address if it is full, else "": of two claimants of one incarnation, the full one wins.
        """
        new = False
        for slot in slots:
            known = self.slots.get(slot.index)
            same = known is not None and slot.incarnation == known.incarnation
            if (
                known is None
                or slot.incarnation > known.incarnation
                or (same and slot.settled and not known.settled)
                or (same and slot.holder == sender != known.holder and sender != "")
            ):
                self.slots[slot.index] = slot
                self.granted_at.pop(slot.index, None)
                new = True
        return new

    def grant(
        self, claim: VoterSlot, peers: dict[str, Peer], now: float, started_at: float, desired: int = 0
    ) -> bool:
        """Grant a slot to a claimant if allowed; returns whether it was granted.

        started_at: of this process; desired: the number of voters that the operator wants.
        """
        if not self.may_grant(claim, peers, now, started_at, desired):
            return False
        known = self.slots.get(claim.index)
        if known is None or claim.incarnation > known.incarnation:
            self.slots[claim.index] = claim
            self.granted_at[claim.index] = now
        return True

    def may_grant(
        self, claim: VoterSlot, peers: dict[str, Peer], now: float, started_at: float, desired: int = 0
    ) -> bool:
        known = self.slots.get(claim.index)
        if not self.full:
            return False
        if known is None or known.closed:
            # A new slot: one at a time, and only while all holders are reachable.
            return (
                claim.index == self.free_index()
                and (known is None or claim.incarnation > known.incarnation)
                and len(self.open_slots()) < desired
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
            or not self._is_lost(claim.index, known.holder, peers, now, started_at)
            or self.slot_of(claim.holder) is not None
        ):
            return False
        return True

    def may_remove(self, slot: VoterSlot, desired: int, *, resumed: bool) -> bool:
        """Whether a slot may be removed: there are too many, or its removal has started.

        resumed: the removal started elsewhere. It must be finished even if more voters are wanted by now:
        while some voters know the slot as being removed, it can be neither used nor replaced.
        """
        known = self.slots.get(slot.index)
        if not self.full or known is None or known.settled or self.closing_slot() not in (None, slot.index):
            return False
        if known.closed:
            return slot.incarnation >= known.incarnation
        return slot.incarnation > known.incarnation and (resumed or 0 < desired < len(self.open_slots()))

    def _is_lost(
        self, index: int, holder: str, peers: dict[str, Peer], now: float, started_at: float
    ) -> bool:
        peer = peers.get(holder)
        if peer is None:
            return now - started_at >= HOLDER_LOST_S
        if peer.resigned:
            return True
        if not peer.up:
            return now - peer.changed_at >= HOLDER_LOST_S
        # A restarted process has forgotten when it granted the slot; it then counts from when both were up.
        return (
            not peer.full
            and now - self.granted_at.get(index, max(started_at, peer.changed_at)) >= TRANSFER_STUCK_S
        )

    def record(self, *, full: bool | None = None) -> bytes:
        """The table as stored on disk.  full: its value once this is written; None: as it is."""
        rows: list[list[int | str | bool]] = []
        for _, slot in sorted(self.slots.items()):
            rows.append([slot.index, slot.holder, slot.incarnation])
            if slot.closed:
                rows[-1].append(slot.settled)  # only a closed slot has the fourth column
        return json.dumps({"seats": rows, "full": self.full if full is None else full}).encode()

    def restore(self, record: bytes) -> None:
        stored = json.loads(record)
        self.slots = {
            index: VoterSlot(
                index=index,
                holder=holder,
                incarnation=incarnation,
                closed=bool(closed),
                settled=closed == [True],
            )
            for index, holder, incarnation, *closed in stored["seats"]
        }
        self.full = bool(stored["full"]) and self.own_slot() is not None
