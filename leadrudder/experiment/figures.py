"""Records the figures of a run: the worth served within its aim against the worth requested, and the losses.

Every count is attributed to the second in which its request arrived. Latencies are kept as HDR histograms in
microseconds with three significant digits.
"""

from __future__ import annotations

import base64
import hashlib
import struct
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from leadrudder.experiment.clock import Clock
from leadrudder.experiment.draw import as_float
from leadrudder.experiment.fleet import Fleet
from leadrudder.experiment.node import Operation
from leadrudder.experiment.spec import File

WORST_WINDOW_S = 10  # window of the figure worst_10s
SMOOTHING_S = 5  # moving window of the service over time
JAM_SERVED_SHARE = 0.5  # a jam: less than this fraction of the possible service
TIPPED_JAM_S = 10  # a jam of this length, or one at the end, counts as tipped
LITTLES_LAW_TOLERANCE = 1e-6
RECOVERED_SHARE = 0.9  # recovered: at least this fraction of the service before the troubles
HISTOGRAM_MIN_US, HISTOGRAM_MAX_US = 1, 3_600_000_000

_END_RECORD = struct.Struct("<QId")
_ANSWER_CODES = {"served": 1, "refused": 2, "failed": 3, "none": 4, "unreachable": 5, "reset": 6}


def new_histogram() -> HdrHistogram:
    return HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, 3)


@dataclass(frozen=True, slots=True)
class TroubleInterval:
    """When a trouble was active, for figures and charts."""

    what: str
    from_s: float
    to_s: float


@dataclass
class Tally:
    """Worth requested and worth served in time, of one class, tenant or second."""

    requested: float = 0.0
    served: float = 0.0

    @property
    def served_share(self) -> float:
        return self.served / self.requested if self.requested else 1.0


@dataclass(frozen=True)
class Result:
    """Result of one run: named figures, worth per second, and the latencies of each class."""

    figures: dict[str, float]
    asked: list[float]
    served: list[float]
    latencies: dict[str, str]
    troubles: list[tuple[str, float, float]]
    broken: dict[str, int]
    digest: str
    steps: int
    notes: list[str] = field(default_factory=list)


class FigureRecorder:
    """Accumulates the figures of a run in progress."""

    def __init__(self, clock: Clock, file: File) -> None:
        self._clock, self._file = clock, file
        self._second_tallies = [Tally() for _ in range(int(file.length_s) + 1)]
        self._work_by_second_ms = [0.0] * len(self._second_tallies)
        self._class_tallies = [Tally() for _ in file.request_class]
        self._tenant_tallies = [Tally() for _ in file.tenant]
        self._latencies = [new_histogram() for _ in file.request_class]
        self._warm_up_ms = 1000.0 * file.warm_up_s
        self._digest = hashlib.blake2b(digest_size=16)
        self.open_operations: dict[int, Operation] = {}
        self.request_count = self.tries = self.attempts = 0
        self.answer_counts: dict[str, int] = {}
        self.late_count = 0
        self._work_in_time_ms = self._total_work_ms = 0.0

    def record_request(self, operation: Operation) -> None:
        self.open_operations[operation.number] = operation
        if operation.at_ms < self._warm_up_ms:
            return
        self.request_count += 1
        for tally in self._tallies(operation):
            tally.requested += operation.worth
        mean_ms = as_float(self._file.request_class[operation.class_index].work_ms)
        self._work_by_second_ms[int(operation.at_ms / 1000.0)] += operation.units * mean_ms

    def _tallies(self, operation: Operation) -> list[Tally]:
        tallies = [
            self._second_tallies[int(operation.at_ms / 1000.0)],
            self._class_tallies[operation.class_index],
        ]
        if self._tenant_tallies:
            tallies.append(self._tenant_tallies[operation.tenant])
        return tallies

    def record_end(self, operation: Operation, answer: str) -> None:
        """Record the end of an operation's last try."""
        now = self._clock.now
        operation.answer, operation.ended_ms = answer, now
        self._digest.update(_END_RECORD.pack(operation.number, _ANSWER_CODES[answer], now))
        del self.open_operations[operation.number]
        if operation.at_ms < self._warm_up_ms:
            return
        self.answer_counts[answer] = self.answer_counts.get(answer, 0) + 1
        self.tries += operation.tries
        self.attempts += operation.attempts
        self._total_work_ms += operation.work
        if answer != "served":
            return
        latency_ms = now - operation.at_ms
        request_class = self._file.request_class[operation.class_index]
        self._latencies[operation.class_index].record_value(
            max(HISTOGRAM_MIN_US, min(HISTOGRAM_MAX_US, int(1000.0 * latency_ms)))
        )
        if latency_ms <= request_class.aim_ms:
            self._work_in_time_ms += operation.work
        else:
            self.late_count += 1
        share = (
            1.0
            if latency_ms <= request_class.aim_ms
            else request_class.late_share
            if latency_ms <= request_class.deadline_ms
            else 0.0
        )
        for tally in self._tallies(operation):
            tally.served += share * operation.worth

    # ------------------------------------------------------------ result

    def result(self, fleet: Fleet, troubles: list[TroubleInterval], notes: list[str]) -> Result:
        """Compute all figures, once the run has ended."""
        first, last = int(self._file.warm_up_s), int(self._file.length_s)
        seconds = self._second_tallies[first:last]
        asked, served = [t.requested for t in seconds], [t.served for t in seconds]
        possible = self._possible_service(fleet, first, last)
        service = _moving_share(asked, served, SMOOTHING_S)
        total = Tally(sum(asked), sum(served))
        figures = {
            "service": total.served_share,
            "worst_10s": _worst_window(asked, served),
            "worst_class": min((t.served_share for t in self._class_tallies), default=1.0),
            "worst_tenant": min((t.served_share for t in self._tenant_tallies), default=total.served_share),
            "requests": float(self.request_count),
            "tries_a_request": self.tries / max(1, sum(self.answer_counts.values())),
            "attempts_a_request": self.attempts / max(1, sum(self.answer_counts.values())),
            "late": self.late_count / max(1, self.request_count),
            "wasted": 1.0 - self._work_in_time_ms / self._total_work_ms if self._total_work_ms else 0.0,
            **{
                f"ended_{what}": self.answer_counts.get(what, 0) / max(1, self.request_count)
                for what in _ANSWER_CODES
            },
            **_jam_figures(service, possible),
            "recover_s": _recovery_s(service, troubles, first),
        }
        servers = [s for tier in range(len(fleet.registries)) for s in fleet.servers_of_tier(tier).values()]
        length_ms = 1000.0 * self._file.length_s
        figures["slow_part"] = sum(s.congested_ms for s in servers) / (length_ms * len(servers))
        broken: dict[str, int] = {}
        for tier, counts in zip(self._file.fleet.tier, fleet.counts, strict=True):
            arrivals = max(1, counts.arrivals)
            figures[f"{tier.name}.refused"] = counts.refused / arrivals
            figures[f"{tier.name}.failed"] = counts.failed / arrivals
            figures[f"{tier.name}.attempts"] = counts.attempts / arrivals
            figures[f"{tier.name}.arrivals"] = float(counts.arrivals)
            for why, times in counts.reasons.items():
                figures[f"{tier.name}.refused_{why}"] = times / arrivals
            for what, times in counts.outcomes.items():
                figures[f"{tier.name}.{what.replace(' ', '_')}"] = times / max(1, counts.attempts)
            for rule, times in counts.violations.items():
                broken[rule] = broken.get(rule, 0) + times
        fallen = sum(s.collapsed for s in servers)
        if fallen:
            broken["cold"] = fallen
        lost = sum(s.littles_law_error() > LITTLES_LAW_TOLERANCE for s in servers)
        if lost:
            broken["little"] = (
                lost  # Little's law does not hold: the model itself has lost or invented requests
            )
        if self.open_operations:
            broken["unanswered"] = len(self.open_operations)
        latencies = {}
        for request_class, histogram in zip(self._file.request_class, self._latencies, strict=True):
            for percentile in (50.0, 90.0, 99.0):
                value = (
                    histogram.get_value_at_percentile(percentile) / 1000.0 if histogram.total_count else 0.0
                )
                figures[f"{request_class.name}.p{percentile:.0f}_ms"] = value
            latencies[request_class.name] = base64.b64encode(histogram.encode()).decode()
        self._digest.update(struct.pack("<Q", self._clock.steps))
        return Result(
            figures,
            asked,
            served,
            latencies,
            [(t.what, t.from_s, t.to_s) for t in troubles],
            broken,
            self._digest.hexdigest(),
            self._clock.steps,
            notes,
        )

    def _possible_service(self, fleet: Fleet, first: int, last: int) -> list[float]:
        """Return, for each second, the fraction of the requested work that the fleet could do when warm."""
        capacity_ms = fleet.shape.capacity_per_s * fleet.shape.mean_work_ms
        demand = _moving_share(
            [1.0] * (last - first),
            [w / capacity_ms for w in self._work_by_second_ms[first:last]],
            SMOOTHING_S,
        )
        return [min(1.0, 1.0 / x) if x > 0.0 else 1.0 for x in demand]


def _moving_share(asked: list[float], served: list[float], window: int) -> list[float]:
    """Return the fraction served over the window of seconds that ends with each second."""
    shares = []
    for i in range(len(asked)):
        low = max(0, i - window + 1)
        total = sum(asked[low : i + 1])
        shares.append(sum(served[low : i + 1]) / total if total else 1.0)
    return shares


def _worst_window(asked: list[float], served: list[float]) -> float:
    """Return the lowest fraction served in any window of WORST_WINDOW_S."""
    starts = range(max(1, len(asked) - WORST_WINDOW_S + 1))
    tallies = [Tally(sum(asked[i : i + WORST_WINDOW_S]), sum(served[i : i + WORST_WINDOW_S])) for i in starts]
    return min(t.served_share for t in tallies)


def _jam_figures(service: list[float], possible: list[float]) -> dict[str, float]:
    """Return the seconds in a jam, the longest jam, and whether the fleet tipped."""
    jammed = [share < JAM_SERVED_SHARE * limit for share, limit in zip(service, possible, strict=True)]
    longest = current = 0
    for in_jam in jammed:
        current = current + 1 if in_jam else 0
        longest = max(longest, current)
    tipped = longest >= TIPPED_JAM_S or (bool(jammed) and jammed[-1])
    return {"jam_s": float(sum(jammed)), "longest_jam_s": float(longest), "tipped": float(tipped)}


def _recovery_s(service: list[float], troubles: list[TroubleInterval], first: int) -> float:
    """Return the seconds from the end of the last trouble until service is back at its earlier level."""
    if not troubles:
        return 0.0
    begin = max(1, int(min(t.from_s for t in troubles)) - first)
    end = int(max(t.to_s for t in troubles)) - first
    baseline = sum(service[:begin]) / len(service[:begin]) if service[:begin] else 1.0
    for i in range(max(0, end), len(service)):
        if all(share >= RECOVERED_SHARE * baseline for share in service[i : i + SMOOTHING_S]):
            return float(i - end)
    return float(max(0, len(service) - end))
