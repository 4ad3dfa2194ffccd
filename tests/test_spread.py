"""A node's calls are spread evenly over the servers that are fit."""

from __future__ import annotations

from collections import Counter

import pytest

from leadrudder import Balancer
from leadrudder.interface import Arrival, ListKind, RequestClass, Send, ServerEntry, ServerList, Settings
from leadrudder.state.records import ClassHealth, Server
from leadrudder.state.spread import SLOW_LATENCY_RATIO, fewest_outstanding

SERVERS = [bytes([i]) for i in range(9)]


@pytest.mark.parametrize("seed", range(5))
def test_no_server_gets_a_second_call_before_each_has_one(seed: int) -> None:
    settings = Settings(classes=(RequestClass("r", 1000, 3000),), balancers=7)
    held: Counter[bytes] = Counter()
    for node in range(7):
        balancer = Balancer(settings, 100 * seed + node)
        balancer.handle(ServerList(ListKind.FULL, tuple(map(ServerEntry, SERVERS))), 0.0)
        own: list[bytes] = []
        for request in range(7):
            for action in balancer.handle(Arrival(request, 0, 3000.0), 1.0):
                if isinstance(action, Send):
                    own.append(action.server)
        assert len(own) == 7 and len(set(own)) == 7
        held.update(own)
    assert sum(held.values()) == 49 and max(held.values()) <= 7  # by shares alone up to 10


def test_a_slow_server_counts_as_holding_one_more() -> None:
    arms = [Server(ServerEntry(name), [ClassHealth()]) for name in SERVERS[:4]]
    arms[3].allocate_call_state()
    arms[3].outstanding[1, 0] = 0.0
    slow = 100.0 * SLOW_LATENCY_RATIO + 1.0
    assert fewest_outstanding([0, 1, 2, 3], arms, [100.0, slow, None, 100.0], 100.0) == [0, 2]
    assert fewest_outstanding([1, 3], arms, [100.0, slow, None, 100.0], 100.0) == [1, 3]
    assert fewest_outstanding([], arms, [], 0.0) == []
