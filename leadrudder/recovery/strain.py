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

TARGET = 0.4  # latencies are kept below this part of the aim, less for inner tiers
TARGET_TIMES = 1.6  # and this many times the calmest lateness, where the aim leaves little room
LATE_CAP = 1.2  # in aims: what one very late answer counts at most
TIMES_CALM = 2.0  # and below this many times the node's calmest mean latency
TIMES_CALM_LATE = 1.5  # where a node has so few answers that strain is averaged over five
CALM_AFTER = 10  # answers before a mean latency counts as such
CALM_TURNS = 20.0  # and mean latencies since the first call: the first answers come from an empty fleet
SETTLED_AFTER = 60  # answers after which the first ones weigh little in a mean over twenty
CALM_FADE = 0.00003  # by which the calmest mean follows the present one at each answer
STRAIN_STEP = 0.05  # strain is averaged over about twenty answers
STRAIN_AIMS = 2.0  # but where those take longer than this many aims, over as many as come in that time,
STRAIN_MOST = 0.2  # five at the least: at full size twenty answers of one node come after the jam
PEAK_FADE = 4.0  # the best rate fades over this many aims
HELD_MOST = 2.0  # strain by Little's law alone is no more than this


class Strain:
    """Told of every answer and every call given up."""

    def __init__(self, settings: Settings, turn: EventContext, reports: LoadReports) -> None:
        self._settings = settings
        self._turn = turn
        self._reports = reports
        self.aim = min(c.aim_ms for c in settings.classes)
        self.value = 0.0
        self.pressure = 0.0  # its part that compares with the aim
        self.level = 0.0  # mean latency, ms, over the span that strain is averaged on
        self.calm = math.inf  # the calmest mean latency, ms
        self.least = math.inf  # the same before that is known
        self.busy = 0.0  # calls out, in the mean
        self.served = DecayingRate(self.aim)  # answers
        self._first: float | None = None  # when the first call went out
        self._lateness = 0.0  # mean latency as a part of the aim
        self._calm_lateness = 1.0
        self._step = STRAIN_STEP
        self._felt_at = 0.0
        self._usual = 0.0  # mean latency over about twenty answers
        self._answers = 0
        self._peak = 0.0  # best recent rate of answers a millisecond
        self._peak_at = 0.0

    def sent(self) -> None:
        """A call goes out."""
        if self._first is None:
            self._first = self._turn.now

    def calm_known(self) -> bool:
        """The first answers to come back are the quick ones: a mean of those alone is too calm for long."""
        if self._first is None or self._answers < CALM_AFTER:
            return False
        return self._turn.now - self._first >= CALM_TURNS * self.level

    def seems_calm(self) -> bool:
        """Before calm is known: latencies stay near the least so far, so what was added has not queued.

        Guards against a third of a day's first ten seconds being refused by idle servers, where calls take
        half a second as they wait for others: twenty of those are ten seconds.
        """
        return self.level < TIMES_CALM_LATE * self.least < math.inf

    @property
    def told(self) -> bool:
        """Whether servers tell their load: then their cores are seen beside latencies."""
        return self._reports.enabled

    def peak(self) -> float:
        """The best recent rate of answers, a millisecond; before calm is known, the present one.

        It fades with time, not with answers: in a jam none come.
        """
        if not self.calm_known():
            return self.served.per_ms(self._turn.now)
        return self._peak * math.exp(-(self._turn.now - self._peak_at) / (PEAK_FADE * self.aim))

    def moved(self, by: float) -> None:
        """The fleet bears so many times as much as before."""
        self._peak *= by

    def answered(self, latency: float) -> None:
        """Remember the mean latency of the calmest time: what the service takes when nothing queues."""
        self._answers += 1
        self.level += max(self._step, 1.0 / self._answers) * (latency - self.level)
        # The least of a short average lies far below any mean: what is calm is judged by a longer one.
        self._usual += max(STRAIN_STEP, 1.0 / self._answers) * (latency - self._usual)
        if self._answers >= SETTLED_AFTER:
            self.least = min(self.least, self._usual)
        now = self._turn.now
        self.served.add(1.0, now)
        faded = self._peak * math.exp(-(now - self._peak_at) / (PEAK_FADE * self.aim))
        self._peak_at = now
        if self.calm_known():
            # A count of n is known to within its root: the best of few answers is mostly luck.
            rate = self.served.per_ms(now)
            self._peak = max(faded, rate - math.sqrt(rate / self.served.time_constant))
            self.calm = min(self.calm, self._usual)
            self.calm += CALM_FADE * (self._usual - self.calm)
            self._calm_lateness = min(self._calm_lateness, self._lateness)
            self._calm_lateness += CALM_FADE * (self._lateness - self._calm_lateness)

    def feel(self, latency_share: float, out: int) -> None:
        """An answer or a call given up: its latency as a part of its aim, and the calls out."""
        settings, now = self._settings, self._turn.now
        part = (now - self._felt_at) / (STRAIN_AIMS * self.aim)
        self._felt_at = now
        self._step += STRAIN_MOST * (min(max(part, STRAIN_STEP), STRAIN_MOST) - self._step)
        self._lateness += self._step * (min(latency_share, LATE_CAP) - self._lateness)
        self.busy += self._step * (out - self.busy)
        # Few answers tell late: by then a jam is under way, so less than that is called strain.
        lag = (self._step - STRAIN_STEP) / (STRAIN_MOST - STRAIN_STEP)
        calm = (TIMES_CALM + lag * (TIMES_CALM_LATE - TIMES_CALM)) * self.calm
        # Where even the calmest latencies are near the target, holding to it would shed without end.
        target = TARGET * (settings.stages - settings.stage) / settings.stages
        target = max(target, TARGET_TIMES * self._calm_lateness) if self.calm < math.inf else target
        self.pressure = self._lateness / target
        strain = max(self.pressure, self.level / calm if calm > 0 else 0.0)
        if 0.0 < calm < math.inf:
            # By Little's law: calls that are out tell of a queue before they end, if it matters to the aim.
            held = (out - math.sqrt(out)) / max(self.served.per_ms(now), 1e-9)
            strain = max(strain, min(held / max(calm, target * self.aim), HELD_MOST))
        self.value = self._reports.adjust_saturation(strain, self.pressure)
