"""The keeper: carries windows out, one step after the other.

Only who holds the duty takes steps, and each step is the next count of the window's item: who comes after a
holder that was lost goes on from what stands, and a step that two would take is taken once. A holder whose
clock jumps, or that slept, takes none until it has watched its clock for a while, and none while its clock is
not as near as clocks are to be to those of a majority of signalboxes: one that has jumped stays wrong. Times
are seconds since 1970, `steady` only advances.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from leadrudder.maintenance.hours import Interval
from leadrudder.maintenance.planner import FleetState, approved_intervals, capacity_objection
from leadrudder.maintenance.window import AWAY_STAGES, MAX_CLOCK_SKEW_S, Stage, Step, Window

CLOCK_JUMP_S = 0.5  # by which wall and steady clock may part between two looks
MAX_TICK_GAP_S = 3.0  # between two looks: who was away so long does not know what has become of its duty
CLOCK_OBSERVATION_S = 5.0  # after a jump, before steps are taken again
STEP_RETRY_S = 1.0  # for a step's answer, before it is asked for again


def clock_agrees(wall: float, others: Sequence[float]) -> bool:
    """Whether a clock is as near as clocks are to be to those of a majority, itself counted."""
    near = sum(abs(wall - other) <= MAX_CLOCK_SKEW_S for other in others)
    return 2 * (near + 1) > len(others) + 1


@dataclass(slots=True)
class MaintenanceController:
    """One process's.  tick() gives the windows as they are to be, each one step on."""

    _last_clocks: tuple[float, float] | None = None  # wall, steady
    _consistent_since: float = 0.0  # steady
    _pending_since: dict[str, float] = field(default_factory=dict)  # windows whose step is out, since when

    def tick(
        self, wall: float, steady: float, held: bool, at: FleetState, others: Sequence[float]
    ) -> list[Window]:
        """held: the duty is ours, just now.  others: what the clocks of the other signalboxes show."""
        if not self._clocks_consistent(wall, steady) or not held or not clock_agrees(wall, others):
            return []
        steps = []
        for window in at.windows.values():
            if (
                window.is_over()
                or steady - self._pending_since.get(window.name, float("-inf")) < STEP_RETRY_S
            ):
                continue
            moved = self._next_step(window, wall, at)
            if moved is not None:
                self._pending_since[window.name] = steady
                steps.append(moved)
        return steps

    def step_answered(self, name: str) -> None:
        """A step was answered, however."""
        self._pending_since.pop(name, None)

    def _clocks_consistent(self, wall: float, steady: float) -> bool:
        """Whether our clocks have gone alike for long enough."""
        before, self._last_clocks = self._last_clocks, (wall, steady)
        if before is None:
            before = (float("-inf"), float("-inf"))
        passed = steady - before[1]
        if not (passed <= MAX_TICK_GAP_S and abs(wall - before[0] - passed) <= CLOCK_JUMP_S):
            self._consistent_since = steady
        return steady - self._consistent_since >= CLOCK_OBSERVATION_S

    def _next_step(self, window: Window, wall: float, at: FleetState) -> Window | None:
        for step in window.steps:
            moved = self._next_stage(window, step, wall, at)
            if moved is not None:
                return moved
        return None

    def _next_stage(self, window: Window, step: Step, wall: float, at: FleetState) -> Window | None:
        """What is due for one machine."""
        if step.stage is Stage.WAITING:
            if window.stop_reason or wall + window.drain_s + max(window.works_s, 1.0) > step.latest:
                why = window.stop_reason or "its time had passed before it could be taken"
                return window.with_stage(step.machine, Stage.SKIPPED, wall, why)
            away = sum(s.stage in AWAY_STAGES or s.stage is Stage.RETURNING for s in window.steps)
            if (
                wall < step.leave
                or away >= window.at_once
                or self._objection(window, step, wall, at) is not None
            ):
                return None  # it may yet be possible: until its time has passed
            return window.with_drain_started(step.machine, wall)
        if step.stage in AWAY_STAGES:
            why = window.stop_reason or self._objection(window, step, wall, at) or ""
            if why or wall >= step.back:
                return window.with_stage(step.machine, Stage.RETURNING, wall, why)
            if step.stage is Stage.DRAINING and wall >= step.since + window.drain_s:
                return window.with_stage(step.machine, Stage.OUT, wall)
        elif step.stage is Stage.RETURNING and wall >= step.since + window.return_s:
            return window.with_stage(step.machine, Stage.BACK, wall)
        return None

    def _objection(self, window: Window, step: Step, wall: float, at: FleetState) -> str | None:
        """Why a machine may not be out just now, by contracts and servers as they are; None: it may."""
        contracts = [at.contracts.get(name) for name in step.tenants]
        held = [c for c in contracts if c is not None]
        if len(held) < len(contracts):
            return "a contract is gone"
        end = (
            step.back
            if step.stage in AWAY_STAGES
            else min(step.latest, wall + window.drain_s + window.works_s)
        )
        rest = Interval(wall, max(wall + 1.0, min(end, wall + 60.0)))
        if not any(
            span.contains(rest) for span in approved_intervals(held, rest.begin - 5.0, rest.end + 5.0)
        ):
            return "these hours are approved no more"
        if step.machine not in at.machines:
            # It has died, or was taken away: there is nothing to be given back, and nothing more to be lost.
            return "it is gone" if step.stage is Stage.WAITING else None
        others = [
            other
            for each in at.windows.values()
            for other in each.steps
            if other.stage in AWAY_STAGES and other.machine != step.machine
        ]
        return capacity_objection(step.machine, held, others, rest, at, step.whole)


def stop_window(window: Window, why: str) -> Window:
    """The window told to stop: what is out is given back at once, what waits is never taken."""
    return replace(window, stop_reason=why)


def finish_early(window: Window, machine: str, now: float) -> Window | None:
    """The works at a machine are over before their time; None: it is not out."""
    step = window.step_of(machine)
    if step is None or step.stage not in AWAY_STAGES:
        return None
    return window.with_stage(machine, Stage.RETURNING, now, "the works were over")


def surplus_finished(windows: dict[str, Window], keep: int) -> list[str]:
    """The oldest of those that are over, beyond as many as are kept."""
    over = sorted((w.end, name) for name, w in windows.items() if w.is_over())
    return [name for _, name in over[: max(0, len(over) - keep)]]
