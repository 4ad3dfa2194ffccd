"""Going through a scene: in breadth, so that what breaks first breaks by the shortest course; or at random.

States are told apart by a hash of 64 bits: of a million states two are mistaken for one with a chance of
one in thirty million. Frames that change nothing where they arrive are taken at once.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from leadrudder.model_checker.state import FREE, Broken, Move, Scene, State
from leadrudder.model_checker.symmetry import swapped
from leadrudder.model_checker.world import World
from leadrudder.simulation.shrink import ddmin


@dataclass(slots=True)
class Found:
    """What a search came to.  rule: what broke; empty: nothing did."""

    scene: str
    states: int = 0
    depth: int = 0  # steps from the root, without those that change nothing
    whole: bool = False  # every state within the scene's bounds was seen
    rule: str = ""
    course: list[Move] = field(default_factory=list)
    story: list[str] = field(default_factory=list)
    calms: int = 0  # states from which calm was played out
    steps: int = 0  # of single machines, each worked out once
    seconds: float = 0.0


class Search:
    """One scene's search.  states: how many are looked at at most; depth: how many steps deep at most."""

    def __init__(self, scene: Scene, states: int = 100_000, depth: int = 1_000, seconds: float = 1e9) -> None:
        self.world = World(scene)
        self.scene, self._most, self._depth, self._seconds = scene, states, depth, seconds
        self._before: dict[int, tuple[int, Move]] = {}

    def run(self) -> Found:
        """Go through the scene in breadth."""
        begun = time.monotonic()
        found = Found(self.scene.name)
        level = [self._settle(self.world.root())]
        known = {self._mark(level[0])}
        try:
            while level and found.depth < self._depth:
                level = self._next(level, known, found, begun)
                found.depth += 1
                if found.states >= self._most or time.monotonic() - begun >= self._seconds:
                    break
            else:
                found.whole = not level
        except _Stop as stop:
            found.rule = stop.rule
            found.course = [*self._course(stop.mark), *stop.moves]
            found.story = self.story(found.course)
        found.steps, found.seconds = self.world.locals.steps, time.monotonic() - begun
        return found

    def _next(self, level: list[State], known: set[int], found: Found, begun: float) -> list[State]:
        follow = []
        for state in level:
            mark = self._mark(state)
            found.states += 1
            if self.scene.calm_each and found.states % self.scene.calm_each == 0:
                found.calms += 1
                try:
                    self.world.found_again(state)
                except Broken as broken:
                    raise _Stop(str(broken), mark, []) from None
            if found.states >= self._most or (
                found.states % 256 == 0 and time.monotonic() - begun >= self._seconds
            ):
                break
            for move in self.world.moves(state):
                try:
                    after = self._settle(self.world.after(state, move))
                except Broken as broken:
                    raise _Stop(str(broken), mark, [move]) from None
                name = self._mark(after)
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
                    after = self.world.after(state, move)
                    if after.boxes == state.boxes and self._only_taken(state, after):
                        state = after._replace(turn=state.turn, left=state.left)
                        break
            else:
                return state

    def _only_taken(self, before: State, after: State) -> bool:
        taken = 0
        for old, new in zip(before.wires, after.wires, strict=True):
            taken += len(old.ahead) + len(old.back) - len(new.ahead) - len(new.back)
            if len(new.ahead) > len(old.ahead) or len(new.back) > len(old.back):
                return False
        return taken == 1 and before._replace(wires=(), turn=0, left=after.left) == after._replace(
            wires=(), turn=0
        )

    # ------------------------------------------------------------ which states are alike

    def _mark(self, state: State) -> int:
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

    def _course(self, mark: int) -> list[Move]:
        moves = []
        while mark in self._before:
            mark, move = self._before[mark]
            moves.append(move)
        return moves[::-1]

    def replay(self, course: list[Move]) -> Iterator[tuple[State, Move]]:
        """Each state of a course, with the move that follows; moves that are not possible are left out."""
        state = self._settle(self.world.root())
        for move in course:
            if move in set(self.world.moves(state)):
                yield state, move
                state = self._settle(self.world.after(state, move))
        if course and course[-1] == ("calm",):
            yield state, ("calm",)
            self.world.found_again(state)

    def breaks(self, course: list[Move]) -> str:
        """The rule that a course breaks; empty: none."""
        try:
            for _ in self.replay(course):
                pass
        except Broken as broken:
            return str(broken)
        return ""

    def story(self, course: list[Move]) -> list[str]:
        lines = []
        try:
            for state, move in self.replay(course):
                if move != ("calm",):
                    lines.append(f"{0.1 * state.clock:6.1f} {self.world.tell(state, move)}")
        except Broken as broken:
            lines.append(f"       broken: {broken}")
        return lines

    # ------------------------------------------------------------ walks

    def walk(
        self, seed: int, moves: int = 400, rare: float = 0.12, calm_each: int = 8, *, shrink: bool = True
    ) -> Found:
        """One course drawn from a seed; troubles come with the chance `rare` a step. Broken ones are cut,
        unless `shrink` is false.

        Every `calm_each`th seed ends in calm.
        """
        begun = time.monotonic()
        rng = Random(seed)
        found = Found(self.scene.name)
        state = self._settle(self.world.root())
        course: list[Move] = []
        try:
            for _ in range(moves):
                move = self._draw(list(self.world.moves(state)), rng, rare)
                if move is None:
                    break
                course.append(move)
                state = self._settle(self.world.after(state, move))
                found.states += 1
            if seed % calm_each == 0:
                course.append(("calm",))
                found.calms = 1
                self.world.found_again(state)
        except Broken as broken:
            found.rule = str(broken)
            found.course = self.cut(course, found.rule) if shrink else course
            found.story = self.story(found.course) if shrink else []
        found.depth, found.steps = len(course), self.world.locals.steps
        found.seconds = time.monotonic() - begun
        return found

    def cut(self, course: list[Move], rule: str) -> list[Move]:
        """The moves of a course without which it does not break a rule of the same kind."""
        kind = _kind(rule)
        return list(ddmin(course, lambda left: _kind(self.breaks(list(left))) == kind))

    def _draw(self, moves: list[Move], rng: Random, rare: float) -> Move | None:
        kinds: dict[str, list[Move]] = {}
        for move in moves:
            kinds.setdefault(_class(move), []).append(move)
        if not kinds:
            return None
        if "trouble" in kinds and rng.random() < rare:
            of: dict[str, list[Move]] = {}
            for move in kinds["trouble"]:
                of.setdefault(str(move[0]), []).append(move)
            return rng.choice(of[rng.choice(sorted(of))])
        if "time" in kinds and (rng.random() < 0.1 or "work" not in kinds):
            return kinds["time"][0]
        return rng.choice(kinds.get("work") or moves)


class _Stop(Exception):  # noqa: N818
    def __init__(self, rule: str, mark: int, moves: list[Move]) -> None:
        self.rule, self.mark, self.moves = rule, mark, moves or [("calm",)]


def _class(move: Move) -> str:
    if move[0] == "pass":
        return "time"
    return "work" if move[0] in FREE else "trouble"


def _kind(rule: str) -> str:
    """A rule without names and numbers."""
    return " ".join(word for word in rule.split() if word.isalpha() and len(word) > 1)
