"""Weighted draws over many items in O(log n), where a change of all weights at once costs O(1).

A Fenwick tree of numbers that are kept apart from one scale and one offset: an item's weight is
scale * value + offset.  Items can be closed: those are drawn by nobody and keep their value.  A plain data
structure; what the weights mean is its owner's.  Source: P. M. Fenwick, "A new data structure for cumulative
frequency tables", Software: Practice and Experience 24(3), 1994.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Sequence

# A value is a weight divided by the scale, so what rounding adds to a sum is a 1e-16th part of the weights of
# that time, however small the scale has become, and fades with them: only the range of floats bounds it.
MIN_SCALE = 1e-200
REBUILD_ADDITIONS_PER_ITEM = 20  # additions for each item after which rounding is taken out all the same


class FenwickWeights:
    """Weights of n items, by index; all draws take x in [0, mass of the open).

    steps counts the tree's nodes that were touched, so that a test can tell the cost without a clock.
    """

    __slots__ = (
        "_count",
        "_sum",
        "_top",
        "closed",
        "offset",
        "open_items",
        "scale",
        "touched_nodes",
        "value_sum",
        "values",
    )

    def __init__(self, values: Sequence[float]) -> None:
        self.values = array("d", values)
        self.closed = [False] * len(self.values)
        self.scale, self.offset = 1.0, 0.0
        self.touched_nodes = 0
        self.rebuild()

    def rebuild(self) -> None:
        """Take scale and offset into the values, and sum all anew: what rounding has summed up is gone."""
        scale, offset = self.scale, self.offset
        if (scale, offset) != (1.0, 0.0):
            self.values = array("d", (scale * value + offset for value in self.values))
            self.scale, self.offset = 1.0, 0.0
        n = len(self.values)
        self.value_sum = sum(self.values)
        self.open_items = n - sum(self.closed)
        self._top = 1 << max(0, n.bit_length() - 1)
        # Machine numbers: as lists these were half of what a node keeps of 10,000 servers.
        self._sum = array("d", [0.0])
        self._sum.extend(0.0 if c else v for v, c in zip(self.values, self.closed, strict=True))
        self._count = array("i", [0])
        self._count.extend(int(not closed) for closed in self.closed)
        for i in range(1, n + 1):
            parent = i + (i & -i)
            if parent <= n:
                self._sum[parent] += self._sum[i]
                self._count[parent] += self._count[i]
        self.touched_nodes += n

    def weight(self, i: int) -> float:
        return self.scale * self.values[i] + self.offset

    def total_weight(self) -> float:
        """The sum of all weights, closed ones among them."""
        return self.scale * self.value_sum + self.offset * len(self.values)

    def open_weight(self) -> float:
        """The sum of the weights that can be drawn."""
        value, count, i = 0.0, 0, len(self.values)
        while i > 0:
            value += self._sum[i]
            count += self._count[i]
            i &= i - 1
        return self.scale * value + self.offset * count

    def scale_all(self, factor: float, plus: float = 0.0) -> None:
        """Every weight becomes factor * weight + plus."""
        self.scale *= factor
        self.offset = self.offset * factor + plus

    def add(self, i: int, weight: float) -> None:
        """Add to one item's weight."""
        value = weight / self.scale
        self.values[i] += value
        self.value_sum += value
        if not self.closed[i]:
            self._change(i, value, 0)

    def close(self, i: int) -> None:
        """Leave an item out of all draws."""
        if not self.closed[i]:
            self.closed[i] = True
            self.open_items -= 1
            self._change(i, -self.values[i], -1)

    def reopen(self, i: int) -> None:
        if self.closed[i]:
            self.closed[i] = False
            self.open_items += 1
            self._change(i, self.values[i], 1)

    def _change(self, i: int, value: float, count: int) -> None:
        sums, counts, n = self._sum, self._count, len(self.values)
        i += 1
        while i <= n:
            sums[i] += value
            counts[i] += count
            self.touched_nodes += 1
            i += i & -i

    def append(self, weight: float) -> None:
        """One more item, open and the last."""
        value = (weight - self.offset) / self.scale
        self.values.append(value)
        self.closed.append(False)
        self.value_sum += value
        self.open_items += 1
        n = len(self.values)
        below, stop, count = n - 1, n - (n & -n), 1
        while below > stop:  # the nodes that the new one covers
            value += self._sum[below]
            count += self._count[below]
            self.touched_nodes += 1
            below &= below - 1
        self._sum.append(value)
        self._count.append(count)
        self._top = 1 << (n.bit_length() - 1)

    def pop(self) -> tuple[float, bool]:
        """Take out the last item: its value and whether it was closed.  No other node covers it."""
        value, closed = self.values.pop(), self.closed.pop()
        self.value_sum -= value
        self.open_items -= not closed
        self._sum.pop()
        self._count.pop()
        self._top = 1 << max(0, len(self.values).bit_length() - 1)
        return value, closed

    def remove(self, i: int) -> None:
        """Take out an item; the last one moves to its index."""
        value, closed = self.pop()
        if i == len(self.values):
            return
        self.reopen(i)
        self._change(i, value - self.values[i], 0)
        self.value_sum += value - self.values[i]
        self.values[i] = value
        if closed:
            self.close(i)

    def draw(self, x: float) -> int:
        """The open item in whose stretch x lies, the items side by side in order; IndexError if none is
        open."""
        if not self.open_items:
            raise IndexError("no item is open")
        at, step, n = 0, self._top, len(self.values)
        scale, offset, sums, counts = self.scale, self.offset, self._sum, self._count
        while step:
            reach = at + step
            if reach <= n:
                part = scale * sums[reach] + offset * counts[reach]
                if x >= part:
                    x -= part
                    at = reach
            self.touched_nodes += 1
            step >>= 1
        # Rounding may lead past the last open item, or to a closed one whose sum is not quite nothing.
        return at if at < n and not self.closed[at] else self._open_before(at)

    def _open_before(self, at: int) -> int:
        """The last open item before an index, or the first open one after it."""
        for i in range(min(at, len(self.values)) - 1, -1, -1):
            if not self.closed[i]:
                return i
        return self.closed.index(False)


class GroupedWeights:
    """Weights of items that are each in one of a few groups; a group's change at once.

    groups: of each item.  Items are known by their index; a draw takes a group first.
    """

    __slots__ = ("_added", "_at", "_group", "_members", "groups")

    def __init__(self, values: Sequence[float], groups: Sequence[int]) -> None:
        self._added = 0
        # Machine numbers, four bytes each: a list of 10,000 as pairs and lists took ten times as much.
        members: dict[int, array[int]] = {}
        for i, group in enumerate(groups):
            members.setdefault(group, array("i")).append(i)
        self._members = list(members.values())
        self.groups = [FenwickWeights([values[i] for i in indices]) for indices in self._members]
        self._group = array("i", bytes(4 * len(values)))  # of each item, and its index there
        self._at = array("i", bytes(4 * len(values)))
        for group, indices in enumerate(self._members):
            for at, i in enumerate(indices):
                self._group[i], self._at[i] = group, at

    def __len__(self) -> int:
        return len(self._at)

    def weight(self, i: int) -> float:
        return self.groups[self._group[i]].weight(self._at[i])

    def all_weights(self) -> list[float]:
        """Every weight: O(n)."""
        return [self.weight(i) for i in range(len(self))]

    def append(self, weight: float, group: int) -> None:
        """One more item, open and the last, in a group: one that is there, or the next."""
        if group == len(self.groups):
            self.groups.append(FenwickWeights([]))
            self._members.append(array("i"))
        self._group.append(group)
        self._at.append(len(self._members[group]))
        self._members[group].append(len(self) - 1)
        self.groups[group].append(weight)

    def remove(self, i: int) -> None:
        """Take out an item; the last one moves to its index."""
        group, at = self._group[i], self._at[i]
        self.groups[group].remove(at)
        moved = self._members[group].pop()
        if at < len(self._members[group]):
            self._members[group][at] = moved
            self._at[moved] = at
        last_group, last_at = self._group.pop(), self._at.pop()
        if i < len(self):
            self._group[i], self._at[i] = last_group, last_at
            self._members[last_group][last_at] = i

    def scale_all(self, factor: float, plus: float = 0.0) -> None:
        """Every weight becomes factor * weight + plus."""
        for weights in self.groups:
            weights.scale_all(factor, plus)

    def group_of(self, i: int) -> int:
        return self._group[i]

    def add(self, i: int, weight: float) -> None:
        group, at = self._group[i], self._at[i]
        self.groups[group].add(at, weight)
        self._added += 1

    def set_open(self, i: int, is_open: bool) -> None:
        group, at = self._group[i], self._at[i]
        if is_open:
            self.groups[group].reopen(at)
        else:
            self.groups[group].close(at)

    def needs_rebuild(self) -> bool:
        """Whether all should be summed anew (replace): a scale nears the least that floats have room for, or
        enough has been added for that to cost each addition next to nothing."""
        return self._added > REBUILD_ADDITIONS_PER_ITEM * len(self) or any(
            w.scale < MIN_SCALE for w in self.groups
        )

    def replace(self, values: Sequence[float]) -> None:
        """New weights for all items, which stay open or closed."""
        self._added = 0
        for weights, indices in zip(self.groups, self._members, strict=True):
            weights.values = array("d", (values[i] for i in indices))
            weights.scale, weights.offset = 1.0, 0.0
            weights.rebuild()

    def draw(self, among: Sequence[int], u: float) -> int:
        """By u in [0, 1) from these items, by their weights, in O(of these)."""
        weights = []
        for i in among:  # as weight does, without a call for each
            of = self.groups[self._group[i]]
            weights.append(of.scale * of.values[self._at[i]] + of.offset)
        left = u * sum(weights)
        for i, weight in zip(among, weights, strict=True):
            left -= weight
            if left < 0.0:
                return i
        return among[-1]

    def draw_open(self, u: float) -> int | None:
        """By u in [0, 1) from all that are open, by their weights, in O(log n); None where none is."""
        masses = [weights.open_weight() if weights.open_items else 0.0 for weights in self.groups]
        left = u * sum(masses)
        last = None
        for group, mass in enumerate(masses):
            if not self.groups[group].open_items:
                continue
            if left < mass:
                return self._members[group][self.groups[group].draw(left)]
            left -= mass
            last = group
        return None if last is None else self._members[last][self.groups[last].draw(masses[last])]

    def pull_to_mean(self, floor: float, least: float) -> None:
        """Move all weights, which sum to 1 and are at least `least`, to their mean as a floor asks for."""
        mean = 1.0 / len(self)
        part = max(0.0, floor - least) / (mean - min(least, floor))
        self.scale_all(1.0 - part, part * mean)


class NewcomerShares:
    """What those that join count against those that were there, so that all of one list stand alike.

    part: of the mean share of those that were there, for a newcomer of weight 1.
    """

    __slots__ = ("_part", "_settled", "_weight")

    def __init__(self, part: float) -> None:
        self._part = part
        self.reset(0)

    def reset(self, settled: int, weight: float = 0.0) -> None:
        """So many were there before, and newcomers of this weight have joined."""
        self._settled, self._weight = settled, self._part * weight

    def remove_settled(self) -> None:
        """One of those that were there goes."""
        self._settled = max(0, self._settled - 1)

    def add_newcomer(self, weight: float) -> float:
        """Of one more newcomer, while all others keep their ratios."""
        self._weight += self._part * weight
        return self._part * weight / (self._settled + self._weight)


def apply_floor(ratios: Sequence[float], floor: float) -> list[float]:
    """Shares that sum to 1 and keep the ratios of all that stand above the floor (less than the mean)."""
    n = len(ratios)
    free, low = list(range(n)), 0
    while True:
        total = math.fsum(ratios[i] for i in free)
        scale = (1.0 - low * floor) / total if total > 0 else 0.0
        above = [i for i in free if ratios[i] * scale >= floor]
        if len(above) == len(free):
            break
        free, low = above, n - len(above)
    shares = [floor] * n
    for i in free:
        shares[i] = ratios[i] * scale
    return shares
