"""What a station knows of the mesh: configuration, members and servers, and how changes are carried out.

Work for a change is in proportion to the change: items are read once each, one station's news touches that
station's servers, and new lists of servers go to the balancers concerned. Invariants count what does more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from leadrudder.bootstrap.settings import Settings
from leadrudder.configuration.item_store import ItemStore, kind_of
from leadrudder.configuration.items import CONTRACT_PREFIX, EVACUATION_PREFIX, WINDOW_PREFIX, Route
from leadrudder.configuration.routing_table import RoutingTable
from leadrudder.data_plane.admission_control import Gate
from leadrudder.data_plane.candidates import Candidates, Distance
from leadrudder.data_plane.change_queue import ChangeQueue, PendingChanges
from leadrudder.data_plane.endpoint_discovery import Newsstand
from leadrudder.data_plane.endpoints import Endpoint, EndpointTable, endpoints_of
from leadrudder.data_plane.load_balancer import Carry
from leadrudder.data_plane.machine_drains import Lent
from leadrudder.data_plane.upstreams import Upstreams
from leadrudder.membership.registry import Register
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.metrics import Metrics
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Item, Node


class MeshState:
    """carry: sends one attempt; carried_out: called after each pass over changes; wall: Unix time in seconds.

    monotonic: seconds that only advance, finer than the loop's own time; loans: maintenance windows are on.
    ask: asks the signalbox of our session for servers; fed: whether a session stands.
    """

    def __init__(
        self,
        settings: Settings,
        gate: Gate,
        invariants: Invariants,
        *,
        carry: Carry,
        carried_out: Callable[[], None],
        ask: Callable[[frozenset[str]], None],
        fed: Callable[[], bool],
        note: Callable[[str], None],
        rng: Random,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
        loans: bool,
    ) -> None:
        self.book = ItemStore()
        self.routing = RoutingTable()
        self.members = Register("")
        self.endpoints = EndpointTable()
        self.upstreams = Upstreams(settings.bounds, self.candidates, carry, note, rng)
        self.changes = ChangeQueue(self._carry_out, monotonic)
        self.newsstand = Newsstand(
            settings.name, settings.zone, ask, fed, self._heard_of, self._sources_changed
        )
        loop = asyncio.get_running_loop()
        self.lent = Lent(wall, loop.time, loop.call_later, self._loans_ended)
        self._name, self._zone = settings.name, settings.zone
        self._gate, self._invariants, self._carried_out = gate, invariants, carried_out
        self._loop, self._loans = loop, loans
        self._items_taken = 0  # of the configuration, since the start
        self._member_list: list[Node] = []  # as of the last pass
        self._evacuated: frozenset[str] = frozenset()  # zones, as carried out
        self._candidates_by_service: dict[str, Candidates] = {}  # as worked out since they last changed

    def add_figures(self, metrics: Metrics) -> None:
        metrics.add("items", lambda: len(self.book.items))
        metrics.add("routes", lambda: len(self.routing.routes))
        metrics.add("balancers", lambda: len(self.upstreams))
        metrics.add("members", lambda: len(self._member_list))
        metrics.add("news_items_total", lambda: self._items_taken)
        metrics.add("items_read_total", lambda: self.routing.items_read)
        metrics.add("change_passes_total", lambda: self.changes.passes)
        metrics.add("change_pass_seconds_total", lambda: self.changes.pass_seconds)
        metrics.add("server_lists_offered_total", lambda: self.upstreams.offers)

    # ------------------------------------------------------------ news

    def take(self, news: wire.News) -> None:
        """What a signalbox tells: items, members, or all of both."""
        self._take_items(news.items)
        pending = self.changes.pending
        members = {node.name for node in self.members.take(news.nodes)}
        if news.whole:
            members |= self._forget_members({node.name for node in news.nodes})
        if members:
            pending.stations |= members
            pending.members = True
        if news.signalboxes:
            self.newsstand.session_began()
            pending.sources = True
        self.newsstand.take(list(news.served))
        if pending.evacuations:
            self.changes.flush()
        else:
            self.changes.schedule()

    def take_own(self, member: Node, entry: Node) -> None:
        """Our own membership, and the same with our server; carried out with the next pass."""
        if self.members.take([member]):
            self.changes.pending.members = True
        self.newsstand.take([entry])

    def _take_items(self, items: Iterable[Item]) -> None:
        """Routes are in force at once; what follows from them is carried out with the next pass."""
        taken = self.book.merge(items)
        if not taken:
            return
        read_before = self.routing.items_read
        changed = self.routing.apply(taken)
        self._items_taken += len(taken)
        items_read = self.routing.items_read - read_before
        self._invariants.check(
            "an_item_is_read_once",
            items_read <= len(taken),
            lambda: f"{items_read} items read for {len(taken)} that were new",
        )
        pending = self.changes.pending
        pending.routes |= changed.routes
        pending.services |= changed.services
        pending.sources |= changed.called_services
        kinds = {kind_of(item.key) for item in taken}
        pending.evacuations |= EVACUATION_PREFIX in kinds
        if self._loans and kinds & {WINDOW_PREFIX, CONTRACT_PREFIX}:
            self.lent.take(self.book)
            pending.loans = True

    def _forget_members(self, named: set[str]) -> set[str]:
        """Members that a whole list does not name; our own entry stays.  Returns their names."""
        gone = {name for name in self.members.nodes if name not in named and name != self._name}
        for name in gone:
            del self.members.nodes[name]
        return gone

    def _heard_of(self, stations: Iterable[str]) -> None:
        """Entries with servers have come in."""
        self.changes.pending.stations.update(stations)
        self.changes.schedule()

    def _sources_changed(self) -> None:
        """A link to a home station has come up or ended."""
        self.changes.pending.sources = True
        self.changes.schedule()

    def _loans_ended(self) -> None:
        self.changes.pending.loans = True
        self.changes.schedule()

    def look_for_sources(self) -> None:
        """To be called some times a second: a source that was passed over may be asked again."""
        self.newsstand.follow(self.routing.called_services(), self._member_list)

    # ------------------------------------------------------------ one pass over what has changed

    def _carry_out(self, changes: PendingChanges) -> None:
        services = self._replace_endpoints(changes.stations)
        if changes.evacuations:
            services |= self._evacuate()
        if changes.members:
            self._count_members()
        if changes.members or changes.sources:
            self.look_for_sources()
        if changes.loans:
            services |= self.upstreams.services()
        for service in services:
            self._candidates_by_service.pop(service, None)
        self._offer_lists(changes.routes, services)
        self._follow_own_service(changes)
        self._carried_out()

    def _replace_endpoints(self, stations: Iterable[str]) -> set[str]:
        """Returns the services whose servers have changed."""
        services: set[str] = set()
        for station in stations:
            entry, member = self.newsstand.served.get(station), self.members.nodes.get(station)
            services |= self.endpoints.replace(station, endpoints_of(entry, member))
        return services

    def _evacuate(self) -> set[str]:
        """Returns the services that may have servers in zones that are emptied or taken back."""
        evacuated = self.book.evacuated_zones()
        if evacuated == self._evacuated:
            return set()
        self._evacuated = evacuated
        self._gate.evacuate(self._zone in evacuated, self._loop.time())
        return self.endpoints.services()

    def _count_members(self) -> None:
        self._member_list = self.members.members()
        self.upstreams.set_nodes(max(1, len(self._member_list)))
        self.newsstand.forget({node.name for node in self._member_list})

    def _offer_lists(self, routes: set[str], services: set[str]) -> None:
        """Balancers of these routes and services get the servers that they may draw from now on."""
        upstreams, before = self.upstreams, self.upstreams.offers
        most = sum(map(upstreams.of_route, routes)) + sum(map(upstreams.of_service, services))
        for name in routes:
            upstreams.follow_route(name, self.routing.routes.get(name))
        upstreams.follow_services(services)
        offers = upstreams.offers - before
        self._invariants.check(
            "lists_go_to_those_concerned",
            offers <= most,
            lambda: f"{offers} lists of servers offered, where {most} balancers were concerned",
        )

    def _follow_own_service(self, changes: PendingChanges) -> None:
        """The pace of our server while it is cold stands in its service's settings."""
        life = self._gate.life
        if life is None or (life.service not in changes.services and self._name not in changes.stations):
            return
        service = self.routing.services.get(life.service)
        if service is not None:
            self._gate.cold_per_s = service.cold_start_requests_per_s

    # ------------------------------------------------------------ servers that may be drawn

    def candidates(self, service: str, route: Route) -> Candidates:
        """The servers that a route's requests for a service may go to."""
        if self.lent.some():
            return Candidates.of(self.allowed(service, route))
        found = self._candidates_by_service.get(service)
        if found is None:
            found = self._candidates_by_service[service] = Candidates.of(self.allowed(service, route))
        return found

    def allowed(self, service: str, route: Route) -> dict[str, Distance]:
        """Servers in zones that are not evacuated, and how far away each is.

        Those that are ready; where there are none, those that drain; else those lent out of the route's
        traffic.
        """
        ready: dict[str, Distance] = {}
        draining: dict[str, Distance] = {}
        lent: dict[str, Distance] = {}
        for endpoint in self.endpoints.of_service(service):
            if endpoint.zone in self._evacuated:
                continue
            kept = draining if endpoint.draining else ready
            if self.lent.some() and self.lent.lent(endpoint.station, route):
                kept = lent
            kept[endpoint.server] = self._distance(endpoint)
        return ready or draining or lent

    def _distance(self, endpoint: Endpoint) -> Distance:
        if endpoint.station == self._name:
            return Distance.OWN
        return Distance.ZONE if endpoint.zone == self._zone else Distance.FAR
