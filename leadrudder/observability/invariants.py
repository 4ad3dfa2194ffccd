"""Runtime invariant checks: stated where they must hold, with violations counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class Invariants:
    """The invariants of one process.  report: called with a line for each violation."""

    def __init__(self, report: Callable[[str], None]) -> None:
        self.violations: Counter[str] = Counter()  # by the invariant's name, since the start
        self.checked = 0
        self._report = report

    def check(self, name: str, holds: bool, details: Callable[[], str] = str) -> None:
        """Count a violation unless the invariant holds.  details: called only to describe a violation."""
        self.checked += 1
        if not holds:
            self.violations[name] += 1
            self._report(f"invariant {name} violated: {details()}")
