"""A mesh of whole processes on simulated machines: the production programs on a virtual clock and network.

All randomness comes from the seed, so runs with and without a maintenance window start the same. Times are
seconds.
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
from leadrudder.emulation.standins import (
    Clients,
    RequestKind,
    SentRequest,
    Server,
    Work,
    encoded_request,
    http_call,
)
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Network, NullObserver
from leadrudder.simulation.scheduler import US_PER_S, Scheduler
from leadrudder.simulation.world import START_UNIX_TIME_S, NodePlatform
from leadrudder.storage.store import MemoryStore, Store

CONTROL_PORT, OUTBOUND_PORT, READINESS_PORT, FIRST_LINK_PORT, APPLICATION_PORT = 7000, 7001, 7002, 7100, 8000
SYNC_DURATION_RANGE_S = (0.006, 0.02)
COLD_REQUESTS_PER_S = 8.0  # that a cold server can handle


class SimulatedWriter:
    """Group commit to a simulated disk: records that arrive during a sync are written by the next one."""

    def __init__(self, store: Store, rng: Random) -> None:
        self._store, self._rng = store, rng
        self._loop = asyncio.get_running_loop()
        self._pending_records: dict[str, bytes] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._syncing = False

    def put(self, records: dict[str, bytes], on_done: Callable[[], None]) -> None:
        self._pending_records.update(records)
        self._callbacks.append(on_done)
        self._start_sync()

    def after(self, on_done: Callable[[], None]) -> None:
        if self._syncing or self._callbacks:
            self._callbacks.append(on_done)
        else:
            on_done()

    def stop(self, wait_s: float) -> None:
        self._store.commit(self._pending_records)

    def _start_sync(self) -> None:
        if self._syncing or not self._callbacks:
            return
        self._syncing = True
        records, self._pending_records = self._pending_records, {}
        callbacks, self._callbacks = self._callbacks, []

        def synced() -> None:
            self._store.commit(records)
            self._syncing = False
            for on_done in callbacks:
                on_done()
            self._start_sync()

        self._loop.call_later(self._rng.uniform(*SYNC_DURATION_RANGE_S), synced)


@dataclass(eq=False)
class Machine:
    """A machine and its processes.  service: empty on a control machine."""

    name: str
    zone: str
    host: str
    service: str = ""
    disk: MemoryStore = field(default_factory=MemoryStore)  # synced records survive the process
    loops: dict[str, VirtualLoop] = field(default_factory=dict)
    node: DataPlaneNode | None = None
    control_node: ControlPlaneNode | None = None
    server: Server | None = None
    past_servers: list[Server] = field(default_factory=list)  # former incarnations of the server
    clients: Clients | None = None
    start_count: int = 0


async def _run_at_once(function: Callable[[], dict[str, bytes]]) -> dict[str, bytes]:
    """The result of a call that takes no virtual time."""
    return function()


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The layout and load of a mesh.  services: number of servers by name; request_kinds: sent by the clients
    of each machine; slots, work_s: of each server.
    """

    services: Mapping[str, int]
    request_kinds: tuple[RequestKind, ...]
    routes: Mapping[str, Any]
    zones: int = 3
    control_machine_count: int = 3
    slots: int = 9
    work_s: float = 0.06
    work_by_host: Mapping[str, Work] = field(default_factory=dict)  # by host, in place of work_s
    traffic_period_s: tuple[float, float] = (8.0, 80.0)


class Fleet:
    """A running mesh.  maintenance: maintenance windows are enabled."""

    def __init__(self, seed: int, plan: FleetPlan, *, maintenance: bool = False) -> None:
        self.plan, self.seed, self._maintenance = plan, seed, maintenance
        self.scheduler = Scheduler(f"fleet/{seed}")
        self.network = Network(self.scheduler, f"fleet/{seed}", NullObserver())
        self.errors: list[str] = []
        self.control_machines = [
            Machine(f"core-{i}", f"z{i % plan.zones}", f"10.{i % plan.zones}.0.{1 + i}")
            for i in range(plan.control_machine_count)
        ]
        self.node_machines: list[Machine] = []
        for service, count in plan.services.items():
            for _ in range(count):
                i = len(self.node_machines)
                zone = i % plan.zones
                self.node_machines.append(Machine(f"side-{i}", f"z{zone}", f"10.{zone}.1.{1 + i}", service))
        for machine in self.control_machines:
            self.start_control_node(machine, first=True)
        for machine in self.node_machines:
            self.start_node(machine)
            self.start_server(machine)
        self.call_at(2.0, self._configure)
        self.call_at(plan.traffic_period_s[0], self._start_clients)

    # ------------------------------------------------------------ time

    @property
    def now(self) -> float:
        return self.scheduler.now / US_PER_S

    @property
    def unix_time(self) -> float:
        """Unix time on every machine."""
        return START_UNIX_TIME_S + self.now

    def call_at(self, when: float, callback: Callable[[], object]) -> None:
        self.scheduler.schedule_timer(int(when * US_PER_S), None, "plan", callback)

    def run_until(self, until: float) -> None:
        """Run all events that are due by then."""
        end = int(until * US_PER_S)
        while (due := self.scheduler.next_due()) is not None and due <= end:
            self.scheduler.run_one()
        self.scheduler.now = max(self.scheduler.now, end)

    # ------------------------------------------------------------ machines

    def _rng(self, *parts: object) -> Random:
        return Random("/".join(map(str, ("fleet", self.seed, *parts))))

    def _start_process(self, machine: Machine, kind: str) -> VirtualLoop:
        """The kind is part of the loop's name, which seeds the random numbers of the process."""
        machine.start_count += 1
        name = f"{machine.name}.{kind}.{machine.start_count}"
        loop = VirtualLoop(  # type: ignore[abstract]  # only the methods in use are implemented
            name, machine.host, self.scheduler, self.network, self._record_error
        )
        machine.loops[kind] = loop
        return loop

    def _record_error(self, loop: VirtualLoop, text: str) -> None:
        self.errors.append(f"{self.now:.3f} s, {loop.name}: {text}")

    def _settings(self, machine: Machine, *, first: bool) -> Settings:
        host = machine.host
        raw: dict[str, Any] = {
            "nodeName": machine.name,
            "zone": machine.zone,
            "ip": host,
            "sparePorts": [FIRST_LINK_PORT, FIRST_LINK_PORT + 9],
            "seedNodes": [f"{seed.host}:{CONTROL_PORT}" for seed in self.control_machines[:3]],
            "firstRun": first,
            "service": machine.service,
            "appAddress": f"{host}:{APPLICATION_PORT}",
            "addresses": {"controlPort": f"{host}:{CONTROL_PORT}"},
            "withstand": {"machineLosses": (self.plan.control_machine_count - 1) // 2},
            "limits": {"ramMb": 300},
        }
        if machine.service:
            raw["addresses"] |= {
                "outboundPort": f"{host}:{OUTBOUND_PORT}",
                "readiness": f"{host}:{READINESS_PORT}",
            }
        return parse_settings(raw).unwrap()

    def start_control_node(self, machine: Machine, *, first: bool = False) -> None:
        loop = self._start_process(machine, "signalbox")
        rng = self._rng(loop.name)
        settings = self._settings(machine, first=first)

        async def main() -> None:
            machine.control_node = ControlPlaneNode(
                settings,
                maintenance_windows=self._maintenance,
                rng=rng,
                wall=lambda: self.unix_time,
                writer=lambda store, _: SimulatedWriter(store, rng),
                store=machine.disk,
                monotonic=lambda: self.now,
                run_blocking=_run_at_once,
            )
            await machine.control_node.start()

        loop.spawn(main())

    def start_node(self, machine: Machine) -> None:
        loop = self._start_process(machine, "station")
        settings = self._settings(machine, first=True)

        async def main() -> None:
            machine.node = DataPlaneNode(
                settings,
                maintenance_windows=self._maintenance,
                rng=self._rng(loop.name),
                wall=lambda: self.unix_time,
                platform=NodePlatform(self.scheduler, {}),
            )
            await machine.node.start()

        loop.spawn(main())

    def start_server(self, machine: Machine, cold_s: float = 0.0) -> None:
        """Start a new incarnation of the server.  cold_s: how long it reports a cold start."""
        loop = self._start_process(machine, "server")
        rng = self._rng(loop.name)
        if machine.server is not None:
            machine.past_servers.append(machine.server)
        machine.server = Server(
            f"i-{machine.name}-{len(machine.past_servers)}",
            machine.service,
            machine.zone,
            (machine.host, APPLICATION_PORT),
            (machine.host, CONTROL_PORT),
            self.plan.slots,
            self.plan.work_s * rng.uniform(0.9, 1.1),
            rng,
            work_by_host=self.plan.work_by_host,
            outbound_address=(machine.host, OUTBOUND_PORT),
            cold_until=self.now + cold_s,
        )
        loop.spawn(machine.server.start())

    def kill(self, machine: Machine, kind: str) -> None:
        """End a process at once; its synced records remain on the disk."""
        machine.loops[kind].kill()
        if kind == "signalbox":
            machine.control_node = None
        elif kind == "station":
            machine.node = None

    def freeze(self, machine: Machine, kind: str, duration_s: float) -> None:
        """Pause a process; events that come due meanwhile are handled when it resumes."""
        machine.loops[kind].frozen_until_us = int((self.now + duration_s) * US_PER_S)

    # ------------------------------------------------------------ operators and clients

    def run_operator(self, task: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Run an operator's coroutine on a machine of its own."""
        operator = Machine("operator", "", "10.99.0.1")
        self._start_process(operator, "work").spawn(task())

    async def call_operator_api(
        self, method: str, path: str, body: Any = None, max_attempts: int = 40
    ) -> tuple[int, bytes]:
        """Call the operator API, retrying at the next control machine until there is a definite answer."""
        data = b"" if body is None else json.dumps(body).encode()
        for i in range(max_attempts):
            address = (self.control_machines[i % len(self.control_machines)].host, CONTROL_PORT)
            answer = await http_call(address, encoded_request(method, path, "control", body=data), 1.0)
            if answer is not None and answer.status < 500:
                return answer.status, answer.body
            await asyncio.sleep(0.1)
        return 0, b""

    def _configure(self) -> None:
        services = {
            name: {
                "healthPath": "/health",
                "maxConnections": 100,
                "coldPerS": COLD_REQUESTS_PER_S,
                "version": "00000001",
            }
            for name in self.plan.services
        }
        routes = dict(self.plan.routes)
        body = {"addOrReplace": {"routes": routes, "services": services}, "remove": {"routes": []}}
        self.run_operator(lambda: self.call_operator_api("PATCH", "/config", body))

    def _start_clients(self) -> None:
        for machine in self.node_machines:
            loop = self._start_process(machine, "clients")
            machine.clients = Clients(
                machine.name,
                (machine.host, OUTBOUND_PORT),
                self.plan.request_kinds,
                self.plan.traffic_period_s[1],
                self._rng(machine.name, "clients"),
            )
            with loop.as_running_loop():
                machine.clients.start()

    # ------------------------------------------------------------ results

    def sent_requests(self) -> list[SentRequest]:
        return [
            request
            for machine in self.node_machines
            if machine.clients
            for request in machine.clients.sent_requests
        ]

    def runs_by_attempt(self) -> Counter[str]:
        """How often each attempt ran, by attempt id, over all servers."""
        runs: Counter[str] = Counter()
        for machine in self.node_machines:
            for server in (*machine.past_servers, machine.server):
                if server is not None:
                    runs.update(server.runs_by_attempt)
        return runs


@dataclass(frozen=True, slots=True)
class BookingOutcomes:
    """Outcomes of non-repeatable requests, from the answers to clients and the runs at servers."""

    asked: int
    landed_once: int
    lost: int  # reported as served, and no server ran it
    twice: int
    in_doubt: int  # ran, and its client got no answer of success
    refused: int  # never ran, and its client got no answer of success

    @classmethod
    def of(cls, fleet: Fleet) -> BookingOutcomes:
        runs = fleet.runs_by_attempt()
        counts: Counter[str] = Counter()
        for request in fleet.sent_requests():
            if not request.once:
                continue
            ran = sum(runs[attempt_id] for attempt_id in request.attempt_ids)
            if ran > 1:
                counts["twice"] += 1
            elif request.served_attempt:
                counts["landed_once" if ran else "lost"] += 1
            else:
                counts["in_doubt" if ran else "refused"] += 1
            counts["asked"] += 1
        return cls(**{name: counts[name] for name in cls.__slots__})
