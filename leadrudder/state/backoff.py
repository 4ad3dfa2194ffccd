"""Pauses between tries of what has failed: longer each time, and never in step with those of other nodes.

No clock and no random source of its own: its owner keeps the time and hands in the node's.
"""

from __future__ import annotations

import random


class Backoff:
    """Exponential back-off with jitter.

    The first pause is drawn from nothing up to its bound ("full jitter"): what fails at many nodes fails at
    the same instant, and they would all be back within half a pause.  Later ones keep the spread that is
    there, and are drawn from the upper half, which costs fewer tries.
    """

    def __init__(self, rng: random.Random, first: float, most: float) -> None:
        """first, most: bounds of the first pause and of any, in the owner's unit of time."""
        self._rng = rng
        self._first = first
        self._most = most
        self._failed = 0

    def reset(self) -> None:
        """It has worked: the next failure is a first one."""
        self._failed = 0

    def next_pause(self) -> float:
        """After one more failure: how long to wait."""
        bound = min(self._most, self._first * 2.0 ** min(self._failed, 30))
        least = 0.5 * bound if self._failed else 0.0
        self._failed += 1
        return self._rng.uniform(least, bound)
