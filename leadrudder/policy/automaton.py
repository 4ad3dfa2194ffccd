"""The two-time-scale learning automaton that selects the server of the next call and learns from its latency.

It follows the paper, with floored probabilities: only the average of the selected server is updated, and its
payoff is judged against the mean of all averages.
"""

from __future__ import annotations

from collections.abc import Mapping

from leadrudder.interface import ServerId
from leadrudder.state.estimators import RunningMeanColumn
from leadrudder.state.weights import FenwickWeights, GroupedWeights, NewcomerShares, apply_floor

# A node sees few calls over many servers, so both step sizes are far above those of the paper.
ALPHA = 0.15  # a latency average spans about seven calls of its server
# theta = THETA_SHARE / r.  With the floor, the random walk of equal servers stays within a sixth of a share.
THETA_SHARE = 0.06
# N nodes share the calls, so each learns at an N-th of the rate, while the random walks of their vectors
# cancel out in the sum that a server receives.  theta = THETA_PER_NODE * N / r keeps that sum as steady as
# three nodes with THETA_SHARE do.  The same holds for K listed kinds in place of r servers.
THETA_PER_NODE = 0.02
ALPHA_PER_NODE = ALPHA / 3  # for the same reason
MAX_ALPHA = 0.5  # with few calls per server an average still spans two of them
MAX_THETA_PER_ALPHA = 0.1  # the averages must converge well before the shares of servers
MAX_KIND_THETA_PER_ALPHA = 1 / 3  # the share of a kind rests on the averages of many servers
FLOOR_SHARE = 0.4  # p_min = this / r; also pulls shares of servers with equal latency back to uniform
NEWCOMER_SHARE = 1.0  # share of a new server, relative to the mean; capacity.py limits a cold one
MAX_FAILURE_MEANS = 3.0  # cap on a failure's latency, in means, so that a hang does not lift the threshold
MAX_KINDS = 32  # listed kinds with a share of their own


class Automaton:
    """A probability vector over servers with a floor, and a latency average for each.

    A payoff changes all other shares by one affine map, which FenwickWeights stores separately from the
    shares, so that learning and drawing cost O(log r). Servers of one listed kind share a map; a draw
    selects the kind first.
    """

    def __init__(self, nodes: int = 1, floor_share: float = FLOOR_SHARE) -> None:
        self.servers: list[ServerId] = []
        self.averages = RunningMeanColumn([])  # None: not called yet; counts as the mean of the others
        self.alpha = min(max(ALPHA, ALPHA_PER_NODE * nodes), MAX_ALPHA)
        self.theta = 0.0  # set together with the servers
        self.theta_kind = 0.0  # 0 if all servers are of one listed kind
        self._nodes = nodes
        self._floor = floor_share
        self.newcomers = NewcomerShares(NEWCOMER_SHARE)  # of the current list
        self.shares = GroupedWeights([], [])  # the probability vector, grouped by kind
        self._kinds: dict[int, int] = {}  # listed kind -> index of its group

    @property
    def p(self) -> list[float]:
        """All shares.  O(r): for inspection only."""
        return self.shares.all_weights()

    def mean(self) -> float | None:
        """The payoff threshold: the mean of all averages, None before any answer."""
        return self.averages.mean()

    def learn(self, i: int, latency: float) -> bool:
        """Records an answered call: updates the average, and the vector if the latency is below the
        threshold.

        Returns whether it was.  i: the server's index; negative if it is no longer listed.
        """
        if i < 0:
            return False
        threshold = self._update_average(i, latency)
        if latency >= threshold:
            return False
        r, theta = len(self.servers), self.theta
        p_min = self._floor / r
        self.shares.scale_all(1.0 - theta, theta * p_min)
        self.shares.add(i, theta * (1.0 - (r - 1) * p_min - p_min))
        if self.theta_kind:
            self._raise_kind_shares(self.shares.groups[self.shares.group_of(i)], p_min)
        if self.shares.needs_rebuild():
            self._renormalize()
        return True

    def _raise_kind_shares(self, kind: FenwickWeights, p_min: float) -> None:
        """A payoff also raises the shares of the other servers of the same kind, in proportion.

        In a large fleet a node makes too few calls to each server to tell slow hardware from fast before the
        slow servers are overloaded, which took less than four seconds at full size.
        """
        theta, same = self.theta_kind, kind.total_weight()
        lost = theta * (1.0 - same - p_min * (len(self.servers) - len(kind.values)))
        for other in self.shares.groups:
            if other is kind:
                kind.scale_all(1.0 + lost / same)
            else:
                other.scale_all(1.0 - theta, theta * p_min)

    def charge(self, i: int, latency: float) -> None:
        """Records a failed call, which never pays off.  A fast error counts as the mean, a hang is capped."""
        mean = self.mean()
        if i >= 0 and mean is not None:
            self._update_average(i, min(max(latency, mean), MAX_FAILURE_MEANS * mean))

    def _update_average(self, i: int, latency: float) -> float:
        """Updates the average of the selected server; returns the payoff threshold for this call."""
        mean = self.mean()
        if mean is None:  # the first answer initializes all averages
            self.averages = RunningMeanColumn([latency] * len(self.servers))
            return latency
        old = self.averages.values[i]
        start = mean if old is None else old
        self.averages.set(i, start + self.alpha * (latency - start))
        return self.mean() or latency

    def _renormalize(self) -> None:
        """Removes accumulated rounding errors: the shares sum up to 1 again and respect the floor."""
        self.shares.replace(apply_floor(self.p, self._floor / len(self.servers)))

    def resize(self, weights: Mapping[ServerId, float], kinds: Mapping[ServerId, int] | None = None) -> None:
        """Replaces the set of servers: those that stay keep their ratios, a new one gets NEWCOMER_SHARE."""
        index = {s: i for i, s in enumerate(self.servers)}
        stay = [s for s in self.servers if s in weights]
        ratios: list[float] = [self.shares.weight(index[s]) for s in stay]
        averages: list[float | None] = [self.averages.values[index[s]] for s in stay]
        new = [s for s in weights if s not in index]
        unit = NEWCOMER_SHARE * sum(ratios) / sum(weights[s] for s in stay) if stay else 1.0
        self.newcomers.reset(len(stay), sum(weights[s] for s in new))
        self.servers = stay + new
        self.averages = RunningMeanColumn(averages + [None] * len(new))
        # A payoff costs O(kinds), so the kinds beyond MAX_KINDS share one group.
        named = [kinds[s] if kinds else 0 for s in self.servers]
        self._kinds = {kind: min(at, MAX_KINDS - 1) for at, kind in enumerate(dict.fromkeys(named))}
        groups = [self._kinds[kind] for kind in named]
        ratios += [unit * weights[s] for s in new]
        self.shares = GroupedWeights(apply_floor(ratios, self._floor / max(1, len(ratios))), groups)
        self._set_step_sizes()

    def join(self, server: ServerId, weight: float, kind: int) -> None:
        """Adds one server, with a weight relative to the mean of the others, which keep their ratios."""
        r = len(self.servers) + 1
        new = min(max(self.newcomers.add_newcomer(weight), self._floor / r), 1 / 2)
        self.servers.append(server)
        self.averages.append(None)
        self.shares.scale_all(1.0 - new)
        group = self._kinds.setdefault(kind, min(len(self._kinds), MAX_KINDS - 1))
        self.shares.append(new, group)
        self._apply_floor(min(new, (1.0 - new) * self._floor / (r - 1)))

    def leave(self, i: int) -> None:
        """Removes one server; the last one takes over its index, and the others keep their ratios."""
        self.newcomers.remove_settled()
        r, mine, last = len(self.servers) - 1, self.shares.weight(i), self.servers.pop()
        self.shares.remove(i)
        self.averages.remove(i)
        if i < r:
            self.servers[i] = last
        if r:
            self.shares.scale_all(1.0 / (1.0 - mine))
            self._apply_floor(self._floor / (r + 1) / (1.0 - mine))

    def _apply_floor(self, lower_bound: float) -> None:
        """Applies the floor that follows from the new r; lower_bound: of the present shares."""
        self.shares.pull_to_mean(self._floor / len(self.servers), lower_bound)
        if self.shares.needs_rebuild():
            self._renormalize()
        self._set_step_sizes()

    def _set_step_sizes(self) -> None:
        of_nodes, different = THETA_PER_NODE * self._nodes, len(self._kinds)
        if self.servers:
            self.theta = min(max(THETA_SHARE, of_nodes) / len(self.servers), MAX_THETA_PER_ALPHA * self.alpha)
            step = min(of_nodes / min(different, MAX_KINDS), MAX_KIND_THETA_PER_ALPHA * self.alpha)
            self.theta_kind = step if different > 1 else 0.0
