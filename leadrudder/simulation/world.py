"""One simulated world: nodes, callers, servers, discovery, fault plan and oracle on one scheduler.

Everything is drawn from the seed: the same seed and plan give the same steps in every process, as the digest
shows. A world runs for a number of steps, then without load and faults until it settles, and must hold no
request, connection or surplus timer by then.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

from leadrudder.node.callers import ClientConnection, HttpExchange
from leadrudder.node.config import load_config
from leadrudder.node.node import Node, PendingRequest
from leadrudder.node.servers import UpstreamCall, UpstreamConnection
from leadrudder.policy.attempts import Attempt, Request
from leadrudder.simulation.faults import Fault, draw_faults
from leadrudder.simulation.injector import DISCOVERY_PORT, Injector
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, Network, NetworkObserver, VirtualTransport
from leadrudder.simulation.oracle import Oracle, Violation
from leadrudder.simulation.scheduler import US_PER_S, Scheduler
from leadrudder.simulation.site import MACHINE_TYPES, ZONES, Site
from leadrudder.simulation.standins.callers import Callers, FrontBalancer
from leadrudder.simulation.standins.discovery import Registry, Row, StandInDiscovery
from leadrudder.simulation.standins.server import KeyMemory, StandInServer

# Objects that a node creates per request or connection; none may be alive once the world has settled.
PER_REQUEST_TYPES = frozenset(
    {Attempt, UpstreamCall, ClientConnection, UpstreamConnection, HttpExchange, PendingRequest, Request}
)
START_UNIX_TIME_S = 1_800_000_000.0  # wall clock at the start of a world
FAULT_WINDOW_MS = 10_000  # virtual time for which faults are drawn at once
FAULTS_PER_WINDOW = 14
SETTLE_S = 30.0  # from the end of the load until the world must be at rest
FINAL_REST_S = 10.0  # last part of SETTLE_S, in which nodes may hardly call discovery
LIST_DELAY_RANGE_MS = (50, 1500)  # until discovery announces a change
NODE_PORT, SERVER_PORT = 8000, 8000
# Timers of a node at rest: the sweeps of client and of server connections, the silence limit of the watch,
# the policy's next timer and the next call to discovery; the rest is a margin for timers about to fire.
MAX_TIMERS_AT_REST = 8
MAX_DISCOVERY_CALLS_AT_REST = 2
MAX_STEPS_AT_ONE_INSTANT = 5000  # a flood whose arrivals coincide causes some hundreds


class NodePlatform:
    """The node's platform interface, simulated: the world's clock and the files of one machine."""

    def __init__(self, scheduler: Scheduler, files: dict[str, str]) -> None:
        self._scheduler = scheduler
        self._files = files

    def monotonic(self) -> float:
        return self._scheduler.now / US_PER_S

    def wall(self) -> float:
        return START_UNIX_TIME_S + self._scheduler.now / US_PER_S

    @staticmethod
    def has_unread_input(transport: asyncio.Transport) -> bool:
        assert isinstance(transport, VirtualTransport)
        return transport.has_unread_input()

    def read_text(self, path: str) -> str:
        try:
            return self._files[path]
        except KeyError:
            raise FileNotFoundError(2, "no such file", path) from None


@dataclass(eq=False)
class NodeHost:
    """A machine with one node, whose process may be restarted."""

    name: str
    tier: int
    ordinal: int
    host: str
    files: dict[str, str] = field(default_factory=dict)
    loop: VirtualLoop | None = None
    node: Node | None = None
    starts: int = 0

    @property
    def address(self) -> Address:
        return self.host, NODE_PORT if not self.tier else NODE_PORT + 1  # a sidecar shares the server's host


class World:
    """All state of one simulation run."""

    def __init__(
        self,
        seed: str,
        *,
        nodes: int = 2,
        faults: list[Fault] | None = None,
        kinds: tuple[str, ...] = (),
        observe: Callable[[World], NetworkObserver] | None = None,
        heavy: bool = False,
    ) -> None:
        self.seed = seed
        self.site = Site.draw(seed, nodes, heavy=heavy)
        self.scheduler = Scheduler(seed)
        self.oracle = Oracle(self.scheduler, self.site.oracle_settings())
        self.injected: list[Fault] = []  # scheduled so far
        self.network = Network(self.scheduler, seed, observe(self) if observe is not None else self.oracle)
        self.processes: list[VirtualLoop] = []  # the live ones, and some that died recently
        self.front = FrontBalancer()
        self.rng = Random(f"{seed}/world")
        self.registries = [Registry() for _ in range(self.site.tiers)]
        self.discoveries: list[StandInDiscovery] = []
        self.servers: list[list[StandInServer]] = [[] for _ in range(self.site.tiers)]
        self.nodes: list[NodeHost] = []
        self.injector = Injector(self)
        self._given_faults = faults
        self._fault_kinds = kinds
        self._seen_keys: dict[Any, KeyMemory] = {}
        self._tier_wide_keys: list[dict[str, int]] = [{} for _ in range(self.site.tiers)]
        self._server_count = 0
        self._planned_until_ms = 0
        self._build()

    # ------------------------------------------------------------ building

    def start_process(self, name: str, host: str) -> VirtualLoop:
        """Starts a process on a host."""
        # Typeshed declares asyncio's base class abstract; methods missing here raise, as they do there.
        loop = VirtualLoop(  # type: ignore[abstract]
            name, host, self.scheduler, self.network, self._on_process_error
        )
        self.processes = [*(p for p in self.processes if p.alive), loop]
        return loop

    def _on_process_error(self, loop: VirtualLoop, text: str) -> None:
        self.oracle.report("exception", f"in {loop.name}: {text}")

    def _build(self) -> None:
        for tier in range(self.site.tiers):
            host = f"10.9.{tier}.1"
            self.discoveries.append(self.start_discovery(tier, host))
            for _ in range(self.site.servers[tier]):
                name, address = self.allocate_server(tier)
                self.registries[tier].rows[name] = self.make_row(tier, name, address, 0)
        for tier in reversed(range(self.site.tiers)):
            for row in self.registries[tier].all_rows():
                self.start_server(tier, row, cold=False)
        for ordinal in range(self.site.nodes):
            node = NodeHost(f"n{ordinal}", 0, ordinal, f"10.1.0.{ordinal + 1}")
            self.nodes.append(node)
            self.start_node(node, self.registries[0].full_list())
        self.callers = Callers(
            self.start_process("callers", "10.0.0.1"), self.oracle, self.site, self.front, self.seed
        )
        for node in self.nodes:
            if not node.tier:
                self.callers.await_ready(node.name, node.address)
        self.callers.start()

    def start_discovery(self, tier: int, host: str) -> StandInDiscovery:
        loop = self.start_process(f"discovery-{tier}", host)
        address = (host, DISCOVERY_PORT)
        self.oracle.add_discovery_address(address)
        return StandInDiscovery(loop, address, self.registries[tier])

    def allocate_server(self, tier: int) -> tuple[str, Address]:
        self._server_count += 1
        return f"s{tier}-{self._server_count}", (f"10.2.{tier}.{self._server_count}", SERVER_PORT)

    def make_row(
        self, tier: int, name: str, address: Address, started_us: int, lifecycle: str = "SERVING"
    ) -> Row:
        """A server's row in discovery; zone, machine type and cell depend on its host alone."""
        number = int(address[0].rsplit(".", 1)[1])
        return {
            "instanceId": name,
            "hostPort": f"{address[0]}:{address[1]}",
            "zone": ZONES[number % 2],
            "machineType": MACHINE_TYPES[number % 3 == 0],
            "cell": number % 3,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": START_UNIX_TIME_S * 1000 + started_us / 1000 if started_us else 0,
        }

    def start_server(self, tier: int, row: Row, *, cold: bool) -> StandInServer:
        """Starts a server process, and its sidecar node where another tier follows."""
        host, port = row["hostPort"].rsplit(":", 1)
        name = row["instanceId"]
        loop = self.start_process(name, host)
        inner: Address | None = None
        if tier + 1 < self.site.tiers:
            inner = self._sidecar(tier + 1, name, host).address
        group = {"all": 0, "zone": row["zone"], "cell": row["cell"]}[self.site.dedup_group]
        keys = self._seen_keys.setdefault(
            (tier, group), KeyMemory(int(self.site.dedup_window_ms * 1000), self._tier_wide_keys[tier])
        )
        now = self.scheduler.now
        server = StandInServer(
            loop,
            self.oracle,
            tier=tier,
            name=name,
            address=(host, int(port)),
            started_us=now if cold else -1_000_000_000,
            cold_us=int(self.site.cold_start_ms * 1000),
            speed=1.0 if row["machineType"] == MACHINE_TYPES[0] else 0.6,
            queue=self.site.queue_limit,
            idle_s=self.site.conn_idle_ms / 1000.0,
            work_ms=self.site.mean_work_ms,
            effects={p["name"]: p["effect"] for p in self.site.profiles()},
            keys=keys,
            inner=inner,
            reports=self.site.load_reports,
            seed=self.seed,
        )
        self.servers[tier].append(server)
        return server

    def _sidecar(self, tier: int, name: str, host: str) -> NodeHost:
        """The sidecar node of a server, which starts and stops with it."""
        sidecar = next((n for n in self.nodes if n.name == f"n-{name}"), None)
        if sidecar is None:
            # A sidecar shares its server's host, and so the host's faults.
            sidecar = NodeHost(f"n-{name}", tier, sum(n.tier == tier for n in self.nodes), host)
            self.nodes.append(sidecar)
        if sidecar.loop is None:
            self.start_node(sidecar, self.registries[tier].full_list())
        return sidecar

    # ------------------------------------------------------------ nodes

    def start_node(self, host: NodeHost, known: dict[str, Any]) -> None:
        """Starts a node process as `leadrudder run` does, from the server list that it had persisted."""
        host.starts += 1
        loop = host.loop = self.start_process(f"{host.name}.{host.starts}", host.host)
        discovery = self.discoveries[host.tier].address
        seed = Random(f"{self.seed}/node/{host.name}/{host.starts}").getrandbits(64)
        self.write_config(host, discovery, seed, known)
        platform = NodePlatform(self.scheduler, host.files)
        config = load_config(
            {
                "NODE_NAME": host.name,
                "NODE_LISTEN": f"{host.address[0]}:{host.address[1]}",
                "NODE_CONFIG": "config.json",
            },
            platform,
        )
        self.oracle.node_started(loop, known)

        async def main() -> None:
            node = host.node = Node(config, platform)
            await node.start()
            await node.wait()

        task = loop.spawn(main())
        task.add_done_callback(lambda done: self._on_node_ended(host, loop, done))

    def write_config(self, host: NodeHost, discovery: Address, seed: int, known: dict[str, Any]) -> None:
        """Writes the file that a node reads at its start and at SIGHUP."""
        raw = {
            "name": host.name,
            "seed": f"{seed:016x}",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": known,
            "settings": self.site.settings(host.tier, host.ordinal),
        }
        host.files["config.json"] = json.dumps(raw)

    def _on_node_ended(self, host: NodeHost, loop: VirtualLoop, task: asyncio.Task[Any]) -> None:
        """Checks a process whose main coroutine has returned; it must leave nothing behind."""
        if task.cancelled() or (error := task.exception()) is None:
            unfinished = [t for t in loop.unfinished_tasks() if t is not task]
            # connection_lost is called by now or at this instant; connections open after that have leaked.
            self.scheduler.schedule_timer(
                self.scheduler.now + 1000, None, "exit", self._check_exit, host, loop, len(unfinished)
            )
            return
        self.oracle.report("crash", f"{host.name}: {type(error).__name__}: {error}")
        self._check_exit(host, loop, 0)

    def _check_exit(self, host: NodeHost, loop: VirtualLoop, tasks: int) -> None:
        if not loop.alive:
            return
        if loop.transports or loop.servers:
            self.oracle.report("leak", f"{loop.name} ended with {len(loop.transports)} connections open")
        if loop.unfinished_tasks():
            self.oracle.report(
                "leak",
                f"{loop.name} ended with {len(loop.unfinished_tasks())} tasks, {tasks} at its last step",
            )
        self.end_node(host)

    def end_node(self, host: NodeHost) -> None:
        """Removes the process, which has ended or is killed here as by SIGKILL."""
        loop = host.loop
        if loop is not None:
            self.oracle.node_ended(loop)
            loop.kill()
        host.loop = host.node = None

    # ------------------------------------------------------------ the fleet

    def publish(self, tier: int, rows: list[Row], delay_ms: int) -> None:
        """Has discovery apply a change and announce it after a delay."""

        def tell() -> None:
            self.registries[tier].apply_rows(rows)
            for discovery in self.discoveries:
                if discovery.registry is self.registries[tier] and discovery.loop.alive:
                    discovery.announce()

        self.scheduler.schedule_timer(self.scheduler.now + delay_ms * 1000, None, "publish", tell)

    def list_delay_ms(self, fault: Fault) -> int:
        low, high = LIST_DELAY_RANGE_MS
        return low + int(fault.level * (high - low)) + self.injector.extra_list_delay_ms

    def stop_server(self, server: StandInServer) -> None:
        """Ends a server's process and its sidecar."""
        if server in self.servers[server.tier]:
            self.servers[server.tier].remove(server)
        server.loop.kill()
        host = next((n for n in self.nodes if n.name == f"n-{server.name}"), None)
        if host is not None:
            self.end_node(host)
            self.nodes.remove(host)

    # ------------------------------------------------------------ running

    def run(self, steps: int) -> None:
        """Runs this many steps, with faults; stops early at a violation."""
        end = self.scheduler.steps + steps
        scheduler, oracle = self.scheduler, self.oracle
        with _log_to_oracle(self):
            while scheduler.steps < end and not oracle.violations:
                if scheduler.now >= self._planned_until_ms * 1000:
                    self._plan_faults()
                if not scheduler.run_one():
                    break
                oracle.after_step()
                self._check_spin()

    def _plan_faults(self) -> None:
        start = self._planned_until_ms
        self._planned_until_ms += FAULT_WINDOW_MS
        if self._given_faults is None:
            faults = draw_faults(self.seed, start, FAULT_WINDOW_MS, FAULTS_PER_WINDOW, self._fault_kinds)
        else:
            faults = [f for f in self._given_faults if start <= f.at_ms < self._planned_until_ms]
        for fault in faults:
            self.injected.append(fault)
            self.scheduler.schedule_timer(fault.at_ms * 1000, None, fault.kind, self.injector.inject, fault)

    def settle(self) -> None:
        """Ends faults and load, waits until the world settles, and checks that the nodes are at rest."""
        if self.oracle.violations:
            return
        with _log_to_oracle(self):
            self.injector.end_all()
            self.callers.stop()
            for server in [s for tier in self.servers for s in tier]:
                server.close_idle()
            end = self.scheduler.now + int(SETTLE_S * US_PER_S)
            self._run_until(end - int(FINAL_REST_S * US_PER_S))
            asked = self.oracle.discovery_call_counts()
            self._run_until(end)
            if not self.oracle.violations:
                self._check_rest(asked)
                self._check_memory()

    def _run_until(self, end_us: int) -> None:
        """Runs the steps due by an instant; stops early at a violation."""
        while not self.oracle.violations:
            due = self.scheduler.next_due()
            if due is None or due > end_us or not self.scheduler.run_one():
                break
            self.oracle.after_step()
            self._check_spin()

    def _check_spin(self) -> None:
        """Reports a busy loop: steps that schedule each other at one instant stop the virtual clock."""
        if self.scheduler.steps_at_this_instant > MAX_STEPS_AT_ONE_INSTANT:
            self.oracle.report(
                "spin",
                f"{self.scheduler.steps_at_this_instant} steps at one instant, {self.scheduler.last_label}",
            )

    def _check_memory(self) -> None:
        """Reports objects of finished requests and connections that a table, timer or closure keeps alive."""
        gc.collect()
        counts: dict[str, int] = {}
        for item in gc.get_objects():
            if type(item) in PER_REQUEST_TYPES:
                name = type(item).__name__
                counts[name] = counts.get(name, 0) + 1
        for name, count in sorted(counts.items()):
            self.oracle.report("leak", f"{count} of {name} are still held at rest")

    def _check_rest(self, asked: dict[str, int]) -> None:
        """Reports tables, connections, timers and tasks of nodes that are not back at their resting size."""
        for host in self.nodes:
            loop, node = host.loop, host.node
            if loop is None or node is None:
                continue
            sizes = {
                "requests": len(node._requests),
                "attempts": len(node._attempts),
                "ids held": len(node._id_uses),
                "struck requests": len(node._closed_during_event),
                "requests of the module": len(node._balancer._requests),
                "attempts of the module": len(node._balancer._attempts),
                "waiting requests": len(node._balancer._queue),
                "bytes of bodies": node._listener._body_bytes,
                "callers' connections": len(node._listener._connections),
                "servers' connections": node._upstream.open_connection_count(),
                "tasks": max(0, len(loop.unfinished_tasks()) - 1),  # without the main task
                "timers": max(0, loop.live_timers - MAX_TIMERS_AT_REST),
            }
            again = self.oracle.discovery_call_counts()[loop.name] - asked.get(loop.name, 0)
            if again > MAX_DISCOVERY_CALLS_AT_REST:
                self.oracle.report(
                    "restless", f"{loop.name} asked for its list {again} times while all was quiet"
                )
            for label, size in sizes.items():
                if size:
                    self.oracle.report("leak", f"{loop.name} at rest: {label} {size}")

    def close(self) -> None:
        """Ends all simulated processes."""
        for host in self.nodes:
            self.end_node(host)
        for loop in self.processes:
            loop.kill()

    @property
    def violations(self) -> list[Violation]:
        return self.oracle.violations


class _OracleLogHandler(logging.Handler):
    """Reports exceptions that a node logs and survives; they show up nowhere else."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            self._world.oracle.report("exception", f"{record.getMessage()}: {type(error).__name__}: {error}")
        elif "not answered in time" in record.getMessage():
            self._world.oracle.count("guard_answers")


@contextmanager
def _log_to_oracle(world: World) -> Iterator[None]:
    """Sends the nodes' error log to the oracle while a world runs."""
    log = logging.getLogger("leadrudder")
    handler = _OracleLogHandler(world)
    previous = (log.level, log.propagate)
    log.addHandler(handler)
    log.setLevel(logging.ERROR)
    log.propagate = False
    try:
        yield
    finally:
        log.removeHandler(handler)
        log.setLevel(previous[0])
        log.propagate = previous[1]
