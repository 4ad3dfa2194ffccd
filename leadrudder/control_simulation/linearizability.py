"""Linearizability check: whether the answers to operators are explained by one atomic register for each key.

Writes and reads overlap, are retried, and may end without a definite answer. A history is linearizable if
each operation can be assigned a point in time between its start and its end such that a single register,
applying them in that order, would have given the same answers. Keys are checked separately, which is as
strict for a set of registers as checking them together (M. Herlihy and J. Wing, Linearizability, 1990,
theorem 1). The search explores the possible orders of operations and memoizes pairs of applied operations
and register state (J. Wing and C. Gong, 1993; G. Lowe, Testing for Linearizability, 2017).

A register holds a version and a value. A write with a higher version replaces both; the same version and
value again, or a lower version, changes nothing; the same version with another value is refused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

MAX_STATES = 200_000  # explored for one key


class Outcome(Enum):
    """How an operation ended, from its caller's point of view."""

    CONFIRMED = auto()  # a write that took effect, or was superseded
    REFUSED = auto()  # a write whose version has another value
    READ = auto()  # a read that returned this version and value
    UNKNOWN = auto()  # a write without a definite answer: it may take effect later, or never


@dataclass(frozen=True, slots=True)
class Register:
    version: int = 0
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class Operation:
    """One write or read of one key. Times are seconds; an unknown end is infinite."""

    key: str
    outcome: Outcome
    register: Register  # what was written or read
    start_s: float
    end_s: float


class HistoryTooLarge(Exception):  # noqa: N818
    """The search for a key exceeded MAX_STATES, so its history is neither confirmed nor refuted."""


def state_after(state: Register, operation: Operation) -> Register | None:
    """The register after an operation; None if it could not have had this outcome in this state."""
    register = operation.register
    if operation.outcome is Outcome.READ:
        return state if register == state else None
    if operation.outcome is Outcome.REFUSED:
        return state if register.version == state.version and register.value != state.value else None
    if register.version > state.version:
        return register
    if operation.outcome is Outcome.CONFIRMED and register.version == state.version and register != state:
        return None
    return state


def _without_repeats(operations: Iterable[Operation]) -> list[Operation]:
    """Keep only the first of several unknown attempts of a write: it may take effect at any later time."""
    unique: list[Operation] = []
    unknown_writes: set[Register] = set()
    for operation in sorted(operations, key=lambda operation: operation.start_s):
        if operation.outcome is Outcome.UNKNOWN:
            if operation.register in unknown_writes:
                continue
            unknown_writes.add(operation.register)
        unique.append(operation)
    return unique


def is_linearizable(operations: Iterable[Operation]) -> bool:
    """Whether one register, applying one key's operations in some order, gives all their outcomes."""
    history = _without_repeats(operations)
    definite_mask = sum(
        1 << i for i, operation in enumerate(history) if operation.outcome is not Outcome.UNKNOWN
    )
    initial = (0, Register())
    explored = {initial}
    to_explore = [initial]
    while to_explore:
        applied, state = to_explore.pop()
        if applied & definite_mask == definite_mask:
            return True
        for successor in _successors(history, applied, state):
            if successor not in explored:
                if len(explored) >= MAX_STATES:
                    raise HistoryTooLarge(f"{history[0].key}: {len(history)} operations")
                explored.add(successor)
                to_explore.append(successor)
    return False


def _successors(history: list[Operation], applied: int, state: Register) -> list[tuple[int, Register]]:
    """Possible next steps: operations that started before any pending operation ended.

    An operation that leaves the register unchanged is applied at once as the only successor, since delaying
    it never helps. An unknown one that would leave it unchanged need not be applied at all.
    """
    pending = [i for i in range(len(history)) if not applied >> i & 1]
    first_end = min((history[i].end_s for i in pending), default=math.inf)
    successors = []
    for i in pending:
        operation = history[i]
        if operation.start_s > first_end:
            break  # sorted by start
        next_state = state_after(state, operation)
        if next_state is None or (next_state == state and operation.outcome is Outcome.UNKNOWN):
            continue
        if next_state == state:
            return [(applied | 1 << i, state)]
        successors.append((applied | 1 << i, next_state))
    return successors


def non_linearizable_keys(operations: Iterable[Operation]) -> list[str]:
    """The keys whose histories are not linearizable."""
    by_key: dict[str, list[Operation]] = {}
    for operation in operations:
        by_key.setdefault(operation.key, []).append(operation)
    return [key for key, history in sorted(by_key.items()) if not is_linearizable(history)]
