"""The maintenance controller: carries out windows step by step.

Only the holder of the maintenance lease takes steps, and each step is the next version of the window's item:
the successor of a lost holder continues from the stored state, and a step that two processes attempt is taken
once. A holder whose clock jumped, or that was suspended, takes no steps until its clocks have been consistent
for a while. It also takes none while its clock differs from those of a majority of control-plane nodes by
more than the allowed skew, since a clock that has jumped stays wrong. Wall-clock times are seconds since
1970.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from leadrudder.maintenance.hours import Interval
from leadrudder.maintenance.planner import FleetState, approved_intervals, capacity_objection
from leadrudder.maintenance.window import AWAY_STAGES, MAX_CLOCK_SKEW_S, Stage, Step, Window

CLOCK_JUMP_S = 0.5  # allowed drift between wall clock and monotonic clock from one tick to the next
MAX_TICK_GAP_S = 3.0  # after a longer gap the process may have lost its lease without noticing
CLOCK_OBSERVATION_S = 5.0  # after a clock jump, before steps are taken again
STEP_RETRY_S = 1.0  # without an answer, before a step is requested again


def clock_agrees(wall: float, others: Sequence[float]) -> bool:
    """Whether a clock is within the allowed skew of a majority of the clocks, itself included."""
    agreeing = sum(abs(wall - other) <= MAX_CLOCK_SKEW_S for other in others)
    return 2 * (agreeing + 1) > len(others) + 1


@dataclass(slots=True)
class MaintenanceController:
    """The controller of one process.  tick() returns the changed windows, each advanced by one step."""

    _last_clocks: tuple[float, float] | None = None  # wall clock and monotonic clock at the last tick
    _consistent_since: float = 0.0  # monotonic
    _pending_since: dict[str, float] = field(default_factory=dict)  # by window: request of its current step

    def tick(
        self, wall: float, monotonic: float, holds_lease: bool, state: FleetState, others: Sequence[float]
    ) -> list[Window]:
        """holds_lease: of this process.  others: the wall clocks of the other control-plane nodes."""
        if not self._clocks_consistent(wall, monotonic) or not holds_lease or not clock_agrees(wall, others):
            return []
        changed = []
        for window in state.windows.values():
            if (
                window.is_over()
                or monotonic - self._pending_since.get(window.name, float("-inf")) < STEP_RETRY_S
            ):
                continue
            moved = self._next_step(window, wall, state)
            if moved is not None:
                self._pending_since[window.name] = monotonic
                changed.append(moved)
        return changed

    def step_answered(self, name: str) -> None:
        """The step of a window was answered, with whatever result."""
        self._pending_since.pop(name, None)

    def _clocks_consistent(self, wall: float, monotonic: float) -> bool:
        """Whether the wall clock and the monotonic clock have been consistent for long enough."""
        before, self._last_clocks = self._last_clocks, (wall, monotonic)
        if before is None:
            before = (float("-inf"), float("-inf"))
        elapsed = monotonic - before[1]
        if not (elapsed <= MAX_TICK_GAP_S and abs(wall - before[0] - elapsed) <= CLOCK_JUMP_S):
            self._consistent_since = monotonic
        return monotonic - self._consistent_since >= CLOCK_OBSERVATION_S

    def _next_step(self, window: Window, wall: float, state: FleetState) -> Window | None:
        for step in window.steps:
            moved = self._next_stage(window, step, wall, state)
            if moved is not None:
                return moved
        return None

    def _next_stage(self, window: Window, step: Step, wall: float, state: FleetState) -> Window | None:
        """The window with the due transition of one machine; None: nothing is due."""
        if step.stage is Stage.WAITING:
            if window.stop_reason or wall + window.drain_s + max(window.works_s, 1.0) > step.latest:
                reason = window.stop_reason or "its time had passed before it could be taken"
                return window.with_stage(step.machine, Stage.SKIPPED, wall, reason)
            away = sum(s.stage in AWAY_STAGES or s.stage is Stage.RETURNING for s in window.steps)
            if (
                wall < step.leave
                or away >= window.at_once
                or self._objection(window, step, wall, state) is not None
            ):
                return None  # it may become possible until its latest time has passed
            return window.with_drain_started(step.machine, wall)
        if step.stage in AWAY_STAGES:
            reason = window.stop_reason or self._objection(window, step, wall, state) or ""
            if reason or wall >= step.back:
                return window.with_stage(step.machine, Stage.RETURNING, wall, reason)
            if step.stage is Stage.DRAINING and wall >= step.since + window.drain_s:
                return window.with_stage(step.machine, Stage.OUT, wall)
        elif step.stage is Stage.RETURNING and wall >= step.since + window.return_s:
            return window.with_stage(step.machine, Stage.BACK, wall)
        return None

    def _objection(self, window: Window, step: Step, wall: float, state: FleetState) -> str | None:
        """Why a machine must not be out now, by the current contracts and servers; None: it may be."""
        contracts = [state.contracts.get(name) for name in step.tenants]
        existing = [c for c in contracts if c is not None]
        if len(existing) < len(contracts):
            return "a contract is gone"
        end = (
            step.back
            if step.stage in AWAY_STAGES
            else min(step.latest, wall + window.drain_s + window.works_s)
        )
        remaining = Interval(wall, max(wall + 1.0, min(end, wall + 60.0)))
        if not any(
            interval.contains(remaining)
            for interval in approved_intervals(existing, remaining.begin - 5.0, remaining.end + 5.0)
        ):
            return "these hours are approved no more"
        if step.machine not in state.machines:
            # The machine has died or was removed: nothing can be returned, and nothing more can be lost.
            return "it is gone" if step.stage is Stage.WAITING else None
        others = [
            other
            for other_window in state.windows.values()
            for other in other_window.steps
            if other.stage in AWAY_STAGES and other.machine != step.machine
        ]
        return capacity_objection(step.machine, existing, others, remaining, state, step.whole)


def stop_window(window: Window, reason: str) -> Window:
    """The window after a request to stop: machines that are out return at once, waiting ones are skipped."""
    return replace(window, stop_reason=reason)


def finish_early(window: Window, machine: str, now: float) -> Window | None:
    """The window after the works at a machine ended early; None: the machine is not out."""
    step = window.step_of(machine)
    if step is None or step.stage not in AWAY_STAGES:
        return None
    return window.with_stage(machine, Stage.RETURNING, now, "the works were over")


def surplus_finished(windows: dict[str, Window], max_kept: int) -> list[str]:
    """The names of the oldest finished windows beyond the number to keep."""
    finished = sorted((w.end, name) for name, w in windows.items() if w.is_over())
    return [name for _, name in finished[: max(0, len(finished) - max_kept)]]
