"""How many calls a node may have out: at the knee, beyond which more of them are answered no quicker.

By Little's law the best rate of answers needs as many calls out as that rate times the calmest latency.
A little more keeps servers busy through chance; much more only waits, and what is crowded for long turns slow
for long (docs/design/jam.md has the range in which each constant holds, and the limits compared with).
"""

from __future__ import annotations

import math
from typing import Protocol

from leadrudder.interface import Settings
from leadrudder.recovery.strain import MAX_BASELINE_RATIO, Saturation
from leadrudder.state.records import EventContext

MAX_CUT_FACTOR = 0.9
MIN_CUT_FACTOR = 0.5  # a cut is as deep as the strain, down to this
GROWTH_FACTOR = 1.05
INITIAL_GROWTH_FACTOR = 1.2  # growth for each mean latency until the first strain
KNEE_MARGIN = 1.45  # calls out for each that the best rate needs at the calmest latency: no growth beyond
KNEE_MARGIN_WITH_REPORTS = 1.65  # the same where servers tell their load
CUT_MARGIN = 1.2  # the same for cuts: to no less
INITIAL_CALLS_PER_SERVER = (
    6.0  # calls out for each server before anything is known, so that a restart opens no flood
)
MIN_USE_TO_GROW = 0.8  # part of the limit that must be used before it grows


class ConcurrencyLimit(Protocol):
    """A limit of calls out, which follows what the node sees."""

    value: float  # calls

    def rescale(self, by: float, servers: float, part: float) -> None:
        """The fleet bears so many times as much; in warm servers, in all and this node's part of them."""

    def record_outcome(self, strain: Saturation, latency_share: float, out: int, patience: float) -> None:
        """An answer or a call given up, once strain knows of it; patience: the mean latency, ms."""


class KneeLimit:
    """Cut by strain, grown to the knee and no further."""

    def __init__(self, settings: Settings, turn: EventContext) -> None:
        self._tiers = settings.stages - settings.stage  # from this one on
        self._turn = turn
        self.value = 0.0  # set by the first list
        self._part = 1.0
        self._least = 1.0
        self._strained = False
        self._at = 0.0

    def rescale(self, by: float, servers: float, part: float) -> None:
        """Guards against a release that leaves six of ten servers, two of them cold, to calls out for ten:
        each then holds more than it bears and turns slow for long."""
        self.value *= by
        # Less than one server's calls are no limit to start with; a cut may go below.
        self._part = max(1.0, part)
        # A server holds its slot while it waits for the tiers behind it: a call for each keeps its core busy.
        self._least = self._tiers * part
        if not self._strained:
            # All nodes of the tier start alike: each takes its part of what the fleet may hold.
            self.value = max(self.value, INITIAL_CALLS_PER_SERVER * self._part)

    def record_outcome(self, strain: Saturation, latency_share: float, out: int, patience: float) -> None:
        """Cut or grow, once for each mean latency.

        Not by the mean latency alone: in a jam that grows to the callers' deadline, and cuts came too late.
        """
        now = self._turn.now
        if now - self._at < min(patience, MAX_BASELINE_RATIO * strain.baseline_ms, strain.min_aim_ms):
            return
        self._at = now
        if strain.value > 1.0:
            self._strained = True
            self._cut(strain)
        elif out + 1 >= MIN_USE_TO_GROW * self.value and (
            strain.baseline_known() or strain.near_provisional_baseline()
        ):
            grown = self.value * (GROWTH_FACTOR if self._strained else INITIAL_GROWTH_FACTOR) + 1.0
            self.value = max(self.value, min(grown, self._most(strain)))

    def _most(self, strain: Saturation) -> float:
        """The calls that growth ends at.

        Where servers tell their load, cores are seen beside latencies, and a tight knee refuses what free
        ones could do (a zone lost and regained, the second deployment at full size: 0.83 to 0.73).
        """
        if strain.has_load_reports:
            known = strain.baseline_known()
            knee = (
                KNEE_MARGIN_WITH_REPORTS
                * min(strain.baseline_ms, strain.provisional_baseline_ms)
                * strain.peak_rate()
                if known
                else 0.0
            )
            most = max(knee, INITIAL_CALLS_PER_SERVER * (self._part if known else self._least))
            return most + math.sqrt(most)
        # Not the least of both: that of the first answers stays too low where calls wait for others.
        calm = strain.baseline_ms if strain.baseline_ms < math.inf else strain.provisional_baseline_ms
        knee = KNEE_MARGIN * calm * strain.peak_rate() if calm < math.inf else 0.0
        return max(knee, INITIAL_CALLS_PER_SERVER * self._part)

    def _cut(self, strain: Saturation) -> None:
        """At most to what was in flight when as much was answered without a queue, and a margin."""
        calm = min(strain.baseline_ms, strain.mean_latency_ms)
        knee = CUT_MARGIN * strain.peak_rate() * calm if strain.baseline_known() else 0.0
        down = min(MAX_CUT_FACTOR, max(MIN_CUT_FACTOR, 1.0 / strain.value))
        # The mean of what is out, and a deviation more: at one moment few calls may be far fewer.
        reach = max(1.0, strain.mean_outstanding + math.sqrt(strain.mean_outstanding))
        # While the aim is far, to no less than a node starts with: in a burst of heavy work lower limits
        # halved the rate of answers.  It could hurt where servers bear far fewer calls than START.
        floor = (
            max(self._least, INITIAL_CALLS_PER_SERVER * self._part)
            if strain.latency_ratio < 1.0
            else self._least
        )
        self.value = max(floor, knee, min(self.value, reach) * down)
