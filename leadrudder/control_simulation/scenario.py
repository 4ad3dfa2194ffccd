"""A rehearsal: a world with faults and operators drawn from a seed, and what must hold at its end."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from leadrudder.configuration.items import CORE
from leadrudder.consensus.outputs import Answer, Code
from leadrudder.control_simulation.nodes import SimulatedNodes
from leadrudder.control_simulation.world import InvariantViolation, Machine, World
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.simulation.shrink import ddmin

KEYS = [f"routes/r{i}" for i in range(6)] + ["services/s", "limits"]
RECOVERY_ALLOWANCE_S = 4.0  # a machine that is back counts as lost for so long
RETRY_INTERVAL_S = 0.4  # an operator sends again, to another machine
CALM_DURATION_S = 12.0  # in calm, after which all must be read back

FAULT_KINDS = (
    "kill",
    "power",
    "wipe",
    "cut",
    "one_way",
    "stall",
    "slow",
    "replace",
    "planned",
    "kill_all",
    "resign",
    "after_ack_kill",
    "after_ack_wipe",
)
FREEZE_KINDS = ("freeze",)  # a process stands still and runs on with what it knew
RESIZE_KINDS = ("grow", "shrink")  # two seats more, with the machines for them; two less
MAX_SEATS = 9
MAX_DELAY_AFTER_ACK_S = 0.004  # a machine that acknowledged goes within so much


@dataclass(frozen=True, slots=True)
class Fault:
    """at_s: when; pick: which of the running machines, as a part of all; span_s: for how long."""

    at_s: float
    kind: str
    position: float
    duration_s: float

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.kind}, {self.duration_s:.1f} s"


@dataclass(slots=True)
class Scenario:
    """seed: of all chance; machines: of the core; faults: how many, from which kinds; plan: the faults
    themselves, where they are not drawn; stations: that are told what stands.
    """

    seed: int
    machine_count: int = 3
    fault_count: int = 6
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    change_count: int = 14
    node_count: int = 0
    fixed_faults: tuple[Fault, ...] | None = None
    world: World = field(init=False)
    _lost_until: dict[str, float] = field(default_factory=dict)  # machines that count as lost, and until when
    _open_changes: list[list[Item]] = field(default_factory=list)  # calls without a clear answer
    _added_machines: int = 0
    _fault_after_ack: Fault | None = None  # waits for an acknowledgement
    _ordered_seats: int = 0  # wanted by the operator's latest order; 0: there was none
    _resize_count: int = 0

    def run(self) -> World:
        """Broken if any rule does not hold; the same seed plays the same again."""
        self.world = world = World(self.seed, self.machine_count)
        rng = world.rng
        told = SimulatedNodes(world, self.node_count)
        world.run_until(3.0)
        versions = dict.fromkeys(KEYS, 1)
        self._send([Item(key=key, version=1, value=b"first") for key in KEYS])
        world.run_until(5.0)
        for fault in self.planned_faults():
            world.call_at(fault.at_s, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
        for i in range(self.change_count):
            at = 5.0 + 14.0 * rng.random()
            world.call_at(at, lambda i=i: self._change_random_keys(versions, i))  # type: ignore[misc]
            world.call_at(at + rng.random(), self._read_random_machine)
        world.run_until(20.0)
        world.heal()
        for machine in world.machines.values():
            machine.stalled_until, machine.sync_slowdown = 0.0, 1.0
            world.thaw(machine)
            world.start(machine)
        world.run_until(20.0 + CALM_DURATION_S)
        self._check_end_state()
        told.check_all_delivered()
        return world

    def planned_faults(self) -> tuple[Fault, ...]:
        """The plan: the same for the same seed, whatever the play does."""
        if self.fixed_faults is not None:
            return self.fixed_faults
        rng = Random(f"plan {self.seed}")
        return tuple(
            Fault(
                5.0 + 12.0 * rng.random(),
                rng.choice(self.fault_kinds),
                rng.random(),
                0.5 + 3.5 * rng.random(),
            )
            for _ in range(self.fault_count)
        )

    # ------------------------------------------------------------ operators

    def _running_machines(self) -> list[Machine]:
        return [m for m in self.world.machines.values() if m.process is not None]

    def _change_random_keys(self, versions: dict[str, int], i: int) -> None:
        rng = self.world.rng
        keys = rng.sample(KEYS, rng.choice((1, 1, 2, 4)))
        for key in keys:
            versions[key] += rng.choice((1, 1, 3))
        items = [
            Item(key=key, version=versions[key], value=b"v%d" % i, dropped=rng.random() < 0.2) for key in keys
        ]
        for item in items:
            if item.dropped:
                item.value = b""
        self._send(items)
        if rng.random() < 0.4:  # another operator at the same time, with the same version
            shared = rng.sample(keys, rng.randint(1, len(keys)))
            rival = [Item(key=key, version=versions[key], value=b"w%d" % i) for key in shared]
            self.world.call_later(0.02 * rng.random(), lambda: self._send(rival))

    def _send(self, items: list[Item]) -> None:
        """Sent again as it was, to any machine, until there is a clear answer."""
        world = self.world
        self._open_changes.append(items)
        done = False
        asked: list[Machine] = []

        def answered(answer: Answer) -> None:
            nonlocal done
            if answer.code in (Code.DONE, Code.CONFLICT) and not done:
                done = True
                self._open_changes.remove(items)
                world.record(f"{items[0].key} v{items[0].version} {items[0].value!r}: {answer.code.name}")
                if answer.code is Code.DONE and self._fault_after_ack is not None:
                    self._lose_after_ack(asked[-1])

        def again() -> None:
            if done:
                return
            running = self._running_machines()
            if running:
                asked.append(world.rng.choice(running))
                world.submit_change(asked[-1], items, answered)
            world.call_later(RETRY_INTERVAL_S + RETRY_INTERVAL_S * world.rng.random(), again)

        again()

    def _read_random_machine(self) -> None:
        running = self._running_machines()
        if running:
            self.world.read(self.world.rng.choice(running), lambda answer: None)

    # ------------------------------------------------------------ faults

    def _may_lose(self, machine: Machine) -> bool:
        now = self.world.now
        lost = {a for a, until in self._lost_until.items() if until > now and a != machine.address}
        return len(lost) < self.world.tolerated_losses

    def _count_as_lost(self, machine: Machine, span: float) -> None:
        self._lost_until[machine.address] = self.world.now + span + RECOVERY_ALLOWANCE_S

    def _lose_after_ack(self, machine: Machine) -> None:
        """The machine that answered loses power, or its disk too, a moment later."""
        fault, self._fault_after_ack = self._fault_after_ack, None
        assert fault is not None
        if machine.process is None or not self._may_lose(machine):
            return
        self._count_as_lost(machine, fault.duration_s)

        def strike() -> None:
            self.world.kill(machine, power=True, wipe=fault.kind == "after_ack_wipe")
            self.world.call_later(fault.duration_s, lambda: self.world.start(machine))

        self.world.call_later(MAX_DELAY_AFTER_ACK_S * fault.position, strike)

    def _inject(self, fault: Fault) -> None:
        world, rng = self.world, self.world.rng
        running = self._running_machines()
        if not running:
            return
        kind, span = fault.kind, fault.duration_s
        machine = running[int(fault.position * len(running))]
        if kind in ("after_ack_kill", "after_ack_wipe"):
            self._fault_after_ack = fault
            return
        if kind in RESIZE_KINDS:
            self._resize(kind == "grow")
            return
        if kind == "kill_all":
            for each in running:
                world.kill(each, power=rng.random() < 0.5)
                world.call_later(0.5 + 0.5 * rng.random(), lambda each=each: world.start(each))  # type: ignore[misc]
            return
        if not self._may_lose(machine):
            return
        self._count_as_lost(machine, span)
        others = [m.address for m in running if m is not machine]
        if kind in ("kill", "power", "wipe"):
            world.kill(machine, power=kind != "kill", wipe=kind == "wipe")
            world.call_later(span, lambda: world.start(machine))
        elif kind in ("cut", "one_way"):
            world.partition([machine.address], others, one_way=kind == "one_way")
            world.call_later(span, world.heal)
        elif kind == "freeze":
            world.freeze(machine)
            world.call_later(span, lambda: world.thaw(machine))
        elif kind == "stall":
            machine.stalled_until = world.now + span
            world.record(f"the disk of {machine.address} stalls for {span:.1f} s")
        elif kind == "slow":
            machine.sync_slowdown = 10.0
            world.record(f"the disk of {machine.address} is slow for {span:.1f} s")
            world.call_later(span, lambda: setattr(machine, "sync_slowdown", 1.0))
        elif kind == "planned":
            self._added_machines += 1
            fresh = world.add_machine(f"10.{50 + self._added_machines}.0.1:1")
            self._count_as_lost(fresh, RECOVERY_ALLOWANCE_S)
            world.call_later(span, lambda: self._remove(machine))
        elif kind == "replace":
            self._added_machines += 1
            fresh = world.replace(machine, f"10.{50 + self._added_machines}.0.1:1")
            self._count_as_lost(fresh, RECOVERY_ALLOWANCE_S)
        elif kind == "resign":
            process = machine.process
            assert process is not None
            world.record(f"{machine.address} resigns")
            world.apply_outputs(machine, process.resign(world.now))
            world.call_later(0.6, lambda: world.kill(machine))
            world.call_later(span + 0.6, lambda: world.start(machine))

    def _resize(self, more: bool) -> None:
        """The operator's order; machines for further seats come with it, and none goes when they are less."""
        world = self.world
        now = self._ordered_seats or self.machine_count
        wanted = now + 2 if more else now - 2
        if not max(3, 2 * world.tolerated_losses + 1) <= wanted <= MAX_SEATS:
            return
        self._ordered_seats, self._resize_count = wanted, self._resize_count + 1
        world.record(f"{wanted} seats are wanted")
        for _ in range(2 * more):
            self._added_machines += 1
            world.add_machine(f"10.{50 + self._added_machines}.0.1:1")
        self._send([Item(key=CORE, version=self._resize_count, value=b"%d" % wanted)])

    def _remove(self, machine: Machine) -> None:
        """SIGTERM, and it does not come back."""
        if machine.process is None:
            return
        self.world.record(f"{machine.address} resigns for good")
        self.world.apply_outputs(machine, machine.process.resign(self.world.now))

        def leave() -> None:
            self.world.kill(machine)
            machine.removed = True

        self.world.call_later(0.6, leave)

    # ------------------------------------------------------------ the end

    def _check_end_state(self) -> None:
        """In calm all machines answer, and what was acknowledged is read back at each."""
        world = self.world
        read: list[str] = []
        for machine in self._running_machines():
            address = machine.address

            def answered(answer: Answer, address: str = address) -> None:
                if answer.code is Code.DONE:
                    read.append(address)

            world.read(machine, answered)
        world.run_until(world.now + 2.0)
        running = [m.address for m in self._running_machines()]
        if sorted(read) != sorted(running):
            world.fail(f"only {read} of {running} answer in calm")
        world.check_linearizable()
        self._check_sizes(running)
        unanswered = [items for items in self._open_changes if not world.is_partly_committed(items)]
        if unanswered:
            world.fail(f"{len(unanswered)} changes have no answer in calm")

    def _check_sizes(self, running: list[str]) -> None:
        """In calm there are as many full seats as were wanted, and sections are spread evenly."""
        if not self._ordered_seats or len(running) < self._ordered_seats:
            return
        world = self.world
        owned: dict[str, int] = {}
        for machine in self._running_machines():
            process = machine.process
            assert process is not None
            holders = process.seats.holders()
            full = [h for h in holders if process.votes(h)]
            if len(full) != self._ordered_seats:
                world.fail(f"{machine.address} sees {full} of {holders}, {self._ordered_seats} are wanted")
            if machine.address in holders:
                owned[machine.address] = len(process.owner.owned())
        if max(owned.values()) - min(owned.values()) > 1:
            world.fail(f"sections are not even: {owned}")


def violated_invariant(broken: InvariantViolation) -> str:
    """A broken rule without names and numbers."""
    return " ".join(word for word in str(broken).splitlines()[0].split() if word.isalpha())


def shrink_scenario(
    course: Scenario, tell: Callable[[str], None] = lambda _: None
) -> tuple[Scenario, InvariantViolation] | None:
    """A course that breaks a rule, with the least of its faults that still break it; None if it breaks none.

    tell is given a line for each try.
    """

    def breaks(plan: Sequence[Fault]) -> InvariantViolation | None:
        try:
            replace(course, fixed_faults=tuple(plan)).run()
        except InvariantViolation as broken:
            return broken
        return None

    plan = course.planned_faults()
    whole = breaks(plan)
    if whole is None:
        return None

    def fails(left: Sequence[Fault]) -> bool:
        found = breaks(left)
        same = found is not None and violated_invariant(found) == violated_invariant(whole)
        tell(f"{len(left)} of {len(plan)} faults: {'breaks' if same else 'does not'}")
        return same

    least = tuple(ddmin(plan, fails))
    return replace(course, fixed_faults=least), breaks(least) or whole
