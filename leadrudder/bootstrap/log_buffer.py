"""A ring of lines in memory, written out when something goes wrong, and little else.

note() costs no output; wrong() writes its line with what went before it, at most so often.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from absl import logging

CAPACITY_LINES = 300
DUMP_INTERVAL_S = 5.0  # between two times that the ring is written out
DUMP_LINES = 25  # lines of it


class LogBuffer:
    """One process's.  now: seconds that only advance."""

    def __init__(self, name: str, now: Callable[[], float] = time.monotonic) -> None:
        self._name, self._now = name, now
        self._lines: deque[tuple[float, str]] = deque(maxlen=CAPACITY_LINES)
        self._written = float("-inf")

    def record(self, text: str) -> None:
        """Something to be known when something else goes wrong."""
        self._lines.append((self._now(), text))

    def log_info(self, text: str) -> None:
        """A line that is always written: starts and ends."""
        self.record(text)
        logging.info("%s: %s", self._name, text)

    def log_warning(self, text: str) -> None:
        """Something that should not be: written with what went before it."""
        now = self._now()
        self.record(text)
        if now - self._written < DUMP_INTERVAL_S:
            return
        self._written = now
        logging.warning("%s: %s", self._name, text)
        for at, line in list(self._lines)[-DUMP_LINES - 1 : -1]:
            logging.warning("  %.3f s before: %s", now - at, line)

    def lines(self) -> list[str]:
        now = self._now()
        return [f"{now - at:.3f} s ago: {line}" for at, line in self._lines]
