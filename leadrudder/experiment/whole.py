"""The whole model: real node code on the simulation's network and loop, between modelled servers and callers.

Servers, callers, lists' lags, troubles and figures are those of the policy-only model; what differs is
everything between them: bytes, connections, the parser, the core, discovery's watch, and timers in whole
milliseconds. So what the two models do not agree on is what the policy-only one leaves out.
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
from leadrudder.experiment.clock import Clock, Endless, Entry
from leadrudder.experiment.draw import Shape
from leadrudder.experiment.fleet import Fleet, MakeDecider, settings_of
from leadrudder.experiment.lists import Registry
from leadrudder.experiment.node import FAILED, RESET, SERVED, Answer, Ask, Counts, Done, Effects, Node, Taken
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
IDLE_MS = 30_000.0
ALL = "all"  # the one tenant where the file names none
CALLERS = "10.0.0.1"  # their way to a node is in the callers' own model, and takes no time here
BEGIN_US = 1_000_000  # time at which the world begins: nodes are up when the first request comes


class ScheduledClock(Clock):
    """The model's clock on the simulation's scheduler, so that both have one time."""

    def __init__(self, scheduler: Scheduler, most_steps: int) -> None:
        super().__init__(most_steps)
        self.scheduler = scheduler
        self._base = 0

    def after(self, delay_ms: float, call: Callable[..., object], *args: Any) -> Entry:
        entry = Entry(None, call, args)
        # Up to the next microsecond: rounded down, what is nearly done would be looked at for ever.
        due = self.scheduler.now + max(0, math.ceil(1000.0 * delay_ms))
        self.scheduler.schedule_timer(due, None, "model", self._make, entry)
        return entry

    def begin(self) -> None:
        """From here on its time is counted."""
        self._base = self.scheduler.now
        self.now = 0.0

    def scheduler_ms(self, at_ms: float) -> float:
        """An instant of the model on the scheduler's clock, as nodes and lists have it."""
        return at_ms + self._base / 1000.0

    def _make(self, entry: Entry) -> None:
        self.now = (self.scheduler.now - self._base) / 1000.0
        if entry.call is not None:
            entry.call(*entry.args)

    def run(self, until_ms: float) -> None:
        scheduler = self.scheduler
        end = self._base + round(1000.0 * until_ms)
        while (due := scheduler.next_due()) is not None and due <= end:
            # What happens in a process sees the time as well: servers answer from there.
            self.now = (due - self._base) / 1000.0
            scheduler.run_one()
            if scheduler.steps > self._most:
                raise Endless(f"more than {self._most} steps by {self.now / 1000.0:.1f} s of virtual time")
        scheduler.schedule_timer(end, None, "until", _nothing)
        while (due := scheduler.next_due()) is not None and due <= end:
            scheduler.run_one()
        self.now = until_ms
        self.steps = scheduler.steps


def _nothing() -> None:
    """Only moves the time."""


class Ways(Network):
    """The simulation's network with this fleet's latencies."""

    def __init__(self, scheduler: Scheduler, seed: str, way: Callable[[int, int], float]) -> None:
        super().__init__(scheduler, seed, NullObserver())
        self.conditions.split_share = 0.0
        self.zones: dict[str, int] = {}
        self._fleet_way = way

    def latency(self, rng: Any, one: str, other: str) -> int:
        if CALLERS in (one, other) or one == other:
            return 1
        return max(1, round(1000.0 * self._fleet_way(self.zones.get(one, 0), self.zones.get(other, 0))))


class WireCall:
    """A request that has reached a server: the model's Call, answered in bytes."""

    def __init__(
        self, fleet: WholeFleet, server: Server, side: ServerSide, taken: Taken, left: float
    ) -> None:
        self._fleet = fleet
        self._side = side
        self.taken = taken
        self.deadline = fleet.clock.now + left
        self.behind_it: Callable[[], None] | None = None
        self.over = False
        noise = fleet.noise(taken.ask.class_index)
        self.work_ms = taken.ask.works[server.tier] * noise
        self.wait_ms = taken.ask.waits[server.tier] * noise

    def began(self, server: Server) -> bool:
        return self._fleet.effects.begin(self.taken, server, self._fleet.clock.now)

    def behind(self, server: Server, done: Callable[[bool], None]) -> None:
        self._fleet.behind(self, server, done)

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        self.over = True
        self._side.answered(self, outcome, load)

    def spent(self, work_ms: float) -> None:
        self.taken.ask.operation.work += work_ms

    def stopped(self) -> None:
        self.over = True
        if self.behind_it is not None:
            self.behind_it()
            self.behind_it = None

    def left_ms(self) -> float:
        return self.deadline - self._fleet.clock.now


class ServerSide(asyncio.Protocol):
    """A connection of a node's at a server."""

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
            taken = self._fleet.asked[frame.headers["x-request-id"]]
            taken.ask.operation.attempts += 1
            self._fleet.counts[self._server.tier].attempts += 1
            left = 1000.0 * float(frame.headers.get("x-deadline", "60"))
            self._call = WireCall(self._fleet, self._server, self, taken, left)
            self._server.offer(self._call)

    def answered(self, call: WireCall, outcome: Outcome, load: tuple[float, ...]) -> None:
        counted = self._fleet.counts[self._server.tier].outcomes
        counted[outcome.value] = counted.get(outcome.value, 0) + 1
        if call is not self._call or outcome is Outcome.RESET or self.transport.is_closing():
            return
        self._call = None
        told = f'X-Load: {{"util":{load[0]:.4f},"inflight":{load[1]:.2f}}}\r\n' if load else ""
        if outcome is Outcome.OK:
            self.transport.write(encode_response(200, b"{}", told))
        elif outcome is Outcome.FULL:
            self.transport.write(encode_response(503, headers=f"X-Not-Run: 1\r\n{told}"))
        else:
            self.transport.write(encode_response(500, headers=told))

    def connection_lost(self, exc: Exception | None) -> None:
        call, self._call = self._call, None
        if call is not None and not call.over:
            self._server.cancel(call)


class Overheard:
    """A node's decisions, with the reasons of refusals counted: bytes do not tell them."""

    def __init__(self, balancer: Balancer, counts: Counts) -> None:
        self._balancer, self._counts = balancer, counts

    def __getattr__(self, name: str) -> Any:
        return getattr(self._balancer, name)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        actions = self._balancer.handle(event, now)
        for action in actions:
            if isinstance(action, api.Refuse):
                self._counts.refuse(action)
        return actions


class WholeNode:
    """A real node in a process of its own, and the client that calls it."""

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
        real = load_config(environment, platform)

        async def main() -> None:
            node = RealNode(real, platform)
            node._balancer = cast(Balancer, Overheard(node._balancer, self._counts))
            await node.start()
            await node.wait()

        self._loop.spawn(main())
        self._client = NodeClient(client, address)
        self._calls: dict[Taken, ClientCall] = {}

    def take(self, ask: Ask, done: Done) -> Taken:
        """Ask it as the platform's callers do."""
        fleet = self.fleet
        fleet.last += 1
        self._counts.arrivals += 1
        taken = Taken(fleet.last, ask, fleet.clock.now + ask.budget_ms, done)
        kind = fleet.file.request_class[ask.class_index]
        name = f"{fleet.last:016x}"
        headers = {
            "X-Request-Id": name,
            "X-Class": kind.name,
            "X-Deadline": f"{ask.budget_ms / 1000.0:.4f}",
        }
        headers["X-Tenant"] = fleet.file.tenant[ask.tenant].name if fleet.file.tenant else ALL
        if ask.hint_ms is not None:
            headers["X-Cost-Hint"] = f"{1000.0 * ask.hint_ms:.0f}"
        if kind.effect == "keyed":
            headers["Idempotency-Key"] = f"{ask.key:x}-{ask.inner:x}-{self.tier}"
        fleet.asked[name] = taken
        data = encode_request("GET" if kind.effect == "safe" else "POST", f"/api/{name}", headers)
        # The caller's own clock decides when it leaves; this one only bounds what is left lying.
        call = self._client.send(data, ask.budget_ms / 1000.0 + 1.0, functools.partial(self._answered, taken))
        if not call.ended:
            self._calls[taken] = call
        return taken

    def gone(self, taken: Taken) -> None:
        """Its caller waits no longer: rule 1 is broken where an answer was still owed in time."""
        call = self._calls.pop(taken, None)
        if taken.closed:
            return
        taken.closed = True
        self._counts.gone += 1
        if self.alive and self.fleet.clock.now >= taken.deadline - 0.5:
            self._counts.breaks("lost")
        if call is not None:
            self._client.abandon(call, "gone")

    def _answered(self, taken: Taken, frame: WireMessage | None, why: str) -> None:
        self._calls.pop(taken, None)
        if taken.closed:
            return
        taken.closed = True
        if frame is None:
            taken.done(RESET)
        elif frame.status == 200:
            self._counts.served += 1
            taken.done(SERVED)
        elif frame.status in (429, 503):
            self._counts.refused += 1
            taken.done(Answer("refused", 1000.0 * float(frame.headers.get("retry-after", "0"))))
        else:
            self._counts.failed += 1
            taken.done(FAILED)

    def stop(self) -> None:
        self.alive = False
        self._loop.kill()


class WireRegistry(Registry):
    """The lagging list, told by the simulation's discovery."""

    def __init__(self, fleet: WholeFleet, tier: int, rng: Any, *, told_capacity: bool) -> None:
        super().__init__(fleet.clock, fleet.file.fleet.lists, rng, told_capacity=told_capacity)
        self._fleet = fleet
        self.rows = Rows()
        host = f"10.9.{tier}.1"
        self.address = (host, 9000)
        self._discovery = StandInDiscovery(
            fleet.process(f"discovery-{tier}", host, 0), self.address, self.rows
        )

    def begin(self, servers: Iterable[Server]) -> None:
        for server in servers:
            row = self._row(server.entry(told_capacity=self._told_capacity))
            self.rows.rows[row["instanceId"]] = row

    def join(self, node: Node) -> None:
        raise AssertionError("whole nodes ask discovery")

    def _publish(self, entry: api.ServerEntry, news: int) -> None:
        if self._pending.get(entry.server) != news:
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
    """The fleet with real nodes."""

    clock: ScheduledClock

    def __init__(
        self, clock: ScheduledClock, file: File, shape: Shape, seed: str, decider: MakeDecider
    ) -> None:
        self.scheduler = clock.scheduler
        self.asked: dict[str, Taken] = {}
        self.hosts: dict[bytes, str] = {}
        self.last = 0
        self._loops: dict[bytes, VirtualLoop] = {}
        self._processes: list[VirtualLoop] = []
        self._hosts = 0
        self.faults: list[str] = []
        self.network = Ways(clock.scheduler, seed, lambda one, other: self._way(one, other))
        self._callers = self.process("callers", CALLERS, 0)
        super().__init__(clock, file, shape, seed, decider)

    @property
    def effects(self) -> Effects:
        return self._effects

    def process(self, name: str, host: str, zone: int) -> VirtualLoop:
        """A process on a machine in a zone."""
        # Typeshed calls asyncio's base class abstract; what it does not have here raises, as there.
        loop = VirtualLoop(  # type: ignore[abstract]
            name, host, self.scheduler, self.network, self._fault
        )
        self.network.zones[host] = zone
        self._processes.append(loop)
        return loop

    def _fault(self, loop: VirtualLoop, text: str) -> None:
        self.counts[0].breaks("exception")
        self.faults.append(f"in {loop.name}: {text}")

    def _servers(self, index: int, tier: Tier) -> dict[bytes, Server]:
        servers = super()._servers(index, tier)
        for server in servers.values():
            self._listen(server)
        return servers

    def _listen(self, server: Server) -> None:
        """A process for a server, on its own machine."""
        if server.name not in self.hosts:
            self._hosts += 1
            self.hosts[server.name] = f"10.2.{self._hosts // 250}.{self._hosts % 250 + 1}"
        host = self.hosts[server.name]
        old = self._loops.get(server.name)
        if old is not None:
            old.kill()
        if host in self.network.conditions.silent_hosts:
            self.network.conditions.silent_hosts.discard(host)
            self.network.host_returned(host)
        loop = self.process(server.name.decode(), host, server.plan.zone)
        self._loops[server.name] = loop
        self.network.listen(loop, lambda: ServerSide(self, server), (host, PORT))

    def _registry(self, tier: int) -> Registry:
        told = self.file.fleet.node.capacity_hints
        rng = Random(f"{self._seed}/lists/{tier}")
        return WireRegistry(self, tier, rng, told_capacity=told)

    def _node(self, tier: int, nodes: int, ordinal: int, zone: int) -> WholeNode:
        registry = cast(WireRegistry, self.registries[tier])
        settings = settings_of(self.file, self.shape, tier, nodes, ordinal, zone)
        seed = Random(f"{self._seed}/node/{tier}/{ordinal}/{self.clock.now}").getrandbits(31)
        config = {
            "name": f"n{tier}-{ordinal}",
            "seed": f"{seed:016x}",
            "discovery": f"{registry.address[0]}:{registry.address[1]}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "known": registry.rows.full_list(),
            "settings": nested(settings, self.file),
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


def nested(settings: api.Settings, file: File) -> dict[str, Any]:
    """Settings as a node's configuration holds them."""
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
            "connIdleMs": IDLE_MS,
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
            # Inner tiers know their names, as callers' requests carry them, and hold nobody to a share.
            for t in settings.tenants
            or tuple(api.Tenant(t.name, t.share, 0.0) for t in file.tenant)
            or (api.Tenant(ALL, 1.0, 0.0),)
        ],
        "overShareWorth": settings.over_share_worth,
        "worthBy": "work" if settings.worth_by_work else "request",
        "familyInfo": {"passesDeadline": settings.passes_deadline},
        "tickMs": settings.tick_ms,
        "weights": "nominal" if settings.capacity_hints else "off",
    }


@contextmanager
def quiet() -> Iterator[None]:
    """A node's log is not what a run is asked for; whoever played it has his own log back afterwards."""
    log = logging.getLogger("leadrudder")
    before = log.level
    log.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        log.setLevel(before)


def build(file: File, shape: Shape, seed: str, decider: MakeDecider) -> tuple[ScheduledClock, WholeFleet]:
    """The fleet of one run, its nodes up, and the clock that plays it."""
    clock = ScheduledClock(Scheduler(seed), file.runs.most_steps)
    fleet = WholeFleet(clock, file, shape, seed, decider)
    clock.run(BEGIN_US / 1000.0)
    clock.begin()
    return clock, fleet
