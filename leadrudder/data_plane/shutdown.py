"""The schedule of a shutdown: from SIGTERM to the end of the process, within the platform's grace period."""

from __future__ import annotations

from dataclasses import dataclass

MIN_SHUTDOWN_S = 2.4  # clients still connect until then
IDLE_BEFORE_STOP_S = 0.3
STOP_MARGIN_S = 0.6  # of the grace period, reserved for closing down
LAST_ANSWERS_S = 0.2  # before connections are closed, to write the last answers
FIRST_HALF_MARGIN_S = 0.1  # before half of the grace period; requests accepted later must end within it


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When a node that received SIGTERM takes each step; seconds on the event loop's clock."""

    terminated_at: float
    unrestricted_until: float  # requests accepted later must have their deadline before answers_due_by
    answers_due_by: float  # the calls of this node end by then; what has not run by then is refused
    stop_at: float  # all connections are closed

    @classmethod
    def within_grace(cls, terminated_at: float, grace_s: float) -> ShutdownSchedule:
        """The schedule for a grace period of grace_s seconds."""
        stop_at = terminated_at + grace_s - STOP_MARGIN_S
        return cls(
            terminated_at,
            terminated_at + grace_s / 2.0 - FIRST_HALF_MARGIN_S,
            stop_at - LAST_ANSWERS_S,
            stop_at,
        )

    def may_stop_idle(self, now: float, last_request_at: float) -> bool:
        """Whether a node without open requests may stop before stop_at."""
        return now - self.terminated_at >= MIN_SHUTDOWN_S and now - last_request_at >= IDLE_BEFORE_STOP_S
