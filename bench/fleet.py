"""A fleet beyond one machine, by a sample of its nodes: python -m bench.fleet [--nodes N] [--servers R].

N nodes call R servers of two kinds, of which one takes twice as long; so many of the nodes are played, each
with its own view, for so many seconds of a clock that only counts. What the others do is in the servers'
latencies: a server answers independently, exponentially about its kind's mean. Of each sampled node: how
many servers it keeps to, the connections that it holds open (one is closed after IDLE_S without a call), its
payoffs, and when the slow kind's part of its shares has gone two thirds of the way to where it ends up. The
last line gives the means over the sample.
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

IDLE_S = 7.5  # half of what servers allow by default, as the node has it
QUICK_MS = 50.0
SLOW_TIMES = 2.0
LOOK_S = 0.5  # between looks at the shares
WAY = 2 / 3


@dataclass(frozen=True)
class Seen:
    """What one node came to."""

    kept_to: int
    most_open: int
    requests: int
    payoffs: int
    slow_part: float  # of the shares, at the end
    learn_s: float


class Play:
    """One node of the fleet on a clock that only counts, in milliseconds."""

    def __init__(self, nodes: int, ordinal: int, entries: tuple[ServerEntry, ...], rate: float) -> None:
        settings = Settings(
            classes=(RequestClass("haku", 1000, 3000),), balancers=nodes, ordinal=ordinal, tick_ms=1.0
        )
        self.node = Balancer(settings, seed=ordinal)
        self.rng = random.Random(ordinal)
        self.rate = rate  # requests a second
        self.now = 1.0
        self.due: list[tuple[float, int, Arrival | AttemptEnded | TimerFired]] = []
        self.count = 0
        self.out: dict[
            int, list[bytes | None]
        ] = {}  # of each request: the servers of its attempts that are out
        self.requests = self.payoffs = 0
        self.used: dict[bytes, float] = {}  # servers with a connection, the longest idle first
        self.most_open = 0
        self.node.handle(ServerList(ListKind.FULL, entries), self.now)
        self._plan(0.0, Arrival(1, 0, 3000.0))

    def _plan(self, after: float, event: Arrival | AttemptEnded | TimerFired) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + after, self.count, event))

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, event = heapq.heappop(self.due)
            if isinstance(event, AttemptEnded) and not self._ends(event):
                continue
            actions = self.node.handle(event, self.now)
            if isinstance(event, Arrival):
                self.requests += 1
                gap = 1000.0 * self.rng.expovariate(self.rate)
                self._plan(gap, Arrival(event.request + 1, 0, 3000.0))
            elif isinstance(event, AttemptEnded) and event.outcome is Outcome.OK:
                self.payoffs += event.elapsed_ms < (self.node.automaton.mean() or 0.0)
            for action in actions:
                if isinstance(action, Send):
                    self._send(action)
                elif isinstance(action, Cancel):
                    server = self.out[action.request][action.attempt] or b""
                    ended = AttemptEnded(
                        action.request, action.attempt, server, Outcome.CANCELLED, 0.0, False
                    )
                    self._plan(0.0, ended)
                elif isinstance(action, SetTimer):
                    self._plan(max(0.0, action.at_ms - self.now), TimerFired(action.token))
        self.now = until

    def _ends(self, event: AttemptEnded) -> bool:
        """Whether that attempt was still out; a request is forgotten with its last one."""
        attempts = self.out.get(event.request)
        if attempts is None or attempts[event.attempt] is None:
            return False
        attempts[event.attempt] = None
        if not any(attempts):
            del self.out[event.request]
        return True

    def _send(self, action: Send) -> None:
        mean = QUICK_MS * (SLOW_TIMES if int.from_bytes(action.server, "big") % 2 else 1.0)
        took = self.rng.expovariate(1.0 / mean)
        attempts = self.out.setdefault(action.request, [])
        attempts.append(action.server)
        number = len(attempts) - 1
        self._plan(took, AttemptEnded(action.request, number, action.server, Outcome.OK, took, True))
        self.used.pop(action.server, None)
        self.used[action.server] = self.now
        while self.now - next(iter(self.used.values())) > 1000.0 * IDLE_S:
            del self.used[next(iter(self.used))]
        self.most_open = max(self.most_open, len(self.used))

    def slow_part(self) -> float:
        """The slow kind's part of the shares of the servers that this node keeps to."""
        automaton = self.node.automaton
        kept = self.node._fleet._subset
        pairs = [
            (p, int.from_bytes(name, "big") % 2)
            for name, p in zip(automaton.servers, automaton.p, strict=True)
            if kept is None or name in kept
        ]
        return sum(p for p, slow in pairs if slow) / sum(p for p, _ in pairs)


def play(nodes: int, ordinal: int, entries: tuple[ServerEntry, ...], rate: float, seconds: float) -> Seen:
    it = Play(nodes, ordinal, entries, rate)
    parts = [it.slow_part()]
    while it.now < 1000.0 * seconds:
        it.run(it.now + 1000.0 * LOOK_S)
        parts.append(it.slow_part())
    last = statistics.fmean(parts[-max(1, len(parts) // 5) :])
    goal = parts[0] + WAY * (last - parts[0])
    learned = next((i for i, part in enumerate(parts) if part <= goal), len(parts))
    home = it.node._fleet._subset
    return Seen(
        len(entries) if home is None else len(home),
        it.most_open,
        it.requests,
        it.payoffs,
        last,
        LOOK_S * learned,
    )


def main() -> int:
    """Exit code 0 when the sample was played."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--sample", type=int, default=8, help="nodes that are played")
    parser.add_argument("--rate", type=float, default=10.0, help="requests a second of each node")
    parser.add_argument("--seconds", type=float, default=120.0)
    chosen = parser.parse_args()
    entries = tuple(ServerEntry(i.to_bytes(4, "big"), kind=i % 2) for i in range(chosen.servers))
    seen = []
    for i in range(chosen.sample):
        ordinal = i * chosen.nodes // chosen.sample
        seen.append(play(chosen.nodes, ordinal, entries, chosen.rate, chosen.seconds))
        print(f"node {ordinal}: {seen[-1]}", file=sys.stderr)
    mean = {
        name: statistics.fmean(getattr(s, name) for s in seen)
        for name in ("kept_to", "most_open", "requests", "payoffs", "slow_part", "learn_s")
    }
    print(
        f"nodes={chosen.nodes} servers={chosen.servers} sample={chosen.sample} rate={chosen.rate:g}"
        f" seconds={chosen.seconds:g} kept_to={mean['kept_to']:.0f} open_node={mean['most_open']:.0f}"
        f" open_server={mean['most_open'] * chosen.nodes / chosen.servers:.1f}"
        f" requests={mean['requests']:.0f}"
        f" payoffs={mean['payoffs']:.0f} slow_part={mean['slow_part']:.3f} learn_s={mean['learn_s']:.1f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
