"""Contact with a majority, confirmed by round trips.

A process that was frozen, or whose links are dead without its knowing, still believes that its peers are
there. So what it knows is handed out only while a majority has lately answered a question of its own: the
age of a confirmation counts from when the question was sent, and an answer that was on its way for long, or
lay in a buffer while the process stood still, confirms nothing new. Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

PROBE_INTERVAL_S = 0.3  # while contact is fresh; at each tick otherwise
MAX_OPEN_PROBES = 8  # questions whose answers still count
FRESH_AGE_S = 1.0  # a new session is taken only on a confirmation that is no older
LOST_AGE_S = 1.7  # sessions that stand are ended when the latest confirmation is older


@dataclass(slots=True)
class ProbeRound:
    """One question to all voters: when it was sent, and who has answered."""

    sent_at: float
    acks: Quorum = field(default_factory=Quorum)


class QuorumCheck:
    """The part of the interlocking that keeps asking whether a majority is there."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._number = machine.rng.getrandbits(48)  # not those of an earlier process at our address
        self._rounds: dict[int, ProbeRound] = {}
        self._last_probe_at = float("-inf")
        self._confirmed_at = float("-inf")

    def age(self, now: float) -> float:
        """Seconds since a question was sent that a majority has answered; infinite if none ever was."""
        return now - self._confirmed_at

    def fresh(self, now: float) -> bool:
        """Whether what we know may be handed to somebody new."""
        return self.age(now) <= FRESH_AGE_S

    def lost(self, now: float) -> bool:
        """Whether a majority may have decided things without us for too long."""
        return self.age(now) > LOST_AGE_S

    def tick(self) -> None:
        machine, now = self._machine, self._machine.step.now
        if not machine.has_majority() or (self.fresh(now) and now - self._last_probe_at < PROBE_INTERVAL_S):
            return
        self._last_probe_at = now
        self._number += 1
        self._rounds[self._number] = ProbeRound(now)
        while len(self._rounds) > MAX_OPEN_PROBES:
            del self._rounds[min(self._rounds)]
        for voter in machine.voters():
            machine.send(voter, Frame(contact=wire.QuorumProbe(number=self._number)))

    def on_probe(self, peer: str, contact: wire.QuorumProbe) -> None:
        """Only who counts in a majority answers."""
        machine = self._machine
        if machine.voter_table.full:
            contacted = wire.QuorumProbeAck(number=contact.number, mark=machine.voter_view())
            machine.send(peer, Frame(contacted=contacted))

    def on_probe_ack(self, peer: str, contacted: wire.QuorumProbeAck) -> None:
        question = self._rounds.get(contacted.number)
        if question is None:
            return
        question.acks.add(peer, contacted.mark)
        if question.acks.reached(self._machine.voter_table.slots):
            self._confirmed_at = max(self._confirmed_at, question.sent_at)
            del self._rounds[contacted.number]
