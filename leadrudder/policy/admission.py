"""How many calls may be out, which is what turns requests away."""

from __future__ import annotations

import math

from leadrudder.interface import Settings
from leadrudder.policy.attempts import Request
from leadrudder.state.estimators import Rate
from leadrudder.state.records import Turn
from leadrudder.state.reports import Reports

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
LIMIT_DOWN = 0.9
LIMIT_DOWN_MOST = 0.5  # a cut is as deep as the strain, down to this
LIMIT_UP = 1.05
GROW_TIMES = 1.65  # calls out for each that the best rate needs at the calmest latency: no growth beyond
LIMIT_DEPTH = 1.2  # margin over the calls out that the best recent rate needs at the calmest latency
PEAK_FADE = 4.0  # the best rate fades over this many aims
LIMIT_START = 6.0  # calls out for each server before anything is known, so that a restart opens no flood
KEPT = 0.2  # of the limit, the more the less a request is worth: for what is worth most, under strain
KEPT_FROM = 0.7  # and from this strain on, rising: with less than that it only keeps places empty
KEPT_HOPELESS = 0.5  # and this much, while strained, for what can still come in time
LIMIT_START_UP = 1.2  # and its growth for each mean latency until the first strain


class Admission:
    """The limit of calls out follows the strain: latency against its target and against the calmest."""

    def __init__(self, settings: Settings, turn: Turn, reports: Reports) -> None:
        self._reports = reports
        self._top = max(c.worth for c in settings.classes) or 1.0
        self._settings = settings
        self._turn = turn
        self._aim = min(c.aim_ms for c in settings.classes)
        # What all nodes of the front admit is split over them; further in each node stands for itself.
        self._sharers = 1 if settings.stage else settings.balancers
        self._arms = 0.0  # warm servers that stand behind the limit
        self._first: float | None = None  # when the first call went out
        self._limit = 0.0  # set by the first list
        self._strained = False
        self._strain = 0.0
        self.pressure = 0.0  # its part that compares with the aim
        self._lateness = 0.0  # mean latency as a part of the aim
        self._calm_lateness = 1.0
        self._step = STRAIN_STEP
        self._felt_at = 0.0
        self._busy = 0.0  # calls out, in the mean
        self._limit_at = 0.0
        self._level = 0.0  # mean latency, over the span that strain is averaged on
        self._usual = 0.0  # the same over about twenty answers
        self._answers = 0
        self.calm = math.inf  # the calmest mean latency
        self._least = math.inf  # the same before that is known
        self._served = Rate(self._aim)
        self._peak = 0.0  # best recent rate of answers a millisecond
        self._peak_at = 0.0
        self._shedding = False

    def bear(self, capacity: float) -> None:
        """The fleet bears as much as so many warm servers: the limit and what it rests on move along.

        Guards against a release that leaves six of ten servers, two of them cold, to calls out for ten: each
        then holds more than it bears and turns slow for long.
        """
        if capacity == self._arms or not capacity:
            return
        by = capacity / self._arms if self._arms else 1.0
        self._arms = capacity
        self._limit *= by
        self._peak *= by
        if not self._strained:
            # All nodes of the tier start alike: each takes its part of what the fleet may hold.
            self._limit = max(self._limit, LIMIT_START * self.part())

    def sent(self) -> None:
        if self._first is None:
            self._first = self._turn.now

    def has_room(self, request: Request, out: int) -> bool:
        """Whether the limit of calls out leaves room for this request.

        At the front a part is kept for what is worth more, as trunk reservation does: without it a request
        of the least worth takes the place that comes free a moment before one of the most asks for it.

        Where many nodes share few calls it is a few calls or less than one: each request carries the chance
        that settles the fraction.
        """
        kept = KEPT * (1.0 - min(request.value.worth / self._top, 1.0)) if not self._settings.stage else 0.0
        kept *= min(max((self._strain - KEPT_FROM) / (1.0 - KEPT_FROM), 0.0), 1.0)
        if request.value.hopeless and self._strain > 1.0:
            kept = KEPT_HOPELESS
        return out + request.chance < self._limit * (1.0 - kept)

    def calm_known(self) -> bool:
        """The first answers to come back are the quick ones: a mean of those alone is too calm for long."""
        if self._first is None or self._answers < CALM_AFTER:
            return False
        return self._turn.now - self._first >= CALM_TURNS * self._level

    def _seems_calm(self) -> bool:
        """Before calm is known: latencies stay near the least so far, so what was added has not queued.

        Guards against a third of a day's first ten seconds being refused by idle servers, where calls take
        half a second as they wait for others: twenty of those are ten seconds.
        """
        return self._level < TIMES_CALM_LATE * self._least < math.inf

    def part(self) -> float:
        """This node's part of the fleet, in servers: at the front, where all that comes in is admitted.

        Further in a node limits itself by the whole fleet: what it sends was admitted at the front, and a
        call held back there costs all the work done for it so far.
        """
        return max(1.0, self._arms / self._sharers)

    def calm_down(self, latency: float) -> None:
        """Remember the mean latency of the calmest time: what the service takes when nothing queues."""
        self._answers += 1
        self._level += max(self._step, 1.0 / self._answers) * (latency - self._level)
        # The least of a short average lies far below any mean: what is calm is judged by a longer one.
        self._usual += max(STRAIN_STEP, 1.0 / self._answers) * (latency - self._usual)
        if self._answers >= SETTLED_AFTER:
            self._least = min(self._least, self._usual)
        self._served.add(1.0, self._turn.now)
        fade = math.exp(-(self._turn.now - self._peak_at) / (PEAK_FADE * self._aim))
        self._peak_at = self._turn.now
        if self.calm_known():
            # A count of n is known to within its root: the best of few answers is mostly luck.
            rate = self._served.per_ms(self._turn.now)
            self._peak = max(self._peak * fade, rate - math.sqrt(rate / self._served.span))
            self.calm = min(self.calm, self._usual)
            self.calm += CALM_FADE * (self._usual - self.calm)
            self._calm_lateness = min(self._calm_lateness, self._lateness)
            self._calm_lateness += CALM_FADE * (self._lateness - self._calm_lateness)

    def feel(self, latency_share: float, out: int, patience: float) -> None:
        """Follow the strain (latency against its target) and set the limit of calls out by it."""
        settings, now = self._settings, self._turn.now
        part = (now - self._felt_at) / (STRAIN_AIMS * self._aim)
        self._felt_at = now
        self._step += STRAIN_MOST * (min(max(part, STRAIN_STEP), STRAIN_MOST) - self._step)
        self._lateness += self._step * (min(latency_share, LATE_CAP) - self._lateness)
        self._busy += self._step * (out - self._busy)
        # Few answers tell late: by then a jam is under way, so less than that is called strain.
        lag = (self._step - STRAIN_STEP) / (STRAIN_MOST - STRAIN_STEP)
        calm = (TIMES_CALM + lag * (TIMES_CALM_LATE - TIMES_CALM)) * self.calm
        # Where even the calmest latencies are near the target, holding to it would shed without end.
        target = TARGET * (settings.stages - settings.stage) / settings.stages
        target = max(target, TARGET_TIMES * self._calm_lateness) if self.calm < math.inf else target
        self.pressure = self._lateness / target
        self._strain = max(self.pressure, self._level / calm if calm > 0 else 0.0)
        if 0.0 < calm < math.inf:
            # By Little's law: calls that are out tell of a queue before they end, if it matters to the aim.
            held = (out - math.sqrt(out)) / max(self._served.per_ms(now), 1e-9)
            self._strain = max(self._strain, min(held / max(calm, target * self._aim), 1.0 / LIMIT_DOWN_MOST))
        self._strain = self._reports.temper(self._strain, self.pressure)
        # Not by the mean latency alone: in a jam that grows to the callers' deadline, and cuts came too late.
        if now - self._limit_at < min(patience, TIMES_CALM * self.calm, self._aim):
            return
        self._limit_at = now
        # A server holds its slot while it waits for the tiers behind it: a call for each keeps its core busy.
        least = (settings.stages - settings.stage) * self._arms / self._sharers
        if self._strain > 1.0:
            self._strained = True
            # Cut at most to what was in flight when as much was answered without a queue, and a margin.  The
            # best rate fades with time, not with answers: in a jam none come.
            fade = math.exp(-(now - self._peak_at) / (PEAK_FADE * self._aim))
            enough = LIMIT_DEPTH * self._peak * fade * min(self.calm, self._level)
            down = min(LIMIT_DOWN, max(LIMIT_DOWN_MOST, 1.0 / self._strain))
            # The mean of what is out, and a deviation more: at one moment few calls may be far fewer.
            reach = max(1.0, self._busy + math.sqrt(self._busy))
            # While the aim is far, to no less than a node starts with: in a burst of heavy work lower limits
            # halved the rate of answers.  It could hurt where servers bear far fewer calls than LIMIT_START.
            floor = max(least, LIMIT_START * self.part()) if self.pressure < 1.0 else least
            self._limit = max(floor, enough, min(self._limit, reach) * down)
        elif out + 1 >= 0.8 * self._limit and (self.calm_known() or self._seems_calm()):
            grown = self._limit * (LIMIT_UP if self._strained else LIMIT_START_UP) + 1.0
            # By Little's law more calls out than this, at the best rate seen, mean a queue.
            least = self.part() if self.calm_known() else least
            enough = max(GROW_TIMES * min(self.calm, self._least) * self._peak, LIMIT_START * least)
            enough += math.sqrt(enough)
            self._limit = max(self._limit, min(grown, enough))
        shedding = self._strain > 1.0
        if shedding != self._shedding:
            self._shedding = shedding
            text = f"admission limit {'on' if shedding else 'off'}: {self._limit:.1f} calls"
            text += f", strain {self._strain:.2f}"
            text += f", mean latency {self._level:.0f} ms, calmest {self.calm:.0f} ms"
            self._turn.log(text)
