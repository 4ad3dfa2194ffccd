"""A node's calls are spread evenly over its candidate servers."""

from __future__ import annotations

from collections import Counter

import pytest

from leadrudder import Balancer
from leadrudder.interface import Arrival, ListKind, RequestClass, Send, ServerEntry, ServerList, Settings
from leadrudder.state.least_loaded import SLOW_LATENCY_RATIO, fewest_outstanding
from leadrudder.state.records import ClassHealth, Server

SERVERS = [bytes([i]) for i in range(9)]


@pytest.mark.parametrize("seed", range(5))
def test_no_server_gets_a_second_call_before_each_has_one(seed: int) -> None:
    settings = Settings(classes=(RequestClass("r", 1000, 3000),), balancers=7)
    calls: Counter[bytes] = Counter()
    for node in range(7):
        balancer = Balancer(settings, 100 * seed + node)
        balancer.handle(ServerList(ListKind.FULL, tuple(map(ServerEntry, SERVERS))), 0.0)
        own_servers: list[bytes] = []
        for request in range(7):
            for action in balancer.handle(Arrival(request, 0, 3000.0), 1.0):
                if isinstance(action, Send):
                    own_servers.append(action.server)
        assert len(own_servers) == 7 and len(set(own_servers)) == 7
        calls.update(own_servers)
    assert sum(calls.values()) == 49 and max(calls.values()) <= 7  # by weights alone up to 10


def test_a_slow_server_counts_as_having_one_more_call() -> None:
    servers = [Server(ServerEntry(name), [ClassHealth()]) for name in SERVERS[:4]]
    servers[3].allocate_call_state()
    servers[3].outstanding[1, 0] = 0.0
    slow = 100.0 * SLOW_LATENCY_RATIO + 1.0
    assert fewest_outstanding([0, 1, 2, 3], servers, [100.0, slow, None, 100.0], 100.0) == [0, 2]
    assert fewest_outstanding([1, 3], servers, [100.0, slow, None, 100.0], 100.0) == [1, 3]
    assert fewest_outstanding([], servers, [], 0.0) == []
