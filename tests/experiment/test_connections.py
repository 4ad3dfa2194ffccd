"""Connections of modelled nodes: kept, counted at their server, closed when idle, and capped."""

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


def test_one_that_is_idle_is_used_again_and_one_beyond_the_cap_is_turned_away() -> None:
    clock = Clock()
    api = server(clock, 2)
    mine, other = ConnectionPool(clock, 30_000.0), ConnectionPool(clock, 30_000.0)
    assert mine.acquire(api) == HANDSHAKE_MS and other.acquire(api) == HANDSHAKE_MS
    assert mine.acquire(api) is None and api.connections == 2
    mine.release(api, reusable=True)
    assert other.acquire(api) is None, "idle at one node, it is held all the same"
    assert mine.acquire(api) == 0.0 and mine.opened == 1
    mine.release(api, reusable=False)  # a call that was given up takes its connection with it
    assert api.connections == 1 and other.acquire(api) == HANDSHAKE_MS
    other.close()
    assert api.connections == 0


def test_idle_ones_are_closed_after_half_of_the_servers_time_and_by_a_restart() -> None:
    clock = Clock()
    api = server(clock, 8)
    mine = ConnectionPool(clock, 4000.0)
    for _ in range(3):
        mine.acquire(api)
    mine.release(api, reusable=True)
    clock.run(3500.0)
    assert api.connections == 2
    api.start()
    mine.release(api, reusable=True)  # of the process that has ended
    assert api.connections == 0 and mine.acquire(api) == HANDSHAKE_MS
    mine.close()


def test_in_a_fleet_a_cap_that_is_too_small_turns_calls_away_and_breaks_no_rule() -> None:
    full = {}
    for cap in (0, 3):
        made = values(fleet__nodes=8, fleet__hot=0.25, fleet__hot_times=4.0)
        made["fleet"]["tier"][0].update(connections=cap, handshake_ms=1.0)
        result = play(apply_changes(made, {}), 1, decider_factory("leadrudder"))
        assert result.broken == {} and result.figures["service"] > 0.3
        full[cap] = result.figures.get("api.full", 0.0)
    assert full[0] == 0.0 < full[3], full
