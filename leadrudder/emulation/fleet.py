"""A mesh of whole processes on simulated machines: the programs that run, on a clock and a network in memory.

All chance comes from the seed, so a play with a window and one without begin alike. Times are seconds.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from leadrudder.bootstrap.settings import Settings, parse_settings
from leadrudder.control_plane.program import ControlPlaneNode
from leadrudder.data_plane.program import DataPlaneNode
from leadrudder.emulation.standins import Asked, Clients, Server, Wish, Work, call, request
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Network, NullObserver
from leadrudder.simulation.scheduler import US_PER_S, Scheduler
from leadrudder.simulation.world import START_UNIX_TIME_S, NodePlatform
from leadrudder.storage.store import MemoryStore, Store

CONTROL, OUT, READY, LINKS, APP = 7000, 7001, 7002, 7100, 8000
SYNC_S = (0.006, 0.02)
COLD_PER_S = 8.0  # requests a second that a cold server bears


class Syncing:
    """Writes to a disk in virtual time: what is handed over meanwhile is written together as the next."""

    def __init__(self, store: Store, rng: Random) -> None:
        self._store, self._rng = store, rng
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[str, bytes] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._busy = False

    def put(self, records: dict[str, bytes], done: Callable[[], None]) -> None:
        self._waiting.update(records)
        self._callbacks.append(done)
        self._begin()

    def after(self, done: Callable[[], None]) -> None:
        if self._busy or self._callbacks:
            self._callbacks.append(done)
        else:
            done()

    def stop(self, wait_s: float) -> None:
        self._store.commit(self._waiting)

    def _begin(self) -> None:
        if self._busy or not self._callbacks:
            return
        self._busy = True
        records, self._waiting = self._waiting, {}
        callbacks, self._callbacks = self._callbacks, []

        def synced() -> None:
            self._store.commit(records)
            self._busy = False
            for done in callbacks:
                done()
            self._begin()

        self._loop.call_later(self._rng.uniform(*SYNC_S), synced)


@dataclass(eq=False)
class Machine:
    """One with its processes.  service: empty on a core machine."""

    name: str
    zone: str
    host: str
    service: str = ""
    disk: MemoryStore = field(default_factory=MemoryStore)  # what was synced stays when a process dies
    loops: dict[str, VirtualLoop] = field(default_factory=dict)
    station: DataPlaneNode | None = None
    signalbox: ControlPlaneNode | None = None
    server: Server | None = None
    lives: list[Server] = field(default_factory=list)  # of the server, that are over
    clients: Clients | None = None
    starts: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """What a mesh is like.  services: by name, how many servers; wishes: what the clients of each machine
    ask; slots, work_s: of each server.
    """

    services: Mapping[str, int]
    wishes: tuple[Wish, ...]
    routes: Mapping[str, Any]
    zones: int = 3
    cores: int = 3
    slots: int = 9
    work_s: float = 0.06
    works: Mapping[str, Work] = field(default_factory=dict)  # by host, in place of work_s
    traffic: tuple[float, float] = (8.0, 80.0)


class Fleet:
    """The mesh at work.  possession: maintenance windows are on."""

    def __init__(self, seed: int, plan: Plan, *, possession: bool = False) -> None:
        self.plan, self.seed, self._possession = plan, seed, possession
        self.scheduler = Scheduler(f"fleet/{seed}")
        self.network = Network(self.scheduler, f"fleet/{seed}", NullObserver())
        self.faults: list[str] = []
        self.core = [
            Machine(f"core-{i}", f"z{i % plan.zones}", f"10.{i % plan.zones}.0.{1 + i}")
            for i in range(plan.cores)
        ]
        self.side: list[Machine] = []
        for service, count in plan.services.items():
            for _ in range(count):
                i = len(self.side)
                zone = i % plan.zones
                self.side.append(Machine(f"side-{i}", f"z{zone}", f"10.{zone}.1.{1 + i}", service))
        for machine in self.core:
            self.start_signalbox(machine, first=True)
        for machine in self.side:
            self.start_station(machine)
            self.start_server(machine)
        self.at(2.0, self._configure)
        self.at(plan.traffic[0], self._start_clients)

    # ------------------------------------------------------------ time

    @property
    def now(self) -> float:
        return self.scheduler.now / US_PER_S

    @property
    def wall(self) -> float:
        """Unix time on every machine."""
        return START_UNIX_TIME_S + self.now

    def at(self, when: float, do: Callable[[], object]) -> None:
        self.scheduler.schedule_timer(int(when * US_PER_S), None, "plan", do)

    def play(self, until: float) -> None:
        """All that happens until then."""
        end = int(until * US_PER_S)
        while (due := self.scheduler.next_due()) is not None and due <= end:
            self.scheduler.run_one()
        self.scheduler.now = max(self.scheduler.now, end)

    # ------------------------------------------------------------ machines

    def _rng(self, *what: object) -> Random:
        return Random("/".join(map(str, ("fleet", self.seed, *what))))

    def _process(self, machine: Machine, kind: str) -> VirtualLoop:
        machine.starts += 1
        name = f"{machine.name}.{kind}.{machine.starts}"
        loop = VirtualLoop(  # type: ignore[abstract]  # it has what is used
            name, machine.host, self.scheduler, self.network, self._fault
        )
        machine.loops[kind] = loop
        return loop

    def _fault(self, loop: VirtualLoop, text: str) -> None:
        self.faults.append(f"{self.now:.3f} s, {loop.name}: {text}")

    def _settings(self, machine: Machine, *, first: bool) -> Settings:
        host = machine.host
        raw: dict[str, Any] = {
            "nodeName": machine.name,
            "zone": machine.zone,
            "ip": host,
            "sparePorts": [LINKS, LINKS + 9],
            "seedNodes": [f"{core.host}:{CONTROL}" for core in self.core[:3]],
            "firstRun": first,
            "service": machine.service,
            "appAddress": f"{host}:{APP}",
            "addresses": {"controlPort": f"{host}:{CONTROL}"},
            "withstand": {"machineLosses": (self.plan.cores - 1) // 2},
            "limits": {"ramMb": 300},
        }
        if machine.service:
            raw["addresses"] |= {"outboundPort": f"{host}:{OUT}", "readiness": f"{host}:{READY}"}
        return parse_settings(raw).unwrap()

    def start_signalbox(self, machine: Machine, *, first: bool = False) -> None:
        loop = self._process(machine, "signalbox")
        rng = self._rng(loop.name)
        settings = self._settings(machine, first=first)

        async def main() -> None:
            machine.signalbox = ControlPlaneNode(
                settings,
                maintenance_windows=self._possession,
                rng=rng,
                wall=lambda: self.wall,
                writer=lambda store, told: Syncing(store, rng),
                store=machine.disk,
                monotonic=lambda: self.now,
            )
            await machine.signalbox.start()

        loop.spawn(main())

    def start_station(self, machine: Machine) -> None:
        loop = self._process(machine, "station")
        settings = self._settings(machine, first=True)

        async def main() -> None:
            machine.station = DataPlaneNode(
                settings,
                maintenance_windows=self._possession,
                rng=self._rng(loop.name),
                wall=lambda: self.wall,
                platform=NodePlatform(self.scheduler, {}),
            )
            await machine.station.start()

        loop.spawn(main())

    def start_server(self, machine: Machine, cold_s: float = 0.0) -> None:
        """Another life of it; cold_s: how long it is slow."""
        loop = self._process(machine, "server")
        rng = self._rng(loop.name)
        if machine.server is not None:
            machine.lives.append(machine.server)
        machine.server = Server(
            f"i-{machine.name}-{len(machine.lives)}",
            machine.service,
            machine.zone,
            (machine.host, APP),
            (machine.host, CONTROL),
            self.plan.slots,
            self.plan.work_s * rng.uniform(0.9, 1.1),
            rng,
            works=self.plan.works,
            outbound=(machine.host, OUT),
            cold_until=self.now + cold_s,
        )
        loop.spawn(machine.server.start())

    def kill(self, machine: Machine, kind: str) -> None:
        """A process dies at once; what it had synced is on its disk."""
        machine.loops[kind].kill()
        if kind == "signalbox":
            machine.signalbox = None
        elif kind == "station":
            machine.station = None

    def stand_still(self, machine: Machine, kind: str, span_s: float) -> None:
        """A process does nothing for a while; what was due meanwhile it does afterwards."""
        machine.loops[kind].frozen_until_us = int((self.now + span_s) * US_PER_S)

    # ------------------------------------------------------------ operators and clients

    def operate(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Something an operator does, on a machine of its own."""
        operator = Machine("operator", "", "10.99.0.1")
        self._process(operator, "work").spawn(work())

    async def ask(self, method: str, path: str, body: Any = None, tries: int = 40) -> tuple[int, bytes]:
        """A call of an operator's, sent again to the next signalbox until there is a clear answer."""
        data = b"" if body is None else json.dumps(body).encode()
        for i in range(tries):
            address = (self.core[i % len(self.core)].host, CONTROL)
            answer = await call(address, request(method, path, "control", body=data), 1.0)
            if answer is not None and answer.status < 500:
                return answer.status, answer.body
            await asyncio.sleep(0.1)
        return 0, b""

    def _configure(self) -> None:
        services = {
            name: {
                "healthPath": "/health",
                "maxConnections": 100,
                "coldPerS": COLD_PER_S,
                "version": "00000001",
            }
            for name in self.plan.services
        }
        routes = dict(self.plan.routes)
        body = {"addOrReplace": {"routes": routes, "services": services}, "remove": {"routes": []}}
        self.operate(lambda: self.ask("PATCH", "/config", body))

    def _start_clients(self) -> None:
        for machine in self.side:
            loop = self._process(machine, "clients")
            machine.clients = Clients(
                machine.name,
                (machine.host, OUT),
                self.plan.wishes,
                self.plan.traffic[1],
                self._rng(machine.name, "clients"),
            )
            with loop.as_running_loop():
                machine.clients.start()

    # ------------------------------------------------------------ what is seen

    def asked(self) -> list[Asked]:
        return [asked for machine in self.side if machine.clients for asked in machine.clients.asked]

    def runs(self) -> Counter[str]:
        """How often each try ran, by its id, at all servers."""
        total: Counter[str] = Counter()
        for machine in self.side:
            for server in (*machine.lives, machine.server):
                if server is not None:
                    total.update(server.runs)
        return total


@dataclass(frozen=True, slots=True)
class Bookings:
    """What became of bookings, by both ends: what clients were told, and what servers ran."""

    asked: int
    landed_once: int
    lost: int  # told as served, and no server ran it
    twice: int
    in_doubt: int  # ran, and its client was not told
    refused: int  # never ran, and its client knows

    @classmethod
    def of(cls, fleet: Fleet) -> Bookings:
        runs = fleet.runs()
        counts: Counter[str] = Counter()
        for asked in fleet.asked():
            if not asked.once:
                continue
            ran = sum(runs[name] for name in asked.ids)
            if ran > 1:
                counts["twice"] += 1
            elif asked.served:
                counts["landed_once" if ran else "lost"] += 1
            else:
                counts["in_doubt" if ran else "refused"] += 1
            counts["asked"] += 1
        return cls(**{name: counts[name] for name in cls.__slots__})
