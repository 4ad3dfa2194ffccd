"""A limit on the bytes that a process holds for others: bodies that are read, forwarded or not sent yet.

What is large is reserved before it is read. What is small is counted when it is there, so that a budget may
be exceeded by little; while it is full, nothing new is accepted.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class BudgetWaiter:
    """Bytes that are waited for.  on_granted: called at once when they have been taken from the budget."""

    size: int
    on_granted: Callable[[], None]


class MemoryBudget:
    """Bytes in use, in this process only.

    limit_bytes: above it nothing more is reserved.  parent: a budget that includes this one.
    weight: bytes of memory for each byte that is reserved.
    """

    def __init__(
        self, limit_bytes: float = math.inf, parent: MemoryBudget | None = None, weight: int = 1
    ) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.refusals = 0  # reservations that were refused since the start of the process
        self._parent, self._weight = parent, weight
        self._waiting: deque[BudgetWaiter] = deque()

    def is_full(self) -> bool:
        return self.used_bytes >= self.limit_bytes or (self._parent is not None and self._parent.is_full())

    def can_ever_hold(self, size: int) -> bool:
        """Whether so many bytes fit into the empty budget."""
        return self._weight * size <= self.limit_bytes and (
            self._parent is None or self._parent.can_ever_hold(self._weight * size)
        )

    def fits_own_limit(self, size: int) -> bool:
        """Whether so many bytes more are within this budget's limit, whatever its parent holds."""
        return self.used_bytes + self._weight * size <= self.limit_bytes

    def try_take(self, size: int) -> bool:
        """Reserve bytes; False if that would exceed the limit, or if others wait for bytes."""
        if self._waiting or not self.has_room(size):
            self.count_refusal()
            return False
        self.take(size)
        return True

    def count_refusal(self) -> None:
        """Something was refused for lack of room."""
        self.refusals += 1
        if self._parent is not None:
            self._parent.count_refusal()

    def has_room(self, size: int) -> bool:
        """Whether so many bytes could be reserved now, if nobody waits."""
        return self.fits_own_limit(size) and (
            self._parent is None or self._parent.has_room(self._weight * size)
        )

    def take(self, size: int) -> None:
        """Count bytes that are held already, beyond the limit if need be."""
        self.used_bytes += self._weight * size
        if self._parent is not None:
            self._parent.take(self._weight * size)

    def give_back(self, size: int) -> None:
        """Bytes that were taken are not held any more."""
        self.used_bytes -= self._weight * size
        if self._parent is not None:
            self._parent.give_back(self._weight * size)
        while self._waiting and self.has_room(self._waiting[0].size):
            waiter = self._waiting.popleft()
            self.take(waiter.size)
            waiter.on_granted()

    def wait_for(self, size: int, on_granted: Callable[[], None]) -> BudgetWaiter:
        """Reserve bytes once there is room for them, in the order of these calls.

        Only of use in a budget without a parent: a parent's room does not wake up those who wait here.
        """
        waiter = BudgetWaiter(size, on_granted)
        self._waiting.append(waiter)
        return waiter

    def cancel(self, waiter: BudgetWaiter) -> None:
        """Wait no longer; no effect if the bytes have been granted."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
