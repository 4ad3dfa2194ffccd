"""Going through a scene: in breadth, so that what breaks first breaks by the shortest course; or at random.

States are told apart by a hash of 64 bits: of a million states two are mistaken for one with a chance of
one in thirty million. Frames that change nothing where they arrive are taken at once.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from leadrudder.model_checker.state import FREE, Action, InvariantViolation, Scene, State
from leadrudder.model_checker.symmetry import swapped
from leadrudder.model_checker.world import World
from leadrudder.simulation.shrink import ddmin


@dataclass(slots=True)
class SearchResult:
    """What a search came to.  rule: what broke; empty: nothing did."""

    scene: str
    states: int = 0
    depth: int = 0  # steps from the root, without those that change nothing
    complete: bool = False  # every state within the scene's bounds was seen
    violation: str = ""
    trace: list[Action] = field(default_factory=list)
    trace_lines: list[str] = field(default_factory=list)
    recovery_checks: int = 0  # states from which calm was played out
    steps: int = 0  # of single machines, each worked out once
    seconds: float = 0.0


class Search:
    """One scene's search.  states: how many are looked at at most; depth: how many steps deep at most."""

    def __init__(
        self, scene: Scene, max_states: int = 100_000, max_depth: int = 1_000, max_seconds: float = 1e9
    ) -> None:
        self.world = World(scene)
        self.scene, self._max_states, self._max_depth, self._max_seconds = (
            scene,
            max_states,
            max_depth,
            max_seconds,
        )
        self._before: dict[int, tuple[int, Action]] = {}

    def run(self) -> SearchResult:
        """Go through the scene in breadth."""
        begun = time.monotonic()
        found = SearchResult(self.scene.name)
        level = [self._settle(self.world.initial_state())]
        known = {self._fingerprint(level[0])}
        try:
            while level and found.depth < self._max_depth:
                level = self._next(level, known, found, begun)
                found.depth += 1
                if found.states >= self._max_states or time.monotonic() - begun >= self._max_seconds:
                    break
            else:
                found.complete = not level
        except _Stop as stop:
            found.violation = stop.violation
            found.trace = [*self._trace_to(stop.mark), *stop.moves]
            found.trace_lines = self.describe_trace(found.trace)
        found.steps, found.seconds = self.world.locals.steps, time.monotonic() - begun
        return found

    def _next(self, level: list[State], known: set[int], found: SearchResult, begun: float) -> list[State]:
        follow = []
        for state in level:
            mark = self._fingerprint(state)
            found.states += 1
            if self.scene.recovery_check_every and found.states % self.scene.recovery_check_every == 0:
                found.recovery_checks += 1
                try:
                    self.world.found_again(state)
                except InvariantViolation as broken:
                    raise _Stop(str(broken), mark, []) from None
            if found.states >= self._max_states or (
                found.states % 256 == 0 and time.monotonic() - begun >= self._max_seconds
            ):
                break
            for move in self.world.enabled_actions(state):
                try:
                    after = self._settle(self.world.apply(state, move))
                except InvariantViolation as broken:
                    raise _Stop(str(broken), mark, [move]) from None
                name = self._fingerprint(after)
                if name not in known:
                    known.add(name)
                    self._before[name] = mark, move
                    follow.append(after)
        return follow

    def _settle(self, state: State) -> State:
        """Take what changes nothing where it arrives."""
        while True:
            for move in self.world.work(state):
                if move[0] == "arrives":
                    after = self.world.apply(state, move)
                    if after.boxes == state.boxes and self._only_taken(state, after):
                        state = after._replace(turn=state.turn, budget=state.budget)
                        break
            else:
                return state

    def _only_taken(self, before: State, after: State) -> bool:
        taken = 0
        for old, new in zip(before.wires, after.wires, strict=True):
            taken += len(old.ahead) + len(old.back) - len(new.ahead) - len(new.back)
            if len(new.ahead) > len(old.ahead) or len(new.back) > len(old.back):
                return False
        return taken == 1 and before._replace(wires=(), turn=0, budget=after.budget) == after._replace(
            wires=(), turn=0
        )

    # ------------------------------------------------------------ which states are alike

    def _fingerprint(self, state: State) -> int:
        mark = hash(state)
        if self.scene.swapped is not None:
            mark = min(mark, hash(self._swapped(state)))
        return mark

    def _swapped(self, state: State) -> State:
        """The state with the scene's two values in each other's places."""
        world = self.world
        assert self.scene.swapped is not None
        one, two = self.scene.swapped

        def swap(data: bytes) -> bytes:
            return two.join(part.replace(two, one) for part in data.split(one))

        return swapped(world.locals, state, swap)

    # ------------------------------------------------------------ courses and stories

    def _trace_to(self, mark: int) -> list[Action]:
        moves = []
        while mark in self._before:
            mark, move = self._before[mark]
            moves.append(move)
        return moves[::-1]

    def replay(self, trace: list[Action]) -> Iterator[tuple[State, Action]]:
        """Each state of a course, with the move that follows; moves that are not possible are left out."""
        state = self._settle(self.world.initial_state())
        for move in trace:
            if move in set(self.world.enabled_actions(state)):
                yield state, move
                state = self._settle(self.world.apply(state, move))
        if trace and trace[-1] == ("calm",):
            yield state, ("calm",)
            self.world.found_again(state)

    def find_violation(self, trace: list[Action]) -> str:
        """The rule that a course breaks; empty: none."""
        try:
            for _ in self.replay(trace):
                pass
        except InvariantViolation as broken:
            return str(broken)
        return ""

    def describe_trace(self, trace: list[Action]) -> list[str]:
        lines = []
        try:
            for state, move in self.replay(trace):
                if move != ("calm",):
                    lines.append(f"{0.1 * state.clock:6.1f} {self.world.tell(state, move)}")
        except InvariantViolation as broken:
            lines.append(f"       broken: {broken}")
        return lines

    # ------------------------------------------------------------ walks

    def random_walk(
        self,
        seed: int,
        max_actions: int = 400,
        fault_chance: float = 0.12,
        recovery_check_every: int = 8,
        *,
        shrink: bool = True,
    ) -> SearchResult:
        """One course drawn from a seed; troubles come with the chance `rare` a step. Broken ones are cut,
        unless `shrink` is false.

        Every `calm_each`th seed ends in calm.
        """
        begun = time.monotonic()
        rng = Random(seed)
        found = SearchResult(self.scene.name)
        state = self._settle(self.world.initial_state())
        trace: list[Action] = []
        try:
            for _ in range(max_actions):
                move = self._draw(list(self.world.enabled_actions(state)), rng, fault_chance)
                if move is None:
                    break
                trace.append(move)
                state = self._settle(self.world.apply(state, move))
                found.states += 1
            if seed % recovery_check_every == 0:
                trace.append(("calm",))
                found.recovery_checks = 1
                self.world.found_again(state)
        except InvariantViolation as broken:
            found.violation = str(broken)
            found.trace = self.cut(trace, found.violation) if shrink else trace
            found.trace_lines = self.describe_trace(found.trace) if shrink else []
        found.depth, found.steps = len(trace), self.world.locals.steps
        found.seconds = time.monotonic() - begun
        return found

    def cut(self, trace: list[Action], violation: str) -> list[Action]:
        """The moves of a course without which it does not break a rule of the same kind."""
        kind = _kind(violation)
        return list(ddmin(trace, lambda reduced: _kind(self.find_violation(list(reduced))) == kind))

    def _draw(self, moves: list[Action], rng: Random, fault_chance: float) -> Action | None:
        kinds: dict[str, list[Action]] = {}
        for move in moves:
            kinds.setdefault(_class(move), []).append(move)
        if not kinds:
            return None
        if "trouble" in kinds and rng.random() < fault_chance:
            of: dict[str, list[Action]] = {}
            for move in kinds["trouble"]:
                of.setdefault(str(move[0]), []).append(move)
            return rng.choice(of[rng.choice(sorted(of))])
        if "time" in kinds and (rng.random() < 0.1 or "work" not in kinds):
            return kinds["time"][0]
        return rng.choice(kinds.get("work") or moves)


class _Stop(Exception):  # noqa: N818
    def __init__(self, violation: str, mark: int, moves: list[Action]) -> None:
        self.violation, self.mark, self.moves = violation, mark, moves or [("calm",)]


def _class(move: Action) -> str:
    if move[0] == "pass":
        return "time"
    return "work" if move[0] in FREE else "trouble"


def _kind(violation: str) -> str:
    """A rule without names and numbers."""
    return " ".join(word for word in violation.split() if word.isalpha() and len(word) > 1)
