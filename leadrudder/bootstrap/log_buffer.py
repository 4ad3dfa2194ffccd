"""A ring buffer of log lines in memory that gives warnings their context.

record() writes nothing; log_warning() writes its line and the recorded lines before it, at a limited rate.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from absl import logging

CAPACITY_LINES = 300
DUMP_INTERVAL_S = 5.0  # minimum time between two dumps
DUMP_LINES = 25


class LogBuffer:
    """The log buffer of one process.  now: monotonic time in seconds."""

    def __init__(self, name: str, now: Callable[[], float] = time.monotonic) -> None:
        self._name, self._now = name, now
        self._lines: deque[tuple[float, str]] = deque(maxlen=CAPACITY_LINES)
        self._last_dump = float("-inf")

    def record(self, text: str) -> None:
        """Keep a line as context for later warnings."""
        self._lines.append((self._now(), text))

    def log_info(self, text: str) -> None:
        """Write a line to the log, such as the start and the end of a program."""
        self.record(text)
        logging.info("%s: %s", self._name, text)

    def log_warning(self, text: str) -> None:
        """Write a warning together with the lines recorded before it."""
        now = self._now()
        self.record(text)
        if now - self._last_dump < DUMP_INTERVAL_S:
            return
        self._last_dump = now
        logging.warning("%s: %s", self._name, text)
        for at, line in list(self._lines)[-DUMP_LINES - 1 : -1]:
            logging.warning("  %.3f s before: %s", now - at, line)

    def lines(self) -> list[str]:
        now = self._now()
        return [f"{now - at:.3f} s ago: {line}" for at, line in self._lines]
