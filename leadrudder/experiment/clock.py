"""Virtual time for models: one heap of calls, in milliseconds; ties go in the order of asking."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_CANCELLED_TO_COMPACT = 1000


class StepLimitError(Exception):
    """More steps than the experiment allows."""


class ScheduledCall:
    """A call that is due; cancel takes it back."""

    __slots__ = ("_clock", "args", "call")

    def __init__(
        self, clock: Clock | None, call: Callable[..., object] | None, args: tuple[Any, ...]
    ) -> None:
        self._clock = clock
        self.call = call
        self.args = args

    def cancel(self) -> None:
        if self.call is None:
            return
        self.call = None
        self.args = ()
        if self._clock is not None:
            self._clock.cancelled()


class Clock:
    """Time that only moves from call to call."""

    def __init__(self, most_steps: int = 50_000_000) -> None:
        self.now = 0.0
        self.steps = 0
        self._most = most_steps
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._number = 0
        self._void = 0  # entries that were cancelled and are still on the heap

    def cancelled(self) -> None:
        """One more is; what nobody waits for is taken off before it is half of the heap.

        Time-outs are nearly always cancelled, and far away: in a large fleet they were most of the heap.
        """
        self._void += 1
        if self._void > MIN_CANCELLED_TO_COMPACT and 2 * self._void > len(self._heap):
            self._heap[:] = [item for item in self._heap if item[2].call is not None]
            heapq.heapify(self._heap)
            self._void = 0

    def after(self, delay_ms: float, call: Callable[..., object], *args: Any) -> ScheduledCall:
        """Call it so many milliseconds from now; what lies in the past is due now."""
        entry = ScheduledCall(self, call, args)
        self._number += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay_ms), self._number, entry))
        return entry

    def run(self, until_ms: float) -> None:
        """Make all calls that are due by then; Endless past the most steps."""
        heap = self._heap
        while heap and heap[0][0] <= until_ms:
            when, _, entry = heapq.heappop(heap)
            call = entry.call
            if call is None:
                self._void -= 1
                continue
            entry.call = None  # cancelling it from now on is no matter of the heap's
            self.now = when
            self.steps += 1
            if self.steps > self._most:
                raise StepLimitError(f"more than {self._most} steps by {when / 1000.0:.1f} s of virtual time")
            call(*entry.args)
        self.now = until_ms
