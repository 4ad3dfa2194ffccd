"""The load balancers of a node: one for each pair of route and service that has had requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.configuration.items import Route
from leadrudder.data_plane.candidates import Candidates
from leadrudder.data_plane.load_balancer import LoadBalancer, SendAttempt
from leadrudder.data_plane.retry_budget import RetryBudget

MAX_LOAD_BALANCERS = 2000  # the oldest is removed when this number is exceeded


class Upstreams:
    """candidates: returns the servers to which requests of a route for a service may go now."""

    def __init__(
        self,
        bounds: RuleBounds,
        candidates: Callable[[str, Route], Candidates],
        send_attempt: SendAttempt,
        log: Callable[[str], None],
        rng: Random,
    ) -> None:
        self.lists_offered = 0  # server lists passed to load balancers since process start
        self._bounds, self._candidates, self._send_attempt = bounds, candidates, send_attempt
        self._log, self._rng = log, rng
        self._node_count = 1
        self._by_route: dict[str, dict[str, LoadBalancer]] = {}  # route name -> service
        self._by_service: dict[str, dict[str, LoadBalancer]] = {}  # service -> route name
        self._creation_order: dict[tuple[str, str], None] = {}  # (route name, service), oldest first
        self._retry_budgets: dict[str, RetryBudget] = {}  # by service

    def __len__(self) -> int:
        return len(self._creation_order)

    def count_for_service(self, service: str) -> int:
        """Number of load balancers that select among a service's servers."""
        return len(self._by_service.get(service, ()))

    def count_for_route(self, route_name: str) -> int:
        return len(self._by_route.get(route_name, ()))

    def services(self) -> set[str]:
        """Services that have at least one load balancer."""
        return set(self._by_service)

    def load_balancer_for(self, route: Route, service: str) -> LoadBalancer:
        """The load balancer of a route (as it is now) and a service; created at the first request."""
        found = self._by_route.get(route.name, {}).get(service)
        if found is not None and found.route is not route:
            self.update_route(route.name, route)  # this request already uses the new version
            found = self._by_route.get(route.name, {}).get(service)
        return found if found is not None else self._create(route, service)

    def _create(self, route: Route, service: str) -> LoadBalancer:
        retry_budget = self._retry_budgets.get(service)
        if retry_budget is None:
            bounds = self._bounds
            retry_budget = self._retry_budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_extra, self._node_count
            )
        seed = self._rng.getrandbits(48)
        load_balancer = LoadBalancer(route, service, retry_budget, self._send_attempt, self._log, seed)
        while len(self._creation_order) >= MAX_LOAD_BALANCERS:
            self._remove(next(iter(self._creation_order)))
        self._creation_order[route.name, service] = None
        self._by_route.setdefault(route.name, {})[service] = load_balancer
        self._by_service.setdefault(service, {})[route.name] = load_balancer
        self._offer_candidates(load_balancer, service)
        return load_balancer

    def _remove(self, key: tuple[str, str]) -> None:
        route_name, service = key
        del self._creation_order[key]
        for table, outer, inner in (
            (self._by_route, route_name, service),
            (self._by_service, service, route_name),
        ):
            del table[outer][inner]
            if not table[outer]:
                del table[outer]

    def _offer_candidates(self, load_balancer: LoadBalancer, service: str) -> None:
        self.lists_offered += 1
        load_balancer.offer_candidates(self._candidates(service, load_balancer.route))

    # ------------------------------------------------------------ changes

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share each retry budget."""
        self._node_count = node_count
        for retry_budget in self._retry_budgets.values():
            retry_budget.node_count = node_count

    def refresh_services(self, services: Iterable[str]) -> None:
        """Pass new server lists to the load balancers of these services."""
        for service in services:
            for load_balancer in self._by_service.get(service, {}).values():
                self._offer_candidates(load_balancer, service)

    def update_route(self, route_name: str, route: Route | None) -> None:
        """A route has changed; None if it was removed.

        A removed load balancer still completes its open requests: each holds a reference to it.
        """
        called_services = {service for service, _ in route.service_shares} if route is not None else set()
        for service, load_balancer in list(self._by_route.get(route_name, {}).items()):
            if (
                route is None
                or service not in called_services
                or load_balancer.route.at_most_once != route.at_most_once
            ):
                self._remove((route_name, service))
            else:
                load_balancer.route = route
                self._offer_candidates(load_balancer, service)
