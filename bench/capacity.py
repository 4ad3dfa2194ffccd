"""What each role costs by the number of nodes and of items: python -m bench.capacity [--nodes 4,12,36,108].

Hollow nodes: the programs that run, in virtual time, each beside a stand-in server that beats, with sessions,
news and subscriptions but no requests. Processor time is real, of the steps of each process; bytes are what
it hands to its connections. Every figure is fitted by a straight line over the sizes; one that is further
than a fifth from its line at any size is marked, and nothing is worked out from it. Items: the interlockings
of three control machines in virtual time.

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
from leadrudder.emulation.fleet import Fleet, Plan
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import NullObserver, VirtualTransport
from leadrudder.simulation.scheduler import Step

PAGE = Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
BEGIN_MARK, END_MARK = "<!-- bench.capacity -->", "<!-- end -->"
TARGET_NODES = 12_000
NODES_A_SERVICE = 24
SETTLED_S, WATCHED_S = 8.0, 10.0  # virtual seconds before figures count, and that they are counted for
SIZES_LEAST = 4  # of a slope from which anything is worked out
OFF_LINE = 0.2  # part by which a point may be off its line


class ByteTap(NullObserver):
    """Counts what each process hands to its connections."""

    def __init__(self) -> None:
        self.by_process: Counter[str] = Counter()

    def bytes_sent(self, source: VirtualTransport, data: bytes) -> None:
        self.by_process[source.loop.name] += len(data)


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one size. cpu: per cent of a core; bytes: a second; apply_s: from an order to the last node."""

    nodes: int
    control_cpu: float
    control_bytes: float
    node_cpu: float
    node_bytes: float
    apply_s: float
    informed_s: float


def plan(nodes: int) -> Plan:
    count = max(1, nodes // NODES_A_SERVICE)
    services = {f"s{i}": nodes // count for i in range(count)}
    routes = {f"r{name}": route(f"{name}.example", name, once=False) for name in services}
    return Plan(services, (), routes, traffic=(1e6, 1e6))


def measure(nodes: int) -> Figures:
    """One mesh of so many nodes in calm, then one change."""
    spent: Counter[str] = Counter()
    enter = VirtualLoop.run_step

    def timed(loop: VirtualLoop, step: Step) -> None:
        began = time.process_time()
        enter(loop, step)
        spent[loop.name] += time.process_time() - began  # type: ignore[assignment]

    tap = ByteTap()
    with mock.patch.object(VirtualLoop, "run_step", timed):
        fleet = Fleet(1, plan(nodes))
        fleet.network.observer = tap
        informed_s = _until(fleet, lambda: all(m.station and m.station.ready() for m in fleet.side))
        fleet.play(max(SETTLED_S, fleet.now))
        spent.clear()
        tap.by_process.clear()
        fleet.play(fleet.now + WATCHED_S)
        cpu, sent = dict(spent), dict(tap.by_process)
        apply_s = _apply(fleet)

    def mean(of: dict[str, float] | dict[str, int], kind: str) -> float:
        values = [value for name, value in of.items() if f".{kind}." in name]
        return sum(values) / max(1, len(values)) / WATCHED_S

    return Figures(
        nodes,
        100.0 * mean(cpu, "signalbox"),
        mean(sent, "signalbox"),
        100.0 * mean(cpu, "station"),
        mean(sent, "station"),
        apply_s,
        informed_s,
    )


def _until(fleet: Fleet, done: Callable[[], bool], most_s: float = 60.0) -> float:
    while not done() and fleet.now < most_s:
        fleet.play(fleet.now + 0.02)
    return fleet.now


def _apply(fleet: Fleet) -> float:
    """Seconds from the acknowledgement of a change until the last node has it in force."""
    name, text = next(iter(fleet.plan.routes.items()))
    acknowledged: list[float] = []

    async def operate() -> None:
        body = {"addOrReplace": {"routes": {name: {**text, "version": "0000000f"}}}, "remove": {"routes": []}}
        status, _ = await fleet.ask("PATCH", "/config", body)
        if status == 200:
            acknowledged.append(fleet.now)

    fleet.operate(operate)
    key = f"routes/{name}"

    def everywhere() -> bool:
        items = [m.station.state.book.items.get(key) for m in fleet.side if m.station is not None]
        return bool(acknowledged) and all(item is not None and item.version == 15 for item in items)

    return max(0.0, _until(fleet, everywhere, fleet.now + 20.0) - (acknowledged or [fleet.now])[0])


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line through points, and how far the furthest is off it, as a part of its value."""

    start: float
    slope: float
    off: float

    @classmethod
    def fit(cls, xs: Sequence[float], ys: Sequence[float]) -> Line:
        mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
        spread = sum((x - mean_x) ** 2 for x in xs)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
        start = mean_y - slope * mean_x
        off = max(abs(start + slope * x - y) / max(y, 1e-12) for x, y in zip(xs, ys, strict=True))
        return cls(start, slope, off)

    def at(self, x: float) -> float:
        return self.start + self.slope * x

    @property
    def straight(self) -> bool:
        return self.off <= OFF_LINE


@dataclass(frozen=True, slots=True)
class ItemFigures:
    """read_bytes: of one reply to a read; order_ms: real processor time of an order at all three."""

    items: int
    read_bytes: int
    order_ms: float
    memory_bytes: float


def measure_items(count: int) -> ItemFigures:
    """Three control machines that hold so many items."""
    tracemalloc.start()
    world = World(1)
    world.events_most = 10**8
    world.play(4.0)
    first = next(iter(world.machines.values()))
    before = tracemalloc.get_traced_memory()[0]
    value = b"x" * 300
    for at in range(0, count, 2000):
        items = [Item(key=f"routes/r{i}", version=1, value=value) for i in range(at, min(count, at + 2000))]
        world.call(first, items, lambda answer: None)
        world.play(world.now + 2.0)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    world.largest_frame = 0
    world.read(first, lambda answer: None)
    world.play(world.now + 0.5)
    read_bytes = world.largest_frame
    began, orders = time.process_time(), 10
    for i in range(orders):
        world.call(first, [Item(key=f"routes/r{i}", version=2, value=value)], lambda answer: None)
        world.play(world.now + 0.1)
    order_ms = 1000.0 * (time.process_time() - began) / orders
    return ItemFigures(count, read_bytes, order_ms, memory / count / len(world.machines))


def tables(nodes: Sequence[Figures], items: Sequence[ItemFigures]) -> list[str]:
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
        line = Line.fit(xs, [getattr(f, name) for f in nodes])
        enough = len(nodes) >= SIZES_LEAST
        told = f"{line.at(TARGET_NODES):.4g}" if line.straight and enough else "not worked out"
        rows.append(
            f"| {name} | {line.start:.4g} + {line.slope:.4g} a node | {100 * line.off:.0f}% | {told} |"
        )
    rows += [
        "",
        "| items | one reply to a read, bytes | one order, ms of processor | memory an item, bytes |",
    ]
    rows.append("| --- | --- | --- | --- |")
    for each in items:
        rows.append(f"| {each.items} | {each.read_bytes} | {each.order_ms:.1f} | {each.memory_bytes:.0f} |")
    return rows


def write(rows: Sequence[str]) -> None:
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
    rows = tables(nodes, items)
    print("\n".join(rows))
    if arguments.write:
        write(rows)
    xs = [float(f.nodes) for f in nodes]
    cpu = Line.fit(xs, [f.control_cpu for f in nodes])
    sent = Line.fit(xs, [f.control_bytes for f in nodes])
    print(
        f"nodes={nodes[-1].nodes} services={len(plan(nodes[-1].nodes).services)} "
        f"control_cpu={nodes[-1].control_cpu:.2f}% control_bytes_s={nodes[-1].control_bytes:.0f} "
        f"node_cpu={nodes[-1].node_cpu:.3f}% node_bytes_s={nodes[-1].node_bytes:.0f} "
        f"apply_s={max(f.apply_s for f in nodes):.3f} "
        f"straight_cpu={cpu.straight} straight_bytes={sent.straight}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
