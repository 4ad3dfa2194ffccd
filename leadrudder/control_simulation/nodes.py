"""Stations in a rehearsal: each has a session with one signalbox, and is told what stands.

They take in items by the very book that stations use. A session is taken as the signalbox takes it: once
it was told by the owner of every section and has fresh contact with a majority. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import Book
from leadrudder.consensus.quorum_check import FRESH_S
from leadrudder.control_simulation.world import LINK_DELAY_RANGE_S, Machine, World
from leadrudder.protocol.mesh_pb2 import Item

SESSION_RETRY_INTERVAL_S = 0.25  # how often a station without a session looks for one
PROPAGATION_BOUND_S = 2.5  # in calm all that was acknowledged is with every station after so much


@dataclass(slots=True)
class SimulatedNode:
    store: Book = field(default_factory=Book)
    machine_address: str = ""
    incarnation: int = 0  # of the home's process
    received_versions: dict[str, list[tuple[int, float]]] = field(
        default_factory=dict
    )  # versions by key, and when they came


class SimulatedNodes:
    """All of a world's."""

    def __init__(self, world: World, count: int) -> None:
        self._world = world
        self.nodes = [SimulatedNode() for _ in range(count)]
        if count:
            world.commit_listeners.append(self._on_committed)
            world.call_at(SESSION_RETRY_INTERVAL_S, self._open_sessions)

    def _open_sessions(self) -> None:
        """Sessions that ended are made anew, with another or the same."""
        world = self._world
        there = [m for m in world.machines.values() if m.process is not None]
        for station in self.nodes:
            if self._has_session(station):
                continue
            station.machine_address = ""
            if there:
                self.open_session(station, world.rng.choice(there))
        world.call_later(SESSION_RETRY_INTERVAL_S, self._open_sessions)

    def _has_session(self, station: SimulatedNode) -> bool:
        home = self._world.machines.get(station.machine_address)
        if home is None or home.process is None or home.frozen or home.incarnation != station.incarnation:
            return False
        return not home.process.contact.lost(self._world.now)

    def open_session(self, station: SimulatedNode, home: Machine) -> None:
        """One that stands still takes it at its thaw, before it sees that its own links are dead."""
        life = home.incarnation

        def take() -> None:
            process = home.process
            if (
                process is None
                or home.incarnation != life
                or station.machine_address
                or not process.owner.complete()
            ):
                return
            if not process.contact.fresh(self._world.now):
                return
            self._check_initial_state(home, process.standing)
            station.machine_address, station.incarnation = home.address, life
            self._deliver(station, tuple(process.standing.items.values()))

        if home.frozen:
            home.deferred_inputs.insert(0, take)
        else:
            take()

    def _check_initial_state(self, home: Machine, told: Book) -> None:
        """What a station begins with is no older than what was acknowledged a moment before."""
        for acknowledged in self._world.acknowledgements:
            if acknowledged.at_s > self._world.now - FRESH_S:
                break
            item = told.items.get(acknowledged.key)
            if item is None or item.version < acknowledged.version:
                self._world.fail(
                    f"{home.address} hands out {acknowledged.key} older than version {acknowledged.version}"
                )

    def _on_committed(self, machine: Machine, items: tuple[Item, ...]) -> None:
        for station in self.nodes:
            if station.machine_address == machine.address and station.incarnation == machine.incarnation:
                self._deliver(station, items)

    def _deliver(self, station: SimulatedNode, items: Iterable[Item]) -> None:
        """News arrive in any order: late ones change nothing."""
        self._world.call_later(
            self._world.rng.uniform(*LINK_DELAY_RANGE_S), lambda: self._receive(station, items)
        )

    def _receive(self, station: SimulatedNode, items: Iterable[Item]) -> None:
        before = {item.key: station.store.items.get(item.key) for item in items}
        for item in station.store.take(items):
            station.received_versions.setdefault(item.key, []).append((item.version, self._world.now))
        for key, old in before.items():
            new = station.store.items[key]
            if old is not None and new.version < old.version:
                self._world.fail(f"a station goes back: {key} from version {old.version} to {new.version}")
            value = b"" if new.dropped else b"=" + new.value
            if self._world.committed_values.get((key, new.version)) != value:
                self._world.fail(f"a station has {key} version {new.version}, which never stood")

    def max_propagation_s(self) -> float:
        """The longest from the acknowledgement of a version until every station had it or a later one."""
        longest = 0.0
        for told in self._world.acknowledgements:
            had = [
                min(
                    (
                        at
                        for version, at in station.received_versions.get(told.key, ())
                        if version >= told.version
                    ),
                    default=None,
                )
                for station in self.nodes
            ]
            late = [at - told.at_s for at in had if at is not None]
            longest = max([longest, *late])
        return longest

    def check_all_delivered(self) -> None:
        """In calm every station has all that was acknowledged."""
        world = self._world
        if not self.nodes:
            return
        world.run_until(world.now + PROPAGATION_BOUND_S)
        for number, station in enumerate(self.nodes):
            for key, item in world.latest_acknowledged.items():
                has = station.store.items.get(key)
                if has is None or has.version < item.version:
                    world.fail(f"station {number} lacks {key} version {item.version} in calm")
