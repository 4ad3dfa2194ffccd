"""What is turned away: the limit of calls out, and who may use the last of it."""

from __future__ import annotations

from leadrudder.interface import Settings
from leadrudder.policy.attempts import Request
from leadrudder.recovery.limit import ConcurrencyLimit, KneeLimit
from leadrudder.recovery.strain import Saturation
from leadrudder.state.records import EventContext
from leadrudder.state.reports import LoadReports

KEPT = 0.2  # of the limit, the more the less a request is worth: for what is worth most, under strain
KEPT_FROM = 0.7  # and from this strain on, rising: with less than that it only keeps places empty
KEPT_HOPELESS = 0.5  # and this much, while strained, for what can still come in time


class Admission:
    """Calls out against their limit, which leadrudder/recovery/ sets by what it knows of the strain."""

    def __init__(
        self,
        settings: Settings,
        turn: EventContext,
        reports: LoadReports,
        limit: ConcurrencyLimit | None = None,
    ) -> None:
        self._top = max(c.worth for c in settings.classes) or 1.0
        self._settings = settings
        self._turn = turn
        # What all nodes of the front admit is split over them.  Further in each node stands for itself: what
        # it sends was admitted at the front, and a call held back there costs all the work done for it.
        self._sharers = 1 if settings.stage else settings.balancers
        self._arms = 0.0  # warm servers that stand behind the limit
        self.strain = Saturation(settings, turn, reports)
        self.limit: ConcurrencyLimit = KneeLimit(settings, turn) if limit is None else limit
        self._shedding = False

    def bear(self, capacity: float) -> None:
        """The fleet bears as much as so many warm servers: the limit and what it rests on move along."""
        if capacity == self._arms or not capacity:
            return
        by = capacity / self._arms if self._arms else 1.0
        self._arms = capacity
        self.strain.rescale(by)
        self.limit.rescale(by, capacity, capacity / self._sharers)

    def has_room(self, request: Request, out: int) -> bool:
        """Whether the limit of calls out leaves room for this request.

        At the front a part is kept for what is worth more, as trunk reservation does: without it a request
        of the least worth takes the place that comes free a moment before one of the most asks for it.

        Where many nodes share few calls it is a few calls or less than one: each request carries the chance
        that settles the fraction.
        """
        kept = KEPT * (1.0 - min(request.value.worth / self._top, 1.0)) if not self._settings.stage else 0.0
        kept *= min(max((self.strain.value - KEPT_FROM) / (1.0 - KEPT_FROM), 0.0), 1.0)
        if request.value.hopeless and self.strain.value > 1.0:
            kept = KEPT_HOPELESS
        return out + request.chance < self.limit.value * (1.0 - kept)

    def feel(self, latency_share: float, out: int, patience: float) -> None:
        """An answer or a call given up: its latency as a part of its aim, the calls out, the mean latency."""
        strain = self.strain
        strain.record_outcome(latency_share, out)
        self.limit.record_outcome(strain, latency_share, out, patience)
        shedding = strain.value > 1.0
        if shedding != self._shedding:
            self._shedding = shedding
            text = f"admission limit {'on' if shedding else 'off'}: {self.limit.value:.1f} calls"
            text += f", strain {strain.value:.2f}"
            text += f", mean latency {strain.mean_latency_ms:.0f} ms, calmest {strain.baseline_ms:.0f} ms"
            self._turn.log(text)
