"""Days that once went wrong for users, each brought about on purpose and measured.

A control machine cut off or standing still for 20 s; a second loss at any moment after a first; hundreds to
thousands of changes with members that come back empty; calls while nodes stand still and restart. Each
function plays one day from its seed and raises Broken where a rule does not hold. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from leadrudder.consensus.outputs import Answer, Code
from leadrudder.control_simulation.nodes import SimulatedNodes
from leadrudder.control_simulation.world import InvariantViolation, World
from leadrudder.control_simulation.world import Machine as CoreMachine
from leadrudder.emulation.fleet import BookingOutcomes, Fleet, FleetPlan, Machine
from leadrudder.protocol.mesh_pb2 import Item

KEYS = tuple(f"routes/r{i}" for i in range(8))
FIRST_CHANGE_S = 5.0  # the first order; by then every section has an owner
ANSWER_TIMEOUT_S = 1.0  # an operator goes to another machine after so long without an answer
RETRY_DELAY_S = 0.1  # before it sends again
CALM_DURATION_S = 10.0  # after the last fault, in which everything must come right


class Fault(StrEnum):
    """How a control machine is out of reach."""

    CUT = "cut from the other control machines"
    NOTHING_OUT = "nothing that it sends to them arrives"
    NOTHING_IN = "nothing that they send arrives"
    STANDSTILL = "its process stands still"
    SLOW_DISK = "its disk takes thirty times as long"


class Operator:
    """Sends orders, each again to another machine until it is confirmed; at most eight are open."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._versions = dict.fromkeys(KEYS, 0)
        self.confirmation_times_s: list[float] = []  # from the first sending of an order to its confirmation
        self.refused = 0
        self.open_changes = 0

    def change_periodically(self, gap_s: float, until: float, keys: Iterable[str] = KEYS) -> None:
        names = tuple(keys)
        count = 0

        def send() -> None:
            nonlocal count
            if self._world.now >= until:
                return
            if self.open_changes < 8:
                self.change(names[count % len(names)])
                count += 1
            self._world.call_later(gap_s, send)

        send()

    def change(self, key: str) -> None:
        self._versions[key] = version = self._versions.get(key, 0) + 1
        world, began = self._world, self._world.now
        item = Item(key=key, version=version, value=b"value %d" % version)
        self.open_changes += 1
        ended = False

        def send(skipped: str) -> None:
            if ended:
                return
            there = [m for m in world.machines.values() if m.process is not None and m.address != skipped]
            if not there:
                world.call_later(RETRY_DELAY_S, lambda: send(""))
                return
            machine = world.rng.choice(there)
            answered = False

            def take(answer: Answer) -> None:
                nonlocal answered, ended
                answered = True
                if ended:
                    return
                if answer.code is Code.BUSY:
                    world.call_later(RETRY_DELAY_S, lambda: send(machine.address))
                    return
                ended = True
                self.open_changes -= 1
                self.refused += answer.code is Code.CONFLICT
                self.confirmation_times_s.append(world.now - began)

            world.submit_change(machine, [item], take)
            world.call_later(ANSWER_TIMEOUT_S, lambda: None if answered else send(machine.address))

        send("")


@dataclass(frozen=True, slots=True)
class UnreachableResult:
    """What a machine that was out of reach cost."""

    orders: int
    ack_max_s: float  # the longest that an order waited, sent to any machine first
    apply_max_s: float  # from a confirmation until the last station had it


def run_unreachable_machine(
    seed: int, fault: Fault, span_s: float = 20.0, stations: int = 6
) -> UnreachableResult:
    world = World(seed)
    told = SimulatedNodes(world, stations)
    world.run_until(FIRST_CHANGE_S)
    operator = Operator(world)
    machine = list(world.machines.values())[seed % len(world.machines)]
    others = [m.address for m in world.machines.values() if m is not machine]
    if fault is Fault.STANDSTILL:
        world.call_at(6.0, lambda: world.freeze(machine))
        world.call_at(6.0 + span_s, lambda: world.thaw(machine))
    elif fault is Fault.SLOW_DISK:
        world.call_at(6.0, lambda: setattr(machine, "sync_slowdown", 30.0))
        world.call_at(6.0 + span_s, lambda: setattr(machine, "sync_slowdown", 1.0))
    else:
        ends = ([machine.address], others)
        one, other = ends if fault is not Fault.NOTHING_IN else ends[::-1]
        world.call_at(6.0, lambda: world.partition(one, other, one_way=fault is not Fault.CUT))
        world.call_at(6.0 + span_s, world.heal)
    operator.change_periodically(0.4, 6.0 + span_s)
    world.run_until(6.0 + span_s + CALM_DURATION_S)
    if operator.open_changes or operator.refused:
        world.fail(f"{operator.open_changes} orders have no answer in calm, {operator.refused} were refused")
    world.check_linearizable()
    told.check_all_delivered()
    return UnreachableResult(
        len(operator.confirmation_times_s), max(operator.confirmation_times_s), told.max_propagation_s()
    )


class FirstLoss(StrEnum):
    """The first of two losses in a row."""

    WIPED = "its disk is lost, and it is back at once"
    REPLACED = "gone for good, an empty one comes"
    RESTARTED = "killed, and back at once"


def run_two_losses(seed: int, first: FirstLoss, after_s: float) -> bool:
    """The second loses power after_s after the first loss; its disk too where the first is whole again.

    Returns whether the second lost its disk.
    """
    world = World(seed)
    world.run_until(FIRST_CHANGE_S)
    operator = Operator(world)
    operator.change_periodically(0.15, 12.0)
    one, two, _ = world.rng.sample(list(world.machines.values()), 3)
    fresh: list[CoreMachine] = [one]

    def lose_first() -> None:
        if first is FirstLoss.REPLACED:
            fresh[0] = world.replace(one, "10.60.0.1:1")
            return
        world.kill(one, wipe=first is FirstLoss.WIPED)
        world.call_later(0.1, lambda: world.start(one))

    wiped: list[bool] = []

    def lose_second() -> None:
        process = fresh[0].process
        wiped.append(process is not None and process.seats.full)
        world.kill(two, power=True, wipe=wiped[0])
        world.call_later(1.5, lambda: world.start(two))

    world.call_at(6.0, lose_first)
    world.call_at(6.0 + after_s, lose_second)
    world.run_until(14.0 + CALM_DURATION_S)
    if operator.open_changes or operator.refused:
        world.fail(f"{operator.open_changes} orders have no answer in calm, {operator.refused} were refused")
    world.check_linearizable()
    check_reads(world)
    return wiped[0]


def check_reads(world: World) -> None:
    """Every machine answers a read in calm; the world holds it against what was acknowledged."""
    answers: list[Code] = []
    running = [m for m in world.machines.values() if m.process is not None]
    for machine in running:
        world.read(machine, lambda answer: answers.append(answer.code))
    world.run_until(world.now + 2.0)
    if answers != [Code.DONE] * len(running):
        world.fail(f"reads in calm end with {answers}")


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """What it takes a member to be useful again after many changes.  bytes: sent to it until then."""

    changes: int
    restarted_s: float
    wiped_s: float
    absent_s: float
    wiped_bytes: int
    largest_frame_bytes: int  # bytes, of the whole play
    longest_step_s: float  # of real processor time, for one input of one machine


def run_many_changes(seed: int, changes: int, keys: int) -> CatchUpResult:
    """A member restarted in the middle, one that comes back empty, and one that was away for a third."""
    world = World(seed)
    world.max_events = 400 * changes + 400_000
    world.run_until(FIRST_CHANGE_S)
    operator = Operator(world)
    names = [f"routes/r{i}" for i in range(keys)]
    position = 0

    def change(count: int) -> None:
        nonlocal position
        for end in range(position + 8, position + count + 8, 8):
            while position < min(end, position + count, changes):
                operator.change(names[position % keys])
                position += 1
            while operator.open_changes:
                world.run_until(world.now + 0.02)

    def useful(machine: CoreMachine) -> float:
        """Seconds until it is full and knows all that stands elsewhere."""
        began = world.now
        others = [m.process for m in world.machines.values() if m is not machine and m.process is not None]
        while world.now < began + 60.0:
            process = machine.process
            whole = process is not None and process.seats.full and process.owner.complete()
            if whole and process is not None:
                known = process.standing.digest
                if all(known == other.standing.digest for other in others):
                    return world.now - began
            world.run_until(world.now + 0.02)
        world.fail(f"{machine.address} has not caught up after a minute")
        return 0.0

    one, two, three = world.machines.values()
    change(changes // 3)
    world.kill(one)
    world.start(one)
    restarted_s = useful(one)
    world.kill(two, power=True)
    change(changes // 3)
    world.start(two)
    absent_s = useful(two)
    change(changes - position)
    world.kill(three, power=True, wipe=True)
    before = world.bytes_sent_to[three.address]
    world.start(three)
    wiped_s = useful(three)
    wiped_bytes = world.bytes_sent_to[three.address] - before
    check_reads(world)
    return CatchUpResult(
        changes, restarted_s, wiped_s, absent_s, wiped_bytes, world.largest_frame_bytes, world.longest_step_s
    )


def run_requests(seed: int, plan: FleetPlan, faults: int = 6) -> BookingOutcomes:
    """Requests of which some may run once only, while nodes stand still and nodes and servers are killed."""
    fleet = Fleet(seed, plan)
    rng = Random(f"calls/{seed}")
    begin, end = plan.traffic_period_s
    for _ in range(faults):
        machine = rng.choice(fleet.node_machines)
        at = rng.uniform(begin + 1.0, end - 6.0)
        fleet.call_at(at, _strike(fleet, machine, rng))
    fleet.run_until(end + 4.0)
    told = BookingOutcomes.of(fleet)
    if told.twice or told.lost or fleet.errors:
        raise InvariantViolation(f"seed {seed}: {told}, faults {fleet.errors[:2]}")
    return told


def _strike(fleet: Fleet, machine: Machine, rng: Random) -> Callable[[], None]:
    kind = rng.choice(("node stands still", "server stands still", "node killed", "control stands still"))
    span = rng.uniform(0.2, 4.0)

    def strike() -> None:
        if kind == "node killed":
            fleet.kill(machine, "station")
            fleet.call_at(fleet.now + 0.3, lambda: fleet.start_node(machine))
            return
        place = rng.choice(fleet.control_machines) if kind == "control stands still" else machine
        loop = "signalbox" if place is not machine else "server" if kind.startswith("server") else "station"
        fleet.freeze(place, loop, span)

    return strike
