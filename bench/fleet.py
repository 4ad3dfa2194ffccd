"""A fleet too large for one machine, by a sample of its nodes.

    python -m bench.fleet [--nodes N] [--servers R]

N nodes send requests to R servers of two kinds, one of which takes twice as long. Only a sample of the nodes
is simulated, each on its own and for --seconds of virtual time. The load of the others is part of the
servers' latencies, which are independent and exponential around the mean of the kind. Reported for a sampled
node are the size of its subset of the servers, its open connections (one is closed after IDLE_S without a
request), its payoffs, and the time after which the slow kind's fraction of the shares has covered two thirds
of the way to its final value. The last line has the means over the sample.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import sys
from dataclasses import dataclass

from leadrudder import Balancer
from leadrudder.interface import (
    Arrival,
    AttemptEnded,
    Cancel,
    ListKind,
    Outcome,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
)

IDLE_S = 7.5  # half of the servers' default idle timeout, as in the node
FAST_MEAN_MS = 50.0
SLOW_FACTOR = 2.0
SAMPLE_INTERVAL_S = 0.5  # between samples of the shares
LEARNED_FRACTION = 2 / 3


@dataclass(frozen=True)
class NodeFigures:
    """The figures of one node."""

    kept_to: int
    most_open: int
    requests: int
    payoffs: int
    slow_part: float  # of the shares at the end
    learn_s: float


class SimulatedNode:
    """One node of the fleet in virtual time, in milliseconds."""

    def __init__(self, nodes: int, ordinal: int, entries: tuple[ServerEntry, ...], rate: float) -> None:
        settings = Settings(
            classes=(RequestClass("haku", 1000, 3000),), balancers=nodes, ordinal=ordinal, tick_ms=1.0
        )
        self.balancer = Balancer(settings, seed=ordinal)
        self.rng = random.Random(ordinal)
        self.rate = rate  # requests per second
        self.now = 1.0
        self.events: list[tuple[float, int, Arrival | AttemptEnded | TimerFired]] = []
        self.event_count = 0
        self.open_attempts: dict[int, list[bytes | None]] = {}  # by request: the servers of its open attempts
        self.requests = self.payoffs = 0
        self.connections: dict[bytes, float] = {}  # servers with an open connection, the longest idle first
        self.most_open = 0
        self.balancer.handle(ServerList(ListKind.FULL, entries), self.now)
        self._schedule(0.0, Arrival(1, 0, 3000.0))

    def _schedule(self, after: float, event: Arrival | AttemptEnded | TimerFired) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + after, self.event_count, event))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            if isinstance(event, AttemptEnded) and not self._end_attempt(event):
                continue
            actions = self.balancer.handle(event, self.now)
            if isinstance(event, Arrival):
                self.requests += 1
                gap = 1000.0 * self.rng.expovariate(self.rate)
                self._schedule(gap, Arrival(event.request + 1, 0, 3000.0))
            elif isinstance(event, AttemptEnded) and event.outcome is Outcome.OK:
                self.payoffs += event.elapsed_ms < (self.balancer.automaton.mean() or 0.0)
            for action in actions:
                if isinstance(action, Send):
                    self._send(action)
                elif isinstance(action, Cancel):
                    server = self.open_attempts[action.request][action.attempt] or b""
                    ended = AttemptEnded(
                        action.request, action.attempt, server, Outcome.CANCELLED, 0.0, False
                    )
                    self._schedule(0.0, ended)
                elif isinstance(action, SetTimer):
                    self._schedule(max(0.0, action.at_ms - self.now), TimerFired(action.token))
        self.now = until

    def _end_attempt(self, event: AttemptEnded) -> bool:
        """Whether the attempt was still open; a request is removed with its last open attempt."""
        attempts = self.open_attempts.get(event.request)
        if attempts is None or attempts[event.attempt] is None:
            return False
        attempts[event.attempt] = None
        if not any(attempts):
            del self.open_attempts[event.request]
        return True

    def _send(self, action: Send) -> None:
        mean = FAST_MEAN_MS * (SLOW_FACTOR if int.from_bytes(action.server, "big") % 2 else 1.0)
        took = self.rng.expovariate(1.0 / mean)
        attempts = self.open_attempts.setdefault(action.request, [])
        attempts.append(action.server)
        number = len(attempts) - 1
        self._schedule(took, AttemptEnded(action.request, number, action.server, Outcome.OK, took, True))
        self.connections.pop(action.server, None)
        self.connections[action.server] = self.now
        while self.now - next(iter(self.connections.values())) > 1000.0 * IDLE_S:
            del self.connections[next(iter(self.connections))]
        self.most_open = max(self.most_open, len(self.connections))

    def slow_part(self) -> float:
        """The slow kind's fraction of the shares of the servers in this node's subset."""
        automaton = self.balancer.automaton
        kept = self.balancer._fleet._subset
        pairs = [
            (p, int.from_bytes(name, "big") % 2)
            for name, p in zip(automaton.servers, automaton.p, strict=True)
            if kept is None or name in kept
        ]
        return sum(p for p, slow in pairs if slow) / sum(p for p, _ in pairs)


def simulate_node(
    nodes: int, ordinal: int, entries: tuple[ServerEntry, ...], rate: float, seconds: float
) -> NodeFigures:
    node = SimulatedNode(nodes, ordinal, entries, rate)
    slow_parts = [node.slow_part()]
    while node.now < 1000.0 * seconds:
        node.run(node.now + 1000.0 * SAMPLE_INTERVAL_S)
        slow_parts.append(node.slow_part())
    final_part = statistics.fmean(slow_parts[-max(1, len(slow_parts) // 5) :])
    learned_part = slow_parts[0] + LEARNED_FRACTION * (final_part - slow_parts[0])
    learned_index = next(
        (i for i, slow_part in enumerate(slow_parts) if slow_part <= learned_part), len(slow_parts)
    )
    subset = node.balancer._fleet._subset
    return NodeFigures(
        len(entries) if subset is None else len(subset),
        node.most_open,
        node.requests,
        node.payoffs,
        final_part,
        SAMPLE_INTERVAL_S * learned_index,
    )


def main() -> int:
    """Exit code 0 if the sample was simulated."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--sample", type=int, default=8, help="number of simulated nodes")
    parser.add_argument("--rate", type=float, default=10.0, help="requests per second of each node")
    parser.add_argument("--seconds", type=float, default=120.0)
    options = parser.parse_args()
    entries = tuple(ServerEntry(i.to_bytes(4, "big"), kind=i % 2) for i in range(options.servers))
    sample = []
    for i in range(options.sample):
        ordinal = i * options.nodes // options.sample
        sample.append(simulate_node(options.nodes, ordinal, entries, options.rate, options.seconds))
        print(f"node {ordinal}: {sample[-1]}", file=sys.stderr)
    mean = {
        name: statistics.fmean(getattr(figures, name) for figures in sample)
        for name in ("kept_to", "most_open", "requests", "payoffs", "slow_part", "learn_s")
    }
    print(
        f"nodes={options.nodes} servers={options.servers} sample={options.sample} rate={options.rate:g}"
        f" seconds={options.seconds:g} kept_to={mean['kept_to']:.0f} open_node={mean['most_open']:.0f}"
        f" open_server={mean['most_open'] * options.nodes / options.servers:.1f}"
        f" requests={mean['requests']:.0f}"
        f" payoffs={mean['payoffs']:.0f} slow_part={mean['slow_part']:.3f} learn_s={mean['learn_s']:.1f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
