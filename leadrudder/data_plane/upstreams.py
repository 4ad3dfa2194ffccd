"""The balancers of a station: one for each route and service that requests have asked for."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.configuration.items import Route
from leadrudder.data_plane.candidates import Candidates
from leadrudder.data_plane.load_balancer import Carry, Points
from leadrudder.data_plane.retry_budget import Purse

BALANCERS_MOST = 2000  # vectors that are kept


class Upstreams:
    """candidates: the servers that a route's requests for a service may go to, as they are now."""

    def __init__(
        self,
        bounds: RuleBounds,
        candidates: Callable[[str, Route], Candidates],
        carry: Carry,
        note: Callable[[str], None],
        rng: Random,
    ) -> None:
        self.offers = 0  # lists of servers handed to balancers, since the start
        self._bounds, self._candidates, self._carry = bounds, candidates, carry
        self._note, self._rng = note, rng
        self._nodes = 1
        self._by_route: dict[str, dict[str, Points]] = {}  # by the route's name, then by service
        self._by_service: dict[str, dict[str, Points]] = {}  # the same by service, then by route
        self._laid: dict[tuple[str, str], None] = {}  # route and service, the oldest first
        self._budgets: dict[str, Purse] = {}  # of further tries, by service

    def __len__(self) -> int:
        return len(self._laid)

    def of_service(self, service: str) -> int:
        """How many balancers draw among a service's servers."""
        return len(self._by_service.get(service, ()))

    def of_route(self, name: str) -> int:
        return len(self._by_route.get(name, ()))

    def services(self) -> set[str]:
        """Those among whose servers any balancer draws."""
        return set(self._by_service)

    def balancer(self, route: Route, service: str) -> Points:
        """The balancer of a route, as it is now, and a service; from its first request on."""
        found = self._by_route.get(route.name, {}).get(service)
        if found is not None and found.route is not route:
            self.follow_route(route.name, route)  # the next pass would; this request is sent by it already
            found = self._by_route.get(route.name, {}).get(service)
        return found if found is not None else self._lay(route, service)

    def _lay(self, route: Route, service: str) -> Points:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets[service] = Purse(bounds.retry_ratio, bounds.retry_extra, self._nodes)
        seed = self._rng.getrandbits(48)
        points = Points(route, service, budget, self._carry, self._note, seed)
        while len(self._laid) >= BALANCERS_MOST:
            self._remove(next(iter(self._laid)))
        self._laid[route.name, service] = None
        self._by_route.setdefault(route.name, {})[service] = points
        self._by_service.setdefault(service, {})[route.name] = points
        self._offer(points, service)
        return points

    def _remove(self, place: tuple[str, str]) -> None:
        name, service = place
        del self._laid[place]
        for table, outer, inner in (
            (self._by_route, name, service),
            (self._by_service, service, name),
        ):
            del table[outer][inner]
            if not table[outer]:
                del table[outer]

    def _offer(self, points: Points, service: str) -> None:
        self.offers += 1
        points.offer(self._candidates(service, points.route))

    # ------------------------------------------------------------ changes

    def set_nodes(self, nodes: int) -> None:
        """How many stations share the budgets of further tries."""
        self._nodes = nodes
        for budget in self._budgets.values():
            budget.nodes = nodes

    def follow_services(self, services: Iterable[str]) -> None:
        """The servers of these services have changed."""
        for service in services:
            for points in self._by_service.get(service, {}).values():
                self._offer(points, service)

    def follow_route(self, name: str, route: Route | None) -> None:
        """A route is another, or there is none of that name any more.

        Requests that are open at a balancer which goes end there: each holds it until then.
        """
        called = {service for service, _ in route.service_shares} if route is not None else set()
        for service, points in list(self._by_route.get(name, {}).items()):
            if route is None or service not in called or points.route.at_most_once != route.at_most_once:
                self._remove((name, service))
            else:
                points.route = route
                self._offer(points, service)
