"""Load reports that servers send with their answers: load that this node's own calls do not show.

A node sees only its own calls; a report covers the calls of all nodes.  It is old, noisy, sometimes late and
not trustworthy.  So reports only take calls away from a server: from one that reports full cores and more
requests than the mean, while the report is fresh.  A server that claims to be idle gets no more than its
share, and never counts as less utilization than this node's own outstanding calls there show.
"""

from __future__ import annotations

import math
from collections import deque

from leadrudder.interface import Settings
from leadrudder.state.records import EventContext, Server

# Column names, first as in the simulator's protocol, then as in the one over sockets.
UTILIZATION_COLUMNS = ("utilization", "util")
OUTSTANDING_COLUMNS = ("outstanding", "inflight")
QUEUE_COLUMNS = ("backlog", "queue")

SPARE_UTILIZATION = 0.9  # below this a fleet has spare capacity, if latencies are
SPARE_MAX_LATENCY_RATIO = 1.5  # less than this many times their target
FULL_UTILIZATION = 0.97  # above this it has none, whatever the latencies

REPORT_LIFETIME_MS = 4000.0  # four refreshes of a second each, and the longest delay of a report
CROWDED_UTILIZATION = 0.9  # a server is crowded only from this utilization on
CROWDED_OUTSTANDING_RATIO = 1.1  # and with more than this multiple of the mean requests, scaled by its share
MAX_OUTSTANDING = 1e6  # a report above this is invalid
MAX_UTILIZATION = 2.0  # noise and sampling lift a full server above 1, but not to 2
LOG_INTERVAL_MS = 10_000.0


class LoadReports:
    """The latest report of each listed server, and sums over the fresh ones, at O(1) a report."""

    def __init__(self, settings: Settings, context: EventContext) -> None:
        self._context = context
        self._column_count = len(settings.load_columns)
        self._utilization_column = _column_index(settings, UTILIZATION_COLUMNS)
        self._outstanding_column = _column_index(settings, OUTSTANDING_COLUMNS)
        self.enabled = self._utilization_column >= 0 and self._outstanding_column >= 0
        self._fresh: deque[tuple[float, Server]] = deque()  # oldest first; one entry for each refresh
        self.listed_servers = 0  # with and without reports
        self._fresh_count = 0
        self._outstanding_sum = 0.0
        self._utilization_sum = 0.0
        self._invalid = 0
        self._logged_at = -math.inf

    def record(self, server: Server | None, load: tuple[float, ...]) -> None:
        """Record the report of an answer or a probe; load is empty if there was none."""
        if server is None or not load or not self.enabled:
            return
        if len(load) != self._column_count or not (
            0.0 <= load[self._utilization_column] <= MAX_UTILIZATION
            and 0.0 <= load[self._outstanding_column] <= MAX_OUTSTANDING
        ):
            self._log_invalid(server)
            return
        if server.position < 0 or (
            load == server.load_report and self._context.now - server.load_reported_at < REPORT_LIFETIME_MS
        ):
            return  # no longer listed, or the same report again: answers repeat it until the next refresh
        self.discard(server)
        server.load_report, server.load_reported_at, server.outstanding_at_report = (
            load,
            self._context.now,
            len(server.outstanding),
        )
        self._add_to_sums(server, 1)
        self._fresh.append((self._context.now, server))

    def discard(self, server: Server) -> None:
        """Drop the server's report: it has left or restarted, or a newer one has come."""
        if server.load_report:
            self._add_to_sums(server, -1)
            server.load_report = ()

    def _add_to_sums(self, server: Server, sign: int) -> None:
        self._fresh_count += sign
        self._outstanding_sum = (
            self._outstanding_sum + sign * server.load_report[self._outstanding_column]
            if self._fresh_count
            else 0.0
        )
        self._utilization_sum = (
            self._utilization_sum + sign * server.load_report[self._utilization_column]
            if self._fresh_count
            else 0.0
        )

    def _drop_stale(self) -> None:
        """Drop reports that are no longer fresh."""
        earliest = self._context.now - REPORT_LIFETIME_MS
        while self._fresh and self._fresh[0][0] <= earliest:
            at, server = self._fresh.popleft()
            if server.load_reported_at == at:
                self.discard(server)

    def mean_utilization(self) -> float | None:
        """Mean CPU utilization of the fleet; None unless most of its servers report."""
        self._drop_stale()
        return (
            self._utilization_sum / self._fresh_count
            if self.enabled and 2 * self._fresh_count > self.listed_servers
            else None
        )

    def adjust_saturation(self, saturation: float, latency_ratio: float) -> float:
        """Saturation as derived from latencies, corrected by CPU utilization; above 1 the limit is cut.

        Heavy work raises latencies too: because of it one node of three cut its limit to a third while a
        fifth of the fleet's cores were free.  Where latencies are far above their target (latency_ratio is
        the ratio to it), calls wait for something other than these cores, and a limit still helps.
        """
        utilization = self.mean_utilization()
        if utilization is None or SPARE_UTILIZATION <= utilization <= FULL_UTILIZATION:
            return saturation
        if utilization > FULL_UTILIZATION:
            return max(saturation, 1.0 + utilization - FULL_UTILIZATION)
        return min(saturation, 1.0) if latency_ratio < SPARE_MAX_LATENCY_RATIO else saturation

    def crowded(self, server: Server, share: float) -> bool:
        """Whether the server reports full cores and more requests than the mean.

        share: its probability of being drawn, as a multiple of the mean one.
        """
        self._drop_stale()
        if (
            not server.load_report
            or server.load_report[self._utilization_column] < CROWDED_UTILIZATION
            or self._fresh_count < 2
        ):
            return False
        own_calls = len(server.outstanding)
        requests = max(
            own_calls, server.load_report[self._outstanding_column] + own_calls - server.outstanding_at_report
        )
        return requests > CROWDED_OUTSTANDING_RATIO * share * self._outstanding_sum / self._fresh_count

    def _log_invalid(self, server: Server) -> None:
        self._invalid += 1
        if self._context.now - self._logged_at < LOG_INTERVAL_MS:
            return
        self._context.log(
            f"{self._invalid} invalid load reports, the last from server {server.entry.server.hex()}"
        )
        self._invalid, self._logged_at = 0, self._context.now


def _column_index(settings: Settings, names: tuple[str, ...]) -> int:
    """Index of the report column with one of these names; -1 if there is none."""
    return next((i for i, name in enumerate(settings.load_columns) if name in names), -1)
