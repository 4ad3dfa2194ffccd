"""What is due when, and the one wake-up call that it needs.  Plain bookkeeping: it decides nothing."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator

Subject = int | bytes | None
MIN_PRUNE_SIZE = 256  # things that are kept without a look whether they are void


class TimerQueue:
    """Things of a kind and a subject that fall due; time is the owner's.

    void tells what nobody waits for any more: it is thrown out whenever there are twice as many as after the
    last time, so that memory follows what is open and each costs O(1) looks.
    """

    def __init__(self, void: Callable[[int, Subject], bool]) -> None:
        self._void = void
        self._shed_at = MIN_PRUNE_SIZE
        self._heap: list[tuple[float, int, int, Subject]] = []
        self._seq = 0
        self._wake = math.inf
        self._token = 0

    def schedule(self, when: float, kind: int, subject: Subject = None) -> None:
        self._seq += 1
        heapq.heappush(self._heap, (when, self._seq, kind, subject))
        if len(self._heap) > self._shed_at:
            self._heap = [x for x in self._heap if not self._void(x[2], x[3])]
            heapq.heapify(self._heap)
            self._shed_at = max(MIN_PRUNE_SIZE, 2 * len(self._heap))

    def __len__(self) -> int:
        return len(self._heap)

    def pop_due(self, now: float) -> Iterator[tuple[int, Subject]]:
        """Take out what is due, in order, also what falls due meanwhile."""
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, subject = heapq.heappop(self._heap)
            yield kind, subject

    def on_wakeup(self, token: int) -> None:
        """A wake-up call came.  One that was overtaken by an earlier one asks for no other: it would live on
        as a chain of its own."""
        if token == self._token:
            self._wake = math.inf

    def next_wakeup(self) -> tuple[int, float] | None:
        """The token and time of the next wake-up call, where the one that is out comes too late."""
        if not self._heap or self._heap[0][0] >= self._wake:
            return None
        self._wake = self._heap[0][0]
        self._seq += 1
        self._token = self._seq
        return self._token, self._wake
