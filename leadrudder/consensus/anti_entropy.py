"""Repair: signalboxes hold their books against each other, and hand over what the other misses.

Every half second each tells the digests of what it holds and of what stands. Where they differ the other
answers with digests by range of keys, and gets the items of the ranges that differ, so that a difference of
one item among ten thousand costs a range and not the book. What only some hold is handed over within a
bound of bytes a second; what stands is not bounded, as stations wait for it. Times are seconds.
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
MAX_BYTES_PER_S = 1_000_000.0  # handed over by one machine, at most, in the mean over a second


@dataclass(frozen=True, slots=True)
class ReplicaLag:
    """What a holder of a seat misses, as far as we know.  since_s: how long ago it last had all."""

    holder: str
    up: bool
    full: bool
    items: int
    bytes: int
    since_s: float


@dataclass(slots=True)
class AntiEntropy:
    """The part of the interlocking that repairs."""

    machine: ControlStateMachine
    bytes_sent: int = 0  # bytes, since the start
    _compared_at: dict[str, float] = field(default_factory=dict)
    _in_sync_at: dict[str, float] = field(default_factory=dict)  # when a peer last had all that we have
    _changed_at: dict[str, float] = field(default_factory=dict)  # when what we hold last changed, by key
    _resume_after: dict[str, str] = field(default_factory=dict)  # the last key handed over to a peer
    _credit: float = MAX_BYTES_PER_S
    _credited_at: float = 0.0

    def on_accepted(self, items: Iterable[Item]) -> None:
        """Items were taken into what we hold."""
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
        standing = digest.standing != machine.committed.digest
        held = digest.held != machine.accepted.digest and machine.voter_table.full
        if not standing and not held:
            self._in_sync_at[peer] = machine.step.now
            return
        ranges = wire.RangeDigests(
            held=machine.accepted.ranges if held else (), full=machine.voter_table.full
        )
        if standing:
            ranges.standing.extend(machine.committed.ranges)
        machine.send(peer, Frame(ranges=ranges))

    def on_ranges(self, peer: str, ranges: wire.RangeDigests) -> None:
        """A peer's digests by range: it gets what we have in those that differ."""
        machine = self.machine
        standing = machine.committed.differing(ranges.standing)
        if standing:
            machine.send(peer, Frame(standing=wire.CommittedItems(items=standing)))
        if not machine.voter_table.full:
            return
        now = machine.step.now
        self._credit = min(MAX_BYTES_PER_S, self._credit + MAX_BYTES_PER_S * (now - self._credited_at))
        self._credited_at = now
        items: list[Item] = []
        missed = machine.accepted.differing(ranges.held)
        # Those after the last one handed over come first: a range larger than the bound is gone through, too.
        at = self._resume_after.get(peer, "")
        for item in sorted(missed, key=lambda item: (item.key <= at, item.key)):
            if self._credit <= 0.0:
                break  # the rest when they compare again
            size = item.ByteSize()
            self._credit -= size
            self.bytes_sent += size
            items.append(item)
        if items:
            self._resume_after[peer] = items[-1].key
            machine.send(peer, Frame(repair=wire.Repair(items=items)))

    def replica_lag(self) -> list[ReplicaLag]:
        """What each other holder of a seat misses."""
        machine, now = self.machine, self.machine.step.now
        told = []
        for holder in machine.voter_table.holders():
            if holder == machine.address:
                continue
            peer = machine.peers.get(holder)
            alike = self._in_sync_at.get(holder, -1.0)
            full = peer is not None and peer.full
            # One that is connected has all that came before it last compared alike; an empty one has nothing.
            missed = [
                item
                for key, item in machine.accepted.items.items()
                if not full or self._changed_at.get(key, 0.0) > alike
            ]
            told.append(
                ReplicaLag(
                    holder,
                    peer is not None and peer.up,
                    full,
                    len(missed),
                    sum(item.ByteSize() for item in missed),
                    max(0.0, now - alike) if alike >= 0.0 else 0.0,
                )
            )
        return told
