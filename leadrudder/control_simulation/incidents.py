"""Reproductions of incidents that users had, each with measurements.

A control machine partitioned or paused for 20 s; a second loss at any time after a first one; hundreds to
thousands of changes with members that come back with an empty disk; requests while nodes are paused and
restarted. Each function runs one incident from its seed and raises InvariantViolation where an invariant does
not hold. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_simulation.nodes import SimulatedNodes
from leadrudder.control_simulation.world import InvariantViolation, World
from leadrudder.control_simulation.world import Machine as CoreMachine
from leadrudder.emulation.fleet import BookingOutcomes, Fleet, FleetPlan, Machine
from leadrudder.protocol.mesh_pb2 import Item

KEYS = tuple(f"routes/r{i}" for i in range(8))
FIRST_CHANGE_S = 5.0  # by then every section has an owner
ANSWER_TIMEOUT_S = 1.0  # before an operator tries another machine
RETRY_DELAY_S = 0.1  # before an operator sends a change again
RECOVERY_DURATION_S = 10.0  # after the last fault, in which the system must recover


class Fault(StrEnum):
    """How a control machine becomes unreachable."""

    CUT = "cut from the other control machines"
    NOTHING_OUT = "nothing that it sends to them arrives"
    NOTHING_IN = "nothing that they send arrives"
    STANDSTILL = "its process is paused"
    SLOW_DISK = "its disk takes thirty times as long"


class Operator:
    """Submits changes, each to other machines again until it is answered; at most eight are open."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._versions = dict.fromkeys(KEYS, 0)
        self.confirmation_times_s: list[float] = []  # from the first attempt of a change
        self.refused = 0
        self.open_changes = 0

    def change_periodically(self, interval_s: float, end_s: float, keys: Iterable[str] = KEYS) -> None:
        names = tuple(keys)
        count = 0

        def send() -> None:
            nonlocal count
            if self._world.now >= end_s:
                return
            if self.open_changes < 8:
                self.change(names[count % len(names)])
                count += 1
            self._world.call_later(interval_s, send)

        send()

    def change(self, key: str) -> None:
        self._versions[key] = version = self._versions.get(key, 0) + 1
        world, start_s = self._world, self._world.now
        item = Item(key=key, version=version, value=b"value %d" % version)
        self.open_changes += 1
        is_done = False

        def send(excluded_address: str) -> None:
            if is_done:
                return
            candidates = [
                m for m in world.machines.values() if m.process is not None and m.address != excluded_address
            ]
            if not candidates:
                world.call_later(RETRY_DELAY_S, lambda: send(""))
                return
            machine = world.rng.choice(candidates)
            is_answered = False

            def on_answer(answer: Answer) -> None:
                nonlocal is_answered, is_done
                is_answered = True
                if is_done:
                    return
                if answer.code is ResultCode.BUSY:
                    world.call_later(RETRY_DELAY_S, lambda: send(machine.address))
                    return
                is_done = True
                self.open_changes -= 1
                self.refused += answer.code is ResultCode.CONFLICT
                self.confirmation_times_s.append(world.now - start_s)

            world.submit_change(machine, [item], on_answer)
            world.call_later(ANSWER_TIMEOUT_S, lambda: None if is_answered else send(machine.address))

        send("")


@dataclass(frozen=True, slots=True)
class UnreachableResult:
    """The effect of an unreachable control machine."""

    changes: int
    ack_max_s: float  # the longest time from a change to its confirmation
    apply_max_s: float  # the longest time from a confirmation until a node received the item


def run_unreachable_machine(
    seed: int, fault: Fault, duration_s: float = 20.0, node_count: int = 6
) -> UnreachableResult:
    world = World(seed)
    nodes = SimulatedNodes(world, node_count)
    world.run_until(FIRST_CHANGE_S)
    operator = Operator(world)
    machine = list(world.machines.values())[seed % len(world.machines)]
    others = [m.address for m in world.machines.values() if m is not machine]
    if fault is Fault.STANDSTILL:
        world.call_at(6.0, lambda: world.freeze(machine))
        world.call_at(6.0 + duration_s, lambda: world.thaw(machine))
    elif fault is Fault.SLOW_DISK:
        world.call_at(6.0, lambda: setattr(machine, "sync_slowdown", 30.0))
        world.call_at(6.0 + duration_s, lambda: setattr(machine, "sync_slowdown", 1.0))
    else:
        ends = ([machine.address], others)
        senders, receivers = ends if fault is not Fault.NOTHING_IN else ends[::-1]
        world.call_at(6.0, lambda: world.partition(senders, receivers, one_way=fault is not Fault.CUT))
        world.call_at(6.0 + duration_s, world.heal)
    operator.change_periodically(0.4, 6.0 + duration_s)
    world.run_until(6.0 + duration_s + RECOVERY_DURATION_S)
    if operator.open_changes or operator.refused:
        world.fail(
            f"{operator.open_changes} changes unanswered after recovery, {operator.refused} were refused"
        )
    world.answers.check_linearizable()
    nodes.check_all_delivered()
    return UnreachableResult(
        len(operator.confirmation_times_s), max(operator.confirmation_times_s), nodes.max_propagation_s()
    )


class FirstLoss(StrEnum):
    """The first of two consecutive losses."""

    WIPED = "its disk is lost, and it is back at once"
    REPLACED = "lost permanently, and replaced by an empty one"
    RESTARTED = "killed, and back at once"


def run_two_losses(seed: int, first: FirstLoss, after_s: float) -> bool:
    """The second machine loses power after_s after the first loss, and its disk if the first has recovered.

    Returns whether the second machine lost its disk.
    """
    world = World(seed)
    world.run_until(FIRST_CHANGE_S)
    operator = Operator(world)
    operator.change_periodically(0.15, 12.0)
    first_lost, second_lost, _ = world.rng.sample(list(world.machines.values()), 3)
    returning: list[CoreMachine] = [first_lost]

    def lose_first() -> None:
        if first is FirstLoss.REPLACED:
            returning[0] = world.replace(first_lost, "10.60.0.1:1")
            return
        world.kill(first_lost, wipe=first is FirstLoss.WIPED)
        world.call_later(0.1, lambda: world.start(first_lost))

    wiped: list[bool] = []

    def lose_second() -> None:
        process = returning[0].process
        wiped.append(process is not None and process.voter_table.full)
        world.kill(second_lost, power=True, wipe=wiped[0])
        world.call_later(1.5, lambda: world.start(second_lost))

    world.call_at(6.0, lose_first)
    world.call_at(6.0 + after_s, lose_second)
    world.run_until(14.0 + RECOVERY_DURATION_S)
    if operator.open_changes or operator.refused:
        world.fail(
            f"{operator.open_changes} changes unanswered after recovery, {operator.refused} were refused"
        )
    world.answers.check_linearizable()
    check_reads(world)
    return wiped[0]


def check_reads(world: World) -> None:
    """Every machine answers a read; World checks the answers against what was acknowledged."""
    answers: list[ResultCode] = []
    running = [m for m in world.machines.values() if m.process is not None]
    for machine in running:
        world.read(machine, lambda answer: answers.append(answer.code))
    world.run_until(world.now + 2.0)
    if answers != [ResultCode.DONE] * len(running):
        world.fail(f"reads after recovery end with {answers}")


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """What a member needs to catch up after many changes.  wiped_bytes: sent to it until then."""

    changes: int
    restarted_s: float
    wiped_s: float
    absent_s: float
    wiped_bytes: int
    largest_frame_bytes: int  # in the whole run
    longest_step_s: float  # wall-clock time, for one input of one machine


def run_many_changes(seed: int, changes: int, keys: int) -> CatchUpResult:
    """One member restarts, one misses a third of the changes, and one comes back with an empty disk."""
    world = World(seed)
    world.max_events = 400 * changes + 400_000
    world.run_until(FIRST_CHANGE_S)
    operator = Operator(world)
    names = [f"routes/r{i}" for i in range(keys)]
    changes_sent = 0

    def change(count: int) -> None:
        nonlocal changes_sent
        for end in range(changes_sent + 8, changes_sent + count + 8, 8):
            while changes_sent < min(end, changes_sent + count, changes):
                operator.change(names[changes_sent % keys])
                changes_sent += 1
            while operator.open_changes:
                world.run_until(world.now + 0.02)

    def caught_up_s(machine: CoreMachine) -> float:
        """Seconds until the machine has a full voter slot and all items of the others."""
        start_s = world.now
        others = [m.process for m in world.machines.values() if m is not machine and m.process is not None]
        while world.now < start_s + 60.0:
            process = machine.process
            is_complete = (
                process is not None and process.voter_table.full and process.ownership.knows_all_sections()
            )
            if is_complete and process is not None:
                digest = process.committed.digest
                if all(digest == other.committed.digest for other in others):
                    return world.now - start_s
            world.run_until(world.now + 0.02)
        world.fail(f"{machine.address} has not caught up after a minute")
        return 0.0

    restarted, absent, wiped = world.machines.values()
    change(changes // 3)
    world.kill(restarted)
    world.start(restarted)
    restarted_s = caught_up_s(restarted)
    world.kill(absent, power=True)
    change(changes // 3)
    world.start(absent)
    absent_s = caught_up_s(absent)
    change(changes - changes_sent)
    world.kill(wiped, power=True, wipe=True)
    before = world.bytes_sent_to[wiped.address]
    world.start(wiped)
    wiped_s = caught_up_s(wiped)
    wiped_bytes = world.bytes_sent_to[wiped.address] - before
    check_reads(world)
    return CatchUpResult(
        changes, restarted_s, wiped_s, absent_s, wiped_bytes, world.largest_frame_bytes, world.longest_step_s
    )


def run_requests(seed: int, plan: FleetPlan, faults: int = 6) -> BookingOutcomes:
    """Requests, some not repeatable, while machines and servers are paused and nodes are killed."""
    fleet = Fleet(seed, plan)
    rng = Random(f"calls/{seed}")
    begin, end = plan.traffic_period_s
    for _ in range(faults):
        machine = rng.choice(fleet.node_machines)
        at_s = rng.uniform(begin + 1.0, end - 6.0)
        fleet.call_at(at_s, _fault_callback(fleet, machine, rng))
    fleet.run_until(end + 4.0)
    outcomes = BookingOutcomes.of(fleet)
    if outcomes.twice or outcomes.lost or fleet.errors:
        raise InvariantViolation(f"seed {seed}: {outcomes}, faults {fleet.errors[:2]}")
    return outcomes


def _fault_callback(fleet: Fleet, machine: Machine, rng: Random) -> Callable[[], None]:
    fault = rng.choice(("node paused", "server paused", "node killed", "control paused"))
    duration_s = rng.uniform(0.2, 4.0)

    def inject() -> None:
        if fault == "node killed":
            fleet.kill(machine, "station")
            fleet.call_at(fleet.now + 0.3, lambda: fleet.start_node(machine))
            return
        target = rng.choice(fleet.control_machines) if fault == "control paused" else machine
        process_kind = (
            "signalbox" if target is not machine else "server" if fault.startswith("server") else "station"
        )
        fleet.freeze(target, process_kind, duration_s)

    return inject
