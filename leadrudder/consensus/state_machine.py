"""The interlocking of one signalbox: seats, owners of sections, and what stands.

Every key is a register of its own: an owner gives a version its value once, under an epoch that a majority
of seats has promised it, and the value stands when a majority has it on disk. Merging is by (version,
epoch), so what comes late or twice changes nothing.

Inputs: start, tick, up, down, frame, change, read, resign. Each returns what to send, write and answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from leadrudder.configuration.item_store import ItemStore, newer
from leadrudder.configuration.items import VOTER_COUNT_KEY, read_voter_count
from leadrudder.consensus.anti_entropy import Repair
from leadrudder.consensus.lease import DUTIES, Leases
from leadrudder.consensus.outputs import (
    SECTIONS,
    Answer,
    Code,
    Note,
    Output,
    Send,
    Stands,
    Turn,
    Write,
    section_of,
)
from leadrudder.consensus.ownership import Owner
from leadrudder.consensus.quorum import mark
from leadrudder.consensus.quorum_check import Contact
from leadrudder.consensus.reconfiguration import Seating
from leadrudder.consensus.requests import Requests
from leadrudder.consensus.voters import SEATS_RECORD, Peer, Seats
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, Seat

PROMISED_RECORD, ITEM_RECORD = "promised/", "item/"
__all__ = ["ITEM_RECORD", "PROMISED_RECORD", "SEATS_RECORD", "Interlocking"]


class Interlocking:
    """The state machine.  address: this signalbox's link address, its name among the others."""

    def __init__(
        self,
        address: str,
        zone: str,
        *,
        first_run: bool,
        seeds: tuple[str, ...],
        losses: int,
        rng: Random,
        kept: dict[str, bytes],
        sections: int = SECTIONS,
        duties: tuple[str, ...] = DUTIES,
    ) -> None:
        self.duties = duties  # that one signalbox does at a time
        self.sections = sections  # the same in all processes
        self.address = address
        self.zone = zone
        self.first_run = first_run
        self.seeds = seeds
        self.wanted = max(3, 2 * losses + 1) if len(seeds) >= 3 else max(1, len(seeds))
        self.rng = rng
        self.life = rng.getrandbits(48)
        self.turn = Turn()
        self.peers: dict[str, Peer] = {}
        self.seats = Seats(address)
        self.promised: dict[int, int] = {}
        self.book = ItemStore()  # what this seat holds
        self.standing = ItemStore()  # what a majority holds
        self.unsettled: dict[str, None] = {}  # keys of which the book holds something newer than what stands
        self.keys_by_section: dict[int, dict[str, None]] = {}  # of the book
        self.resigned = False
        self._began: float | None = None
        self.counts_since = 0.0  # when we started, or took our seat over if that was later
        self.seating = Seating(self)
        self.owner = Owner(self)
        self.requests = Requests(self)
        self.leases = Leases(self)
        self.repair = Repair(self)
        self.contact = Contact(self)
        self._restore(kept)

    def _restore(self, kept: dict[str, bytes]) -> None:
        for name, value in kept.items():
            if name.startswith(ITEM_RECORD):
                self._take_into_book([Item.FromString(value)])
            elif name.startswith(PROMISED_RECORD):
                self.promised[int(name[len(PROMISED_RECORD) :])] = int(value)
        if SEATS_RECORD in kept:
            self.seats.restore(kept[SEATS_RECORD])

    # ------------------------------------------------------------ inputs

    def _begin(self, now: float) -> None:
        self.turn.now, self.turn.out = now, []
        if self._began is None:
            self._began = self.counts_since = now

    def _end(self) -> list[Output]:
        while self.turn.inbox:
            self._take(self.address, self.turn.inbox.pop(0))
        return self.turn.out

    def tick(self, now: float) -> list[Output]:
        """To be called some ten times a second."""
        self._begin(now)
        self.seating.tick()
        self.owner.tick()
        self.requests.tick()
        self.leases.tick()
        self.repair.tick()
        self.contact.tick()
        return self._end()

    def up(self, peer: str, now: float) -> list[Output]:
        """A link to another signalbox stands, and nothing was said on it yet.

        It may come before the end of an earlier one was noticed: what was said there may be lost.
        """
        self._begin(now)
        if peer in self.peers:
            self.peers[peer].told = False
        self.greet(peer)
        return self._end()

    def down(self, peer: str, now: float) -> list[Output]:
        self._begin(now)
        known = self.peers.get(peer)
        if known is not None and known.up:
            known.up, known.full, known.told, known.since = False, False, False, now
        return self._end()

    def frame(self, peer: str, frame: Frame, now: float) -> list[Output]:
        """A frame of another signalbox's."""
        self._begin(now)
        self._take(peer, frame)
        return self._end()

    def change(self, number: int, items: Iterable[Item], now: float) -> list[Output]:
        """Have items taken, all or none; an Answer with this number follows, now or later."""
        self._begin(now)
        self.requests.change(number, list(items))
        return self._end()

    def read(self, number: int, now: float) -> list[Output]:
        """What stands, never older than what was acknowledged; an Answer follows."""
        self._begin(now)
        self.requests.read(number)
        return self._end()

    def resign(self, now: float) -> list[Output]:
        """This process is about to end: own nothing any more, and let others take over."""
        self._begin(now)
        self.resigned = True
        self.owner.resign()
        self.leases.resign()
        for peer in self.connected():
            self.greet(peer)
        return self._end()

    # ------------------------------------------------------------ what its parts use

    @property
    def began(self) -> float:
        """When this process had its first input; until then 0."""
        return self._began if self._began is not None else 0.0

    @property
    def wished(self) -> int:
        """How many seats the operator wants, as it stands; 0: it was never said, and they stay as founded."""
        return read_voter_count(self.standing.items.get(VOTER_COUNT_KEY))

    def send(self, to: str, frame: Frame) -> None:
        if to == self.address:
            self.turn.inbox.append(frame)
        else:
            self.turn.out.append(Send(to, frame))

    def write(self, records: dict[str, bytes], then: Iterable[Send] = ()) -> None:
        self.turn.out.append(Write(records, tuple(then)))

    def note(self, text: str) -> None:
        self.turn.out.append(Note(text))

    def answer(self, number: int, code: Code, items: Iterable[Item] = ()) -> None:
        self.turn.out.append(Answer(number, code, tuple(items)))

    def section_of(self, key: str) -> int:
        return section_of(key, self.sections)

    def mark(self) -> wire.Mark:
        """For which seat a reply of ours counts."""
        return mark(self.seats.table, self.address)

    def connected(self) -> list[str]:
        return [address for address, peer in self.peers.items() if peer.up]

    def voters(self) -> list[str]:
        """Full holders of seats that can be reached, in the order of their seats; we may be one."""
        return [holder for holder in self.seats.holders() if self.votes(holder)]

    def votes(self, holder: str) -> bool:
        if holder == self.address:
            return self.seats.full
        peer = self.peers.get(holder)
        return peer is not None and peer.up and peer.full

    def has_majority(self) -> bool:
        return bool(self.seats.table) and len(self.voters()) >= self.seats.majority

    def may_leave(self) -> bool:
        """Whether the others that can be reached are a majority without us: then our end costs nothing."""
        others = [holder for holder in self.voters() if holder != self.address]
        return not self.seats.full or len(others) >= self.seats.majority

    def keep(self, items: Iterable[Item]) -> dict[str, bytes]:
        """Take items into what this seat holds; returns the records to be written."""
        taken = self._take_into_book(items)
        self.repair.changed(taken)
        return {ITEM_RECORD + item.key: item.SerializeToString() for item in taken}

    def _take_into_book(self, items: Iterable[Item]) -> list[Item]:
        taken = self.book.merge(items)
        for item in taken:
            self.keys_by_section.setdefault(self.section_of(item.key), {})[item.key] = None
            if newer(item, self.standing.items.get(item.key)):
                self.unsettled[item.key] = None
        return taken

    def told_core(self) -> dict[str, Any]:
        """Seats, their holders and what they own, as this process sees them: for operators."""
        owned: dict[str, list[int]] = {}
        for section, (_, holder) in sorted(self.owner.known.items()):
            owned.setdefault(holder, []).append(section)
        return {
            "wanted": self.wished or None,
            "majority": self.seats.majority,
            "seats": [
                {
                    "seat": index,
                    "holder": seat.holder,
                    "incarnation": seat.incarnation,
                    "state": self._seat_state(seat),
                    "sections": owned.get(seat.holder, []) if seat.holder else [],
                }
                for index, seat in sorted(self.seats.table.items())
            ],
        }

    def _seat_state(self, seat: Seat) -> str:
        if seat.closed:
            return "closed" if seat.settled else "closing"
        if self.votes(seat.holder):
            return "full"
        peer = self.peers.get(seat.holder)
        here = seat.holder == self.address or (peer is not None and peer.up)
        return "empty" if here else "not connected"

    def whole_book(self) -> dict[str, bytes]:
        """The records of all that this seat holds."""
        return {ITEM_RECORD + item.key: item.SerializeToString() for item in self.book.items.values()}

    def promises(self) -> dict[str, bytes]:
        """The records of the epochs that were promised."""
        return {f"{PROMISED_RECORD}{s}": str(e).encode() for s, e in self.promised.items()}

    def stands(self, items: Iterable[Item], tell: bool = True) -> None:
        """Items are known to be on disk at a majority."""
        taken = self.standing.merge(items)
        if not taken:
            return
        for item in taken:
            held = self.book.items.get(item.key)
            if held is None or not newer(held, item):
                self.unsettled.pop(item.key, None)
        self.turn.out.append(Stands(tuple(taken)))
        if tell:
            for peer in self.connected():
                self.send(peer, Frame(standing=wire.Standing(items=taken)))

    # ------------------------------------------------------------ frames

    def _take(self, peer: str, frame: Frame) -> None:
        kind = frame.WhichOneof("body")
        if kind == "greeting" and peer == self.address:
            self.seating.seated()
        elif kind == "greeting":
            self._on_greeting(peer, frame.greeting)
        elif kind == "founding":
            self.seating.on_founding(frame.founding)
        elif kind == "claim":
            self.seating.on_claim(peer, frame.claim)
        elif kind == "grant":
            self.seating.on_grant(peer, frame.grant)
        elif kind == "fill":
            self.seating.on_fill(peer, frame.fill)
        elif kind == "filled":
            self.seating.on_filled(peer, frame.filled)
        elif kind == "hand":
            self.owner.on_hand(peer, frame.hand)
        elif kind == "prepare":
            self._on_prepare(peer, frame.prepare)
        elif kind == "promise":
            self.owner.on_promise(peer, frame.promise)
        elif kind == "copy":
            self._on_copy(peer, frame.copy)
        elif kind == "copied":
            self.owner.on_copied(peer, frame.copied)
        elif kind == "owner":
            self.owner.on_owner(peer, frame.owner)
        elif kind == "ask":
            self.owner.on_ask(peer, frame.ask)
        elif kind == "told":
            self.requests.on_told(peer, frame.told)
        elif kind == "read":
            self._on_read(peer, frame.read)
        elif kind == "reading":
            self.requests.on_reading(peer, frame.reading)
        elif kind == "standing":
            self.stands(frame.standing.items)
            self._hold(frame.standing.items)
        elif kind == "lease":
            self.leases.on_lease(peer, frame.lease, self.counts_since)
        elif kind == "leased":
            self.leases.on_leased(peer, frame.leased)
        elif kind == "repair":
            self._hold(frame.repair.items)
        elif kind == "digest":
            self.repair.on_digest(peer, frame.digest)
        elif kind == "ranges":
            self.repair.on_ranges(peer, frame.ranges)
        elif kind == "contact":
            self.contact.on_contact(peer, frame.contact)
        elif kind == "contacted":
            self.contact.on_contacted(peer, frame.contacted)

    def greet(self, peer: str) -> None:
        greeting = wire.Greeting(
            address=self.address,
            zone=self.zone,
            first_run=self.first_run,
            full=self.seats.full and not self.resigned,
            resigned=self.resigned,
            seats=list(self.seats.table.values()),
            life=self.life,
            owned=[wire.Promised(section=s, epoch=e) for s, e in self.owner.owned().items()],
        )
        self.send(peer, Frame(greeting=greeting))

    def _on_greeting(self, peer: str, greeting: wire.Greeting) -> None:
        known = self.peers.setdefault(peer, Peer(peer))
        # A process may be back before the end of its link was noticed: it owns nothing and was told nothing.
        restarted = known.life != greeting.life
        if restarted and known.life:
            self.owner.restarted(peer)
        known.life = greeting.life
        fresh = restarted or not known.told
        if fresh:
            known.since = self.turn.now
        known.told = True
        known.up, known.zone, known.resigned = True, greeting.zone, greeting.resigned
        known.full, known.first_run = greeting.full, greeting.first_run
        if greeting.full or not self.seats.table:
            self.seating.learn(greeting.seats, peer if greeting.full else "")
        if fresh:
            if self.standing.items:
                self.send(peer, Frame(standing=wire.Standing(items=self.standing.items.values())))
            self.owner.tell(peer)
        self.owner.on_owned(peer, {owned.section: owned.epoch for owned in greeting.owned})
        self.owner.on_peer(peer)

    # ------------------------------------------------------------ the part that accepts

    def _may_ask(self, peer: str) -> bool:
        return self.seats.full and self.votes(peer)

    def _on_prepare(self, peer: str, prepare: wire.Prepare) -> None:
        section, epoch = prepare.section, prepare.epoch
        promised = self.promised.get(section, 0)
        promise = wire.Promise(section=section, epoch=epoch, promised=promised)
        if not self._may_ask(peer) or epoch <= promised:
            self.send(peer, Frame(promise=promise))
            return
        self.promised[section] = epoch
        self.owner.overtaken(section, epoch)
        promise.ok, promise.promised = True, epoch
        promise.mark.CopyFrom(self.mark())
        promise.items.extend(self.owner.of_section(section))
        self.write({f"{PROMISED_RECORD}{section}": str(epoch).encode()}, [Send(peer, Frame(promise=promise))])

    def _on_copy(self, peer: str, copy: wire.Copy) -> None:
        promised = self.promised.get(copy.section, 0)
        copied = wire.Copied(number=copy.number, promised=promised)
        if not self._may_ask(peer) or copy.epoch < promised:
            self.send(peer, Frame(copied=copied))
            return
        records = self.keep(copy.items)
        if copy.epoch > promised:
            self.promised[copy.section] = copy.epoch
            records[f"{PROMISED_RECORD}{copy.section}"] = str(copy.epoch).encode()
        copied.ok = True
        copied.mark.CopyFrom(self.mark())
        self.write(records, [Send(peer, Frame(copied=copied))])

    def _on_read(self, peer: str, read: wire.Read) -> None:
        reading = wire.Reading(number=read.number, ok=self.seats.full)
        if reading.ok:
            reading.items.extend(self.book.items.values())
            reading.mark.CopyFrom(self.mark())
        self.write({}, [Send(peer, Frame(reading=reading))])

    # ------------------------------------------------------------ repair

    def _hold(self, items: Iterable[Item]) -> None:
        """What others have kept for us."""
        if self.seats.full and (records := self.keep(items)):
            self.write(records)
