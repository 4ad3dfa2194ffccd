"""How far this process is behind: by how much the event loop is late with what was due."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.1  # between two checks
OVERLOAD_LAG_S = (
    0.25  # further behind than this, new work is refused: it would be answered too late to be of use
)


class LoopLag:
    """Measures how late a timer with a period of CHECK_INTERVAL_S runs: any other callback waits as long.

    monotonic: seconds that only advance, finer than the loop's own time, which stands still while callbacks
    run.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._loop = asyncio.get_running_loop()
        self._last = 0.0  # how late the last check was
        self.highest_s = 0.0  # since the start
        self._schedule()

    def seconds(self) -> float:
        """How long what is run now has waited for it, at most; 0 where nothing is late."""
        late = max(0.0, self._monotonic() - self._due)
        self.highest_s = max(self.highest_s, late)
        return max(late, self._last)

    def overloaded(self) -> bool:
        """Whether new work is to be refused."""
        return self.seconds() > OVERLOAD_LAG_S

    def _schedule(self) -> None:
        self._due = self._monotonic() + CHECK_INTERVAL_S
        self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._last = 0.0
        self._last = self.seconds()
        self._schedule()
