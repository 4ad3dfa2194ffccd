"""The record of a run: what was sent, answered and run, with times; and the exit codes of the scripts."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Lines with seconds since the start, in record.txt of the folder of a case."""

    def __init__(self, script: str) -> None:
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(Path(script).resolve().parent / "record.txt", "w")  # noqa: SIM115

    def note(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()

    def end(self, code: int, text: str) -> int:
        """Note the result; returns the exit code."""
        self.note(f"{('held', 'BROKEN', 'could not run')[code]}: {text}")
        print(f"{('held', 'BROKEN', 'could not run')[code]}: {text}", file=sys.stderr)
        return code
