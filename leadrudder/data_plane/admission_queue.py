"""Calls that wait at a gate for a slot of its server, in the order in which they are to be served. No I/O."""

from __future__ import annotations

import itertools
from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from leadrudder.protocol.mesh_pb2 import ForwardRequest
from leadrudder.protocol.outcome import RequestFailure


class Rank(NamedTuple):
    """The order of calls that wait: lower ones are served first."""

    priority: int  # of the route, 0 is the highest
    late: bool  # it would be answered after its target: behind all that would not
    due: float  # seconds: when its target is reached, or its time is over if it is late


@dataclass(order=True, slots=True)
class QueuedCall:
    """A call that waits.  until: when it is refused, if it has not been started; came: when it was queued."""

    rank: Rank
    number: int
    waybill: ForwardRequest = field(compare=False)
    until: float = field(compare=False)
    came: float = field(compare=False)
    start: Callable[[], None] = field(compare=False)
    refuse: Callable[[RequestFailure], None] = field(compare=False)


class AdmissionQueue:
    """Ordered by rank, then by arrival.  It is short: its owner bounds it by the slots of the server."""

    def __init__(self) -> None:
        self._calls: list[QueuedCall] = []
        self._numbers = itertools.count()

    def __iter__(self) -> Iterator[QueuedCall]:
        """Those that wait, the next to be served first."""
        return iter(self._calls)

    def __len__(self) -> int:
        return len(self._calls)

    def push(
        self,
        rank: Rank,
        waybill: ForwardRequest,
        *,
        until: float,
        came: float,
        start: Callable[[], None],
        refuse: Callable[[RequestFailure], None],
    ) -> QueuedCall:
        queued = QueuedCall(rank, next(self._numbers), waybill, until, came, start, refuse)
        insort(self._calls, queued)
        return queued

    def discard(self, queued: QueuedCall) -> None:
        """Take a call out, if it is still there."""
        if queued in self._calls:
            self._calls.remove(queued)

    def last(self) -> QueuedCall | None:
        """The one that would be served last; None if none waits."""
        return self._calls[-1] if self._calls else None

    def ahead_of(self, rank: Rank) -> int:
        """How many would be served before one of this rank that came now."""
        return sum(1 for queued in self._calls if queued.rank <= rank)

    def next_until(self) -> float | None:
        """When the first of those that wait is to be refused; None if none waits."""
        return min((queued.until for queued in self._calls), default=None)
