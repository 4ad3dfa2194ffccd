"""Admission control: the limit of calls in flight, and the part reserved for requests of higher worth."""

from __future__ import annotations

from leadrudder.interface import Settings
from leadrudder.policy.attempts import Request
from leadrudder.recovery.limit import ConcurrencyLimit, KneeLimit
from leadrudder.recovery.saturation import Saturation
from leadrudder.state.records import EventContext
from leadrudder.state.reports import LoadReports

# When saturated, share of the limit that is closed to requests of lowest worth; in proportion for others.
RESERVED_SHARE = 0.2
RESERVE_ABOVE_SATURATION = 0.7  # from here the reservation grows; below, it would only leave slots idle
# When saturated, share of the limit that is closed to requests which cannot be answered in time any more.
HOPELESS_RESERVED_SHARE = 0.5


class Admission:
    """Compares the calls in flight with their limit, which leadrudder/recovery/ derives from saturation."""

    def __init__(
        self,
        settings: Settings,
        turn: EventContext,
        reports: LoadReports,
        limit: ConcurrencyLimit | None = None,
    ) -> None:
        self._max_worth = max(c.worth for c in settings.classes) or 1.0
        self._settings = settings
        self._turn = turn
        # The capacity is divided among the nodes of the first tier.  Inner tiers do not divide it: their
        # calls were admitted at the first tier, and holding one back wastes the work already done for it.
        self._sharing_nodes = 1 if settings.stage else settings.balancers
        self._warm_servers = 0.0  # the capacity that the limit is based on
        self.saturation = Saturation(settings, turn, reports)
        self.limit: ConcurrencyLimit = KneeLimit(settings, turn) if limit is None else limit
        self._shedding = False

    def set_capacity(self, capacity: float) -> None:
        """Sets the capacity of the fleet, in warm servers, and scales limit and saturation with it."""
        if capacity == self._warm_servers or not capacity:
            return
        factor = capacity / self._warm_servers if self._warm_servers else 1.0
        self._warm_servers = capacity
        self.saturation.rescale(factor)
        self.limit.rescale(factor, capacity, capacity / self._sharing_nodes)

    def has_room(self, request: Request, out: int) -> bool:
        """Whether the limit of calls in flight admits this request.

        The first tier reserves a part for requests of higher worth (trunk reservation): otherwise a request
        of the lowest worth takes the slot that is freed just before one of the highest worth arrives.

        Where many nodes share few calls, the limit of a node is a few calls or less than one: the request's
        random draw decides about the fraction.
        """
        reserved = (
            RESERVED_SHARE * (1.0 - min(request.appraisal.worth / self._max_worth, 1.0))
            if not self._settings.stage
            else 0.0
        )
        reserved *= min(
            max((self.saturation.value - RESERVE_ABOVE_SATURATION) / (1.0 - RESERVE_ABOVE_SATURATION), 0.0),
            1.0,
        )
        if request.appraisal.hopeless and self.saturation.value > 1.0:
            reserved = HOPELESS_RESERVED_SHARE
        return out + request.admission_draw < self.limit.value * (1.0 - reserved)

    def record_latency(self, latency_share: float, out: int, mean_latency_ms: float) -> None:
        """Records an answered or abandoned call; latency_share: its latency as a fraction of the target."""
        saturation = self.saturation
        saturation.record_outcome(latency_share, out)
        self.limit.record_outcome(saturation, latency_share, out, mean_latency_ms)
        shedding = saturation.value > 1.0
        if shedding != self._shedding:
            self._shedding = shedding
            text = f"admission limit {'on' if shedding else 'off'}: {self.limit.value:.1f} calls"
            text += f", saturation {saturation.value:.2f}"
            text += (
                f", mean latency {saturation.mean_latency_ms:.0f} ms, lowest {saturation.baseline_ms:.0f} ms"
            )
            self._turn.log(text)
