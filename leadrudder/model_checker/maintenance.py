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
from leadrudder.maintenance.controller import Keeper
from leadrudder.maintenance.hours import Hours, Rule, Span
from leadrudder.maintenance.planner import Machine, Order, Situation
from leadrudder.maintenance.window import CLOCKS_APART_S, LENT, OVER, Loans, Stage, Window, unpacked

DAY_S = 86400.0
BEGIN = 20_000 * DAY_S + 22 * 3600.0  # 22:00, when the approved hour begins
MINUTES = 1  # that are approved
STEP_S = 3.0  # that pass at once
STEPS = 25
WORKS_S, RETURN_S = 4.0, 3.0
BACK_AT_ONCE_S = (
    2 * STEP_S + CLOCKS_APART_S
)  # after a contract was withdrawn, and a keeper that is there looked

Action = tuple[str | int, ...]
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
    version: int
    minds: tuple[Mind, ...]
    in_flight: tuple[
        tuple[int, int, bytes], ...
    ] = ()  # who decided on it, its count, the window as it would be
    jumps: int = 1
    withdrawn: float = -1.0  # when the contract was; -1: it stands


class InvariantViolation(AssertionError):  # noqa: N818 - it says what is the matter with a rule
    """A rule does not hold."""


@dataclass(slots=True)
class SearchResult:
    """What the search came to.  rule: what broke; empty: nothing did."""

    states: int = 0
    complete: bool = False
    violation: str = ""
    trace_lines: list[str] = field(default_factory=list)
    end_states: set[str] = field(default_factory=set)  # states in which windows ended


@dataclass(slots=True)
class WindowModel:
    """The search.  machines: that the window takes one after the other."""

    machines: int = 2
    processes: int = 2
    _contract: Contract = field(init=False)
    _routes: dict[str, Route] = field(init=False)
    _machines: dict[str, Machine] = field(init=False)

    def __post_init__(self) -> None:
        hours = Hours(ZoneInfo("UTC"), (Rule(22 * 60, 22 * 60 + MINUTES, frozenset(range(7))),))
        self._contract = Contract("t", frozenset({"t.example"}), frozenset(), hours, 0.0, 1, 0.5, 1)
        self._routes = {"r": Route("r", "t.example", "/", True, 1000.0, 300.0, 1, (("s", 1.0),), 1, 1)}
        self._machines = {f"m{i}": Machine(f"m{i}", "z", "s", 9) for i in range(self.machines + 2)}

    def _situation(self, state: State, window: Window) -> Situation:
        contracts = {} if state.withdrawn >= 0.0 else {"t": self._contract}
        return Situation(contracts, self._routes, self._machines, {"w": window})

    def initial_state(self) -> State:
        names = tuple(f"m{i}" for i in range(self.machines))
        order = Order("w", BEGIN - 10.0, BEGIN + 120.0, names, works_s=WORKS_S, return_s=RETURN_S)
        at = Situation({"t": self._contract}, self._routes, self._machines, {})
        planned = planner.plan(order, BEGIN - 10.0, at)
        assert isinstance(planned, Window), planned
        half = CLOCKS_APART_S / 2
        minds = tuple(Mind(off=half if i % 2 else -half) for i in range(self.processes))
        return State(-12.5, planned.packed(), 1, minds)

    # ------------------------------------------------------------ moves

    def moves(self, state: State) -> Iterator[Action]:
        for i in range(len(state.minds)):
            if not any(who == i for who, _, _ in state.in_flight):
                yield "looks", i
        for k in range(len(state.in_flight)):
            yield "lands", k
            yield "lost", k
        if state.jumps:
            for i in range(len(state.minds)):
                yield "jumps", i
        if state.withdrawn < 0.0 and 0.0 < state.now < 40.0:
            yield ("withdrawn",)
        if state.now < STEP_S * STEPS:
            yield ("passes",)

    def apply(self, state: State, move: Action) -> State:
        kind, *where = move
        at = int(where[0]) if where else 0
        if kind == "passes":
            state = state._replace(now=state.now + STEP_S)
        elif kind == "looks":
            state = self._looks(state, at)
        elif kind == "lands":
            state = self._commit_step(state, at)
        elif kind == "lost":
            who, _, _ = state.in_flight[at]
            state = self._told(
                state._replace(in_flight=state.in_flight[:at] + state.in_flight[at + 1 :]), who
            )
        elif kind == "jumps":
            mind = state.minds[at]
            minds = (*state.minds[:at], mind._replace(off=mind.off + 30.0), *state.minds[at + 1 :])
            state = state._replace(minds=minds, jumps=state.jumps - 1)
        else:
            state = state._replace(withdrawn=state.now)
        self._check(state)
        return state

    def _keeper(self, mind: Mind) -> Keeper:
        keeper = Keeper()
        keeper._looked, keeper._sound_since, keeper._asked = mind.looked, mind.sound_since, dict(mind.asked)
        return keeper

    def _minded(self, state: State, i: int, keeper: Keeper) -> State:
        asked = tuple(sorted(keeper._asked.items()))
        mind = state.minds[i]._replace(looked=keeper._looked, sound_since=keeper._sound_since, asked=asked)
        return state._replace(minds=(*state.minds[:i], mind, *state.minds[i + 1 :]))

    def _looks(self, state: State, i: int) -> State:
        """It looks as often as its clock needs to be known for sound, and takes the step that is due."""
        window, keeper = unpacked("w", state.window), self._keeper(state.minds[i])
        wall = BEGIN + state.now + state.minds[i].off
        # Of the other processes, and of one that never holds the duty.
        others = [BEGIN + state.now + mind.off for n, mind in enumerate(state.minds) if n != i]
        others.append(BEGIN + state.now)
        steps = keeper.tick(wall, state.now, True, self._situation(state, window), others)
        state = self._minded(state, i, keeper)
        for step in steps:
            state = state._replace(in_flight=(*state.in_flight, (i, state.version + 1, step.packed())))
        return state

    def _commit_step(self, state: State, k: int) -> State:
        who, count, packed = state.in_flight[k]
        state = state._replace(in_flight=state.in_flight[:k] + state.in_flight[k + 1 :])
        if count == state.version + 1:
            before, after = unpacked("w", state.window), unpacked("w", packed)
            changed = [(a, b) for a, b in zip(before.steps, after.steps, strict=True) if a.stage != b.stage]
            if len(changed) != 1 or changed[0][1].stage not in NEXT[changed[0][0].stage]:
                raise InvariantViolation(f"not a step: {changed}")
            state = state._replace(window=packed, version=count)
        return self._told(state, who)

    def _told(self, state: State, who: int) -> State:
        keeper = self._keeper(state.minds[who])
        keeper.told("w")
        return self._minded(state, who, keeper)

    # ------------------------------------------------------------ rules

    def _check(self, state: State) -> None:
        window = unpacked("w", state.window)
        lent = [s for s in window.steps if s.stage in LENT]
        loans = Loans.of({"w": window})
        approved = Span(0.0, 60.0 * MINUTES)
        for step in lent:
            for off in (-CLOCKS_APART_S / 2, CLOCKS_APART_S / 2):  # of stations
                wall = BEGIN + state.now + off
                if loans.lent(step.machine, "r", "t.example", wall) and not (
                    approved.begin <= state.now < approved.end
                ):
                    raise InvariantViolation(f"{step.machine} is lent outside its hours")
        if len(lent) > window.at_once:
            raise InvariantViolation(f"{len(lent)} machines are lent at once")

    def calm(self, state: State) -> State:
        """All that is on its way lands, and keepers look once a second: everything is over in its time."""
        while state.in_flight:
            state = self._commit_step(state, 0)
        while state.now < 60.0 * MINUTES + 2 * RETURN_S + 20.0:
            for i in range(len(state.minds)):
                state = self._looks(state, i)
                while state.in_flight:
                    state = self._commit_step(state, 0)
                self._check(state)
            state = state._replace(now=state.now + 1.0)
        window = unpacked("w", state.window)
        if not all(step.stage in OVER for step in window.steps):
            raise InvariantViolation(f"in calm it is {window.state()} after its hours")
        return state

    def run(self, states: int, calm_each: int = 499) -> SearchResult:
        """In breadth, so that what breaks breaks by the shortest course."""
        found = SearchResult()
        root = self.initial_state()
        before: dict[State, tuple[State, Action]] = {}
        level, known = [root], {root}
        while level:
            follow: list[State] = []
            for state in level:
                found.states += 1
                try:
                    if found.states % calm_each == 0:
                        found.end_states.add(unpacked("w", self.calm(state).window).state())
                    for move in self.moves(state):
                        after = self.apply(state, move)
                        if after not in known:
                            known.add(after)
                            before[after] = state, move
                            follow.append(after)
                except InvariantViolation as broken:
                    found.violation = str(broken)
                    found.trace_lines = self._story(state, before)
                    return found
                if found.states >= states:
                    return found
            level = follow
        found.complete = True
        return found

    def _story(self, state: State, before: dict[State, tuple[State, Action]]) -> list[str]:
        lines = []
        while state in before:
            state, move = before[state]
            lines.append(f"{state.now:6.1f} s: {' '.join(map(str, move))}")
        return lines[::-1]
