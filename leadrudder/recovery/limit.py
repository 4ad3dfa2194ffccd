"""Concurrency limit of a node: at the knee, beyond which more outstanding calls only wait.

By Little's law the peak rate of answers needs as many outstanding calls as that rate times the baseline
latency.  A few more keep servers busy through random variation; many more only queue, and a server that is
crowded for long turns slow for long (docs/design/jam.md has the range in which each constant holds, and the
limits that this one was compared with).
"""

from __future__ import annotations

import math
from typing import Protocol

from leadrudder.interface import Settings
from leadrudder.recovery.saturation import MAX_BASELINE_RATIO, Saturation
from leadrudder.state.records import EventContext

MAX_CUT_FACTOR = 0.9
MIN_CUT_FACTOR = 0.5  # a cut is by the inverse of the saturation, within these two factors
GROWTH_FACTOR = 1.05
INITIAL_GROWTH_FACTOR = 1.2  # growth per mean latency until the first saturation
KNEE_MARGIN = 1.45  # growth ends at this multiple of peak rate times baseline latency
KNEE_MARGIN_WITH_REPORTS = 1.65  # the same where servers report their load
CUT_MARGIN = 1.2  # the same for cuts, which go no lower
INITIAL_CALLS_PER_SERVER = 6.0  # initial limit per server, so that a restart causes no flood of calls
MIN_USE_TO_GROW = 0.8  # share of the limit that must be in use before it grows


class ConcurrencyLimit(Protocol):
    """Limit of a node's outstanding calls, which adapts to what the node observes."""

    value: float  # calls

    def rescale(self, factor: float, servers: float, part: float) -> None:
        """The fleet's capacity has changed by a factor, to so many warm servers; part: this node's share."""

    def record_outcome(
        self, saturation: Saturation, latency_share: float, outstanding: int, mean_latency: float
    ) -> None:
        """Record an answer or a call given up, after saturation has; the mean latency is in ms."""


class KneeLimit:
    """Limit that is cut on saturation and grows up to the knee."""

    def __init__(self, settings: Settings, context: EventContext) -> None:
        self._tiers = settings.stages - settings.stage  # this one and those behind it
        self._context = context
        self.value = 0.0  # set by the first server list
        self._own_servers = 1.0
        self._min_value = 1.0
        self._was_saturated = False
        self._adjusted_at = 0.0

    def rescale(self, factor: float, servers: float, part: float) -> None:
        """Scale the limit with the fleet's capacity.

        Guards against a release that leaves six of ten servers, two of them cold, with a limit for ten: each
        then gets more calls than it can serve and turns slow for long.
        """
        self.value *= factor
        # The initial limit is at least that of one server; a cut may go below.
        self._own_servers = max(1.0, part)
        # A call holds its slot while it waits for the tiers behind: a call per tier keeps a core busy.
        self._min_value = self._tiers * part
        if not self._was_saturated:
            # All nodes of the tier start alike: each takes its part of the fleet's limit.
            self.value = max(self.value, INITIAL_CALLS_PER_SERVER * self._own_servers)

    def record_outcome(
        self, saturation: Saturation, latency_share: float, outstanding: int, mean_latency: float
    ) -> None:
        """Cut or grow the limit, at most once in a mean latency.

        The interval is bounded as well by the baseline latency and the aim: under overload the mean latency
        grows to the callers' deadline, and cuts would come too late.
        """
        now = self._context.now
        if now - self._adjusted_at < min(
            mean_latency, MAX_BASELINE_RATIO * saturation.baseline_ms, saturation.min_aim_ms
        ):
            return
        self._adjusted_at = now
        if saturation.value > 1.0:
            self._was_saturated = True
            self._cut(saturation)
        elif outstanding + 1 >= MIN_USE_TO_GROW * self.value and (
            saturation.baseline_known() or saturation.near_provisional_baseline()
        ):
            grown = self.value * (GROWTH_FACTOR if self._was_saturated else INITIAL_GROWTH_FACTOR) + 1.0
            self.value = max(self.value, min(grown, self._growth_bound(saturation)))

    def _growth_bound(self, saturation: Saturation) -> float:
        """The limit up to which it may grow.

        Where servers report their load, CPU utilization corrects the saturation, and a tight knee would
        refuse work that free cores could do (a zone lost and regained, the second deployment at full size:
        0.83 to 0.73).
        """
        if saturation.has_load_reports:
            known = saturation.baseline_known()
            knee = (
                KNEE_MARGIN_WITH_REPORTS
                * min(saturation.baseline_ms, saturation.provisional_baseline_ms)
                * saturation.peak_rate()
                if known
                else 0.0
            )
            bound = max(knee, INITIAL_CALLS_PER_SERVER * (self._own_servers if known else self._min_value))
            return bound + math.sqrt(bound)
        # Not the minimum of both: the provisional baseline stays too low where calls wait for other calls.
        baseline = (
            saturation.baseline_ms
            if saturation.baseline_ms < math.inf
            else saturation.provisional_baseline_ms
        )
        knee = KNEE_MARGIN * baseline * saturation.peak_rate() if baseline < math.inf else 0.0
        return max(knee, INITIAL_CALLS_PER_SERVER * self._own_servers)

    def _cut(self, saturation: Saturation) -> None:
        """Cut the limit, but not below the calls that the peak rate needs without a queue, plus a margin."""
        baseline = min(saturation.baseline_ms, saturation.mean_latency_ms)
        knee = CUT_MARGIN * saturation.peak_rate() * baseline if saturation.baseline_known() else 0.0
        cut_factor = min(MAX_CUT_FACTOR, max(MIN_CUT_FACTOR, 1.0 / saturation.value))
        # Mean outstanding calls plus a deviation: with few calls their number at one moment may be far lower.
        in_use = max(1.0, saturation.mean_outstanding + math.sqrt(saturation.mean_outstanding))
        # While latencies are below their target, not below the initial limit: in a burst of heavy work lower
        # limits halved the rate of answers.  This could hurt where servers can serve far fewer calls than
        # INITIAL_CALLS_PER_SERVER.
        floor = (
            max(self._min_value, INITIAL_CALLS_PER_SERVER * self._own_servers)
            if saturation.latency_ratio < 1.0
            else self._min_value
        )
        self.value = max(floor, knee, min(self.value, in_use) * cut_factor)
