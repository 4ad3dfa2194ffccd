"""Quorums: which replies to a request count, and whether they are a majority.

A reply counts for the voter slot that its sender held when it replied. A slot changes its holder with grants
of so many voters that any majority of replies includes one of them, given before or after its grant. A reply
given after it names the new holder, so a late reply of the old holder does not count any more; what a reply
given before it reports was sent to the new holder with the grant. So no majority includes a lost vote.

The same holds for slots that are added or removed: a voter that knows of the change says so with each
reply, and the number of replies needed follows from the newest information in all replies, not from what the
requester knew. A slot that is being removed has no vote any more, but still counts towards the majority until
its removal is finished, so removals that start concurrently are safe, too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from leadrudder.protocol.mesh_pb2 import VoterSlot, VoterView

OPEN, CLOSING, CLOSED = 0, 1, 2  # states of a slot


def majority(slots: int) -> int:
    """The smallest majority of a number of voter slots."""
    return slots // 2 + 1


def voter_view(table: Mapping[int, VoterSlot], holder: str) -> VoterView:
    """A sender's own slot and all slots as it knows them, sent with each of its replies."""
    own = next((i for i, slot in table.items() if slot.holder == holder), 0)
    incarnations = [table[i].incarnation for i in sorted(table)]
    closed = [i for i, slot in table.items() if slot.closed]
    settled = [i for i, slot in table.items() if slot.settled]
    return VoterView(seat=own, incarnations=incarnations, closed=closed, settled=settled)


@dataclass(slots=True)
class Quorum:
    """The replies to one request."""

    views: dict[str, VoterView] = field(default_factory=dict)

    def add(self, peer: str, view: VoterView) -> None:
        known = self.views.get(peer)
        if known is None or _own_incarnation(view) >= _own_incarnation(known):
            self.views[peer] = view

    def drop(self, peer: str) -> None:
        self.views.pop(peer, None)

    def members(self) -> set[str]:
        """The peers whose replies count."""
        newest = self._newest({})
        return {
            peer
            for peer, view in self.views.items()
            if newest.get(view.seat, (0, OPEN)) == (_own_incarnation(view), OPEN)
        }

    def reached(self, table: Mapping[int, VoterSlot]) -> bool:
        """Whether the counting replies are a majority of the slots whose removal is not finished.

        table: the slots as the requester knows them.
        """
        newest = self._newest(table)
        return len(self.members()) >= majority(sum(state != CLOSED for _, state in newest.values()))

    def _newest(self, table: Mapping[int, VoterSlot]) -> dict[int, tuple[int, int]]:
        """The highest incarnation of each slot in any reply or the table, and its state."""
        newest = {i: (slot.incarnation, slot.closed + slot.settled) for i, slot in table.items()}
        for view in self.views.values():
            for i, incarnation in enumerate(view.incarnations):
                state = (i in view.closed) + (i in view.settled)
                newest[i] = max(newest.get(i, (0, OPEN)), (incarnation, state))
        return newest

    def __len__(self) -> int:
        return len(self.members())

    def __contains__(self, peer: str) -> bool:
        return peer in self.views


def _own_incarnation(view: VoterView) -> int:
    """The incarnation of the sender's slot."""
    return view.incarnations[view.seat] if view.seat < len(view.incarnations) else 0
