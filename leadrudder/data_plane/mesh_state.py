"""A data-plane node's view of the mesh: configuration, members and endpoints, and how changes are applied.

The work for a change is proportional to the change: each item is parsed once, one node's update affects only
the endpoints of that node, and new candidate lists go only to the load balancers affected. Invariants count
violations.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from leadrudder.bootstrap.settings import Settings
from leadrudder.configuration.item_store import ItemStore, kind_of
from leadrudder.configuration.items import CONTRACT_PREFIX, EVACUATION_PREFIX, WINDOW_PREFIX, Route
from leadrudder.configuration.routing_table import RoutingTable
from leadrudder.data_plane.admission_control import AdmissionController
from leadrudder.data_plane.candidates import Candidates, Distance
from leadrudder.data_plane.change_queue import ChangeQueue, PendingChanges
from leadrudder.data_plane.endpoint_discovery import EndpointDiscovery
from leadrudder.data_plane.endpoints import Endpoint, EndpointTable, endpoints_of
from leadrudder.data_plane.load_balancer import SendAttempt
from leadrudder.data_plane.machine_drains import MachineDrains
from leadrudder.data_plane.upstreams import Upstreams
from leadrudder.membership.registry import MemberRegistry
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.metrics import Metrics
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Item, Node
from leadrudder.transport.input_memory import InputMemory


class MeshState:
    """carry: sends one attempt; on_applied: called after each pass over changes; wall: Unix time in seconds.

    monotonic: monotonic time in seconds, finer than the loop's own.
    machine_drains_enabled: whether maintenance windows are enabled.
    subscribe: subscribes to services at the control plane; session_established: whether there is a session.
    """

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionController,
        invariants: Invariants,
        *,
        carry: SendAttempt,
        on_applied: Callable[[], None],
        subscribe: Callable[[frozenset[str]], None],
        session_established: Callable[[], bool],
        note: Callable[[str], None],
        rng: Random,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
        machine_drains_enabled: bool,
        link_memory: InputMemory | None = None,
    ) -> None:
        self.item_store = ItemStore()
        self.routing = RoutingTable()
        self.members = MemberRegistry("")
        self.endpoints = EndpointTable()
        self.upstreams = Upstreams(settings.bounds, self.candidates, carry, note, rng)
        self.changes = ChangeQueue(self._apply_changes, monotonic)
        self.discovery = EndpointDiscovery(
            settings.name,
            settings.zone,
            subscribe,
            session_established,
            self._on_node_entries,
            self._on_sources_changed,
            link_memory,
        )
        loop = asyncio.get_running_loop()
        self.machine_drains = MachineDrains(wall, loop.time, loop.call_later, self._on_machine_drain_ended)
        self._name, self._zone = settings.name, settings.zone
        self._admission, self._invariants, self._on_applied = admission, invariants, on_applied
        self._loop, self._machine_drains_enabled = loop, machine_drains_enabled
        self._items_accepted = 0  # configuration items, since the start
        self._member_list: list[Node] = []  # as of the last pass
        self._evacuated: frozenset[str] = frozenset()  # zones, as of the last pass
        self._candidates_by_service: dict[str, Candidates] = {}  # a cache, cleared by changes

    def register_metrics(self, metrics: Metrics) -> None:
        metrics.add("items", lambda: len(self.item_store.items))
        metrics.add("routes", lambda: len(self.routing.routes))
        metrics.add("balancers", lambda: len(self.upstreams))
        metrics.add_labelled("evacuation_version", "zone", self.item_store.evacuation_versions)
        metrics.add_labelled("zone_evacuated", "zone", lambda: dict.fromkeys(self._evacuated, 1))
        metrics.add("members", lambda: len(self._member_list))
        metrics.add("news_items_total", lambda: self._items_accepted)
        metrics.add("items_read_total", lambda: self.routing.items_read)
        metrics.add("change_passes_total", lambda: self.changes.passes)
        metrics.add("change_pass_seconds_total", lambda: self.changes.pass_seconds)
        metrics.add("server_lists_offered_total", lambda: self.upstreams.lists_offered)

    # ------------------------------------------------------------ updates

    def apply_update(self, update: wire.StateUpdate) -> None:
        """Apply an update from the control plane: changed items and members, or all of them."""
        self._apply_items(update.items)
        pending = self.changes.pending
        members = {node.name for node in self.members.merge(update.nodes)}
        if update.whole:
            members |= self._remove_members({node.name for node in update.nodes})
        if members:
            pending.nodes |= members
            pending.members = True
        if update.signalboxes:
            self.discovery.on_session_started()
            pending.sources = True
        self.discovery.merge(list(update.served))
        if pending.evacuations:
            self.changes.flush()
        else:
            self.changes.schedule()

    def apply_own_entry(self, member: Node, entry: Node) -> None:
        """Apply this node's own membership, and its entry with its server; effective with the next pass."""
        if self.members.merge([member]):
            self.changes.pending.members = True
        self.discovery.merge([entry])

    def _apply_items(self, items: Iterable[Item]) -> None:
        """Put routes in force at once; dependent changes are applied with the next pass."""
        accepted = self.item_store.merge(items)
        if not accepted:
            return
        read_before = self.routing.items_read
        changed = self.routing.apply(accepted)
        self._items_accepted += len(accepted)
        items_read = self.routing.items_read - read_before
        self._invariants.check(
            "an_item_is_read_once",
            items_read <= len(accepted),
            lambda: f"{items_read} items parsed for {len(accepted)} new ones",
        )
        pending = self.changes.pending
        pending.routes |= changed.routes
        pending.services |= changed.services
        pending.sources |= changed.called_services
        kinds = {kind_of(item.key) for item in accepted}
        pending.evacuations |= EVACUATION_PREFIX in kinds
        if self._machine_drains_enabled and kinds & {WINDOW_PREFIX, CONTRACT_PREFIX}:
            self.machine_drains.update(self.item_store)
            pending.machine_drains = True

    def _remove_members(self, listed: set[str]) -> set[str]:
        """Remove members that a complete list omits, except this node; returns their names."""
        removed = {name for name in self.members.nodes if name not in listed and name != self._name}
        for name in removed:
            del self.members.nodes[name]
        return removed

    def _on_node_entries(self, node_names: Iterable[str]) -> None:
        """Handle new node entries with servers."""
        self.changes.pending.nodes.update(node_names)
        self.changes.schedule()

    def _on_sources_changed(self) -> None:
        """Handle a link to a zone relay that came up or went down."""
        self.changes.pending.sources = True
        self.changes.schedule()

    def _on_machine_drain_ended(self) -> None:
        self.changes.pending.machine_drains = True
        self.changes.schedule()

    def update_subscriptions(self) -> None:
        """Called a few times a second, as a source that failed may be retried."""
        self.discovery.update(self.routing.called_services(), self._member_list)

    # ------------------------------------------------------------ one pass over pending changes

    def _apply_changes(self, changes: PendingChanges) -> None:
        services = self._replace_endpoints(changes.nodes)
        if changes.evacuations:
            services |= self._evacuate()
        if changes.members:
            self._update_member_list()
        if changes.members or changes.sources:
            self.update_subscriptions()
        if changes.machine_drains:
            services |= self.upstreams.services()
        for service in services:
            self._candidates_by_service.pop(service, None)
        self._offer_candidates(changes.routes, services)
        self._update_cold_rate(changes)
        self._on_applied()

    def _replace_endpoints(self, node_names: Iterable[str]) -> set[str]:
        """Returns the services whose endpoints have changed."""
        services: set[str] = set()
        for node_name in node_names:
            entry, member = self.discovery.entries.get(node_name), self.members.nodes.get(node_name)
            services |= self.endpoints.replace(node_name, endpoints_of(entry, member))
        return services

    def _evacuate(self) -> set[str]:
        """Returns the services that may have servers in zones whose evacuation began or ended."""
        evacuated = self.item_store.evacuated_zones()
        if evacuated == self._evacuated:
            return set()
        self._evacuated = evacuated
        self._admission.set_evacuated(self._zone in evacuated, self._loop.time())
        return self.endpoints.services()

    def _update_member_list(self) -> None:
        self._member_list = self.members.members()
        self.upstreams.set_node_count(max(1, len(self._member_list)))
        self.discovery.prune({node.name for node in self._member_list})

    def _offer_candidates(self, routes: set[str], services: set[str]) -> None:
        """Hand new candidate servers to the load balancers of these routes and services."""
        upstreams, before = self.upstreams, self.upstreams.lists_offered
        limit = sum(map(upstreams.count_for_route, routes)) + sum(map(upstreams.count_for_service, services))
        for name in routes:
            upstreams.update_route(name, self.routing.routes.get(name))
        upstreams.refresh_services(services)
        offers = upstreams.lists_offered - before
        self._invariants.check(
            "lists_go_to_those_concerned",
            offers <= limit,
            lambda: f"{offers} candidate lists offered, but only {limit} load balancers were affected",
        )

    def _update_cold_rate(self, changes: PendingChanges) -> None:
        """Take the request rate of the local server while it is cold from its service's settings."""
        instance = self._admission.instance
        if instance is None or (instance.service not in changes.services and self._name not in changes.nodes):
            return
        service = self.routing.services.get(instance.service)
        if service is not None:
            self._admission.cold_per_s = service.cold_start_requests_per_s

    # ------------------------------------------------------------ candidate servers

    def candidates(self, service: str, route: Route) -> Candidates:
        """The servers that a route's requests for a service may be sent to."""
        if self.machine_drains.any():
            return Candidates.from_servers(self.eligible_servers(service, route))
        candidates = self._candidates_by_service.get(service)
        if candidates is None:
            candidates = self._candidates_by_service[service] = Candidates.from_servers(
                self.eligible_servers(service, route)
            )
        return candidates

    def eligible_servers(self, service: str, route: Route) -> dict[str, Distance]:
        """Servers in zones that are not evacuated, with their distance.

        Returns the ready ones; without any, the draining ones; else those on machines drained for the route.
        """
        ready: dict[str, Distance] = {}
        draining: dict[str, Distance] = {}
        drained: dict[str, Distance] = {}
        for endpoint in self.endpoints.of_service(service):
            if endpoint.zone in self._evacuated:
                continue
            group = draining if endpoint.draining else ready
            if self.machine_drains.any() and self.machine_drains.is_drained(endpoint.node, route):
                group = drained
            group[endpoint.server] = self._distance(endpoint)
        return ready or draining or drained

    def _distance(self, endpoint: Endpoint) -> Distance:
        if endpoint.node == self._name:
            return Distance.LOCAL
        return Distance.SAME_ZONE if endpoint.zone == self._zone else Distance.OTHER_ZONE
