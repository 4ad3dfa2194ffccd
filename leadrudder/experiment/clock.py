"""Virtual time for models: one heap of scheduled calls, in milliseconds; ties run in scheduling order."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_CANCELLED_TO_COMPACT = 1000


class StepLimitError(Exception):
    """A run took more steps than the experiment allows."""


class ScheduledCall:
    """A call scheduled for later; cancel removes it."""

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
            self._clock.note_cancelled()


class Clock:
    """Time that only advances from call to call."""

    def __init__(self, max_steps: int = 50_000_000) -> None:
        self.now = 0.0
        self.steps = 0
        self._max_steps = max_steps
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._sequence = 0
        self._cancelled_count = 0  # cancelled entries that are still on the heap

    def note_cancelled(self) -> None:
        """Count a cancelled entry; rebuild the heap before such entries are more than half of it.

        Time-outs are nearly always cancelled and due late: in a large fleet they were most of the heap.
        """
        self._cancelled_count += 1
        if self._cancelled_count > MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled_count > len(self._heap):
            self._heap[:] = [item for item in self._heap if item[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def after(self, delay_ms: float, call: Callable[..., object], *args: Any) -> ScheduledCall:
        """Schedule a call; a negative delay counts as none."""
        entry = ScheduledCall(self, call, args)
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay_ms), self._sequence, entry))
        return entry

    def run(self, until_ms: float) -> None:
        """Run all calls that are due by then; raises StepLimitError past the step limit."""
        heap = self._heap
        while heap and heap[0][0] <= until_ms:
            due_ms, _, entry = heapq.heappop(heap)
            call = entry.call
            if call is None:
                self._cancelled_count -= 1
                continue
            entry.call = None  # it has left the heap: a later cancel must not count it
            self.now = due_ms
            self.steps += 1
            if self.steps > self._max_steps:
                raise StepLimitError(
                    f"more than {self._max_steps} steps by {due_ms / 1000.0:.1f} s of virtual time"
                )
            call(*entry.args)
        self.now = until_ms
