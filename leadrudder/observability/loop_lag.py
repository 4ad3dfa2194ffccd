"""Event-loop lag: how late the event loop runs callbacks that are due."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.1
OVERLOAD_LAG_S = 0.25  # new work is refused beyond this lag: its answers would come too late to be useful


class LoopLag:
    """Measures how late a timer with a period of CHECK_INTERVAL_S runs: any other callback waits as long.

    monotonic: monotonic time in seconds, finer than the loop's own, which does not advance during callbacks.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._loop = asyncio.get_running_loop()
        self._last_check_lag_s = 0.0  # lag of the last check
        self.highest_s = 0.0  # since the start
        self._checked_at = self._previously_checked_at = monotonic()
        self._schedule()

    def seconds(self) -> float:
        """Upper bound of how long the running callback has waited; 0 if nothing is late."""
        lag_s = max(0.0, self._monotonic() - self._next_check_at)
        self.highest_s = max(self.highest_s, lag_s)
        return max(lag_s, self._last_check_lag_s)

    def earliest_arrival(self) -> float:
        """The earliest time at which input that is read now from an open connection can have arrived.

        The loop polls all connections between two checks, so what was there then has been read before.  That
        holds too if the process stood still, before or after the last check.
        """
        return self._previously_checked_at

    def overloaded(self) -> bool:
        """Whether new work must be refused."""
        return self.seconds() > OVERLOAD_LAG_S

    def _schedule(self) -> None:
        self._next_check_at = self._monotonic() + CHECK_INTERVAL_S
        self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._previously_checked_at, self._checked_at = self._checked_at, self._monotonic()
        self._last_check_lag_s = 0.0
        self._last_check_lag_s = self.seconds()
        self._schedule()
