"""A plain reference implementation of the automaton, in which each payoff rewrites all shares."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from leadrudder.interface import ServerId
from leadrudder.policy.automaton import FLOOR_SHARE, MAX_FAILURE_MEANS, MAX_KINDS, NEWCOMER_SHARE, Automaton


class PlainAutomaton:
    """Keeps shares and averages in lists; takes its step sizes from the automaton under test."""

    def __init__(self, tested: Automaton) -> None:
        self._tested = tested
        self.servers: list[ServerId] = []
        self.p: list[float] = []
        self.average: list[float | None] = []
        self.kinds: list[int] = []

    def mean(self) -> float | None:
        known = [a for a in self.average if a is not None]
        return sum(known) / len(known) if known else None

    def order(self) -> list[int]:
        """Indices in the order of the draw: by kind, in the order in which the kinds first occur."""
        return sorted(
            range(len(self.p)), key=lambda i: (list(dict.fromkeys(self.kinds)).index(self.kinds[i]), i)
        )

    def draw(self, among: Sequence[int], u: float) -> int:
        left = u * sum(self.p[i] for i in among)
        for i in among:
            left -= self.p[i]
            if left < 0.0:
                return i
        return among[-1]

    def learn(self, server: ServerId, latency: float) -> bool:
        if server not in self.servers:
            return False
        i = self.servers.index(server)
        threshold = self._update_average(i, latency)
        if latency >= threshold:
            return False
        theta, r = self._tested.theta, len(self.p)
        p_min = FLOOR_SHARE / r
        mine = self.p[i]
        self.p = [x + theta * (p_min - x) for x in self.p]
        self.p[i] = mine + theta * (1.0 - (r - 1) * p_min - mine)
        theta, kind = self._tested.theta_kind, self.kinds[i]
        if theta:
            same = sum(x for x, k in zip(self.p, self.kinds, strict=True) if k == kind)
            lost = theta * (1.0 - same - p_min * (r - self.kinds.count(kind)))
            self.p = [
                x * (1.0 + lost / same) if k == kind else x + theta * (p_min - x)
                for x, k in zip(self.p, self.kinds, strict=True)
            ]
        return True

    def charge(self, server: ServerId, latency: float) -> None:
        mean = self.mean()
        if server in self.servers and mean is not None:
            self._update_average(
                self.servers.index(server), min(max(latency, mean), MAX_FAILURE_MEANS * mean)
            )

    def _update_average(self, i: int, latency: float) -> float:
        mean = self.mean()
        if mean is None:
            self.average = [latency] * len(self.average)
            return latency
        old = self.average[i]
        start = mean if old is None else old
        self.average[i] = start + self._tested.alpha * (latency - start)
        return self.mean() or latency

    def resize(self, weights: Mapping[ServerId, float], kinds: Mapping[ServerId, int]) -> None:
        stay = [s for s in self.servers if s in weights]
        ratios = [self.p[self.servers.index(s)] for s in stay]
        averages = [self.average[self.servers.index(s)] for s in stay]
        new = [s for s in weights if s not in self.servers]
        unit = NEWCOMER_SHARE * sum(ratios) / sum(weights[s] for s in stay) if stay else 1.0
        self.servers = stay + new
        self.average = averages + [None] * len(new)
        self.p = floored(ratios + [unit * weights[s] for s in new])
        kind_order = list(dict.fromkeys(kinds[s] for s in self.servers))
        self.kinds = [min(kind_order.index(kinds[s]), MAX_KINDS - 1) for s in self.servers]


def floored(ratios: Sequence[float]) -> list[float]:
    """Raises shares below the floor to it and scales the others, until none is below."""
    p_min = FLOOR_SHARE / len(ratios) if ratios else 0.0
    low: set[int] = set()
    while True:
        total = sum(x for i, x in enumerate(ratios) if i not in low)
        scale = (1.0 - len(low) * p_min) / total if total > 0 else 0.0
        under = {i for i, x in enumerate(ratios) if i not in low and x * scale < p_min}
        if not under:
            return [p_min if i in low else x * scale for i, x in enumerate(ratios)]
        low |= under
