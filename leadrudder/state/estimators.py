"""Running statistics: moving means, decaying rates, token buckets.  They have no clock of their own."""

from __future__ import annotations

import math
from dataclasses import dataclass

LATE_DEVIATIONS = 4.0  # late after mean + this many mean deviations, as in TCP's retransmission timeout
LATE_MIN_MEANS = 2.0  # and after at least this many means, for work that always takes the same time

RESUM_UPDATES_PER_VALUE = 100  # updates per value after which the sum is computed again


@dataclass(slots=True)
class LatencyEstimator:
    """Moving mean and mean deviation of latencies, ms, and the latency beyond which an attempt is late."""

    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, latency: float) -> None:
        if self.mean == 0.0:
            self.mean, self.deviation = latency, latency / 2
        else:
            self.deviation += 0.1 * (abs(latency - self.mean) - self.deviation)
            self.mean += 0.1 * (latency - self.mean)

    def late_threshold(self) -> float:
        return (
            max(self.mean + LATE_DEVIATIONS * self.deviation, LATE_MIN_MEANS * self.mean)
            if self.mean
            else math.inf
        )


@dataclass(slots=True)
class DecayingRate:
    """Exponentially decaying rate of units a millisecond, corrected for the short time since its start."""

    time_constant: float  # ms
    started_at: float | None = None
    count: float = 0.0
    updated_at: float = 0.0

    def add(self, units: float, now: float) -> None:
        if self.started_at is None:
            self.started_at = now
        self.count = self._decayed_count(now) + units
        self.updated_at = now

    def per_ms(self, now: float) -> float:
        if self.started_at is None:
            return 0.0
        return self._decayed_count(now) / (
            self.time_constant * (1.0 - math.exp(-max(now - self.started_at, 1.0) / self.time_constant))
        )

    def _decayed_count(self, now: float) -> float:
        return self.count * math.exp(-(now - self.updated_at) / self.time_constant) if self.count else 0.0


@dataclass(slots=True)
class TokenBucket:
    """Token bucket whose burst is one second's tokens; with a rate of 0 it lets everything through."""

    per_s: float
    tokens: float = 0.0
    refilled_at: float = 0.0  # ms

    @classmethod
    def full(cls, per_s: float) -> TokenBucket:
        return cls(per_s, per_s)

    def try_take(self, now: float) -> bool:
        """Take a token; returns whether there was one."""
        if self.per_s <= 0:
            return True
        self.tokens = min(self.per_s, self.tokens + (now - self.refilled_at) * self.per_s / 1000.0)
        self.refilled_at = now
        taken = self.tokens >= 1.0
        self.tokens -= taken
        return taken


class RunningMeanColumn:
    """Optional values by index (None: not known), with the mean of the known values in O(1)."""

    __slots__ = ("_known_count", "_sum", "_updates", "values")

    def __init__(self, values: list[float | None]) -> None:
        self.values = values
        self._recompute_sum()

    def mean(self) -> float | None:
        return self._sum / self._known_count if self._known_count else None

    def set(self, i: int, value: float) -> None:
        old = self.values[i]
        self.values[i] = value
        self._sum += value - (old or 0.0)
        self._known_count += old is None
        self._updates += 1
        if self._updates > RESUM_UPDATES_PER_VALUE * len(self.values):
            self._recompute_sum()

    def append(self, value: float | None) -> None:
        self.values.append(value)
        self._sum += value or 0.0
        self._known_count += value is not None

    def remove(self, i: int) -> None:
        """Remove a value; the last value moves to its index."""
        old, last = self.values[i], self.values.pop()
        if i < len(self.values):
            self.values[i] = last
        self._sum -= old or 0.0
        self._known_count -= old is not None

    def _recompute_sum(self) -> None:
        """Compute the sum again to remove accumulated rounding errors."""
        known = [value for value in self.values if value is not None]
        self._sum, self._known_count, self._updates = math.fsum(known), len(known), 0
