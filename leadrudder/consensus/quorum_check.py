"""Confirms contact with a majority by round trips.

A process that was frozen, or whose links are dead unnoticed, still believes that its peers are reachable. So
it serves its state only while a majority has recently answered one of its probes. The age of a confirmation
counts from when its probe was sent: an answer that was delayed, or that lay in a buffer while the process was
frozen, confirms nothing new. Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

PROBE_INTERVAL_S = 0.3  # while the confirmation is fresh; otherwise at each tick
MAX_OPEN_PROBES = 8  # probes whose answers still count
FRESH_AGE_S = 1.0  # new sessions are accepted only on a confirmation no older than this
LOST_AGE_S = 1.7  # existing sessions are ended when the last confirmation is older


@dataclass(slots=True)
class ProbeRound:
    """One probe of all voters: when it was sent, and who has answered."""

    sent_at: float
    acks: Quorum = field(default_factory=Quorum)


class QuorumCheck:
    """The component of the state machine that probes for a majority."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._number = machine.rng.getrandbits(48)  # not a number of an earlier process at this address
        self._rounds: dict[int, ProbeRound] = {}
        self._last_probe_at = float("-inf")
        self._confirmed_at = float("-inf")

    def age(self, now: float) -> float:
        """Seconds since the last probe that a majority answered was sent; infinite if there is none."""
        return now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Whether new sessions may be served."""
        return self.age(now) <= FRESH_AGE_S

    def is_lost(self, now: float) -> bool:
        """Whether a majority may have made decisions without this node for too long."""
        return self.age(now) > LOST_AGE_S

    def tick(self) -> None:
        machine, now = self._machine, self._machine.step.now
        if not machine.has_majority() or (
            self.is_fresh(now) and now - self._last_probe_at < PROBE_INTERVAL_S
        ):
            return
        self._last_probe_at = now
        self._number += 1
        self._rounds[self._number] = ProbeRound(now)
        while len(self._rounds) > MAX_OPEN_PROBES:
            del self._rounds[min(self._rounds)]
        for voter in machine.voters():
            machine.send(voter, Frame(contact=wire.QuorumProbe(number=self._number)))

    def on_probe(self, peer: str, probe: wire.QuorumProbe) -> None:
        """Answer a probe; only voters do."""
        machine = self._machine
        if machine.voter_table.full:
            ack = wire.QuorumProbeAck(number=probe.number, mark=machine.voter_view())
            machine.send(peer, Frame(contacted=ack))

    def on_probe_ack(self, peer: str, ack: wire.QuorumProbeAck) -> None:
        probe = self._rounds.get(ack.number)
        if probe is None:
            return
        probe.acks.add(peer, ack.mark)
        if probe.acks.reached(self._machine.voter_table.slots):
            self._confirmed_at = max(self._confirmed_at, probe.sent_at)
            del self._rounds[ack.number]
