"""The fleet of a run: tiers of servers, nodes in front of them, server lists, and calls between tiers."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from dataclasses import fields

from leadrudder import interface as api
from leadrudder.experiment.clock import Clock
from leadrudder.experiment.draw import FleetShape, as_float, plan_servers, sample_unit_mean
from leadrudder.experiment.lists import Registry
from leadrudder.experiment.node import (
    Answer,
    Decider,
    EffectTracker,
    Node,
    NodeEndpoint,
    OpenRequest,
    ParentCall,
    RequestSpec,
    TierCounts,
    one_way_latency,
)
from leadrudder.experiment.server import Server, ServerSettings
from leadrudder.experiment.spec import File, Slowing, Tier

DeciderFactory = Callable[[api.Settings, int], Decider]

HELD_MS = 1000.0  # time that a draining server has to finish its requests


def node_settings(
    file: File, shape: FleetShape, tier: int, nodes: int, ordinal: int, zone: int
) -> api.Settings:
    """A node's settings; fields that an older revision of the policy module lacks are left out."""
    node, load = file.fleet.node, file.load
    first = tier == 0
    reports = file.fleet.tier[tier].reports
    quota = shape.capacity_per_s * as_float(load.quota_of_capacity)
    values = {
        "classes": request_classes(file),
        "tenants": tuple(api.Tenant(t.name, t.share, t.share * quota) for t in file.tenant if first),
        "balancers": nodes,
        "ordinal": ordinal,
        "stage": tier,
        "stages": len(file.fleet.tier),
        "zone": zone,
        "zones": len(file.fleet.network.zones),
        "max_attempts": node.attempts,
        "may_duplicate": node.copies,
        "may_cancel": node.cancel,
        "may_probe": node.probes,
        "retry_after": node.retry_after,
        "max_retry_after_ms": node.most_retry_after_ms,
        "worth_by_work": load.worth_by_work,
        "over_share_worth": load.over_share_worth,
        "ask_for_list": file.fleet.lists.asked,
        "capacity_hints": node.capacity_hints,
        "passes_deadline": node.passes_deadline,
        "answer_slack_ms": 20.0,
        "drain_grace_ms": node.drain_grace_ms,
        "cold_start_share": min(
            (as_float(k.cold_from) for t in file.fleet.tier for k in t.kind), default=1.0
        ),
        "cold_ms": 1000.0 * max((as_float(k.cold_s) for t in file.fleet.tier for k in t.kind), default=0.0),
        "fall_multiple": node.fall_times,
        "fall_window_ms": 1000.0 * node.fall_s,
        "connect_timeout_ms": node.connect_ms,
        "tick_ms": 1.0,
        "load_columns": ("util", "inflight") if reports is not None else (),
    }
    known = {field.name for field in fields(api.Settings)}
    return api.Settings(**{name: value for name, value in values.items() if name in known})  # type: ignore[arg-type]


def request_classes(file: File) -> tuple[api.RequestClass, ...]:
    return tuple(
        api.RequestClass(
            name=c.name,
            aim_ms=c.aim_ms,
            deadline_ms=c.deadline_ms,
            worth=c.worth,
            late_share=c.late_share,
            effect=api.Effect(c.effect),
            group=api.RepeatGroup(c.group),
            window_ms=c.window_ms,
        )
        for c in file.request_class
    )


class Fleet:
    """The fleet of one run. front_nodes: those that callers choose from."""

    def __init__(
        self, clock: Clock, file: File, shape: FleetShape, seed: str, decider: DeciderFactory
    ) -> None:
        self.clock, self.file, self.shape = clock, file, shape
        self._seed = seed
        self._decider_factory = decider
        self._rng = random.Random(f"{seed}/calls")
        network, node = file.fleet.network, file.fleet.node
        self.zones = len(network.zones)
        self._one_way_ms = one_way_latency(
            random.Random(f"{seed}/network"),
            as_float(network.same_ms),
            as_float(network.cross_ms),
            as_float(network.jitter),
        )
        self.counts = [TierCounts() for _ in file.fleet.tier]
        self._effects = EffectTracker(request_classes(file), self.counts.__getitem__)
        self._noise_variations = [as_float(c.noise) for c in file.request_class]
        self._noise_rng = random.Random(f"{seed}/noise")
        self._server_settings = [
            ServerSettings(
                node.fall_times,
                1000.0 * node.fall_s,
                self._slowing(tier),
                tier.reports,
                as_float(tier.connections),
                as_float(tier.handshake_ms),
            )
            for i, tier in enumerate(file.fleet.tier)
        ]
        self._tiers: list[dict[bytes, Server]] = [
            self._servers(i, tier) for i, tier in enumerate(file.fleet.tier)
        ]
        self.registries = [self._registry(i) for i in range(len(self._tiers))]
        for registry, servers in zip(self.registries, self._tiers, strict=True):
            registry.publish_initial(servers.values())
        self.front_nodes: list[NodeEndpoint] = []
        self._inner_nodes: dict[bytes, NodeEndpoint] = {}
        self._ordinals: dict[NodeEndpoint, int] = {}
        count = int(as_float(file.fleet.nodes))
        for i in range(count):
            self.front_nodes.append(self._node(0, count, i, i % self.zones))
        for tier in range(len(self._tiers) - 1):
            for i, server in enumerate(self._tiers[tier].values()):
                self._inner_nodes[server.name] = self._node(
                    tier + 1, shape.servers_per_tier[tier], i, server.plan.zone
                )

    def _registry(self, tier: int) -> Registry:
        tells_capacity = self.file.fleet.node.capacity_hints
        rng = random.Random(f"{self._seed}/lists/{tier}")
        return Registry(self.clock, self.file.fleet.lists, rng, tells_capacity=tells_capacity)

    def _slowing(self, tier: Tier) -> Slowing | None:
        slowing = tier.slowing
        if slowing is None or random.Random(f"{self._seed}/slowing").random() >= slowing.part:
            return None
        return slowing

    def _servers(self, index: int, tier: Tier) -> dict[bytes, Server]:
        plans = plan_servers(
            tier, self.shape.servers_per_tier[index], self.zones, f"{self._seed}/{tier.name}"
        )
        servers = {}
        for i, plan in enumerate(plans):
            name = b"%s-%d" % (tier.name.encode(), i)
            rng = random.Random(f"{self._seed}/{tier.name}/{i}")
            servers[name] = Server(self.clock, name, plan, self._server_settings[index], rng, index)
        return servers

    def _node(self, tier: int, nodes: int, ordinal: int, zone: int) -> NodeEndpoint:
        settings = node_settings(self.file, self.shape, tier, nodes, ordinal, zone)
        spec = self.file.fleet.node
        seed = random.Random(f"{self._seed}/node/{tier}/{ordinal}/{self.clock.now}").getrandbits(31)
        node = Node(
            self.clock,
            self,
            self._decider_factory(settings, seed),
            tier,
            zone,
            self.counts[tier],
            self._effects,
            self._one_way_ms,
            spec.connect_ms,
            spec.drain_grace_ms,
            1000.0 * self.file.fleet.tier[tier].idle_s if self._models_connections(tier) else 0.0,
        )
        self._ordinals[node] = ordinal
        self.registries[tier].add_node(node)
        return node

    def _models_connections(self, tier: int) -> bool:
        """Whether connections of this tier are modelled."""
        spec = self.file.fleet.tier[tier]
        return as_float(spec.connections) > 0.0 or as_float(spec.handshake_ms) > 0.0

    def close(self) -> None:
        """Release what the fleet holds at the end of the run."""

    # ------------------------------------------------------------ called by nodes

    def servers_of_tier(self, tier: int) -> dict[bytes, Server]:
        return self._tiers[tier]

    def request_list(self, node: Node) -> None:
        self.registries[node.tier].send_full_list(node)

    def attempt_noise(self, class_index: int) -> float:
        variation = self._noise_variations[class_index]
        return sample_unit_mean(self._noise_rng, "lognormal", variation) if variation else 1.0

    def call_next_tier(self, attempt: ParentCall, server: Server, done: Callable[[bool], None]) -> None:
        """Make the calls of a request to the next tier, one after another, through the server's own node."""
        tier = server.tier + 1
        if tier >= len(self._tiers):
            done(True)
            return
        mean = as_float(self.file.fleet.tier[tier].calls)
        calls = int(mean) + (self._rng.random() < mean - int(mean))
        self._call_next(attempt, server, done, calls)

    def _call_next(
        self, attempt: ParentCall, server: Server, done: Callable[[bool], None], left: int
    ) -> None:
        node = self._inner_nodes.get(server.name)
        if left <= 0:
            attempt.cancel_next_tier = None
            done(True)
            return
        if node is None or not node.alive:
            done(False)
            return
        outer = attempt.open_request.spec
        kind = self.file.request_class[outer.class_index]
        passes = self.file.fleet.node.passes_deadline
        budget = attempt.remaining_ms() if passes else kind.deadline_ms
        if budget <= 1.0:
            done(False)
            return
        ask = RequestSpec(
            outer.class_index,
            budget,
            outer.tenant,
            outer.key,
            outer.cost_hint_ms,
            outer.tier_work_ms,
            outer.tier_wait_ms,
            outer.operation,
            outer.inner_call * 16 + left,
        )
        answered = functools.partial(self._next_tier_answered, attempt, server, done, left)
        open_request = node.submit(ask, answered)
        if not open_request.closed:
            attempt.cancel_next_tier = functools.partial(_abandon, node, open_request)

    def _next_tier_answered(
        self, attempt: ParentCall, server: Server, done: Callable[[bool], None], left: int, answer: Answer
    ) -> None:
        attempt.cancel_next_tier = None
        if answer.what == "served":
            self._call_next(attempt, server, done, left - 1)
            return
        if answer.what == "refused":
            attempt.open_request.spec.operation.inner_refusals += 1
        done(False)

    # ------------------------------------------------------------ called by troubles

    def drain(self, server: Server) -> None:
        server.draining = True
        self.registries[server.tier].publish_change(server, api.Readiness.DRAINING)

    def stop(self, server: Server, *, silent: bool = False) -> None:
        """Stop a server and its own node."""
        server.stop(silent=silent)
        node = self._inner_nodes.get(server.name)
        if node is not None:
            node.stop()
        self.registries[server.tier].publish_change(server, api.Readiness.GONE, silent=silent)

    def start(self, server: Server) -> None:
        """Start a new, cold process of a server, with a new node."""
        server.start()
        old = self._inner_nodes.get(server.name)
        if old is not None:
            nodes = self.shape.servers_per_tier[server.tier]
            self._inner_nodes[server.name] = self._node(old.tier, nodes, self._ordinals.pop(old), old.zone)
        self.registries[server.tier].publish_change(server, api.Readiness.READY)

    def add(self, tier: int, like: Server) -> Server:
        """Start a new server in the tier, of the same plan as another, under a new name."""
        ordinal = len(self._tiers[tier])
        name = b"%s-%d" % (self.file.fleet.tier[tier].name.encode(), ordinal)
        rng = random.Random(f"{self._seed}/{name!r}")
        server = Server(self.clock, name, like.plan, self._server_settings[tier], rng, tier)
        server.alive = False
        self._tiers[tier][name] = server
        self._listen(server)
        if tier + 1 < len(self._tiers):
            self._inner_nodes[name] = self._node(
                tier + 1, self.shape.servers_per_tier[tier], ordinal, like.plan.zone
            )
        server.start()
        self.registries[tier].publish_change(server, api.Readiness.READY)
        return server

    def _listen(self, server: Server) -> None:
        """Prepare for a server of a new name, before it starts."""

    def restart_node(self, index: int) -> NodeEndpoint:
        """Replace a front node by a new process."""
        old = self.front_nodes[index]
        old.stop()
        self.front_nodes[index] = self._node(0, len(self.front_nodes), index, old.zone)
        return self.front_nodes[index]


def _abandon(node: NodeEndpoint, open_request: OpenRequest) -> None:
    node.abandon(open_request)
