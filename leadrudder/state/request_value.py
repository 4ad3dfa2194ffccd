"""Valuation of requests: by class, tenant quota and the probability of an answer in time.

The probability is predicted from the cost hint.  On a day of overload 23% of all work sent was answered too
late to be worth anything, most of it for requests whose cost hint had shown that beforehand.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from leadrudder.interface import Arrival, Settings
from leadrudder.state.estimators import TokenBucket

COST_MEAN_STEP = 0.02  # step of the moving mean of cost hints

OBSERVATION_DECAY = 0.98  # factor on earlier observations at each answer of the class
MIN_OBSERVATION_WEIGHT = 20.0  # total weight of observations before anything is predicted
MIN_SCALE_SHARE = 0.25  # of the mean latency: shorter predictions get no more weight than this one
SPREAD_STEP = 0.02
SPREAD_START = 0.7
SPREAD_MIN = 0.1
MAX_RATIO = 20.0  # bound of the ratio by which one answer changes the spread

HOPELESS_SHARE = 0.5  # a request that expects less than this share of its worth yields to others


@dataclass(slots=True)
class CostLatencyFit:
    """Latency of a class's answers by cost: a straight line with the least relative error.

    Observations decay, so that it follows the load; neither slope nor intercept is negative.
    """

    weight: float = 0.0
    cost_sum: float = 0.0
    latency_sum: float = 0.0
    cost_square_sum: float = 0.0
    cost_latency_sum: float = 0.0
    spread: float = SPREAD_START  # standard deviation of log(latency / prediction)

    def predict(self, cost: float) -> float:
        """Predicted latency of an answer, ms; 0 with too few observations."""
        if self.weight < MIN_OBSERVATION_WEIGHT:
            return 0.0
        mean_cost, mean_latency = self.cost_sum / self.weight, self.latency_sum / self.weight
        variance = self.cost_square_sum / self.weight - mean_cost * mean_cost
        # If all hints are equal but for rounding, the slope is unknown.
        slope = (
            (self.cost_latency_sum / self.weight - mean_cost * mean_latency) / variance
            if variance > 1e-9 * mean_cost * mean_cost
            else 0.0
        )
        slope = min(max(slope, 0.0), mean_latency / mean_cost if mean_cost > 0.0 else 0.0)
        return mean_latency + slope * (cost - mean_cost)

    def learn(self, cost: float, latency: float) -> None:
        """Record the latency, ms, of an answer of this cost, or of a call that was given up."""
        predicted, scale = self.predict(cost), 1.0
        if predicted > 0.0:
            ratio = min(max(latency / predicted, 1.0 / MAX_RATIO), MAX_RATIO)
            self.spread = math.hypot(
                math.sqrt(1.0 - SPREAD_STEP) * self.spread, math.sqrt(SPREAD_STEP) * math.log(ratio)
            )
            # Relative error: a prediction that is twice as long may be off by twice as much.
            mean = self.latency_sum / self.weight
            scale = (mean / max(predicted, MIN_SCALE_SHARE * mean)) ** 2
        self.weight = OBSERVATION_DECAY * self.weight + scale
        self.cost_sum = OBSERVATION_DECAY * self.cost_sum + scale * cost
        self.latency_sum = OBSERVATION_DECAY * self.latency_sum + scale * latency
        self.cost_square_sum = OBSERVATION_DECAY * self.cost_square_sum + scale * cost * cost
        self.cost_latency_sum = OBSERVATION_DECAY * self.cost_latency_sum + scale * cost * latency

    def completion_probability(self, cost: float, left: float) -> float:
        """Probability (log-normal) of an answer of this cost in so many ms; 1 with too few observations."""
        predicted = self.predict(cost)
        if predicted <= 0.0 or left <= 0.0:
            return float(predicted <= 0.0)
        return 0.5 * math.erfc(math.log(predicted / left) / (math.sqrt(2.0) * max(self.spread, SPREAD_MIN)))


@dataclass(frozen=True, slots=True)
class RequestValue:
    """Value of one request."""

    units: float  # its work as a multiple of the mean request's
    cost: float  # its cost hint, ms; 1 without one
    worth: float  # per unit of work
    hopeless: bool  # most of its worth will probably be lost


class RequestValuation:
    """Values requests on arrival, and learns from their latencies."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._mean_cost = 0.0  # mean cost hint
        self._latency_fits = [CostLatencyFit() for _ in settings.classes]
        self._quota_buckets = [TokenBucket.full(t.quota_per_s / settings.balancers) for t in settings.tenants]
        self.max_class_worth = max(c.worth for c in settings.classes)

    def evaluate(self, event: Arrival, now: float) -> RequestValue:
        settings, kind = self._settings, self._settings.classes[event.class_index]
        units = cost = 1.0
        if event.cost_hint_ms is not None and event.cost_hint_ms > 0:
            cost = event.cost_hint_ms
            self._mean_cost += (cost - self._mean_cost) * (COST_MEAN_STEP if self._mean_cost else 1.0)
            units = cost / self._mean_cost
        worth = kind.worth if settings.worth_by_work else kind.worth / units
        if not self._within_quota(event.tenant, now):
            worth *= settings.over_share_worth
        if settings.stage:
            return RequestValue(units, cost, worth, False)  # the aim applies to the whole request
        in_time = self._latency_fits[event.class_index].completion_probability(cost, kind.aim_ms)
        expected_share = in_time + (1.0 - in_time) * kind.late_share
        return RequestValue(units, cost, worth * expected_share, expected_share < HOPELESS_SHARE)

    def learn(self, class_index: int, cost: float, latency: float) -> None:
        """Record the latency, ms, of an attempt that was answered or given up."""
        self._latency_fits[class_index].learn(cost, latency)

    def _within_quota(self, tenant: int, now: float) -> bool:
        """Whether the tenant is within its quota, by a token bucket; checked at the first tier only."""
        if self._settings.stage or not 0 <= tenant < len(self._quota_buckets):
            return True
        return self._quota_buckets[tenant].try_take(now)
