"""What a request is worth to those who asked: by class, tenant's share, and whether it can still count.

The last is foretold from the cost hint.  On a day of overload 23% of all work sent was answered too late to
be worth anything, most of it by requests whose hint told so beforehand.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from leadrudder.interface import Arrival, Settings
from leadrudder.state.estimators import TokenBucket

COST_MEAN_STEP = 0.02  # of the mean cost hint

OBSERVATION_DECAY = 0.98  # of what is known, at each answer of the class
MIN_OBSERVATION_WEIGHT = 20.0  # weight of answers before anything is foretold
MIN_SCALE_SHARE = 0.25  # of the mean time: what is foretold shorter weighs no more
SPREAD_STEP = 0.02
SPREAD_START = 0.7
SPREAD_MIN = 0.1
MAX_RATIO = 20.0  # one answer says no more than this about the spread

HOPELESS_SHARE = 0.5  # expected part of its worth below which a request may wait for what can still count


@dataclass(slots=True)
class CostLatencyFit:
    """What a class's answers take by their cost: a straight line, fitted to the relative error.

    Weights fade, so that it follows the load; neither its slope nor its start is negative.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    spread: float = SPREAD_START  # deviation of the logarithm of what was taken over what was foretold

    def predict(self, cost: float) -> float:
        """The time that an answer takes, ms; 0 where too little is known."""
        if self.weight < MIN_OBSERVATION_WEIGHT:
            return 0.0
        mean_x, mean_y = self.x / self.weight, self.y / self.weight
        over = self.xx / self.weight - mean_x * mean_x
        # All hints alike, but for rounding: they tell nothing.
        slope = (self.xy / self.weight - mean_x * mean_y) / over if over > 1e-9 * mean_x * mean_x else 0.0
        slope = min(max(slope, 0.0), mean_y / mean_x if mean_x > 0.0 else 0.0)
        return mean_y + slope * (cost - mean_x)

    def learn(self, cost: float, took: float) -> None:
        """An answer of this cost took so many ms, or was given up after them."""
        told, scale = self.predict(cost), 1.0
        if told > 0.0:
            ratio = min(max(took / told, 1.0 / MAX_RATIO), MAX_RATIO)
            self.spread = math.hypot(
                math.sqrt(1.0 - SPREAD_STEP) * self.spread, math.sqrt(SPREAD_STEP) * math.log(ratio)
            )
            # By the relative error: what is foretold to take twice as long may be twice as far off.
            mean = self.y / self.weight
            scale = (mean / max(told, MIN_SCALE_SHARE * mean)) ** 2
        self.weight = OBSERVATION_DECAY * self.weight + scale
        self.x = OBSERVATION_DECAY * self.x + scale * cost
        self.y = OBSERVATION_DECAY * self.y + scale * took
        self.xx = OBSERVATION_DECAY * self.xx + scale * cost * cost
        self.xy = OBSERVATION_DECAY * self.xy + scale * cost * took

    def completion_probability(self, cost: float, left: float) -> float:
        """That an answer of this cost comes within so many ms (log-normal); 1 where too little is known."""
        told = self.predict(cost)
        if told <= 0.0 or left <= 0.0:
            return float(told <= 0.0)
        return 0.5 * math.erfc(math.log(told / left) / (math.sqrt(2.0) * max(self.spread, SPREAD_MIN)))


@dataclass(frozen=True, slots=True)
class RequestValue:
    """What one request is worth."""

    units: float  # its work, as a multiple of the mean request's
    cost: float  # its hint, ms; 1 without one
    worth: float  # of a unit of work
    hopeless: bool  # most of that is expected to be lost


class RequestValuation:
    """Appraises requests as they come, and learns from how long they took."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._cost = 0.0  # mean hint
        self._lines = [CostLatencyFit() for _ in settings.classes]
        self._quota = [TokenBucket.full(t.quota_per_s / settings.balancers) for t in settings.tenants]
        self.max_class_worth = max(c.worth for c in settings.classes)

    def evaluate(self, event: Arrival, now: float) -> RequestValue:
        settings, kind = self._settings, self._settings.classes[event.class_index]
        units = cost = 1.0
        if event.cost_hint_ms is not None and event.cost_hint_ms > 0:
            cost = event.cost_hint_ms
            self._cost += (cost - self._cost) * (COST_MEAN_STEP if self._cost else 1.0)
            units = cost / self._cost
        worth = kind.worth if settings.worth_by_work else kind.worth / units
        if not self._within_share(event.tenant, now):
            worth *= settings.over_share_worth
        if settings.stage:
            return RequestValue(units, cost, worth, False)  # the aim is that of the whole request
        hope = self._lines[event.class_index].completion_probability(cost, kind.aim_ms)
        part = hope + (1.0 - hope) * kind.late_share
        return RequestValue(units, cost, worth * part, part < HOPELESS_SHARE)

    def learn(self, class_index: int, cost: float, took: float) -> None:
        """An attempt was answered, or given up, after so many ms."""
        self._lines[class_index].learn(cost, took)

    def _within_share(self, tenant: int, now: float) -> bool:
        """Token bucket of a second's quota for each tenant, at the tier that clients reach."""
        if self._settings.stage or not 0 <= tenant < len(self._quota):
            return True
        return self._quota[tenant].try_take(now)
