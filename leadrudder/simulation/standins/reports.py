"""What a stand-in server tells of its load with answers: honestly, late, falsely, or in no form at all."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from leadrudder.simulation.scheduler import US_PER_S

SAMPLE_PERIOD_US = US_PER_S  # between two looks at itself
LATE_REPORT_US = 3 * US_PER_S
MAX_RELATIVE_NOISE = 0.1


class ReportingMode(Enum):
    """How a server reports."""

    NONE = "none"
    HONEST = "honest"
    LATE = "late"
    IDLE = "idle"  # whatever it does, it claims to do nothing
    FULL = "full"  # the reverse
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
    """One server's reports; it looks at itself when it is asked and its last look is a period old."""

    def __init__(self, mode: ReportingMode, seed: str) -> None:
        self.mode = mode
        self._rng = random.Random(f"{seed}/reports")
        self._samples: deque[tuple[int, float, int]] = deque()  # instant, utilisation and requests held
        self._busy_us = 0  # since the last look
        self._sampled_us = 0

    @classmethod
    def draw(cls, site_reports: str, seed: str) -> LoadReporter:
        """A server of a site that reports: off, honest, or a mixture in which many do it badly."""
        rng = random.Random(f"{seed}/way")
        if site_reports == "off":
            return cls(ReportingMode.NONE, seed)
        mode = rng.choice(list(ReportingMode)) if site_reports == "mixed" else ReportingMode.HONEST
        return cls(mode, seed)

    def record_busy(self, span_us: int) -> None:
        """Its core was busy for so long."""
        self._busy_us += span_us

    def load_header(self, now_us: int, held: int) -> str:
        """The header line of an answer that goes out now; empty where it tells nothing."""
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
