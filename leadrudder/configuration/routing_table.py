"""The routing table: finds the route of a request by its host and the longest matching path prefix.

The table is updated incrementally: applying an item parses that item and no other. It counts the parsed
items, so that a test can compare the count with the number of changed items.
"""

from __future__ import annotations

import json
from bisect import insort
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from marshmallow import ValidationError

from leadrudder.configuration import items
from leadrudder.configuration.item_store import ItemStore, kind_of
from leadrudder.configuration.items import LIMITS_KEY, ROUTE_PREFIX, SERVICE_PREFIX, Limits, Route, Service
from leadrudder.protocol.mesh_pb2 import Item


@dataclass(slots=True)
class TableChanges:
    """The names of the routes and services that applied items have changed."""

    routes: set[str] = field(default_factory=set)
    services: set[str] = field(default_factory=set)
    called_services: bool = False  # the set of services named by routes has changed


@dataclass(slots=True)
class _HostRoutes:
    """The routes of one host.

    by_prefix: sorted names of the routes at each prefix; the first one gets the requests.
    open_prefixes: the number of prefixes that do not end at a path segment.
    """

    by_prefix: dict[str, list[str]] = field(default_factory=dict)
    open_prefixes: int = 0

    def add(self, route: Route) -> None:
        names = self.by_prefix.get(route.path_prefix)
        if names is None:
            names = self.by_prefix[route.path_prefix] = []
            self.open_prefixes += not route.path_prefix.endswith("/")
        insort(names, route.name)

    def remove(self, route: Route) -> None:
        names = self.by_prefix[route.path_prefix]
        names.remove(route.name)
        if not names:
            del self.by_prefix[route.path_prefix]
            self.open_prefixes -= not route.path_prefix.endswith("/")

    def longest_prefix(self, path: str) -> str | None:
        """The longest prefix that matches a path."""
        if self.open_prefixes:
            matching = [prefix for prefix in self.by_prefix if path.startswith(prefix)]
            return max(matching, key=len) if matching else None
        end = path.rfind("/")
        while end >= 0:
            if path[: end + 1] in self.by_prefix:
                return path[: end + 1]
            end = path.rfind("/", 0, end)
        return None


class RoutingTable:
    """The routes, services and limits in effect.  items_read: the number of items parsed since the start."""

    def __init__(self, item_store: ItemStore | None = None) -> None:
        self.routes: dict[str, Route] = {}
        self.services: dict[str, Service] = {}
        self.limits = Limits()
        self.items_read = 0
        self._hosts: dict[str, _HostRoutes] = {}
        self._routes_calling: Counter[str] = Counter()  # the number of routes that name each service
        if item_store is not None:
            self.apply(item_store.live_items(ROUTE_PREFIX).values())
            self.apply(item_store.live_items(SERVICE_PREFIX).values())
            self.apply(item_store.live_items(LIMITS_KEY).values())

    def apply(self, changed_items: Iterable[Item]) -> TableChanges:
        """Apply items that are newer than those they replace; items of other kinds are ignored."""
        changed = TableChanges()
        for item in changed_items:
            kind = kind_of(item.key)
            if kind == ROUTE_PREFIX:
                self._set_route(item, changed)
            elif kind == SERVICE_PREFIX:
                self._set_service(item, changed)
            elif kind == LIMITS_KEY:
                self.limits = self._read_limits(item)
        return changed

    def called_services(self) -> frozenset[str]:
        """The services that at least one route names."""
        return frozenset(self._routes_calling)

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that matches the path; None if there is none.

        host: as in the request; a port is ignored.  path: without the query.
        """
        name, _, port = host.rpartition(":")
        routes = self._hosts.get((name if name and port.isdecimal() else host).lower())
        if routes is None:
            return None
        prefix = routes.longest_prefix(path)
        return None if prefix is None else self.routes[routes.by_prefix[prefix][0]]

    def _set_route(self, item: Item, changed: TableChanges) -> None:
        name = item.key[len(ROUTE_PREFIX) :]
        changed.routes.add(name)
        old = self.routes.pop(name, None)
        new = self._read_route(name, item)
        if new is not None:
            self.routes[name] = new
            self._add_calls(new, changed)
            self._hosts.setdefault(new.host, _HostRoutes()).add(new)
        if old is not None:
            self._remove_calls(old, changed)
            self._remove_from_host(old)

    def _remove_from_host(self, route: Route) -> None:
        host = self._hosts[route.host]
        host.remove(route)
        if not host.by_prefix:
            del self._hosts[route.host]

    def _add_calls(self, route: Route, changed: TableChanges) -> None:
        for service, _ in route.service_shares:
            changed.called_services |= service not in self._routes_calling
            self._routes_calling[service] += 1

    def _remove_calls(self, route: Route, changed: TableChanges) -> None:
        for service, _ in route.service_shares:
            self._routes_calling[service] -= 1
            if not self._routes_calling[service]:
                del self._routes_calling[service]
                changed.called_services = True

    def _set_service(self, item: Item, changed: TableChanges) -> None:
        name = item.key[len(SERVICE_PREFIX) :]
        changed.services.add(name)
        new = self._read_service(name, item)
        if new is None:
            self.services.pop(name, None)
        else:
            self.services[name] = new

    # An item that cannot be parsed was accepted by a newer release; this release ignores it.

    def _read_route(self, name: str, item: Item) -> Route | None:
        if item.dropped:
            return None
        self.items_read += 1
        try:
            return items.read_route(name, json.loads(item.value))
        except (ValueError, ValidationError):
            return None

    def _read_service(self, name: str, item: Item) -> Service | None:
        if item.dropped:
            return None
        self.items_read += 1
        try:
            return items.read_service(name, json.loads(item.value))
        except (ValueError, ValidationError):
            return None

    def _read_limits(self, item: Item) -> Limits:
        if item.dropped:
            return Limits()
        self.items_read += 1
        try:
            return items.read_limits(json.loads(item.value))
        except (ValueError, ValidationError):
            return Limits()
