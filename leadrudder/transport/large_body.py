"""The body of a message that is too large to be copied: held once, in memory mapped for it alone.

The memory goes back to the system when the body is released, whatever the allocator keeps of smaller objects.
"""

from __future__ import annotations

import asyncio
import mmap
from bisect import bisect_right
from collections.abc import Callable

from leadrudder.transport.memory_budget import BudgetWaiter, MemoryBudget

INLINE_BODY_BYTES = 16 * 1024  # a body up to this size is no large body: it is carried inside its message
SEGMENT_BYTES = 1024 * 1024
FIRST_SEGMENT_BYTES = 64 * 1024  # of a body whose size is not known


class BodyReleasedError(Exception):
    """The body has been released: its message has been answered, or given up."""


class LargeBody:
    """A body that grows at its end.  expected_bytes: its size if that is known, else 0."""

    def __init__(self, budget: MemoryBudget, expected_bytes: int = 0) -> None:
        self.size = 0
        self.reserved_bytes = 0
        self.released = False
        self._budget, self._expected_bytes = budget, expected_bytes
        self._waiter: BudgetWaiter | None = None
        self._segments: list[mmap.mmap] = []
        self._segment_offsets: list[int] = []
        self._capacity = 0

    # ------------------------------------------------------------ memory

    def reserve(self, size: int) -> bool:
        """Reserve memory for so many bytes in all; False if there is no room now."""
        missing = size - self.reserved_bytes
        if missing > 0:
            if not self._budget.try_take(missing):
                return False
            self.reserved_bytes += missing
        return True

    def fits_own_limit(self, size: int) -> bool:
        """Whether so many bytes in all are within the body's own budget, whatever its parent holds."""
        return self._budget.fits_own_limit(size - self.reserved_bytes)

    def reservation_for(self, size: int) -> int:
        """How much to reserve for so many bytes in all, as the body grows."""
        step = FIRST_SEGMENT_BYTES
        while step < min(size, SEGMENT_BYTES):
            step *= 2
        reserved = -(-size // step) * step
        return min(reserved, self._expected_bytes) if self._expected_bytes else reserved

    def reserve_later(self, size: int, on_reserved: Callable[[], None]) -> None:
        """Reserve memory for so many bytes in all as soon as there is room; then a function is called."""
        loop = asyncio.get_running_loop()
        missing = size - self.reserved_bytes

        def granted() -> None:
            self._waiter = None
            self.reserved_bytes += missing
            loop.call_soon(reserved)

        def reserved() -> None:
            if not self.released:
                on_reserved()

        self._waiter = self._budget.wait_for(missing, granted)

    def release(self) -> None:
        """Give the memory back.  The body cannot be read any more."""
        if self.released:
            return
        self.released = True
        for segment in self._segments:
            segment.close()
        self._segments.clear()
        if self._waiter is not None:
            self._budget.cancel(self._waiter)
        self._budget.give_back(self.reserved_bytes)

    def __del__(self) -> None:
        self.release()

    # ------------------------------------------------------------ content

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes at the end; raises BodyReleasedError."""
        if self.released:
            raise BodyReleasedError
        rest = memoryview(data)
        while rest:
            if self.size == self._capacity:
                self._add_segment()
            segment, start = self._segments[-1], self.size - self._segment_offsets[-1]
            piece = rest[: len(segment) - start]
            segment[start : start + len(piece)] = piece
            self.size += len(piece)
            rest = rest[len(piece) :]

    def _add_segment(self) -> None:
        known = self._expected_bytes - self._capacity
        size = known if known > 0 else max(FIRST_SEGMENT_BYTES, self._capacity)
        size = min(size, SEGMENT_BYTES)
        self._segments.append(mmap.mmap(-1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS))
        self._segment_offsets.append(self._capacity)
        self._capacity += size

    def read(self, offset: int, size: int) -> bytes:
        """At most so many bytes from an offset on, at least one; raises BodyReleasedError."""
        if self.released:
            raise BodyReleasedError
        index = bisect_right(self._segment_offsets, offset) - 1
        start = offset - self._segment_offsets[index]
        return self._segments[index][start : start + min(size, self.size - offset)]

    def read_all(self) -> bytes:
        """A copy of the whole body; raises BodyReleasedError."""
        parts = []
        offset = 0
        while offset < self.size:
            parts.append(self.read(offset, SEGMENT_BYTES))
            offset += len(parts[-1])
        return b"".join(parts)
