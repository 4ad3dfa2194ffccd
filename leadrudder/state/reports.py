"""What servers tell of their load in answers, as evidence of what this node's own calls cannot show.

A node sees the calls of its own; a report tells of those of all nodes.  It is old, noisy, late at times, and
nobody vouches for it.  So it only takes calls away from a server: from one that tells of full cores and of
more requests than the mean, for as long as that is fresh.  Who claims to be idle gets no more than its share,
and is never held for less busy than with the calls that this node itself has out there.
"""

from __future__ import annotations

import math
from collections import deque

from leadrudder.interface import Settings
from leadrudder.state.records import EventContext, Server

# By the names of the simulator's wire and of the sockets.
UTILIZATION_COLUMNS = ("utilization", "util")
OUTSTANDING_COLUMNS = ("outstanding", "inflight")
QUEUE_COLUMNS = ("backlog", "queue")

SPARE_UTILIZATION = (
    0.9  # with its cores less busy than this a fleet has room, while latencies are near their target
)
SPARE_MAX_LATENCY_RATIO = 1.5
FULL_UTILIZATION = 0.97  # and with busier ones it has none, whatever latencies tell

REPORT_LIFETIME_MS = 4000.0  # some four refreshes of a second, and the longest that reports are late
CROWDED_UTILIZATION = 0.9  # a server's utilisation above which it can be crowded
CROWDED_OUTSTANDING_RATIO = 1.1  # and its requests against the mean, by its share
MAX_OUTSTANDING = 1e6  # a report beyond this is none
MAX_UTILIZATION = 2.0  # noise and sampling lift a full one above 1, not to twice that
LOG_INTERVAL_MS = 10_000.0


class LoadReports:
    """The latest report of each listed server, and the sums of those that are fresh: O(1) a report."""

    def __init__(self, settings: Settings, turn: EventContext) -> None:
        self._turn = turn
        self._columns = len(settings.load_columns)
        self._util = _column(settings, UTILIZATION_COLUMNS)
        self._held = _column(settings, OUTSTANDING_COLUMNS)
        self.enabled = self._util >= 0 and self._held >= 0
        self._fresh: deque[tuple[float, Server]] = deque()  # the oldest first; one entry for each refresh
        self.listed_servers = 0  # listed, of which some tell nothing
        self._known = 0
        self._held_sum = 0.0
        self._util_sum = 0.0
        self._bad = 0
        self._logged = -math.inf

    def record(self, server: Server | None, load: tuple[float, ...]) -> None:
        """A report came with an answer or a probe; empty where there was none."""
        if server is None or not load or not self.enabled:
            return
        if len(load) != self._columns or not (
            0.0 <= load[self._util] <= MAX_UTILIZATION and 0.0 <= load[self._held] <= MAX_OUTSTANDING
        ):
            self._complain(server)
            return
        if server.position < 0 or (
            load == server.load_report and self._turn.now - server.load_reported_at < REPORT_LIFETIME_MS
        ):
            return  # not listed any more; or the same again, as each answer between two refreshes brings it
        self.discard(server)
        server.load_report, server.load_reported_at, server.outstanding_at_report = (
            load,
            self._turn.now,
            len(server.outstanding),
        )
        self._count(server, 1)
        self._fresh.append((self._turn.now, server))

    def discard(self, server: Server) -> None:
        """What it told is void: it has left, was started anew, or tells something newer."""
        if server.load_report:
            self._count(server, -1)
            server.load_report = ()

    def _count(self, server: Server, times: int) -> None:
        self._known += times
        self._held_sum = self._held_sum + times * server.load_report[self._held] if self._known else 0.0
        self._util_sum = self._util_sum + times * server.load_report[self._util] if self._known else 0.0

    def _age(self) -> None:
        """What is no longer fresh tells nothing."""
        oldest = self._turn.now - REPORT_LIFETIME_MS
        while self._fresh and self._fresh[0][0] <= oldest:
            at, server = self._fresh.popleft()
            if server.load_reported_at == at:
                self.discard(server)

    def mean_utilization(self) -> float | None:
        """How busy the cores of the fleet are, in the mean; None unless most of its servers tell."""
        self._age()
        return (
            self._util_sum / self._known if self.enabled and 2 * self._known > self.listed_servers else None
        )

    def adjust_saturation(self, strain: float, pressure: float) -> float:
        """Strain as latencies tell it, seen beside the cores that are busy; more than 1 cuts the limit.

        Latencies rise by heavy work too, and with them one node of three had cut its limit to a third while
        the fleet had a fifth of its cores free.  Where they are far above their target (pressure is their
        ratio) it is not the cores of these servers that they wait for, and a limit still helps.
        """
        busy = self.mean_utilization()
        if busy is None or SPARE_UTILIZATION <= busy <= FULL_UTILIZATION:
            return strain
        if busy > FULL_UTILIZATION:
            return max(strain, 1.0 + busy - FULL_UTILIZATION)
        return min(strain, 1.0) if pressure < SPARE_MAX_LATENCY_RATIO else strain

    def crowded(self, server: Server, share: float) -> bool:
        """Whether it tells of full cores and of more requests than the mean; share: its part of the draws, as
        a multiple of the mean part."""
        self._age()
        if not server.load_report or server.load_report[self._util] < CROWDED_UTILIZATION or self._known < 2:
            return False
        own = len(server.outstanding)
        held = max(own, server.load_report[self._held] + own - server.outstanding_at_report)
        return held > CROWDED_OUTSTANDING_RATIO * share * self._held_sum / self._known

    def _complain(self, server: Server) -> None:
        self._bad += 1
        if self._turn.now - self._logged < LOG_INTERVAL_MS:
            return
        self._turn.log(
            f"{self._bad} load reports can't be meant, the last of server {server.entry.server.hex()}"
        )
        self._bad, self._logged = 0, self._turn.now


def _column(settings: Settings, names: tuple[str, ...]) -> int:
    """Where a figure stands in a report; -1 where reports do not hold it."""
    return next((i for i, name in enumerate(settings.load_columns) if name in names), -1)
