"""What a node knows of how strained the fleet is, from its own calls: latencies, answers a second, calls out.

Strain 1 is the most that is borne; above it calls queue somewhere.  It follows the mean latency against its
target and against the calmest, Little's law on what is out, and load reports where servers tell them.
"""

from __future__ import annotations

import math

from leadrudder.interface import Settings
from leadrudder.state.estimators import DecayingRate
from leadrudder.state.records import EventContext
from leadrudder.state.reports import LoadReports

TARGET_AIM_SHARE = 0.4  # latencies are kept below this part of the aim, less for inner tiers
TARGET_BASELINE_RATIO = 1.6  # and this many times the calmest lateness, where the aim leaves little room
MAX_LATENESS = 1.2  # in aims: what one very late answer counts at most
MAX_BASELINE_RATIO = 2.0  # and below this many times the node's calmest mean latency
MAX_BASELINE_RATIO_SPARSE = 1.5  # where a node has so few answers that strain is averaged over five
BASELINE_MIN_ANSWERS = 10  # answers before a mean latency counts as such
BASELINE_MIN_MEAN_LATENCIES = (
    20.0  # and mean latencies since the first call: the first answers come from an empty fleet
)
PROVISIONAL_MIN_ANSWERS = 60  # answers after which the first ones weigh little in a mean over twenty
BASELINE_DECAY = 0.00003  # by which the calmest mean follows the present one at each answer
MIN_STEP = 0.05  # strain is averaged over about twenty answers
STEP_AIMS = 2.0  # but where those take longer than this many aims, over as many as come in that time,
MAX_STEP = 0.2  # five at the least: at full size twenty answers of one node come after the jam
PEAK_DECAY_AIMS = 4.0  # the best rate fades over this many aims
MAX_QUEUE_SATURATION = 2.0  # strain by Little's law alone is no more than this


class Saturation:
    """Told of every answer and every call given up."""

    def __init__(self, settings: Settings, turn: EventContext, reports: LoadReports) -> None:
        self._settings = settings
        self._turn = turn
        self._reports = reports
        self.min_aim_ms = min(c.aim_ms for c in settings.classes)
        self.value = 0.0
        self.latency_ratio = 0.0  # its part that compares with the aim
        self.mean_latency_ms = 0.0  # mean latency, ms, over the span that strain is averaged on
        self.baseline_ms = math.inf  # the calmest mean latency, ms
        self.provisional_baseline_ms = math.inf  # the same before that is known
        self.mean_outstanding = 0.0  # calls out, in the mean
        self.answer_rate = DecayingRate(self.min_aim_ms)  # answers
        self._first: float | None = None  # when the first call went out
        self._lateness = 0.0  # mean latency as a part of the aim
        self._calm_lateness = 1.0
        self._step = MIN_STEP
        self._felt_at = 0.0
        self._usual = 0.0  # mean latency over about twenty answers
        self._answers = 0
        self._peak = 0.0  # best recent rate of answers a millisecond
        self._peak_at = 0.0

    def record_send(self) -> None:
        """A call goes out."""
        if self._first is None:
            self._first = self._turn.now

    def baseline_known(self) -> bool:
        """The first answers to come back are the quick ones: a mean of those alone is too calm for long."""
        if self._first is None or self._answers < BASELINE_MIN_ANSWERS:
            return False
        return self._turn.now - self._first >= BASELINE_MIN_MEAN_LATENCIES * self.mean_latency_ms

    def near_provisional_baseline(self) -> bool:
        """Before calm is known: latencies stay near the least so far, so what was added has not queued.

        Guards against a third of a day's first ten seconds being refused by idle servers, where calls take
        half a second as they wait for others: twenty of those are ten seconds.
        """
        return self.mean_latency_ms < MAX_BASELINE_RATIO_SPARSE * self.provisional_baseline_ms < math.inf

    @property
    def has_load_reports(self) -> bool:
        """Whether servers tell their load: then their cores are seen beside latencies."""
        return self._reports.enabled

    def peak_rate(self) -> float:
        """The best recent rate of answers, a millisecond; before calm is known, the present one.

        It fades with time, not with answers: in a jam none come.
        """
        if not self.baseline_known():
            return self.answer_rate.per_ms(self._turn.now)
        return self._peak * math.exp(-(self._turn.now - self._peak_at) / (PEAK_DECAY_AIMS * self.min_aim_ms))

    def rescale(self, by: float) -> None:
        """The fleet bears so many times as much as before."""
        self._peak *= by

    def record_latency(self, latency: float) -> None:
        """Remember the mean latency of the calmest time: what the service takes when nothing queues."""
        self._answers += 1
        self.mean_latency_ms += max(self._step, 1.0 / self._answers) * (latency - self.mean_latency_ms)
        # The least of a short average lies far below any mean: what is calm is judged by a longer one.
        self._usual += max(MIN_STEP, 1.0 / self._answers) * (latency - self._usual)
        if self._answers >= PROVISIONAL_MIN_ANSWERS:
            self.provisional_baseline_ms = min(self.provisional_baseline_ms, self._usual)
        now = self._turn.now
        self.answer_rate.add(1.0, now)
        faded = self._peak * math.exp(-(now - self._peak_at) / (PEAK_DECAY_AIMS * self.min_aim_ms))
        self._peak_at = now
        if self.baseline_known():
            # A count of n is known to within its root: the best of few answers is mostly luck.
            rate = self.answer_rate.per_ms(now)
            self._peak = max(faded, rate - math.sqrt(rate / self.answer_rate.time_constant))
            self.baseline_ms = min(self.baseline_ms, self._usual)
            self.baseline_ms += BASELINE_DECAY * (self._usual - self.baseline_ms)
            self._calm_lateness = min(self._calm_lateness, self._lateness)
            self._calm_lateness += BASELINE_DECAY * (self._lateness - self._calm_lateness)

    def record_outcome(self, latency_share: float, out: int) -> None:
        """An answer or a call given up: its latency as a part of its aim, and the calls out."""
        settings, now = self._settings, self._turn.now
        part = (now - self._felt_at) / (STEP_AIMS * self.min_aim_ms)
        self._felt_at = now
        self._step += MAX_STEP * (min(max(part, MIN_STEP), MAX_STEP) - self._step)
        self._lateness += self._step * (min(latency_share, MAX_LATENESS) - self._lateness)
        self.mean_outstanding += self._step * (out - self.mean_outstanding)
        # Few answers tell late: by then a jam is under way, so less than that is called strain.
        lag = (self._step - MIN_STEP) / (MAX_STEP - MIN_STEP)
        calm = (
            MAX_BASELINE_RATIO + lag * (MAX_BASELINE_RATIO_SPARSE - MAX_BASELINE_RATIO)
        ) * self.baseline_ms
        # Where even the calmest latencies are near the target, holding to it would shed without end.
        target = TARGET_AIM_SHARE * (settings.stages - settings.stage) / settings.stages
        target = (
            max(target, TARGET_BASELINE_RATIO * self._calm_lateness)
            if self.baseline_ms < math.inf
            else target
        )
        self.latency_ratio = self._lateness / target
        strain = max(self.latency_ratio, self.mean_latency_ms / calm if calm > 0 else 0.0)
        if 0.0 < calm < math.inf:
            # By Little's law: calls that are out tell of a queue before they end, if it matters to the aim.
            held = (out - math.sqrt(out)) / max(self.answer_rate.per_ms(now), 1e-9)
            strain = max(strain, min(held / max(calm, target * self.min_aim_ms), MAX_QUEUE_SATURATION))
        self.value = self._reports.adjust_saturation(strain, self.latency_ratio)
