"""Model of maintenance: processes carry out one window, with all interleavings explored.

The production controllers run. Each always believes that it holds the lease, as one does whose lease expired
unnoticed; their clocks differ by the largest allowed skew, one of them jumps, and either process may be
suspended. A step may be delayed without bound and is committed only as the next version of the window, as a
section owner does it; the contract is withdrawn. Times are seconds from the start of the window.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple
from zoneinfo import ZoneInfo

from leadrudder.configuration.items import Route
from leadrudder.maintenance import planner
from leadrudder.maintenance.contract import Contract
from leadrudder.maintenance.controller import MaintenanceController
from leadrudder.maintenance.hours import ApprovedHours, HoursRule, Interval
from leadrudder.maintenance.planner import FleetState, Machine, WindowRequest
from leadrudder.maintenance.window import (
    AWAY_STAGES,
    FINAL_STAGES,
    MAX_CLOCK_SKEW_S,
    DrainSchedule,
    Stage,
    Window,
    decode_window,
)

DAY_S = 86400.0
WINDOW_START_S = 20_000 * DAY_S + 22 * 3600.0  # 22:00, when the approved hours begin
APPROVED_MINUTES = 1
STEP_S = 3.0  # duration of one time step
MAX_STEPS = 25
WORK_S, RETURN_S = 4.0, 3.0
RETURN_AFTER_WITHDRAWAL_S = (
    2 * STEP_S + MAX_CLOCK_SKEW_S
)  # after a contract was withdrawn and a running controller has ticked

Action = tuple[str | int, ...]
NEXT_STAGES = {
    Stage.WAITING: {Stage.DRAINING, Stage.SKIPPED},
    Stage.DRAINING: {Stage.OUT, Stage.RETURNING},
    Stage.OUT: {Stage.RETURNING},
    Stage.RETURNING: {Stage.BACK},
    Stage.BACK: set(),
    Stage.SKIPPED: set(),
}


class ControllerMemory(NamedTuple):
    """A controller's memory, and the offset of its clock."""

    last_clocks: tuple[float, float] | None = None
    consistent_since: float = 0.0
    pending_since: tuple[tuple[str, float], ...] = ()
    clock_offset_s: float = 0.0


class State(NamedTuple):
    """A global state."""

    now_s: float
    window: bytes
    version: int
    controllers: tuple[ControllerMemory, ...]
    in_flight: tuple[tuple[int, int, bytes], ...] = ()  # process, version, encoded window
    clock_jumps: int = 1
    withdrawn_at_s: float = -1.0  # the time of the contract's withdrawal; -1: it is in force


class InvariantViolation(AssertionError):  # noqa: N818 - named by what it reports
    """An invariant does not hold."""


@dataclass(slots=True)
class SearchResult:
    """The result of a search.  violation: the invariant that failed; empty: none."""

    states: int = 0
    complete: bool = False
    violation: str = ""
    trace_lines: list[str] = field(default_factory=list)
    end_states: set[str] = field(default_factory=set)  # final states of windows in the fault-free runs


@dataclass(slots=True)
class WindowModel:
    """The model and its search.  machines: that the window takes out one after the other."""

    machines: int = 2
    processes: int = 2
    _contract: Contract = field(init=False)
    _routes: dict[str, Route] = field(init=False)
    _machines: dict[str, Machine] = field(init=False)

    def __post_init__(self) -> None:
        hours = ApprovedHours(
            ZoneInfo("UTC"), (HoursRule(22 * 60, 22 * 60 + APPROVED_MINUTES, frozenset(range(7))),)
        )
        self._contract = Contract("t", frozenset({"t.example"}), frozenset(), hours, 0.0, 1, 0.5, 1)
        self._routes = {"r": Route("r", "t.example", "/", True, 1000.0, 300.0, 1, (("s", 1.0),), 1, 1)}
        self._machines = {f"m{i}": Machine(f"m{i}", "z", "s", 9) for i in range(self.machines + 2)}

    def _fleet_state(self, state: State, window: Window) -> FleetState:
        contracts = {} if state.withdrawn_at_s >= 0.0 else {"t": self._contract}
        return FleetState(contracts, self._routes, self._machines, {"w": window})

    def initial_state(self) -> State:
        names = tuple(f"m{i}" for i in range(self.machines))
        order = WindowRequest(
            "w", WINDOW_START_S - 10.0, WINDOW_START_S + 120.0, names, works_s=WORK_S, return_s=RETURN_S
        )
        fleet = FleetState({"t": self._contract}, self._routes, self._machines, {})
        planned = planner.plan(order, WINDOW_START_S - 10.0, fleet)
        assert isinstance(planned, Window), planned
        half_skew = MAX_CLOCK_SKEW_S / 2
        controllers = tuple(
            ControllerMemory(clock_offset_s=half_skew if i % 2 else -half_skew) for i in range(self.processes)
        )
        return State(-12.5, planned.encode(), 1, controllers)

    # ------------------------------------------------------------ actions

    def enabled_actions(self, state: State) -> Iterator[Action]:
        for i in range(len(state.controllers)):
            if not any(process == i for process, _, _ in state.in_flight):
                yield "tick", i
        for step_index in range(len(state.in_flight)):
            yield "commit", step_index
            yield "lose", step_index
        if state.clock_jumps:
            for i in range(len(state.controllers)):
                yield "clock-jump", i
        if state.withdrawn_at_s < 0.0 and 0.0 < state.now_s < 40.0:
            yield ("withdraw",)
        if state.now_s < STEP_S * MAX_STEPS:
            yield ("pass",)

    def apply(self, state: State, action: Action) -> State:
        kind, *arguments = action
        index = int(arguments[0]) if arguments else 0
        if kind == "pass":
            state = state._replace(now_s=state.now_s + STEP_S)
        elif kind == "tick":
            state = self._tick_controller(state, index)
        elif kind == "commit":
            state = self._commit_step(state, index)
        elif kind == "lose":
            process, _, _ = state.in_flight[index]
            state = self._notify_answered(
                state._replace(in_flight=state.in_flight[:index] + state.in_flight[index + 1 :]), process
            )
        elif kind == "clock-jump":
            memory = state.controllers[index]
            controllers = (
                *state.controllers[:index],
                memory._replace(clock_offset_s=memory.clock_offset_s + 30.0),
                *state.controllers[index + 1 :],
            )
            state = state._replace(controllers=controllers, clock_jumps=state.clock_jumps - 1)
        else:
            state = state._replace(withdrawn_at_s=state.now_s)
        self._check_invariants(state)
        return state

    def _controller(self, memory: ControllerMemory) -> MaintenanceController:
        controller = MaintenanceController()
        controller._last_clocks, controller._consistent_since, controller._pending_since = (
            memory.last_clocks,
            memory.consistent_since,
            dict(memory.pending_since),
        )
        return controller

    def _with_controller(self, state: State, i: int, controller: MaintenanceController) -> State:
        pending_since = tuple(sorted(controller._pending_since.items()))
        memory = state.controllers[i]._replace(
            last_clocks=controller._last_clocks,
            consistent_since=controller._consistent_since,
            pending_since=pending_since,
        )
        return state._replace(controllers=(*state.controllers[:i], memory, *state.controllers[i + 1 :]))

    def _tick_controller(self, state: State, i: int) -> State:
        """One tick of a controller, whose steps are proposed as the next version of the window."""
        window, controller = decode_window("w", state.window), self._controller(state.controllers[i])
        wall = WINDOW_START_S + state.now_s + state.controllers[i].clock_offset_s
        # The clocks of the other processes, and of one that never holds the lease.
        others = [
            WINDOW_START_S + state.now_s + memory.clock_offset_s
            for n, memory in enumerate(state.controllers)
            if n != i
        ]
        others.append(WINDOW_START_S + state.now_s)
        steps = controller.tick(wall, state.now_s, True, self._fleet_state(state, window), others)
        state = self._with_controller(state, i, controller)
        for step in steps:
            state = state._replace(in_flight=(*state.in_flight, (i, state.version + 1, step.encode())))
        return state

    def _commit_step(self, state: State, step_index: int) -> State:
        process, version, encoded = state.in_flight[step_index]
        state = state._replace(in_flight=state.in_flight[:step_index] + state.in_flight[step_index + 1 :])
        if version == state.version + 1:
            before, after = decode_window("w", state.window), decode_window("w", encoded)
            changed = [(a, b) for a, b in zip(before.steps, after.steps, strict=True) if a.stage != b.stage]
            if len(changed) != 1 or changed[0][1].stage not in NEXT_STAGES[changed[0][0].stage]:
                raise InvariantViolation(f"not a step: {changed}")
            state = state._replace(window=encoded, version=version)
        return self._notify_answered(state, process)

    def _notify_answered(self, state: State, process: int) -> State:
        controller = self._controller(state.controllers[process])
        controller.step_answered("w")
        return self._with_controller(state, process, controller)

    # ------------------------------------------------------------ invariants

    def _check_invariants(self, state: State) -> None:
        window = decode_window("w", state.window)
        away_steps = [s for s in window.steps if s.stage in AWAY_STAGES]
        loans = DrainSchedule.from_windows({"w": window})
        approved = Interval(0.0, 60.0 * APPROVED_MINUTES)
        for step in away_steps:
            for clock_offset_s in (-MAX_CLOCK_SKEW_S / 2, MAX_CLOCK_SKEW_S / 2):  # of proxies
                wall = WINDOW_START_S + state.now_s + clock_offset_s
                if loans.is_drained(step.machine, "r", "t.example", wall) and not (
                    approved.begin <= state.now_s < approved.end
                ):
                    raise InvariantViolation(f"{step.machine} is out of service outside its hours")
        if len(away_steps) > window.at_once:
            raise InvariantViolation(f"{len(away_steps)} machines are out of service at once")

    def run_fault_free(self, state: State) -> State:
        """Commits all steps in flight and ticks each controller once a second; it must end in time."""
        while state.in_flight:
            state = self._commit_step(state, 0)
        while state.now_s < 60.0 * APPROVED_MINUTES + 2 * RETURN_S + 20.0:
            for i in range(len(state.controllers)):
                state = self._tick_controller(state, i)
                while state.in_flight:
                    state = self._commit_step(state, 0)
                self._check_invariants(state)
            state = state._replace(now_s=state.now_s + 1.0)
        window = decode_window("w", state.window)
        if not all(step.stage in FINAL_STAGES for step in window.steps):
            raise InvariantViolation(f"without faults the window is {window.state()} after its hours")
        return state

    def run(self, max_states: int, fault_free_run_every: int = 499) -> SearchResult:
        """Searches breadth-first, which yields a shortest trace to a violation."""
        result = SearchResult()
        root = self.initial_state()
        predecessors: dict[State, tuple[State, Action]] = {}
        level, known = [root], {root}
        while level:
            next_level: list[State] = []
            for state in level:
                result.states += 1
                try:
                    if result.states % fault_free_run_every == 0:
                        result.end_states.add(decode_window("w", self.run_fault_free(state).window).state())
                    for action in self.enabled_actions(state):
                        after = self.apply(state, action)
                        if after not in known:
                            known.add(after)
                            predecessors[after] = state, action
                            next_level.append(after)
                except InvariantViolation as violation:
                    result.violation = str(violation)
                    result.trace_lines = self._describe_trace(state, predecessors)
                    return result
                if result.states >= max_states:
                    return result
            level = next_level
        result.complete = True
        return result

    def _describe_trace(self, state: State, predecessors: dict[State, tuple[State, Action]]) -> list[str]:
        lines = []
        while state in predecessors:
            state, action = predecessors[state]
            lines.append(f"{state.now_s:6.1f} s: {' '.join(map(str, action))}")
        return lines[::-1]
