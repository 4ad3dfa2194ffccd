"""The cost of a routing decision by the size of the fleet: python -m bench.decision_cost [--against REV].

One request class, one node that uses all servers, a steady load with OPEN_CALLS requests in flight; each step
is an arrival with its attempt and the outcome of an earlier one. Measured is the CPU time of the process. The
last line has the microseconds per arrival with its outcome for each size, the ratio of 10,000 servers to
10, the bytes per server, and the milliseconds of a full list and of a change of one entry; with --against the
same of another revision up to 1,000 servers, measured in turn with this tree (before_…). --drift N applies so
many payoffs near the floor and reports how far the sum and the least share have drifted.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import deque
from pathlib import Path

from leadrudder import Balancer
from leadrudder.interface import (
    Arrival,
    AttemptEnded,
    ListKind,
    Outcome,
    Readiness,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    Settings,
)

SIZES = (10, 100, 1_000, 10_000, 100_000)
OPEN_CALLS = 8  # in flight at any time: the initial limit of a node allows 6 for each server
STEP_COUNT = 20_000
ROUND_COUNT = 5
REQUEST_CLASS = RequestClass("haku", 1000, 3000)


def _entries(servers: int) -> tuple[ServerEntry, ...]:
    return tuple(ServerEntry(i.to_bytes(4, "big"), kind=i % 2) for i in range(servers))


class LoadedBalancer:
    """A balancer under a steady load with random latencies; half of the servers take twice as long."""

    def __init__(self, servers: int) -> None:
        self.balancer = Balancer(Settings(classes=(REQUEST_CLASS,)), seed=7)
        self.rng = random.Random(7)
        self.now = 1.0
        self.in_flight: deque[tuple[int, float, bytes]] = deque()
        self.last_request = 0
        self.served = 0
        self.entries = _entries(servers)
        self.balancer.handle(ServerList(ListKind.FULL, self.entries), self.now)

    def step(self) -> None:
        """One arrival, and one outcome if enough requests are in flight."""
        self.now += 1.0
        self.last_request += 1
        for action in self.balancer.handle(Arrival(self.last_request, 0, 3000.0), self.now):
            if isinstance(action, Send):
                self.in_flight.append((action.request, self.now, action.server))
        if len(self.in_flight) >= OPEN_CALLS:
            request, sent, server = self.in_flight.popleft()
            slow = 2.0 if server[-1] % 2 else 1.0
            elapsed = (self.now - sent) * slow * (0.5 + self.rng.random())
            self.served += 1
            self.balancer.handle(AttemptEnded(request, 0, server, Outcome.OK, elapsed, True), self.now)


def cost_us(servers: int, steps: int) -> float:
    """CPU microseconds per arrival with its outcome."""
    load = LoadedBalancer(servers)
    for _ in range(steps // 10):
        load.step()
    started_at = time.process_time()
    for _ in range(steps):
        load.step()
    cpu_s = time.process_time() - started_at
    if load.served < steps:
        raise RuntimeError(f"{load.served} of {steps} requests were served at {servers} servers")
    return 1e6 * cpu_s / steps


def bytes_per_server(servers: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    load = LoadedBalancer(servers)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(load.entries)


def list_update_ms(servers: int) -> tuple[float, float]:
    """Milliseconds of a full list that changes nothing, and of a change of one entry."""
    load = LoadedBalancer(servers)
    started_at = time.process_time()
    load.balancer.handle(ServerList(ListKind.FULL, load.entries), load.now + 1)
    full_list_s = time.process_time() - started_at
    changed_entry = ServerEntry(load.entries[0].server, kind=0, readiness=Readiness.DRAINING)
    started_at = time.process_time()
    load.balancer.handle(ServerList(ListKind.CHANGES, (changed_entry,)), load.now + 2)
    return 1e3 * full_list_s, 1e3 * (time.process_time() - started_at)


def _cost_medians(revision: str, sizes: list[int], steps: int) -> dict[int, tuple[float, float]]:
    """Median costs of this tree and of a revision by size.

    This file measures them in turn, each in an interpreter of its own.
    """
    from bench.revision import ROOT, unpack

    with tempfile.TemporaryDirectory() as folder:
        trees = [ROOT, unpack(revision, Path(folder))[0]]
        costs_by_size: dict[int, list[list[float]]] = {size: [[], []] for size in sizes}
        for round_number in range(ROUND_COUNT):
            for size in sizes:
                for tree, costs in zip(trees, costs_by_size[size], strict=True):
                    command = [
                        sys.executable,
                        __file__,
                        "--sizes",
                        str(size),
                        "--steps",
                        str(steps),
                        "--plain",
                    ]
                    environment = {**os.environ, "PYTHONPATH": str(tree)}
                    completed = subprocess.run(
                        command, env=environment, cwd=tree, capture_output=True, text=True, check=True
                    )
                    costs.append(float(completed.stdout))
            print(f"round {round_number + 1} of {ROUND_COUNT} against {revision}", file=sys.stderr)
    return {
        size: (statistics.median(now), statistics.median(then)) for size, (now, then) in costs_by_size.items()
    }


def drift(payoffs: int, kinds: int = 1) -> tuple[float, float]:
    """The sum's distance from 1, and the relative distance of the least share from the floor (0 or above).

    Six fast servers get all payoffs, and one call in a hundred goes to a slow one: 194 of 200 shares settle
    at the floor; with two kinds they settle above it, as the kinds are favoured in turn.
    """
    from leadrudder.policy.automaton import FLOOR_SHARE, Automaton

    automaton, rng = Automaton(nodes=50), random.Random(3)
    names = [i.to_bytes(2, "big") for i in range(200)]
    automaton.resize(dict.fromkeys(names, 1.0), {name: name[-1] % kinds for name in names})
    for i in range(len(names)):
        automaton.learn(i, 100.0)
    payoff_count, draw_uniform, learn = 0, rng.random, automaton.learn
    while payoff_count < payoffs:
        draw = draw_uniform()
        if draw < 0.99:
            payoff_count += learn(int(6 * draw_uniform()), 1.0 + draw)
        else:
            learn(6 + int(194 * draw_uniform()), 100.0)
    p = automaton.p
    floor = FLOOR_SHARE / len(p)
    return abs(sum(p) - 1.0), min(p) / floor - 1.0


def main() -> int:
    """Exit code 0 when all sizes were measured."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of servers")
    parser.add_argument("--steps", type=int, default=STEP_COUNT, help="arrivals at each size")
    parser.add_argument("--against", help="a revision of this repository")
    parser.add_argument("--drift", type=int, default=0, help="number of payoffs near the floor")
    parser.add_argument("--plain", action="store_true", help="print only the cost of the first size")
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(",")]
    if options.plain:
        print(cost_us(sizes[0], options.steps))
        return 0
    costs: dict[int, float] = {}
    for size in sizes:
        costs[size] = cost_us(size, options.steps)
        print(f"{size} servers: {costs[size]:.1f} us an arrival with its outcome", file=sys.stderr)
    figures = [f"us_{size}={cost:.1f}" for size, cost in costs.items()]
    if 10 in costs and 10_000 in costs:
        figures.append(f"ratio_10000_10={costs[10_000] / costs[10]:.2f}")
    largest = min(max(costs), 10_000)
    full_list_ms, change_ms = list_update_ms(largest)
    figures += [
        f"bytes_a_server={bytes_per_server(largest):.0f}",
        f"list_ms={full_list_ms:.1f}",
        f"change_ms={change_ms:.1f}",
    ]
    if options.against:
        small_sizes = [size for size in sizes if size <= 1000]
        for size, (now, then) in _cost_medians(
            options.against, small_sizes, min(options.steps, 3000)
        ).items():
            figures += [f"now_{size}={now:.1f}", f"before_{size}={then:.1f}"]
        figures.append(f"against={options.against}")
    if options.drift:
        figures.append(f"drift_payoffs={options.drift}")
        for kinds in (1, 2):
            sum_drift, least_share_drift = drift(options.drift, kinds)
            figures += [f"drift_sum_{kinds}={sum_drift:.1e}", f"drift_least_{kinds}={least_share_drift:.1e}"]
    print(" ".join(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
