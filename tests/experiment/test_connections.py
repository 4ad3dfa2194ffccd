"""Connections of modelled nodes: pooled, counted at their server, closed when idle, and limited."""

from __future__ import annotations

import random

from leadrudder.experiment.clock import Clock
from leadrudder.experiment.connections import ConnectionPool
from leadrudder.experiment.draw import ServerPlan
from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play
from leadrudder.experiment.server import Server, ServerSettings
from leadrudder.experiment.spec import Kind
from tests.experiment.small import values

HANDSHAKE_MS = 2.5


def server(clock: Clock, connections: float) -> Server:
    plan = ServerPlan(Kind(name="usual"), 0, 0, 0, 1.0)
    terms = ServerSettings(connections=connections, handshake_ms=HANDSHAKE_MS)
    return Server(clock, b"api-0", plan, terms, random.Random(1), 0)


def test_idle_connections_are_reused_and_those_beyond_the_limit_refused() -> None:
    clock = Clock()
    api = server(clock, 2)
    pool, other_pool = ConnectionPool(clock, 30_000.0), ConnectionPool(clock, 30_000.0)
    assert pool.acquire(api) == HANDSHAKE_MS and other_pool.acquire(api) == HANDSHAKE_MS
    assert pool.acquire(api) is None and api.connections == 2
    pool.release(api, reusable=True)
    assert other_pool.acquire(api) is None, "an idle connection of another node counts against the limit"
    assert pool.acquire(api) == 0.0 and pool.opened == 1
    pool.release(api, reusable=False)  # the connection of an abandoned call is closed
    assert api.connections == 1 and other_pool.acquire(api) == HANDSHAKE_MS
    other_pool.close()
    assert api.connections == 0


def test_idle_connections_close_after_half_of_the_servers_timeout_and_on_restart() -> None:
    clock = Clock()
    api = server(clock, 8)
    pool = ConnectionPool(clock, 4000.0)
    for _ in range(3):
        pool.acquire(api)
    pool.release(api, reusable=True)
    clock.run(3500.0)
    assert api.connections == 2
    api.start()
    pool.release(api, reusable=True)  # a connection to the former process
    assert api.connections == 0 and pool.acquire(api) == HANDSHAKE_MS
    pool.close()


def test_a_low_connection_limit_refuses_calls_and_breaks_no_rule() -> None:
    refused = {}
    for limit in (0, 3):
        experiment = values(fleet__nodes=8, fleet__hot=0.25, fleet__hot_times=4.0)
        experiment["fleet"]["tier"][0].update(connections=limit, handshake_ms=1.0)
        result = play(apply_changes(experiment, {}), 1, decider_factory("leadrudder"))
        assert result.broken == {} and result.figures["service"] > 0.3
        refused[limit] = result.figures.get("api.full", 0.0)
    assert refused[0] == 0.0 < refused[3], refused
