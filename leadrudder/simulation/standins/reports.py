"""What a stand-in server tells of its load with answers: honestly, late, falsely, or in no form at all."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from leadrudder.simulation.scheduler import US_PER_S

PERIOD_US = US_PER_S  # between two looks at itself
LATE_US = 3 * US_PER_S
NOISE = 0.1


class Way(Enum):
    """How a server reports."""

    NONE = "none"
    HONEST = "honest"
    LATE = "late"
    IDLE = "idle"  # whatever it does, it claims to do nothing
    FULL = "full"  # the reverse
    GARBAGE = "garbage"


GARBAGE = (
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


class Reporter:
    """One server's reports; it looks at itself when it is asked and its last look is a period old."""

    def __init__(self, way: Way, seed: str) -> None:
        self.way = way
        self._rng = random.Random(f"{seed}/reports")
        self._looks: deque[tuple[int, float, int]] = deque()  # instant, utilisation and requests held
        self._busy_us = 0  # since the last look
        self._last_us = 0

    @classmethod
    def drawn(cls, site_reports: str, seed: str) -> Reporter:
        """A server of a site that reports: off, honest, or a mixture in which many do it badly."""
        rng = random.Random(f"{seed}/way")
        if site_reports == "off":
            return cls(Way.NONE, seed)
        way = rng.choice(list(Way)) if site_reports == "mixed" else Way.HONEST
        return cls(way, seed)

    def worked(self, span_us: int) -> None:
        """Its core was busy for so long."""
        self._busy_us += span_us

    def header(self, now_us: int, held: int) -> str:
        """The header line of an answer that goes out now; empty where it tells nothing."""
        if self.way is Way.NONE:
            return ""
        if self.way is Way.GARBAGE:
            return f"X-Load: {self._rng.choice(GARBAGE)}\r\n"
        if not self._looks or now_us - self._looks[-1][0] >= PERIOD_US:
            share = min(1.0, self._busy_us / max(1, now_us - self._last_us))
            self._looks.append((now_us, share, held))
            self._busy_us, self._last_us = 0, now_us
        while len(self._looks) > 1 and self._looks[1][0] <= now_us - LATE_US:
            self._looks.popleft()
        _, share, count = self._looks[0 if self.way is Way.LATE else -1]
        if self.way is Way.IDLE:
            share, count = 0.0, 0
        elif self.way is Way.FULL:
            share, count = 1.0, 10 * count + 10
        noisy = max(0.0, share * (1.0 + self._rng.uniform(-NOISE, NOISE)))
        return f'X-Load: {{"util":{noisy:.3f},"inflight":{count}}}\r\n'
