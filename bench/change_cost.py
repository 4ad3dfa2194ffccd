"""The cost of one configuration change in a data-plane process, by the size of its state.

    python -m bench.change_cost [--rounds N]

Processor time of one change of a route, by the number of routes, and of an update of one node's servers, by
the number of nodes. A quarter of the nodes serve each service, and every tenth route has a load balancer. The
last line has the growth from the smallest size to the largest; 1 means that the size does not matter.
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
from leadrudder.data_plane.inbound import no_withdrawal
from leadrudder.data_plane.mesh_state import MeshState
from leadrudder.observability.invariants import Invariants
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Item, Node

SIZES = (30, 100, 300, 1000, 3000)
SERVICE_COUNT = 4
ROUTES_PER_BALANCER = 10  # one of so many routes has a load balancer
SETTINGS = {"nodeName": "n", "zone": "z0", "ip": "10.0.0.1", "sparePorts": [1, 9], "seedNodes": []}


def route_item(i: int, version: int) -> Item:
    raw = {
        "host": f"h{i}.example",
        "pathStart": "/",
        "kind": "safe",
        "giveUp": "1s",
        "service": f"s{i % SERVICE_COUNT}",
        "version": f"{version:08x}",
    }
    return Item(key=f"routes/r{i:05d}", version=version, value=json.dumps(raw).encode())


def node_record(i: int, report_number: int) -> Node:
    node = Node(name=f"n{i}", zone=f"z{i % 3}", address=f"10.0.1.{i}:1", life=1, number=report_number)
    node.service = f"s{i % SERVICE_COUNT}"
    node.servers.add(id=f"i{i}-{report_number}", service=node.service, zone=node.zone, capacity=9)
    return node


def build_state(route_count: int, node_count: int) -> MeshState:
    """The state of a process with so many routes and nodes, and some load balancers in use."""
    settings = parse_settings(SETTINGS).unwrap()
    mesh_state = MeshState(
        settings,
        AdmissionController(settings.bounds),
        Invariants(print),
        carry=lambda *ignored: no_withdrawal,
        on_applied=lambda: None,
        subscribe=lambda services: None,
        session_established=lambda: True,
        note=lambda text: None,
        rng=Random(1),
        wall=time.time,
        monotonic=time.monotonic,
        machine_drains_enabled=False,
    )
    nodes = [node_record(i, 1) for i in range(node_count)]
    mesh_state.apply_update(
        wire.StateUpdate(items=[route_item(i, 1) for i in range(route_count)], nodes=nodes, served=nodes)
    )
    mesh_state.changes.flush()
    for route in list(mesh_state.routing.routes.values())[::ROUTES_PER_BALANCER]:
        mesh_state.upstreams.load_balancer_for(route, route.service_shares[0][0])
    return mesh_state


def median_cost_us(
    mesh_state: MeshState, make_update: Callable[[int], wire.StateUpdate], rounds: int
) -> float:
    """Median microseconds of processor time of one update and the batch that applies it."""
    costs = []
    for i in range(rounds):
        update = make_update(2 + i)
        started_at = time.thread_time()
        mesh_state.apply_update(update)
        mesh_state.changes.flush()
        costs.append(1e6 * (time.thread_time() - started_at))
    return median(costs)


async def measure(rounds: int) -> dict[str, list[float]]:
    table: dict[str, list[float]] = {"a route changes": [], "servers of a station change": []}
    for size in SIZES:
        mesh_state = build_state(size, 30)
        table["a route changes"].append(
            median_cost_us(mesh_state, lambda v: wire.StateUpdate(items=[route_item(7, v)]), rounds)
        )
        mesh_state = build_state(30, size)
        cost_us = median_cost_us(mesh_state, lambda v: wire.StateUpdate(served=[node_record(0, v)]), rounds)
        table["servers of a station change"].append(cost_us)
    return table


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.change_cost", description=__doc__)
    parser.add_argument("--rounds", type=int, default=200)
    options: Any = parser.parse_args(arguments)
    table = asyncio.run(measure(options.rounds))
    print("| microseconds, of | " + " | ".join(f"{size:,}" for size in SIZES) + " |")
    print("| --- |" + " --- |" * len(SIZES))
    for change, costs in table.items():
        print(f"| {change} | " + " | ".join(f"{cost:.0f}" for cost in costs) + " |")
    growth = {change: costs[-1] / costs[0] for change, costs in table.items()}
    print(" ".join(f"{change.replace(' ', '_')}_growth={factor:.2f}" for change, factor in growth.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
