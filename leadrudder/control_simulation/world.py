"""Simulated control machines with links, disks, faults and operators in virtual time.

The production state machines run here; they are not modelled. Links deliver in order and close when they are
silent. A disk keeps all synced writes and a prefix of the unsynced ones, drawn from the seed. Processes are
killed; machines lose power or their disk, or are replaced by an empty machine at another address. Times are
seconds.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from leadrudder.consensus.lease import MEMBER_EXPIRY
from leadrudder.consensus.outputs import Answer, Committed, Output, Send, Write
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.control_simulation.answer_checks import AnswerChecks
from leadrudder.protocol.mesh_pb2 import Frame, Item

TICK_INTERVAL_S = 0.1
CONNECT_INTERVAL_S = 0.25
MAX_EVENTS = 400_000  # in one run
LINK_TIMEOUT_S = 1.0
LINK_DELAY_RANGE_S = (0.0005, 0.004)
SYNC_DURATION_RANGE_S = (0.008, 0.03)


class InvariantViolation(AssertionError):  # noqa: N818
    """An invariant of the control state does not hold; the text names it and ends with the trace."""


@dataclass(slots=True)
class PendingWrite:
    """Records to be synced, and the frames to be sent after that."""

    records: dict[str, bytes]
    sends: tuple[Send, ...]


@dataclass(slots=True)
class Machine:
    """A control machine: its disk, and its process while that runs."""

    address: str
    first_run: bool
    disk: dict[str, bytes] = field(default_factory=dict)
    process: ControlStateMachine | None = None
    incarnation: int = 0
    pending_writes: list[PendingWrite] = field(default_factory=list)
    writing: bool = False
    stalled_until: float = 0.0
    sync_slowdown: float = 1.0  # factor on the duration of a sync
    frozen: bool = False  # the process is paused; inputs are deferred until it resumes
    deferred_inputs: list[Callable[[], None]] = field(default_factory=list)  # while frozen
    removed: bool = False  # permanently


@dataclass(slots=True)
class Connection:
    """A connection between two machines, valid for one incarnation of each."""

    addresses: tuple[str, str]
    incarnations: tuple[int, int]
    last_arrival_s: dict[str, float] = field(default_factory=dict)  # of the latest frame, by receiver
    is_open: bool = True


class World:
    """One simulation run. All randomness comes from the seed, so a run can be repeated."""

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
        self.blocked_directions: set[tuple[str, str]] = set()  # (from, to): no frame is delivered
        self.answers = AnswerChecks(self.fail)
        self.section_owners: dict[tuple[int, int], str] = {}
        self.answer_callbacks: dict[tuple[str, int], Callable[[Answer], None]] = {}
        self._request_count = 0
        self.commit_listeners: list[Callable[[Machine, tuple[Item, ...]], None]] = []
        self.max_events = MAX_EVENTS
        self.bytes_sent_to: Counter[str] = Counter()  # in frames, by receiver
        self.largest_frame_bytes = 0
        self.longest_step_s = 0.0  # wall-clock time that one machine took to handle one frame
        self.steps_with_lease_holder = 0  # steps at which some machine held the sweep lease
        for machine in self.machines.values():
            self.call_at(0.1 * self.rng.random(), self._start_callback(machine))
        self.call_at(CONNECT_INTERVAL_S, self._connect_all)
        self.call_at(TICK_INTERVAL_S, self._tick)

    # ------------------------------------------------------------ time

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.call_at(self.now + delay_s, callback)

    def run_until(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            if self._event_count > self.max_events:
                self.fail("frames are exchanged without end")
            callback()
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
        machine.process = ControlStateMachine(
            machine.address,
            "zone",
            first_run=machine.first_run,
            seeds=self.seed_addresses,
            losses=self.tolerated_losses,
            rng=Random(self.rng.random()),
            records=dict(machine.disk),
        )
        self.record(f"{machine.address} starts with {len(machine.disk)} records")

    def kill(self, machine: Machine, *, power: bool = False, wipe: bool = False) -> None:
        """End the process. A part of its unsynced writes is kept; wipe loses the whole disk."""
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
        for connection in list(self._connections.values()):
            if machine.address in connection.addresses:
                self.call_later(LINK_TIMEOUT_S if power else 0.002, lambda c=connection: self._close(c))  # type: ignore[misc]

    def freeze(self, machine: Machine) -> None:
        """Pause the process: peers see a silent link, and it sees nothing until it resumes."""
        if machine.process is None or machine.frozen:
            return
        machine.frozen = True
        self.record(f"{machine.address} is paused")
        for connection in list(self._connections.values()):
            if machine.address in connection.addresses:
                self.call_later(LINK_TIMEOUT_S, lambda c=connection: self._close(c))  # type: ignore[misc]

    def thaw(self, machine: Machine) -> None:
        """Resume the process: deferred inputs are handled late and in order, then the closed links."""
        if not machine.frozen:
            return
        machine.frozen = False
        self.record(f"{machine.address} resumes")
        deferred, machine.deferred_inputs = machine.deferred_inputs, []
        for handle in deferred:
            handle()

    def _run_or_defer(self, machine: Machine, handle: Callable[[], None]) -> None:
        if machine.frozen:
            machine.deferred_inputs.append(handle)
        else:
            handle()

    def replace(self, machine: Machine, address: str) -> Machine:
        """Remove a machine permanently and add an empty one at another address."""
        self.kill(machine, power=True)
        machine.removed = True
        self.record(f"{machine.address} is removed permanently")
        return self.add_machine(address)

    def add_machine(self, address: str) -> Machine:
        """Add an empty machine and start it."""
        new_machine = Machine(address, False)
        self.machines[address] = new_machine
        self.start(new_machine)
        return new_machine

    # ------------------------------------------------------------ links

    def _running_machine(self, address: str) -> Machine | None:
        machine = self.machines.get(address)
        return machine if machine is not None and machine.process is not None else None

    def _connect_all(self) -> None:
        running = [m for m in self.machines.values() if m.process is not None and not m.frozen]
        for i, a in enumerate(running):
            for b in running[i + 1 :]:
                pair = frozenset((a.address, b.address))
                existing = self._connections.get(pair)
                if existing is not None and existing.is_open:
                    continue
                if (a.address, b.address) in self.blocked_directions or (
                    b.address,
                    a.address,
                ) in self.blocked_directions:
                    continue
                self._connections[pair] = Connection((a.address, b.address), (a.incarnation, b.incarnation))
                for machine, peer in ((a, b), (b, a)):
                    if machine.process is not None:
                        self.apply_outputs(machine, machine.process.up(peer.address, self.now))
        self.call_later(CONNECT_INTERVAL_S, self._connect_all)

    def _close(self, connection: Connection) -> None:
        if not connection.is_open:
            return
        connection.is_open = False
        for i, address in enumerate(connection.addresses):
            machine = self._running_machine(address)
            if machine is not None and machine.incarnation == connection.incarnations[i]:
                self._run_or_defer(
                    machine,
                    self._peer_down_callback(
                        machine, connection.incarnations[i], connection.addresses[1 - i]
                    ),
                )

    def _peer_down_callback(self, machine: Machine, incarnation: int, peer: str) -> Callable[[], None]:
        def down() -> None:
            if machine.process is not None and machine.incarnation == incarnation:
                self.apply_outputs(machine, machine.process.down(peer, self.now))

        return down

    def partition(self, a: Iterable[str], b: Iterable[str], *, one_way: bool = False) -> None:
        """Block all frames from a to b, and from b to a unless one_way is set."""
        pairs = [(x, y) for x in a for y in b]
        self.blocked_directions.update(pairs)
        if not one_way:
            self.blocked_directions.update((y, x) for x, y in pairs)
        self.record(f"cut {'one way ' if one_way else ''}{pairs}")
        for x, y in pairs:
            connection = self._connections.get(frozenset((x, y)))
            if connection is not None:
                self.call_later(LINK_TIMEOUT_S, lambda c=connection: self._close(c))  # type: ignore[misc]

    def heal(self) -> None:
        self.blocked_directions.clear()
        self.record("all directions are open again")

    def _send(self, machine: Machine, send: Send) -> None:
        if send.to == machine.address:
            self._receive(machine, machine.incarnation, machine.address, send.frame)
            return
        connection = self._connections.get(frozenset((machine.address, send.to)))
        if (
            connection is None
            or not connection.is_open
            or (machine.address, send.to) in self.blocked_directions
        ):
            return
        receiver_index = connection.addresses.index(send.to)
        if connection.incarnations[1 - receiver_index] != machine.incarnation:
            return
        due_s = max(
            self.now + self.rng.uniform(*LINK_DELAY_RANGE_S), connection.last_arrival_s.get(send.to, 0.0)
        )
        connection.last_arrival_s[send.to] = due_s
        data = send.frame.SerializeToString()
        self.bytes_sent_to[send.to] += len(data)
        self.largest_frame_bytes = max(self.largest_frame_bytes, len(data))

        def arrive() -> None:
            receiver = self._running_machine(send.to)
            if (
                receiver is None
                or not connection.is_open
                or (machine.address, send.to) in self.blocked_directions
            ):
                return
            incarnation, sender, frame = (
                connection.incarnations[receiver_index],
                machine.address,
                Frame.FromString(data),
            )
            self._run_or_defer(receiver, lambda: self._receive(receiver, incarnation, sender, frame))

        self.call_at(due_s, arrive)

    def _receive(self, machine: Machine, incarnation: int, peer: str, frame: Frame) -> None:
        if machine.process is not None and machine.incarnation == incarnation:
            start_s = time.perf_counter()
            outputs = machine.process.frame(peer, frame, self.now)
            self.longest_step_s = max(self.longest_step_s, time.perf_counter() - start_s)
            self.apply_outputs(machine, outputs)

    # ------------------------------------------------------------ outputs

    def apply_outputs(self, machine: Machine, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(machine, output)
            elif isinstance(output, Write):
                self._enqueue_write(machine, PendingWrite(output.records, output.then))
            elif isinstance(output, Committed):
                for item in output.items:
                    self.check_committed(machine, item)
                for listener in self.commit_listeners:
                    listener(machine, output.items)
            elif isinstance(output, Answer):
                on_answer = self.answer_callbacks.pop((machine.address, output.number), None)
                if on_answer is not None:
                    on_answer(output)
        holders = [
            m.address
            for m in self.machines.values()
            if m.process is not None and not m.frozen and m.process.leases.holds(MEMBER_EXPIRY, self.now)
        ]
        if len(holders) > 1:
            self.fail(f"one lease has two holders: {holders}")
        self.steps_with_lease_holder += bool(holders)
        if machine.process is not None:
            for section, state in machine.process.ownership.sections.items():
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
        incarnation, batch = machine.incarnation, len(machine.pending_writes)
        due_s = max(self.now, machine.stalled_until) + machine.sync_slowdown * self.rng.uniform(
            *SYNC_DURATION_RANGE_S
        )

        def synced() -> None:
            if machine.incarnation != incarnation or machine.process is None:
                return
            if machine.frozen:
                machine.deferred_inputs.append(synced)
                return
            if machine.stalled_until > self.now:
                self.call_at(machine.stalled_until + 0.01, synced)
                return
            synced_writes, machine.pending_writes = (
                machine.pending_writes[:batch],
                machine.pending_writes[batch:],
            )
            machine.writing = False
            for pending in synced_writes:
                machine.disk.update(pending.records)
            if machine.pending_writes:
                self._sync(machine)
            for pending in synced_writes:
                for send in pending.sends:
                    self._send(machine, send)

        self.call_at(due_s, synced)

    def check_committed(self, machine: Machine, item: Item) -> None:
        """A machine has committed an item."""
        self.answers.on_committed(machine.address, item)

    # ------------------------------------------------------------ requests of operators

    def submit_change(
        self,
        machine: Machine,
        items: list[Item],
        on_answer: Callable[[Answer], None],
        *,
        late: bool = False,
    ) -> None:
        """Submit an operator's change at one machine.  late: the operator may have given up."""
        if machine.process is None:
            return
        self._request_count += 1
        request_number = self._request_count
        change = self.answers.on_change(items, self.now)

        def check_answer(answer: Answer) -> None:
            self.answers.on_change_answer(change, answer, self.now)
            on_answer(answer)

        self.answer_callbacks[machine.address, request_number] = check_answer
        incarnation = machine.incarnation

        def handle_request() -> None:
            if machine.process is not None and machine.incarnation == incarnation:
                outputs = machine.process.change(request_number, items, self.now, late=late)
                self.apply_outputs(machine, outputs)

        self._run_or_defer(machine, handle_request)

    def read(self, machine: Machine, on_answer: Callable[[Answer], None]) -> None:
        """Read at one machine; a result older than what was acknowledged at the start is a violation."""
        if machine.process is None:
            return
        self._request_count += 1
        request_number = self._request_count
        acknowledged = dict(self.answers.latest_acknowledged)
        start_s = self.now

        def check_answer(answer: Answer) -> None:
            self.answers.on_read_answer(machine.address, answer, acknowledged, start_s, self.now)
            on_answer(answer)

        self.answer_callbacks[machine.address, request_number] = check_answer
        incarnation = machine.incarnation

        def handle_request() -> None:
            if machine.process is not None and machine.incarnation == incarnation:
                self.apply_outputs(machine, machine.process.read(request_number, self.now))

        self._run_or_defer(machine, handle_request)
