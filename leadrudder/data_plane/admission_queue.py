"""The admission queue: calls waiting for a free slot of the local server, in order of service. No I/O."""

from __future__ import annotations

import itertools
import math
from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from leadrudder.protocol.mesh_pb2 import ForwardRequest
from leadrudder.protocol.outcome import RequestFailure


class Rank(NamedTuple):
    """The order of queued calls: lower ranks are served first."""

    priority: int  # of the route; 0 is the highest
    late: bool  # its answer would miss the target: it is served after all that would not
    due: float  # seconds: when its target is reached; if late, when its deadline is


@dataclass(slots=True, eq=False)
class CallOrigin:
    """The node that sent a call.  stops_at: when its process stops; its calls must have ended by then."""

    stops_at: float = math.inf  # seconds on this node's clock


@dataclass(order=True, slots=True)
class QueuedCall:
    """A queued call.  expires_at: when it is refused if it has not started; times in seconds."""

    rank: Rank
    sequence: int
    forward_request: ForwardRequest = field(compare=False)
    origin: CallOrigin = field(compare=False)
    expires_at: float = field(compare=False)
    queued_at: float = field(compare=False)
    start: Callable[[], None] = field(compare=False)
    refuse: Callable[[RequestFailure], None] = field(compare=False)


class AdmissionQueue:
    """Ordered by rank, then by arrival.  Its owner bounds its length by the capacity of the server."""

    def __init__(self) -> None:
        self._calls: list[QueuedCall] = []
        self._numbers = itertools.count()

    def __iter__(self) -> Iterator[QueuedCall]:
        """Queued calls in the order of service."""
        return iter(self._calls)

    def __len__(self) -> int:
        return len(self._calls)

    def push(
        self,
        rank: Rank,
        forward_request: ForwardRequest,
        origin: CallOrigin,
        *,
        expires_at: float,
        queued_at: float,
        start: Callable[[], None],
        refuse: Callable[[RequestFailure], None],
    ) -> QueuedCall:
        queued = QueuedCall(
            rank, next(self._numbers), forward_request, origin, expires_at, queued_at, start, refuse
        )
        insort(self._calls, queued)
        return queued

    def discard(self, queued: QueuedCall) -> bool:
        """Remove a call; returns whether it was still queued."""
        if queued not in self._calls:
            return False
        self._calls.remove(queued)
        return True

    def last(self) -> QueuedCall | None:
        """The call that would be served last; None if the queue is empty."""
        return self._calls[-1] if self._calls else None

    def count_ahead(self, rank: Rank) -> int:
        """Number of calls that would be served before a new one of this rank."""
        return sum(1 for queued in self._calls if queued.rank <= rank)
