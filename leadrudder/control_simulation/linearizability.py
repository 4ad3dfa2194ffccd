"""Whether what operators were told can be explained by one register a key that changes at single moments.

Orders and reads overlap, are sent again, and may end without a clear answer. A history is linearizable if
each operation can be given a moment between its beginning and its end so that, taken one after the other,
they are what a single register would have answered. Keys are checked one by one, which is as strict for a
set of registers as checking them together (M. Herlihy and J. Wing, Linearizability, 1990, theorem 1). The
search goes through the orders in which operations may take place and remembers which sets of operations it
has left behind in which state (J. Wing and C. Gong, 1993; G. Lowe, Testing for Linearizability, 2017).

A register holds a version and a value. An order with a higher version replaces both; the same version and
value again, and a lower version, change nothing; the same version with another value is refused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

MAX_STATES = 200_000  # of one key's search


class Outcome(Enum):
    """How an operation ended, as its caller knows."""

    CONFIRMED = auto()  # an order that is in force
    REFUSED = auto()  # an order whose version has another value
    READ = auto()  # a read that returned this version and value
    UNKNOWN = auto()  # an order without a clear answer: it may take place later, or never


@dataclass(frozen=True, slots=True)
class Register:
    version: int = 0
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class Operation:
    """One order or read of one key; began and ended in seconds, an unknown end is infinite."""

    key: str
    outcome: Outcome
    register: Register  # what was ordered, or what was read
    start_s: float
    end_s: float


class HistoryTooLarge(Exception):  # noqa: N818 - says what happened
    """A key's history has too many orders to be searched: nothing is known of it."""


def state_after(state: Register, operation: Operation) -> Register | None:
    """The register after an operation; None if the operation could not have ended so in this state."""
    told = operation.register
    if operation.outcome is Outcome.READ:
        return state if told == state else None
    if operation.outcome is Outcome.REFUSED:
        return state if told.version == state.version and told.value != state.value else None
    if told.version > state.version:
        return told
    if operation.outcome is Outcome.CONFIRMED and told.version == state.version and told != state:
        return None
    return state


def _without_repeats(operations: Iterable[Operation]) -> list[Operation]:
    """Of several unknown tries of one order only the first: it may take place at any moment from then on."""
    kept: list[Operation] = []
    tried: set[Register] = set()
    for operation in sorted(operations, key=lambda operation: operation.start_s):
        if operation.outcome is Outcome.UNKNOWN:
            if operation.register in tried:
                continue
            tried.add(operation.register)
        kept.append(operation)
    return kept


def is_linearizable(operations: Iterable[Operation]) -> bool:
    """Whether one key's operations can be put in an order that one register would have answered so."""
    history = _without_repeats(operations)
    certain = sum(1 << i for i, each in enumerate(history) if each.outcome is not Outcome.UNKNOWN)
    start = (0, Register())
    seen = {start}
    waiting = [start]
    while waiting:
        taken, state = waiting.pop()
        if taken & certain == certain:
            return True
        for reached in _next(history, taken, state):
            if reached not in seen:
                if len(seen) >= MAX_STATES:
                    raise HistoryTooLarge(f"{history[0].key}: {len(history)} operations")
                seen.add(reached)
                waiting.append(reached)
    return False


def _next(history: list[Operation], taken: int, state: Register) -> list[tuple[int, Register]]:
    """What may come next: operations that began before any that is not taken yet had ended.

    One that leaves the register as it is may be taken at once, and alone: later it could only be harder. An
    unknown one that would leave it so need not be taken at all.
    """
    left = [i for i in range(len(history)) if not taken >> i & 1]
    first_end = min((history[i].end_s for i in left), default=math.inf)
    found = []
    for i in left:
        operation = history[i]
        if operation.start_s > first_end:
            break  # they are sorted by their beginnings
        following = state_after(state, operation)
        if following is None or (following == state and operation.outcome is Outcome.UNKNOWN):
            continue
        if following == state:
            return [(taken | 1 << i, state)]
        found.append((taken | 1 << i, following))
    return found


def non_linearizable_keys(operations: Iterable[Operation]) -> list[str]:
    """The keys whose histories no register explains."""
    by_key: dict[str, list[Operation]] = {}
    for operation in operations:
        by_key.setdefault(operation.key, []).append(operation)
    return [key for key, history in sorted(by_key.items()) if not is_linearizable(history)]
