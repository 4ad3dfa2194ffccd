"""Injects the faults of a plan and ends them after their span.

A fault picks its target by a number modulo the candidates that exist at its time, so that a plan still runs
when other faults are removed from it.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from leadrudder.simulation.faults import Fault
from leadrudder.simulation.network import ConnectionCut
from leadrudder.simulation.standins.server import StandInServer

if TYPE_CHECKING:
    from leadrudder.simulation.world import NodeHost, World

T = TypeVar("T")

SILENT_SHARE = 0.12  # of a tier's servers that vanish at once
DRAIN_TIME_S = 1.0  # in which a draining server finishes its open calls
DISCOVERY_PORT = 8500
TERM_NOTICE_RANGE_US = (200_000, 400_000)  # from a node's SIGTERM until the front stops sending to it
SIGKILL_DELAY_MS = 3_700  # the shortest time from SIGTERM to SIGKILL that the platform documents
DEATH_NOTICE_RANGE_US = (920_000, 2_000_000)  # from a node's death until the front stops sending to it


class Injector:
    """Begins and ends faults."""

    def __init__(self, world: World) -> None:
        self.extra_list_delay_ms = 0
        self._world = world
        self._pending_ends: dict[int, Callable[[], None]] = {}
        self._sequence = 0
        self._stopped = False

    def inject(self, fault: Fault) -> None:
        """Starts a fault; its method is named after its kind."""
        if self._stopped:
            return
        self._world.oracle.count("faults")
        getattr(self, "_" + fault.kind.replace("-", "_"))(fault)

    def end_all(self) -> None:
        """Ends all faults that last, and starts no more."""
        self._stopped = True
        for end in list(self._pending_ends.values()):
            end()
        self._pending_ends.clear()

    # ------------------------------------------------------------ helpers

    def _end_after(self, span_ms: int, end: Callable[[], None]) -> None:
        """Calls `end` once, after the span or in end_all."""
        self._sequence += 1
        number = self._sequence

        def once() -> None:
            if self._pending_ends.pop(number, None) is not None:
                end()

        self._pending_ends[number] = end
        self._schedule(span_ms * 1000, once)

    def _schedule(self, wait_us: int, call: Callable[[], None]) -> None:
        scheduler = self._world.scheduler
        scheduler.schedule_timer(scheduler.now + wait_us, None, "injector", call)

    @staticmethod
    def _pick(items: list[T], fault: Fault) -> T | None:
        return items[fault.target % len(items)] if items else None

    def _tier(self, fault: Fault) -> int:
        return fault.target // 7 % self._world.site.tiers

    def _server(self, fault: Fault) -> StandInServer | None:
        """A running server that is not draining; None rather than the last one of its tier."""
        servers = [s for s in self._world.servers[self._tier(fault)] if not s.faults.draining]
        return self._pick(servers, fault) if len(servers) > 1 else None

    def _front_node(self, fault: Fault) -> NodeHost | None:
        return self._pick([n for n in self._world.nodes if not n.tier and n.loop is not None], fault)

    def _change_server_faults(self, fault: Fault, name: str, value: object) -> None:
        server = self._server(fault)
        if server is None:
            return
        faults = server.faults
        default = getattr(type(faults)(), name)
        setattr(faults, name, value)
        self._end_after(fault.span_ms, lambda: setattr(faults, name, default))

    def _change_conditions(self, fault: Fault, name: str, value: object) -> None:
        conditions = self._world.network.conditions
        default = getattr(type(conditions)(), name)
        setattr(conditions, name, value)
        self._end_after(fault.span_ms, lambda: setattr(conditions, name, default))

    def _change_behaviour(self, fault: Fault, name: str, value: float) -> None:
        behaviour = self._world.callers.behaviour
        default = getattr(type(behaviour)(), name)
        setattr(behaviour, name, value)
        self._end_after(fault.span_ms, lambda: setattr(behaviour, name, default))

    # ------------------------------------------------------------ the network

    def _tail(self, fault: Fault) -> None:
        self._change_conditions(fault, "tail_share", 0.05 + 0.3 * fault.level)

    def _shatter(self, fault: Fault) -> None:
        self._change_conditions(fault, "split_share", 0.5 + 0.5 * fault.level)

    def _coincide(self, fault: Fault) -> None:
        self._change_conditions(fault, "arrival_grain_us", 1000 if fault.level < 0.7 else 5000)

    def _slow_link(self, fault: Fault) -> None:
        server = self._server(fault)
        if server is not None:
            extra = self._world.network.conditions.extra_latency_us
            extra[server.loop.host] = int(2_000 + 40_000 * fault.level**2)
            self._end_after(fault.span_ms, partial(_remove_key, extra, server.loop.host))

    def _cut_connections(self, fault: Fault, delivered_share: float, *, answers: bool = False) -> None:
        """Cuts the next messages between a server and each host that calls it."""
        world = self._world
        server = self._server(fault)
        if server is None:
            return
        callers = [n.host for n in world.nodes if n.tier == server.tier]
        times = 1 + int(fault.level * 3)
        for host in callers:
            source, target = (server.loop.host, host) if answers else (host, server.loop.host)
            world.network.conditions.cuts.append(ConnectionCut(source, target, delivered_share, times))
        cuts = world.network.conditions.cuts
        added = cuts[-len(callers) :] if callers else []
        self._end_after(3000, lambda: _remove_cuts(cuts, added))

    def _reset_before(self, fault: Fault) -> None:
        self._cut_connections(fault, 0.0)

    def _reset_within(self, fault: Fault) -> None:
        self._cut_connections(fault, 0.1 + 0.8 * fault.level)

    def _reset_after(self, fault: Fault) -> None:
        self._cut_connections(fault, 1.0)

    def _reset_answer(self, fault: Fault) -> None:
        self._cut_connections(fault, (0.0, 0.5, 1.0)[fault.target % 3], answers=True)

    def _half_open(self, fault: Fault) -> None:
        server = self._server(fault)
        if server is not None:
            self._isolate_host(server.loop.host, fault.span_ms)

    def _isolate_host(self, host: str, span_ms: int) -> None:
        world = self._world
        world.network.conditions.silent_hosts.add(host)

        def restore() -> None:
            world.network.conditions.silent_hosts.discard(host)
            world.network.host_returned(host)

        self._end_after(span_ms, restore)

    # ------------------------------------------------------------ servers

    def _silent(self, fault: Fault) -> None:
        """Several hosts vanish at once and return with new, cold processes."""
        world = self._world
        servers = world.servers[self._tier(fault)]
        count = max(1, int(SILENT_SHARE * len(servers)))
        first = fault.target % len(servers) if servers else 0
        chosen = [servers[(first + i) % len(servers)] for i in range(count)] if len(servers) > 1 else []
        for server in chosen:
            host = server.loop.host
            world.network.conditions.silent_hosts.add(host)
            self._end_after(fault.span_ms, partial(self._return_cold, server, fault))

    def _return_cold(self, server: StandInServer, fault: Fault) -> None:
        world = self._world
        host = server.loop.host
        for transport in [t for t in world.network.open_transports if t.host == host]:
            transport.blackholed = True
            transport.peer.blackholed = True
        world.network.conditions.silent_hosts.discard(host)
        world.network.host_returned(host)
        if server in world.servers[server.tier]:
            self._replace_server(server, fault, server.name)

    def _replace_server(self, server: StandInServer, fault: Fault, name: str) -> None:
        """Starts a cold process at a server's address in its place; discovery announces it later."""
        world = self._world
        tier, address = server.tier, server.address
        if server not in world.servers[tier]:
            return  # replaced by another fault in the meantime
        world.stop_server(server)
        row = world.make_row(tier, name, address, world.scheduler.now)
        world.start_server(tier, row, cold=True)
        rows = [row]
        if name != server.name:
            rows.insert(0, {**world.make_row(tier, server.name, address, 0), "lifecycle": "DELETED"})
        world.publish(tier, rows, world.list_delay_ms(fault))

    def _crash(self, fault: Fault) -> None:
        server = self._server(fault)
        if server is None:
            return
        server.faults.draining = True  # excludes it from further faults
        server.loop.kill()
        self._end_after(fault.span_ms, partial(self._replace_server, server, fault, server.name))

    def _release(self, fault: Fault) -> None:
        """Replaces half of a tier's servers by cold ones at once, under unchanged load.

        Does nothing while a server is still cold, since a release waits until the previous one is complete.
        """
        world, servers = self._world, self._world.servers[self._tier(fault)]
        if any(world.scheduler.now - server.started_us < server.cold_us for server in servers):
            return
        for server in servers[::2]:
            name, _ = world.allocate_server(server.tier)
            server.faults.draining = True
            self._replace_server(server, fault, name)

    def _reuse(self, fault: Fault) -> None:
        server = self._server(fault)
        if server is None:
            return
        server.faults.draining = True
        server.loop.kill()
        name, _ = self._world.allocate_server(server.tier)
        self._end_after(fault.span_ms, partial(self._replace_server, server, fault, name))

    def _drain(self, fault: Fault) -> None:
        """Discovery announces that a server drains; then it leaves. Some refuse calls before that."""
        world = self._world
        server = self._server(fault)
        if server is None:
            return
        tier = server.tier
        draining = world.make_row(tier, server.name, server.address, server.started_us, "DRAINING")
        if server.started_us < 0:
            draining["startedAtMs"] = 0
        delay = world.list_delay_ms(fault)
        world.publish(tier, [draining], delay)
        if fault.target % 2:
            server.faults.draining = True
        self._schedule(delay * 1000, lambda: setattr(server.faults, "draining", True))

        leaving = server

        def leave() -> None:
            if leaving not in world.servers[tier]:
                return
            world.stop_server(leaving)
            name, address = world.allocate_server(tier)
            row = world.make_row(tier, name, address, world.scheduler.now)
            world.start_server(tier, row, cold=True)
            world.publish(tier, [{**draining, "lifecycle": "DELETED"}], 10)
            world.publish(tier, [row], world.list_delay_ms(fault))

        self._end_after(delay + int(1000 * DRAIN_TIME_S) + fault.span_ms, leave)

    def _slow(self, fault: Fault) -> None:
        self._change_server_faults(fault, "slowdown", 2.0 + 10.0 * fault.level)

    def _slow_all(self, fault: Fault) -> None:
        for server in self._world.servers[self._tier(fault)]:
            faults = server.faults
            faults.slowdown = 1.3 + 1.7 * fault.level
            self._end_after(fault.span_ms, partial(setattr, faults, "slowdown", 1.0))

    def _full(self, fault: Fault) -> None:
        self._change_server_faults(fault, "full", True)

    def _errors(self, fault: Fault) -> None:
        self._change_server_faults(fault, "error_share", 0.1 + 0.9 * fault.level)

    def _spoilt(self, fault: Fault) -> None:
        self._change_server_faults(fault, "malformed_share", 0.1 + 0.9 * fault.level)

    def _unmarked(self, fault: Fault) -> None:
        self._change_server_faults(fault, "unmarked_share", 0.1 + 0.9 * fault.level)

    def _close_told(self, fault: Fault) -> None:
        self._change_server_faults(fault, "announced_close_share", 0.1 + 0.9 * fault.level)

    def _surplus(self, fault: Fault) -> None:
        self._change_server_faults(fault, "surplus_share", 0.2 + 0.8 * fault.level)

    def _hang(self, fault: Fault) -> None:
        server = self._server(fault)
        if server is not None:
            server.faults.hanging = True

            def resume() -> None:
                if server.loop.alive:
                    with server.loop.as_running_loop():
                        server.resume()

            self._end_after(fault.span_ms, resume)

    def _close_idle(self, fault: Fault) -> None:
        self._change_server_faults(fault, "close_after_answer", True)

    # ------------------------------------------------------------ discovery

    def _list_down(self, fault: Fault) -> None:
        for discovery in self._world.discoveries:
            if discovery.loop.alive:
                discovery.stop_serving()
                self._end_after(fault.span_ms, discovery.resume_serving)

    def _list_silent(self, fault: Fault) -> None:
        discovery = self._world.discoveries[self._tier(fault)]
        self._isolate_host(discovery.loop.host, fault.span_ms)

    def _list_late(self, fault: Fault) -> None:
        extra_ms = int(500 + 4000 * fault.level)
        self.extra_list_delay_ms += extra_ms
        self._end_after(
            fault.span_ms, lambda: setattr(self, "extra_list_delay_ms", self.extra_list_delay_ms - extra_ms)
        )

    def _list_back(self, fault: Fault) -> None:
        discovery = self._world.discoveries[self._tier(fault)]
        discovery.send_past_list(fault.target)
        self._end_after(
            fault.span_ms, lambda: discovery.send_current_list() if discovery.loop.alive else None
        )

    def _list_garbage(self, fault: Fault) -> None:
        self._world.discoveries[self._tier(fault)].send_garbage()

    def _list_moved(self, fault: Fault) -> None:
        world = self._world
        tier = self._tier(fault)
        old = world.discoveries[tier]
        if not old.loop.alive or old.loop.host in world.network.conditions.silent_hosts:
            return
        host = f"10.9.{tier}.{2 + fault.target % 200}"
        if world.network.listener_at((host, DISCOVERY_PORT)) is not None:
            return
        new = world.discoveries[tier] = world.start_discovery(tier, host)
        for node in world.nodes:
            if node.tier == tier and node.loop is not None:
                world.write_config(node, new.address, 1, old.registry.full_list())
                node.loop.deliver_signal(signal.SIGHUP)
        self._schedule(int(500_000 + 2_000_000 * fault.level), old.loop.kill)

    # ------------------------------------------------------------ nodes

    def _node_killed(self, fault: Fault) -> None:
        node = self._front_node(fault)
        if node is None:
            return
        known = self._start_list(node, fault)
        self._world.end_node(node)
        self._leave_front(node, DEATH_NOTICE_RANGE_US, fault)
        self._end_after(fault.span_ms, partial(self._restart_node, node, known))

    def _node_restart(self, fault: Fault) -> None:
        """SIGTERM: the front stops sending, the process must end before SIGKILL, and starts again."""
        node = self._front_node(fault)
        if node is None or node.loop is None or node.name not in self._world.front.ready_nodes:
            return
        world, loop = self._world, node.loop
        known = self._start_list(node, fault)
        loop.deliver_signal(signal.SIGTERM)
        self._leave_front(node, TERM_NOTICE_RANGE_US, fault)

        restarting = node

        def check_killed() -> None:
            if restarting.loop is loop:
                # SIGKILL would lose the requests that the node has accepted and not answered.
                world.oracle.report(
                    "crash", f"{restarting.name} had not ended {SIGKILL_DELAY_MS / 1000} s after SIGTERM"
                )

        self._schedule(SIGKILL_DELAY_MS * 1000, check_killed)
        self._schedule((SIGKILL_DELAY_MS + fault.span_ms) * 1000, partial(self._restart_node, node, known))

    def _leave_front(self, node: NodeHost, span_us: tuple[int, int], fault: Fault) -> None:
        """The front stops sending to a node after a delay."""
        low, high = span_us
        front, starts = self._world.front, node.starts
        self._schedule(
            int(low + (high - low) * fault.level),
            lambda: _remove_key(front.ready_nodes, node.name) if node.starts == starts else None,
        )

    def _start_list(self, node: NodeHost, fault: Fault) -> dict[str, object]:
        """The server list that a restarted node begins with: the current one or an old one."""
        registry = self._world.registries[node.tier]
        if fault.target % 2 or not registry.past:
            return registry.full_list()
        version, rows = registry.past[fault.target % len(registry.past)]
        return {"generation": version, "reset": True, "instances": rows}

    def _restart_node(self, node: NodeHost, known: dict[str, object]) -> None:
        world = self._world
        if node.loop is not None:
            return
        world.front.ready_nodes.pop(node.name, None)
        world.start_node(node, known)
        with world.callers.loop.as_running_loop():
            world.callers.await_ready(node.name, node.address)

    def _node_reload(self, fault: Fault) -> None:
        node = self._front_node(fault)
        if node is not None and node.loop is not None:
            good = node.files["config.json"]
            if fault.target % 2:
                node.files["config.json"] = good[: int(fault.level * len(good))]
                self._end_after(50, lambda: node.files.update({"config.json": good}))
            node.loop.deliver_signal(signal.SIGHUP)

    def _node_frozen(self, fault: Fault) -> None:
        node = self._pick([n for n in self._world.nodes if n.loop is not None], fault)
        if node is not None and node.loop is not None:
            node.loop.frozen_until_us = self._world.scheduler.now + fault.span_ms * 1000

    # ------------------------------------------------------------ callers

    def _leave(self, fault: Fault) -> None:
        self._change_behaviour(fault, "leave_share", 0.1 + 0.5 * fault.level)

    def _flood(self, fault: Fault) -> None:
        self._change_behaviour(fault, "rate_factor", 2.0 + 4.0 * fault.level)

    def _same_id(self, fault: Fault) -> None:
        self._change_behaviour(fault, "same_id_share", 0.05 + 0.4 * fault.level)

    def _rude(self, fault: Fault) -> None:
        self._change_behaviour(fault, "malformed_share", 0.05 + 0.4 * fault.level)

    def _pipeline(self, fault: Fault) -> None:
        self._change_behaviour(fault, "pipeline_share", 0.05 + 0.2 * fault.level)

    def _slow_reader(self, fault: Fault) -> None:
        self._change_behaviour(fault, "slow_reader_share", 0.05 + 0.2 * fault.level)


def _remove_key(items: dict[str, T], name: str) -> None:
    items.pop(name, None)


def _remove_cuts(cuts: list[ConnectionCut], added: list[ConnectionCut]) -> None:
    for cut in added:
        if cut in cuts:
            cuts.remove(cut)
