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

from leadrudder.configuration.item_store import Book
from leadrudder.configuration.items import ORDERS
from leadrudder.consensus.lease import SWEEP
from leadrudder.consensus.outputs import Answer, Code, Output, Send, Stands, Write
from leadrudder.consensus.state_machine import Interlocking
from leadrudder.control_simulation.linearizability import Operation, Outcome, Register, non_linearizable_keys
from leadrudder.protocol.mesh_pb2 import Frame, Item

TICK_INTERVAL_S = 0.1
CONNECT_INTERVAL_S = 0.25
MAX_EVENTS = 400_000  # of one play
LINK_TIMEOUT_S = 1.0
LINK_DELAY_RANGE_S = (0.0005, 0.004)
SYNC_DURATION_RANGE_S = (0.008, 0.03)


class InvariantViolation(AssertionError):  # noqa: N818 - it says what is the matter with a rule
    """A rule of the control state does not hold; the text tells which, and what led to it."""


@dataclass(slots=True)
class PendingWrite:
    records: dict[str, bytes]
    sends: tuple[Send, ...]


@dataclass(slots=True)
class Machine:
    """A core machine: its disk, and its process while it runs."""

    address: str
    first_run: bool
    disk: dict[str, bytes] = field(default_factory=dict)
    process: Interlocking | None = None
    incarnation: int = 0
    pending_writes: list[PendingWrite] = field(default_factory=list)
    writing: bool = False
    stalled_until: float = 0.0
    sync_slowdown: float = 1.0  # how many times as long a sync takes
    frozen: bool = False  # its process stands still; what comes in meanwhile waits
    deferred_inputs: list[Callable[[], None]] = field(default_factory=list)  # inputs that wait for the thaw
    removed: bool = False  # taken away for good


@dataclass(frozen=True, slots=True)
class AcknowledgedVersion:
    """A version that an operator was told of, and when."""

    at_s: float
    key: str
    version: int


@dataclass(slots=True)
class Connection:
    """One connection, by the lives of its ends."""

    addresses: tuple[str, str]
    incarnations: tuple[int, int]
    last_arrival_s: dict[str, float] = field(
        default_factory=dict
    )  # by receiver: when the latest frame arrives
    is_open: bool = True


class World:
    """One play. All chance comes from the seed, so it plays the same again."""

    def __init__(self, seed: int, machines: int = 3) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.trace: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.tolerated_losses = machines // 2
        self.seed_addresses = tuple(f"10.{i}.0.1:1" for i in range(min(3, machines)))
        self.machines = {f"10.{i}.0.1:1": Machine(f"10.{i}.0.1:1", True) for i in range(machines)}
        self._connections: dict[frozenset[str], Connection] = {}
        self.blocked_directions: set[tuple[str, str]] = set()  # from, to: nothing passes
        self.committed_values: dict[tuple[str, int], bytes] = {}  # what has stood, by key and version
        self.refused_values: set[tuple[str, int, bytes]] = set()
        self.latest_acknowledged: dict[str, Item] = {}
        self.acknowledgements: list[AcknowledgedVersion] = []  # all, in their order
        self.history: list[Operation] = []  # orders and reads, as operators know them
        self.section_owners: dict[tuple[int, int], str] = {}
        self.answer_callbacks: dict[tuple[str, int], Callable[[Answer], None]] = {}
        self._request_count = 0
        self.commit_listeners: list[Callable[[Machine, tuple[Item, ...]], None]] = []
        self.max_events = MAX_EVENTS
        self.bytes_sent_to: Counter[str] = Counter()  # of frames, by receiver
        self.largest_frame_bytes = 0  # bytes
        self.longest_step_s = 0.0  # real time of one machine's handling of one frame
        self.steps_with_lease_holder = 0  # steps at which somebody held the duty
        for machine in self.machines.values():
            self.call_at(0.1 * self.rng.random(), self._start_callback(machine))
        self.call_at(CONNECT_INTERVAL_S, self._connect_all)
        self.call_at(TICK_INTERVAL_S, self._tick)

    # ------------------------------------------------------------ time

    def call_at(self, when: float, do: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, do))

    def call_later(self, span: float, do: Callable[[], None]) -> None:
        self.call_at(self.now + span, do)

    def run_until(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, do = heapq.heappop(self._events)
            if self._event_count > self.max_events:
                self.fail("frames go round and round")
            do()
        self.now = until

    def record(self, text: str) -> None:
        self.trace.append(f"{self.now:8.3f} {text}")

    def fail(self, text: str) -> None:
        raise InvariantViolation("\n".join([text, *self.trace[-60:]]))

    def _tick(self) -> None:
        for machine in list(self.machines.values()):
            if machine.process is not None and not machine.frozen:
                self.apply_outputs(machine, machine.process.tick(self.now))
        self.call_later(TICK_INTERVAL_S, self._tick)

    # ------------------------------------------------------------ processes

    def _start_callback(self, machine: Machine) -> Callable[[], None]:
        return lambda: self.start(machine)

    def start(self, machine: Machine) -> None:
        if machine.removed or machine.process is not None:
            return
        machine.incarnation += 1
        machine.process = Interlocking(
            machine.address,
            "zone",
            first_run=machine.first_run,
            seeds=self.seed_addresses,
            losses=self.tolerated_losses,
            rng=Random(self.rng.random()),
            kept=dict(machine.disk),
        )
        self.record(f"{machine.address} starts with {len(machine.disk)} records")

    def kill(self, machine: Machine, *, power: bool = False, wipe: bool = False) -> None:
        """The process dies; with the power what was not synced is there in part, with the disk all goes."""
        if machine.process is None:
            return
        machine.process = None
        machine.frozen, machine.deferred_inputs = False, []
        for pending in machine.pending_writes[: self.rng.randrange(len(machine.pending_writes) + 1)]:
            machine.disk.update(pending.records)
        machine.pending_writes, machine.writing = [], False
        if wipe:
            machine.disk, machine.first_run = {}, False
        self.record(f"{machine.address} {'is wiped' if wipe else 'loses power' if power else 'is killed'}")
        for wire in list(self._connections.values()):
            if machine.address in wire.addresses:
                self.call_later(LINK_TIMEOUT_S if power else 0.002, lambda wire=wire: self._close(wire))  # type: ignore[misc]

    def freeze(self, machine: Machine) -> None:
        """The process stands still: others notice silence, and it notices nothing until the thaw."""
        if machine.process is None or machine.frozen:
            return
        machine.frozen = True
        self.record(f"{machine.address} stands still")
        for wire in list(self._connections.values()):
            if machine.address in wire.addresses:
                self.call_later(LINK_TIMEOUT_S, lambda wire=wire: self._close(wire))  # type: ignore[misc]

    def thaw(self, machine: Machine) -> None:
        """What came in meanwhile is handled, in its order and late, and then the ends of links."""
        if not machine.frozen:
            return
        machine.frozen = False
        self.record(f"{machine.address} runs again")
        waiting, machine.deferred_inputs = machine.deferred_inputs, []
        for handle in waiting:
            handle()

    def _run_or_defer(self, machine: Machine, handle: Callable[[], None]) -> None:
        if machine.frozen:
            machine.deferred_inputs.append(handle)
        else:
            handle()

    def replace(self, machine: Machine, address: str) -> Machine:
        """One is gone for good; an empty one comes at another address."""
        self.kill(machine, power=True)
        machine.removed = True
        self.record(f"{machine.address} is gone for good")
        return self.add_machine(address)

    def add_machine(self, address: str) -> Machine:
        """An empty machine comes."""
        fresh = Machine(address, False)
        self.machines[address] = fresh
        self.start(fresh)
        return fresh

    # ------------------------------------------------------------ links

    def _running_machine(self, address: str) -> Machine | None:
        machine = self.machines.get(address)
        return machine if machine is not None and machine.process is not None else None

    def _connect_all(self) -> None:
        running = [m for m in self.machines.values() if m.process is not None and not m.frozen]
        for i, a in enumerate(running):
            for b in running[i + 1 :]:
                pair = frozenset((a.address, b.address))
                old = self._connections.get(pair)
                if old is not None and old.is_open:
                    continue
                if (a.address, b.address) in self.blocked_directions or (
                    b.address,
                    a.address,
                ) in self.blocked_directions:
                    continue
                self._connections[pair] = Connection((a.address, b.address), (a.incarnation, b.incarnation))
                for one, other in ((a, b), (b, a)):
                    if one.process is not None:
                        self.apply_outputs(one, one.process.up(other.address, self.now))
        self.call_later(CONNECT_INTERVAL_S, self._connect_all)

    def _close(self, wire: Connection) -> None:
        if not wire.is_open:
            return
        wire.is_open = False
        for i, address in enumerate(wire.addresses):
            machine = self._running_machine(address)
            if machine is not None and machine.incarnation == wire.incarnations[i]:
                self._run_or_defer(
                    machine, self._peer_down_callback(machine, wire.incarnations[i], wire.addresses[1 - i])
                )

    def _peer_down_callback(self, machine: Machine, life: int, other: str) -> Callable[[], None]:
        def down() -> None:
            if machine.process is not None and machine.incarnation == life:
                self.apply_outputs(machine, machine.process.down(other, self.now))

        return down

    def partition(self, a: Iterable[str], b: Iterable[str], *, one_way: bool = False) -> None:
        """Nothing passes from a to b; nor back, unless it is cut one way only."""
        pairs = [(x, y) for x in a for y in b]
        self.blocked_directions.update(pairs)
        if not one_way:
            self.blocked_directions.update((y, x) for x, y in pairs)
        self.record(f"cut {'one way ' if one_way else ''}{pairs}")
        for x, y in pairs:
            wire = self._connections.get(frozenset((x, y)))
            if wire is not None:
                self.call_later(LINK_TIMEOUT_S, lambda wire=wire: self._close(wire))  # type: ignore[misc]

    def heal(self) -> None:
        self.blocked_directions.clear()
        self.record("cuts end")

    def _send(self, machine: Machine, send: Send) -> None:
        if send.to == machine.address:
            self._receive(machine, machine.incarnation, machine.address, send.frame)
            return
        wire = self._connections.get(frozenset((machine.address, send.to)))
        if wire is None or not wire.is_open or (machine.address, send.to) in self.blocked_directions:
            return
        place = wire.addresses.index(send.to)
        if wire.incarnations[1 - place] != machine.incarnation:
            return
        when = max(self.now + self.rng.uniform(*LINK_DELAY_RANGE_S), wire.last_arrival_s.get(send.to, 0.0))
        wire.last_arrival_s[send.to] = when
        data = send.frame.SerializeToString()
        self.bytes_sent_to[send.to] += len(data)
        self.largest_frame_bytes = max(self.largest_frame_bytes, len(data))

        def arrive() -> None:
            receiver = self._running_machine(send.to)
            if receiver is None or not wire.is_open or (machine.address, send.to) in self.blocked_directions:
                return
            life, sender, frame = wire.incarnations[place], machine.address, Frame.FromString(data)
            self._run_or_defer(receiver, lambda: self._receive(receiver, life, sender, frame))

        self.call_at(when, arrive)

    def _receive(self, machine: Machine, life: int, peer: str, frame: Frame) -> None:
        if machine.process is not None and machine.incarnation == life:
            began = time.perf_counter()
            outputs = machine.process.frame(peer, frame, self.now)
            self.longest_step_s = max(self.longest_step_s, time.perf_counter() - began)
            self.apply_outputs(machine, outputs)

    # ------------------------------------------------------------ outputs

    def apply_outputs(self, machine: Machine, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(machine, output)
            elif isinstance(output, Write):
                self._enqueue_write(machine, PendingWrite(output.records, output.then))
            elif isinstance(output, Stands):
                for item in output.items:
                    self.check_committed(machine, item)
                for told in self.commit_listeners:
                    told(machine, output.items)
            elif isinstance(output, Answer):
                answered = self.answer_callbacks.pop((machine.address, output.number), None)
                if answered is not None:
                    answered(output)
        holders = [
            m.address
            for m in self.machines.values()
            if m.process is not None and not m.frozen and m.process.leases.holds(SWEEP, self.now)
        ]
        if len(holders) > 1:
            self.fail(f"one duty has two holders: {holders}")
        self.steps_with_lease_holder += bool(holders)
        if machine.process is not None:
            for section, state in machine.process.owner.sections.items():
                if state.ready:
                    holder = self.section_owners.setdefault((section, state.epoch), machine.address)
                    if holder != machine.address:
                        self.fail(f"section {section} has two owners at epoch {state.epoch}")

    def _enqueue_write(self, machine: Machine, pending: PendingWrite) -> None:
        machine.pending_writes.append(pending)
        if not pending.records and len(machine.pending_writes) == 1 and not machine.writing:
            machine.pending_writes.clear()
            for send in pending.sends:
                self._send(machine, send)
            return
        if not machine.writing:
            self._sync(machine)

    def _sync(self, machine: Machine) -> None:
        machine.writing = True
        life, batch = machine.incarnation, len(machine.pending_writes)
        when = max(self.now, machine.stalled_until) + machine.sync_slowdown * self.rng.uniform(
            *SYNC_DURATION_RANGE_S
        )

        def synced() -> None:
            if machine.incarnation != life or machine.process is None:
                return
            if machine.frozen:
                machine.deferred_inputs.append(synced)
                return
            if machine.stalled_until > self.now:
                self.call_at(machine.stalled_until + 0.01, synced)
                return
            done, machine.pending_writes = machine.pending_writes[:batch], machine.pending_writes[batch:]
            machine.writing = False
            for pending in done:
                machine.disk.update(pending.records)
            if machine.pending_writes:
                self._sync(machine)
            for pending in done:
                for send in pending.sends:
                    self._send(machine, send)

        self.call_at(when, synced)

    def check_committed(self, machine: Machine, item: Item) -> None:
        value = b"" if item.dropped else b"=" + item.value
        known = self.committed_values.setdefault((item.key, item.version), value)
        if known != value:
            self.fail(f"{item.key} version {item.version} stands with two values, at {machine.address}")
        if (item.key, item.version, item.value) in self.refused_values:
            self.fail(f"{item.key} version {item.version} stands though it was refused")

    # ------------------------------------------------------------ operators

    def submit_change(self, machine: Machine, items: list[Item], answered: Callable[[Answer], None]) -> None:
        """An operator's change, at one machine."""
        if machine.process is None:
            return
        self._request_count += 1
        number = self._request_count
        began = self.now
        tried = [self._operation(item, Outcome.UNKNOWN, began, math.inf) for item in items]
        self.history += tried

        def judged(answer: Answer) -> None:
            outcome = self._outcome(answer, items)
            if outcome is not Outcome.UNKNOWN:
                for each in tried:
                    self.history.remove(each)
                self.history += [self._operation(item, outcome, began, self.now) for item in items]
            if answer.code is Code.DONE:
                for item in items:
                    self.acknowledgements.append(AcknowledgedVersion(self.now, item.key, item.version))
                    old = self.latest_acknowledged.get(item.key)
                    if old is None or item.version > old.version:
                        self.latest_acknowledged[item.key] = item
            elif answer.code is Code.CONFLICT:
                self._check_refused(items)
            answered(answer)

        self.answer_callbacks[machine.address, number] = judged
        life = machine.incarnation

        def take() -> None:
            if machine.process is not None and machine.incarnation == life:
                self.apply_outputs(machine, machine.process.change(number, items, self.now))

        self._run_or_defer(machine, take)

    @staticmethod
    def _operation(item: Item, outcome: Outcome, began: float, ended: float) -> Operation:
        value = b"" if item.dropped else b"=" + item.value
        return Operation(item.key, outcome, Register(item.version, value), began, ended)

    @staticmethod
    def _outcome(answer: Answer, items: list[Item]) -> Outcome:
        """A refusal of several does not tell which of them is refused."""
        if answer.code is Code.DONE:
            return Outcome.CONFIRMED
        alone = len(items) == 1 and not items[0].key.startswith(ORDERS)
        return Outcome.REFUSED if answer.code is Code.CONFLICT and alone else Outcome.UNKNOWN

    def check_linearizable(self) -> None:
        """All answers so far are such as one register a key would have given."""
        wrong = non_linearizable_keys(each for each in self.history if not each.key.startswith(ORDERS))
        if wrong:
            self.fail(f"the answers about {wrong[0]} fit no order of events")

    def is_partly_committed(self, items: Iterable[Item]) -> bool:
        """Whether a part of a call stood, and another part's version has another operator's value.

        Such a call can be neither confirmed nor refused: calls over several sections are not atomic.
        """
        stood = [
            self.committed_values[item.key, item.version] == (b"" if item.dropped else b"=" + item.value)
            for item in items
            if (item.key, item.version) in self.committed_values
        ]
        return any(stood) and not all(stood)

    def _check_refused(self, items: Iterable[Item]) -> None:
        """A call was refused: no part of it may stand, before or after.

        Dropped items are passed over: another operator's drop of the same version looks alike.
        """
        for item in items:
            if item.dropped or item.key.startswith(ORDERS):
                continue
            self.refused_values.add((item.key, item.version, item.value))
            if self.committed_values.get((item.key, item.version)) == b"=" + item.value:
                self.fail(f"{item.key} version {item.version} was refused and stands")

    def read(self, machine: Machine, answered: Callable[[Answer], None]) -> None:
        """A read at one machine, which must not be older than what was acknowledged when it began."""
        if machine.process is None:
            return
        self._request_count += 1
        number = self._request_count
        owed = dict(self.latest_acknowledged)
        began = self.now

        def judged(answer: Answer) -> None:
            if answer.code is Code.DONE:
                found = Book()
                found.take(answer.items)
                for item in found.items.values():
                    self.history.append(self._operation(item, Outcome.READ, began, self.now))
                for key, item in owed.items():
                    got = found.items.get(key)
                    if got is None or got.version < item.version:
                        self.fail(f"read at {machine.address}: {key} is older than version {item.version}")
                    elif got.version == item.version and got.value != item.value:
                        self.fail(f"read at {machine.address}: {key} is not what was acknowledged")
            answered(answer)

        self.answer_callbacks[machine.address, number] = judged
        life = machine.incarnation

        def take() -> None:
            if machine.process is not None and machine.incarnation == life:
                self.apply_outputs(machine, machine.process.read(number, self.now))

        self._run_or_defer(machine, take)
