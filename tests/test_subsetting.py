"""Subsetting: in a large fleet each node uses a subset of the servers."""

from __future__ import annotations

from collections import Counter

from leadrudder import Balancer
from leadrudder.interface import ListKind, Readiness, RequestClass, ServerEntry, ServerList, Settings

KIND = RequestClass("r", 1000, 3000)


def make_balancer(
    ordinal: int, nodes: int, servers: int, gone: frozenset[int] = frozenset(), **more: float
) -> Balancer:
    settings = Settings(classes=(KIND,), balancers=nodes, ordinal=ordinal, **more)  # type: ignore[arg-type]
    balancer = Balancer(settings, seed=ordinal)
    rows = [
        ServerEntry(i.to_bytes(2, "big"), kind=i % 2, zone=i % 3) for i in range(servers) if i not in gone
    ]
    balancer.handle(ServerList(ListKind.FULL, tuple(rows)), 1.0)
    return balancer


def subset(balancer: Balancer) -> set[bytes]:
    return {s.entry.server for s in balancer._fleet.arms if balancer._fleet._in_subset(s)}


def nodes_by_server(nodes: int, servers: int) -> Counter[bytes]:
    """The number of nodes that use each server."""
    nodes_by_name: Counter[bytes] = Counter()
    for ordinal in range(nodes):
        nodes_by_name.update(subset(make_balancer(ordinal, nodes, servers)))
    return nodes_by_name


def test_every_subset_is_small_and_has_both_kinds() -> None:
    """At full size, with sixty servers, a node called each one twice a minute, too rarely to learn from."""
    for ordinal in range(0, 400, 7):
        own_subset = subset(make_balancer(ordinal, 400, 60))
        assert 6 <= len(own_subset) <= 12
        assert {s[-1] % 2 for s in own_subset} == {0, 1}


def test_every_server_is_used_by_the_same_number_of_nodes() -> None:
    """With 31 nodes and 51 servers one server was used by one node and others by seven, each with
    calls in proportion."""
    for nodes, servers in ((31, 51), (107, 96), (400, 60)):
        nodes_by_name = nodes_by_server(nodes, servers)
        assert len(nodes_by_name) == servers and len(set(nodes_by_name.values())) == 1, Counter(
            nodes_by_name.values()
        )


def test_many_nodes_stay_below_the_connection_limit_of_a_server() -> None:
    """With 51 nodes and 107 servers, too few nodes for subsets of six, all nodes connected to all servers.

    Each server had 34 connections of the 32 or so that it accepts, and refused sixty calls a second.
    """
    nodes_by_name = nodes_by_server(51, 107)
    assert len(nodes_by_name) == 107 and set(nodes_by_name.values()) == {4}


def test_few_nodes_use_all_servers() -> None:
    assert len(subset(make_balancer(0, 3, 10))) == 10
    assert len(subset(make_balancer(1, 3, 60))) == 60
    assert len(subset(make_balancer(1, 400, 10))) == 10


def test_a_subset_lies_in_the_own_zone_if_cross_zone_calls_have_a_price() -> None:
    balancer = make_balancer(7, 400, 60, cross_zone_price=0.02, zone=1)
    assert {s.entry.zone for s in balancer._fleet.arms if s.entry.server in subset(balancer)} == {1}


def test_a_change_of_the_list_moves_few_servers_of_a_subset() -> None:
    moved = 0
    for ordinal in range(60):
        moved += len(
            subset(make_balancer(ordinal, 400, 60)) - subset(make_balancer(ordinal, 400, 60, frozenset({5})))
        )
    assert moved < 60  # less than one of at least six for each node


def test_a_subset_that_is_gone_leaves_the_other_servers() -> None:
    balancer = make_balancer(7, 400, 60)
    for number, server in enumerate(sorted(subset(balancer))):
        row = ServerEntry(server, Readiness.DRAINING)
        balancer.handle(ServerList(ListKind.CHANGES, (row,)), 2.0 + number)
    assert len(balancer._fleet._prefer_local(list(range(len(balancer._fleet.arms))))) >= 2
