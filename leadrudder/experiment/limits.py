"""Concurrency limits known from the literature, to compare with the policy module's own.

The rest of the module stays as it is. Each limit follows its published description, in its plainest form.
Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from leadrudder import interface as api
from leadrudder.experiment.node import Decider

if TYPE_CHECKING:  # older revisions, which are played too, name it otherwise
    from leadrudder.recovery.saturation import Saturation

START_CALLS_PER_SERVER = 6.0  # initial limit, as of the policy module
MIN_LIMIT_CALLS = 1.0


class _Limit:
    """The limit as a balancer calls it, also by the names that it had before the rename."""

    def rescale(self, by: float, servers: float, part: float) -> None:
        raise NotImplementedError

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        raise NotImplementedError

    def moved(self, by: float, servers: float, part: float) -> None:
        """Called by revisions before the rename."""
        self.rescale(by, servers, part)

    def feel(self, strain: Any, latency_share: float, out: int, patience: float) -> None:
        """Called by revisions before the rename, with their Strain, which has other attribute names."""
        saturation = SimpleNamespace(
            mean_latency_ms=strain.level,
            baseline_ms=strain.calm,
            provisional_baseline_ms=strain.least,
            min_aim_ms=strain.aim,
        )
        self.record_outcome(cast("Saturation", saturation), latency_share, out, patience)


class FixedLimit(_Limit):
    """A fixed number of calls for each warm server; its best value is the reference for the others."""

    def __init__(self, each: float) -> None:
        self._each = each
        self.value = 0.0

    def rescale(self, by: float, servers: float, part: float) -> None:
        self.value = self._each * part

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        """Ignore outcomes."""


class _AdaptiveLimit(_Limit):
    """Starts at START_CALLS_PER_SERVER and scales with the fleet, as the module's own limit does."""

    def __init__(self) -> None:
        self.value = 0.0

    def rescale(self, by: float, servers: float, part: float) -> None:
        self.value = self.value * by if self.value else START_CALLS_PER_SERVER * part

    def _set(self, value: float, out: int) -> None:
        """Set the limit; grow it only while it is used, as an unused limit says nothing about capacity."""
        if value <= self.value or out + 1 >= 0.8 * self.value:
            self.value = max(MIN_LIMIT_CALLS, value)


class AimdLimit(_AdaptiveLimit):
    """Additive increase, multiplicative decrease (Chiu and Jain): late answers count as losses."""

    LATE_SHARE = 0.5  # latency as a share of the class's aim
    DECREASE_FACTOR = 0.9

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        if latency_share > self.LATE_SHARE:
            self._set(self.value * (1.0 - (1.0 - self.DECREASE_FACTOR) / max(1.0, self.value)), out)
        else:
            self._set(self.value + 1.0 / max(1.0, self.value), out)


class GradientLimit(_AdaptiveLimit):
    """Follows the ratio of the long-term mean latency to the present one, with room for a short queue."""

    TOLERANCE = 1.5
    LONG_WEIGHT, STEP_WEIGHT = 1 / 600, 0.2

    def __init__(self) -> None:
        super().__init__()
        self._long_mean_ms = 0.0

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        level = saturation.mean_latency_ms
        if level <= 0.0:
            return
        self._long_mean_ms += (level - self._long_mean_ms) * (self.LONG_WEIGHT if self._long_mean_ms else 1.0)
        gradient = max(0.5, min(1.0, self.TOLERANCE * self._long_mean_ms / level))
        target = self.value * gradient + math.sqrt(self.value)
        # One full step for each round of outstanding calls, not for each answer.
        step = self.STEP_WEIGHT / max(1.0, self.value)
        self._set(self.value + step * (target - self.value), out)


class VegasLimit(_AdaptiveLimit):
    """As TCP Vegas: keeps the queued calls, estimated from baseline and present latency, in a band."""

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        baseline_ms = min(saturation.baseline_ms, saturation.provisional_baseline_ms)
        if not baseline_ms < math.inf or saturation.mean_latency_ms <= 0.0:
            return
        queue = self.value * (1.0 - baseline_ms / saturation.mean_latency_ms)
        scale = math.log10(max(10.0, self.value))
        step = scale / max(1.0, self.value)
        if queue < 3.0 * scale:
            self._set(self.value + step, out)
        elif queue > 6.0 * scale:
            self._set(self.value - step, out)


class CodelLimit(_AdaptiveLimit):
    """As CoDel: cuts at a rising rate while the minimum latency of an interval stays above the target."""

    TARGET_MULTIPLE = 1.5  # multiple of the baseline latency
    INTERVAL_SHARE = 0.5  # in the shortest aim of the classes

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self._next = 0.0
        self._min_latency_ms = math.inf  # minimum latency of this interval, ms
        self._cuts = 0

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        self._min_latency_ms = min(self._min_latency_ms, latency_share * saturation.min_aim_ms)
        now = self._now()
        if now < self._next:
            return
        baseline_ms = min(saturation.baseline_ms, saturation.provisional_baseline_ms)
        over = baseline_ms < math.inf and self._min_latency_ms > self.TARGET_MULTIPLE * baseline_ms
        self._cuts = self._cuts + 1 if over else 0
        self._next = now + self.INTERVAL_SHARE * saturation.min_aim_ms / math.sqrt(max(1, self._cuts))
        self._min_latency_ms = math.inf
        self._set(self.value * 0.9 if over else self.value + 1.0, out)


LIMITS = ("limit-fixed", "limit-aimd", "limit-gradient", "limit-vegas", "limit-codel")


def make_limit(
    policy: str, each: float, now: Callable[[], float]
) -> FixedLimit | AimdLimit | GradientLimit | VegasLimit | CodelLimit:
    """Make a limit by its name; each: calls for each warm server, of limit-fixed."""
    if policy == "limit-fixed":
        return FixedLimit(each)
    if policy == "limit-codel":
        return CodelLimit(now)
    return (
        AimdLimit()
        if policy == "limit-aimd"
        else GradientLimit()
        if policy == "limit-gradient"
        else VegasLimit()
    )


class LimitedBalancer:
    """The policy module with another limit."""

    def __init__(
        self, balancer: Callable[..., Decider], policy: str, each: float, settings: api.Settings, seed: int
    ) -> None:
        self._now = 0.0
        # Only the first tier's limit is replaced: the comparison is about admission at the front.
        keeps_own = settings.stage > 0
        limit = None if keeps_own else make_limit(policy, each, lambda: self._now)
        self._balancer = balancer(settings, seed, limit)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self._now = now
        return self._balancer.handle(event, now)
