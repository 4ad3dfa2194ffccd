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
    from leadrudder.consensus.state_machine import Interlocking

EACH_S = 0.5
BYTES_S = 1_000_000.0  # handed over by one machine, at most, in the mean over a second


@dataclass(frozen=True, slots=True)
class Owed:
    """What a holder of a seat misses, as far as we know.  since_s: how long ago it last had all."""

    holder: str
    up: bool
    full: bool
    items: int
    bytes: int
    since_s: float


@dataclass(slots=True)
class Repair:
    """The part of the interlocking that repairs."""

    machine: Interlocking
    handed: int = 0  # bytes, since the start
    _compared: dict[str, float] = field(default_factory=dict)
    _alike: dict[str, float] = field(default_factory=dict)  # when a peer last had all that we have
    _changed: dict[str, float] = field(default_factory=dict)  # when what we hold last changed, by key
    _at: dict[str, str] = field(default_factory=dict)  # the last key handed over to a peer
    _credit: float = BYTES_S
    _credited: float = 0.0

    def changed(self, items: Iterable[Item]) -> None:
        """Items were taken into what we hold."""
        for item in items:
            self._changed[item.key] = self.machine.turn.now

    def tick(self) -> None:
        machine, now = self.machine, self.machine.turn.now
        digest = wire.Digest(standing=machine.standing.digest, held=machine.book.digest)
        for peer in machine.connected():
            if now - self._compared.get(peer, 0.0) >= EACH_S:
                self._compared[peer] = now
                machine.greet(peer)
                machine.send(peer, Frame(digest=digest))

    def on_digest(self, peer: str, digest: wire.Digest) -> None:
        machine = self.machine
        standing = digest.standing != machine.standing.digest
        held = digest.held != machine.book.digest and machine.seats.full
        if not standing and not held:
            self._alike[peer] = machine.turn.now
            return
        ranges = wire.Ranges(held=machine.book.range_digests if held else (), full=machine.seats.full)
        if standing:
            ranges.standing.extend(machine.standing.range_digests)
        machine.send(peer, Frame(ranges=ranges))

    def on_ranges(self, peer: str, ranges: wire.Ranges) -> None:
        """A peer's digests by range: it gets what we have in those that differ."""
        machine = self.machine
        standing = machine.standing.items_in_differing_ranges(ranges.standing)
        if standing:
            machine.send(peer, Frame(standing=wire.Standing(items=standing)))
        if not machine.seats.full:
            return
        now = machine.turn.now
        self._credit = min(BYTES_S, self._credit + BYTES_S * (now - self._credited))
        self._credited = now
        items: list[Item] = []
        missed = machine.book.items_in_differing_ranges(ranges.held)
        # Those after the last one handed over come first: a range larger than the bound is gone through, too.
        at = self._at.get(peer, "")
        for item in sorted(missed, key=lambda item: (item.key <= at, item.key)):
            if self._credit <= 0.0:
                break  # the rest when they compare again
            size = item.ByteSize()
            self._credit -= size
            self.handed += size
            items.append(item)
        if items:
            self._at[peer] = items[-1].key
            machine.send(peer, Frame(repair=wire.Repair(items=items)))

    def owed(self) -> list[Owed]:
        """What each other holder of a seat misses."""
        machine, now = self.machine, self.machine.turn.now
        told = []
        for holder in machine.seats.holders():
            if holder == machine.address:
                continue
            peer = machine.peers.get(holder)
            alike = self._alike.get(holder, -1.0)
            full = peer is not None and peer.full
            # One that is connected has all that came before it last compared alike; an empty one has nothing.
            missed = [
                item
                for key, item in machine.book.items.items()
                if not full or self._changed.get(key, 0.0) > alike
            ]
            told.append(
                Owed(
                    holder,
                    peer is not None and peer.up,
                    full,
                    len(missed),
                    sum(item.ByteSize() for item in missed),
                    max(0.0, now - alike) if alike >= 0.0 else 0.0,
                )
            )
        return told
