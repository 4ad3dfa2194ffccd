"""A small world of maintenance: processes that carry one window out, gone through in every order.

The very keepers are played. Both may think that the duty is theirs, as a late holder does; their clocks are
apart as far as they may be, one of them jumps, either sleeps; a step that was decided on waits as long as one
likes and stands only as the next count of the window, as an owner has it; the contract is withdrawn. Times
are whole seconds from the begin of the window.
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
BEGIN = 20_000 * DAY_S + 22 * 3600.0  # 22:00, when the approved hour begins
MINUTES = 1  # that are approved
STEP_S = 3.0  # that pass at once
STEPS = 25
WORKS_S, RETURN_S = 4.0, 3.0
BACK_AT_ONCE_S = (
    2 * STEP_S + MAX_CLOCK_SKEW_S
)  # after a contract was withdrawn, and a keeper that is there looked

Move = tuple[str | int, ...]
NEXT = {
    Stage.WAITING: {Stage.DRAINING, Stage.SKIPPED},
    Stage.DRAINING: {Stage.OUT, Stage.RETURNING},
    Stage.OUT: {Stage.RETURNING},
    Stage.RETURNING: {Stage.BACK},
    Stage.BACK: set(),
    Stage.SKIPPED: set(),
}


class Mind(NamedTuple):
    """A keeper's memory, and how far its clock is off."""

    looked: tuple[float, float] | None = None
    sound_since: float = 0.0
    asked: tuple[tuple[str, float], ...] = ()
    off: float = 0.0


class State(NamedTuple):
    now: float
    window: bytes
    number: int
    minds: tuple[Mind, ...]
    flying: tuple[tuple[int, int, bytes], ...] = ()  # who decided on it, its count, the window as it would be
    jumps: int = 1
    withdrawn: float = -1.0  # when the contract was; -1: it stands


class Broken(AssertionError):  # noqa: N818 - it says what is the matter with a rule
    """A rule does not hold."""


@dataclass(slots=True)
class Found:
    """What the search came to.  rule: what broke; empty: nothing did."""

    states: int = 0
    whole: bool = False
    rule: str = ""
    story: list[str] = field(default_factory=list)
    over: set[str] = field(default_factory=set)  # states in which windows ended


@dataclass(slots=True)
class Windows:
    """The search.  machines: that the window takes one after the other."""

    machines: int = 2
    processes: int = 2
    _contract: Contract = field(init=False)
    _routes: dict[str, Route] = field(init=False)
    _machines: dict[str, Machine] = field(init=False)

    def __post_init__(self) -> None:
        hours = ApprovedHours(ZoneInfo("UTC"), (HoursRule(22 * 60, 22 * 60 + MINUTES, frozenset(range(7))),))
        self._contract = Contract("t", frozenset({"t.example"}), frozenset(), hours, 0.0, 1, 0.5, 1)
        self._routes = {"r": Route("r", "t.example", "/", True, 1000.0, 300.0, 1, (("s", 1.0),), 1, 1)}
        self._machines = {f"m{i}": Machine(f"m{i}", "z", "s", 9) for i in range(self.machines + 2)}

    def _situation(self, state: State, window: Window) -> FleetState:
        contracts = {} if state.withdrawn >= 0.0 else {"t": self._contract}
        return FleetState(contracts, self._routes, self._machines, {"w": window})

    def root(self) -> State:
        names = tuple(f"m{i}" for i in range(self.machines))
        order = WindowRequest("w", BEGIN - 10.0, BEGIN + 120.0, names, works_s=WORKS_S, return_s=RETURN_S)
        at = FleetState({"t": self._contract}, self._routes, self._machines, {})
        planned = planner.plan(order, BEGIN - 10.0, at)
        assert isinstance(planned, Window), planned
        half = MAX_CLOCK_SKEW_S / 2
        minds = tuple(Mind(off=half if i % 2 else -half) for i in range(self.processes))
        return State(-12.5, planned.encode(), 1, minds)

    # ------------------------------------------------------------ moves

    def moves(self, state: State) -> Iterator[Move]:
        for i in range(len(state.minds)):
            if not any(who == i for who, _, _ in state.flying):
                yield "looks", i
        for k in range(len(state.flying)):
            yield "lands", k
            yield "lost", k
        if state.jumps:
            for i in range(len(state.minds)):
                yield "jumps", i
        if state.withdrawn < 0.0 and 0.0 < state.now < 40.0:
            yield ("withdrawn",)
        if state.now < STEP_S * STEPS:
            yield ("passes",)

    def after(self, state: State, move: Move) -> State:
        kind, *where = move
        at = int(where[0]) if where else 0
        if kind == "passes":
            state = state._replace(now=state.now + STEP_S)
        elif kind == "looks":
            state = self._looks(state, at)
        elif kind == "lands":
            state = self._lands(state, at)
        elif kind == "lost":
            who, _, _ = state.flying[at]
            state = self._told(state._replace(flying=state.flying[:at] + state.flying[at + 1 :]), who)
        elif kind == "jumps":
            mind = state.minds[at]
            minds = (*state.minds[:at], mind._replace(off=mind.off + 30.0), *state.minds[at + 1 :])
            state = state._replace(minds=minds, jumps=state.jumps - 1)
        else:
            state = state._replace(withdrawn=state.now)
        self._check(state)
        return state

    def _keeper(self, mind: Mind) -> MaintenanceController:
        keeper = MaintenanceController()
        keeper._last_clocks, keeper._consistent_since, keeper._pending_since = (
            mind.looked,
            mind.sound_since,
            dict(mind.asked),
        )
        return keeper

    def _minded(self, state: State, i: int, keeper: MaintenanceController) -> State:
        asked = tuple(sorted(keeper._pending_since.items()))
        mind = state.minds[i]._replace(
            looked=keeper._last_clocks, sound_since=keeper._consistent_since, asked=asked
        )
        return state._replace(minds=(*state.minds[:i], mind, *state.minds[i + 1 :]))

    def _looks(self, state: State, i: int) -> State:
        """It looks as often as its clock needs to be known for sound, and takes the step that is due."""
        window, keeper = decode_window("w", state.window), self._keeper(state.minds[i])
        wall = BEGIN + state.now + state.minds[i].off
        # Of the other processes, and of one that never holds the duty.
        others = [BEGIN + state.now + mind.off for n, mind in enumerate(state.minds) if n != i]
        others.append(BEGIN + state.now)
        steps = keeper.tick(wall, state.now, True, self._situation(state, window), others)
        state = self._minded(state, i, keeper)
        for step in steps:
            state = state._replace(flying=(*state.flying, (i, state.number + 1, step.encode())))
        return state

    def _lands(self, state: State, k: int) -> State:
        who, count, packed = state.flying[k]
        state = state._replace(flying=state.flying[:k] + state.flying[k + 1 :])
        if count == state.number + 1:
            before, after = decode_window("w", state.window), decode_window("w", packed)
            changed = [(a, b) for a, b in zip(before.steps, after.steps, strict=True) if a.stage != b.stage]
            if len(changed) != 1 or changed[0][1].stage not in NEXT[changed[0][0].stage]:
                raise Broken(f"not a step: {changed}")
            state = state._replace(window=packed, number=count)
        return self._told(state, who)

    def _told(self, state: State, who: int) -> State:
        keeper = self._keeper(state.minds[who])
        keeper.step_answered("w")
        return self._minded(state, who, keeper)

    # ------------------------------------------------------------ rules

    def _check(self, state: State) -> None:
        window = decode_window("w", state.window)
        lent = [s for s in window.steps if s.stage in AWAY_STAGES]
        loans = DrainSchedule.from_windows({"w": window})
        approved = Interval(0.0, 60.0 * MINUTES)
        for step in lent:
            for off in (-MAX_CLOCK_SKEW_S / 2, MAX_CLOCK_SKEW_S / 2):  # of stations
                wall = BEGIN + state.now + off
                if loans.is_drained(step.machine, "r", "t.example", wall) and not (
                    approved.begin <= state.now < approved.end
                ):
                    raise Broken(f"{step.machine} is lent outside its hours")
        if len(lent) > window.at_once:
            raise Broken(f"{len(lent)} machines are lent at once")

    def calm(self, state: State) -> State:
        """All that is on its way lands, and keepers look once a second: everything is over in its time."""
        while state.flying:
            state = self._lands(state, 0)
        while state.now < 60.0 * MINUTES + 2 * RETURN_S + 20.0:
            for i in range(len(state.minds)):
                state = self._looks(state, i)
                while state.flying:
                    state = self._lands(state, 0)
                self._check(state)
            state = state._replace(now=state.now + 1.0)
        window = decode_window("w", state.window)
        if not all(step.stage in FINAL_STAGES for step in window.steps):
            raise Broken(f"in calm it is {window.state()} after its hours")
        return state

    def run(self, states: int, calm_each: int = 499) -> Found:
        """In breadth, so that what breaks breaks by the shortest course."""
        found = Found()
        root = self.root()
        before: dict[State, tuple[State, Move]] = {}
        level, known = [root], {root}
        while level:
            follow: list[State] = []
            for state in level:
                found.states += 1
                try:
                    if found.states % calm_each == 0:
                        found.over.add(decode_window("w", self.calm(state).window).state())
                    for move in self.moves(state):
                        after = self.after(state, move)
                        if after not in known:
                            known.add(after)
                            before[after] = state, move
                            follow.append(after)
                except Broken as broken:
                    found.rule = str(broken)
                    found.story = self._story(state, before)
                    return found
                if found.states >= states:
                    return found
            level = follow
        found.whole = True
        return found

    def _story(self, state: State, before: dict[State, tuple[State, Move]]) -> list[str]:
        lines = []
        while state in before:
            state, move = before[state]
            lines.append(f"{state.now:6.1f} s: {' '.join(map(str, move))}")
        return lines[::-1]
