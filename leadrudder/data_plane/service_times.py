"""Service times of the local server, learned from completed calls. No I/O."""

from __future__ import annotations

import math
from collections import OrderedDict

INITIAL_SERVICE_TIME_MS = 50.0  # before any call has ended
SMOOTHING_FACTOR = 0.1  # of the moving averages, which span about ten calls
MAX_KINDS = 64  # kinds of calls with an average of their own
SHORT_CALL_FRACTION = 0.4  # of the mean of long calls; a kind that takes less is short
ARRIVAL_WINDOW_S = 1.0  # time constant of the average


class ServiceTimes:
    """Moving averages of service times in milliseconds, over all calls and for each kind of call.

    The kind of a call is the target time of its route; 0 if its origin did not send it.
    """

    def __init__(self) -> None:
        self.mean_ms = INITIAL_SERVICE_TIME_MS
        self.long_mean_ms = INITIAL_SERVICE_TIME_MS  # of all calls except short ones
        self._by_kind: OrderedDict[float, float] = OrderedDict()

    def observe(self, target_ms: float, elapsed_ms: float) -> None:
        """Record a completed call."""
        self.mean_ms += SMOOTHING_FACTOR * (elapsed_ms - self.mean_ms)
        if not self.is_short(target_ms):
            self.long_mean_ms += SMOOTHING_FACTOR * (elapsed_ms - self.long_mean_ms)
        if not target_ms:
            return
        average = self._by_kind.get(target_ms, elapsed_ms)
        self._by_kind[target_ms] = average + SMOOTHING_FACTOR * (elapsed_ms - average)
        self._by_kind.move_to_end(target_ms)
        while len(self._by_kind) > MAX_KINDS:
            self._by_kind.popitem(last=False)

    def expected_ms(self, target_ms: float) -> float:
        """The expected service time of a call of this kind."""
        return self._by_kind.get(target_ms, self.mean_ms)

    def is_short(self, target_ms: float) -> bool:
        """Whether calls of this kind take much less time than others."""
        return self.expected_ms(target_ms) < SHORT_CALL_FRACTION * self.long_mean_ms


class ArrivalRate:
    """Arrivals per second, as an exponentially decaying average over about ARRIVAL_WINDOW_S."""

    def __init__(self) -> None:
        self._count = 0.0  # arrivals, each weighted by its age
        self._counted_at = 0.0

    def observe(self, now: float) -> None:
        """Record an arrival."""
        self._count = self._decayed(now) + 1.0
        self._counted_at = now

    def per_s(self, now: float) -> float:
        return self._decayed(now) / ARRIVAL_WINDOW_S

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._counted_at - now) / ARRIVAL_WINDOW_S)
