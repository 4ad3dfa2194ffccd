"""How long calls take at the server beside a node, learned from those that have ended. No I/O."""

from __future__ import annotations

import math
from collections import OrderedDict

USUAL_MS = 50.0  # before any call has ended
STEP = 0.1  # of a moving average: it spans about ten calls
MAX_KINDS = 64  # kinds of calls that are told apart
SHORT_PART = 0.4  # a kind that takes less than this part of the usual time is short
RATE_SPAN_S = 1.0  # over which arrivals are averaged


class ServiceTimes:
    """Moving averages of service times in milliseconds: of all calls, and of each kind.

    A call's kind is its route's target; 0 where its origin does not tell it.
    """

    def __init__(self) -> None:
        self.mean_ms = USUAL_MS
        self.long_mean_ms = USUAL_MS  # of all calls but short ones
        self._by_kind: OrderedDict[float, float] = OrderedDict()

    def observe(self, target_ms: float, elapsed_ms: float) -> None:
        """A call has ended after so long."""
        self.mean_ms += STEP * (elapsed_ms - self.mean_ms)
        if not self.is_short(target_ms):
            self.long_mean_ms += STEP * (elapsed_ms - self.long_mean_ms)
        if not target_ms:
            return
        average = self._by_kind.get(target_ms, elapsed_ms)
        self._by_kind[target_ms] = average + STEP * (elapsed_ms - average)
        self._by_kind.move_to_end(target_ms)
        while len(self._by_kind) > MAX_KINDS:
            self._by_kind.popitem(last=False)

    def expected_ms(self, target_ms: float) -> float:
        """What a call of this kind is likely to take."""
        return self._by_kind.get(target_ms, self.mean_ms)

    def is_short(self, target_ms: float) -> bool:
        """Whether calls of this kind take much less than others."""
        return self.expected_ms(target_ms) < SHORT_PART * self.long_mean_ms


class ArrivalRate:
    """Arrivals a second, averaged over about RATE_SPAN_S."""

    def __init__(self) -> None:
        self._count = 0.0  # each arrival weighs less the longer ago it was
        self._counted_at = 0.0

    def observe(self, now: float) -> None:
        """One has arrived."""
        self._count = self._decayed(now) + 1.0
        self._counted_at = now

    def per_s(self, now: float) -> float:
        return self._decayed(now) / RATE_SPAN_S

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._counted_at - now) / RATE_SPAN_S)
