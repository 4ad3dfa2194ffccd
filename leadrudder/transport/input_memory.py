"""Memory of the messages that are being received: bounded for a process, with a share for each connection."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.memory_budget import MemoryBudget

CONNECTION_SHARE = 0.25  # of the memory for messages that are being received
PROGRESS_BYTES = 64 * 1024  # of a large body: a sender that brings so much makes progress
STALLED_AFTER_S = 1.0  # without progress; a large body may then be given up for another


class InputOwner(Protocol):
    """A connection that receives messages."""

    def shed_input(self) -> None:
        """Give up the message that is being received: its memory is needed for others."""


class InputMemory:
    """Counts the memory of unfinished messages.  Beyond the limit, those that began first are given up.

    A message that is sent without delay is complete long before it is the oldest.
    """

    def __init__(self, limit_bytes: float = math.inf, connection_share: float = CONNECTION_SHARE) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.shed = 0  # messages given up, since the start of the process
        self._share_bytes = connection_share * limit_bytes
        self._held: dict[InputOwner, int] = {}  # in the order in which their messages began

    def hold(self, owner: InputOwner, size: int) -> None:
        """Set the memory of the unfinished message of a connection; 0 if there is none."""
        before = self._held.get(owner, 0)
        if size == before:
            return
        self.used_bytes += size - before
        if not size:
            del self._held[owner]
            return
        self._held[owner] = size
        if size > self._share_bytes:
            self._shed(owner)
        while self.used_bytes > self.limit_bytes:
            self._shed(next(iter(self._held)))

    def _shed(self, owner: InputOwner) -> None:
        self.used_bytes -= self._held.pop(owner)
        self.shed += 1
        owner.shed_input()


@dataclass(slots=True)
class _Progress:
    size: int
    at: float


class ReceivedBodies:
    """The large bodies that are being received.  now: the time in seconds.

    The budget of each body is the share of its connection in the one of all.
    Memory is reserved as a body arrives. Where there is none left, the body whose sender has made no progress
    for longest is given up, if that is STALLED_AFTER_S or more.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.shed = 0  # bodies given up, since the start of the process
        self._now = now
        self._progress: dict[InputOwner, _Progress] = {}  # the longest without progress first

    def reserve(self, owner: InputOwner, body: LargeBody, size: int) -> bool:
        """Reserve memory for so many bytes of a body in all; False if there is no room now."""
        while not body.reserve(size):
            if not body.fits_own_limit(size) or not self.shed_stalled(owner):
                return False
        return True

    def has_room(self, owner: InputOwner, budget: MemoryBudget, size: int) -> bool:
        """Whether a body of this size may begin: there is room for it, if no other takes that meanwhile."""
        while not budget.has_room(size):
            if not budget.fits_own_limit(size) or not self.shed_stalled(owner):
                budget.count_refusal()
                return False
        return True

    def received(self, owner: InputOwner, size: int) -> None:
        """A connection has received so many bytes of its body in all."""
        progress = self._progress.get(owner)
        if progress is None or size - progress.size >= PROGRESS_BYTES:
            self._progress.pop(owner, None)
            self._progress[owner] = _Progress(size, self._now())

    def ended(self, owner: InputOwner) -> None:
        """A connection receives no large body any more."""
        self._progress.pop(owner, None)

    def shed_stalled(self, besides: InputOwner | None = None) -> bool:
        """Give up the body that has made no progress for longest; False if there is none for long."""
        for owner, progress in self._progress.items():
            if owner is besides:
                continue
            if self._now() - progress.at < STALLED_AFTER_S:
                return False
            del self._progress[owner]
            self.shed += 1
            owner.shed_input()
            return True
        return False
