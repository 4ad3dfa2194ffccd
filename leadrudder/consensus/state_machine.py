"""The replicated state machine of one control node: voters, section owners and committed items.

Every key is a register of its own: the owner of its section gives a version its value once, under an epoch
that a majority of voters has promised, and the value is committed when a majority has it on disk. Items merge
by (epoch, version), so late and duplicate messages change nothing; what a claim has not found is discarded.

Inputs: start, tick, up, down, frame, change, read, resign. Each returns what to send, write and answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from leadrudder.configuration.item_store import ItemStore, newer
from leadrudder.configuration.items import VOTER_COUNT_KEY, read_voter_count
from leadrudder.consensus.accepted import (
    INSTALLED_RECORD_PREFIX,
    ITEM_RECORD_PREFIX,
    epochs_by_section,
    read_accepted,
)
from leadrudder.consensus.anti_entropy import AntiEntropy
from leadrudder.consensus.lease import DUTIES, Leases
from leadrudder.consensus.outputs import (
    SECTIONS,
    Answer,
    Committed,
    LogLine,
    Output,
    ResultCode,
    Send,
    Step,
    Write,
    section_of,
)
from leadrudder.consensus.ownership import SectionOwnership
from leadrudder.consensus.quorum import voter_view
from leadrudder.consensus.quorum_check import QuorumCheck
from leadrudder.consensus.reconfiguration import Reconfiguration
from leadrudder.consensus.requests import OperatorRequests
from leadrudder.consensus.voters import VOTERS_RECORD, Peer, VoterTable
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, VoterSlot

PROMISED_RECORD_PREFIX = "promised/"
__all__ = [
    "INSTALLED_RECORD_PREFIX",
    "ITEM_RECORD_PREFIX",
    "PROMISED_RECORD_PREFIX",
    "VOTERS_RECORD",
    "ControlStateMachine",
]


class ControlStateMachine:
    """The state machine.  address: this node's link address, which identifies it to its peers."""

    def __init__(
        self,
        address: str,
        zone: str,
        *,
        first_run: bool,
        seeds: tuple[str, ...],
        losses: int,
        rng: Random,
        records: dict[str, bytes],
        sections: int = SECTIONS,
        duties: tuple[str, ...] = DUTIES,
    ) -> None:
        self.duties = duties  # each done by one control node at a time
        self.sections = sections  # number of key partitions; the same in all processes
        self.address = address
        self.zone = zone
        self.first_run = first_run
        self.seeds = seeds
        self.bootstrap_voters = max(3, 2 * losses + 1) if len(seeds) >= 3 else max(1, len(seeds))
        self.rng = rng
        self.life = rng.getrandbits(48)
        self.step = Step()
        self.peers: dict[str, Peer] = {}
        self.voter_table = VoterTable(address)
        self.promised: dict[int, int] = {}
        self.accepted = read_accepted(records, sections)  # items that this node has accepted as a voter
        self.committed = ItemStore()  # items known to be on disk at a majority
        # Keys whose accepted item is newer than the committed one.
        self.uncommitted: dict[str, None] = dict.fromkeys(self.accepted.items)
        self.resigned = False
        self._started_at: float | None = None
        self.voting_since = 0.0  # start of the process, or of its voter slot if later
        self.reconfiguration = Reconfiguration(self)
        self.ownership = SectionOwnership(self)
        self.requests = OperatorRequests(self)
        self.leases = Leases(self)
        self.anti_entropy = AntiEntropy(self)
        self.quorum_check = QuorumCheck(self)
        self._restore(records)

    def _restore(self, records: dict[str, bytes]) -> None:
        for name, value in records.items():
            if name.startswith(PROMISED_RECORD_PREFIX):
                self.promised[int(name[len(PROMISED_RECORD_PREFIX) :])] = int(value)
        if VOTERS_RECORD in records:
            self.voter_table.restore(records[VOTERS_RECORD])

    # ------------------------------------------------------------ inputs

    def _begin(self, now: float) -> None:
        self.step.now, self.step.out = now, []
        if self._started_at is None:
            self._started_at = self.voting_since = now

    def _end(self) -> list[Output]:
        while self.step.inbox:
            self._dispatch(self.address, self.step.inbox.pop(0))
        return self.step.out

    def tick(self, now: float) -> list[Output]:
        """Called about ten times a second."""
        self._begin(now)
        self.reconfiguration.tick()
        self.ownership.tick()
        self.requests.tick()
        self.leases.tick()
        self.anti_entropy.tick()
        self.quorum_check.tick()
        return self._end()

    def up(self, peer: str, now: float) -> list[Output]:
        """A new link to a peer is up and carries no messages yet.

        It may come up before the end of an earlier link is noticed; messages on that one may be lost.
        """
        self._begin(now)
        if peer in self.peers:
            self.peers[peer].informed = False
        self.send_status(peer)
        return self._end()

    def down(self, peer: str, now: float) -> list[Output]:
        self._begin(now)
        known = self.peers.get(peer)
        if known is not None and known.up:
            known.up, known.full, known.informed, known.changed_at = False, False, False, now
        return self._end()

    def frame(self, peer: str, frame: Frame, now: float) -> list[Output]:
        """Handle a frame from a peer."""
        self._begin(now)
        self._dispatch(peer, frame)
        return self._end()

    def change(self, number: int, items: Iterable[Item], now: float, *, late: bool = False) -> list[Output]:
        """Propose items, all or none; an Answer with this number follows, now or later.

        late: the caller may have given up, and may have had another answer since.
        """
        self._begin(now)
        self.requests.change(number, list(items), late=late)
        return self._end()

    def read(self, number: int, now: float) -> list[Output]:
        """Linearizable read of all committed items; an Answer with this number follows."""
        self._begin(now)
        self.requests.read(number)
        return self._end()

    def resign(self, now: float) -> list[Output]:
        """This process is about to stop: release all sections and leases so that peers take over."""
        self._begin(now)
        self.resigned = True
        self.ownership.resign()
        self.leases.resign()
        for peer in self.connected():
            self.send_status(peer)
        return self._end()

    # ------------------------------------------------------------ shared by the components

    @property
    def started_at(self) -> float:
        """Time of this process's first input; 0 until then."""
        return self._started_at if self._started_at is not None else 0.0

    @property
    def desired_voters(self) -> int:
        """The committed number of voters; 0: never set by an operator, the bootstrap voters stay."""
        return read_voter_count(self.committed.items.get(VOTER_COUNT_KEY))

    def send(self, to: str, frame: Frame) -> None:
        if to == self.address:
            self.step.inbox.append(frame)
        else:
            self.step.out.append(Send(to, frame))

    def write(self, records: dict[str, bytes], then: Iterable[Send] = ()) -> None:
        self.step.out.append(Write(records, tuple(then)))

    def log(self, text: str) -> None:
        self.step.out.append(LogLine(text))

    def answer(self, number: int, code: ResultCode, items: Iterable[Item] = ()) -> None:
        self.step.out.append(Answer(number, code, tuple(items)))

    def section_of(self, key: str) -> int:
        return section_of(key, self.sections)

    def voter_view(self) -> wire.VoterView:
        """The voter slots as this node knows them, sent with each of its replies."""
        return voter_view(self.voter_table.slots, self.address)

    def connected(self) -> list[str]:
        return [address for address, peer in self.peers.items() if peer.up]

    def voters(self) -> list[str]:
        """Reachable holders of filled voter slots, in slot order; may include this node."""
        return [holder for holder in self.voter_table.holders() if self.is_voter(holder)]

    def is_voter(self, holder: str) -> bool:
        if holder == self.address:
            return self.voter_table.full
        peer = self.peers.get(holder)
        return peer is not None and peer.up and peer.full

    def has_majority(self) -> bool:
        return bool(self.voter_table.slots) and len(self.voters()) >= self.voter_table.majority

    def may_leave(self) -> bool:
        """Whether the reachable voters are a majority without this node, so that it can stop safely."""
        others = [holder for holder in self.voters() if holder != self.address]
        return not self.voter_table.full or len(others) >= self.voter_table.majority

    def accept(self, items: Iterable[Item]) -> dict[str, bytes]:
        """Merge items into the accepted ones; returns the records to write."""
        merged = self.accepted.merge(items)
        for item in merged:
            if newer(item, self.committed.items.get(item.key)):
                self.uncommitted[item.key] = None
        self.anti_entropy.on_accepted(merged)
        return {ITEM_RECORD_PREFIX + item.key: item.SerializeToString() for item in merged}

    def install(self, section: int, epoch: int) -> dict[str, bytes]:
        """Discard what a claim, whose complete state was accepted, lacks; returns the records to write."""
        if epoch <= self.accepted.installed.get(section, 0):
            return {}
        discarded = self.accepted.install(section, epoch)
        for key in discarded:
            self.uncommitted.pop(key, None)
        if discarded:
            self.log(f"discards {len(discarded)} items that no claim of section {section} has found")
        return {f"{INSTALLED_RECORD_PREFIX}{section}": str(epoch).encode()}

    def describe_voters(self) -> dict[str, Any]:
        """Voter slots, their holders and owned sections as this node sees them, for operators."""
        owned: dict[str, list[int]] = {}
        for section, (_, holder) in sorted(self.ownership.known_owners.items()):
            owned.setdefault(holder, []).append(section)
        return {
            "wanted": self.desired_voters or None,
            "majority": self.voter_table.majority,
            "seats": [
                {
                    "seat": index,
                    "holder": slot.holder,
                    "incarnation": slot.incarnation,
                    "state": self._slot_state(slot),
                    "sections": owned.get(slot.holder, []) if slot.holder else [],
                }
                for index, slot in sorted(self.voter_table.slots.items())
            ],
        }

    def _slot_state(self, slot: VoterSlot) -> str:
        if slot.closed:
            return "closed" if slot.settled else "closing"
        if self.is_voter(slot.holder):
            return "full"
        peer = self.peers.get(slot.holder)
        connected = slot.holder == self.address or (peer is not None and peer.up)
        return "empty" if connected else "not connected"

    def promise_records(self) -> dict[str, bytes]:
        """The records of all promised epochs."""
        return {f"{PROMISED_RECORD_PREFIX}{s}": str(e).encode() for s, e in self.promised.items()}

    def mark_committed(self, items: Iterable[Item], tell: bool = True) -> None:
        """Record that items are on disk at a majority; tell: forward them to the peers."""
        merged = self.committed.merge(items)
        if not merged:
            return
        for item in merged:
            held = self.accepted.items.get(item.key)
            if held is None or not newer(held, item):
                self.uncommitted.pop(item.key, None)
        self.step.out.append(Committed(tuple(merged)))
        if tell:
            for peer in self.connected():
                self.send(peer, Frame(standing=wire.CommittedItems(items=merged)))

    # ------------------------------------------------------------ frames

    def _dispatch(self, peer: str, frame: Frame) -> None:
        kind = frame.WhichOneof("body")
        if kind == "greeting" and peer == self.address:
            self.reconfiguration.on_slot_written()
        elif kind == "greeting":
            self._on_peer_status(peer, frame.greeting)
        elif kind == "founding":
            self.reconfiguration.on_bootstrap(frame.founding)
        elif kind == "claim":
            self.reconfiguration.on_slot_claim(peer, frame.claim)
        elif kind == "grant":
            self.reconfiguration.on_slot_grant(peer, frame.grant)
        elif kind == "fill":
            self.reconfiguration.on_slot_transfer(peer, frame.fill)
        elif kind == "filled":
            self.reconfiguration.on_slot_transfer_ack(peer, frame.filled)
        elif kind == "hand":
            self.ownership.on_handover(peer, frame.hand)
        elif kind == "prepare":
            self._on_prepare(peer, frame.prepare)
        elif kind == "promise":
            self.ownership.on_promise(peer, frame.promise)
        elif kind == "copy":
            self._on_replicate(peer, frame.copy)
        elif kind == "copied":
            self.ownership.on_replicate_ack(peer, frame.copied)
        elif kind == "owner":
            self.ownership.on_announcement(peer, frame.owner)
        elif kind == "ask":
            self.ownership.on_change_request(peer, frame.ask)
        elif kind == "told":
            self.requests.on_change_response(peer, frame.told)
        elif kind == "read":
            self._on_read(peer, frame.read)
        elif kind == "reading":
            self.requests.on_read_response(peer, frame.reading)
        elif kind == "standing":
            self.mark_committed(frame.standing.items)
            self._accept_and_write(frame.standing.items)
        elif kind == "lease":
            self.leases.on_lease_request(peer, frame.lease, self.voting_since)
        elif kind == "leased":
            self.leases.on_lease_response(peer, frame.leased)
        elif kind == "repair":
            self._accept_and_write(frame.repair.items)
        elif kind == "digest":
            self.anti_entropy.on_digest(peer, frame.digest)
        elif kind == "ranges":
            self.anti_entropy.on_ranges(peer, frame.ranges)
        elif kind == "contact":
            self.quorum_check.on_probe(peer, frame.contact)
        elif kind == "contacted":
            self.quorum_check.on_probe_ack(peer, frame.contacted)

    def send_status(self, peer: str) -> None:
        status = wire.PeerStatus(
            address=self.address,
            zone=self.zone,
            first_run=self.first_run,
            full=self.voter_table.full and not self.resigned,
            resigned=self.resigned,
            seats=list(self.voter_table.slots.values()),
            life=self.life,
            owned=[
                wire.PromisedEpoch(section=s, epoch=e) for s, e in self.ownership.owned_sections().items()
            ],
            installed=self.accepted.installed_epochs(),
        )
        self.send(peer, Frame(greeting=status))

    def _on_peer_status(self, peer: str, status: wire.PeerStatus) -> None:
        known = self.peers.setdefault(peer, Peer(peer))
        # A restarted peer may be back before the end of its link is noticed; it owns and knows nothing.
        restarted = known.life != status.life
        if restarted and known.life:
            self.ownership.on_peer_restarted(peer)
        known.life = status.life
        needs_state = restarted or not known.informed
        if needs_state:
            known.changed_at = self.step.now
        known.informed = True
        known.up, known.zone, known.resigned = True, status.zone, status.resigned
        known.full, known.first_run = status.full, status.first_run
        known.installed = epochs_by_section(status.installed)
        if status.full or not self.voter_table.slots:
            self.reconfiguration.merge_slots(status.seats, peer if status.full else "")
        if needs_state:
            if self.committed.items:
                self.send(peer, Frame(standing=wire.CommittedItems(items=self.committed.items.values())))
            self.ownership.announce(peer)
        self.ownership.on_owned_sections(peer, {owned.section: owned.epoch for owned in status.owned})
        self.ownership.on_peer_connected(peer)

    # ------------------------------------------------------------ acceptor

    def _accepts_from(self, peer: str) -> bool:
        return self.voter_table.full and self.is_voter(peer)

    def _on_prepare(self, peer: str, prepare: wire.Prepare) -> None:
        section, epoch = prepare.section, prepare.epoch
        promised = self.promised.get(section, 0)
        promise = wire.Promise(section=section, epoch=epoch, promised=promised)
        if not self._accepts_from(peer) or epoch <= promised:
            self.send(peer, Frame(promise=promise))
            return
        self.promised[section] = epoch
        self.ownership.on_higher_epoch(section, epoch)
        promise.ok, promise.promised = True, epoch
        promise.mark.CopyFrom(self.voter_view())
        promise.items.extend(self.ownership.items_of(section))
        promise.installed = self.accepted.installed.get(section, 0)
        self.write(
            {f"{PROMISED_RECORD_PREFIX}{section}": str(epoch).encode()}, [Send(peer, Frame(promise=promise))]
        )

    def _on_replicate(self, peer: str, replicate: wire.Replicate) -> None:
        promised = self.promised.get(replicate.section, 0)
        ack = wire.ReplicateAck(number=replicate.number, promised=promised)
        if not self._accepts_from(peer) or replicate.epoch < promised:
            self.send(peer, Frame(copied=ack))
            return
        records = self.accept(replicate.items)
        if replicate.complete:
            records |= self.install(replicate.section, replicate.epoch)
        if replicate.epoch > promised:
            self.promised[replicate.section] = replicate.epoch
            records[f"{PROMISED_RECORD_PREFIX}{replicate.section}"] = str(replicate.epoch).encode()
        ack.ok = True
        ack.mark.CopyFrom(self.voter_view())
        self.write(records, [Send(peer, Frame(copied=ack))])

    def _on_read(self, peer: str, request: wire.ReadRequest) -> None:
        response = wire.ReadResponse(number=request.number, ok=self.voter_table.full)
        if response.ok:
            response.items.extend(self.accepted.items.values())
            response.installed.extend(self.accepted.installed_epochs())
            response.mark.CopyFrom(self.voter_view())
        self.write({}, [Send(peer, Frame(reading=response))])

    # ------------------------------------------------------------ anti-entropy

    def _accept_and_write(self, items: Iterable[Item]) -> None:
        """Store items that a peer committed or sent for repair."""
        if self.voter_table.full and (records := self.accept(items)):
            self.write(records)
