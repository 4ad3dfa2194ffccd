"""Duties that one signalbox does at a time: a lease that a majority granted, and that its holder ends
before it does.

The holder counts from the moment it asked, a granter from the moment it granted, and both leave room for
clocks that run apart by DRIFT; so no granter gives the duty to another while the holder may still think
that it has it. Grants are not kept on disk: a process that has just started grants nothing until one it
forgot would be over. Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import ControlStateMachine

LEASE_S = 2.0
MAX_CLOCK_DRIFT = 0.1  # part by which two clocks may run apart over a lease
RENEW_INTERVAL_S = 0.5
MEMBER_EXPIRY = "sweep"  # tells members of a signalbox that is gone as gone
MAINTENANCE = "possession"  # carries out maintenance windows; where they are on
DUTIES = (MEMBER_EXPIRY,)


@dataclass(slots=True)
class LeaseRound:
    """Our latest question for a duty."""

    number: int
    asked_at: float
    grants: Quorum = field(default_factory=Quorum)


class Leases:
    """The part of the interlocking that asks for leases and grants them."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._rounds: dict[str, LeaseRound] = {}
        self._until: dict[str, float] = {}  # what we hold
        self._granted: dict[str, tuple[str, float]] = {}  # to whom, and until when no other gets it
        self._last_number = machine.rng.getrandbits(48)

    def holds(self, duty: str, now: float) -> bool:
        """Whether the duty is ours: to be asked at each step of it."""
        return now < self._until.get(duty, 0.0)

    def until(self, duty: str) -> float:
        """When the duty ends that we hold or held; 0: never held."""
        return self._until.get(duty, 0.0)

    def tick(self) -> None:
        """Ask where the duty is ours, or we are the first who could have it."""
        machine, now = self._machine, self._machine.step.now
        if not machine.voter_table.full or machine.resigned or not machine.has_majority():
            return
        voters = machine.voters()
        for duty in machine.duties:
            asking = self._rounds.get(duty)
            if asking is not None and now - asking.asked_at < RENEW_INTERVAL_S:
                continue
            if not self.holds(duty, now) and voters[0] != machine.address:
                continue
            self._last_number += 1
            self._rounds[duty] = LeaseRound(self._last_number, now)
            for voter in voters:
                machine.send(voter, Frame(lease=wire.LeaseRequest(duty=duty, number=self._last_number)))

    def on_lease_request(self, peer: str, lease: wire.LeaseRequest, started: float) -> None:
        """Another asks, or we ourselves.  started: when this process did, or took its seat over if that was
        later: who held the seat before may just have granted what we know nothing of."""
        machine, now = self._machine, self._machine.step.now
        span = LEASE_S * (1.0 + MAX_CLOCK_DRIFT)
        holder, until = self._granted.get(lease.duty, ("", 0.0))
        ok = machine.is_voter(peer) and machine.voter_table.full and now - started >= span
        ok = ok and (holder == peer or now >= until)
        if ok:
            self._granted[lease.duty] = peer, now + span
        leased = wire.LeaseResponse(duty=lease.duty, number=lease.number, ok=ok, mark=machine.voter_view())
        machine.send(peer, Frame(leased=leased))

    def on_lease_response(self, peer: str, leased: wire.LeaseResponse) -> None:
        asking = self._rounds.get(leased.duty)
        if asking is None or asking.number != leased.number or not leased.ok or self._machine.resigned:
            return
        asking.grants.add(peer, leased.mark)
        if asking.grants.reached(self._machine.voter_table.slots):
            self._until[leased.duty] = asking.asked_at + LEASE_S * (1.0 - MAX_CLOCK_DRIFT)

    def resign(self) -> None:
        self._until.clear()
