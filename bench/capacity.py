"""The cost of each role by the number of nodes and items: python -m bench.capacity [--nodes 4,12,36,108].

Nodes: the real programs in virtual time, each beside an emulated server that sends heartbeats, with sessions,
updates and subscriptions but no requests. Processor time is real, of the steps of each process; bytes are
those written to its connections. A straight line is fitted to each figure over the sizes; if any size
deviates by more than a fifth, nothing is extrapolated from it. Items: the state machines of three control
machines in virtual time.

    --write puts the tables between the marks in docs/CAPACITY.md
"""

from __future__ import annotations

import argparse
import re
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

from bench.window import route
from leadrudder.control_simulation.world import World
from leadrudder.emulation.fleet import Fleet, FleetPlan
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import NullObserver, VirtualTransport
from leadrudder.simulation.scheduler import Step

PAGE = Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
BEGIN_MARK, END_MARK = "<!-- bench.capacity -->", "<!-- end -->"
TARGET_NODES = 12_000
NODES_PER_SERVICE = 24
SETTLE_S, MEASURED_S = 8.0, 10.0  # virtual times: before the measurement, and of it
MIN_SIZES_FOR_FIT = 4  # for an extrapolation
MAX_RELATIVE_DEVIATION = 0.2  # relative deviation of any size for a fit to count as linear


class ByteCounter(NullObserver):
    """Counts the bytes that each process writes to its connections."""

    def __init__(self) -> None:
        self.by_process: Counter[str] = Counter()

    def bytes_sent(self, source: VirtualTransport, data: bytes) -> None:
        self.by_process[source.loop.name] += len(data)


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """The figures of one size.

    cpu: per cent of a core; bytes: per second; apply_s: from a change's acknowledgement to the last node.
    """

    nodes: int
    control_cpu: float
    control_bytes: float
    node_cpu: float
    node_bytes: float
    apply_s: float
    informed_s: float


def fleet_plan(nodes: int) -> FleetPlan:
    count = max(1, nodes // NODES_PER_SERVICE)
    services = {f"s{i}": nodes // count for i in range(count)}
    routes = {f"r{name}": route(f"{name}.example", name, once=False) for name in services}
    return FleetPlan(services, (), routes, traffic_period_s=(1e6, 1e6))


def measure(nodes: int) -> NodeFigures:
    """A mesh of so many nodes without traffic, then one change."""
    cpu_s_by_process: Counter[str] = Counter()
    run_step = VirtualLoop.run_step

    def timed(loop: VirtualLoop, step: Step) -> None:
        started_at = time.process_time()
        run_step(loop, step)
        cpu_s_by_process[loop.name] += time.process_time() - started_at  # type: ignore[assignment]

    byte_counter = ByteCounter()
    with mock.patch.object(VirtualLoop, "run_step", timed):
        fleet = Fleet(1, fleet_plan(nodes))
        fleet.network.observer = byte_counter
        informed_s = _run_until(fleet, lambda: all(m.node and m.node.ready() for m in fleet.node_machines))
        fleet.run_until(max(SETTLE_S, fleet.now))
        cpu_s_by_process.clear()
        byte_counter.by_process.clear()
        fleet.run_until(fleet.now + MEASURED_S)
        cpu, sent = dict(cpu_s_by_process), dict(byte_counter.by_process)
        apply_s = _measure_apply_s(fleet)

    def mean(totals: dict[str, float] | dict[str, int], role: str) -> float:
        values = [value for name, value in totals.items() if f".{role}." in name]
        return sum(values) / max(1, len(values)) / MEASURED_S

    return NodeFigures(
        nodes,
        100.0 * mean(cpu, "signalbox"),
        mean(sent, "signalbox"),
        100.0 * mean(cpu, "station"),
        mean(sent, "station"),
        apply_s,
        informed_s,
    )


def _run_until(fleet: Fleet, is_done: Callable[[], bool], timeout_s: float = 60.0) -> float:
    while not is_done() and fleet.now < timeout_s:
        fleet.run_until(fleet.now + 0.02)
    return fleet.now


def _measure_apply_s(fleet: Fleet) -> float:
    """Seconds from the acknowledgement of a change until the last node has applied it."""
    name, route_settings = next(iter(fleet.plan.routes.items()))
    acknowledged: list[float] = []

    async def operate() -> None:
        body = {
            "addOrReplace": {"routes": {name: {**route_settings, "version": "0000000f"}}},
            "remove": {"routes": []},
        }
        status, _ = await fleet.call_operator_api("PATCH", "/config", body)
        if status == 200:
            acknowledged.append(fleet.now)

    fleet.run_operator(operate)
    key = f"routes/{name}"

    def applied_everywhere() -> bool:
        items = [m.node.state.item_store.items.get(key) for m in fleet.node_machines if m.node is not None]
        return bool(acknowledged) and all(item is not None and item.version == 15 for item in items)

    return max(
        0.0, _run_until(fleet, applied_everywhere, fleet.now + 20.0) - (acknowledged or [fleet.now])[0]
    )


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line, and the largest deviation of a point from it, relative to the point's value."""

    intercept: float
    slope: float
    max_deviation: float

    @classmethod
    def fit(cls, xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
        mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
        spread = sum((x - mean_x) ** 2 for x in xs)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
        intercept = mean_y - slope * mean_x
        max_deviation = max(
            abs(intercept + slope * x - y) / max(y, 1e-12) for x, y in zip(xs, ys, strict=True)
        )
        return cls(intercept, slope, max_deviation)

    def value_at(self, x: float) -> float:
        return self.intercept + self.slope * x

    @property
    def is_linear(self) -> bool:
        return self.max_deviation <= MAX_RELATIVE_DEVIATION


@dataclass(frozen=True, slots=True)
class ItemFigures:
    """read_bytes: size of one read response; order_ms: processor time of one change at all three machines."""

    items: int
    read_bytes: int
    order_ms: float
    memory_bytes: float


def measure_items(count: int) -> ItemFigures:
    """Three control machines with so many items."""
    tracemalloc.start()
    world = World(1)
    world.max_events = 10**8
    world.run_until(4.0)
    first = next(iter(world.machines.values()))
    before = tracemalloc.get_traced_memory()[0]
    value = b"x" * 300
    for at in range(0, count, 2000):
        items = [Item(key=f"routes/r{i}", version=1, value=value) for i in range(at, min(count, at + 2000))]
        world.submit_change(first, items, lambda answer: None)
        world.run_until(world.now + 2.0)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    world.largest_frame_bytes = 0
    world.read(first, lambda answer: None)
    world.run_until(world.now + 0.5)
    read_bytes = world.largest_frame_bytes
    started_at, orders = time.process_time(), 10
    for i in range(orders):
        world.submit_change(first, [Item(key=f"routes/r{i}", version=2, value=value)], lambda answer: None)
        world.run_until(world.now + 0.1)
    order_ms = 1000.0 * (time.process_time() - started_at) / orders
    return ItemFigures(count, read_bytes, order_ms, memory / count / len(world.machines))


def table_rows(nodes: Sequence[NodeFigures], items: Sequence[ItemFigures]) -> list[str]:
    rows = [
        "| nodes | control: % of a core | control: bytes/s sent | node: % of a core | node: bytes/s sent |"
    ]
    rows[0] += " change everywhere, s | all informed, s |"
    rows.append("| --- | --- | --- | --- | --- | --- | --- |")
    for f in nodes:
        rows.append(
            f"| {f.nodes} | {f.control_cpu:.2f} | {f.control_bytes:.0f} "
            f"| {f.node_cpu:.3f} | {f.node_bytes:.0f} "
            f"| {f.apply_s:.3f} | {f.informed_s:.1f} |"
        )
    rows += [
        "",
        "| figure | line over the sizes | furthest off | at 12,000 nodes |",
        "| --- | --- | --- | --- |",
    ]
    xs = [float(f.nodes) for f in nodes]
    for name in ("control_cpu", "control_bytes", "node_cpu", "node_bytes"):
        fit = LinearFit.fit(xs, [getattr(f, name) for f in nodes])
        enough_sizes = len(nodes) >= MIN_SIZES_FOR_FIT
        extrapolated = (
            f"{fit.value_at(TARGET_NODES):.4g}" if fit.is_linear and enough_sizes else "not worked out"
        )
        rows.append(
            f"| {name} | {fit.intercept:.4g} + {fit.slope:.4g} a node "
            f"| {100 * fit.max_deviation:.0f}% | {extrapolated} |"
        )
    rows += [
        "",
        "| items | one reply to a read, bytes | one order, ms of processor | memory an item, bytes |",
    ]
    rows.append("| --- | --- | --- | --- |")
    for item_figures in items:
        rows.append(
            f"| {item_figures.items} | {item_figures.read_bytes} "
            f"| {item_figures.order_ms:.1f} | {item_figures.memory_bytes:.0f} |"
        )
    return rows


def write_tables(rows: Sequence[str]) -> None:
    page = PAGE.read_text()
    block = re.compile(re.escape(BEGIN_MARK) + r".*?" + re.escape(END_MARK), re.DOTALL)
    PAGE.write_text(block.sub(lambda _: "\n".join([BEGIN_MARK, *rows, END_MARK]), page))


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.capacity", description=__doc__)
    parser.add_argument("--nodes", default="4,12,36,108")
    parser.add_argument("--items", default="1000,3000,9000,27000")
    parser.add_argument("--write", action="store_true", help="put the tables into docs/CAPACITY.md")
    arguments = parser.parse_args(argv)
    nodes = [measure(int(size)) for size in arguments.nodes.split(",")]
    items = [measure_items(int(size)) for size in arguments.items.split(",")]
    rows = table_rows(nodes, items)
    print("\n".join(rows))
    if arguments.write:
        write_tables(rows)
    xs = [float(f.nodes) for f in nodes]
    cpu = LinearFit.fit(xs, [f.control_cpu for f in nodes])
    sent = LinearFit.fit(xs, [f.control_bytes for f in nodes])
    print(
        f"nodes={nodes[-1].nodes} services={len(fleet_plan(nodes[-1].nodes).services)} "
        f"control_cpu={nodes[-1].control_cpu:.2f}% control_bytes_s={nodes[-1].control_bytes:.0f} "
        f"node_cpu={nodes[-1].node_cpu:.3f}% node_bytes_s={nodes[-1].node_bytes:.0f} "
        f"apply_s={max(f.apply_s for f in nodes):.3f} "
        f"straight_cpu={cpu.is_linear} straight_bytes={sent.is_linear}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
