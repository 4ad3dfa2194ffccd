"""Checks that run in the code: what must hold is stated where it must hold, and each violation is counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class Invariants:
    """The checks of one process.  tell: takes one line for a violation."""

    def __init__(self, tell: Callable[[str], None]) -> None:
        self.violations: Counter[str] = Counter()  # by the invariant's name, since the start
        self.checked = 0
        self._tell = tell

    def check(self, name: str, holds: bool, details: Callable[[], str] = str) -> None:
        """Count a violation unless it holds.  details: what was seen, worked out only then."""
        self.checked += 1
        if not holds:
            self.violations[name] += 1
            self._tell(f"invariant {name} is violated: {details()}")
