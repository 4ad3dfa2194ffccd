"""The ledger: counts the outcomes of unsafe requests at both ends, by service.

The proxy at which a request starts counts the answer given to the client; the proxy beside the server counts
what the server ran. Both use the epoch in which the request started, which is sent along with it, so that
counts taken at different times can be compared. An epoch is closed when every request that started in it has
ended, and counts are reported up to a closed epoch. A request answered as served that no server ran is lost;
requests that ran more often than was answered or is in doubt ran twice. Safe requests are counted by latency.
Memory is bounded: a few numbers per service and open epoch, and the latest ids in doubt.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from leadrudder.protocol.mesh_pb2 import RequestCounts
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse

EPOCH_S = 8.0
CLOSE_AFTER_EPOCHS = 3  # routes that hold requests for longer are counted late
REPORTED_EPOCHS_KEPT = 6  # closed epochs kept per proxy
MAX_SERVICES = 256
MAX_IN_DOUBT_IDS = 16
LATENCY_BUCKETS = 40  # the upper bounds start at 2 ms and grow by a factor of 1.3
_FIRST_BUCKET_MS, _LOG_BUCKET_RATIO = 2.0, math.log(1.3)


# By service: asked, landed, failed, refused, doubt, ran, then the latency buckets of safe requests.
Counts = dict[str, list[int]]


def bucket_index(ms: float) -> int:
    if ms <= _FIRST_BUCKET_MS:
        return 0
    return min(LATENCY_BUCKETS - 1, 1 + int(math.log(ms / _FIRST_BUCKET_MS) / _LOG_BUCKET_RATIO))


def bucket_upper_bound_ms(index: int) -> float:
    """The upper bound of a latency bucket, in milliseconds."""
    return _FIRST_BUCKET_MS * math.exp(_LOG_BUCKET_RATIO * index)


def epoch_of(wall: float) -> int:
    return int(wall // EPOCH_S)


@dataclass(slots=True)
class Ledger:
    """The ledger of one proxy.  closed: counts up to the epoch `through`; open: later counts, by epoch."""

    through: int = 0
    closed: dict[str, RequestCounts] = field(default_factory=dict)
    open: dict[int, dict[str, RequestCounts]] = field(default_factory=dict)

    def close_epochs(self, wall: float) -> bool:
        """Close the epochs that are over; True if there was one."""
        through = epoch_of(wall) - CLOSE_AFTER_EPOCHS
        if through <= self.through:
            return False
        for epoch in sorted(e for e in self.open if e <= through):
            tallies = self.open.pop(epoch)
            self.closed = sum_tallies([*self.closed.values(), *tallies.values()])
        self.through = through
        return True

    def _tally(self, service: str, epoch: int) -> RequestCounts:
        tallies = self.open.setdefault(epoch, {}) if epoch > self.through else self.closed
        tally = tallies.get(service)
        if tally is None:
            while len(tallies) >= MAX_SERVICES:
                del tallies[next(iter(tallies))]
            tally = tallies[service] = RequestCounts(service=service, lookups=[0] * LATENCY_BUCKETS)
        return tally

    def record_answer(
        self,
        service: str,
        epoch: int,
        at_most_once: bool,
        request_id: str,
        outcome: ServerResponse | RequestFailure,
        ms: float,
    ) -> None:
        """Record the outcome of a request that started at this proxy."""
        tally = self._tally(service, epoch)
        if not at_most_once:
            if isinstance(outcome, ServerResponse) and 200 <= outcome.status < 300:
                tally.lookups[bucket_index(ms)] += 1
            return
        tally.asked += 1
        if isinstance(outcome, ServerResponse):
            if 200 <= outcome.status < 300:
                tally.landed += 1
            else:
                tally.failed += 1
        elif outcome.ran is Executed.NEVER:
            tally.refused += 1
        else:
            tally.doubt += 1
            tally.doubts.append(request_id)
            del tally.doubts[:-MAX_IN_DOUBT_IDS]

    def record_execution(self, service: str, epoch: int) -> None:
        """Record that the local server confirmed to have run an unsafe request."""
        self._tally(service, epoch).ran += 1


@dataclass(slots=True)
class FleetTotals:
    """The reports of all proxies, kept for the latest epochs of each."""

    reports_by_node: dict[str, dict[int, list[RequestCounts]]] = field(default_factory=dict)

    def add_report(self, node: str, through: int, tallies: Iterable[RequestCounts]) -> None:
        if not through:
            return
        epochs = self.reports_by_node.setdefault(node, {})
        if through not in epochs:
            epochs[through] = list(tallies)
            for old in sorted(epochs)[:-REPORTED_EPOCHS_KEPT]:
                del epochs[old]

    def retain_nodes(self, nodes: set[str]) -> None:
        """Forget all other nodes: reports of nodes that are gone can no longer be compared."""
        for name in [name for name in self.reports_by_node if name not in nodes]:
            del self.reports_by_node[name]

    def latest_counts(self) -> tuple[int, Counts]:
        """The latest epoch that all nodes have reported, and the counts up to it; epoch 0: there is none."""
        common = (
            set.intersection(*(set(epochs) for epochs in self.reports_by_node.values()))
            if self.reports_by_node
            else set()
        )
        if not common:
            return 0, {}
        through = max(common)
        return through, counts_by_service(
            sum_tallies(t for epochs in self.reports_by_node.values() for t in epochs[through])
        )


def sum_tallies(tallies: Iterable[RequestCounts]) -> dict[str, RequestCounts]:
    """The sum of several nodes' tallies, by service."""
    total: dict[str, RequestCounts] = {}
    for tally in tallies:
        sums = total.setdefault(
            tally.service, RequestCounts(service=tally.service, lookups=[0] * LATENCY_BUCKETS)
        )
        for name in ("asked", "landed", "failed", "refused", "doubt", "ran"):
            setattr(sums, name, getattr(sums, name) + getattr(tally, name))
        for i, count in enumerate(tally.lookups[:LATENCY_BUCKETS]):
            sums.lookups[i] += count
        sums.doubts.extend(tally.doubts)
        del sums.doubts[:-MAX_IN_DOUBT_IDS]
    return total


def counts_by_service(total: dict[str, RequestCounts]) -> Counts:
    """The form in which counts are stored with a window."""
    return {
        service: [t.asked, t.landed, t.failed, t.refused, t.doubt, t.ran, *t.lookups]
        for service, t in sorted(total.items())
    }


def difference(before: Counts, after: Counts) -> Counts:
    """The counts from one moment to a later one."""
    return {
        service: [max(0, b - a) for a, b in zip(before.get(service, [0] * len(end)), end, strict=True)]
        for service, end in after.items()
    }


def report(before: Counts, after: Counts, ordinary: Counts) -> dict[str, dict[str, Any]]:
    """By service, the outcomes of unsafe requests between two counts, and the latencies of safe ones in
    milliseconds, compared with those of ordinary hours.  Nodes that restart count from 0 again, so a count
    that decreases is treated as unchanged.
    """
    result: dict[str, dict[str, Any]] = {}
    for service, numbers in difference(before, after).items():
        asked, landed, failed, refused, doubt, ran, *latencies = numbers
        ordinary_latencies = ordinary.get(service, [0] * len(numbers))[6:]
        result[service] = {
            "asked": asked,
            "landed": landed,
            "failed": failed,
            "refused": refused,
            "in_doubt": doubt,
            "lost": max(0, landed + failed - ran),
            "twice": max(0, ran - landed - failed - doubt),
            "lookups": sum(latencies),
            "lookup_p50_ms": quantile(latencies, 0.5),
            "lookup_p99_ms": quantile(latencies, 0.99),
            "ordinary_p50_ms": quantile(ordinary_latencies, 0.5),
            "ordinary_p99_ms": quantile(ordinary_latencies, 0.99),
            "took": latencies,  # safe requests by latency bucket
            "ordinary_took": ordinary_latencies,
        }
    return result


def quantile(latencies: list[int], fraction: float) -> float | None:
    """The upper bound of the bucket that holds a quantile; None if nothing was counted."""
    left = fraction * sum(latencies)
    if not left:
        return None
    for index, count in enumerate(latencies):
        left -= count
        if left <= 0:
            return round(bucket_upper_bound_ms(index), 1)
    return None
