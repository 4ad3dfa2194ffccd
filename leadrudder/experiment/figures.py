"""What a run is judged by: worth served within its aim against worth asked, and where the rest went.

Whatever is counted belongs to the time at which it was asked for. Latencies are kept as HDR histograms of
microseconds, three digits deep.
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

WORST_WINDOW_S = 10  # the worst so many seconds
SMOOTHING_S = 5  # over which a jam is seen
JAM_SERVED_SHARE = 0.5  # served less than this part of what could be: a jam
TIPPED_JAM_S = 10  # and for so long, or at the end: the fleet has tipped
LITTLES_LAW_TOLERANCE = 1e-6
RECOVERED_SHARE = 0.9  # of the service before the troubles
HISTOGRAM_MIN_US, HISTOGRAM_MAX_US = 1, 3_600_000_000

_END_RECORD = struct.Struct("<QId")
_ANSWER_CODES = {"served": 1, "refused": 2, "failed": 3, "none": 4, "unreachable": 5, "reset": 6}


def new_histogram() -> HdrHistogram:
    return HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, 3)


@dataclass(frozen=True, slots=True)
class TroubleInterval:
    """What a trouble did, for figures and charts."""

    what: str
    from_s: float
    to_s: float


@dataclass
class Tally:
    """Worth asked and worth served in time, of one class, tenant or second."""

    asked: float = 0.0
    served: float = 0.0

    @property
    def part(self) -> float:
        return self.served / self.asked if self.asked else 1.0


@dataclass(frozen=True)
class Result:
    """One run's figures: numbers by name, the course of each second, and latencies of each class."""

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
    """Counts while a run goes on."""

    def __init__(self, clock: Clock, file: File) -> None:
        self._clock, self._file = clock, file
        self._seconds = [Tally() for _ in range(int(file.length_s) + 1)]
        self._works = [0.0] * len(self._seconds)  # work asked, ms
        self._classes = [Tally() for _ in file.request_class]
        self._tenants = [Tally() for _ in file.tenant]
        self._latencies = [new_histogram() for _ in file.request_class]
        self._warm_ms = 1000.0 * file.warm_up_s
        self._digest = hashlib.blake2b(digest_size=16)
        self.open_operations: dict[int, Operation] = {}
        self.request_count = self.tries = self.attempts = 0
        self.answers: dict[str, int] = {}
        self.late = 0
        self._work_in_time = self._work_all = 0.0

    def record_request(self, operation: Operation) -> None:
        self.open_operations[operation.number] = operation
        if operation.at_ms < self._warm_ms:
            return
        self.request_count += 1
        for tally in self._tallies(operation):
            tally.asked += operation.worth
        mean = as_float(self._file.request_class[operation.class_index].work_ms)
        self._works[int(operation.at_ms / 1000.0)] += operation.units * mean

    def _tallies(self, operation: Operation) -> list[Tally]:
        found = [self._seconds[int(operation.at_ms / 1000.0)], self._classes[operation.class_index]]
        if self._tenants:
            found.append(self._tenants[operation.tenant])
        return found

    def record_end(self, operation: Operation, answer: str) -> None:
        """The last try of an operation has ended."""
        now = self._clock.now
        operation.answer, operation.ended_ms = answer, now
        self._digest.update(_END_RECORD.pack(operation.number, _ANSWER_CODES[answer], now))
        del self.open_operations[operation.number]
        if operation.at_ms < self._warm_ms:
            return
        self.answers[answer] = self.answers.get(answer, 0) + 1
        self.tries += operation.tries
        self.attempts += operation.attempts
        self._work_all += operation.work
        if answer != "served":
            return
        took = now - operation.at_ms
        kind = self._file.request_class[operation.class_index]
        self._latencies[operation.class_index].record_value(
            max(HISTOGRAM_MIN_US, min(HISTOGRAM_MAX_US, int(1000.0 * took)))
        )
        if took <= kind.aim_ms:
            self._work_in_time += operation.work
        else:
            self.late += 1
        part = 1.0 if took <= kind.aim_ms else kind.late_share if took <= kind.deadline_ms else 0.0
        for tally in self._tallies(operation):
            tally.served += part * operation.worth

    # ------------------------------------------------------------ the end

    def result(self, fleet: Fleet, struck: list[TroubleInterval], notes: list[str]) -> Result:
        """All figures, once the run has ended."""
        first, last = int(self._file.warm_up_s), int(self._file.length_s)
        seconds = self._seconds[first:last]
        asked, served = [t.asked for t in seconds], [t.served for t in seconds]
        possible = self._possible(fleet, first, last)
        course = _smooth(asked, served, SMOOTHING_S)
        total = Tally(sum(asked), sum(served))
        figures = {
            "service": total.part,
            "worst_10s": _worst(asked, served),
            "worst_class": min((t.part for t in self._classes), default=1.0),
            "worst_tenant": min((t.part for t in self._tenants), default=total.part),
            "requests": float(self.request_count),
            "tries_a_request": self.tries / max(1, sum(self.answers.values())),
            "attempts_a_request": self.attempts / max(1, sum(self.answers.values())),
            "late": self.late / max(1, self.request_count),
            "wasted": 1.0 - self._work_in_time / self._work_all if self._work_all else 0.0,
            **{
                f"ended_{what}": self.answers.get(what, 0) / max(1, self.request_count)
                for what in _ANSWER_CODES
            },
            **_jam(course, possible),
            "recover_s": _recovery(course, struck, first),
        }
        servers = [s for tier in range(len(fleet.registries)) for s in fleet.servers_of_tier(tier).values()]
        lasting = 1000.0 * self._file.length_s
        figures["slow_part"] = sum(s.congested_ms for s in servers) / (lasting * len(servers))
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
            broken["little"] = lost  # the model's own fault: it has lost or made up requests
        if self.open_operations:
            broken["unanswered"] = len(self.open_operations)
        latencies = {}
        for kind, hist in zip(self._file.request_class, self._latencies, strict=True):
            for percentile in (50.0, 90.0, 99.0):
                value = hist.get_value_at_percentile(percentile) / 1000.0 if hist.total_count else 0.0
                figures[f"{kind.name}.p{percentile:.0f}_ms"] = value
            latencies[kind.name] = base64.b64encode(hist.encode()).decode()
        self._digest.update(struct.pack("<Q", self._clock.steps))
        return Result(
            figures,
            asked,
            served,
            latencies,
            [(s.what, s.from_s, s.to_s) for s in struck],
            broken,
            self._digest.hexdigest(),
            self._clock.steps,
            notes,
        )

    def _possible(self, fleet: Fleet, first: int, last: int) -> list[float]:
        """The part of what each second asked that the whole fleet, warm, could do."""
        can = fleet.shape.capacity_per_s * fleet.shape.mean_work_ms
        smooth = _smooth([1.0] * (last - first), [w / can for w in self._works[first:last]], SMOOTHING_S)
        return [min(1.0, 1.0 / x) if x > 0.0 else 1.0 for x in smooth]


def _smooth(asked: list[float], served: list[float], over: int) -> list[float]:
    """The part served, over the seconds up to each one."""
    parts = []
    for i in range(len(asked)):
        low = max(0, i - over + 1)
        total = sum(asked[low : i + 1])
        parts.append(sum(served[low : i + 1]) / total if total else 1.0)
    return parts


def _worst(asked: list[float], served: list[float]) -> float:
    """The least part served of any ten seconds."""
    spans = range(max(1, len(asked) - WORST_WINDOW_S + 1))
    tallies = [Tally(sum(asked[i : i + WORST_WINDOW_S]), sum(served[i : i + WORST_WINDOW_S])) for i in spans]
    return min(t.part for t in tallies)


def _jam(course: list[float], possible: list[float]) -> dict[str, float]:
    """Seconds in a jam, and whether the fleet has tipped: one that lasted, or that was there at the end."""
    jammed = [part < JAM_SERVED_SHARE * most for part, most in zip(course, possible, strict=True)]
    longest = run = 0
    for bad in jammed:
        run = run + 1 if bad else 0
        longest = max(longest, run)
    tipped = longest >= TIPPED_JAM_S or (bool(jammed) and jammed[-1])
    return {"jam_s": float(sum(jammed)), "longest_jam_s": float(longest), "tipped": float(tipped)}


def _recovery(course: list[float], struck: list[TroubleInterval], first: int) -> float:
    """Seconds from the end of the last trouble until service is again what it was before the first."""
    if not struck:
        return 0.0
    begin = max(1, int(min(s.from_s for s in struck)) - first)
    end = int(max(s.to_s for s in struck)) - first
    usual = sum(course[:begin]) / len(course[:begin]) if course[:begin] else 1.0
    for i in range(max(0, end), len(course)):
        if all(part >= RECOVERED_SHARE * usual for part in course[i : i + SMOOTHING_S]):
            return float(i - end)
    return float(max(0, len(course) - end))
