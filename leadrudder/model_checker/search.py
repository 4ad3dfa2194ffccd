"""Exploration of a scenario: breadth-first, which yields a shortest trace to a violation, or by random walks.

States are identified by 64-bit fingerprints: among a million states, the chance that two collide is one in
thirty million. Frames that change nothing at their receiver are consumed at once.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from leadrudder.model_checker.state import INTERNAL_KINDS, Action, InvariantViolation, Scenario, State
from leadrudder.model_checker.symmetry import swap_values
from leadrudder.model_checker.world import World
from leadrudder.simulation.shrink import ddmin


@dataclass(slots=True)
class SearchResult:
    """The result of a search.  violation: the invariant that failed; empty: none."""

    scenario: str
    states: int = 0
    depth: int = 0  # actions from the initial state, without no-ops
    complete: bool = False  # every state within the scenario's bounds was visited
    violation: str = ""
    trace: list[Action] = field(default_factory=list)
    trace_lines: list[str] = field(default_factory=list)
    recovery_checks: int = 0  # states from which fault-free recovery was checked
    machine_steps: int = 0  # of single machines, each computed once
    seconds: float = 0.0


class Search:
    """The search of one scenario, at most max_states states and max_depth actions deep."""

    def __init__(
        self, scenario: Scenario, max_states: int = 100_000, max_depth: int = 1_000, max_seconds: float = 1e9
    ) -> None:
        self.world = World(scenario)
        self.scenario, self._max_states, self._max_depth, self._max_seconds = (
            scenario,
            max_states,
            max_depth,
            max_seconds,
        )
        self._predecessors: dict[int, tuple[int, Action]] = {}

    def run(self) -> SearchResult:
        """Searches breadth-first."""
        started = time.monotonic()
        result = SearchResult(self.scenario.name)
        level = [self._skip_no_ops(self.world.initial_state())]
        known = {self._fingerprint(level[0])}
        try:
            while level and result.depth < self._max_depth:
                level = self._expand(level, known, result, started)
                result.depth += 1
                if result.states >= self._max_states or time.monotonic() - started >= self._max_seconds:
                    break
            else:
                result.complete = not level
        except _ViolationFound as stopped:
            result.violation = stopped.violation
            result.trace = [*self._trace_to(stopped.fingerprint), *stopped.actions]
            result.trace_lines = self.describe_trace(result.trace)
        result.machine_steps, result.seconds = (
            self.world.machine_states.step_count,
            time.monotonic() - started,
        )
        return result

    def _expand(
        self, level: list[State], known: set[int], result: SearchResult, started: float
    ) -> list[State]:
        next_level = []
        for state in level:
            fingerprint = self._fingerprint(state)
            result.states += 1
            if self.scenario.recovery_check_every and result.states % self.scenario.recovery_check_every == 0:
                result.recovery_checks += 1
                try:
                    self.world.check_recovery(state)
                except InvariantViolation as violation:
                    raise _ViolationFound(str(violation), fingerprint, []) from None
            if result.states >= self._max_states or (
                result.states % 256 == 0 and time.monotonic() - started >= self._max_seconds
            ):
                break
            for action in self.world.enabled_actions(state):
                try:
                    after = self._skip_no_ops(self.world.apply(state, action))
                except InvariantViolation as violation:
                    raise _ViolationFound(str(violation), fingerprint, [action]) from None
                successor = self._fingerprint(after)
                if successor not in known:
                    known.add(successor)
                    self._predecessors[successor] = fingerprint, action
                    next_level.append(after)
        return next_level

    def _skip_no_ops(self, state: State) -> State:
        """Consumes frames that change nothing at their receiver."""
        while True:
            for action in self.world.enabled_internal(state):
                if action[0] == "arrives":
                    after = self.world.apply(state, action)
                    if after.hosts == state.hosts and self._only_consumed_frame(state, after):
                        state = after._replace(next_source=state.next_source, budget=state.budget)
                        break
            else:
                return state

    def _only_consumed_frame(self, before: State, after: State) -> bool:
        consumed = 0
        for old_link, new_link in zip(before.links, after.links, strict=True):
            consumed += (
                len(old_link.forward)
                + len(old_link.backward)
                - len(new_link.forward)
                - len(new_link.backward)
            )
            if len(new_link.forward) > len(old_link.forward) or len(new_link.backward) > len(
                old_link.backward
            ):
                return False
        return consumed == 1 and before._replace(
            links=(), next_source=0, budget=after.budget
        ) == after._replace(links=(), next_source=0)

    # ------------------------------------------------------------ state identity

    def _fingerprint(self, state: State) -> int:
        fingerprint = hash(state)
        if self.scenario.symmetric_values is not None:
            fingerprint = min(fingerprint, hash(self._swap_values(state)))
        return fingerprint

    def _swap_values(self, state: State) -> State:
        """The state with the scenario's two symmetric values swapped."""
        world = self.world
        assert self.scenario.symmetric_values is not None
        one, two = self.scenario.symmetric_values

        def swap_bytes(data: bytes) -> bytes:
            return two.join(part.replace(two, one) for part in data.split(one))

        return swap_values(world.machine_states, state, swap_bytes)

    # ------------------------------------------------------------ traces

    def _trace_to(self, fingerprint: int) -> list[Action]:
        actions = []
        while fingerprint in self._predecessors:
            fingerprint, action = self._predecessors[fingerprint]
            actions.append(action)
        return actions[::-1]

    def replay(self, trace: list[Action]) -> Iterator[tuple[State, Action]]:
        """Each state of a trace with the action that follows it; actions that are not enabled are skipped."""
        state = self._skip_no_ops(self.world.initial_state())
        for action in trace:
            if action in set(self.world.enabled_actions(state)):
                yield state, action
                state = self._skip_no_ops(self.world.apply(state, action))
        if trace and trace[-1] == ("calm",):
            yield state, ("calm",)
            self.world.check_recovery(state)

    def find_violation(self, trace: list[Action]) -> str:
        """The violation that a trace leads to; empty: none."""
        try:
            for _ in self.replay(trace):
                pass
        except InvariantViolation as violation:
            return str(violation)
        return ""

    def describe_trace(self, trace: list[Action]) -> list[str]:
        lines = []
        try:
            for state, action in self.replay(trace):
                if action != ("calm",):
                    lines.append(f"{0.1 * state.clock_tenths:6.1f} {self.world.describe(state, action)}")
        except InvariantViolation as violation:
            lines.append(f"       broken: {violation}")
        return lines

    # ------------------------------------------------------------ random walks

    def random_walk(
        self,
        seed: int,
        max_actions: int = 400,
        fault_chance: float = 0.12,
        recovery_check_every: int = 8,
        *,
        shrink: bool = True,
    ) -> SearchResult:
        """One trace drawn from a seed, with a fault at each step with probability `fault_chance`.

        A violating trace is minimized unless `shrink` is false. Every `recovery_check_every`th seed ends with
        a check of fault-free recovery.
        """
        started = time.monotonic()
        rng = Random(seed)
        result = SearchResult(self.scenario.name)
        state = self._skip_no_ops(self.world.initial_state())
        trace: list[Action] = []
        try:
            for _ in range(max_actions):
                action = self._draw_action(list(self.world.enabled_actions(state)), rng, fault_chance)
                if action is None:
                    break
                trace.append(action)
                state = self._skip_no_ops(self.world.apply(state, action))
                result.states += 1
            if seed % recovery_check_every == 0:
                trace.append(("calm",))
                result.recovery_checks = 1
                self.world.check_recovery(state)
        except InvariantViolation as violation:
            result.violation = str(violation)
            result.trace = self.shrink_trace(trace, result.violation) if shrink else trace
            result.trace_lines = self.describe_trace(result.trace) if shrink else []
        result.depth, result.machine_steps = len(trace), self.world.machine_states.step_count
        result.seconds = time.monotonic() - started
        return result

    def shrink_trace(self, trace: list[Action], violation: str) -> list[Action]:
        """A minimal part of a trace that still leads to a violation of the same kind."""
        kind = _violation_kind(violation)
        return list(ddmin(trace, lambda reduced: _violation_kind(self.find_violation(list(reduced))) == kind))

    def _draw_action(self, actions: list[Action], rng: Random, fault_chance: float) -> Action | None:
        classes: dict[str, list[Action]] = {}
        for action in actions:
            classes.setdefault(_action_class(action), []).append(action)
        if not classes:
            return None
        if "fault" in classes and rng.random() < fault_chance:
            kinds: dict[str, list[Action]] = {}
            for action in classes["fault"]:
                kinds.setdefault(str(action[0]), []).append(action)
            return rng.choice(kinds[rng.choice(sorted(kinds))])
        if "time" in classes and (rng.random() < 0.1 or "internal" not in classes):
            return classes["time"][0]
        return rng.choice(classes.get("internal") or actions)


class _ViolationFound(Exception):  # noqa: N818
    """Ends a search at the state with this fingerprint, after further actions."""

    def __init__(self, violation: str, fingerprint: int, actions: list[Action]) -> None:
        self.violation, self.fingerprint, self.actions = violation, fingerprint, actions or [("calm",)]


def _action_class(action: Action) -> str:
    if action[0] == "pass":
        return "time"
    return "internal" if action[0] in INTERNAL_KINDS else "fault"


def _violation_kind(violation: str) -> str:
    """A violation without names and numbers."""
    return " ".join(word for word in violation.split() if word.isalpha() and len(word) > 1)
