"""What a change costs a data-plane process, by how much else it knows.

    python -m bench.change_cost [--rounds N]

Processor time of one change of a route, by the number of routes, and of one station's news, by the number of
stations, of which a quarter serve each service; a balancer for each tenth route. The last line has the growth
from the smallest size to the largest: 1 where a change costs what it changes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Callable, Sequence
from random import Random
from statistics import median
from typing import Any

from leadrudder.bootstrap.settings import parse_settings
from leadrudder.data_plane.admission_control import AdmissionController
from leadrudder.data_plane.mesh_state import MeshState
from leadrudder.observability.invariants import Invariants
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Item, Node

SIZES = (30, 100, 300, 1000, 3000)
SERVICES = 4
BALANCERS_PART = 10  # one of so many routes has been asked for
SETTINGS = {"nodeName": "n", "zone": "z0", "ip": "10.0.0.1", "sparePorts": [1, 9], "seedNodes": []}


def route(i: int, version: int) -> Item:
    raw = {
        "host": f"h{i}.example",
        "pathStart": "/",
        "kind": "safe",
        "giveUp": "1s",
        "service": f"s{i % SERVICES}",
        "version": f"{version:08x}",
    }
    return Item(key=f"routes/r{i:05d}", version=version, value=json.dumps(raw).encode())


def station(i: int, number: int) -> Node:
    node = Node(name=f"n{i}", zone=f"z{i % 3}", address=f"10.0.1.{i}:1", life=1, number=number)
    node.service = f"s{i % SERVICES}"
    node.servers.add(id=f"i{i}-{number}", service=node.service, zone=node.zone, capacity=9)
    return node


def state(routes: int, stations: int) -> MeshState:
    """What a process knows of so many, with some balancers in use."""
    settings = parse_settings(SETTINGS).unwrap()
    made = MeshState(
        settings,
        AdmissionController(settings.bounds),
        Invariants(print),
        carry=lambda *given: lambda client_left: None,
        on_applied=lambda: None,
        subscribe=lambda services: None,
        session_established=lambda: True,
        note=lambda text: None,
        rng=Random(1),
        wall=time.time,
        monotonic=time.monotonic,
        machine_drains_enabled=False,
    )
    nodes = [station(i, 1) for i in range(stations)]
    made.apply_update(wire.StateUpdate(items=[route(i, 1) for i in range(routes)], nodes=nodes, served=nodes))
    made.changes.flush()
    for known in list(made.routing.routes.values())[::BALANCERS_PART]:
        made.upstreams.load_balancer_for(known, known.service_shares[0][0])
    return made


def cost_us(made: MeshState, news: Callable[[int], wire.StateUpdate], rounds: int) -> float:
    """Microseconds of processor time of one piece of news and the pass that follows, the median."""
    costs = []
    for i in range(rounds):
        told = news(2 + i)
        began = time.thread_time()
        made.apply_update(told)
        made.changes.flush()
        costs.append(1e6 * (time.thread_time() - began))
    return median(costs)


async def measure(rounds: int) -> dict[str, list[float]]:
    table: dict[str, list[float]] = {"a route changes": [], "servers of a station change": []}
    for size in SIZES:
        made = state(size, 30)
        table["a route changes"].append(
            cost_us(made, lambda v: wire.StateUpdate(items=[route(7, v)]), rounds)
        )
        made = state(30, size)
        told = cost_us(made, lambda v: wire.StateUpdate(served=[station(0, v)]), rounds)
        table["servers of a station change"].append(told)
    return table


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.change_cost", description=__doc__)
    parser.add_argument("--rounds", type=int, default=200)
    given: Any = parser.parse_args(arguments)
    table = asyncio.run(measure(given.rounds))
    print("| microseconds, of | " + " | ".join(f"{size:,}" for size in SIZES) + " |")
    print("| --- |" + " --- |" * len(SIZES))
    for what, costs in table.items():
        print(f"| {what} | " + " | ".join(f"{cost:.0f}" for cost in costs) + " |")
    growth = {what: costs[-1] / costs[0] for what, costs in table.items()}
    print(" ".join(f"{what.replace(' ', '_')}_growth={by:.2f}" for what, by in growth.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
