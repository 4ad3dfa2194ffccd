"""Simulation scenarios: faults and operator requests drawn from a seed, and checks of the final state."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from leadrudder.configuration.items import VOTER_COUNT_KEY
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_simulation.nodes import SimulatedNodes
from leadrudder.control_simulation.world import InvariantViolation, Machine, World
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.simulation.shrink import ddmin

KEYS = [f"routes/r{i}" for i in range(6)] + ["services/s", "limits"]
RECOVERY_ALLOWANCE_S = 4.0  # a restarted machine counts as lost for this long
RETRY_INTERVAL_S = 0.4  # before an operator sends a change again, to any machine
RECOVERY_DURATION_S = 12.0  # without faults, before the final state is checked

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
FREEZE_KINDS = ("freeze",)  # a process is paused and resumes with its former state
RESIZE_KINDS = ("grow", "shrink")  # two voter slots more, with new machines for them; two fewer
MAX_VOTER_SLOTS = 9
MAX_DELAY_AFTER_ACK_S = 0.004  # from an acknowledgement to the loss of the machine that sent it


@dataclass(frozen=True, slots=True)
class Fault:
    """A planned fault.  position: of the affected machine, as a fraction of the list of running machines."""

    at_s: float
    kind: str
    position: float
    duration_s: float

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.kind}, {self.duration_s:.1f} s"


@dataclass(slots=True)
class Scenario:
    """A simulation run, fully determined by its fields.

    node_count: data plane nodes that subscribe to the configuration; fixed_faults: used in place of faults
    drawn from the seed.
    """

    seed: int
    machine_count: int = 3
    fault_count: int = 6
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    change_count: int = 14
    node_count: int = 0
    fixed_faults: tuple[Fault, ...] | None = None
    world: World = field(init=False)
    _lost_until: dict[str, float] = field(default_factory=dict)  # by address
    _open_changes: list[list[Item]] = field(default_factory=list)  # without a definite answer
    _added_machines: int = 0
    _fault_after_ack: Fault | None = None  # strikes at the next acknowledgement
    _ordered_slots: int = 0  # by the operator's latest resize; 0: no resize yet
    _resize_count: int = 0

    def run(self) -> World:
        """Raise InvariantViolation if an invariant does not hold; the same seed gives the same run."""
        self.world = world = World(self.seed, self.machine_count)
        rng = world.rng
        nodes = SimulatedNodes(world, self.node_count)
        world.run_until(3.0)
        versions = dict.fromkeys(KEYS, 1)
        self._send([Item(key=key, version=1, value=b"first") for key in KEYS])
        world.run_until(5.0)
        for fault in self.planned_faults():
            world.call_at(fault.at_s, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
        for i in range(self.change_count):
            at_s = 5.0 + 14.0 * rng.random()
            world.call_at(at_s, lambda i=i: self._change_random_keys(versions, i))  # type: ignore[misc]
            world.call_at(at_s + rng.random(), self._read_random_machine)
        world.run_until(20.0)
        world.heal()
        for machine in world.machines.values():
            machine.stalled_until, machine.sync_slowdown = 0.0, 1.0
            world.thaw(machine)
            world.start(machine)
        world.run_until(20.0 + RECOVERY_DURATION_S)
        self._check_end_state()
        nodes.check_all_delivered()
        return world

    def planned_faults(self) -> tuple[Fault, ...]:
        """The faults: the same for the same seed, whatever happens during the run."""
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

    # ------------------------------------------------------------ requests of operators

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
        if rng.random() < 0.4:  # a concurrent change by another operator, with the same version
            shared = rng.sample(keys, rng.randint(1, len(keys)))
            concurrent_items = [Item(key=key, version=versions[key], value=b"w%d" % i) for key in shared]
            self.world.call_later(0.02 * rng.random(), lambda: self._send(concurrent_items))

    def _send(self, items: list[Item]) -> None:
        """Send a change, unaltered and to any machine, until there is a definite answer."""
        world = self.world
        self._open_changes.append(items)
        is_done = False
        receivers: list[Machine] = []

        def on_answer(answer: Answer) -> None:
            nonlocal is_done
            if answer.code in (ResultCode.DONE, ResultCode.CONFLICT) and not is_done:
                is_done = True
                self._open_changes.remove(items)
                world.record(f"{items[0].key} v{items[0].version} {items[0].value!r}: {answer.code.name}")
                if answer.code is ResultCode.DONE and self._fault_after_ack is not None:
                    self._lose_after_ack(receivers[-1])

        def submit() -> None:
            if is_done:
                return
            running = self._running_machines()
            if running:
                receivers.append(world.rng.choice(running))
                world.submit_change(receivers[-1], items, on_answer)
            world.call_later(RETRY_INTERVAL_S + RETRY_INTERVAL_S * world.rng.random(), submit)

        submit()

    def _read_random_machine(self) -> None:
        running = self._running_machines()
        if running:
            self.world.read(self.world.rng.choice(running), lambda answer: None)

    # ------------------------------------------------------------ faults

    def _may_lose(self, machine: Machine) -> bool:
        now = self.world.now
        lost = {
            address
            for address, until in self._lost_until.items()
            if until > now and address != machine.address
        }
        return len(lost) < self.world.tolerated_losses

    def _count_as_lost(self, machine: Machine, outage_s: float) -> None:
        self._lost_until[machine.address] = self.world.now + outage_s + RECOVERY_ALLOWANCE_S

    def _lose_after_ack(self, machine: Machine) -> None:
        """The machine that acknowledged a change loses power, and possibly its disk, soon afterwards."""
        fault, self._fault_after_ack = self._fault_after_ack, None
        assert fault is not None
        if machine.process is None or not self._may_lose(machine):
            return
        self._count_as_lost(machine, fault.duration_s)

        def lose() -> None:
            self.world.kill(machine, power=True, wipe=fault.kind == "after_ack_wipe")
            self.world.call_later(fault.duration_s, lambda: self.world.start(machine))

        self.world.call_later(MAX_DELAY_AFTER_ACK_S * fault.position, lose)

    def _inject(self, fault: Fault) -> None:
        world, rng = self.world, self.world.rng
        running = self._running_machines()
        if not running:
            return
        kind, duration_s = fault.kind, fault.duration_s
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
        self._count_as_lost(machine, duration_s)
        others = [m.address for m in running if m is not machine]
        if kind in ("kill", "power", "wipe"):
            world.kill(machine, power=kind != "kill", wipe=kind == "wipe")
            world.call_later(duration_s, lambda: world.start(machine))
        elif kind in ("cut", "one_way"):
            world.partition([machine.address], others, one_way=kind == "one_way")
            world.call_later(duration_s, world.heal)
        elif kind == "freeze":
            world.freeze(machine)
            world.call_later(duration_s, lambda: world.thaw(machine))
        elif kind == "stall":
            machine.stalled_until = world.now + duration_s
            world.record(f"the disk of {machine.address} stalls for {duration_s:.1f} s")
        elif kind == "slow":
            machine.sync_slowdown = 10.0
            world.record(f"the disk of {machine.address} is slow for {duration_s:.1f} s")
            world.call_later(duration_s, lambda: setattr(machine, "sync_slowdown", 1.0))
        elif kind == "planned":
            self._added_machines += 1
            new_machine = world.add_machine(f"10.{50 + self._added_machines}.0.1:1")
            self._count_as_lost(new_machine, RECOVERY_ALLOWANCE_S)
            world.call_later(duration_s, lambda: self._remove(machine))
        elif kind == "replace":
            self._added_machines += 1
            new_machine = world.replace(machine, f"10.{50 + self._added_machines}.0.1:1")
            self._count_as_lost(new_machine, RECOVERY_ALLOWANCE_S)
        elif kind == "resign":
            process = machine.process
            assert process is not None
            world.record(f"{machine.address} resigns")
            world.apply_outputs(machine, process.resign(world.now))
            world.call_later(0.6, lambda: world.kill(machine))
            world.call_later(duration_s + 0.6, lambda: world.start(machine))

    def _resize(self, grow: bool) -> None:
        """Change the number of voter slots; growing adds machines, shrinking removes none."""
        world = self.world
        current = self._ordered_slots or self.machine_count
        slot_count = current + 2 if grow else current - 2
        if not max(3, 2 * world.tolerated_losses + 1) <= slot_count <= MAX_VOTER_SLOTS:
            return
        self._ordered_slots, self._resize_count = slot_count, self._resize_count + 1
        world.record(f"{slot_count} voter slots are ordered")
        for _ in range(2 * grow):
            self._added_machines += 1
            world.add_machine(f"10.{50 + self._added_machines}.0.1:1")
        self._send([Item(key=VOTER_COUNT_KEY, version=self._resize_count, value=b"%d" % slot_count)])

    def _remove(self, machine: Machine) -> None:
        """SIGTERM; the machine does not come back."""
        if machine.process is None:
            return
        self.world.record(f"{machine.address} resigns permanently")
        self.world.apply_outputs(machine, machine.process.resign(self.world.now))

        def remove() -> None:
            self.world.kill(machine)
            machine.removed = True

        self.world.call_later(0.6, remove)

    # ------------------------------------------------------------ checks of the final state

    def _check_end_state(self) -> None:
        """Without faults every machine answers, and returns everything that was acknowledged."""
        world = self.world
        answered: list[str] = []
        for machine in self._running_machines():
            address = machine.address

            def on_answer(answer: Answer, address: str = address) -> None:
                if answer.code is ResultCode.DONE:
                    answered.append(address)

            world.read(machine, on_answer)
        world.run_until(world.now + 2.0)
        running = [m.address for m in self._running_machines()]
        if sorted(answered) != sorted(running):
            world.fail(f"only {answered} of {running} answer without faults")
        world.answers.check_linearizable()
        self._check_sizes(running)
        unanswered = [items for items in self._open_changes if not world.answers.is_partly_committed(items)]
        if unanswered:
            world.fail(f"{len(unanswered)} changes have no answer without faults")

    def _check_sizes(self, running: list[str]) -> None:
        """Without faults there are as many full voter slots as ordered, and sections are spread evenly."""
        if not self._ordered_slots or len(running) < self._ordered_slots:
            return
        world = self.world
        sections_owned: dict[str, int] = {}
        for machine in self._running_machines():
            process = machine.process
            assert process is not None
            holders = process.voter_table.holders()
            full_slots = [holder for holder in holders if process.is_voter(holder)]
            if len(full_slots) != self._ordered_slots:
                world.fail(
                    f"{machine.address} sees {full_slots} of {holders}, {self._ordered_slots} are wanted"
                )
            if machine.address in holders:
                sections_owned[machine.address] = len(process.ownership.owned_sections())
        if max(sections_owned.values()) - min(sections_owned.values()) > 1:
            world.fail(f"sections are not even: {sections_owned}")


def violated_invariant(violation: InvariantViolation) -> str:
    """The violated invariant, without names and numbers."""
    return " ".join(word for word in str(violation).splitlines()[0].split() if word.isalpha())


def shrink_scenario(
    scenario: Scenario, report: Callable[[str], None] = lambda _: None
) -> tuple[Scenario, InvariantViolation] | None:
    """A failing scenario with a minimal set of its faults that still violates the same invariant.

    None if the scenario does not fail. report is given a line for each attempt.
    """

    def violation_of(plan: Sequence[Fault]) -> InvariantViolation | None:
        try:
            replace(scenario, fixed_faults=tuple(plan)).run()
        except InvariantViolation as violation:
            return violation
        return None

    plan = scenario.planned_faults()
    original = violation_of(plan)
    if original is None:
        return None

    def fails_alike(faults: Sequence[Fault]) -> bool:
        violation = violation_of(faults)
        same = violation is not None and violated_invariant(violation) == violated_invariant(original)
        report(f"{len(faults)} of {len(plan)} faults: {'breaks' if same else 'does not'}")
        return same

    minimal = tuple(ddmin(plan, fails_alike))
    return replace(scenario, fixed_faults=minimal), violation_of(minimal) or original
