"""Anti-entropy: control nodes compare digests of their items and send each other what is missing.

Every half second each node sends the digests of its accepted and its committed items. If they differ, the
peer answers with digests by key range and receives the items of the ranges that differ, so a difference of
one item among ten thousand costs one range instead of all items. Accepted items are sent at a bounded rate;
committed items are not bounded, as proxies wait for them. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

COMPARE_INTERVAL_S = 0.5
MAX_BYTES_PER_S = 1_000_000.0  # of accepted items sent by one node, averaged over a second


@dataclass(frozen=True, slots=True)
class ReplicaLag:
    """What a voter is missing, as far as known.  since_s: how long ago it was last in sync."""

    holder: str
    up: bool
    full: bool
    items: int
    bytes: int
    since_s: float


@dataclass(slots=True)
class AntiEntropy:
    """The component of the state machine that repairs differences between nodes."""

    machine: ControlStateMachine
    bytes_sent: int = 0  # of accepted items, since the start
    _compared_at: dict[str, float] = field(default_factory=dict)
    _in_sync_at: dict[str, float] = field(default_factory=dict)  # when a peer was last in sync
    _changed_at: dict[str, float] = field(default_factory=dict)  # when each key last changed
    _resume_after: dict[str, str] = field(default_factory=dict)  # the last key sent to each peer
    _credit: float = MAX_BYTES_PER_S
    _credited_at: float = 0.0

    def on_accepted(self, items: Iterable[Item]) -> None:
        """Items were merged into the accepted ones."""
        for item in items:
            self._changed_at[item.key] = self.machine.step.now

    def tick(self) -> None:
        machine, now = self.machine, self.machine.step.now
        digest = wire.Digest(standing=machine.committed.digest, held=machine.accepted.digest)
        for peer in machine.connected():
            if now - self._compared_at.get(peer, 0.0) >= COMPARE_INTERVAL_S:
                self._compared_at[peer] = now
                machine.send_status(peer)
                machine.send(peer, Frame(digest=digest))

    def on_digest(self, peer: str, digest: wire.Digest) -> None:
        machine = self.machine
        differing_committed = digest.standing != machine.committed.digest
        differing_accepted = digest.held != machine.accepted.digest and machine.voter_table.full
        if not differing_committed and not differing_accepted:
            self._in_sync_at[peer] = machine.step.now
            return
        ranges = wire.RangeDigests(
            held=machine.accepted.range_digests if differing_accepted else (), full=machine.voter_table.full
        )
        if differing_committed:
            ranges.standing.extend(machine.committed.range_digests)
        machine.send(peer, Frame(ranges=ranges))

    def on_ranges(self, peer: str, ranges: wire.RangeDigests) -> None:
        """Send a peer the items of the ranges whose digests differ."""
        machine = self.machine
        differing_committed = machine.committed.items_in_differing_ranges(ranges.standing)
        if differing_committed:
            machine.send(peer, Frame(standing=wire.CommittedItems(items=differing_committed)))
        if not machine.voter_table.full:
            return
        now = machine.step.now
        self._credit = min(MAX_BYTES_PER_S, self._credit + MAX_BYTES_PER_S * (now - self._credited_at))
        self._credited_at = now
        items: list[Item] = []
        missing = machine.accepted.items_in_differing_ranges(ranges.held)
        # Continue after the last key sent, so that a range larger than the bound is sent completely, too.
        resume_after = self._resume_after.get(peer, "")
        for item in sorted(missing, key=lambda item: (item.key <= resume_after, item.key)):
            if self._credit <= 0.0:
                break  # the rest at the next comparison
            size = item.ByteSize()
            self._credit -= size
            self.bytes_sent += size
            items.append(item)
        if items:
            self._resume_after[peer] = items[-1].key
            machine.send(peer, Frame(repair=wire.Repair(items=items)))

    def replica_lag(self) -> list[ReplicaLag]:
        """What each other voter is missing."""
        machine, now = self.machine, self.machine.step.now
        lags = []
        for holder in machine.voter_table.holders():
            if holder == machine.address:
                continue
            peer = machine.peers.get(holder)
            in_sync_at = self._in_sync_at.get(holder, -1.0)
            full = peer is not None and peer.full
            # A full peer has all that preceded its last matching comparison; an empty one has nothing.
            missing = [
                item
                for key, item in machine.accepted.items.items()
                if not full or self._changed_at.get(key, 0.0) > in_sync_at
            ]
            lags.append(
                ReplicaLag(
                    holder,
                    peer is not None and peer.up,
                    full,
                    len(missing),
                    sum(item.ByteSize() for item in missing),
                    max(0.0, now - in_sync_at) if in_sync_at >= 0.0 else 0.0,
                )
            )
        return lags
