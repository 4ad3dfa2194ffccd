"""Changes that a data-plane node has received and not applied yet.

News is merged as it arrives and applied in one pass: an overloaded process does less work for each change,
not more.  Passes take a bounded share of the time.  Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_PASS_TIME_SHARE = 0.2  # of the time; the rest is for requests
MAX_PASS_DELAY_S = 0.5  # the longest that this limit delays a pass


@dataclass(slots=True)
class PendingChanges:
    """What has changed since the last pass; sets hold names."""

    routes: set[str] = field(default_factory=set)
    services: set[str] = field(default_factory=set)  # whose configuration has changed
    nodes: set[str] = field(default_factory=set)  # whose membership or servers have changed
    members: bool = False  # the list of members
    sources: bool = False  # of endpoints: links, or the services that routes call
    evacuations: bool = False
    machine_drains: bool = False

    def merge(self, other: PendingChanges) -> None:
        """Merge changes that a failed pass did not apply."""
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
    """Pending changes and the next pass over them; at most one pass is scheduled at a time.

    monotonic: monotonic time in seconds, finer than the loop's own.
    """

    def __init__(self, apply: Callable[[PendingChanges], None], monotonic: Callable[[], float]) -> None:
        self.pending = PendingChanges()
        self.passes = 0  # since the start
        self.pass_seconds = 0.0  # spent in passes since the start
        self._apply, self._monotonic = apply, monotonic
        self._loop = asyncio.get_running_loop()
        self._scheduled: asyncio.Handle | None = None
        self._next_pass_at = 0.0  # on the monotonic clock

    def schedule(self) -> None:
        """Schedule a pass after all input received so far is read, within the share of time for passes."""
        if self._scheduled is not None or not self.pending.any():
            return
        delay = min(MAX_PASS_DELAY_S, self._next_pass_at - self._monotonic())
        if delay > 0.0:
            self._scheduled = self._loop.call_later(delay, self.flush)
        else:
            self._scheduled = self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Apply pending changes now."""
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None
        if not self.pending.any():
            return
        changes, self.pending = self.pending, PendingChanges()
        started = self._monotonic()
        try:
            self._apply(changes)
        except Exception:
            # After an internal error the changes are kept and retried with the next pass.
            self.pending.merge(changes)
            raise
        finally:
            ended = self._monotonic()
            self.passes += 1
            self.pass_seconds += ended - started
            self._next_pass_at = ended + (ended - started) * (1.0 / MAX_PASS_TIME_SHARE - 1.0)
