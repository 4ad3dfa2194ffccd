"""Virtual time: one heap of steps for all simulated processes, ordered by the seed alone.

Time is a whole number of microseconds. Different orders of steps that are due at the same instant are
explored: the order of timers and network deliveries is drawn from the seed. As in uvloop, callbacks of
call_soon run before the deliveries of that instant, and timers may run before both.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import struct
from collections.abc import Callable
from typing import Any

US_PER_S = 1_000_000
# The order of steps that are due at the same instant; the lowest runs first.
SOON_ORDER = -1.0  # call_soon callbacks, among themselves first in, first out
TIMER_ORDER_MIN, TIMER_ORDER_MAX = -2.0, 1.0  # a third of the timers run before call_soon callbacks
DELIVERY_ORDER_MIN, DELIVERY_ORDER_MAX = 0.0, 1.0

_STEP = struct.Struct("<QII")


class Step:
    """One action at an instant. process None: an action of the world itself."""

    __slots__ = ("args", "callback", "cancelled", "due", "label", "process")

    def __init__(
        self,
        due: int,
        process: Process | None,
        label: str,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        self.due = due
        self.process = process
        self.label = label
        self.callback = callback
        self.args = args
        self.cancelled = False


class Process:
    """A simulated process; while it is frozen, and once it was killed, none of its steps runs."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.alive = True
        self.frozen_until_us = 0

    def run_step(self, step: Step) -> None:
        """Runs one of its steps."""
        step.callback(*step.args)


class Scheduler:
    """Runs steps in order of time and keeps a digest of them."""

    def __init__(self, seed: str) -> None:
        self.now = 0
        self.steps = 0
        self.steps_at_this_instant = 0  # steps run since virtual time last advanced
        self.last_label = ""  # label of the last step
        self._heap: list[tuple[int, float, int, Step]] = []
        self._sequence = 0
        self._order_rng = random.Random(f"{seed}/order")
        self._digest = hashlib.blake2b(digest_size=16)
        self._label_ids: dict[str, int] = {}
        self._process_count = 0

    def allocate_process_number(self) -> int:
        """The next process number; numbers follow the order of creation and so are equal in every run."""
        self._process_count += 1
        return self._process_count

    def schedule_soon(
        self, process: Process, label: str, callback: Callable[..., object], *args: Any
    ) -> Step:
        """Schedules a step at this instant, after earlier ones of this kind."""
        return self._push(self.now, SOON_ORDER, process, label, callback, args)

    def schedule_timer(
        self, due: int, process: Process | None, label: str, callback: Callable[..., object], *args: Any
    ) -> Step:
        """Schedules a step at an instant, now at the earliest; its order there is drawn."""
        return self._push(
            due, self._order_rng.uniform(TIMER_ORDER_MIN, TIMER_ORDER_MAX), process, label, callback, args
        )

    def schedule_delivery(
        self, due: int, process: Process | None, label: str, callback: Callable[..., object], *args: Any
    ) -> Step:
        """Schedules a step like a timer's, but never before call_soon callbacks of the same instant."""
        return self._push(
            due,
            self._order_rng.uniform(DELIVERY_ORDER_MIN, DELIVERY_ORDER_MAX),
            process,
            label,
            callback,
            args,
        )

    def _push(
        self,
        due: int,
        order: float,
        process: Process | None,
        label: str,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> Step:
        step = Step(max(due, self.now), process, label, callback, args)
        self._sequence += 1
        heapq.heappush(self._heap, (step.due, order, self._sequence, step))
        return step

    def next_due(self) -> int | None:
        """When the next step is due; None if there is none."""
        while self._heap and self._heap[0][3].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_one(self) -> bool:
        """Runs the next step; False if there is none."""
        heap = self._heap
        while heap:
            due, order, _, step = heapq.heappop(heap)
            if step.cancelled:
                continue
            process = step.process
            if process is not None:
                if not process.alive:
                    continue
                if process.frozen_until_us > due:
                    # Steps that were due during the freeze run at its end, in the same order.
                    self._sequence += 1
                    heapq.heappush(heap, (process.frozen_until_us, order, self._sequence, step))
                    continue
            self.steps_at_this_instant = self.steps_at_this_instant + 1 if due == self.now else 0
            self.now = due
            self.last_label = step.label
            self.steps += 1
            self._add_to_digest(step)
            step.cancelled = True  # marks it as run for its handle
            if process is None:
                step.callback(*step.args)
            else:
                process.run_step(step)
            return True
        return False

    def _add_to_digest(self, step: Step) -> None:
        label = self._label_ids.get(step.label)
        if label is None:
            label = self._label_ids[step.label] = len(self._label_ids)
            self._digest.update(step.label.encode())
        process = step.process
        self._digest.update(_STEP.pack(self.now, process.number if process is not None else 0, label))

    def mix_into_digest(self, data: bytes) -> None:
        """Adds network data to the digest."""
        self._digest.update(data)

    def digest(self) -> str:
        """The digest of all steps so far, as 32 hexadecimal digits; equal only for identical runs."""
        return self._digest.copy().hexdigest()
