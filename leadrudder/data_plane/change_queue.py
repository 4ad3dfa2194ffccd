"""Changes that a station has heard of and not carried out yet.

News is merged as it comes in and carried out once for all that came in together: a process that is behind
does less work for each change, and not more.  Passes take a bounded share of the time.  Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_PASS_TIME_SHARE = 0.2  # of the time, that passes may take; the rest is for requests
MAX_PASS_DELAY_S = 0.5  # by which that may put a pass off


@dataclass(slots=True)
class PendingChanges:
    """What has changed since the last pass, by name."""

    routes: set[str] = field(default_factory=set)
    services: set[str] = field(default_factory=set)  # settings of these, in the configuration
    nodes: set[str] = field(default_factory=set)  # their membership or their servers
    members: bool = False  # who is a member
    sources: bool = False  # whom to ask for servers: links, or the services that routes call
    evacuations: bool = False
    machine_drains: bool = False

    def merge(self, other: PendingChanges) -> None:
        """Take in changes that were not carried out after all."""
        self.routes |= other.routes
        self.services |= other.services
        self.nodes |= other.nodes
        self.members |= other.members
        self.sources |= other.sources
        self.evacuations |= other.evacuations
        self.machine_drains |= other.machine_drains

    def any(self) -> bool:
        flags = self.members or self.sources or self.evacuations or self.machine_drains
        return flags or bool(self.routes or self.services or self.nodes)


class ChangeQueue:
    """Pending changes and the next pass over them: at most one is scheduled at a time.

    monotonic: seconds that only advance, finer than the loop's own time.
    """

    def __init__(self, carry_out: Callable[[PendingChanges], None], monotonic: Callable[[], float]) -> None:
        self.pending = PendingChanges()
        self.passes = 0  # since the start
        self.pass_seconds = 0.0  # that they took in all
        self._carry_out, self._monotonic = carry_out, monotonic
        self._loop = asyncio.get_running_loop()
        self._scheduled: asyncio.Handle | None = None
        self._not_before = 0.0  # on the monotonic clock

    def schedule(self) -> None:
        """Carry out what is pending after all that has already come in was read, and not too often."""
        if self._scheduled is not None or not self.pending.any():
            return
        delay = min(MAX_PASS_DELAY_S, self._not_before - self._monotonic())
        if delay > 0.0:
            self._scheduled = self._loop.call_later(delay, self.flush)
        else:
            self._scheduled = self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Carry out what is pending now."""
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None
        if not self.pending.any():
            return
        changes, self.pending = self.pending, PendingChanges()
        began = self._monotonic()
        try:
            self._carry_out(changes)
        except Exception:
            # A fault of ours: what it was about to do is not lost, and tried again with what comes next.
            self.pending.merge(changes)
            raise
        finally:
            ended = self._monotonic()
            self.passes += 1
            self.pass_seconds += ended - began
            self._not_before = ended + (ended - began) * (1.0 / MAX_PASS_TIME_SHARE - 1.0)
