"""Saturation of the fleet as a node sees it in its own calls: latencies, rate of answers, outstanding calls.

Saturation 1 is full capacity; above it calls queue somewhere.  It is derived from the mean latency relative
to its target and to the baseline latency, from Little's law for the outstanding calls, and from load reports
where servers send them.  The aim of a class is the time within which its requests should be answered.
"""

from __future__ import annotations

import math

from leadrudder.interface import Settings
from leadrudder.state.estimators import DecayingRate
from leadrudder.state.records import EventContext
from leadrudder.state.reports import LoadReports

TARGET_AIM_SHARE = 0.4  # target latency as a share of the aim; less for inner tiers
TARGET_BASELINE_RATIO = 1.6  # but at least this multiple of the baseline, where the aim leaves little room
MAX_LATENESS = 1.2  # in aims: a later answer counts as this
MAX_BASELINE_RATIO = 2.0  # latencies are also kept below this multiple of the baseline
MAX_BASELINE_RATIO_SPARSE = 1.5  # the same where answers are so few that averages span five
BASELINE_MIN_ANSWERS = 10  # answers before a mean latency is reliable
BASELINE_MIN_MEAN_LATENCIES = 20.0  # and since the first call: the first answers come from an idle fleet
PROVISIONAL_MIN_ANSWERS = 60  # answers after which the first ones weigh little in a mean over twenty
BASELINE_DECAY = 0.00003  # step by which the baseline follows the mean latency at each answer
MIN_STEP = 0.05  # averages span about twenty answers,
STEP_AIMS = 2.0  # but where those take longer than this many aims, as many as come in that time
MAX_STEP = 0.2  # and at least five: at full size twenty answers of one node come only after an overload
PEAK_DECAY_AIMS = 4.0  # the peak rate decays over this many aims
MAX_QUEUE_SATURATION = 2.0  # bound of the saturation by Little's law alone


class Saturation:
    """Estimates saturation; every answer and every call given up is recorded here."""

    def __init__(self, settings: Settings, context: EventContext, reports: LoadReports) -> None:
        self._settings = settings
        self._context = context
        self._reports = reports
        self.min_aim_ms = min(c.aim_ms for c in settings.classes)
        self.value = 0.0
        self.latency_ratio = 0.0  # mean latency relative to its target
        self.mean_latency_ms = 0.0  # over as many answers as the saturation
        self.baseline_ms = math.inf  # lowest mean latency
        self.provisional_baseline_ms = math.inf  # the same before the baseline is known
        self.mean_outstanding = 0.0  # mean of the outstanding calls
        self.answer_rate = DecayingRate(self.min_aim_ms)  # answers a millisecond
        self._first_sent_at: float | None = None  # when the first call was sent
        self._mean_lateness = 0.0  # mean latency as a share of the aim
        self._baseline_lateness = 1.0
        self._step = MIN_STEP
        self._recorded_at = 0.0
        self._long_mean_latency_ms = 0.0  # mean latency over about twenty answers
        self._answers = 0
        self._peak_rate = 0.0  # highest recent rate of answers a millisecond
        self._peak_rate_at = 0.0

    def record_send(self) -> None:
        """Record that a call is sent."""
        if self._first_sent_at is None:
            self._first_sent_at = self._context.now

    def baseline_known(self) -> bool:
        """Whether the baseline is reliable: the first answers are the quick ones, their mean is too low."""
        if self._first_sent_at is None or self._answers < BASELINE_MIN_ANSWERS:
            return False
        return self._context.now - self._first_sent_at >= BASELINE_MIN_MEAN_LATENCIES * self.mean_latency_ms

    def near_provisional_baseline(self) -> bool:
        """Whether latencies stay near their minimum so far: calls do not queue, with the baseline unknown.

        Without this, idle servers refused a third of the requests in the first ten seconds of a day, where
        calls take half a second as they wait for other calls: twenty of those are ten seconds.
        """
        return self.mean_latency_ms < MAX_BASELINE_RATIO_SPARSE * self.provisional_baseline_ms < math.inf

    @property
    def has_load_reports(self) -> bool:
        """Whether servers report their load: then CPU utilization is used beside latencies."""
        return self._reports.enabled

    def peak_rate(self) -> float:
        """The highest recent rate of answers a millisecond; the present one before the baseline is known.

        It decays with time, not by answers: there are none when all calls are stuck.
        """
        if not self.baseline_known():
            return self.answer_rate.per_ms(self._context.now)
        return self._peak_rate * math.exp(
            -(self._context.now - self._peak_rate_at) / (PEAK_DECAY_AIMS * self.min_aim_ms)
        )

    def rescale(self, factor: float) -> None:
        """The fleet's capacity has changed by a factor."""
        self._peak_rate *= factor

    def record_latency(self, latency: float) -> None:
        """Update the mean latencies and the baseline: the latency of the service when no calls queue."""
        self._answers += 1
        self.mean_latency_ms += max(self._step, 1.0 / self._answers) * (latency - self.mean_latency_ms)
        # The minimum of a short average lies far below any mean, so the baseline is taken from a longer one.
        self._long_mean_latency_ms += max(MIN_STEP, 1.0 / self._answers) * (
            latency - self._long_mean_latency_ms
        )
        if self._answers >= PROVISIONAL_MIN_ANSWERS:
            self.provisional_baseline_ms = min(self.provisional_baseline_ms, self._long_mean_latency_ms)
        now = self._context.now
        self.answer_rate.add(1.0, now)
        decayed = self._peak_rate * math.exp(
            -(now - self._peak_rate_at) / (PEAK_DECAY_AIMS * self.min_aim_ms)
        )
        self._peak_rate_at = now
        if self.baseline_known():
            # A count of n is uncertain by sqrt(n): the highest rate of few answers is mostly chance.
            rate = self.answer_rate.per_ms(now)
            self._peak_rate = max(decayed, rate - math.sqrt(rate / self.answer_rate.time_constant))
            self.baseline_ms = min(self.baseline_ms, self._long_mean_latency_ms)
            self.baseline_ms += BASELINE_DECAY * (self._long_mean_latency_ms - self.baseline_ms)
            self._baseline_lateness = min(self._baseline_lateness, self._mean_lateness)
            self._baseline_lateness += BASELINE_DECAY * (self._mean_lateness - self._baseline_lateness)

    def record_outcome(self, latency_share: float, outstanding: int) -> None:
        """Record an answer or a call given up; latency_share: its latency as a share of its aim."""
        settings, now = self._settings, self._context.now
        step = (now - self._recorded_at) / (STEP_AIMS * self.min_aim_ms)
        self._recorded_at = now
        self._step += MAX_STEP * (min(max(step, MIN_STEP), MAX_STEP) - self._step)
        self._mean_lateness += self._step * (min(latency_share, MAX_LATENESS) - self._mean_lateness)
        self.mean_outstanding += self._step * (outstanding - self.mean_outstanding)
        # Few answers show overload late, when queues have built up: so a lower latency counts as saturation.
        sparseness = (self._step - MIN_STEP) / (MAX_STEP - MIN_STEP)
        max_latency_ms = (
            MAX_BASELINE_RATIO + sparseness * (MAX_BASELINE_RATIO_SPARSE - MAX_BASELINE_RATIO)
        ) * self.baseline_ms
        # If even the baseline is near the target, enforcing the target would shed load for ever.
        target = TARGET_AIM_SHARE * (settings.stages - settings.stage) / settings.stages
        target = (
            max(target, TARGET_BASELINE_RATIO * self._baseline_lateness)
            if self.baseline_ms < math.inf
            else target
        )
        self.latency_ratio = self._mean_lateness / target
        saturation = max(
            self.latency_ratio, self.mean_latency_ms / max_latency_ms if max_latency_ms > 0 else 0.0
        )
        if 0.0 < max_latency_ms < math.inf:
            # By Little's law outstanding calls show a queue before they end.  It is compared with the target,
            # too, so that it counts only where it endangers the aim.
            implied_latency_ms = (outstanding - math.sqrt(outstanding)) / max(
                self.answer_rate.per_ms(now), 1e-9
            )
            saturation = max(
                saturation,
                min(implied_latency_ms / max(max_latency_ms, target * self.min_aim_ms), MAX_QUEUE_SATURATION),
            )
        self.value = self._reports.adjust_saturation(saturation, self.latency_ratio)
