"""Plain running statistics: means that move, rates that fade.  No decisions, no clock of their own."""

from __future__ import annotations

import math
from dataclasses import dataclass

LATE_DEVIATIONS = 4.0  # patience = mean + this many mean deviations, as in TCP's time-out
LATE_MIN_MEANS = 2.0  # and at least this many means, for work that always takes the same time

RESUM_MOVES_PER_VALUE = 100  # moves for each value after which a column is summed anew


@dataclass(slots=True)
class LatencyEstimator:
    """Mean and mean deviation of served latencies: what an attempt may take before it is late."""

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
    """An exponentially fading count of units a millisecond, true from its first moments on."""

    time_constant: float
    started_at: float | None = None
    count: float = 0.0
    updated_at: float = 0.0

    def add(self, units: float, now: float) -> None:
        if self.started_at is None:
            self.started_at = now
        self.count = self._faded(now) + units
        self.updated_at = now

    def per_ms(self, now: float) -> float:
        if self.started_at is None:
            return 0.0
        return self._faded(now) / (
            self.time_constant * (1.0 - math.exp(-max(now - self.started_at, 1.0) / self.time_constant))
        )

    def _faded(self, now: float) -> float:
        return self.count * math.exp(-(now - self.updated_at) / self.time_constant) if self.count else 0.0


@dataclass(slots=True)
class TokenBucket:
    """So many tokens a second, a second's worth at most; one of no rate lets everything through."""

    per_s: float
    tokens: float = 0.0
    refilled_at: float = 0.0  # ms

    @classmethod
    def full(cls, per_s: float) -> TokenBucket:
        return cls(per_s, per_s)

    def try_take(self, now: float) -> bool:
        """Whether there was one to take."""
        if self.per_s <= 0:
            return True
        self.tokens = min(self.per_s, self.tokens + (now - self.refilled_at) * self.per_s / 1000.0)
        self.refilled_at = now
        inside = self.tokens >= 1.0
        self.tokens -= inside
        return inside


class RunningMeanColumn:
    """A value for each of many, None where it is not known, and the mean of the known ones in O(1)."""

    __slots__ = ("_known", "_moves", "_sum", "values")

    def __init__(self, values: list[float | None]) -> None:
        self.values = values
        self._sum_anew()

    def mean(self) -> float | None:
        return self._sum / self._known if self._known else None

    def set(self, i: int, value: float) -> None:
        old = self.values[i]
        self.values[i] = value
        self._sum += value - (old or 0.0)
        self._known += old is None
        self._moves += 1
        if self._moves > RESUM_MOVES_PER_VALUE * len(self.values):
            self._sum_anew()

    def append(self, value: float | None) -> None:
        self.values.append(value)
        self._sum += value or 0.0
        self._known += value is not None

    def remove(self, i: int) -> None:
        """Take one out; the last moves to its index."""
        old, last = self.values[i], self.values.pop()
        if i < len(self.values):
            self.values[i] = last
        self._sum -= old or 0.0
        self._known -= old is not None

    def _sum_anew(self) -> None:
        """What rounding has summed up is gone."""
        known = [value for value in self.values if value is not None]
        self._sum, self._known, self._moves = math.fsum(known), len(known), 0
