"""Leases for duties that only one control node may perform at a time, granted by a majority.

The holder counts from when it sent its request, a voter from when it granted it, and both allow for clocks
that drift apart by MAX_CLOCK_DRIFT, so no voter grants the duty to another node while the holder may still
believe that it holds it. Grants are not stored on disk: a process that has just started grants nothing
until any grant that it has forgotten has expired. Times are seconds.
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
MAX_CLOCK_DRIFT = 0.1  # fraction by which two clocks may drift apart over a lease
RENEW_INTERVAL_S = 0.5
MEMBER_EXPIRY = "sweep"  # reports the members of a lost control node as gone
MAINTENANCE = "possession"  # runs maintenance windows; only where they are enabled
DUTIES = (MEMBER_EXPIRY,)


@dataclass(slots=True)
class LeaseRound:
    """This node's latest request for a duty."""

    number: int
    asked_at: float
    grants: Quorum = field(default_factory=Quorum)


class Leases:
    """The component of the state machine that requests and grants leases."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self._rounds: dict[str, LeaseRound] = {}
        self._until: dict[str, float] = {}  # expiry of leases held by this node
        self._granted: dict[str, tuple[str, float]] = {}  # holder and expiry of granted leases
        self._last_number = machine.rng.getrandbits(48)

    def holds(self, duty: str, now: float) -> bool:
        """Whether this node holds the duty; checked before each step of it."""
        return now < self._until.get(duty, 0.0)

    def until(self, duty: str) -> float:
        """When this node's lease ends or ended; 0: never held."""
        return self._until.get(duty, 0.0)

    def tick(self) -> None:
        """Request the duties that this node holds, or all if it is the first voter."""
        machine, now = self._machine, self._machine.step.now
        if not machine.voter_table.full or machine.resigned or not machine.has_majority():
            return
        voters = machine.voters()
        for duty in machine.duties:
            round_ = self._rounds.get(duty)
            if round_ is not None and now - round_.asked_at < RENEW_INTERVAL_S:
                continue
            if not self.holds(duty, now) and voters[0] != machine.address:
                continue
            self._last_number += 1
            self._rounds[duty] = LeaseRound(self._last_number, now)
            for voter in voters:
                machine.send(voter, Frame(lease=wire.LeaseRequest(duty=duty, number=self._last_number)))

    def on_lease_request(self, peer: str, request: wire.LeaseRequest, voting_since: float) -> None:
        """Answer a request for a lease, possibly of this node.

        voting_since: when this process started or took its slot over, if that was later: the slot's
        earlier holder may have granted a lease that is not known here.
        """
        machine, now = self._machine, self._machine.step.now
        lease_s = LEASE_S * (1.0 + MAX_CLOCK_DRIFT)
        holder, until = self._granted.get(request.duty, ("", 0.0))
        ok = machine.is_voter(peer) and machine.voter_table.full and now - voting_since >= lease_s
        ok = ok and (holder == peer or now >= until)
        if ok:
            self._granted[request.duty] = peer, now + lease_s
        response = wire.LeaseResponse(
            duty=request.duty, number=request.number, ok=ok, mark=machine.voter_view()
        )
        machine.send(peer, Frame(leased=response))

    def on_lease_response(self, peer: str, response: wire.LeaseResponse) -> None:
        round_ = self._rounds.get(response.duty)
        if round_ is None or round_.number != response.number or not response.ok or self._machine.resigned:
            return
        round_.grants.add(peer, response.mark)
        if round_.grants.reached(self._machine.voter_table.slots):
            self._until[response.duty] = round_.asked_at + LEASE_S * (1.0 - MAX_CLOCK_DRIFT)

    def resign(self) -> None:
        self._until.clear()
