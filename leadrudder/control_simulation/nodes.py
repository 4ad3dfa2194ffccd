"""Data plane nodes in a simulation: each has a session with one control machine and receives committed items.

Nodes keep items in the production item store. A control machine accepts a session as in production: once it
has the state of the owner of every section and recent contact with a majority. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.quorum_check import FRESH_AGE_S
from leadrudder.control_simulation.world import LINK_DELAY_RANGE_S, Machine, World
from leadrudder.protocol.mesh_pb2 import Item

SESSION_RETRY_INTERVAL_S = 0.25  # between attempts to open a session
PROPAGATION_BOUND_S = 2.5  # without faults, from an acknowledgement until every node has the item


@dataclass(slots=True)
class SimulatedNode:
    store: ItemStore = field(default_factory=ItemStore)
    machine_address: str = ""
    incarnation: int = 0  # of the machine's process
    received_versions: dict[str, list[tuple[int, float]]] = field(
        default_factory=dict
    )  # (version, time received) by key


class SimulatedNodes:
    """All data plane nodes of a simulation."""

    def __init__(self, world: World, count: int) -> None:
        self._world = world
        self.nodes = [SimulatedNode() for _ in range(count)]
        if count:
            world.commit_listeners.append(self._on_committed)
            world.call_at(SESSION_RETRY_INTERVAL_S, self._open_sessions)

    def _open_sessions(self) -> None:
        """Nodes without a session open one with any running machine."""
        world = self._world
        running = [m for m in world.machines.values() if m.process is not None]
        for node in self.nodes:
            if self._has_session(node):
                continue
            node.machine_address = ""
            if running:
                self.open_session(node, world.rng.choice(running))
        world.call_later(SESSION_RETRY_INTERVAL_S, self._open_sessions)

    def _has_session(self, node: SimulatedNode) -> bool:
        machine = self._world.machines.get(node.machine_address)
        if (
            machine is None
            or machine.process is None
            or machine.frozen
            or machine.incarnation != node.incarnation
        ):
            return False
        return not machine.process.quorum_check.is_lost(self._world.now)

    def open_session(self, node: SimulatedNode, machine: Machine) -> None:
        """A frozen machine handles this first when it resumes, before it notices its closed links."""
        incarnation = machine.incarnation

        def accept() -> None:
            process = machine.process
            if (
                process is None
                or machine.incarnation != incarnation
                or node.machine_address
                or not process.ownership.knows_all_sections()
            ):
                return
            if not process.quorum_check.is_fresh(self._world.now):
                return
            self._check_initial_state(machine, process.committed)
            node.machine_address, node.incarnation = machine.address, incarnation
            self._deliver(node, tuple(process.committed.items.values()))

        if machine.frozen:
            machine.deferred_inputs.insert(0, accept)
        else:
            accept()

    def _check_initial_state(self, machine: Machine, store: ItemStore) -> None:
        """The initial state of a session must include what was acknowledged more than FRESH_S ago."""
        for change in self._world.answers.acknowledgements:
            if change.at_s > self._world.now - FRESH_AGE_S:
                break
            item = store.items.get(change.key)
            if item is None or item.version < change.version:
                self._world.fail(
                    f"{machine.address} hands out {change.key} older than version {change.version}"
                )

    def _on_committed(self, machine: Machine, items: tuple[Item, ...]) -> None:
        for node in self.nodes:
            if node.machine_address == machine.address and node.incarnation == machine.incarnation:
                self._deliver(node, items)

    def _deliver(self, node: SimulatedNode, items: Iterable[Item]) -> None:
        """Updates may arrive in any order; an outdated one changes nothing."""
        self._world.call_later(
            self._world.rng.uniform(*LINK_DELAY_RANGE_S), lambda: self._receive(node, items)
        )

    def _receive(self, node: SimulatedNode, items: Iterable[Item]) -> None:
        before = {item.key: node.store.items.get(item.key) for item in items}
        for item in node.store.merge(items):
            node.received_versions.setdefault(item.key, []).append((item.version, self._world.now))
        for key, old in before.items():
            new = node.store.items[key]
            if old is not None and new.version < old.version:
                self._world.fail(f"a node goes back: {key} from version {old.version} to {new.version}")
            value = b"" if new.dropped else b"=" + new.value
            if self._world.answers.committed_values.get((key, new.version)) != value:
                self._world.fail(f"a node has {key} version {new.version}, which was never committed")

    def max_propagation_s(self) -> float:
        """The longest time from the acknowledgement of a version until a node had it or a later one."""
        longest = 0.0
        for change in self._world.answers.acknowledgements:
            receipt_times = [
                min(
                    (
                        at
                        for version, at in node.received_versions.get(change.key, ())
                        if version >= change.version
                    ),
                    default=None,
                )
                for node in self.nodes
            ]
            delays = [at - change.at_s for at in receipt_times if at is not None]
            longest = max([longest, *delays])
        return longest

    def check_all_delivered(self) -> None:
        """Without faults every node receives everything that was acknowledged."""
        world = self._world
        if not self.nodes:
            return
        world.run_until(world.now + PROPAGATION_BOUND_S)
        for number, node in enumerate(self.nodes):
            for key, item in world.answers.latest_acknowledged.items():
                known = node.store.items.get(key)
                if known is None or known.version < item.version:
                    world.fail(f"node {number} lacks {key} version {item.version} without faults")
