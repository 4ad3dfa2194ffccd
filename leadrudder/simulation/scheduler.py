"""Virtual time: one heap of steps for all simulated processes, in an order that hangs on the seed alone.

Time is a whole number of microseconds. Steps that are due at the same instant are explored in both orders: a
timer and what comes from the network draw their places by seed. What a process asks to be called soon runs
before anything that the network brings at that instant, as in uvloop, where timers may run before either.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import struct
from collections.abc import Callable
from typing import Any

MICROSECONDS = 1_000_000
# The places of steps that are due at the same instant; the lowest comes first.
SOON = -1.0  # callbacks that a process asked for: in the order in which it asked
TIMER_FROM, TIMER_TO = -2.0, 1.0  # a third of the timers come before those, the others among the network
NETWORK_FROM, NETWORK_TO = 0.0, 1.0

_STEP = struct.Struct("<QII")


class Step:
    """One thing to do at an instant. A process that is None stands for the world itself."""

    __slots__ = ("args", "call", "cancelled", "due", "label", "process")

    def __init__(
        self,
        due: int,
        process: Process | None,
        label: str,
        call: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        self.due = due
        self.process = process
        self.label = label
        self.call = call
        self.args = args
        self.cancelled = False


class Process:
    """What shares a fate: it can be frozen or killed, and then none of its steps runs any more."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.alive = True
        self.frozen_until = 0

    def enter(self, step: Step) -> None:
        """Run one of its steps."""
        step.call(*step.args)


class Scheduler:
    """Runs steps in order of time and keeps the digest of all that was run."""

    def __init__(self, seed: str) -> None:
        self.now = 0
        self.steps = 0
        self.at_this_instant = 0  # steps run at the present one
        self.last = ""  # what the last step was
        self._heap: list[tuple[int, float, int, Step]] = []
        self._number = 0
        self._order = random.Random(f"{seed}/order")
        self._digest = hashlib.blake2b(digest_size=16)
        self._labels: dict[str, int] = {}
        self._processes = 0

    def new_process_number(self) -> int:
        """Numbers are given in the order of creation, and so are the same at every play."""
        self._processes += 1
        return self._processes

    def soon(self, process: Process, label: str, call: Callable[..., object], *args: Any) -> Step:
        """After what that process asked for before, at this instant."""
        return self._push(self.now, SOON, process, label, call, args)

    def timer(
        self, due: int, process: Process | None, label: str, call: Callable[..., object], *args: Any
    ) -> Step:
        """At an instant, at the earliest now; its place there is drawn."""
        return self._push(due, self._order.uniform(TIMER_FROM, TIMER_TO), process, label, call, args)

    def network(
        self, due: int, process: Process | None, label: str, call: Callable[..., object], *args: Any
    ) -> Step:
        """As a timer, but never before what a process asked for soon."""
        return self._push(due, self._order.uniform(NETWORK_FROM, NETWORK_TO), process, label, call, args)

    def _push(
        self,
        due: int,
        place: float,
        process: Process | None,
        label: str,
        call: Callable[..., object],
        args: tuple[Any, ...],
    ) -> Step:
        step = Step(max(due, self.now), process, label, call, args)
        self._number += 1
        heapq.heappush(self._heap, (step.due, place, self._number, step))
        return step

    def next_due(self) -> int | None:
        """When the next step is due; None when nothing is left."""
        while self._heap and self._heap[0][3].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_one(self) -> bool:
        """Run the next step; False when there is none."""
        heap = self._heap
        while heap:
            due, place, _, step = heapq.heappop(heap)
            if step.cancelled:
                continue
            process = step.process
            if process is not None:
                if not process.alive:
                    continue
                if process.frozen_until > due:
                    # What was due while its core was away is all there when it is back, in the same order.
                    self._number += 1
                    heapq.heappush(heap, (process.frozen_until, place, self._number, step))
                    continue
            self.at_this_instant = self.at_this_instant + 1 if due == self.now else 0
            self.now = due
            self.last = step.label
            self.steps += 1
            self._note(step)
            step.cancelled = True  # it cannot be called off any more
            if process is None:
                step.call(*step.args)
            else:
                process.enter(step)
            return True
        return False

    def _note(self, step: Step) -> None:
        label = self._labels.get(step.label)
        if label is None:
            label = self._labels[step.label] = len(self._labels)
            self._digest.update(step.label.encode())
        process = step.process
        self._digest.update(_STEP.pack(self.now, process.number if process is not None else 0, label))

    def mix(self, data: bytes) -> None:
        """Take what passed on the network into the digest."""
        self._digest.update(data)

    def digest(self) -> str:
        """Of all steps so far, 32 hexadecimal digits; equal for two plays only if they ran alike."""
        return self._digest.copy().hexdigest()
