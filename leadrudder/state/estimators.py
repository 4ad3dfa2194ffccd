"""Plain running statistics: means that move, rates that fade.  No decisions, no clock of their own."""

from __future__ import annotations

import math
from dataclasses import dataclass

DEVIATIONS = 4.0  # patience = mean + this many mean deviations, as in TCP's time-out
LATE_LEAST = 2.0  # and at least this many means, for work that always takes the same time

SUM_ANEW = 100  # moves for each value after which a column is summed anew


@dataclass(slots=True)
class Patience:
    """Mean and mean deviation of served latencies: what an attempt may take before it is late."""

    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, latency: float) -> None:
        if self.mean == 0.0:
            self.mean, self.deviation = latency, latency / 2
        else:
            self.deviation += 0.1 * (abs(latency - self.mean) - self.deviation)
            self.mean += 0.1 * (latency - self.mean)

    def late(self) -> float:
        return max(self.mean + DEVIATIONS * self.deviation, LATE_LEAST * self.mean) if self.mean else math.inf


@dataclass(slots=True)
class Rate:
    """An exponentially fading count of units a millisecond, true from its first moments on."""

    span: float
    start: float | None = None
    count: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        if self.start is None:
            self.start = now
        self.count = self._faded(now) + units
        self.at = now

    def per_ms(self, now: float) -> float:
        if self.start is None:
            return 0.0
        return self._faded(now) / (self.span * (1.0 - math.exp(-max(now - self.start, 1.0) / self.span)))

    def _faded(self, now: float) -> float:
        return self.count * math.exp(-(now - self.at) / self.span) if self.count else 0.0


@dataclass(slots=True)
class TokenBucket:
    """So many tokens a second, a second's worth at most; one of no rate lets everything through."""

    per_s: float
    tokens: float = 0.0
    at: float = 0.0  # ms

    @classmethod
    def full(cls, per_s: float) -> TokenBucket:
        return cls(per_s, per_s)

    def take(self, now: float) -> bool:
        """Whether there was one to take."""
        if self.per_s <= 0:
            return True
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s / 1000.0)
        self.at = now
        inside = self.tokens >= 1.0
        self.tokens -= inside
        return inside


class Column:
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
        if self._moves > SUM_ANEW * len(self.values):
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
