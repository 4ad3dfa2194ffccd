"""Owning sections: claimed under a rising epoch, changed with a copy at a majority, handed over."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadrudder.configuration.item_store import newer
from leadrudder.configuration.items import SEQUENTIAL_PREFIXES
from leadrudder.consensus.outputs import Code
from leadrudder.consensus.quorum import Quorum
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item

if TYPE_CHECKING:
    from leadrudder.consensus.state_machine import Interlocking

CLAIM_S = 0.8  # for a majority to promise, and to have the copies of what was found
AGAIN_S = 0.25  # pause after a claim that failed, and up to as much again
SETTLED_S = 0.2  # an owner that was lost for less may come back
TWO_OTHERS_S = 0.25  # to wait for a second copy elsewhere once a majority has it
RESERVED_S = 1.0  # a version that was checked is kept for its call so long
WITHDRAWN_S = 3.0  # late asks of a call that was withdrawn are turned away for so long
EVEN_EACH_S = 1.0  # between sections that are handed over
SETTLE_EACH_S = 0.2  # how often it is looked for what was left half done
EARLIER_CALLS_MOST = 8  # overtaken calls of several items that a key remembers: 8 bytes each
COPY_AGAIN_S = 0.7  # a copy that was not answered is sent again


_NO_COPIES: dict[int, Item] = {}


@dataclass(slots=True)
class Section:
    """A section that we own, or try to."""

    epoch: int
    ready: bool = False
    until: float = 0.0  # when a claim that is not ready is given up
    promises: Quorum = field(default_factory=Quorum)
    preparing: bool = True
    waiting: list[tuple[str, wire.Ask]] = field(default_factory=list)


@dataclass(slots=True)
class Copying:
    """Items on their way to a majority's disks."""

    section: int
    items: list[Item]
    began: float
    sent: float
    have: Quorum = field(default_factory=Quorum)
    asked: list[tuple[str, int]] = field(default_factory=list)  # who waits for it, by number
    claim: bool = False  # what a claim found, rather than a change
    stood: bool = False


class Owner:
    """The part of the interlocking that owns."""

    def __init__(self, machine: Interlocking) -> None:
        self._machine = machine
        self.sections: dict[int, Section] = {}
        self.known: dict[int, tuple[int, str]] = {}  # the latest owner told of each section: epoch, holder
        self._copies: dict[int, Copying] = {}
        self._copies_of_key: dict[str, dict[int, Item]] = {}  # the items of these, by key and number
        self._numbers = machine.rng.getrandbits(48)  # not those of an earlier process at our address
        self._again: dict[int, float] = {}  # when a section may be claimed again
        self._missing: dict[int, float] = {}  # since when a section has no owner that can be reached
        self._seen: set[int] = set()  # sections whose owner has told us what stands, since we started
        self._settled = 0.0  # when it was last looked for what was left half done
        self._evened = 0.0  # when we last handed a section over
        # Versions checked for a call over several sections: by key and version, its id, and until when.
        self._reserved: dict[tuple[str, int], tuple[int, float]] = {}
        self._withdrawn: dict[int, float] = {}  # calls refused elsewhere, by id, and until when that is kept

    def complete(self) -> bool:
        """Whether all that stands has been told to this process: an owner says so after what it found."""
        return len(self._seen) == self._machine.sections

    def of_section(self, section: int) -> list[Item]:
        machine = self._machine
        return [machine.book.items[key] for key in machine.keys_by_section.get(section, ())]

    # ------------------------------------------------------------ who owns

    def holder(self, section: int) -> str | None:
        """Whom to ask for a section: its owner, else who is next to own it; None without a majority."""
        machine = self._machine
        if not machine.has_majority():
            return None
        voters = machine.voters()
        known = self.known.get(section)
        if known is not None and known[1] in voters:
            return known[1]
        return self.next_holder(section, voters)

    def next_holder(self, section: int, voters: list[str]) -> str:
        holders = self._machine.seats.holders()
        n = len(holders)
        order = [holders[(section + i) % n] for i in range(n)]
        return next(holder for holder in order if holder in voters)

    def tick(self) -> None:
        machine, now = self._machine, self._machine.turn.now
        voters = machine.voters() if machine.has_majority() else []
        for section in range(machine.sections):
            state = self.sections.get(section)
            if state is not None:
                if not state.ready and now >= state.until:
                    self._give_up(section)
                continue
            known = self.known.get(section)
            if not voters or (known is not None and known[1] in voters and known[1] != machine.address):
                self._missing.pop(section, None)
                continue
            since = self._missing.setdefault(section, now)
            if (
                machine.seats.full
                and not machine.resigned
                and self.next_holder(section, voters) == machine.address
                and now - since >= (SETTLED_S if known is not None else 0.0)
            ):
                self.claim(section)
        for number, copying in list(self._copies.items()):
            if not copying.stood and now - copying.sent >= COPY_AGAIN_S:
                copying.sent = now
                self._send_copies(number, copying, [v for v in voters if v not in copying.have])
            self._conclude(number, copying)
        self._forget_reserved(now)
        self._settle_found()
        self._even_out(voters)

    def _even_out(self, voters: list[str]) -> None:
        """Sections go where seats were added: who has most, two more than another, hands one over.

        Only where the operator has said how many seats there are to be, and in calm: everybody who has a
        seat is there, and every section has an owner.
        """
        machine, now = self._machine, self._machine.turn.now
        if not machine.wished or now - self._evened < EVEN_EACH_S or machine.resigned:
            return
        counts = dict.fromkeys(machine.seats.holders(), 0)
        for section in range(machine.sections):
            holder = self.known.get(section, (0, ""))[1]
            if holder not in counts:
                return
            counts[holder] += 1
        if len(voters) < len(counts):
            return
        rich, poor = max(counts, key=counts.__getitem__), min(counts, key=counts.__getitem__)
        mine = self.owned()
        if rich != machine.address or counts[rich] - counts[poor] < 2 or not mine:
            return
        self._evened = now
        section = max(mine)
        machine.note(f"hands section {section} over to {poor}")
        machine.send(poor, Frame(hand=wire.Hand(section=section, epoch=mine[section])))

    def on_hand(self, peer: str, hand: wire.Hand) -> None:
        """A section for us: it is claimed as any other, under a higher epoch."""
        if self.known.get(hand.section, (0, ""))[1] == peer and self._machine.votes(peer):
            self._see(hand.section, hand.epoch)
            self.claim(hand.section)

    def _settle_found(self) -> None:
        """What repair brought and does not stand is copied by its section's owner, under its own epoch.

        It was on its way when an earlier owner was lost; until it stands, reads wait for it.
        """
        machine, now = self._machine, self._machine.turn.now
        if not machine.unsettled or now < self._settled + SETTLE_EACH_S:
            return
        self._settled = now
        found: dict[int, list[Item]] = {}
        for key in machine.unsettled:
            state = self.sections.get(machine.section_of(key))
            if state is None or not state.ready or key in self._copies_of_key:
                continue
            again = Item()
            again.CopyFrom(machine.book.items[key])
            again.epoch = state.epoch
            found.setdefault(machine.section_of(key), []).append(again)
        for section, items in found.items():
            self._copy(section, items)

    def claim(self, section: int) -> None:
        """Phase one: a higher epoch, promised by a majority that tells what it holds."""
        machine, now = self._machine, self._machine.turn.now
        if section in self.sections or now < self._again.get(section, 0.0):
            return
        mine = machine.seats.mine()
        if mine is None or not machine.seats.full or machine.resigned:
            return
        highest = max(machine.promised.get(section, 0), self.known.get(section, (0, ""))[0])
        epoch = ((highest >> 8) + 1) << 8 | mine
        self.sections[section] = Section(epoch, until=now + CLAIM_S)
        for voter in machine.voters():
            machine.send(voter, Frame(prepare=wire.Prepare(section=section, epoch=epoch)))

    def on_promise(self, peer: str, promise: wire.Promise) -> None:
        machine = self._machine
        state = self.sections.get(promise.section)
        if state is None or state.epoch != promise.epoch or not state.preparing:
            return
        if not promise.ok:
            if promise.promised > state.epoch:
                self._see(promise.section, promise.promised)
                self._give_up(promise.section)
            return
        state.promises.add(peer, promise.mark)
        if records := machine.keep(promise.items):
            machine.write(records)
        if not state.promises.reached(machine.seats.table):
            return
        state.preparing = False
        items = []
        for item in self.of_section(promise.section):
            again = Item()
            again.CopyFrom(item)
            again.epoch = state.epoch
            items.append(again)
        if items:
            self._copy(promise.section, items, claim=True)
        else:
            self._ready(promise.section)

    def _see(self, section: int, epoch: int) -> None:
        """An epoch that others have promised: ours must be higher next time."""
        known = self.known.get(section)
        if known is None or epoch > known[0]:
            self.known[section] = (epoch, "")

    def _ready(self, section: int) -> None:
        machine, state = self._machine, self.sections[section]
        state.ready = True
        self._seen.add(section)
        self._missing.pop(section, None)
        self.known[section] = (state.epoch, machine.address)
        machine.note(f"owns section {section}, epoch {state.epoch}")
        for peer in machine.connected():
            self.tell(peer, section)
        waiting, state.waiting = state.waiting, []
        for peer, ask in waiting:
            self.on_ask(peer, ask)

    def tell(self, peer: str, section: int | None = None) -> None:
        """Say what we own."""
        machine = self._machine
        for at, state in self.sections.items():
            if state.ready and section in (None, at):
                owner = wire.Owner(section=at, epoch=state.epoch, holder=machine.address)
                machine.send(peer, Frame(owner=owner))

    def on_owner(self, peer: str, owner: wire.Owner) -> None:
        known = self.known.get(owner.section)
        if known is None or owner.epoch >= known[0]:
            self.known[owner.section] = (owner.epoch, owner.holder)
            self._seen.add(owner.section)
            self.overtaken(owner.section, owner.epoch)

    def owned(self) -> dict[int, int]:
        """The sections that we own, with their epochs."""
        return {section: state.epoch for section, state in self.sections.items() if state.ready}

    def on_owned(self, peer: str, owned: dict[int, int]) -> None:
        """All that a peer owns: what we have it down for besides is late news of an earlier process."""
        for section, (epoch, holder) in self.known.items():
            if holder == peer and section not in owned:
                self.known[section] = (epoch, "")
        for section, epoch in owned.items():
            if epoch >= self.known.get(section, (0, ""))[0]:
                self.known[section] = (epoch, peer)
                self.overtaken(section, epoch)

    def on_peer(self, peer: str) -> None:
        """A peer has greeted: what is still being copied goes to it, too."""
        machine = self._machine
        if peer in machine.voters():
            for number, copying in self._copies.items():
                if peer not in copying.have:
                    self._send_copies(number, copying, [peer])

    def restarted(self, peer: str) -> None:
        """Another process is at a peer's address: it owns nothing, and its disk may be another."""
        for section, (epoch, holder) in self.known.items():
            if holder == peer:
                self.known[section] = (epoch, "")
        for state in self.sections.values():
            state.promises.drop(peer)
        for copying in self._copies.values():
            if not copying.stood:
                copying.have.drop(peer)

    def overtaken(self, section: int, epoch: int) -> None:
        """Another epoch was promised: ours is over."""
        state = self.sections.get(section)
        if state is not None and epoch > state.epoch:
            self._see(section, epoch)
            self._give_up(section)

    def _give_up(self, section: int) -> None:
        machine = self._machine
        state = self.sections.pop(section)
        self._again[section] = machine.turn.now + AGAIN_S * (1.0 + machine.rng.random())
        for peer, ask in state.waiting:
            self._told(peer, ask.number, Code.BUSY)
        for number, copying in list(self._copies.items()):
            if copying.section == section:
                self._forget_copy(number)
                for peer, asked in copying.asked:
                    self._told(peer, asked, Code.BUSY)
        if state.ready:
            machine.note(f"owns section {section} no more, epoch {state.epoch}")

    def lose_all(self) -> None:
        for section in list(self.sections):
            self._give_up(section)

    def settle(self, section: int) -> None:
        """Claim anew, whoever owns it: what was left half done then stands, or is seen not to."""
        if section in self.sections and self.sections[section].ready:
            self._give_up(section)
            self._again.pop(section, None)
        self.claim(section)

    def resign(self) -> None:
        """Own nothing from now on; who is next claims as soon as it hears of it."""
        for section in list(self.sections):
            self.known.pop(section, None)
            self._give_up(section)

    # ------------------------------------------------------------ changes

    def on_ask(self, peer: str, ask: wire.Ask) -> None:
        state = self.sections.get(ask.section)
        if state is None:
            self.claim(ask.section)
            state = self.sections.get(ask.section)
        if state is None:
            self._told(peer, ask.number, Code.BUSY)
            return
        if not state.ready:
            if len(state.waiting) < 1000:
                state.waiting.append((peer, ask))
            else:
                self._told(peer, ask.number, Code.BUSY)
            return
        if ask.withdraw:
            self._withdraw(peer, ask)
            return
        code, new, waits = self._weigh(ask)
        if code is not Code.DONE or ask.only_check:
            if code is Code.DONE:
                self._reserve(new)
                code = Code.RESERVED
            self._told(peer, ask.number, code, self._current(ask.items))
            return
        if ask.reserved and not all(self._is_reserved(item) for item in new):
            self._told(peer, ask.number, Code.BUSY)
            return
        for item in new:
            self._reserved.pop((item.key, item.version), None)
        # Also what was taken before: under an earlier owner's epoch it could yet give way to another's.
        for item in new + waits:
            item.epoch = state.epoch
        if not new and not waits:
            self._told(peer, ask.number, Code.DONE)
            return
        # What was taken before and does not stand yet is copied with it: all or none is acknowledged.
        self._copy(ask.section, new + waits, asked=(peer, ask.number))

    def _reserve(self, items: Iterable[Item]) -> None:
        """A call that was withdrawn may be checked, so that it is refused again, but is never made."""
        until = self._machine.turn.now + RESERVED_S
        for item in items:
            if item.call not in self._withdrawn:
                self._reserved[item.key, item.version] = (item.call, until)

    def _is_reserved(self, item: Item) -> bool:
        """For the very call that the item is of."""
        return self._reserved.get((item.key, item.version), (0, 0.0))[0] == item.call

    def _forget_reserved(self, now: float) -> None:
        for key in [k for k, (_, until) in self._reserved.items() if now >= until]:
            del self._reserved[key]
        for call in [c for c, until in self._withdrawn.items() if now >= until]:
            del self._withdrawn[call]

    def _withdraw(self, peer: str, ask: wire.Ask) -> None:
        """Another section's owner has refused its part of a call: no part is taken here from now on.

        Answers PARTLY_TAKEN where one has been already, whether it stands yet or not.
        """
        now = self._machine.turn.now
        for item in ask.items:
            self._withdrawn[item.call] = now + WITHDRAWN_S
            if self._is_reserved(item):
                del self._reserved[item.key, item.version]
        taken = any(self._is_taken(item) for item in ask.items)
        self._told(peer, ask.number, Code.PARTLY_TAKEN if taken else Code.DONE)

    def _is_taken(self, item: Item) -> bool:
        """Whether the very call that an item is of gave its version a value, be it overtaken since."""
        latest = self._latest(item.key)
        if latest is None or not item.call:
            return False
        return item.call == latest.call or item.call in latest.earlier_calls

    def _weigh(self, ask: wire.Ask) -> tuple[Code, list[Item], list[Item]]:
        """What an ask comes to: the items that are new, and those taken before that do not stand yet."""
        machine = self._machine
        new: list[Item] = []
        waits: list[Item] = []
        for item in ask.items:
            old = self._latest(item.key)
            if old is None or item.version > old.version:
                reserved_for = self._reserved.get((item.key, item.version), (item.call, 0.0))[0]
                if reserved_for != item.call:
                    return Code.BUSY, [], []
                new.append(self._following(item, old))
                continue
            # Only what stands may be told of: what is on its way may yet come to nothing.
            stood = machine.standing.items.get(item.key)
            stands = stood is not None and stood.version >= old.version
            other = (item.value, item.dropped) != (old.value, old.dropped)
            if other and (item.version == old.version or item.key.startswith(SEQUENTIAL_PREFIXES)):
                # For an order: its count has moved on.
                if not stands:
                    return Code.BUSY, [], []
                taken = any(self._is_taken(each) for each in ask.items)
                return (Code.PARTLY_TAKEN if taken else Code.CONFLICT), [], []
            if not stands:
                again = Item()
                again.CopyFrom(old)
                waits.append(again)
        return Code.DONE, new, waits

    @staticmethod
    def _following(item: Item, old: Item | None) -> Item:
        """The item as it is kept: it tells which calls of several items it has overtaken."""
        fresh = Item()
        fresh.CopyFrom(item)
        del fresh.earlier_calls[:]
        if old is not None:
            calls = [*old.earlier_calls, *([old.call] if old.call else [])]
            fresh.earlier_calls.extend(calls[-EARLIER_CALLS_MOST:])
        return fresh

    def _latest(self, key: str) -> Item | None:
        """The highest that this owner knows, what is on its way to the disks included."""
        latest = self._machine.book.items.get(key)
        for item in self._copies_of_key.get(key, _NO_COPIES).values():
            if newer(item, latest):
                latest = item
        return latest

    def _current(self, asked: Iterable[Item]) -> list[Item]:
        return [latest for item in asked if (latest := self._latest(item.key)) is not None]

    def _copy(
        self, section: int, items: list[Item], *, asked: tuple[str, int] | None = None, claim: bool = False
    ) -> None:
        machine = self._machine
        self._numbers += 1
        now = machine.turn.now
        copying = Copying(section, items, now, now, claim=claim)
        if asked is not None:
            copying.asked.append(asked)
        self._copies[self._numbers] = copying
        for item in items:
            self._copies_of_key.setdefault(item.key, {})[self._numbers] = item
        self._send_copies(self._numbers, copying, machine.voters())

    def _forget_copy(self, number: int) -> Copying | None:
        """Take a copy off the list; None if it has been taken off before."""
        copying = self._copies.pop(number, None)
        if copying is None:
            return None
        for item in copying.items:
            of_key = self._copies_of_key.get(item.key, {})
            of_key.pop(number, None)
            if not of_key:
                self._copies_of_key.pop(item.key, None)
        return copying

    def _send_copies(self, number: int, copying: Copying, to: Iterable[str]) -> None:
        epoch = self.sections[copying.section].epoch
        copy = wire.Copy(number=number, section=copying.section, epoch=epoch, items=copying.items)
        for voter in to:
            self._machine.send(voter, Frame(copy=copy))

    def on_copied(self, peer: str, copied: wire.Copied) -> None:
        copying = self._copies.get(copied.number)
        if copying is None:
            return
        if not copied.ok:
            if copied.promised > self.sections[copying.section].epoch:
                self._see(copying.section, copied.promised)
                self._give_up(copying.section)
            return
        copying.have.add(peer, copied.mark)
        self._conclude(copied.number, copying)

    def _conclude(self, number: int, copying: Copying) -> None:
        """It stands once a majority has it; it is acknowledged then, or a moment later with two others."""
        machine = self._machine
        if not copying.have.reached(machine.seats.table):
            return
        if not copying.stood:
            copying.stood = True
            machine.stands(copying.items)
            if copying.claim:
                self._ready(copying.section)
        others = len(copying.have.members() - {machine.address})
        reachable = len([v for v in machine.voters() if v != machine.address])
        late = machine.turn.now - copying.began >= TWO_OTHERS_S
        if others < min(2, reachable) and not late:
            return
        if self._forget_copy(number) is not None:
            for peer, asked in copying.asked:
                self._told(peer, asked, Code.DONE)

    def _told(self, peer: str, number: int, code: Code, items: Iterable[Item] = ()) -> None:
        self._machine.send(peer, Frame(told=wire.Told(number=number, outcome=int(code), items=items)))
