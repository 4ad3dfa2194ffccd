"""The load reports that a simulated server sends with responses: honest, late, false or malformed."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from leadrudder.simulation.scheduler import US_PER_S

SAMPLE_PERIOD_US = US_PER_S  # between two samples of the server's load
LATE_REPORT_US = 3 * US_PER_S
MAX_RELATIVE_NOISE = 0.1


class ReportingMode(Enum):
    """How a server reports its load."""

    NONE = "none"
    HONEST = "honest"
    LATE = "late"
    IDLE = "idle"  # always claims to be idle
    FULL = "full"  # always claims to be overloaded
    GARBAGE = "garbage"


GARBAGE_REPORTS = (
    '{"util":-0.5,"inflight":3}',
    '{"util":0.5,"inflight":1e300}',
    '{"util":NaN,"inflight":2}',
    '{"util":"0.5","inflight":2}',
    '{"inflight":2}',
    "[0.5,2]",
    "{" * 300,
    "",
    '{"util":0.5,"inflight":2,',
)


class LoadReporter:
    """The load reports of one server; samples its load when a report is due and the last sample is old."""

    def __init__(self, mode: ReportingMode, seed: str) -> None:
        self.mode = mode
        self._rng = random.Random(f"{seed}/reports")
        self._samples: deque[tuple[int, float, int]] = deque()  # time, utilization, requests in flight
        self._busy_us = 0  # since the last sample
        self._sampled_us = 0

    @classmethod
    def draw(cls, site_reports: str, seed: str) -> LoadReporter:
        """Draws a server's mode from the site's: off, honest, or a mixture with many bad modes."""
        rng = random.Random(f"{seed}/way")
        if site_reports == "off":
            return cls(ReportingMode.NONE, seed)
        mode = rng.choice(list(ReportingMode)) if site_reports == "mixed" else ReportingMode.HONEST
        return cls(mode, seed)

    def record_busy(self, span_us: int) -> None:
        """Adds busy time of the server's core."""
        self._busy_us += span_us

    def load_header(self, now_us: int, held: int) -> str:
        """The header line of a response that is sent now; empty without a report."""
        if self.mode is ReportingMode.NONE:
            return ""
        if self.mode is ReportingMode.GARBAGE:
            return f"X-Load: {self._rng.choice(GARBAGE_REPORTS)}\r\n"
        if not self._samples or now_us - self._samples[-1][0] >= SAMPLE_PERIOD_US:
            share = min(1.0, self._busy_us / max(1, now_us - self._sampled_us))
            self._samples.append((now_us, share, held))
            self._busy_us, self._sampled_us = 0, now_us
        while len(self._samples) > 1 and self._samples[1][0] <= now_us - LATE_REPORT_US:
            self._samples.popleft()
        _, share, count = self._samples[0 if self.mode is ReportingMode.LATE else -1]
        if self.mode is ReportingMode.IDLE:
            share, count = 0.0, 0
        elif self.mode is ReportingMode.FULL:
            share, count = 1.0, 10 * count + 10
        noisy = max(0.0, share * (1.0 + self._rng.uniform(-MAX_RELATIVE_NOISE, MAX_RELATIVE_NOISE)))
        return f'X-Load: {{"util":{noisy:.3f},"inflight":{count}}}\r\n'
