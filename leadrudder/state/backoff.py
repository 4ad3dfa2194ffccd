"""Exponential back-off with jitter, so that retries of different nodes do not synchronise.

It has no clock and no random source of its own: the owner keeps the time and passes in the node's generator.
"""

from __future__ import annotations

import random


class Backoff:
    """Exponential back-off with jitter.

    The first pause is drawn from zero up to its bound ("full jitter"): a shared cause fails many nodes at
    the same instant, and with less jitter all would retry within half a pause.  Later pauses keep the spread
    that this gives and are drawn from the upper half of the bound, which costs fewer attempts.
    """

    def __init__(self, rng: random.Random, first_bound: float, max_bound: float) -> None:
        """Bounds are upper bounds of the first pause and of any pause, in the owner's unit of time."""
        self._rng = rng
        self._first_bound = first_bound
        self._max_bound = max_bound
        self._failures = 0

    def reset(self) -> None:
        """Record a success: the next failure counts as the first."""
        self._failures = 0

    def next_pause(self) -> float:
        """Record a failure and return how long to wait before the next attempt."""
        bound = min(self._max_bound, self._first_bound * 2.0 ** min(self._failures, 30))
        lower = 0.5 * bound if self._failures else 0.0
        self._failures += 1
        return self._rng.uniform(lower, bound)
