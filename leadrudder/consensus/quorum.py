"""Who has answered, as far as it counts.

A reply counts for the seat that its sender held when it gave it. A seat passes on by grants of so many
others that any majority of replies has one of theirs, given after the grant or before it: one given after it
tells of the new holder, so that a late reply of the old one counts no more; what one given before it speaks
of has gone to the new holder with the grant. So no majority is made up with a vote that has been lost.

The same holds where seats are added or closed: whoever knows of the change says so with each reply, and how
many replies are needed follows from the newest of all that is told, not from what the asker knew. A seat
that is being closed has no vote any more, and until its closing is settled as many votes are needed as with
it: so two closings that began at once are safe, too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import VoterSlot, VoterView

OPEN, HALF_CLOSED, SETTLED = 0, 1, 2


def majority(seats: int) -> int:
    """How many of so many seats decide."""
    return seats // 2 + 1


def mark(table: Mapping[int, VoterSlot], holder: str) -> VoterView:
    """What a reply tells of its sender's seat, and of all others as the sender knows them."""
    mine = next((i for i, seat in table.items() if seat.holder == holder), 0)
    incarnations = [table[i].incarnation for i in sorted(table)]
    closed = [i for i, seat in table.items() if seat.closed]
    settled = [i for i, seat in table.items() if seat.settled]
    return VoterView(seat=mine, incarnations=incarnations, closed=closed, settled=settled)


@dataclass(slots=True)
class Quorum:
    """The replies to one question."""

    views: dict[str, VoterView] = field(default_factory=dict)

    def add(self, peer: str, told: VoterView) -> None:
        known = self.views.get(peer)
        if known is None or _own(told) >= _own(known):
            self.views[peer] = told

    def drop(self, peer: str) -> None:
        self.views.pop(peer, None)

    def members(self) -> set[str]:
        """Those whose replies count."""
        newest = self._newest({})
        return {
            peer
            for peer, told in self.views.items()
            if newest.get(told.seat, (0, OPEN)) == (_own(told), OPEN)
        }

    def reached(self, table: Mapping[int, VoterSlot]) -> bool:
        """Whether those that count are a majority of the seats that are not closed for good, by all that is
        known.

        table: as the asker knows it.
        """
        newest = self._newest(table)
        return len(self.members()) >= majority(sum(state != SETTLED for _, state in newest.values()))

    def _newest(self, table: Mapping[int, VoterSlot]) -> dict[int, tuple[int, int]]:
        """The highest incarnation of each seat that anybody told of, and what is known of its closing."""
        newest = {i: (seat.incarnation, seat.closed + seat.settled) for i, seat in table.items()}
        for told in self.views.values():
            for i, incarnation in enumerate(told.incarnations):
                state = (i in told.closed) + (i in told.settled)
                newest[i] = max(newest.get(i, (0, OPEN)), (incarnation, state))
        return newest

    def __len__(self) -> int:
        return len(self.members())

    def __contains__(self, peer: str) -> bool:
        return peer in self.views


def _own(told: VoterView) -> int:
    """The incarnation of the seat that its sender holds."""
    return told.incarnations[told.seat] if told.seat < len(told.incarnations) else 0
