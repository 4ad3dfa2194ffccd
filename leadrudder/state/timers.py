"""Timer queue that needs a single wake-up at a time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator

Subject = int | bytes | None
MIN_PRUNE_SIZE = 256  # up to this size no timer is checked for being obsolete


class TimerQueue:
    """Timers, each of a kind and a subject; the owner provides the time.

    is_obsolete tells which timers nobody waits for any more.  They are removed whenever the queue has doubled
    since the last removal, so that memory follows the number of live timers and each costs O(1) checks.
    """

    def __init__(self, is_obsolete: Callable[[int, Subject], bool]) -> None:
        self._is_obsolete = is_obsolete
        self._prune_at_size = MIN_PRUNE_SIZE
        self._heap: list[tuple[float, int, int, Subject]] = []
        self._seq = 0
        self._wakeup_at = math.inf
        self._wakeup_token = 0

    def schedule(self, when: float, kind: int, subject: Subject = None) -> None:
        self._seq += 1
        heapq.heappush(self._heap, (when, self._seq, kind, subject))
        if len(self._heap) > self._prune_at_size:
            self._heap = [timer for timer in self._heap if not self._is_obsolete(timer[2], timer[3])]
            heapq.heapify(self._heap)
            self._prune_at_size = max(MIN_PRUNE_SIZE, 2 * len(self._heap))

    def __len__(self) -> int:
        return len(self._heap)

    def pop_due(self, now: float) -> Iterator[tuple[int, Subject]]:
        """Remove and yield the due timers in order, including those scheduled meanwhile."""
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, subject = heapq.heappop(self._heap)
            yield kind, subject

    def on_wakeup(self, token: int) -> None:
        """Handle a wake-up.

        One that was superseded by an earlier one must not lead to another: each would start a chain of
        wake-ups of its own.
        """
        if token == self._wakeup_token:
            self._wakeup_at = math.inf

    def next_wakeup(self) -> tuple[int, float] | None:
        """Token and time of the wake-up to set; None if the pending one comes early enough."""
        if not self._heap or self._heap[0][0] >= self._wakeup_at:
            return None
        self._wakeup_at = self._heap[0][0]
        self._seq += 1
        self._wakeup_token = self._seq
        return self._wakeup_token, self._wakeup_at
