"""The ledger of bookings: what became of unsafe requests, counted at both ends, by service.

Where a request began it is told what its client was told; at the gate beside a server, what that server ran.
Both count it in the epoch in which it began, which travels with it, so that counts taken at different
moments can be held against each other: an epoch is closed when whatever began in it is over, and counts are
told through a closed one. What was told as served and that no server ran is lost; what ran more often than
anybody was told or is in doubt of ran twice. Look-ups are counted by how long they took. Bounded: a handful
of numbers a service and open epoch, and the latest ids in doubt.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from leadrudder.protocol.mesh_pb2 import Tally
from leadrudder.protocol.outcome import Ran, Reply, Verdict

EPOCH_S = 8.0
CLOSE_AFTER_EPOCHS = (
    3  # epochs after which one is closed: routes that hold requests for longer are counted late
)
REPORTED_EPOCHS_KEPT = 6  # closed epochs whose counts are remembered of each station
MAX_SERVICES = 256
MAX_IN_DOUBT_IDS = 16  # ids that are told
LATENCY_BUCKETS = 40  # of look-ups' times, each 1.3 times as long as the one before, from 2 ms on
_FIRST_BUCKET_MS, _LOG_BUCKET_RATIO = 2.0, math.log(1.3)


Counts = dict[str, list[int]]  # by service: asked, landed, failed, refused, doubt, ran, then look-ups


def bucket_index(ms: float) -> int:
    if ms <= _FIRST_BUCKET_MS:
        return 0
    return min(LATENCY_BUCKETS - 1, 1 + int(math.log(ms / _FIRST_BUCKET_MS) / _LOG_BUCKET_RATIO))


def bucket_upper_bound_ms(index: int) -> float:
    """The longest time of a bucket, ms."""
    return _FIRST_BUCKET_MS * math.exp(_LOG_BUCKET_RATIO * index)


def epoch_of(wall: float) -> int:
    return int(wall // EPOCH_S)


@dataclass(slots=True)
class Ledger:
    """One station's.  closed: counts through the epoch `through`; open: those after it, by epoch."""

    through: int = 0
    closed: dict[str, Tally] = field(default_factory=dict)
    open: dict[int, dict[str, Tally]] = field(default_factory=dict)

    def close_epochs(self, wall: float) -> bool:
        """Close what is over; True if anything was."""
        through = epoch_of(wall) - CLOSE_AFTER_EPOCHS
        if through <= self.through:
            return False
        for epoch in sorted(e for e in self.open if e <= through):
            done = self.open.pop(epoch)
            self.closed = sum_tallies([*self.closed.values(), *done.values()])
        self.through = through
        return True

    def _tally(self, service: str, epoch: int) -> Tally:
        tallies = self.open.setdefault(epoch, {}) if epoch > self.through else self.closed
        tally = tallies.get(service)
        if tally is None:
            while len(tallies) >= MAX_SERVICES:
                del tallies[next(iter(tallies))]
            tally = tallies[service] = Tally(service=service, lookups=[0] * LATENCY_BUCKETS)
        return tally

    def record_answer(
        self, service: str, epoch: int, once: bool, name: str, what: Reply | Verdict, ms: float
    ) -> None:
        """A request that began here in an epoch has its answer."""
        tally = self._tally(service, epoch)
        if not once:
            if isinstance(what, Reply) and 200 <= what.status < 300:
                tally.lookups[bucket_index(ms)] += 1
            return
        tally.asked += 1
        if isinstance(what, Reply):
            if 200 <= what.status < 300:
                tally.landed += 1
            else:
                tally.failed += 1
        elif what.ran is Ran.NEVER:
            tally.refused += 1
        else:
            tally.doubt += 1
            tally.doubts.append(name)
            del tally.doubts[:-MAX_IN_DOUBT_IDS]

    def record_execution(self, service: str, epoch: int) -> None:
        """The server beside us has run an unsafe request of an epoch, and said so."""
        self._tally(service, epoch).ran += 1


@dataclass(slots=True)
class FleetTotals:
    """What all stations told, remembered for the latest epochs of each."""

    reports_by_node: dict[str, dict[int, list[Tally]]] = field(default_factory=dict)

    def add_report(self, station: str, through: int, tallies: Iterable[Tally]) -> None:
        if not through:
            return
        epochs = self.reports_by_node.setdefault(station, {})
        if through not in epochs:
            epochs[through] = list(tallies)
            for old in sorted(epochs)[:-REPORTED_EPOCHS_KEPT]:
                del epochs[old]

    def retain_nodes(self, stations: set[str]) -> None:
        """Others are gone: what they told cannot be held against anything any more."""
        for name in [name for name in self.reports_by_node if name not in stations]:
            del self.reports_by_node[name]

    def latest_counts(self) -> tuple[int, Counts]:
        """Counts through the latest epoch that all have told; epoch 0: there is none."""
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


def sum_tallies(tallies: Iterable[Tally]) -> dict[str, Tally]:
    """Those of several stations, by service."""
    total: dict[str, Tally] = {}
    for tally in tallies:
        known = total.setdefault(tally.service, Tally(service=tally.service, lookups=[0] * LATENCY_BUCKETS))
        for name in ("asked", "landed", "failed", "refused", "doubt", "ran"):
            setattr(known, name, getattr(known, name) + getattr(tally, name))
        for i, count in enumerate(tally.lookups[:LATENCY_BUCKETS]):
            known.lookups[i] += count
        known.doubts.extend(tally.doubts)
        del known.doubts[:-MAX_IN_DOUBT_IDS]
    return total


def counts_by_service(total: dict[str, Tally]) -> Counts:
    """As they are kept with a window."""
    return {
        service: [t.asked, t.landed, t.failed, t.refused, t.doubt, t.ran, *t.lookups]
        for service, t in sorted(total.items())
    }


def difference(before: Counts, after: Counts) -> Counts:
    """What was counted between the two."""
    return {
        service: [max(0, b - a) for a, b in zip(before.get(service, [0] * len(end)), end, strict=True)]
        for service, end in after.items()
    }


def report(before: Counts, after: Counts, ordinary: Counts) -> dict[str, dict[str, Any]]:
    """By service, what became of bookings between two counts, and look-ups' times beside those of ordinary
    hours, ms.  Counts of stations that were started anew meanwhile begin at 0: what falls is left out.
    """
    told: dict[str, dict[str, Any]] = {}
    for service, numbers in difference(before, after).items():
        asked, landed, failed, refused, doubt, ran, *took = numbers
        usual = ordinary.get(service, [0] * len(numbers))[6:]
        told[service] = {
            "asked": asked,
            "landed": landed,
            "failed": failed,
            "refused": refused,
            "in_doubt": doubt,
            "lost": max(0, landed + failed - ran),
            "twice": max(0, ran - landed - failed - doubt),
            "lookups": sum(took),
            "lookup_p50_ms": quantile(took, 0.5),
            "lookup_p99_ms": quantile(took, 0.99),
            "ordinary_p50_ms": quantile(usual, 0.5),
            "ordinary_p99_ms": quantile(usual, 0.99),
            "took": took,  # look-ups by bucket
            "ordinary_took": usual,
        }
    return told


def quantile(took: list[int], part: float) -> float | None:
    """The longest time of the bucket that holds it; None where nothing was counted."""
    left = part * sum(took)
    if not left:
        return None
    for index, count in enumerate(took):
        left -= count
        if left <= 0:
            return round(bucket_upper_bound_ms(index), 1)
    return None
