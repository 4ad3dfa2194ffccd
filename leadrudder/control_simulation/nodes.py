"""Stations in a rehearsal: each has a session with one signalbox, and is told what stands.

They take in items by the very book that stations use. A session is taken as the signalbox takes it: once
it was told by the owner of every section and has fresh contact with a majority. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.quorum_check import FRESH_AGE_S
from leadrudder.control_simulation.world import DELAY_S, Machine, World
from leadrudder.protocol.mesh_pb2 import Item

LOOK_S = 0.25  # how often a station without a session looks for one
LATE_S = 2.5  # in calm all that was acknowledged is with every station after so much


@dataclass(slots=True)
class Station:
    book: ItemStore = field(default_factory=ItemStore)
    home: str = ""
    life: int = 0  # of the home's process
    had: dict[str, list[tuple[int, float]]] = field(
        default_factory=dict
    )  # versions by key, and when they came


class Stations:
    """All of a world's."""

    def __init__(self, world: World, count: int) -> None:
        self._world = world
        self.stations = [Station() for _ in range(count)]
        if count:
            world.on_stands.append(self._told)
            world.at(LOOK_S, self._look)

    def _look(self) -> None:
        """Sessions that ended are made anew, with another or the same."""
        world = self._world
        there = [m for m in world.machines.values() if m.process is not None]
        for station in self.stations:
            if self._stands(station):
                continue
            station.home = ""
            if there:
                self._hello(station, world.rng.choice(there))
        world.after(LOOK_S, self._look)

    def _stands(self, station: Station) -> bool:
        home = self._world.machines.get(station.home)
        if home is None or home.process is None or home.frozen or home.life != station.life:
            return False
        return not home.process.quorum_check.is_lost(self._world.now)

    def _hello(self, station: Station, home: Machine) -> None:
        """One that stands still takes it at its thaw, before it sees that its own links are dead."""
        life = home.life

        def take() -> None:
            process = home.process
            if (
                process is None
                or home.life != life
                or station.home
                or not process.ownership.knows_all_sections()
            ):
                return
            if not process.quorum_check.is_fresh(self._world.now):
                return
            self._judge(home, process.committed)
            station.home, station.life = home.address, life
            self._send(station, tuple(process.committed.items.values()))

        if home.frozen:
            home.inbox.insert(0, take)
        else:
            take()

    def _judge(self, home: Machine, told: ItemStore) -> None:
        """What a station begins with is no older than what was acknowledged a moment before."""
        for acknowledged in self._world.acknowledgements:
            if acknowledged.at > self._world.now - FRESH_AGE_S:
                break
            item = told.items.get(acknowledged.key)
            if item is None or item.version < acknowledged.version:
                self._world.broken(
                    f"{home.address} hands out {acknowledged.key} older than version {acknowledged.version}"
                )

    def _told(self, machine: Machine, items: tuple[Item, ...]) -> None:
        for station in self.stations:
            if station.home == machine.address and station.life == machine.life:
                self._send(station, items)

    def _send(self, station: Station, items: Iterable[Item]) -> None:
        """News arrive in any order: late ones change nothing."""
        self._world.after(self._world.rng.uniform(*DELAY_S), lambda: self._take(station, items))

    def _take(self, station: Station, items: Iterable[Item]) -> None:
        before = {item.key: station.book.items.get(item.key) for item in items}
        for item in station.book.merge(items):
            station.had.setdefault(item.key, []).append((item.version, self._world.now))
        for key, old in before.items():
            new = station.book.items[key]
            if old is not None and new.version < old.version:
                self._world.broken(f"a station goes back: {key} from version {old.version} to {new.version}")
            value = b"" if new.dropped else b"=" + new.value
            if self._world.values.get((key, new.version)) != value:
                self._world.broken(f"a station has {key} version {new.version}, which never stood")

    def latest_s(self) -> float:
        """The longest from the acknowledgement of a version until every station had it or a later one."""
        longest = 0.0
        for told in self._world.acknowledgements:
            had = [
                min(
                    (at for version, at in station.had.get(told.key, ()) if version >= told.version),
                    default=None,
                )
                for station in self.stations
            ]
            late = [at - told.at for at in had if at is not None]
            longest = max([longest, *late])
        return longest

    def end(self) -> None:
        """In calm every station has all that was acknowledged."""
        world = self._world
        if not self.stations:
            return
        world.play(world.now + LATE_S)
        for number, station in enumerate(self.stations):
            for key, item in world.acknowledged.items():
                has = station.book.items.get(key)
                if has is None or has.version < item.version:
                    world.broken(f"station {number} lacks {key} version {item.version} in calm")
