"""The whole model: real node code on the simulation's network and loop, between modelled servers and callers.

Servers, callers, list delays, troubles and figures are those of the policy-only model. What differs is all
that is between them: bytes, connections, the parser, the core, discovery's watch, and timers in whole
milliseconds. Where the two models disagree, the cause is something that the policy-only model leaves out.
"""

from __future__ import annotations

import asyncio
import functools
import json
import logging
import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any, cast

from leadrudder import interface as api
from leadrudder.experiment.clock import Clock, ScheduledCall, StepLimitError
from leadrudder.experiment.draw import FleetShape
from leadrudder.experiment.fleet import DeciderFactory, Fleet, node_settings
from leadrudder.experiment.lists import Registry
from leadrudder.experiment.node import (
    FAILED,
    RESET,
    SERVED,
    Answer,
    AnswerCallback,
    EffectTracker,
    Node,
    OpenRequest,
    RequestSpec,
    TierCounts,
)
from leadrudder.experiment.server import Server
from leadrudder.experiment.spec import File, Tier
from leadrudder.interface import Outcome, Readiness
from leadrudder.node.config import load_config
from leadrudder.node.node import Node as RealNode
from leadrudder.policy.decide import Balancer
from leadrudder.simulation.framing import WireMessage, WireParser, encode_request, encode_response
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Network, NullObserver, VirtualTransport
from leadrudder.simulation.scheduler import Scheduler
from leadrudder.simulation.standins.client import ClientCall, NodeClient
from leadrudder.simulation.standins.discovery import Registry as Rows
from leadrudder.simulation.standins.discovery import Row, StandInDiscovery
from leadrudder.simulation.world import START_UNIX_TIME_S, NodePlatform

PORT = 8000
CONNECTION_IDLE_MS = 30_000.0
DEFAULT_TENANT = "all"  # of a file without tenants
CALLERS_HOST = "10.0.0.1"  # no latency here: the callers' model has the latency to a node
START_US = 1_000_000  # nodes get this long to start before the first request


class SchedulerClock(Clock):
    """The model's clock, driven by the simulation's scheduler, so that both share one time."""

    def __init__(self, scheduler: Scheduler, max_steps: int) -> None:
        super().__init__(max_steps)
        self.scheduler = scheduler
        self._start_us = 0

    def after(self, delay_ms: float, call: Callable[..., object], *args: Any) -> ScheduledCall:
        entry = ScheduledCall(None, call, args)
        # Rounds up to a microsecond: rounded down, a nearly finished job would be rescheduled for ever.
        due = self.scheduler.now + max(0, math.ceil(1000.0 * delay_ms))
        self.scheduler.schedule_timer(due, None, "model", self._run_entry, entry)
        return entry

    def begin(self) -> None:
        """Set the model's time to zero."""
        self._start_us = self.scheduler.now
        self.now = 0.0

    def scheduler_ms(self, at_ms: float) -> float:
        """Convert a time of the model to the scheduler's clock, which nodes and lists use."""
        return at_ms + self._start_us / 1000.0

    def _run_entry(self, entry: ScheduledCall) -> None:
        self.now = (self.scheduler.now - self._start_us) / 1000.0
        if entry.call is not None:
            entry.call(*entry.args)

    def run(self, until_ms: float) -> None:
        scheduler = self.scheduler
        end = self._start_us + round(1000.0 * until_ms)
        while (due := scheduler.next_due()) is not None and due <= end:
            # Code in processes reads this clock too: servers answer from there.
            self.now = (due - self._start_us) / 1000.0
            scheduler.run_one()
            if scheduler.steps > self._max_steps:
                raise StepLimitError(
                    f"more than {self._max_steps} steps by {self.now / 1000.0:.1f} s of virtual time"
                )
        scheduler.schedule_timer(end, None, "until", _nothing)
        while (due := scheduler.next_due()) is not None and due <= end:
            scheduler.run_one()
        self.now = until_ms
        self.steps = scheduler.steps


def _nothing() -> None:
    """Only advances the time."""


class FleetNetwork(Network):
    """The simulation's network, with the latencies of this fleet."""

    def __init__(self, scheduler: Scheduler, seed: str, way: Callable[[int, int], float]) -> None:
        super().__init__(scheduler, seed, NullObserver())
        self.conditions.split_share = 0.0
        self.zones: dict[str, int] = {}
        self._one_way_ms = way

    def latency(self, rng: Any, one: str, other: str) -> int:
        if CALLERS_HOST in (one, other) or one == other:
            return 1
        return max(1, round(1000.0 * self._one_way_ms(self.zones.get(one, 0), self.zones.get(other, 0))))


class WireCall:
    """A request at a server, answered in bytes: the ServerCall of this model."""

    def __init__(
        self,
        fleet: WholeFleet,
        server: Server,
        connection: ServerConnection,
        open_request: OpenRequest,
        remaining_ms: float,
    ) -> None:
        self._fleet = fleet
        self._connection = connection
        self.open_request = open_request
        self.deadline = fleet.clock.now + remaining_ms
        self.cancel_next_tier: Callable[[], None] | None = None
        self.over = False
        noise = fleet.attempt_noise(open_request.spec.class_index)
        self.work_ms = open_request.spec.tier_work_ms[server.tier] * noise
        self.wait_ms = open_request.spec.tier_wait_ms[server.tier] * noise

    def on_started(self, server: Server) -> bool:
        return self._fleet.effects.start(self.open_request, server, self._fleet.clock.now)

    def call_next_tier(self, server: Server, done: Callable[[bool], None]) -> None:
        self._fleet.call_next_tier(self, server, done)

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        self.over = True
        self._connection.answered(self, outcome, load)

    def add_work(self, work_ms: float) -> None:
        self.open_request.spec.operation.work += work_ms

    def on_abandoned(self) -> None:
        self.over = True
        if self.cancel_next_tier is not None:
            self.cancel_next_tier()
            self.cancel_next_tier = None

    def remaining_ms(self) -> float:
        return self.deadline - self._fleet.clock.now


class ServerConnection(asyncio.Protocol):
    """The server's end of a connection from a node."""

    def __init__(self, fleet: WholeFleet, server: Server) -> None:
        self._fleet, self._server = fleet, server
        self._framing = WireParser(responses=False)
        self._call: WireCall | None = None
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)

    def data_received(self, data: bytes) -> None:
        for frame in self._framing.feed(data):
            if frame.target == "/health":
                self.transport.write(encode_response(503 if self._server.draining else 200))
                continue
            open_request = self._fleet.open_requests[frame.headers["x-request-id"]]
            open_request.spec.operation.attempts += 1
            self._fleet.counts[self._server.tier].attempts += 1
            remaining_ms = 1000.0 * float(frame.headers.get("x-deadline", "60"))
            self._call = WireCall(self._fleet, self._server, self, open_request, remaining_ms)
            self._server.receive(self._call)

    def answered(self, call: WireCall, outcome: Outcome, load: tuple[float, ...]) -> None:
        outcome_counts = self._fleet.counts[self._server.tier].outcomes
        outcome_counts[outcome.value] = outcome_counts.get(outcome.value, 0) + 1
        if call is not self._call or outcome is Outcome.RESET or self.transport.is_closing():
            return
        self._call = None
        load_header = f'X-Load: {{"util":{load[0]:.4f},"inflight":{load[1]:.2f}}}\r\n' if load else ""
        if outcome is Outcome.OK:
            self.transport.write(encode_response(200, b"{}", load_header))
        elif outcome is Outcome.FULL:
            self.transport.write(encode_response(503, headers=f"X-Not-Run: 1\r\n{load_header}"))
        else:
            self.transport.write(encode_response(500, headers=load_header))

    def connection_lost(self, exc: Exception | None) -> None:
        call, self._call = self._call, None
        if call is not None and not call.over:
            self._server.cancel(call)


class RefusalCounter:
    """A node's balancer that counts the reasons of refusals, which answers on the wire do not carry."""

    def __init__(self, balancer: Balancer, counts: TierCounts) -> None:
        self._balancer, self._counts = balancer, counts

    def __getattr__(self, name: str) -> Any:
        return getattr(self._balancer, name)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        actions = self._balancer.handle(event, now)
        for action in actions:
            if isinstance(action, api.Refuse):
                self._counts.count_refusal(action)
        return actions


class WholeNode:
    """A real node in a process of its own, with the client that calls it."""

    def __init__(
        self, fleet: WholeFleet, name: str, tier: int, zone: int, host: str, client: VirtualLoop, config: str
    ) -> None:
        self.fleet, self.tier, self.zone = fleet, tier, zone
        self.alive = True
        self._counts = fleet.counts[tier]
        self._loop = fleet.process(name, host, zone)
        address = (host, PORT + 1 + tier)
        environment = {
            "NODE_NAME": name,
            "NODE_LISTEN": f"{address[0]}:{address[1]}",
            "NODE_CONFIG": "config.json",
        }
        platform = NodePlatform(fleet.scheduler, {"config.json": config})
        node_config = load_config(environment, platform)

        async def main() -> None:
            node = RealNode(node_config, platform)
            node._balancer = cast(Balancer, RefusalCounter(node._balancer, self._counts))
            await node.start()
            await node.wait()

        self._loop.spawn(main())
        self._client = NodeClient(client, address)
        self._calls: dict[OpenRequest, ClientCall] = {}

    def submit(self, ask: RequestSpec, done: AnswerCallback) -> OpenRequest:
        """Send a request as HTTP, with the headers that callers use."""
        fleet = self.fleet
        fleet.last_number += 1
        self._counts.arrivals += 1
        open_request = OpenRequest(fleet.last_number, ask, fleet.clock.now + ask.budget_ms, done)
        kind = fleet.file.request_class[ask.class_index]
        name = f"{fleet.last_number:016x}"
        headers = {
            "X-Request-Id": name,
            "X-Class": kind.name,
            "X-Deadline": f"{ask.budget_ms / 1000.0:.4f}",
        }
        headers["X-Tenant"] = fleet.file.tenant[ask.tenant].name if fleet.file.tenant else DEFAULT_TENANT
        if ask.cost_hint_ms is not None:
            headers["X-Cost-Hint"] = f"{1000.0 * ask.cost_hint_ms:.0f}"
        if kind.effect == "keyed":
            headers["Idempotency-Key"] = f"{ask.key:x}-{ask.inner_call:x}-{self.tier}"
        fleet.open_requests[name] = open_request
        data = encode_request("GET" if kind.effect == "safe" else "POST", f"/api/{name}", headers)
        # The caller's model gives up earlier; this time-out only bounds what a lost call holds.
        call = self._client.send(
            data, ask.budget_ms / 1000.0 + 1.0, functools.partial(self._answered, open_request)
        )
        if not call.ended:
            self._calls[open_request] = call
        return open_request

    def abandon(self, open_request: OpenRequest) -> None:
        """Its caller has given up: a violation of rule 1 (every request is answered) past its deadline."""
        call = self._calls.pop(open_request, None)
        if open_request.closed:
            return
        open_request.closed = True
        self._counts.abandoned += 1
        if self.alive and self.fleet.clock.now >= open_request.deadline - 0.5:
            self._counts.count_violation("lost")
        if call is not None:
            self._client.abandon(call, "gone")

    def _answered(self, open_request: OpenRequest, frame: WireMessage | None, why: str) -> None:
        self._calls.pop(open_request, None)
        if open_request.closed:
            return
        open_request.closed = True
        if frame is None:
            open_request.on_answer(RESET)
        elif frame.status == 200:
            self._counts.served += 1
            open_request.on_answer(SERVED)
        elif frame.status in (429, 503):
            self._counts.refused += 1
            open_request.on_answer(Answer("refused", 1000.0 * float(frame.headers.get("retry-after", "0"))))
        else:
            self._counts.failed += 1
            open_request.on_answer(FAILED)

    def stop(self) -> None:
        self.alive = False
        self._loop.kill()


class WireRegistry(Registry):
    """The delayed server list, served by the simulation's discovery."""

    def __init__(self, fleet: WholeFleet, tier: int, rng: Any, *, tells_capacity: bool) -> None:
        super().__init__(fleet.clock, fleet.file.fleet.lists, rng, tells_capacity=tells_capacity)
        self._fleet = fleet
        self.rows = Rows()
        host = f"10.9.{tier}.1"
        self.address = (host, 9000)
        self._discovery = StandInDiscovery(
            fleet.process(f"discovery-{tier}", host, 0), self.address, self.rows
        )

    def publish_initial(self, servers: Iterable[Server]) -> None:
        for server in servers:
            row = self._row(server.list_entry(tells_capacity=self._tells_capacity))
            self.rows.rows[row["instanceId"]] = row

    def add_node(self, node: Node) -> None:
        raise AssertionError("whole nodes ask discovery")

    def _publish(self, entry: api.ServerEntry, change: int) -> None:
        if self._pending.get(entry.server) != change:
            return
        del self._pending[entry.server]
        self.rows.apply_rows([self._row(entry)])
        self._discovery.announce()

    def _row(self, entry: api.ServerEntry) -> Row:
        fleet = self._fleet
        lifecycle = {Readiness.READY: "SERVING", Readiness.DRAINING: "DRAINING", Readiness.GONE: "DELETED"}
        name = entry.server.decode()
        started = START_UNIX_TIME_S * 1000.0 + fleet.clock.scheduler_ms(entry.started_ms)
        return {
            "instanceId": name,
            "hostPort": f"{fleet.hosts[entry.server]}:{PORT}",
            "zone": fleet.file.fleet.network.zones[entry.zone],
            "machineType": f"kind-{entry.kind}",
            "cell": entry.cell,
            "lifecycle": lifecycle[entry.readiness],
            "weight": entry.capacity_hint,
            "startedAtMs": started if entry.started_ms > 0.0 else 0,
        }


class WholeFleet(Fleet):
    """A fleet with real nodes."""

    clock: SchedulerClock

    def __init__(
        self, clock: SchedulerClock, file: File, shape: FleetShape, seed: str, decider: DeciderFactory
    ) -> None:
        self.scheduler = clock.scheduler
        self.open_requests: dict[str, OpenRequest] = {}
        self.hosts: dict[bytes, str] = {}
        self.last_number = 0
        self._loops: dict[bytes, VirtualLoop] = {}
        self._processes: list[VirtualLoop] = []
        self._host_count = 0
        self.faults: list[str] = []
        self.network = FleetNetwork(clock.scheduler, seed, lambda one, other: self._one_way_ms(one, other))
        self._callers = self.process("callers", CALLERS_HOST, 0)
        super().__init__(clock, file, shape, seed, decider)

    @property
    def effects(self) -> EffectTracker:
        return self._effects

    def process(self, name: str, host: str, zone: int) -> VirtualLoop:
        """Make a process on a machine in a zone."""
        # Typeshed marks asyncio's base class as abstract; methods missing here raise, as in asyncio.
        loop = VirtualLoop(  # type: ignore[abstract]
            name, host, self.scheduler, self.network, self._record_fault
        )
        self.network.zones[host] = zone
        self._processes.append(loop)
        return loop

    def _record_fault(self, loop: VirtualLoop, text: str) -> None:
        self.counts[0].count_violation("exception")
        self.faults.append(f"in {loop.name}: {text}")

    def _servers(self, index: int, tier: Tier) -> dict[bytes, Server]:
        servers = super()._servers(index, tier)
        for server in servers.values():
            self._listen(server)
        return servers

    def _listen(self, server: Server) -> None:
        """Make a process for a server, on its own machine."""
        if server.name not in self.hosts:
            self._host_count += 1
            self.hosts[server.name] = f"10.2.{self._host_count // 250}.{self._host_count % 250 + 1}"
        host = self.hosts[server.name]
        old = self._loops.get(server.name)
        if old is not None:
            old.kill()
        if host in self.network.conditions.silent_hosts:
            self.network.conditions.silent_hosts.discard(host)
            self.network.host_returned(host)
        loop = self.process(server.name.decode(), host, server.plan.zone)
        self._loops[server.name] = loop
        self.network.listen(loop, lambda: ServerConnection(self, server), (host, PORT))

    def _registry(self, tier: int) -> Registry:
        tells_capacity = self.file.fleet.node.capacity_hints
        rng = Random(f"{self._seed}/lists/{tier}")
        return WireRegistry(self, tier, rng, tells_capacity=tells_capacity)

    def _node(self, tier: int, nodes: int, ordinal: int, zone: int) -> WholeNode:
        registry = cast(WireRegistry, self.registries[tier])
        settings = node_settings(self.file, self.shape, tier, nodes, ordinal, zone)
        seed = Random(f"{self._seed}/node/{tier}/{ordinal}/{self.clock.now}").getrandbits(31)
        config = {
            "name": f"n{tier}-{ordinal}",
            "seed": f"{seed:016x}",
            "discovery": f"{registry.address[0]}:{registry.address[1]}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "known": registry.rows.full_list(),
            "settings": nested_settings(settings, self.file),
        }
        if tier:
            name = list(self._tiers[tier - 1])[ordinal]
            host, client = self.hosts[name], self._loops[name]
        else:
            host, client = f"10.1.0.{ordinal + 1}", self._callers
        node = WholeNode(self, f"n{tier}-{ordinal}", tier, zone, host, client, json.dumps(config))
        self._ordinals[node] = ordinal
        return node

    def stop(self, server: Server, *, silent: bool = False) -> None:
        if silent:
            self.network.conditions.silent_hosts.add(self.hosts[server.name])
        super().stop(server, silent=silent)
        if not silent:
            self._loops[server.name].kill()

    def start(self, server: Server) -> None:
        self._listen(server)
        super().start(server)

    def close(self) -> None:
        for loop in self._processes:
            loop.kill()


def nested_settings(settings: api.Settings, file: File) -> dict[str, Any]:
    """Settings in the form of a node's configuration."""
    return {
        "azs": list(file.fleet.network.zones),
        "locality": settings.zone,
        "balancers": settings.balancers,
        "ordinal": settings.ordinal,
        "stage": settings.stage,
        "layers": [tier.name for tier in file.fleet.tier],
        "models": [f"kind-{i}" for i in range(max(len(tier.kind) for tier in file.fleet.tier))],
        "loadInfo": {
            "columns": list(settings.load_columns),
            "how": "inline" if settings.load_columns else "off",
        },
        "guarantees": {
            "answerSlackMs": settings.answer_slack_ms,
            "coldMs": settings.cold_ms,
            "fallMultiple": settings.fall_multiple,
            "mustAskInMs": settings.must_ask_ms,
            "overloadForMs": settings.fall_window_ms,
            "startCapacity": settings.cold_start_share,
            "stopSendingWithinMs": settings.drain_grace_ms,
        },
        "policyLimits": {
            "cancel": settings.may_cancel,
            "connIdleMs": CONNECTION_IDLE_MS,
            "connectTimeoutMs": settings.connect_timeout_ms,
            "maxRetryAfterMs": settings.max_retry_after_ms,
            "mayDuplicate": settings.may_duplicate,
            "probes": settings.may_probe,
            "retryAfter": settings.retry_after,
            "tryLimit": settings.max_attempts,
        },
        "profiles": [
            {
                "name": c.name,
                "effect": c.effect.value,
                "aimMs": c.aim_ms,
                "deadlineMs": c.deadline_ms,
                "worth": c.worth,
                "lateShare": c.late_share,
                "group": c.group.value,
                "windowMs": c.window_ms,
            }
            for c in settings.classes
        ],
        "registryMode": "on_request" if settings.ask_for_list else "pushed",
        "tenants": [
            {"name": t.name, "fraction": t.fraction, "quotaPerS": t.quota_per_s}
            # Inner tiers get the names, which requests carry, without quotas.
            for t in settings.tenants
            or tuple(api.Tenant(t.name, t.share, 0.0) for t in file.tenant)
            or (api.Tenant(DEFAULT_TENANT, 1.0, 0.0),)
        ],
        "overShareWorth": settings.over_share_worth,
        "worthBy": "work" if settings.worth_by_work else "request",
        "familyInfo": {"passesDeadline": settings.passes_deadline},
        "tickMs": settings.tick_ms,
        "weights": "nominal" if settings.capacity_hints else "off",
    }


@contextmanager
def silenced_log() -> Iterator[None]:
    """Silence the nodes' log during a run, and restore its level afterwards."""
    log = logging.getLogger("leadrudder")
    before = log.level
    log.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        log.setLevel(before)


def build_fleet(
    file: File, shape: FleetShape, seed: str, decider: DeciderFactory
) -> tuple[SchedulerClock, WholeFleet]:
    """Build the fleet of one run and its clock, and start the nodes."""
    clock = SchedulerClock(Scheduler(seed), file.runs.most_steps)
    fleet = WholeFleet(clock, file, shape, seed, decider)
    clock.run(START_US / 1000.0)
    clock.begin()
    return clock, fleet
