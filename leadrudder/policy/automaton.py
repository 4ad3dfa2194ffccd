"""The two-time-scale learning automaton: which server the next call is drawn for, and what is learned of it.

The paper's, with its floored draws: only the chosen server's average moves, and its payoff is judged against
the mean of all averages.
"""

from __future__ import annotations

from collections.abc import Mapping

from leadrudder.interface import ServerId
from leadrudder.state.estimators import RunningMeanColumn
from leadrudder.state.weights import FenwickWeights, GroupedWeights, NewcomerShares, apply_floor

# The automaton.  A copy sees few calls over many servers, so both steps are far above the paper's.
ALPHA = 0.15  # an average spans about seven of its server's calls
THETA_SHARE = 0.06  # theta = this / r; with the floor the walk of equals stays under a sixth of a share
# N nodes share the calls, so each learns at an N-th of the rate, while the walks of their vectors cancel out
# in what a server gets from all of them.  theta = this * N / r keeps that sum as steady as three nodes at
# the share above keep it; over K listed kinds in place of r servers the same holds.
THETA_NODES = 0.02
ALPHA_NODES = ALPHA / 3  # per node, for the same reason
ALPHA_MOST = 0.5  # an average of a sparse view still spans two calls
THETA_MOST = 0.1  # of alpha: the averages must stay well ahead of the shares of servers
THETA_KIND_MOST = 1 / 3  # of alpha: the shares of kinds rest on the averages of many servers
FLOOR_SHARE = 0.4  # p_min = this / r; also pulls shares that latency cannot tell apart back to uniform
NEWCOMER_SHARE = 1.0  # of the mean share: a newcomer starts as all do; what a cold one gets is capacity.py's
CHARGE_CAP = 3.0  # a failure enters an average at no more than this many means: silence lifts no threshold
KINDS_MOST = 32  # listed kinds that are told from each other


class Automaton:
    """A floored probability vector over servers and a latency average for each.

    A payoff moves all other shares by one affine map, which FenwickWeights keeps apart from the shares:
    learning and drawing cost O(log r).  Servers of one listed kind share a map; the draw takes a kind first.
    """

    def __init__(self, nodes: int = 1, floor_share: float = FLOOR_SHARE) -> None:
        self.servers: list[ServerId] = []
        self.averages = RunningMeanColumn([])  # None: not called yet, counts as the mean of the others
        self.alpha = min(max(ALPHA, ALPHA_NODES * nodes), ALPHA_MOST)
        self.theta = 0.0  # the steps are set with the servers
        self.theta_kind = 0.0  # 0 where all are listed as of one kind
        self._nodes = nodes
        self._floor = floor_share
        self.newcomers = NewcomerShares(NEWCOMER_SHARE)  # of the list at hand
        self.shares = GroupedWeights([], [])  # the vector, by kinds
        self._kinds: dict[int, int] = {}  # listed kinds, and the group of each

    @property
    def p(self) -> list[float]:
        """All shares: O(r), for those who want to see them."""
        return self.shares.all_weights()

    def mean(self) -> float | None:
        """The payoff threshold: the mean of all averages, None before any answer."""
        return self.averages.mean()

    def learn(self, i: int, latency: float) -> bool:
        """An answered call: move its server's average, and the vector if the call paid off.

        i: the server's index; less than 0 for one that is listed no more.
        """
        if i < 0:
            return False
        threshold = self._move(i, latency)
        if latency >= threshold:
            return False
        r, theta = len(self.servers), self.theta
        p_min = self._floor / r
        self.shares.scale_all(1.0 - theta, theta * p_min)
        self.shares.add(i, theta * (1.0 - (r - 1) * p_min - p_min))
        if self.theta_kind:
            self._favour_kind(self.shares.groups[self.shares.group_of(i)], p_min)
        if self.shares.needs_rebuild():
            self._renew()
        return True

    def _favour_kind(self, kind: FenwickWeights, p_min: float) -> None:
        """A payoff speaks for the servers listed as of the same kind, too: their shares grow in proportion.

        Guards against a fleet in which a node's calls to any one server are too few to tell slow machines
        from fast ones before the slow are driven into the ground, seen within four seconds at full size.
        """
        theta, same = self.theta_kind, kind.total_weight()
        lost = theta * (1.0 - same - p_min * (len(self.servers) - len(kind.values)))
        for other in self.shares.groups:
            if other is kind:
                kind.scale_all(1.0 + lost / same)
            else:
                other.scale_all(1.0 - theta, theta * p_min)

    def charge(self, i: int, latency: float) -> None:
        """A failed call: a miss.  A fast error must not look quick, nor a silence lift the threshold."""
        mean = self.mean()
        if i >= 0 and mean is not None:
            self._move(i, min(max(latency, mean), CHARGE_CAP * mean))

    def _move(self, i: int, latency: float) -> float:
        """Move the chosen server's average only; returns the threshold for this call."""
        mean = self.mean()
        if mean is None:  # the first answer of all is every server's starting value
            self.averages = RunningMeanColumn([latency] * len(self.servers))
            return latency
        old = self.averages.values[i]
        start = mean if old is None else old
        self.averages.set(i, start + self.alpha * (latency - start))
        return self.mean() or latency

    def _renew(self) -> None:
        """Take out what rounding has summed up: all anew, to 1 in all and at the floor or above."""
        self.shares.replace(apply_floor(self.p, self._floor / len(self.servers)))

    def resize(self, weights: Mapping[ServerId, float], kinds: Mapping[ServerId, int] | None = None) -> None:
        """Take in a new set of servers: the others keep their ratios, a newcomer gets a modest share."""
        index = {s: i for i, s in enumerate(self.servers)}
        stay = [s for s in self.servers if s in weights]
        ratios: list[float] = [self.shares.weight(index[s]) for s in stay]
        averages: list[float | None] = [self.averages.values[index[s]] for s in stay]
        new = [s for s in weights if s not in index]
        unit = NEWCOMER_SHARE * sum(ratios) / sum(weights[s] for s in stay) if stay else 1.0
        self.newcomers.reset(len(stay), sum(weights[s] for s in new))
        self.servers = stay + new
        self.averages = RunningMeanColumn(averages + [None] * len(new))
        # A payoff looks at all kinds: a list that names very many has the last of them in one.
        named = [kinds[s] if kinds else 0 for s in self.servers]
        self._kinds = {kind: min(at, KINDS_MOST - 1) for at, kind in enumerate(dict.fromkeys(named))}
        groups = [self._kinds[kind] for kind in named]
        ratios += [unit * weights[s] for s in new]
        self.shares = GroupedWeights(apply_floor(ratios, self._floor / max(1, len(ratios))), groups)
        self._set_steps()

    def join(self, server: ServerId, weight: float, kind: int) -> None:
        """One more server, of this weight against the mean of the others: the others keep their ratios."""
        r = len(self.servers) + 1
        new = min(max(self.newcomers.add_newcomer(weight), self._floor / r), 1 / 2)
        self.servers.append(server)
        self.averages.append(None)
        self.shares.scale_all(1.0 - new)
        group = self._kinds.setdefault(kind, min(len(self._kinds), KINDS_MOST - 1))
        self.shares.append(new, group)
        self._hold_floor(min(new, (1.0 - new) * self._floor / (r - 1)))

    def leave(self, i: int) -> None:
        """One server goes, and the last takes its index: the others keep their ratios."""
        self.newcomers.remove_settled()
        r, mine, last = len(self.servers) - 1, self.shares.weight(i), self.servers.pop()
        self.shares.remove(i)
        self.averages.remove(i)
        if i < r:
            self.servers[i] = last
        if r:
            self.shares.scale_all(1.0 / (1.0 - mine))
            self._hold_floor(self._floor / (r + 1) / (1.0 - mine))

    def _hold_floor(self, least: float) -> None:
        """The floor has moved with r, and no share is under the least."""
        self.shares.pull_to_mean(self._floor / len(self.servers), least)
        if self.shares.needs_rebuild():
            self._renew()
        self._set_steps()

    def _set_steps(self) -> None:
        of_nodes, different = THETA_NODES * self._nodes, len(self._kinds)
        if self.servers:
            self.theta = min(max(THETA_SHARE, of_nodes) / len(self.servers), THETA_MOST * self.alpha)
            step = min(of_nodes / min(different, KINDS_MOST), THETA_KIND_MOST * self.alpha)
            self.theta_kind = step if different > 1 else 0.0
