"""Limits of calls out as the field has them, to hold the module's own against: the rest of it stays as it is.

Each is written from its published description, in its plainest form.  Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from leadrudder import interface as api
from leadrudder.experiment.node import Decider

if TYPE_CHECKING:  # older revisions, whose decisions are played too, have it under another name
    from leadrudder.recovery.saturation import Saturation

START_CALLS_PER_SERVER = 6.0  # calls for each warm server that all of them begin with, as the module does
MIN_LIMIT_CALLS = 1.0


class _Limit:
    """What a balancer calls of its limit, under today's names and those of revisions before the rename."""

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
    """So many calls for each warm server, whatever happens: what a search over it finds is the mark."""

    def __init__(self, each: float) -> None:
        self._each = each
        self.value = 0.0

    def rescale(self, by: float, servers: float, part: float) -> None:
        self.value = self._each * part

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        """It feels nothing."""


class _AdaptiveLimit(_Limit):
    """Begins with START_EACH and moves along with the fleet, as the module's own does."""

    def __init__(self) -> None:
        self.value = 0.0

    def rescale(self, by: float, servers: float, part: float) -> None:
        self.value = self.value * by if self.value else START_CALLS_PER_SERVER * part

    def _set(self, value: float, out: int) -> None:
        """Grown only while it is used: what is not used tells nothing of what could be."""
        if value <= self.value or out + 1 >= 0.8 * self.value:
            self.value = max(MIN_LIMIT_CALLS, value)


class AimdLimit(_AdaptiveLimit):
    """Additive increase, multiplicative decrease (Chiu and Jain): late answers are the loss signal."""

    LATE = 0.5  # of the aim
    DOWN = 0.9

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        if latency_share > self.LATE:
            self._set(self.value * (1.0 - (1.0 - self.DOWN) / max(1.0, self.value)), out)
        else:
            self._set(self.value + 1.0 / max(1.0, self.value), out)


class GradientLimit(_AdaptiveLimit):
    """By the ratio of a long mean latency to the present one, with room for a short queue."""

    TOLERANCE = 1.5
    LONG, SMOOTH = 1 / 600, 0.2

    def __init__(self) -> None:
        super().__init__()
        self._long = 0.0

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        level = saturation.mean_latency_ms
        if level <= 0.0:
            return
        self._long += (level - self._long) * (self.LONG if self._long else 1.0)
        gradient = max(0.5, min(1.0, self.TOLERANCE * self._long / level))
        aim = self.value * gradient + math.sqrt(self.value)
        # Once for each call that is out, not for each answer.
        step = self.SMOOTH / max(1.0, self.value)
        self._set(self.value + step * (aim - self.value), out)


class VegasLimit(_AdaptiveLimit):
    """As TCP Vegas: the calls that queue, by the calmest latency against the present one, kept in a band."""

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        calm = min(saturation.baseline_ms, saturation.provisional_baseline_ms)
        if not calm < math.inf or saturation.mean_latency_ms <= 0.0:
            return
        queue = self.value * (1.0 - calm / saturation.mean_latency_ms)
        scale = math.log10(max(10.0, self.value))
        step = scale / max(1.0, self.value)
        if queue < 3.0 * scale:
            self._set(self.value + step, out)
        elif queue > 6.0 * scale:
            self._set(self.value - step, out)


class CodelLimit(_AdaptiveLimit):
    """As CoDel: while the least latency of an interval stays above its target, cut at a rising pace."""

    TARGET_TIMES = 1.5  # the calmest latency
    INTERVAL = 0.5  # of the aim

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self._next = 0.0
        self._least = math.inf  # of this interval
        self._cuts = 0

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        self._least = min(self._least, latency_share * saturation.min_aim_ms)
        now = self._now()
        if now < self._next:
            return
        calm = min(saturation.baseline_ms, saturation.provisional_baseline_ms)
        over = calm < math.inf and self._least > self.TARGET_TIMES * calm
        self._cuts = self._cuts + 1 if over else 0
        self._next = now + self.INTERVAL * saturation.min_aim_ms / math.sqrt(max(1, self._cuts))
        self._least = math.inf
        self._set(self.value * 0.9 if over else self.value + 1.0, out)


LIMITS = ("limit-fixed", "limit-aimd", "limit-gradient", "limit-vegas", "limit-codel")


def make_limit(
    policy: str, each: float, now: Callable[[], float]
) -> FixedLimit | AimdLimit | GradientLimit | VegasLimit | CodelLimit:
    """A new limit of this name; each: of the fixed one, calls for each warm server of the fleet."""
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
    """The module with another limit."""

    def __init__(
        self, balancer: Callable[..., Decider], policy: str, each: float, settings: api.Settings, seed: int
    ) -> None:
        self._now = 0.0
        # Further in, the module's own: what is compared is what the front lets in.
        own = settings.stage > 0
        limit = None if own else make_limit(policy, each, lambda: self._now)
        self._balancer = balancer(settings, seed, limit)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self._now = now
        return self._balancer.handle(event, now)
