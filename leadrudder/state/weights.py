"""Weighted random selection from many items in O(log n), where an affine change of all weights costs O(1).

A Fenwick tree of values with a common scale and offset: the weight of an item is scale * value + offset.  A
closed item is never drawn and keeps its value.  Source: P. M. Fenwick, "A new data structure for cumulative
frequency tables", Software: Practice and Experience 24(3), 1994.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Sequence

# A value is a weight divided by the scale, so the rounding error of an addition is 1e-16 of the weights of
# that time, however small the scale, and decays with them: only the range of floats bounds the scale.
MIN_SCALE = 1e-200
REBUILD_ADDITIONS_PER_ITEM = 20  # additions per item after which rounding errors are removed anyway


class FenwickWeights:
    """Weights of n items, by index; draw() takes x in [0, open_weight()).

    touched_nodes counts visited tree nodes, so that a test can measure the cost without a clock.
    """

    __slots__ = (
        "_highest_step",
        "_tree_counts",
        "_tree_sums",
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
        """Apply scale and offset to the values; compute all sums again to remove rounding errors."""
        scale, offset = self.scale, self.offset
        if (scale, offset) != (1.0, 0.0):
            self.values = array("d", (scale * value + offset for value in self.values))
            self.scale, self.offset = 1.0, 0.0
        n = len(self.values)
        self.value_sum = sum(self.values)
        self.open_items = n - sum(self.closed)
        self._highest_step = 1 << max(0, n.bit_length() - 1)
        # Arrays: as lists these were half of the memory that a node uses for 10,000 servers.
        self._tree_sums = array("d", [0.0])
        self._tree_sums.extend(0.0 if c else v for v, c in zip(self.values, self.closed, strict=True))
        self._tree_counts = array("i", [0])
        self._tree_counts.extend(int(not closed) for closed in self.closed)
        for i in range(1, n + 1):
            parent = i + (i & -i)
            if parent <= n:
                self._tree_sums[parent] += self._tree_sums[i]
                self._tree_counts[parent] += self._tree_counts[i]
        self.touched_nodes += n

    def weight(self, i: int) -> float:
        return self.scale * self.values[i] + self.offset

    def total_weight(self) -> float:
        """The sum of all weights, including those of closed items."""
        return self.scale * self.value_sum + self.offset * len(self.values)

    def open_weight(self) -> float:
        """The sum of the weights of the open items."""
        value, count, i = 0.0, 0, len(self.values)
        while i > 0:
            value += self._tree_sums[i]
            count += self._tree_counts[i]
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
            self._add_to_tree(i, value, 0)

    def close(self, i: int) -> None:
        """Exclude an item from all draws."""
        if not self.closed[i]:
            self.closed[i] = True
            self.open_items -= 1
            self._add_to_tree(i, -self.values[i], -1)

    def reopen(self, i: int) -> None:
        if self.closed[i]:
            self.closed[i] = False
            self.open_items += 1
            self._add_to_tree(i, self.values[i], 1)

    def _add_to_tree(self, i: int, value: float, count: int) -> None:
        sums, counts, n = self._tree_sums, self._tree_counts, len(self.values)
        i += 1
        while i <= n:
            sums[i] += value
            counts[i] += count
            self.touched_nodes += 1
            i += i & -i

    def append(self, weight: float) -> None:
        """Append an open item."""
        value = (weight - self.offset) / self.scale
        self.values.append(value)
        self.closed.append(False)
        self.value_sum += value
        self.open_items += 1
        n = len(self.values)
        below, stop, count = n - 1, n - (n & -n), 1
        while below > stop:  # add the sums of the nodes that the new node covers
            value += self._tree_sums[below]
            count += self._tree_counts[below]
            self.touched_nodes += 1
            below &= below - 1
        self._tree_sums.append(value)
        self._tree_counts.append(count)
        self._highest_step = 1 << (n.bit_length() - 1)

    def pop(self) -> tuple[float, bool]:
        """Remove the last item, which no other node covers; returns its value and whether it was closed."""
        value, closed = self.values.pop(), self.closed.pop()
        self.value_sum -= value
        self.open_items -= not closed
        self._tree_sums.pop()
        self._tree_counts.pop()
        self._highest_step = 1 << max(0, len(self.values).bit_length() - 1)
        return value, closed

    def remove(self, i: int) -> None:
        """Take out an item; the last one moves to its index."""
        value, closed = self.pop()
        if i == len(self.values):
            return
        self.reopen(i)
        self._add_to_tree(i, value - self.values[i], 0)
        self.value_sum += value - self.values[i]
        self.values[i] = value
        if closed:
            self.close(i)

    def draw(self, x: float) -> int:
        """The open item in whose interval x lies, the weights of the items laid side by side in order.

        Raises IndexError if no item is open.
        """
        if not self.open_items:
            raise IndexError("no item is open")
        at, step, n = 0, self._highest_step, len(self.values)
        scale, offset, sums, counts = self.scale, self.offset, self._tree_sums, self._tree_counts
        while step:
            reach = at + step
            if reach <= n:
                part = scale * sums[reach] + offset * counts[reach]
                if x >= part:
                    x -= part
                    at = reach
            self.touched_nodes += 1
            step >>= 1
        # Rounding may lead past the last open item, or to a closed one whose sum is not exactly 0.
        return at if at < n and not self.closed[at] else self._nearest_open(at)

    def _nearest_open(self, at: int) -> int:
        """The last open item before an index, or else the first open one."""
        for i in range(min(at, len(self.values)) - 1, -1, -1):
            if not self.closed[i]:
                return i
        return self.closed.index(False)


class GroupedWeights:
    """Weights of items in a few groups; all weights of a group can be changed in O(1).

    Items are known by their index.  A draw from all open items chooses a group first.
    """

    __slots__ = ("_additions", "_group_of", "_index_in_group", "_members", "groups")

    def __init__(self, values: Sequence[float], groups: Sequence[int]) -> None:
        self._additions = 0
        # Arrays of four bytes an item: pairs and lists took ten times as much memory for 10,000 items.
        members: dict[int, array[int]] = {}
        for i, group in enumerate(groups):
            members.setdefault(group, array("i")).append(i)
        self._members = list(members.values())
        self.groups = [FenwickWeights([values[i] for i in indices]) for indices in self._members]
        self._group_of = array("i", bytes(4 * len(values)))  # the group of each item, and its index there
        self._index_in_group = array("i", bytes(4 * len(values)))
        for group, indices in enumerate(self._members):
            for at, i in enumerate(indices):
                self._group_of[i], self._index_in_group[i] = group, at

    def __len__(self) -> int:
        return len(self._index_in_group)

    def weight(self, i: int) -> float:
        return self.groups[self._group_of[i]].weight(self._index_in_group[i])

    def all_weights(self) -> list[float]:
        """All weights by item, in O(n)."""
        return [self.weight(i) for i in range(len(self))]

    def append(self, weight: float, group: int) -> None:
        """Append an open item to an existing group or to the next new one."""
        if group == len(self.groups):
            self.groups.append(FenwickWeights([]))
            self._members.append(array("i"))
        self._group_of.append(group)
        self._index_in_group.append(len(self._members[group]))
        self._members[group].append(len(self) - 1)
        self.groups[group].append(weight)

    def remove(self, i: int) -> None:
        """Take out an item; the last one moves to its index."""
        group, at = self._group_of[i], self._index_in_group[i]
        self.groups[group].remove(at)
        moved = self._members[group].pop()
        if at < len(self._members[group]):
            self._members[group][at] = moved
            self._index_in_group[moved] = at
        last_group, last_at = self._group_of.pop(), self._index_in_group.pop()
        if i < len(self):
            self._group_of[i], self._index_in_group[i] = last_group, last_at
            self._members[last_group][last_at] = i

    def scale_all(self, factor: float, plus: float = 0.0) -> None:
        """Every weight becomes factor * weight + plus."""
        for weights in self.groups:
            weights.scale_all(factor, plus)

    def group_of(self, i: int) -> int:
        return self._group_of[i]

    def add(self, i: int, weight: float) -> None:
        group, at = self._group_of[i], self._index_in_group[i]
        self.groups[group].add(at, weight)
        self._additions += 1

    def set_open(self, i: int, is_open: bool) -> None:
        group, at = self._group_of[i], self._index_in_group[i]
        if is_open:
            self.groups[group].reopen(at)
        else:
            self.groups[group].close(at)

    def needs_rebuild(self) -> bool:
        """Whether the owner should call replace() to remove rounding errors.

        So it is when a scale falls below MIN_SCALE, and after so many additions that the cost for each is
        negligible.
        """
        return self._additions > REBUILD_ADDITIONS_PER_ITEM * len(self) or any(
            w.scale < MIN_SCALE for w in self.groups
        )

    def replace(self, values: Sequence[float]) -> None:
        """Set new weights for all items, which stay open or closed."""
        self._additions = 0
        for weights, indices in zip(self.groups, self._members, strict=True):
            weights.values = array("d", (values[i] for i in indices))
            weights.scale, weights.offset = 1.0, 0.0
            weights.rebuild()

    def draw(self, candidates: Sequence[int], u: float) -> int:
        """Draw from these items by their weights, with u in [0, 1), in O(number of these)."""
        weights = []
        for i in candidates:  # like weight(), without a call for each
            group_weights = self.groups[self._group_of[i]]
            weights.append(
                group_weights.scale * group_weights.values[self._index_in_group[i]] + group_weights.offset
            )
        remaining = u * sum(weights)
        for i, weight in zip(candidates, weights, strict=True):
            remaining -= weight
            if remaining < 0.0:
                return i
        return candidates[-1]

    def draw_open(self, u: float) -> int | None:
        """Draw from all open items by their weights, with u in [0, 1), in O(log n); None if none is open."""
        masses = [weights.open_weight() if weights.open_items else 0.0 for weights in self.groups]
        remaining = u * sum(masses)
        last = None
        for group, mass in enumerate(masses):
            if not self.groups[group].open_items:
                continue
            if remaining < mass:
                return self._members[group][self.groups[group].draw(remaining)]
            remaining -= mass
            last = group
        return None if last is None else self._members[last][self.groups[last].draw(masses[last])]

    def pull_to_mean(self, floor: float, least: float) -> None:
        """Move all weights, of sum 1 and at least `least`, towards their mean until all reach the floor."""
        mean = 1.0 / len(self)
        part = max(0.0, floor - least) / (mean - min(least, floor))
        self.scale_all(1.0 - part, part * mean)


class NewcomerShares:
    """Shares of joining items relative to the settled ones, alike for all newcomers of one list.

    relative_share: share of a newcomer of weight 1, relative to the mean share of the settled items.
    """

    __slots__ = ("_newcomer_weight", "_relative_share", "_settled_items")

    def __init__(self, relative_share: float) -> None:
        self._relative_share = relative_share
        self.reset(0)

    def reset(self, settled: int, weight: float = 0.0) -> None:
        """Start with so many settled items, and with newcomers of this total weight that have joined."""
        self._settled_items, self._newcomer_weight = settled, self._relative_share * weight

    def remove_settled(self) -> None:
        """Count one settled item less."""
        self._settled_items = max(0, self._settled_items - 1)

    def add_newcomer(self, weight: float) -> float:
        """The share of one more newcomer; the others are to keep their ratios."""
        self._newcomer_weight += self._relative_share * weight
        return self._relative_share * weight / (self._settled_items + self._newcomer_weight)


def apply_floor(ratios: Sequence[float], floor: float) -> list[float]:
    """Shares of sum 1, none below the floor (less than the mean); those above it keep their ratios."""
    n = len(ratios)
    above_floor, at_floor = list(range(n)), 0
    while True:
        total = math.fsum(ratios[i] for i in above_floor)
        scale = (1.0 - at_floor * floor) / total if total > 0 else 0.0
        above = [i for i in above_floor if ratios[i] * scale >= floor]
        if len(above) == len(above_floor):
            break
        above_floor, at_floor = above, n - len(above)
    shares = [floor] * n
    for i in above_floor:
        shares[i] = ratios[i] * scale
    return shares
