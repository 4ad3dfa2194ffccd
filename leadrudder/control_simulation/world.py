"""A world of signalboxes' interlockings: links, disks, faults and operators in virtual time.

The very state machines that run are played, nothing of them is modelled. Links are ordered and end when
they are silent; a disk holds what it has synced, and of what it has not a part that the seed draws;
processes are killed, machines lose power or their disk, or are replaced by an empty one at another address.
Times are seconds.
"""

from __future__ import annotations

import heapq
import math
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import SEQUENTIAL_PREFIXES
from leadrudder.consensus.lease import MEMBER_EXPIRY
from leadrudder.consensus.outputs import Answer, Committed, Output, ResultCode, Send, Write
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.control_simulation.linearizability import Operation, Outcome, Register, wrong_keys
from leadrudder.protocol.mesh_pb2 import Frame, Item

TICK_S = 0.1
DIAL_S = 0.25
EVENTS_MOST = 400_000  # of one play
SILENCE_S = 1.0
DELAY_S = (0.0005, 0.004)
SYNC_S = (0.008, 0.03)


class Broken(AssertionError):  # noqa: N818 - it says what is the matter with a rule
    """A rule of the control state does not hold; the text tells which, and what led to it."""


@dataclass(slots=True)
class Pending:
    records: dict[str, bytes]
    then: tuple[Send, ...]


@dataclass(slots=True)
class Machine:
    """A core machine: its disk, and its process while it runs."""

    address: str
    first_run: bool
    disk: dict[str, bytes] = field(default_factory=dict)
    process: ControlStateMachine | None = None
    life: int = 0
    queue: list[Pending] = field(default_factory=list)
    writing: bool = False
    stalled_until: float = 0.0
    slow: float = 1.0  # how many times as long a sync takes
    frozen: bool = False  # its process stands still; what comes in meanwhile waits
    inbox: list[Callable[[], None]] = field(default_factory=list)  # inputs that wait for the thaw
    gone: bool = False  # taken away for good


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A version that an operator was told of, and when."""

    at: float
    key: str
    version: int


@dataclass(slots=True)
class Wire:
    """One connection, by the lives of its ends."""

    ends: tuple[str, str]
    lives: tuple[int, int]
    last: dict[str, float] = field(default_factory=dict)  # by receiver: when the latest frame arrives
    up: bool = True


class World:
    """One play. All chance comes from the seed, so it plays the same again."""

    def __init__(self, seed: int, machines: int = 3) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.story: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.losses = machines // 2
        self.seeds = tuple(f"10.{i}.0.1:1" for i in range(min(3, machines)))
        self.machines = {f"10.{i}.0.1:1": Machine(f"10.{i}.0.1:1", True) for i in range(machines)}
        self._wires: dict[frozenset[str], Wire] = {}
        self.cuts: set[tuple[str, str]] = set()  # from, to: nothing passes
        self.values: dict[tuple[str, int], bytes] = {}  # what has stood, by key and version
        self.refused: set[tuple[str, int, bytes]] = set()
        self.acknowledged: dict[str, Item] = {}
        self.acknowledgements: list[Acknowledged] = []  # all, in their order
        self.history: list[Operation] = []  # orders and reads, as operators know them
        self.owners: dict[tuple[int, int], str] = {}
        self.answers: dict[tuple[str, int], Callable[[Answer], None]] = {}
        self._numbers = 0
        self.on_stands: list[Callable[[Machine, tuple[Item, ...]], None]] = []
        self.events_most = EVENTS_MOST
        self.bytes_to: Counter[str] = Counter()  # of frames, by receiver
        self.largest_frame = 0  # bytes
        self.longest_step_s = 0.0  # real time of one machine's handling of one frame
        self.held = 0  # steps at which somebody held the duty
        for machine in self.machines.values():
            self.at(0.1 * self.rng.random(), self._starter(machine))
        self.at(DIAL_S, self._dial)
        self.at(TICK_S, self._tick)

    # ------------------------------------------------------------ time

    def at(self, when: float, do: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, do))

    def after(self, span: float, do: Callable[[], None]) -> None:
        self.at(self.now + span, do)

    def play(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, do = heapq.heappop(self._events)
            if self._count > self.events_most:
                self.broken("frames go round and round")
            do()
        self.now = until

    def tell(self, text: str) -> None:
        self.story.append(f"{self.now:8.3f} {text}")

    def broken(self, text: str) -> None:
        raise Broken("\n".join([text, *self.story[-60:]]))

    def _tick(self) -> None:
        for machine in list(self.machines.values()):
            if machine.process is not None and not machine.frozen:
                self._carry_out(machine, machine.process.tick(self.now))
        self.after(TICK_S, self._tick)

    # ------------------------------------------------------------ processes

    def _starter(self, machine: Machine) -> Callable[[], None]:
        return lambda: self.start(machine)

    def start(self, machine: Machine) -> None:
        if machine.gone or machine.process is not None:
            return
        machine.life += 1
        machine.process = ControlStateMachine(
            machine.address,
            "zone",
            first_run=machine.first_run,
            seeds=self.seeds,
            losses=self.losses,
            rng=Random(self.rng.random()),
            records=dict(machine.disk),
        )
        self.tell(f"{machine.address} starts with {len(machine.disk)} records")

    def kill(self, machine: Machine, *, power: bool = False, wipe: bool = False) -> None:
        """The process dies; with the power what was not synced is there in part, with the disk all goes."""
        if machine.process is None:
            return
        machine.process = None
        machine.frozen, machine.inbox = False, []
        for pending in machine.queue[: self.rng.randrange(len(machine.queue) + 1)]:
            machine.disk.update(pending.records)
        machine.queue, machine.writing = [], False
        if wipe:
            machine.disk, machine.first_run = {}, False
        self.tell(f"{machine.address} {'is wiped' if wipe else 'loses power' if power else 'is killed'}")
        for wire in list(self._wires.values()):
            if machine.address in wire.ends:
                self.after(SILENCE_S if power else 0.002, lambda wire=wire: self._end(wire))  # type: ignore[misc]

    def freeze(self, machine: Machine) -> None:
        """The process stands still: others notice silence, and it notices nothing until the thaw."""
        if machine.process is None or machine.frozen:
            return
        machine.frozen = True
        self.tell(f"{machine.address} stands still")
        for wire in list(self._wires.values()):
            if machine.address in wire.ends:
                self.after(SILENCE_S, lambda wire=wire: self._end(wire))  # type: ignore[misc]

    def thaw(self, machine: Machine) -> None:
        """What came in meanwhile is handled, in its order and late, and then the ends of links."""
        if not machine.frozen:
            return
        machine.frozen = False
        self.tell(f"{machine.address} runs again")
        waiting, machine.inbox = machine.inbox, []
        for handle in waiting:
            handle()

    def _when_it_runs(self, machine: Machine, handle: Callable[[], None]) -> None:
        if machine.frozen:
            machine.inbox.append(handle)
        else:
            handle()

    def replace(self, machine: Machine, address: str) -> Machine:
        """One is gone for good; an empty one comes at another address."""
        self.kill(machine, power=True)
        machine.gone = True
        self.tell(f"{machine.address} is gone for good")
        return self.join(address)

    def join(self, address: str) -> Machine:
        """An empty machine comes."""
        fresh = Machine(address, False)
        self.machines[address] = fresh
        self.start(fresh)
        return fresh

    # ------------------------------------------------------------ links

    def _running(self, address: str) -> Machine | None:
        machine = self.machines.get(address)
        return machine if machine is not None and machine.process is not None else None

    def _dial(self) -> None:
        running = [m for m in self.machines.values() if m.process is not None and not m.frozen]
        for i, a in enumerate(running):
            for b in running[i + 1 :]:
                pair = frozenset((a.address, b.address))
                old = self._wires.get(pair)
                if old is not None and old.up:
                    continue
                if (a.address, b.address) in self.cuts or (b.address, a.address) in self.cuts:
                    continue
                self._wires[pair] = Wire((a.address, b.address), (a.life, b.life))
                for one, other in ((a, b), (b, a)):
                    if one.process is not None:
                        self._carry_out(one, one.process.up(other.address, self.now))
        self.after(DIAL_S, self._dial)

    def _end(self, wire: Wire) -> None:
        if not wire.up:
            return
        wire.up = False
        for i, address in enumerate(wire.ends):
            machine = self._running(address)
            if machine is not None and machine.life == wire.lives[i]:
                self._when_it_runs(machine, self._downer(machine, wire.lives[i], wire.ends[1 - i]))

    def _downer(self, machine: Machine, life: int, other: str) -> Callable[[], None]:
        def down() -> None:
            if machine.process is not None and machine.life == life:
                self._carry_out(machine, machine.process.down(other, self.now))

        return down

    def cut(self, a: Iterable[str], b: Iterable[str], *, one_way: bool = False) -> None:
        """Nothing passes from a to b; nor back, unless it is cut one way only."""
        pairs = [(x, y) for x in a for y in b]
        self.cuts.update(pairs)
        if not one_way:
            self.cuts.update((y, x) for x, y in pairs)
        self.tell(f"cut {'one way ' if one_way else ''}{pairs}")
        for x, y in pairs:
            wire = self._wires.get(frozenset((x, y)))
            if wire is not None:
                self.after(SILENCE_S, lambda wire=wire: self._end(wire))  # type: ignore[misc]

    def heal(self) -> None:
        self.cuts.clear()
        self.tell("cuts end")

    def _send(self, machine: Machine, send: Send) -> None:
        if send.to == machine.address:
            self._arrive(machine, machine.life, machine.address, send.frame)
            return
        wire = self._wires.get(frozenset((machine.address, send.to)))
        if wire is None or not wire.up or (machine.address, send.to) in self.cuts:
            return
        place = wire.ends.index(send.to)
        if wire.lives[1 - place] != machine.life:
            return
        when = max(self.now + self.rng.uniform(*DELAY_S), wire.last.get(send.to, 0.0))
        wire.last[send.to] = when
        data = send.frame.SerializeToString()
        self.bytes_to[send.to] += len(data)
        self.largest_frame = max(self.largest_frame, len(data))

        def arrive() -> None:
            receiver = self._running(send.to)
            if receiver is None or not wire.up or (machine.address, send.to) in self.cuts:
                return
            life, sender, frame = wire.lives[place], machine.address, Frame.FromString(data)
            self._when_it_runs(receiver, lambda: self._arrive(receiver, life, sender, frame))

        self.at(when, arrive)

    def _arrive(self, machine: Machine, life: int, peer: str, frame: Frame) -> None:
        if machine.process is not None and machine.life == life:
            began = time.perf_counter()
            outputs = machine.process.frame(peer, frame, self.now)
            self.longest_step_s = max(self.longest_step_s, time.perf_counter() - began)
            self._carry_out(machine, outputs)

    # ------------------------------------------------------------ outputs

    def _carry_out(self, machine: Machine, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(machine, output)
            elif isinstance(output, Write):
                self._put(machine, Pending(output.records, output.then))
            elif isinstance(output, Committed):
                for item in output.items:
                    self._stood(machine, item)
                for told in self.on_stands:
                    told(machine, output.items)
            elif isinstance(output, Answer):
                answered = self.answers.pop((machine.address, output.number), None)
                if answered is not None:
                    answered(output)
        holders = [
            m.address
            for m in self.machines.values()
            if m.process is not None and not m.frozen and m.process.leases.holds(MEMBER_EXPIRY, self.now)
        ]
        if len(holders) > 1:
            self.broken(f"one duty has two holders: {holders}")
        self.held += bool(holders)
        if machine.process is not None:
            for section, state in machine.process.ownership.sections.items():
                if state.ready:
                    holder = self.owners.setdefault((section, state.epoch), machine.address)
                    if holder != machine.address:
                        self.broken(f"section {section} has two owners at epoch {state.epoch}")

    def _put(self, machine: Machine, pending: Pending) -> None:
        machine.queue.append(pending)
        if not pending.records and len(machine.queue) == 1 and not machine.writing:
            machine.queue.clear()
            for send in pending.then:
                self._send(machine, send)
            return
        if not machine.writing:
            self._sync(machine)

    def _sync(self, machine: Machine) -> None:
        machine.writing = True
        life, batch = machine.life, len(machine.queue)
        when = max(self.now, machine.stalled_until) + machine.slow * self.rng.uniform(*SYNC_S)

        def synced() -> None:
            if machine.life != life or machine.process is None:
                return
            if machine.frozen:
                machine.inbox.append(synced)
                return
            if machine.stalled_until > self.now:
                self.at(machine.stalled_until + 0.01, synced)
                return
            done, machine.queue = machine.queue[:batch], machine.queue[batch:]
            machine.writing = False
            for pending in done:
                machine.disk.update(pending.records)
            if machine.queue:
                self._sync(machine)
            for pending in done:
                for send in pending.then:
                    self._send(machine, send)

        self.at(when, synced)

    def _stood(self, machine: Machine, item: Item) -> None:
        value = b"" if item.dropped else b"=" + item.value
        known = self.values.setdefault((item.key, item.version), value)
        if known != value:
            self.broken(f"{item.key} version {item.version} stands with two values, at {machine.address}")
        if (item.key, item.version, item.value) in self.refused:
            self.broken(f"{item.key} version {item.version} stands though it was refused")

    # ------------------------------------------------------------ operators

    def call(self, machine: Machine, items: list[Item], answered: Callable[[Answer], None]) -> None:
        """An operator's change, at one machine."""
        if machine.process is None:
            return
        self._numbers += 1
        number = self._numbers
        began = self.now
        tried = [self._operation(item, Outcome.UNKNOWN, began, math.inf) for item in items]
        self.history += tried

        def judged(answer: Answer) -> None:
            outcome = self._outcome(answer, items)
            if outcome is not Outcome.UNKNOWN:
                for each in tried:
                    self.history.remove(each)
                self.history += [self._operation(item, outcome, began, self.now) for item in items]
            if answer.code is ResultCode.DONE:
                for item in items:
                    self.acknowledgements.append(Acknowledged(self.now, item.key, item.version))
                    old = self.acknowledged.get(item.key)
                    if old is None or item.version > old.version:
                        self.acknowledged[item.key] = item
            elif answer.code is ResultCode.CONFLICT:
                self._refused(items)
            answered(answer)

        self.answers[machine.address, number] = judged
        life = machine.life

        def take() -> None:
            if machine.process is not None and machine.life == life:
                self._carry_out(machine, machine.process.change(number, items, self.now))

        self._when_it_runs(machine, take)

    @staticmethod
    def _operation(item: Item, outcome: Outcome, began: float, ended: float) -> Operation:
        value = b"" if item.dropped else b"=" + item.value
        return Operation(item.key, outcome, Register(item.version, value), began, ended)

    @staticmethod
    def _outcome(answer: Answer, items: list[Item]) -> Outcome:
        """A refusal of several does not tell which of them is refused."""
        if answer.code is ResultCode.DONE:
            return Outcome.CONFIRMED
        alone = len(items) == 1 and not items[0].key.startswith(SEQUENTIAL_PREFIXES)
        return Outcome.REFUSED if answer.code is ResultCode.CONFLICT and alone else Outcome.UNKNOWN

    def explained(self) -> None:
        """All answers so far are such as one register a key would have given."""
        wrong = wrong_keys(each for each in self.history if not each.key.startswith(SEQUENTIAL_PREFIXES))
        if wrong:
            self.broken(f"the answers about {wrong[0]} fit no order of events")

    def divided(self, items: Iterable[Item]) -> bool:
        """Whether a part of a call stood, and another part's version has another operator's value.

        Such a call can be neither confirmed nor refused: calls over several sections are not atomic.
        """
        stood = [
            self.values[item.key, item.version] == (b"" if item.dropped else b"=" + item.value)
            for item in items
            if (item.key, item.version) in self.values
        ]
        return any(stood) and not all(stood)

    def _refused(self, items: Iterable[Item]) -> None:
        """A call was refused: no part of it may stand, before or after.

        Dropped items are passed over: another operator's drop of the same version looks alike.
        """
        for item in items:
            if item.dropped or item.key.startswith(SEQUENTIAL_PREFIXES):
                continue
            self.refused.add((item.key, item.version, item.value))
            if self.values.get((item.key, item.version)) == b"=" + item.value:
                self.broken(f"{item.key} version {item.version} was refused and stands")

    def read(self, machine: Machine, answered: Callable[[Answer], None]) -> None:
        """A read at one machine, which must not be older than what was acknowledged when it began."""
        if machine.process is None:
            return
        self._numbers += 1
        number = self._numbers
        owed = dict(self.acknowledged)
        began = self.now

        def judged(answer: Answer) -> None:
            if answer.code is ResultCode.DONE:
                found = ItemStore()
                found.merge(answer.items)
                for item in found.items.values():
                    self.history.append(self._operation(item, Outcome.READ, began, self.now))
                for key, item in owed.items():
                    got = found.items.get(key)
                    if got is None or got.version < item.version:
                        self.broken(f"read at {machine.address}: {key} is older than version {item.version}")
                    elif got.version == item.version and got.value != item.value:
                        self.broken(f"read at {machine.address}: {key} is not what was acknowledged")
            answered(answer)

        self.answers[machine.address, number] = judged
        life = machine.life

        def take() -> None:
            if machine.process is not None and machine.life == life:
                self._carry_out(machine, machine.process.read(number, self.now))

        self._when_it_runs(machine, take)
